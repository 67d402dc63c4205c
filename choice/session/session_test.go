package session

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
	"rainhaven/choice"
)

// testConfig returns a front with a paid group (0) that has a floor and seats, and a free one (1).
func testConfig() (choice.Config, Limits) {
	return choice.Config{Seed: 5, Fronts: 1, Groups: []choice.ServiceGroup{
			{Utility: 3, Scale: 1.4, StartTarget: 1, Paid: true, Floor: 1, Top: 3, Seats: 4},
			{Utility: 1, Scale: 1, StartTarget: 1, Top: 3}},
			Ladder: []float64{200, 500, 1000, 2000}, Cells: 4, Racks: 2, FleetLinkCapacity: 40000, MeanUplinkCapacity: 25000,
			MaxStreams: []float64{20}, NoteLag: 1, NoteInterval: 3, MaxSetups: 3, MaxRetryAfter: 1, Probes: true,
			Reporting: choice.ReportsInAnswers, BaseRetries: 50, RetriesPerSession: 0.5, RetryWindow: 10},
		Limits{SetupTimeout: []float64{3, 5}, MaxSessions: 50, ViewerIdleTimeout: 60, KeepAliveInterval: 20}
}

// boxAttempt is the state of one SETUP at its box.
type boxAttempt struct {
	inFlight, established bool
	box                   choice.ServerID
}

// viewer is what the harness knows of one session from the viewer's side.
type viewer struct {
	requestedAt float64
	deadline    float64
	left        bool // the viewer has closed its connection
	answers     []FinalAnswer
	pending     map[int]bool // requests without a reply
	attempts    map[int]*boxAttempt
	ended       bool
	paid        bool
	mayHaveRun  bool // one of its failed SETUPs may have run
	title       string
}

// harness implements Actions with simulated viewers and boxes, and fails the test when an action violates a rule.
type harness struct {
	tb               rapid.TB
	table            *Table
	now              float64
	viewers          map[choice.SessID]*viewer
	ids              []choice.SessID
	pendingOps       []func(status int) // answer one operation that waits at a box
	pendingProbes    []choice.ServerID
	boxState         map[choice.ServerID]choice.Lifecycle
	sequence         int // makes request numbers unique
	config           choice.Config
	paidSeats        int // seats of the paid group
	reloads          int
	attemptsAtFreeze int // number of SETUPs at Freeze; none may follow
}

func newHarness(tb rapid.TB) *harness {
	h := &harness{tb: tb, now: 100, viewers: map[choice.SessID]*viewer{}, boxState: map[choice.ServerID]choice.Lifecycle{}}
	config, limits := testConfig()
	h.config, h.paidSeats = config, config.Groups[0].Seats
	h.table = New(h.now, config, limits, h)
	for _, e := range fourBoxes() {
		h.boxState[e.ID] = choice.Ready
	}
	h.apply(func() { h.table.UpdateBoxes(true, fourBoxes()) })
	return h
}

// apply runs one batch of events.
func (h *harness) apply(event func()) {
	h.table.SetTime(h.now)
	event()
	h.table.Reconcile()
}

func (h *harness) Setup(id choice.SessID, attempt int, box choice.ServerID, rung int) {
	v := h.viewers[id]
	h.sequence++
	for n, a := range v.attempts {
		if a.inFlight {
			h.tb.Fatalf("%s: SETUP %d while SETUP %d is in flight", id, attempt, n)
		}
	}
	if v.paid && v.mayHaveRun {
		h.tb.Fatalf("%s: SETUP %d of a paid session after one that may have run", id, attempt)
	}
	h.requireKnownRung(id, rung)
	if v.paid && rung < h.config.Groups[h.paidGroup()].Floor {
		h.tb.Fatalf("%s: SETUP at rung %d, below the floor", id, rung)
	}
	if len(v.answers) > 0 || v.left {
		h.tb.Fatalf("%s: SETUP after the final answer or the end", id)
	}
	taken := 1
	for _, o := range h.viewers {
		for _, a := range o.attempts {
			if o.paid && o.title == v.title && (a.inFlight || a.established) {
				taken++
			}
		}
	}
	if v.paid && h.paidSeats > 0 && taken > h.paidSeats {
		h.tb.Fatalf("%s: %d of %d seats taken", id, taken, h.paidSeats)
	}
	if h.boxState[box] != choice.Ready {
		h.tb.Fatalf("%s: SETUP to box %d in state %v", id, box, h.boxState[box])
	}
	v.attempts[attempt] = &boxAttempt{inFlight: true, box: box}
	if h.attemptsAtFreeze > 0 && len(v.attempts) > h.attemptsAtFreeze {
		h.tb.Fatalf("%s: SETUP %d after Freeze", id, attempt)
	}
}

