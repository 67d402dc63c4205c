package node

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"rainhaven/choice/share"
)

// readControl lets the loop control the reader of a client's connection. A connection may be closed only once its
// reader has passed on all that it read: the loop asks the reader to stop, the reader reports when it has, and waits
// until the loop closes the connection or has it resume.
type readControl struct {
	netConn       net.Conn
	mu            sync.Mutex
	stopRequested bool      // the loop has asked the reader to stop
	forceStop     bool      // the reader is to stop even within a message
	inMessage     bool      // the start of the current message has been read
	beforeFirst   bool      // no message was read yet
	overdue       bool      // the time limit has passed, and overdueGrace is used up or running
	resume        chan bool // the loop's decision about a stopped reader: resume, or end
}

// expiredDeadline is a read deadline that ends a read at once.
var expiredDeadline = time.Unix(1, 0)

// clientMessageTimeout limits the time from the first to the last byte of a client's message, and from the start of
// the connection to the end of the first one.
const clientMessageTimeout = time.Duration(share.MessageTimeout * float64(time.Second))

func newReadControl(nc net.Conn) readControl {
	return readControl{netConn: nc, resume: make(chan bool, 1)}
}

// overdueGrace is the time for input that has already arrived when a message's time limit is found to have passed: the process may
// have been suspended meanwhile.
const overdueGrace = 20 * time.Millisecond

// overdueReader reads a connection and gives a read whose deadline has passed another try if extend allows it.
type overdueReader struct {
	net.Conn
	extend func() bool // sets a later deadline; false if the deadline is final
}

// Read implements net.Conn.
func (r overdueReader) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && r.extend() {
		return r.Conn.Read(b)
	}
	return n, err
}

// extendDeadline gives an overdue message overdueGrace, once. It returns false if the deadline was not that of a message.
func (r *readControl) extendDeadline() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopRequested || r.overdue || !r.beforeFirst && !r.inMessage {
		return false
	}
	r.overdue = true
	r.netConn.SetReadDeadline(time.Now().Add(overdueGrace))
	return true
}

// partialMessageGrace is the time that a reader stopped by force has for the rest of a message that it has begun to
// read.
const partialMessageGrace = 20 * time.Millisecond

// requestStop asks the reader to stop at the end of a message, or, with force, after partialMessageGrace even within
// one.
func (r *readControl) requestStop(force bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopRequested {
		return
	}
	r.stopRequested, r.forceStop = true, force
	switch {
	case !r.inMessage:
		r.netConn.SetReadDeadline(expiredDeadline)
	case force:
		r.netConn.SetReadDeadline(time.Now().Add(partialMessageGrace))
	}
}

// stopIsRequested reports whether the reader is to stop at the end of a message.
func (r *readControl) stopIsRequested() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopRequested
}

// resumeReading has a stopped reader resume.
func (r *readControl) resumeReading() {
	r.mu.Lock()
	r.stopRequested, r.forceStop = false, false
	r.updateDeadline()
	r.mu.Unlock()
	r.resume <- true
}

// endReading tells a stopped reader that its connection is closed.
func (r *readControl) endReading() { r.resume <- false }

// awaitResume waits until the loop decides about a stopped reader; it returns whether to resume.
func (r *readControl) awaitResume(ctx context.Context) bool {
	select {
	case goOn := <-r.resume:
		return goOn
	case <-ctx.Done():
		return false
	}
}

// wasStopped reports whether a read ended because the loop asked for it.
func (r *readControl) wasStopped(err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopRequested && errors.Is(err, os.ErrDeadlineExceeded)
}

// awaitFirstMessage sets the deadline of the first message.
func (r *readControl) awaitFirstMessage() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.beforeFirst = true
	if !r.stopRequested {
		r.updateDeadline()
	}
}

// messageStarted sets the deadline for the rest of a message that has begun to arrive.
func (r *readControl) messageStarted() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inMessage = true
	switch {
	case r.stopRequested && r.forceStop:
		r.netConn.SetReadDeadline(time.Now().Add(partialMessageGrace))
	case r.stopRequested || !r.beforeFirst:
		r.updateDeadline()
	}
}

// messageEnded records that a message was read whole; a reader that is asked to stop reads no further one.
func (r *readControl) messageEnded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inMessage, r.beforeFirst = false, false
	if r.stopRequested {
		r.netConn.SetReadDeadline(expiredDeadline)
		return
	}
	r.updateDeadline()
}

// updateDeadline sets the deadline of the next read; the lock is held.
func (r *readControl) updateDeadline() {
	var at time.Time
	r.overdue = false
	if r.beforeFirst || r.inMessage {
		at = time.Now().Add(clientMessageTimeout)
	}
	r.netConn.SetReadDeadline(at)
}
