package node

import (
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"rainhaven/choice"
	"rainhaven/choice/lifecycle"
	"rainhaven/choice/share"
	"rainhaven/internal/node/start"
	"rainhaven/internal/rtsp"
)

// The tests of this file force races between two events; the table in docs/node.md lists them.

// batch blocks the loop while it runs steps, and waits after each until it has queued one more event: the loop then
// handles the events as one batch, in that order.
func (h *harness) batch(steps ...func()) {
	h.t.Helper()
	h.inspect(func(n *Node) {
		queued := len(n.events)
		for _, step := range steps {
			step()
			for end := time.Now().Add(testTimeout); len(n.events) <= queued; time.Sleep(100 * time.Microsecond) {
				if time.Now().After(end) {
					h.t.Error("a step queued no event")
					return
				}
			}
			queued = len(n.events)
		}
	})
}

// addStalledServerConn adds a connection to the first server on which no byte leaves.
func (h *harness) addStalledServerConn() *serverConn {
	h.t.Helper()
	a, b := net.Pipe()
	h.t.Cleanup(func() { b.Close() })
	return h.addServerConn(a)
}

// addServerConn adds a connection to the first server.
func (h *harness) addServerConn(nc net.Conn) (sc *serverConn) {
	h.inspect(func(n *Node) {
		s := n.servers[0]
		sc = &serverConn{conn: newConn(nc, zap.NewNop()), server: s, up: true, lastUsed: n.now}
		s.conns = append(s.conns, sc)
	})
	h.t.Cleanup(func() { sc.close() })
	return sc
}

// breakServerConn ends a connection made by addServerConn or addStalledServerConn, as its reader would.
func (h *harness) breakServerConn(sc *serverConn) {
	h.inspect(func(n *Node) { n.serverConnClosed(sc, sc.close(), errors.New("broken")) })
}

// setupText returns a complete SETUP of a client, with its patience in milliseconds.
func setupText(k, patience int) string {
	return fmt.Sprintf("SETUP rtsp://media/t1 RTSP/1.0\r\nCSeq: 1\r\nSession: %s\r\nSubject: paid\r\nX-Patience: %d\r\nX-Facts: home:0;copies:4;top:4\r\nContent-Length: %d\r\n\r\n%s",
		testID(k), patience, len(requestBody), requestBody)
}

// sendTerminate sends a signal to end, and waits until a second one counts as another request to end.
func (h *harness) sendTerminate() {
	h.t.Helper()
	h.terminationSignals <- syscall.SIGTERM
	signalledAt := 0.0
	h.inspect(func(n *Node) { signalledAt = n.now })
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		now := signalledAt + 1 // if the loop has ended
		h.inspect(func(n *Node) { now = n.now })
		if now > signalledAt+0.25 {
			return
		}
	}
}

// wantNoSetup fails the test if a server has received a SETUP. All that the node had to send must have arrived before.
func (h *harness) wantNoSetup(s *fakeServer) {
	h.t.Helper()
	for {
		select {
		case x := <-s.received:
			if x.msg.Method == rtsp.Setup {
				h.t.Errorf("%s got a SETUP for %s", s.name, x.msg.Session())
			}
		default:
			return
		}
	}
}

// Requests that are open at the second signal to end are answered before their connections close: paid ones that may
// have run fail, the others get a busy reply. Before shutDown answered them, both connections were just closed.
func TestEndAnswersWhatIsOpen(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl, other := h.connect(), h.connect()
	cl.setup(testID(1), "paid", "")
	h.expectAt(rtsp.Setup, s1)
	h.inspect(func(n *Node) { // the next SETUP waits for a connection
		sv := n.servers[0]
		sv.conns = append(sv.conns, &serverConn{server: sv, cancelDial: func() {}})
	})
	other.setup(testID(2), "paid", "")
	h.waitFor("both requests are open", func(n *Node) bool { return n.openRequests == 2 })
	h.sendTerminate()
	h.terminationSignals <- syscall.SIGTERM
	cl.expect("500")
	other.expect("503")
	code := <-h.exitCode
	h.exitCode <- code
	if code != lifecycle.ExitClean { // the platform counts other codes as crashes
		t.Errorf("exit %d", code)
	}
}

