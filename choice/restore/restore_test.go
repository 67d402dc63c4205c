package restore

import (
	"math"
	"testing"

	"pgregory.net/rapid"
	"rainhaven/choice"
)

var config = Config{RetryWindow: 10, BaseRetries: 5, RetriesPerSession: 0.1, WarmUp: 30}

func TestFromSnapshotByAge(t *testing.T) {
	s := Snapshot{SavedAt: 1000, Choice: choice.Snapshot{FirstSetups: []float64{985, 993, 999}, Retries: []float64{980, 995},
		Servers: []choice.ServerSnapshot{{ID: 1, StartedAt: 990, Slot: 5, SlotSetups: 1, Ejected: true, FullUntil: 1050, MeanGap: 3, GapDeviation: 1, LastHeardAt: 998,
			Link: choice.LinkSnapshot{NominalCapacity: 100, Capacity: 150, OtherDemand: 40, ReadAt: 997, OwnDemand: 60, ReportedLoad: 0.5, ReportedAt: 999, ShortfallDemand: 90, ShortfallAt: 999}}},
		MeanLoad: [2]float64{0.4, 0.5}}}
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
		if len(m.FirstSetups) != c.taken || len(m.Retries) != c.retries || b.Ejected != c.ejected || b.Link.OtherDemand != c.demand || b.Link.Capacity != c.capacity ||
			b.MeanGap != c.gap || m.MeanLoad[0] != c.meanLoad || b.Slot != -1 {
			t.Errorf("%s: %+v, messages %q", name, m, messages)
		}
		if b.StartedAt != 990 && b.StartedAt != c.now {
			t.Errorf("%s: cold box restored with start time %v", name, b.StartedAt)
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
		s.Choice.FirstSetups = rapid.SliceOfN(instant, 0, 60).Draw(t, "taken")
		s.Choice.Retries = rapid.SliceOfN(instant, 0, 20).Draw(t, "further")
		startedAt := instant.Draw(t, "born")
		s.Choice.Servers = []choice.ServerSnapshot{{ID: 1, StartedAt: startedAt, Slot: anyValue.Draw(t, "slot"), MeanGap: anyValue.Draw(t, "gap"), GapDeviation: anyValue.Draw(t, "dev"),
			Link: choice.LinkSnapshot{NominalCapacity: anyValue.Draw(t, "told"), Capacity: anyValue.Draw(t, "size"), OtherDemand: anyValue.Draw(t, "rest"), ReadAt: anyValue.Draw(t, "read")}}}
		now := instant.Draw(t, "now")
		m, _ := FromSnapshot(now, s, config)
		for _, x := range m.Retries {
			if x > now {
				t.Fatalf("restored a retry at %v, which is after the present time %v", x, now)
			}
		}
		// Retries before the restart and those still allowed within the window must together stay in the retry budget.
		sent := 0
		for _, x := range s.Choice.Retries {
			if x <= now && now-x <= config.RetryWindow {
				sent++
			}
		}
		if len(m.Retries) < sent && now-s.SavedAt >= -1 {
			t.Fatalf("%d retries within the window, %d restored", sent, len(m.Retries))
		}
		if !s.CleanExit && math.Abs(now-s.SavedAt) < config.RetryWindow && float64(len(m.Retries))+1 <= config.BaseRetries {
			t.Fatalf("killed within the window, but only %d retries count as spent", len(m.Retries))
		}
		b := m.Servers[0]
		if age := now - startedAt; age < config.WarmUp && now-s.SavedAt >= -1 && b.StartedAt != min(startedAt, now) {
			t.Fatalf("start time restored as %v, was %v", b.StartedAt, startedAt)
		}
		for _, x := range []float64{b.MeanGap, b.GapDeviation, b.Link.NominalCapacity, b.Link.Capacity, b.Link.OtherDemand, b.Link.ReadAt, b.FullUntil, b.LastHeardAt} {
			if !nonNegative(x) {
				t.Fatalf("invalid value in %+v", b)
			}
		}
	})
}
