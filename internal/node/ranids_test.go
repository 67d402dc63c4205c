package node

import (
	"testing"

	"rainhaven/choice/share"
	"rainhaven/internal/rtsp"
)

// A request's client leaves while its SETUP is at a server, and another one comes with the same id: it is refused, as the SETUP may have
// run. It ran twice.
func TestIDOfAClientThatLeftRunsOnce(t *testing.T) {
	for _, class := range []string{"free", "paid"} {
		t.Run(class, func(t *testing.T) {
			h, s1 := newSingleServerHarness(t, 256)
			cl := h.connect()
			cl.setup(testID(1), class, "")
			h.expectAt(rtsp.Setup, s1)
			cl.Close()
			h.waitFor("the request is over", func(n *Node) bool { return len(n.sessions) == 0 && n.openRequests == 0 })
			h.expectAt(rtsp.TearDown, s1)
			again := h.connect()
			again.setup(testID(1), class, "")
			again.expect("400")
			h.serveOther(s1, again)
		})
	}
}

// serveOther has another request served, and nothing else reach the server before it.
func (h *harness) serveOther(fs *fakeServer, cl *peer) {
	h.t.Helper()
	cl.setup(testID(2), "free", "")
	if x := h.serveNext(fs, cl); x.msg.Session() != testID(2) {
		h.t.Errorf("a SETUP of %s arrived", x.msg.Session())
	}
}

// The id of a session that has ended does not run again either.
func TestIDOfAnEndedSessionRunsOnce(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl := h.connect()
	h.established(s1, cl, testID(1)).tearDown(testID(1), causeFinished)
	cl.expect(rtsp.TearDown)
	cl.setup(testID(1), "free", "")
	cl.expect("400")
	h.serveOther(s1, cl)
}

// A request that provably never ran may come again under its id, as one does that crossed the close of a connection.
func TestIDThatNeverRanMayComeAgain(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl := h.connect()
	cl.setup(testID(1), "paid", "")
	x, _ := h.expectAt(rtsp.Setup, s1)
	x.conn.answer(x.msg, rtsp.NotEnoughBandwidth, "")
	cl.expect("503")
	h.inspect(func(n *Node) {
		if n.ranIDs.contains(testID(1)) {
			t.Error("the id counts as one that has run")
		}
	})
}

// The table is bounded, and keeps the latest.
func TestRanIDsAreBounded(t *testing.T) {
	r := newRanIDs()
	const more = 10
	for k := range share.MaxRanIDs + more {
		r.add(testID(k))
		r.add(testID(k))
	}
	if len(r.known) != share.MaxRanIDs || len(r.ring) != share.MaxRanIDs {
		t.Errorf("%d known, %d in the ring", len(r.known), len(r.ring))
	}
	if r.contains(testID(more-1)) || !r.contains(testID(more)) || !r.contains(testID(share.MaxRanIDs+more-1)) {
		t.Error("the latest are not the ones that are kept")
	}
}
