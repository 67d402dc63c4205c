package node

import (
	"net"
	"syscall"
	"testing"
	"time"

	"rainhaven/internal/rtsp"
)

// The tests of this file force the end of something to be heard of before what it ends: a session's release before its
// answer, a connection's close before a request that was read from it, the exit before a reader's last request.

// A server's release comes before an answer: the session is over, so its SETUP is not repeated. On the SETUP's own connection
// nothing can follow it that was written before, so the client is refused at once. On another connection the answer may
// be on its way: it is passed on if it comes soon, and else the client is refused all the same, long before its deadline.
func TestReleaseBeforeTheAnswer(t *testing.T) {
	const refusedWithin = 100 * time.Millisecond
	for _, c := range []struct {
		name      string
		class     string
		cause     int
		elsewhere bool          // the release comes on another connection
		answer    time.Duration // the server's 200 follows after so long; 0 is never
		wanted    []string      // what the client gets, in this order, and nothing more
	}{
		{"come to its end", "free", causeFinished, false, 0, []string{"503"}},
		{"come to its end, paid", "paid", causeFinished, false, 0, []string{"500"}},
		{"ended by its client", "free", causeMoved, false, 0, []string{"503"}},
		{"ended by its client, paid", "paid", causeMoved, false, 0, []string{"500"}},
		{"a late answer follows", "free", causeMoved, false, 200 * time.Millisecond, []string{"503"}},
		{"a late answer follows, paid", "paid", causeFinished, false, 200 * time.Millisecond, []string{"500"}},
		{"overtakes its answer, ended by its client", "paid", causeMoved, true, 10 * time.Millisecond, []string{"200"}},
		{"overtakes its answer, come to its end", "free", causeFinished, true, 10 * time.Millisecond, []string{"200", rtsp.TearDown}},
		{"on another connection, no answer", "paid", causeFinished, true, 0, []string{"500"}},
		{"on another connection, a late answer", "free", causeMoved, true, 200 * time.Millisecond, []string{"503"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s1, s2 *fakeServer
			f := newHarness(t, 256, func(f *harness) []*fakeServer {
				s1, s2 = f.startServer("s-1"), f.startServer("s-2")
				return []*fakeServer{s1, s2}
			})
			v := f.connect()
			v.setup(testID(1), c.class, "")
			x, h := f.expectAt(rtsp.Setup, s1, s2)
			on := x.conn
			if c.elsewhere {
				v.setup(testID(2), "paid", "")
				for on == x.conn { // the class's place at the same server, on a connection of its own
					y, g := f.expectAt(rtsp.Setup, s1, s2)
					if g != h {
						y.conn.answer(y.msg, 453, "")
						continue
					}
					on = y.conn
				}
			}
			on.tearDown(testID(1), c.cause)
			if c.answer > 0 {
				time.AfterFunc(c.answer, func() { x.conn.answer(x.msg, 200, answerBody) })
			}
			for _, what := range c.wanted {
				if m := v.expectWithin(refusedWithin, what); m.Session() != testID(1) {
					t.Errorf("%s for %s", what, m.Session())
				}
			}
			time.Sleep(c.answer + refusedWithin)
			f.inspect(func(n *Node) {
				if n.sessions[testID(1)] != nil {
					t.Error("something is left of it")
				}
			})
			v.sendf("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
			v.expect("200") // and nothing of the session's before it
			for _, server := range []*fakeServer{s1, s2} {
				for len(server.received) > 0 {
					if y := <-server.received; y.msg.Method == rtsp.Setup && y.msg.Session() == testID(1) {
						t.Errorf("%s gets a further SETUP", server.name)
					}
				}
			}
		})
	}
}

// A connection is closed as unused while its reader already has a request: the request is answered all the same, whichever
// of the two the loop hears of first.
func TestRequestReadAsItsConnectionIsClosed(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 256)
	v := f.connect()
	v.sendf("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
	v.expect("200")
	f.batch(
		func() { v.setup(testID(1), "free", "") },
		func() {
			f.node.clients[0].LastUsed = -100
			f.node.closeIdleClients()
			f.node.events <- event{do: func() {}}
		},
	)
	x, _ := f.expectAt(rtsp.Setup, s1)
	x.conn.answer(x.msg, 200, answerBody)
	v.expect("200")
}

// The node ends while readers still take requests: each that was read from a connection before its close is answered, also
// where it is read after all that was open has been answered.
func TestExitHearsEveryReader(t *testing.T) {
	var clients []*peer
	read := map[string]bool{}
	f := newHarness(t, 256, func(f *harness) []*fakeServer {
		f.onLog = func(what string) {
			if what != "exit" && what != "over" {
				return
			}
			v, had := clients[len(read)], len(f.node.events)
			v.setup(testID(len(read)), "free", "")
			for end := time.Now().Add(100 * time.Millisecond); len(f.node.events) == had && time.Now().Before(end); {
				time.Sleep(100 * time.Microsecond)
			}
			read[what] = len(f.node.events) > had
		}
		return []*fakeServer{f.startServer("s-1")}
	})
	clients = []*peer{f.connect(), f.connect()}
	f.waitFor("both connections are known", func(n *Node) bool { return len(n.clients) == 2 })
	f.sendTerminate()
	f.terminationSignals <- syscall.SIGTERM
	f.exitCode <- <-f.exitCode
	if !read["exit"] { // else the test shows nothing
		t.Error("the request at the exit was not read")
	}
	for k, what := range []string{"exit", "over"} {
		if m := clients[k].next(); read[what] && messageKind(m) != "503" {
			t.Errorf("read at %q: %s where 503 is due", what, messageKind(m))
		}
	}
}

// A server's release comes on a connection that the node is closing, as a SETUP on it was not answered in time: the session
// has ended all the same, and its client is told.
func TestReleaseOnAConnectionThatIsClosed(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 256)
	v := f.connect()
	v.setup(testID(1), "free", "")
	x := f.serveNext(s1, v)
	v.setup(testID(2), "free", "")
	y, _ := f.expectAt(rtsp.Setup, s1)
	if y.conn != x.conn {
		t.Fatal("the second SETUP came over another connection")
	}
	var first *serverConn
	f.inspect(func(n *Node) { first = n.serversByID["s-1"].conns[0] })
	v.expect("503") // after its wait
	f.waitFor("the connection is being closed", func(*Node) bool { return first.closed })
	x.conn.tearDown(testID(1), causeFinished)
	if m := v.expectWithin(200*time.Millisecond, rtsp.TearDown); m.Session() != testID(1) {
		t.Errorf("the end of %s", m.Session())
	}
}

