// Package choice decides for one front which server holds a session and at which rung, or rejects the session.
//
// Call New once, then SetTime followed by one method per event, in order; Reconcile ends a batch. Events change the
// wanted state only. Reconcile compares it with the present state and emits the difference as Actions.
// The interface is in api.go, types and bookkeeping in state.go. Instances share nothing, and use no clock or
// randomness other than the time and the seed they are given.
//
// Mechanisms beyond the basic design (docs/design.md says when each one acts):
//  1. Other fronts: their demand on a link is estimated from load reports and notes, short-delivery notes, full
//     answers, the change in this front's own sessions since, and other fronts' sums where messages are allowed.
//  2. Overload: demand above its smoothed value counts at once; the lead of premium groups is bounded; a session is
//     still admitted where its lowest rung fits.
//  3. Silence: a server that is unusually silent is probed, ejected, and reinstated once it answers probes.
//  4. Retries: within the start target, the retry budget and the terms of paid groups.
//  5. Warm-up: a cold server gets SETUPs in this front's slots only, and counts at its warm share.
//  6. Probe before placing: the best holder is probed first if it has not reported lately and probes cost little.
package choice

import (
	"cmp"
	"math"
	"slices"

	"rainhaven/choice/slowstart"
)

// Front decides for one front. Its methods must not be called concurrently.
type Front struct {
	actions  Actions
	now      float64
	rngState uint64 // see random
	seed     uint64

	// From Config.
	groups            []group
	maxStreams        []float64 // by kind of server
	cells             int
	racks             int
	fronts            int
	index             int // this front among all
	zone              int
	maxSetups         int     // for one request
	fleetLinkCapacity float64 // of all links
	uplinkCapacity    float64 // of all uplinks
	capacityPerStream float64 // a link's capacity for each stream its server may run; 0 before the first list
	noteLag           float64 // seconds
	noteInterval      float64 // seconds between load notes; 0 is none
	maxRetryAfter     float64 // seconds
	warmUpSeconds     float64
	coldShare         float64 // share of its capacity that a server starts with
	sameZoneBonus     float64 // headroom added to holders in this front's zone, in top rates of the session
	targetShare       float64 // target over capacity
	fullThreshold     float64 // load at which servers answer full; -1 is never
	probesAllowed     bool
	probeFirst        bool // a probe before placing is worth its price
	messagesAllowed   bool

	// Retry budget.
	baseRetries       float64
	retriesPerSession float64
	retryWindow       float64 // seconds; 0 is no budget

	// Slots in which cold servers get SETUPs.
	unsyncedClock bool // fronts' clocks are unrelated, so they can't take turns
	slotSeconds   float64
	halfSlots     bool    // the second half of each slot is unused
	coldBudget    float64 // with an unsynced clock: SETUPs that a cold server can handle within the overload time
	slotCount     float64 // with an unsynced clock: slots in the overload time

	servers       []*server                // by id; a server that has gone is removed once no session is left there
	uplinks       []*link                  // by rack
	sessions      map[SessID]*session      // until they end
	seatsTaken    map[seatKey]int          // SETUPs in flight and sessions held
	foreignSeats  map[seatKey]int          // the same of another process that this front replaces
	placeOf       map[rungClass]ladderRung // used within stepUp
	awaitingProbe []*session               // until the probe ends or maxProbeWait has passed
	changed       []*session               // wanted state may differ from the present; emptied by Reconcile
	firstSetups   []float64                // instants of first SETUPs within the retry window
	retries       []float64                // instants of retries within the retry window
	nextTimer     float64                  // when the timer that is set expires; 0 is none
	messageDue    bool                     // Reconcile sends a message
	stopped       bool                     // nothing is placed any more

	refilledAt     float64    // when the sessions that a restart ended have come back
	meanLoad       [2]float64 // of links and of uplinks as last reported; 0 is none yet
	meanLoadDemand float64    // ownDemand, averaged over the reports behind meanLoad
	ownLoads       [2]float64 // reported loads of links: weighted sum, sum of weights
	peerSums       frontSums  // sums that other fronts sent; they decay with time
	peerSumsAt     float64    // when peerSums last decayed

	// Set by sumOwnSessions. Pairs are of the other groups and of the premium ones.
	summedAt     float64    // when; 0 forces a new sum
	topRates     [2]float64 // of all own sessions
	rungRates    [2]float64 // of all own sessions, at the wanted rungs
	topRateSum   float64
	floorRateSum float64    // rates at the lowest rungs
	rungFraction float64    // rung rates over top rates, other fronts' sums included
	premiumShare [2]float64 // premium groups' share of top rates and of rung rates
	ownDemand    float64    // top rates of own sessions and of smoothingSessions more, times rungFraction
}

// link is a server's link or a rack's uplink, as this front sees it. Rates are kB a second.
type link struct {
	kind               int        // 0 a server's link, 1 a rack's uplink
	nominal            float64    // capacity from Config
	capacity           float64    // nominal, or more where own sessions show it
	sessions           []*session // SETUPs in flight and sessions there
	demand             [2]float64 // smoothed top rates of own sessions: the other groups, the premium ones
	smoothedAt         float64    // when demand was brought up to date
	shortfallDemand    float64    // demand is at least this after a short-delivery note
	shortfallAt        float64    // when that note came
	otherDemand        float64    // rates of other fronts' sessions at the last reading
	readAt             float64    // when; 0 is never
	ownDemandAtReading float64    // Front.ownDemand at that reading
	pastDemand         [8]float64 // rung rates of own sessions at the last timers, newest first
	reportedLoad       float64    // as a server last reported it
	reportedAt         float64
	stepUpCheckedAt    float64 // when a step up was last considered
	nextStepDown       float64 // no step before
	nextStepUp         float64
	changed            bool // read, joined or left since the last timer
}

