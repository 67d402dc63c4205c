package choice

import (
	"fmt"
	"math/rand"
	"slices"
)

// testConfig has two service groups; the first is paid and premium, with a floor and seats.
func testConfig() Config {
	return Config{Seed: 7, Fronts: 2, Groups: []ServiceGroup{
		{Utility: 3, Scale: 1.4, StartTarget: 1, Paid: true, Floor: 1, Top: 3, Seats: 6},
		{Utility: 1, Scale: 1, StartTarget: 1, Top: 3}},
		Ladder: []float64{200, 500, 1000, 2000}, Cells: 6, Racks: 2,
		FleetLinkCapacity: 60000, MeanUplinkCapacity: 25000, MaxStreams: []float64{20}, NoteLag: 1, NoteInterval: 3,
		MaxSetups: 2, MaxRetryAfter: 1, Probes: true, Reporting: ReportsInAnswers, WarmUp: 10, ColdShare: 0.4, OverloadFactor: 3,
		OverloadTime: 1, BaseRetries: 2, RetriesPerSession: 0.1, RetryWindow: 5}
}

// testFleet has one ready server per cell, with ids from 10.
func testFleet() (list []Listing) {
	for i := range 6 {
		list = append(list, Listing{ID: ServerID(10 + i), Cell: i, State: Ready, Weight: 1})
	}
	return list
}

// simulation runs fronts against random servers and viewers and checks the rules at each action.
type simulation struct {
	rand       *rand.Rand
	now        float64
	config     Config
	fronts     []*simulatedFront
	states     map[ServerID]Lifecycle
	startedAt  map[ServerID]float64
	coldSetups map[ServerID][]float64 // instants of SETUPs that all fronts sent while cold
	lastID     int
	violations []string // of the rules
}

// simulatedFront is a Front with its viewers. It implements Actions.
type simulatedFront struct {
	sim                      *simulation
	front                    *Front
	requests                 map[SessID]*simRequest
	openIDs                  []SessID // of requests not yet answered or ended, in order
	requestTimes, retryTimes []float64
	timer                    float64 // when it expires
	probes                   []ServerID
	busyReplies, failures    int
	messages                 [][]byte
}

// simRequest is a request and what became of it.
type simRequest struct {
	Request
	requestedAt                 float64
	setupsSent                  int
	inFlight, playing, answered bool
	mayHaveRun                  bool
	server                      ServerID
	rung                        int
	endsAt                      float64
}

func newSimulation(seed int64, fronts int) *simulation {
	sim := &simulation{rand: rand.New(rand.NewSource(seed)), now: 100, config: testConfig(), states: map[ServerID]Lifecycle{},
		startedAt: map[ServerID]float64{}, coldSetups: map[ServerID][]float64{}}
	sim.config.Fronts, sim.config.PeerMessages = fronts, seed%2 == 0
	for _, e := range testFleet() {
		sim.states[e.ID] = Ready
	}
	for i := range fronts {
		sf := &simulatedFront{sim: sim}
		sim.fronts = append(sim.fronts, sf)
		sf.start(i)
	}
	return sim
}

func (sf *simulatedFront) start(me int) {
	config := sf.sim.config
	config.FrontIndex, config.Seed = me, uint64(sf.sim.rand.Int63())
	sf.requests, sf.openIDs, sf.requestTimes, sf.retryTimes, sf.probes = map[SessID]*simRequest{}, nil, nil, nil, nil
	sf.front = New(sf.sim.now, config, sf)
	sf.front.UpdateServers(true, sf.sim.listings())
	sf.front.Reconcile()
}

func (sim *simulation) listings() (list []Listing) {
	for _, e := range testFleet() {
		if e.State, e.StartedAt = sim.states[e.ID], sim.startedAt[e.ID]; e.State != Gone {
			list = append(list, e)
		}
	}
	return list
}

func (sim *simulation) violation(format string, a ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, a...))
}

func (sf *simulatedFront) request(r Request) *simRequest {
	sf.sim.lastID++
	r.ID = SessID(fmt.Sprint("s", sf.sim.lastID))
	req := &simRequest{Request: r, requestedAt: sf.sim.now, rung: sf.sim.config.Groups[r.Group].Floor}
	sf.requests[r.ID], sf.openIDs = req, append(sf.openIDs, r.ID)
	sf.requestTimes = append(sf.requestTimes, sf.sim.now)
	sf.front.SetTime(sf.sim.now)
	sf.front.RequestSession(r)
	return req
}

func (sf *simulatedFront) SetRung(id SessID, rung int) {
	req := sf.requests[id]
	if req == nil || req.answered || rung < sf.sim.config.Groups[req.Group].Floor || rung > req.BestRung {
		sf.sim.violation("rule 5: rung %d for %s", rung, id)
		return
	}
	req.rung = rung
}

