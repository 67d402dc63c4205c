// Package choice decides for one front which server holds a session, at which rung, or turns it away.
// How it is called: New once, then At with the clock and one method an event, in order; Settle ends a batch.
// Events change the wanted state; Settle alone works out the difference to the present and emits it as Acts.
// The interface is in api.go, types and book-keeping in state.go. Instances share nothing, and use no clock
// or chance but what they are handed.
//
// Mechanisms beside the design (docs/design.md says when each acts):
//  1. others:  other fronts' demand on a link, by loads told, short notes, full answers, what own sessions do
//     since, and other fronts' sums where messages are allowed
//  2. crush:   demand ahead of its smoothed figure counts; premium's lead is bounded; lowest rungs may fit
//  3. silence: a server unusually silent is probed, set aside, and returns after it answers probes
//  4. again:   further SETUPs within the start target, the ration and the terms of paid groups
//  5. warming: a cold server gets SETUPs in this front's slots only, and counts at its warm share
//  6. look:    the likeliest holder is probed before a session is placed if nothing was heard of it lately
//     and probes cost little
package choice

import (
	"cmp"
	"math"
	"slices"

	"rainhaven/choice/slowstart"
)

type Front struct {
	acts   Actions
	now    float64
	mwc    uint64
	groups []group
	places []float64 // streams at most, by kind of server

	cells, racks, fronts, me, zone, most int

	fleet, lines, perPlace float64 // all links, all uplinks; a place of a link, 0 before the first list
	lag, every, advice     float64 // of notes, between load notes, on coming back
	slot, warmUp, coldest  float64 // a cold server's slot; its warm-up and first share
	ownClock               bool    // fronts' clocks have nothing in common, so turns can't be taken
	budget, slots          float64 // with an own clock: what a cold server can take in a fall time; its slots
	seed                   uint64
	near                   float64 // what a holder in the own zone is ahead by
	spare, share, window   float64 // the ration of further SETUPs
	fullAt, mark           float64 // load at which servers answer full, -1 is never; target over size
	probes, half           bool    // probes are allowed; half of each slot stays shut
	looks                  bool    // a probe before placing is worth its price
	peers, telling         bool    // messages between fronts are allowed; one is wanted
	stopped                bool    // nothing is placed any more

	servers        []*server        // by id; emptied of those gone once no session is left there
	uplinks        []*link          // by rack
	sess           map[SessID]*sess // emptied as sessions end
	seats          map[seat]int     // SETUPs out and sessions held; emptied as outcomes come in
	waiting        []*sess          // for probes; emptied by answers and by time
	touched        []*sess          // wanted state may differ from the present; emptied by Settle
	taken, further []float64        // first and further SETUPs, when; emptied past the ration's window
	nextDue        float64          // the wake-up that is set
	settled        float64          // started so long ago that its own sessions have come back, some 20 s
	usual          [2]float64       // mean load of links and of uplinks as last heard; 0 is none yet
	usualAt, asked float64          // what all own sessions asked meanwhile, and ask now, with eight for chance
	pooled         float64          // when tops and asks were summed
	tops, rungs    [2]float64       // of all own sessions: top rates and rung rates; others, premium
	all, floors    float64          // their top rates, their lowest rungs' rates
	ahead          [2]float64       // premium's part of top rates and of rung rates
	heard          mix              // sums of other fronts' sessions and words of links; emptied by time
	heardAt        float64          // when they had faded so far
	words          [2]float64       // own words of links: sum of loads, and how many
	fraction       float64          // what sessions play at over their top rates
}

// link is a server's link or a rack's uplink, as this front sees it.
type link struct {
	told         float64
	sess         []*sess    // SETUPs out and playing there; emptied as outcomes come in
	demand       [2]float64 // smoothed top rates: the other groups, the premium ones
	smoothed     float64    // when
	lift, lifted float64    // what short-delivery notes lift demand to, and when
	guessed      float64    // when a step up was last looked for
	rest, read   float64    // what other fronts asked at the last reading, and when; 0 is never
	at           float64    // what all own sessions asked at that reading
	past         [8]float64 // rung rates asked at the last ticks, newest first
	load, seen   float64    // what a server last said, and when
	down, up     float64    // no step before
	size         float64    // capacity: told, or more where the own sessions show it
	fresh        bool       // read, joined or left since it was last looked at
	kind         int        // 0 a server's link, 1 a rack's uplink
}

type gaps struct{ mean, dev float64 }

func (g *gaps) add(x float64) {
	if g.mean == 0 {
		g.mean, g.dev = x, x/2
		return
	}
	// An eighth, as for round trips in TCP: some ten gaps are remembered.
	g.dev += (math.Abs(x-g.mean) - g.dev) / 8
	g.mean += (x - g.mean) / 8
}

