// Package witness judges the six rules from the traffic that stand-in boxes and players see on their sockets. It knows
// the rules and nothing of the module, and takes no front's word for anything: a request is followed through the
// token that its viewer put into the URL. What it needs beside the traffic is what was done to the fronts from
// outside: when each was started or killed and when it was told of a box.
package witness

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
)

// Rules are the rules' figures.
type Rules struct {
	Groups            map[string]Group
	DrainGrace        float64 // seconds after which nothing new reaches a box told to be draining or gone
	AnswerTolerance   float64 // seconds past the setup timeout in which an answer still counts
	MaxStreams        float64 // streams of a box at most
	WarmUp            float64
	ColdShare         float64
	OverloadFactor    float64
	OverloadTime      float64
	BaseRetries       float64 // further SETUPs however few sessions are taken
	RetriesPerSession float64 // and for each session taken
	RetryWindow       float64 // within so many seconds; 0 is no ration
}

// Group is a service group's part of the rules.
type Group struct {
	SetupTimeout float64
	Paid         bool
	Floor        int
	Seats        int // 0 is no cap
}

// tolerance is by how much two taps may disagree on the order of things: each stamps in a goroutine of its own, which
// a busy machine wakes late. SETUPs that a front lets overlap stay out for the box's time to answer or the wait.
const tolerance = 0.25

// setup is one SETUP for a session at a box.
type setup struct {
	token, front, group, title string
	box                        int
	at                         float64
	rung                       int
	status                     int     // 0 while there is none
	ended                      float64 // answered or withdrawn; +Inf while out
	over                       float64 // the box no longer holds the session; +Inf while it does
}

type ask struct {
	token, front, group string
	at                  float64
	answers             []answer
	left                float64 // the viewer closed its connection; +Inf
	broke               float64 // the connection was closed from the other side
}

type answer struct {
	at     float64
	status int
	safe   bool // it says that trying again is harmless
}

type told struct {
	front string
	box   int
	at    float64
	ready bool
}

// Witness collects what taps see. It grows with the day and is emptied by nothing: a day is bounded.
type Witness struct {
	mu     sync.Mutex
	terms  Rules
	asks   []*ask
	byTok  map[string]*ask
	setups []*setup
	out    map[string]*setup // by box, connection and CSeq
	held   map[string]*setup // by box and the box's session
	told   []told
	starts map[string][]float64 // of fronts
	kills  map[string][]float64
	born   map[int][]float64 // cold starts of boxes
	floors int
	notes  []string // what was found, in words; the first hundred
}

// New makes a witness.
func New(t Rules) *Witness {
	return &Witness{terms: t, byTok: map[string]*ask{}, out: map[string]*setup{}, held: map[string]*setup{},
		starts: map[string][]float64{}, kills: map[string][]float64{}, born: map[int][]float64{}}
}

// Requested: a viewer has sent its first SETUP to a front. Times are seconds on one clock.
func (w *Witness) Requested(token, front, group string, at float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := &ask{token: token, front: front, group: group, at: at, left: math.Inf(1), broke: math.Inf(1)}
	w.asks = append(w.asks, a)
	w.byTok[token] = a
}

// Answered: a viewer has received an answer to that SETUP.
func (w *Witness) Answered(token string, at float64, status int, safe bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a := w.byTok[token]; a != nil {
		a.answers = append(a.answers, answer{at, status, safe})
	}
}

// ViewerLeft: a viewer has closed its connection, or given up.
func (w *Witness) ViewerLeft(token string, at float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a := w.byTok[token]; a != nil {
		a.left = min(a.left, at)
	}
}

// ConnectionLost: a viewer's connection was ended from the front's side.
func (w *Witness) ConnectionLost(token string, at float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a := w.byTok[token]; a != nil {
		a.broke = min(a.broke, at)
	}
}

func connKey(box int, conn uint64, cseq int) string { return fmt.Sprint(box, "/", conn, "/", cseq) }
func heldKey(box int, session string) string        { return fmt.Sprint(box, "/", session) }

