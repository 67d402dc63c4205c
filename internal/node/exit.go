package node

import (
	"slices"
	"strings"
	"time"
)

// Together these take less than 0.15 s: SIGKILL follows the end of the drain after that at the earliest (share.DrainSeconds).
const (
	// flushTimeout bounds the wait until what is queued at the exit for clients and servers is written.
	flushTimeout = 50 * time.Millisecond
	// stopReadersTimeout bounds the wait until the readers of client connections have stopped.
	stopReadersTimeout = 30 * time.Millisecond
	// forceCloseTimeout bounds how long a client that does not read delays the exit after everything is answered.
	forceCloseTimeout = 40 * time.Millisecond
)

// shutDown answers the open requests at the exit and closes the client connections. A request that was read must not go
// unanswered, so every reader is drained before the last answers: first the open requests are answered while further ones may
// arrive, then each reader stops and posts what it has read, then that is answered too and the connections are closed.
func (n *Node) shutDown() {
	n.updateClock()
	n.front.SetTime(n.now)
	n.front.Stop()
	n.serveUntil(flushTimeout, func() bool {
		n.answerOpenRequests()
		return n.clientsFlushed() && n.serversFlushed() && len(n.events) == 0 && n.acceptStopped()
	})
	for _, cl := range n.clients {
		cl.requestStop(true)
	}
	n.serveUntil(stopReadersTimeout, func() bool {
		n.answerOpenRequests()
		return n.readersStopped() && n.serversFlushed() && len(n.events) == 0
	})
	n.closeClients()
	n.guard.ProcessEnded()
	for reason, times := range n.guard.Counts() {
		n.counts["violation "+reason] = times
	}
}

// serveUntil handles events as the loop does, until done or until the limit has passed.
func (n *Node) serveUntil(limit time.Duration, done func() bool) {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	poll := time.NewTicker(time.Millisecond) // written bytes post no event
	defer poll.Stop()
	for !done() {
		select {
		case e := <-n.events:
			n.updateClock()
			n.front.SetTime(n.now)
			e.do()
			n.reconcile()
		case <-poll.C:
		case <-timeout.C:
			return
		}
	}
}

// answerOpenRequests times out every SETUP in flight; the module decides the answers.
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

// acceptStopped reports whether the accept loop has ended.
func (n *Node) acceptStopped() bool {
	select {
	case <-n.acceptDone:
		return true
	default:
		return false
	}
}

// clientsFlushed reports whether everything queued for clients has been written.
func (n *Node) clientsFlushed() bool {
	return !slices.ContainsFunc(n.clients, func(cl *client) bool { return !cl.isFlushed() })
}

// serversFlushed reports whether everything queued for servers has been written, such as TEARDOWNs of sessions that have ended.
func (n *Node) serversFlushed() bool {
	for _, sv := range n.servers {
		if slices.ContainsFunc(sv.conns, func(sc *serverConn) bool { return sc.up && !sc.isFlushed() }) {
			return false
		}
	}
	return true
}

// readersStopped reports whether the readers of all client connections have stopped.
func (n *Node) readersStopped() bool {
	return !slices.ContainsFunc(n.clients, func(cl *client) bool { return !cl.readerStopped })
}

// closeClients closes the client connections once what is queued on them is written, at the latest after forceCloseTimeout.
func (n *Node) closeClients() {
	for _, cl := range n.clients {
		n.guard.Close(cl.peer(), cl.Pending, cl.readerStopped)
		cl.closeGracefully()
	}
	late := time.After(forceCloseTimeout)
	for _, cl := range n.clients {
		select {
		case <-cl.writerDone:
		case <-late:
			late = nil
		}
		cl.nc.Close()
	}
}
