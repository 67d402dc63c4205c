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
	f, s1 := newSingleServerHarness(t, 256)
	v := f.connect()
	v.setup(testID(1), "paid", "")
	x, _ := f.expectAt(rtsp.Setup, s1)
	m := x.msg
	if m.URL != "rtsp://media/t1" || m.Session() != testID(1) || m.Header.Get("Subject") != "paid" || string(m.Body) != requestBody || m.Header.Get("X-Facts") != "" {
		t.Errorf("passed on as %+v %q", m.Header, m.Body)
	}
	if q := m.Header.Get("X-Quality"); q < "1" || q > "4" {
		t.Errorf("rung %q under the floor or over the top", q)
	}
	if p, _ := strconv.Atoi(m.Header.Get("X-Patience")); p < 500 || p > 1488 { // what the client waits, less the margin and what has gone by
		t.Errorf("waits %d ms", p)
	}
	x.conn.sendf("RTSP/1.0 100 Trying\r\nCSeq: 1\r\nSession: %s\r\nContent-Length: 0\r\n\r\n", testID(1))
	x.conn.answer(m, 200, answerBody)
	if a := v.expect("200"); string(a.Body) != answerBody || a.Session() != testID(1) || a.CSeq() != 1 {
		t.Errorf("answered %+v %q", a.Header, a.Body)
	}
	f.inspect(func(n *Node) {
		if s := n.sessions[testID(1)]; s == nil || s.state != established || n.openRequests != 0 || len(n.servers[0].sessions) != 1 {
			t.Error("it does not stand")
		}
	})
	x.conn.tearDown(testID(1), 16)
	x.conn.tearDown(testID(1), 16) // told twice
	if r := v.expect(rtsp.TearDown); r.Header.Get("Reason") != "cause=16" || r.Session() != testID(1) {
		t.Errorf("released with %+v", r.Header)
	}
	v.setup(testID(2), "free", "")
	x, _ = f.expectAt(rtsp.Setup, s1)
	x.conn.answer(x.msg, 200, answerBody)
	v.expect("200") // and no second release before it
	v.tearDown(testID(2), 0)
	y, _ := f.expectAt(rtsp.TearDown, s1)
	if parseCause(y.msg) != causeMoved {
		t.Errorf("cut with %+v", y.msg.Header)
	}
	f.waitFor("all is forgotten", func(n *Node) bool {
		return len(n.sessions) == 0 && n.openRequests == 0 && len(n.servers[0].sessions) == 0
	})
}

