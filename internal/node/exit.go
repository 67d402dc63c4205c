package node

import (
	"slices"
	"strings"
	"time"
)

// SIGKILL comes 0.15 s after the drain's end at the earliest (share.DrainSeconds): all three together take less.
const (
	// flushTimeout is how long answers that are queued at the exit may take to leave.
	flushTimeout = 50 * time.Millisecond
	// stopReadersTimeout is how long the readers of clients' connections may take to hand over what they have read.
	stopReadersTimeout = 30 * time.Millisecond
	// forceCloseTimeout is how long, once all is answered, a client that does not read may hold up the exit.
	forceCloseTimeout = 40 * time.Millisecond
)

// shutDown answers what is open at the exit and closes the clients' connections. What was read and ends without its answer is
// lost, so it hears from every reader before the last answers: first all that is open is answered, while requests still
// come, then each reader stops and hands over what it has, then that is answered too and the connections are closed.
func (n *Node) shutDown() {
	n.updateClock()
	n.front.SetTime(n.now)
	n.front.Stop()
	n.serveUntil(flushTimeout, func() bool {
		n.answerOpenRequests()
		return n.clientsFlushed() && len(n.events) == 0 && n.acceptStopped()
	})
	for _, v := range n.clients {
		v.requestStop(true)
	}
	n.serveUntil(stopReadersTimeout, func() bool { n.answerOpenRequests(); return n.readersStopped() && len(n.events) == 0 })
	n.closeClients()
	n.guard.ProcessEnded()
	for reason, times := range n.guard.Counts() {
		n.counts["violation "+reason] = times
	}
}

// serveUntil takes events as the loop does, until done or for so long.
func (n *Node) serveUntil(limit time.Duration, done func() bool) {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	look := time.NewTicker(time.Millisecond) // for what no event tells: bytes that were written
	defer look.Stop()
	for !done() {
		select {
		case e := <-n.events:
			n.updateClock()
			n.front.SetTime(n.now)
			e.do()
			n.reconcile()
		case <-look.C:
		case <-timeout.C:
			return
		}
	}
}

// answerOpenRequests gives up every attempt that is out; the module words the answers.
func (n *Node) answerOpenRequests() {
	if n.openRequests == 0 {
		return
	}
	n.updateClock()
	var open []*session
	for _, s := range n.sessions {
		if s.state == attempting {
			open = append(open, s)
		}
	}
	slices.SortFunc(open, func(a, b *session) int { return strings.Compare(a.id, b.id) })
	for _, s := range open {
		n.setupTimedOut(s)
	}
	n.reconcile()
}

// acceptStopped tells whether no further connection will be acceptStopped.
func (n *Node) acceptStopped() bool {
	select {
	case <-n.acceptDone:
		return true
	default:
		return false
	}
}

// clientsFlushed tells whether all that was queued for clients has been written.
func (n *Node) clientsFlushed() bool {
	return !slices.ContainsFunc(n.clients, func(v *client) bool { return !v.isFlushed() })
}

func (n *Node) readersStopped() bool {
	return !slices.ContainsFunc(n.clients, func(v *client) bool { return !v.readerStopped })
}

// closeClients closes the clients' connections once what is queued on them was written.
func (n *Node) closeClients() {
	for _, v := range n.clients {
		n.guard.Close(v.peer(), v.Pending, v.readerStopped)
		v.closeGracefully()
	}
	late := time.After(forceCloseTimeout)
	for _, v := range n.clients {
		select {
		case <-v.writerDone:
		case <-late:
			late = nil
		}
		v.nc.Close()
	}
}
