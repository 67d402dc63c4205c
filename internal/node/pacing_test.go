package node

import (
	"strings"
	"testing"
	"time"

	"rainhaven/choice/share"
	"rainhaven/internal/rtsp"
)

// A client sends at full speed while the loop is busy: its messages take a share of the loop's queue only, and another client's message is
// in the queue behind them. They filled the queue, and others waited to be let in.
func TestReaderRunsAheadOfTheLoopByItsShare(t *testing.T) {
	h, _ := newSingleServerHarness(t, 256)
	flooding, other := h.connect(), h.connect()
	flooding.ping()
	other.ping()
	resume := h.pauseLoop()
	flooding.sendf("%s", strings.Repeat("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n", 3*eventQueueSize))
	h.waitForQueuedEvents(share.MaxUnhandledMessages - 1)
	time.Sleep(50 * time.Millisecond) // in which it would send more
	if n := len(h.node.events); n > share.MaxUnhandledMessages+2 {
		t.Errorf("%d messages of one client are queued", n)
	}
	resume()
	for range 3 * eventQueueSize {
		flooding.expect("200")
	}
	other.ping()
}

// Clients name thousands of sessions as handed over, all at one server: the loop goes on. Looking for a session to step up took seconds, as
// each was weighed by a sum over all.
func TestThousandsOfSessionsHandedOverToOneServer(t *testing.T) {
	const (
		sessions = 12_000
		perTurn  = 100
		setupEnd = 1500 * time.Millisecond // a client's setup timeout
		watched  = 3 * time.Second
	)
	h, _ := newSingleServerHarness(t, 256)
	h.inspect(func(n *Node) { n.config.MemoryMB = 192 })
	other := h.connect()
	other.ping()
	for first := 0; first < sessions; first += perTurn {
		h.inspect(func(n *Node) {
			for k := first; k < first+perTurn; k++ {
				m := rtsp.NewRequest(rtsp.Setup, mediaRoot+"t1").WithHeader("Session", testID(k)).WithHeader(headerClass, "free").WithHeader(headerFacts, "home:0;copies:4;top:4;at:s-1")
				n.handleSetup(n.clients[0], m, n.now)
			}
		})
	}
	var worst time.Duration
	for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		begin := time.Now()
		other.sendf("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
		other.expectWithin(10*testTimeout, "200")
		worst = max(worst, time.Since(begin))
	}
	h.inspect(func(n *Node) {
		if len(n.sessions) != sessions {
			t.Errorf("%d sessions", len(n.sessions))
		}
	})
	if worst > setupEnd {
		t.Errorf("an answer took %v", worst)
	}
}
