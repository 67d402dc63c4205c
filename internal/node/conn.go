package node

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"rainhaven/choice/share"
	"rainhaven/internal/rtsp"
)

const (
	// maxQueuedBytes limits what is queued for a peer that does not read; past it the connection is closed. A dead
	// server with a thousand sessions causes as many releases of about 130 bytes to be queued at once for a few
	// clients. Other messages have about 200 bytes.
	maxQueuedBytes = 256 << 10
	// maxRetainedMessages limits the messages retained for the case that the connection ends: as many releases as fit
	// into the queue of a peer that does not read. Past it the oldest is dropped. Drawback: a dropped release is lost
	// if the connection breaks with so many released within a quarter of a second.
	maxRetainedMessages = 2048
	// writeTimeout limits one write.
	writeTimeout = 2 * time.Second
	// serverMessageTimeout limits the time from the first to the last byte of a message from a server.
	serverMessageTimeout = time.Second
	// closeTimeout limits how long a connection that is being closed discards input, and maxDiscardBytes how much.
	closeTimeout, maxDiscardBytes = 500 * time.Millisecond, 256 << 10
)

// messageBounds are the limits of the protocol: a message has at most 16 KiB, and there are no interleaved frames.
var messageBounds = rtsp.Limits{LineBytes: 4096, HeaderLines: 40, BodyBytes: 16 << 10, MessageBytes: 16 << 10, FrameBytes: 1, BufferBytes: 16 << 10}

// conn is the sending side of a connection. A goroutine of its own writes the queued bytes in order.
type conn struct {
	nc           net.Conn
	log          *zap.Logger
	mu           sync.Mutex
	buffer       []byte            // queued bytes, at most maxQueuedBytes
	queuedTotal  int64             // bytes queued since the connection was opened
	writtenTotal int64             // bytes that the system accepted
	closing      bool              // nothing more is queued; closes once all is written
	writing      bool              // the writer holds bytes that are not written yet
	lastHeard    float64           // when its peer last sent a message, or when it was opened; used by the loop only
	retained     []retainedMessage // releases and messages of established sessions; used by the loop only, at most maxRetainedMessages, dropped by age
	failed       bool
	wake         chan struct{}
	writerDone   chan struct{} // closed when writeLoop has returned
}

func newConn(nc net.Conn, log *zap.Logger) *conn {
	c := &conn{nc: nc, log: log, wake: make(chan struct{}, 1), writerDone: make(chan struct{})}
	go c.writeLoop()
	return c
}

// send queues bytes and returns their start and end offsets in all that the connection sends; the start is negative if
// they are not queued.
func (c *conn) send(b []byte) (from, to int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	from, to = c.enqueue(b)
	c.traceSent(b, from, to, false)
	return from, to
}

// enqueue is send for callers that hold the lock.
func (c *conn) enqueue(b []byte) (from, to int64) {
	if c.closing || c.failed {
		return -1, -1
	}
	if len(c.buffer)+len(b) > maxQueuedBytes {
		c.failed = true
		c.nc.Close()
		c.wakeWriter()
		return -1, -1
	}
	from = c.queuedTotal
	c.buffer = append(c.buffer, b...)
	c.queuedTotal += int64(len(b))
	c.wakeWriter()
	return from, c.queuedTotal
}

// sendNow is send without waiting for the writer: if nothing is queued before them, as many bytes as the peer's window
// takes are written at once. It guards against sessions that their client ends at the server at the instant of the
// answer: the platform then loses sight of the request and counts it as unanswered, the more often the later the
// answer leaves. Drawback: one write per message, and its time in the loop; so it is used for successful answers only.
func (c *conn) sendNow(b []byte) (from, to int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	if sc, ok := c.nc.(syscall.Conn); ok && !c.closing && !c.failed && !c.writing && len(c.buffer) == 0 {
		if raw, err := sc.SyscallConn(); err == nil {
			c.nc.SetWriteDeadline(time.Time{}) // the deadline of the writer's last write may have passed
			err = raw.Write(func(fd uintptr) bool { n, err = syscall.Write(int(fd), b); return true })
			n = max(n, 0) // what an error leaves unwritten is queued
		}
	}
	if n == len(b) {
		from = c.queuedTotal
		c.queuedTotal += int64(n)
		c.writtenTotal += int64(n)
		c.traceSent(b, from, c.queuedTotal, true)
		return from, c.queuedTotal
	}
	defer func() { c.traceSent(b, from, to, false) }()
	from, to = c.enqueue(b[n:])
	if from >= 0 && n > 0 {
		c.queuedTotal += int64(n)
		c.writtenTotal += int64(n)
		to += int64(n)
	}
	return from, to
}

