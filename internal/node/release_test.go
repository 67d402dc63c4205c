package node

import (
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"rainhaven/internal/rtsp"
)

// The tests of this file end a session after the connection of its client is gone, replaced or no longer read: its release must
// reach the client over whichever connection is open.

// releaseLimit is the platform's limit for passing on a server's release.
const releaseLimit = time.Second

// established sets up a session over a connection and returns the server's end of it.
func (h *harness) established(fs *fakeServer, cl *peer, id string) *peer {
	h.t.Helper()
	cl.setup(id, "free", "")
	return h.serveNext(fs, cl).conn
}

// ping sends a health check and expects its answer.
func (p *peer) ping() {
	p.t.Helper()
	p.sendf("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
	p.expect("200")
}

// reset resets a connection.
func (p *peer) reset() {
	p.Conn.(*net.TCPConn).SetLinger(0)
	p.Close()
}

// expectRelease expects the release of a session, within the platform's limit.
func (p *peer) expectRelease(id string) {
	p.t.Helper()
	if m := p.expectWithin(releaseLimit, rtsp.TearDown); m.Session() != id {
		p.t.Errorf("released %s, want %s", m.Session(), id)
	}
}

// confirmRelease answers the release of a session.
func (p *peer) confirmRelease(id string) {
	p.sendf("RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: %s\r\nContent-Length: 0\r\n\r\n", id)
}

// expectNothing expects that no message arrives within a while.
func (p *peer) expectNothing() {
	p.t.Helper()
	select {
	case m := <-p.messages:
		p.t.Errorf("%s: got %s for %s", p.name, messageKind(m), m.Session())
	case <-time.After(3 * time.Duration(maintenanceInterval*float64(time.Second))):
	}
}

// A client's only connection is reset at rest and replaced, then the server releases the session: the release reaches the client
// over the new connection, whatever that has been used for. It was sent only on connections that had served a session, and
// dropped after 8 s (review/3).
func TestReleaseAfterConnectionReset(t *testing.T) {
	for _, c := range []struct {
		name    string
		replace func(h *harness, fs *fakeServer, cl *peer)
	}{
		{"named as established", func(h *harness, fs *fakeServer, cl *peer) {
			cl.setup(testID(1), "free", ";at:s-1")
			h.waitFor("the session is named", func(n *Node) bool {
				return slices.ContainsFunc(n.clients, func(o *client) bool { return o.RequestedSession && o.Established+o.Pending == 0 || o.Established == 1 })
			})
		}},
		{"named, then probed", func(h *harness, fs *fakeServer, cl *peer) { cl.setup(testID(1), "free", ";at:s-1"); cl.ping() }},
		{"probed only", func(h *harness, fs *fakeServer, cl *peer) { cl.ping() }},
		{"opened only", func(*harness, *fakeServer, *peer) {}},
		{"refused", func(h *harness, fs *fakeServer, cl *peer) {
			cl.setup(testID(2), "free", "")
			x, _ := h.expectAt(rtsp.Setup, fs)
			x.conn.answer(x.msg, 453, "")
			cl.expect("503")
		}},
	} {
		for _, end := range []struct {
			name string
			end  func(*peer)
		}{{"reset", (*peer).reset}, {"half closed", func(p *peer) { p.Conn.(*net.TCPConn).CloseWrite() }}} {
			for _, openedFirst := range []bool{false, true} {
				name := c.name + ", the old one " + end.name
				if openedFirst {
					name += " after it"
				}
				t.Run(name, func(t *testing.T) {
					h, s1 := newSingleServerHarness(t, 256)
					cl := h.connect()
					server := h.established(s1, cl, testID(1))
					var next *peer
					if openedFirst {
						next = h.connect()
						c.replace(h, s1, next)
						h.waitFor("both connections are known", func(n *Node) bool { return len(n.clients) == 2 })
						end.end(cl)
						h.waitFor("the old connection is closed", func(n *Node) bool { return len(n.clients) == 1 })
					} else {
						end.end(cl)
						h.waitFor("the old connection is closed", func(n *Node) bool { return len(n.clients) == 0 })
						next = h.connect()
						c.replace(h, s1, next)
						h.waitFor("the new connection is known", func(n *Node) bool { return len(n.clients) == 1 })
					}
					server.tearDown(testID(1), causeFinished)
					next.expectRelease(testID(1))
				})
			}
		}
	}
}

// No connection is open when a session ends: the release arrives over the next one opened, even if it is only probed. It waited
// for one that serves a session.
func TestReleaseOnTheNextConnection(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl := h.connect()
	server := h.established(s1, cl, testID(1))
	cl.reset()
	h.waitFor("the connection is closed", func(n *Node) bool { return len(n.clients) == 0 })
	server.tearDown(testID(1), causeFinished)
	h.waitFor("the release is pending", func(n *Node) bool { return len(n.pendingReleases) == 1 })
	next := h.connect()
	next.expectRelease(testID(1))
	next.ping()
}

// A connection that only probes may belong to a monitor: what was released on it is released again on those that open later, until
// one of them is served a session.
func TestReleaseIsRepeatedOnABetterConnection(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl := h.connect()
	server := h.established(s1, cl, testID(1))
	monitor := h.connect()
	monitor.ping()
	cl.reset()
	h.waitFor("the connection is closed", func(n *Node) bool { return len(n.clients) == 1 })
	server.tearDown(testID(1), causeFinished)
	monitor.expectRelease(testID(1))
	monitor.reset()
	h.waitFor("the monitor's connection is closed", func(n *Node) bool { return len(n.clients) == 0 })
	second := h.connect()
	second.expectRelease(testID(1))
	second.ping()
	client := h.connect()
	client.expectRelease(testID(1))
	h.established(s1, client, testID(2))
	h.waitFor("nothing is pending", func(n *Node) bool { return len(n.pendingReleases) == 0 })
	second.expectNothing()
	client.expectNothing()
	h.connect().expectNothing()
}

// Several connections are open that have served no session: each of them may be the client's, so all get the release, once.
func TestReleaseOnAllUnconfirmedConnections(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl := h.connect()
	server := h.established(s1, cl, testID(1))
	monitor, silent := h.connect(), h.connect()
	monitor.ping()
	cl.reset()
	h.waitFor("the connection is closed", func(n *Node) bool { return len(n.clients) == 2 })
	server.tearDown(testID(1), causeFinished)
	for _, p := range []*peer{monitor, silent} {
		p.expectRelease(testID(1))
		p.expectNothing()
	}
}

// A session is named on a second connection while its own is open: both get the release, as either may be the one that is no
// longer read. If the own one closes, the other takes its place.
func TestReleaseOfASessionNamedElsewhere(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl := h.connect()
	server := h.established(s1, cl, testID(1))
	h.established(s1, cl, testID(2))
	second := h.connect()
	for _, k := range []int{1, 2} {
		second.setup(testID(k), "free", ";at:s-1")
	}
	second.ping()
	server.tearDown(testID(1), causeFinished)
	cl.expectRelease(testID(1))
	second.expectRelease(testID(1))
	cl.confirmRelease(testID(1)) // else it is sent again after the reset
	cl.ping()
	cl.reset()
	h.waitFor("the session belongs to the second connection", func(n *Node) bool {
		return len(n.clients) == 1 && n.clients[0].Established == 1 && n.sessions[testID(2)].client == n.clients[0]
	})
	server.tearDown(testID(2), causeFinished)
	second.expectRelease(testID(2))
}

// A session that was answered on one connection and named on another outlives that one too: the offset of its answer belongs to
// the first connection only.
func TestNamedSessionOutlivesItsConnections(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	first := h.connect()
	server := h.established(s1, first, testID(1))
	first.reset()
	h.waitFor("the first connection is closed", func(n *Node) bool { return len(n.clients) == 0 })
	second := h.connect()
	second.setup(testID(1), "free", ";at:s-1")
	h.waitFor("the session is named", func(n *Node) bool { return len(n.clients) == 1 && n.clients[0].Established == 1 })
	second.reset()
	h.waitFor("the second connection is closed", func(n *Node) bool { return len(n.clients) == 0 })
	third := h.connect()
	third.ping()
	server.tearDown(testID(1), causeFinished)
	third.expectRelease(testID(1))
}

// A release is taken by a connection that its client does not read any more, and that is reset later: it arrives on another one,
// unless the client has answered it or was heard since. It counted as arrived after a quarter of a second.
func TestReleaseUnheardBeforeAReset(t *testing.T) {
	for _, c := range []struct {
		name  string
		heard func(*peer)
		again bool
	}{
		{"silent", func(*peer) {}, true},
		{"answered", func(cl *peer) { cl.confirmRelease(testID(1)) }, false},
		{"heard later", func(cl *peer) { time.Sleep(300 * time.Millisecond); cl.ping() }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, s1 := newSingleServerHarness(t, 256)
			cl, other := h.connect(), h.connect()
			server := h.established(s1, cl, testID(1))
			other.ping()
			server.tearDown(testID(1), causeFinished)
			cl.expectRelease(testID(1))
			c.heard(cl)
			time.Sleep(600 * time.Millisecond)
			cl.reset()
			if c.again {
				other.expectRelease(testID(1))
				return
			}
			other.expectNothing()
		})
	}
}

