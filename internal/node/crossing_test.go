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
func (f *farm) batch(steps ...func()) {
	f.t.Helper()
	f.see(func(n *Node) {
		queued := len(n.events)
		for _, step := range steps {
			step()
			for end := time.Now().Add(patience); len(n.events) <= queued; time.Sleep(100 * time.Microsecond) {
				if time.Now().After(end) {
					f.t.Error("a step queued no event")
					return
				}
			}
			queued = len(n.events)
		}
	})
}

// stalledLink adds a connection to the first server on which no byte leaves.
func (f *farm) stalledLink() *link {
	f.t.Helper()
	a, b := net.Pipe()
	f.t.Cleanup(func() { b.Close() })
	return f.addLink(a)
}

// addLink adds a connection to the first server.
func (f *farm) addLink(nc net.Conn) (l *link) {
	f.see(func(n *Node) {
		s := n.servers[0]
		l = &link{conn: newConn(nc, zap.NewNop()), sv: s, up: true, used: n.now}
		s.conns = append(s.conns, l)
	})
	f.t.Cleanup(func() { l.close() })
	return l
}

// breakLink ends a connection made by addLink or stalledLink, as its reader would.
func (f *farm) breakLink(l *link) {
	f.see(func(n *Node) { n.serverConnClosed(l, l.close(), errors.New("broken")) })
}

// setupText returns a complete SETUP of a client, with its patience in milliseconds.
func setupText(k, patience int) string {
	return fmt.Sprintf("SETUP rtsp://media/t1 RTSP/1.0\r\nCSeq: 1\r\nSession: %s\r\nSubject: paid\r\nX-Patience: %d\r\nX-Facts: home:0;copies:4;top:4\r\nContent-Length: %d\r\n\r\n%s",
		id(k), patience, len(sdp), sdp)
}

// sendTerminate sends a signal to end, and waits until a second one counts as another request to end.
func (f *farm) sendTerminate() {
	f.t.Helper()
	f.ends <- syscall.SIGTERM
	signalledAt := 0.0
	f.see(func(n *Node) { signalledAt = n.now })
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		now := signalledAt + 1 // if the loop has ended
		f.see(func(n *Node) { now = n.now })
		if now > signalledAt+0.25 {
			return
		}
	}
}

// wantNoSetup fails the test if a host has received a SETUP. All that the node had to send must have arrived before.
func (f *farm) wantNoSetup(h *host) {
	f.t.Helper()
	for {
		select {
		case x := <-h.seen:
			if x.m.Method == rtsp.Setup {
				f.t.Errorf("%s got a SETUP for %s", h.name, x.m.Session())
			}
		default:
			return
		}
	}
}

// Requests that are open at the second signal to end are answered before their connections close: paid ones that may
// have run fail, the others get a busy reply. Without finish both connections were just closed.
func TestEndAnswersWhatIsOpen(t *testing.T) {
	f, s1 := single(t, 256)
	v, w := f.client(), f.client()
	v.setup(id(1), "paid", "")
	f.wanted(rtsp.Setup, s1)
	f.see(func(n *Node) { // the next SETUP waits for a connection
		sv := n.servers[0]
		sv.conns = append(sv.conns, &link{sv: sv, stop: func() {}})
	})
	w.setup(id(2), "paid", "")
	f.until("both requests are open", func(n *Node) bool { return n.open == 2 })
	f.sendTerminate()
	f.ends <- syscall.SIGTERM
	v.want("500")
	w.want("503")
	code := <-f.over
	f.over <- code
	if code != lifecycle.ExitClean { // the platform counts other codes as crashes
		t.Errorf("exit %d", code)
	}
}

