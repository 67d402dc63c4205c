package liveness

import (
	"testing"

	"pgregory.net/rapid"
)

// days plays a server that answers tests or not, and gives when its sessions counted as lost, 0 for never.
func days(until float64, up func(now float64) int, answers func(now float64) bool) (lost float64, tests, connects int) {
	var w Monitor
	for now := 100.0; now < 100+until; now += 0.1 {
		d := w.Check(now, up(now), false)
		if d.Lost {
			return now - 100, tests, connects
		}
		if d.Probe {
			tests++
			if answers(now) {
				w.Heard(now)
			}
		}
		if d.Connect {
			connects++
		}
	}
	return 0, tests, connects
}

func TestWatch(t *testing.T) {
	one, none := func(float64) int { return 1 }, func(float64) int { return 0 }
	yes, no := func(float64) bool { return true }, func(float64) bool { return false }
	if lost, tests, _ := days(60, one, yes); lost != 0 || tests > 60/4 {
		t.Errorf("a quiet server: lost at %v, %d tests", lost, tests)
	}
	if lost, tests, _ := days(60, one, no); lost < 6.5 || lost > 7.5 || tests < 2 {
		t.Errorf("a silent server: lost at %v, %d tests", lost, tests)
	}
	if lost, _, connects := days(60, none, no); lost < 6.5 || lost > 7.5 || connects < 20 || connects > 28 {
		t.Errorf("no connection: lost at %v, %d tried", lost, connects)
	}
	// It stands still for two seconds, as a crowded one does, wherever that falls between its tests.
	for from := 101.0; from < 112; from += 0.05 {
		if lost, _, _ := days(60, one, func(now float64) bool { return now < from || now >= from+2 }); lost != 0 {
			t.Errorf("a short standstill from %.2f s on: lost at %v", from-100, lost)
		}
	}
}

// A server is lost once it has been silent for so long, and never before.
func TestNeverBetween(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w Monitor
		now, last := 50.0, 50.0
		w.Heard(now)
		for range 200 {
			now += rapid.Float64Range(0.01, 0.5).Draw(t, "step")
			d := w.Check(now, rapid.IntRange(0, 3).Draw(t, "up"), rapid.Bool().Draw(t, "opening"))
			if d.Lost != (now-last >= lost) {
				t.Fatalf("lost is %v after %v s", d.Lost, now-last)
			}
			if d.Connect && d.Probe || d.Lost && (d.Connect || d.Probe) {
				t.Fatalf("two things at once: %+v", d)
			}
			if d.Lost || rapid.IntRange(0, 5).Draw(t, "heard") == 0 {
				w.Heard(now)
				last = now
			}
		}
	})
}
