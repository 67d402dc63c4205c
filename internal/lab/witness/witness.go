// Package witness checks the six rules of session set-up from the traffic that simulated boxes and players see on their
// sockets. It is independent of the code under test and uses nothing that a front reports: a request is followed through
// the token that its viewer put into the URL. Beside the traffic it is given only what was done to the fronts from
// outside: when each was started or killed, and when it was notified of a box's state.
package witness

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
)

// Rules holds the bounds that are checked. Times are in seconds.
type Rules struct {
	Groups            map[string]Group
	DrainGrace        float64 // after a front was notified that a box is draining or gone, no SETUP may follow
	AnswerTolerance   float64 // an answer this long after the setup timeout is still in time
	MaxStreams        float64 // of a box
	WarmUp            float64
	ColdShare         float64
	OverloadFactor    float64
	OverloadTime      float64
	BaseRetries       float64 // retries allowed to a front however few requests it gets
	RetriesPerSession float64 // further retries allowed for each request
	RetryWindow       float64 // over which retries and requests are counted; 0 disables the check
}

// Group holds the bounds of a service group.
type Group struct {
	SetupTimeout float64 // seconds
	Paid         bool
	Floor        int // lowest rung allowed
	Seats        int // sessions of a title that a front may hold; 0 is unlimited
}

// orderTolerance, in seconds, is how far the timestamps of two observers may contradict the order of events: each is taken
// in a goroutine of its own, which a busy machine schedules late. SETUPs that a front lets overlap are still detected, as
// they stay in flight for the box's answer time or the front's wait.
const orderTolerance = 0.25

// maxNotes bounds the descriptions of violations that are kept.
const maxNotes = 100

// setup is a SETUP for a new session, as received by a box.
type setup struct {
	token, front, group, title string
	box                        int
	receivedAt                 float64
	rung                       int
	status                     int     // 0 until answered
	endedAt                    float64 // answered or cancelled; +Inf while in flight
	releasedAt                 float64 // when the box dropped the session; +Inf while it holds it
}

// request is a viewer's first SETUP to a front, with what became of it.
type request struct {
	token, front, group string
	sentAt              float64
	answers             []answer
	leftAt              float64 // the viewer closed its connection; +Inf if it has not
	connectionLostAt    float64 // the front closed the connection; +Inf if it has not
}

type answer struct {
	receivedAt float64
	status     int
	retrySafe  bool // the answer tells the viewer that a retry is harmless
}

// notification tells a front whether a box is ready.
type notification struct {
	front string
	box   int
	at    float64
	ready bool
}

// Witness records the observed traffic. Records are never removed: the length of a run bounds their number.
type Witness struct {
	mu            sync.Mutex
	rules         Rules
	requests      []*request
	byToken       map[string]*request
	setups        []*setup
	pending       map[string]*setup // by box, connection and CSeq
	sessions      map[string]*setup // by box and the box's session
	notifications []notification
	frontStarts   map[string][]float64 // by front
	frontKills    map[string][]float64
	boxStarts     map[int][]float64 // cold starts, by box
	belowFloor    int
	notes         []string // descriptions of violations, at most maxNotes
}

// New returns an empty Witness that checks the given rules.
func New(rules Rules) *Witness {
	return &Witness{rules: rules, byToken: map[string]*request{}, pending: map[string]*setup{}, sessions: map[string]*setup{},
		frontStarts: map[string][]float64{}, frontKills: map[string][]float64{}, boxStarts: map[int][]float64{}}
}

// Requested records that a viewer sent its first SETUP to a front. All times are seconds on one clock.
func (w *Witness) Requested(token, front, group string, at float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	req := &request{token: token, front: front, group: group, sentAt: at, leftAt: math.Inf(1), connectionLostAt: math.Inf(1)}
	w.requests = append(w.requests, req)
	w.byToken[token] = req
}

// Answered records that a viewer received an answer to its first SETUP.
func (w *Witness) Answered(token string, at float64, status int, retrySafe bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if req := w.byToken[token]; req != nil {
		req.answers = append(req.answers, answer{at, status, retrySafe})
	}
}