func New(now float64, s Config, acts Actions) *Front {
	f := &Front{acts: acts, now: now, mwc: s.Seed%0xfffffffe + 1, places: s.MaxStreams, fleet: s.FleetLinkCapacity,
		cells: max(s.Cells, 1), racks: max(s.Racks, 1), fronts: max(s.Fronts, 1), me: s.FrontIndex, zone: s.Zone,
		most: max(s.MaxSetups, 1), lag: s.NoteLag, every: s.NoteInterval, advice: s.MaxRetryAfter, warmUp: s.WarmUp,
		coldest: s.ColdShare, probes: s.Probes, peers: s.PeerMessages && s.Fronts > 1,
		spare: s.BaseRetries, share: s.RetriesPerSession,
		fullAt: cmp.Or(s.FullThreshold, -1), window: s.RetryWindow, settled: now + 20,
		sess: map[SessID]*sess{}, seats: map[seat]int{}}
	f.lines = max(s.MeanUplinkCapacity*float64(f.racks), 1)
	if len(f.places) == 0 {
		f.places = []float64{1}
	}
	lowest := math.Inf(1)
	for _, g := range s.Groups {
		lowest = min(lowest, g.Utility)
	}
	for _, g := range s.Groups {
		rates := make([]float64, len(s.Ladder))
		for i, r := range s.Ladder {
			rates[i] = r * g.Scale
		}
		g.AddedRateShare = cmp.Or(g.AddedRateShare, 1)
		f.groups = append(f.groups, group{g, rates, 0})
		if g.Utility > lowest {
			f.groups[len(f.groups)-1].premium = 1
		}
	}
	for range f.racks {
		f.uplinks = append(f.uplinks, &link{told: s.MeanUplinkCapacity, size: s.MeanUplinkCapacity, kind: 1})
	}
	// Coarse rungs come to rest below the target by themselves, so it is near the size; of 0.78 to 1.05
	// tried. What others send is known late, the more of them the later, unless servers turn the excess away;
	// 0.08 of 0 to 0.16 tried.
	f.mark = 0.97
	if s.FullThreshold == 0 {
		f.mark -= 0.08 * math.Pow(1-1/float64(f.fronts), 3)
	}
	// Where crossing zones has a price, a tenth of a session settles near ties; more costs room than it saves.
	if s.CrossZonePrice > 0 {
		f.near = 0.1
	}
	// A look must earn what a probe costs: at 0.01 of a session it does; at 0.08, among 300 fronts, it earned
	// nothing; in between nothing was tried. Harm: what is known of a link comes later.
	f.looks = s.Probes && s.ProbePrice < 0.04
	f.ownClock, f.seed = s.UnsyncedClock, s.Seed
	// The least that any kind may be sent within the fall time, a quarter kept for set-ups of more work.
	budget := s.OverloadFactor * slices.Min(f.places) / max(s.WarmUp, 1e-3) * s.ColdShare * s.OverloadTime
	if budget > 0 {
		// A window touches one slot more than fit in it; where that leaves none, half of each slot stays shut.
		f.slot = s.OverloadTime / max(math.Floor(budget*0.75)-1, 0.5)
		f.half = budget*0.75 < 2
		if f.ownClock {
			f.budget, f.slots = budget, slowstart.SlotsPerWindow(budget)
			f.slot = s.OverloadTime / f.slots
		}
	}
	return f
}

// SetTime sets the clock; it comes before each batch of events.
func (f *Front) SetTime(now float64) { f.now = now }

// UpdateDirectory takes the list of servers, whole or changed entries only.
func (f *Front) UpdateDirectory(whole bool, list []Listing) {
	first := f.perPlace == 0
	if first {
		// Heft is flat, so the fleet's links are split by the streams that each kind may run.
		sum := 0.0
		for _, e := range list {
			sum += f.places[min(e.Kind, len(f.places)-1)]
		}
		f.perPlace = f.fleet / max(sum, 1)
	}
	named := map[ServerID]bool{}
	for _, e := range list {
		named[e.ID] = true
		i, found := slices.BinarySearchFunc(f.servers, e.ID, byID)
		if !found {
			// A front that was restarted may have used this slot before.
			s := &server{id: e.ID, link: &link{}, slot: math.Floor(f.now / max(f.slot, 1e-3)), used: 99}
			f.servers = slices.Insert(f.servers, i, s)
		}
		s := f.servers[i]
		// Against a start told without its instant: a server first named later than the first list is cold from
		// now. It could keep a warm server slow for one warm-up.
		if !found && !first && e.StartedAt == 0 {
			s.born = f.now
		}
		if e.StartedAt > s.born {
			s.born, s.aside, s.heard, s.link.read = e.StartedAt, false, 0, 0
		}
		s.zone, s.cell, s.state = e.Zone, e.Cell, e.State
		s.link.told = f.perPlace * f.places[min(e.Kind, len(f.places)-1)]
		s.link.size = max(s.link.size, s.link.told)
		s.uplink = f.uplinks[e.Cell%f.racks]
	}
	for _, s := range f.servers {
		if whole && !named[s.id] {
			s.state = Gone
		}
	}
	f.servers = slices.DeleteFunc(f.servers, func(s *server) bool {
		return s.state == Gone && len(s.link.sess) == 0 && !s.probing
	})
}

