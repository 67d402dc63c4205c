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
	// maxQueuedBytes is how many bytes wait for a peer that does not read; then its connection is closed. A dead server with a
	// thousand sessions has as many releases of some 130 bytes queued at once for a few clients. Usual messages
	// have some 200 bytes.
	maxQueuedBytes = 256 << 10
	// maxRetainedMessages is how many messages are kept in case the connection ends: as many releases as may wait for a peer that does
	// not read. Past it the oldest is dropped. Harm: a release that was lost in a break among so many within a quarter of a second.
	maxRetainedMessages = 2048
	// writeTimeout is how long one write may take.
	writeTimeout = 2 * time.Second
	// serverMessageTimeout is how long a message may take from its first byte on.
	serverMessageTimeout = time.Second
	// closeTimeout is how long a connection that is being closed still discards what comes, and maxDiscardBytes how much.
	closeTimeout, maxDiscardBytes = 500 * time.Millisecond, 256 << 10
)

// messageBounds are the protocol's: no message exceeds 16 KiB. There are no frames.
var messageBounds = rtsp.Bounds{Line: 4096, Headers: 40, Body: 16 << 10, Whole: 16 << 10, Frame: 1, Buffer: 16 << 10}

// conn is a connection's sending side: what is queued is written by a goroutine of its own, in order.
type conn struct {
	nc           net.Conn
	log          *zap.Logger
	mu           sync.Mutex
	buffer       []byte            // at most mostQueued
	queuedTotal  int64             // bytes ever queued
	writtenTotal int64             // bytes that left
	closing      bool              // nothing more is queued; close once all is written
	writing      bool              // the writer has something that is not yet written
	retained     []retainedMessage // releases, and what belongs to sessions that stand; the loop's alone, emptied by time, at most mostKept
	failed       bool
	wake         chan struct{}
	writerDone   chan struct{} // closed when the writer is through
}

func newConn(nc net.Conn, log *zap.Logger) *conn {
	c := &conn{nc: nc, log: log, wake: make(chan struct{}, 1), writerDone: make(chan struct{})}
	go c.writeLoop()
	return c
}

// send queues bytes and gives where they begin and end in all that is sent; the start is below 0 where they are not queued.
func (c *conn) send(b []byte) (from, to int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	from, to = c.enqueue(b)
	c.traceSent(b, from, to, false)
	return from, to
}

// enqueue is send with the lock held.
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

// sendNow is send that does not leave the bytes to the writer's next turn: where nothing is before them they are written at
// once, as many as the peer's window takes. Against sessions that their clients end at the server in the instant of the
// answer: a platform that loses sight of the request then has one unanswered the oftener the later the answer leaves.
// Harm: a write a message, and its time in the loop; so for good answers only.
func (c *conn) sendNow(b []byte) (from, to int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	if sc, ok := c.nc.(syscall.Conn); ok && !c.closing && !c.failed && !c.writing && len(c.buffer) == 0 {
		if raw, err := sc.SyscallConn(); err == nil {
			c.nc.SetWriteDeadline(time.Time{}) // the writer's last one may have passed
			err = raw.Write(func(fd uintptr) bool { n, err = syscall.Write(int(fd), b); return true })
			n = max(n, 0) // what an error leaves is the writer's
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

// unqueue takes what was queued from one place to another back; false where the writer has it already.
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

// bytesWritten is how many bytes bytesWritten so far.
func (c *conn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writtenTotal
}

// retainedMessage is a message that belongs to no connection: where this one ends before it surely arrived, it goes over another.
type retainedMessage struct {
	data     []byte
	end      int64 // where it ends in all that is sent
	queuedAt float64
}

// sendRetained queues a message as send does, and keeps it in case the connection ends.
func (c *conn) sendRetained(now float64, data []byte) bool {
	_, to := c.send(data)
	if to < 0 {
		return false
	}
	writtenNow := c.bytesWritten()
	c.retained = slices.DeleteFunc(c.retained, func(k retainedMessage) bool {
		return k.end <= writtenNow && now-k.queuedAt > share.AssumedArrivalSeconds
	})
	if len(c.retained) >= maxRetainedMessages { // the oldest has most surely arrived
		c.retained = slices.Delete(c.retained, 0, 1)
	}
	c.retained = append(c.retained, retainedMessage{data, to, now})
	return true
}

// undelivered gives what was kept and has not surely arrived, once left bytes are known to have left for good.
func (c *conn) undelivered(now float64, written int64) (list [][]byte) {
	for _, k := range c.retained {
		if k.end > written || now-k.queuedAt <= share.AssumedArrivalSeconds {
			list = append(list, k.data)
		}
	}
	c.retained = nil
	return list
}

func (c *conn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// closeGracefully closes the connection once what is queued was written.
func (c *conn) closeGracefully() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeGracefullyLocked()
}

// closeGracefullyLocked is end with the lock held.
func (c *conn) closeGracefullyLocked() {
	if !c.closing {
		c.closing = true
		c.nc.SetReadDeadline(time.Now().Add(closeTimeout))
		c.wakeWriter()
	}
}

// closeOnceFlushed closes the connection at once, or, where an answer or a release is still being written, once it is. What crosses
// meets a closed connection, not one that listens and says nothing.
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

// closeIfFlushed closes a connection that is being closed without waiting for its peer; false where it is closed already, or
// something is still being written.
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

// isFlushed tells whether all that was queued has been written, or never will be.
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

// close ends it at once; left tells how many bytes left, for good.
func (c *conn) close() (left int64) {
	c.mu.Lock()
	c.failed = true
	c.wakeWriter()
	c.mu.Unlock()
	c.nc.Close()
	<-c.writerDone
	return c.writtenTotal
}

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
		if len(b) == 0 { // out and spare must never be one: what is queued would overwrite what is being written
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
			c.nc.Close() // its reader tells the loop
			return
		}
		if spare = b; cap(spare) > 4<<10 {
			spare = nil
		}
	}
}

// awaitFlush waits until all that was queued on a connection that is being closed has been written, for so long as its peer may
// take, and not past the end of the context.
func (c *conn) awaitFlush(ctx context.Context) {
	timeout := time.NewTimer(closeTimeout)
	defer timeout.Stop()
	select {
	case <-c.writerDone:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// discardInput takes what still comes on a connection that is being closed.
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
