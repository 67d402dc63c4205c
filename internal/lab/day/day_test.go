package day

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// shortDay is a day of a few seconds with all that the six sabotages need: a box that drains, one that starts cold, one
// that answers nothing, one that refuses, and a title that most viewers want.
const shortDay = `
day(length = 7, seed = 3, fronts = 2, list_lag = [0.05, 0.2], fps = 10, thin = 0.01, setup_time = 0.01)
zone(name = "a")
zone(name = "b")
kind(name = "two-core", places = 60)
ladder(rates = [250, 600, 1200, 2500])
group(name = "fault-clips", utility = 2, scale = 1.4, start_target = 0.4, setup_timeout = 3, floor = 1, seats = 6, share = 0.4)
group(name = "grower-guides", start_target = 0.4, setup_timeout = 3, share = 0.4)
group(name = "exam-sitting", utility = 3, start_target = 0.4, setup_timeout = 2, floor = 1, paid = True, share = 0.2)
fleet(links = 6 * 30000, uplink = 90000, cells = 6, racks = 2)
cold(warm_up = 4, share = 0.2, fall_factor = 2, fall_time = 1)
reports(lag = 0.3, notes_every = 1)
for i in range(6):
    box(id = 1 + i, cell = i, zone = "a" if i % 2 else "b", link = 30000)
box(id = 9, cell = 2, link = 30000, starts = 2)
title(name = "wanted", span = 6, wanted = 6)
title(name = "other", start_cell = 2, span = 4)
viewers(rate = 30, watch = [1, 2], pause = [0.2, 0.5], hasty = 0.05)
crowd(at = 2, length = 2, times = 1.5)
hold(at = 1, box = 1, length = 3)
drain(at = 1.5, box = 2, length = 4)
refuse(at = 1, box = 3, length = 4)
slow(at = 3, box = 4, times = 8, length = 2)
silent(at = 3.5, box = 5, length = 1.5)
late_reports(at = 4, by = 2, length = 2)
cut_zone(at = 5, zone = "a", length = 0.6)
errors(at = 5, box = 6, count = 3)
restart_front(at = 4, front = 1, length = 0.3)
reload_front(at = 2.5, front = 0)
reload_front(at = 5.5, front = 1)
`

func runDay(t *testing.T, s Sabotage) *Report {
	d, err := Parse("short.star", []byte(shortDay))
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(context.Background(), d, Options{Sabotage: s, RestoreState: s == NoSabotage})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestDayWithoutViolations(t *testing.T) {
	t.Parallel()
	r := runDay(t, NoSabotage)
	if v := r.Verdict; v.Violations() > 0 || v.Taken < 150 || v.Answered != v.Taken || v.Retries == 0 {
		t.Errorf("%v\n%s", v, strings.Join(v.Notes, "\n"))
	}
	for _, g := range r.Groups {
		if g.Served < g.Viewers/2 {
			t.Errorf("%s: %d of %d served", g.Name, g.Served, g.Viewers)
		}
	}
	if r.TimestampJumps > 0 || r.PacketsLost > 0 {
		t.Errorf("%d timestamp jumps, %d packets lost", r.TimestampJumps, r.PacketsLost)
	}
	var out bytes.Buffer
	r.Write(&out)
	if lines := strings.Split(strings.TrimSpace(out.String()), "\n"); !strings.HasPrefix(lines[len(lines)-1], "taken ") {
		t.Errorf("last line is %q, want it to start with \"taken \"", lines[len(lines)-1])
	}
}

// Each sabotage must be detected: a witness that misses one would pass fronts that break its rule.
func TestEverySabotageIsDetected(t *testing.T) {
	for _, s := range Sabotages {
		t.Run(string(s), func(t *testing.T) {
			t.Parallel()
			if r := runDay(t, s); !s.Detected(r) {
				t.Errorf("%v", r.Verdict)
			}
		})
	}
}

func TestScriptErrors(t *testing.T) {
	for name, c := range map[string]struct{ from, to, want string }{
		"box":   {"hold(at = 1, box = 1", "hold(at = 1, box = 77", "no box 77"},
		"front": {"front = 1", "front = 2", "0 to 1 would be right"},
		"zone":  {`cut_zone(at = 5, zone = "a"`, `cut_zone(at = 5, zone = "c"`, "no zone c"},
		"pair":  {"watch = [1, 2]", "watch = [2, 1]", "want the minimum and the maximum"},
		"word":  {"crowd(", "croud(", "did you mean crowd?"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("d.star", []byte(strings.Replace(shortDay, c.from, c.to, 1)))
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v, want it to contain %q", err, c.want)
			}
		})
	}
}

func TestArrivalsFollowTheSeed(t *testing.T) {
	a, _ := Parse("a", []byte(shortDay))
	b, _ := Parse("b", []byte(shortDay))
	x, y := a.arrivals(), b.arrivals()
	if len(x) != len(y) || x[len(x)/2] != y[len(x)/2] {
		t.Error("arrivals of the same seed differ")
	}
	b.Seed++
	if z := b.arrivals(); z[0] == x[0] {
		t.Error("arrivals of different seeds are the same")
	}
}

// Under faults of boxes and clients, each request gets exactly one answer and no session is left at a box.
func TestStorm(t *testing.T) {
	t.Parallel()
	d, err := Storm(2, 400, 80)
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(context.Background(), d, Options{})
	if err != nil {
		t.Fatal(err)
	}
	if v := r.Verdict; v.Violations() > 0 || r.SessionsLeft > 0 || v.Answered != v.Taken || v.Taken < 300 || v.Retries == 0 {
		t.Errorf("%v, sessions left at boxes %d\n%s", v, r.SessionsLeft, strings.Join(v.Notes, "\n"))
	}
}