func (f *Front) RequestSession(r Request) {
	f.telling = f.peers
	f.place(f.admit(r))
}

// ReceiveMessage takes another front's sums of its sessions and of its words of links: against chance in the few own
// ones. A lying front could make this one play too high or low; no rule depends on it. Lost ones leave the
// own sums. Words of single links are not told: fronts would all go to the same ones.
func (f *Front) ReceiveMessage(words []byte) {
	if m, ok := openMix(words); ok && f.peers && m[2] <= m[0] && m[3] <= m[1] {
		f.fade()
		for i := range m {
			f.heard[i] += m[i]
		}
		f.pooled = 0
	}
}

// fade lets what others told lose a part of e in 10 s; tried 5 to 20.
func (f *Front) fade() {
	k := math.Exp((f.heardAt - f.now) / 10)
	for i := range f.heard {
		f.heard[i] *= k
	}
	f.heardAt = f.now
}

// answered places the sessions that waited for a server's probe, or for longer than a moment.
func (f *Front) answered() {
	var ready []*sess
	f.waiting = slices.DeleteFunc(f.waiting, func(s *sess) bool {
		if !f.stopped && (s.awaits.probe || s.awaits.probing) && f.now-s.asked < 0.1 {
			return false
		}
		ready = append(ready, s)
		return true
	})
	for _, s := range ready {
		if s.answer == none {
			f.place(s)
		}
	}
}

// Stop has nothing placed any more, as the process ends: who waits is given up, the others as their SETUPs
// end.
func (f *Front) Stop() {
	f.stopped = true
	f.answered()
}

func (f *Front) AddHandedOver(r Request, id ServerID) {
	s := f.admit(r)
	s.plays, s.sent = true, 1
	f.settled = f.now // its own sessions are here already
	if sv := f.server(id); sv != nil {
		s.part = f.part(s, sv)
		f.join(s, sv)
	}
}

func (f *Front) admit(r Request) *sess {
	g := &f.groups[r.Group]
	s := &sess{id: r.ID, group: g, seat: seat{r.Title, r.Group}, start: r.StartCell, span: r.CellCount,
		best: max(min(r.BestRung, g.Top, len(g.rates)-1), g.Floor), asked: f.now, setupTimeout: r.SetupTimeout,
		rung: g.Floor, wantRung: g.Floor, part: 1}
	if r.Length > 0 {
		s.ends = f.now + r.Length
	}
	f.sess[r.ID] = s
	return s
}

// smooth brings a link's demand up to now: top rates of the front's own sessions there, over ten seconds.
func (f *Front) smooth(l *link) {
	const window = 10 // the design's
	var top [2]float64
	for _, s := range l.sess {
		top[s.group.premium] += s.rate(s.best)
	}
	k := 1 - math.Exp((l.smoothed-f.now)/window)
	for i := range top {
		l.demand[i] += (top[i] - l.demand[i]) * k
		// surge: a lost server's sessions land on few holders faster than smoothing follows.
		l.demand[i] = max(l.demand[i], top[i])
	}
	l.smoothed = f.now
}

// target is a mark below a link's size, times its warm share where it was not read since its server started.
func (f *Front) target(l *link, sv *server) float64 {
	if sv != nil && l == sv.link && l.read <= sv.born {
		return f.mark * l.size * f.warm(sv)
	}
	return f.mark * l.size
}

// pool sums what all own sessions ask, at their top rates and at their rungs, once an instant.
func (f *Front) pool() {
	if f.pooled == f.now {
		return
	}
	f.pooled, f.floors, f.tops, f.rungs = f.now, 0, [2]float64{}, [2]float64{}
	for _, l := range f.uplinks {
		for _, s := range l.sess {
			f.tops[s.group.premium] += s.rate(s.best)
			f.rungs[s.group.premium] += s.rate(s.wantRung)
			f.floors += s.rate(s.group.Floor)
		}
	}
	f.all = f.tops[0] + f.tops[1]
	// A session of each group at four tenths, for a front of few: its own mix says little of the others'.
	f.fade()
	tops := [2]float64{f.tops[0] + f.heard[0], f.tops[1] + f.heard[1]}
	rungs := [2]float64{f.rungs[0] + f.heard[2], f.rungs[1] + f.heard[3]}
	for _, g := range f.groups {
		tops[g.premium] += g.rates[g.Top]
		rungs[g.premium] += 0.4 * g.rates[g.Top]
	}
	f.fraction = (rungs[0] + rungs[1]) / (tops[0] + tops[1])
	f.asked = f.fraction * (f.all + 8*f.groups[0].rates[f.groups[0].Top])
	f.ahead[0], f.ahead[1] = tops[1]/(tops[0]+tops[1]), rungs[1]/(rungs[0]+rungs[1])
}