func (h *harness) CancelSetup(id choice.SessID, attempt int) {
	a := h.viewers[id].attempts[attempt]
	if a == nil || !a.inFlight {
		h.tb.Fatalf("%s: SETUP %d is cancelled but not in flight", id, attempt)
	}
	a.inFlight = false
}

func (h *harness) SendOp(id choice.SessID, attempt int, op Op, arg int) {
	a := h.viewers[id].attempts[attempt]
	if a == nil || !a.established {
		h.tb.Fatalf("%s: %v at a box that does not hold the session", id, op)
	}
	switch op {
	case TearDown:
		a.established = false
	case SetRung:
		h.requireKnownRung(id, arg)
	}
	h.pendingOps = append(h.pendingOps, func(status int) {
		h.table.OpAnswered(id, attempt, op, arg, status, choice.LoadReport{Link: -1, Uplink: -1})
	})
}

// requireKnownRung checks that a box is asked for a rung of the ladder in force.
func (h *harness) requireKnownRung(id choice.SessID, rung int) {
	if rung < 0 || rung >= len(h.config.Ladder) {
		h.tb.Fatalf("%s: rung %d of a ladder of %d", id, rung, len(h.config.Ladder))
	}
}

// paidGroup returns the index of the paid group.
func (h *harness) paidGroup() int {
	return slices.IndexFunc(h.config.Groups, func(g choice.ServiceGroup) bool { return g.Paid })
}

// handOver adds a session that plays at a box.
func (h *harness) handOver(group, rung int) {
	id := choice.SessID(fmt.Sprintf("h%03d", len(h.ids)))
	h.ids = append(h.ids, id)
	box := choice.ServerID(10 + len(h.ids)%4)
	h.viewers[id] = &viewer{deadline: h.now, paid: h.config.Groups[group].Paid, title: "handed over", pending: map[int]bool{},
		answers: []FinalAnswer{Served}, attempts: map[int]*boxAttempt{1: {established: true, box: box}}}
	h.apply(func() {
		h.table.AddHandedOver(id, Request{Group: group, Title: "handed over", CellCount: 4, BestRung: rung}, box, rung)
	})
}

func (h *harness) CloseConn(id choice.SessID, attempt int) {
	h.viewers[id].attempts[attempt].established = false
}

func (h *harness) Probe(box choice.ServerID) { h.pendingProbes = append(h.pendingProbes, box) }

func (h *harness) Answer(id choice.SessID, v FinalAnswer, _ float64) {
	x := h.viewers[id]
	x.answers = append(x.answers, v)
	if v != Served {
		h.requireAllReplied(id)
	}
	if len(x.answers) > 1 || x.left {
		h.tb.Fatalf("%s: answers %v, viewer left: %v", id, x.answers, x.left)
	}
	if h.now > x.deadline {
		h.tb.Fatalf("%s: answered %v s after the setup timeout", id, h.now-x.deadline)
	}
	if v == Busy && x.paid && x.mayHaveRun {
		h.tb.Fatalf("%s: paid session busy-replied after a SETUP that may have run", id)
	}
}

