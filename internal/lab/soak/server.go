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

// Causes of a release in the platform's protocol.
const (
	causeFinished = 16
	causeMoved    = 31
	causeLost     = 41
)

const (
	// maxAnswerDelay bounds the time to an answer when no fault slows the server.
	maxAnswerDelay = 30 * time.Millisecond
	// A session's duration is drawn between minSession and maxSession.
	minSession, maxSession = 100 * time.Millisecond, 1500 * time.Millisecond
	// longShare of the sessions last from minLongSession to maxLongSession instead, longer than any report of their end may take.
	longShare                      = 0.1
	minLongSession, maxLongSession = 9 * time.Second, 12 * time.Second
	// duplicateDelay is the time between an answer and its duplicate.
	duplicateDelay = 3 * time.Millisecond
	// maxReleaseLead bounds how long before its answer an early release is sent.
	maxReleaseLead = 150 * time.Millisecond
	// A release written less than releaseLossWindow before its connection ended may be lost with it.
	releaseLossWindow = 300 * time.Millisecond
	// maxNodes and maxProbes bound the nodes and serial numbers that a probe's id may stand for.
	maxNodes, maxProbes = 1000, 1 << 20
	// backlogWindow is how long after the end of a network partition the messages held by it are still being read.
	backlogWindow = 100 * time.Millisecond
	// A server keeps at most maxPendingReleases releases for connections opened later, each for pendingReleaseTTL.
	maxPendingReleases, pendingReleaseTTL = 1024, 10 * time.Second
)

// server stands in for one process of a streaming server. Its connections apply the faults of the network, so that messages
// are recorded as the node sees them.
type server struct {
	net.Listener
	id   string
	cell int
	log  *log

	mu              sync.Mutex
	rand            *rand.Rand
	longRand        *rand.Rand       // decides which sessions are long
	effects         []effect         // includes expired ones until the next currentBehavior
	pendingReleases []pendingRelease // also sent on connections opened later
	conns           map[*serverConn]bool
	sessions        map[string]*session
	dead            bool
}

// session is a session at a server, from the arrival of its attempt.
type session struct {
	id            string
	conn          *serverConn
	answerPending bool // its answer is not written yet
	established   bool
	url           string
}

type serverConn struct {
	net.Conn
	server         *server
	writeMu        sync.Mutex
	node           int           // the node that opened it; -1 until a message identifies it; guarded by the server's lock
	transitDelay   time.Duration // delay of the last delayed message and the time it arrived; used only by readMessages
	reachableAt    time.Duration
	recentReleases []pendingRelease // releases that may not have arrived; guarded by the server's lock
}

func newServer(l *log, id, host string, cell int, seed uint64) (*server, error) {
	n, err := net.Listen("tcp", host)
	if err != nil {
		return nil, err
	}
	s := &server{Listener: n, id: id, cell: cell, log: l, rand: rand.New(rand.NewPCG(seed, 0x5e7)), longRand: rand.New(rand.NewPCG(seed, 0x10f6)), conns: map[*serverConn]bool{}, sessions: map[string]*session{}}
	go s.accept()
	return s, nil
}

// chance draws true with probability p. The caller holds s.mu.
func (s *server) chance(p float64) bool { return p > 0 && s.rand.Float64() < p }

func (s *server) accept() {
	for {
		n, err := s.Accept()
		if err != nil {
			return
		}
		c := &serverConn{Conn: n, server: s, node: -1}
		s.mu.Lock()
		dead := s.dead
		s.conns[c] = true
		s.mu.Unlock()
		if dead {
			n.Close()
			return
		}
		go c.readMessages()
		go c.replayReleases()
	}
}

// kill ends the server: it stops listening and resets its connections.
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

