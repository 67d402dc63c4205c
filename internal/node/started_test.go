package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"rainhaven/internal/rtsp"
)

// newRestartedServer has a session set up at a server whose process then dies, and another one over a connection to its next process. The
// list reports that start 14 s late. It returns the clients' connection and the one to the next process.
func newRestartedServer(t *testing.T, answersProbes bool) (h *harness, cl, next *peer) {
	h, s1 := newSingleServerHarness(t, 256)
	feed := h.acceptFollower()
	cl = h.connect()
	old := h.established(s1, cl, testID(1))
	old.reset()
	h.waitFor("the break is seen", func(n *Node) bool { return n.servers[0].brokeAt > 0 && len(n.servers[0].conns) == 0 })
	next = h.established(s1, cl, testID(2))
	s1.ignoreProbes.Store(!answersProbes)
	const late = 14.0
	h.inspect(func(n *Node) { // as if all that had happened so long ago
		sv := n.servers[0]
		sv.brokeAt -= late
		for _, s := range sv.sessions {
			s.establishedAt -= late
			s.setUpOn.openedAt -= late
		}
	})
	startedAtMs := time.Now().Add(-time.Duration(late * float64(time.Second))).UnixMilli()
	entry := strings.Replace(listEntry("s-1", s1.Addr().String(), "up"), `"startedAtMs":0`, fmt.Sprintf(`"startedAtMs":%d`, startedAtMs), 1)
	fmt.Fprintf(feed, "%s\n", listEvent(2, false, entry))
	if r := cl.expect(rtsp.TearDown); parseCause(r) != causeLost || r.Session() != testID(1) {
		t.Errorf("released %+v", r.Header)
	}
	return h, cl, next
}

// A server's restart is reported late: only the sessions of the earlier process end. Those of the new one that were set up more than 10 s
// before the report were released too, while they played.
func TestLateReportOfARestart(t *testing.T) {
	h, _, next := newRestartedServer(t, true)
	h.waitFor("the new process has shown itself", func(n *Node) bool { return !n.servers[0].conns[0].awaitsProof })
	next.reset()
	h.waitFor("the connection has ended", func(n *Node) bool { return len(n.servers[0].conns) == 0 })
	h.inspect(func(n *Node) {
		if len(n.servers[0].sessions) != 1 || n.sessions[testID(2)] == nil {
			t.Errorf("%d sessions stand", len(n.servers[0].sessions))
		}
	})
}

// A connection that seemed to belong to the new process ends without a word after the report: its sessions were of the earlier one.
func TestLateReportOfARestartThatTheConnectionDoesNotSurvive(t *testing.T) {
	h, cl, next := newRestartedServer(t, false)
	next.reset()
	if r := cl.expect(rtsp.TearDown); parseCause(r) != causeLost || r.Session() != testID(2) {
		t.Errorf("released %+v", r.Header)
	}
	h.waitFor("no session stands", func(n *Node) bool { return len(n.sessions) == 0 })
}
