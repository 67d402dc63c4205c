package node

import (
	"net"
	"syscall"
	"testing"
	"time"

	"rainhaven/internal/rtsp"
)

// The tests of this file force an end to be handled before what it ends: a session's release before its answer, a connection's
// close before a request that was read from it, the exit before a reader's last request.

// A server releases a session before it answers the SETUP: the session has ended, so the SETUP is not retried. On the SETUP's own
// connection no earlier answer can follow, so the client is refused at once. On another connection the release may have overtaken
// the answer: it is passed on if it arrives soon; otherwise the client is refused, long before its deadline.
func TestReleaseBeforeTheAnswer(t *testing.T) {
	const refusedWithin = 100 * time.Millisecond
	for _, c := range []struct {
		name      string
		class     string
		cause     int
		elsewhere bool          // the release arrives on another connection
		answer    time.Duration // delay of the server's 200; 0 is no answer
		want      []string      // all that the client receives, in this order
	}{
		{"ended", "free", causeFinished, false, 0, []string{"503"}},
		{"ended, paid", "paid", causeFinished, false, 0, []string{"500"}},
		{"ended by its client", "free", causeMoved, false, 0, []string{"503"}},
		{"ended by its client, paid", "paid", causeMoved, false, 0, []string{"500"}},
		{"a late answer follows", "free", causeMoved, false, 200 * time.Millisecond, []string{"503"}},
		{"a late answer follows, paid", "paid", causeFinished, false, 200 * time.Millisecond, []string{"500"}},
		{"overtakes its answer, ended by its client", "paid", causeMoved, true, 10 * time.Millisecond, []string{"200"}},
		{"overtakes its answer, ended", "free", causeFinished, true, 10 * time.Millisecond, []string{"200", rtsp.TearDown}},
		{"on another connection, no answer", "paid", causeFinished, true, 0, []string{"500"}},
		{"on another connection, a late answer", "free", causeMoved, true, 200 * time.Millisecond, []string{"503"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s1, s2 *fakeServer
			h := newHarness(t, 256, func(h *harness) []*fakeServer {
				s1, s2 = h.startServer("s-1"), h.startServer("s-2")
				return []*fakeServer{s1, s2}
			})
			cl := h.connect()
			cl.setup(testID(1), c.class, "")
			x, fs := h.expectAt(rtsp.Setup, s1, s2)
			conn := x.conn
			if c.elsewhere {
				cl.setup(testID(2), "paid", "")
				for conn == x.conn { // a second SETUP at the same server gets a connection of its own
					y, g := h.expectAt(rtsp.Setup, s1, s2)
					if g != fs {
						y.conn.answer(y.msg, 453, "")
						continue
					}
					conn = y.conn
				}
			}
			conn.tearDown(testID(1), c.cause)
			if c.answer > 0 {
				time.AfterFunc(c.answer, func() { x.conn.answer(x.msg, 200, answerBody) })
			}
			for _, want := range c.want {
				if m := cl.expectWithin(refusedWithin, want); m.Session() != testID(1) {
					t.Errorf("%s for session %s", want, m.Session())
				}
			}
			time.Sleep(c.answer + refusedWithin)
			h.inspect(func(n *Node) {
				if n.sessions[testID(1)] != nil {
					t.Error("the session is still known")
				}
			})
			cl.sendf("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
			cl.expect("200") // and nothing about the session before it
			for _, server := range []*fakeServer{s1, s2} {
				for len(server.received) > 0 {
					if y := <-server.received; y.msg.Method == rtsp.Setup && y.msg.Session() == testID(1) {
						t.Errorf("%s received a further SETUP", server.name)
					}
				}
			}
		})
	}
}

// An idle connection is closed while its reader already holds a request: the request is answered, whichever of the two the loop
// handles first.
func TestRequestReadAsItsConnectionIsClosed(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl := h.connect()
	cl.sendf("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
	cl.expect("200")
	h.batch(
		func() { cl.setup(testID(1), "free", "") },
		func() {
			h.node.clients[0].LastUsed = -100
			h.node.closeIdleClients()
			h.node.events <- event{do: func() {}}
		},
	)
	x, _ := h.expectAt(rtsp.Setup, s1)
	x.conn.answer(x.msg, 200, answerBody)
	cl.expect("200")
}

// The node exits while readers still read requests: each request that was read before its connection is closed is answered, even
// if it is read after all open requests have been answered.
func TestExitHearsEveryReader(t *testing.T) {
	var clients []*peer
	read := map[string]bool{}
	h := newHarness(t, 256, func(h *harness) []*fakeServer {
		h.onLog = func(message string) {
			if message != "exit" && message != "node stopped" {
				return
			}
			v, queued := clients[len(read)], len(h.node.events)
			v.setup(testID(len(read)), "free", "")
			for end := time.Now().Add(100 * time.Millisecond); len(h.node.events) == queued && time.Now().Before(end); {
				time.Sleep(100 * time.Microsecond)
			}
			read[message] = len(h.node.events) > queued
		}
		return []*fakeServer{h.startServer("s-1")}
	})
	clients = []*peer{h.connect(), h.connect()}
	h.waitFor("both connections are known", func(n *Node) bool { return len(n.clients) == 2 })
	h.sendTerminate()
	h.terminationSignals <- syscall.SIGTERM
	h.exitCode <- <-h.exitCode
	if !read["exit"] { // otherwise the test proves nothing
		t.Error("the request at the exit was not read")
	}
	for k, message := range []string{"exit", "node stopped"} {
		if m := clients[k].next(); read[message] && messageKind(m) != "503" {
			t.Errorf("read at %q: got %s, want 503", message, messageKind(m))
		}
	}
}

// A server's release arrives on a connection that the node is closing because a SETUP on it timed out: the session has ended, and
// its client is notified.
func TestReleaseOnAConnectionThatIsClosed(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl := h.connect()
	cl.setup(testID(1), "free", "")
	x := h.serveNext(s1, cl)
	cl.setup(testID(2), "free", "")
	y, _ := h.expectAt(rtsp.Setup, s1)
	if y.conn != x.conn {
		t.Fatal("the second SETUP arrived on another connection")
	}
	var first *serverConn
	h.inspect(func(n *Node) { first = n.serversByID["s-1"].conns[0] })
	cl.expect("503") // after its timeout
	h.waitFor("the connection is being closed", func(*Node) bool { return first.closed })
	x.conn.tearDown(testID(1), causeFinished)
	if m := cl.expectWithin(200*time.Millisecond, rtsp.TearDown); m.Session() != testID(1) {
		t.Errorf("released %s", m.Session())
	}
}

// A client closes the sending side of its connection after its request. The node cannot distinguish a client that has left from one
// that waits for its answer, so it cancels the SETUP at once and still sends a final answer. Established sessions stay.
func TestHalfCloseBehindARequest(t *testing.T) {
	for _, class := range []string{"free", "paid"} {
		t.Run(class, func(t *testing.T) {
			h, s1 := newSingleServerHarness(t, 256)
			cl := h.connect()
			cl.setup(testID(1), class, "")
			x, _ := h.expectAt(rtsp.Setup, s1)
			cl.Conn.(*net.TCPConn).CloseWrite()
			if m := cl.expectWithin(100*time.Millisecond, "500"); m.Session() != testID(1) {
				t.Errorf("answered %s", m.Session())
			}
			cl.expect("closed")
			if y, _ := h.expectAt(rtsp.TearDown, s1); y.msg.Session() != testID(1) {
				t.Errorf("cancelled %s", y.msg.Session())
			}
			x.conn.answer(x.msg, 200, answerBody)
			h.waitFor("the session is forgotten", func(n *Node) bool { return len(n.sessions) == 0 && n.openRequests == 0 })
		})
	}
}

// A connection is reset while a SETUP is in flight on it. The server may have set the session up, so the node releases it there,
// over a new connection if there is none.
func TestResetAttemptIsWithdrawn(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl := h.connect()
	cl.setup(testID(1), "free", "")
	x, _ := h.expectAt(rtsp.Setup, s1)
	x.conn.Conn.(*net.TCPConn).SetLinger(0)
	x.conn.Close()
	cl.expect("503")
	y, _ := h.expectAt(rtsp.TearDown, s1)
	if y.msg.Session() != testID(1) || y.conn == x.conn {
		t.Errorf("released %s, on the same connection: %v", y.msg.Session(), y.conn == x.conn)
	}
}

// A request is read and answered while its idle connection is being closed, and the answer is not written yet when the reader has
// stopped: it is sent before the close.
func TestAnswerNotWrittenAsItsConnectionIsClosed(t *testing.T) {
	h := newHarness(t, 256, func(h *harness) []*fakeServer {
		h.writeDelay = 50 * time.Millisecond
		return nil
	})
	cl := h.connect()
	cl.sendf("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
	cl.expect("200")
	h.batch(
		func() { cl.setup(testID(1), "free", "") },
		func() {
			h.node.clients[0].LastUsed = -100
			h.node.closeIdleClients()
			h.node.events <- event{do: func() {}}
		},
	)
	cl.expect("503") // no server holds the title; whether the connection closes depends on whether the two events share a batch
}
