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
	actions    Actions
	now        float64
	rngState   uint64
	groups     []group
	maxStreams []float64 // streams at most, by kind of server

	cells, racks, fronts, index, zone, maxSetups int

	fleetLinkCapacity, uplinkCapacity, capacityPerStream float64 // all links, all uplinks; a place of a link, 0 before the first list
	noteLag, noteInterval, maxRetryAfter                 float64 // of notes, between load notes, on coming back
	slotSeconds, warmUpSeconds, coldShare                float64 // a cold server's slot; its warm-up and first share
	unsyncedClock                                        bool    // fronts' clocks have nothing in common, so turns can't be taken
	coldBudget, slotCount                                float64 // with an own clock: what a cold server can take in a fall time; its slots
	seed                                                 uint64
	sameZoneBonus                                        float64 // what a holder in the own zone is ahead by
	baseRetries, retriesPerSession, retryWindow          float64 // the ration of further SETUPs
	fullThreshold, targetShare                           float64 // load at which servers answer full, -1 is never; target over size
	probesAllowed, halfSlots                             bool    // probes are allowed; half of each slot stays shut
	probeFirst                                           bool    // a probe before placing is worth its price
	messagesAllowed, messageDue                          bool    // messages between fronts are allowed; one is wanted
	stopped                                              bool    // nothing is placed any more

	servers                   []*server           // by id; emptied of those gone once no session is left there
	uplinks                   []*link             // by rack
	sessions                  map[SessID]*session // emptied as sessions end
	seatsTaken                map[seatKey]int     // SETUPs out and sessions held; emptied as outcomes come in
	awaitingProbe             []*session          // for probes; emptied by answers and by time
	changed                   []*session          // wanted state may differ from the present; emptied by Settle
	firstSetups, retries      []float64           // first and further SETUPs, when; emptied past the ration's window
	nextTimer                 float64             // the wake-up that is set
	refilledAt                float64             // started so long ago that its own sessions have come back, some 20 s
	meanLoad                  [2]float64          // mean load of links and of uplinks as last heard; 0 is none yet
	meanLoadDemand, ownDemand float64             // what all own sessions asked meanwhile, and ask now, with eight for chance
	summedAt                  float64             // when tops and asks were summed
	topRates, rungRates       [2]float64          // of all own sessions: top rates and rung rates; others, premium
	topRateSum, floorRateSum  float64             // their top rates, their lowest rungs' rates
	premiumShare              [2]float64          // premium's part of top rates and of rung rates
	peerSums                  frontSums           // sums of other fronts' sessions and words of links; emptied by time
	peerSumsAt                float64             // when they had faded so far
	ownLoads                  [2]float64          // own words of links: sum of loads, and how many
	rungFraction              float64             // what sessions play at over their top rates
}

// link is a server's link or a rack's uplink, as this front sees it.
type link struct {
	nominal                      float64
	sessions                     []*session // SETUPs out and playing there; emptied as outcomes come in
	demand                       [2]float64 // smoothed top rates: the other groups, the premium ones
	smoothedAt                   float64    // when
	shortfallDemand, shortfallAt float64    // what short-delivery notes lift demand to, and when
	raiseCheckedAt               float64    // when a step up was last looked for
	otherDemand, readAt          float64    // what other fronts asked at the last reading, and when; 0 is never
	ownDemandAtReading           float64    // what all own sessions asked at that reading
	pastDemand                   [8]float64 // rung rates asked at the last ticks, newest first
	reportedLoad, reportedAt     float64    // what a server last said, and when
	nextStepDown, nextStepUp     float64    // no step before
	capacity                     float64    // capacity: told, or more where the own sessions show it
	changed                      bool       // read, joined or left since it was last looked at
	kind                         int        // 0 a server's link, 1 a rack's uplink
}

type gapStats struct{ mean, deviation float64 }

func (g *gapStats) add(x float64) {
	if g.mean == 0 {
		g.mean, g.deviation = x, x/2
		return
	}
	// An eighth, as for round trips in TCP: some ten gaps are remembered.
	g.deviation += (math.Abs(x-g.mean) - g.deviation) / 8
	g.mean += (x - g.mean) / 8
}

