package session

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
	"rainhaven/choice"
)

// drawSettings draws valid settings: a ladder of any length, groups in either order, and floors and tops within the ladder.
func drawSettings(t *rapid.T, old choice.Config) (config choice.Config, newIndex []int) {
	config, _ = testConfig()
	config.Ladder = nil
	for rate := 0.0; len(config.Ladder) < rapid.IntRange(1, 6).Draw(t, "rungs"); {
		rate += rapid.Float64Range(1, 900).Draw(t, "step")
		config.Ladder = append(config.Ladder, rate)
	}
	highest := len(config.Ladder) - 1
	for i := range config.Groups {
		g := &config.Groups[i]
		g.Top = rapid.IntRange(0, highest).Draw(t, "top")
		g.Floor = rapid.IntRange(0, g.Top).Draw(t, "floor")
		g.Seats = rapid.IntRange(0, 4).Draw(t, "seats")
	}
	if rapid.Bool().Draw(t, "reversed") {
		slices.Reverse(config.Groups)
	}
	for _, g := range old.Groups {
		newIndex = append(newIndex, slices.IndexFunc(config.Groups, func(o choice.ServiceGroup) bool { return o.Paid == g.Paid }))
	}
	config.MaxSetups = rapid.IntRange(1, 4).Draw(t, "setups")
	return config, newIndex
}

// reloadSettings applies settings and checks that no session ends by it.
func (h *harness) reloadSettings(config choice.Config, newIndex []int) {
	_, limits := testConfig()
	if config.Groups[0].Paid != h.config.Groups[0].Paid {
		slices.Reverse(limits.SetupTimeout)
	}
	ended := map[choice.SessID]bool{}
	for id, v := range h.viewers {
		ended[id] = v.ended
	}
	h.config = config
	h.paidSeats = config.Groups[h.paidGroup()].Seats
	h.apply(func() {
		h.table.Reload(Config{Choice: config, Limits: limits, NewGroupIndex: newIndex}, h.listedBoxes(), func(m choice.Snapshot) choice.Snapshot { return m })
	})
	for id, v := range h.viewers {
		if v.ended != ended[id] {
			h.tb.Fatalf("%s: ended by a reload", id)
		}
	}
}

// A reload with any other ladder leaves sessions and process alone, whatever the boxes do with the rungs that they are then asked
// for. With a shorter ladder, a box that kept a rung of the old one ended the process.
func TestAnyReload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		pickSession := func(t *rapid.T) choice.SessID {
			if len(h.ids) == 0 {
				t.Skip("no session yet")
			}
			return rapid.SampledFrom(h.ids).Draw(t, "session")
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				h.open(rapid.IntRange(0, 1).Draw(t, "group"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "title"))
			},
			"hand over": func(t *rapid.T) {
				h.handOver(rapid.IntRange(0, 1).Draw(t, "group"), rapid.IntRange(0, 7).Draw(t, "rung"))
			},
			"request": func(t *rapid.T) {
				h.request(pickSession(t), rapid.SampledFrom([]Op{Play, Pause, Join, KeepAlive, TearDown}).Draw(t, "op"))
			},
			"box answers": func(t *rapid.T) {
				id := pickSession(t)
				status := rapid.SampledFrom([]int{200, 200, 200, 453, 500, 0}).Draw(t, "status")
				for attempt, a := range h.viewers[id].attempts {
					if a.inFlight {
						h.answerSetup(id, attempt, status, true)
						return
					}
				}
			},
			"operation answered": func(t *rapid.T) {
				if len(h.pendingOps) == 0 {
					t.Skip("no operation pending")
				}
				i := rapid.IntRange(0, len(h.pendingOps)-1).Draw(t, "which")
				op := h.pendingOps[i]
				h.pendingOps = slices.Delete(h.pendingOps, i, i+1)
				status := rapid.SampledFrom([]int{200, 451, 0}).Draw(t, "status")
				h.apply(func() { op(status) })
			},
			"load": func(t *rapid.T) {
				id, load := pickSession(t), rapid.Float64Range(0, 3).Draw(t, "load")
				box := choice.ServerID(rapid.IntRange(10, 13).Draw(t, "box"))
				h.apply(func() { h.table.LoadNote(id, box, load, rapid.Bool().Draw(t, "uplink")) })
			},
			"list": func(t *rapid.T) {
				box := choice.ServerID(rapid.IntRange(10, 13).Draw(t, "box"))
				s := rapid.SampledFrom([]choice.Lifecycle{choice.Ready, choice.Ready, choice.Draining, choice.Gone}).Draw(t, "state")
				h.boxState[box] = s
				h.apply(func() {
					h.table.UpdateBoxes(false, []choice.Listing{{ID: box, Cell: int(box) - 10, State: s, Weight: 1}})
				})
			},
			"reload": func(t *rapid.T) {
				config, newIndex := drawSettings(t, h.config)
				h.reloadSettings(config, newIndex)
			},
			"time": func(t *rapid.T) { h.advance(rapid.Float64Range(0, 4).Draw(t, "seconds")) },
		})
		h.finish()
	})
}

// A request that waits to be placed as a reload raises its group's floor is set up at the new floor. It was set up at the old one.
func TestReloadRaisesTheFloorOfAWaitingRequest(t *testing.T) {
	h := newHarness(t)
	id := h.open(0, "a")
	if len(h.viewers[id].attempts) > 0 {
		t.Fatal("the request does not wait for a probe")
	}
	config, _ := testConfig()
	config.Groups[0].Floor = config.Groups[0].Top
	h.reloadSettings(config, []int{0, 1})
	h.advance(0.3) // the harness checks the rung of the SETUP
	if len(h.viewers[id].attempts) != 1 {
		t.Fatalf("%d SETUPs", len(h.viewers[id].attempts))
	}
	h.finish()
}

// A reload lowers the seats of a group while one request waits to be placed and a later one's SETUP is in flight: that one keeps its
// seat, and the waiting one gets none. It got one, as it was placed before the other's seat was counted.
func TestReloadCountsSeatsBeforeItPlaces(t *testing.T) {
	h := newHarness(t)
	waiting := h.open(0, "a")
	for box := choice.ServerID(10); box < 13; box++ { // with a single holder no probe is awaited
		h.boxState[box] = choice.Draining
		h.apply(func() {
			h.table.UpdateBoxes(false, []choice.Listing{{ID: box, Cell: int(box) - 10, State: choice.Draining, Weight: 1}})
		})
	}
	inFlight := h.open(0, "a")
	if len(h.viewers[waiting].attempts) != 0 || len(h.viewers[inFlight].attempts) != 1 {
		t.Fatalf("%d and %d SETUPs", len(h.viewers[waiting].attempts), len(h.viewers[inFlight].attempts))
	}
	config, _ := testConfig()
	config.Groups[0].Seats = 1
	h.reloadSettings(config, []int{0, 1}) // the harness checks the seats at each SETUP
	if answers := h.viewers[waiting].answers; len(answers) != 1 || answers[0] != Busy {
		t.Errorf("the waiting request was answered %v", answers)
	}
	h.finish()
}
