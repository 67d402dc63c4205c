package node

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"rainhaven/choice/lifecycle"
	"rainhaven/choice/share"
	"rainhaven/internal/node/start"
	"rainhaven/internal/rtsp"
)

func TestServedAndReleased(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl := h.connect()
	cl.setup(testID(1), "paid", "")
	x, _ := h.expectAt(rtsp.Setup, s1)
	m := x.msg
	if m.URL != "rtsp://media/t1" || m.Session() != testID(1) || m.Header.Get("Subject") != "paid" || string(m.Body) != requestBody || m.Header.Get("X-Facts") != "" {
		t.Errorf("forwarded as %+v %q", m.Header, m.Body)
	}
	if q := m.Header.Get("X-Quality"); q < "1" || q > "4" {
		t.Errorf("rung %q below the floor or above the top", q)
	}
	if p, _ := strconv.Atoi(m.Header.Get("X-Patience")); p < 500 || p > 1488 { // the client's patience, less the margin and the elapsed time
		t.Errorf("deadline of %d ms", p)
	}
	x.conn.sendf("RTSP/1.0 100 Trying\r\nCSeq: 1\r\nSession: %s\r\nContent-Length: 0\r\n\r\n", testID(1))
	x.conn.answer(m, 200, answerBody)
	if a := cl.expect("200"); string(a.Body) != answerBody || a.Session() != testID(1) || a.CSeq() != 1 {
		t.Errorf("answered %+v %q", a.Header, a.Body)
	}
	h.inspect(func(n *Node) {
		if s := n.sessions[testID(1)]; s == nil || s.state != established || n.openRequests != 0 || len(n.servers[0].sessions) != 1 {
			t.Error("the session is not established")
		}
	})
	x.conn.tearDown(testID(1), 16)
	x.conn.tearDown(testID(1), 16) // a repeated release
	if r := cl.expect(rtsp.TearDown); r.Header.Get("Reason") != "cause=16" || r.Session() != testID(1) {
		t.Errorf("released with %+v", r.Header)
	}
	cl.setup(testID(2), "free", "")
	x, _ = h.expectAt(rtsp.Setup, s1)
	x.conn.answer(x.msg, 200, answerBody)
	cl.expect("200") // and no second release before it
	cl.tearDown(testID(2), 0)
	y, _ := h.expectAt(rtsp.TearDown, s1)
	if parseCause(y.msg) != causeMoved {
		t.Errorf("ended with %+v", y.msg.Header)
	}
	h.waitFor("the session is forgotten", func(n *Node) bool {
		return len(n.sessions) == 0 && n.openRequests == 0 && len(n.servers[0].sessions) == 0
	})
}