// ViewerLeft records that a viewer closed its connection or gave up.
func (w *Witness) ViewerLeft(token string, at float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if req := w.byToken[token]; req != nil {
		req.leftAt = min(req.leftAt, at)
	}
}

// ConnectionLost records that the front ended a viewer's connection.
func (w *Witness) ConnectionLost(token string, at float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if req := w.byToken[token]; req != nil {
		req.connectionLostAt = min(req.connectionLostAt, at)
	}
}

func setupKey(box int, conn uint64, cseq int) string { return fmt.Sprint(box, "/", conn, "/", cseq) }
func sessionKey(box int, session string) string      { return fmt.Sprint(box, "/", session) }

// SetupReceived records that a box received a SETUP for a new session.
func (w *Witness) SetupReceived(box int, conn uint64, cseq int, at float64, token, front, group, title string, rung int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &setup{token: token, front: front, group: group, title: title, box: box, receivedAt: at, rung: rung,
		endedAt: math.Inf(1), releasedAt: math.Inf(1)}
	w.setups = append(w.setups, s)
	w.pending[setupKey(box, conn, cseq)] = s
	if g := w.rules.Groups[group]; rung < g.Floor {
		w.belowFloor++
		w.addNote("%.2f: box %d received a SETUP for rung %d of group %s, below its floor %d", at, box, rung, group, g.Floor)
	}
}

// SetupAnswered records that a box answered a SETUP.
func (w *Witness) SetupAnswered(box int, conn uint64, cseq int, at float64, status int, session string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.pending[setupKey(box, conn, cseq)]
	if s == nil {
		return
	}
	delete(w.pending, setupKey(box, conn, cseq))
	if s.status = status; math.IsInf(s.endedAt, 1) {
		s.endedAt = at
	}
	if status/100 == 2 {
		w.sessions[sessionKey(box, session)] = s
	} else {
		s.releasedAt = at
	}
}

// SetupsCancelled records that a front closed its sending side of a connection to a box, which cancels the SETUPs in
// flight on it.
func (w *Witness) SetupsCancelled(box int, conn uint64, at float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	prefix := fmt.Sprint(box, "/", conn, "/")
	for k, s := range w.pending {
		if strings.HasPrefix(k, prefix) && math.IsInf(s.endedAt, 1) {
			s.endedAt = at
			s.releasedAt = min(s.releasedAt, at) // for the front; a session that the box sets up all the same is an orphan
		}
	}
}

// SessionEnded records that a box dropped a session.
func (w *Witness) SessionEnded(box int, session string, at float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.sessions[sessionKey(box, session)]; s != nil {
		s.releasedAt = min(s.releasedAt, at)
		delete(w.sessions, sessionKey(box, session))
	}
}

// RungRequested records that a box was asked to play a session at a rung.
func (w *Witness) RungRequested(box int, session string, rung int, at float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.sessions[sessionKey(box, session)]
	if s == nil {
		return
	}
	if g := w.rules.Groups[s.group]; rung < g.Floor {
		w.belowFloor++
		w.addNote("%.2f: box %d was asked to switch to rung %d of group %s, below its floor %d", at, box, rung, s.group, g.Floor)
	}
}

// FrontNotified records that a front was notified that a box is ready, or that it is not.
func (w *Witness) FrontNotified(front string, box int, ready bool, at float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notifications = append(w.notifications, notification{front, box, at, ready})
}

// FrontStarted records the start of a front.
func (w *Witness) FrontStarted(front string, at float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.frontStarts[front] = append(w.frontStarts[front], at)
}

// FrontKilled records that a front was killed. The requests that it held need no answer.
func (w *Witness) FrontKilled(front string, at float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.frontKills[front] = append(w.frontKills[front], at)
}

// BoxStarted records a cold start of a box.
func (w *Witness) BoxStarted(box int, at float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.boxStarts[box] = append(w.boxStarts[box], at)
}

