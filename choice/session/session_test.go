package session

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"pgregory.net/rapid"
	"rainhaven/choice"
)

func figures() (choice.Config, Limits) {
	return choice.Config{Seed: 5, Fronts: 1, Groups: []choice.ServiceGroup{
			{Utility: 3, Scale: 1.4, StartTarget: 1, Paid: true, Floor: 1, Top: 3, Seats: 4},
			{Utility: 1, Scale: 1, StartTarget: 1, Top: 3}},
			Ladder: []float64{200, 500, 1000, 2000}, Cells: 4, Racks: 2, FleetLinkCapacity: 40000, MeanUplinkCapacity: 25000,
			MaxStreams: []float64{20}, NoteLag: 1, NoteInterval: 3, MaxSetups: 3, MaxRetryAfter: 1, Probes: true,
			Reporting: choice.ReportsInAnswers, BaseRetries: 50, RetriesPerSession: 0.5, RetryWindow: 10},
		Limits{SetupTimeout: []float64{3, 5}, MaxSessions: 50, ViewerIdleTimeout: 60, KeepAliveInterval: 20}
}

// atBox is what a box holds of one SETUP.
type atBox struct {
	out, held bool
	box       choice.ServerID
}

type viewer struct {
	asked   float64
	giveUp  float64
	gone    bool // its connection is, by its own doing
	answers []FinalAnswer
	asks    map[int]bool // requests without a reply
	tries   map[int]*atBox
	ended   bool
	paid    bool
	mayRan  bool
	title   string
}

// world takes the orders and breaks the test when one breaks a rule.
type world struct {
	tb      rapid.TB
	t       *Table
	now     float64
	viewers map[choice.SessID]*viewer
	order   []choice.SessID
	ops     []func(status int) // answers that boxes may still give to operations
	probes  []choice.ServerID
	state   map[choice.ServerID]choice.Lifecycle
	orders  int
	seats   int // of the paid group's
	reloads int
	frozen  int // SETUPs that there were when the front was frozen; no further one may follow
}

func newWorld(tb rapid.TB) *world {
	w := &world{tb: tb, now: 100, viewers: map[choice.SessID]*viewer{}, state: map[choice.ServerID]choice.Lifecycle{}}
	fig, bounds := figures()
	w.seats = fig.Groups[0].Seats
	w.t = New(w.now, fig, bounds, w)
	for _, e := range listed4() {
		w.state[e.ID] = choice.Ready
	}
	w.do(func() { w.t.UpdateDirectory(true, listed4()) })
	return w
}

// do feeds one batch.
func (w *world) do(event func()) {
	w.t.SetTime(w.now)
	event()
	w.t.Settle()
}

func (w *world) Setup(id choice.SessID, try int, box choice.ServerID, rung int) {
	v := w.viewers[id]
	w.orders++
	for n, a := range v.tries {
		if a.out {
			w.tb.Fatalf("%s: SETUP %d while %d is out", id, try, n)
		}
	}
	if v.paid && v.mayRan {
		w.tb.Fatalf("%s: a paid session's SETUP %d after one that may have run", id, try)
	}
	if v.paid && rung < 1 {
		w.tb.Fatalf("%s: rung %d under the floor", id, rung)
	}
	if len(v.answers) > 0 || v.gone {
		w.tb.Fatalf("%s: a SETUP after its end", id)
	}
	taken := 1
	for _, o := range w.viewers {
		for _, a := range o.tries {
			if o.paid && o.title == v.title && (a.out || a.held) {
				taken++
			}
		}
	}
	if v.paid && taken > w.seats {
		w.tb.Fatalf("%s: %d of %d seats taken", id, taken, w.seats)
	}
	if w.state[box] != choice.Ready {
		w.tb.Fatalf("%s: a SETUP to box %d, which is %v", id, box, w.state[box])
	}
	v.tries[try] = &atBox{out: true, box: box}
	if w.frozen > 0 && len(v.tries) > w.frozen {
		w.tb.Fatalf("%s: SETUP %d of a frozen front", id, try)
	}
}