func New(now float64, s Config, acts Actions) *Front {
	f := &Front{actions: acts, now: now, rngState: s.Seed%0xfffffffe + 1, maxStreams: s.MaxStreams, fleetLinkCapacity: s.FleetLinkCapacity,
		cells: max(s.Cells, 1), racks: max(s.Racks, 1), fronts: max(s.Fronts, 1), index: s.FrontIndex, zone: s.Zone,
		maxSetups: max(s.MaxSetups, 1), noteLag: s.NoteLag, noteInterval: s.NoteInterval, maxRetryAfter: s.MaxRetryAfter, warmUpSeconds: s.WarmUp,
		coldShare: s.ColdShare, probesAllowed: s.Probes, messagesAllowed: s.PeerMessages && s.Fronts > 1,
		baseRetries: s.BaseRetries, retriesPerSession: s.RetriesPerSession,
		fullThreshold: cmp.Or(s.FullThreshold, -1), retryWindow: s.RetryWindow, refilledAt: now + 20,
		sessions: map[SessID]*session{}, seatsTaken: map[seatKey]int{}}
	f.uplinkCapacity = max(s.MeanUplinkCapacity*float64(f.racks), 1)
	if len(f.maxStreams) == 0 {
		f.maxStreams = []float64{1}
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
		f.uplinks = append(f.uplinks, &link{nominal: s.MeanUplinkCapacity, capacity: s.MeanUplinkCapacity, kind: 1})
	}
	// Coarse rungs come to rest below the target by themselves, so it is near the size; of 0.78 to 1.05
	// tried. What others send is known late, the more of them the later, unless servers turn the excess away;
	// 0.08 of 0 to 0.16 tried.
	f.targetShare = 0.97
	if s.FullThreshold == 0 {
		f.targetShare -= 0.08 * math.Pow(1-1/float64(f.fronts), 3)
	}
	// Where crossing zones has a price, a tenth of a session settles near ties; more costs room than it saves.
	if s.CrossZonePrice > 0 {
		f.sameZoneBonus = 0.1
	}
	// A look must earn what a probe costs: at 0.01 of a session it does; at 0.08, among 300 fronts, it earned
	// nothing; in between nothing was tried. Harm: what is known of a link comes later.
	f.probeFirst = s.Probes && s.ProbePrice < 0.04
	f.unsyncedClock, f.seed = s.UnsyncedClock, s.Seed
	// The least that any kind may be sent within the fall time, a quarter kept for set-ups of more work.
	budget := s.OverloadFactor * slices.Min(f.maxStreams) / max(s.WarmUp, 1e-3) * s.ColdShare * s.OverloadTime
	if budget > 0 {
		// A window touches one slot more than fit in it; where that leaves none, half of each slot stays shut.
		f.slotSeconds = s.OverloadTime / max(math.Floor(budget*0.75)-1, 0.5)
		f.halfSlots = budget*0.75 < 2
		if f.unsyncedClock {
			f.coldBudget, f.slotCount = budget, slowstart.Slots(budget)
			f.slotSeconds = s.OverloadTime / f.slotCount
		}
	}
	return f
}

// SetTime sets the clock; it comes before each batch of events.
func (f *Front) SetTime(now float64) { f.now = now }

// UpdateDirectory takes the list of servers, whole or changed entries only.
func (f *Front) UpdateDirectory(whole bool, list []Listing) {
	first := f.capacityPerStream == 0
	if first {
		// Heft is flat, so the fleet's links are split by the streams that each kind may run.
		sum := 0.0
		for _, e := range list {
			sum += f.maxStreams[min(e.Kind, len(f.maxStreams)-1)]
		}
		f.capacityPerStream = f.fleetLinkCapacity / max(sum, 1)
	}
	named := map[ServerID]bool{}
	for _, e := range list {
		named[e.ID] = true
		i, found := slices.BinarySearchFunc(f.servers, e.ID, compareID)
		if !found {
			// A front that was restarted may have used this slot before.
			s := &server{id: e.ID, link: &link{}, slot: math.Floor(f.now / max(f.slotSeconds, 1e-3)), slotSetups: 99}
			f.servers = slices.Insert(f.servers, i, s)
		}
		s := f.servers[i]
		// Against a start told without its instant: a server first named later than the first list is cold from
		// now. It could keep a warm server slow for one warm-up.
		if !found && !first && e.StartedAt == 0 {
			s.startedAt = f.now
		}
		if e.StartedAt > s.startedAt {
			s.startedAt, s.ejected, s.lastHeardAt, s.link.readAt = e.StartedAt, false, 0, 0
		}
		s.zone, s.cell, s.state = e.Zone, e.Cell, e.State
		s.link.nominal = f.capacityPerStream * f.maxStreams[min(e.Kind, len(f.maxStreams)-1)]
		s.link.capacity = max(s.link.capacity, s.link.nominal)
		s.uplink = f.uplinks[e.Cell%f.racks]
	}
	for _, s := range f.servers {
		if whole && !named[s.id] {
			s.state = Gone
		}
	}
	f.servers = slices.DeleteFunc(f.servers, func(s *server) bool {
		return s.state == Gone && len(s.link.sessions) == 0 && !s.probePending
	})
}

func (f *Front) RequestSession(r Request) {
	f.messageDue = f.messagesAllowed
	f.place(f.newSession(r))
}

// ReceiveMessage takes another front's sums of its sessions and of its words of links: against chance in the few own
// ones. A lying front could make this one play too high or low; no rule depends on it. Lost ones leave the
// own sums. Words of single links are not told: fronts would all go to the same ones.
func (f *Front) ReceiveMessage(words []byte) {
	if m, ok := decodeMessage(words); ok && f.messagesAllowed && m[2] <= m[0] && m[3] <= m[1] {
		f.decayPeerSums()
		for i := range m {
			f.peerSums[i] += m[i]
		}
		f.summedAt = 0
	}
}

// decayPeerSums lets what others told lose a part of e in 10 s; tried 5 to 20.
func (f *Front) decayPeerSums() {
	k := math.Exp((f.peerSumsAt - f.now) / 10)
	for i := range f.peerSums {
		f.peerSums[i] *= k
	}
	f.peerSumsAt = f.now
}

