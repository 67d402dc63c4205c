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

// The tests of this file force two events to cross; the table in docs/node.md names them.

// batch blocks the loop while steps are taken, and waits after each until it has brought the loop one event more: they are
// then one batch, in that order.
func (f *harness) batch(steps ...func()) {
	f.t.Helper()
	f.inspect(func(n *Node) {
		had := len(n.events)
		for _, step := range steps {
			step()
			for end := time.Now().Add(testTimeout); len(n.events) <= had; time.Sleep(100 * time.Microsecond) {
				if time.Now().After(end) {
					f.t.Error("a step brought the loop nothing")
					return
				}
			}
			had = len(n.events)
		}
	})
}

// stalledLink puts a connection in place of a server's, on which nothing leaves.
func (f *harness) stalledLink() *serverConn {
	f.t.Helper()
	a, b := net.Pipe()
	f.t.Cleanup(func() { b.Close() })
	return f.addLink(a)
}

// addLink puts a connection among those of the first server.
func (f *harness) addLink(nc net.Conn) (l *serverConn) {
	f.inspect(func(n *Node) {
		s := n.servers[0]
		l = &serverConn{conn: newConn(nc, zap.NewNop()), server: s, up: true, lastUsed: n.now}
		s.conns = append(s.conns, l)
	})
	f.t.Cleanup(func() { l.close() })
	return l
}

// breakLink ends such a connection as its reader would.
func (f *harness) breakLink(l *serverConn) {
	f.inspect(func(n *Node) { n.serverConnClosed(l, l.close(), errors.New("broken")) })
}

// setupText is a client's whole SETUP, with its patience in milliseconds.
func setupText(k, patience int) string {
	return fmt.Sprintf("SETUP rtsp://media/t1 RTSP/1.0\r\nCSeq: 1\r\nSession: %s\r\nSubject: paid\r\nX-Patience: %d\r\nX-Facts: home:0;copies:4;top:4\r\nContent-Length: %d\r\n\r\n%s",
		testID(k), patience, len(requestBody), requestBody)
}

// sendTerminate sends a signal to end, and waits until a further one is another wish.
func (f *harness) sendTerminate() {
	f.t.Helper()
	f.terminationSignals <- syscall.SIGTERM
	first := 0.0
	f.inspect(func(n *Node) { first = n.now })
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		now := first + 1 // once it is over
		f.inspect(func(n *Node) { now = n.now })
		if now > first+0.25 {
			return
		}
	}
}

// wantNoSetup tells that a host was sent no SETUP, once all that the node had to send it has come.
func (f *harness) wantNoSetup(h *fakeServer) {
	f.t.Helper()
	for {
		select {
		case x := <-h.received:
			if x.msg.Method == rtsp.Setup {
				f.t.Errorf("%s got a SETUP for %s", h.name, x.msg.Session())
			}
		default:
			return
		}
	}
}

// What is open when the process is told a second time to end is answered before its connections close: paid requests that
// may have run are torn down, the others busy-replied. Without finish both connections just closed.
func TestEndAnswersWhatIsOpen(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 256)
	v, w := f.connect(), f.connect()
	v.setup(testID(1), "paid", "")
	f.expectAt(rtsp.Setup, s1)
	f.inspect(func(n *Node) { // the next SETUP waits for a connection
		sv := n.servers[0]
		sv.conns = append(sv.conns, &serverConn{server: sv, cancelDial: func() {}})
	})
	w.setup(testID(2), "paid", "")
	f.waitFor("both are open", func(n *Node) bool { return n.openRequests == 2 })
	f.sendTerminate()
	f.terminationSignals <- syscall.SIGTERM
	v.expect("500")
	w.expect("503")
	code := <-f.exitCode
	f.exitCode <- code
	if code != lifecycle.ExitClean { // the platform counts other codes as crashes
		t.Errorf("exit %d", code)
	}
}