func (w *world) CancelSetup(id choice.SessID, try int) {
	a := w.viewers[id].tries[try]
	if a == nil || !a.out {
		w.tb.Fatalf("%s: SETUP %d is withdrawn and not out", id, try)
	}
	a.out = false
}

func (w *world) SendOp(id choice.SessID, try int, op Op, arg int) {
	a := w.viewers[id].tries[try]
	if a == nil || !a.held {
		w.tb.Fatalf("%s: %v at a box that holds nothing of it", id, op)
	}
	if op == TearDown {
		a.held = false
	}
	w.ops = append(w.ops, func(status int) { w.t.OpAnswered(id, try, op, arg, status, choice.LoadReport{Link: -1, Uplink: -1}) })
}

func (w *world) CloseConn(id choice.SessID, try int) { w.viewers[id].tries[try].held = false }

func (w *world) Probe(box choice.ServerID) { w.probes = append(w.probes, box) }

func (w *world) Answer(id choice.SessID, v FinalAnswer, _ float64) {
	x := w.viewers[id]
	x.answers = append(x.answers, v)
	if len(x.answers) > 1 || x.gone {
		w.tb.Fatalf("%s: answers %v, gone %v", id, x.answers, x.gone)
	}
	if w.now > x.giveUp {
		w.tb.Fatalf("%s: answered %v s late", id, w.now-x.giveUp)
	}
	if v == Busy && x.paid && x.mayRan {
		w.tb.Fatalf("%s: a paid session busy-replied after a SETUP that may have run", id)
	}
}

func (w *world) Reply(id choice.SessID, n int, _ Result) {
	if !w.viewers[id].asks[n] {
		w.tb.Fatalf("%s: request %d has a reply too many", id, n)
	}
	delete(w.viewers[id].asks, n)
}

func (w *world) End(id choice.SessID, _ EndReason) {
	v := w.viewers[id]
	if v.ended || len(v.answers) != 1 || v.answers[0] != Served {
		w.tb.Fatalf("%s: ended twice or before it was served: %v", id, v.answers)
	}
	v.ended = true
}

func (w *world) ask(group int, title string) choice.SessID {
	id := choice.SessID(fmt.Sprintf("s%03d", len(w.order)))
	w.order = append(w.order, id)
	v := &viewer{asked: w.now, giveUp: w.now + w.t.bounds.SetupTimeout[group], paid: group == 0, title: title, asks: map[int]bool{}, tries: map[int]*atBox{}}
	w.viewers[id] = v
	w.do(func() { w.t.Open(id, Request{Group: group, Title: title, Span: 4, BestRung: 3}) })
	return id
}

// reload renews the terms: seats, floors and waits change with each.
func (w *world) reload() {
	w.reloads++
	fig, bounds := figures()
	if w.reloads%2 == 1 {
		fig.Groups[0].Seats, fig.Groups[1].Floor, fig.MaxSetups, bounds.SetupTimeout = 3, 1, 2, []float64{2, 4}
	}
	w.seats = fig.Groups[0].Seats
	var list []choice.Listing
	for i := range 4 {
		if s := w.state[choice.ServerID(10+i)]; s != choice.Gone {
			list = append(list, choice.Listing{ID: choice.ServerID(10 + i), Cell: i, State: s, Weight: 1})
		}
	}
	w.do(func() {
		w.t.Reload(Config{fig, bounds, []int{0, 1}}, list, func(m choice.Snapshot) choice.Snapshot { return m })
	})
	for _, l := range w.t.lives {
		if floor := fig.Groups[l.group].Floor; l.phase >= ready && l.phase <= paused && l.wantRung < floor {
			w.tb.Fatalf("%s: wants rung %d under the floor", l.id, l.wantRung)
		}
	}
}