// A request that is read as the loop ends is answered as well.
func TestRequestReadAsTheLoopEnds(t *testing.T) {
	var s1 *fakeServer
	var other *peer
	h := newHarness(t, 256, func(h *harness) []*fakeServer {
		s1 = h.startServer("s-1")
		h.onLog = func(what string) {
			if what != "exit" {
				return
			}
			had := len(h.node.events)
			other.setup(testID(2), "free", "")
			for end := time.Now().Add(testTimeout); len(h.node.events) == had && time.Now().Before(end); {
				time.Sleep(100 * time.Microsecond)
			}
		}
		return []*fakeServer{s1}
	})
	cl := h.connect()
	other = h.connect()
	cl.setup(testID(1), "paid", "")
	h.expectAt(rtsp.Setup, s1)
	h.waitFor("both connections are known", func(n *Node) bool { return len(n.clients) == 2 })
	h.sendTerminate()
	h.terminationSignals <- syscall.SIGTERM // with no event of the test itself in the queue
	other.expect("503")
	cl.expect("500")
}

// An answer that is still being written when its connection is evicted is written whole. It was discarded.
func TestCutWaitsForTheAnswer(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	c := newConn(a, zap.NewNop())
	answer := refusalMessage(testID(1), rtsp.ServiceUnavailable, 0)
	c.send(answer)
	c.closeOnceFlushed()
	got := make([]byte, len(answer))
	if _, err := io.ReadFull(b, got); err != nil || string(got) != string(answer) {
		t.Errorf("received %q, %v", got, err)
	}
	if from, _ := c.send(answer); from >= 0 {
		t.Error("a message was queued on a connection that is being closed")
	}
	c.close()
}

// A release written to a client's connection that is just closing is sent over another one. It was lost.
func TestReleaseCrossesAClose(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	c, err := net.Dial("tcp", h.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte(setupText(1, 1500)))
	x, _ := h.expectAt(rtsp.Setup, s1)
	x.conn.answer(x.msg, 200, answerBody)
	h.waitFor("the session is established", func(n *Node) bool { s := n.sessions[testID(1)]; return s != nil && s.state == established })
	other := h.connect()
	other.setup(testID(2), "free", "")
	h.serveNext(s1, other)
	h.batch(func() { x.conn.tearDown(testID(1), 16) }) // its client, which reads nothing, closes next
	h.waitFor("the session is released", func(n *Node) bool { return n.sessions[testID(1)] == nil })
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
	if r := other.expect(rtsp.TearDown); r.Session() != testID(1) {
		t.Errorf("released %s", r.Session())
	}
}

// A session that was handed over is released by its client before a connection to its server was opened: the server is
// notified all the same. It was not, and the session played on.
func TestReleaseBeforeAConnection(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl := h.connect()
	h.batch(func() { cl.setup(testID(1), "free", ";at:s-1") }, func() { cl.tearDown(testID(1), 0) })
	if x, _ := h.expectAt(rtsp.TearDown, s1); x.msg.Session() != testID(1) || parseCause(x.msg) != causeMoved {
		t.Errorf("released %+v", x.msg.Header)
	}
	cl.expect("200")
	h.waitFor("nothing is owed", func(n *Node) bool { return len(n.servers[0].pendingMessages) == 0 && len(n.sessions) == 0 })
}

// A drain is reported after a SETUP was queued, and the connection breaks before a byte of it was written: it is not
// sent again. It was sent to the draining server over a new connection, however long after.
func TestDrainBeforeTheSetupIsSentAnew(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	feed := h.acceptFollower()
	sc := h.addStalledServerConn()
	cl := h.connect()
	cl.setup(testID(1), "paid", "")
	h.waitFor("the SETUP is queued", func(*Node) bool { return len(sc.setups) == 1 })
	fmt.Fprintf(feed, "%s\n", listEvent(2, false, listEntry("s-1", s1.Addr().String(), "draining")))
	h.waitFor("the drain is handled", func(n *Node) bool { return n.servers[0].state == choice.Draining })
	h.breakServerConn(sc)
	cl.expect("503")
	h.wantNoSetup(s1)
}