// A request is read in the instant in which the loop ends: it is answered as well.
func TestRequestReadAsTheLoopEnds(t *testing.T) {
	var s1 *fakeServer
	var w *peer
	f := newHarness(t, 256, func(f *harness) []*fakeServer {
		s1 = f.startServer("s-1")
		f.onLog = func(what string) {
			if what != "exit" {
				return
			}
			had := len(f.node.events)
			w.setup(testID(2), "free", "")
			for end := time.Now().Add(testTimeout); len(f.node.events) == had && time.Now().Before(end); {
				time.Sleep(100 * time.Microsecond)
			}
		}
		return []*fakeServer{s1}
	})
	v := f.connect()
	w = f.connect()
	v.setup(testID(1), "paid", "")
	f.expectAt(rtsp.Setup, s1)
	f.waitFor("both connections are known", func(n *Node) bool { return len(n.clients) == 2 })
	f.sendTerminate()
	f.terminationSignals <- syscall.SIGTERM // and nothing of the test's own in the queue
	w.expect("503")
	v.expect("500")
}

// An answer that is still being written when its connection has to give way leaves whole. It was thrown away.
func TestCutWaitsForTheAnswer(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	c := newConn(a, zap.NewNop())
	answer := refusalMessage(testID(1), rtsp.ServiceUnavailable, 0)
	c.send(answer)
	c.closeOnceFlushed()
	got := make([]byte, len(answer))
	if _, err := io.ReadFull(b, got); err != nil || string(got) != string(answer) {
		t.Errorf("%q came, %v", got, err)
	}
	if from, _ := c.send(answer); from >= 0 {
		t.Error("more is queued on a connection that is being closed")
	}
	c.close()
}

// A release is written to a client's connection that is just closing: it goes over another one. It was lost.
func TestReleaseCrossesAClose(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 256)
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte(setupText(1, 1500)))
	x, _ := f.expectAt(rtsp.Setup, s1)
	x.conn.answer(x.msg, 200, answerBody)
	f.waitFor("it stands", func(n *Node) bool { s := n.sessions[testID(1)]; return s != nil && s.state == established })
	w := f.connect()
	w.setup(testID(2), "free", "")
	f.serveNext(s1, w)
	f.batch(func() { x.conn.tearDown(testID(1), 16) }) // and its client, which reads nothing, goes
	f.waitFor("it is released", func(n *Node) bool { return n.sessions[testID(1)] == nil })
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
	if r := w.expect(rtsp.TearDown); r.Session() != testID(1) {
		t.Errorf("released %s", r.Session())
	}
}

// A handed session is released by its client before a connection to its server was opened: its server hears of it all the
// same. It was told nobody, and the session played on.
func TestReleaseBeforeAConnection(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 256)
	v := f.connect()
	f.batch(func() { v.setup(testID(1), "free", ";at:s-1") }, func() { v.tearDown(testID(1), 0) })
	if x, _ := f.expectAt(rtsp.TearDown, s1); x.msg.Session() != testID(1) || parseCause(x.msg) != causeMoved {
		t.Errorf("released %+v", x.msg.Header)
	}
	v.expect("200")
	f.waitFor("nothing is owed", func(n *Node) bool { return len(n.servers[0].pendingMessages) == 0 && len(n.sessions) == 0 })
}

// A drain is told after a SETUP was queued; its connection breaks before a byte of it left: it is not sent anew. It was
// sent to the draining server over a new connection, however long after.
func TestDrainBeforeTheSetupIsSentAnew(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 256)
	feed := f.acceptFollower()
	l := f.stalledLink()
	v := f.connect()
	v.setup(testID(1), "paid", "")
	f.waitFor("it is queued", func(*Node) bool { return len(l.setups) == 1 })
	fmt.Fprintf(feed, "%s\n", listEvent(2, false, listEntry("s-1", s1.Addr().String(), "draining")))
	f.waitFor("the drain is heard", func(n *Node) bool { return n.servers[0].state == choice.Draining })
	f.breakLink(l)
	v.expect("503")
	f.wantNoSetup(s1)
}

// A server ends each connection before a byte of the SETUP left: that goes over one new connection, not over any number.
func TestSetupIsSentAnewOnce(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 256)
	dams := []*serverConn{f.stalledLink(), f.stalledLink(), f.stalledLink()}
	v := f.connect()
	v.setup(testID(1), "paid", "")
	for range 2 {
		var l *serverConn
		f.waitFor("it is queued", func(n *Node) bool {
			i := slices.IndexFunc(dams, func(l *serverConn) bool { return len(l.setups) == 1 && !l.closed })
			if i >= 0 {
				l = dams[i]
			}
			return i >= 0
		})
		f.breakLink(l)
	}
	v.expect("503") // nothing of it ran
	f.wantNoSetup(s1)
}