func (w *Witness) addNote(format string, args ...any) {
	if len(w.notes) < maxNotes {
		w.notes = append(w.notes, fmt.Sprintf(format, args...))
	}
}

// Verdict counts the requests and the violations of each rule. The JSON names are part of the report's format.
type Verdict struct {
	Taken    int `json:"Taken"` // requests that had to be answered
	Answered int `json:"Answered"`

	// Violations.
	Lost         int `json:"Lost"`        // requests without an answer
	Doubled      int `json:"Doubled"`     // second answers, overlapping SETUPs, retries of paid SETUPs that may have run
	Late         int `json:"Late"`        // answers after the deadline
	DrainedLate  int `json:"DrainedLate"` // SETUPs to a draining or removed box after the grace
	ColdOverload int `json:"ColdOver"`    // SETUPs beyond what a cold box can take
	BelowFloor   int `json:"Floor"`       // rungs below a group's floor
	OverSeats    int `json:"Seats"`       // sessions beyond a title's seats
	RetryBudget  int `json:"Ration"`      // retries beyond the retry budget

	// Other counts.
	Busy         int `json:"Busy"`     // requests answered with 503
	Failed       int `json:"TornDown"` // requests answered with another error
	Abandoned    int `json:"GivenUp"`  // requests whose viewer left before the deadline, without an answer
	HeldByKilled int `json:"Killed"`   // unanswered requests of fronts that were killed
	Retries      int `json:"Further"`  // SETUPs to boxes beyond the first of a request
	Orphans      int `json:"Orphans"`  // sessions that a box set up after the viewer had left, and kept

	Notes []string `json:"Notes"` // descriptions of violations
}

// Violations returns the number of violations of all rules.
func (v Verdict) Violations() int {
	return v.Lost + v.Doubled + v.Late + v.DrainedLate + v.ColdOverload + v.BelowFloor + v.OverSeats + v.RetryBudget
}

// String formats the counts of requests and violations as the last line of a report.
func (v Verdict) String() string {
	return fmt.Sprintf("taken %d answered %d lost %d doubled %d late %d drained-late %d cold-over %d floor %d seats %d ration %d",
		v.Taken, v.Answered, v.Lost, v.Doubled, v.Late, v.DrainedLate, v.ColdOverload, v.BelowFloor, v.OverSeats, v.RetryBudget)
}

// Evaluate checks all rules on what was recorded up to now, when no request may be in progress any more. It may be called
// again.
func (w *Witness) Evaluate(now float64) Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	notes := len(w.notes)
	defer func() { w.notes = w.notes[:notes] }()
	v := Verdict{BelowFloor: w.belowFloor}
	w.checkAnswers(&v, now)
	w.checkDuplicates(&v)
	w.checkDrains(&v)
	w.checkColdBoxes(&v)
	w.checkSeats(&v, now)
	w.checkRetryBudget(&v)
	v.Notes = slices.Clone(w.notes)
	return v
}

// frontKilledBetween reports whether a front was killed between two instants, give or take orderTolerance.
func (w *Witness) frontKilledBetween(front string, from, to float64) bool {
	return slices.ContainsFunc(w.frontKills[front], func(at float64) bool { return at >= from-orderTolerance && at <= to+orderTolerance })
}

// checkAnswers checks that each request got exactly one answer in time. Requests that a viewer abandoned before the
// deadline, and those of a killed front, need none.
func (w *Witness) checkAnswers(v *Verdict, now float64) {
	for _, req := range w.requests {
		v.Taken++
		deadline := req.sentAt + w.rules.Groups[req.group].SetupTimeout + w.rules.AnswerTolerance
		switch len(req.answers) {
		case 0:
			switch {
			case w.frontKilledBetween(req.front, req.sentAt, min(deadline, req.connectionLostAt)):
				v.HeldByKilled++
				v.Taken--
			case req.leftAt < deadline:
				v.Abandoned++
				v.Taken--
			case now >= deadline:
				v.Lost++
				w.addNote("%.2f: request %s of group %s got no answer from %s", req.sentAt, req.token, req.group, req.front)
			}
			continue
		case 1:
			v.Answered++
		default:
			v.Answered++
			v.Doubled++
			w.addNote("%.2f: request %s got %d answers", req.sentAt, req.token, len(req.answers))
		}
		first := req.answers[0]
		if first.receivedAt > deadline {
			v.Late++
			w.addNote("%.2f: request %s of group %s was answered after %.3f s", req.sentAt, req.token, req.group, first.receivedAt-req.sentAt)
		}
		switch {
		case first.status == 503:
			v.Busy++
		case first.status/100 != 2:
			v.Failed++
		}
	}
}

