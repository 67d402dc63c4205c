package backoff

import "testing"

func TestNext(t *testing.T) {
	for seed := range uint64(50) {
		b := New(seed)
		sum := 0.0
		for range 20 {
			p := b.Next(0, false)
			if p < first/2 || p > most*1.5 {
				t.Fatalf("seed %d: a pause of %v s", seed, p)
			}
			sum += p
		}
		if sum < 3 {
			t.Errorf("seed %d: twenty calls within %.1f s", seed, sum)
		}
		if b.Next(0.1, false) < most/2 {
			t.Errorf("seed %d: a connection that ended at once counts as a good one", seed)
		}
		if p := b.Next(0.1, true); p > first*1.5 {
			t.Errorf("seed %d: %v s after news", seed, p)
		}
		b.Next(0, false)
		if p := b.Next(5, false); p > first*1.5 {
			t.Errorf("seed %d: %v s after a steady connection", seed, p)
		}
		if s := b.SilenceTimeout(); s <= 2 || s > 2.6 {
			t.Errorf("seed %d: %v s of silence", seed, s)
		}
	}
}

// Three hundred clients that lose their connections at one instant come back spread, the same ones at the same time.
func TestClientsPartAfterABreak(t *testing.T) {
	at := map[float64]int{}
	for seed := range uint64(300) {
		b, again := New(seed*7919+3), New(seed*7919+3)
		p := b.Next(10, false)
		if again.Next(10, false) != p {
			t.Fatal("not the same for the same seed")
		}
		at[float64(int(p*1000))]++ // by the millisecond
	}
	for ms, n := range at {
		if n > 45 { // twice their part, of 20 ms
			t.Errorf("%d at %v ms", n, ms)
		}
	}
}
