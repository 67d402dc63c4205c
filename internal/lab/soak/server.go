package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"rainhaven/internal/rtsp"
)

// The protocol's causes of a release.
const (
	causeOver  = 16
	causeMoved = 31
	causeCut   = 41
)

const (
	// usualAnswer is what an answer takes at most.
	usualAnswer = 30 * time.Millisecond
	// A session lasts between these.
	shortestSession, longestSession = 100 * time.Millisecond, 1500 * time.Millisecond
	// secondAnswer is how much later a second answer comes.
	secondAnswer = 3 * time.Millisecond
	// releaseLead is how long before its answer an early release leaves, at most.
	releaseLead = 150 * time.Millisecond
	// surelyArrives is how long after it was written a release may be lost with its connection.
	surelyArrives = 300 * time.Millisecond
	// mostNodes and mostTests bound what the name of a test may say.
	mostNodes, mostTests = 1000, 1 << 20
	// backlog is how long after a cut network's return what waited there is still being read.
	backlog = 100 * time.Millisecond
	// mostPending is how many releases a server keeps for connections opened later, and keepPending for how long.
	mostPending, keepPending = 1024, 10 * time.Second
)

// server is the stand-in for a streaming server: one process of it, under one id. Its connections are the soak's fault
// proxy: what is read and written there is recorded at the node's side of any fault.
type server struct {
	net.Listener
	id   string
	cell int
	log  *log

	mu       sync.Mutex
	rand     *rand.Rand
	effects  []effect         // emptied by time
	pending  []pendingRelease // releases that go over the next connection opened as well; emptied by that
	conns    map[*serverConn]bool
	sessions map[string]*standing
	dead     bool
}

// standing is a session at a server, from its attempt's arrival on.
type standing struct {
	id     string
	on     *serverConn
	out    bool // its answer was not written yet
	stands bool
	url    string
}

type serverConn struct {
	net.Conn
	s      *server
	write  sync.Mutex
	node   int           // whose it is, as its messages tell; -1 before any; with the server's lock held
	away   time.Duration // how long what came last was on its way, and until when; the reader's alone
	back   time.Duration
	recent []pendingRelease // releases that may not have arrived; with the server's lock held
}

func newServer(l *log, id, host string, cell int, seed uint64) (*server, error) {
	n, err := net.Listen("tcp", host)
	if err != nil {
		return nil, err
	}
	s := &server{Listener: n, id: id, cell: cell, log: l, rand: rand.New(rand.NewPCG(seed, 0x5e7)), conns: map[*serverConn]bool{}, sessions: map[string]*standing{}}
	go s.accept()
	return s, nil
}

// chance draws with the lock held.
func (s *server) chance(p float64) bool { return p > 0 && s.rand.Float64() < p }

func (s *server) accept() {
	for {
		n, err := s.Accept()
		if err != nil {
			return
		}
		c := &serverConn{Conn: n, s: s, node: -1}
		s.mu.Lock()
		dead := s.dead
		s.conns[c] = true
		s.mu.Unlock()
		if dead {
			n.Close()
			return
		}
		go c.read()
		go c.repeatReleases()
	}
}

// kill ends the process: its connections are reset, its sessions cut.
func (s *server) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		return
	}
	s.dead = true
	s.log.add(record{kind: serverDied, server: s.id, node: -1})
	s.Close()
	for c := range s.conns {
		c.reset()
	}
}

// cutConnections resets what is open now, and goes on.
func (s *server) cutConnections(idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if idle {
			c.Close()
		} else {
			c.reset()
		}
	}
}