// placeAwaitingProbe places the sessions that waited for a server's probe, or for longer than a moment.
func (f *Front) placeAwaitingProbe() {
	var ready []*session
	f.awaitingProbe = slices.DeleteFunc(f.awaitingProbe, func(s *session) bool {
		if !f.stopped && (s.awaitedProbe.probeWanted || s.awaitedProbe.probePending) && f.now-s.requestedAt < 0.1 {
			return false
		}
		ready = append(ready, s)
		return true
	})
	for _, s := range ready {
		if s.answer == unanswered {
			f.place(s)
		}
	}
}

// Stop has nothing placed any more, as the process ends: who waits is given up, the others as their SETUPs
// end.
func (f *Front) Stop() {
	f.stopped = true
	f.placeAwaitingProbe()
}

func (f *Front) AddHandedOver(r Request, id ServerID) {
	s := f.newSession(r)
	s.playing, s.setupsSent = true, 1
	f.refilledAt = f.now // its own sessions are here already
	if sv := f.server(id); sv != nil {
		s.rateShare = f.rateShareAt(s, sv)
		f.attach(s, sv)
	}
}

func (f *Front) newSession(r Request) *session {
	g := &f.groups[r.Group]
	s := &session{id: r.ID, group: g, seat: seatKey{r.Title, r.Group}, startCell: r.StartCell, cellCount: r.CellCount,
		bestRung: max(min(r.BestRung, g.Top, len(g.rates)-1), g.Floor), requestedAt: f.now, setupTimeout: r.SetupTimeout,
		rung: g.Floor, wantedRung: g.Floor, rateShare: 1}
	if r.Length > 0 {
		s.endsAt = f.now + r.Length
	}
	f.sessions[r.ID] = s
	return s
}

// smoothDemand brings a link's demand up to now: top rates of the front's own sessions there, over ten seconds.
func (f *Front) smoothDemand(l *link) {
	const window = 10 // the design's
	var top [2]float64
	for _, s := range l.sessions {
		top[s.group.premium] += s.rate(s.bestRung)
	}
	k := 1 - math.Exp((l.smoothedAt-f.now)/window)
	for i := range top {
		l.demand[i] += (top[i] - l.demand[i]) * k
		// surge: a lost server's sessions land on few holders faster than smoothing follows.
		l.demand[i] = max(l.demand[i], top[i])
	}
	l.smoothedAt = f.now
}

// target is a mark below a link's size, times its warm share where it was not read since its server started.
func (f *Front) target(l *link, sv *server) float64 {
	if sv != nil && l == sv.link && l.readAt <= sv.startedAt {
		return f.targetShare * l.capacity * f.warmShare(sv)
	}
	return f.targetShare * l.capacity
}

// sumOwnSessions sums what all own sessions ask, at their top rates and at their rungs, once an instant.
func (f *Front) sumOwnSessions() {
	if f.summedAt == f.now {
		return
	}
	f.summedAt, f.floorRateSum, f.topRates, f.rungRates = f.now, 0, [2]float64{}, [2]float64{}
	for _, l := range f.uplinks {
		for _, s := range l.sessions {
			f.topRates[s.group.premium] += s.rate(s.bestRung)
			f.rungRates[s.group.premium] += s.rate(s.wantedRung)
			f.floorRateSum += s.rate(s.group.Floor)
		}
	}
	f.topRateSum = f.topRates[0] + f.topRates[1]
	// A session of each group at four tenths, for a front of few: its own mix says little of the others'.
	f.decayPeerSums()
	tops := [2]float64{f.topRates[0] + f.peerSums[0], f.topRates[1] + f.peerSums[1]}
	rungs := [2]float64{f.rungRates[0] + f.peerSums[2], f.rungRates[1] + f.peerSums[3]}
	for _, g := range f.groups {
		tops[g.premium] += g.rates[g.Top]
		rungs[g.premium] += 0.4 * g.rates[g.Top]
	}
	f.rungFraction = (rungs[0] + rungs[1]) / (tops[0] + tops[1])
	f.ownDemand = f.rungFraction * (f.topRateSum + 8*f.groups[0].rates[f.groups[0].Top])
	f.premiumShare[0], f.premiumShare[1] = tops[1]/(tops[0]+tops[1]), rungs[1]/(rungs[0]+rungs[1])
}

// surgeFactor is what others ask now over what they did when readings were taken, as the own sessions show it:
// viewers come and go, and sessions step, at all fronts alike. Against crowds that come faster than readings
// tell, and old words of a crush, which hold all on low rungs. Eight sessions are added on both sides for
// chance. Viewers who only lean to this front pass for a crowd. A front just started fills of itself.
func (f *Front) surgeFactor(then float64) float64 {
	f.sumOwnSessions()
	if then == 0 || f.now < f.refilledAt {
		return 1
	}
	return min(max(f.ownDemand/then, 0.4), 2)
}

