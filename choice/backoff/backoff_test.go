package backoff

import "testing"

func TestNext(t *testing.T) {
	for seed := range uint64(50) {
		b := New(seed)
		sum := 0.0
		for range 20 {
			p := b.Next(0, false)
			if p < minDelaySeconds/2 || p > maxDelaySeconds*1.5 {
				t.Fatalf("seed %d: a delay of %v s", seed, p)
			}
			sum += p
		}
		if sum < 3 {
			t.Errorf("seed %d: twenty attempts within %.1f s", seed, sum)
		}
		if b.Next(0.1, false) < maxDelaySeconds/2 {
			t.Errorf("seed %d: a connection that was closed at once reset the delay", seed)
		}
		if p := b.Next(0.1, true); p > minDelaySeconds*1.5 {
			t.Errorf("seed %d: a delay of %v s after updates", seed, p)
		}
		b.Next(0, false)
		if p := b.Next(5, false); p > minDelaySeconds*1.5 {
			t.Errorf("seed %d: a delay of %v s after a stable connection", seed, p)
		}
		if s := b.SilenceTimeout(); s <= 2 || s > 2.6 {
			t.Errorf("seed %d: a silence timeout of %v s", seed, s)
		}
	}
}

// Three hundred clients that lose their connections at the same time reconnect at different times, and the same seed always
// gives the same delay.
func TestReconnectsAreSpread(t *testing.T) {
	reconnects := map[float64]int{} // by the millisecond
	for seed := range uint64(300) {
		b, again := New(seed*7919+3), New(seed*7919+3)
		p := b.Next(10, false)
		if again.Next(10, false) != p {
			t.Fatal("different delays for the same seed")
		}
		reconnects[float64(int(p*1000))]++
	}
	for ms, n := range reconnects {
		if n > 45 { // 15 on average, as the delays cover 20 ms
			t.Errorf("%d reconnects at %v ms", n, ms)
		}
	}
}