// A client goes in the instant in which its SETUP is refused, before or after: there is no second SETUP.
func TestClientGoneBetweenTwoSetups(t *testing.T) {
	for name, gone := range map[string]func(v *peer){"closes": func(v *peer) { v.Close() }, "cancels": func(v *peer) { v.tearDown(testID(1), 0) }} {
		for _, first := range []string{"refused first", "gone first"} {
			t.Run(name+", "+first, func(t *testing.T) {
				var s [2]*fakeServer
				f := newHarness(t, 256, func(f *harness) []*fakeServer {
					s = [2]*fakeServer{f.startServer("s-1"), f.startServer("s-2")}
					return s[:]
				})
				v := f.connect()
				v.setup(testID(1), "free", "")
				x, h := f.expectAt(rtsp.Setup, s[:]...)
				steps := []func(){func() { x.conn.answer(x.msg, 453, "") }, func() { gone(v) }}
				if first == "gone first" {
					slices.Reverse(steps)
				}
				f.batch(steps...)
				f.waitFor("forgotten", func(n *Node) bool { return len(n.sessions) == 0 && n.openRequests == 0 })
				w := f.connect() // what comes next at the other server is another's
				w.setup(testID(2), "free", "")
				y, at := f.nextSetup(s[:]...)
				if y.msg.Session() != testID(2) {
					t.Errorf("%s got %s after its client had gone", at.name, y.msg.Session())
				}
				y.conn.answer(y.msg, 200, answerBody)
				w.expect("200")
				f.wantNoSetup(h)
			})
		}
	}
}

// nextSetup is the next SETUP, whatever comes before it.
func (f *harness) nextSetup(hosts ...*fakeServer) (receivedMessage, *fakeServer) {
	f.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, h := range hosts {
			select {
			case x := <-h.received:
				if x.msg.Method == rtsp.Setup {
					return x, h
				}
			default:
			}
		}
	}
	f.t.Fatal("no SETUP came")
	return receivedMessage{}, nil
}

// A connection comes up after the SETUP that waited for it was given up: it carries the next one, not that.
func TestConnectionComesUpTooLate(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 256)
	var l *serverConn
	f.inspect(func(n *Node) {
		l = &serverConn{server: n.servers[0], cancelDial: func() {}}
		n.servers[0].conns = []*serverConn{l}
	})
	v := f.connect()
	v.setup(testID(1), "paid", "")
	f.waitFor("it waits", func(*Node) bool { return len(l.setups) == 1 })
	v.Close()
	f.waitFor("it is given up", func(n *Node) bool { return n.openRequests == 0 && len(l.setups) == 0 })
	nc, err := net.Dial("tcp", s1.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	f.inspect(func(n *Node) { l.conn = newConn(nc, zap.NewNop()); n.serverConnOpened(l) })
	t.Cleanup(func() { l.close() })
	w := f.connect()
	w.setup(testID(2), "free", "")
	if x, _ := f.expectAt(rtsp.Setup, s1); x.msg.Session() != testID(2) {
		t.Errorf("a SETUP for %s", x.msg.Session())
	}
}