func (h *harness) Reply(id choice.SessID, n int, _ Result) {
	if !h.viewers[id].pending[n] {
		h.tb.Fatalf("%s: reply to request %d, which is not pending", id, n)
	}
	delete(h.viewers[id].pending, n)
}

func (h *harness) End(id choice.SessID, _ EndReason) {
	v := h.viewers[id]
	if v.ended || len(v.answers) != 1 || v.answers[0] != Served {
		h.tb.Fatalf("%s: ended twice or without being served: answers %v", id, v.answers)
	}
	v.ended = true
	h.requireAllReplied(id)
}

// requireAllReplied checks that no request of a viewer waits for a session that is being turned away or has ended: whoever carries
// out the actions may forget the session then.
func (h *harness) requireAllReplied(id choice.SessID) {
	if n := len(h.viewers[id].pending); n > 0 {
		h.tb.Fatalf("%s: %d requests without a reply at its end", id, n)
	}
}

func (h *harness) open(group int, title string) choice.SessID {
	id := choice.SessID(fmt.Sprintf("s%03d", len(h.ids)))
	h.ids = append(h.ids, id)
	v := &viewer{requestedAt: h.now, deadline: h.now + h.table.limits.SetupTimeout[group], paid: h.config.Groups[group].Paid, title: title, pending: map[int]bool{}, attempts: map[int]*boxAttempt{}}
	h.viewers[id] = v
	h.apply(func() { h.table.Open(id, Request{Group: group, Title: title, CellCount: 4, BestRung: 3}) })
	return id
}

// reload applies new settings. Each reload changes seats, a floor, the number of SETUPs and the setup timeouts.
func (h *harness) reload() {
	h.reloads++
	config, limits := testConfig()
	if h.reloads%2 == 1 {
		config.Groups[0].Seats, config.Groups[1].Floor, config.MaxSetups, limits.SetupTimeout = 3, 1, 2, []float64{2, 4}
	}
	h.config, h.paidSeats = config, config.Groups[0].Seats
	h.apply(func() {
		h.table.Reload(Config{Choice: config, Limits: limits, NewGroupIndex: []int{0, 1}}, h.listedBoxes(), func(m choice.Snapshot) choice.Snapshot { return m })
	})
	for _, s := range h.table.sessions {
		if floor := config.Groups[s.group].Floor; s.phase >= ready && s.phase <= paused && s.wantRung < floor {
			h.tb.Fatalf("%s: wanted rung %d is below the floor", s.id, s.wantRung)
		}
	}
}

// listedBoxes returns the list of boxes, without those that are gone.
func (h *harness) listedBoxes() (list []choice.Listing) {
	for i := range 4 {
		if s := h.boxState[choice.ServerID(10+i)]; s != choice.Gone {
			list = append(list, choice.Listing{ID: choice.ServerID(10 + i), Cell: i, State: s, Weight: 1})
		}
	}
	return list
}

func (h *harness) request(id choice.SessID, op Op) {
	v := h.viewers[id]
	if v.left {
		return
	}
	n := 1000 + h.sequence*10 + len(v.pending)
	h.sequence++
	v.pending[n] = true
	h.apply(func() { h.table.RequestOp(id, op, n) })
}

// answerSetup delivers a box's answer to a SETUP; status 0 is a broken connection.
func (h *harness) answerSetup(id choice.SessID, attempt int, status int, sentFirst bool) {
	v := h.viewers[id]
	a := v.attempts[attempt]
	late := !a.inFlight
	h.apply(func() {
		if sentFirst {
			h.table.SetupSent(id, attempt)
		}
		if !late {
			a.inFlight = false
			a.established = status == 200
			if sentFirst && OutcomeOf(status) != choice.Full && status != 200 {
				v.mayHaveRun = true
			}
		}
		if status == 0 {
			h.table.BoxFailed(id, attempt)
			return
		}
		h.table.BoxAnswered(id, attempt, status, choice.LoadReport{Link: 0.4, Uplink: -1})
	})
}

