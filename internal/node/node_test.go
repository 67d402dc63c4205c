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
	f, s1 := single(t, 256)
	v := f.client()
	v.setup(id(1), "paid", "")
	x, _ := f.wanted(rtsp.Setup, s1)
	m := x.m
	if m.URL != "rtsp://media/t1" || m.Session() != id(1) || m.Header.Get("Subject") != "paid" || string(m.Body) != sdp || m.Header.Get("X-Facts") != "" {
		t.Errorf("passed on as %+v %q", m.Header, m.Body)
	}
	if q := m.Header.Get("X-Quality"); q < "1" || q > "4" {
		t.Errorf("rung %q under the floor or over the top", q)
	}
	if p, _ := strconv.Atoi(m.Header.Get("X-Patience")); p < 500 || p > 1488 { // what the client waits, less the margin and what has gone by
		t.Errorf("waits %d ms", p)
	}
	x.on.say("RTSP/1.0 100 Trying\r\nCSeq: 1\r\nSession: %s\r\nContent-Length: 0\r\n\r\n", id(1))
	x.on.answer(m, 200, given)
	if a := v.want("200"); string(a.Body) != given || a.Session() != id(1) || a.CSeq() != 1 {
		t.Errorf("answered %+v %q", a.Header, a.Body)
	}
	f.see(func(n *Node) {
		if s := n.sessions[id(1)]; s == nil || s.state != established || n.open != 0 || len(n.servers[0].held) != 1 {
			t.Error("it does not stand")
		}
	})
	x.on.tearDown(id(1), 16)
	x.on.tearDown(id(1), 16) // told twice
	if r := v.want(rtsp.TearDown); r.Header.Get("Reason") != "cause=16" || r.Session() != id(1) {
		t.Errorf("released with %+v", r.Header)
	}
	v.setup(id(2), "free", "")
	x, _ = f.wanted(rtsp.Setup, s1)
	x.on.answer(x.m, 200, given)
	v.want("200") // and no second release before it
	v.tearDown(id(2), 0)
	y, _ := f.wanted(rtsp.TearDown, s1)
	if parseCause(y.m) != causeMoved {
		t.Errorf("cut with %+v", y.m.Header)
	}
	f.until("all is forgotten", func(n *Node) bool {
		return len(n.sessions) == 0 && n.open == 0 && len(n.servers[0].held) == 0
	})
}