// unqueue removes the bytes between two offsets from the queue; it returns false if the writer has them already.
func (c *conn) unqueue(from, to int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	begin := c.queuedTotal - int64(len(c.buffer))
	if from < begin {
		return false
	}
	c.buffer = slices.Delete(c.buffer, int(from-begin), int(to-begin))
	c.queuedTotal -= to - from
	for i := range c.retained {
		if c.retained[i].end >= to {
			c.retained[i].end -= to - from
		}
	}
	return true
}

// isQueued reports whether the bytes from an offset on are in the queue, where the writer doesn't hold them yet.
func (c *conn) isQueued(from int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return from >= c.queuedTotal-int64(len(c.buffer))
}

// bytesWritten returns how many bytes the system has accepted so far.
func (c *conn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writtenTotal
}

// sessionMessage is a message about an established session. No connection owns such a session, so the message may go over any
// connection to the peer.
type sessionMessage struct {
	id     string // of the session
	data   []byte
	rungOf *session // the session whose rung the message sets; nil for other messages
	ends   bool     // it ends a session that stands, so it must arrive
}

// retainedMessage is a message about a session that was sent on a connection: if the connection ends before the message must have
// arrived, it is sent over another one.
type retainedMessage struct {
	sessionMessage
	end      int64 // offset of its end in all that the connection sends
	queuedAt float64
}

// pending reports whether a message may not have arrived at a given time on a connection on which so many bytes were written. It has
// not if its peer has said nothing on the connection since: the peer may have been unreachable all the time.
func (k *retainedMessage) pending(now, lastHeard float64, written int64) bool {
	switch age := now - k.queuedAt; {
	case k.end > written || age <= share.AssumedArrivalSeconds:
		return true
	case !k.ends || age > pendingSeconds:
		return false
	}
	return lastHeard <= k.queuedAt+share.AssumedArrivalSeconds
}

// hasRoom reports whether the queue takes a further message about a session. Half of it is left to answers, as a message past its
// limit closes the connection.
func (c *conn) hasRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.buffer) < maxQueuedBytes/2
}

// sendRetained queues a message as send does and retains it for the case that the connection ends. It returns false if the
// connection is closing or has no room.
func (c *conn) sendRetained(now float64, m sessionMessage) bool {
	if !c.hasRoom() {
		return false
	}
	_, to := c.send(m.data)
	if to < 0 {
		return false
	}
	c.retain(now, m, to)
	return true
}

// retain retains a message for the case that the connection ends before what was queued up to offset end must have arrived.
func (c *conn) retain(now float64, m sessionMessage, end int64) {
	written := c.bytesWritten()
	c.retained = slices.DeleteFunc(c.retained, func(k retainedMessage) bool { return !k.pending(now, c.lastHeard, written) })
	if len(c.retained) >= maxRetainedMessages { // the oldest is the most likely to have arrived
		c.retained = slices.Delete(c.retained, 0, 1)
	}
	c.retained = append(c.retained, retainedMessage{m, end, now})
}

// acknowledge drops the retained messages that end a session: its peer has answered one.
func (c *conn) acknowledge(id string) {
	c.retained = slices.DeleteFunc(c.retained, func(k retainedMessage) bool { return k.ends && k.id == id })
}