// A server ends each connection before a byte of the SETUP was written: the SETUP is sent over one new connection, not
// over any number of them.
func TestSetupIsSentAnewOnce(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	stalled := []*serverConn{h.addStalledServerConn(), h.addStalledServerConn(), h.addStalledServerConn()}
	cl := h.connect()
	cl.setup(testID(1), "paid", "")
	for range 2 {
		var sc *serverConn
		h.waitFor("the SETUP is queued", func(n *Node) bool {
			i := slices.IndexFunc(stalled, func(sc *serverConn) bool { return len(sc.setups) == 1 && !sc.closed })
			if i >= 0 {
				sc = stalled[i]
			}
			return i >= 0
		})
		h.breakServerConn(sc)
	}
	cl.expect("503") // the SETUP never ran
	h.wantNoSetup(s1)
}

// A client leaves at the instant at which its SETUP is refused, just before or after: there is no second SETUP.
func TestClientGoneBetweenTwoSetups(t *testing.T) {
	for name, leave := range map[string]func(v *peer){"closes": func(v *peer) { v.Close() }, "cancels": func(v *peer) { v.tearDown(testID(1), 0) }} {
		for _, order := range []string{"refused first", "gone first"} {
			t.Run(name+", "+order, func(t *testing.T) {
				var servers [2]*fakeServer
				h := newHarness(t, 256, func(h *harness) []*fakeServer {
					servers = [2]*fakeServer{h.startServer("s-1"), h.startServer("s-2")}
					return servers[:]
				})
				cl := h.connect()
				cl.setup(testID(1), "free", "")
				x, fs := h.expectAt(rtsp.Setup, servers[:]...)
				steps := []func(){func() { x.conn.answer(x.msg, 453, "") }, func() { leave(cl) }}
				if order == "gone first" {
					slices.Reverse(steps)
				}
				h.batch(steps...)
				h.waitFor("the session is removed", func(n *Node) bool { return len(n.sessions) == 0 && n.openRequests == 0 })
				other := h.connect() // the next SETUP at the other server must be of this client
				other.setup(testID(2), "free", "")
				y, at := h.nextSetup(servers[:]...)
				if y.msg.Session() != testID(2) {
					t.Errorf("%s received %s after its client had left", at.name, y.msg.Session())
				}
				y.conn.answer(y.msg, 200, answerBody)
				other.expect("200")
				h.wantNoSetup(fs)
			})
		}
	}
}

// nextSetup returns the next SETUP at any of the servers and skips other messages.
func (h *harness) nextSetup(servers ...*fakeServer) (receivedMessage, *fakeServer) {
	h.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, fs := range servers {
			select {
			case x := <-fs.received:
				if x.msg.Method == rtsp.Setup {
					return x, fs
				}
			default:
			}
		}
	}
	h.t.Fatal("no SETUP received")
	return receivedMessage{}, nil
}