// Each outcome of a first SETUP decides whether it is retried at another server and what the client is answered.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		class, want string
		retried     bool // a second server gets a SETUP, and serves
		do          func(x receivedMessage, fs *fakeServer)
	}{
		"full":                  {"paid", "200", true, func(x receivedMessage, _ *fakeServer) { x.conn.answer(x.msg, 453, "") }},
		"not found":             {"paid", "200", true, func(x receivedMessage, _ *fakeServer) { x.conn.answer(x.msg, 454, "") }},
		"error":                 {"free", "200", true, func(x receivedMessage, _ *fakeServer) { x.conn.answer(x.msg, 500, "") }},
		"paid, error":           {"paid", "500", false, func(x receivedMessage, _ *fakeServer) { x.conn.answer(x.msg, 500, "") }},
		"gateway timeout":       {"free", "200", true, func(x receivedMessage, _ *fakeServer) { x.conn.answer(x.msg, 504, "") }},
		"paid, gateway timeout": {"paid", "500", false, func(x receivedMessage, _ *fakeServer) { x.conn.answer(x.msg, 504, "") }},
		"another status":        {"paid", "500", false, func(x receivedMessage, _ *fakeServer) { x.conn.answer(x.msg, 302, "") }},
		"released first":        {"paid", "500", false, func(x receivedMessage, _ *fakeServer) { x.conn.tearDown(x.msg.Session(), 41) }},
		"closed":                {"free", "200", true, func(x receivedMessage, _ *fakeServer) { x.conn.Close() }},
		"paid, closed":          {"paid", "500", false, func(x receivedMessage, _ *fakeServer) { x.conn.Close() }},
		"dies":                  {"paid", "500", false, func(_ receivedMessage, fs *fakeServer) { fs.kill() }},
		"silent":                {"free", "200", true, func(receivedMessage, *fakeServer) {}},
		"garbage":               {"free", "200", true, func(x receivedMessage, _ *fakeServer) { x.conn.sendf("\x00\xffgarbage\r\n\r\n") }},
		"paid, garbage":         {"paid", "500", false, func(x receivedMessage, _ *fakeServer) { x.conn.sendf("RTSP/1.0 2x0 OK\r\n\r\n") }},
		"an endless line":       {"free", "200", true, func(x receivedMessage, _ *fakeServer) { x.conn.sendf("%s", strings.Repeat("x", 8000)) }},
		"claims 3 GB": {"free", "200", true, func(x receivedMessage, _ *fakeServer) {
			x.conn.sendf("RTSP/1.0 200 OK\r\nSession: %s\r\nContent-Length: 3221225472\r\n\r\nx", x.msg.Session())
		}},
		"length too short": {"paid", "500", false, func(x receivedMessage, _ *fakeServer) {
			x.conn.sendf("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: %s\r\nContent-Length: 30\r\n\r\n%s", x.msg.Session(), answerBody)
		}},
		"length too long": {"free", "200", true, func(x receivedMessage, _ *fakeServer) {
			x.conn.sendf("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: %s\r\nContent-Length: 900\r\n\r\n%s", x.msg.Session(), answerBody)
		}},
		"no description": {"free", "200", true, func(x receivedMessage, _ *fakeServer) { x.conn.answer(x.msg, 200, "") }},
		"truncated":      {"free", "200", true, func(x receivedMessage, _ *fakeServer) { x.conn.sendf("RTSP/1.0 200 OK\r\nSess") }},
		"answered twice": {"paid", "200", false, func(x receivedMessage, _ *fakeServer) {
			x.conn.answer(x.msg, 200, answerBody)
			x.conn.answer(x.msg, 200, answerBody)
		}},
		"unknown id first": {"paid", "200", false, func(x receivedMessage, _ *fakeServer) {
			x.conn.sendf("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: %s\r\nContent-Length: 0\r\n\r\n", testID(99))
			x.conn.answer(x.msg, 200, answerBody)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			var s [2]*fakeServer
			h := newHarness(t, 256, func(h *harness) []*fakeServer {
				s = [2]*fakeServer{h.startServer("s-1"), h.startServer("s-2")}
				return s[:]
			})
			cl := h.connect()
			cl.setup(testID(1), c.class, "")
			x, fs := h.expectAt(rtsp.Setup, s[0], s[1])
			c.do(x, fs)
			if c.retried {
				other := s[0]
				if fs == other {
					other = s[1]
				}
				y, _ := h.expectAt(rtsp.Setup, other)
				y.conn.answer(y.msg, 200, answerBody)
			}
			if a := cl.expect(c.want); c.want == "200" && string(a.Body) != answerBody {
				t.Errorf("got a description that no server sent: %q", a.Body)
			}
			// The connection keeps working, and nothing else was sent for the first session.
			cl.sendf("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nSession: %s\r\nContent-Length: 0\r\n\r\n", testID(50))
			if a := cl.expect("200"); a.Session() != testID(50) {
				t.Errorf("got a second answer for session %s", a.Session())
			}
			h.waitFor("no request is open", func(n *Node) bool { return n.openRequests == 0 })
		})
	}
}

// A refused connection proves that the SETUP had no effect: even a paid request is answered 503 (safe to repeat).
func TestConnectionRefused(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	s1.kill()
	cl := h.connect()
	cl.setup(testID(1), "paid", "")
	cl.expect("503")
}