// advance moves the clock forward, stopping at each instant that NextWakeup returns.
func (h *harness) advance(seconds float64) {
	for end := h.now + seconds; ; {
		n := h.table.NextWakeup()
		if n == 0 || n > end {
			h.now = max(h.now, end)
			return
		}
		h.now = max(n, h.now)
		// A SETUP that is in flight when its timeout expires may have run.
		for _, id := range h.ids {
			for _, a := range h.viewers[id].attempts {
				if a.inFlight {
					h.viewers[id].mayHaveRun = h.viewers[id].mayHaveRun || h.table.sessions[id] != nil && h.table.sessions[id].phase == setupSent && h.table.sessions[id].phaseDeadline <= h.now
				}
			}
		}
		h.apply(h.table.RunTimers)
	}
}

// finish ends all sessions and checks that nothing is left at the boxes, with the viewers or in the table.
func (h *harness) finish() {
	for _, id := range h.ids {
		if v := h.viewers[id]; !v.left {
			v.left = len(v.answers) == 0
			h.apply(func() { h.table.ViewerGone(id) })
		}
	}
	for _, id := range h.ids {
		for n, a := range h.viewers[id].attempts {
			if a.established {
				h.tb.Fatalf("%s: session of SETUP %d was not torn down at once", id, n)
			}
		}
	}
	h.advance(10)
	for _, id := range h.ids {
		v := h.viewers[id]
		for n, a := range v.attempts {
			if a.inFlight || a.established {
				h.tb.Fatalf("%s: SETUP %d left at box %d (in flight %v, established %v)", id, n, a.box, a.inFlight, a.established)
			}
		}
		if len(v.pending) > 0 && !v.left {
			h.tb.Fatalf("%s: %d requests without a reply", id, len(v.pending))
		}
	}
	if len(h.table.sessions) > 0 || len(h.table.timers) > 0 || len(h.table.dirty) > 0 {
		h.tb.Fatalf("left in the table: %d sessions, %d timers", len(h.table.sessions), len(h.table.timers))
	}
}

func TestRetryAfterRefusalAndTimeout(t *testing.T) {
	h := newHarness(t)
	id := h.open(1, "vents")
	if len(h.viewers[id].attempts) == 0 { // the likeliest holder is probed first
		h.advance(0.3)
	}
	h.answerSetup(id, 1, 453, true)
	if len(h.viewers[id].attempts) != 2 {
		t.Fatalf("%d SETUPs after a refusal, want 2", len(h.viewers[id].attempts))
	}
	h.apply(func() { h.table.SetupSent(id, 2) })
	h.advance(0.5) // the second SETUP times out
	if len(h.viewers[id].attempts) != 3 {
		t.Fatalf("%d SETUPs after a timeout, want 3", len(h.viewers[id].attempts))
	}
	h.answerSetup(id, 2, 200, true) // a late answer must not affect the session
	h.answerSetup(id, 3, 200, true)
	if v := h.viewers[id]; len(v.answers) != 1 || v.answers[0] != Served {
		t.Fatalf("answers %v", v.answers)
	}
	h.finish()
}

func TestPaidSessionThatMayHaveRunFails(t *testing.T) {
	h := newHarness(t)
	id := h.open(0, "exam")
	h.advance(0.3)
	h.apply(func() { h.table.SetupSent(id, 1) })
	h.advance(4)
	if v := h.viewers[id]; len(v.answers) != 1 || v.answers[0] != Failed || len(v.attempts) != 1 {
		t.Fatalf("answers %v after %d SETUPs", v.answers, len(v.attempts))
	}
	h.finish()
}

func TestViewerLeavesDuringSetup(t *testing.T) {
	for _, sent := range []bool{false, true} {
		h := newHarness(t)
		id := h.open(1, "vents")
		h.advance(0.3)
		if sent {
			h.apply(func() { h.table.SetupSent(id, 1) })
		}
		h.viewers[id].left = true
		h.apply(func() { h.table.ViewerGone(id) })
		h.answerSetup(id, 1, 200, false) // late answer
		h.finish()
	}
}

