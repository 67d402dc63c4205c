package invariant

import (
	"slices"
	"testing"
)

// Each way to break a rule is refused, counted and reported by its reason; what keeps the rules passes.
func TestGuard(t *testing.T) {
	type step = func(g *Guard) bool
	read := func(single bool) step { return func(g *Guard) bool { g.RequestRead(0, "a", single, 2); return true } }
	attempt := func(g *Guard) bool { return g.StartAttempt(1, "a") }
	send := func(g *Guard) bool { return g.Send(1, "a", 1, true) }
	over := func(unrun bool) step { return func(g *Guard) bool { g.AttemptEnded("a", unrun); return true } }
	answer := func(a AnswerKind) step { return func(g *Guard) bool { return g.Answer(1, "a", a) } }
	cancelled := func(g *Guard) bool { g.Cancelled("a"); return true }
	for _, c := range []struct {
		name  string
		steps []step
		want  []Reason
	}{
		{"served", []step{read(true), attempt, send, answer(Served)}, nil},
		{"repeated after proof", []step{read(true), attempt, over(true), attempt, send, over(true), answer(Refused)}, nil},
		{"two answers", []step{read(false), answer(Refused), answer(Failed)}, []Reason{AnswerTwice}},
		{"no answer", []step{read(false), func(g *Guard) bool { g.ProcessEnded(); return true }}, []Reason{AnswerMissing}},
		{"late", []step{read(false), func(g *Guard) bool { return g.Answer(2.6, "a", Failed) }}, []Reason{AnswerLate}},
		{"refused though it may have run", []step{read(true), attempt, send, over(false), answer(Refused)}, []Reason{AnswerUnproven}},
		{"attempt after the answer", []step{read(false), answer(Failed), attempt}, []Reason{AttemptAfterEnd}},
		{"attempt after its client has gone", []step{read(false), cancelled, attempt}, []Reason{AttemptAfterEnd}},
		{"sent after its client has gone", []step{read(false), attempt, cancelled, send}, []Reason{AttemptAfterEnd}},
		{"two out", []step{read(false), attempt, attempt}, []Reason{AttemptOverlap}},
		{"repeated though it may have run", []step{read(true), attempt, over(false), attempt}, []Reason{AttemptRepeated}},
		{"copied", []step{read(false), attempt, send, send}, []Reason{AttemptCopied}},
		{"copied after none of it left", []step{read(false), attempt, send, func(g *Guard) bool { g.Unsent("a"); return true }, send}, nil},
		{"longer than the client waits", []step{read(false), attempt, func(g *Guard) bool { return g.Send(1, "a", 1.2, true) }}, []Reason{AttemptDeadline}},
		{"to a drained server", []step{read(false), attempt, func(g *Guard) bool { return g.Send(1, "a", 1, false) }}, []Reason{AttemptDrained}},
		{"past the budget", []step{read(false), attempt, over(true), attempt, over(true), attempt}, []Reason{RetryBudget}},
		{"closed while reading", []step{func(g *Guard) bool { return g.Close("c", 0, false) }}, []Reason{CloseUnread}},
		{"closed unanswered", []step{func(g *Guard) bool { return g.Close("c", 1, true) }}, []Reason{CloseUnanswered}},
	} {
		var got []Reason
		g := New(Budget{BaseAllowance: 1, RequestShare: 0.1, WindowSeconds: 10}, func(v Violation) { got = append(got, v.Reason) })
		for _, do := range c.steps {
			do(g)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: %v where %v is due", c.name, got, c.want)
		}
		for _, r := range c.want {
			if g.Counts()[r.String()] != 1 {
				t.Errorf("%s: counted %v", c.name, g.Counts())
			}
		}
	}
}

// The budget's window slides: what lies before it no longer counts, for requests or for further attempts.
func TestBudgetSlides(t *testing.T) {
	broken := 0
	g := New(Budget{BaseAllowance: 1, RequestShare: 0, WindowSeconds: 10}, func(Violation) { broken++ })
	for k, at := range []float64{0, 10, 19, 20} {
		id := string(rune('a' + k))
		g.RequestRead(at, id, false, at+2)
		g.StartAttempt(at, id)
		g.AttemptEnded(id, true)
		if ok := g.StartAttempt(at, id); ok != (at != 19) {
			t.Errorf("at %g: %v", at, ok)
		}
	}
	if broken != 1 {
		t.Errorf("%d violations", broken)
	}
}