const (
	timerInterval        = 0.25 // seconds between checks of established sessions
	reserveShare         = 0.25 // share of a link that new sessions and steps up leave for noise and other fronts' sessions
	refillSeconds        = 20   // viewers of sessions that a restart ended are back within this
	demandWindow         = 10   // seconds over which demand is smoothed
	peerSumsDecay        = 10   // seconds in which other fronts' sums fall by e
	readingDecay         = 30   // seconds in which a reading falls by e: sessions turn over in about that
	shortfallDecay       = 5    // seconds, half of demandWindow: a few notes missed mean that the shortage is over
	reportedLoadDecay    = 8    // seconds in which the weight of a reported load falls by e
	maxProbeWait         = 0.1  // seconds that a session waits for a probe before it is placed
	maxProbePrice        = 0.04 // in sessions; a probe before placing pays at 0.01 and doesn't at 0.08 among 300 fronts
	recentReport         = 5    // seconds, about the interval and lag of load notes
	smoothingSessions    = 8    // added to own demand, so that it doesn't jump where own sessions are few
	assumedLoad          = 0.5  // of a link that nothing is known of
	assumedWeight        = 0.3  // of assumedLoad beside reported loads
	assumedFraction      = 0.4  // of top rates that one assumed session of each group plays at
	fullSeconds          = 1    // a server counts as full for this long after a Full answer; reports take as long to change
	messagesPerRequest   = 6    // more of them cost as much as they gain
	probesToReinstate    = 2    // in a row, so that one lucky answer doesn't reinstate a server
	slotUsedUp           = 99   // more SETUPs than a slot allows
	streamHolders        = 8    // one in so many of a title's holders is preferred for its shared stream
	premiumLead          = 1.3  // how much less than an equal cut the premium groups' rates are cut at most
	stepDownInterval     = 3    // seconds between steps down on a link
	stepUpAfterDown      = 6    // seconds without a step up after one down
	minSecondsBeforeStep = 8    // seconds a session stays on a rung before it steps up
)

// gapStats are the moving mean and mean deviation of the seconds between a server's signs of life.
type gapStats struct{ mean, deviation float64 }

func (g *gapStats) add(x float64) {
	if g.mean == 0 {
		g.mean, g.deviation = x, x/2
		return
	}
	// The gain of an eighth, as for round-trip times in TCP, remembers about ten gaps.
	g.deviation += (math.Abs(x-g.mean) - g.deviation) / 8
	g.mean += (x - g.mean) / 8
}

// New makes a front that knows no servers and no sessions.
func New(now float64, config Config, actions Actions) *Front {
	f := &Front{
		actions: actions, now: now, rngState: config.Seed%0xfffffffe + 1, seed: config.Seed,
		cells: max(config.Cells, 1), racks: max(config.Racks, 1), fronts: max(config.Fronts, 1),
		index: config.FrontIndex, zone: config.Zone, maxStreams: config.MaxStreams, fleetLinkCapacity: config.FleetLinkCapacity,
		noteLag: config.NoteLag, noteInterval: config.NoteInterval,
		maxSetups: max(config.MaxSetups, 1), maxRetryAfter: config.MaxRetryAfter,
		baseRetries: config.BaseRetries, retriesPerSession: config.RetriesPerSession, retryWindow: config.RetryWindow,
		warmUpSeconds: config.WarmUp, coldShare: config.ColdShare, unsyncedClock: config.UnsyncedClock,
		fullThreshold: cmp.Or(config.FullThreshold, -1), refilledAt: now + refillSeconds,
		probesAllowed: config.Probes, messagesAllowed: config.PeerMessages && config.Fronts > 1,
		sessions: map[SessID]*session{}, seatsTaken: map[seatKey]int{}, placeOf: map[rungClass]ladderRung{},
	}
	f.uplinkCapacity = max(config.MeanUplinkCapacity*float64(f.racks), 1)
	if len(f.maxStreams) == 0 {
		f.maxStreams = []float64{1}
	}
	lowest := math.Inf(1)
	for _, g := range config.Groups {
		lowest = min(lowest, g.Utility)
	}
	for _, g := range config.Groups {
		rates := make([]float64, len(config.Ladder))
		for i, r := range config.Ladder {
			rates[i] = r * g.Scale
		}
		g.AddedRateShare = cmp.Or(g.AddedRateShare, 1)
		known := group{ServiceGroup: g, rates: rates}
		known.floor, known.top = known.knownRung(g.Floor), known.knownRung(g.Top)
		if g.Utility > lowest {
			known.premium = 1
		}
		f.groups = append(f.groups, known)
	}
	for range f.racks {
		f.uplinks = append(f.uplinks, &link{nominal: config.MeanUplinkCapacity, capacity: config.MeanUplinkCapacity, kind: 1})
	}
	// Rungs are coarse, so rates settle below the target by themselves: the target is close to the capacity. What
	// other fronts send is known late, the more of them the later, unless servers turn the excess away.
	f.targetShare = 0.97
	if config.FullThreshold == 0 {
		f.targetShare -= 0.08 * math.Pow(1-1/float64(f.fronts), 3)
	}
	// Where crossing zones has a price, a tenth of a session settles near ties; more loses headroom than it saves.
	if config.CrossZonePrice > 0 {
		f.sameZoneBonus = 0.1
	}
	// Drawback of the limit: where probes are dear, what is known of a link comes later.
	f.probeFirst = config.Probes && config.ProbePrice < maxProbePrice
	// The budget of the smallest kind of server, of which a quarter is kept for requests of more than the mean work.
	budget := config.OverloadFactor * slices.Min(f.maxStreams) / max(config.WarmUp, 1e-3) * config.ColdShare *
		config.OverloadTime
	if budget > 0 {
		// A window of the overload time touches one slot more than fit in it. Where that leaves no slot, half of
		// each slot is unused.
		f.slotSeconds = config.OverloadTime / max(math.Floor(budget*0.75)-1, 0.5)
		f.halfSlots = budget*0.75 < 2
		if f.unsyncedClock {
			f.coldBudget, f.slotCount = budget, slowstart.SlotsPerWindow(budget)
			f.slotSeconds = config.OverloadTime / f.slotCount
		}
	}
	return f
}