// A connection is opened after the SETUP that waited for it was given up: the next SETUP is sent on it, not that one.
func TestConnectionComesUpTooLate(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	var sc *serverConn
	h.inspect(func(n *Node) {
		sc = &serverConn{server: n.servers[0], cancelDial: func() {}}
		n.servers[0].conns = []*serverConn{sc}
	})
	cl := h.connect()
	cl.setup(testID(1), "paid", "")
	h.waitFor("the SETUP waits for the connection", func(*Node) bool { return len(sc.setups) == 1 })
	cl.Close()
	h.waitFor("the SETUP is given up", func(n *Node) bool { return n.openRequests == 0 && len(sc.setups) == 0 })
	nc, err := net.Dial("tcp", s1.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	h.inspect(func(n *Node) { sc.conn = newConn(nc, zap.NewNop()); n.serverConnOpened(sc) })
	t.Cleanup(func() { sc.close() })
	other := h.connect()
	other.setup(testID(2), "free", "")
	if x, _ := h.expectAt(rtsp.Setup, s1); x.msg.Session() != testID(2) {
		t.Errorf("received a SETUP for %s", x.msg.Session())
	}
}

// Two SETUPs wait for a server that reads nothing, one held by the writer and one queued behind it, when their clients
// leave: neither is sent, although the server reads again. They were sent as soon as it did.
func TestClientGoneBeforeTheSetupLeft(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 3) // allows one connection to the server
	a, b := net.Pipe()
	defer b.Close()
	sc := h.addServerConn(a)
	var v [3]*peer
	for k := range v {
		v[k] = h.connect()
		v[k].setup(testID(k), "free", "")
		h.waitFor("the SETUP is queued", func(*Node) bool { return len(sc.setups) == k+1 })
	}
	h.waitFor("the first is being written", func(*Node) bool { sc.mu.Lock(); defer sc.mu.Unlock(); return sc.queuedTotal > int64(len(sc.buffer)) })
	v[1].Close()
	h.waitFor("the SETUP is given up", func(*Node) bool { return len(sc.setups) == 2 })
	h.inspect(func(*Node) {
		if x, y := sc.setups[0], sc.setups[1]; x.setupEnd != y.setupStart {
			t.Errorf("one SETUP ends at %d, the next begins at %d", x.setupEnd, y.setupStart)
		}
	})
	v[0].Close()
	h.waitFor("the connection is closed", func(n *Node) bool { return sc.isClosing() && n.openRequests == 1 })
	if k, err := b.Read(make([]byte, 1)); err == nil {
		t.Errorf("%d bytes were written", k)
	}
	h.breakServerConn(sc) // as its reader reports
	if x, _ := h.expectAt(rtsp.Setup, s1); x.msg.Session() != testID(2) {
		t.Errorf("received a SETUP for %s", x.msg.Session())
	}
}

// The answer arrives in one batch with the client's TEARDOWN or the time-out, in either order: the client gets at most
// one answer, and a session that is established at the server but unwanted is released there.
func TestAnswerCrosses(t *testing.T) {
	for _, answerFirst := range []bool{true, false} {
		t.Run(fmt.Sprintf("TEARDOWN, answer first %v", answerFirst), func(t *testing.T) {
			h, s1 := newSingleServerHarness(t, 256)
			cl := h.connect()
			cl.setup(testID(1), "paid", "")
			x, _ := h.expectAt(rtsp.Setup, s1)
			steps := []func(){func() { x.conn.answer(x.msg, 200, answerBody) }, func() { cl.tearDown(testID(1), 0) }}
			if !answerFirst {
				slices.Reverse(steps)
			}
			h.batch(steps...)
			for {
				if y, _ := h.expectAt(rtsp.TearDown, s1); parseCause(y.msg) == causeMoved {
					break
				}
			}
			seen := 0
			for m := cl.next(); m.CSeq() != 2; m = cl.next() {
				seen++
			}
			if seen > 1 || seen == 1 && !answerFirst {
				t.Errorf("%d answers", seen)
			}
			h.waitFor("the session is removed", func(n *Node) bool { return len(n.sessions) == 0 && n.openRequests == 0 && len(n.abandonedSetups) == 0 })
		})
		t.Run(fmt.Sprintf("time-out, answer first %v", answerFirst), func(t *testing.T) {
			h, s1 := newSingleServerHarness(t, 256)
			cl := h.connect()
			cl.setup(testID(1), "paid", "")
			x, _ := h.expectAt(rtsp.Setup, s1)
			timeOut := func() {
				s := h.node.sessions[testID(1)] // the loop is blocked
				h.node.events <- event{do: func() {
					if s.state == attempting {
						h.node.cancelTimeout(s.setupTimer)
						h.node.setupTimedOut(s)
					}
				}}
			}
			steps := []func(){func() { x.conn.answer(x.msg, 200, answerBody) }, timeOut}
			want := "200"
			if !answerFirst {
				slices.Reverse(steps)
				want = "500"
			}
			h.batch(steps...)
			cl.expect(want)
			if !answerFirst {
				for {
					if y, _ := h.expectAt(rtsp.TearDown, s1); parseCause(y.msg) == causeMoved {
						break
					}
				}
			}
			cl.sendf("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nSession: %s\r\nContent-Length: 0\r\n\r\n", testID(50))
			if m := cl.expect("200"); m.Session() != testID(50) {
				t.Error("answered twice")
			}
		})
	}
}

