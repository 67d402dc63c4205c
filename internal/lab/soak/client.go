package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"rainhaven/internal/rtsp"
)

const (
	// connsPerNode is the number of pooled connections to each node.
	connsPerNode = 3
	// clientIdleTimeout is how long a client keeps a connection that has no sessions.
	clientIdleTimeout = 4 * time.Second
	// A request sent at most crossingWindow before the node closed its connection is sent again on a new one: it crossed the close.
	crossingWindow = 50 * time.Millisecond
	// nodeIdleTimeout is how long a node keeps a connection that has no sessions. An idle client sends from idleSendLead before
	// that, within idleSendWindow.
	nodeIdleTimeout, idleSendLead, idleSendWindow = 6 * time.Second, 50 * time.Millisecond, 250 * time.Millisecond
	// resetWait is how long after the end of a connection its reset may still arrive.
	resetWait = 30 * time.Millisecond
	// Shares of requests whose client cancels early, closes its connection early, or sends the request in two writes.
	cancelShare, closeShare, splitShare = 0.06, 0.03, 0.15
	// A client cancels after minCancelDelay plus up to cancelDelayRange.
	minCancelDelay, cancelDelayRange = 5 * time.Millisecond, 400 * time.Millisecond
	titlesPerClass                   = 8
	// seatedTitles is the number of titles requested in a class with seats: few enough that the limit is reached.
	seatedTitles = 2
)

// clients generates the requests to one node.
type clients struct {
	node   *node
	log    *log
	rand   *rand.Rand
	nextID *atomic.Uint64
	mu     sync.Mutex
	conns  [connsPerNode]*clientConn

	dense            bool
	cancelEarlyUntil time.Duration // until then, requests are cancelled at about the time they are answered
	retryRand        *rand.Rand    // decides whether refused requests are retried; guarded by mu
	endRand          *rand.Rand    // decides which sessions their clients end; guarded by mu

	openMu     sync.Mutex
	open       map[*clientConn]bool       // connections that have not ended; guarded by openMu
	standing   map[string]standingSession // by session id; guarded by mu
	quietUntil time.Duration              // until then, no request is sent; guarded by mu
}

// clientConn is a client's connection to a node.
type clientConn struct {
	net.Conn
	log     *log
	node    int
	writeMu sync.Mutex

	mu       sync.Mutex
	pending  map[string]*request // requests without a final answer, by id
	sessions int
	lastUsed time.Time
	closed   bool
	closedAt chan time.Duration // receives the time at which the node closed it
}

// request is a SETUP request, as its client sees it.
type request struct {
	id        string
	class     int
	text      []byte
	sentAt    time.Duration
	resent    bool
	cancelled bool
	refusals  int // earlier requests of the same viewer that were refused
}

// dial opens a connection; nil if the node can't be reached.
func (c *clients) dial() *clientConn {
	n, err := net.DialTimeout("tcp", c.node.listen, 200*time.Millisecond)
	if err != nil {
		return nil
	}
	conn := &clientConn{Conn: n, log: c.log, node: c.node.index, pending: map[string]*request{}, lastUsed: time.Now(), closedAt: make(chan time.Duration, 1)}
	c.addConn(conn)
	go c.readMessages(conn)
	return conn
}

// addConn and removeConn keep the set of open connections. The pool's lock may be held, so the set has one of its own.
func (c *clients) addConn(conn *clientConn) {
	c.openMu.Lock()
	defer c.openMu.Unlock()
	c.open[conn] = true
}

func (c *clients) removeConn(conn *clientConn) {
	c.openMu.Lock()
	defer c.openMu.Unlock()
	delete(c.open, conn)
}

// openConns returns the open connections.
func (c *clients) openConns() []*clientConn {
	c.openMu.Lock()
	defer c.openMu.Unlock()
	return slices.Collect(maps.Keys(c.open))
}

// pooledConn returns a pooled connection. It is opened if it is not usable and mayDial is set, else it may be nil.
func (c *clients) pooledConn(index int, mayDial bool) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[index]; conn != nil && conn.usable() {
		return conn
	}
	c.conns[index] = nil
	if mayDial {
		c.conns[index] = c.dial()
	}
	return c.conns[index]
}

// usable reports whether the connection is open. It closes one that has been idle for clientIdleTimeout.
func (c *clientConn) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	if len(c.pending) == 0 && c.sessions <= 0 && time.Since(c.lastUsed) > clientIdleTimeout {
		c.closed = true
		c.Close()
		return false
	}
	return true
}