// An idle connection was reset: a SETUP that is assigned to it goes over a new connection, as no byte of it was sent.
func TestSetupOverACutConnection(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl := h.connect()
	cl.setup(testID(1), "paid", "")
	x := h.serveNext(s1, cl)
	x.conn.Conn.(*net.TCPConn).SetLinger(0)
	x.conn.Close()
	h.waitFor("the reset is handled and a new connection is open", func(n *Node) bool {
		c := n.servers[0].conns
		return len(c) == 1 && c[0].up && len(n.servers[0].sessions) == 1
	})
	cl.setup(testID(2), "paid", "")
	y := h.serveNext(s1, cl)
	y.conn.tearDown(testID(1), 16) // an established session belongs to no connection
	if r := cl.expect(rtsp.TearDown); r.Session() != testID(1) {
		t.Errorf("released %s", r.Session())
	}
}

func TestCancelledRequests(t *testing.T) {
	t.Run("answered afterwards", func(t *testing.T) {
		h, s1 := newSingleServerHarness(t, 256)
		cl := h.connect()
		cl.setup(testID(1), "free", "")
		x, _ := h.expectAt(rtsp.Setup, s1)
		cl.tearDown(testID(1), 0)
		y, _ := h.expectAt(rtsp.TearDown, s1)
		if parseCause(y.msg) != 0 {
			t.Error("a SETUP in flight must be cancelled, not released")
		}
		x.conn.answer(x.msg, 200, answerBody)
		if z, _ := h.expectAt(rtsp.TearDown, s1); parseCause(z.msg) != causeMoved || z.msg.Session() != testID(1) {
			t.Errorf("the late session is not released: %+v", z.msg.Header)
		}
		if m := cl.expect("200"); m.CSeq() != 2 {
			t.Error("got an answer to a cancelled request")
		}
		h.waitFor("the requests are forgotten", func(n *Node) bool { return len(n.sessions) == 0 && len(n.abandonedSetups) == 0 && n.openRequests == 0 })
	})
	t.Run("by closing", func(t *testing.T) {
		h, s1 := newSingleServerHarness(t, 256)
		cl := h.connect()
		cl.setup(testID(1), "free", "")
		h.expectAt(rtsp.Setup, s1)
		cl.Close()
		h.expectAt(rtsp.TearDown, s1)
		h.waitFor("the requests are forgotten", func(n *Node) bool { return len(n.sessions) == 0 && n.openRequests == 0 && len(n.clients) == 0 })
	})
	t.Run("hundreds at once", func(t *testing.T) {
		h, s1 := newSingleServerHarness(t, 256)
		cl := h.connect()
		for k := range 300 {
			cl.setup(testID(k), "free", "")
		}
		for k := range 300 {
			cl.tearDown(testID(k), 0)
		}
		h.waitFor("the requests are forgotten", func(n *Node) bool { return n.counts["asked"] > 0 && len(n.sessions) == 0 && n.openRequests == 0 })
		other := h.connect()
		other.setup(testID(1000), "free", "")
		for {
			x := <-s1.received
			if x.msg.Method == rtsp.Setup && x.msg.Session() == testID(1000) {
				x.conn.answer(x.msg, 200, answerBody)
				break
			}
		}
		other.expect("200")
	})
}