// What each outcome of a first SETUP brings about: whether it is repeated elsewhere, and what the client is told.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		class, want string
		again       bool // a second server is asked, and serves
		do          func(x receivedMessage, h *fakeServer)
	}{
		"full":               {"paid", "200", true, func(x receivedMessage, _ *fakeServer) { x.conn.answer(x.msg, 453, "") }},
		"moot":               {"paid", "200", true, func(x receivedMessage, _ *fakeServer) { x.conn.answer(x.msg, 454, "") }},
		"error":              {"free", "200", true, func(x receivedMessage, _ *fakeServer) { x.conn.answer(x.msg, 500, "") }},
		"paid, error":        {"paid", "500", false, func(x receivedMessage, _ *fakeServer) { x.conn.answer(x.msg, 500, "") }},
		"broken on its way":  {"free", "200", true, func(x receivedMessage, _ *fakeServer) { x.conn.answer(x.msg, 504, "") }},
		"paid, broken":       {"paid", "500", false, func(x receivedMessage, _ *fakeServer) { x.conn.answer(x.msg, 504, "") }},
		"another status":     {"paid", "500", false, func(x receivedMessage, _ *fakeServer) { x.conn.answer(x.msg, 302, "") }},
		"released before":    {"paid", "500", false, func(x receivedMessage, _ *fakeServer) { x.conn.tearDown(x.msg.Session(), 41) }},
		"cut":                {"free", "200", true, func(x receivedMessage, _ *fakeServer) { x.conn.Close() }},
		"paid, cut":          {"paid", "500", false, func(x receivedMessage, _ *fakeServer) { x.conn.Close() }},
		"dies":               {"paid", "500", false, func(_ receivedMessage, h *fakeServer) { h.kill() }},
		"silent":             {"free", "200", true, func(receivedMessage, *fakeServer) {}},
		"noise":              {"free", "200", true, func(x receivedMessage, _ *fakeServer) { x.conn.sendf("\x00\xffgarbage\r\n\r\n") }},
		"paid, noise":        {"paid", "500", false, func(x receivedMessage, _ *fakeServer) { x.conn.sendf("RTSP/1.0 2x0 OK\r\n\r\n") }},
		"a line without end": {"free", "200", true, func(x receivedMessage, _ *fakeServer) { x.conn.sendf("%s", strings.Repeat("x", 8000)) }},
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
		"stops short":    {"free", "200", true, func(x receivedMessage, _ *fakeServer) { x.conn.sendf("RTSP/1.0 200 OK\r\nSess") }},
		"a second copy": {"paid", "200", false, func(x receivedMessage, _ *fakeServer) {
			x.conn.answer(x.msg, 200, answerBody)
			x.conn.answer(x.msg, 200, answerBody)
		}},
		"unknown id in front": {"paid", "200", false, func(x receivedMessage, _ *fakeServer) {
			x.conn.sendf("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: %s\r\nContent-Length: 0\r\n\r\n", testID(99))
			x.conn.answer(x.msg, 200, answerBody)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			var s [2]*fakeServer
			f := newHarness(t, 256, func(f *harness) []*fakeServer {
				s = [2]*fakeServer{f.startServer("s-1"), f.startServer("s-2")}
				return s[:]
			})
			v := f.connect()
			v.setup(testID(1), c.class, "")
			x, h := f.expectAt(rtsp.Setup, s[0], s[1])
			c.do(x, h)
			if c.again {
				other := s[0]
				if h == other {
					other = s[1]
				}
				y, _ := f.expectAt(rtsp.Setup, other)
				y.conn.answer(y.msg, 200, answerBody)
			}
			if a := v.expect(c.want); c.want == "200" && string(a.Body) != answerBody {
				t.Errorf("a description that no server gave: %q", a.Body)
			}
			// Another session goes on as if nothing had been, and nothing else was said on the first.
			v.sendf("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nSession: %s\r\nContent-Length: 0\r\n\r\n", testID(50))
			if a := v.expect("200"); a.Session() != testID(50) {
				t.Errorf("%s said twice", a.Session())
			}
			f.waitFor("no request is open", func(n *Node) bool { return n.openRequests == 0 })
		})
	}
}

// Nothing listens at the only server: nothing ran, so a paid session may be told to come again.
func TestConnectionRefused(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 256)
	s1.kill()
	v := f.connect()
	v.setup(testID(1), "paid", "")
	v.expect("503")
}

// An idle connection that was cut meanwhile: the SETUP that meets it goes over a new one, as not a byte of it left.
func TestSetupOverACutConnection(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 256)
	v := f.connect()
	v.setup(testID(1), "paid", "")
	x := f.serveNext(s1, v)
	x.conn.Conn.(*net.TCPConn).SetLinger(0)
	x.conn.Close()
	f.waitFor("the cut is seen and a new connection is up", func(n *Node) bool {
		c := n.servers[0].conns
		return len(c) == 1 && c[0].up && len(n.servers[0].sessions) == 1
	})
	v.setup(testID(2), "paid", "")
	y := f.serveNext(s1, v)
	y.conn.tearDown(testID(1), 16) // no connection owns a session that stands
	if r := v.expect(rtsp.TearDown); r.Session() != testID(1) {
		t.Errorf("%s was released", r.Session())
	}
}