// A request that is read as the loop ends is answered as well.
func TestRequestReadAsTheLoopEnds(t *testing.T) {
	var s1 *host
	var w *peer
	f := newFarm(t, 256, func(f *farm) []*host {
		s1 = f.host("s-1")
		f.logged = func(what string) {
			if what != "exit" {
				return
			}
			had := len(f.node.events)
			w.setup(id(2), "free", "")
			for end := time.Now().Add(patience); len(f.node.events) == had && time.Now().Before(end); {
				time.Sleep(100 * time.Microsecond)
			}
		}
		return []*host{s1}
	})
	v := f.client()
	w = f.client()
	v.setup(id(1), "paid", "")
	f.wanted(rtsp.Setup, s1)
	f.until("both connections are known", func(n *Node) bool { return len(n.clients) == 2 })
	f.sendTerminate()
	f.ends <- syscall.SIGTERM // with no event of the test itself in the queue
	w.want("503")
	v.want("500")
}

// An answer that is still being written when its connection is evicted is written whole. It was discarded.
func TestCutWaitsForTheAnswer(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	c := newConn(a, zap.NewNop())
	answer := refusalMessage(id(1), rtsp.ServiceUnavailable, 0)
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
	f, s1 := single(t, 256)
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte(setupText(1, 1500)))
	x, _ := f.wanted(rtsp.Setup, s1)
	x.on.answer(x.m, 200, given)
	f.until("the session is established", func(n *Node) bool { s := n.sessions[id(1)]; return s != nil && s.state == established })
	w := f.client()
	w.setup(id(2), "free", "")
	f.serve(s1, w)
	f.batch(func() { x.on.tearDown(id(1), 16) }) // its client, which reads nothing, closes next
	f.until("the session is released", func(n *Node) bool { return n.sessions[id(1)] == nil })
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
	if r := w.want(rtsp.TearDown); r.Session() != id(1) {
		t.Errorf("released %s", r.Session())
	}
}

// A session that was handed over is released by its client before a connection to its server was opened: the server is
// notified all the same. It was not, and the session played on.
func TestReleaseBeforeAConnection(t *testing.T) {
	f, s1 := single(t, 256)
	v := f.client()
	f.batch(func() { v.setup(id(1), "free", ";at:s-1") }, func() { v.tearDown(id(1), 0) })
	if x, _ := f.wanted(rtsp.TearDown, s1); x.m.Session() != id(1) || parseCause(x.m) != causeMoved {
		t.Errorf("released %+v", x.m.Header)
	}
	v.want("200")
	f.until("nothing is owed", func(n *Node) bool { return len(n.servers[0].owed) == 0 && len(n.sessions) == 0 })
}

// A drain is reported after a SETUP was queued, and the connection breaks before a byte of it was written: it is not
// sent again. It was sent to the draining server over a new connection, however long after.
func TestDrainBeforeTheSetupIsSentAnew(t *testing.T) {
	f, s1 := single(t, 256)
	feed := f.followed()
	l := f.stalledLink()
	v := f.client()
	v.setup(id(1), "paid", "")
	f.until("the SETUP is queued", func(*Node) bool { return len(l.open) == 1 })
	fmt.Fprintf(feed, "%s\n", change(2, false, entry("s-1", s1.Addr().String(), "draining")))
	f.until("the drain is handled", func(n *Node) bool { return n.servers[0].state == choice.Draining })
	f.breakLink(l)
	v.want("503")
	f.wantNoSetup(s1)
}

// A server ends each connection before a byte of the SETUP was written: the SETUP is sent over one new connection, not
// over any number of them.
func TestSetupIsSentAnewOnce(t *testing.T) {
	f, s1 := single(t, 256)
	dams := []*link{f.stalledLink(), f.stalledLink(), f.stalledLink()}
	v := f.client()
	v.setup(id(1), "paid", "")
	for range 2 {
		var l *link
		f.until("the SETUP is queued", func(n *Node) bool {
			i := slices.IndexFunc(dams, func(l *link) bool { return len(l.open) == 1 && !l.closed })
			if i >= 0 {
				l = dams[i]
			}
			return i >= 0
		})
		f.breakLink(l)
	}
	v.want("503") // the SETUP never ran
	f.wantNoSetup(s1)
}

