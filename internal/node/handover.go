package node

import (
	"slices"

	"rainhaven/choice/share"
	"rainhaven/internal/wire"
)

// acceptHandover takes over a session that is already established at a server. It is not answered.
func (n *Node) acceptHandover(cl *client, setup clientSetup) {
	if known := n.sessions[setup.id]; known != nil {
		n.sessionNamed(known, cl)
		return
	}
	if ended := n.endedSessions.find(n.now, setup.id); ended != nil {
		n.endedSessionNamed(ended, setup, cl)
		return
	}
	sv := n.serversByID[setup.currentServer]
	if sv == nil || len(n.sessions)-n.openRequests >= share.MaxHandedOver(n.config.MemoryMB) {
		n.releaseToClient([]*client{cl}, setup.id, teardownMessage(setup.url, setup.id, causeLost))
		return
	}
	setup.body = nil
	s := &session{clientSetup: setup, state: established, establishedAt: n.now, server: sv, rung: n.config.Choice.Groups[setup.group].Floor}
	n.sessions[s.id] = s
	n.attachClient(s, cl)
	s.server.sessions = append(s.server.sessions, s)
	n.counts["handed"]++
	n.notifyModule(wire.Event{Kind: wire.Handover, Request: s.request, Server: s.server.number})
}

// endedSessionNamed handles a client that names a session which has ended: it is released to its client, or to its server if its
// client ended it.
func (n *Node) endedSessionNamed(ended *endedSession, setup clientSetup, cl *client) {
	cl.hasServed = true
	if ended.byClient {
		if sv := n.serversByID[setup.currentServer]; sv != nil {
			n.tearDownAtServer(sv, setup.url, setup.id)
		}
		return
	}
	n.pendingReleases = slices.DeleteFunc(n.pendingReleases, func(r *pendingRelease) bool { return r.id == setup.id })
	n.releaseToClient([]*client{cl}, setup.id, teardownMessage(setup.url, setup.id, ended.cause))
}

// sessionNamed handles a client that names a session which this node holds. The connection on which it was named last carries its
// release as well: the session's own one may have closed, or may be one that its client no longer reads.
func (n *Node) sessionNamed(s *session, cl *client) {
	if s.state != established || s.client == cl {
		return
	}
	cl.hasServed = true
	if s.client != nil && s.client.isOpen() {
		s.namedOn, cl.namesOthers = cl, true
		return
	}
	n.attachClient(s, cl)
}

// attachClient makes a client's connection the own one of an established session whose client knows that it is established.
func (n *Node) attachClient(s *session, cl *client) {
	n.detachClient(s)
	s.client, s.namedOn = cl, nil
	s.answerEnd = 0 // its answer, if it had one, was read on another connection
	cl.sessions = append(cl.sessions, s)
	cl.Established++
	cl.hasServed = true
}

// loseClient handles the end of the own connection of an established session, which goes on: on the connection on which it was
// named last, if that is open.
func (n *Node) loseClient(s *session) {
	named := s.namedOn
	n.detachClient(s)
	s.namedOn = nil
	if named != nil && named.isOpen() {
		n.attachClient(s, named)
	}
}

// releaseConns returns the connections that carry a session's release: its own, and the one on which it was named last.
func (s *session) releaseConns() []*client {
	conns := []*client{s.client, s.namedOn}
	return slices.DeleteFunc(conns, func(cl *client) bool { return cl == nil })
}
