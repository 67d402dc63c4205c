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
	in      net.Conn
	mu      sync.Mutex
	asked   bool // the loop wants it to stop
	forced  bool // also within a message
	within  bool // it reads a message of which something has come
	first   bool // no message was read yet
	verdict chan bool
}

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// messageTime is how long a message may take from its first byte on, and the first one from the connection's start.
const messageTime = time.Duration(share.MessageTimeout * float64(time.Second))

func newReadControl(nc net.Conn) readControl {
	return readControl{in: nc, verdict: make(chan bool, 1)}
}

// restOfMessage is how long a reader that is stopped by force may take for the rest of a message of which it has read a part.
const restOfMessage = 20 * time.Millisecond

// stop asks the reader to stop at the next end of a message, or, by force, soon also within one.
func (r *readControl) stop(force bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.asked {
		return
	}
	r.asked, r.forced = true, force
	switch {
	case !r.within:
		r.in.SetReadDeadline(past)
	case force:
		r.in.SetReadDeadline(time.Now().Add(restOfMessage))
	}
}

// goOn has a reader that has stopped read on.
func (r *readControl) goOn() {
	r.mu.Lock()
	r.asked, r.forced = false, false
	r.limit()
	r.mu.Unlock()
	r.verdict <- true
}

// done tells a reader that has stopped that its connection is closed.
func (r *readControl) done() { r.verdict <- false }

// mayGoOn waits for the loop's verdict on a reader that has stopped.
func (r *readControl) mayGoOn(ctx context.Context) bool {
	select {
	case goOn := <-r.verdict:
		return goOn
	case <-ctx.Done():
		return false
	}
}

// wasStopped tells whether a read ended because the loop asked for it.
func (r *readControl) wasStopped(err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asked && errors.Is(err, os.ErrDeadlineExceeded)
}

func (r *readControl) firstMessage() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.first = true
	if !r.asked {
		r.limit()
	}
}

func (r *readControl) messageBegan() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.within = true
	switch {
	case r.asked && r.forced:
		r.in.SetReadDeadline(time.Now().Add(restOfMessage))
	case r.asked || !r.first:
		r.limit()
	}
}

func (r *readControl) messageEnded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.within, r.first = false, false
	if r.asked {
		r.in.SetReadDeadline(past)
		return
	}
	r.limit()
}

// limit sets the deadline of what is read next; the lock is held.
func (r *readControl) limit() {
	var at time.Time
	if r.first || r.within {
		at = time.Now().Add(messageTime)
	}
	r.in.SetReadDeadline(at)
}
