package choice

import (
	"fmt"
	"math/rand"
	"slices"
)

// testConfig are plain start testConfig: two service groups, the first paid and premium, with a floor and seats.
func testConfig() Config {
	return Config{Seed: 7, Fronts: 2, Groups: []ServiceGroup{
		{Utility: 3, Scale: 1.4, StartTarget: 1, Paid: true, Floor: 1, Top: 3, Seats: 6},
		{Utility: 1, Scale: 1, StartTarget: 1, Top: 3}},
		Ladder: []float64{200, 500, 1000, 2000}, Cells: 6, Racks: 2,
		FleetLinkCapacity: 60000, MeanUplinkCapacity: 25000, MaxStreams: []float64{20}, NoteLag: 1, NoteInterval: 3, MaxSetups: 2,
		MaxRetryAfter: 1, Probes: true, Reporting: ReportsInAnswers, WarmUp: 10, ColdShare: 0.4, OverloadFactor: 3,
		OverloadTime: 1, BaseRetries: 2, RetriesPerSession: 0.1, RetryWindow: 5}
}

func testFleet() (list []Listing) {
	for i := range 6 {
		list = append(list, Listing{ID: ServerID(10 + i), Cell: i, State: Ready, Weight: 1})
	}
	return list
}

// simulation plays servers and viewers to some fronts by chance, and checks the rules at each act.
type simulation struct {
	rand       *rand.Rand
	now        float64
	config     Config
	fronts     []*simulatedFront
	states     map[ServerID]Lifecycle
	startedAt  map[ServerID]float64
	coldSetups map[ServerID][]float64 // SETUPs sent while cold, by all fronts
	lastID     int
	violations []string
}

// simulatedFront is a front's surroundings: it takes the acts.
type simulatedFront struct {
	sim                      *simulation
	front                    *Front
	requests                 map[SessID]*simRequest
	openIDs                  []SessID
	requestTimes, retryTimes []float64
	timer                    float64
	probes                   []ServerID
	busyReplies, failures    int
	messages                 [][]byte
}

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
	w := &simulation{rand: rand.New(rand.NewSource(seed)), now: 100, config: testConfig(), states: map[ServerID]Lifecycle{},
		startedAt: map[ServerID]float64{}, coldSetups: map[ServerID][]float64{}}
	w.config.Fronts, w.config.PeerMessages = fronts, seed%2 == 0
	for _, e := range testFleet() {
		w.states[e.ID] = Ready
	}
	for i := range fronts {
		m := &simulatedFront{sim: w}
		w.fronts = append(w.fronts, m)
		m.start(i)
	}
	return w
}

func (m *simulatedFront) start(me int) {
	fig := m.sim.config
	fig.FrontIndex, fig.Seed = me, uint64(m.sim.rand.Int63())
	m.requests, m.openIDs, m.requestTimes, m.retryTimes, m.probes = map[SessID]*simRequest{}, nil, nil, nil, nil
	m.front = New(m.sim.now, fig, m)
	m.front.UpdateDirectory(true, m.sim.listings())
	m.front.Reconcile()
}

func (w *simulation) listings() (list []Listing) {
	for _, e := range testFleet() {
		if e.State, e.StartedAt = w.states[e.ID], w.startedAt[e.ID]; e.State != Gone {
			list = append(list, e)
		}
	}
	return list
}

func (w *simulation) violation(format string, a ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, a...))
}

func (m *simulatedFront) request(r Request) *simRequest {
	m.sim.lastID++
	r.ID = SessID(fmt.Sprint("s", m.sim.lastID))
	q := &simRequest{Request: r, requestedAt: m.sim.now, rung: m.sim.config.Groups[r.Group].Floor}
	m.requests[r.ID], m.openIDs = q, append(m.openIDs, r.ID)
	m.requestTimes = append(m.requestTimes, m.sim.now)
	m.front.SetTime(m.sim.now)
	m.front.RequestSession(r)
	return q
}

func (m *simulatedFront) SetRung(id SessID, rung int) {
	q := m.requests[id]
	if q == nil || q.answered || rung < m.sim.config.Groups[q.Group].Floor || rung > q.BestRung {
		m.sim.violation("rule 5: rung %d for %s", rung, id)
		return
	}
	q.rung = rung
}