// surge is what others ask now over what they did when readings were taken, as the own sessions show it:
// viewers come and go, and sessions step, at all fronts alike. Against crowds that come faster than readings
// tell, and old words of a crush, which hold all on low rungs. Eight sessions are added on both sides for
// chance. Viewers who only lean to this front pass for a crowd. A front just started fills of itself.
func (f *Front) surge(then float64) float64 {
	f.pool()
	if then == 0 || f.now < f.settled {
		return 1
	}
	return min(max(f.asked/then, 0.4), 2)
}

// others is what other fronts ask of a link: what its last reading leaves beside the own ones, fading into
// the usual load of such links, as sessions turn over within some 30 s.
func (f *Front) others(l *link) float64 {
	// Before the first reading half full; uplinks that are not reported go by the links.
	usual := cmp.Or(f.usual[0], 0.5)
	if l.kind == 1 {
		usual = cmp.Or(f.usual[1], usual*f.fleet/f.lines)
	}
	w := 0.0
	if l.read > 0 {
		w = math.Exp((l.read - f.now) / 30)
	}
	return w*l.rest*f.surge(l.at) + (1-w)*usual*f.surge(f.usualAt)*l.size*(1-1/float64(f.fronts))
}

// warm is the share of its capacity that a server has reached.
func (f *Front) warm(sv *server) float64 {
	if sv.born == 0 || f.now-sv.born >= f.warmUp {
		return 1
	}
	return f.coldest + (1-f.coldest)*max(f.now-sv.born, 0)/f.warmUp
}

// pressure is a group's demand, with more to come, over what it is scaled against, and that judged for busy.
func (f *Front) pressure(l *link, sv *server, s *sess, more float64) (own, total float64) {
	f.smooth(l)
	t := max(f.target(l, sv), 1)
	d := l.demand
	d[s.group.premium] += more
	// Other fronts' demand: what they ask, over the fraction of their top rates that sessions play at.
	f.pool()
	o := f.others(l)
	p, q := f.ahead[0], f.ahead[1]
	d[0] += o / f.fraction * (1 - p)
	d[1] += o / f.fraction * p
	// Lifts fade by e in 5 s once notes stop, half the window: a few notes missed mean that it is over.
	if lift := l.lift * math.Exp((l.lifted-f.now)/5); lift > d[0]+d[1] && d[0]+d[1] > 0 {
		k := lift / (d[0] + d[1])
		d[0], d[1] = d[0]*k, d[1]*k
	}
	// In a crush premium leads an equal cut by so much: a few top rungs cost many their lowest. Tried 1 to 3.
	const lead = 1.3
	if s.group.premium == 1 {
		return max(d[1], (d[0]+d[1])/lead) / t, d[1] / t
	}
	return d[0] / max(t-l.asks(true)-o*q, 1), (d[0] + d[1]) / t
}

// rungFor is the design's rung: top rate by target over demand, smaller factor of link and uplink, nearest.
func (f *Front) rungFor(s *sess, sv *server, more float64) int {
	a, _ := f.pressure(sv.link, sv, s, more)
	u, _ := f.pressure(sv.uplink, sv, s, more)
	want := s.group.rates[s.best] / max(a, u, 1)
	r := s.best
	for i := s.best - 1; i >= s.group.Floor; i-- {
		if math.Abs(s.group.rates[i]-want) < math.Abs(s.group.rates[r]-want) {
			r = i
		}
	}
	return r
}

// part is what a session adds of its rate at a server: less than all where a stream of its live title runs
// there, by the own sessions, or likely, as all fronts prefer the same of its holders, one in so many (4 to
// 16 alike; without any preference 0.02 less). Viewers crowd on these; room and reports send them on.
func (f *Front) part(s *sess, sv *server) float64 {
	const among = 8
	if s.group.AddedRateShare < 1 && (hash(s.seat.title, sv.id)%among == 0 ||
		slices.ContainsFunc(sv.link.sess, func(o *sess) bool { return o.seat == s.seat })) {
		return s.group.AddedRateShare
	}
	return 1
}