// otherDemand is what other fronts ask of a link: what its last reading leaves beside the own ones, fading into
// the usual load of such links, as sessions turn over within some 30 s.
func (f *Front) otherDemand(l *link) float64 {
	// Before the first reading half full; uplinks that are not reported go by the links.
	usual := cmp.Or(f.meanLoad[0], 0.5)
	if l.kind == 1 {
		usual = cmp.Or(f.meanLoad[1], usual*f.fleetLinkCapacity/f.uplinkCapacity)
	}
	w := 0.0
	if l.readAt > 0 {
		w = math.Exp((l.readAt - f.now) / 30)
	}
	return w*l.otherDemand*f.surgeFactor(l.ownDemandAtReading) + (1-w)*usual*f.surgeFactor(f.meanLoadDemand)*l.capacity*(1-1/float64(f.fronts))
}

// warmShare is the share of its capacity that a server has reached.
func (f *Front) warmShare(sv *server) float64 {
	if sv.startedAt == 0 || f.now-sv.startedAt >= f.warmUpSeconds {
		return 1
	}
	return f.coldShare + (1-f.coldShare)*max(f.now-sv.startedAt, 0)/f.warmUpSeconds
}

// pressure is a group's demand, with more to come, over what it is scaled against, and that judged for busy.
func (f *Front) pressure(l *link, sv *server, s *session, more float64) (own, total float64) {
	f.smoothDemand(l)
	t := max(f.target(l, sv), 1)
	d := l.demand
	d[s.group.premium] += more
	// Other fronts' demand: what they ask, over the fraction of their top rates that sessions play at.
	f.sumOwnSessions()
	o := f.otherDemand(l)
	p, q := f.premiumShare[0], f.premiumShare[1]
	d[0] += o / f.rungFraction * (1 - p)
	d[1] += o / f.rungFraction * p
	// Lifts fade by e in 5 s once notes stop, half the window: a few notes missed mean that it is over.
	if lift := l.shortfallDemand * math.Exp((l.shortfallAt-f.now)/5); lift > d[0]+d[1] && d[0]+d[1] > 0 {
		k := lift / (d[0] + d[1])
		d[0], d[1] = d[0]*k, d[1]*k
	}
	// In a crush premium leads an equal cut by so much: a few top rungs cost many their lowest. Tried 1 to 3.
	const lead = 1.3
	if s.group.premium == 1 {
		return max(d[1], (d[0]+d[1])/lead) / t, d[1] / t
	}
	return d[0] / max(t-l.rungDemand(true)-o*q, 1), (d[0] + d[1]) / t
}

// rungFor is the design's rung: top rate by target over demand, smaller factor of link and uplink, nearest.
func (f *Front) rungFor(s *session, sv *server, more float64) int {
	a, _ := f.pressure(sv.link, sv, s, more)
	u, _ := f.pressure(sv.uplink, sv, s, more)
	want := s.group.rates[s.bestRung] / max(a, u, 1)
	r := s.bestRung
	for i := s.bestRung - 1; i >= s.group.Floor; i-- {
		if math.Abs(s.group.rates[i]-want) < math.Abs(s.group.rates[r]-want) {
			r = i
		}
	}
	return r
}

// rateShareAt is what a session adds of its rate at a server: less than all where a stream of its live title runs
// there, by the own sessions, or likely, as all fronts prefer the same of its holders, one in so many (4 to
// 16 alike; without any preference 0.02 less). Viewers crowd on these; room and reports send them on.
func (f *Front) rateShareAt(s *session, sv *server) float64 {
	const among = 8
	if s.group.AddedRateShare < 1 && (titleHash(s.seat.title, sv.id)%among == 0 ||
		slices.ContainsFunc(sv.link.sessions, func(o *session) bool { return o.seat == s.seat })) {
		return s.group.AddedRateShare
	}
	return 1
}