func TestPipelinedRequestsAreQueued(t *testing.T) {
	h := newHarness(t)
	id := h.open(1, "vents")
	for _, op := range []Op{Join, Play, TearDown} {
		h.request(id, op)
	}
	h.advance(0.3)
	if len(h.pendingOps) != 0 {
		t.Fatal("operation sent to the box before the SETUP was answered")
	}
	h.answerSetup(id, 1, 200, true)
	for range 3 {
		ops := h.pendingOps
		h.pendingOps = nil
		for _, op := range ops {
			h.apply(func() { op(200) })
		}
	}
	if v := h.viewers[id]; len(v.pending) != 0 || !v.ended {
		t.Fatalf("%d requests pending, ended %v", len(v.pending), v.ended)
	}
	h.finish()
}

func TestRequestsOfServedSessionAreSentAtOnce(t *testing.T) {
	h := newHarness(t)
	id := h.open(1, "vents")
	h.advance(0.3)
	h.answerSetup(id, 1, 200, true)
	for _, op := range []Op{Play, Pause} {
		h.request(id, op)
		if len(h.pendingOps) != 1 {
			t.Fatalf("%v: %d operations in flight, want 1", op, len(h.pendingOps))
		}
		ops := h.pendingOps
		h.pendingOps = nil
		h.apply(func() { ops[0](200) })
		if n := len(h.viewers[id].pending); n != 0 {
			t.Fatalf("%v: %d requests without a reply", op, n)
		}
	}
	h.finish()
}

func TestUnsentSetupIsMovedOffDrainingBox(t *testing.T) {
	h := newHarness(t)
	id := h.open(1, "vents")
	h.advance(0.3)
	first := h.viewers[id].attempts[1].box
	h.boxState[first] = choice.Draining
	h.apply(func() {
		h.table.UpdateBoxes(false, []choice.Listing{{ID: first, State: choice.Draining, Cell: int(first) - 10}})
	})
	v := h.viewers[id]
	if v.attempts[1].inFlight || v.attempts[2] == nil || v.attempts[2].box == first {
		t.Fatalf("first SETUP %+v, second SETUP %+v", v.attempts[1], v.attempts[2])
	}
	h.finish()
}

func TestEndAllAnswersEveryRequest(t *testing.T) {
	h := newHarness(t)
	waiting, playing := h.open(1, "a"), h.open(1, "b")
	h.advance(0.3)
	h.answerSetup(playing, 1, 200, true)
	h.apply(func() { h.table.SetupSent(waiting, 1) })
	h.apply(h.table.EndSessions)
	if v := h.viewers[waiting]; len(v.answers) != 1 || v.answers[0] != Failed {
		t.Fatalf("SETUP that may have run: answers %v", v.answers)
	}
	if !h.viewers[playing].ended {
		t.Fatal("the playing session was not ended")
	}
	if v := h.viewers[h.open(1, "c")]; len(v.answers) != 1 || v.answers[0] != Busy {
		t.Fatalf("new request: answers %v", v.answers)
	}
	h.finish()
}

func TestRefusedRungIsReportedToModule(t *testing.T) {
	h := newHarness(t)
	id := h.open(1, "vents")
	h.advance(0.3)
	h.answerSetup(id, 1, 200, true)
	s := h.table.sessions[id]
	before := s.rung
	h.apply(func() { moduleActions{h.table}.SetRung(id, before-1) })
	h.apply(func() { h.table.OpAnswered(id, 1, SetRung, before-1, 451, choice.LoadReport{Link: -1, Uplink: -1}) })
	if s.rung != before || s.wantRung != before {
		t.Fatalf("rung %d, wanted rung %d, want %d for both", s.rung, s.wantRung, before)
	}
	h.finish()
}

