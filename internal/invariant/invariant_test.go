package invariant

import (
	"slices"
	"testing"
)

// Each violation is refused, counted and reported with its reason. Steps that follow the rules pass.
func TestGuard(t *testing.T) {
	type step = func(g *Guard) bool
	read := func(noRepeat bool) step {
		return func(g *Guard) bool { g.RequestRead(0, "a", noRepeat, 2); return true }
	}
	attempt := func(g *Guard) bool { return g.StartAttempt(1, "a") }
	send := func(g *Guard) bool { return g.Send(1, "a", 1, true) }
	ended := func(noEffect bool) step { return func(g *Guard) bool { g.AttemptEnded("a", noEffect); return true } }
	answer := func(a AnswerKind) step { return func(g *Guard) bool { return g.Answer(1, "a", a) } }
	cancelled := func(g *Guard) bool { g.Cancelled("a"); return true }
	for _, c := range []struct {
		name  string
		steps []step
		want  []Reason
	}{
		{"served", []step{read(true), attempt, send, answer(Served)}, nil},
		{"retried after an attempt without effect", []step{read(true), attempt, ended(true), attempt, send, ended(true), answer(Refused)}, nil},
		{"two answers", []step{read(false), answer(Refused), answer(Failed)}, []Reason{AnswerTwice}},
		{"no answer", []step{read(false), func(g *Guard) bool { g.ProcessEnded(); return true }}, []Reason{AnswerMissing}},
		{"late answer", []step{read(false), func(g *Guard) bool { return g.Answer(2.6, "a", Failed) }}, []Reason{AnswerLate}},
		{"refused although it may have run", []step{read(true), attempt, send, ended(false), answer(Refused)}, []Reason{AnswerUnproven}},
		{"attempt after the answer", []step{read(false), answer(Failed), attempt}, []Reason{AttemptAfterEnd}},
		{"attempt after its client has cancelled", []step{read(false), cancelled, attempt}, []Reason{AttemptAfterEnd}},
		{"sent after its client has cancelled", []step{read(false), attempt, cancelled, send}, []Reason{AttemptAfterEnd}},
		{"two in flight", []step{read(false), attempt, attempt}, []Reason{AttemptOverlap}},
		{"retried although it may have run", []step{read(true), attempt, ended(false), attempt}, []Reason{AttemptRepeated}},
		{"sent twice", []step{read(false), attempt, send, send}, []Reason{AttemptCopied}},
		{"sent again after nothing was sent", []step{read(false), attempt, send, func(g *Guard) bool { g.Unsent("a"); return true }, send}, nil},
		{"server given longer than the client waits", []step{read(false), attempt, func(g *Guard) bool { return g.Send(1, "a", 1.2, true) }}, []Reason{AttemptDeadline}},
		{"to a drained server", []step{read(false), attempt, func(g *Guard) bool { return g.Send(1, "a", 1, false) }}, []Reason{AttemptDrained}},
		{"over the retry budget", []step{read(false), attempt, ended(true), attempt, ended(true), attempt}, []Reason{RetryBudget}},
		{"closed while reading", []step{func(g *Guard) bool { return g.Close("c", 0, false) }}, []Reason{CloseUnread}},
		{"closed unanswered", []step{func(g *Guard) bool { return g.Close("c", 1, true) }}, []Reason{CloseUnanswered}},
	} {
		var got []Reason
		g := New(Budget{BaseRetries: 1, RetriesPerRequest: 0.1, WindowSeconds: 10}, func(v Violation) { got = append(got, v.Reason) })
		for _, do := range c.steps {
			do(g)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
		for _, r := range c.want {
			if g.Counts()[r.String()] != 1 {
				t.Errorf("%s: counts %v", c.name, g.Counts())
			}
		}
	}
}

// The budget's window slides: requests and retries before it no longer count.
func TestBudgetSlides(t *testing.T) {
	violations := 0
	g := New(Budget{BaseRetries: 1, RetriesPerRequest: 0, WindowSeconds: 10}, func(Violation) { violations++ })
	for k, at := range []float64{0, 10, 19, 20} {
		id := string(rune('a' + k))
		g.RequestRead(at, id, false, at+2)
		g.StartAttempt(at, id)
		g.AttemptEnded(id, true)
		if ok := g.StartAttempt(at, id); ok != (at != 19) {
			t.Errorf("at %g: %v", at, ok)
		}
	}
	if violations != 1 {
		t.Errorf("%d violations, want 1", violations)
	}
}
