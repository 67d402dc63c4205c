package delivery

import (
	"math"
	"testing"

	"pgregory.net/rapid"
	"rainhaven/choice"
)

// play feeds a session at a share from an instant on, in frames of a tenth of a second, and collects what is told.
func play(e *Meter, id choice.SessID, box choice.ServerID, from, to float64, media *float64, share func(t float64) float64) (told []ShareReport) {
	at := from
	for t := from; t < to; t += 0.001 {
		if s := share(t); s > 0 && t-at >= 0.1/s-1e-6 {
			at = t
			*media += 0.1
		}
		if math.Mod(t, 0.25) < 0.001 {
			e.Progress(id, box, t, at, *media)
			told = append(told, e.Tick(t)...)
		}
	}
	return told
}

func TestShares(t *testing.T) {
	for name, c := range map[string]struct {
		share    float64
		low, top float64
	}{
		"even": {1, 0, 0}, "a little short": {0.9, 0.84, 0.96}, "half": {0.5, 0.45, 0.55}, "hangs": {0, 0, 0.01},
	} {
		t.Run(name, func(t *testing.T) {
			e, media := New(3), 0.0
			play(e, "a", 7, 0, 3, &media, func(float64) float64 { return 1 })
			told := play(e, "a", 7, 3, 8, &media, func(float64) float64 { return c.share })
			if c.top == 0 {
				if len(told) > 0 {
					t.Fatalf("an even stream is told as %v", told)
				}
				return
			}
			if len(told) < 4 || len(told) > 6 {
				t.Fatalf("told %d times in 5 s: %v", len(told), told)
			}
			for _, x := range told[2:] { // the first ones span the change
				if x.Box != 7 || x.Share < c.low || x.Share > c.top {
					t.Errorf("told %v, want %v to %v", x, c.low, c.top)
				}
			}
			over := play(e, "a", 7, 8, 12, &media, func(float64) float64 { return 1 })
			if n := len(over); n == 0 || over[n-1].Share < 0.98 {
				t.Errorf("its end was not told: %v", over)
			}
		})
	}
}

func TestForgottenAndChangedSourcesSayNothing(t *testing.T) {
	e, media := New(3), 0.0
	play(e, "a", 7, 0, 3, &media, func(float64) float64 { return 1 })
	e.Forget("a") // it pauses
	for now := 3.0; now < 8; now++ {
		if told := e.Tick(now); len(told) > 0 {
			t.Fatalf("a paused session is told as %v", told)
		}
	}
	media = 500 // it seeks
	if told := play(e, "a", 7, 8, 12, &media, func(float64) float64 { return 1 }); len(told) > 0 {
		t.Fatalf("a seek is told as %v", told)
	}
}

func TestNotesOnceABox(t *testing.T) {
	e, passed := New(3), 0
	for i := range 1000 {
		if e.AcceptNote(7, float64(i)*0.03, 0.5, -1) { // ten sessions' worth over 30 s
			passed++
		}
	}
	if passed < 10 || passed > 21 {
		t.Errorf("%d notes in 30 s, one each 3 s wanted", passed)
	}
	if e.AcceptNote(9, 1, math.NaN(), 0.2) || e.AcceptNote(9, 1, 1e6, 0.2) || e.AcceptNote(9, 1, 0.5, math.Inf(1)) || e.AcceptNote(9, 1, -1, 0) {
		t.Error("a figure that can't be true was passed on")
	}
	if !e.AcceptNote(9, 1, 0.5, -1) {
		t.Error("an untold uplink keeps a note back")
	}
}

// Whatever comes in, shares lie between 0 and 1, are told once a box and second at most, and what is forgotten leaves
// nothing behind.
func TestAnyProgress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New(2)
		now, last := 0.0, map[choice.ServerID]float64{}
		ids := []choice.SessID{"a", "b", "c"}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += rapid.Float64Range(0, 0.6).Draw(t, "dt")
			id := rapid.SampledFrom(ids).Draw(t, "id")
			if rapid.IntRange(0, 9).Draw(t, "what") == 0 {
				e.Forget(id)
				continue
			}
			box := choice.ServerID(rapid.IntRange(1, 2).Draw(t, "box"))
			e.Progress(id, box, now, now-rapid.Float64Range(0, 2).Draw(t, "age"), rapid.Float64Range(0, 50).Draw(t, "media"))
			for _, x := range e.Tick(now) {
				if !(x.Share >= 0 && x.Share <= 1) {
					t.Fatalf("share %v", x.Share)
				}
				if at, ok := last[x.Box]; ok && now-at < 1-1e-9 {
					t.Fatalf("box %d told twice within %v s", x.Box, now-at)
				}
				last[x.Box] = now
			}
		}
		for _, id := range ids {
			e.Forget(id)
		}
		e.Tick(now + 100)
		if len(e.tracks)+len(e.boxes) > 0 {
			t.Fatalf("left behind: %d sessions, %d boxes", len(e.tracks), len(e.boxes))
		}
	})
}
