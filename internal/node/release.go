package node

import (
	"slices"

	"go.uber.org/zap"

	"rainhaven/choice/carrier"
)

// maxPendingReleases bounds the pending releases: as many as the sessions that a large node holds. What exceeds it is dropped.
const maxPendingReleases = 8192

// pendingRelease is the release of an ended session that may not have reached the session's client: no connection was open, or
// only one whose peer may not handle sessions.
type pendingRelease struct {
	id        string // of the session
	data      []byte
	expiresAt float64
	sentOn    *client          // nil if it was not sent
	relation  carrier.Relation // of sentOn, when it was sent there
}

// sent describes for package carrier how a release was sent.
func (r *pendingRelease) sent() carrier.Sent {
	if r.sentOn == nil {
		return carrier.Sent{}
	}
	return carrier.Sent{OnConn: true, Open: r.sentOn.isOpen(), Relation: r.relation}
}

// isOpen reports whether messages can be sent on a client's connection.
func (cl *client) isOpen() bool { return !cl.closed && !cl.isClosing() }

// relation is what a client's connection has shown about sessions.
func (cl *client) relation() carrier.Relation {
	return carrier.Relate(cl.SentMessage, cl.RequestedSession, cl.hasServed)
}

// releaseToClient sends a release on the connections of its session; if none of them is open, on another one, or as soon as one is.
func (n *Node) releaseToClient(own []*client, id string, data []byte) {
	sent := false
	for _, cl := range own {
		if cl.sendRetained(n.now, sessionMessage{id: id, data: data, ends: true}) {
			n.logRelease("release sent on the session's own connection", id, cl)
			sent = true
		}
	}
	if !sent {
		n.releaseOnAnyConn(id, data)
	}
}

// releaseOnAnyConn sends a release on the best open connection. It is kept, and sent again on a better one, until it was sent to
// a client that handles sessions, or pendingSeconds have passed.
func (n *Node) releaseOnAnyConn(id string, data []byte) {
	r := &pendingRelease{id: id, data: data, expiresAt: n.now + pendingSeconds}
	if n.sendPendingRelease(r, n.releaseCarrier()) {
		return
	}
	if len(n.pendingReleases) >= maxPendingReleases {
		n.dropRelease(r, "too many wait")
		return
	}
	n.logRelease("release kept for a better connection", id, nil)
	n.pendingReleases = append(n.pendingReleases, r)
}

// releaseCarrier returns the open connection that best carries a release of a session without a connection of its own; nil if no
// connection is open.
func (n *Node) releaseCarrier() *client {
	var open []*client
	var candidates []carrier.Conn
	for _, cl := range n.clients {
		if cl.isOpen() && !n.trials.avoidsCarrier(cl.relation()) {
			open = append(open, cl)
			candidates = append(candidates, carrier.Conn{Relation: cl.relation(), LastHeard: cl.lastHeard})
		}
	}
	if i := carrier.Pick(candidates); i != carrier.None {
		return open[i]
	}
	return nil
}

// sendPendingRelease sends a release on a connection, which may be nil, unless it was sent on as good a one. It reports whether
// the release needs no further copy. The connection retains it then, in case it ends before the release must have arrived.
func (n *Node) sendPendingRelease(r *pendingRelease, best *client) (settled bool) {
	if r.sentOn != nil {
		r.relation = r.sentOn.relation()
	}
	if r.sent().Settled() {
		return true
	}
	if best == nil || !r.sent().Repeat(best.relation()) || !best.hasRoom() {
		return false
	}
	relation := best.relation()
	if relation.Confirmed() {
		settled = best.sendRetained(n.now, sessionMessage{id: r.id, data: r.data, ends: true})
	}
	if !settled {
		if from, _ := best.send(r.data); from < 0 {
			return false
		}
	}
	n.logRelease("release sent on another connection", r.id, best)
	n.counts["releases over another connection"]++
	r.sentOn, r.relation = best, relation
	return settled
}

// sendPendingReleases sends the pending releases for which a better connection has opened, and drops those that have expired.
func (n *Node) sendPendingReleases() {
	if len(n.pendingReleases) == 0 {
		return
	}
	best := n.releaseCarrier()
	n.pendingReleases = slices.DeleteFunc(n.pendingReleases, func(r *pendingRelease) bool {
		if n.now >= r.expiresAt {
			if r.sentOn == nil {
				n.dropRelease(r, "no connection in time")
			}
			return true
		}
		return n.sendPendingRelease(r, best)
	})
}

// dropRelease logs a release that was not sent and never will be.
func (n *Node) dropRelease(r *pendingRelease, reason string) {
	n.counts["releases dropped"]++
	n.log.Info("release dropped", str("sess", r.id), str("why", reason), num("open", len(n.clients)))
}

// logRelease logs, at level debug, which way a release takes; cl is nil if it was not sent.
func (n *Node) logRelease(message, id string, cl *client) {
	if !n.log.Core().Enabled(zap.DebugLevel) {
		return
	}
	if cl == nil {
		n.log.Debug(message, str("sess", id), num("open", len(n.clients)), num("waiting", len(n.pendingReleases)))
		return
	}
	n.log.Debug(message, str("sess", id), str("to", cl.peer()), num("relation", int(cl.relation())))
}