// undelivered returns the retained messages that may not have arrived by the end of the connection, given how many bytes were written
// and whether its peer closed it in order, having read what was written.
func (c *conn) undelivered(endedAt float64, written int64, orderly bool) (list []sessionMessage) {
	lastHeard := c.lastHeard
	if orderly {
		lastHeard = endedAt
	}
	for _, k := range c.retained {
		if k.pending(endedAt, lastHeard, written) {
			list = append(list, k.sessionMessage)
		}
	}
	c.retained = nil
	return list
}

// dropRetained drops the retained messages of a connection whose peer is dead. The conn is nil if the connection never opened.
func (c *conn) dropRetained() {
	if c != nil {
		c.retained = nil
	}
}

// wakeWriter has writeLoop look at the connection's state again.
func (c *conn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// closeGracefully closes the connection once the queued bytes are written.
func (c *conn) closeGracefully() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeGracefullyLocked()
}

// closeGracefullyLocked is closeGracefully for callers that hold the lock.
func (c *conn) closeGracefullyLocked() {
	if !c.closing {
		c.closing = true
		c.nc.SetReadDeadline(time.Now().Add(closeTimeout))
		c.wakeWriter()
	}
}

// closeOnceFlushed closes the connection at once, or as soon as an answer or a release that is still being written has
// left. A request that crosses the close then meets a closed connection, not one that is open and never answers.
func (c *conn) closeOnceFlushed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.failed && c.writtenTotal < c.queuedTotal {
		c.closeGracefullyLocked()
		return
	}
	c.failed = true
	c.nc.Close()
	c.wakeWriter()
}

// closeIfFlushed closes a connection that is being closed without waiting for its peer. It returns false if the
// connection is closed already or something is still being written.
func (c *conn) closeIfFlushed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed || c.writtenTotal < c.queuedTotal {
		return false
	}
	c.failed = true
	c.nc.Close()
	c.wakeWriter()
	return true
}

// isFlushed reports whether all queued bytes have been written, or never will be.
func (c *conn) isFlushed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed || c.writtenTotal == c.queuedTotal
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing || c.failed
}

// close closes the connection at once and returns the final number of bytes written.
func (c *conn) close() (written int64) {
	c.mu.Lock()
	c.failed = true
	c.wakeWriter()
	c.mu.Unlock()
	c.nc.Close()
	<-c.writerDone
	return c.writtenTotal
}

// writeLoop writes queued bytes until the connection is closed.
func (c *conn) writeLoop() {
	defer close(c.writerDone)
	var spare []byte
	for {
		c.mu.Lock()
		b := c.buffer
		if c.failed || len(b) == 0 && c.closing {
			failed := c.failed
			c.mu.Unlock()
			if !failed {
				if t, ok := c.nc.(*net.TCPConn); ok {
					t.CloseWrite()
				}
			}
			return
		}
		if len(b) == 0 { // buffer and spare must not share memory: newly queued bytes would overwrite those being written
			c.mu.Unlock()
			<-c.wake
			continue
		}
		c.buffer, c.writing = spare[:0], true
		c.mu.Unlock()
		c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := c.nc.Write(b)
		c.mu.Lock()
		c.writing = false
		c.writtenTotal += int64(n)
		if err != nil {
			c.failed = true
		}
		c.mu.Unlock()
		if err != nil {
			c.nc.Close() // its reader reports the end to the loop
			return
		}
		if spare = b; cap(spare) > 4<<10 {
			spare = nil
		}
	}
}

// awaitFlush waits until the queued bytes of a connection that is being closed are written, at most closeTimeout and
// not past the end of the context.
func (c *conn) awaitFlush(ctx context.Context) {
	timeout := time.NewTimer(closeTimeout)
	defer timeout.Stop()
	select {
	case <-c.writerDone:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// discardInput reads and discards what still arrives on a connection that is being closed.
func (c *conn) discardInput() {
	c.nc.SetReadDeadline(time.Now().Add(closeTimeout))
	var b [4 << 10]byte
	for remaining := maxDiscardBytes; remaining > 0; {
		n, err := c.nc.Read(b[:])
		if remaining -= n; err != nil {
			return
		}
	}
}