// SETUPs wait behind a server that reads nothing, one in its writer's hands and one behind it, when their clients go: neither
// leaves, though it reads again. They left as soon as it did.
func TestClientGoneBeforeTheSetupLeft(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 3) // one connection to the server
	a, b := net.Pipe()
	defer b.Close()
	l := f.addLink(a)
	var v [3]*peer
	for k := range v {
		v[k] = f.connect()
		v[k].setup(testID(k), "free", "")
		f.waitFor("it is queued", func(*Node) bool { return len(l.setups) == k+1 })
	}
	f.waitFor("the first is being written", func(*Node) bool { l.mu.Lock(); defer l.mu.Unlock(); return l.queuedTotal > int64(len(l.buffer)) })
	v[1].Close()
	f.waitFor("it is given up", func(*Node) bool { return len(l.setups) == 2 })
	f.inspect(func(*Node) {
		if x, y := l.setups[0], l.setups[1]; x.setupEnd != y.setupStart {
			t.Errorf("one ends at %d, the next begins at %d", x.setupEnd, y.setupStart)
		}
	})
	v[0].Close()
	f.waitFor("its connection is given up", func(n *Node) bool { return l.isClosing() && n.openRequests == 1 })
	if k, err := b.Read(make([]byte, 1)); err == nil {
		t.Errorf("%d bytes left", k)
	}
	f.breakLink(l) // as its reader tells
	if x, _ := f.expectAt(rtsp.Setup, s1); x.msg.Session() != testID(2) {
		t.Errorf("a SETUP for %s", x.msg.Session())
	}
}

// The answer and the client's TEARDOWN, or the answer and the time-out, come in one batch, either first: the client gets one
// answer at most, and what stands at the server unwanted is released there.
func TestAnswerCrosses(t *testing.T) {
	for _, answerFirst := range []bool{true, false} {
		t.Run(fmt.Sprintf("a TEARDOWN, answer first %v", answerFirst), func(t *testing.T) {
			f, s1 := newSingleServerHarness(t, 256)
			v := f.connect()
			v.setup(testID(1), "paid", "")
			x, _ := f.expectAt(rtsp.Setup, s1)
			steps := []func(){func() { x.conn.answer(x.msg, 200, answerBody) }, func() { v.tearDown(testID(1), 0) }}
			if !answerFirst {
				slices.Reverse(steps)
			}
			f.batch(steps...)
			for {
				if y, _ := f.expectAt(rtsp.TearDown, s1); parseCause(y.msg) == causeMoved {
					break
				}
			}
			seen := 0
			for m := v.next(); m.CSeq() != 2; m = v.next() {
				seen++
			}
			if seen > 1 || seen == 1 && !answerFirst {
				t.Errorf("%d answers", seen)
			}
			f.waitFor("forgotten", func(n *Node) bool { return len(n.sessions) == 0 && n.openRequests == 0 && len(n.abandonedSetups) == 0 })
		})
		t.Run(fmt.Sprintf("the time-out, answer first %v", answerFirst), func(t *testing.T) {
			f, s1 := newSingleServerHarness(t, 256)
			v := f.connect()
			v.setup(testID(1), "paid", "")
			x, _ := f.expectAt(rtsp.Setup, s1)
			timeOut := func() {
				s := f.node.sessions[testID(1)] // the loop is blocked
				f.node.events <- event{do: func() {
					if s.state == attempting {
						f.node.cancelTimeout(s.setupTimer)
						f.node.setupTimedOut(s)
					}
				}}
			}
			steps := []func(){func() { x.conn.answer(x.msg, 200, answerBody) }, timeOut}
			want := "200"
			if !answerFirst {
				slices.Reverse(steps)
				want = "500"
			}
			f.batch(steps...)
			v.expect(want)
			if !answerFirst {
				for {
					if y, _ := f.expectAt(rtsp.TearDown, s1); parseCause(y.msg) == causeMoved {
						break
					}
				}
			}
			v.sendf("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nSession: %s\r\nContent-Length: 0\r\n\r\n", testID(50))
			if m := v.expect("200"); m.Session() != testID(50) {
				t.Error("answered twice")
			}
		})
	}
}

// A server with all the connections that it takes refuses one more: what stands there goes on. It was released as lost.
func TestRefusedBesideALiveConnection(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 256)
	v := f.connect()
	v.setup(testID(1), "paid", "")
	x := f.serveNext(s1, v)
	s1.Listener.Close()
	v.setup(testID(2), "paid", "")
	y, _ := f.expectAt(rtsp.Setup, s1) // on the one connection that is up
	v.setup(testID(3), "paid", "")
	if m := v.expect("503"); m.Session() != testID(3) {
		t.Errorf("%s is refused", m.Session())
	}
	y.conn.answer(y.msg, 200, answerBody)
	v.expect("200")
	x.conn.tearDown(testID(1), 16)
	if r := v.expect(rtsp.TearDown); parseCause(r) != causeFinished || r.Session() != testID(1) {
		t.Errorf("released %+v", r.Header)
	}
}