func (w *world) request(id choice.SessID, op Op) {
	v := w.viewers[id]
	if v.gone {
		return
	}
	n := 1000 + w.orders*10 + len(v.asks)
	w.orders++
	v.asks[n] = true
	w.do(func() { w.t.RequestOp(id, op, n) })
}

// box gives a SETUP an answer; status 0 is a break.
func (w *world) box(id choice.SessID, try int, status int, sentFirst bool) {
	v := w.viewers[id]
	a := v.tries[try]
	late := !a.out
	w.do(func() {
		if sentFirst {
			w.t.SetupSent(id, try)
		}
		if !late {
			a.out = false
			a.held = status == 200
			if sentFirst && OutcomeOf(status) != choice.Full && status != 200 {
				v.mayRan = true
			}
		}
		if status == 0 {
			w.t.BoxFailed(id, try)
			return
		}
		w.t.BoxAnswered(id, try, status, choice.LoadReport{Link: 0.4, Uplink: -1})
	})
}

// pass lets time go by in steps as Next asks for them.
func (w *world) pass(seconds float64) {
	for end := w.now + seconds; ; {
		n := w.t.NextTimer()
		if n == 0 || n > end {
			w.now = max(w.now, end)
			return
		}
		w.now = max(n, w.now)
		// A SETUP that is out when its wait runs out may have run.
		for _, id := range w.order {
			for _, a := range w.viewers[id].tries {
				if a.out {
					w.viewers[id].mayRan = w.viewers[id].mayRan || w.t.lives[id] != nil && w.t.lives[id].phase == asked && w.t.lives[id].until <= w.now
				}
			}
		}
		w.do(w.t.RunTimers)
	}
}

// rest ends everything and looks at what is left.
func (w *world) rest() {
	for _, id := range w.order {
		if v := w.viewers[id]; !v.gone {
			v.gone = len(v.answers) == 0
			w.do(func() { w.t.ViewerGone(id) })
		}
	}
	for _, id := range w.order {
		for n, a := range w.viewers[id].tries {
			if a.held {
				w.tb.Fatalf("%s: no TEARDOWN at once for what SETUP %d brought", id, n)
			}
		}
	}
	w.pass(10)
	for _, id := range w.order {
		v := w.viewers[id]
		for n, a := range v.tries {
			if a.out || a.held {
				w.tb.Fatalf("%s: SETUP %d left at box %d (out %v, held %v)", id, n, a.box, a.out, a.held)
			}
		}
		if len(v.asks) > 0 && !v.gone {
			w.tb.Fatalf("%s: %d requests without reply", id, len(v.asks))
		}
	}
	if len(w.t.lives) > 0 || len(w.t.due) > 0 || len(w.t.touch) > 0 {
		w.tb.Fatalf("left in the table: %d sessions, %d waits", len(w.t.lives), len(w.t.due))
	}
}

func TestFirstRefusesSecondHangs(t *testing.T) {
	w := newWorld(t)
	id := w.ask(1, "vents")
	if len(w.viewers[id].tries) == 0 { // it looks at the likeliest holder first
		w.pass(0.3)
	}
	w.box(id, 1, 453, true)
	if len(w.viewers[id].tries) != 2 {
		t.Fatalf("%d SETUPs after a refusal", len(w.viewers[id].tries))
	}
	w.do(func() { w.t.SetupSent(id, 2) })
	w.pass(0.5) // the second hangs
	if len(w.viewers[id].tries) != 3 {
		t.Fatalf("%d SETUPs after a hang", len(w.viewers[id].tries))
	}
	w.box(id, 2, 200, true) // its late answer means nothing to the session
	w.box(id, 3, 200, true)
	if v := w.viewers[id]; len(v.answers) != 1 || v.answers[0] != Served {
		t.Fatalf("answers %v", v.answers)
	}
	w.rest()
}

