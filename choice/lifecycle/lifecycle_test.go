package lifecycle

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// process records the actions of a Machine and fails the test if one comes out of order.
type process struct {
	t                                rapid.TB
	m                                *Machine
	actions                          []string
	reloading, exited, sessionsEnded bool
	draining                         bool
	code                             ExitCode
	now                              float64
}

func (p *process) record(action string) {
	if p.exited {
		p.t.Fatalf("%s after the exit", action)
	}
	p.actions = append(p.actions, action)
}

func (p *process) Reload() {
	if p.record("reload"); p.reloading || p.draining {
		p.t.Fatalf("reload out of order: %v", p.actions)
	}
	p.reloading = true
}

func (p *process) Drain() {
	if p.record("drain"); p.draining || p.sessionsEnded {
		p.t.Fatalf("drain out of order: %v", p.actions)
	}
	p.draining = true
}

func (p *process) EndSessions() {
	if p.record("end"); p.sessionsEnded {
		p.t.Fatal("sessions ended twice")
	}
	p.sessionsEnded = true
}

func (p *process) Exit(code ExitCode, reason string) {
	if p.record("exit"); reason == "" {
		p.t.Fatal("exit without a reason")
	}
	p.exited, p.code = true, code
}

func newProcess(t rapid.TB) *process {
	p := &process{t: t}
	p.m = New(0, 30, p)
	return p
}

func (p *process) do(after float64, event func()) {
	p.now += after
	p.m.SetTime(p.now)
	event()
	p.m.Reconcile()
}

func TestTransitions(t *testing.T) {
	type step struct {
		after float64
		do    func(p *process)
	}
	started := step{0, func(p *process) { p.m.Started() }}
	reload := step{0.1, func(p *process) { p.m.RequestReload() }}
	term := step{1, func(p *process) { p.m.Terminate("terminated") }}
	duplicate := step{0.05, func(p *process) { p.m.Terminate("terminated") }}
	drained := step{1, func(p *process) { p.m.Drained() }}
	ended := step{0.1, func(p *process) { p.m.SessionsEnded() }}
	reloaded := step{0.1, func(p *process) { p.reloading = false; p.m.Reloaded("") }}
	wait := func(s float64) step { return step{s, func(*process) {}} }
	for name, c := range map[string]struct {
		steps   []step
		actions string
		code    ExitCode
	}{
		"drain":                        {[]step{started, term, drained, ended}, "drain end exit", ExitClean},
		"session starts while drained": {[]step{started, term, {0.1, func(p *process) { p.m.Drained() }}, {0.1, func(p *process) { p.m.Resumed() }}, wait(5)}, "drain", 0},
		"drain times out":              {[]step{started, term, wait(30), ended}, "drain end exit", ExitClean},
		"second signal":                {[]step{started, term, term, ended}, "drain end exit", ExitForced},
		"duplicate signal":             {[]step{started, term, duplicate, drained, ended}, "drain end exit", ExitClean},
		"third signal":                 {[]step{started, term, term, term}, "drain end exit", ExitForced},
		"front does not end":           {[]step{started, term, drained, wait(6)}, "drain end exit", ExitTimeout},
		"port in use":                  {[]step{{0, func(p *process) { p.m.Failed(ExitAddressUnavailable, "taken") }}}, "exit", ExitAddressUnavailable},
		"signal while starting":        {[]step{term}, "exit", ExitClean},
		"listener fails":               {[]step{started, {1, func(p *process) { p.m.Failed(ExitFailed, "closed") }}, drained, ended}, "drain end exit", ExitFailed},
		"taken over":                   {[]step{started, {1, func(p *process) { p.m.TakenOver() }}, drained, ended}, "drain end exit", ExitClean},
		"one reload at a time":         {[]step{started, reload, reload, reload, reloaded, wait(0.1), wait(1)}, "reload reload", 0},
		"reload before serving":        {[]step{reload, started}, "reload", 0},
		"no reload while draining":     {[]step{started, term, reload, drained, ended}, "drain end exit", ExitClean},
	} {
		p := newProcess(t)
		for _, s := range c.steps {
			p.do(s.after, func() { s.do(p) })
		}
		if got := strings.Join(p.actions, " "); got != c.actions || p.code != c.code {
			t.Errorf("%s: %s with code %d, want %s with %d", name, got, p.code, c.actions, c.code)
		}
	}
}

// For any order of events, actions come in order and a process that is told to stop exits.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newProcess(t)
		t.Repeat(map[string]func(*rapid.T){
			"started":        func(*rapid.T) { p.do(0, p.m.Started) },
			"request reload": func(*rapid.T) { p.do(0, p.m.RequestReload) },
			"terminate":      func(t *rapid.T) { p.do(rapid.Float64Range(0, 2).Draw(t, "after"), func() { p.m.Terminate("x") }) },
			"fail":           func(*rapid.T) { p.do(0, func() { p.m.Failed(ExitFailed, "broken") }) },
			"drained":        func(*rapid.T) { p.do(0, p.m.Drained) },
			"ended":          func(*rapid.T) { p.do(0, p.m.SessionsEnded) },
			"reloaded": func(t *rapid.T) {
				if !p.reloading {
					t.Skip("no reload in progress")
				}
				p.reloading = false
				p.do(0, func() { p.m.Reloaded(rapid.SampledFrom([]string{"", "wrong"}).Draw(t, "rejection")) })
			},
			"time": func(t *rapid.T) { p.do(rapid.Float64Range(0, 40).Draw(t, "seconds"), func() {}) },
		})
		p.do(1, func() { p.m.Failed(ExitFailed, "the end") })
		for range 4 {
			p.do(1, func() { p.m.Terminate("x") })
		}
		if !p.exited {
			t.Fatalf("the process did not exit: %v", p.actions)
		}
	})
}