// A server's process is started anew under its id and address, and answers tests: what stood there is released as soon as
// the list tells of the start. It stood for good.
func TestServerStartedAnew(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 256)
	feed := f.acceptFollower()
	v := f.connect()
	v.setup(testID(1), "free", "")
	f.serveNext(s1, v)
	anew := strings.Replace(listEntry("s-1", s1.Addr().String(), "up"), `"startedAtMs":0`, fmt.Sprintf(`"startedAtMs":%d`, time.Now().UnixMilli()+1), 1)
	fmt.Fprintf(feed, "%s\n", listEvent(2, false, anew))
	if r := v.expect(rtsp.TearDown); parseCause(r) != causeLost || r.Session() != testID(1) {
		t.Errorf("released %+v", r.Header)
	}
	f.waitFor("forgotten", func(n *Node) bool { return len(n.sessions) == 0 && len(n.servers[0].sessions) == 0 })
}

// A message that never ends stands behind a request that is open: that one is answered. Its connection was just closed.
func TestHalfAMessageBesideAnOpenRequest(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 256)
	v := f.connect()
	v.sendf("%s", setupText(1, 4000)) // longer than half a message is waited for
	f.expectAt(rtsp.Setup, s1)
	v.sendf("%s", setupText(2, 4000)[:50])
	if m := v.expect("500"); m.Session() != testID(1) {
		t.Errorf("%s is answered", m.Session())
	}
	v.expect("408")
	f.expectAt(rtsp.TearDown, s1)
}

// The server's answer finds its client's connection broken, of which the loop has not heard yet: nobody plays there, and the
// server is told. It played on for nobody.
func TestAnswerCrossesAClose(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 256)
	v := f.connect()
	v.setup(testID(1), "free", "")
	x, _ := f.expectAt(rtsp.Setup, s1)
	f.batch(func() { x.conn.answer(x.msg, 200, answerBody) }, func() { f.node.clients[0].closeOnceFlushed() })
	if y, _ := f.expectAt(rtsp.TearDown, s1); y.msg.Session() != testID(1) {
		t.Errorf("released %s", y.msg.Session())
	}
	f.waitFor("forgotten", func(n *Node) bool { return len(n.sessions) == 0 && len(n.clients) == 0 })
}

// Requests come in pieces: by the byte, two in one segment, and a piece before a close.
func TestRequestsInPieces(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 256)
	text := func(k int) string { return setupText(k, 1500) }
	v := f.connect()
	v.Conn.(*net.TCPConn).SetNoDelay(true)
	for _, b := range []byte(text(1)) {
		v.Write([]byte{b})
	}
	f.serveNext(s1, v)
	for k, at := range []int{20, strings.Index(text(1), "Subject") + 3, strings.Index(text(1), requestBody) + 5} {
		one := text(10 + k)
		v.sendf("%s", one[:at])
		f.inspect(func(*Node) {})
		v.sendf("%s", one[at:])
		f.serveNext(s1, v)
	}
	v.sendf("%s", text(2)+text(3))
	for range 2 {
		x, _ := f.expectAt(rtsp.Setup, s1)
		x.conn.answer(x.msg, 200, answerBody)
	}
	v.expect("200")
	v.expect("200")
	v.sendf("%s", text(4)[:50])
	v.Close()
	f.waitFor("it is gone", func(n *Node) bool { return len(n.clients) == 0 && n.openRequests == 0 && n.sessions[testID(4)] == nil })
}

// SIGHUP with the coordinator unchanged: its connection stays. It was opened anew, which is priced at hundreds of nodes.
func TestReloadOfTheSameCoordinator(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 256)
	feed := f.acceptFollower()
	read := make(chan bool, 1)
	f.reloadConfig = func() (*start.Start, error) {
		read <- true
		return &start.Start{Coordinator: f.coordinatorListener.Addr().String()}, nil
	}
	f.reloadSignals <- syscall.SIGHUP
	<-read
	f.inspect(func(*Node) {})
	fmt.Fprintf(feed, "%s\n", listEvent(2, false, listEntry("s-1", s1.Addr().String(), "draining")))
	f.waitFor("it is heard still", func(n *Node) bool { return n.servers[0].state == choice.Draining })
	if len(f.followers) > 0 {
		t.Error("it was asked anew")
	}
}

