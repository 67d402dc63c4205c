package fleet

import (
	"encoding/json"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// machine is what runs, by the orders.
type machine struct {
	tb      rapid.TB
	f       *Fleet
	now     float64
	runs    []bool
	ready   []bool
	stopped []bool // was told to end
	starts  int
	kills   int
	least   int // fronts ready at the worst moment since it was set
}

func newMachine(tb rapid.TB, t Config) *machine {
	m := &machine{tb: tb, runs: make([]bool, t.Fronts), ready: make([]bool, t.Fronts), stopped: make([]bool, t.Fronts)}
	m.f = New(0, t, m)
	return m
}

func (m *machine) Start(n int) {
	if m.runs[n] {
		m.tb.Fatalf("front %d is started while it runs", n)
	}
	m.runs[n], m.stopped[n] = true, false
	m.starts++
}

func (m *machine) Stop(n int) {
	if !m.runs[n] || m.stopped[n] {
		m.tb.Fatalf("front %d is stopped: runs %v, stopped %v", n, m.runs[n], m.stopped[n])
	}
	m.stopped[n], m.ready[n] = true, false
}

func (m *machine) Kill(n int) {
	if !m.runs[n] {
		m.tb.Fatalf("front %d is killed and does not run", n)
	}
	m.kills++
}

func (m *machine) do(after float64, event func()) {
	m.now += after
	m.f.SetTime(m.now)
	event()
	m.f.Reconcile()
	n := 0
	for _, r := range m.ready {
		if r {
			n++
		}
	}
	m.least = min(m.least, n)
}

func (m *machine) exit(n, code int) {
	m.runs[n], m.ready[n] = false, false
	m.do(0, func() { m.f.Exited(n, code, "") })
}

// goOn has all fronts behave well for some seconds: they get ready in half a second, and end half a second after they are
// told to.
func (m *machine) goOn(seconds float64) {
	for end := m.now + seconds; m.now < end; {
		m.do(0.5, func() {})
		for n := range m.runs {
			switch {
			case m.runs[n] && m.stopped[n]:
				m.exit(n, 0)
			case m.runs[n]:
				m.ready[n] = true
				m.do(0, func() { m.f.ReportHealth(n, true, true) })
			}
		}
	}
}

func count(list []bool) (n int) {
	for _, b := range list {
		if b {
			n++
		}
	}
	return n
}

func TestRollingRestart(t *testing.T) {
	m := newMachine(t, Config{Fronts: 20, MaxUnavailableShare: 0.2, DrainSeconds: 5})
	m.do(0, func() {})
	if count(m.runs) != 4 {
		t.Fatalf("%d start at a time", count(m.runs))
	}
	m.goOn(10)
	if m.starts != 20 || count(m.ready) != 20 {
		t.Fatalf("%d started, %d ready", m.starts, count(m.ready))
	}
	m.least = 20
	m.do(0, m.f.StartRollingRestart)
	m.goOn(20)
	if m.starts != 40 || count(m.ready) != 20 || m.least != 16 {
		t.Errorf("%d started, %d ready, %d at the worst moment", m.starts, count(m.ready), m.least)
	}
	// One that falls after its restart holds the rest back.
	m.do(0, m.f.StartRollingRestart)
	first := slices.Index(m.stopped, true)
	m.exit(first, 0)
	m.do(0, func() {})
	m.exit(first, 1)
	before := m.starts
	m.goOn(30)
	if _, held := m.f.Status(); held == "" || m.starts-before > 5 || count(m.ready) != 20 {
		t.Errorf("held %q, %d more starts, %d ready", held, m.starts-before, count(m.ready))
	}
	m.do(0, m.f.StartRollingRestart)
	m.goOn(30)
	if list, held := m.f.Status(); held != "" || slices.ContainsFunc(list, func(s Status) bool { return s.RestartPending }) {
		t.Errorf("held %q, %+v", held, list)
	}
	m.do(0, m.f.Shutdown)
	m.goOn(3)
	if !m.f.Finished() || count(m.runs) > 0 {
		t.Errorf("%d still run", count(m.runs))
	}
}

// A third of the fronts away already: a rolling restart waits for them.
func TestRestartWaitsForThoseAway(t *testing.T) {
	m := newMachine(t, Config{Fronts: 9, MaxUnavailableShare: 0.34, DrainSeconds: 5})
	m.goOn(6)
	for n := range 3 {
		m.exit(n, -1)
	}
	m.do(0, m.f.StartRollingRestart)
	if count(m.stopped) != 0 {
		t.Errorf("%d stopped while three are away", count(m.stopped))
	}
	m.goOn(10)
	if m.starts != 9+3+9 {
		t.Errorf("%d starts", m.starts)
	}
}

func TestFallsAndSilence(t *testing.T) {
	m := newMachine(t, Config{Fronts: 1, MaxUnavailableShare: 1, DrainSeconds: 5})
	m.do(0, func() {})
	var at []float64
	for range 6 {
		m.exit(0, 1)
		for !m.runs[0] {
			if n := m.f.NextWakeup(); n == 0 {
				t.Fatal("nothing is wanted of the clock")
			} else {
				m.do(max(n-m.now, 0.01), func() {})
			}
		}
		at = append(at, m.now)
	}
	if at[0] != 0 || at[1]-at[0] < 1 || at[5]-at[4] < 2*(at[3]-at[2]) {
		t.Errorf("starts at %v", at)
	}
	m.do(readyTime, func() {})
	if m.kills != 1 {
		t.Error("one that never gets ready is left")
	}
	m.exit(0, -1)
	m.goOn(60)
	m.do(silentTime, func() {})
	if m.kills != 2 {
		t.Error("one that is silent is left")
	}
	m.exit(0, -1)
	m.goOn(60)
	m.do(0, func() { m.f.SetWanted(0, false) })
	m.do(5+endTime, func() {})
	if m.kills != 3 {
		t.Error("one that does not end is left")
	}
	m.exit(0, -1)
	m.goOn(5)
	if m.runs[0] {
		t.Error("one that is not wanted is started")
	}
	m.do(0, func() { m.f.SetWanted(0, true) })
	m.exit(0, usage)
	m.goOn(100)
	if m.runs[0] {
		t.Error("a wrong command line is started again")
	}
}

// Whatever falls and is asked in any order: orders fit what runs, and left alone the fleet comes to what is wanted.
func TestAnyFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fronts := rapid.IntRange(1, 8).Draw(t, "fronts")
		m := newMachine(t, Config{Fronts: fronts, MaxUnavailableShare: rapid.Float64Range(0, 1).Draw(t, "share"), DrainSeconds: 3})
		one := func(t *rapid.T) int { return rapid.IntRange(0, fronts-1).Draw(t, "which") }
		t.Repeat(map[string]func(*rapid.T){
			"exit": func(t *rapid.T) {
				if n := one(t); m.runs[n] {
					m.exit(n, rapid.SampledFrom([]int{0, 1, -1, 5}).Draw(t, "code"))
				}
			},
			"health": func(t *rapid.T) {
				if n := one(t); m.runs[n] && !m.stopped[n] {
					m.ready[n] = rapid.Bool().Draw(t, "ready")
					m.do(0, func() { m.f.ReportHealth(n, true, m.ready[n]) })
				}
			},
			"want":    func(t *rapid.T) { n := one(t); m.do(0, func() { m.f.SetWanted(n, rapid.Bool().Draw(t, "run")) }) },
			"restart": func(*rapid.T) { m.do(0, m.f.StartRollingRestart) },
			"time":    func(t *rapid.T) { m.do(rapid.Float64Range(0, 20).Draw(t, "seconds"), func() {}) },
			"go on":   func(*rapid.T) { m.goOn(2) },
		})
		for n := range fronts {
			m.do(0, func() { m.f.SetWanted(n, true) })
		}
		m.do(0, m.f.StartRollingRestart)
		for range 200 {
			m.goOn(1)
			for n := range m.runs { // what was killed ends
				if i := &m.f.list[n]; i.killed && m.runs[n] {
					m.exit(n, -1)
				}
			}
		}
		list, _ := m.f.Status()
		for _, s := range list {
			if !s.Ready {
				t.Fatalf("left alone: %+v", list)
			}
		}
		m.do(0, m.f.Shutdown)
		m.goOn(3)
		if !m.f.Finished() {
			t.Fatal("it does not end")
		}
	})
}