// place chooses holder and rung, or turns the session away.
func (f *Front) place(s *session) {
	f.changed = append(f.changed, s)
	s.setupWanted = false
	if f.stopped || s.group.Seats > 0 && f.seatsTaken[s.seat] >= s.group.Seats || f.now >= s.setupTimeout ||
		s.setupsSent > 0 && (s.setupsSent >= f.maxSetups || s.group.Paid && s.mayHaveRun || !f.retryAllowed()) {
		f.reject(s)
		return
	}
	type holder struct {
		sv   *server
		room float64
		shut bool
	}
	var list []holder
	top, floor := s.group.rates[s.bestRung], s.group.rates[s.group.Floor]
	for _, sv := range f.servers {
		if (sv.cell-s.startCell+f.cells)%f.cells >= s.cellCount || sv.state != Ready {
			continue
		}
		// One set aside is probed as requests want it, sparser the longer it lasts: among many fronts a pace of
		// their own would cost more probes than there are requests; 4 s is what a return may be missed by.
		if sv.ejected && f.now >= sv.nextProbeAt {
			sv.probeWanted, sv.nextProbeAt = true, f.now+max(1, min(4, (f.now-sv.ejectedAt)/3))
		}
		if sv.ejected || f.now < sv.fullUntil || !f.mayReceiveSetup(sv) || slices.Contains(s.tried, sv) {
			continue
		}
		_, a := f.pressure(sv.link, sv, s, 0)
		_, u := f.pressure(sv.uplink, sv, s, 0)
		room := f.headroom(sv)
		s.rateShare = f.rateShareAt(s, sv)
		if s.rateShare < 1 {
			room += (1 - s.rateShare) * s.group.rates[f.rungFor(s, sv, top*s.rateShare)]
		}
		// Past double new sessions are turned away, but for one whose lowest rung still fits under the target, or
		// would with all others at theirs: viewers don't wait, and a tenth of the rate earns a quarter of the
		// utility. The others step down as notes tell them; of 0.5 to 0.9 tried, 0.7 keeps what they lose small.
		shut := max(a, u) > 2 && room < floor && max(f.floorPressure(sv.link, sv, s), f.floorPressure(sv.uplink, sv, s)) > 0.7
		// Near ties fall by chance, so that fronts that see alike don't all choose alike.
		room += top * 0.02 * f.random()
		if sv.zone == f.zone {
			room += top * f.sameZoneBonus
		}
		list = append(list, holder{sv, room, shut})
	}
	slices.SortStableFunc(list, func(a, b holder) int { return cmp.Compare(b.room, a.room) })
	// The likeliest is probed first where nothing was heard of it lately: many fronts know few links each.
	// A second and third probe cost what they gained; tried 2 to 20 s, of which 5 is a load note's time and lag.
	if f.probeFirst && s.setupsSent == 0 && !s.probeAwaited && len(list) > 1 && s.setupTimeout-f.now > 1 {
		if sv := list[0].sv; f.now-sv.link.reportedAt > 5 {
			sv.probeWanted, s.probeAwaited, s.awaitedProbe = true, true, sv
			f.awaitingProbe = append(f.awaitingProbe, s)
			return
		}
	}
	i := slices.IndexFunc(list, func(h holder) bool { return !h.shut })
	if i < 0 {
		f.reject(s)
		return
	}
	best := list[i].sv
	s.rateShare = f.rateShareAt(s, best)
	r := f.rungFor(s, best, s.rate(s.bestRung))
	if r > s.group.Floor && s.rate(r) > f.headroom(best)-reserveShare*best.link.capacity {
		r--
	}
	s.wantedRung, s.setupWanted = r, true
	f.attach(s, best)
	if slot := math.Floor(f.now / max(f.slotSeconds, 1e-3)); slot != best.slot {
		best.slot, best.slotSetups = slot, 0
	}
	best.slotSetups++
	if s.setupsSent > 0 {
		f.retries = append(f.retries, f.now)
	}
}

// retryAllowed tells whether a further SETUP stays within the sliding budget. First SETUPs count for a little less
// than the window and further ones for a little more, so that no rounding of instants breaks it. A request
// for which no SETUP leaves earns none: against viewers that ask by the hundred and withdraw. It is a little
// tight where many are busy-replied without one.
func (f *Front) retryAllowed() bool {
	f.firstSetups = slices.DeleteFunc(f.firstSetups, func(t float64) bool { return f.now-t >= f.retryWindow*0.98 })
	f.retries = slices.DeleteFunc(f.retries, func(t float64) bool { return f.now-t > f.retryWindow*1.02 })
	return f.retryWindow <= 0 || float64(len(f.retries)+1) <= f.baseRetries+f.retriesPerSession*float64(len(f.firstSetups))
}

// mayReceiveSetup tells whether a server may have a SETUP now as far as its warming goes. Against all fronts, some just
// restarted, meeting on a cold server: time is cut in slots that fronts own in turn, one SETUP a slot, more
// as it warms. It would fail if fronts' clocks differed by more than a slot; where they are each front's own, chance
// takes the place of turns (choice/slowstart).
func (f *Front) mayReceiveSetup(sv *server) bool {
	w := f.warmShare(sv)
	if w == 1 || f.slotSeconds == 0 {
		return true
	}
	slot := math.Floor(f.now / f.slotSeconds)
	if f.unsyncedClock {
		used := 0.0
		if sv.slot == slot {
			used = sv.slotSetups
		}
		return used < float64(slowstart.Allowed(f.coldBudget*w/f.coldShare, f.slotCount, f.fronts, f.seed, uint32(sv.id), int64(slot)))
	}
	if int(math.Mod(slot, float64(f.fronts))) != f.index%f.fronts || f.halfSlots && f.now/f.slotSeconds-slot > 0.5 {
		return false
	}
	return sv.slot != slot || sv.slotSetups < math.Floor(0.9*w/f.coldShare)
}

// reject answers at once: busy where each SETUP provably never ran or may be repeated, else torn down.
func (f *Front) reject(s *session) {
	s.answer = busy
	if s.group.Paid && s.mayHaveRun {
		s.answer = failed
	}
}

// SetupDone tells that a session's set-up is done.
func (f *Front) SetupDone(id SessID) {
	if s := f.sessions[id]; s != nil && s.holder != nil {
		s.playing, s.rungChangedAt = true, f.now
		f.markAlive(s.holder)
	}
}