// A client names a session that has ended, as its release was lost with the old connection: it is released again, and not taken
// over as a session that nobody will ever end.
func TestEndedSessionIsNamed(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl := h.connect()
	server := h.established(s1, cl, testID(1))
	server.tearDown(testID(1), causeFinished)
	cl.expectRelease(testID(1))
	next := h.connect()
	next.setup(testID(1), "free", ";at:s-1")
	next.expectRelease(testID(1))
	h.waitFor("no session is known", func(n *Node) bool { return len(n.sessions) == 0 })
}

// A client ends a session on one connection while the message that names the session is still on its way on another: the server is
// told, and the session is not taken over for a client that has left. It stood at its server until that ended it.
func TestSessionIsEndedBeforeItIsNamed(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl, other := h.connect(), h.connect()
	cl.tearDown(testID(1), 0)
	cl.expect("200")
	other.setup(testID(1), "free", ";at:s-1")
	if x, _ := h.expectAt(rtsp.TearDown, s1); x.msg.Session() != testID(1) || parseCause(x.msg) != causeMoved {
		t.Errorf("released %+v", x.msg.Header)
	}
	h.waitFor("no session is known", func(n *Node) bool { return len(n.sessions) == 0 })
}

// A node that drains while a release waits for a connection goes on until the drain's end: the session would otherwise stand for
// its client for good. It exited as soon as it had no session.
func TestDrainWaitsForPendingReleases(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl := h.connect()
	server := h.established(s1, cl, testID(1))
	cl.reset()
	h.waitFor("the connection is closed", func(n *Node) bool { return len(n.clients) == 0 })
	server.tearDown(testID(1), causeFinished)
	h.waitFor("the release is pending", func(n *Node) bool { return len(n.pendingReleases) == 1 })
	h.terminationSignals <- syscall.SIGTERM
	time.Sleep(1500 * time.Millisecond) // a node without sessions exits after 1 s
	next := h.connect()
	next.expectRelease(testID(1))
}