// provesNotStarted reports whether a box's answer proves that the SETUP started nothing.
func provesNotStarted(status int) bool { return status == 453 || status == 503 }

// checkDuplicates checks that a request never has two SETUPs in flight, that a paid one is not sent again and not reported
// as safe to retry once a SETUP of it may have run. It also counts retries and orphans.
func (w *Witness) checkDuplicates(v *Verdict) {
	byToken := map[string][]*setup{}
	for _, s := range w.setups {
		byToken[s.token] = append(byToken[s.token], s)
	}
	for _, req := range w.requests {
		list := byToken[req.token]
		slices.SortStableFunc(list, func(x, y *setup) int { return cmp.Compare(x.receivedAt, y.receivedAt) })
		paid := w.rules.Groups[req.group].Paid
		mayHaveRun := false
		for i, s := range list {
			if i > 0 {
				v.Retries++
			}
			for _, o := range list[:i] {
				if o.endedAt > s.receivedAt+orderTolerance {
					v.Doubled++
					w.addNote("%.2f: request %s has a SETUP at box %d while another is in flight at box %d since %.2f", s.receivedAt, req.token, s.box, o.box, o.receivedAt)
				}
			}
			if paid && mayHaveRun {
				v.Doubled++
				w.addNote("%.2f: paid request %s has a SETUP at box %d after one that may have run", s.receivedAt, req.token, s.box)
			}
			mayHaveRun = mayHaveRun || !provesNotStarted(s.status)
		}
		if paid && mayHaveRun && len(req.answers) > 0 && req.answers[0].retrySafe {
			v.Doubled++
			w.addNote("%.2f: paid request %s was reported as safe to retry after a SETUP that may have run", req.sentAt, req.token)
		}
	}
	for _, s := range w.setups {
		if req := w.byToken[s.token]; s.status/100 == 2 && req != nil && math.IsInf(s.releasedAt, 1) && req.leftAt < s.endedAt {
			v.Orphans++
		}
	}
}

// checkDrains checks that a front sends a box no SETUP later than the grace after the notification that it is not ready.
func (w *Witness) checkDrains(v *Verdict) {
	for _, s := range w.setups {
		ready, since := true, 0.0
		for _, t := range w.notifications {
			if t.front == s.front && t.box == s.box && t.at <= s.receivedAt {
				if t.ready != ready {
					since = t.at
				}
				ready = t.ready
			}
		}
		if !ready && s.receivedAt-since > w.rules.DrainGrace {
			v.DrainedLate++
			w.addNote("%.2f: %s sent a SETUP to box %d, %.2f s after the notification that it is not ready", s.receivedAt, s.front, s.box, s.receivedAt-since)
		}
	}
}