// SetupReceived: a box has received a SETUP for a new session.
func (w *Witness) SetupReceived(box int, conn uint64, cseq int, at float64, token, front, group, title string, rung int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &setup{token: token, front: front, group: group, title: title, box: box, at: at, rung: rung,
		ended: math.Inf(1), over: math.Inf(1)}
	w.setups = append(w.setups, s)
	w.out[connKey(box, conn, cseq)] = s
	if g := w.terms.Groups[group]; rung < g.Floor {
		w.floors++
		w.note("%.2f: box %d got a SETUP at rung %d of %s, whose floor is %d", at, box, rung, group, g.Floor)
	}
}

// SetupAnswered: a box has answered a SETUP.
func (w *Witness) SetupAnswered(box int, conn uint64, cseq int, at float64, status int, session string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.out[connKey(box, conn, cseq)]
	if s == nil {
		return
	}
	delete(w.out, connKey(box, conn, cseq))
	if s.status = status; math.IsInf(s.ended, 1) {
		s.ended = at
	}
	if status/100 == 2 {
		w.held[heldKey(box, session)] = s
	} else {
		s.over = at
	}
}

// SetupsCancelled: the front has closed its sending side of a connection to a box: SETUPs out on it are out no longer.
func (w *Witness) SetupsCancelled(box int, conn uint64, at float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	prefix := fmt.Sprint(box, "/", conn, "/")
	for k, s := range w.out {
		if strings.HasPrefix(k, prefix) && math.IsInf(s.ended, 1) {
			s.ended = at
			s.over = min(s.over, at) // the front's part of it; what the box makes of it is an orphan
		}
	}
}

// SessionEnded: a box holds a session no longer.
func (w *Witness) SessionEnded(box int, session string, at float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.held[heldKey(box, session)]; s != nil {
		s.over = min(s.over, at)
		delete(w.held, heldKey(box, session))
	}
}

// RungRequested: a box was asked to play a session at a rung.
func (w *Witness) RungRequested(box int, session string, rung int, at float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.held[heldKey(box, session)]
	if s == nil {
		return
	}
	if g := w.terms.Groups[s.group]; rung < g.Floor {
		w.floors++
		w.note("%.2f: box %d was asked for rung %d of %s, whose floor is %d", at, box, rung, s.group, g.Floor)
	}
}

// FrontNotified: a front was told that a box is ready, or that it is not.
func (w *Witness) FrontNotified(front string, box int, ready bool, at float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.told = append(w.told, told{front, box, at, ready})
}

// FrontStarted and FrontKilled: what was done to a front.
func (w *Witness) FrontStarted(front string, at float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts[front] = append(w.starts[front], at)
}

// FrontKilled tells of a kill; requests that it held are nobody's duty any more.
func (w *Witness) FrontKilled(front string, at float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.kills[front] = append(w.kills[front], at)
}

// BoxStarted: a box has started cold.
func (w *Witness) BoxStarted(box int, at float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born[box] = append(w.born[box], at)
}

func (w *Witness) note(format string, args ...any) {
	if len(w.notes) < 100 {
		w.notes = append(w.notes, fmt.Sprintf(format, args...))
	}
}

// Verdict counts what was seen.
type Verdict struct {
	Taken        int      `json:"Taken"`
	Answered     int      `json:"Answered"`
	Lost         int      `json:"Lost"`
	Doubled      int      `json:"Doubled"`
	Late         int      `json:"Late"`
	DrainedLate  int      `json:"DrainedLate"`
	ColdOverload int      `json:"ColdOver"`
	BelowFloor   int      `json:"Floor"`
	OverSeats    int      `json:"Seats"`
	RetryBudget  int      `json:"Ration"`
	Busy         int      `json:"Busy"`
	Failed       int      `json:"TornDown"`
	Abandoned    int      `json:"GivenUp"`
	HeldByKilled int      `json:"Killed"`
	Retries      int      `json:"Further"`
	Orphans      int      `json:"Orphans"`
	Notes        []string `json:"Notes"`
}

// Violations is how many times any rule was broken.
func (v Verdict) Violations() int {
	return v.Lost + v.Doubled + v.Late + v.DrainedLate + v.ColdOverload + v.BelowFloor + v.OverSeats + v.RetryBudget
}