// Malformed requests are refused or their connections closed, nothing of them is served, and other clients are not affected.
func TestBadClients(t *testing.T) {
	head := "SETUP rtsp://media/t1 RTSP/1.0\r\nCSeq: 1\r\nSession: " + testID(7) + "\r\nSubject: free\r\n"
	for name, c := range map[string]struct{ input, want string }{
		"garbage":                      {"\x00\x01\x02 nonsense\r\n\r\n", "400"},
		"endless line":                 {strings.Repeat("a", 9000), "414"},
		"endless header":               {head + strings.Repeat("X-A: "+strings.Repeat("b", 2000)+"\r\n", 12), "413"},
		"60 MB":                        {head + "X-Patience: 1500\r\nContent-Length: 62914560\r\n\r\nxxxx", "413"},
		"negative length":              {head + "Content-Length: -5\r\n\r\n", "400"},
		"non-numeric length":           {head + "Content-Length: many\r\n\r\n", "400"},
		"unknown class":                {"SETUP rtsp://media/t1 RTSP/1.0\r\nCSeq: 1\r\nSession: " + testID(7) + "\r\nSubject: royal\r\nX-Patience: 9\r\n\r\n", "400"},
		"no session id":                {"SETUP rtsp://media/t1 RTSP/1.0\r\nCSeq: 1\r\nSubject: free\r\nX-Patience: 9\r\n\r\n", "400"},
		"patience 1e99":                {head + "X-Patience: 1e99\r\n\r\n", "400"},
		"negative patience":            {head + "X-Patience: -1\r\n\r\n", "400"},
		"home 99":                      {head + "X-Patience: 900\r\nX-Facts: home:99;copies:1;top:0\r\n\r\n", "400"},
		"copies none":                  {head + "X-Patience: 900\r\nX-Facts: home:0;copies:none\r\n\r\n", "400"},
		"top 5":                        {head + "X-Patience: 900\r\nX-Facts: home:0;copies:1;top:5\r\n\r\n", "400"},
		"no title":                     {strings.Replace(head, "t1", "", 1) + "X-Patience: 900\r\n\r\n", "400"},
		"another method":               {"PLAY rtsp://media/t1 RTSP/1.0\r\nCSeq: 1\r\n\r\n", "501"},
		"an interleaved frame":         {"$\x00\xff\xff", "400"},
		"duplicate session id":         {strings.Repeat(head+"X-Patience: 900\r\nX-Facts: home:0;copies:4\r\nContent-Length: 0\r\n\r\n", 2), "400"},
		"half a request, then silence": {head, "closed"},
		"silence":                      {"", "closed"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h, s1 := newSingleServerHarness(t, 256)
			cl := h.connect()
			cl.sendf("%s", c.input)
			cl.expect(c.want)
			h.waitFor("the request is forgotten", func(n *Node) bool { return len(n.sessions) == 0 && n.openRequests == 0 })
			other := h.connect()
			other.setup(testID(8), "free", "")
			for x := range s1.received {
				if x.msg.Session() == testID(8) {
					x.conn.answer(x.msg, 200, answerBody)
					break
				}
			}
			other.expect("200")
		})
	}
}

// A request with the session id of another connection's open request is refused, and the open request continues.
func TestSessionIDOpenOnAnotherConnection(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl, other := h.connect(), h.connect()
	cl.setup(testID(1), "paid", "")
	x, _ := h.expectAt(rtsp.Setup, s1)
	other.setup(testID(1), "paid", "")
	other.expect("400")
	x.conn.answer(x.msg, 200, answerBody)
	cl.expect("200")
}

// Hundreds of silent connections are evicted, and another client is served meanwhile.
func TestSilentConnectionsAreEvicted(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl := h.connect()
	cl.setup(testID(1), "free", "")
	x, _ := h.expectAt(rtsp.Setup, s1)
	for range 300 {
		h.connect()
	}
	h.waitFor("the connections are within the limit", func(n *Node) bool {
		open := 0
		for _, cl := range n.clients {
			if !cl.isClosing() {
				open++
			}
		}
		return open <= share.MaxViewerConns(256, 0)
	})
	x.conn.answer(x.msg, 200, answerBody)
	cl.expect("200")
	other := h.connect()
	other.setup(testID(2), "free", "")
	h.serveNext(s1, other)
	h.waitFor("the silent connections are closed", func(n *Node) bool { return len(n.clients) == 2 })
}

// Connections that only send OPTIONS and hold every slot are evicted in favour of a new one, which has sent nothing yet.
func TestNewConnectionIsNotEvicted(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 64)
	for range share.MaxViewerConns(64, 0) + 5 {
		cl := h.connect()
		cl.sendf("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
		cl.expect("200")
	}
	other := h.connect()
	h.waitFor("the new connection is accepted", func(n *Node) bool { return n.counts["viewers"] == share.MaxViewerConns(64, 0)+6 })
	other.setup(testID(1), "free", "")
	h.serveNext(s1, other)
}