func TestPaidSessionThatMayHaveRunIsTornDown(t *testing.T) {
	w := newWorld(t)
	id := w.ask(0, "exam")
	w.pass(0.3)
	w.do(func() { w.t.SetupSent(id, 1) })
	w.pass(4)
	if v := w.viewers[id]; len(v.answers) != 1 || v.answers[0] != Failed || len(v.tries) != 1 {
		t.Fatalf("answers %v after %d SETUPs", v.answers, len(v.tries))
	}
	w.rest()
}

func TestViewerLeavesHalfway(t *testing.T) {
	for _, sent := range []bool{false, true} {
		w := newWorld(t)
		id := w.ask(1, "vents")
		w.pass(0.3)
		if sent {
			w.do(func() { w.t.SetupSent(id, 1) })
		}
		w.viewers[id].gone = true
		w.do(func() { w.t.ViewerGone(id) })
		w.box(id, 1, 200, false) // too late
		w.rest()
	}
}

func TestPipelinedRequestsWaitForTheirTurn(t *testing.T) {
	w := newWorld(t)
	id := w.ask(1, "vents")
	for _, op := range []Op{Join, Play, TearDown} {
		w.request(id, op)
	}
	w.pass(0.3)
	if len(w.ops) != 0 {
		t.Fatal("asked of the box before its SETUP was answered")
	}
	w.box(id, 1, 200, true)
	for range 3 {
		ops := w.ops
		w.ops = nil
		for _, op := range ops {
			w.do(func() { op(200) })
		}
	}
	if v := w.viewers[id]; len(v.asks) != 0 || !v.ended {
		t.Fatalf("%d requests open, ended %v", len(v.asks), v.ended)
	}
	w.rest()
}

func TestRequestsOfAServedSessionGoOutAtOnce(t *testing.T) {
	w := newWorld(t)
	id := w.ask(1, "vents")
	w.pass(0.3)
	w.box(id, 1, 200, true)
	for _, op := range []Op{Play, Pause} {
		w.request(id, op)
		if len(w.ops) != 1 {
			t.Fatalf("%v: %d operations out", op, len(w.ops))
		}
		ops := w.ops
		w.ops = nil
		w.do(func() { ops[0](200) })
		if n := len(w.viewers[id].asks); n != 0 {
			t.Fatalf("%v: %d requests without reply", op, n)
		}
	}
	w.rest()
}

func TestBoxesDroppedBeforeTheSetupLeft(t *testing.T) {
	w := newWorld(t)
	id := w.ask(1, "vents")
	w.pass(0.3)
	first := w.viewers[id].tries[1].box
	w.state[first] = choice.Draining
	w.do(func() {
		w.t.UpdateDirectory(false, []choice.Listing{{ID: first, State: choice.Draining, Cell: int(first) - 10}})
	})
	v := w.viewers[id]
	if v.tries[1].out || v.tries[2] == nil || v.tries[2].box == first {
		t.Fatalf("first %+v, second %+v", v.tries[1], v.tries[2])
	}
	w.rest()
}

func TestCutAnswersAll(t *testing.T) {
	w := newWorld(t)
	waiting, playing := w.ask(1, "a"), w.ask(1, "b")
	w.pass(0.3)
	w.box(playing, 1, 200, true)
	w.do(func() { w.t.SetupSent(waiting, 1) })
	w.do(w.t.EndAll)
	if v := w.viewers[waiting]; len(v.answers) != 1 || v.answers[0] != Failed {
		t.Fatalf("a SETUP that may have run: %v", v.answers)
	}
	if !w.viewers[playing].ended {
		t.Fatal("a playing session was not ended")
	}
	if v := w.viewers[w.ask(1, "c")]; len(v.answers) != 1 || v.answers[0] != Busy {
		t.Fatalf("a new request: %v", v.answers)
	}
	w.rest()
}

