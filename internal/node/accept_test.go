package node

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"rainhaven/choice/share"
)

// Connections that come while the loop has no time for them are bounded as the others are: what it has not heard of holds a
// descriptor as well. Once it has time again they are taken, and the newest is served.
func TestConnectionsThatTheLoopHasNotHeardOf(t *testing.T) {
	const sockets, many = 64, 120
	most := int64(share.MaxViewerConns(sockets, 0) + share.AcceptSlack)
	var open atomic.Int64
	f := newHarness(t, sockets, func(f *harness) []*fakeServer {
		f.openClients = &open
		return nil
	})
	f.inspect(func(*Node) {
		for range many {
			c, err := net.Dial("tcp", f.addr)
			if err != nil {
				t.Error(err)
				return
			}
			t.Cleanup(func() { c.Close() })
		}
		time.Sleep(50 * time.Millisecond)
		if n := open.Load(); n > most {
			t.Errorf("%d connections are held, %d may be", n, most)
		}
	})
	v := f.connect()
	v.setup(testID(1), "free", "")
	v.expect("503") // no server holds it
}
