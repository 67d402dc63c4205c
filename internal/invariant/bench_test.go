package invariant

import "testing"

// BenchmarkRequestRead reads requests at a rate at which many fall into one window of the budget.
func BenchmarkRequestRead(b *testing.B) {
	const perSecond, window = 20_000, 5.0
	g := New(Budget{BaseRetries: 5, RetriesPerRequest: 0.2, WindowSeconds: window}, func(Violation) {})
	now := 0.0
	read := func() {
		now += 1.0 / perSecond
		g.RequestRead(now, "r", false, now+1)
		g.Cancelled("r")
	}
	for range int(perSecond * window) {
		read()
	}
	b.ReportAllocs()
	for b.Loop() {
		read()
	}
}