func TestRefusedRungGoesBackToTheModule(t *testing.T) {
	w := newWorld(t)
	id := w.ask(1, "vents")
	w.pass(0.3)
	w.box(id, 1, 200, true)
	l := w.t.lives[id]
	from := l.rung
	w.do(func() { acts{w.t}.SetRung(id, from-1) })
	w.do(func() { w.t.OpAnswered(id, 1, SetRung, from-1, 451, choice.LoadReport{Link: -1, Uplink: -1}) })
	if l.rung != from || l.wantRung != from {
		t.Fatalf("rung %d, wanted %d, of %d", l.rung, l.wantRung, from)
	}
	w.rest()
}

// Requests, further SETUPs and seats of before a reload count after it.
func TestReloadKeepsWhatRulesCount(t *testing.T) {
	w := newWorld(t)
	fig, bounds := figures()
	fig.BaseRetries, fig.RetriesPerSession, fig.Probes = 2, 0, false
	renew := func() {
		w.do(func() {
			w.t.Reload(Config{fig, bounds, []int{0, 1}}, listed4(), func(m choice.Snapshot) choice.Snapshot { return m })
		})
	}
	renew()
	further := 0
	for range 6 {
		id := w.ask(1, "vents")
		for try := 1; w.viewers[id].tries[try] != nil; try++ {
			w.box(id, try, 453, true)
		}
		further += len(w.viewers[id].tries) - 1
		renew()
		w.now += 1.1 // boxes that were full may be asked again
	}
	if further != 2 {
		t.Errorf("%d further SETUPs, the ration is 2", further)
	}
	// A SETUP that is out at a reload is the last of its request.
	for group, verdicts := range map[int]map[int]FinalAnswer{0: {453: Busy, 500: Failed, 200: Served}, 1: {453: Busy, 500: Busy, 200: Served}} {
		for status, want := range verdicts {
			w.now += 20
			id := w.ask(group, "vents")
			w.do(func() { w.t.SetupSent(id, 1) })
			renew()
			w.box(id, 1, status, true)
			if v := w.viewers[id]; len(v.answers) != 1 || v.answers[0] != want || len(v.tries) != 1 {
				t.Errorf("group %d, %d: answers %v after %d SETUPs", group, status, v.answers, len(v.tries))
			}
		}
	}
	// Seats of SETUPs out are taken still; what a box said just before the reload is decided by the old terms.
	w.now += 20
	var ids []choice.SessID
	for range fig.Groups[0].Seats {
		id := w.ask(0, "exam")
		w.do(func() { w.t.SetupSent(id, 1) })
		ids = append(ids, id)
	}
	renew()
	if v := w.viewers[w.ask(0, "exam")]; len(v.answers) != 1 || v.answers[0] != Busy {
		t.Errorf("a seat too many: %v", v.answers)
	}
	for _, id := range ids {
		w.box(id, 1, 453, true)
	}
	for status, want := range map[int]FinalAnswer{500: Failed, 453: 0} {
		w.now += 20
		id := w.ask(0, "exam")
		v := w.viewers[id]
		a := v.tries[1]
		w.do(func() {
			w.t.SetupSent(id, 1)
			a.out, v.mayRan = false, status == 500
			w.t.BoxAnswered(id, 1, status, choice.LoadReport{Link: -1, Uplink: -1})
			w.t.Reload(Config{fig, bounds, []int{0, 1}}, listed4(), func(m choice.Snapshot) choice.Snapshot { return m })
		})
		if got := append(v.answers, 0); got[0] != want {
			t.Errorf("%d and a reload at once: %v after %d SETUPs", status, v.answers, len(v.tries))
		}
	}
	w.rest()
}

func listed4() (list []choice.Listing) {
	for i := range 4 {
		list = append(list, choice.Listing{ID: choice.ServerID(10 + i), Cell: i, State: choice.Ready, Weight: 1})
	}
	return list
}