// Requests over a connection's limit are answered 503 at once: they had no effect.
func TestRequestsOverTheLimit(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl := h.connect()
	for k := range share.MaxPendingPerConn + 1 {
		cl.setup(testID(k), "free", "")
	}
	if m := cl.expect("503"); m.Session() != testID(share.MaxPendingPerConn) {
		t.Errorf("refused %s", m.Session())
	}
	for range share.MaxPendingPerConn {
		x, _ := h.expectAt(rtsp.Setup, s1)
		x.conn.answer(x.msg, 200, answerBody)
	}
	for range share.MaxPendingPerConn {
		cl.expect("200")
	}
}

func TestServerLost(t *testing.T) {
	t.Run("process dies", func(t *testing.T) {
		h, s1 := newSingleServerHarness(t, 256)
		cl := h.connect()
		cl.setup(testID(1), "paid", "")
		h.serveNext(s1, cl)
		s1.kill()
		if r := cl.expect(rtsp.TearDown); parseCause(r) != causeLost {
			t.Errorf("released with %+v", r.Header)
		}
	})
	t.Run("process is silent", func(t *testing.T) {
		h, s1 := newSingleServerHarness(t, 256)
		cl := h.connect()
		cl.setup(testID(1), "paid", "")
		h.serveNext(s1, cl)
		s1.ignoreProbes.Store(true) // its connections stay open
		// The client must be notified within 8 s.
		if r := cl.expectWithin(8*time.Second, rtsp.TearDown); parseCause(r) != causeLost {
			t.Errorf("released with %+v", r.Header)
		}
	})
}

func TestHandedOver(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl := h.connect()
	cl.setup(testID(1), "paid", ";at:s-1")
	cl.setup(testID(1), "paid", ";at:s-1")
	cl.setup(testID(2), "paid", ";at:s-1")
	h.waitFor("both are established", func(n *Node) bool { return len(n.sessions) == 2 && len(n.servers[0].sessions) == 2 })
	h.waitFor("a connection is open on which releases can arrive", func(n *Node) bool {
		return len(n.servers[0].conns) == 1 && n.servers[0].conns[0].up
	})
	p := s1.firstConn()
	p.sendf("ANNOUNCE rtsp://media/t1 RTSP/1.0\r\nSession: %s\r\nX-Note: at_rung\r\nX-Reading: 3\r\nContent-Length: 0\r\n\r\n", testID(2))
	p.tearDown(testID(1), 16)
	if r := cl.expect(rtsp.TearDown); r.Session() != testID(1) { // and no answer to any of the three requests
		t.Errorf("released %s", r.Session())
	}
	cl.setup(testID(3), "paid", ";at:s-9") // a server that is not listed
	if r := cl.expect(rtsp.TearDown); r.Session() != testID(3) {
		t.Errorf("released %s", r.Session())
	}
	h.inspect(func(n *Node) { // the stored session is small
		if s := n.sessions[testID(2)]; s == nil || s.body != nil {
			t.Error("a handed-over session keeps its description")
		}
		n.config.MemoryMB = 0
	})
	other := h.connect()
	for k := range share.MaxHandedOver(0) + 5 { // sessions over the limit are released at once
		other.setup(testID(100+k), "free", ";at:s-1")
	}
	other.expect(rtsp.TearDown)
	h.waitFor("the sessions are within the limit", func(n *Node) bool { return len(n.sessions) == share.MaxHandedOver(0) })
	h.inspect(func(n *Node) { n.config.MemoryMB = 64 })
	p.tearDown(testID(4), 41) // released before it is handed over
	h.waitFor("the release is remembered", func(n *Node) bool { return n.endedSessions.find(n.now, testID(4)) != nil })
	cl.setup(testID(4), "paid", ";at:s-1")
	if r := cl.expect(rtsp.TearDown); r.Session() != testID(4) {
		t.Errorf("released %s", r.Session())
	}
}

