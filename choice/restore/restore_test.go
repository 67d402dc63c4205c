package restore

import (
	"math"
	"testing"

	"pgregory.net/rapid"
	"rainhaven/choice"
)

var terms = Config{WindowSeconds: 10, BaseAllowance: 5, RetryShare: 0.1, WarmUpSeconds: 30}

func TestWhatIsBelieved(t *testing.T) {
	s := Snapshot{SavedAt: 1000, Memory: choice.Memory{Taken: []float64{985, 993, 999}, Further: []float64{980, 995},
		Servers: []choice.Remembered{{ID: 1, Born: 990, Slot: 5, Used: 1, Aside: true, Full: 1050, Gap: 3, Dev: 1, Heard: 998,
			Link: choice.Reading{Told: 100, Size: 150, Rest: 40, Read: 997, Top: 60, Load: 0.5, Seen: 999, Lift: 90, Lifted: 999}}},
		Usual: [2]float64{0.4, 0.5}}}
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
		if len(m.Taken) != c.taken || len(m.Further) != c.further || b.Aside != c.aside || b.Link.Rest != c.rest || b.Link.Size != c.size ||
			b.Gap != c.gap || m.Usual[0] != c.usual || b.Slot != -1 {
			t.Errorf("%s: %+v, said %q", name, m, say)
		}
		if b.Born != 990 && b.Born != c.now {
			t.Errorf("%s: a cold box was born %v", name, b.Born)
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
		s.Memory.Taken = rapid.SliceOfN(instant, 0, 60).Draw(t, "taken")
		s.Memory.Further = rapid.SliceOfN(instant, 0, 20).Draw(t, "further")
		cold := instant.Draw(t, "born")
		s.Memory.Servers = []choice.Remembered{{ID: 1, Born: cold, Slot: any.Draw(t, "slot"), Gap: any.Draw(t, "gap"), Dev: any.Draw(t, "dev"),
			Link: choice.Reading{Told: any.Draw(t, "told"), Size: any.Draw(t, "size"), Rest: any.Draw(t, "rest"), Read: any.Draw(t, "read")}}}
		now := instant.Draw(t, "now")
		m, _ := FromSnapshot(now, s, terms)
		for _, x := range m.Further {
			if x > now {
				t.Fatalf("a further SETUP at %v, now is %v", x, now)
			}
		}
		// What may go out within the window from now, with what went out before, stays in the ration of the window's requests.
		real := 0
		for _, x := range s.Memory.Further {
			if x <= now && now-x <= terms.WindowSeconds {
				real++
			}
		}
		if len(m.Further) < real && now-s.SavedAt >= -1 {
			t.Fatalf("%d further SETUPs within the window, %d believed", real, len(m.Further))
		}
		if !s.CleanExit && math.Abs(now-s.SavedAt) < terms.WindowSeconds && float64(len(m.Further))+1 <= terms.BaseAllowance {
			t.Fatalf("killed within the window, and %d of the ration are believed used", len(m.Further))
		}
		b := m.Servers[0]
		if known := now - cold; known < terms.WarmUpSeconds && now-s.SavedAt >= -1 && b.Born != min(cold, now) {
			t.Fatalf("born %v, was %v", b.Born, cold)
		}
		for _, x := range []float64{b.Gap, b.Dev, b.Link.Told, b.Link.Size, b.Link.Rest, b.Link.Read, b.Full, b.Heard} {
			if !sound(x) {
				t.Fatalf("a figure that can't be counted with: %+v", b)
			}
		}
	})
}