func TestCancelledRequests(t *testing.T) {
	t.Run("and answered after", func(t *testing.T) {
		f, s1 := newSingleServerHarness(t, 256)
		v := f.connect()
		v.setup(testID(1), "free", "")
		x, _ := f.expectAt(rtsp.Setup, s1)
		v.tearDown(testID(1), 0)
		y, _ := f.expectAt(rtsp.TearDown, s1)
		if parseCause(y.msg) != 0 {
			t.Error("a SETUP that is out is given up, not released")
		}
		x.conn.answer(x.msg, 200, answerBody)
		if z, _ := f.expectAt(rtsp.TearDown, s1); parseCause(z.msg) != causeMoved || z.msg.Session() != testID(1) {
			t.Errorf("what stands unasked is left: %+v", z.msg.Header)
		}
		if m := v.expect("200"); m.CSeq() != 2 {
			t.Error("an answer that is not owed")
		}
		f.waitFor("forgotten", func(n *Node) bool { return len(n.sessions) == 0 && len(n.abandonedSetups) == 0 && n.openRequests == 0 })
	})
	t.Run("by closing", func(t *testing.T) {
		f, s1 := newSingleServerHarness(t, 256)
		v := f.connect()
		v.setup(testID(1), "free", "")
		f.expectAt(rtsp.Setup, s1)
		v.Close()
		f.expectAt(rtsp.TearDown, s1)
		f.waitFor("forgotten", func(n *Node) bool { return len(n.sessions) == 0 && n.openRequests == 0 && len(n.clients) == 0 })
	})
	t.Run("hundreds at once", func(t *testing.T) {
		f, s1 := newSingleServerHarness(t, 256)
		v := f.connect()
		for k := range 300 {
			v.setup(testID(k), "free", "")
		}
		for k := range 300 {
			v.tearDown(testID(k), 0)
		}
		f.waitFor("forgotten", func(n *Node) bool { return n.counts["asked"] > 0 && len(n.sessions) == 0 && n.openRequests == 0 })
		w := f.connect()
		w.setup(testID(1000), "free", "")
		for {
			x := <-s1.received
			if x.msg.Method == rtsp.Setup && x.msg.Session() == testID(1000) {
				x.conn.answer(x.msg, 200, answerBody)
				break
			}
		}
		w.expect("200")
	})
}

// Bad clients are refused or closed, nothing of theirs is served, and usual ones notice nothing.
func TestBadClients(t *testing.T) {
	head := "SETUP rtsp://media/t1 RTSP/1.0\r\nCSeq: 1\r\nSession: " + testID(7) + "\r\nSubject: free\r\n"
	for name, c := range map[string]struct{ say, want string }{
		"noise":               {"\x00\x01\x02 nonsense\r\n\r\n", "400"},
		"endless line":        {strings.Repeat("a", 9000), "414"},
		"endless header":      {head + strings.Repeat("X-A: "+strings.Repeat("b", 2000)+"\r\n", 12), "413"},
		"60 MB":               {head + "X-Patience: 1500\r\nContent-Length: 62914560\r\n\r\nxxxx", "413"},
		"negative length":     {head + "Content-Length: -5\r\n\r\n", "400"},
		"length is no number": {head + "Content-Length: many\r\n\r\n", "400"},
		"unknown class":       {"SETUP rtsp://media/t1 RTSP/1.0\r\nCSeq: 1\r\nSession: " + testID(7) + "\r\nSubject: royal\r\nX-Patience: 9\r\n\r\n", "400"},
		"no id":               {"SETUP rtsp://media/t1 RTSP/1.0\r\nCSeq: 1\r\nSubject: free\r\nX-Patience: 9\r\n\r\n", "400"},
		"patience 1e99":       {head + "X-Patience: 1e99\r\n\r\n", "400"},
		"patience below 0":    {head + "X-Patience: -1\r\n\r\n", "400"},
		"home 99":             {head + "X-Patience: 900\r\nX-Facts: home:99;copies:1;top:0\r\n\r\n", "400"},
		"copies none":         {head + "X-Patience: 900\r\nX-Facts: home:0;copies:none\r\n\r\n", "400"},
		"top 5":               {head + "X-Patience: 900\r\nX-Facts: home:0;copies:1;top:5\r\n\r\n", "400"},
		"no title":            {strings.Replace(head, "t1", "", 1) + "X-Patience: 900\r\n\r\n", "400"},
		"another method":      {"PLAY rtsp://media/t1 RTSP/1.0\r\nCSeq: 1\r\n\r\n", "501"},
		"a frame":             {"$\x00\xff\xff", "400"},
		"two under one id":    {strings.Repeat(head+"X-Patience: 900\r\nX-Facts: home:0;copies:4\r\nContent-Length: 0\r\n\r\n", 2), "400"},
		"half and a silence":  {head, "closed"},
		"silence":             {"", "closed"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, s1 := newSingleServerHarness(t, 256)
			v := f.connect()
			v.sendf("%s", c.say)
			v.expect(c.want)
			f.waitFor("nothing is left of it", func(n *Node) bool { return len(n.sessions) == 0 && n.openRequests == 0 })
			w := f.connect()
			w.setup(testID(8), "free", "")
			for x := range s1.received {
				if x.msg.Session() == testID(8) {
					x.conn.answer(x.msg, 200, answerBody)
					break
				}
			}
			w.expect("200")
		})
	}
}