// place chooses holder and rung, or turns the session away.
func (f *Front) place(s *sess) {
	f.touched = append(f.touched, s)
	s.wantOut = false
	if f.stopped || s.group.Seats > 0 && f.seats[s.seat] >= s.group.Seats || f.now >= s.setupTimeout ||
		s.sent > 0 && (s.sent >= f.most || s.group.Paid && s.mayRan || !f.ration()) {
		f.giveUp(s)
		return
	}
	type holder struct {
		sv   *server
		room float64
		shut bool
	}
	var list []holder
	top, floor := s.group.rates[s.best], s.group.rates[s.group.Floor]
	for _, sv := range f.servers {
		if (sv.cell-s.start+f.cells)%f.cells >= s.span || sv.state != Ready {
			continue
		}
		// One set aside is probed as requests want it, sparser the longer it lasts: among many fronts a pace of
		// their own would cost more probes than there are requests; 4 s is what a return may be missed by.
		if sv.aside && f.now >= sv.probeAt {
			sv.probe, sv.probeAt = true, f.now+max(1, min(4, (f.now-sv.left)/3))
		}
		if sv.aside || f.now < sv.full || !f.open(sv) || slices.Contains(s.tried, sv) {
			continue
		}
		_, a := f.pressure(sv.link, sv, s, 0)
		_, u := f.pressure(sv.uplink, sv, s, 0)
		room := f.room(sv)
		s.part = f.part(s, sv)
		if s.part < 1 {
			room += (1 - s.part) * s.group.rates[f.rungFor(s, sv, top*s.part)]
		}
		// Past double new sessions are turned away, but for one whose lowest rung still fits under the target, or
		// would with all others at theirs: viewers don't wait, and a tenth of the rate earns a quarter of the
		// utility. The others step down as notes tell them; of 0.5 to 0.9 tried, 0.7 keeps what they lose small.
		shut := max(a, u) > 2 && room < floor && max(f.least(sv.link, sv, s), f.least(sv.uplink, sv, s)) > 0.7
		// Near ties fall by chance, so that fronts that see alike don't all choose alike.
		room += top * 0.02 * f.chance()
		if sv.zone == f.zone {
			room += top * f.near
		}
		list = append(list, holder{sv, room, shut})
	}
	slices.SortStableFunc(list, func(a, b holder) int { return cmp.Compare(b.room, a.room) })
	// The likeliest is probed first where nothing was heard of it lately: many fronts know few links each.
	// A second and third probe cost what they gained; tried 2 to 20 s, of which 5 is a load note's time and lag.
	if f.looks && s.sent == 0 && !s.looked && len(list) > 1 && s.setupTimeout-f.now > 1 {
		if sv := list[0].sv; f.now-sv.link.seen > 5 {
			sv.probe, s.looked, s.awaits = true, true, sv
			f.waiting = append(f.waiting, s)
			return
		}
	}
	i := slices.IndexFunc(list, func(h holder) bool { return !h.shut })
	if i < 0 {
		f.giveUp(s)
		return
	}
	best := list[i].sv
	s.part = f.part(s, best)
	r := f.rungFor(s, best, s.rate(s.best))
	if r > s.group.Floor && s.rate(r) > f.room(best)-free*best.link.size {
		r--
	}
	s.wantRung, s.wantOut = r, true
	f.join(s, best)
	if slot := math.Floor(f.now / max(f.slot, 1e-3)); slot != best.slot {
		best.slot, best.used = slot, 0
	}
	best.used++
	if s.sent > 0 {
		f.further = append(f.further, f.now)
	}
}

// ration tells whether a further SETUP stays within the sliding budget. First SETUPs count for a little less
// than the window and further ones for a little more, so that no rounding of instants breaks it. A request
// for which no SETUP leaves earns none: against viewers that ask by the hundred and withdraw. It is a little
// tight where many are busy-replied without one.
func (f *Front) ration() bool {
	f.taken = slices.DeleteFunc(f.taken, func(t float64) bool { return f.now-t >= f.window*0.98 })
	f.further = slices.DeleteFunc(f.further, func(t float64) bool { return f.now-t > f.window*1.02 })
	return f.window <= 0 || float64(len(f.further)+1) <= f.spare+f.share*float64(len(f.taken))
}

// open tells whether a server may have a SETUP now as far as its warming goes. Against all fronts, some just
// restarted, meeting on a cold server: time is cut in slots that fronts own in turn, one SETUP a slot, more
// as it warms. It would fail if fronts' clocks differed by more than a slot; where they are each front's own, chance
// takes the place of turns (choice/slowstart).
func (f *Front) open(sv *server) bool {
	w := f.warm(sv)
	if w == 1 || f.slot == 0 {
		return true
	}
	slot := math.Floor(f.now / f.slot)
	if f.ownClock {
		used := 0.0
		if sv.slot == slot {
			used = sv.used
		}
		return used < float64(slowstart.Allowed(f.budget*w/f.coldest, f.slots, f.fronts, f.seed, uint32(sv.id), int64(slot)))
	}
	if int(math.Mod(slot, float64(f.fronts))) != f.me%f.fronts || f.half && f.now/f.slot-slot > 0.5 {
		return false
	}
	return sv.slot != slot || sv.used < math.Floor(0.9*w/f.coldest)
}

