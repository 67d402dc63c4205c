package soak

import (
	"fmt"
	"slices"
	"time"
)

// A server sends the end of a session on the connection of its attempt, else on any open one, and on those opened later as well.

// pendingRelease is a release that goes over the next connection opened as well.
type pendingRelease struct {
	id      string
	bytes   []byte
	ended   time.Duration
	written time.Duration
}

// release ends a session that stands.
func (s *server) release(x *standing, cause int) {
	s.mu.Lock()
	delete(s.sessions, x.id)
	on := []*serverConn{x.on}
	if !s.conns[x.on] {
		on = s.connsFor(nodeOf(x.id))
	}
	s.mu.Unlock()
	s.log.add(record{kind: sessionEnded, request: x.id, server: s.id, node: nodeOf(x.id), status: cause})
	r := pendingRelease{id: x.id, ended: s.log.now(), bytes: []byte(fmt.Sprintf("TEARDOWN %s RTSP/1.0\r\nCSeq: 2\r\nSession: %s\r\nReason: cause=%d\r\nContent-Length: 0\r\n\r\n", x.url, x.id, cause))}
	s.mu.Lock()
	if len(s.pending) < mostPending {
		s.pending = append(s.pending, r)
	}
	s.mu.Unlock()
	for _, c := range on {
		c.sayRelease(r)
	}
}

// connsFor gives the connections on which a node surely hears: one of its own, or, where none is known as such, all that may be.
// The lock is held.
func (s *server) connsFor(node int) (list []*serverConn) {
	for c := range s.conns {
		if c.node == node {
			return []*serverConn{c}
		}
		if c.node < 0 {
			list = append(list, c)
		}
	}
	return list
}

// sayRelease writes a release, and records that it was written.
func (c *serverConn) sayRelease(r pendingRelease) {
	if !c.say(r.bytes) {
		return
	}
	r.written = c.s.log.now()
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.recordRelease(r)
	if c.recent = append(c.recent, r); len(c.recent) > mostPending {
		c.recent = c.recent[1:]
	}
}

// recordRelease records that a release was written, where it went to the node that it concerns; the server's lock is held.
func (c *serverConn) recordRelease(r pendingRelease) {
	if c.node == nodeOf(r.id) {
		c.s.log.add(record{at: r.written, kind: releaseWritten, request: r.id, server: c.s.id, node: c.node, peer: c.RemoteAddr().String()})
	}
}

// resendReleases sends what was written to a connection just before its end over another one, or keeps it for the next.
func (c *serverConn) resendReleases() {
	s := c.s
	var list []pendingRelease
	s.mu.Lock()
	for _, r := range c.recent {
		if s.log.now()-r.written < surelyArrives {
			list = append(list, r)
		}
	}
	others, dead := s.connsFor(c.node), s.dead
	s.mu.Unlock()
	if dead {
		return
	}
	for _, o := range others { // where there are none it goes over the next one
		for _, r := range list {
			o.sayRelease(r)
		}
	}
}

// repeatReleases sends the releases written before on this connection as well, as the platform's servers do. Whose it is
// is not known yet; to other nodes they say nothing.
func (c *serverConn) repeatReleases() {
	c.s.awaitReturn()
	c.s.mu.Lock()
	now := c.s.log.now()
	c.s.pending = slices.DeleteFunc(c.s.pending, func(r pendingRelease) bool { return now-r.ended > keepPending })
	list := slices.Clone(c.s.pending)
	c.s.mu.Unlock()
	for _, r := range list {
		c.sayRelease(r)
	}
}