// Another connection that names an open request's id is refused, and the request goes on.
func TestSessionIDOpenOnAnotherConnection(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 256)
	v, w := f.connect(), f.connect()
	v.setup(testID(1), "paid", "")
	x, _ := f.expectAt(rtsp.Setup, s1)
	w.setup(testID(1), "paid", "")
	w.expect("400")
	x.conn.answer(x.msg, 200, answerBody)
	v.expect("200")
}

// Hundreds of connections that say nothing give way, and a usual client is served beside them.
func TestSilentConnectionsAreEvicted(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 256)
	v := f.connect()
	v.setup(testID(1), "free", "")
	x, _ := f.expectAt(rtsp.Setup, s1)
	for range 300 {
		f.connect()
	}
	f.waitFor("they are bounded", func(n *Node) bool {
		open := 0
		for _, v := range n.clients {
			if !v.isClosing() {
				open++
			}
		}
		return open <= share.MaxViewerConns(256, 0)
	})
	x.conn.answer(x.msg, 200, answerBody)
	v.expect("200")
	w := f.connect()
	w.setup(testID(2), "free", "")
	f.serveNext(s1, w)
	f.waitFor("the silent are gone", func(n *Node) bool { return len(n.clients) == 2 })
}

// Connections that only test, and hold every place, give way to a usual client's new one, which has said nothing yet.
func TestNewConnectionIsNotEvicted(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 64)
	for range share.MaxViewerConns(64, 0) + 5 {
		v := f.connect()
		v.sendf("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
		v.expect("200")
	}
	w := f.connect()
	f.waitFor("it is taken", func(n *Node) bool { return n.counts["viewers"] == share.MaxViewerConns(64, 0)+6 })
	w.setup(testID(1), "free", "")
	f.serveNext(s1, w)
}

// Requests past a connection's bound are told at once to come again, which is true: nothing of them ran.
func TestRequestsOverTheLimit(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 256)
	v := f.connect()
	for k := range share.MaxPendingPerConn + 1 {
		v.setup(testID(k), "free", "")
	}
	if m := v.expect("503"); m.Session() != testID(share.MaxPendingPerConn) {
		t.Errorf("%s was refused", m.Session())
	}
	for range share.MaxPendingPerConn {
		x, _ := f.expectAt(rtsp.Setup, s1)
		x.conn.answer(x.msg, 200, answerBody)
	}
	for range share.MaxPendingPerConn {
		v.expect("200")
	}
}

func TestServerLost(t *testing.T) {
	t.Run("its process dies", func(t *testing.T) {
		f, s1 := newSingleServerHarness(t, 256)
		v := f.connect()
		v.setup(testID(1), "paid", "")
		f.serveNext(s1, v)
		s1.kill()
		if r := v.expect(rtsp.TearDown); parseCause(r) != causeLost {
			t.Errorf("released with %+v", r.Header)
		}
	})
	t.Run("it is silent", func(t *testing.T) {
		f, s1 := newSingleServerHarness(t, 256)
		v := f.connect()
		v.setup(testID(1), "paid", "")
		f.serveNext(s1, v)
		s1.ignoreProbes.Store(true) // its connections stay open
		// What could not be released is owed its end within 8 s.
		if r := v.expectWithin(8*time.Second, rtsp.TearDown); parseCause(r) != causeLost {
			t.Errorf("released with %+v", r.Header)
		}
	})
}

