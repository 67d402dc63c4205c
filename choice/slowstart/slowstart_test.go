package slowstart

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// For any number of processes with any clock offsets, what all send to a server within any fall time stays within the
// platform's bound, although each process always has a request waiting; and at least 0.4 of the mean is used.
func TestAllProcessesTogether(t *testing.T) {
	const warmUp, coldShare, fall, runs = 12.0, 0.4, 1.0, 40
	for _, processes := range []int{1, 2, 30, 300, 900} {
		for _, n := range []float64{1, 4, 24, 30, 60, 200} {
			r := rand.New(rand.NewPCG(uint64(processes), math.Float64bits(n)))
			sum, worst := 0.0, 0.0
			for run := range runs {
				var sent []float64
				slots := SlotsPerWindow(n)
				slot := fall / slots
				for p := range processes {
					clock := r.Float64() * 7200 // each process has a clock of its own
					seed := r.Uint64()
					for k := math.Floor(clock / slot); k*slot < clock+warmUp; k++ {
						at := max(k*slot-clock, 0) // at the start of the slot: requests are not spread within it
						capacity := n / coldShare * (coldShare + (1-coldShare)*at/warmUp)
						for range Allowed(capacity, slots, processes, seed, uint32(run), int64(k)) {
							sent = append(sent, at+float64(p)*1e-6)
						}
					}
				}
				slices.Sort(sent)
				from := 0
				for i, at := range sent {
					for sent[from] < at-fall {
						from++
					}
					capacity := n / coldShare * (coldShare + (1-coldShare)*max(at-fall, 0)/warmUp)
					if ratio := float64(i-from+1) / OverloadLimit(capacity); ratio > worst {
						worst = ratio
					}
				}
				sum += float64(len(sent))
			}
			if worst > 1 {
				t.Errorf("%d processes, budget %g: %.2f of the bound in the worst window", processes, n, worst)
			}
			if mean := sum / runs / warmUp; mean < 0.4*TargetMean(n) {
				t.Errorf("%d processes, budget %g: %.2f requests a second, the mean for a cold server is %.2f", processes, n, mean, TargetMean(n))
			}
		}
	}
}

// A single process uses every slot, as no other could use the ones that it skips.
func TestSingleProcessUsesEverySlot(t *testing.T) {
	for _, n := range []float64{4, 24, 57, 200} {
		slots := SlotsPerWindow(n)
		for slot := range int64(1000) {
			if Allowed(n, slots, 1, 7, 1, slot) < 1 {
				t.Fatalf("budget %g: slot %d is skipped", n, slot)
			}
		}
	}
}

// A start known from the configuration never counts as longer ago than it is, although the wall clock may be off by some
// seconds, by an hour, or by both; with a correct clock a long past start counts as such.
func TestStartKnownByAClockThatIsOff(t *testing.T) {
	for _, off := range []float64{0, 1, -1, 3, -3, 5, -5, 3600, -3600, 3603, 3597, -3603} {
		for _, age := range []float64{0, 0.5, 2, 4, 8, 12, 20, 60} {
			const now = 1e6
			if counted := now - StartedAt(now, age+off, false); counted > age {
				t.Errorf("age %g s with a clock that is off by %g s counts as %g s", age, off, counted)
			}
		}
	}
	for _, age := range []float64{30, 600, 3500, 7200, 86400} {
		if counted := 1e6 - StartedAt(1e6, age, false); counted < age-5 {
			t.Errorf("age %g s with a correct clock counts as %g s", age, counted)
		}
	}
}
