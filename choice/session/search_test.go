package session

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"rainhaven/choice"
)

var depth = flag.Int("search.depth", 5, "events in a row that the search tries")

// tracedT breaks the test with the events that led to the fault.
type tracedT struct {
	*testing.T
	trace *[]string
}

func (t tracedT) Fatalf(format string, args ...any) {
	t.T.Helper()
	t.T.Fatalf("after %s: %s", strings.Join(*t.trace, ", "), fmt.Sprintf(format, args...))
}

// event is something that a viewer, a box, the list, the clock or an operator may do next; do is false where it can't.
type event struct {
	name  string
	apply func(h *harness) bool
}

// searchedID is the session that the search follows.
const searchedID = choice.SessID("s000")

// attemptsWhere gives the session's SETUPs in their order.
func (h *harness) attemptsWhere(is func(a *boxAttempt) bool) (list []int) {
	for n, a := range h.viewers[searchedID].attempts {
		if is(a) {
			list = append(list, n)
		}
	}
	slices.Sort(list)
	return list
}

func setupAnswer(status int, sent bool) func(h *harness) bool {
	return func(h *harness) bool {
		out := h.attemptsWhere(func(a *boxAttempt) bool { return a.inFlight })
		if len(out) == 0 {
			return false
		}
		h.answerSetup(searchedID, out[0], status, sent)
		return true
	}
}

func viewerRequest(op Op) func(h *harness) bool {
	return func(h *harness) bool {
		if v := h.viewers[searchedID]; v.left || len(v.pending) >= 3 {
			return false
		}
		h.request(searchedID, op)
		return true
	}
}

func listBox(s choice.Lifecycle) func(h *harness) bool {
	return func(h *harness) bool {
		all := h.attemptsWhere(func(*boxAttempt) bool { return true })
		if len(all) == 0 {
			return false
		}
		box := h.viewers[searchedID].attempts[all[len(all)-1]].box
		if h.boxState[box] == s {
			return false
		}
		h.boxState[box] = s
		h.apply(func() {
			h.table.UpdateDirectory(false, []choice.Listing{{ID: box, Cell: int(box) - 10, State: s, Heft: 1}})
		})
		return true
	}
}

func opAnswer(status int) func(h *harness) bool {
	return func(h *harness) bool {
		if len(h.pendingOps) == 0 {
			return false
		}
		op := h.pendingOps[0]
		h.pendingOps = h.pendingOps[1:]
		h.apply(func() { op(status) })
		return true
	}
}

var events = []event{
	{"PLAY", viewerRequest(Play)}, {"PAUSE", viewerRequest(Pause)}, {"second track", viewerRequest(Join)}, {"TEARDOWN", viewerRequest(TearDown)},
	{"disconnect", func(h *harness) bool {
		if h.viewers[searchedID].left {
			return false
		}
		h.viewers[searchedID].left = true
		h.apply(func() { h.table.ViewerGone(searchedID) })
		return true
	}},
	{"SETUP sent", func(h *harness) bool {
		s := h.table.sessions[searchedID]
		if s == nil || s.phase != connecting {
			return false
		}
		if h.boxState[s.box] != choice.Ready {
			h.tb.Fatalf("a SETUP is still to leave for box %d, which is not ready", s.box)
		}
		h.apply(func() { h.table.SetupSent(searchedID, s.attempt) })
		return true
	}},
	{"200", setupAnswer(200, true)}, {"full", setupAnswer(453, true)}, {"error", setupAnswer(500, true)}, {"reset", setupAnswer(0, true)},
	{"no connection", setupAnswer(0, false)},
	{"late 200", func(h *harness) bool {
		over := h.attemptsWhere(func(a *boxAttempt) bool { return !a.inFlight && !a.established })
		if len(over) == 0 {
			return false
		}
		h.answerSetup(searchedID, over[0], 200, false)
		return true
	}},
	{"session breaks", func(h *harness) bool {
		held := h.attemptsWhere(func(a *boxAttempt) bool { return a.established })
		if len(held) == 0 {
			return false
		}
		h.viewers[searchedID].attempts[held[0]].established = false
		h.apply(func() { h.table.BoxFailed(searchedID, held[0]) })
		return true
	}},
	{"done", opAnswer(200)}, {"refused", opAnswer(455)}, {"lost at the box", opAnswer(454)},
	{"rung down", func(h *harness) bool {
		s := h.table.sessions[searchedID]
		if s == nil || s.phase < ready || s.phase > paused || s.wantRung == 0 || s.wantRung != s.rung {
			return false
		}
		h.apply(func() { moduleActions{h.table}.Rung(searchedID, s.wantRung-1) })
		return true
	}},
	{"probe answered", func(h *harness) bool {
		if len(h.pendingProbes) == 0 {
			return false
		}
		box := h.pendingProbes[0]
		h.pendingProbes = h.pendingProbes[1:]
		h.apply(func() { h.table.Probed(box, 200, 0, choice.Report{Link: 0.3, Uplink: -1}) })
		return true
	}},
	{"time", func(h *harness) bool {
		before := h.now
		if n := h.table.NextTimer(); n > 0 {
			h.advance(n - h.now + 1e-6)
		}
		return h.now > before
	}},
	{"a second", func(h *harness) bool { h.advance(1); return true }},
	{"drains", listBox(choice.Draining)}, {"is gone", listBox(choice.Gone)}, {"is ready", listBox(choice.Ready)},
	{"reload", func(h *harness) bool {
		if h.reloads == 2 {
			return false
		}
		h.reload()
		return true
	}},
	{"front is frozen", func(h *harness) bool {
		if h.table.refuseNew {
			return false
		}
		h.apply(func() { h.table.Freeze() })
		h.attemptsAtFreeze = len(h.attemptsWhere(func(*boxAttempt) bool { return true }))
		return true
	}},
	{"front stops", func(h *harness) bool {
		if h.table.refuseNew {
			return false
		}
		h.apply(h.table.StopAccepting)
		return true
	}},
	{"front cuts", func(h *harness) bool {
		if h.table.refuseNew && h.table.Len() == 0 {
			return false
		}
		h.apply(h.table.EndAll)
		return true
	}},
}

