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

func TestOneQuestionForManyViewers(t *testing.T) {
	c := cache()
	step, box, _ := c.Request(1, "a", 1, 2)
	if step != Fetch || box < 11 || box > 12 {
		t.Fatalf("%v of box %d, which does not hold it", step, box)
	}
	for range 5 {
		if step, _, _ := c.Request(1.1, "a", 1, 2); step != Wait {
			t.Fatalf("%v while one is asked", step)
		}
	}
	if step, _, body := c.HandleReply(1.2, "a", box, []byte("x"), 1, 2); step != Answer || string(body) != "x" {
		t.Fatalf("%v %q", step, body)
	}
	if step, _, _ := c.Request(60, "a", 1, 2); step != Answer {
		t.Errorf("%v within a minute", step)
	}
	if step, _, _ := c.Request(62, "a", 1, 2); step != Fetch {
		t.Errorf("%v after a minute", step)
	}
}

func TestHoldersThatHangOrLie(t *testing.T) {
	c := cache()
	_, first, _ := c.Request(1, "a", 0, 4)
	step, second, _ := c.HandleReply(2, "a", first, nil, 0, 4)
	if step != Fetch || second == first {
		t.Fatalf("%v of %d after %d", step, second, first)
	}
	if step, _, _ := c.HandleReply(2.1, "a", first, []byte("late"), 0, 4); step != Wait {
		t.Errorf("a late answer of the first: %v", step)
	}
	if step, _, _ := c.HandleReply(3, "a", second, nil, 0, 4); step != Fail {
		t.Errorf("after two: %v", step)
	}
	_, box, _ := c.Request(4, "a", 0, 4)
	c.HandleReply(4, "a", box, []byte("old"), 0, 4)
	_, box, _ = c.Request(100, "a", 0, 4)
	_, box, _ = c.HandleReply(101, "a", box, nil, 0, 4)
	if step, _, body := c.HandleReply(102, "a", box, nil, 0, 4); step != Answer || string(body) != "old" {
		t.Errorf("an old one in place of none: %v %q", step, body)
	}
	c.UpdateBoxes(false, []choice.Listing{{ID: 10, State: choice.Draining}, {ID: 11, State: choice.Gone}, {ID: 12, State: choice.Gone}, {ID: 13, State: choice.Gone}})
	if step, _, _ := c.Request(9000, "b", 0, 4); step != Fail {
		t.Errorf("with a box that drains alone: %v", step)
	}
}

// Whatever comes in any order: never two out for a title, never a box that is not listed ready or asked before in the
// round, and the cache stays bounded.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now := cache(), 0.0
		out := map[string]choice.ServerID{}
		ready := map[choice.ServerID]bool{10: true, 11: true, 12: true, 13: true}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Float64Range(0, 40).Draw(t, "dt")
			title := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "title"))
			var step Action
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
				from, is := out[title]
				if !is {
					continue
				}
				delete(out, title)
				var body []byte
				if rapid.Bool().Draw(t, "good") {
					body = []byte("x")
				}
				step, box, _ = c.HandleReply(now, title, from, body, 0, 4)
				if step == Wait {
					t.Fatal("an answer that was waited for is passed over")
				}
			default:
				step, box, _ = c.Request(now, title, 0, 4)
				if _, is := out[title]; is != (step == Wait) && step != Answer {
					t.Fatalf("%v while one is out: %v", step, is)
				}
			}
			if step == Fetch {
				if _, two := out[title]; two || !ready[box] {
					t.Fatalf("box %d asked, ready %v, another out %v", box, ready[box], two)
				}
				out[title] = box
			}
		}
	})
	c := cache()
	for i := range 3 * mostKept {
		c.Request(float64(i), fmt.Sprint(i), 0, 4)
		c.HandleReply(float64(i), fmt.Sprint(i), c.titles[fmt.Sprint(i)].asked[0], []byte("x"), 0, 4)
	}
	if len(c.titles) > mostKept {
		t.Errorf("%d titles kept", len(c.titles))
	}
}