// SetupEnded tells how a SETUP ended; final means that no answer is owed.
func (f *Front) SetupEnded(id SessID, on ServerID, o Outcome, final bool, rep LoadReport) {
	sv := f.server(on)
	if sv != nil {
		switch o {
		case Served, ServerError, Full:
			f.markAlive(sv)
			f.recordReport(sv, rep, 0)
		case TimedOut, NoConnection, Reset:
			f.eject(sv, o != NoConnection)
		}
		if o == Full {
			sv.fullUntil = f.now + 1 // a second is about how long a report takes to change
			f.recordReport(sv, LoadReport{Link: f.fullThreshold, Uplink: -1}, 0)
		}
	}
	s := f.sessions[id]
	if s == nil {
		return
	}
	s.inFlight = false
	f.detach(s)
	if final || s.answer != unanswered {
		s.answer = closed
		delete(f.sessions, id)
		return
	}
	if o != Full && o != NoConnection && o != Unsent {
		s.mayHaveRun = true
	}
	s.tried = append(s.tried, sv)
	if o == EndedUnanswered { // its viewer has had its session: another one would be forwarded after its end
		f.changed = append(f.changed, s)
		f.reject(s)
		return
	}
	f.place(s)
}

// RequestClosed tells that the viewer gave up or that the request is over.
func (f *Front) RequestClosed(id SessID) {
	if s := f.sessions[id]; s != nil {
		if s.answer, s.setupWanted = closed, false; !s.inFlight {
			f.detach(s)
			delete(f.sessions, id)
		}
	}
}

// SetCurrentRung tells the rung of a session handed over.
func (f *Front) SetCurrentRung(id SessID, rung int) {
	if s := f.sessions[id]; s != nil {
		s.rung, s.wantedRung = rung, rung
	}
}

// LoadNote takes a note of what is asked of a server's link, or its rack's uplink, over what that gives.
func (f *Front) LoadNote(id SessID, on ServerID, x float64, uplink bool) {
	sv := f.server(on)
	if sv == nil {
		return
	}
	f.markAlive(sv)
	lag := f.noteLag
	if s := f.sessions[id]; s != nil && s.rungChangedAt == f.now {
		lag = 0 // a note that comes with a set-up tells the present
	}
	if uplink {
		f.recordLoad(sv.uplink, x, lag)
	} else {
		f.recordLoad(sv.link, x, lag)
	}
}

func (f *Front) recordReport(sv *server, r LoadReport, lag float64) {
	// A capped figure near its cap may, with its noise, stand for any excess: it counts where it tells of more.
	known := sv.link.rungDemand(false) + f.otherDemand(sv.link)
	if r.Link >= 0 && (!r.Capped || r.Link < 0.9 || r.Link*sv.link.capacity > known) {
		f.recordLoad(sv.link, r.Link, lag)
	}
	if r.Uplink >= 0 {
		f.recordLoad(sv.uplink, r.Uplink, lag)
	}
}

// recordLoad takes a server's word on a link's load.
func (f *Front) recordLoad(l *link, x, lag float64) {
	l.reportedLoad, l.reportedAt = x, f.now
	f.sumOwnSessions()
	f.meanLoadDemand = cmp.Or(f.meanLoadDemand, f.ownDemand)
	f.meanLoadDemand += (f.ownDemand - f.meanLoadDemand) / 10
	f.estimateOtherDemand(l, x, lag)
}

// estimateOtherDemand tells what other fronts ask of a link by its load some seconds ago.
func (f *Front) estimateOtherDemand(l *link, x, lag float64) {
	own := l.rungDemand(false)
	if i := int(lag / timerInterval); i > 0 {
		own = l.pastDemand[min(i, len(l.pastDemand))-1]
	}
	// Where the own sessions alone ask more than the load makes of the told size, the link is larger.
	l.capacity += (max(l.nominal, own/max(x, 0.1)) - l.capacity) * 0.6
	if r := max(x*l.capacity-own, 0); l.readAt == 0 {
		l.otherDemand = r
	} else {
		l.otherDemand += (r - l.otherDemand) * 0.8 // reports are noisy, but each is of its own time; tried 0.6 to 1
	}
	f.sumOwnSessions()
	l.readAt, l.changed, l.ownDemandAtReading = f.now, true, f.ownDemand
}

// ShortDelivery takes a note of the share of the rate delivered at a server; 0.98 and more means that it is over.
func (f *Front) ShortDelivery(on ServerID, share float64) {
	sv := f.server(on)
	if sv == nil || share >= 0.98 {
		return
	}
	f.markAlive(sv)
	// Sessions that get next to nothing are on a server that hangs, not on a crowded link.
	if share < 0.3 {
		f.eject(sv, false)
		return
	}
	// Which of the two is short, notes don't say: the link, unless the uplink's newest report says otherwise.
	l := sv.link
	if f.now-sv.uplink.reportedAt < 5 && sv.uplink.reportedLoad > 1 {
		l = sv.uplink
	}
	l.shortfallDemand, l.shortfallAt = max(l.capacity/max(share, 0.1), l.shortfallDemand*math.Exp((l.shortfallAt-f.now)/5)), f.now
	f.estimateOtherDemand(l, 1/max(share, 0.1), f.noteLag)
}

