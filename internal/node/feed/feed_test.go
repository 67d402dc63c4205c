package feed

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"rainhaven/choice"
)

func TestListing(t *testing.T) {
	names := Names{[]string{"a", "b"}, []string{"small", "large"}}
	l, err := names.ToListing(7, Instance{ID: "s-1", Zone: "b", Kind: "large", Cell: 3, State: "draining", Weight: 2, StartedAtMs: 1500})
	if want := (choice.Listing{ID: 7, Zone: 1, Kind: 1, Cell: 3, State: choice.Draining, Weight: 2, StartedAt: 1.5}); err != nil || l != want {
		t.Errorf("%+v %v", l, err)
	}
	for _, i := range []Instance{{State: "well"}, {State: "up", Cell: -1}} {
		if _, err := names.ToListing(7, i); err == nil {
			t.Errorf("%+v is accepted", i)
		}
	}
}

func TestNumber(t *testing.T) {
	neverUsed := func(choice.ServerID) bool { return false }
	a := AssignID("s-00c41f7a", neverUsed)
	if b := AssignID("s-00c41f7a", neverUsed); a != b {
		t.Error("the same server has different numbers")
	}
	if b := AssignID("s-00c41f7a", func(x choice.ServerID) bool { return x == a }); b == a {
		t.Error("two servers share a number")
	}
}

// Events are handled once and in order although the coordinator breaks off, falls silent, skips, repeats or sends
// malformed lines.
func TestFollow(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ev := func(i int) string {
		return fmt.Sprintf(`{"index":%d,"endpoints":{"reset":false,"instances":[]}}`+"\n", i)
	}
	scripts := []string{
		ev(3) + ev(3) + "3\n" + ev(4)[:20], // closes within an event
		ev(4) + ev(4)[:12],                 // falls silent within an event
		"not json\n" + ev(5),               // malformed
		ev(7),                              // skips an event
		ev(5) + "9\n",                      // reports a later event than it sent
		strings.Repeat("1", maxLineBytes+5000) + "\n", // line without end
		`{"endpoints":{}}` + "\n",                     // event without an index
		ev(6) + ev(5) + "6\n" + "2\n" + ev(7),         // repeats an event
	}
	var requested []int
	go func() {
		for i := 0; ; i++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			n := -1
			fmt.Fscanf(c, "follow %d\n", &n)
			requested = append(requested, n)
			if i < len(scripts) {
				c.Write([]byte(scripts[i]))
			}
			if i != 1 && i < len(scripts)-1 {
				c.Close()
			}
		}
	}()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var received []int64
	done := make(chan bool)
	startedAt := time.Now()
	go func() {
		Follow(ctx, l.Addr().String(), 2, 7, func() {}, func(e Event) bool {
			if received = append(received, e.Index); e.Index == 7 {
				cancel()
			}
			return true
		}, func(error) {})
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("events not received in time")
	}
	if !slices.Equal(received, []int64{3, 4, 5, 6, 7}) {
		t.Errorf("received events %v in %v", received, time.Since(startedAt))
	}
	if !slices.Equal(requested[:6], []int{2, 3, 4, 4, 4, 5}) {
		t.Errorf("followed from %v", requested)
	}
}

func FuzzLine(f *testing.F) {
	f.Add([]byte(`{"index":41,"endpoints":{"generation":7,"reset":false,"instances":[{"instanceId":"s-00c41f7a","cell":2,"lifecycle":"up"}]}}`))
	f.Add([]byte("12"))
	f.Fuzz(func(t *testing.T, b []byte) {
		e, last, err := parseLine(b)
		if err == nil && e.Index > 0 && last != 0 {
			t.Errorf("parsed as both an event and a number: %q", b)
		}
		for _, i := range e.Endpoints.Instances {
			Names{}.ToListing(1, i)
		}
	})
}