func (m *simulatedFront) Setup(id SessID, server ServerID, wait float64) {
	w, q := m.sim, m.requests[id]
	if q == nil || q.answered || q.inFlight || q.playing || w.now >= q.SetupTimeout || wait <= 0 {
		w.violation("rules 1, 2: a SETUP for %s, which is not to have one", id)
		return
	}
	g := w.config.Groups[q.Group]
	if g.Paid && q.mayHaveRun {
		w.violation("rule 2: paid session %s is sent again", id)
	}
	if w.states[server] != Ready {
		w.violation("rule 3: a SETUP to server %d, which is %d", server, w.states[server])
	}
	cell := int(server) - 10
	if (cell-q.StartCell+w.config.Cells)%w.config.Cells >= q.CellCount {
		w.violation("a SETUP to a server without the title")
	}
	if age := w.now - w.startedAt[server]; w.startedAt[server] > 0 && age < w.config.WarmUp {
		sent := append(w.coldSetups[server], w.now)
		w.coldSetups[server] = sent
		share := w.config.ColdShare + (1-w.config.ColdShare)*max(age-w.config.OverloadTime, 0)/w.config.WarmUp
		budget := w.config.OverloadFactor * w.config.MaxStreams[0] / w.config.WarmUp * share * w.config.OverloadTime
		if n := countWithin(sent, w.now, w.config.OverloadTime); float64(n) > budget {
			w.violation("rule 4: %d SETUPs to a cold server within the fall time, %.1f are its budget", n, budget)
		}
	}
	if g.Seats > 0 && m.sessionCount(q.Title, q.Group) >= g.Seats {
		w.violation("rule 5: more sessions of %s than seats", q.Title)
	}
	if q.setupsSent > 0 {
		m.retryTimes = append(m.retryTimes, w.now)
		n := countWithin(m.retryTimes, w.now, w.config.RetryWindow)
		if float64(n) > w.config.BaseRetries+w.config.RetriesPerSession*float64(countWithin(m.requestTimes, w.now, w.config.RetryWindow)) {
			w.violation("rule 6: %d further SETUPs", n)
		}
	}
	q.setupsSent++
	q.inFlight, q.server = true, server
	if q.setupsSent > w.config.MaxSetups {
		w.violation("%d SETUPs for one request", q.setupsSent)
	}
}

func countWithin(at []float64, now, window float64) (n int) {
	for _, t := range at {
		if now-t <= window {
			n++
		}
	}
	return n
}

func (m *simulatedFront) sessionCount(title string, group int) (n int) {
	for _, q := range m.requests {
		if q.Title == title && q.Group == group && (q.inFlight || q.playing) {
			n++
		}
	}
	return n
}

func (m *simulatedFront) answer(id SessID) *simRequest {
	q := m.requests[id]
	if q == nil || q.answered || q.inFlight || q.playing {
		m.sim.violation("rule 1: an answer for %s, which is not to have one", id)
		return &simRequest{}
	}
	q.answered = true
	return q
}

func (m *simulatedFront) BusyReply(id SessID, _ float64) {
	m.busyReplies++
	if q := m.answer(id); q.mayHaveRun && m.sim.config.Groups[q.Group].Paid {
		m.sim.violation("rule 2: paid session %s may have run and gets a busy reply", id)
	}
}

func (m *simulatedFront) SendMessage(front int, words []byte) {
	m.messages = append(m.messages, words)
	if w := m.sim; front < len(w.fronts) && w.rand.Intn(3) > 0 { // others are lost
		words = slices.Clone(words)
		words[w.rand.Intn(len(words))] ^= byte(w.rand.Intn(2) * w.rand.Intn(256))
		w.fronts[front].front.ReceiveMessage(words)
	}
}
func (m *simulatedFront) FailureReply(id SessID) { m.failures++; m.answer(id) }

// reconcile lets the front act and answers its probes at once.
func (m *simulatedFront) reconcile() {
	for m.front.Reconcile(); len(m.probes) > 0; m.front.Reconcile() {
		for _, s := range slices.Clone(m.probes) {
			m.front.ProbeEnded(s, Served, LoadReport{Link: -1, Uplink: -1})
		}
		m.probes = nil
	}
}

