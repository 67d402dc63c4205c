package node

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"rainhaven/choice/share"
)

// acceptPause lies between two tries to accept where descriptors are short, or no place is free.
const acceptPause = 5 * time.Millisecond

// places bounds the clients' connections that are held, whether the loop has heard of them or not: each is a descriptor. The
// listener's goroutine takes them, the readers free them, the loop says how many there may be.
type places struct {
	held  atomic.Int64
	most  atomic.Int64
	freed chan struct{} // something was freed
	over  chan struct{} // closed when no further connection is accepted
}

func newPlaces(most int) *places {
	p := &places{freed: make(chan struct{}, 1), over: make(chan struct{})}
	p.setMost(most)
	return p
}

func (p *places) setMost(most int) { p.most.Store(int64(most + share.AcceptSlack)) }

func (p *places) isFull() bool { return p.held.Load() >= p.most.Load() }

func (p *places) free() {
	p.held.Add(-1)
	select {
	case p.freed <- struct{}{}:
	default:
	}
}

// pause waits until something was freed, for a moment, or until no further connection is accepted.
func (p *places) pause() {
	timeout := time.NewTimer(acceptPause)
	defer timeout.Stop()
	select {
	case <-p.freed:
	case <-timeout.C:
	case <-p.over:
	}
}

func (p *places) isOver() bool {
	select {
	case <-p.over:
		return true
	default:
		return false
	}
}

// accept takes clients' connections until the listener is closed.
func (n *Node) accept(l net.Listener) {
	defer n.wg.Done()
	defer close(n.acceptDone)
	for !n.clientSlots.isOver() {
		if n.clientSlots.isFull() { // those that give way free some
			n.post(event{do: n.makeRoom})
			n.clientSlots.pause()
			continue
		}
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // descriptors are short
			n.post(event{do: n.makeRoom})
			n.clientSlots.pause()
			continue
		}
		n.clientSlots.held.Add(1)
		v := &client{conn: newConn(nc, n.log), readControl: newReadControl(nc)}
		if !n.post(event{do: func() { n.opened(v) }}) {
			v.close()
			return
		}
		n.wg.Add(1)
		go n.readClient(v)
	}
}