// Requests, retries and seats counted before a reload must count after it, or reloads would open up the retry budget and
// the seats.
func TestReloadKeepsRuleCounters(t *testing.T) {
	h := newHarness(t)
	config, limits := testConfig()
	config.BaseRetries, config.RetriesPerSession, config.Probes = 2, 0, false
	reload := func() {
		h.apply(func() {
			h.table.Reload(Config{Choice: config, Limits: limits, NewGroupIndex: []int{0, 1}}, fourBoxes(), func(m choice.Snapshot) choice.Snapshot { return m })
		})
	}
	reload()
	retries := 0
	for range 6 {
		id := h.open(1, "vents")
		for attempt := 1; h.viewers[id].attempts[attempt] != nil; attempt++ {
			h.answerSetup(id, attempt, 453, true)
		}
		retries += len(h.viewers[id].attempts) - 1
		reload()
		h.now += 1.1 // a box that answered full is tried again after a second
	}
	if retries != 2 {
		t.Errorf("%d retries, the retry budget is 2", retries)
	}
	// A SETUP that is in flight at a reload is the last of its request.
	for group, answers := range map[int]map[int]FinalAnswer{0: {453: Busy, 500: Failed, 200: Served}, 1: {453: Busy, 500: Busy, 200: Served}} {
		for status, want := range answers {
			h.now += 20
			id := h.open(group, "vents")
			h.apply(func() { h.table.SetupSent(id, 1) })
			reload()
			h.answerSetup(id, 1, status, true)
			if v := h.viewers[id]; len(v.answers) != 1 || v.answers[0] != want || len(v.attempts) != 1 {
				t.Errorf("group %d, status %d: answers %v after %d SETUPs", group, status, v.answers, len(v.attempts))
			}
		}
	}
	// A SETUP in flight keeps its seat; an answer that comes just before the reload is decided by the old settings.
	h.now += 20
	var ids []choice.SessID
	for range config.Groups[0].Seats {
		id := h.open(0, "exam")
		h.apply(func() { h.table.SetupSent(id, 1) })
		ids = append(ids, id)
	}
	reload()
	if v := h.viewers[h.open(0, "exam")]; len(v.answers) != 1 || v.answers[0] != Busy {
		t.Errorf("request beyond the seats: answers %v", v.answers)
	}
	for _, id := range ids {
		h.answerSetup(id, 1, 453, true)
	}
	for status, want := range map[int]FinalAnswer{500: Failed, 453: 0} {
		h.now += 20
		id := h.open(0, "exam")
		v := h.viewers[id]
		a := v.attempts[1]
		h.apply(func() {
			h.table.SetupSent(id, 1)
			a.inFlight, v.mayHaveRun = false, status == 500
			h.table.BoxAnswered(id, 1, status, choice.LoadReport{Link: -1, Uplink: -1})
			h.table.Reload(Config{Choice: config, Limits: limits, NewGroupIndex: []int{0, 1}}, fourBoxes(), func(m choice.Snapshot) choice.Snapshot { return m })
		})
		if got := append(v.answers, 0); got[0] != want {
			t.Errorf("status %d and a reload in one batch: answers %v after %d SETUPs", status, v.answers, len(v.attempts))
		}
	}
	h.finish()
}

// fourBoxes lists four ready boxes.
func fourBoxes() (list []choice.Listing) {
	for i := range 4 {
		list = append(list, choice.Listing{ID: choice.ServerID(10 + i), Cell: i, State: choice.Ready, Weight: 1})
	}
	return list
}