// A server at its limit of connections refuses one more: its sessions go on. They were released as lost.
func TestRefusedBesideALiveConnection(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl := h.connect()
	cl.setup(testID(1), "paid", "")
	x := h.serveNext(s1, cl)
	s1.Listener.Close()
	cl.setup(testID(2), "paid", "")
	y, _ := h.expectAt(rtsp.Setup, s1) // over the one open connection
	cl.setup(testID(3), "paid", "")
	if m := cl.expect("503"); m.Session() != testID(3) {
		t.Errorf("%s was refused", m.Session())
	}
	y.conn.answer(y.msg, 200, answerBody)
	cl.expect("200")
	x.conn.tearDown(testID(1), 16)
	if r := cl.expect(rtsp.TearDown); parseCause(r) != causeFinished || r.Session() != testID(1) {
		t.Errorf("released %+v", r.Header)
	}
}

// A server's process is restarted under its id and address, and answers probes: its earlier sessions are released as
// soon as the list reports the start. They were kept for ever.
func TestServerStartedAnew(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	feed := h.acceptFollower()
	cl := h.connect()
	cl.setup(testID(1), "free", "")
	h.serveNext(s1, cl)
	anew := strings.Replace(listEntry("s-1", s1.Addr().String(), "up"), `"startedAtMs":0`, fmt.Sprintf(`"startedAtMs":%d`, time.Now().UnixMilli()+1), 1)
	fmt.Fprintf(feed, "%s\n", listEvent(2, false, anew))
	if r := cl.expect(rtsp.TearDown); parseCause(r) != causeLost || r.Session() != testID(1) {
		t.Errorf("released %+v", r.Header)
	}
	h.waitFor("the session is removed", func(n *Node) bool { return len(n.sessions) == 0 && len(n.servers[0].sessions) == 0 })
}

// A server's answer and the report of its restart are read in the same turn of the loop, the answer first: the session is
// released. It was kept for ever, as its time was not before that of the start.
func TestServerStartedAnewInTheTurnOfItsAnswer(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	feed := h.acceptFollower()
	cl := h.connect()
	cl.setup(testID(1), "free", "")
	x, _ := h.expectAt(rtsp.Setup, s1)
	resume := h.pauseLoop()
	x.conn.answer(x.msg, 200, answerBody)
	h.waitForQueuedEvents(1)
	startedAtMs := time.Now().UnixMilli() + 1
	restarted := strings.Replace(listEntry("s-1", s1.Addr().String(), "up"), `"startedAtMs":0`, fmt.Sprintf(`"startedAtMs":%d`, startedAtMs), 1)
	fmt.Fprintf(feed, "%s\n", listEvent(2, false, restarted))
	h.waitForQueuedEvents(2)
	resume()
	cl.expect("200")
	if r := cl.expect(rtsp.TearDown); parseCause(r) != causeLost || r.Session() != testID(1) {
		t.Errorf("released %+v", r.Header)
	}
	h.waitFor("the session is removed", func(n *Node) bool { return len(n.sessions) == 0 && len(n.servers[0].sessions) == 0 })
}

// A message that never ends follows an open request: that request is answered. Its connection was just closed.
func TestHalfAMessageBesideAnOpenRequest(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl := h.connect()
	cl.sendf("%s", setupText(1, 4000)) // longer than the time limit of a message
	h.expectAt(rtsp.Setup, s1)
	cl.sendf("%s", setupText(2, 4000)[:50])
	if m := cl.expect("500"); m.Session() != testID(1) {
		t.Errorf("%s was answered", m.Session())
	}
	cl.expect("408")
	h.expectAt(rtsp.TearDown, s1)
}

// The server's answer meets a broken connection of its client, before the loop is notified of the break: nobody plays
// the session, and the server is notified. It played on for nobody.
func TestAnswerCrossesAClose(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl := h.connect()
	cl.setup(testID(1), "free", "")
	x, _ := h.expectAt(rtsp.Setup, s1)
	h.batch(func() { x.conn.answer(x.msg, 200, answerBody) }, func() { h.node.clients[0].closeOnceFlushed() })
	if y, _ := h.expectAt(rtsp.TearDown, s1); y.msg.Session() != testID(1) {
		t.Errorf("released %s", y.msg.Session())
	}
	h.waitFor("the session is removed", func(n *Node) bool { return len(n.sessions) == 0 && len(n.clients) == 0 })
}

