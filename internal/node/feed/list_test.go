package feed

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// An event that lists 3,200 servers with long ids, and arrives slowly and in pieces, is parsed as one event.
func TestLongList(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	const servers = 3200
	var entries []string
	for k := range servers {
		entries = append(entries, fmt.Sprintf(`{"instanceId":"s-%0200d","hostPort":"10.1.%d.%d:5060","zone":"%040d","machineType":"std","cell":%d,"lifecycle":"up","weight":4,"startedAtMs":0}`, k, k/250, k%250, k, k))
	}
	text := `{"index":1,"endpoints":{"generation":1,"reset":true,"instances":[` + strings.Join(entries, ",") + "]}}\n"
	if len(text) < 1<<20 {
		t.Fatalf("the list has only %d bytes", len(text))
	}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		for rest := text; rest != ""; {
			k := min(len(rest), 30_000)
			if _, err := c.Write([]byte(rest[:k])); err != nil {
				return
			}
			rest = rest[k:]
			time.Sleep(2 * time.Millisecond)
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	received := 0
	Follow(ctx, l.Addr().String(), 0, 7, func() {}, func(e Event) bool { received = len(e.Endpoints.Instances); cancel(); return true }, func(error) {})
	if received != servers {
		t.Errorf("received %d servers", received)
	}
}