// A client leaves at the instant at which its SETUP is refused, just before or after: there is no second SETUP.
func TestClientGoneBetweenTwoSetups(t *testing.T) {
	for name, leave := range map[string]func(v *peer){"closes": func(v *peer) { v.Close() }, "cancels": func(v *peer) { v.tearDown(id(1), 0) }} {
		for _, order := range []string{"refused first", "gone first"} {
			t.Run(name+", "+order, func(t *testing.T) {
				var hosts [2]*host
				f := newFarm(t, 256, func(f *farm) []*host { hosts = [2]*host{f.host("s-1"), f.host("s-2")}; return hosts[:] })
				v := f.client()
				v.setup(id(1), "free", "")
				x, h := f.wanted(rtsp.Setup, hosts[:]...)
				steps := []func(){func() { x.on.answer(x.m, 453, "") }, func() { leave(v) }}
				if order == "gone first" {
					slices.Reverse(steps)
				}
				f.batch(steps...)
				f.until("the session is removed", func(n *Node) bool { return len(n.sessions) == 0 && n.open == 0 })
				w := f.client() // the next SETUP at the other server must be of this client
				w.setup(id(2), "free", "")
				y, at := f.nextSetup(hosts[:]...)
				if y.m.Session() != id(2) {
					t.Errorf("%s received %s after its client had left", at.name, y.m.Session())
				}
				y.on.answer(y.m, 200, given)
				w.want("200")
				f.wantNoSetup(h)
			})
		}
	}
}

// nextSetup returns the next SETUP at any of the hosts and skips other messages.
func (f *farm) nextSetup(hosts ...*host) (heard, *host) {
	f.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, h := range hosts {
			select {
			case x := <-h.seen:
				if x.m.Method == rtsp.Setup {
					return x, h
				}
			default:
			}
		}
	}
	f.t.Fatal("no SETUP received")
	return heard{}, nil
}