// checkColdBoxes counts the SETUPs that exceed a cold box's limit within the overload time, by the formula that the
// simulated box itself uses.
func (w *Witness) checkColdBoxes(v *Verdict) {
	if w.rules.WarmUp <= 0 || w.rules.OverloadTime <= 0 {
		return
	}
	sentAt := map[int][]float64{}
	for _, s := range w.setups {
		sentAt[s.box] = append(sentAt[s.box], s.receivedAt)
	}
	for _, list := range sentAt {
		slices.Sort(list)
	}
	for box, starts := range w.boxStarts {
		for _, startedAt := range starts {
			for i, t := range sentAt[box] {
				if t < startedAt || t > startedAt+w.rules.WarmUp {
					continue
				}
				n := 0
				for j := i; j >= 0 && sentAt[box][j] > t-w.rules.OverloadTime && sentAt[box][j] >= startedAt; j-- {
					n++
				}
				if limit := ColdSetupLimit(w.rules.MaxStreams, w.rules.WarmUp, w.rules.ColdShare, w.rules.OverloadFactor, w.rules.OverloadTime, t-startedAt); float64(n) > limit {
					v.ColdOverload++
					w.addNote("%.2f: cold box %d received %d SETUPs within %.1f s, limit %.1f", t, box, n, w.rules.OverloadTime, limit)
				}
			}
		}
	}
}

// ColdSetupLimit returns how many SETUPs a box that started cold age seconds ago can take within the overload time: its
// streams per second of warm-up, scaled by how far it has warmed up and by the overload factor.
func ColdSetupLimit(maxStreams, warmUp, coldShare, overloadFactor, overloadTime, age float64) float64 {
	share := min(coldShare+(1-coldShare)*age/warmUp, 1)
	return overloadFactor * maxStreams / warmUp * share * overloadTime
}

// checkSeats checks that a front holds no more sessions of a title than the group has seats.
func (w *Witness) checkSeats(v *Verdict, now float64) {
	type seatKey struct{ front, group, title string }
	bySeats := map[seatKey][]*setup{}
	for _, s := range w.setups {
		if w.rules.Groups[s.group].Seats > 0 {
			k := seatKey{s.front, s.group, s.title}
			bySeats[k] = append(bySeats[k], s)
		}
	}
	for k, list := range bySeats {
		limit := w.rules.Groups[k.group].Seats
		for _, s := range list {
			n := 0
			for _, o := range list {
				// Sessions of a killed front don't count for the restarted one.
				if o.receivedAt <= s.receivedAt && min(o.releasedAt, now) > s.receivedAt+orderTolerance && !w.frontKilledBetween(k.front, o.receivedAt, s.receivedAt) {
					n++
				}
			}
			if n > limit && s.releasedAt > s.receivedAt+orderTolerance {
				v.OverSeats++
				w.addNote("%.2f: %s holds %d sessions of title %s in group %s, which has %d seats", s.receivedAt, k.front, n, k.title, k.group, limit)
			}
		}
	}
}

// checkRetryBudget checks that the retries of a front within any window stay within the base allowance and the share of
// its requests. The window begins anew when a front starts.
func (w *Witness) checkRetryBudget(v *Verdict) {
	if w.rules.RetryWindow <= 0 {
		return
	}
	requestTimes, retryTimes, seen := map[string][]float64{}, map[string][]float64{}, map[string]bool{}
	for _, req := range w.requests {
		requestTimes[req.front] = append(requestTimes[req.front], req.sentAt)
	}
	list := slices.Clone(w.setups)
	slices.SortStableFunc(list, func(x, y *setup) int { return cmp.Compare(x.receivedAt, y.receivedAt) })
	for _, s := range list {
		if seen[s.token] {
			retryTimes[s.front] = append(retryTimes[s.front], s.receivedAt)
		}
		seen[s.token] = true
	}
	for front, list := range retryTimes {
		for i, t := range list {
			windowStart := t - w.rules.RetryWindow
			for _, start := range w.frontStarts[front] {
				if start <= t {
					windowStart = max(windowStart, start)
				}
			}
			n, sessions := 0, 0
			for j := i; j >= 0 && list[j] > windowStart; j-- {
				n++
			}
			for _, at := range requestTimes[front] {
				if at > windowStart && at <= t {
					sessions++
				}
			}
			if float64(n) > w.rules.BaseRetries+w.rules.RetriesPerSession*float64(sessions) {
				v.RetryBudget++
				w.addNote("%.2f: %s sent %d retries within %.0f s, for %d requests", t, front, n, w.rules.RetryWindow, sessions)
			}
		}
	}
}
