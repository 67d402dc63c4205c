package node

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"rainhaven/choice/share"
)

// acceptRetryPause is the delay before the next attempt to accept when descriptors are short or no slot is free.
const acceptRetryPause = 5 * time.Millisecond

// connSlots limits the open connections of clients, including those that the loop has not been notified of: each holds
// a descriptor. The accepting goroutine takes slots, the readers release them, and the loop sets the limit.
type connSlots struct {
	inUse  atomic.Int64
	limit  atomic.Int64
	freed  chan struct{} // signals that a slot was released
	closed chan struct{} // closed when no further connection is accepted
}

func newConnSlots(limit int) *connSlots {
	s := &connSlots{freed: make(chan struct{}, 1), closed: make(chan struct{})}
	s.setLimit(limit)
	return s
}

func (s *connSlots) setLimit(limit int) { s.limit.Store(int64(limit + share.AcceptSlack)) }

func (s *connSlots) isFull() bool { return s.inUse.Load() >= s.limit.Load() }

func (s *connSlots) release() {
	s.inUse.Add(-1)
	select {
	case s.freed <- struct{}{}:
	default:
	}
}

// awaitFree waits until a slot is released, acceptRetryPause has passed, or no further connection is accepted.
func (s *connSlots) awaitFree() {
	timeout := time.NewTimer(acceptRetryPause)
	defer timeout.Stop()
	select {
	case <-s.freed:
	case <-timeout.C:
	case <-s.closed:
	}
}

func (s *connSlots) isClosed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// acceptClients accepts connections of clients until the listener is closed.
func (n *Node) acceptClients(listener net.Listener) {
	defer n.wg.Done()
	defer close(n.acceptDone)
	for !n.clientSlots.isClosed() {
		if n.clientSlots.isFull() { // evicted connections release some
			n.post(event{do: n.enforceClientLimit})
			n.clientSlots.awaitFree()
			continue
		}
		nc, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // descriptors are exhausted
			n.post(event{do: n.enforceClientLimit})
			n.clientSlots.awaitFree()
			continue
		}
		n.clientSlots.inUse.Add(1)
		cl := &client{conn: newConn(nc, n.log), readControl: newReadControl(nc)}
		if !n.post(event{do: func() { n.clientOpened(cl) }}) {
			cl.close()
			return
		}
		n.wg.Add(1)
		go n.readClient(cl)
	}
}