// Requests arrive in pieces: byte by byte, two in one segment, and a part before a close.
func TestRequestsInPieces(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	text := func(k int) string { return setupText(k, 1500) }
	cl := h.connect()
	cl.Conn.(*net.TCPConn).SetNoDelay(true)
	for _, b := range []byte(text(1)) {
		cl.Write([]byte{b})
	}
	h.serveNext(s1, cl)
	for k, at := range []int{20, strings.Index(text(1), "Subject") + 3, strings.Index(text(1), requestBody) + 5} {
		one := text(10 + k)
		cl.sendf("%s", one[:at])
		h.inspect(func(*Node) {})
		cl.sendf("%s", one[at:])
		h.serveNext(s1, cl)
	}
	cl.sendf("%s", text(2)+text(3))
	for range 2 {
		x, _ := h.expectAt(rtsp.Setup, s1)
		x.conn.answer(x.msg, 200, answerBody)
	}
	cl.expect("200")
	cl.expect("200")
	cl.sendf("%s", text(4)[:50])
	cl.Close()
	h.waitFor("the client is removed", func(n *Node) bool { return len(n.clients) == 0 && n.openRequests == 0 && n.sessions[testID(4)] == nil })
}

// SIGHUP with an unchanged coordinator keeps its connection. It was opened again, which the platform charges for at
// hundreds of nodes.
func TestReloadOfTheSameCoordinator(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	feed := h.acceptFollower()
	read := make(chan bool, 1)
	h.reloadConfig = func() (*start.Config, error) {
		read <- true
		return &start.Config{Coordinator: h.coordinatorListener.Addr().String()}, nil
	}
	h.reloadSignals <- syscall.SIGHUP
	<-read
	h.inspect(func(*Node) {})
	fmt.Fprintf(feed, "%s\n", listEvent(2, false, listEntry("s-1", s1.Addr().String(), "draining")))
	h.waitFor("the coordinator is still followed", func(n *Node) bool { return n.servers[0].state == choice.Draining })
	if len(h.followers) > 0 {
		t.Error("a new connection to the coordinator was opened")
	}
}

// The old coordinator's last event is still queued when the new one is followed, which sends it as well and one more:
// each is handled once, in order.
func TestReloadCrossesTheOldCoordinatorsLastEvent(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	feed := h.acceptFollower()
	listener, follows := h.startCoordinator()
	h.reloadConfig = func() (*start.Config, error) { return &start.Config{Coordinator: listener.Addr().String()}, nil }
	up, drains := listEvent(2, false, listEntry("s-1", s1.Addr().String(), "up")), listEvent(3, false, listEntry("s-1", s1.Addr().String(), "draining"))
	h.batch(
		func() { fmt.Fprintf(feed, "%s\n", up) },
		func() {
			lifecycleActions{h.node}.Reload() // the last event handled is 1
			c := <-follows
			if c.after != 1 {
				t.Errorf("follows from event %d", c.after)
			}
			t.Cleanup(func() { c.Close() })
			fmt.Fprintf(c, "%s\n%s\n", up, drains)
		})
	h.waitFor("all events are handled", func(n *Node) bool { return n.lastIndex == 3 && n.servers[0].state == choice.Draining })
}