func (sf *simulatedFront) Setup(id SessID, server ServerID, wait float64) {
	sim, req := sf.sim, sf.requests[id]
	if req == nil || req.answered || req.inFlight || req.playing || sim.now >= req.SetupDeadline || wait <= 0 {
		sim.violation("rules 1, 2: SETUP for %s, which must not have one", id)
		return
	}
	g := sim.config.Groups[req.Group]
	if g.Paid && req.mayHaveRun {
		sim.violation("rule 2: second SETUP for paid session %s, which may have run", id)
	}
	if sim.states[server] != Ready {
		sim.violation("rule 3: SETUP to server %d in state %d", server, sim.states[server])
	}
	cell := int(server) - 10
	if (cell-req.StartCell+sim.config.Cells)%sim.config.Cells >= req.CellCount {
		sim.violation("SETUP to a server without the title")
	}
	if age := sim.now - sim.startedAt[server]; sim.startedAt[server] > 0 && age < sim.config.WarmUp {
		sent := append(sim.coldSetups[server], sim.now)
		sim.coldSetups[server] = sent
		share := sim.config.ColdShare + (1-sim.config.ColdShare)*max(age-sim.config.OverloadTime, 0)/sim.config.WarmUp
		budget := sim.config.OverloadFactor * sim.config.MaxStreams[0] / sim.config.WarmUp * share * sim.config.OverloadTime
		if n := countWithin(sent, sim.now, sim.config.OverloadTime); float64(n) > budget {
			sim.violation("rule 4: %d SETUPs to a cold server within the overload time, budget %.1f", n, budget)
		}
	}
	if g.Seats > 0 && sf.sessionCount(req.Title, req.Group) >= g.Seats {
		sim.violation("rule 5: SETUP for %s with all seats taken", req.Title)
	}
	if req.setupsSent > 0 {
		sf.retryTimes = append(sf.retryTimes, sim.now)
		n := countWithin(sf.retryTimes, sim.now, sim.config.RetryWindow)
		requests := countWithin(sf.requestTimes, sim.now, sim.config.RetryWindow)
		if float64(n) > sim.config.BaseRetries+sim.config.RetriesPerSession*float64(requests) {
			sim.violation("rule 6: %d retries within the window", n)
		}
	}
	req.setupsSent++
	req.inFlight, req.server = true, server
	if req.setupsSent > sim.config.MaxSetups {
		sim.violation("%d SETUPs for one request", req.setupsSent)
	}
}

// countWithin counts the instants in the window before now.
func countWithin(at []float64, now, window float64) (n int) {
	for _, t := range at {
		if now-t <= window {
			n++
		}
	}
	return n
}

// sessionCount counts SETUPs in flight and sessions.
func (sf *simulatedFront) sessionCount(title string, group int) (n int) {
	for _, req := range sf.requests {
		if req.Title == title && req.Group == group && (req.inFlight || req.playing) {
			n++
		}
	}
	return n
}

// answer marks a request as answered.
func (sf *simulatedFront) answer(id SessID) *simRequest {
	req := sf.requests[id]
	if req == nil || req.answered || req.inFlight || req.playing {
		sf.sim.violation("rule 1: answer for %s, which must not have one", id)
		return &simRequest{}
	}
	req.answered = true
	return req
}

func (sf *simulatedFront) BusyReply(id SessID, _ float64) {
	sf.busyReplies++
	if req := sf.answer(id); req.mayHaveRun && sf.sim.config.Groups[req.Group].Paid {
		sf.sim.violation("rule 2: busy reply for paid session %s, which may have run", id)
	}
}

func (sf *simulatedFront) SendMessage(front int, message []byte) {
	sf.messages = append(sf.messages, message)
	if sim := sf.sim; front < len(sim.fronts) && sim.rand.Intn(3) > 0 { // a third is lost, some are corrupted
		message = slices.Clone(message)
		message[sim.rand.Intn(len(message))] ^= byte(sim.rand.Intn(2) * sim.rand.Intn(256))
		sim.fronts[front].front.ReceiveMessage(message)
	}
}

func (sf *simulatedFront) FailureReply(id SessID) { sf.failures++; sf.answer(id) }

// reconcile calls Reconcile and answers the probes it sends, until there are no more.
func (sf *simulatedFront) reconcile() {
	for sf.front.Reconcile(); len(sf.probes) > 0; sf.front.Reconcile() {
		for _, s := range slices.Clone(sf.probes) {
			sf.front.ProbeEnded(s, Served, LoadReport{Link: -1, Uplink: -1})
		}
		sf.probes = nil
	}
}