// Everything that viewers, boxes, clocks and lists may do in any order: one answer each and in time, never two SETUPs
// out, no paid one twice, nothing left at a box or in the table.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		someone := func(t *rapid.T) choice.SessID {
			if len(w.order) == 0 {
				t.Skip("nobody yet")
			}
			return rapid.SampledFrom(w.order).Draw(t, "who")
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				w.ask(rapid.IntRange(0, 1).Draw(t, "group"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "title"))
			},
			"request": func(t *rapid.T) {
				w.request(someone(t), rapid.SampledFrom([]Op{Play, Pause, Join, KeepAlive, TearDown}).Draw(t, "op"))
			},
			"viewer leaves": func(t *rapid.T) {
				id := someone(t)
				w.viewers[id].gone = true
				w.do(func() { w.t.ViewerGone(id) })
			},
			"box answers": func(t *rapid.T) {
				id := someone(t)
				status := rapid.SampledFrom([]int{200, 200, 200, 453, 503, 500, 404, 0}).Draw(t, "status")
				for try, a := range w.viewers[id].tries {
					if a.out {
						w.box(id, try, status, rapid.Bool().Draw(t, "sent") || status != 0)
						return
					}
				}
			},
			"late answer": func(t *rapid.T) {
				id := someone(t)
				for try, a := range w.viewers[id].tries {
					if !a.out && !a.held {
						w.box(id, try, 200, false)
						return
					}
				}
			},
			"box breaks": func(t *rapid.T) {
				id := someone(t)
				for try, a := range w.viewers[id].tries {
					if a.held {
						a.held = false
						w.do(func() { w.t.BoxFailed(id, try) })
						return
					}
				}
			},
			"operation answered": func(t *rapid.T) {
				if len(w.ops) == 0 {
					t.Skip("none")
				}
				i := rapid.IntRange(0, len(w.ops)-1).Draw(t, "which")
				op := w.ops[i]
				w.ops = append(w.ops[:i:i], w.ops[i+1:]...)
				status := rapid.SampledFrom([]int{200, 200, 455, 454, 0}).Draw(t, "status")
				w.do(func() { op(status) })
			},
			"probe answered": func(t *rapid.T) {
				if len(w.probes) == 0 {
					t.Skip("none")
				}
				box := w.probes[0]
				w.probes = w.probes[1:]
				status := rapid.SampledFrom([]int{200, 0}).Draw(t, "status")
				w.do(func() { w.t.Probed(box, status, choice.TimedOut, choice.LoadReport{Link: 0.3, Uplink: -1}) })
			},
			"list": func(t *rapid.T) {
				box := choice.ServerID(rapid.IntRange(10, 13).Draw(t, "box"))
				s := rapid.SampledFrom([]choice.Lifecycle{choice.Ready, choice.Ready, choice.Draining, choice.Gone}).Draw(t, "state")
				w.state[box] = s
				w.do(func() {
					w.t.UpdateDirectory(false, []choice.Listing{{ID: box, Cell: int(box) - 10, State: s, Weight: 1}})
				})
			},
			"reload":    func(*rapid.T) { w.reload() },
			"time":      func(t *rapid.T) { w.pass(rapid.Float64Range(0, 1.5).Draw(t, "seconds")) },
			"long time": func(t *rapid.T) { w.pass(rapid.Float64Range(1, 70).Draw(t, "seconds")) },
			"": func(t *rapid.T) {
				for _, id := range w.order {
					if v := w.viewers[id]; !v.gone && len(v.answers) == 0 && w.now > v.giveUp {
						t.Fatalf("%s: no answer after its setup timeout", id)
					}
				}
			},
		})
		w.rest()
	})
}

func BenchmarkSession(b *testing.B) {
	w := newWorld(b)
	b.ReportAllocs()
	for b.Loop() {
		w.now += 0.01
		id := choice.SessID(fmt.Sprint(rand.Int63()))
		w.viewers[id] = &viewer{giveUp: w.now + 5, asks: map[int]bool{}, tries: map[int]*atBox{}}
		w.do(func() { w.t.Open(id, Request{Group: 1, Title: "a", Span: 4, BestRung: 3}) })
		w.do(func() { w.t.RunTimers() })
		w.do(func() { w.t.ViewerGone(id) })
		delete(w.viewers, id)
	}
}