// A release whose client's connection has closed is sent on another connection: as soon as that is open, and once more when it has
// served a session.
func TestReleasedOnAnotherConnection(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl := h.connect()
	cl.setup(testID(1), "free", "")
	x := h.serveNext(s1, cl)
	cl.Close()
	h.waitFor("the client's connection is closed", func(n *Node) bool { return len(n.clients) == 0 && len(n.sessions) == 1 })
	x.conn.tearDown(testID(1), 16)
	h.waitFor("the release is pending", func(n *Node) bool { return len(n.pendingReleases) == 1 })
	other := h.connect()
	if r := other.expect(rtsp.TearDown); r.Session() != testID(1) {
		t.Errorf("released %s", r.Session())
	}
	other.setup(testID(2), "free", "")
	h.serveNext(s1, other)
	h.waitFor("nothing is pending", func(n *Node) bool { return len(n.pendingReleases) == 0 })
}

func TestCoordinator(t *testing.T) {
	var s1, s2 *fakeServer
	h := newHarness(t, 256, func(h *harness) []*fakeServer {
		s1, s2 = h.startServer("s-1"), h.startServer("s-2")
		return []*fakeServer{s1}
	})
	c := h.acceptFollower()
	if c.after != 1 {
		t.Fatalf("follows %d", c.after)
	}
	state := func(want string) {
		t.Helper()
		h.waitFor(want, func(n *Node) bool {
			got := ""
			for _, sv := range n.servers {
				got += fmt.Sprintf("%s:%d ", sv.id, sv.state)
			}
			return got == want
		})
	}
	fmt.Fprintf(c, "%s\n1\n%s\n", listEvent(2, false, listEntry("s-2", s2.Addr().String(), "up")), listEvent(2, false, listEntry("s-2", s2.Addr().String(), "up")))
	state("s-1:1 s-2:1 ")
	fmt.Fprintf(c, "%s", listEvent(3, false, listEntry("s-1", s1.Addr().String(), "draining"))[:40]) // half an event
	c.Close()
	if c = h.acceptFollower(); c.after != 2 {
		t.Fatalf("follows %d after half an event", c.after)
	}
	fmt.Fprintf(c, "%s\n", listEvent(3, false, listEntry("s-1", s1.Addr().String(), "draining")))
	state("s-1:2 s-2:1 ")
	cl := h.connect()
	cl.setup(testID(1), "free", "")
	x, _ := h.expectAt(rtsp.Setup, s2)
	x.conn.answer(x.msg, 200, answerBody)
	cl.expect("200")
	fmt.Fprintf(c, "9\n") // index 9: the events before it are missing
	if c = h.acceptFollower(); c.after != 3 {
		t.Fatalf("follows %d after a gap", c.after)
	}
	// The connection stays open and silent.
	if c = h.acceptFollower(); c.after != 3 {
		t.Fatalf("follows %d after a silence", c.after)
	}
	// s-2 is removed while it has a session, and its address now belongs to s-3.
	fmt.Fprintf(c, "%s\n%s\n", listEvent(4, false, listEntry("s-2", "", "removed")), listEvent(5, false, listEntry("s-3", s2.Addr().String(), "up")))
	h.waitFor("s-2 is kept until its session ends", func(n *Node) bool {
		return len(n.servers) == 3 && n.servers[1].id == "s-2" && n.servers[2].id == "s-3" && len(n.servers[1].sessions) == 1
	})
	x.conn.Close()
	if r := cl.expect(rtsp.TearDown); r.Session() != testID(1) {
		t.Errorf("released %s", r.Session())
	}
	state("s-1:2 s-3:1 ")
}

// A server starts to drain while a SETUP waits for its connection: the SETUP is never sent.
func TestDrainBeforeTheSetupLeft(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl := h.connect()
	h.inspect(func(n *Node) { // the connection is still being opened
		n.servers[0].conns = []*serverConn{{server: n.servers[0], cancelDial: func() {}}}
	})
	cl.setup(testID(1), "paid", "")
	h.waitFor("the SETUP waits", func(n *Node) bool { return n.openRequests == 1 && len(n.servers[0].conns) == 1 })
	fmt.Fprintf(h.acceptFollower(), "%s\n", listEvent(2, false, listEntry("s-1", s1.Addr().String(), "draining")))
	cl.expect("503")
}