// TestAnyOrder generates random orders of events from viewers, boxes, the clock and the list of boxes. Each request must get
// exactly one answer in time, never have two SETUPs in flight, and leave nothing at a box or in the table; a paid SETUP
// must not be repeated.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		pickSession := func(t *rapid.T) choice.SessID {
			if len(h.ids) == 0 {
				t.Skip("no session yet")
			}
			return rapid.SampledFrom(h.ids).Draw(t, "session")
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				h.open(rapid.IntRange(0, 1).Draw(t, "group"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "title"))
			},
			"request": func(t *rapid.T) {
				h.request(pickSession(t), rapid.SampledFrom([]Op{Play, Pause, Join, KeepAlive, TearDown}).Draw(t, "op"))
			},
			"viewer leaves": func(t *rapid.T) {
				id := pickSession(t)
				h.viewers[id].left = true
				h.apply(func() { h.table.ViewerGone(id) })
			},
			"box answers": func(t *rapid.T) {
				id := pickSession(t)
				status := rapid.SampledFrom([]int{200, 200, 200, 453, 503, 500, 404, 0}).Draw(t, "status")
				for attempt, a := range h.viewers[id].attempts {
					if a.inFlight {
						h.answerSetup(id, attempt, status, rapid.Bool().Draw(t, "sent") || status != 0)
						return
					}
				}
			},
			"late answer": func(t *rapid.T) {
				id := pickSession(t)
				for attempt, a := range h.viewers[id].attempts {
					if !a.inFlight && !a.established {
						h.answerSetup(id, attempt, 200, false)
						return
					}
				}
			},
			"connection breaks": func(t *rapid.T) {
				id := pickSession(t)
				for attempt, a := range h.viewers[id].attempts {
					if a.established {
						a.established = false
						h.apply(func() { h.table.BoxFailed(id, attempt) })
						return
					}
				}
			},
			"operation answered": func(t *rapid.T) {
				if len(h.pendingOps) == 0 {
					t.Skip("no operation pending")
				}
				i := rapid.IntRange(0, len(h.pendingOps)-1).Draw(t, "which")
				op := h.pendingOps[i]
				h.pendingOps = append(h.pendingOps[:i:i], h.pendingOps[i+1:]...)
				status := rapid.SampledFrom([]int{200, 200, 455, 454, 0}).Draw(t, "status")
				h.apply(func() { op(status) })
			},
			"probe answered": func(t *rapid.T) {
				if len(h.pendingProbes) == 0 {
					t.Skip("no probe pending")
				}
				box := h.pendingProbes[0]
				h.pendingProbes = h.pendingProbes[1:]
				status := rapid.SampledFrom([]int{200, 0}).Draw(t, "status")
				h.apply(func() { h.table.ProbeEnded(box, status, choice.TimedOut, choice.LoadReport{Link: 0.3, Uplink: -1}) })
			},
			"list": func(t *rapid.T) {
				box := choice.ServerID(rapid.IntRange(10, 13).Draw(t, "box"))
				s := rapid.SampledFrom([]choice.Lifecycle{choice.Ready, choice.Ready, choice.Draining, choice.Gone}).Draw(t, "state")
				h.boxState[box] = s
				h.apply(func() {
					h.table.UpdateBoxes(false, []choice.Listing{{ID: box, Cell: int(box) - 10, State: s, Weight: 1}})
				})
			},
			"reload":    func(*rapid.T) { h.reload() },
			"time":      func(t *rapid.T) { h.advance(rapid.Float64Range(0, 1.5).Draw(t, "seconds")) },
			"long time": func(t *rapid.T) { h.advance(rapid.Float64Range(1, 70).Draw(t, "seconds")) },
			"": func(t *rapid.T) {
				for _, id := range h.ids {
					if v := h.viewers[id]; !v.left && len(v.answers) == 0 && h.now > v.deadline {
						t.Fatalf("%s: no answer within its setup timeout", id)
					}
				}
			},
		})
		h.finish()
	})
}

func BenchmarkSession(b *testing.B) {
	h := newHarness(b)
	b.ReportAllocs()
	for b.Loop() {
		h.now += 0.01
		id := choice.SessID(fmt.Sprint(rand.Int63()))
		h.viewers[id] = &viewer{deadline: h.now + 5, pending: map[int]bool{}, attempts: map[int]*boxAttempt{}}
		h.apply(func() { h.table.Open(id, Request{Group: 1, Title: "a", CellCount: 4, BestRung: 3}) })
		h.apply(func() { h.table.RunTimers() })
		h.apply(func() { h.table.ViewerGone(id) })
		delete(h.viewers, id)
	}
}