func TestHandedOver(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 256)
	v := f.connect()
	v.setup(testID(1), "paid", ";at:s-1")
	v.setup(testID(1), "paid", ";at:s-1")
	v.setup(testID(2), "paid", ";at:s-1")
	f.waitFor("both stand", func(n *Node) bool { return len(n.sessions) == 2 && len(n.servers[0].sessions) == 2 })
	f.waitFor("a connection is open to hear their releases", func(n *Node) bool {
		return len(n.servers[0].conns) == 1 && n.servers[0].conns[0].up
	})
	p := s1.firstConn()
	p.sendf("ANNOUNCE rtsp://media/t1 RTSP/1.0\r\nSession: %s\r\nX-Note: at_rung\r\nX-Reading: 3\r\nContent-Length: 0\r\n\r\n", testID(2))
	p.tearDown(testID(1), 16)
	if r := v.expect(rtsp.TearDown); r.Session() != testID(1) { // and no answer to any of the three
		t.Errorf("released %s", r.Session())
	}
	v.setup(testID(3), "paid", ";at:s-9") // gone meanwhile
	if r := v.expect(rtsp.TearDown); r.Session() != testID(3) {
		t.Errorf("released %s", r.Session())
	}
	f.inspect(func(n *Node) { // what is kept of it is small
		if s := n.sessions[testID(2)]; s == nil || s.body != nil {
			t.Error("a handed session keeps its description")
		}
		n.config.MemoryMB = 0
	})
	w := f.connect()
	for k := range share.MaxHandedOver(0) + 5 { // claims without end: those past the bound are released at once
		w.setup(testID(100+k), "free", ";at:s-1")
	}
	w.expect(rtsp.TearDown)
	f.waitFor("bounded", func(n *Node) bool { return len(n.sessions) == share.MaxHandedOver(0) })
	f.inspect(func(n *Node) { n.config.MemoryMB = 64 })
	p.tearDown(testID(4), 41) // its release comes before it is told
	f.waitFor("remembered", func(n *Node) bool { return n.unknownReleases[testID(4)] })
	v.setup(testID(4), "paid", ";at:s-1")
	if r := v.expect(rtsp.TearDown); r.Session() != testID(4) {
		t.Errorf("released %s", r.Session())
	}
}

// A release finds its client's connection closed: it goes out on another that served a session.
func TestReleasedOnAnotherConnection(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 256)
	v := f.connect()
	v.setup(testID(1), "free", "")
	x := f.serveNext(s1, v)
	v.Close()
	f.waitFor("its connection is gone", func(n *Node) bool { return len(n.clients) == 0 && len(n.sessions) == 1 })
	x.conn.tearDown(testID(1), 16)
	f.waitFor("the release is owed", func(n *Node) bool { return len(n.pendingReleases) == 1 })
	w := f.connect()
	w.setup(testID(2), "free", "")
	f.serveNext(s1, w)
	if r := w.expect(rtsp.TearDown); r.Session() != testID(1) {
		t.Errorf("released %s", r.Session())
	}
}

