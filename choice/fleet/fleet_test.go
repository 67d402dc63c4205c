package fleet

import (
	"encoding/json"
	"slices"
	"testing"

	"rainhaven/choice/lifecycle"

	"pgregory.net/rapid"
)

// machine simulates the processes of a fleet and fails the test on an action that does not fit them.
type machine struct {
	tb       rapid.TB
	f        *Fleet
	now      float64
	running  []bool
	ready    []bool
	stopped  []bool // Stop was called
	starts   int
	kills    int
	minReady int // fewest fronts ready at a time since it was set
}

func newMachine(tb rapid.TB, c Config) *machine {
	m := &machine{tb: tb, running: make([]bool, c.Fronts), ready: make([]bool, c.Fronts), stopped: make([]bool, c.Fronts)}
	m.f = New(0, c, m)
	return m
}

func (m *machine) Start(n int) {
	if m.running[n] {
		m.tb.Fatalf("front %d is started while it is running", n)
	}
	m.running[n], m.stopped[n] = true, false
	m.starts++
}

func (m *machine) Stop(n int) {
	if !m.running[n] || m.stopped[n] {
		m.tb.Fatalf("front %d is stopped: running %v, stopped %v", n, m.running[n], m.stopped[n])
	}
	m.stopped[n], m.ready[n] = true, false
}

