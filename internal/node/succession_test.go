package node

import (
	"fmt"
	"testing"
	"time"

	"rainhaven/choice/liveness"
	"rainhaven/internal/rtsp"
)

// replaceServer reports that s-1 is gone and that another server has its address.
func replaceServer(feed *followerConn, addr string) {
	fmt.Fprintf(feed, "%s\n", listEvent(2, false, listEntry("s-1", "", "removed"), listEntry("s-2", addr, "up")))
}

// A server's machine vanishes, and a new server has its address before the node connects again: the new server's answers don't keep the
// sessions of the old one, which were never released.
func TestNewServerAtAnOldAddressEndsTheOldSessions(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	feed := h.acceptFollower()
	cl := h.connect()
	old := h.established(s1, cl, testID(1))
	old.reset()
	h.waitFor("the node has connected to the address again", func(n *Node) bool { return n.servers[0].brokeAt > 0 && n.servers[0].openConns() > 0 })
	replaceServer(feed, s1.Addr().String())
	if r := cl.expectWithin(releaseLimit, rtsp.TearDown); parseCause(r) != causeLost || r.Session() != testID(1) {
		t.Errorf("released %+v", r.Header)
	}
	h.waitFor("only the new server is left", func(n *Node) bool { return len(n.servers) == 1 && n.servers[0].id == "s-2" })
}

// The old server's connection is still open but silent while a new server has its address: the session on it ends within the time in
// which the connection had to show that its process runs.
func TestSilentConnectionToAnOldAddress(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	feed := h.acceptFollower()
	cl := h.connect()
	h.established(s1, cl, testID(1))
	s1.ignoreProbes.Store(true)
	replaceServer(feed, s1.Addr().String())
	limit := time.Duration(liveness.ProofTimeout*float64(time.Second)) + releaseLimit
	if r := cl.expectWithin(limit, rtsp.TearDown); parseCause(r) != causeLost || r.Session() != testID(1) {
		t.Errorf("released %+v", r.Header)
	}
}

// A session was set up by the new process at an address before the list told of it: it stays, and that process may release it over any
// of its connections.
func TestSessionSetUpByTheSuccessorStays(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	feed := h.acceptFollower()
	cl := h.connect()
	h.established(s1, cl, testID(1))
	replaceServer(feed, s1.Addr().String())
	h.waitFor("the connection has shown that its process runs", func(n *Node) bool {
		sv := n.serversByID["s-1"]
		return sv != nil && sv.addressTaken && len(sv.conns) == 1 && !sv.conns[0].awaitsProof
	})
	h.inspect(func(n *Node) { n.dialServer(n.serversByID["s-2"]) })
	next := s1.connAt(1)
	if next == nil {
		t.Fatal("the new server has no connection")
	}
	next.tearDown(testID(1), causeFinished)
	if r := cl.expectWithin(releaseLimit, rtsp.TearDown); parseCause(r) != causeFinished || r.Session() != testID(1) {
		t.Errorf("released %+v", r.Header)
	}
}

// A server is listed at another address: new SETUPs go there, although a connection to the old address is open, and the session of the
// process at the old address stays as long as that process answers.
func TestServerListedAtAnotherAddress(t *testing.T) {
	var other *fakeServer
	var s1 *fakeServer
	h := newHarness(t, 256, func(h *harness) []*fakeServer {
		s1, other = h.startServer("s-1"), h.startServer("s-1 at its next address")
		return []*fakeServer{s1}
	})
	feed := h.acceptFollower()
	cl := h.connect()
	old := h.established(s1, cl, testID(1))
	fmt.Fprintf(feed, "%s\n", listEvent(2, false, listEntry("s-1", other.Addr().String(), "up")))
	h.waitFor("the change is known", func(n *Node) bool { return n.serversByID["s-1"].addr == other.Addr().String() })
	h.established(other, cl, testID(2))
	h.waitFor("both sessions stand", func(n *Node) bool { return n.sessions[testID(1)] != nil && n.sessions[testID(2)] != nil })
	old.tearDown(testID(1), causeFinished)
	if r := cl.expectWithin(releaseLimit, rtsp.TearDown); parseCause(r) != causeFinished || r.Session() != testID(1) {
		t.Errorf("released %+v", r.Header)
	}
	h.waitFor("the old address is forgotten", func(n *Node) bool { return len(n.servers) == 1 && n.serversByID["s-1"] == n.servers[0] })
}
