package day

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// Storm generates a day with the given number of requests, at rate a second, under faults on both sides: boxes that meet
// every tenth request with a random fault, misbehaving clients, viewers that leave at any time, and an event about every
// second. The same seed generates the same day.
func Storm(seed uint64, requests int, rate float64) (*Day, error) {
	r := rand.New(rand.NewPCG(seed, 9))
	length := float64(requests) / rate
	var b strings.Builder
	fmt.Fprintf(&b, `
day(length = %g, seed = %d, fronts = 3, list_lag = [0.05, 0.4], fps = 10, thin = 0.01, setup_time = 0.01, mischief = 0.1)
zone(name = "a")
zone(name = "b")
kind(name = "two-core", places = 60)
ladder(rates = [250, 600, 1200, 2500])
group(name = "fault-clips", utility = 2, scale = 1.4, start_target = 0.8, setup_timeout = 3, floor = 1, seats = 12, share = 0.4)
group(name = "grower-guides", start_target = 0.8, setup_timeout = 4, share = 0.4)
group(name = "exam-sitting", utility = 3, start_target = 0.8, setup_timeout = 3, floor = 1, paid = True, share = 0.2)
fleet(links = 12 * 40000, uplink = 150000, cells = 12, racks = 3)
cold(warm_up = 6, share = 0.3, fall_factor = 4, fall_time = 1)
reports(lag = 0.5, notes_every = 2)
for i in range(12):
    box(id = 1 + i, cell = i, zone = "a" if i %% 2 else "b", link = 40000)
for i in range(8):
    title(name = "t%%d" %% i, start_cell = i, span = 6, wanted = 1.0 / (1 + i))
viewers(rate = %g, watch = [0.3, 1.2], pause = [0.2, 0.6], hasty = 0.15, rude = 0.1)
`, length, seed, rate)
	kinds := []string{"hang", "hold", "slow", "refuse", "errors", "silent", "kill", "drain", "short_rack", "cut_zone", "late_reports", "restart_front", "reload_front"}
	drained, busy := 0, map[string]float64{}
	for at := 0.5; at < length-2; at += 0.5 + r.Float64() {
		kind, box, lasts := kinds[r.IntN(len(kinds))], 1+r.IntN(12), 0.3+2*r.Float64()
		subject := fmt.Sprint("box ", box)
		switch kind {
		case "drain":
			if drained++; drained > 3 || box < 5 { // a drained box does not return, and others must hold its titles
				continue
			}
			lasts = 1 + r.Float64()
		case "short_rack", "cut_zone", "late_reports":
			subject = kind
		case "restart_front", "reload_front":
			subject = fmt.Sprint("front ", box%3)
		}
		if busy[subject] > at {
			continue // one event at a time for each subject
		}
		if busy[subject] = at + lasts + 1; kind == "drain" {
			busy[subject] = length + 100
		}
		fmt.Fprintf(&b, "%s(at = %.2f", kind, at)
		switch kind {
		case "slow":
			fmt.Fprintf(&b, ", box = %d, times = %.1f, length = %.2f)\n", box, 2+10*r.Float64(), lasts)
		case "errors":
			fmt.Fprintf(&b, ", box = %d, count = %d)\n", box, 1+r.IntN(5))
		case "short_rack":
			fmt.Fprintf(&b, ", rack = %d, times = %.1f, length = %.2f)\n", r.IntN(3), 2+4*r.Float64(), lasts)
		case "cut_zone":
			fmt.Fprintf(&b, ", zone = %q, length = %.2f)\n", [2]string{"a", "b"}[r.IntN(2)], min(lasts, 1))
		case "late_reports":
			fmt.Fprintf(&b, ", by = %.1f, length = %.2f)\n", 1+3*r.Float64(), lasts)
		case "reload_front":
			fmt.Fprintf(&b, ", front = %d)\n", box%3)
		case "restart_front":
			fmt.Fprintf(&b, ", front = %d, length = %.2f)\n", box%3, min(lasts, 0.5))
		default:
			fmt.Fprintf(&b, ", box = %d, length = %.2f)\n", box, lasts)
		}
	}
	return Parse(fmt.Sprintf("storm %d", seed), []byte(b.String()))
}