// A client ends the sending side of its connection behind its request: whether it has gone or waits for its answer can't be
// told, so the attempt is given up at once and the request gets a final answer all the same; what stands there stands.
func TestHalfCloseBehindARequest(t *testing.T) {
	for _, class := range []string{"free", "paid"} {
		t.Run(class, func(t *testing.T) {
			f, s1 := newSingleServerHarness(t, 256)
			v := f.connect()
			v.setup(testID(1), class, "")
			x, _ := f.expectAt(rtsp.Setup, s1)
			v.Conn.(*net.TCPConn).CloseWrite()
			if m := v.expectWithin(100*time.Millisecond, "500"); m.Session() != testID(1) {
				t.Errorf("the answer of %s", m.Session())
			}
			v.expect("closed")
			if y, _ := f.expectAt(rtsp.TearDown, s1); y.msg.Session() != testID(1) {
				t.Errorf("%s is given up", y.msg.Session())
			}
			x.conn.answer(x.msg, 200, answerBody)
			f.waitFor("nothing is left of it", func(n *Node) bool { return len(n.sessions) == 0 && n.openRequests == 0 })
		})
	}
}

// A connection is reset under a SETUP, whose session may stand at its server all the same: the server is told that nobody wants it,
// over a new connection where there is none.
func TestResetAttemptIsWithdrawn(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 256)
	v := f.connect()
	v.setup(testID(1), "free", "")
	x, _ := f.expectAt(rtsp.Setup, s1)
	x.conn.Conn.(*net.TCPConn).SetLinger(0)
	x.conn.Close()
	v.expect("503")
	y, _ := f.expectAt(rtsp.TearDown, s1)
	if y.msg.Session() != testID(1) || y.conn == x.conn {
		t.Errorf("%s is withdrawn", y.msg.Session())
	}
}

// A request is read and answered as its connection is closed as unused, and the answer has not been written when the reader has
// stopped: it leaves before the close.
func TestAnswerNotWrittenAsItsConnectionIsClosed(t *testing.T) {
	f := newHarness(t, 256, func(f *harness) []*fakeServer {
		f.writeDelay = 50 * time.Millisecond
		return nil
	})
	v := f.connect()
	v.sendf("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
	v.expect("200")
	f.batch(
		func() { v.setup(testID(1), "free", "") },
		func() {
			f.node.clients[0].LastUsed = -100
			f.node.closeIdleClients()
			f.node.events <- event{do: func() {}}
		},
	)
	v.expect("503") // no server holds it; the connection is closed or not, as the two come in one batch or in two
}