// sendRandom sends one request, with class, title, connection and client behavior drawn at random.
func (c *clients) sendRandom() {
	if c.isQuiet() {
		return
	}
	if c.dense && c.sendUnusual(c.rand.Float64()) {
		return
	}
	class := c.rand.IntN(len(classes))
	title := c.rand.IntN(titlesPerClass)
	if classes[class].seats > 0 {
		title = c.rand.IntN(seatedTitles)
	}
	draw := c.rand.Float64()
	mayDial := c.node.acceptsConns()
	var conn *clientConn
	if draw < closeShare {
		if !mayDial {
			return
		}
		conn = c.dial() // a connection of its own, which the client will close
	} else {
		conn = c.pooledConn(c.rand.IntN(connsPerNode), mayDial)
	}
	if conn == nil {
		return
	}
	r := c.newRequest(c.rand, class, title)
	split := 0
	if c.rand.Float64() < splitShare {
		split = 1 + c.rand.IntN(len(r.text)-1)
	}
	after := minCancelDelay + time.Duration(c.rand.Int64N(int64(cancelDelayRange)))
	if !conn.send(r, split, titleOf(class, title)) {
		return
	}
	switch {
	case draw < closeShare:
		time.AfterFunc(after, func() { conn.closeByClient() })
	case draw < closeShare+cancelShare:
		time.AfterFunc(after, func() { conn.cancel(r) })
	}
}

func titleOf(class, title int) string { return fmt.Sprintf("t%d-%d", class, title) }

// newRequest makes a SETUP request with a new id.
func (c *clients) newRequest(draws *rand.Rand, class, title int) *request {
	id := requestID(c.node.index, c.nextID.Add(1))
	body := "9d41c07a5be2f318\r\nc=IN IP4 127.0.0.1\r\n"
	return &request{id: id, class: class, text: fmt.Appendf(nil,
		"SETUP rtsp://media/%s RTSP/1.0\r\nCSeq: 1\r\nSession: %s\r\nSubject: %s\r\nX-Patience: %d\r\nX-Facts: home:%d;copies:%d;top:%d\r\nContent-Length: %d\r\n\r\n%s",
		titleOf(class, title), id, classes[class].name, classes[class].deadline.Milliseconds(), draws.IntN(cells), copies, rungs-1, len(body), body)}
}

// sendNearIdleClose keeps one connection and sends each request on it at about the time the node closes it as idle.
func (c *clients) sendNearIdleClose(ctx context.Context, draws *rand.Rand) {
	var conn *clientConn
	for {
		if conn != nil && conn.inUse() > 0 {
			if !sleep(ctx, 10*time.Millisecond) {
				return
			}
			continue
		}
		if conn != nil && !sleep(ctx, nodeIdleTimeout-idleSendLead+time.Duration(draws.Int64N(int64(idleSendWindow)))) {
			return
		}
		if conn == nil || conn.isClosed() {
			if conn = nil; c.acceptsRequests() {
				conn = c.dial()
			}
			if conn == nil && !sleep(ctx, 100*time.Millisecond) {
				return
			}
		}
		if conn != nil && !conn.send(c.newRequest(draws, 0, draws.IntN(titlesPerClass)), 0, "near the idle timeout") {
			conn = nil
		}
	}
}

// sleep waits for a duration; false if ctx is done first.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

func (c *clientConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// inUse returns the number of pending requests and sessions; 0 once the connection is closed.
func (c *clientConn) inUse() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0
	}
	return len(c.pending) + max(c.sessions, 0)
}

// send writes a request, in two writes if split is positive; false if the connection is closed or fails.
func (c *clientConn) send(r *request, split int, title string) bool {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return false
	}
	c.pending[r.id], c.lastUsed = r, time.Now()
	c.mu.Unlock()
	c.SetWriteDeadline(time.Now().Add(time.Second))
	text := r.text
	if split > 0 {
		if _, err := c.Write(text[:split]); err != nil {
			c.forget(r)
			return false
		}
		time.Sleep(2 * time.Millisecond)
		text = text[split:]
	}
	// The node may read the last byte before Write returns, so the time is taken before the call.
	sentAt := c.log.now()
	if _, err := c.Write(text); err != nil {
		c.forget(r)
		return false
	}
	c.mu.Lock()
	r.sentAt = sentAt
	c.mu.Unlock()
	c.log.add(record{at: sentAt, kind: requestSent, request: r.id, node: c.node, class: r.class, wait: classes[r.class].deadline, title: title, peer: c.LocalAddr().String()})
	return true
}

func (c *clientConn) forget(r *request) {
	c.mu.Lock()
	delete(c.pending, r.id)
	c.mu.Unlock()
}

// cancel sends a TEARDOWN for a request that has no answer yet.
func (c *clientConn) cancel(r *request) {
	c.mu.Lock()
	pending := c.pending[r.id] == r && !c.closed
	if pending {
		r.cancelled = true
		delete(c.pending, r.id)
	}
	c.mu.Unlock()
	if !pending {
		return
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.SetWriteDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c.Conn, "TEARDOWN rtsp://media/t RTSP/1.0\r\nCSeq: 2\r\nSession: %s\r\nContent-Length: 0\r\n\r\n", r.id)
	c.log.add(record{kind: requestCancelled, request: r.id, node: c.node, detail: "TEARDOWN"})
}

