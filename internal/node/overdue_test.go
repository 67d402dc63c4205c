package node

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"rainhaven/internal/rtsp"
)

// overdueListener accepts connections whose first reads end by their deadlines, as after the process was suspended for longer.
type overdueListener struct {
	net.Listener
	overdue chan struct{} // each value ends one read
	reads   atomic.Int64  // of input after those
}

func (l *overdueListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &overdueConn{Conn: c, listener: l, remaining: cap(l.overdue)}, nil
}

type overdueConn struct {
	net.Conn
	listener  *overdueListener
	remaining int
}

func (c *overdueConn) Read(b []byte) (int, error) {
	if c.remaining > 0 {
		c.remaining--
		<-c.listener.overdue
		return 0, os.ErrDeadlineExceeded
	}
	c.listener.reads.Add(1)
	return c.Conn.Read(b)
}

// newOverdueHarness returns a harness whose client connections have so many overdue reads.
func newOverdueHarness(t *testing.T, overdueReads int) (*harness, *fakeServer, *overdueListener) {
	l := &overdueListener{overdue: make(chan struct{}, overdueReads)}
	var server *fakeServer
	h := newHarness(t, 256, func(h *harness) []*fakeServer {
		h.wrapListener = func(inner net.Listener) net.Listener { l.Listener = inner; return l }
		server = h.startServer("s-1")
		return []*fakeServer{server}
	})
	return h, server, l
}

// The time limit of a connection's first message passes while the process is suspended, and the message has arrived by then: it is
// read and answered. It was discarded.
func TestFirstMessageArrivedWhileSuspended(t *testing.T) {
	h, server, l := newOverdueHarness(t, 1)
	cl := h.connect()
	cl.setup(testID(1), "free", "")
	l.overdue <- struct{}{}
	h.serveNext(server, cl)
}

// A request arrives as its connection is closed for having sent nothing within the time limit: it is not read, so that its client
// sees a reset and sends it again. It was read and discarded.
func TestRequestCrossesTheTimeLimitOfTheFirstMessage(t *testing.T) {
	h, _, l := newOverdueHarness(t, 2)
	cl := h.connect()
	resume := h.pauseLoop()
	l.overdue <- struct{}{}
	l.overdue <- struct{}{}
	h.waitForQueuedEvents(1)
	cl.setup(testID(1), "free", "")
	resume()
	if m := cl.next(); m != nil {
		t.Errorf("%s %d arrived", m.Method, m.Status)
	}
	if n := l.reads.Load(); n > 0 {
		t.Errorf("%d reads of a connection that was being closed", n)
	}
}

// overdueNetwork opens connections on which the second read ends by its deadline, within the first message.
type overdueNetwork struct{ systemNetwork }

func (n overdueNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := n.systemNetwork.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &secondReadOverdueConn{Conn: c}, nil
}

type secondReadOverdueConn struct {
	net.Conn
	reads int // used by the connection's reader only
}

func (c *secondReadOverdueConn) Read(b []byte) (int, error) {
	if c.reads++; c.reads == 2 {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(b)
}

// The time limit of a server's answer passes while the process is suspended, and the rest has arrived by then: the answer counts. Its
// connection was closed, and the request failed.
func TestAnswerArrivedWhileSuspended(t *testing.T) {
	var server *fakeServer
	h := newHarness(t, 256, func(h *harness) []*fakeServer {
		h.network = overdueNetwork{}
		server = h.startServer("s-1")
		server.ignoreProbes.Store(true)
		return []*fakeServer{server}
	})
	cl := h.connect()
	cl.setup(testID(1), "paid", "")
	x, _ := h.expectAt(rtsp.Setup, server)
	x.conn.sendf("RTSP/1.0 200 X\r\nCSeq: 1\r\n")
	time.Sleep(5 * time.Millisecond) // the first half is read on its own
	x.conn.sendf("Session: %s\r\nContent-Length: %d\r\n\r\n%s", testID(1), len(answerBody), answerBody)
	cl.expect("200")
}
