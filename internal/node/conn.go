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
	// mostQueued is how many bytes wait for a peer that does not read; then its connection is closed. A dead server with a
	// thousand sessions has as many releases of some 130 bytes queued at once for a few clients. Usual messages
	// have some 200 bytes.
	mostQueued = 256 << 10
	// mostKept is how many messages are kept in case the connection ends: as many releases as may wait for a peer that does
	// not read. Past it the oldest is dropped. Harm: a release that was lost in a break among so many within a quarter of a second.
	mostKept = 2048
	// stall is how long one write may take.
	stall = 2 * time.Second
	// whole is how long a message may take from its first byte on.
	whole = time.Second
	// parting is how long a connection that is being closed still discards what comes, and mostParting how much.
	parting, mostParting = 500 * time.Millisecond, 256 << 10
)

// bounds are the protocol's: no message exceeds 16 KiB. There are no frames.
var bounds = rtsp.Limits{LineBytes: 4096, HeaderLines: 40, BodyBytes: 16 << 10, MessageBytes: 16 << 10, FrameBytes: 1, BufferBytes: 16 << 10}

// conn is a connection's sending side: what is queued is written by a goroutine of its own, in order.
type conn struct {
	nc      net.Conn
	log     *zap.Logger
	mu      sync.Mutex
	out     []byte // at most mostQueued
	queued  int64  // bytes ever queued
	written int64  // bytes that left
	ending  bool   // nothing more is queued; close once all is written
	writing bool   // the writer has something that is not yet written
	kept    []kept // releases, and what belongs to sessions that stand; the loop's alone, emptied by time, at most mostKept
	failed  bool
	wake    chan struct{}
	ended   chan struct{} // closed when the writer is through
}

func newConn(nc net.Conn, log *zap.Logger) *conn {
	c := &conn{nc: nc, log: log, wake: make(chan struct{}, 1), ended: make(chan struct{})}
	go c.write()
	return c
}

// send queues bytes and gives where they begin and end in all that is sent; the start is below 0 where they are not queued.
func (c *conn) send(b []byte) (from, to int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	from, to = c.queue(b)
	c.traceSent(b, from, to, false)
	return from, to
}

// queue is send with the lock held.
func (c *conn) queue(b []byte) (from, to int64) {
	if c.ending || c.failed {
		return -1, -1
	}
	if len(c.out)+len(b) > mostQueued {
		c.failed = true
		c.nc.Close()
		c.poke()
		return -1, -1
	}
	from = c.queued
	c.out = append(c.out, b...)
	c.queued += int64(len(b))
	c.poke()
	return from, c.queued
}

// sendNow is send that does not leave the bytes to the writer's next turn: where nothing is before them they are written at
// once, as many as the peer's window takes. Against sessions that their clients end at the server in the instant of the
// answer: a platform that loses sight of the request then has one unanswered the oftener the later the answer leaves.
// Harm: a write a message, and its time in the loop; so for good answers only.
func (c *conn) sendNow(b []byte) (from, to int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	if sc, ok := c.nc.(syscall.Conn); ok && !c.ending && !c.failed && !c.writing && len(c.out) == 0 {
		if raw, err := sc.SyscallConn(); err == nil {
			c.nc.SetWriteDeadline(time.Time{}) // the writer's last one may have passed
			err = raw.Write(func(fd uintptr) bool { n, err = syscall.Write(int(fd), b); return true })
			n = max(n, 0) // what an error leaves is the writer's
		}
	}
	if n == len(b) {
		from = c.queued
		c.queued += int64(n)
		c.written += int64(n)
		c.traceSent(b, from, c.queued, true)
		return from, c.queued
	}
	defer func() { c.traceSent(b, from, to, false) }()
	from, to = c.queue(b[n:])
	if from >= 0 && n > 0 {
		c.queued += int64(n)
		c.written += int64(n)
		to += int64(n)
	}
	return from, to
}

// recall takes what was queued from one place to another back; false where the writer has it already.
func (c *conn) recall(from, to int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	begin := c.queued - int64(len(c.out))
	if from < begin {
		return false
	}
	c.out = slices.Delete(c.out, int(from-begin), int(to-begin))
	c.queued -= to - from
	for i := range c.kept {
		if c.kept[i].to >= to {
			c.kept[i].to -= to - from
		}
	}
	return true
}

// left is how many bytes left so far.
func (c *conn) left() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// kept is a message that belongs to no connection: where this one ends before it surely arrived, it goes over another.
type kept struct {
	b  []byte
	to int64 // where it ends in all that is sent
	at float64
}

// sendKept queues a message as send does, and keeps it in case the connection ends.
func (c *conn) sendKept(now float64, b []byte) bool {
	_, to := c.send(b)
	if to < 0 {
		return false
	}
	written := c.left()
	c.kept = slices.DeleteFunc(c.kept, func(k kept) bool { return k.to <= written && now-k.at > share.AssumedArrivalSeconds })
	if len(c.kept) >= mostKept { // the oldest has most surely arrived
		c.kept = slices.Delete(c.kept, 0, 1)
	}
	c.kept = append(c.kept, kept{b, to, now})
	return true
}

// unsure gives what was kept and has not surely arrived, once left bytes are known to have left for good.
func (c *conn) unsure(now float64, left int64) (list [][]byte) {
	for _, k := range c.kept {
		if k.to > left || now-k.at <= share.AssumedArrivalSeconds {
			list = append(list, k.b)
		}
	}
	c.kept = nil
	return list
}

func (c *conn) poke() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// end closes the connection once what is queued was written.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finish()
}

// finish is end with the lock held.
func (c *conn) finish() {
	if !c.ending {
		c.ending = true
		c.nc.SetReadDeadline(time.Now().Add(parting))
		c.poke()
	}
}

// cut closes the connection at once, or, where an answer or a release is still being written, once it is. What crosses
// meets a closed connection, not one that listens and says nothing.
func (c *conn) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.failed && c.written < c.queued {
		c.finish()
		return
	}
	c.failed = true
	c.nc.Close()
	c.poke()
}

// drop closes a connection that is being closed without waiting for its peer; false where it is closed already, or
// something is still being written.
func (c *conn) drop() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed || c.written < c.queued {
		return false
	}
	c.failed = true
	c.nc.Close()
	c.poke()
	return true
}

// isFlushed tells whether all that was queued has been written, or never will be.
func (c *conn) isFlushed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed || c.written == c.queued
}

func (c *conn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending || c.failed
}

// close ends it at once; left tells how many bytes left, for good.
func (c *conn) close() (left int64) {
	c.mu.Lock()
	c.failed = true
	c.poke()
	c.mu.Unlock()
	c.nc.Close()
	<-c.ended
	return c.written
}

func (c *conn) write() {
	defer close(c.ended)
	var spare []byte
	for {
		c.mu.Lock()
		b := c.out
		if c.failed || len(b) == 0 && c.ending {
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
		c.out, c.writing = spare[:0], true
		c.mu.Unlock()
		c.nc.SetWriteDeadline(time.Now().Add(stall))
		n, err := c.nc.Write(b)
		c.mu.Lock()
		c.writing = false
		c.written += int64(n)
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
	timeout := time.NewTimer(parting)
	defer timeout.Stop()
	select {
	case <-c.ended:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// discard takes what still comes on a connection that is being closed.
func (c *conn) discard() {
	c.nc.SetReadDeadline(time.Now().Add(parting))
	var b [4 << 10]byte
	for left := mostParting; left > 0; {
		n, err := c.nc.Read(b[:])
		if left -= n; err != nil {
			return
		}
	}
}
