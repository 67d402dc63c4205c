package node

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"rainhaven/choice"
	"rainhaven/choice/share"
	"rainhaven/internal/rtsp"
)

// The tests of this file lose or close the connection to a server that carries a message about a session: the server gets it over
// another one.

// A client's end of a session waits on a connection that takes no bytes, which the node then closes itself: the server gets it over a
// new connection. It was dropped, and the session played on.
func TestTeardownOnAConnectionThatIsClosed(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl := h.connect()
	server := h.established(s1, cl, testID(1))
	stalled := h.addStalledServerConn()
	server.reset()
	h.waitFor("only the stalled connection is open", func(n *Node) bool { return len(n.servers[0].conns) == 1 })
	cl.tearDown(testID(1), 0)
	cl.expect("200")
	h.inspect(func(n *Node) { n.closeServerConn(stalled) })
	h.breakServerConn(stalled) // as its reader reports
	if x, _ := h.expectAt(rtsp.TearDown, s1); x.msg.Session() != testID(1) || parseCause(x.msg) != causeMoved {
		t.Errorf("released %+v", x.msg.Header)
	}
}

// A rung is lost with a connection after the session got a later rung over another one: the server is not sent the earlier rung, at
// which the session would then play on.
func TestLostRungDoesNotFollowALaterOne(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl := h.connect()
	server := h.established(s1, cl, testID(1))
	stalled := h.addStalledServerConn()
	server.reset()
	h.waitFor("only the stalled connection is open", func(n *Node) bool { return len(n.servers[0].conns) == 1 })
	h.inspect(func(n *Node) {
		actions{n}.SetRung(choice.SessID(testID(1)), 3)
		n.closeServerConn(stalled)
		actions{n}.SetRung(choice.SessID(testID(1)), 1)
	})
	h.breakServerConn(stalled)
	cl.tearDown(testID(1), 0)
	last := ""
	for x := range s1.received { // until the TEARDOWN, which is sent last
		if x.msg.Method == rtsp.TearDown {
			break
		}
		if rung := x.msg.Header.Get(headerRung); x.msg.Method == rtsp.SetParameter {
			last = rung
		}
	}
	if last != "1" {
		t.Errorf("the last rung is %q, want 1", last)
	}
}

// A server, or something on the way to it, has forgotten an idle connection and takes what is sent there without a word: a client's
// end of a session goes over the connection on which the server was heard last. It went over the oldest one.
func TestTeardownAvoidsAForgottenConnection(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl := h.connect()
	h.established(s1, cl, testID(1))
	a, b := net.Pipe()
	defer b.Close()
	go io.Copy(io.Discard, b)
	forgotten := h.addServerConn(a)
	h.inspect(func(n *Node) {
		conns := n.servers[0].conns
		slices.Reverse(conns) // it is the oldest
		forgotten.lastUsed = conns[1].lastUsed - 1
	})
	cl.tearDown(testID(1), 0)
	if x, _ := h.expectAt(rtsp.TearDown, s1); x.msg.Session() != testID(1) {
		t.Errorf("released %s", x.msg.Session())
	}
}

// A client cancels a request, and the connection to its server is reset before the server can have read the TEARDOWN: the server
// may have established the session, so it gets the TEARDOWN over another connection.
func TestCancelLostWithItsConnection(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl := h.connect()
	cl.setup(testID(1), "free", "")
	x, _ := h.expectAt(rtsp.Setup, s1)
	cl.tearDown(testID(1), 0)
	cl.expect("200")
	h.expectAt(rtsp.TearDown, s1)
	x.conn.reset()
	if y, _ := h.expectAt(rtsp.TearDown, s1); y.msg.Session() != testID(1) || parseCause(y.msg) != causeMoved || y.conn == x.conn {
		t.Errorf("released %+v, on the same connection: %v", y.msg.Header, y.conn == x.conn)
	}
}

// A server answers a SETUP that the node has given up, and the connection is reset as the node tears the session down: the TEARDOWN
// goes over another connection.
func TestTeardownOfALateAnswerLostWithItsConnection(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl := h.connect()
	h.established(s1, cl, testID(2))
	cl.setup(testID(1), "free", "")
	x, _ := h.expectAt(rtsp.Setup, s1)
	cl.tearDown(testID(1), 0)
	cl.expect("200")
	h.expectAt(rtsp.TearDown, s1)
	time.Sleep(300 * time.Millisecond) // the cancel must have arrived
	x.conn.answer(x.msg, 200, answerBody)
	if y, _ := h.expectAt(rtsp.TearDown, s1); y.msg.Session() != testID(1) || parseCause(y.msg) != causeMoved {
		t.Errorf("released %+v", y.msg.Header)
	}
	x.conn.reset()
	if y, _ := h.expectAt(rtsp.TearDown, s1); y.msg.Session() != testID(1) || parseCause(y.msg) != causeMoved {
		t.Errorf("released %+v", y.msg.Header)
	}
}