// closeConnections closes or resets all open connections; the server goes on.
func (s *server) closeConnections(orderly bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if orderly {
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

// send writes a message, in two writes if the behavior asks for it; false if the connection has ended.
func (c *serverConn) send(b []byte) bool {
	c.server.awaitReachable()
	c.server.mu.Lock()
	split := c.server.chance(c.server.currentBehavior().splitWrite)
	splitAt := 1 + c.server.rand.IntN(len(b))
	c.server.mu.Unlock()
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.SetWriteDeadline(time.Now().Add(time.Second))
	if split {
		c.Write(b[:splitAt])
		time.Sleep(time.Millisecond)
		b = b[splitAt:]
	}
	_, err := c.Write(b)
	return err == nil
}

// reply sends an answer from the reader. What it waits for the server to be reachable delays the messages behind it as well.
func (c *serverConn) reply(b []byte) bool {
	c.awaitReachable()
	return c.send(b)
}

// awaitReachable waits until the server is reachable and returns how long the message just read was delayed. Messages queued
// behind a delayed one count as delayed as long.
func (c *serverConn) awaitReachable() time.Duration {
	delay := c.server.awaitReachable()
	now := c.server.log.now()
	if now-delay-c.reachableAt < backlogWindow { // was queued during the last partition
		delay += c.transitDelay
	}
	if delay > 0 {
		c.transitDelay, c.reachableAt = delay, now
	}
	return delay
}

// identifyNode learns from a SETUP or a probe which node opened the connection.
func (c *serverConn) identifyNode(m *rtsp.Message) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	known := c.node >= 0
	switch {
	case known:
	case m.Method == rtsp.Setup:
		c.node = nodeOf(m.Session())
	case m.Method == rtsp.Options:
		c.node = probeSender(m.Session())
	}
	if c.node >= 0 && !known {
		for _, r := range c.recentReleases {
			c.recordRelease(r)
		}
	}
}

func (c *serverConn) readMessages() {
	s := c.server
	in := rtsp.NewConn(c.Conn, rtsp.Limits{})
	for {
		m, _, err := in.Next()
		if err != nil {
			break
		}
		if m == nil {
			continue
		}
		delay := c.awaitReachable()
		s.mu.Lock()
		hungFor := s.currentBehavior().hungUntil - s.log.now()
		s.mu.Unlock()
		c.identifyNode(m)
		switch m.Method {
		case rtsp.Setup:
			c.handleSetup(m, delay)
		case rtsp.TearDown:
			c.handleTeardown(m, delay)
			if hungFor <= 0 {
				c.reply(formatAnswer(m.Session(), 2, rtsp.OK, ""))
			}
		case rtsp.SetParameter:
			rung, _ := strconv.Atoi(m.Header.Get("X-Quality"))
			s.log.add(record{kind: rungRead, request: m.Session(), server: s.id, rung: rung, node: -1})
		case rtsp.Options:
			if hungFor <= 0 {
				c.reply([]byte("RTSP/1.0 200 OK\r\nCSeq: 3\r\nSession: " + m.Session() + "\r\nX-State: cpu:0.25;x1:0.5\r\nContent-Length: 0\r\n\r\n"))
			}
		}
	}
	c.Close()
	s.log.add(record{kind: serverConnEnded, server: s.id, node: -1, peer: c.RemoteAddr().String()})
	s.mu.Lock()
	delete(s.conns, c)
	var gone []string
	for id, sess := range s.sessions {
		if sess.conn == c && sess.answerPending {
			gone = append(gone, id)
			delete(s.sessions, id)
		}
	}
	s.mu.Unlock()
	go c.resendReleases()
	for _, id := range gone {
		s.log.add(record{kind: attemptCancelled, request: id, server: s.id, node: -1, detail: "connection ended"})
	}
}

// handleSetup records an attempt, which took delay in transit, and answers it according to the current behavior.
func (c *serverConn) handleSetup(m *rtsp.Message, delay time.Duration) {
	s := c.server
	id := m.Session()
	rung, _ := strconv.Atoi(m.Header.Get("X-Quality"))
	wait, _ := strconv.Atoi(m.Header.Get("X-Patience"))
	s.log.add(record{kind: attemptRead, request: id, server: s.id, node: nodeOf(id), rung: rung, wait: time.Duration(wait) * time.Millisecond, transitDelay: delay})
	s.mu.Lock()
	sess := &session{id: id, conn: c, answerPending: true, url: m.URL}
	s.sessions[id] = sess
	b := s.currentBehavior()
	after := time.Duration(s.rand.Int64N(int64(maxAnswerDelay)))
	if b.maxExtraDelay > 0 {
		after += time.Duration(s.rand.Int64N(int64(b.maxExtraDelay)))
	}
	if hungFor := b.hungUntil - s.log.now(); hungFor > 0 {
		after += hungFor
	}
	status := rtsp.OK
	switch {
	case s.chance(b.full):
		status = rtsp.NotEnoughBandwidth
	case s.chance(b.internalError):
		status = rtsp.InternalError
	case s.chance(b.notFound):
		status = rtsp.SessionNotFound
	case s.chance(b.gatewayTimeout):
		status = rtsp.GatewayTimeout
	}
	closed := s.chance(b.closeConn)
	reset, drop, early := s.chance(b.resetConn), s.chance(b.dropAnswer), s.chance(b.earlyRelease)
	duplicate, malformed := s.chance(b.duplicateAnswer), s.chance(b.malformedAnswer)
	s.mu.Unlock()
	if closed {
		c.Close()
		return
	}
	time.AfterFunc(after, func() {
		switch {
		case reset:
			c.reset()
		case status != rtsp.OK:
			s.refuse(sess, status)
		default:
			s.serve(sess, drop, early, duplicate, malformed)
		}
	})
}

// gone reports whether a session has ended or its server is dead.
func (s *server) gone(sess *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dead || s.sessions[sess.id] != sess
}

func (s *server) refuse(sess *session, status int) {
	if s.gone(sess) {
		return
	}
	s.mu.Lock()
	delete(s.sessions, sess.id)
	s.mu.Unlock()
	s.log.add(record{kind: attemptAnswered, request: sess.id, server: s.id, node: nodeOf(sess.id), status: status})
	sess.conn.send(formatAnswer(sess.id, 1, status, ""))
}

// description returns the body of a server's answer, which is unique to the session and the server.
func description(id, server string) string {
	return fmt.Sprintf("%s\r\nc=IN IP4 127.0.0.2\r\ns=%s\r\nm=video 31000 RTP/AVP 33\r\n", id, server)
}

func (s *server) serve(sess *session, drop, early, duplicate, malformed bool) {
	if s.gone(sess) {
		return
	}
	s.mu.Lock()
	lifetime := minSession + time.Duration(s.rand.Int64N(int64(maxSession-minSession)))
	if s.longRand.Float64() < longShare {
		lifetime = randomDuration(s.longRand, minLongSession, maxLongSession)
	}
	lead := time.Duration(s.rand.Int64N(int64(maxReleaseLead)))
	sess.established = true
	s.mu.Unlock()
	if early {
		s.release(sess, causeMoved)
		time.AfterFunc(lead, func() { s.sendAnswer(sess, drop, duplicate, malformed) })
		return
	}
	s.sendAnswer(sess, drop, duplicate, malformed)
	time.AfterFunc(lifetime, func() {
		if !s.gone(sess) {
			s.release(sess, causeFinished)
		}
	})
}

func (s *server) sendAnswer(sess *session, drop, duplicate, malformed bool) {
	b := formatAnswer(sess.id, 1, rtsp.OK, description(sess.id, s.id))
	detail := ""
	switch {
	case drop:
		detail = "lost"
	case malformed:
		detail = "malformed"
		b = []byte(strings.Replace(string(b), "Content-Length: ", "Content-Length: -", 1))
	}
	s.log.add(record{kind: attemptAnswered, request: sess.id, server: s.id, node: nodeOf(sess.id), status: rtsp.OK, detail: detail})
	s.mu.Lock()
	sess.answerPending = false
	s.mu.Unlock()
	if drop {
		return
	}
	sess.conn.send(b)
	if duplicate {
		time.Sleep(duplicateDelay)
		sess.conn.send(b)
	}
}

// handleTeardown ends a session by a TEARDOWN, which took delay in transit.
func (c *serverConn) handleTeardown(m *rtsp.Message, delay time.Duration) {
	s := c.server
	s.mu.Lock()
	delete(s.sessions, m.Session())
	s.mu.Unlock()
	s.log.add(record{kind: attemptCancelled, request: m.Session(), server: s.id, node: nodeOf(m.Session()), transitDelay: delay, detail: "TEARDOWN " + m.Header.Get("Reason")})
}

func formatAnswer(id string, seq, status int, body string) []byte {
	return []byte(fmt.Sprintf("RTSP/1.0 %d %s\r\nCSeq: %d\r\nSession: %s\r\nContent-Length: %d\r\n\r\n%s", status, rtsp.Reason(status), seq, id, len(body), body))
}

// probeSender returns the node that sent a probe, or -1. A node numbers its probes starting from its seed.
func probeSender(id string) int {
	probe, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		return -1
	}
	for node := range maxNodes {
		if probe-nodeSeed(node) < maxProbes {
			return node
		}
	}
	return -1
}

// requestID returns a request's id, which includes its node.
func requestID(node int, serial uint64) string { return fmt.Sprintf("%04x%012x", node, serial) }

// nodeOf returns the node that a request was sent to; -1 if the id is not from requestID.
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