// giveUp answers at once: busy where each SETUP provably never ran or may be repeated, else torn down.
func (f *Front) giveUp(s *sess) {
	s.answer = busy
	if s.group.Paid && s.mayRan {
		s.answer = tornDown
	}
}

// SetupDone tells that a session's set-up is done.
func (f *Front) SetupDone(id SessID) {
	if s := f.sess[id]; s != nil && s.holder != nil {
		s.plays, s.switched = true, f.now
		f.alive(s.holder)
	}
}

// SetupEnded tells how a SETUP ended; final means that no answer is owed.
func (f *Front) SetupEnded(id SessID, on ServerID, o Outcome, final bool, rep LoadReport) {
	sv := f.server(on)
	if sv != nil {
		switch o {
		case Served, ServerError, Full:
			f.alive(sv)
			f.report(sv, rep, 0)
		case TimedOut, NoConnection, Reset:
			f.setAside(sv, o != NoConnection)
		}
		if o == Full {
			sv.full = f.now + 1 // a second is about how long a report takes to change
			f.report(sv, LoadReport{Link: f.fullAt, Uplink: -1}, 0)
		}
	}
	s := f.sess[id]
	if s == nil {
		return
	}
	s.out = false
	f.leave(s)
	if final || s.answer != none {
		s.answer = over
		delete(f.sess, id)
		return
	}
	if o != Full && o != NoConnection && o != Unsent {
		s.mayRan = true
	}
	s.tried = append(s.tried, sv)
	if o == EndedUnanswered { // its viewer has had its session: another one would be forwarded after its end
		f.touched = append(f.touched, s)
		f.giveUp(s)
		return
	}
	f.place(s)
}

// RequestClosed tells that the viewer gave up or that the request is over.
func (f *Front) RequestClosed(id SessID) {
	if s := f.sess[id]; s != nil {
		if s.answer, s.wantOut = over, false; !s.out {
			f.leave(s)
			delete(f.sess, id)
		}
	}
}

// SetCurrentRung tells the rung of a session handed over.
func (f *Front) SetCurrentRung(id SessID, rung int) {
	if s := f.sess[id]; s != nil {
		s.rung, s.wantRung = rung, rung
	}
}

// LoadNote takes a note of what is asked of a server's link, or its rack's uplink, over what that gives.
func (f *Front) LoadNote(id SessID, on ServerID, x float64, uplink bool) {
	sv := f.server(on)
	if sv == nil {
		return
	}
	f.alive(sv)
	lag := f.lag
	if s := f.sess[id]; s != nil && s.switched == f.now {
		lag = 0 // a note that comes with a set-up tells the present
	}
	if uplink {
		f.hear(sv.uplink, x, lag)
	} else {
		f.hear(sv.link, x, lag)
	}
}

func (f *Front) report(sv *server, r LoadReport, lag float64) {
	// A capped figure near its cap may, with its noise, stand for any excess: it counts where it tells of more.
	known := sv.link.asks(false) + f.others(sv.link)
	if r.Link >= 0 && (!r.Capped || r.Link < 0.9 || r.Link*sv.link.size > known) {
		f.hear(sv.link, r.Link, lag)
	}
	if r.Uplink >= 0 {
		f.hear(sv.uplink, r.Uplink, lag)
	}
}

// hear takes a server's word on a link's load.
func (f *Front) hear(l *link, x, lag float64) {
	l.load, l.seen = x, f.now
	f.pool()
	f.usualAt = cmp.Or(f.usualAt, f.asked)
	f.usualAt += (f.asked - f.usualAt) / 10
	f.reckon(l, x, lag)
}

// reckon tells what other fronts ask of a link by its load some seconds ago.
func (f *Front) reckon(l *link, x, lag float64) {
	own := l.asks(false)
	if i := int(lag / tick); i > 0 {
		own = l.past[min(i, len(l.past))-1]
	}
	// Where the own sessions alone ask more than the load makes of the told size, the link is larger.
	l.size += (max(l.told, own/max(x, 0.1)) - l.size) * 0.6
	if r := max(x*l.size-own, 0); l.read == 0 {
		l.rest = r
	} else {
		l.rest += (r - l.rest) * 0.8 // reports are noisy, but each is of its own time; tried 0.6 to 1
	}
	f.pool()
	l.read, l.fresh, l.at = f.now, true, f.asked
}