func (sf *simulatedFront) SetTimer(after float64) { sf.timer = sf.sim.now + after }
func (sf *simulatedFront) Probe(s ServerID)       { sf.probes = append(sf.probes, s) }

// endSetup ends a SETUP or an established session.
func (sf *simulatedFront) endSetup(req *simRequest, o Outcome, final bool) {
	played := req.playing
	req.inFlight, req.playing = false, false
	if final {
		req.answered = true
	}
	if !played && o != Full && o != NoConnection && o != Unsent {
		req.mayHaveRun = true
	}
	sf.front.SetupEnded(req.ID, req.server, o, final,
		LoadReport{Link: sf.sim.rand.Float64() * 1.5, Uplink: sf.sim.rand.Float64()})
}

// step lets time pass and random events happen at each front, then checks that no request waits without an answer.
func (sim *simulation) step() {
	sim.now += sim.rand.Float64() * 0.2
	if sim.rand.Intn(40) == 0 {
		sim.changeState(ServerID(10 + sim.rand.Intn(6)))
	}
	for i, sf := range sim.fronts {
		if sim.rand.Intn(300) == 0 {
			sf.start(i)
			continue
		}
		sf.front.SetTime(sim.now)
		if sim.now >= sf.timer {
			sf.front.HandleTimer()
		}
		for _, id := range slices.Clone(sf.openIDs) {
			sf.advance(sf.requests[id])
		}
		sf.openIDs = slices.DeleteFunc(sf.openIDs, func(id SessID) bool { return sf.requests[id].answered })
		for _, s := range sf.probes {
			sf.front.ProbeEnded(s, []Outcome{Served, Served, TimedOut}[sim.rand.Intn(3)], LoadReport{Link: 0.5, Uplink: -1})
		}
		sf.probes = nil
		for range sim.rand.Intn(4) {
			sf.request(Request{Group: sim.rand.Intn(2), Title: fmt.Sprint("t", sim.rand.Intn(3)), StartCell: sim.rand.Intn(6),
				CellCount: 3, BestRung: 1 + sim.rand.Intn(3), SetupDeadline: sim.now + 0.1 + sim.rand.Float64()*4})
		}
		sf.front.Reconcile()
		for _, id := range sf.openIDs {
			if req := sf.requests[id]; !req.answered && !req.inFlight && !req.playing && sim.now-req.requestedAt > 0.6 {
				sim.violation("rule 1: %s has neither a SETUP nor an answer", id)
			}
		}
	}
}

// advance takes a request or session a random step further.
func (sf *simulatedFront) advance(req *simRequest) {
	sim := sf.sim
	switch {
	case req.inFlight && sim.now >= req.SetupDeadline:
		sf.endSetup(req, TimedOut, false)
	case req.inFlight && sim.rand.Intn(4) == 0:
		if sim.rand.Intn(3) == 0 {
			sf.endSetup(req, []Outcome{ServerError, Full, TimedOut, NoConnection, Reset}[sim.rand.Intn(5)], false)
			return
		}
		req.inFlight, req.playing, req.endsAt = false, true, sim.now+sim.rand.Float64()*20
		sf.front.SessionEstablished(req.ID)
	case req.inFlight && sim.rand.Intn(60) == 0:
		req.answered = true
		sf.front.RequestClosed(req.ID)
		sf.front.SetupEnded(req.ID, req.server, Cancelled, true, LoadReport{Link: -1, Uplink: -1})
		req.inFlight = false
	case req.playing && sim.now >= req.endsAt:
		sf.endSetup(req, Served, true)
	case req.playing && sim.rand.Intn(20) == 0:
		sf.front.ShortDelivery(req.server, sim.rand.Float64())
	case req.playing && sim.rand.Intn(20) == 0:
		sf.front.LoadNote(req.ID, req.server, sim.rand.Float64()*1.5, sim.rand.Intn(2) == 0)
	}
}

// changeState moves a server to its next state (ready, draining, gone) and updates all fronts.
func (sim *simulation) changeState(id ServerID) {
	switch sim.states[id] {
	case Ready:
		sim.states[id] = Draining
	case Draining:
		sim.states[id] = Gone
	default:
		sim.states[id], sim.startedAt[id], sim.coldSetups[id] = Ready, sim.now, nil
	}
	for _, sf := range sim.fronts {
		sf.front.SetTime(sim.now)
		sf.front.UpdateServers(false, []Listing{
			{ID: id, Cell: int(id) - 10, State: sim.states[id], Weight: 1, StartedAt: sim.startedAt[id]}})
		sf.front.Reconcile()
	}
}
