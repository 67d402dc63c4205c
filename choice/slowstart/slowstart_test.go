package slowstart

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// Whatever the number of processes and however their clocks differ, what all send a server within any fall time stays within
// the rule's bound, although each always has a request for it; and a good part of the mean is used.
func TestAllProcessesTogether(t *testing.T) {
	const warmUp, coldShare, fall, plays = 12.0, 0.4, 1.0, 40
	for _, processes := range []int{1, 2, 30, 300, 900} {
		for _, n := range []float64{1, 4, 24, 30, 60, 200} {
			r := rand.New(rand.NewPCG(uint64(processes), math.Float64bits(n)))
			sum, worst := 0.0, 0.0
			for play := range plays {
				var sent []float64
				slots := SlotsPerWindow(n)
				slot := fall / slots
				for p := range processes {
					clock := r.Float64() * 7200 // each has a clock of its own
					seed := r.Uint64()
					for k := math.Floor(clock / slot); k*slot < clock+warmUp; k++ {
						at := max(k*slot-clock, 0) // at the slot's first instant: they are never spread
						can := n / coldShare * (coldShare + (1-coldShare)*at/warmUp)
						for range Allowed(can, slots, processes, seed, uint32(play), int64(k)) {
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
					can := n / coldShare * (coldShare + (1-coldShare)*max(at-fall, 0)/warmUp)
					if over := float64(i-from+1) / OverloadLimit(can); over > worst {
						worst = over
					}
				}
				sum += float64(len(sent))
			}
			if worst > 1 {
				t.Errorf("%d processes, budget %g: %.2f of the bound in the worst window", processes, n, worst)
			}
			if mean := sum / plays / warmUp; mean < 0.4*TargetMean(n) {
				t.Errorf("%d processes, budget %g: %.2f a second where %.2f and more may go", processes, n, mean, TargetMean(n))
			}
		}
	}
}

// A process that is alone leaves no slot out, as there is nobody to leave it to.
func TestAloneUsesEachSlot(t *testing.T) {
	for _, n := range []float64{4, 24, 57, 200} {
		slots := SlotsPerWindow(n)
		for slot := range int64(1000) {
			if Allowed(n, slots, 1, 7, 1, slot) < 1 {
				t.Fatalf("budget %g: slot %d is left out", n, slot)
			}
		}
	}
}

// A start that a process knows from its configuration never counts as longer ago than it is, by however many seconds or by an
// hour the wall clock is off; one that is surely long ago counts as such.
func TestStartKnownByAClockThatIsOff(t *testing.T) {
	for _, off := range []float64{0, 1, -1, 3, -3, 5, -5, 3600, -3600, 3603, 3597, -3603} {
		for _, age := range []float64{0, 0.5, 2, 4, 8, 12, 20, 60} {
			const now = 1e6
			if counted := now - StartedAt(now, age+off, false); counted > age {
				t.Errorf("%g s ago by a clock that is off by %g s counts as %g s ago", age, off, counted)
			}
		}
	}
	for _, age := range []float64{30, 600, 3500, 7200, 86400} {
		if counted := 1e6 - StartedAt(1e6, age, false); counted < age-5 {
			t.Errorf("%g s ago by a clock that is right counts as %g s ago", age, counted)
		}
	}
}
