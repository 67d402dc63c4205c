package choice

import (
	"fmt"
	"math/rand"
	"slices"
)

// figures are plain start figures: two service groups, the first paid and premium, with a floor and seats.
func figures() Config {
	return Config{Seed: 7, Fronts: 2, Groups: []ServiceGroup{
		{Utility: 3, Scale: 1.4, StartTarget: 1, Paid: true, Floor: 1, Top: 3, Seats: 6},
		{Utility: 1, Scale: 1, StartTarget: 1, Top: 3}},
		Ladder: []float64{200, 500, 1000, 2000}, Cells: 6, Racks: 2,
		FleetLinkCapacity: 60000, MeanUplinkCapacity: 25000, MaxStreams: []float64{20}, NoteLag: 1, NoteInterval: 3, MaxSetups: 2,
		MaxRetryAfter: 1, Probes: true, Reporting: ReportsInAnswers, WarmUp: 10, ColdShare: 0.4, OverloadFactor: 3,
		OverloadTime: 1, BaseRetries: 2, RetriesPerSession: 0.1, RetryWindow: 5}
}

func fleet() (list []Listing) {
	for i := range 6 {
		list = append(list, Listing{ID: ServerID(10 + i), Cell: i, State: Ready, Weight: 1})
	}
	return list
}

// world plays servers and viewers to some fronts by chance, and checks the rules at each act.
type world struct {
	rand   *rand.Rand
	now    float64
	fig    Config
	fronts []*mock
	state  map[ServerID]Lifecycle
	born   map[ServerID]float64
	cold   map[ServerID][]float64 // SETUPs sent while cold, by all fronts
	serial int
	wrong  []string
}

// mock is a front's surroundings: it takes the acts.
type mock struct {
	w              *world
	f              *Front
	reqs           map[SessID]*req
	order          []SessID
	taken, further []float64
	wake           float64
	probes         []ServerID
	busy, torn     int
	told           [][]byte
}

type req struct {
	Request
	asked            float64
	sent             int
	out, plays, done bool
	mayRan           bool
	on               ServerID
	rung             int
	ends             float64
}

func newWorld(seed int64, fronts int) *world {
	w := &world{rand: rand.New(rand.NewSource(seed)), now: 100, fig: figures(), state: map[ServerID]Lifecycle{},
		born: map[ServerID]float64{}, cold: map[ServerID][]float64{}}
	w.fig.Fronts, w.fig.PeerMessages = fronts, seed%2 == 0
	for _, e := range fleet() {
		w.state[e.ID] = Ready
	}
	for i := range fronts {
		m := &mock{w: w}
		w.fronts = append(w.fronts, m)
		m.start(i)
	}
	return w
}

func (m *mock) start(me int) {
	fig := m.w.fig
	fig.FrontIndex, fig.Seed = me, uint64(m.w.rand.Int63())
	m.reqs, m.order, m.taken, m.further, m.probes = map[SessID]*req{}, nil, nil, nil, nil
	m.f = New(m.w.now, fig, m)
	m.f.UpdateDirectory(true, m.w.listings())
	m.f.Reconcile()
}

func (w *world) listings() (list []Listing) {
	for _, e := range fleet() {
		if e.State, e.StartedAt = w.state[e.ID], w.born[e.ID]; e.State != Gone {
			list = append(list, e)
		}
	}
	return list
}

func (w *world) fail(format string, a ...any) { w.wrong = append(w.wrong, fmt.Sprintf(format, a...)) }

func (m *mock) ask(r Request) *req {
	m.w.serial++
	r.ID = SessID(fmt.Sprint("s", m.w.serial))
	q := &req{Request: r, asked: m.w.now, rung: m.w.fig.Groups[r.Group].Floor}
	m.reqs[r.ID], m.order = q, append(m.order, r.ID)
	m.taken = append(m.taken, m.w.now)
	m.f.SetTime(m.w.now)
	m.f.RequestSession(r)
	return q
}

