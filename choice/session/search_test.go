package session

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"rainhaven/choice"
)

var depth = flag.Int("search.depth", 5, "maximum number of events in one order of the search")

// tracedT adds the events that led to a failure to its message.
type tracedT struct {
	*testing.T
	trace *[]string
}

func (t tracedT) Fatalf(format string, args ...any) {
	t.T.Helper()
	t.T.Fatalf("after %s: %s", strings.Join(*t.trace, ", "), fmt.Sprintf(format, args...))
}

// event is a step that a viewer, a box, the list of boxes, the clock or an operator may take next. apply returns false where it
// is impossible.
type event struct {
	name  string
	apply func(h *harness) bool
}

// searchedID is the id of the session under search.
const searchedID = choice.SessID("s000")

// attemptsWhere returns the session's SETUPs that satisfy is, in order.
func (h *harness) attemptsWhere(is func(a *boxAttempt) bool) (list []int) {
	for n, a := range h.viewers[searchedID].attempts {
		if is(a) {
			list = append(list, n)
		}
	}
	slices.Sort(list)
	return list
}

// setupAnswer answers the SETUP in flight; sent tells whether it had been sent by then.
func setupAnswer(status int, sent bool) func(h *harness) bool {
	return func(h *harness) bool {
		inFlight := h.attemptsWhere(func(a *boxAttempt) bool { return a.inFlight })
		if len(inFlight) == 0 {
			return false
		}
		h.answerSetup(searchedID, inFlight[0], status, sent)
		return true
	}
}

// viewerRequest sends a request within the session, at most three pending at a time.
func viewerRequest(op Op) func(h *harness) bool {
	return func(h *harness) bool {
		if v := h.viewers[searchedID]; v.left || len(v.pending) >= 3 {
			return false
		}
		h.request(searchedID, op)
		return true
	}
}

// listBox changes the listed state of the box that got the latest SETUP.
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
			h.table.UpdateBoxes(false, []choice.Listing{{ID: box, Cell: int(box) - 10, State: s, Weight: 1}})
		})
		return true
	}
}

// opAnswer answers the oldest pending operation.
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
			h.tb.Fatalf("a SETUP is about to be sent to box %d, which is not ready", s.box)
		}
		h.apply(func() { h.table.SetupSent(searchedID, s.attempt) })
		return true
	}},
	{"200", setupAnswer(200, true)}, {"full", setupAnswer(453, true)}, {"error", setupAnswer(500, true)}, {"reset", setupAnswer(0, true)},
	{"no connection", setupAnswer(0, false)},
	{"late 200", func(h *harness) bool {
		finished := h.attemptsWhere(func(a *boxAttempt) bool { return !a.inFlight && !a.established })
		if len(finished) == 0 {
			return false
		}
		h.answerSetup(searchedID, finished[0], 200, false)
		return true
	}},
	{"connection breaks", func(h *harness) bool {
		established := h.attemptsWhere(func(a *boxAttempt) bool { return a.established })
		if len(established) == 0 {
			return false
		}
		h.viewers[searchedID].attempts[established[0]].established = false
		h.apply(func() { h.table.BoxFailed(searchedID, established[0]) })
		return true
	}},
	{"done", opAnswer(200)}, {"refused", opAnswer(455)}, {"lost at the box", opAnswer(454)},
	{"rung down", func(h *harness) bool {
		s := h.table.sessions[searchedID]
		if s == nil || s.phase < ready || s.phase > paused || s.wantRung == 0 || s.wantRung != s.rung {
			return false
		}
		h.apply(func() { moduleActions{h.table}.SetRung(searchedID, s.wantRung-1) })
		return true
	}},
	{"probe answered", func(h *harness) bool {
		if len(h.pendingProbes) == 0 {
			return false
		}
		box := h.pendingProbes[0]
		h.pendingProbes = h.pendingProbes[1:]
		h.apply(func() { h.table.ProbeEnded(box, 200, 0, choice.LoadReport{Link: 0.3, Uplink: -1}) })
		return true
	}},
	{"time", func(h *harness) bool {
		before := h.now
		if n := h.table.NextWakeup(); n > 0 {
			h.advance(n - h.now + 1e-6)
		}
		return h.now > before
	}},
	{"a second", func(h *harness) bool { h.advance(1); return true }},
	{"box drains", listBox(choice.Draining)}, {"box is gone", listBox(choice.Gone)}, {"box is ready", listBox(choice.Ready)},
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
	{"all sessions are ended", func(h *harness) bool {
		if h.table.refuseNew && h.table.Len() == 0 {
			return false
		}
		h.apply(h.table.EndSessions)
		return true
	}},
}

// fingerprint encodes all state that later events can depend on: the session, its SETUPs with their boxes and results,
// pending operations and probes, the list of boxes, and the time.
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

// TestEveryOrder tries every order of events up to a depth, for a paid group and one whose SETUPs may be repeated. Each
// state is continued in two ways: the viewer leaves, or no further event arrives. The harness checks in each that no two
// SETUPs are in flight, that a paid SETUP is not repeated, and that there is exactly one answer.
func TestEveryOrder(t *testing.T) {
	for group, name := range []string{"paid", "free"} {
		t.Run(name, func(t *testing.T) {
			var trace []string
			start := func(path []int) *harness {
				trace = trace[:0]
				h := newHarness(tracedT{t, &trace})
				h.open(group, "vents")
				for _, m := range path {
					trace = append(trace, events[m].name)
					if !events[m].apply(h) {
						return nil
					}
				}
				return h
			}
			seen := map[string]bool{}
			frontier, visited, paths := [][]int{nil}, 0, 0
			for d := 0; d <= *depth && len(frontier) > 0; d++ {
				var next [][]int
				for _, path := range frontier {
					h := start(path)
					if h == nil {
						continue
					}
					paths++
					if p := h.fingerprint(); seen[p] {
						continue
					} else {
						seen[p] = true
					}
					visited++
					h.finish()
					// Without any further event the answer must still come before the setup timeout.
					h = start(path)
					v := h.viewers[searchedID]
					h.advance(v.deadline - h.now + 1)
					if !v.left && len(v.answers) != 1 {
						t.Fatalf("after %s and no further event: answers %v", strings.Join(trace, ", "), v.answers)
					}
					h.finish()
					if d < *depth {
						for m := range events {
							next = append(next, append(slices.Clone(path), m))
						}
					}
				}
				frontier = next
			}
			t.Logf("%d states, %d orders of up to %d events; the others are impossible or reach a known state", visited, paths, *depth)
		})
	}
}