// A node that drains while a client's end of a session waits for a connection to its server goes on as well. It exited, and the
// session played on.
func TestDrainWaitsForPendingTeardowns(t *testing.T) {
	failing := &failingNetwork{errno: syscall.ETIMEDOUT}
	var s1 *fakeServer
	h := newHarness(t, 256, func(h *harness) []*fakeServer {
		h.network, s1 = failing, h.startServer("s-1")
		return []*fakeServer{s1}
	})
	cl := h.connect()
	server := h.established(s1, cl, testID(1))
	failing.failuresLeft.Store(5)
	h.terminationSignals <- syscall.SIGTERM
	server.reset()
	h.waitFor("the server's connection is closed", func(n *Node) bool { return len(n.servers[0].conns) == 0 })
	cl.tearDown(testID(1), 0)
	cl.expect("200")
	if x, _ := h.expectAt(rtsp.TearDown, s1); x.msg.Session() != testID(1) {
		t.Errorf("released %s", x.msg.Session())
	}
	if left := failing.failuresLeft.Load(); left > 0 {
		t.Errorf("%d dials were to fail before", left)
	}
}

// More releases wait than fit into a connection's queue: the next connection gets them all. It was closed by the excess, and so was
// each one after it.
func TestManyReleasesOnOneConnection(t *testing.T) {
	h, _ := newSingleServerHarness(t, 256)
	url := mediaRoot + strings.Repeat("t", 200)
	const count = maxRemembered
	h.inspect(func(n *Node) {
		for k := range count {
			n.releaseToClient(nil, testID(k), teardownMessage(url, testID(k), causeFinished))
		}
	})
	cl := h.connect()
	got := map[string]bool{}
	for end := time.Now().Add(testTimeout); len(got) < count && time.Now().Before(end); {
		m := cl.expect(rtsp.TearDown)
		got[m.Session()] = true
	}
	if len(got) < count {
		t.Errorf("%d of %d releases arrived", len(got), count)
	}
}

