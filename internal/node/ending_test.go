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
			var s1, s2 *host
			f := newFarm(t, 256, func(f *farm) []*host {
				s1, s2 = f.host("s-1"), f.host("s-2")
				return []*host{s1, s2}
			})
			v := f.client()
			v.setup(id(1), c.class, "")
			x, h := f.wanted(rtsp.Setup, s1, s2)
			on := x.on
			if c.elsewhere {
				v.setup(id(2), "paid", "")
				for on == x.on { // the class's place at the same server, on a connection of its own
					y, g := f.wanted(rtsp.Setup, s1, s2)
					if g != h {
						y.on.answer(y.m, 453, "")
						continue
					}
					on = y.on
				}
			}
			on.tearDown(id(1), c.cause)
			if c.answer > 0 {
				time.AfterFunc(c.answer, func() { x.on.answer(x.m, 200, given) })
			}
			for _, what := range c.wanted {
				if m := v.wantWithin(refusedWithin, what); m.Session() != id(1) {
					t.Errorf("%s for %s", what, m.Session())
				}
			}
			time.Sleep(c.answer + refusedWithin)
			f.see(func(n *Node) {
				if n.sessions[id(1)] != nil {
					t.Error("something is left of it")
				}
			})
			v.say("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
			v.want("200") // and nothing of the session's before it
			for _, server := range []*host{s1, s2} {
				for len(server.seen) > 0 {
					if y := <-server.seen; y.m.Method == rtsp.Setup && y.m.Session() == id(1) {
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
	f, s1 := single(t, 256)
	v := f.client()
	v.say("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
	v.want("200")
	f.batch(
		func() { v.setup(id(1), "free", "") },
		func() {
			f.node.clients[0].LastUsed = -100
			f.node.closeIdleClients()
			f.node.events <- event{do: func() {}}
		},
	)
	x, _ := f.wanted(rtsp.Setup, s1)
	x.on.answer(x.m, 200, given)
	v.want("200")
}

// The node ends while readers still take requests: each that was read from a connection before its close is answered, also
// where it is read after all that was open has been answered.
func TestExitHearsEveryReader(t *testing.T) {
	var clients []*peer
	read := map[string]bool{}
	f := newFarm(t, 256, func(f *farm) []*host {
		f.logged = func(what string) {
			if what != "exit" && what != "over" {
				return
			}
			v, had := clients[len(read)], len(f.node.events)
			v.setup(id(len(read)), "free", "")
			for end := time.Now().Add(100 * time.Millisecond); len(f.node.events) == had && time.Now().Before(end); {
				time.Sleep(100 * time.Microsecond)
			}
			read[what] = len(f.node.events) > had
		}
		return []*host{f.host("s-1")}
	})
	clients = []*peer{f.client(), f.client()}
	f.until("both connections are known", func(n *Node) bool { return len(n.clients) == 2 })
	f.sendTerminate()
	f.ends <- syscall.SIGTERM
	f.over <- <-f.over
	if !read["exit"] { // else the test shows nothing
		t.Error("the request at the exit was not read")
	}
	for k, what := range []string{"exit", "over"} {
		if m := clients[k].next(); read[what] && said(m) != "503" {
			t.Errorf("read at %q: %s where 503 is due", what, said(m))
		}
	}
}

// A server's release comes on a connection that the node is closing, as a SETUP on it was not answered in time: the session
// has ended all the same, and its client is told.
func TestReleaseOnAConnectionThatIsClosed(t *testing.T) {
	f, s1 := single(t, 256)
	v := f.client()
	v.setup(id(1), "free", "")
	x := f.serve(s1, v)
	v.setup(id(2), "free", "")
	y, _ := f.wanted(rtsp.Setup, s1)
	if y.on != x.on {
		t.Fatal("the second SETUP came over another connection")
	}
	var first *link
	f.see(func(n *Node) { first = n.byID["s-1"].conns[0] })
	v.want("503") // after its wait
	f.until("the connection is being closed", func(*Node) bool { return first.closed })
	x.on.tearDown(id(1), causeFinished)
	if m := v.wantWithin(200*time.Millisecond, rtsp.TearDown); m.Session() != id(1) {
		t.Errorf("the end of %s", m.Session())
	}
}

// A client ends the sending side of its connection behind its request: whether it has gone or waits for its answer can't be
// told, so the attempt is given up at once and the request gets a final answer all the same; what stands there stands.
func TestHalfCloseBehindARequest(t *testing.T) {
	for _, class := range []string{"free", "paid"} {
		t.Run(class, func(t *testing.T) {
			f, s1 := single(t, 256)
			v := f.client()
			v.setup(id(1), class, "")
			x, _ := f.wanted(rtsp.Setup, s1)
			v.Conn.(*net.TCPConn).CloseWrite()
			if m := v.wantWithin(100*time.Millisecond, "500"); m.Session() != id(1) {
				t.Errorf("the answer of %s", m.Session())
			}
			v.want("closed")
			if y, _ := f.wanted(rtsp.TearDown, s1); y.m.Session() != id(1) {
				t.Errorf("%s is given up", y.m.Session())
			}
			x.on.answer(x.m, 200, given)
			f.until("nothing is left of it", func(n *Node) bool { return len(n.sessions) == 0 && n.open == 0 })
		})
	}
}

// A connection is reset under a SETUP, whose session may stand at its server all the same: the server is told that nobody wants it,
// over a new connection where there is none.
func TestResetAttemptIsWithdrawn(t *testing.T) {
	f, s1 := single(t, 256)
	v := f.client()
	v.setup(id(1), "free", "")
	x, _ := f.wanted(rtsp.Setup, s1)
	x.on.Conn.(*net.TCPConn).SetLinger(0)
	x.on.Close()
	v.want("503")
	y, _ := f.wanted(rtsp.TearDown, s1)
	if y.m.Session() != id(1) || y.on == x.on {
		t.Errorf("%s is withdrawn", y.m.Session())
	}
}

// A request is read and answered as its connection is closed as unused, and the answer has not been written when the reader has
// stopped: it leaves before the close.
func TestAnswerNotWrittenAsItsConnectionIsClosed(t *testing.T) {
	f := newFarm(t, 256, func(f *farm) []*host {
		f.slow = 50 * time.Millisecond
		return nil
	})
	v := f.client()
	v.say("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
	v.want("200")
	f.batch(
		func() { v.setup(id(1), "free", "") },
		func() {
			f.node.clients[0].LastUsed = -100
			f.node.closeIdleClients()
			f.node.events <- event{do: func() {}}
		},
	)
	v.want("503") // no server holds it; the connection is closed or not, as the two come in one batch or in two
}