func (m *mock) SetRung(id SessID, rung int) {
	q := m.reqs[id]
	if q == nil || q.done || rung < m.w.fig.Groups[q.Group].Floor || rung > q.BestRung {
		m.w.fail("rule 5: rung %d for %s", rung, id)
		return
	}
	q.rung = rung
}

func (m *mock) Setup(id SessID, server ServerID, wait float64) {
	w, q := m.w, m.reqs[id]
	if q == nil || q.done || q.out || q.plays || w.now >= q.SetupTimeout || wait <= 0 {
		w.fail("rules 1, 2: a SETUP for %s, which is not to have one", id)
		return
	}
	g := w.fig.Groups[q.Group]
	if g.Paid && q.mayRan {
		w.fail("rule 2: paid session %s is sent again", id)
	}
	if w.state[server] != Ready {
		w.fail("rule 3: a SETUP to server %d, which is %d", server, w.state[server])
	}
	cell := int(server) - 10
	if (cell-q.StartCell+w.fig.Cells)%w.fig.Cells >= q.CellCount {
		w.fail("a SETUP to a server without the title")
	}
	if age := w.now - w.born[server]; w.born[server] > 0 && age < w.fig.WarmUp {
		sent := append(w.cold[server], w.now)
		w.cold[server] = sent
		share := w.fig.ColdShare + (1-w.fig.ColdShare)*max(age-w.fig.OverloadTime, 0)/w.fig.WarmUp
		budget := w.fig.OverloadFactor * w.fig.MaxStreams[0] / w.fig.WarmUp * share * w.fig.OverloadTime
		if n := recent(sent, w.now, w.fig.OverloadTime); float64(n) > budget {
			w.fail("rule 4: %d SETUPs to a cold server within the fall time, %.1f are its budget", n, budget)
		}
	}
	if g.Seats > 0 && m.held(q.Title, q.Group) >= g.Seats {
		w.fail("rule 5: more sessions of %s than seats", q.Title)
	}
	if q.sent > 0 {
		m.further = append(m.further, w.now)
		n := recent(m.further, w.now, w.fig.RetryWindow)
		if float64(n) > w.fig.BaseRetries+w.fig.RetriesPerSession*float64(recent(m.taken, w.now, w.fig.RetryWindow)) {
			w.fail("rule 6: %d further SETUPs", n)
		}
	}
	q.sent++
	q.out, q.on = true, server
	if q.sent > w.fig.MaxSetups {
		w.fail("%d SETUPs for one request", q.sent)
	}
}

func recent(at []float64, now, window float64) (n int) {
	for _, t := range at {
		if now-t <= window {
			n++
		}
	}
	return n
}

func (m *mock) held(title string, group int) (n int) {
	for _, q := range m.reqs {
		if q.Title == title && q.Group == group && (q.out || q.plays) {
			n++
		}
	}
	return n
}

func (m *mock) final(id SessID) *req {
	q := m.reqs[id]
	if q == nil || q.done || q.out || q.plays {
		m.w.fail("rule 1: an answer for %s, which is not to have one", id)
		return &req{}
	}
	q.done = true
	return q
}

func (m *mock) BusyReply(id SessID, _ float64) {
	m.busy++
	if q := m.final(id); q.mayRan && m.w.fig.Groups[q.Group].Paid {
		m.w.fail("rule 2: paid session %s may have run and gets a busy reply", id)
	}
}

func (m *mock) SendMessage(front int, words []byte) {
	m.told = append(m.told, words)
	if w := m.w; front < len(w.fronts) && w.rand.Intn(3) > 0 { // others are lost
		words = slices.Clone(words)
		words[w.rand.Intn(len(words))] ^= byte(w.rand.Intn(2) * w.rand.Intn(256))
		w.fronts[front].f.ReceiveMessage(words)
	}
}
func (m *mock) FailureReply(id SessID) { m.torn++; m.final(id) }

// settle lets the front act and answers its probes at once.
func (m *mock) settle() {
	for m.f.Reconcile(); len(m.probes) > 0; m.f.Reconcile() {
		for _, s := range slices.Clone(m.probes) {
			m.f.ProbeEnded(s, Served, LoadReport{Link: -1, Uplink: -1})
		}
		m.probes = nil
	}
}