func (f *Front) ProbeEnded(on ServerID, o Outcome, rep LoadReport) {
	sv := f.server(on)
	if sv == nil {
		return
	}
	sv.probePending = false
	defer f.placeAwaitingProbe()
	if o == Unsent { // the probe never left: nothing is known of the server
		return
	}
	if o != Served {
		f.eject(sv, false)
		return
	}
	f.markAlive(sv)
	f.recordReport(sv, rep, 0.25)
	if sv.ejected {
		// Two in a row, so that one lucky answer doesn't bring it back.
		// It may have come back cold before the directory says so.
		if sv.probesAnswered++; sv.probesAnswered >= 2 {
			sv.ejected, sv.startedAt = false, max(sv.startedAt, f.now)
		}
		// Against one lost answer, slow SETUP or cut connection that passes for a dead server: a probe answered
		// at once shows that it lives, as no machine starts anew within a probe's time. It would harm where one
		// did, until the directory tells of the start.
		if sv.ejectedForSetups && f.now-sv.ejectedAt < 0.5 {
			sv.ejected = false
		}
	}
}

func (f *Front) markAlive(sv *server) {
	if sv.lastHeardAt > 0 && f.now > sv.lastHeardAt {
		sv.gaps.add(f.now - sv.lastHeardAt)
	}
	sv.lastHeardAt = f.now
}

// eject keeps sessions from a server; where only SETUPs went wrong, doubt, it is probed at once.
func (f *Front) eject(sv *server, doubt bool) {
	sv.probesAnswered, sv.ejectedForSetups = 0, doubt && (sv.ejectedForSetups || !sv.ejected)
	if !sv.ejected {
		sv.ejected, sv.ejectedAt, sv.nextProbeAt, sv.probeWanted = true, f.now, f.now, sv.probeWanted || doubt
	}
}

// timerInterval is the pace at which playing sessions are looked at.
const timerInterval = 0.25

func (f *Front) HandleTimer() {
	if f.now+1e-6 < f.nextTimer {
		return
	}
	f.nextTimer = 0
	f.placeAwaitingProbe()
	links := slices.Clone(f.uplinks)
	for _, sv := range f.servers {
		f.probeIfSilent(sv)
		f.stepDown(sv.link, sv)
		links = append(links, sv.link)
	}
	for _, l := range f.uplinks {
		f.stepDown(l, nil)
	}
	for _, sv := range f.servers {
		f.stepUp(sv)
	}
	f.updateMeanLoad(links)
	for _, l := range links {
		copy(l.pastDemand[1:], l.pastDemand[:])
		l.pastDemand[0], l.changed = l.rungDemand(false), false
	}
}

// updateMeanLoad makes the usual load of each link's last word, not of each reading: probes go where requests crowd.
// Words fade by e in 8 s; a third of a link half full is there before any.
func (f *Front) updateMeanLoad(links []*link) {
	var sum, n [2]float64
	for _, l := range links {
		if l.reportedAt > 0 {
			w := math.Exp((l.reportedAt - f.now) / 8)
			sum[l.kind], n[l.kind] = sum[l.kind]+w*l.reportedLoad, n[l.kind]+w
		}
	}
	f.ownLoads = [2]float64{sum[0], n[0]}
	f.decayPeerSums()
	sum[0], n[0] = sum[0]+f.peerSums[4], n[0]+f.peerSums[5]
	for i := range sum {
		if n[i] > 0 {
			f.meanLoad[i] = (sum[i] + 0.3*0.5) / (n[i] + 0.3)
		}
	}
}

// probeIfSilent probes a server whose silence is unusual given the gaps before, and now and then one set aside.
func (f *Front) probeIfSilent(sv *server) {
	if !f.probesAllowed || sv.probePending || sv.ejected || sv.state != Ready {
		return
	}
	// Only where sessions make it speak. Four spreads: one gap in some fifty; three periods: late reports.
	if len(sv.link.sessions) > 0 && f.noteInterval > 0 && sv.gaps.mean > 0 &&
		f.now-sv.lastHeardAt > max(sv.gaps.mean+4*sv.gaps.deviation, f.noteInterval*3) {
		sv.probeWanted, sv.lastHeardAt = true, f.now
	}
}

func (f *Front) changeRung(s *session, to int) {
	s.wantedRung, s.rungChangedAt = to, f.now
	f.changed = append(f.changed, s)
}

// drawStep tells whether a step is taken: beyond this front's part by chance, so that all fronts, which hear the
// same note at once, together take about what there is.
func (f *Front) drawStep(step, part float64) bool { return step <= part || f.random() < part/step }

// stepDown steps playing sessions down while what is asked passes the target, one rung at a time.
func (f *Front) stepDown(l *link, sv *server) {
	own := l.rungDemand(false)
	all, t := own+f.otherDemand(l), f.target(l, sv)
	if !l.changed || f.now < l.nextStepDown || all <= t*1.1 {
		return
	}
	excess := (all - t) * own / all // this front's part
	// The switch pace: half of the sessions one rung every 3 s, then no step up for 6 s. Slower lets a short
	// link cost all of its sessions, faster takes back what noisy and late readings ask for; tried 2 to 6 s.
	for n := (len(l.sessions) + 1) / 2; n > 0 && excess > 0; n-- {
		s := l.heaviest(func(s *session) float64 {
			below := max(s.wantedRung-1, s.group.Floor)
			return (s.rate(s.wantedRung) - s.rate(below)) / s.group.Utility
		})
		if s == nil {
			return
		}
		to := s.wantedRung - 1
		less := s.rate(s.wantedRung) - s.rate(to)
		if !f.drawStep(less, excess) {
			return
		}
		excess -= less
		f.changeRung(s, to)
		l.nextStepDown, l.nextStepUp = f.now+3, f.now+6
	}
}