func (v Verdict) String() string {
	return fmt.Sprintf("taken %d answered %d lost %d doubled %d late %d drained-late %d cold-over %d floor %d seats %d ration %d",
		v.Taken, v.Answered, v.Lost, v.Doubled, v.Late, v.DrainedLate, v.ColdOverload, v.BelowFloor, v.OverSeats, v.RetryBudget)
}

// Evaluate counts up to instant now, at which nothing may be under way any more.
func (w *Witness) Evaluate(now float64) Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	notes := len(w.notes)
	defer func() { w.notes = w.notes[:notes] }()
	v := Verdict{BelowFloor: w.floors}
	w.answers(&v, now)
	w.doubles(&v)
	w.drains(&v)
	w.cold(&v)
	w.seats(&v, now)
	w.ration(&v)
	v.Notes = slices.Clone(w.notes)
	return v
}

// killed tells whether a front was killed between two instants.
func (w *Witness) killed(front string, from, to float64) bool {
	return slices.ContainsFunc(w.kills[front], func(at float64) bool { return at >= from-tolerance && at <= to+tolerance })
}

func (w *Witness) answers(v *Verdict, now float64) {
	for _, a := range w.asks {
		v.Taken++
		by := a.at + w.terms.Groups[a.group].SetupTimeout + w.terms.AnswerTolerance
		switch len(a.answers) {
		case 0:
			switch {
			case w.killed(a.front, a.at, min(by, a.broke)):
				v.HeldByKilled++
				v.Taken--
			case a.left < by:
				v.Abandoned++
				v.Taken--
			case now >= by:
				v.Lost++
				w.note("%.2f: %s of %s at %s got no answer", a.at, a.token, a.group, a.front)
			}
			continue
		case 1:
			v.Answered++
		default:
			v.Answered++
			v.Doubled++
			w.note("%.2f: %s got %d answers", a.at, a.token, len(a.answers))
		}
		first := a.answers[0]
		if first.at > by {
			v.Late++
			w.note("%.2f: %s of %s was answered after %.3f s", a.at, a.token, a.group, first.at-a.at)
		}
		switch {
		case first.status == 503:
			v.Busy++
		case first.status/100 != 2:
			v.Failed++
		}
	}
}

// neverRan tells whether a box's answer proves that nothing ran.
func neverRan(status int) bool { return status == 453 || status == 503 }

func (w *Witness) doubles(v *Verdict) {
	of := map[string][]*setup{}
	for _, s := range w.setups {
		of[s.token] = append(of[s.token], s)
	}
	for _, a := range w.asks {
		list := of[a.token]
		slices.SortStableFunc(list, func(x, y *setup) int { return cmp.Compare(x.at, y.at) })
		paid := w.terms.Groups[a.group].Paid
		mayRan := false
		for i, s := range list {
			if i > 0 {
				v.Retries++
			}
			for _, o := range list[:i] {
				if o.ended > s.at+tolerance {
					v.Doubled++
					w.note("%.2f: %s has a SETUP at box %d while one is out at box %d since %.2f", s.at, a.token, s.box, o.box, o.at)
				}
			}
			if paid && mayRan {
				v.Doubled++
				w.note("%.2f: paid %s has a SETUP at box %d after one that may have run", s.at, a.token, s.box)
			}
			mayRan = mayRan || !neverRan(s.status)
		}
		if paid && mayRan && len(a.answers) > 0 && a.answers[0].safe {
			v.Doubled++
			w.note("%.2f: paid %s was busy-replied after a SETUP that may have run", a.at, a.token)
		}
	}
	for _, s := range w.setups {
		if a := w.byTok[s.token]; s.status/100 == 2 && a != nil && math.IsInf(s.over, 1) && a.left < s.ended {
			v.Orphans++
		}
	}
}