// fingerprint is a state as far as anything that comes after can tell: the session, what its SETUPs came to and where, what is
// out, the list, the time gone by.
func (h *harness) fingerprint() string {
	var b strings.Builder
	if s := h.table.sessions[searchedID]; s != nil {
		fmt.Fprint(&b, s.phase, s.answerOwed, s.answer, s.viewerPresent, s.attempt, s.box, s.rung, s.wantRung, s.pendingRung, s.pendingOp.op, s.wantTeardown, s.inModule, s.noRetry,
			len(s.queue), int(s.phaseDeadline*1000-h.now*1000), int(s.answerDeadline*100-h.now*100))
		for _, q := range s.queue {
			fmt.Fprint(&b, q.op)
		}
	}
	v := h.viewers[searchedID]
	for _, n := range h.attemptsWhere(func(*boxAttempt) bool { return true }) {
		fmt.Fprint(&b, "|", n, *v.attempts[n])
	}
	fmt.Fprint(&b, "|", v.left, v.answers, len(v.pending), v.ended, v.mayHaveRun, len(h.pendingOps), len(h.pendingProbes), h.table.refuseNew, h.reloads, h.attemptsAtFreeze, int(h.now*50))
	for id := choice.ServerID(10); id < 14; id++ {
		fmt.Fprint(&b, h.boxState[id])
	}
	return b.String()
}

// TestEveryOrder tries every order of moves up to a depth, for a group that may be set up again and a paid one, and from
// each state two ends: the viewer leaves, or nothing more comes from anybody. The orders themselves check that no two
// SETUPs are out, that a paid session is not set up again, and that there is one answer.
func TestEveryOrder(t *testing.T) {
	for group, name := range []string{"paid", "free"} {
		t.Run(name, func(t *testing.T) {
			var trail []string
			start := func(path []int) *harness {
				trail = trail[:0]
				h := newHarness(tracedT{t, &trail})
				h.open(group, "vents")
				for _, m := range path {
					trail = append(trail, events[m].name)
					if !events[m].apply(h) {
						return nil
					}
				}
				return h
			}
			seen := map[string]bool{}
			level, visited, orders := [][]int{nil}, 0, 0
			for d := 0; d <= *depth && len(level) > 0; d++ {
				var next [][]int
				for _, path := range level {
					h := start(path)
					if h == nil {
						continue
					}
					orders++
					if p := h.fingerprint(); seen[p] {
						continue
					} else {
						seen[p] = true
					}
					visited++
					h.finish()
					// Nobody does anything any more: the answer comes all the same, before the viewer gives up.
					h = start(path)
					v := h.viewers[searchedID]
					h.advance(v.deadline - h.now + 1)
					if !v.left && len(v.answers) != 1 {
						t.Fatalf("after %s and silence: answers %v", strings.Join(trail, ", "), v.answers)
					}
					h.finish()
					if d < *depth {
						for m := range events {
							next = append(next, append(slices.Clone(path), m))
						}
					}
				}
				level = next
			}
			t.Logf("%d states, %d orders of up to %d moves, the rest impossible or alike", visited, orders, *depth)
		})
	}
}