// ShortDelivery takes a note of the share of the rate delivered at a server; 0.98 and more means that it is over.
func (f *Front) ShortDelivery(on ServerID, share float64) {
	sv := f.server(on)
	if sv == nil || share >= 0.98 {
		return
	}
	f.alive(sv)
	// Sessions that get next to nothing are on a server that hangs, not on a crowded link.
	if share < 0.3 {
		f.setAside(sv, false)
		return
	}
	// Which of the two is short, notes don't say: the link, unless the uplink's newest report says otherwise.
	l := sv.link
	if f.now-sv.uplink.seen < 5 && sv.uplink.load > 1 {
		l = sv.uplink
	}
	l.lift, l.lifted = max(l.size/max(share, 0.1), l.lift*math.Exp((l.lifted-f.now)/5)), f.now
	f.reckon(l, 1/max(share, 0.1), f.lag)
}

func (f *Front) ProbeEnded(on ServerID, o Outcome, rep LoadReport) {
	sv := f.server(on)
	if sv == nil {
		return
	}
	sv.probing = false
	defer f.answered()
	if o == Unsent { // the probe never left: nothing is known of the server
		return
	}
	if o != Served {
		f.setAside(sv, false)
		return
	}
	f.alive(sv)
	f.report(sv, rep, 0.25)
	if sv.aside {
		// Two in a row, so that one lucky answer doesn't bring it back.
		// It may have come back cold before the directory says so.
		if sv.good++; sv.good >= 2 {
			sv.aside, sv.born = false, max(sv.born, f.now)
		}
		// Against one lost answer, slow SETUP or cut connection that passes for a dead server: a probe answered
		// at once shows that it lives, as no machine starts anew within a probe's time. It would harm where one
		// did, until the directory tells of the start.
		if sv.doubt && f.now-sv.left < 0.5 {
			sv.aside = false
		}
	}
}

func (f *Front) alive(sv *server) {
	if sv.heard > 0 && f.now > sv.heard {
		sv.life.add(f.now - sv.heard)
	}
	sv.heard = f.now
}

// setAside keeps sessions from a server; where only SETUPs went wrong, doubt, it is probed at once.
func (f *Front) setAside(sv *server, doubt bool) {
	sv.good, sv.doubt = 0, doubt && (sv.doubt || !sv.aside)
	if !sv.aside {
		sv.aside, sv.left, sv.probeAt, sv.probe = true, f.now, f.now, sv.probe || doubt
	}
}

// tick is the pace at which playing sessions are looked at.
const tick = 0.25

func (f *Front) HandleTimer() {
	if f.now+1e-6 < f.nextDue {
		return
	}
	f.nextDue = 0
	f.answered()
	links := slices.Clone(f.uplinks)
	for _, sv := range f.servers {
		f.watch(sv)
		f.lower(sv.link, sv)
		links = append(links, sv.link)
	}
	for _, l := range f.uplinks {
		f.lower(l, nil)
	}
	for _, sv := range f.servers {
		f.raise(sv)
	}
	f.average(links)
	for _, l := range links {
		copy(l.past[1:], l.past[:])
		l.past[0], l.fresh = l.asks(false), false
	}
}

// average makes the usual load of each link's last word, not of each reading: probes go where requests crowd.
// Words fade by e in 8 s; a third of a link half full is there before any.
func (f *Front) average(links []*link) {
	var sum, n [2]float64
	for _, l := range links {
		if l.seen > 0 {
			w := math.Exp((l.seen - f.now) / 8)
			sum[l.kind], n[l.kind] = sum[l.kind]+w*l.load, n[l.kind]+w
		}
	}
	f.words = [2]float64{sum[0], n[0]}
	f.fade()
	sum[0], n[0] = sum[0]+f.heard[4], n[0]+f.heard[5]
	for i := range sum {
		if n[i] > 0 {
			f.usual[i] = (sum[i] + 0.3*0.5) / (n[i] + 0.3)
		}
	}
}

// watch probes a server whose silence is unusual given the gaps before, and now and then one set aside.
func (f *Front) watch(sv *server) {
	if !f.probes || sv.probing || sv.aside || sv.state != Ready {
		return
	}
	// Only where sessions make it speak. Four spreads: one gap in some fifty; three periods: late reports.
	if len(sv.link.sess) > 0 && f.every > 0 && sv.life.mean > 0 &&
		f.now-sv.heard > max(sv.life.mean+4*sv.life.dev, f.every*3) {
		sv.probe, sv.heard = true, f.now
	}
}

func (f *Front) step(s *sess, to int) {
	s.wantRung, s.switched = to, f.now
	f.touched = append(f.touched, s)
}

// takes tells whether a step is taken: beyond this front's part by chance, so that all fronts, which hear the
// same note at once, together take about what there is.
func (f *Front) takes(step, part float64) bool { return step <= part || f.chance() < part/step }