func (m *simulatedFront) SetTimer(after float64) { m.timer = m.sim.now + after }
func (m *simulatedFront) Probe(s ServerID)       { m.probes = append(m.probes, s) }

// endSetup tells the front that a SETUP ended.
func (m *simulatedFront) endSetup(q *simRequest, o Outcome, final bool) {
	played := q.playing
	q.inFlight, q.playing = false, false
	if final {
		q.answered = true
	}
	if !played && o != Full && o != NoConnection && o != Unsent {
		q.mayHaveRun = true
	}
	m.front.SetupEnded(q.ID, q.server, o, final, LoadReport{Link: m.sim.rand.Float64() * 1.5, Uplink: m.sim.rand.Float64()})
}

// step lets some time pass and something happen at each front, then checks that nothing is left unanswered.
func (w *simulation) step() {
	w.now += w.rand.Float64() * 0.2
	if w.rand.Intn(40) == 0 {
		w.changeState(ServerID(10 + w.rand.Intn(6)))
	}
	for i, m := range w.fronts {
		if w.rand.Intn(300) == 0 {
			m.start(i)
			continue
		}
		m.front.SetTime(w.now)
		if w.now >= m.timer {
			m.front.HandleTimer()
		}
		for _, id := range slices.Clone(m.openIDs) {
			m.advance(m.requests[id])
		}
		m.openIDs = slices.DeleteFunc(m.openIDs, func(id SessID) bool { return m.requests[id].answered })
		for _, s := range m.probes {
			m.front.ProbeEnded(s, []Outcome{Served, Served, TimedOut}[w.rand.Intn(3)], LoadReport{Link: 0.5, Uplink: -1})
		}
		m.probes = nil
		for range w.rand.Intn(4) {
			m.request(Request{Group: w.rand.Intn(2), Title: fmt.Sprint("t", w.rand.Intn(3)), StartCell: w.rand.Intn(6),
				CellCount: 3, BestRung: 1 + w.rand.Intn(3), SetupTimeout: w.now + 0.1 + w.rand.Float64()*4})
		}
		m.front.Reconcile()
		for _, id := range m.openIDs {
			if q := m.requests[id]; !q.answered && !q.inFlight && !q.playing && w.now-q.requestedAt > 0.6 {
				w.violation("rule 1: %s is held without a SETUP or an answer", id)
			}
		}
	}
}

// advance lets chance carry a session on.
func (m *simulatedFront) advance(q *simRequest) {
	w := m.sim
	switch {
	case q.inFlight && w.now >= q.SetupTimeout:
		m.endSetup(q, TimedOut, false)
	case q.inFlight && w.rand.Intn(4) == 0:
		if w.rand.Intn(3) == 0 {
			m.endSetup(q, []Outcome{ServerError, Full, TimedOut, NoConnection, Reset}[w.rand.Intn(5)], false)
			return
		}
		q.inFlight, q.playing, q.endsAt = false, true, w.now+w.rand.Float64()*20
		m.front.SetupDone(q.ID)
	case q.inFlight && w.rand.Intn(60) == 0:
		q.answered = true
		m.front.RequestClosed(q.ID)
		m.front.SetupEnded(q.ID, q.server, Cancelled, true, LoadReport{Link: -1, Uplink: -1})
		q.inFlight = false
	case q.playing && w.now >= q.endsAt:
		m.endSetup(q, Served, true)
	case q.playing && w.rand.Intn(20) == 0:
		m.front.ShortDelivery(q.server, w.rand.Float64())
	case q.playing && w.rand.Intn(20) == 0:
		m.front.LoadNote(q.ID, q.server, w.rand.Float64()*1.5, w.rand.Intn(2) == 0)
	}
}

// changeState drains, ends or starts a server and tells all fronts.
func (w *simulation) changeState(id ServerID) {
	switch w.states[id] {
	case Ready:
		w.states[id] = Draining
	case Draining:
		w.states[id] = Gone
	default:
		w.states[id], w.startedAt[id], w.coldSetups[id] = Ready, w.now, nil
	}
	for _, m := range w.fronts {
		m.front.SetTime(w.now)
		m.front.UpdateDirectory(false, []Listing{{ID: id, Cell: int(id) - 10, State: w.states[id], Weight: 1, StartedAt: w.startedAt[id]}})
		m.front.Reconcile()
	}
}