func (c *serverConn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// say writes a message, in pieces where that is to be; false where its connection has ended.
func (c *serverConn) say(b []byte) bool {
	c.s.awaitReturn()
	c.s.mu.Lock()
	pieces := c.s.chance(c.s.behavior().pieces)
	cut := 1 + c.s.rand.IntN(len(b))
	c.s.mu.Unlock()
	c.write.Lock()
	defer c.write.Unlock()
	c.SetWriteDeadline(time.Now().Add(time.Second))
	if pieces {
		c.Write(b[:cut])
		time.Sleep(time.Millisecond)
		b = b[cut:]
	}
	_, err := c.Write(b)
	return err == nil
}

// awaitReturn is the server's, for what is read; what waited behind a message was on its way as long.
func (c *serverConn) awaitReturn() time.Duration {
	away := c.s.awaitReturn()
	now := c.s.log.now()
	if now-away-c.back < backlog { // what waited there since before the last return
		away += c.away
	}
	if away > 0 {
		c.away, c.back = away, now
	}
	return away
}

// learn takes from a message whose connection it is.
func (c *serverConn) learn(m *rtsp.Message) {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	known := c.node >= 0
	switch {
	case known:
	case m.Method == rtsp.Setup:
		c.node = nodeOf(m.Session())
	case m.Method == rtsp.Options:
		c.node = testedBy(m.Session())
	}
	if c.node >= 0 && !known {
		for _, r := range c.recent {
			c.recordRelease(r)
		}
	}
}

func (c *serverConn) read() {
	s := c.s
	in := rtsp.NewConn(c.Conn, rtsp.Limits{})
	for {
		m, _, err := in.Next()
		if err != nil {
			break
		}
		if m == nil {
			continue
		}
		away := c.awaitReturn()
		s.mu.Lock()
		quiet := s.behavior().hangs - s.log.now()
		s.mu.Unlock()
		c.learn(m)
		switch m.Method {
		case rtsp.Setup:
			c.attempt(m, away)
		case rtsp.TearDown:
			c.givenUp(m, away)
			if quiet <= 0 {
				c.say(answer(m.Session(), 2, rtsp.OK, ""))
			}
		case rtsp.SetParameter:
			rung, _ := strconv.Atoi(m.Header.Get("X-Quality"))
			s.log.add(record{kind: rungRead, request: m.Session(), server: s.id, rung: rung, node: -1})
		case rtsp.Options:
			if quiet <= 0 {
				c.say([]byte("RTSP/1.0 200 OK\r\nCSeq: 3\r\nSession: " + m.Session() + "\r\nX-State: cpu:0.25;x1:0.5\r\nContent-Length: 0\r\n\r\n"))
			}
		}
	}
	c.Close()
	s.mu.Lock()
	delete(s.conns, c)
	var gone []string
	for id, x := range s.sessions {
		if x.on == c && x.out {
			gone = append(gone, id)
			delete(s.sessions, id)
		}
	}
	s.mu.Unlock()
	go c.resendReleases()
	for _, id := range gone {
		s.log.add(record{kind: attemptGivenUp, request: id, server: s.id, node: -1, detail: "its connection ended"})
	}
}

// attempt takes a SETUP, which was on its way for so long.
func (c *serverConn) attempt(m *rtsp.Message, away time.Duration) {
	s := c.s
	id := m.Session()
	rung, _ := strconv.Atoi(m.Header.Get("X-Quality"))
	wait, _ := strconv.Atoi(m.Header.Get("X-Patience"))
	s.log.add(record{kind: attemptRead, request: id, server: s.id, node: nodeOf(id), rung: rung, wait: time.Duration(wait) * time.Millisecond, held: away})
	s.mu.Lock()
	x := &standing{id: id, on: c, out: true, url: m.URL}
	s.sessions[id] = x
	b := s.behavior()
	after := time.Duration(s.rand.Int64N(int64(usualAnswer)))
	if b.slow > 0 {
		after += time.Duration(s.rand.Int64N(int64(b.slow)))
	}
	if quiet := b.hangs - s.log.now(); quiet > 0 {
		after += quiet
	}
	status := rtsp.OK
	switch {
	case s.chance(b.full):
		status = rtsp.NotEnoughBandwidth
	case s.chance(b.failing):
		status = rtsp.InternalError
	case s.chance(b.moot):
		status = rtsp.SessionNotFound
	case s.chance(b.reset):
		status = rtsp.GatewayTimeout
	}
	closed := s.chance(b.closed)
	cut, lost, early := s.chance(b.cut), s.chance(b.lost), s.chance(b.early)
	double, spoilt := s.chance(b.double), s.chance(b.spoilt)
	s.mu.Unlock()
	if closed {
		c.Close()
		return
	}
	time.AfterFunc(after, func() {
		switch {
		case cut:
			c.reset()
		case status != rtsp.OK:
			s.refuse(x, status)
		default:
			s.serve(x, lost, early, double, spoilt)
		}
	})
}

// gone tells whether a session is no longer there: it was given up, or its server is dead.
func (s *server) gone(x *standing) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dead || s.sessions[x.id] != x
}

