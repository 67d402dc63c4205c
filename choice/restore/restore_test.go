package restore

import (
	"math"
	"testing"

	"pgregory.net/rapid"
	"rainhaven/choice"
)

var config = Config{WindowSeconds: 10, BaseAllowance: 5, RetryShare: 0.1, WarmUpSeconds: 30}

func TestFromSnapshotByAge(t *testing.T) {
	s := Snapshot{SavedAt: 1000, Memory: choice.Memory{Taken: []float64{985, 993, 999}, Further: []float64{980, 995},
		Servers: []choice.Remembered{{ID: 1, Born: 990, Slot: 5, Used: 1, Aside: true, Full: 1050, Gap: 3, Dev: 1, Heard: 998,
			Link: choice.Reading{Told: 100, Size: 150, Rest: 40, Read: 997, Top: 60, Load: 0.5, Seen: 999, Lift: 90, Lifted: 999}}},
		Usual: [2]float64{0.4, 0.5}}}
	for name, c := range map[string]struct {
		now      float64
		clean    bool
		taken    int
		retries  int
		ejected  bool
		demand   float64
		capacity float64
		gap      float64
		meanLoad float64
	}{
		"killed a second ago":    {1001, false, 2, 6, true, 40, 150, 3, 0.4},
		"clean shutdown":         {1001, true, 2, 1, true, 40, 150, 3, 0.4},
		"killed a minute ago":    {1060, false, 0, 0, false, 40, 150, 3, 0.4},
		"ten minutes old":        {1600, false, 0, 0, false, 0, 150, 3, 0},
		"a day old":              {90000, false, 0, 0, false, 0, 0, 0, 0},
		"the clock was set back": {900, true, 0, 5, false, 0, 0, 0, 0},
	} {
		s.CleanExit = c.clean
		m, messages := FromSnapshot(c.now, s, config)
		b := m.Servers[0]
		if len(m.Taken) != c.taken || len(m.Further) != c.retries || b.Aside != c.ejected || b.Link.Rest != c.demand || b.Link.Size != c.capacity ||
			b.Gap != c.gap || m.Usual[0] != c.meanLoad || b.Slot != -1 {
			t.Errorf("%s: %+v, messages %q", name, m, messages)
		}
		if b.Born != 990 && b.Born != c.now {
			t.Errorf("%s: cold box restored with start time %v", name, b.Born)
		}
	}
}

// For any snapshot of any age, the retry budget is never larger than what the last front left of it, a box never counts as
// warmer than it was known to be, and no restored value is negative, infinite or NaN.
func TestRestoredStateIsNeverMorePermissive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instant := rapid.Float64Range(900, 1100)
		anyValue := rapid.OneOf(instant, rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), -5, 0}))
		s := Snapshot{SavedAt: instant.Draw(t, "saved"), CleanExit: rapid.Bool().Draw(t, "clean")}
		s.Memory.Taken = rapid.SliceOfN(instant, 0, 60).Draw(t, "taken")
		s.Memory.Further = rapid.SliceOfN(instant, 0, 20).Draw(t, "further")
		startedAt := instant.Draw(t, "born")
		s.Memory.Servers = []choice.Remembered{{ID: 1, Born: startedAt, Slot: anyValue.Draw(t, "slot"), Gap: anyValue.Draw(t, "gap"), Dev: anyValue.Draw(t, "dev"),
			Link: choice.Reading{Told: anyValue.Draw(t, "told"), Size: anyValue.Draw(t, "size"), Rest: anyValue.Draw(t, "rest"), Read: anyValue.Draw(t, "read")}}}
		now := instant.Draw(t, "now")
		m, _ := FromSnapshot(now, s, config)
		for _, x := range m.Further {
			if x > now {
				t.Fatalf("restored a retry at %v, which is after the present time %v", x, now)
			}
		}
		// Retries before the restart and those still allowed within the window must together stay in the retry budget.
		sent := 0
		for _, x := range s.Memory.Further {
			if x <= now && now-x <= config.WindowSeconds {
				sent++
			}
		}
		if len(m.Further) < sent && now-s.SavedAt >= -1 {
			t.Fatalf("%d retries within the window, %d restored", sent, len(m.Further))
		}
		if !s.CleanExit && math.Abs(now-s.SavedAt) < config.WindowSeconds && float64(len(m.Further))+1 <= config.BaseAllowance {
			t.Fatalf("killed within the window, but only %d retries count as spent", len(m.Further))
		}
		b := m.Servers[0]
		if age := now - startedAt; age < config.WarmUpSeconds && now-s.SavedAt >= -1 && b.Born != min(startedAt, now) {
			t.Fatalf("start time restored as %v, was %v", b.Born, startedAt)
		}
		for _, x := range []float64{b.Gap, b.Dev, b.Link.Told, b.Link.Size, b.Link.Rest, b.Link.Read, b.Full, b.Heard} {
			if !nonNegative(x) {
				t.Fatalf("invalid value in %+v", b)
			}
		}
	})
}