// The old coordinator's last event waits in the queue when the new one is followed, which tells it as well and one more:
// each is taken once, in order.
func TestReloadCrossesTheOldCoordinatorsLastEvent(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 256)
	feed := f.acceptFollower()
	l, follows := f.startCoordinator()
	f.reloadConfig = func() (*start.Start, error) { return &start.Start{Coordinator: l.Addr().String()}, nil }
	up, drains := listEvent(2, false, listEntry("s-1", s1.Addr().String(), "up")), listEvent(3, false, listEntry("s-1", s1.Addr().String(), "draining"))
	f.batch(
		func() { fmt.Fprintf(feed, "%s\n", up) },
		func() {
			lifecycleActions{f.node}.Reload() // it has heard up to 1
			c := <-follows
			if c.after != 1 {
				t.Errorf("follows %d", c.after)
			}
			t.Cleanup(func() { c.Close() })
			fmt.Fprintf(c, "%s\n%s\n", up, drains)
		})
	f.waitFor("all is heard", func(n *Node) bool { return n.lastIndex == 3 && n.servers[0].state == choice.Draining })
}

// Many servers and hundreds of silent clients on few descriptors, while discovery is down: a tenth of them stays free, idle
// connections to servers give way, and the node follows the coordinator as soon as it is back.
func TestDescriptorsInReserve(t *testing.T) {
	const sockets = 64
	f := newHarness(t, sockets, func(f *harness) (all []*fakeServer) {
		for k := range 60 {
			all = append(all, f.startServer(fmt.Sprintf("s-%02d", k)))
		}
		return all
	})
	f.acceptFollower().Close()
	for range 100 { // tests keep them from counting as silent
		v := f.connect()
		v.sendf("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
	}
	for k := range 60 {
		f.inspect(func(n *Node) { n.dialServer(n.servers[k]) })
		f.waitFor("it is up, or gave way", func(n *Node) bool {
			return !slices.ContainsFunc(n.servers[k].conns, func(l *serverConn) bool { return !l.up })
		})
	}
	f.waitFor("a tenth is free", func(n *Node) bool {
		if n.serverConnCount() > share.MaxServerConns(sockets) {
			t.Errorf("%d connections to servers", n.serverConnCount())
		}
		return len(n.clients)+n.serverConnCount() <= sockets*90/100 && len(n.servers[59].conns) == 1
	})
	f.acceptFollower()
}

// Two nodes one after the other at one address, and a third beside them, each with its own settings: none knows another's.
func TestNodesShareNothing(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 256)
	v := f.connect()
	v.setup(testID(1), "free", "")
	f.serveNext(s1, v)
	f.stop() // its client's connection lingers
	text := strings.NewReplacer(`"free"`, `"gratis"`, `"listen":"127.0.0.1:0"`, fmt.Sprintf(`"listen":%q`, f.addr), `"class_floor":[0,1]`, `"class_floor":[2,1]`).
		Replace(f.config(256, 1, listEvent(1, true, listEntry("s-1", s1.Addr().String(), "up"))))
	s, err := start.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	other, s2 := newSingleServerHarness(t, 256)
	next := &harness{t: t, addr: f.addr, exitCode: make(chan lifecycle.ExitCode, 1)}
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
		t.Fatal("it does not start")
	}
	t.Cleanup(next.stop)
	w, u := next.connect(), other.connect()
	w.setup(testID(1), "free", "")
	w.expect("400")
	u.setup(testID(1), "gratis", "")
	u.expect("400")
	w.setup(testID(1), "gratis", "")
	x, _ := next.expectAt(rtsp.Setup, s1)
	if q := x.msg.Header.Get("X-Quality"); q < "2" {
		t.Errorf("rung %s under its own floor", q)
	}
	u.setup(testID(1), "free", "")
	other.expectAt(rtsp.Setup, s2)
}
