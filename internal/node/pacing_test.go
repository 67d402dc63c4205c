package node

import (
	"strings"
	"testing"
	"time"

	"rainhaven/choice/share"
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
