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

// trailed breaks the test with the events that led to the fault.
type trailed struct {
	*testing.T
	trail *[]string
}

func (t trailed) Fatalf(format string, args ...any) {
	t.T.Helper()
	t.T.Fatalf("after %s: %s", strings.Join(*t.trail, ", "), fmt.Sprintf(format, args...))
}

// move is something that a viewer, a box, the list, the clock or an operator may do next; do is false where it can't.
type move struct {
	name string
	do   func(w *world) bool
}

// one is the session that the search follows.
const one = choice.SessID("s000")

// tries gives the session's SETUPs in their order.
func (w *world) tries(is func(a *atBox) bool) (list []int) {
	for n, a := range w.viewers[one].tries {
		if is(a) {
			list = append(list, n)
		}
	}
	slices.Sort(list)
	return list
}

func answered(status int, sent bool) func(w *world) bool {
	return func(w *world) bool {
		out := w.tries(func(a *atBox) bool { return a.out })
		if len(out) == 0 {
			return false
		}
		w.box(one, out[0], status, sent)
		return true
	}
}

func asks(op Op) func(w *world) bool {
	return func(w *world) bool {
		if v := w.viewers[one]; v.gone || len(v.asks) >= 3 {
			return false
		}
		w.request(one, op)
		return true
	}
}

func listed(s choice.Lifecycle) func(w *world) bool {
	return func(w *world) bool {
		all := w.tries(func(*atBox) bool { return true })
		if len(all) == 0 {
			return false
		}
		box := w.viewers[one].tries[all[len(all)-1]].box
		if w.state[box] == s {
			return false
		}
		w.state[box] = s
		w.do(func() {
			w.t.UpdateDirectory(false, []choice.Listing{{ID: box, Cell: int(box) - 10, State: s, Weight: 1}})
		})
		return true
	}
}

func operation(status int) func(w *world) bool {
	return func(w *world) bool {
		if len(w.ops) == 0 {
			return false
		}
		op := w.ops[0]
		w.ops = w.ops[1:]
		w.do(func() { op(status) })
		return true
	}
}

var moves = []move{
	{"PLAY", asks(Play)}, {"PAUSE", asks(Pause)}, {"second track", asks(Join)}, {"TEARDOWN", asks(TearDown)},
	{"disconnect", func(w *world) bool {
		if w.viewers[one].gone {
			return false
		}
		w.viewers[one].gone = true
		w.do(func() { w.t.ViewerGone(one) })
		return true
	}},
	{"SETUP sent", func(w *world) bool {
		l := w.t.lives[one]
		if l == nil || l.phase != connecting {
			return false
		}
		if w.state[l.box] != choice.Ready {
			w.tb.Fatalf("a SETUP is still to leave for box %d, which is not ready", l.box)
		}
		w.do(func() { w.t.SetupSent(one, l.try) })
		return true
	}},
	{"200", answered(200, true)}, {"full", answered(453, true)}, {"error", answered(500, true)}, {"reset", answered(0, true)},
	{"no connection", answered(0, false)},
	{"late 200", func(w *world) bool {
		over := w.tries(func(a *atBox) bool { return !a.out && !a.held })
		if len(over) == 0 {
			return false
		}
		w.box(one, over[0], 200, false)
		return true
	}},
	{"session breaks", func(w *world) bool {
		held := w.tries(func(a *atBox) bool { return a.held })
		if len(held) == 0 {
			return false
		}
		w.viewers[one].tries[held[0]].held = false
		w.do(func() { w.t.BoxFailed(one, held[0]) })
		return true
	}},
	{"done", operation(200)}, {"refused", operation(455)}, {"lost at the box", operation(454)},
	{"rung down", func(w *world) bool {
		l := w.t.lives[one]
		if l == nil || l.phase < ready || l.phase > paused || l.wantRung == 0 || l.wantRung != l.rung {
			return false
		}
		w.do(func() { acts{w.t}.SetRung(one, l.wantRung-1) })
		return true
	}},
	{"probe answered", func(w *world) bool {
		if len(w.probes) == 0 {
			return false
		}
		box := w.probes[0]
		w.probes = w.probes[1:]
		w.do(func() { w.t.Probed(box, 200, 0, choice.LoadReport{Link: 0.3, Uplink: -1}) })
		return true
	}},
	{"time", func(w *world) bool {
		before := w.now
		if n := w.t.NextTimer(); n > 0 {
			w.pass(n - w.now + 1e-6)
		}
		return w.now > before
	}},
	{"a second", func(w *world) bool { w.pass(1); return true }},
	{"drains", listed(choice.Draining)}, {"is gone", listed(choice.Gone)}, {"is ready", listed(choice.Ready)},
	{"reload", func(w *world) bool {
		if w.reloads == 2 {
			return false
		}
		w.reload()
		return true
	}},
	{"front is frozen", func(w *world) bool {
		if w.t.stop {
			return false
		}
		w.do(func() { w.t.Freeze() })
		w.frozen = len(w.tries(func(*atBox) bool { return true }))
		return true
	}},
	{"front stops", func(w *world) bool {
		if w.t.stop {
			return false
		}
		w.do(w.t.StopAccepting)
		return true
	}},
	{"front cuts", func(w *world) bool {
		if w.t.stop && w.t.Len() == 0 {
			return false
		}
		w.do(w.t.EndAll)
		return true
	}},
}

// print is a state as far as anything that comes after can tell: the session, what its SETUPs came to and where, what is
// out, the list, the time gone by.
func (w *world) print() string {
	var b strings.Builder
	if l := w.t.lives[one]; l != nil {
		fmt.Fprint(&b, l.phase, l.owed, l.verdict, l.viewer, l.try, l.box, l.rung, l.wantRung, l.sentRung, l.op.op, l.wantClose, l.toldModule, l.alone,
			len(l.queue), int(l.until*1000-w.now*1000), int(l.giveUp*100-w.now*100))
		for _, q := range l.queue {
			fmt.Fprint(&b, q.op)
		}
	}
	v := w.viewers[one]
	for _, n := range w.tries(func(*atBox) bool { return true }) {
		fmt.Fprint(&b, "|", n, *v.tries[n])
	}
	fmt.Fprint(&b, "|", v.gone, v.answers, len(v.asks), v.ended, v.mayRan, len(w.ops), len(w.probes), w.t.stop, w.reloads, w.frozen, int(w.now*50))
	for id := choice.ServerID(10); id < 14; id++ {
		fmt.Fprint(&b, w.state[id])
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
			start := func(path []int) *world {
				trail = trail[:0]
				w := newWorld(trailed{t, &trail})
				w.ask(group, "vents")
				for _, m := range path {
					trail = append(trail, moves[m].name)
					if !moves[m].do(w) {
						return nil
					}
				}
				return w
			}
			seen := map[string]bool{}
			level, visited, orders := [][]int{nil}, 0, 0
			for d := 0; d <= *depth && len(level) > 0; d++ {
				var next [][]int
				for _, path := range level {
					w := start(path)
					if w == nil {
						continue
					}
					orders++
					if p := w.print(); seen[p] {
						continue
					} else {
						seen[p] = true
					}
					visited++
					w.rest()
					// Nobody does anything any more: the answer comes all the same, before the viewer gives up.
					w = start(path)
					v := w.viewers[one]
					w.pass(v.giveUp - w.now + 1)
					if !v.gone && len(v.answers) != 1 {
						t.Fatalf("after %s and silence: answers %v", strings.Join(trail, ", "), v.answers)
					}
					w.rest()
					if d < *depth {
						for m := range moves {
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
