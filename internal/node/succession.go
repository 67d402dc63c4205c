package node

import (
	"slices"

	"rainhaven/choice"
)

// An address is not the identity of a process: the address of a server that has gone may belong to a new one, and a server may be
// listed at another address than before. Whatever answers at an address proves nothing about sessions that an earlier process set
// up. The functions of this file separate the two when the list reports the change.

// moveServer returns a server of the same id at another address, which takes the place of the known one in the list. The known one
// then counts as gone: it gets no SETUP, its connections are not reused, and it is not dialled.
func (n *Node) moveServer(known *server, addr string) *server {
	moved := &server{id: known.id, number: known.number, addr: addr, state: known.state, listedStartMs: known.listedStartMs, startedAt: known.startedAt}
	n.servers[slices.Index(n.servers, known)] = moved
	n.servers = append(n.servers, known)
	n.serversByNumber[moved.number], n.serversByID[moved.id] = moved, moved
	n.setServerState(known, choice.Gone)
	n.verifySessions(known)
	return moved
}

// checkAddresses finds the servers that are gone from the list and whose address another server has now, and verifies their sessions.
func (n *Node) checkAddresses() {
	listed := map[string]bool{}
	for _, sv := range n.servers {
		if sv.state != choice.Gone {
			listed[sv.addr] = true
		}
	}
	for _, sv := range slices.Clone(n.servers) {
		if sv.state != choice.Gone {
			sv.addressTaken = false
		} else if listed[sv.addr] && !sv.addressTaken {
			sv.addressTaken = true
			n.verifySessions(sv)
		}
	}
}

// verifySessions ends the sessions of a server whose process no longer has its address. A session stays if the connection over which it
// was set up is open and its peer answers on it: that process runs, whichever it is, and knows the session.
func (n *Node) verifySessions(sv *server) {
	for _, s := range slices.Clone(sv.sessions) {
		if sc := s.setUpOn; sc != nil && sc.server == sv && sc.up && !sc.closed && !sc.isClosing() {
			n.requestProof(sc)
			continue
		}
		n.loseSession(s)
	}
}

// isSucceededBy reports whether another server was listed at the address of this one, which may be nil. The process that has the
// address now sends what concerns sessions that it set up for this server on any of its connections.
func (sv *server) isSucceededBy(other *server) bool {
	return sv != nil && sv.addressTaken && sv.addr == other.addr
}

// successor returns the listed server that has a gone server's address, or nil.
func (n *Node) successor(sv *server) *server {
	for _, other := range n.servers {
		if other.state != choice.Gone && sv.isSucceededBy(other) {
			return other
		}
	}
	return nil
}

// loseSession ends a session as lost with its server's process. If that process runs after all, it is told, so that nothing is left
// standing there.
func (n *Node) loseSession(s *session) {
	end := sessionMessage{id: s.id, data: teardownMessage(s.url, s.id, causeLost)}
	if !n.trySendToServer(s.server, end) {
		if successor := n.successor(s.server); successor != nil {
			n.sendToServer(successor, end)
		}
	}
	n.endSession(s, choice.Reset, causeLost, noReport)
}