func TestClashes(t *testing.T) {
	a := Claim{0, "a", []string{"127.0.0.1:1", "127.0.0.1:0", ""}}
	for name, c := range map[string]struct {
		second Claim
		words  int
	}{
		"none":         {Claim{1, "b", []string{"127.0.0.1:2", "127.0.0.1:0", ""}}, 0},
		"name":         {Claim{1, "a", nil}, 1},
		"port":         {Claim{1, "b", []string{"127.0.0.1:1"}}, 1},
		"both":         {Claim{1, "a", []string{"127.0.0.1:1"}}, 2},
		"its own port": {Claim{1, "b", []string{"127.0.0.1:3", "127.0.0.1:3"}}, 1},
	} {
		if w := Conflicts([]Claim{a, c.second}); len(w) != c.words {
			t.Errorf("%s: %q", name, w)
		}
	}
}

// TestStatusJSON pins the JSON names of Status. internal/fleet embeds Status in its status report, so a tag lost when a
// field is renamed changes what operators' tools read.
func TestStatusJSON(t *testing.T) {
	status := Status{Index: 1, Phase: "up", Ready: true, PhaseSeconds: 2.5, ConsecutiveFailures: 3, LastExit: "exit 0", RestartPending: true}
	embedded := struct {
		Status
		Process int
	}{status, 4}
	for want, v := range map[string]any{
		`{"N":1,"Phase":"up","Ready":true,"Age":2.5,"Fails":3,"Last":"exit 0","Old":true}`:             status,
		`{"N":1,"Phase":"up","Ready":true,"Age":2.5,"Fails":3,"Last":"exit 0","Old":true,"Process":4}`: embedded,
	} {
		if got, err := json.Marshal(v); err != nil || string(got) != want {
			t.Errorf("got %s, %v, want %s", got, err, want)
		}
	}
}
