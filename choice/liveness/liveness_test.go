package liveness

import (
	"testing"

	"pgregory.net/rapid"
)

// simulate runs a Monitor against a server that answers probes or not, and returns when its sessions counted as lost, 0 for
// never, and the numbers of probes and attempts to connect.
func simulate(until float64, up func(now float64) int, answers func(now float64) bool) (lost float64, probes, connects int) {
	var m Monitor
	for now := 100.0; now < 100+until; now += 0.1 {
		a := m.Check(now, up(now), false)
		if a.Lost {
			return now - 100, probes, connects
		}
		if a.Probe {
			probes++
			if answers(now) {
				m.Heard(now)
			}
		}
		if a.Connect {
			connects++
		}
	}
	return 0, probes, connects
}

func TestWatch(t *testing.T) {
	one, none := func(float64) int { return 1 }, func(float64) int { return 0 }
	yes, no := func(float64) bool { return true }, func(float64) bool { return false }
	if lost, probes, _ := simulate(60, one, yes); lost != 0 || probes > 60/4 {
		t.Errorf("a server that answers probes: lost at %v, %d probes", lost, probes)
	}
	if lost, probes, _ := simulate(60, one, no); lost < 6.5 || lost > 7.5 || probes < 2 {
		t.Errorf("a silent server: lost at %v, %d probes", lost, probes)
	}
	if lost, _, connects := simulate(60, none, no); lost < 6.5 || lost > 7.5 || connects < 20 || connects > 28 {
		t.Errorf("no connection: lost at %v, %d attempts to connect", lost, connects)
	}
	// A server that stalls for two seconds, as an overloaded one does, is not lost, wherever the stall falls between probes.
	for from := 101.0; from < 112; from += 0.05 {
		if lost, _, _ := simulate(60, one, func(now float64) bool { return now < from || now >= from+2 }); lost != 0 {
			t.Errorf("a short stall from %.2f s on: lost at %v", from-100, lost)
		}
	}
}

// A server is lost exactly from lostAfterSeconds of silence on, and Check asks for at most one thing at a time.
func TestLostExactlyAfterSilence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Monitor
		now, last := 50.0, 50.0
		m.Heard(now)
		for range 200 {
			now += rapid.Float64Range(0.01, 0.5).Draw(t, "step")
			a := m.Check(now, rapid.IntRange(0, 3).Draw(t, "up"), rapid.Bool().Draw(t, "opening"))
			if a.Lost != (now-last >= lostAfterSeconds) {
				t.Fatalf("lost is %v after %v s", a.Lost, now-last)
			}
			if a.Connect && a.Probe || a.Lost && (a.Connect || a.Probe) {
				t.Fatalf("two actions at once: %+v", a)
			}
			if a.Lost || rapid.IntRange(0, 5).Draw(t, "heard") == 0 {
				m.Heard(now)
				last = now
			}
		}
	})
}