// Many servers and hundreds of silent clients share few descriptors while discovery is down: a tenth of the
// descriptors stays free, idle connections to servers are closed for new ones, and the node follows the coordinator as
// soon as it is back.
func TestDescriptorsInReserve(t *testing.T) {
	const sockets = 64
	h := newHarness(t, sockets, func(h *harness) (all []*fakeServer) {
		for k := range 60 {
			all = append(all, h.startServer(fmt.Sprintf("s-%02d", k)))
		}
		return all
	})
	h.acceptFollower().Close()
	for range 100 { // after a probe they do not count as silent
		cl := h.connect()
		cl.sendf("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
	}
	for k := range 60 {
		h.inspect(func(n *Node) { n.dialServer(n.servers[k]) })
		h.waitFor("the connection is open, or was closed to make room", func(n *Node) bool {
			return !slices.ContainsFunc(n.servers[k].conns, func(sc *serverConn) bool { return !sc.up })
		})
	}
	h.waitFor("a tenth of the descriptors is free", func(n *Node) bool {
		if n.serverConnCount() > share.MaxServerConns(sockets) {
			t.Errorf("%d connections to servers", n.serverConnCount())
		}
		return len(n.clients)+n.serverConnCount() <= sockets*90/100 && len(n.servers[59].conns) == 1
	})
	h.acceptFollower()
}

// Two nodes run one after the other at one address, and a third beside them, each with its own settings: none uses
// another's.
func TestNodesShareNothing(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl := h.connect()
	cl.setup(testID(1), "free", "")
	h.serveNext(s1, cl)
	h.stop() // its client's connection stays open
	text := strings.NewReplacer(`"free"`, `"gratis"`, `"listen":"127.0.0.1:0"`, fmt.Sprintf(`"listen":%q`, h.addr), `"class_floor":[0,1]`, `"class_floor":[2,1]`).
		Replace(h.config(256, 1, listEvent(1, true, listEntry("s-1", s1.Addr().String(), "up"))))
	s, err := start.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	other, s2 := newSingleServerHarness(t, 256)
	next := &harness{t: t, addr: h.addr, exitCode: make(chan lifecycle.ExitCode, 1)}
	got := make(chan *Node, 1)
	go func() {
		code, err := Run(Options{Config: s, Log: zap.NewNop(), onServing: func(n *Node) { got <- n }})
		if err != nil {
			t.Error(err)
		}
		next.exitCode <- code
	}()
	select {
	case next.node = <-got:
	case <-next.exitCode:
		t.Fatal("the node does not start")
	}
	t.Cleanup(next.stop)
	nextClient, otherClient := next.connect(), other.connect()
	nextClient.setup(testID(1), "free", "")
	nextClient.expect("400")
	otherClient.setup(testID(1), "gratis", "")
	otherClient.expect("400")
	nextClient.setup(testID(1), "gratis", "")
	x, _ := next.expectAt(rtsp.Setup, s1)
	if q := x.msg.Header.Get("X-Quality"); q < "2" {
		t.Errorf("rung %s is below the node's own floor", q)
	}
	otherClient.setup(testID(1), "free", "")
	other.expectAt(rtsp.Setup, s2)
}

// A drain is told while SETUPs wait behind a server that reads nothing: they are taken back, those in the queue at once and the one
// that is being written shortly after. They left when the server read again.
func TestDrainBeforeQueuedSetupsLeft(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 3) // allows one connection to the server
	feed := h.acceptFollower()
	a, b := net.Pipe()
	defer b.Close()
	sc := h.addServerConn(a)
	for k := range 3 {
		h.connect().sendf("%s", setupText(k, 4000))
		h.waitFor("the SETUP is queued", func(*Node) bool { return len(sc.setups) == k+1 })
	}
	h.waitFor("the first is being written", func(*Node) bool { sc.mu.Lock(); defer sc.mu.Unlock(); return sc.queuedTotal > int64(len(sc.buffer)) })
	toldAt := time.Now()
	fmt.Fprintf(feed, "%s\n", listEvent(2, false, listEntry("s-1", s1.Addr().String(), "draining")))
	h.waitFor("the queued SETUPs are taken back", func(*Node) bool { return len(sc.setups) <= 1 })
	h.waitFor("the SETUP that is being written is taken back", func(n *Node) bool { return len(sc.setups) == 0 && n.openRequests == 0 })
	if waited := time.Since(toldAt); waited > 2*time.Second {
		t.Errorf("taken back %v later, at the SETUPs' own time limit", waited)
	}
	if k, err := b.Read(make([]byte, 1)); err == nil {
		t.Errorf("%d bytes were written", k)
	}
	h.breakServerConn(sc) // as its reader reports
}
