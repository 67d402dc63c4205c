package node

import (
	"testing"

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