// The loop runs when the drain ends. It ran up to a maintenance interval later, which left the exit too little time before SIGKILL.
func TestLoopRunsAtTheEndOfTheDrain(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	h.established(s1, h.connect(), testID(1))
	h.sendTerminate()
	h.inspect(func(n *Node) {
		end := n.lifecycle.NextWakeup()
		timeouts := n.timeouts
		n.maintainedAt, n.wakeAt, n.timeouts = end-maintenanceInterval/2, 0, nil
		if next := n.nextWakeup(); next != end {
			t.Errorf("the loop runs %.3f s after the drain's end", next-end)
		}
		n.maintainedAt, n.timeouts = n.now, timeouts
	})
}

// No client connection is open for longer than a release may take: it is late, and sent all the same. It was dropped, and the session
// stood for its client for good.
func TestLateReleaseIsSent(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl := h.connect()
	server := h.established(s1, cl, testID(1))
	cl.reset()
	h.waitFor("the connection is closed", func(n *Node) bool { return len(n.clients) == 0 })
	server.tearDown(testID(1), causeFinished)
	h.waitFor("the release is pending", func(n *Node) bool { return len(n.pendingReleases) == 1 })
	h.inspect(func(n *Node) { n.pendingReleases[0].endedAt -= 2 * pendingSeconds })
	h.waitFor("the list was maintained", func(n *Node) bool { return n.maintainedAt > n.pendingReleases[0].endedAt+2*pendingSeconds })
	h.connect().expectRelease(testID(1))
}

// More sessions end than are remembered: the latest are.
func TestLatestEndsAreRemembered(t *testing.T) {
	e := newEndedSessions()
	for k := range maxRemembered + 10 {
		e.add(1, testID(k), endedSession{cause: causeFinished})
	}
	if e.find(1, testID(9)) != nil || e.find(1, testID(10)) == nil || e.find(1, testID(maxRemembered+9)) == nil || len(e.byID) != maxRemembered || len(e.queue) != maxRemembered {
		t.Errorf("%d sessions are remembered", len(e.byID))
	}
	if e.find(2+endedSessionSeconds, testID(100)) != nil {
		t.Error("a session is remembered for too long")
	}
	e.add(2+endedSessionSeconds, testID(0), endedSession{cause: causeLost})
	if len(e.byID) != 1 || len(e.queue) != 1 {
		t.Errorf("%d sessions are kept", len(e.byID))
	}
}

// A client's connection has failed under a write when its last messages, which had been read, are handled: what concerns a session
// that stands counts all the same. It was ignored, and the session played on, or was not taken over.
func TestLastMessagesOfAFailedConnection(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl := h.connect()
	h.established(s1, cl, testID(1))
	h.inspect(func(n *Node) { // as its writer does
		failed := n.clients[0].conn
		failed.mu.Lock()
		failed.failed = true
		failed.mu.Unlock()
	})
	cl.tearDown(testID(1), 0)
	cl.setup(testID(2), "free", ";at:s-1")
	if x, _ := h.expectAt(rtsp.TearDown, s1); x.msg.Session() != testID(1) {
		t.Errorf("released %s", x.msg.Session())
	}
	h.waitFor("the other session is taken over", func(n *Node) bool { return len(n.sessions) == 1 && n.sessions[testID(2)] != nil })
}