// What each outcome of a first SETUP brings about: whether it is repeated elsewhere, and what the client is told.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		class, want string
		again       bool // a second server is asked, and serves
		do          func(x heard, h *host)
	}{
		"full":               {"paid", "200", true, func(x heard, _ *host) { x.on.answer(x.m, 453, "") }},
		"moot":               {"paid", "200", true, func(x heard, _ *host) { x.on.answer(x.m, 454, "") }},
		"error":              {"free", "200", true, func(x heard, _ *host) { x.on.answer(x.m, 500, "") }},
		"paid, error":        {"paid", "500", false, func(x heard, _ *host) { x.on.answer(x.m, 500, "") }},
		"broken on its way":  {"free", "200", true, func(x heard, _ *host) { x.on.answer(x.m, 504, "") }},
		"paid, broken":       {"paid", "500", false, func(x heard, _ *host) { x.on.answer(x.m, 504, "") }},
		"another status":     {"paid", "500", false, func(x heard, _ *host) { x.on.answer(x.m, 302, "") }},
		"released before":    {"paid", "500", false, func(x heard, _ *host) { x.on.tearDown(x.m.Session(), 41) }},
		"cut":                {"free", "200", true, func(x heard, _ *host) { x.on.Close() }},
		"paid, cut":          {"paid", "500", false, func(x heard, _ *host) { x.on.Close() }},
		"dies":               {"paid", "500", false, func(_ heard, h *host) { h.kill() }},
		"silent":             {"free", "200", true, func(heard, *host) {}},
		"noise":              {"free", "200", true, func(x heard, _ *host) { x.on.say("\x00\xffgarbage\r\n\r\n") }},
		"paid, noise":        {"paid", "500", false, func(x heard, _ *host) { x.on.say("RTSP/1.0 2x0 OK\r\n\r\n") }},
		"a line without end": {"free", "200", true, func(x heard, _ *host) { x.on.say("%s", strings.Repeat("x", 8000)) }},
		"claims 3 GB": {"free", "200", true, func(x heard, _ *host) {
			x.on.say("RTSP/1.0 200 OK\r\nSession: %s\r\nContent-Length: 3221225472\r\n\r\nx", x.m.Session())
		}},
		"length too short": {"paid", "500", false, func(x heard, _ *host) {
			x.on.say("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: %s\r\nContent-Length: 30\r\n\r\n%s", x.m.Session(), given)
		}},
		"length too long": {"free", "200", true, func(x heard, _ *host) {
			x.on.say("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: %s\r\nContent-Length: 900\r\n\r\n%s", x.m.Session(), given)
		}},
		"no description": {"free", "200", true, func(x heard, _ *host) { x.on.answer(x.m, 200, "") }},
		"stops short":    {"free", "200", true, func(x heard, _ *host) { x.on.say("RTSP/1.0 200 OK\r\nSess") }},
		"a second copy":  {"paid", "200", false, func(x heard, _ *host) { x.on.answer(x.m, 200, given); x.on.answer(x.m, 200, given) }},
		"unknown id in front": {"paid", "200", false, func(x heard, _ *host) {
			x.on.say("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: %s\r\nContent-Length: 0\r\n\r\n", id(99))
			x.on.answer(x.m, 200, given)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			var s [2]*host
			f := newFarm(t, 256, func(f *farm) []*host { s = [2]*host{f.host("s-1"), f.host("s-2")}; return s[:] })
			v := f.client()
			v.setup(id(1), c.class, "")
			x, h := f.wanted(rtsp.Setup, s[0], s[1])
			c.do(x, h)
			if c.again {
				other := s[0]
				if h == other {
					other = s[1]
				}
				y, _ := f.wanted(rtsp.Setup, other)
				y.on.answer(y.m, 200, given)
			}
			if a := v.want(c.want); c.want == "200" && string(a.Body) != given {
				t.Errorf("a description that no server gave: %q", a.Body)
			}
			// Another session goes on as if nothing had been, and nothing else was said on the first.
			v.say("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nSession: %s\r\nContent-Length: 0\r\n\r\n", id(50))
			if a := v.want("200"); a.Session() != id(50) {
				t.Errorf("%s said twice", a.Session())
			}
			f.until("no request is open", func(n *Node) bool { return n.open == 0 })
		})
	}
}

// Nothing listens at the only server: nothing ran, so a paid session may be told to come again.
func TestRefusedConnectionNeverRan(t *testing.T) {
	f, s1 := single(t, 256)
	s1.kill()
	v := f.client()
	v.setup(id(1), "paid", "")
	v.want("503")
}

// An idle connection that was cut meanwhile: the SETUP that meets it goes over a new one, as not a byte of it left.
func TestSetupOverACutConnection(t *testing.T) {
	f, s1 := single(t, 256)
	v := f.client()
	v.setup(id(1), "paid", "")
	x := f.serve(s1, v)
	x.on.Conn.(*net.TCPConn).SetLinger(0)
	x.on.Close()
	f.until("the cut is seen and a new connection is up", func(n *Node) bool {
		c := n.servers[0].conns
		return len(c) == 1 && c[0].up && len(n.servers[0].held) == 1
	})
	v.setup(id(2), "paid", "")
	y := f.serve(s1, v)
	y.on.tearDown(id(1), 16) // no connection owns a session that stands
	if r := v.want(rtsp.TearDown); r.Session() != id(1) {
		t.Errorf("%s was released", r.Session())
	}
}