func (m *machine) Kill(n int) {
	if !m.running[n] {
		m.tb.Fatalf("front %d is killed and is not running", n)
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
	m.minReady = min(m.minReady, n)
}

func (m *machine) exit(n, code int) {
	m.running[n], m.ready[n] = false, false
	m.do(0, func() { m.f.Exited(n, code, "") })
}

// runFor simulates healthy fronts for some seconds: they are ready half a second after their start and exit half a second
// after Stop.
func (m *machine) runFor(seconds float64) {
	for end := m.now + seconds; m.now < end; {
		m.do(0.5, func() {})
		for n := range m.running {
			switch {
			case m.running[n] && m.stopped[n]:
				m.exit(n, 0)
			case m.running[n]:
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
	if count(m.running) != 4 {
		t.Fatalf("%d fronts started at once", count(m.running))
	}
	m.runFor(10)
	if m.starts != 20 || count(m.ready) != 20 {
		t.Fatalf("%d started, %d ready", m.starts, count(m.ready))
	}
	m.minReady = 20
	m.do(0, m.f.StartRollingRestart)
	m.runFor(20)
	if m.starts != 40 || count(m.ready) != 20 || m.minReady != 16 {
		t.Errorf("%d started, %d ready, minimum %d", m.starts, count(m.ready), m.minReady)
	}
	// A front that fails after its restart holds the rolling restart.
	m.do(0, m.f.StartRollingRestart)
	first := slices.Index(m.stopped, true)
	m.exit(first, 0)
	m.do(0, func() {})
	m.exit(first, 1)
	before := m.starts
	m.runFor(30)
	if _, held := m.f.Status(); held == "" || m.starts-before > 5 || count(m.ready) != 20 {
		t.Errorf("held %q, %d more starts, %d ready", held, m.starts-before, count(m.ready))
	}
	m.do(0, m.f.StartRollingRestart)
	m.runFor(30)
	if list, held := m.f.Status(); held != "" || slices.ContainsFunc(list, func(s Status) bool { return s.RestartPending }) {
		t.Errorf("held %q, %+v", held, list)
	}
	m.do(0, m.f.Shutdown)
	m.runFor(3)
	if !m.f.Finished() || count(m.running) > 0 {
		t.Errorf("%d still running", count(m.running))
	}
}

// With a third of the fronts already down, a rolling restart waits until they are back.
func TestRestartWaitsForUnavailable(t *testing.T) {
	m := newMachine(t, Config{Fronts: 9, MaxUnavailableShare: 0.34, DrainSeconds: 5})
	m.runFor(6)
	for n := range 3 {
		m.exit(n, -1)
	}
	m.do(0, m.f.StartRollingRestart)
	if count(m.stopped) != 0 {
		t.Errorf("%d stopped while three are down", count(m.stopped))
	}
	m.runFor(10)
	if m.starts != 9+3+9 {
		t.Errorf("%d starts", m.starts)
	}
}

func TestBackoffAndTimeouts(t *testing.T) {
	m := newMachine(t, Config{Fronts: 1, MaxUnavailableShare: 1, DrainSeconds: 5})
	m.do(0, func() {})
	var at []float64
	for range 6 {
		m.exit(0, 1)
		for !m.running[0] {
			if n := m.f.NextWakeup(); n == 0 {
				t.Fatal("no wakeup is scheduled for the restart")
			} else {
				m.do(max(n-m.now, 0.01), func() {})
			}
		}
		at = append(at, m.now)
	}
	if at[0] != 0 || at[1]-at[0] < 1 || at[5]-at[4] < 2*(at[3]-at[2]) {
		t.Errorf("starts at %v", at)
	}
	m.do(readyTimeoutSeconds, func() {})
	if m.kills != 1 {
		t.Error("a front that never gets ready was not killed")
	}
	m.exit(0, -1)
	m.runFor(60)
	m.do(healthTimeoutSeconds, func() {})
	if m.kills != 2 {
		t.Error("a front without health reports was not killed")
	}
	m.exit(0, -1)
	m.runFor(60)
	m.do(0, func() { m.f.SetWanted(0, false) })
	m.do(5+exitTimeoutSeconds, func() {})
	if m.kills != 3 {
		t.Error("a front that does not exit was not killed")
	}
	m.exit(0, -1)
	m.runFor(5)
	if m.running[0] {
		t.Error("a front that is not wanted was started")
	}
	m.do(0, func() { m.f.SetWanted(0, true) })
	m.exit(0, int(lifecycle.ExitUsage))
	m.runFor(100)
	if m.running[0] {
		t.Error("a front with an invalid command line was restarted")
	}
}

// A front that ends by a panic or a fatal error of Go's runtime, both exit code 2, or by a signal, -1, is started again. With exit
// code 2 it was not.
func TestOnlyWrongUsageIsFinal(t *testing.T) {
	for _, code := range []int{2, -1, int(lifecycle.ExitFailed), int(lifecycle.ExitTimeout), int(lifecycle.ExitClean)} {
		m := newMachine(t, Config{Fronts: 1, MaxUnavailableShare: 1, DrainSeconds: 5})
		m.runFor(10)
		m.exit(0, code)
		m.runFor(1)
		if !m.running[0] || m.f.Finished() {
			t.Errorf("exit code %d: running %v, finished %v", code, m.running[0], m.f.Finished())
		}
	}
}

// For any order of failures and requests, actions fit the processes that are running. Once events stop, the fleet reaches the
// wanted state.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fronts := rapid.IntRange(1, 8).Draw(t, "fronts")
		m := newMachine(t, Config{Fronts: fronts, MaxUnavailableShare: rapid.Float64Range(0, 1).Draw(t, "share"), DrainSeconds: 3})
		anyFront := func(t *rapid.T) int { return rapid.IntRange(0, fronts-1).Draw(t, "front") }
		t.Repeat(map[string]func(*rapid.T){
			"exit": func(t *rapid.T) {
				if n := anyFront(t); m.running[n] {
					m.exit(n, rapid.SampledFrom([]int{0, 1, -1, 5}).Draw(t, "code"))
				}
			},
			"health": func(t *rapid.T) {
				if n := anyFront(t); m.running[n] && !m.stopped[n] {
					m.ready[n] = rapid.Bool().Draw(t, "ready")
					m.do(0, func() { m.f.ReportHealth(n, true, m.ready[n]) })
				}
			},
			"want":    func(t *rapid.T) { n := anyFront(t); m.do(0, func() { m.f.SetWanted(n, rapid.Bool().Draw(t, "run")) }) },
			"restart": func(*rapid.T) { m.do(0, m.f.StartRollingRestart) },
			"time":    func(t *rapid.T) { m.do(rapid.Float64Range(0, 20).Draw(t, "seconds"), func() {}) },
			"run":     func(*rapid.T) { m.runFor(2) },
		})
		for n := range fronts {
			m.do(0, func() { m.f.SetWanted(n, true) })
		}
		m.do(0, m.f.StartRollingRestart)
		for range 200 {
			m.runFor(1)
			for n := range m.running { // killed processes exit
				if i := &m.f.instances[n]; i.killed && m.running[n] {
					m.exit(n, -1)
				}
			}
		}
		list, _ := m.f.Status()
		for _, s := range list {
			if !s.Ready {
				t.Fatalf("a front is not ready after events stopped: %+v", list)
			}
		}
		m.do(0, m.f.Shutdown)
		m.runFor(3)
		if !m.f.Finished() {
			t.Fatal("the fleet did not shut down")
		}
	})
}

func TestConflicts(t *testing.T) {
	a := Claim{0, "a", []string{"127.0.0.1:1", "127.0.0.1:0", ""}}
	for name, c := range map[string]struct {
		second Claim
		want   int
	}{
		"none":         {Claim{1, "b", []string{"127.0.0.1:2", "127.0.0.1:0", ""}}, 0},
		"name":         {Claim{1, "a", nil}, 1},
		"port":         {Claim{1, "b", []string{"127.0.0.1:1"}}, 1},
		"both":         {Claim{1, "a", []string{"127.0.0.1:1"}}, 2},
		"its own port": {Claim{1, "b", []string{"127.0.0.1:3", "127.0.0.1:3"}}, 1},
	} {
		if got := Conflicts([]Claim{a, c.second}); len(got) != c.want {
			t.Errorf("%s: got %q, want %d conflicts", name, got, c.want)
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
