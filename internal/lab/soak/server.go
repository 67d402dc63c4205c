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

// behavior says how a server treats attempts at present: chances from 0 to 1, and times.
type behavior struct {
	full, failing, moot, reset float64       // refuses, by kind
	lost                       float64       // its answer never leaves
	early                      float64       // its release leaves before its answer
	double                     float64       // a second answer follows
	spoilt                     float64       // its answer's length is wrong
	cut                        float64       // the connection is reset in place of the answer
	pieces                     float64       // what it writes leaves in pieces
	slow                       time.Duration // an answer takes up to so much longer
	hangs                      time.Duration // it reads and says nothing until then
}

const (
	// usualAnswer is what an answer takes at most.
	usualAnswer = 30 * time.Millisecond
	// A session lasts between these.
	shortestSession, longestSession = 100 * time.Millisecond, 1500 * time.Millisecond
	// secondAnswer is how much later a second answer comes.
	secondAnswer = 3 * time.Millisecond
	// releaseLead is how long before its answer an early release leaves, at most.
	releaseLead = 150 * time.Millisecond
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
	now      behavior
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
	s     *server
	write sync.Mutex
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

// behave sets how it treats attempts from now on.
func (s *server) behave(change func(*behavior)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.now)
}

// chance draws with the lock held.
func (s *server) chance(p float64) bool { return p > 0 && s.rand.Float64() < p }

func (s *server) accept() {
	for {
		n, err := s.Accept()
		if err != nil {
			return
		}
		c := &serverConn{Conn: n, s: s}
		s.mu.Lock()
		dead := s.dead
		s.conns[c] = true
		s.mu.Unlock()
		if dead {
			n.Close()
			return
		}
		go c.read()
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

// say writes a message, in pieces where that is to be.
func (c *serverConn) say(b []byte) {
	c.s.mu.Lock()
	pieces := c.s.chance(c.s.now.pieces)
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
	c.Write(b)
}

func (c *serverConn) read() {
	s := c.s
	in := rtsp.NewConn(c.Conn, rtsp.Bounds{})
	for {
		m, _, err := in.Next()
		if err != nil {
			break
		}
		if m == nil {
			continue
		}
		s.mu.Lock()
		quiet := s.now.hangs - s.log.now()
		s.mu.Unlock()
		switch m.Method {
		case rtsp.Setup:
			c.attempt(m)
		case rtsp.TearDown:
			c.givenUp(m)
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
	for _, id := range gone {
		s.log.add(record{kind: attemptGivenUp, request: id, server: s.id, node: -1, detail: "its connection ended"})
	}
}

// attempt takes a SETUP.
func (c *serverConn) attempt(m *rtsp.Message) {
	s := c.s
	id := m.Session()
	rung, _ := strconv.Atoi(m.Header.Get("X-Quality"))
	wait, _ := strconv.Atoi(m.Header.Get("X-Patience"))
	s.log.add(record{kind: attemptRead, request: id, server: s.id, node: nodeOf(id), rung: rung, wait: time.Duration(wait) * time.Millisecond})
	s.mu.Lock()
	x := &standing{id: id, on: c, out: true, url: m.URL}
	s.sessions[id] = x
	b := s.now
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
	cut, lost, early := s.chance(b.cut), s.chance(b.lost), s.chance(b.early)
	double, spoilt := s.chance(b.double), s.chance(b.spoilt)
	s.mu.Unlock()
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

// release ends a session that stands.
func (s *server) release(x *standing, cause int) {
	s.mu.Lock()
	delete(s.sessions, x.id)
	on := x.on
	if !s.conns[on] {
		for c := range s.conns {
			on = c
			break
		}
	}
	s.mu.Unlock()
	s.log.add(record{kind: sessionEnded, request: x.id, server: s.id, node: nodeOf(x.id), status: cause})
	on.say([]byte(fmt.Sprintf("TEARDOWN %s RTSP/1.0\r\nCSeq: 2\r\nSession: %s\r\nReason: cause=%d\r\nContent-Length: 0\r\n\r\n", x.url, x.id, cause)))
}

func (c *serverConn) givenUp(m *rtsp.Message) {
	s := c.s
	s.mu.Lock()
	delete(s.sessions, m.Session())
	s.mu.Unlock()
	s.log.add(record{kind: attemptGivenUp, request: m.Session(), server: s.id, node: nodeOf(m.Session()), detail: "TEARDOWN " + m.Header.Get("Reason")})
}

func answer(id string, seq, status int, body string) []byte {
	return []byte(fmt.Sprintf("RTSP/1.0 %d %s\r\nCSeq: %d\r\nSession: %s\r\nContent-Length: %d\r\n\r\n%s", status, rtsp.Reason(status), seq, id, len(body), body))
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