// lower steps playing sessions down while what is asked passes the target, one rung at a time.
func (f *Front) lower(l *link, sv *server) {
	own := l.asks(false)
	all, t := own+f.others(l), f.target(l, sv)
	if !l.fresh || f.now < l.down || all <= t*1.1 {
		return
	}
	excess := (all - t) * own / all // this front's part
	// The switch pace: half of the sessions one rung every 3 s, then no step up for 6 s. Slower lets a short
	// link cost all of its sessions, faster takes back what noisy and late readings ask for; tried 2 to 6 s.
	for n := (len(l.sess) + 1) / 2; n > 0 && excess > 0; n-- {
		s := l.pick(func(s *sess) float64 {
			below := max(s.wantRung-1, s.group.Floor)
			return (s.rate(s.wantRung) - s.rate(below)) / s.group.Utility
		})
		if s == nil {
			return
		}
		to := s.wantRung - 1
		less := s.rate(s.wantRung) - s.rate(to)
		if !f.takes(less, excess) {
			return
		}
		excess -= less
		f.step(s, to)
		l.down, l.up = f.now+3, f.now+6
	}
}

// raise steps one playing session of a server a rung up when link and uplink have room.
func (f *Front) raise(sv *server) {
	// Where nothing is heard of a link it goes by the usual load: some servers tell their load to probes only.
	unread := f.now-max(sv.link.read, sv.link.guessed) >= 3
	if !unread && !sv.link.fresh && !sv.uplink.fresh || f.now < max(sv.link.up, sv.uplink.up) ||
		sv.state != Ready {
		return
	}
	sv.link.guessed = f.now
	room := f.room(sv) - free*sv.link.size
	rise := func(s *sess) float64 {
		if f.rungFor(s, sv, 0) <= s.wantRung {
			return 0
		}
		return s.rate(s.wantRung+1) - s.rate(s.wantRung)
	}
	s := sv.link.pick(func(s *sess) float64 {
		more := rise(s)
		if more == 0 || more > room || s.ends > 0 && s.ends < f.now+3 || f.now-s.switched < 8 {
			return 0
		}
		return s.group.Utility / more
	})
	if s == nil {
		return
	}
	own := sv.link.asks(false)
	if f.takes(rise(s), room*own/(own+f.others(sv.link))) {
		f.step(s, s.wantRung+1)
		sv.link.up = f.now + 1
	}
}

// free is what new sessions and steps up leave of a link for noise and for what other fronts send meanwhile.
const free = 0.25

// room is what the tighter of a server's link and uplink has left under the target.
func (f *Front) room(sv *server) float64 {
	return min(f.target(sv.link, sv)-sv.link.asks(false)-f.others(sv.link),
		f.target(sv.uplink, sv)-sv.uplink.asks(false)-f.others(sv.uplink))
}

// least is what a link is asked over its target with all sessions and one more at their lowest rungs.
func (f *Front) least(l *link, sv *server, s *sess) float64 {
	f.pool()
	sum := s.rate(s.group.Floor)
	for _, o := range l.sess {
		sum += o.rate(o.group.Floor)
	}
	if r := f.rungs[0] + f.rungs[1]; r > 0 {
		sum += f.others(l) * f.floors / r
	}
	return sum / f.target(l, sv)
}

// wait is how long a SETUP may take: where it may be repeated, so that another fits within the start target.
func (f *Front) wait(s *sess) float64 {
	if s.group.Paid || s.sent+1 >= f.most {
		return s.setupTimeout - f.now
	}
	return min(s.setupTimeout-f.now, 0.4*s.group.StartTarget)
}

// Reconcile emits the difference between the wanted state and the present one. Nothing else emits acts.
func (f *Front) Reconcile() {
	for _, s := range f.touched {
		switch s.answer {
		case over:
			continue
		case busy:
			f.acts.BusyReply(s.id, f.advice)
		case tornDown:
			f.acts.FailureReply(s.id)
		}
		if s.answer != none {
			s.answer = over
			delete(f.sess, s.id)
			continue
		}
		if s.wantRung != s.rung {
			f.acts.SetRung(s.id, s.wantRung)
			s.rung = s.wantRung
		}
		if s.wantOut && !s.out {
			f.acts.Setup(s.id, s.holder.id, f.wait(s))
			if s.sent == 0 {
				f.taken = append(f.taken, f.now)
				f.ration()
			}
			s.out, s.wantOut = true, false
			s.sent++
		}
	}
	f.touched = f.touched[:0]
	for _, sv := range f.servers {
		if sv.probe && f.probes && !sv.probing && sv.state == Ready {
			f.acts.Probe(sv.id)
			sv.probing = true
		}
		sv.probe = false
	}
	if f.telling {
		f.pool()
		words := sealMix(mix{f.tops[0], f.tops[1], f.rungs[0], f.rungs[1], f.words[0], f.words[1]})
		for range 6 { // others by chance; three gain less, twelve cost what they gain
			f.acts.SendMessage((f.me+1+int(f.chance()*float64(f.fronts-1)))%f.fronts, words)
		}
		f.telling = false
	}
	if f.nextDue == 0 {
		f.nextDue = f.now + tick
		f.acts.SetTimer(tick)
	}
}