// SetTime sets the clock. It must be called before each batch of events; all instants are of this clock, in seconds.
func (f *Front) SetTime(now float64) { f.now = now }

// UpdateServers applies the full list of servers, or only the entries that changed.
func (f *Front) UpdateServers(full bool, list []Listing) {
	first := f.capacityPerStream == 0
	if first {
		// All weights are alike and don't reflect capacity, so the capacity of all links is divided by the streams that
		// each kind of server may run.
		sum := 0.0
		for _, entry := range list {
			sum += f.maxStreams[f.knownKind(entry.Kind)]
		}
		f.capacityPerStream = f.fleetLinkCapacity / max(sum, 1)
	}
	named := map[ServerID]bool{}
	for _, entry := range list {
		named[entry.ID] = true
		i, found := slices.BinarySearchFunc(f.servers, entry.ID, compareID)
		if !found {
			// A front that was restarted may have used the present slot before, so the slot counts as used up.
			s := &server{id: entry.ID, link: &link{}, slot: math.Floor(f.now / max(f.slotSeconds, 1e-3)), slotSetups: slotUsedUp}
			f.servers = slices.Insert(f.servers, i, s)
		}
		s := f.servers[i]
		// Guards against a start listed without its instant: a server that the first list didn't have is cold from
		// now on. Drawback: a warm server may be treated as cold for one warm-up.
		if !found && !first && entry.StartedAt == 0 {
			s.startedAt = f.now
		}
		if entry.StartedAt > s.startedAt {
			s.startedAt, s.ejected, s.lastHeardAt, s.link.readAt = entry.StartedAt, false, 0, 0
		}
		s.zone, s.cell, s.state = entry.Zone, entry.Cell, entry.State
		s.link.nominal = f.capacityPerStream * f.maxStreams[f.knownKind(entry.Kind)]
		s.link.capacity = max(s.link.capacity, s.link.nominal)
		s.uplink = f.knownUplink(entry.Cell)
	}
	for _, s := range f.servers {
		if full && !named[s.id] {
			s.state = Gone
		}
	}
	f.servers = slices.DeleteFunc(f.servers, func(s *server) bool {
		return s.state == Gone && len(s.link.sessions) == 0 && !s.probePending
	})
}

// RequestSession places a new session. Reconcile emits its SETUP or its answer, unless it waits for a probe. A request of an
// unknown service group gets a busy reply.
func (f *Front) RequestSession(r Request) {
	f.messageDue = f.messagesAllowed
	g := f.knownGroup(r.Group)
	if g == nil {
		s := f.newSession(r, &f.groups[0])
		s.answer = busy
		f.changed = append(f.changed, s)
		return
	}
	f.place(f.newSession(r, g))
}

// ReceiveMessage adds another front's sums of its sessions and of reported loads of links, which smooth out chance in
// this front's few. A front that sends false sums could raise or lower the rungs here; no rule depends on them. Where
// messages are lost, the own sums are used alone. Loads of single links are not exchanged: all fronts would prefer the
// same ones.
func (f *Front) ReceiveMessage(message []byte) {
	if sums, ok := decodeMessage(message); ok && f.messagesAllowed &&
		sums[otherRungRates] <= sums[otherTopRates] && sums[premiumRungRates] <= sums[premiumTopRates] {
		f.decayPeerSums()
		for i := range sums {
			f.peerSums[i] += sums[i]
		}
		f.summedAt = 0
	}
}

// decayPeerSums lets other fronts' sums fall with the time since the last call.
func (f *Front) decayPeerSums() {
	factor := math.Exp((f.peerSumsAt - f.now) / peerSumsDecay)
	for i := range f.peerSums {
		f.peerSums[i] *= factor
	}
	f.peerSumsAt = f.now
}

