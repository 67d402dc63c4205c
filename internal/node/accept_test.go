package node

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"rainhaven/choice/share"
)

// Connections accepted while the loop is blocked count against the limit, as each holds a descriptor. Once the loop
// runs again they are handled, and the newest is served.
func TestConnectionsThatTheLoopHasNotHeardOf(t *testing.T) {
	const sockets, many = 64, 120
	most := int64(share.MaxViewerConns(sockets, 0) + share.AcceptSlack)
	var open atomic.Int64
	h := newHarness(t, sockets, func(h *harness) []*fakeServer {
		h.openClients = &open
		return nil
	})
	h.inspect(func(*Node) {
		for range many {
			c, err := net.Dial("tcp", h.addr)
			if err != nil {
				t.Error(err)
				return
			}
			t.Cleanup(func() { c.Close() })
		}
		time.Sleep(50 * time.Millisecond)
		if n := open.Load(); n > most {
			t.Errorf("%d connections are open, the limit is %d", n, most)
		}
	})
	cl := h.connect()
	cl.setup(testID(1), "free", "")
	cl.expect("503") // there are no servers
}