// closeByClient closes a connection and records its pending requests as cancelled.
func (c *clientConn) closeByClient() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	pending := c.pending
	c.pending = map[string]*request{}
	c.mu.Unlock()
	c.log.add(record{kind: connectionEnded, node: c.node, detail: c.LocalAddr().String()})
	c.Close()
	for id := range pending {
		c.log.add(record{kind: requestCancelled, request: id, node: c.node, detail: "closed"})
	}
}

// readMessages handles a node's messages until the connection ends.
func (c *clients) readMessages(conn *clientConn) {
	in := rtsp.NewConn(conn.Conn, rtsp.Limits{})
	for {
		m, _, err := in.Next()
		if err != nil {
			c.removeConn(conn)
			c.handleClose(conn, err)
			return
		}
		if m == nil {
			continue
		}
		r := conn.handle(m)
		switch {
		case m.Method == rtsp.TearDown:
			c.sessionReleased(m.Session())
		case r != nil && m.Status == rtsp.ServiceUnavailable:
			c.retry(conn, r)
		case r != nil && m.Status == rtsp.OK:
			c.sessionEstablished(r, conn, string(m.Body))
		}
	}
}

// handle records a message and returns the request that it answers, if any.
func (c *clientConn) handle(m *rtsp.Message) (answered *request) {
	id := m.Session()
	switch {
	case m.Method == rtsp.TearDown:
		c.log.add(record{kind: releaseRead, request: id, node: c.node})
		c.mu.Lock()
		c.sessions--
		c.lastUsed = time.Now()
		c.mu.Unlock()
	case m.IsRequest() || m.Status < rtsp.OK || m.CSeq() != 1:
	default:
		c.log.add(record{kind: answerRead, request: id, node: c.node, status: m.Status, detail: string(m.Body)})
		c.mu.Lock()
		answered = c.pending[id]
		delete(c.pending, id)
		c.lastUsed = time.Now()
		if m.Status == rtsp.OK {
			c.sessions++
		}
		c.mu.Unlock()
	}
	return answered
}

// handleClose handles the end of a connection. If the node closed it, requests that crossed the close are sent again on a new
// connection.
func (c *clients) handleClose(conn *clientConn, err error) {
	conn.writeMu.Lock() // waits for a request being written, so that it is pending and has its send time
	defer conn.writeMu.Unlock()
	now := c.log.now()
	conn.mu.Lock()
	closedByClient := conn.closed
	conn.closed = true
	pending := conn.pending
	conn.pending = map[string]*request{}
	conn.mu.Unlock()
	if closedByClient {
		conn.Close()
		return
	}
	read := len(pending) > 0 && conn.nodeReadAll(err)
	conn.Close()
	conn.closedAt <- now
	c.log.add(record{at: now, kind: connectionEnded, node: conn.node, detail: conn.LocalAddr().String()})
	for id, r := range pending {
		if read {
			c.log.add(record{at: now, kind: requestAborted, request: id, node: conn.node, detail: detailRead})
			continue
		}
		c.log.add(record{at: now, kind: requestAborted, request: id, node: conn.node, detail: err.Error()})
		if r.resent || now-r.sentAt > crossingWindow || !c.node.acceptsConns() {
			continue
		}
		r.resent = true
		if newConn := c.dial(); newConn != nil {
			newConn.send(r, 0, "")
		}
	}
}

// detailRead marks a request that the node had read before it closed the connection.
const detailRead = "read, then closed without an answer"

// nodeReadAll reports whether the node had read all data before it closed the connection. If it had not, its kernel sends a
// reset.
func (c *clientConn) nodeReadAll(err error) bool {
	t, ok := c.Conn.(*net.TCPConn)
	if !ok || !errors.Is(err, io.EOF) {
		return false
	}
	time.Sleep(resetWait)
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	reset := true
	err = raw.Control(func(fd uintptr) {
		// The TCP state is used because an earlier write may have consumed the socket's pending error.
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err != nil || info.State == tcpClosed
	})
	return err == nil && !reset
}

// tcpClosed is TCP_CLOSE in TCP_INFO, the state of a connection that was reset.
const tcpClosed = 7

// openUselessConns opens connections that send nothing, half a request, garbage or one health check. They are closed after
// lifetime, unless the node closes them first.
func (c *clients) openUselessConns(draws *rand.Rand, count int, lifetime time.Duration) {
	c.log.add(record{kind: uselessOpened, node: c.node.index, wait: lifetime})
	for range count {
		n, err := net.DialTimeout("tcp", c.node.listen, 200*time.Millisecond)
		if err != nil {
			return
		}
		switch draws.IntN(4) {
		case 0:
			fmt.Fprint(n, "SETUP rtsp://media/t RTSP/1.0\r\nCSeq: 1\r\nSession: ")
		case 1:
			fmt.Fprint(n, "\x00\x01nonsense\r\n\r\n")
		case 2:
			fmt.Fprint(n, "OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
		}
		time.AfterFunc(lifetime, func() { n.Close() })
	}
}