// A connection is opened after the SETUP that waited for it was given up: it carries the next SETUP, not that one.
func TestConnectionComesUpTooLate(t *testing.T) {
	f, s1 := single(t, 256)
	var l *link
	f.see(func(n *Node) {
		l = &link{sv: n.servers[0], stop: func() {}}
		n.servers[0].conns = []*link{l}
	})
	v := f.client()
	v.setup(id(1), "paid", "")
	f.until("the SETUP waits for the connection", func(*Node) bool { return len(l.open) == 1 })
	v.Close()
	f.until("the SETUP is given up", func(n *Node) bool { return n.open == 0 && len(l.open) == 0 })
	nc, err := net.Dial("tcp", s1.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	f.see(func(n *Node) { l.conn = newConn(nc, zap.NewNop()); n.serverConnOpened(l) })
	t.Cleanup(func() { l.close() })
	w := f.client()
	w.setup(id(2), "free", "")
	if x, _ := f.wanted(rtsp.Setup, s1); x.m.Session() != id(2) {
		t.Errorf("received a SETUP for %s", x.m.Session())
	}
}

// Two SETUPs wait for a server that reads nothing, one held by the writer and one queued behind it, when their clients
// leave: neither is sent, although the server reads again. They were sent as soon as it did.
func TestClientGoneBeforeTheSetupLeft(t *testing.T) {
	f, s1 := single(t, 3) // allows one connection to the server
	a, b := net.Pipe()
	defer b.Close()
	l := f.addLink(a)
	var v [3]*peer
	for k := range v {
		v[k] = f.client()
		v[k].setup(id(k), "free", "")
		f.until("the SETUP is queued", func(*Node) bool { return len(l.open) == k+1 })
	}
	f.until("the first is being written", func(*Node) bool { l.mu.Lock(); defer l.mu.Unlock(); return l.queuedTotal > int64(len(l.buffer)) })
	v[1].Close()
	f.until("the SETUP is given up", func(*Node) bool { return len(l.open) == 2 })
	f.see(func(*Node) {
		if x, y := l.open[0], l.open[1]; x.to != y.from {
			t.Errorf("one SETUP ends at %d, the next begins at %d", x.to, y.from)
		}
	})
	v[0].Close()
	f.until("the connection is closed", func(n *Node) bool { return l.isClosing() && n.open == 1 })
	if k, err := b.Read(make([]byte, 1)); err == nil {
		t.Errorf("%d bytes were written", k)
	}
	f.breakLink(l) // as its reader reports
	if x, _ := f.wanted(rtsp.Setup, s1); x.m.Session() != id(2) {
		t.Errorf("received a SETUP for %s", x.m.Session())
	}
}

// The answer arrives in one batch with the client's TEARDOWN or the time-out, in either order: the client gets at most
// one answer, and a session that is established at the server but unwanted is released there.
func TestAnswerCrosses(t *testing.T) {
	for _, answerFirst := range []bool{true, false} {
		t.Run(fmt.Sprintf("TEARDOWN, answer first %v", answerFirst), func(t *testing.T) {
			f, s1 := single(t, 256)
			v := f.client()
			v.setup(id(1), "paid", "")
			x, _ := f.wanted(rtsp.Setup, s1)
			steps := []func(){func() { x.on.answer(x.m, 200, given) }, func() { v.tearDown(id(1), 0) }}
			if !answerFirst {
				slices.Reverse(steps)
			}
			f.batch(steps...)
			for {
				if y, _ := f.wanted(rtsp.TearDown, s1); parseCause(y.m) == causeMoved {
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
			f.until("the session is removed", func(n *Node) bool { return len(n.sessions) == 0 && n.open == 0 && len(n.past) == 0 })
		})
		t.Run(fmt.Sprintf("time-out, answer first %v", answerFirst), func(t *testing.T) {
			f, s1 := single(t, 256)
			v := f.client()
			v.setup(id(1), "paid", "")
			x, _ := f.wanted(rtsp.Setup, s1)
			timeOut := func() {
				s := f.node.sessions[id(1)] // the loop is blocked
				f.node.events <- event{do: func() {
					if s.state == attempting {
						f.node.cancelTimeout(s.waiting)
						f.node.timedOut(s)
					}
				}}
			}
			steps := []func(){func() { x.on.answer(x.m, 200, given) }, timeOut}
			want := "200"
			if !answerFirst {
				slices.Reverse(steps)
				want = "500"
			}
			f.batch(steps...)
			v.want(want)
			if !answerFirst {
				for {
					if y, _ := f.wanted(rtsp.TearDown, s1); parseCause(y.m) == causeMoved {
						break
					}
				}
			}
			v.say("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nSession: %s\r\nContent-Length: 0\r\n\r\n", id(50))
			if m := v.want("200"); m.Session() != id(50) {
				t.Error("answered twice")
			}
		})
	}
}

// A server at its limit of connections refuses one more: its sessions go on. They were released as lost.
func TestRefusedBesideALiveConnection(t *testing.T) {
	f, s1 := single(t, 256)
	v := f.client()
	v.setup(id(1), "paid", "")
	x := f.serve(s1, v)
	s1.Listener.Close()
	v.setup(id(2), "paid", "")
	y, _ := f.wanted(rtsp.Setup, s1) // over the one open connection
	v.setup(id(3), "paid", "")
	if m := v.want("503"); m.Session() != id(3) {
		t.Errorf("%s was refused", m.Session())
	}
	y.on.answer(y.m, 200, given)
	v.want("200")
	x.on.tearDown(id(1), 16)
	if r := v.want(rtsp.TearDown); parseCause(r) != causeFinished || r.Session() != id(1) {
		t.Errorf("released %+v", r.Header)
	}
}

// A server's process is restarted under its id and address, and answers probes: its earlier sessions are released as
// soon as the list reports the start. They were kept for ever.
func TestServerStartedAnew(t *testing.T) {
	f, s1 := single(t, 256)
	feed := f.followed()
	v := f.client()
	v.setup(id(1), "free", "")
	f.serve(s1, v)
	anew := strings.Replace(entry("s-1", s1.Addr().String(), "up"), `"startedAtMs":0`, fmt.Sprintf(`"startedAtMs":%d`, time.Now().UnixMilli()+1), 1)
	fmt.Fprintf(feed, "%s\n", change(2, false, anew))
	if r := v.want(rtsp.TearDown); parseCause(r) != causeLost || r.Session() != id(1) {
		t.Errorf("released %+v", r.Header)
	}
	f.until("the session is removed", func(n *Node) bool { return len(n.sessions) == 0 && len(n.servers[0].held) == 0 })
}

// A message that never ends follows an open request: that request is answered. Its connection was just closed.
func TestHalfAMessageBesideAnOpenRequest(t *testing.T) {
	f, s1 := single(t, 256)
	v := f.client()
	v.say("%s", setupText(1, 4000)) // longer than the time limit of a message
	f.wanted(rtsp.Setup, s1)
	v.say("%s", setupText(2, 4000)[:50])
	if m := v.want("500"); m.Session() != id(1) {
		t.Errorf("%s was answered", m.Session())
	}
	v.want("408")
	f.wanted(rtsp.TearDown, s1)
}

// The server's answer meets a broken connection of its client, before the loop is notified of the break: nobody plays
// the session, and the server is notified. It played on for nobody.
func TestAnswerCrossesAClose(t *testing.T) {
	f, s1 := single(t, 256)
	v := f.client()
	v.setup(id(1), "free", "")
	x, _ := f.wanted(rtsp.Setup, s1)
	f.batch(func() { x.on.answer(x.m, 200, given) }, func() { f.node.clients[0].closeOnceFlushed() })
	if y, _ := f.wanted(rtsp.TearDown, s1); y.m.Session() != id(1) {
		t.Errorf("released %s", y.m.Session())
	}
	f.until("the session is removed", func(n *Node) bool { return len(n.sessions) == 0 && len(n.clients) == 0 })
}

// Requests arrive in pieces: byte by byte, two in one segment, and a part before a close.
func TestRequestsInPieces(t *testing.T) {
	f, s1 := single(t, 256)
	text := func(k int) string { return setupText(k, 1500) }
	v := f.client()
	v.Conn.(*net.TCPConn).SetNoDelay(true)
	for _, b := range []byte(text(1)) {
		v.Write([]byte{b})
	}
	f.serve(s1, v)
	for k, at := range []int{20, strings.Index(text(1), "Subject") + 3, strings.Index(text(1), sdp) + 5} {
		one := text(10 + k)
		v.say("%s", one[:at])
		f.see(func(*Node) {})
		v.say("%s", one[at:])
		f.serve(s1, v)
	}
	v.say("%s", text(2)+text(3))
	for range 2 {
		x, _ := f.wanted(rtsp.Setup, s1)
		x.on.answer(x.m, 200, given)
	}
	v.want("200")
	v.want("200")
	v.say("%s", text(4)[:50])
	v.Close()
	f.until("the client is removed", func(n *Node) bool { return len(n.clients) == 0 && n.open == 0 && n.sessions[id(4)] == nil })
}

// SIGHUP with an unchanged coordinator keeps its connection. It was opened again, which the platform charges for at
// hundreds of nodes.
func TestReloadOfTheSameCoordinator(t *testing.T) {
	f, s1 := single(t, 256)
	feed := f.followed()
	read := make(chan bool, 1)
	f.reread = func() (*start.Start, error) {
		read <- true
		return &start.Start{Coordinator: f.feed.Addr().String()}, nil
	}
	f.hangups <- syscall.SIGHUP
	<-read
	f.see(func(*Node) {})
	fmt.Fprintf(feed, "%s\n", change(2, false, entry("s-1", s1.Addr().String(), "draining")))
	f.until("the coordinator is still followed", func(n *Node) bool { return n.servers[0].state == choice.Draining })
	if len(f.follows) > 0 {
		t.Error("a new connection to the coordinator was opened")
	}
}

// The old coordinator's last event is still queued when the new one is followed, which sends it as well and one more:
// each is handled once, in order.
func TestReloadCrossesTheOldCoordinatorsLastEvent(t *testing.T) {
	f, s1 := single(t, 256)
	feed := f.followed()
	l, follows := f.coordinator()
	f.reread = func() (*start.Start, error) { return &start.Start{Coordinator: l.Addr().String()}, nil }
	up, drains := change(2, false, entry("s-1", s1.Addr().String(), "up")), change(3, false, entry("s-1", s1.Addr().String(), "draining"))
	f.batch(
		func() { fmt.Fprintf(feed, "%s\n", up) },
		func() {
			lifecycleActions{f.node}.Reload() // the last event handled is 1
			c := <-follows
			if c.after != 1 {
				t.Errorf("follows from event %d", c.after)
			}
			t.Cleanup(func() { c.Close() })
			fmt.Fprintf(c, "%s\n%s\n", up, drains)
		})
	f.until("all events are handled", func(n *Node) bool { return n.index == 3 && n.servers[0].state == choice.Draining })
}

// Many servers and hundreds of silent clients share few descriptors while discovery is down: a tenth of the
// descriptors stays free, idle connections to servers are closed for new ones, and the node follows the coordinator as
// soon as it is back.
func TestDescriptorsInReserve(t *testing.T) {
	const sockets = 64
	f := newFarm(t, sockets, func(f *farm) (all []*host) {
		for k := range 60 {
			all = append(all, f.host(fmt.Sprintf("s-%02d", k)))
		}
		return all
	})
	f.followed().Close()
	for range 100 { // after a probe they do not count as silent
		v := f.client()
		v.say("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
	}
	for k := range 60 {
		f.see(func(n *Node) { n.dialServer(n.servers[k]) })
		f.until("the connection is open, or was closed to make room", func(n *Node) bool {
			return !slices.ContainsFunc(n.servers[k].conns, func(l *link) bool { return !l.up })
		})
	}
	f.until("a tenth of the descriptors is free", func(n *Node) bool {
		if n.serverConnCount() > share.MaxServerConns(sockets) {
			t.Errorf("%d connections to servers", n.serverConnCount())
		}
		return len(n.clients)+n.serverConnCount() <= sockets*90/100 && len(n.servers[59].conns) == 1
	})
	f.followed()
}

// Two nodes run one after the other at one address, and a third beside them, each with its own settings: none uses
// another's.
func TestNodesShareNothing(t *testing.T) {
	f, s1 := single(t, 256)
	v := f.client()
	v.setup(id(1), "free", "")
	f.serve(s1, v)
	f.stop() // its client's connection stays open
	text := strings.NewReplacer(`"free"`, `"gratis"`, `"listen":"127.0.0.1:0"`, fmt.Sprintf(`"listen":%q`, f.addr), `"class_floor":[0,1]`, `"class_floor":[2,1]`).
		Replace(f.config(256, 1, change(1, true, entry("s-1", s1.Addr().String(), "up"))))
	s, err := start.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	other, s2 := single(t, 256)
	next := &farm{t: t, addr: f.addr, over: make(chan lifecycle.ExitCode, 1)}
	got := make(chan *Node, 1)
	go func() {
		code, err := Run(Options{Start: s, Log: zap.NewNop(), serving: func(n *Node) { got <- n }})
		if err != nil {
			t.Error(err)
		}
		next.over <- code
	}()
	select {
	case next.node = <-got:
	case <-next.over:
		t.Fatal("the node does not start")
	}
	t.Cleanup(next.stop)
	w, u := next.client(), other.client()
	w.setup(id(1), "free", "")
	w.want("400")
	u.setup(id(1), "gratis", "")
	u.want("400")
	w.setup(id(1), "gratis", "")
	x, _ := next.wanted(rtsp.Setup, s1)
	if q := x.m.Header.Get("X-Quality"); q < "2" {
		t.Errorf("rung %s is below the node's own floor", q)
	}
	u.setup(id(1), "free", "")
	other.wanted(rtsp.Setup, s2)
}
