package delivery

import (
	"math"
	"testing"

	"pgregory.net/rapid"
	"rainhaven/choice"
)

// play feeds a session with media at share(t) of the nominal rate, in frames of 0.1 s, and returns the reports.
func play(m *Meter, id choice.SessID, box choice.ServerID, from, to float64, media *float64, share func(t float64) float64) (reports []ShareReport) {
	at := from
	for t := from; t < to; t += 0.001 {
		if s := share(t); s > 0 && t-at >= 0.1/s-1e-6 {
			at = t
			*media += 0.1
		}
		if math.Mod(t, 0.25) < 0.001 {
			m.Progress(id, box, t, at, *media)
			reports = append(reports, m.Tick(t)...)
		}
	}
	return reports
}

func TestShares(t *testing.T) {
	for name, c := range map[string]struct {
		share    float64
		min, max float64
	}{
		"even": {1, 0, 0}, "slightly short": {0.9, 0.84, 0.96}, "half": {0.5, 0.45, 0.55}, "stalled": {0, 0, 0.01},
	} {
		t.Run(name, func(t *testing.T) {
			m, media := New(3), 0.0
			play(m, "a", 7, 0, 3, &media, func(float64) float64 { return 1 })
			reports := play(m, "a", 7, 3, 8, &media, func(float64) float64 { return c.share })
			if c.max == 0 {
				if len(reports) > 0 {
					t.Fatalf("an even stream was reported as %v", reports)
				}
				return
			}
			if len(reports) < 4 || len(reports) > 6 {
				t.Fatalf("%d reports in 5 s: %v", len(reports), reports)
			}
			for _, x := range reports[2:] { // the windows of the first ones include the change
				if x.Box != 7 || x.Share < c.min || x.Share > c.max {
					t.Errorf("reported %v, want %v to %v", x, c.min, c.max)
				}
			}
			recovered := play(m, "a", 7, 8, 12, &media, func(float64) float64 { return 1 })
			if n := len(recovered); n == 0 || recovered[n-1].Share < 0.98 {
				t.Errorf("the end of short delivery was not reported: %v", recovered)
			}
		})
	}
}

func TestNoReportAfterForgetOrSeek(t *testing.T) {
	m, media := New(3), 0.0
	play(m, "a", 7, 0, 3, &media, func(float64) float64 { return 1 })
	m.Forget("a") // it pauses
	for now := 3.0; now < 8; now++ {
		if reports := m.Tick(now); len(reports) > 0 {
			t.Fatalf("a paused session was reported as %v", reports)
		}
	}
	media = 500 // it seeks
	if reports := play(m, "a", 7, 8, 12, &media, func(float64) float64 { return 1 }); len(reports) > 0 {
		t.Fatalf("a seek was reported as %v", reports)
	}
}

func TestNotesOnceABox(t *testing.T) {
	m, passed := New(3), 0
	for i := range 1000 {
		if m.AcceptNote(7, float64(i)*0.03, 0.5, -1) { // as many as ten sessions send in 30 s
			passed++
		}
	}
	if passed < 10 || passed > 21 {
		t.Errorf("%d notes passed on in 30 s, want one every 3 s", passed)
	}
	if m.AcceptNote(9, 1, math.NaN(), 0.2) || m.AcceptNote(9, 1, 1e6, 0.2) || m.AcceptNote(9, 1, 0.5, math.Inf(1)) || m.AcceptNote(9, 1, -1, 0) {
		t.Error("an implausible load was passed on")
	}
	if !m.AcceptNote(9, 1, 0.5, -1) {
		t.Error("a note without an uplink load was not passed on")
	}
}

// For any input, shares lie between 0 and 1, a box is reported at most once a second, and forgotten sessions leave no
// entries behind.
func TestAnyProgress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(2)
		now, last := 0.0, map[choice.ServerID]float64{}
		ids := []choice.SessID{"a", "b", "c"}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += rapid.Float64Range(0, 0.6).Draw(t, "dt")
			id := rapid.SampledFrom(ids).Draw(t, "id")
			if rapid.IntRange(0, 9).Draw(t, "operation") == 0 {
				m.Forget(id)
				continue
			}
			box := choice.ServerID(rapid.IntRange(1, 2).Draw(t, "box"))
			m.Progress(id, box, now, now-rapid.Float64Range(0, 2).Draw(t, "age"), rapid.Float64Range(0, 50).Draw(t, "media"))
			for _, x := range m.Tick(now) {
				if !(x.Share >= 0 && x.Share <= 1) {
					t.Fatalf("share %v", x.Share)
				}
				if at, ok := last[x.Box]; ok && now-at < 1-1e-9 {
					t.Fatalf("box %d reported twice within %v s", x.Box, now-at)
				}
				last[x.Box] = now
			}
		}
		for _, id := range ids {
			m.Forget(id)
		}
		m.Tick(now + 100)
		if len(m.streams)+len(m.boxes) > 0 {
			t.Fatalf("left behind: %d sessions, %d boxes", len(m.streams), len(m.boxes))
		}
	})
}