func (m *mock) SetTimer(after float64) { m.wake = m.w.now + after }
func (m *mock) Probe(s ServerID)       { m.probes = append(m.probes, s) }

// end tells the front that a SETUP ended.
func (m *mock) end(q *req, o Outcome, final bool) {
	played := q.plays
	q.out, q.plays = false, false
	if final {
		q.done = true
	}
	if !played && o != Full && o != NoConnection && o != Unsent {
		q.mayRan = true
	}
	m.f.SetupEnded(q.ID, q.on, o, final, LoadReport{Link: m.w.rand.Float64() * 1.5, Uplink: m.w.rand.Float64()})
}

// step lets some time pass and something happen at each front, then checks that nothing is left unanswered.
func (w *world) step() {
	w.now += w.rand.Float64() * 0.2
	if w.rand.Intn(40) == 0 {
		w.turn(ServerID(10 + w.rand.Intn(6)))
	}
	for i, m := range w.fronts {
		if w.rand.Intn(300) == 0 {
			m.start(i)
			continue
		}
		m.f.SetTime(w.now)
		if w.now >= m.wake {
			m.f.HandleTimer()
		}
		for _, id := range slices.Clone(m.order) {
			m.live(m.reqs[id])
		}
		m.order = slices.DeleteFunc(m.order, func(id SessID) bool { return m.reqs[id].done })
		for _, s := range m.probes {
			m.f.ProbeEnded(s, []Outcome{Served, Served, TimedOut}[w.rand.Intn(3)], LoadReport{Link: 0.5, Uplink: -1})
		}
		m.probes = nil
		for range w.rand.Intn(4) {
			m.ask(Request{Group: w.rand.Intn(2), Title: fmt.Sprint("t", w.rand.Intn(3)), StartCell: w.rand.Intn(6),
				CellCount: 3, BestRung: 1 + w.rand.Intn(3), SetupTimeout: w.now + 0.1 + w.rand.Float64()*4})
		}
		m.f.Reconcile()
		for _, id := range m.order {
			if q := m.reqs[id]; !q.done && !q.out && !q.plays && w.now-q.asked > 0.6 {
				w.fail("rule 1: %s is held without a SETUP or an answer", id)
			}
		}
	}
}

// live lets chance carry a session on.
func (m *mock) live(q *req) {
	w := m.w
	switch {
	case q.out && w.now >= q.SetupTimeout:
		m.end(q, TimedOut, false)
	case q.out && w.rand.Intn(4) == 0:
		if w.rand.Intn(3) == 0 {
			m.end(q, []Outcome{ServerError, Full, TimedOut, NoConnection, Reset}[w.rand.Intn(5)], false)
			return
		}
		q.out, q.plays, q.ends = false, true, w.now+w.rand.Float64()*20
		m.f.SetupDone(q.ID)
	case q.out && w.rand.Intn(60) == 0:
		q.done = true
		m.f.RequestClosed(q.ID)
		m.f.SetupEnded(q.ID, q.on, Cancelled, true, LoadReport{Link: -1, Uplink: -1})
		q.out = false
	case q.plays && w.now >= q.ends:
		m.end(q, Served, true)
	case q.plays && w.rand.Intn(20) == 0:
		m.f.ShortDelivery(q.on, w.rand.Float64())
	case q.plays && w.rand.Intn(20) == 0:
		m.f.LoadNote(q.ID, q.on, w.rand.Float64()*1.5, w.rand.Intn(2) == 0)
	}
}

// turn drains, ends or starts a server and tells all fronts.
func (w *world) turn(id ServerID) {
	switch w.state[id] {
	case Ready:
		w.state[id] = Draining
	case Draining:
		w.state[id] = Gone
	default:
		w.state[id], w.born[id], w.cold[id] = Ready, w.now, nil
	}
	for _, m := range w.fronts {
		m.f.SetTime(w.now)
		m.f.UpdateDirectory(false, []Listing{{ID: id, Cell: int(id) - 10, State: w.state[id], Weight: 1, StartedAt: w.born[id]}})
		m.f.Reconcile()
	}
}
