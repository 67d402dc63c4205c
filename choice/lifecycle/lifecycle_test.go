package lifecycle

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// process notes the orders and breaks the test where they come out of turn.
type process struct {
	t                    rapid.TB
	l                    *Machine
	log                  []string
	loading, exited, cut bool
	drained              bool
	code                 ExitCode
	now                  float64
}

func (p *process) note(s string) {
	if p.exited {
		p.t.Fatalf("%s after the exit", s)
	}
	p.log = append(p.log, s)
}

func (p *process) Reload() {
	if p.note("reload"); p.loading || p.drained {
		p.t.Fatalf("a reload out of turn: %v", p.log)
	}
	p.loading = true
}

func (p *process) Drain() {
	if p.note("drain"); p.drained || p.cut {
		p.t.Fatalf("a drain out of turn: %v", p.log)
	}
	p.drained = true
}

func (p *process) EndSessions() {
	if p.note("cut"); p.cut {
		p.t.Fatal("cut twice")
	}
	p.cut = true
}

func (p *process) Exit(code ExitCode, why string) {
	if p.note("exit"); why == "" {
		p.t.Fatal("an exit without a word")
	}
	p.exited, p.code = true, code
}

func begin(t rapid.TB) *process {
	p := &process{t: t}
	p.l = New(0, 30, p)
	return p
}

func (p *process) do(after float64, event func()) {
	p.now += after
	p.l.SetTime(p.now)
	event()
	p.l.Reconcile()
}

func TestLives(t *testing.T) {
	type step struct {
		after float64
		do    func(p *process)
	}
	up := step{0, func(p *process) { p.l.Started() }}
	hup := step{0.1, func(p *process) { p.l.RequestReload() }}
	term := step{1, func(p *process) { p.l.Terminate("terminated") }}
	again := step{0.05, func(p *process) { p.l.Terminate("terminated") }}
	drained := step{1, func(p *process) { p.l.Drained() }}
	ended := step{0.1, func(p *process) { p.l.SessionsEnded() }}
	loaded := step{0.1, func(p *process) { p.loading = false; p.l.Reloaded("") }}
	wait := func(s float64) step { return step{s, func(*process) {}} }
	for name, c := range map[string]struct {
		steps []step
		log   string
		code  ExitCode
	}{
		"drained":                  {[]step{up, term, drained, ended}, "drain cut exit", ExitClean},
		"another begins meanwhile": {[]step{up, term, {0.1, func(p *process) { p.l.Drained() }}, {0.1, func(p *process) { p.l.Resumed() }}, wait(5)}, "drain", 0},
		"the drain takes long":     {[]step{up, term, wait(30), ended}, "drain cut exit", ExitClean},
		"a second signal":          {[]step{up, term, term, ended}, "drain cut exit", ExitForced},
		"the same one twice":       {[]step{up, term, again, drained, ended}, "drain cut exit", ExitClean},
		"a third":                  {[]step{up, term, term, term}, "drain cut exit", ExitForced},
		"it does not end":          {[]step{up, term, drained, wait(6)}, "drain cut exit", ExitTimeout},
		"the port is taken":        {[]step{{0, func(p *process) { p.l.Failed(ExitAddressUnavailable, "taken") }}}, "exit", ExitAddressUnavailable},
		"stopped while it starts":  {[]step{term}, "exit", ExitClean},
		"a listener breaks":        {[]step{up, {1, func(p *process) { p.l.Failed(ExitFailed, "closed") }}, drained, ended}, "drain cut exit", ExitFailed},
		"taken over":               {[]step{up, {1, func(p *process) { p.l.TakenOver() }}, drained, ended}, "drain cut exit", ExitClean},
		"reloads one at a time":    {[]step{up, hup, hup, hup, loaded, wait(0.1), wait(1)}, "reload reload", 0},
		"a reload before it is up": {[]step{hup, up}, "reload", 0},
		"none while it drains":     {[]step{up, term, hup, drained, ended}, "drain cut exit", ExitClean},
	} {
		p := begin(t)
		for _, s := range c.steps {
			p.do(s.after, func() { s.do(p) })
		}
		if got := strings.Join(p.log, " "); got != c.log || p.code != c.code {
			t.Errorf("%s: %s with %d, want %s with %d", name, got, p.code, c.log, c.code)
		}
	}
}

// Whatever comes in any order, orders come in theirs, and a process that is told to end ends.
func TestAnyLife(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := begin(t)
		t.Repeat(map[string]func(*rapid.T){
			"up":      func(*rapid.T) { p.do(0, p.l.Started) },
			"hangup":  func(*rapid.T) { p.do(0, p.l.RequestReload) },
			"end":     func(t *rapid.T) { p.do(rapid.Float64Range(0, 2).Draw(t, "after"), func() { p.l.Terminate("x") }) },
			"fail":    func(*rapid.T) { p.do(0, func() { p.l.Failed(ExitFailed, "broken") }) },
			"drained": func(*rapid.T) { p.do(0, p.l.Drained) },
			"ended":   func(*rapid.T) { p.do(0, p.l.SessionsEnded) },
			"reloaded": func(t *rapid.T) {
				if !p.loading {
					t.Skip("none")
				}
				p.loading = false
				p.do(0, func() { p.l.Reloaded(rapid.SampledFrom([]string{"", "wrong"}).Draw(t, "refused")) })
			},
			"time": func(t *rapid.T) { p.do(rapid.Float64Range(0, 40).Draw(t, "seconds"), func() {}) },
		})
		p.do(1, func() { p.l.Failed(ExitFailed, "the end") })
		for range 4 {
			p.do(1, func() { p.l.Terminate("x") })
		}
		if !p.exited {
			t.Fatalf("it does not end: %v", p.log)
		}
	})
}