func (s *server) refuse(x *standing, status int) {
	if s.gone(x) {
		return
	}
	s.mu.Lock()
	delete(s.sessions, x.id)
	s.mu.Unlock()
	s.log.add(record{kind: attemptAnswered, request: x.id, server: s.id, node: nodeOf(x.id), status: status})
	x.on.say(answer(x.id, 1, status, ""))
}

// description is what a server gives for a session, told apart from any other one's.
func description(id, server string) string {
	return fmt.Sprintf("%s\r\nc=IN IP4 127.0.0.2\r\ns=%s\r\nm=video 31000 RTP/AVP 33\r\n", id, server)
}

func (s *server) serve(x *standing, lost, early, double, spoilt bool) {
	if s.gone(x) {
		return
	}
	s.mu.Lock()
	long := shortestSession + time.Duration(s.rand.Int64N(int64(longestSession-shortestSession)))
	lead := time.Duration(s.rand.Int64N(int64(releaseLead)))
	x.stands = true
	s.mu.Unlock()
	if early {
		s.release(x, causeMoved)
		time.AfterFunc(lead, func() { s.answer(x, lost, double, spoilt) })
		return
	}
	s.answer(x, lost, double, spoilt)
	time.AfterFunc(long, func() {
		if !s.gone(x) {
			s.release(x, causeOver)
		}
	})
}

func (s *server) answer(x *standing, lost, double, spoilt bool) {
	b := answer(x.id, 1, rtsp.OK, description(x.id, s.id))
	detail := ""
	switch {
	case lost:
		detail = "lost"
	case spoilt:
		detail = "spoilt"
		b = []byte(strings.Replace(string(b), "Content-Length: ", "Content-Length: -", 1))
	}
	s.log.add(record{kind: attemptAnswered, request: x.id, server: s.id, node: nodeOf(x.id), status: rtsp.OK, detail: detail})
	s.mu.Lock()
	x.out = false
	s.mu.Unlock()
	if lost {
		return
	}
	x.on.say(b)
	if double {
		time.Sleep(secondAnswer)
		x.on.say(b)
	}
}

// givenUp takes a TEARDOWN, which was on its way for so long.
func (c *serverConn) givenUp(m *rtsp.Message, away time.Duration) {
	s := c.s
	s.mu.Lock()
	delete(s.sessions, m.Session())
	s.mu.Unlock()
	s.log.add(record{kind: attemptGivenUp, request: m.Session(), server: s.id, node: nodeOf(m.Session()), held: away, detail: "TEARDOWN " + m.Header.Get("Reason")})
}

func answer(id string, seq, status int, body string) []byte {
	return []byte(fmt.Sprintf("RTSP/1.0 %d %s\r\nCSeq: %d\r\nSession: %s\r\nContent-Length: %d\r\n\r\n%s", status, rtsp.Reason(status), seq, id, len(body), body))
}

// testedBy is the node that sent a test: it counts its tests on from its seed.
func testedBy(id string) int {
	test, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		return -1
	}
	for node := range mostNodes {
		if test-nodeSeed(node) < mostTests {
			return node
		}
	}
	return -1
}

// requestID names a request; its node can be told from it.
func requestID(node int, k uint64) string { return fmt.Sprintf("%04x%012x", node, k) }

// nodeOf is the node that a request was sent to; -1 where the id is not one of the soak's.
func nodeOf(id string) int {
	if len(id) != 16 {
		return -1
	}
	n, err := strconv.ParseUint(id[:4], 16, 16)
	if err != nil {
		return -1
	}
	return int(n)
}
