package node

import (
	"slices"
	"strings"
	"time"
)

// SIGKILL comes 0.15 s after the drain's end at the earliest (share.DrainSeconds): all three together take less.
const (
	// flush is how long answers that are queued at the exit may take to leave.
	flush = 50 * time.Millisecond
	// stopReading is how long the readers of clients' connections may take to hand over what they have read.
	stopReading = 30 * time.Millisecond
	// forceClose is how long, once all is answered, a client that does not read may hold up the exit.
	forceClose = 40 * time.Millisecond
)

// finish answers what is open at the exit and closes the clients' connections. What was read and ends without its answer is
// lost, so it hears from every reader before the last answers: first all that is open is answered, while requests still
// come, then each reader stops and hands over what it has, then that is answered too and the connections are closed.
func (n *Node) finish() {
	n.tick()
	n.front.SetTime(n.now)
	n.front.Stop()
	n.serveUntil(flush, func() bool { n.answerOpen(); return n.flushed() && len(n.events) == 0 && n.accepted() })
	for _, v := range n.clients {
		v.requestStop(true)
	}
	n.serveUntil(stopReading, func() bool { n.answerOpen(); return n.readersStopped() && len(n.events) == 0 })
	n.closeAll()
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
			n.tick()
			n.front.SetTime(n.now)
			e.do()
			n.settle()
		case <-look.C:
		case <-timeout.C:
			return
		}
	}
}

// answerOpen gives up every attempt that is out; the module words the answers.
func (n *Node) answerOpen() {
	if n.open == 0 {
		return
	}
	n.tick()
	var open []*session
	for _, s := range n.sessions {
		if s.state == attempting {
			open = append(open, s)
		}
	}
	slices.SortFunc(open, func(a, b *session) int { return strings.Compare(a.id, b.id) })
	for _, s := range open {
		n.timedOut(s)
	}
	n.settle()
}

// accepted tells whether no further connection will be accepted.
func (n *Node) accepted() bool {
	select {
	case <-n.accepting:
		return true
	default:
		return false
	}
}

// flushed tells whether all that was queued for clients has been written.
func (n *Node) flushed() bool {
	return !slices.ContainsFunc(n.clients, func(v *client) bool { return !v.isFlushed() })
}

func (n *Node) readersStopped() bool {
	return !slices.ContainsFunc(n.clients, func(v *client) bool { return !v.readerStopped })
}

// closeAll closes the clients' connections once what is queued on them was written.
func (n *Node) closeAll() {
	for _, v := range n.clients {
		n.guard.Close(v.peer(), v.Pending, v.readerStopped)
		v.closeGracefully()
	}
	late := time.After(forceClose)
	for _, v := range n.clients {
		select {
		case <-v.writerDone:
		case <-late:
			late = nil
		}
		v.nc.Close()
	}
}