// A server is removed from the list and plays its last sessions on: the connection on which it will release them is not closed as
// idle, as no other could be opened. Its sessions were released as lost while they played.
func TestRemovedServerKeepsItsConnection(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	feed := h.acceptFollower()
	cl := h.connect()
	server := h.established(s1, cl, testID(1))
	const idleTimeout = 0.5
	h.inspect(func(n *Node) { n.config.IdleTimeout = idleTimeout })
	fmt.Fprintf(feed, "%s\n", listEvent(2, false, listEntry("s-1", s1.Addr().String(), "removed")))
	h.waitFor("the server is removed", func(n *Node) bool { return n.servers[0].state == choice.Gone })
	for range 12 { // longer than the idle timeout
		time.Sleep(50 * time.Millisecond)
		server.sendf("ANNOUNCE rtsp://media/t1 RTSP/1.0\r\nSession: %s\r\nX-Note: link_use\r\nX-Reading: 0.5\r\nContent-Length: 0\r\n\r\n", testID(1))
	}
	server.tearDown(testID(1), causeFinished)
	if m := cl.expectWithin(releaseLimit, rtsp.TearDown); parseCause(m) != causeFinished {
		t.Errorf("released %+v", m.Header)
	}
}

// At the limit of descriptors no server loses its only open connection to a new one while it has sessions, even if it is being
// dialled as well.
func TestOnlyOpenConnectionIsNotEvicted(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	h.established(s1, h.connect(), testID(1))
	h.inspect(func(n *Node) {
		sv, descriptors := n.servers[0], n.config.MaxDescriptors
		open := slices.Clone(sv.conns)
		n.config.MaxDescriptors = 1
		for len(sv.conns) < share.MaxServerConns(1) {
			sv.conns = append(sv.conns, &serverConn{server: sv, cancelDial: func() {}})
		}
		if n.reserveServerConn() || open[0].closed {
			t.Error("the only open connection gave way to a new one")
		}
		sv.conns, n.config.MaxDescriptors = open, descriptors
	})
}

// More messages are due to a server than its connection takes at present: the rest waits. The excess closed the connection, and
// every SETUP on it was lost.
func TestMessagesWaitForRoomOnAServerConnection(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	stalled := h.addStalledServerConn()
	url := mediaRoot + strings.Repeat("t", 200)
	const count = maxRemembered
	h.inspect(func(n *Node) {
		for k := range count {
			n.tearDownAtServer(n.servers[0], url, testID(k))
		}
		if stalled.isClosing() || len(n.servers[0].conns) != 1 {
			t.Errorf("the connection is closing: %v; connections: %d", stalled.isClosing(), len(n.servers[0].conns))
		}
	})
	h.breakServerConn(stalled)
	got := map[string]bool{}
	for len(got) < count {
		x, _ := h.expectAt(rtsp.TearDown, s1)
		got[x.msg.Session()] = true
	}
}

// A client's end of a session is taken by a connection whose server reads nothing, and reset later: the server gets it over another
// one, unless it has answered or was heard since. It counted as arrived after a quarter of a second.
func TestTeardownUnheardBeforeAReset(t *testing.T) {
	for _, c := range []struct {
		name  string
		heard func(*peer)
		again bool
	}{
		{"silent", func(*peer) {}, true},
		{"answered", func(server *peer) {
			server.confirmRelease(testID(1))
		}, false},
		{"heard later", func(server *peer) {
			time.Sleep(300 * time.Millisecond)
			server.sendf("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, s1 := newSingleServerHarness(t, 256)
			cl := h.connect()
			server := h.established(s1, cl, testID(1))
			cl.tearDown(testID(1), 0)
			h.expectAt(rtsp.TearDown, s1)
			c.heard(server)
			time.Sleep(600 * time.Millisecond)
			server.reset()
			if c.again {
				if x, _ := h.expectAt(rtsp.TearDown, s1); x.msg.Session() != testID(1) || x.conn == server {
					t.Errorf("released %s, on the same connection: %v", x.msg.Session(), x.conn == server)
				}
				return
			}
			time.Sleep(300 * time.Millisecond)
			h.inspect(func(n *Node) {
				if conns := len(n.servers[0].conns); conns > 0 {
					t.Errorf("%d connections were opened", conns)
				}
			})
		})
	}
}

// Two SETUPs of one request were given up at different servers, and both answer that they set the session up: each is torn down. The
// first was forgotten, and its session stood on.
func TestEachOfTwoLateAnswersIsTornDown(t *testing.T) {
	var servers [2]*fakeServer
	h := newHarness(t, 256, func(h *harness) []*fakeServer {
		servers = [2]*fakeServer{h.startServer("s-1"), h.startServer("s-2")}
		return servers[:]
	})
	h.inspect(func(n *Node) {
		for _, sv := range n.servers {
			n.awaitLateAnswer(&session{clientSetup: clientSetup{id: testID(1)}, server: sv})
		}
		for _, sv := range n.servers {
			n.handleLateAnswer(sv, rtsp.NewResponse(nil, rtsp.OK).WithHeader("Session", testID(1)))
		}
	})
	for _, fs := range servers {
		if x, _ := h.expectAt(rtsp.TearDown, fs); x.msg.Session() != testID(1) || parseCause(x.msg) != causeMoved {
			t.Errorf("%s: released %+v", fs.name, x.msg.Header)
		}
	}
	h.waitFor("nothing is remembered", func(n *Node) bool { return len(n.abandonedSetups) == 0 })
}
