package soak

import (
	"fmt"
	"slices"
	"time"
)

// A server sends a release on the connection of the session's attempt, or on another one to the node if that has closed, and
// repeats it on connections opened later.

// pendingRelease is a release that is also sent on connections opened later.
type pendingRelease struct {
	id        string
	text      []byte
	endedAt   time.Duration
	writtenAt time.Duration
}

// release ends a session and sends its release.
func (s *server) release(sess *session, cause int) {
	s.mu.Lock()
	delete(s.sessions, sess.id)
	conns := []*serverConn{sess.conn}
	if !s.conns[sess.conn] {
		conns = s.connsToNode(nodeOf(sess.id))
	}
	s.mu.Unlock()
	s.log.add(record{kind: sessionEnded, request: sess.id, server: s.id, node: nodeOf(sess.id), status: cause})
	r := pendingRelease{id: sess.id, endedAt: s.log.now(), text: []byte(fmt.Sprintf("TEARDOWN %s RTSP/1.0\r\nCSeq: 2\r\nSession: %s\r\nReason: cause=%d\r\nContent-Length: 0\r\n\r\n", sess.url, sess.id, cause))}
	s.mu.Lock()
	if len(s.pendingReleases) < maxPendingReleases {
		s.pendingReleases = append(s.pendingReleases, r)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.sendRelease(r)
	}
}

// connsToNode returns the connections that surely reach a node: one that is known to be the node's, or else all whose node is
// not known. The caller holds s.mu.
func (s *server) connsToNode(node int) (conns []*serverConn) {
	for c := range s.conns {
		if c.node == node {
			return []*serverConn{c}
		}
		if c.node < 0 {
			conns = append(conns, c)
		}
	}
	return conns
}

// sendRelease writes a release and records that it was written.
func (c *serverConn) sendRelease(r pendingRelease) {
	if !c.send(r.text) {
		return
	}
	r.writtenAt = c.server.log.now()
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.recordRelease(r)
	if c.recentReleases = append(c.recentReleases, r); len(c.recentReleases) > maxPendingReleases {
		c.recentReleases = c.recentReleases[1:]
	}
}

// recordRelease records a written release if the connection is to the session's node. The caller holds the server's lock.
func (c *serverConn) recordRelease(r pendingRelease) {
	if c.node == nodeOf(r.id) {
		c.server.log.add(record{at: r.writtenAt, kind: releaseWritten, request: r.id, server: c.server.id, node: c.node, peer: c.RemoteAddr().String()})
	}
}

// resendReleases sends releases written just before this connection ended on another connection to the same node.
func (c *serverConn) resendReleases() {
	s := c.server
	var releases []pendingRelease
	s.mu.Lock()
	for _, r := range c.recentReleases {
		if s.log.now()-r.writtenAt < releaseLossWindow {
			releases = append(releases, r)
		}
	}
	others, dead := s.connsToNode(c.node), s.dead
	s.mu.Unlock()
	if dead {
		return
	}
	for _, conn := range others { // without another connection, the next one opened replays them
		for _, r := range releases {
			conn.sendRelease(r)
		}
	}
}

// replayReleases sends the pending releases on a new connection, as the platform's servers do. Its node is not known yet;
// other nodes ignore them.
func (c *serverConn) replayReleases() {
	c.server.awaitReachable()
	c.server.mu.Lock()
	now := c.server.log.now()
	c.server.pendingReleases = slices.DeleteFunc(c.server.pendingReleases, func(r pendingRelease) bool { return now-r.endedAt > pendingReleaseTTL })
	releases := slices.Clone(c.server.pendingReleases)
	c.server.mu.Unlock()
	for _, r := range releases {
		c.sendRelease(r)
	}
}
