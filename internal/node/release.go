package node

import (
	"slices"

	"go.uber.org/zap"

	"rainhaven/choice/carrier"
)

// maxPendingReleases bounds the pending releases: as many as the sessions that a large node holds. What exceeds it is dropped.
const maxPendingReleases = 8192

// pendingRelease is the release of an ended session that may not have reached the session's client: no connection was open, or
// only such whose peers may not handle sessions.
type pendingRelease struct {
	id      string // of the session
	data    []byte
	endedAt float64
	copies  int       // how often it was sent
	sentOn  []*client // the open connections on which it was sent; at most carrier.MaxCopies
}

// unsentReleaseSeconds is how long a release waits if no connection is open. It is late after 8 s, but a client that is never
// notified holds its session for good.
const unsentReleaseSeconds = 60.0

// expired reports whether a release is dropped.
func (r *pendingRelease) expired(now float64) bool {
	if r.copies == 0 {
		return now-r.endedAt >= unsentReleaseSeconds
	}
	return now-r.endedAt >= pendingSeconds
}

// settled reports whether a release needs no further copy: it was sent on an open connection whose peer handles sessions.
func (r *pendingRelease) settled() bool {
	return slices.ContainsFunc(r.sentOn, func(cl *client) bool { return cl.relation().Confirmed() })
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

// releaseOnAnyConn sends a release on the best open connections. It is kept, and sent on better ones and on those that open later, until
// it was sent to a client that handles sessions, or has expired.
func (n *Node) releaseOnAnyConn(id string, data []byte) {
	r := &pendingRelease{id: id, data: data, endedAt: n.now}
	if n.sendPendingRelease(r, n.releaseCarriers()) {
		return
	}
	if len(n.pendingReleases) >= maxPendingReleases {
		n.dropRelease(r, "too many wait")
		return
	}
	n.logRelease("release kept for a better connection", id, nil)
	n.pendingReleases = append(n.pendingReleases, r)
}

// releaseCarriers returns the open connections that best carry the release of a session without a connection of its own.
func (n *Node) releaseCarriers() (carriers []*client) {
	var open []*client
	var candidates []carrier.Conn
	for _, cl := range n.clients {
		if cl.isOpen() && !n.trials.avoidsCarrier(cl.relation()) {
			open = append(open, cl)
			candidates = append(candidates, carrier.Conn{Relation: cl.relation(), LastHeard: cl.lastHeard})
		}
	}
	for _, i := range carrier.Choose(candidates) {
		carriers = append(carriers, open[i])
	}
	return carriers
}

// sendPendingRelease sends a release on those of the carriers on which it was not sent yet. It reports whether the release needs no
// further copy: a confirmed connection has it, and retains it in case it ends before the release must have arrived.
func (n *Node) sendPendingRelease(r *pendingRelease, carriers []*client) (settled bool) {
	r.sentOn = slices.DeleteFunc(r.sentOn, func(cl *client) bool { return !cl.isOpen() })
	if r.settled() {
		return true
	}
	for _, cl := range carriers {
		if cl.relation().Confirmed() {
			if cl.sendRetained(n.now, sessionMessage{id: r.id, data: r.data, ends: true}) {
				n.logReleaseCopy(r, cl)
				return true
			}
			continue
		}
		if r.copies >= carrier.MaxCopies || slices.Contains(r.sentOn, cl) || !cl.hasRoom() {
			continue
		}
		if from, _ := cl.send(r.data); from >= 0 {
			r.copies++
			r.sentOn = append(r.sentOn, cl)
			n.logReleaseCopy(r, cl)
		}
	}
	return false
}

// logReleaseCopy logs and counts a release that was sent on another connection than its session's own.
func (n *Node) logReleaseCopy(r *pendingRelease, cl *client) {
	n.logRelease("release sent on another connection", r.id, cl)
	n.counts["releases over another connection"]++
}

// sendPendingReleases sends the pending releases for which a better connection has opened, and drops those that have expired.
func (n *Node) sendPendingReleases() {
	if len(n.pendingReleases) == 0 {
		return
	}
	carriers := n.releaseCarriers()
	n.pendingReleases = slices.DeleteFunc(n.pendingReleases, func(r *pendingRelease) bool {
		if r.expired(n.now) {
			if r.copies == 0 {
				n.dropRelease(r, "no connection in time")
			}
			return true
		}
		return n.sendPendingRelease(r, carriers)
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
