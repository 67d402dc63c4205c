package pool

import (
	"testing"

	"pgregory.net/rapid"
)

// endpoints are those of the tests; the second box has two addresses.
var endpoints = []Endpoint{{1, "a:554"}, {2, "b:554"}, {2, "c:554"}, {3, "d:554"}}

// Compares the pool with a model of plain maps: limits hold, no connection is handed out twice, and none is leaked.
func TestPool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		per := rapid.IntRange(1, 6).Draw(t, "per box")
		k, now, serial := New(per), 0.0, ConnID(0)
		busy, idle := map[ConnID]Endpoint{}, map[ConnID]Endpoint{}
		on := func(at Endpoint, of map[ConnID]Endpoint) (n int) {
			for _, b := range of {
				if b == at {
					n++
				}
			}
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				id := endpoints[rapid.IntRange(0, len(endpoints)-1).Draw(t, "endpoint")]
				if c, ok := k.Get(id); ok {
					if idle[c] != id {
						t.Fatalf("connection %d is not idle at %v", c, id)
					}
					delete(idle, c)
					busy[c] = id
					return
				}
				if on(id, idle) > 0 {
					t.Fatal("an idle connection was not reused")
				}
				ok := k.Reserve(id)
				if ok != (on(id, busy) < per) {
					t.Fatalf("Reserve returned %v with %d connections open of %d", ok, on(id, busy), per)
				}
				if ok {
					serial++
					busy[serial] = id
				}
			},
			"give back": func(t *rapid.T) {
				for c := ConnID(1); c <= serial; c++ {
					if id, ok := busy[c]; ok {
						delete(busy, c)
						if k.Put(id, c, now) {
							idle[c] = id
						} else {
							k.Closed(id, c)
						}
						return
					}
				}
			},
			"break": func(t *rapid.T) {
				for c := ConnID(1); c <= serial; c++ {
					if id, ok := idle[c]; ok {
						delete(idle, c)
						k.Closed(id, c)
						return
					}
				}
			},
			"advance clock": func(t *rapid.T) {
				now += rapid.Float64Range(0, 12).Draw(t, "dt")
				for _, c := range k.Expired(now) {
					id, ok := idle[c]
					if !ok {
						t.Fatalf("connection %d expired but is not idle", c)
					}
					delete(idle, c)
					k.Closed(id, c)
				}
			},
			"": func(t *rapid.T) {
				open, unused := k.Count()
				if open != len(busy)+len(idle) || unused != len(idle) {
					t.Fatalf("%d open, %d idle; want %d, %d", open, unused, len(busy)+len(idle), len(idle))
				}
				for _, id := range endpoints {
					if on(id, idle) > maxIdle || on(id, idle)+on(id, busy) > per {
						t.Fatalf("%v: %d idle, %d busy", id, on(id, idle), on(id, busy))
					}
				}
			},
		})
		now += 100
		for _, c := range k.Expired(now) {
			k.Closed(idle[c], c)
		}
		for c, id := range busy {
			k.Closed(id, c)
		}
		if open, unused := k.Count(); open+unused+len(k.endpoints) > 0 {
			t.Fatalf("leaked: %d open, %d idle, %d endpoints", open, unused, len(k.endpoints))
		}
	})
}

func TestReusable(t *testing.T) {
	for _, c := range []struct {
		status   int
		tearDown bool
		clean    bool
	}{{200, true, true}, {454, true, true}, {500, true, false}, {455, true, false}, {453, false, true}, {503, false, true},
		{500, false, false}, {404, false, false}} {
		if got := Reusable(c.status, c.tearDown); got != c.clean {
			t.Errorf("%d, TEARDOWN %v: %v", c.status, c.tearDown, got)
		}
	}
}