// stepUp steps one playing session of a server a rung up when link and uplink have room.
func (f *Front) stepUp(sv *server) {
	// Where nothing is heard of a link it goes by the usual load: some servers tell their load to probes only.
	unread := f.now-max(sv.link.readAt, sv.link.raiseCheckedAt) >= 3
	if !unread && !sv.link.changed && !sv.uplink.changed || f.now < max(sv.link.nextStepUp, sv.uplink.nextStepUp) ||
		sv.state != Ready {
		return
	}
	sv.link.raiseCheckedAt = f.now
	room := f.headroom(sv) - reserveShare*sv.link.capacity
	rise := func(s *session) float64 {
		if f.rungFor(s, sv, 0) <= s.wantedRung {
			return 0
		}
		return s.rate(s.wantedRung+1) - s.rate(s.wantedRung)
	}
	s := sv.link.heaviest(func(s *session) float64 {
		more := rise(s)
		if more == 0 || more > room || s.endsAt > 0 && s.endsAt < f.now+3 || f.now-s.rungChangedAt < 8 {
			return 0
		}
		return s.group.Utility / more
	})
	if s == nil {
		return
	}
	own := sv.link.rungDemand(false)
	if f.drawStep(rise(s), room*own/(own+f.otherDemand(sv.link))) {
		f.changeRung(s, s.wantedRung+1)
		sv.link.nextStepUp = f.now + 1
	}
}

// reserveShare is what new sessions and steps up leave of a link for noise and for what other fronts send meanwhile.
const reserveShare = 0.25

// headroom is what the tighter of a server's link and uplink has left under the target.
func (f *Front) headroom(sv *server) float64 {
	return min(f.target(sv.link, sv)-sv.link.rungDemand(false)-f.otherDemand(sv.link),
		f.target(sv.uplink, sv)-sv.uplink.rungDemand(false)-f.otherDemand(sv.uplink))
}

// floorPressure is what a link is asked over its target with all sessions and one more at their lowest rungs.
func (f *Front) floorPressure(l *link, sv *server, s *session) float64 {
	f.sumOwnSessions()
	sum := s.rate(s.group.Floor)
	for _, o := range l.sessions {
		sum += o.rate(o.group.Floor)
	}
	if r := f.rungRates[0] + f.rungRates[1]; r > 0 {
		sum += f.otherDemand(l) * f.floorRateSum / r
	}
	return sum / f.target(l, sv)
}

// setupWait is how long a SETUP may take: where it may be repeated, so that another fits within the start target.
func (f *Front) setupWait(s *session) float64 {
	if s.group.Paid || s.setupsSent+1 >= f.maxSetups {
		return s.setupTimeout - f.now
	}
	return min(s.setupTimeout-f.now, 0.4*s.group.StartTarget)
}

// Reconcile emits the difference between the wanted state and the present one. Nothing else emits acts.
func (f *Front) Reconcile() {
	for _, s := range f.changed {
		switch s.answer {
		case closed:
			continue
		case busy:
			f.actions.BusyReply(s.id, f.maxRetryAfter)
		case failed:
			f.actions.FailureReply(s.id)
		}
		if s.answer != unanswered {
			s.answer = closed
			delete(f.sessions, s.id)
			continue
		}
		if s.wantedRung != s.rung {
			f.actions.SetRung(s.id, s.wantedRung)
			s.rung = s.wantedRung
		}
		if s.setupWanted && !s.inFlight {
			f.actions.Setup(s.id, s.holder.id, f.setupWait(s))
			if s.setupsSent == 0 {
				f.firstSetups = append(f.firstSetups, f.now)
				f.retryAllowed()
			}
			s.inFlight, s.setupWanted = true, false
			s.setupsSent++
		}
	}
	f.changed = f.changed[:0]
	for _, sv := range f.servers {
		if sv.probeWanted && f.probesAllowed && !sv.probePending && sv.state == Ready {
			f.actions.Probe(sv.id)
			sv.probePending = true
		}
		sv.probeWanted = false
	}
	if f.messageDue {
		f.sumOwnSessions()
		words := encodeMessage(frontSums{f.topRates[0], f.topRates[1], f.rungRates[0], f.rungRates[1], f.ownLoads[0], f.ownLoads[1]})
		for range 6 { // others by chance; three gain less, twelve cost what they gain
			f.actions.SendMessage((f.index+1+int(f.random()*float64(f.fronts-1)))%f.fronts, words)
		}
		f.messageDue = false
	}
	if f.nextTimer == 0 {
		f.nextTimer = f.now + timerInterval
		f.actions.SetTimer(timerInterval)
	}
}
