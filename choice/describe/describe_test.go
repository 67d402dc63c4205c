package describe

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
	"rainhaven/choice"
)

func cache() *Cache {
	c := New(4)
	var list []choice.Listing
	for i := range 4 {
		list = append(list, choice.Listing{ID: choice.ServerID(10 + i), Cell: i, State: choice.Ready})
	}
	c.UpdateBoxes(true, list)
	return c
}

func TestViewersShareOneQuery(t *testing.T) {
	c := cache()
	action, box, _ := c.Request(1, "a", 1, 2)
	if action != Fetch || box < 11 || box > 12 {
		t.Fatalf("action %v, box %d, want a query to a holder (box 11 or 12)", action, box)
	}
	for range 5 {
		if action, _, _ := c.Request(1.1, "a", 1, 2); action != Wait {
			t.Fatalf("action %v while a query is pending", action)
		}
	}
	if action, _, body := c.HandleReply(1.2, "a", box, []byte("x"), 1, 2); action != Answer || string(body) != "x" {
		t.Fatalf("%v %q", action, body)
	}
	if action, _, _ := c.Request(60, "a", 1, 2); action != Answer {
		t.Errorf("action %v within a minute", action)
	}
	if action, _, _ := c.Request(62, "a", 1, 2); action != Fetch {
		t.Errorf("action %v after a minute", action)
	}
}

func TestUnresponsiveHolders(t *testing.T) {
	c := cache()
	_, first, _ := c.Request(1, "a", 0, 4)
	action, second, _ := c.HandleReply(2, "a", first, nil, 0, 4)
	if action != Fetch || second == first {
		t.Fatalf("action %v, box %d after box %d failed", action, second, first)
	}
	if action, _, _ := c.HandleReply(2.1, "a", first, []byte("late"), 0, 4); action != Wait {
		t.Errorf("late answer of the first box: action %v", action)
	}
	if action, _, _ := c.HandleReply(3, "a", second, nil, 0, 4); action != Fail {
		t.Errorf("after two failures: action %v", action)
	}
	_, box, _ := c.Request(4, "a", 0, 4)
	c.HandleReply(4, "a", box, []byte("old"), 0, 4)
	_, box, _ = c.Request(100, "a", 0, 4)
	_, box, _ = c.HandleReply(101, "a", box, nil, 0, 4)
	if action, _, body := c.HandleReply(102, "a", box, nil, 0, 4); action != Answer || string(body) != "old" {
		t.Errorf("stale description as a fallback: action %v, body %q", action, body)
	}
	c.UpdateBoxes(false, []choice.Listing{{ID: 10, State: choice.Draining}, {ID: 11, State: choice.Gone}, {ID: 12, State: choice.Gone}, {ID: 13, State: choice.Gone}})
	if action, _, _ := c.Request(9000, "b", 0, 4); action != Fail {
		t.Errorf("with only a draining box: action %v", action)
	}
}

// With events in random order, a title never has two pending queries, only boxes listed as ready are queried, and the
// cache stays within its limit.
func TestRandomEventOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now := cache(), 0.0
		pending := map[string]choice.ServerID{}
		ready := map[choice.ServerID]bool{10: true, 11: true, 12: true, 13: true}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Float64Range(0, 40).Draw(t, "dt")
			title := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "title"))
			var action Action
			var box choice.ServerID
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				id := choice.ServerID(rapid.IntRange(10, 13).Draw(t, "box"))
				ready[id] = rapid.Bool().Draw(t, "ready")
				s := choice.Draining
				if ready[id] {
					s = choice.Ready
				}
				c.UpdateBoxes(false, []choice.Listing{{ID: id, Cell: int(id) - 10, State: s}})
				continue
			case 1:
				from, ok := pending[title]
				if !ok {
					continue
				}
				delete(pending, title)
				var body []byte
				if rapid.Bool().Draw(t, "good") {
					body = []byte("x")
				}
				action, box, _ = c.HandleReply(now, title, from, body, 0, 4)
				if action == Wait {
					t.Fatal("the answer to a pending query was ignored")
				}
			default:
				action, box, _ = c.Request(now, title, 0, 4)
				if _, ok := pending[title]; ok != (action == Wait) && action != Answer {
					t.Fatalf("action %v, pending query: %v", action, ok)
				}
			}
			if action == Fetch {
				if _, two := pending[title]; two || !ready[box] {
					t.Fatalf("box %d queried: ready %v, another query pending %v", box, ready[box], two)
				}
				pending[title] = box
			}
		}
	})
	c := cache()
	for i := range 3 * maxTitles {
		c.Request(float64(i), fmt.Sprint(i), 0, 4)
		c.HandleReply(float64(i), fmt.Sprint(i), c.titles[fmt.Sprint(i)].queried[0], []byte("x"), 0, 4)
	}
	if len(c.titles) > maxTitles {
		t.Errorf("%d titles cached, want at most %d", len(c.titles), maxTitles)
	}
}