func TestCoordinator(t *testing.T) {
	var s1, s2 *fakeServer
	f := newHarness(t, 256, func(f *harness) []*fakeServer {
		s1, s2 = f.startServer("s-1"), f.startServer("s-2")
		return []*fakeServer{s1}
	})
	c := f.acceptFollower()
	if c.after != 1 {
		t.Fatalf("follows %d", c.after)
	}
	state := func(want string) {
		t.Helper()
		f.waitFor(want, func(n *Node) bool {
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
	if c = f.acceptFollower(); c.after != 2 {
		t.Fatalf("follows %d after half an event", c.after)
	}
	fmt.Fprintf(c, "%s\n", listEvent(3, false, listEntry("s-1", s1.Addr().String(), "draining")))
	state("s-1:2 s-2:1 ")
	v := f.connect()
	v.setup(testID(1), "free", "")
	x, _ := f.expectAt(rtsp.Setup, s2)
	x.conn.answer(x.msg, 200, answerBody)
	v.expect("200")
	fmt.Fprintf(c, "9\n") // events up to 9 were never told
	if c = f.acceptFollower(); c.after != 3 {
		t.Fatalf("follows %d after a gap", c.after)
	}
	// It stays open and says nothing.
	if c = f.acceptFollower(); c.after != 3 {
		t.Fatalf("follows %d after a silence", c.after)
	}
	// s-2 goes while a session stands there, and its address belongs to s-3 now.
	fmt.Fprintf(c, "%s\n%s\n", listEvent(4, false, listEntry("s-2", "", "removed")), listEvent(5, false, listEntry("s-3", s2.Addr().String(), "up")))
	f.waitFor("s-2 is kept as long as its session stands", func(n *Node) bool {
		return len(n.servers) == 3 && n.servers[1].id == "s-2" && n.servers[2].id == "s-3" && len(n.servers[1].sessions) == 1
	})
	x.conn.Close()
	if r := v.expect(rtsp.TearDown); r.Session() != testID(1) {
		t.Errorf("released %s", r.Session())
	}
	state("s-1:2 s-3:1 ")
}

// A drain that is told while a SETUP waits for its connection: it is never sent.
func TestDrainBeforeTheSetupLeft(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 256)
	v := f.connect()
	f.inspect(func(n *Node) { // the connection that it takes is still being opened
		n.servers[0].conns = []*serverConn{{server: n.servers[0], cancelDial: func() {}}}
	})
	v.setup(testID(1), "paid", "")
	f.waitFor("it waits", func(n *Node) bool { return n.openRequests == 1 && len(n.servers[0].conns) == 1 })
	fmt.Fprintf(f.acceptFollower(), "%s\n", listEvent(2, false, listEntry("s-1", s1.Addr().String(), "draining")))
	v.expect("503")
}

func TestReload(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 256)
	f.acceptFollower()
	bad := make(chan bool, 1)
	f.reloadConfig = func() (*start.Start, error) { bad <- true; return nil, errors.New("half a file") }
	f.reloadSignals <- syscall.SIGHUP
	<-bad
	l, follows := f.startCoordinator()
	f.reloadConfig = func() (*start.Start, error) { return &start.Start{Coordinator: l.Addr().String()}, nil }
	f.reloadSignals <- syscall.SIGHUP
	select {
	case c := <-follows:
		if c.after != 1 {
			t.Errorf("follows %d", c.after)
		}
		fmt.Fprintf(c, "%s\n", listEvent(2, false, listEntry("s-1", s1.Addr().String(), "draining")))
		f.waitFor("the new coordinator is heard", func(n *Node) bool { return n.servers[0].state == 2 })
		c.Close()
	case <-time.After(testTimeout):
		t.Fatal("the new coordinator is not asked")
	}
}

func TestTerminated(t *testing.T) {
	f, s1 := newSingleServerHarness(t, 256)
	v := f.connect()
	ping := func(want string) {
		t.Helper()
		v.sendf("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
		v.expect(want)
	}
	ping("200")
	f.terminationSignals <- syscall.SIGTERM
	drains := 0.0
	f.waitFor("it drains", func(n *Node) bool { drains = n.now; return !n.ready })
	ping("503")
	w := f.connect() // connections and requests are still taken
	w.setup(testID(1), "free", "")
	f.serveNext(s1, w)
	// While its session stands the node stays, but SIGKILL, 0.7 s after the longest setup timeout, finds nothing.
	f.inspect(func(n *Node) {
		if d := n.lifecycle.NextWakeup() - drains; d < 1.2 || d > n.config.SetupTimeout+0.7 {
			t.Errorf("exit %v s after SIGTERM", d)
		}
	})
	select {
	case code := <-f.exitCode:
		if code != lifecycle.ExitClean {
			t.Errorf("exit %d", code)
		}
		f.exitCode <- code
	case <-time.After(testTimeout):
		t.Fatal("it does not end")
	}
}

// Ten thousand sessions and two hundred servers, each replaced at its address: tables, connections and goroutines stay.
func TestChurn(t *testing.T) {
	if testing.Short() {
		t.Skip()
	}
	var hosts []*fakeServer
	f := newHarness(t, 256, func(f *harness) []*fakeServer {
		for k := range 4 {
			hosts = append(hosts, f.startServer(fmt.Sprintf("s-%d", k)))
		}
		return hosts
	})
	quit := make(chan struct{})
	defer close(quit)
	for _, h := range hosts {
		go func() {
			for {
				select {
				case x := <-h.received:
					if x.msg.Method == rtsp.Setup {
						x.conn.answer(x.msg, 200, answerBody)
					}
				case <-quit:
					return
				}
			}
		}()
	}
	c := f.acceptFollower()
	index := 1
	for round := range 200 {
		v := f.connect()
		for k := range 50 {
			v.setup(testID(round*50+k), "free", "")
		}
		for range 50 {
			if m := v.next(); m.Status != 200 && m.Status != 503 {
				t.Fatalf("round %d: %s", round, messageKind(m))
			}
		}
		for k := range 50 {
			v.tearDown(testID(round*50+k), 16)
		}
		h := hosts[round%len(hosts)]
		index += 2
		fmt.Fprintf(c, "%s\n%s\n", listEvent(index-1, false, listEntry(h.name, "", "removed")), listEvent(index, false, listEntry(fmt.Sprintf("s-%d", 100+round), h.Addr().String(), "up")))
		h.name = fmt.Sprintf("s-%d", 100+round)
		// What the module counts is what the node has.
		f.inspect(func(n *Node) {
			for _, b := range n.front.ServerEstimates() {
				if sv := n.serversByNumber[b.Server]; len(n.moduleEvents) == 0 && (sv == nil && b.Sessions > 0 || sv != nil && b.Sessions != len(sv.sessions)+sv.pendingSetups()) {
					t.Errorf("round %d: the module counts %d sessions at %d", round, b.Sessions, b.Server)
				}
			}
		})
		f.waitFor("the round is over", func(n *Node) bool { return len(n.sessions) == 0 && n.lastIndex == int64(index) && len(n.servers) <= 6 })
		v.Close()
	}
	f.waitFor("all is as at the start", func(n *Node) bool {
		conns := 0
		for _, sv := range n.servers {
			conns += len(sv.conns)
		}
		return len(n.servers) == 4 && len(n.serversByNumber) == 4 && len(n.clients) <= 1 && n.openRequests == 0 && conns <= 32 && len(n.pendingReleases) == 0 && len(n.counts) < 20
	})
}

// Whatever a client, a server or the coordinator writes, the node stays and its tables hold.
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
			if a, err := n.parseSetup(m); err == nil && (a.request.CellCount < 1 || a.request.BestRung >= len(s.Config.Ladder) || a.request.StartCell < 0 || a.currentServer == "" && a.patience <= 0) {
				t.Fatalf("%+v", a)
			}
			parseCause(m)
		}
	})
}

type readerConn struct{ *bytes.Reader }

func (readerConn) Close() error                     { return nil }
func (readerConn) LocalAddr() net.Addr              { return nil }
func (readerConn) RemoteAddr() net.Addr             { return nil }
func (readerConn) SetDeadline(time.Time) error      { return nil }
func (readerConn) SetReadDeadline(time.Time) error  { return nil }
func (readerConn) SetWriteDeadline(time.Time) error { return nil }
func (readerConn) Write(b []byte) (int, error)      { return len(b), nil }

// It ends though the loop never heard of a server's connection that is open and silent.
func TestExitWithUnreportedServerConnection(t *testing.T) {
	f, _ := newSingleServerHarness(t, 256)
	f.inspect(func(n *Node) {
		n.dialServer(n.servers[0])
		for len(n.events) == 0 { // it is up, and says so to a loop that is over
			time.Sleep(time.Millisecond)
		}
		n.exiting = true
	})
	select {
	case code := <-f.exitCode:
		f.exitCode <- code
	case <-time.After(testTimeout):
		t.Fatal("it does not end")
	}
}
