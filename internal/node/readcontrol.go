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

// readControl is the reading side of a client's connection, as far as the loop has a say in it. A connection may be closed only
// once its reader has handed over all that it read: the loop asks it to stop, the reader tells when it has, and waits for the
// loop to close the connection or to have it go on.
type readControl struct {
	netConn       net.Conn
	mu            sync.Mutex
	stopRequested bool // the loop wants it to stop
	forceStop     bool // also within a message
	inMessage     bool // it reads a message of which something has come
	beforeFirst   bool // no message was read yet
	resume        chan bool
}

// expiredDeadline is a deadline that ends a read at once.
var expiredDeadline = time.Unix(1, 0)

// clientMessageTimeout is how long a message may take from its first byte on, and the first one from the connection's start.
const clientMessageTimeout = time.Duration(share.MessageTimeout * float64(time.Second))

func newReadControl(nc net.Conn) readControl {
	return readControl{netConn: nc, resume: make(chan bool, 1)}
}

// partialMessageGrace is how long a reader that is stopped by force may take for the rest of a message of which it has read a part.
const partialMessageGrace = 20 * time.Millisecond

// requestStop asks the reader to requestStop at the next end of a message, or, by force, soon also within one.
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

// resumeReading has a reader that has stopped read on.
func (r *readControl) resumeReading() {
	r.mu.Lock()
	r.stopRequested, r.forceStop = false, false
	r.updateDeadline()
	r.mu.Unlock()
	r.resume <- true
}

// endReading tells a reader that has stopped that its connection is closed.
func (r *readControl) endReading() { r.resume <- false }

// awaitResume waits for the loop's verdict on a reader that has stopped.
func (r *readControl) awaitResume(ctx context.Context) bool {
	select {
	case goOn := <-r.resume:
		return goOn
	case <-ctx.Done():
		return false
	}
}

// wasStopped tells whether a read ended because the loop asked for it.
func (r *readControl) wasStopped(err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopRequested && errors.Is(err, os.ErrDeadlineExceeded)
}

func (r *readControl) awaitFirstMessage() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.beforeFirst = true
	if !r.stopRequested {
		r.updateDeadline()
	}
}

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

// updateDeadline sets the deadline of what is read next; the lock is held.
func (r *readControl) updateDeadline() {
	var at time.Time
	if r.beforeFirst || r.inMessage {
		at = time.Now().Add(clientMessageTimeout)
	}
	r.netConn.SetReadDeadline(at)
}