func TestGivenUp(t *testing.T) {
	t.Run("and answered after", func(t *testing.T) {
		f, s1 := single(t, 256)
		v := f.client()
		v.setup(id(1), "free", "")
		x, _ := f.wanted(rtsp.Setup, s1)
		v.tearDown(id(1), 0)
		y, _ := f.wanted(rtsp.TearDown, s1)
		if parseCause(y.m) != 0 {
			t.Error("a SETUP that is out is given up, not released")
		}
		x.on.answer(x.m, 200, given)
		if z, _ := f.wanted(rtsp.TearDown, s1); parseCause(z.m) != causeMoved || z.m.Session() != id(1) {
			t.Errorf("what stands unasked is left: %+v", z.m.Header)
		}
		if m := v.want("200"); m.CSeq() != 2 {
			t.Error("an answer that is not owed")
		}
		f.until("forgotten", func(n *Node) bool { return len(n.sessions) == 0 && len(n.past) == 0 && n.open == 0 })
	})
	t.Run("by closing", func(t *testing.T) {
		f, s1 := single(t, 256)
		v := f.client()
		v.setup(id(1), "free", "")
		f.wanted(rtsp.Setup, s1)
		v.Close()
		f.wanted(rtsp.TearDown, s1)
		f.until("forgotten", func(n *Node) bool { return len(n.sessions) == 0 && n.open == 0 && len(n.clients) == 0 })
	})
	t.Run("hundreds at once", func(t *testing.T) {
		f, s1 := single(t, 256)
		v := f.client()
		for k := range 300 {
			v.setup(id(k), "free", "")
		}
		for k := range 300 {
			v.tearDown(id(k), 0)
		}
		f.until("forgotten", func(n *Node) bool { return n.counts["asked"] > 0 && len(n.sessions) == 0 && n.open == 0 })
		w := f.client()
		w.setup(id(1000), "free", "")
		for {
			x := <-s1.seen
			if x.m.Method == rtsp.Setup && x.m.Session() == id(1000) {
				x.on.answer(x.m, 200, given)
				break
			}
		}
		w.want("200")
	})
}

// Bad clients are refused or closed, nothing of theirs is served, and usual ones notice nothing.
func TestBadClients(t *testing.T) {
	head := "SETUP rtsp://media/t1 RTSP/1.0\r\nCSeq: 1\r\nSession: " + id(7) + "\r\nSubject: free\r\n"
	for name, c := range map[string]struct{ say, want string }{
		"noise":               {"\x00\x01\x02 nonsense\r\n\r\n", "400"},
		"endless line":        {strings.Repeat("a", 9000), "414"},
		"endless header":      {head + strings.Repeat("X-A: "+strings.Repeat("b", 2000)+"\r\n", 12), "413"},
		"60 MB":               {head + "X-Patience: 1500\r\nContent-Length: 62914560\r\n\r\nxxxx", "413"},
		"negative length":     {head + "Content-Length: -5\r\n\r\n", "400"},
		"length is no number": {head + "Content-Length: many\r\n\r\n", "400"},
		"unknown class":       {"SETUP rtsp://media/t1 RTSP/1.0\r\nCSeq: 1\r\nSession: " + id(7) + "\r\nSubject: royal\r\nX-Patience: 9\r\n\r\n", "400"},
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
			f, s1 := single(t, 256)
			v := f.client()
			v.say("%s", c.say)
			v.want(c.want)
			f.until("nothing is left of it", func(n *Node) bool { return len(n.sessions) == 0 && n.open == 0 })
			w := f.client()
			w.setup(id(8), "free", "")
			for x := range s1.seen {
				if x.m.Session() == id(8) {
					x.on.answer(x.m, 200, given)
					break
				}
			}
			w.want("200")
		})
	}
}

// Another connection that names an open request's id is refused, and the request goes on.
func TestAnothersID(t *testing.T) {
	f, s1 := single(t, 256)
	v, w := f.client(), f.client()
	v.setup(id(1), "paid", "")
	x, _ := f.wanted(rtsp.Setup, s1)
	w.setup(id(1), "paid", "")
	w.want("400")
	x.on.answer(x.m, 200, given)
	v.want("200")
}