// placeAwaitingProbe places the sessions whose awaited probe has ended, or that have waited for maxProbeWait seconds.
func (f *Front) placeAwaitingProbe() {
	var ready []*session
	f.awaitingProbe = slices.DeleteFunc(f.awaitingProbe, func(s *session) bool {
		if !f.stopped && (s.awaitedProbe.probeWanted || s.awaitedProbe.probePending) && f.now-s.requestedAt < maxProbeWait {
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

// Stop ends all placing, before the process exits: sessions that wait for a probe are rejected now, those with a SETUP in
// flight when it fails.
func (f *Front) Stop() {
	f.stopped = true
	f.placeAwaitingProbe()
}

// AddHandedOver adds an established session, handed over by an earlier process or module, that server id holds. One of an unknown
// service group is left alone.
func (f *Front) AddHandedOver(r Request, id ServerID) {
	g := f.knownGroup(r.Group)
	if g == nil {
		return
	}
	s := f.newSession(r, g)
	s.playing, s.setupsSent = true, 1
	f.refilledAt = f.now // own sessions are handed over, so none have to come back
	if sv := f.server(id); sv != nil {
		s.rateShare = f.rateShareAt(s, sv)
		f.attach(s, sv)
	}
}

func (f *Front) newSession(r Request, g *group) *session {
	s := &session{id: r.ID, group: g, seat: seatKey{r.Title, r.Group}, startCell: r.StartCell, cellCount: r.CellCount,
		bestRung: max(min(g.knownRung(r.BestRung), g.top), g.floor), requestedAt: f.now, setupDeadline: r.SetupDeadline,
		rung: g.floor, wantedRung: g.floor, rateShare: 1}
	if r.Length > 0 {
		s.endsAt = f.now + r.Length
	}
	f.sessions[r.ID] = s
	return s
}

// smoothDemand brings a link's demand up to date: the top rates of own sessions there, smoothed over demandWindow.
func (f *Front) smoothDemand(l *link) {
	var top [2]float64
	for _, s := range l.sessions {
		top[s.group.premium] += s.rate(s.bestRung)
	}
	gain := 1 - math.Exp((l.smoothedAt-f.now)/demandWindow)
	for i := range top {
		l.demand[i] += (top[i] - l.demand[i]) * gain
		// Load surge: a lost server's sessions arrive at few holders faster than smoothing follows.
		l.demand[i] = max(l.demand[i], top[i])
	}
	l.smoothedAt = f.now
}

// target is the rate that a link is to carry: targetShare of its capacity, times the server's warm share where no load
// was reported since the server started.
func (f *Front) target(l *link, sv *server) float64 {
	if sv != nil && l == sv.link && l.readAt <= sv.startedAt {
		return f.targetShare * l.capacity * f.warmShare(sv)
	}
	return f.targetShare * l.capacity
}

// sumOwnSessions sums the rates of all own sessions, at most once per instant.
func (f *Front) sumOwnSessions() {
	if f.summedAt == f.now {
		return
	}
	f.summedAt, f.floorRateSum, f.topRates, f.rungRates = f.now, 0, [2]float64{}, [2]float64{}
	for _, l := range f.uplinks {
		for _, s := range l.sessions {
			f.topRates[s.group.premium] += s.rate(s.bestRung)
			f.rungRates[s.group.premium] += s.rate(s.wantedRung)
			f.floorRateSum += s.rate(s.group.floor)
		}
	}
	f.topRateSum = f.topRates[0] + f.topRates[1]
	// One assumed session of each group is added: the mix of a front with few sessions is no good estimate of the others'.
	f.decayPeerSums()
	tops := [2]float64{f.topRates[0] + f.peerSums[otherTopRates], f.topRates[1] + f.peerSums[premiumTopRates]}
	rungs := [2]float64{f.rungRates[0] + f.peerSums[otherRungRates], f.rungRates[1] + f.peerSums[premiumRungRates]}
	for _, g := range f.groups {
		tops[g.premium] += g.rates[g.top]
		rungs[g.premium] += assumedFraction * g.rates[g.top]
	}
	f.rungFraction = (rungs[0] + rungs[1]) / (tops[0] + tops[1])
	f.ownDemand = f.rungFraction * (f.topRateSum + smoothingSessions*f.groups[0].rates[f.groups[0].top])
	f.premiumShare[0], f.premiumShare[1] = tops[1]/(tops[0]+tops[1]), rungs[1]/(rungs[0]+rungs[1])
}

// surgeFactor estimates other fronts' present demand over that at a past instant by the change of own demand since
// (then, as ownDemand was): viewers come and go, and sessions change rungs, at all fronts alike. It guards against load
// surges that come faster than readings, and against old readings of an overload that would keep all sessions on low
// rungs. Drawback: viewers who move to this front alone look like a load surge. A front that has just started fills
// up anyway, so its growth shows nothing until refilledAt.
func (f *Front) surgeFactor(then float64) float64 {
	f.sumOwnSessions()
	if then == 0 || f.now < f.refilledAt {
		return 1
	}
	return min(max(f.ownDemand/then, 0.4), 2)
}

// otherDemand estimates the rates of other fronts' sessions on a link: its last reading less own rates, which decays
// into the mean load of such links as sessions turn over.
func (f *Front) otherDemand(l *link) float64 {
	// Where uplinks are not reported, their load follows from that of links.
	mean := cmp.Or(f.meanLoad[0], assumedLoad)
	if l.kind == 1 {
		mean = cmp.Or(f.meanLoad[1], mean*f.fleetLinkCapacity/f.uplinkCapacity)
	}
	weight := 0.0
	if l.readAt > 0 {
		weight = math.Exp((l.readAt - f.now) / readingDecay)
	}
	return weight*l.otherDemand*f.surgeFactor(l.ownDemandAtReading) +
		(1-weight)*mean*f.surgeFactor(f.meanLoadDemand)*l.capacity*(1-1/float64(f.fronts))
}

// warmShare is the share of its capacity that a server has reached.
func (f *Front) warmShare(sv *server) float64 {
	if sv.startedAt == 0 || f.now-sv.startedAt >= f.warmUpSeconds {
		return 1
	}
	return f.coldShare + (1-f.coldShare)*max(f.now-sv.startedAt, 0)/f.warmUpSeconds
}

// pressure is the demand on a link over its target, with added put on top of the demand of s's group: own is what the
// group's rungs are scaled by, total decides whether new sessions get a busy reply.
func (f *Front) pressure(l *link, sv *server, s *session, added float64) (own, total float64) {
	f.smoothDemand(l)
	target := max(f.target(l, sv), 1)
	demand := l.demand
	demand[s.group.premium] += added
	// Other fronts' demand, like the own one, is in top rates: their rates over the fraction that sessions play at.
	f.sumOwnSessions()
	others := f.otherDemand(l)
	premiumOfTop, premiumOfRungs := f.premiumShare[0], f.premiumShare[1]
	demand[0] += others / f.rungFraction * (1 - premiumOfTop)
	demand[1] += others / f.rungFraction * premiumOfTop
	// A short-delivery note raises all demand to what shows the shortage, and less as time goes on without notes.
	if minDemand := l.shortfallDemand * math.Exp((l.shortfallAt-f.now)/shortfallDecay); minDemand > demand[0]+demand[1] &&
		demand[0]+demand[1] > 0 {
		factor := minDemand / (demand[0] + demand[1])
		demand[0], demand[1] = demand[0]*factor, demand[1]*factor
	}
	// In an overload the lead of the premium groups is bounded: a few top rungs cost many others their lowest.
	if s.group.premium == 1 {
		return max(demand[1], (demand[0]+demand[1])/premiumLead) / target, demand[1] / target
	}
	return demand[0] / max(target-l.rungDemand(true)-others*premiumOfRungs, 1), (demand[0] + demand[1]) / target
}

// rungClass is what the rung of a session depends on, beside the load of its server.
type rungClass struct {
	group *group
	best  ladderRung
}

// rungFor is the rung nearest to the session's top rate times target over demand, by the tighter of link and uplink.
func (f *Front) rungFor(s *session, sv *server, added float64) ladderRung {
	onLink, _ := f.pressure(sv.link, sv, s, added)
	onUplink, _ := f.pressure(sv.uplink, sv, s, added)
	wantedRate := s.group.rates[s.bestRung] / max(onLink, onUplink, 1)
	rung := s.bestRung
	for i := s.bestRung - 1; i >= s.group.floor; i-- {
		if math.Abs(s.group.rates[i]-wantedRate) < math.Abs(s.group.rates[rung]-wantedRate) {
			rung = i
		}
	}
	return rung
}

// rateShareAt is the share of its rate that a session adds at a server: less than 1 where a stream of its live title
// runs there, which own sessions show, or probably does, because all fronts prefer the same of the title's holders,
// one in streamHolders. Viewers gather on these; headroom and load reports move further ones to other holders.
func (f *Front) rateShareAt(s *session, sv *server) float64 {
	if s.group.AddedRateShare < 1 && (titleHash(s.seat.title, sv.id)%streamHolders == 0 ||
		slices.ContainsFunc(sv.link.sessions, func(o *session) bool { return o.seat == s.seat })) {
		return s.group.AddedRateShare
	}
	return 1
}

// place chooses holder and rung, or rejects the session.
func (f *Front) place(s *session) {
	f.changed = append(f.changed, s)
	s.setupWanted = false
	if f.stopped || f.noSeatLeft(s) || f.now >= s.setupDeadline ||
		s.setupsSent > 0 && (s.setupsSent >= f.maxSetups || s.group.Paid && s.mayHaveRun || !f.retryAllowed()) {
		f.reject(s)
		return
	}
	type holder struct {
		sv       *server
		headroom float64
		full     bool
	}
	var candidates []holder
	top, floor := s.group.rates[s.bestRung], s.group.rates[s.group.floor]
	for _, sv := range f.servers {
		if (sv.cell-s.startCell+f.cells)%f.cells >= s.cellCount || sv.state != Ready {
			continue
		}
		// An ejected server is probed when requests want it, more rarely the longer it is ejected: among many fronts
		// probes by a timer would outnumber the requests. A server that is back may be missed for 4 s.
		if sv.ejected && f.now >= sv.nextProbeAt {
			sv.probeWanted, sv.nextProbeAt = true, f.now+max(1, min(4, (f.now-sv.ejectedAt)/3))
		}
		if sv.ejected || f.now < sv.fullUntil || !f.mayReceiveSetup(sv) || slices.Contains(s.tried, sv) {
			continue
		}
		_, onLink := f.pressure(sv.link, sv, s, 0)
		_, onUplink := f.pressure(sv.uplink, sv, s, 0)
		headroom := f.headroom(sv)
		s.rateShare = f.rateShareAt(s, sv)
		if s.rateShare < 1 {
			headroom += (1 - s.rateShare) * s.group.rates[f.rungFor(s, sv, top*s.rateShare)]
		}
		// Where demand is over twice the target, a session is rejected unless its lowest rung fits under the target,
		// or would if all others were at theirs: viewers don't wait, and a tenth of the rate gives a quarter of the
		// utility. The others step down as load notes show the excess; the limit of 0.7 keeps their loss small.
		full := max(onLink, onUplink) > 2 && headroom < floor &&
			max(f.floorPressure(sv.link, sv, s), f.floorPressure(sv.uplink, sv, s)) > 0.7
		// Near ties are decided at random, so that fronts that know the same don't all choose the same server.
		headroom += top * 0.02 * f.random()
		if sv.zone == f.zone {
			headroom += top * f.sameZoneBonus
		}
		candidates = append(candidates, holder{sv, headroom, full})
	}
	slices.SortStableFunc(candidates, func(a, b holder) int { return cmp.Compare(b.headroom, a.headroom) })
	// The best holder is probed first where its load was not reported lately: where fronts are many, each knows few
	// links. Probing a second and third holder costs as much as it gains.
	if f.probeFirst && s.setupsSent == 0 && !s.probeAwaited && len(candidates) > 1 && s.setupDeadline-f.now > 1 {
		if sv := candidates[0].sv; f.now-sv.link.reportedAt > recentReport {
			sv.probeWanted, s.probeAwaited, s.awaitedProbe = true, true, sv
			f.awaitingProbe = append(f.awaitingProbe, s)
			return
		}
	}
	i := slices.IndexFunc(candidates, func(h holder) bool { return !h.full })
	if i < 0 {
		f.reject(s)
		return
	}
	best := candidates[i].sv
	s.rateShare = f.rateShareAt(s, best)
	rung := f.rungFor(s, best, s.rate(s.bestRung))
	if rung > s.group.floor && s.rate(rung) > f.headroom(best)-reserveShare*best.link.capacity {
		rung--
	}
	s.wantedRung, s.setupWanted = rung, true
	f.attach(s, best)
	if slot := math.Floor(f.now / max(f.slotSeconds, 1e-3)); slot != best.slot {
		best.slot, best.slotSetups = slot, 0
	}
	best.slotSetups++
	if s.setupsSent > 0 {
		f.retries = append(f.retries, f.now)
	}
}

// retryAllowed reports whether one more retry stays within the retry budget, a sliding window. First SETUPs count for a
// little less than the window and retries for a little more, so that rounded instants can't exceed it. A request
// without a SETUP adds nothing, which guards against viewers that send requests by the hundred and withdraw them.
// Drawback: the budget is tighter than allowed where many requests get a busy reply without a SETUP.
func (f *Front) retryAllowed() bool {
	f.firstSetups = slices.DeleteFunc(f.firstSetups, func(t float64) bool { return f.now-t >= f.retryWindow*0.98 })
	f.retries = slices.DeleteFunc(f.retries, func(t float64) bool { return f.now-t > f.retryWindow*1.02 })
	return f.retryWindow <= 0 || float64(len(f.retries)+1) <= f.baseRetries+f.retriesPerSession*float64(len(f.firstSetups))
}

// mayReceiveSetup reports whether a server's warm-up allows this front a SETUP now. To keep fronts, some of them just
// restarted, from overloading a cold server together, time is divided into slots that fronts own in turn, with one SETUP
// per slot, and more as the server warms up. This fails if fronts' clocks differ by more than a slot; where clocks are
// unrelated, random slots replace the turns (choice/slowstart).
func (f *Front) mayReceiveSetup(sv *server) bool {
	warm := f.warmShare(sv)
	if warm == 1 || f.slotSeconds == 0 {
		return true
	}
	slot := math.Floor(f.now / f.slotSeconds)
	if f.unsyncedClock {
		used := 0.0
		if sv.slot == slot {
			used = sv.slotSetups
		}
		return used < float64(slowstart.Allowed(f.coldBudget*warm/f.coldShare, f.slotCount, f.fronts, f.seed,
			uint32(sv.id), int64(slot)))
	}
	if int(math.Mod(slot, float64(f.fronts))) != f.index%f.fronts || f.halfSlots && f.now/f.slotSeconds-slot > 0.5 {
		return false
	}
	return sv.slot != slot || sv.slotSetups < math.Floor(0.9*warm/f.coldShare)
}

// reject answers a session: busy where its SETUPs provably never ran or may be repeated, failed otherwise.
func (f *Front) reject(s *session) {
	s.answer = busy
	if s.group.Paid && s.mayHaveRun {
		s.answer = failed
	}
}

// SessionEstablished reports that a session is established.
func (f *Front) SessionEstablished(id SessID) {
	if s := f.sessions[id]; s != nil && s.holder != nil {
		s.playing, s.rungChangedAt = true, f.now
		f.markAlive(s.holder)
	}
}

// SetupEnded reports how a SETUP, or the session it established, ended; final means that no answer is due.
func (f *Front) SetupEnded(id SessID, server ServerID, outcome Outcome, final bool, report LoadReport) {
	sv := f.server(server)
	if sv != nil {
		switch outcome {
		case Served, ServerError, Full:
			f.markAlive(sv)
			f.recordReport(sv, report, 0)
		case TimedOut, NoConnection, Reset:
			f.eject(sv, outcome != NoConnection)
		}
		if outcome == Full {
			sv.fullUntil = f.now + fullSeconds
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
	if outcome != Full && outcome != NoConnection && outcome != Unsent {
		s.mayHaveRun = true
	}
	s.tried = append(s.tried, sv)
	if outcome == EndedUnanswered { // the viewer has had its session; a retry would start another one after its end
		f.changed = append(f.changed, s)
		f.reject(s)
		return
	}
	f.place(s)
}

// RequestClosed reports that the viewer gave up or that the request has ended.
func (f *Front) RequestClosed(id SessID) {
	if s := f.sessions[id]; s != nil {
		if s.answer, s.setupWanted = closed, false; !s.inFlight {
			f.detach(s)
			delete(f.sessions, id)
		}
	}
}

// SetCurrentRung reports the rung at which a session plays: one that was handed over, or whose server refused a change. A rung
// that the ladder in force doesn't have counts as its nearest one.
func (f *Front) SetCurrentRung(id SessID, rung int) {
	if s := f.sessions[id]; s != nil {
		s.rung = s.group.knownRung(rung)
		s.wantedRung = s.rung
	}
}

// LoadNote handles a load note: the demand on a server's link, or on its rack's uplink, over the capacity.
func (f *Front) LoadNote(id SessID, server ServerID, load float64, uplink bool) {
	sv := f.server(server)
	if sv == nil || !isLoad(load) {
		return
	}
	f.markAlive(sv)
	lag := f.noteLag
	if s := f.sessions[id]; s != nil && s.rungChangedAt == f.now {
		lag = 0 // a note that comes with a SETUP's answer is current
	}
	if uplink {
		f.recordLoad(sv.uplink, load, lag)
	} else {
		f.recordLoad(sv.link, load, lag)
	}
}

// recordReport records a load report that is lag seconds old.
func (f *Front) recordReport(sv *server, report LoadReport, lag float64) {
	// A capped load near its cap may, with its noise, hide any excess: it counts only where it raises the known load.
	known := sv.link.rungDemand(false) + f.otherDemand(sv.link)
	if isLoad(report.Link) && (!report.Capped || report.Link < 0.9 || report.Link*sv.link.capacity > known) {
		f.recordLoad(sv.link, report.Link, lag)
	}
	if isLoad(report.Uplink) {
		f.recordLoad(sv.uplink, report.Uplink, lag)
	}
}

// recordLoad records a link's load as a server reported it.
func (f *Front) recordLoad(l *link, load, lag float64) {
	l.reportedLoad, l.reportedAt = load, f.now
	f.sumOwnSessions()
	f.meanLoadDemand = cmp.Or(f.meanLoadDemand, f.ownDemand)
	f.meanLoadDemand += (f.ownDemand - f.meanLoadDemand) / 10
	f.estimateOtherDemand(l, load, lag)
}

// estimateOtherDemand estimates the rates of other fronts' sessions on a link from its load lag seconds ago.
func (f *Front) estimateOtherDemand(l *link, load, lag float64) {
	own := l.rungDemand(false)
	if i := int(lag / timerInterval); i > 0 {
		own = l.pastDemand[min(i, len(l.pastDemand))-1]
	}
	// Where own sessions alone demand more than the load times the nominal capacity, the capacity is larger than nominal.
	l.capacity += (max(l.nominal, own/max(load, 0.1)) - l.capacity) * 0.6
	if other := max(load*l.capacity-own, 0); l.readAt == 0 {
		l.otherDemand = other
	} else {
		l.otherDemand += (other - l.otherDemand) * 0.8 // reports are noisy, but each shows a later state
	}
	f.sumOwnSessions()
	l.readAt, l.changed, l.ownDemandAtReading = f.now, true, f.ownDemand
}

// ShortDelivery handles a short-delivery note: the share of the rate that a server delivers; 0.98 or more means that the
// shortage is over.
func (f *Front) ShortDelivery(server ServerID, share float64) {
	sv := f.server(server)
	if sv == nil || !isLoad(share) || share >= 0.98 {
		return
	}
	f.markAlive(sv)
	// Sessions that get next to nothing are on a server that hangs, not on an overloaded link.
	if share < 0.3 {
		f.eject(sv, false)
		return
	}
	// Notes don't state whether link or uplink is short: it is the link, unless a recent report shows the uplink full.
	l := sv.link
	if f.now-sv.uplink.reportedAt < recentReport && sv.uplink.reportedLoad > 1 {
		l = sv.uplink
	}
	l.shortfallDemand, l.shortfallAt =
		max(l.capacity/max(share, 0.1), l.shortfallDemand*math.Exp((l.shortfallAt-f.now)/shortfallDecay)), f.now
	f.estimateOtherDemand(l, 1/max(share, 0.1), f.noteLag)
}

// ProbeEnded reports how a probe ended.
func (f *Front) ProbeEnded(server ServerID, outcome Outcome, report LoadReport) {
	sv := f.server(server)
	if sv == nil {
		return
	}
	sv.probePending = false
	defer f.placeAwaitingProbe()
	if outcome == Unsent { // this shows nothing about the server
		return
	}
	if outcome != Served {
		f.eject(sv, false)
		return
	}
	f.markAlive(sv)
	f.recordReport(sv, report, 0.25)
	if sv.ejected {
		// The server may have restarted, and be cold, before the list of servers shows it.
		if sv.probesAnswered++; sv.probesAnswered >= probesToReinstate {
			sv.ejected, sv.startedAt = false, max(sv.startedAt, f.now)
		}
		// One lost answer, slow SETUP or cut connection looks like a dead server. A probe answered at once shows that
		// the server lives and is warm, as no machine restarts that fast. Drawback: where one did, it would count as
		// warm until the list reports the start.
		if sv.ejectedForSetups && f.now-sv.ejectedAt < 0.5 {
			sv.ejected = false
		}
	}
}

// markAlive records a sign of life.
func (f *Front) markAlive(sv *server) {
	if sv.lastHeardAt > 0 && f.now > sv.lastHeardAt {
		sv.gaps.add(f.now - sv.lastHeardAt)
	}
	sv.lastHeardAt = f.now
}

// eject keeps sessions from a server until it answers probes. Where only SETUPs failed (forSetups), it is probed at once.
func (f *Front) eject(sv *server, forSetups bool) {
	sv.probesAnswered, sv.ejectedForSetups = 0, forSetups && (sv.ejectedForSetups || !sv.ejected)
	if !sv.ejected {
		sv.ejected, sv.ejectedAt, sv.nextProbeAt, sv.probeWanted = true, f.now, f.now, sv.probeWanted || forSetups
	}
}

// HandleTimer probes silent servers and moves established sessions to other rungs. It does nothing before the timer that
// SetTimer asked for expires.
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

// updateMeanLoad averages the last reported load of each link, not all readings: probes go where most requests are, and
// would weigh too much. Assumed loads stand in until there are reports.
func (f *Front) updateMeanLoad(links []*link) {
	var sum, weights [2]float64
	for _, l := range links {
		if l.reportedAt > 0 {
			weight := math.Exp((l.reportedAt - f.now) / reportedLoadDecay)
			sum[l.kind], weights[l.kind] = sum[l.kind]+weight*l.reportedLoad, weights[l.kind]+weight
		}
	}
	f.ownLoads = [2]float64{sum[0], weights[0]}
	f.decayPeerSums()
	sum[0], weights[0] = sum[0]+f.peerSums[loadSum], weights[0]+f.peerSums[loadCount]
	for i := range sum {
		if weights[i] > 0 {
			f.meanLoad[i] = (sum[i] + assumedWeight*assumedLoad) / (weights[i] + assumedWeight)
		}
	}
}

// probeIfSilent probes a server whose silence is unusual for the gaps before.
func (f *Front) probeIfSilent(sv *server) {
	if !f.probesAllowed || sv.probePending || sv.ejected || sv.state != Ready {
		return
	}
	// Only servers with sessions report. About one gap in fifty exceeds four mean deviations; three intervals allow for
	// late reports.
	if len(sv.link.sessions) > 0 && f.noteInterval > 0 && sv.gaps.mean > 0 &&
		f.now-sv.lastHeardAt > max(sv.gaps.mean+4*sv.gaps.deviation, f.noteInterval*3) {
		sv.probeWanted, sv.lastHeardAt = true, f.now
	}
}

// changeRung has Reconcile set another rung.
func (f *Front) changeRung(s *session, rung ladderRung) {
	s.wantedRung, s.rungChangedAt = rung, f.now
	f.changed = append(f.changed, s)
}

// drawStep reports whether a session changes its rate by step. A step larger than part, this front's part of the headroom
// or excess, is made with probability part/step, so that all fronts, which learn of the same load at once, together change
// about as much as there is.
func (f *Front) drawStep(step, part float64) bool { return step <= part || f.random() < part/step }

// stepDown moves sessions one rung down while the rates on a link exceed the target by a tenth.
func (f *Front) stepDown(l *link, sv *server) {
	own := l.rungDemand(false)
	total, target := own+f.otherDemand(l), f.target(l, sv)
	if !l.changed || f.now < l.nextStepDown || total <= target*1.1 {
		return
	}
	excess := (total - target) * own / total // this front's part
	// Half of the sessions step down at a time. A slower pace lets an overloaded link spoil all of its sessions, a faster
	// one follows noisy and late readings back and forth.
	for remaining := (len(l.sessions) + 1) / 2; remaining > 0 && excess > 0; remaining-- {
		s := l.heaviest(func(s *session) float64 {
			below := max(s.wantedRung-1, s.group.floor)
			return (s.rate(s.wantedRung) - s.rate(below)) / s.group.Utility
		})
		if s == nil {
			return
		}
		rung := s.wantedRung - 1
		decrease := s.rate(s.wantedRung) - s.rate(rung)
		if !f.drawStep(decrease, excess) {
			return
		}
		excess -= decrease
		f.changeRung(s, rung)
		l.nextStepDown, l.nextStepUp = f.now+stepDownInterval, f.now+stepUpAfterDown
	}
}

// stepUp moves one session of a server a rung up when link and uplink have headroom.
func (f *Front) stepUp(sv *server) {
	// Without reports the mean load of links decides: some servers report their load to probes only.
	unreported := f.now-max(sv.link.readAt, sv.link.stepUpCheckedAt) >= 3
	if !unreported && !sv.link.changed && !sv.uplink.changed || f.now < max(sv.link.nextStepUp, sv.uplink.nextStepUp) ||
		sv.state != Ready {
		return
	}
	sv.link.stepUpCheckedAt = f.now
	headroom := f.headroom(sv) - reserveShare*sv.link.capacity
	// Sessions of a group that have the same best rung have the same place on the ladder: it is looked for once, as it takes a sum over
	// all sessions of the server.
	clear(f.placeOf)
	placeFor := func(s *session) ladderRung {
		class := rungClass{s.group, s.bestRung}
		rung, known := f.placeOf[class]
		if !known {
			rung = f.rungFor(s, sv, 0)
			f.placeOf[class] = rung
		}
		return rung
	}
	addedRate := func(s *session) float64 {
		if placeFor(s) <= s.wantedRung {
			return 0
		}
		return s.rate(s.wantedRung+1) - s.rate(s.wantedRung)
	}
	s := sv.link.heaviest(func(s *session) float64 {
		added := addedRate(s)
		if added == 0 || added > headroom || s.endsAt > 0 && s.endsAt < f.now+3 || f.now-s.rungChangedAt < minSecondsBeforeStep {
			return 0
		}
		return s.group.Utility / added
	})
	if s == nil {
		return
	}
	own := sv.link.rungDemand(false)
	if f.drawStep(addedRate(s), headroom*own/(own+f.otherDemand(sv.link))) {
		f.changeRung(s, s.wantedRung+1)
		sv.link.nextStepUp = f.now + 1
	}
}

// headroom is the rate left under the target on the tighter of a server's link and uplink.
func (f *Front) headroom(sv *server) float64 {
	return min(f.target(sv.link, sv)-sv.link.rungDemand(false)-f.otherDemand(sv.link),
		f.target(sv.uplink, sv)-sv.uplink.rungDemand(false)-f.otherDemand(sv.uplink))
}

// floorPressure is the rate on a link over its target if s were added and all sessions were at their lowest rungs.
func (f *Front) floorPressure(l *link, sv *server, s *session) float64 {
	f.sumOwnSessions()
	sum := s.rate(s.group.floor)
	for _, o := range l.sessions {
		sum += o.rate(o.group.floor)
	}
	if total := f.rungRates[0] + f.rungRates[1]; total > 0 {
		sum += f.otherDemand(l) * f.floorRateSum / total
	}
	return sum / f.target(l, sv)
}

// setupWait is how many seconds a SETUP may take. One that may be repeated leaves time for a retry within the start
// target.
func (f *Front) setupWait(s *session) float64 {
	if s.group.Paid || s.setupsSent+1 >= f.maxSetups {
		return s.setupDeadline - f.now
	}
	return min(s.setupDeadline-f.now, 0.4*s.group.StartTarget)
}

// Reconcile emits the difference between the wanted state and the present one. Nothing else emits actions.
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
			f.actions.SetRung(s.id, int(s.wantedRung))
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
		message := encodeMessage(frontSums{f.topRates[0], f.topRates[1], f.rungRates[0], f.rungRates[1],
			f.ownLoads[0], f.ownLoads[1]})
		for range messagesPerRequest { // to fronts at random
			f.actions.SendMessage((f.index+1+int(f.random()*float64(f.fronts-1)))%f.fronts, message)
		}
		f.messageDue = false
	}
	if f.nextTimer == 0 {
		f.nextTimer = f.now + timerInterval
		f.actions.SetTimer(timerInterval)
	}
}
