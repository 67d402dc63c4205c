package restore

import (
	"math"
	"testing"

	"pgregory.net/rapid"
	"rainhaven/choice"
)

var terms = Config{WindowSeconds: 10, BaseAllowance: 5, RetryShare: 0.1, WarmUpSeconds: 30}

func TestWhatIsBelieved(t *testing.T) {
	s := Snapshot{SavedAt: 1000, Memory: choice.Snapshot{FirstSetups: []float64{985, 993, 999}, Retries: []float64{980, 995},
		Servers: []choice.ServerSnapshot{{ID: 1, StartedAt: 990, Slot: 5, SlotSetups: 1, Ejected: true, FullUntil: 1050, MeanGap: 3, GapDeviation: 1, LastHeardAt: 998,
			Link: choice.LinkSnapshot{NominalCapacity: 100, Capacity: 150, OtherDemand: 40, ReadAt: 997, OwnDemand: 60, ReportedLoad: 0.5, ReportedAt: 999, ShortfallDemand: 90, ShortfallAt: 999}}},
		MeanLoad: [2]float64{0.4, 0.5}}}
	for name, c := range map[string]struct {
		now     float64
		clean   bool
		taken   int
		further int
		aside   bool
		rest    float64
		size    float64
		gap     float64
		usual   float64
	}{
		"killed just now":        {1001, false, 2, 6, true, 40, 150, 3, 0.4},
		"ended in order":         {1001, true, 2, 1, true, 40, 150, 3, 0.4},
		"killed a minute ago":    {1060, false, 0, 0, false, 40, 150, 3, 0.4},
		"ten minutes ago":        {1600, false, 0, 0, false, 0, 150, 3, 0},
		"yesterday":              {90000, false, 0, 0, false, 0, 0, 0, 0},
		"the clock was set back": {900, true, 0, 5, false, 0, 0, 0, 0},
	} {
		s.CleanExit = c.clean
		m, say := FromSnapshot(c.now, s, terms)
		b := m.Servers[0]
		if len(m.FirstSetups) != c.taken || len(m.Retries) != c.further || b.Ejected != c.aside || b.Link.OtherDemand != c.rest || b.Link.Capacity != c.size ||
			b.MeanGap != c.gap || m.MeanLoad[0] != c.usual || b.Slot != -1 {
			t.Errorf("%s: %+v, said %q", name, m, say)
		}
		if b.StartedAt != 990 && b.StartedAt != c.now {
			t.Errorf("%s: a cold box was born %v", name, b.StartedAt)
		}
	}
}

// Whatever was stored, and whenever: the ration is never looser than what the last front left of it, a box never warmer
// than it was known to be, and no figure is one that the module can't count with.
func TestNeverMoreThanForgettingAllows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instant := rapid.Float64Range(900, 1100)
		any := rapid.OneOf(instant, rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), -5, 0}))
		s := Snapshot{SavedAt: instant.Draw(t, "saved"), CleanExit: rapid.Bool().Draw(t, "clean")}
		s.Memory.FirstSetups = rapid.SliceOfN(instant, 0, 60).Draw(t, "taken")
		s.Memory.Retries = rapid.SliceOfN(instant, 0, 20).Draw(t, "further")
		cold := instant.Draw(t, "born")
		s.Memory.Servers = []choice.ServerSnapshot{{ID: 1, StartedAt: cold, Slot: any.Draw(t, "slot"), MeanGap: any.Draw(t, "gap"), GapDeviation: any.Draw(t, "dev"),
			Link: choice.LinkSnapshot{NominalCapacity: any.Draw(t, "told"), Capacity: any.Draw(t, "size"), OtherDemand: any.Draw(t, "rest"), ReadAt: any.Draw(t, "read")}}}
		now := instant.Draw(t, "now")
		m, _ := FromSnapshot(now, s, terms)
		for _, x := range m.Retries {
			if x > now {
				t.Fatalf("a further SETUP at %v, now is %v", x, now)
			}
		}
		// What may go out within the window from now, with what went out before, stays in the ration of the window's requests.
		real := 0
		for _, x := range s.Memory.Retries {
			if x <= now && now-x <= terms.WindowSeconds {
				real++
			}
		}
		if len(m.Retries) < real && now-s.SavedAt >= -1 {
			t.Fatalf("%d further SETUPs within the window, %d believed", real, len(m.Retries))
		}
		if !s.CleanExit && math.Abs(now-s.SavedAt) < terms.WindowSeconds && float64(len(m.Retries))+1 <= terms.BaseAllowance {
			t.Fatalf("killed within the window, and %d of the ration are believed used", len(m.Retries))
		}
		b := m.Servers[0]
		if known := now - cold; known < terms.WarmUpSeconds && now-s.SavedAt >= -1 && b.StartedAt != min(cold, now) {
			t.Fatalf("born %v, was %v", b.StartedAt, cold)
		}
		for _, x := range []float64{b.MeanGap, b.GapDeviation, b.Link.NominalCapacity, b.Link.Capacity, b.Link.OtherDemand, b.Link.ReadAt, b.FullUntil, b.LastHeardAt} {
			if !sound(x) {
				t.Fatalf("a figure that can't be counted with: %+v", b)
			}
		}
	})
}