func TestReload(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	h.acceptFollower()
	failed := make(chan bool, 1)
	h.reloadConfig = func() (*start.Config, error) { failed <- true; return nil, errors.New("half a file") }
	h.reloadSignals <- syscall.SIGHUP
	<-failed
	listener, follows := h.startCoordinator()
	h.reloadConfig = func() (*start.Config, error) { return &start.Config{Coordinator: listener.Addr().String()}, nil }
	h.reloadSignals <- syscall.SIGHUP
	select {
	case c := <-follows:
		if c.after != 1 {
			t.Errorf("follows %d", c.after)
		}
		fmt.Fprintf(c, "%s\n", listEvent(2, false, listEntry("s-1", s1.Addr().String(), "draining")))
		h.waitFor("the new coordinator's event is applied", func(n *Node) bool { return n.servers[0].state == 2 })
		c.Close()
	case <-time.After(testTimeout):
		t.Fatal("the new coordinator is not followed")
	}
}

func TestTerminated(t *testing.T) {
	h, s1 := newSingleServerHarness(t, 256)
	cl := h.connect()
	ping := func(want string) {
		t.Helper()
		cl.sendf("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
		cl.expect(want)
	}
	ping("200")
	h.terminationSignals <- syscall.SIGTERM
	drainStart := 0.0
	h.waitFor("the node drains", func(n *Node) bool { drainStart = n.now; return !n.ready })
	ping("503")
	w := h.connect() // connections and requests are still accepted
	w.setup(testID(1), "free", "")
	h.serveNext(s1, w)
	// The node stays while it has a session, but exits before SIGKILL, which follows 0.7 s after the longest setup timeout.
	h.inspect(func(n *Node) {
		if d := n.lifecycle.NextWakeup() - drainStart; d < 1.2 || d > n.config.SetupTimeout+0.7 {
			t.Errorf("exit %v s after SIGTERM", d)
		}
	})
	select {
	case code := <-h.exitCode:
		if code != lifecycle.ExitClean {
			t.Errorf("exit %d", code)
		}
		h.exitCode <- code
	case <-time.After(testTimeout):
		t.Fatal("the node does not exit")
	}
}

// Ten thousand sessions, with two hundred replacements of servers at the same address: tables, connections and goroutines must not
// grow.
func TestChurn(t *testing.T) {
	if testing.Short() {
		t.Skip()
	}
	var servers []*fakeServer
	h := newHarness(t, 256, func(h *harness) []*fakeServer {
		for k := range 4 {
			servers = append(servers, h.startServer(fmt.Sprintf("s-%d", k)))
		}
		return servers
	})
	stop := make(chan struct{})
	defer close(stop)
	for _, fs := range servers {
		go func() {
			for {
				select {
				case x := <-fs.received:
					if x.msg.Method == rtsp.Setup {
						x.conn.answer(x.msg, 200, answerBody)
					}
				case <-stop:
					return
				}
			}
		}()
	}
	c := h.acceptFollower()
	index := 1
	for round := range 200 {
		cl := h.connect()
		for k := range 50 {
			cl.setup(testID(round*50+k), "free", "")
		}
		for range 50 {
			if m := cl.next(); m.Status != 200 && m.Status != 503 {
				t.Fatalf("round %d: %s", round, messageKind(m))
			}
		}
		for k := range 50 {
			cl.tearDown(testID(round*50+k), 16)
		}
		fs := servers[round%len(servers)]
		index += 2
		fmt.Fprintf(c, "%s\n%s\n", listEvent(index-1, false, listEntry(fs.name, "", "removed")), listEvent(index, false, listEntry(fmt.Sprintf("s-%d", 100+round), fs.Addr().String(), "up")))
		fs.name = fmt.Sprintf("s-%d", 100+round)
		// The module's count of sessions matches the node's.
		h.inspect(func(n *Node) {
			for _, b := range n.front.ServerEstimates() {
				if sv := n.serversByNumber[b.Server]; len(n.moduleEvents) == 0 && (sv == nil && b.Sessions > 0 || sv != nil && b.Sessions != len(sv.sessions)+sv.pendingSetups()) {
					t.Errorf("round %d: the module counts %d sessions at %d", round, b.Sessions, b.Server)
				}
			}
		})
		h.waitFor("the round has ended", func(n *Node) bool { return len(n.sessions) == 0 && n.lastIndex == int64(index) && len(n.servers) <= 6 })
		cl.Close()
	}
	h.waitFor("the tables are as at the start", func(n *Node) bool {
		conns := 0
		for _, sv := range n.servers {
			conns += len(sv.conns)
		}
		return len(n.servers) == 4 && len(n.serversByNumber) == 4 && len(n.clients) <= 1 && n.openRequests == 0 && conns <= 32 && len(n.pendingReleases) == 0 && len(n.counts) < 20
	})
}

// No input of a client or a server makes the node panic, and what it accepts is within its bounds.
func FuzzClient(f *testing.F) {
	f.Add([]byte("SETUP rtsp://media/t1 RTSP/1.0\r\nCSeq: 1\r\nSession: 9b1f03aa5c7e2d41\r\nSubject: paid\r\nX-Patience: 1500\r\nX-Facts: home:0;copies:2;top:1;at:s-1\r\n\r\n"))
	f.Add([]byte("TEARDOWN rtsp://media/ RTSP/1.0\r\nSession: x\r\nReason: cause=999999999999999999999\r\n\r\n"))
	s, err := start.Parse([]byte(fmt.Sprintf(`{"listen":"127.0.0.1:0","coordinator":"127.0.0.1:1","seed":"1","settings":%s}`, fmt.Sprintf(settingsJSON, false))))
	if err != nil {
		f.Fatal(err)
	}
	n := &Node{config: s}
	f.Fuzz(func(t *testing.T, in []byte) {
		c := rtsp.NewConn(readerConn{bytes.NewReader(in)}, messageBounds)
		for {
			m, _, err := c.Next()
			if err != nil || m == nil {
				return
			}
			if len(m.Body) > 16<<10 {
				t.Fatalf("a body of %d bytes", len(m.Body))
			}
			c.OutOfSync()
			if r := parseLoadReport(m); r.Link > 100 || r.Uplink > 100 {
				t.Fatalf("%+v", r)
			}
			if a, err := n.parseSetup(m); err == nil && (a.request.CellCount < 1 || a.request.BestRung >= len(s.Choice.Ladder) || a.request.StartCell < 0 || a.currentServer == "" && a.patience <= 0) {
				t.Fatalf("%+v", a)
			}
			parseCause(m)
		}
	})
}

// readerConn is a connection that reads from memory.
type readerConn struct{ *bytes.Reader }

func (readerConn) Close() error                     { return nil }
func (readerConn) LocalAddr() net.Addr              { return nil }
func (readerConn) RemoteAddr() net.Addr             { return nil }
func (readerConn) SetDeadline(time.Time) error      { return nil }
func (readerConn) SetReadDeadline(time.Time) error  { return nil }
func (readerConn) SetWriteDeadline(time.Time) error { return nil }
func (readerConn) Write(b []byte) (int, error)      { return len(b), nil }

// The node exits even if a server connection was opened that the loop has not handled, and that stays open and silent.
func TestExitWithUnreportedServerConnection(t *testing.T) {
	h, _ := newSingleServerHarness(t, 256)
	h.inspect(func(n *Node) {
		n.dialServer(n.servers[0])
		for len(n.events) == 0 { // the connection is open, and its event is never handled
			time.Sleep(time.Millisecond)
		}
		n.exiting = true
	})
	select {
	case code := <-h.exitCode:
		h.exitCode <- code
	case <-time.After(testTimeout):
		t.Fatal("the node does not exit")
	}
}