// Hundreds of connections that say nothing give way, and a usual client is served beside them.
func TestSilentConnectionsGiveWay(t *testing.T) {
	f, s1 := single(t, 256)
	v := f.client()
	v.setup(id(1), "free", "")
	x, _ := f.wanted(rtsp.Setup, s1)
	for range 300 {
		f.client()
	}
	f.until("they are bounded", func(n *Node) bool {
		open := 0
		for _, v := range n.clients {
			if !v.isClosing() {
				open++
			}
		}
		return open <= share.MaxViewerConns(256, 0)
	})
	x.on.answer(x.m, 200, given)
	v.want("200")
	w := f.client()
	w.setup(id(2), "free", "")
	f.serve(s1, w)
	f.until("the silent are gone", func(n *Node) bool { return len(n.clients) == 2 })
}

// Connections that only test, and hold every place, give way to a usual client's new one, which has said nothing yet.
func TestNewConnectionIsNotTheOneThatGivesWay(t *testing.T) {
	f, s1 := single(t, 64)
	for range share.MaxViewerConns(64, 0) + 5 {
		v := f.client()
		v.say("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
		v.want("200")
	}
	w := f.client()
	f.until("it is taken", func(n *Node) bool { return n.counts["viewers"] == share.MaxViewerConns(64, 0)+6 })
	w.setup(id(1), "free", "")
	f.serve(s1, w)
}

// Requests past a connection's bound are told at once to come again, which is true: nothing of them ran.
func TestRequestsPastTheBound(t *testing.T) {
	f, s1 := single(t, 256)
	v := f.client()
	for k := range share.MaxPendingPerConn + 1 {
		v.setup(id(k), "free", "")
	}
	if m := v.want("503"); m.Session() != id(share.MaxPendingPerConn) {
		t.Errorf("%s was refused", m.Session())
	}
	for range share.MaxPendingPerConn {
		x, _ := f.wanted(rtsp.Setup, s1)
		x.on.answer(x.m, 200, given)
	}
	for range share.MaxPendingPerConn {
		v.want("200")
	}
}

func TestServerLost(t *testing.T) {
	t.Run("its process dies", func(t *testing.T) {
		f, s1 := single(t, 256)
		v := f.client()
		v.setup(id(1), "paid", "")
		f.serve(s1, v)
		s1.kill()
		if r := v.want(rtsp.TearDown); parseCause(r) != causeLost {
			t.Errorf("released with %+v", r.Header)
		}
	})
	t.Run("it is silent", func(t *testing.T) {
		f, s1 := single(t, 256)
		v := f.client()
		v.setup(id(1), "paid", "")
		f.serve(s1, v)
		s1.deaf.Store(true) // its connections stay open
		// What could not be released is owed its end within 8 s.
		if r := v.wantWithin(8*time.Second, rtsp.TearDown); parseCause(r) != causeLost {
			t.Errorf("released with %+v", r.Header)
		}
	})
}

func TestHandedOver(t *testing.T) {
	f, s1 := single(t, 256)
	v := f.client()
	v.setup(id(1), "paid", ";at:s-1")
	v.setup(id(1), "paid", ";at:s-1")
	v.setup(id(2), "paid", ";at:s-1")
	f.until("both stand", func(n *Node) bool { return len(n.sessions) == 2 && len(n.servers[0].held) == 2 })
	f.until("a connection is open to hear their releases", func(n *Node) bool {
		return len(n.servers[0].conns) == 1 && n.servers[0].conns[0].up
	})
	p := s1.first()
	p.say("ANNOUNCE rtsp://media/t1 RTSP/1.0\r\nSession: %s\r\nX-Note: at_rung\r\nX-Reading: 3\r\nContent-Length: 0\r\n\r\n", id(2))
	p.tearDown(id(1), 16)
	if r := v.want(rtsp.TearDown); r.Session() != id(1) { // and no answer to any of the three
		t.Errorf("released %s", r.Session())
	}
	v.setup(id(3), "paid", ";at:s-9") // gone meanwhile
	if r := v.want(rtsp.TearDown); r.Session() != id(3) {
		t.Errorf("released %s", r.Session())
	}
	f.see(func(n *Node) { // what is kept of it is small
		if s := n.sessions[id(2)]; s == nil || s.body != nil {
			t.Error("a handed session keeps its description")
		}
		n.start.MemoryMB = 0
	})
	w := f.client()
	for k := range share.MaxHandedOver(0) + 5 { // claims without end: those past the bound are released at once
		w.setup(id(100+k), "free", ";at:s-1")
	}
	w.want(rtsp.TearDown)
	f.until("bounded", func(n *Node) bool { return len(n.sessions) == share.MaxHandedOver(0) })
	f.see(func(n *Node) { n.start.MemoryMB = 64 })
	p.tearDown(id(4), 41) // its release comes before it is told
	f.until("remembered", func(n *Node) bool { return n.early[id(4)] })
	v.setup(id(4), "paid", ";at:s-1")
	if r := v.want(rtsp.TearDown); r.Session() != id(4) {
		t.Errorf("released %s", r.Session())
	}
}

// A release finds its client's connection closed: it goes out on another that served a session.
func TestReleasedOnAnotherConnection(t *testing.T) {
	f, s1 := single(t, 256)
	v := f.client()
	v.setup(id(1), "free", "")
	x := f.serve(s1, v)
	v.Close()
	f.until("its connection is gone", func(n *Node) bool { return len(n.clients) == 0 && len(n.sessions) == 1 })
	x.on.tearDown(id(1), 16)
	f.until("the release is owed", func(n *Node) bool { return len(n.owed) == 1 })
	w := f.client()
	w.setup(id(2), "free", "")
	f.serve(s1, w)
	if r := w.want(rtsp.TearDown); r.Session() != id(1) {
		t.Errorf("released %s", r.Session())
	}
}

func TestCoordinator(t *testing.T) {
	var s1, s2 *host
	f := newFarm(t, 256, func(f *farm) []*host { s1, s2 = f.host("s-1"), f.host("s-2"); return []*host{s1} })
	c := f.followed()
	if c.after != 1 {
		t.Fatalf("follows %d", c.after)
	}
	state := func(want string) {
		t.Helper()
		f.until(want, func(n *Node) bool {
			got := ""
			for _, sv := range n.servers {
				got += fmt.Sprintf("%s:%d ", sv.id, sv.state)
			}
			return got == want
		})
	}
	fmt.Fprintf(c, "%s\n1\n%s\n", change(2, false, entry("s-2", s2.Addr().String(), "up")), change(2, false, entry("s-2", s2.Addr().String(), "up")))
	state("s-1:1 s-2:1 ")
	fmt.Fprintf(c, "%s", change(3, false, entry("s-1", s1.Addr().String(), "draining"))[:40]) // half an event
	c.Close()
	if c = f.followed(); c.after != 2 {
		t.Fatalf("follows %d after half an event", c.after)
	}
	fmt.Fprintf(c, "%s\n", change(3, false, entry("s-1", s1.Addr().String(), "draining")))
	state("s-1:2 s-2:1 ")
	v := f.client()
	v.setup(id(1), "free", "")
	x, _ := f.wanted(rtsp.Setup, s2)
	x.on.answer(x.m, 200, given)
	v.want("200")
	fmt.Fprintf(c, "9\n") // events up to 9 were never told
	if c = f.followed(); c.after != 3 {
		t.Fatalf("follows %d after a gap", c.after)
	}
	// It stays open and says nothing.
	if c = f.followed(); c.after != 3 {
		t.Fatalf("follows %d after a silence", c.after)
	}
	// s-2 goes while a session stands there, and its address belongs to s-3 now.
	fmt.Fprintf(c, "%s\n%s\n", change(4, false, entry("s-2", "", "removed")), change(5, false, entry("s-3", s2.Addr().String(), "up")))
	f.until("s-2 is kept as long as its session stands", func(n *Node) bool {
		return len(n.servers) == 3 && n.servers[1].id == "s-2" && n.servers[2].id == "s-3" && len(n.servers[1].held) == 1
	})
	x.on.Close()
	if r := v.want(rtsp.TearDown); r.Session() != id(1) {
		t.Errorf("released %s", r.Session())
	}
	state("s-1:2 s-3:1 ")
}

// A drain that is told while a SETUP waits for its connection: it is never sent.
func TestDrainBeforeTheSetupLeft(t *testing.T) {
	f, s1 := single(t, 256)
	v := f.client()
	f.see(func(n *Node) { // the connection that it takes is still being opened
		n.servers[0].conns = []*link{{sv: n.servers[0], stop: func() {}}}
	})
	v.setup(id(1), "paid", "")
	f.until("it waits", func(n *Node) bool { return n.open == 1 && len(n.servers[0].conns) == 1 })
	fmt.Fprintf(f.followed(), "%s\n", change(2, false, entry("s-1", s1.Addr().String(), "draining")))
	v.want("503")
}

func TestReload(t *testing.T) {
	f, s1 := single(t, 256)
	f.followed()
	bad := make(chan bool, 1)
	f.reread = func() (*start.Start, error) { bad <- true; return nil, errors.New("half a file") }
	f.hangups <- syscall.SIGHUP
	<-bad
	l, follows := f.coordinator()
	f.reread = func() (*start.Start, error) { return &start.Start{Coordinator: l.Addr().String()}, nil }
	f.hangups <- syscall.SIGHUP
	select {
	case c := <-follows:
		if c.after != 1 {
			t.Errorf("follows %d", c.after)
		}
		fmt.Fprintf(c, "%s\n", change(2, false, entry("s-1", s1.Addr().String(), "draining")))
		f.until("the new coordinator is heard", func(n *Node) bool { return n.servers[0].state == 2 })
		c.Close()
	case <-time.After(patience):
		t.Fatal("the new coordinator is not asked")
	}
}

func TestTerminated(t *testing.T) {
	f, s1 := single(t, 256)
	v := f.client()
	ping := func(want string) {
		t.Helper()
		v.say("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
		v.want(want)
	}
	ping("200")
	f.ends <- syscall.SIGTERM
	drains := 0.0
	f.until("it drains", func(n *Node) bool { drains = n.now; return !n.ready })
	ping("503")
	w := f.client() // connections and requests are still taken
	w.setup(id(1), "free", "")
	f.serve(s1, w)
	// While its session stands the node stays, but SIGKILL, 0.7 s after the longest setup timeout, finds nothing.
	f.see(func(n *Node) {
		if d := n.life.NextWakeup() - drains; d < 1.2 || d > n.start.SetupTimeout+0.7 {
			t.Errorf("exit %v s after SIGTERM", d)
		}
	})
	select {
	case code := <-f.over:
		if code != lifecycle.ExitClean {
			t.Errorf("exit %d", code)
		}
		f.over <- code
	case <-time.After(patience):
		t.Fatal("it does not end")
	}
}

// Ten thousand sessions and two hundred servers, each replaced at its address: tables, connections and goroutines stay.
func TestChurn(t *testing.T) {
	if testing.Short() {
		t.Skip()
	}
	var hosts []*host
	f := newFarm(t, 256, func(f *farm) []*host {
		for k := range 4 {
			hosts = append(hosts, f.host(fmt.Sprintf("s-%d", k)))
		}
		return hosts
	})
	quit := make(chan struct{})
	defer close(quit)
	for _, h := range hosts {
		go func() {
			for {
				select {
				case x := <-h.seen:
					if x.m.Method == rtsp.Setup {
						x.on.answer(x.m, 200, given)
					}
				case <-quit:
					return
				}
			}
		}()
	}
	c := f.followed()
	index := 1
	for round := range 200 {
		v := f.client()
		for k := range 50 {
			v.setup(id(round*50+k), "free", "")
		}
		for range 50 {
			if m := v.next(); m.Status != 200 && m.Status != 503 {
				t.Fatalf("round %d: %s", round, said(m))
			}
		}
		for k := range 50 {
			v.tearDown(id(round*50+k), 16)
		}
		h := hosts[round%len(hosts)]
		index += 2
		fmt.Fprintf(c, "%s\n%s\n", change(index-1, false, entry(h.name, "", "removed")), change(index, false, entry(fmt.Sprintf("s-%d", 100+round), h.Addr().String(), "up")))
		h.name = fmt.Sprintf("s-%d", 100+round)
		// What the module counts is what the node has.
		f.see(func(n *Node) {
			for _, b := range n.front.ServerEstimates() {
				if sv := n.numbers[b.Server]; len(n.later) == 0 && (sv == nil && b.Sessions > 0 || sv != nil && b.Sessions != len(sv.held)+sv.out()) {
					t.Errorf("round %d: the module counts %d sessions at %d", round, b.Sessions, b.Server)
				}
			}
		})
		f.until("the round is over", func(n *Node) bool { return len(n.sessions) == 0 && n.index == int64(index) && len(n.servers) <= 6 })
		v.Close()
	}
	f.until("all is as at the start", func(n *Node) bool {
		conns := 0
		for _, sv := range n.servers {
			conns += len(sv.conns)
		}
		return len(n.servers) == 4 && len(n.numbers) == 4 && len(n.clients) <= 1 && n.open == 0 && conns <= 32 && len(n.owed) == 0 && len(n.counts) < 20
	})
}

// Whatever a client, a server or the coordinator writes, the node stays and its tables hold.
func FuzzClient(f *testing.F) {
	f.Add([]byte("SETUP rtsp://media/t1 RTSP/1.0\r\nCSeq: 1\r\nSession: 9b1f03aa5c7e2d41\r\nSubject: paid\r\nX-Patience: 1500\r\nX-Facts: home:0;copies:2;top:1;at:s-1\r\n\r\n"))
	f.Add([]byte("TEARDOWN rtsp://media/ RTSP/1.0\r\nSession: x\r\nReason: cause=999999999999999999999\r\n\r\n"))
	s, err := start.Parse([]byte(fmt.Sprintf(`{"listen":"127.0.0.1:0","coordinator":"127.0.0.1:1","seed":"1","settings":%s}`, fmt.Sprintf(terms, false))))
	if err != nil {
		f.Fatal(err)
	}
	n := &Node{start: s}
	f.Fuzz(func(t *testing.T, in []byte) {
		c := rtsp.NewConn(reading{bytes.NewReader(in)}, messageBounds)
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

type reading struct{ *bytes.Reader }

func (reading) Close() error                     { return nil }
func (reading) LocalAddr() net.Addr              { return nil }
func (reading) RemoteAddr() net.Addr             { return nil }
func (reading) SetDeadline(time.Time) error      { return nil }
func (reading) SetReadDeadline(time.Time) error  { return nil }
func (reading) SetWriteDeadline(time.Time) error { return nil }
func (reading) Write(b []byte) (int, error)      { return len(b), nil }

// It ends though the loop never heard of a server's connection that is open and silent.
func TestEndsWithAConnectionNotHeardOf(t *testing.T) {
	f, _ := single(t, 256)
	f.see(func(n *Node) {
		n.dialServer(n.servers[0])
		for len(n.events) == 0 { // it is up, and says so to a loop that is over
			time.Sleep(time.Millisecond)
		}
		n.over = true
	})
	select {
	case code := <-f.over:
		f.over <- code
	case <-time.After(patience):
		t.Fatal("it does not end")
	}
}