// TestExplainDecisions checks that each line names the decision and its reason.
func TestExplainDecisions(t *testing.T) {
	h := newHarness(t)
	served := h.open(1, "vents")
	h.advance(0.3)
	h.answerSetup(served, 1, 453, true)
	h.answerSetup(served, 2, 200, true)
	s := h.table.sessions[served]
	h.apply(func() { moduleActions{h.table}.SetRung(served, s.rung-1) })
	h.apply(func() { h.table.OpAnswered(served, 1, SetRung, s.rung-1, 200, choice.LoadReport{Link: -1, Uplink: -1}) })
	paid := h.open(0, "exam")
	h.advance(0.3)
	h.answerSetup(paid, 1, 500, true)
	for id := choice.ServerID(10); id < 14; id++ {
		h.boxState[id] = choice.Draining
		h.apply(func() {
			h.table.UpdateBoxes(false, []choice.Listing{{ID: id, Cell: int(id) - 10, State: choice.Draining}})
		})
	}
	busy := h.open(1, "vents")
	for id, want := range map[choice.SessID][]string{
		served: {"asked for", "SETUP to box", "is full; it never ran", "SETUP to box", "to rung"},
		paid:   {"asked for", "SETUP to box", "may have run", "torn down"},
		busy:   {"asked for", "no holder may get it; 4 holders (4 draining or gone"},
		"":     {"asked for", "no holder may get it"},
		"none": {},
	} {
		lines := h.table.Explain(id)
		if len(lines) != len(want) {
			t.Errorf("%s: %q", id, lines)
			continue
		}
		for i, line := range lines {
			if !strings.Contains(line, want[i]) {
				t.Errorf("%s: line %d is %q, want it to contain %q", id, i, line, want[i])
			}
		}
	}
	h.finish()
}

// discardOps is a harness that ignores operations and probes.
type discardOps struct{ *harness }

func (discardOps) SendOp(choice.SessID, int, Op, int) {}
func (discardOps) Probe(choice.ServerID)              {}

// newLargeTable returns a table with 1000 playing sessions on 300 boxes, its settings and its list of boxes.
func newLargeTable(b *testing.B) (*harness, Config, []choice.Listing) {
	h := newHarness(b)
	config, limits := testConfig()
	config.Cells, config.Racks, config.FleetLinkCapacity, config.MeanUplinkCapacity, limits.MaxSessions = 300, 20, 300*20000, 15*20000, 2000
	var list []choice.Listing
	for i := range config.Cells {
		list = append(list, choice.Listing{ID: choice.ServerID(100 + i), Cell: i, State: choice.Ready, Weight: 1})
		h.boxState[choice.ServerID(100+i)] = choice.Ready
	}
	h.table = New(h.now, config, limits, discardOps{h})
	h.apply(func() { h.table.UpdateBoxes(true, list) })
	for i := range 1000 {
		id := choice.SessID(fmt.Sprintf("p%04d", i))
		h.apply(func() {
			h.table.AddHandedOver(id, Request{Group: 1, Title: "vents", StartCell: i % 300, CellCount: 4, BestRung: 3}, choice.ServerID(100+i%300), 1)
		})
	}
	return h, Config{Choice: config, Limits: limits, NewGroupIndex: []int{0, 1}}, list
}

// BenchmarkReload measures how long a reload blocks the event loop.
func BenchmarkReload(b *testing.B) {
	h, cfg, list := newLargeTable(b)
	for b.Loop() {
		h.now++
		h.table.SetTime(h.now)
		h.table.Reload(cfg, list, func(m choice.Snapshot) choice.Snapshot { return m })
		h.table.Reconcile()
	}
}

// BenchmarkSnapshot measures how long saving state blocks the event loop.
func BenchmarkSnapshot(b *testing.B) {
	h, _, _ := newLargeTable(b)
	for b.Loop() {
		h.table.Snapshot()
	}
}