func (w *Witness) drains(v *Verdict) {
	for _, s := range w.setups {
		ready, since := true, 0.0
		for _, t := range w.told {
			if t.front == s.front && t.box == s.box && t.at <= s.at {
				if t.ready != ready {
					since = t.at
				}
				ready = t.ready
			}
		}
		if !ready && s.at-since > w.terms.DrainGrace {
			v.DrainedLate++
			w.note("%.2f: %s sent a SETUP to box %d, %.2f s after it was told not to", s.at, s.front, s.box, s.at-since)
		}
	}
}

// cold counts windows in which a cold box was sent more than it can take, as the box itself falls over by.
func (w *Witness) cold(v *Verdict) {
	if w.terms.WarmUp <= 0 || w.terms.OverloadTime <= 0 {
		return
	}
	at := map[int][]float64{}
	for _, s := range w.setups {
		at[s.box] = append(at[s.box], s.at)
	}
	for _, list := range at {
		slices.Sort(list)
	}
	for box, starts := range w.born {
		for _, born := range starts {
			for i, t := range at[box] {
				if t < born || t > born+w.terms.WarmUp {
					continue
				}
				n := 0
				for j := i; j >= 0 && at[box][j] > t-w.terms.OverloadTime && at[box][j] >= born; j-- {
					n++
				}
				if limit := ColdSetupLimit(w.terms.MaxStreams, w.terms.WarmUp, w.terms.ColdShare, w.terms.OverloadFactor, w.terms.OverloadTime, t-born); float64(n) > limit {
					v.ColdOverload++
					w.note("%.2f: cold box %d got %d SETUPs within %.1f s, %.1f are its limit", t, box, n, w.terms.OverloadTime, limit)
				}
			}
		}
	}
}

// ColdSetupLimit is how many SETUPs a cold box that started age seconds ago can be sent within the fall time: its places over
// its warm-up, times the share that it has warmed, times the factor.
func ColdSetupLimit(places, warmUp, coldShare, factor, fall, age float64) float64 {
	share := min(coldShare+(1-coldShare)*age/warmUp, 1)
	return factor * places / warmUp * share * fall
}

func (w *Witness) seats(v *Verdict, now float64) {
	type seat struct{ front, group, title string }
	of := map[seat][]*setup{}
	for _, s := range w.setups {
		if w.terms.Groups[s.group].Seats > 0 {
			k := seat{s.front, s.group, s.title}
			of[k] = append(of[k], s)
		}
	}
	for k, list := range of {
		most := w.terms.Groups[k.group].Seats
		for _, s := range list {
			n := 0
			for _, o := range list {
				// Those of a killed front are not the restarted one's.
				if o.at <= s.at && min(o.over, now) > s.at+tolerance && !w.killed(k.front, o.at, s.at) {
					n++
				}
			}
			if n > most && s.over > s.at+tolerance {
				v.OverSeats++
				w.note("%.2f: %s holds %d sessions of %s in %s, %d are its seats", s.at, k.front, n, k.title, k.group, most)
			}
		}
	}
}

func (w *Witness) ration(v *Verdict) {
	if w.terms.RetryWindow <= 0 {
		return
	}
	taken, further, seen := map[string][]float64{}, map[string][]float64{}, map[string]bool{}
	for _, a := range w.asks {
		taken[a.front] = append(taken[a.front], a.at)
	}
	list := slices.Clone(w.setups)
	slices.SortStableFunc(list, func(x, y *setup) int { return cmp.Compare(x.at, y.at) })
	for _, s := range list {
		if seen[s.token] {
			further[s.front] = append(further[s.front], s.at)
		}
		seen[s.token] = true
	}
	for front, list := range further {
		for i, t := range list {
			from := t - w.terms.RetryWindow
			for _, start := range w.starts[front] {
				if start <= t {
					from = max(from, start)
				}
			}
			n, sessions := 0, 0
			for j := i; j >= 0 && list[j] > from; j-- {
				n++
			}
			for _, at := range taken[front] {
				if at > from && at <= t {
					sessions++
				}
			}
			if float64(n) > w.terms.BaseRetries+w.terms.RetriesPerSession*float64(sessions) {
				v.RetryBudget++
				w.note("%.2f: %s sent %d further SETUPs within %.0f s, with %d sessions taken", t, front, n, w.terms.RetryWindow, sessions)
			}
		}
	}
}