// Each line tells what was decided and the cause that stood in the way.
func TestDecisionsInWords(t *testing.T) {
	w := newWorld(t)
	served := w.ask(1, "vents")
	w.pass(0.3)
	w.box(served, 1, 453, true)
	w.box(served, 2, 200, true)
	l := w.t.lives[served]
	w.do(func() { acts{w.t}.SetRung(served, l.rung-1) })
	w.do(func() { w.t.OpAnswered(served, 1, SetRung, l.rung-1, 200, choice.LoadReport{Link: -1, Uplink: -1}) })
	paid := w.ask(0, "exam")
	w.pass(0.3)
	w.box(paid, 1, 500, true)
	for id := choice.ServerID(10); id < 14; id++ {
		w.state[id] = choice.Draining
		w.do(func() {
			w.t.UpdateDirectory(false, []choice.Listing{{ID: id, Cell: int(id) - 10, State: choice.Draining}})
		})
	}
	busy := w.ask(1, "vents")
	for id, want := range map[choice.SessID][]string{
		served: {"asked for", "SETUP to box", "is full; it never ran", "SETUP to box", "to rung"},
		paid:   {"asked for", "SETUP to box", "may have run", "torn down"},
		busy:   {"asked for", "no holder may get it; 4 holders (4 draining or gone"},
		"":     {"asked for", "no holder may get it"},
		"none": {},
	} {
		lines := w.t.Explain(id)
		if len(lines) != len(want) {
			t.Errorf("%s: %q", id, lines)
			continue
		}
		for i, l := range lines {
			if !strings.Contains(l, want[i]) {
				t.Errorf("%s: line %d is %q, %q is looked for", id, i, l, want[i])
			}
		}
	}
	w.rest()
}

// deaf is a world that hears nothing of operations and probes.
type deaf struct{ *world }

func (deaf) SendOp(choice.SessID, int, Op, int) {}
func (deaf) Probe(choice.ServerID)              {}

// large is a table with a thousand playing sessions on 300 boxes, and its terms.
func large(b *testing.B) (*world, Config, []choice.Listing) {
	w := newWorld(b)
	fig, bounds := figures()
	fig.Cells, fig.Racks, fig.FleetLinkCapacity, fig.MeanUplinkCapacity, bounds.MaxSessions = 300, 20, 300*20000, 15*20000, 2000
	var list []choice.Listing
	for i := range fig.Cells {
		list = append(list, choice.Listing{ID: choice.ServerID(100 + i), Cell: i, State: choice.Ready, Weight: 1})
		w.state[choice.ServerID(100+i)] = choice.Ready
	}
	w.t = New(w.now, fig, bounds, deaf{w})
	w.do(func() { w.t.UpdateDirectory(true, list) })
	for i := range 1000 {
		id := choice.SessID(fmt.Sprintf("p%04d", i))
		w.do(func() {
			w.t.Adopt(id, Request{Group: 1, Title: "vents", StartCell: i % 300, Span: 4, BestRung: 3}, choice.ServerID(100+i%300), 1)
		})
	}
	return w, Config{fig, bounds, []int{0, 1}}, list
}

// BenchmarkRenew is how long a reload holds the loop up.
func BenchmarkRenew(b *testing.B) {
	w, terms, list := large(b)
	for b.Loop() {
		w.now++
		w.t.SetTime(w.now)
		w.t.Reload(terms, list, func(m choice.Snapshot) choice.Snapshot { return m })
		w.t.Settle()
	}
}

// BenchmarkMemory is how long keeping state holds the loop up.
func BenchmarkMemory(b *testing.B) {
	w, _, _ := large(b)
	for b.Loop() {
		w.t.Snapshot()
	}
}
