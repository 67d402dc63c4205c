package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// This file replaces clients' connections at rest: all connections to a node end in a quiet time, and one new connection takes their
// place, over which the node must report the ends of the sessions that stand.

const (
	// replaceInterval is the mean time between two replacements, minQuiet and maxQuiet bound the quiet time after each.
	replaceInterval, minQuiet, maxQuiet = 2 * time.Second, 1500 * time.Millisecond, 3500 * time.Millisecond
	// replacementPingInterval is the interval of health checks on a replacement.
	replacementPingInterval = 500 * time.Millisecond
)

// replacementKind is what is sent on a replacement in the quiet time.
type replacementKind int

const (
	replacementSilent replacementKind = iota // nothing
	replacementPings                         // health checks only
	replacementNames                         // health checks, and the sessions that stand
	replacementKinds
)

func (k replacementKind) String() string { return [...]string{"silent", "pings", "names sessions"}[k] }

// standingSession is a session that a client was told of and that has not ended for it.
type standingSession struct {
	request *request
	server  string // its id
	conn    *clientConn
}

// replaceConnections replaces the connections to randomly drawn nodes until ctx is done. Its draws are independent of the other
// faults, whose plan for a seed stays as it is.
func (s *soak) replaceConnections(ctx context.Context) {
	draws := rand.New(rand.NewPCG(s.o.Seed, 0x4e91))
	var kinds []int // those still to come of a shuffled round of all kinds
	for sleep(ctx, time.Duration(draws.ExpFloat64()*float64(replaceInterval))) {
		if s.log.now() < quietStart {
			continue
		}
		start := draws.IntN(len(s.clients))
		quiet := randomDuration(draws, minQuiet, maxQuiet)
		first, reset := draws.IntN(2) == 0, draws.IntN(4) > 0
		c := s.replaceableClients(start)
		if c == nil || s.log.now()+quiet > s.o.Duration-quietEnd {
			continue
		}
		if len(kinds) == 0 {
			kinds = draws.Perm(int(replacementKinds))
		}
		kind := replacementKind(kinds[0])
		kinds = kinds[1:]
		s.reportFault(fmt.Sprintf("connections to node %d replaced for %v, %s, opened first %v, reset %v", c.node.index, quiet.Round(time.Millisecond), kind, first, reset))
		s.background.Go(func() { c.replace(kind, quiet, first, reset) })
	}
}

// replaceableClients returns the clients of the first node, counted from a drawn one, that accepts connections and is not quiet
// already; nil if there is none. Node 0 is left out, so that the races with closes of its idle connections (closerace.go), which take
// seconds each, are not cut short.
func (s *soak) replaceableClients(start int) *clients {
	candidates := s.clients[1:]
	for i := range candidates {
		c := candidates[(start+i)%len(candidates)]
		if c.node.acceptsConns() && !c.isQuiet() {
			return c
		}
	}
	return nil
}

// replace ends all connections to the node, by a reset or a close, and opens one in their place before or after that. No request is
// sent for the quiet time.
func (c *clients) replace(kind replacementKind, quiet time.Duration, first, reset bool) {
	c.mu.Lock()
	c.quietUntil = c.log.now() + quiet
	c.mu.Unlock()
	old := c.openConns()
	var replacement *clientConn
	if first {
		replacement = c.openReplacement(kind)
	}
	for _, conn := range old {
		if reset {
			conn.resetByClient()
		} else {
			conn.closeByClient()
		}
	}
	if !first {
		replacement = c.openReplacement(kind)
	}
	for c.isQuiet() {
		time.Sleep(min(quiet, replacementPingInterval))
		if replacement != nil && kind != replacementSilent {
			replacement.ping()
		}
	}
}

// openReplacement opens a connection and sends what its kind says; nil if the node can't be reached.
func (c *clients) openReplacement(kind replacementKind) *clientConn {
	conn := c.dial()
	if conn == nil {
		return nil
	}
	c.log.add(record{kind: replacementOpened, node: c.node.index, peer: conn.LocalAddr().String(), detail: kind.String()})
	if kind != replacementSilent {
		conn.ping()
	}
	if kind == replacementNames {
		c.nameSessions(conn)
	}
	c.mu.Lock()
	c.conns[0] = conn
	c.mu.Unlock()
	return conn
}

// nameSessions names the sessions that stand on a connection, as the platform does after a node's start.
func (c *clients) nameSessions(conn *clientConn) {
	c.mu.Lock()
	standing := maps.Clone(c.standing)
	c.mu.Unlock()
	for id, s := range standing {
		if !conn.write(strings.Replace(string(s.request.text), "X-Facts: ", "X-Facts: at:"+s.server+";", 1)) {
			return
		}
		c.log.add(record{kind: sessionNamed, request: id, node: c.node.index, server: s.server, peer: conn.LocalAddr().String()})
	}
}

// nameSessionsAfterStart opens a connection to a process that has just become ready and names the sessions that stand.
func (c *clients) nameSessionsAfterStart() {
	c.mu.Lock()
	count := len(c.standing)
	c.mu.Unlock()
	if count == 0 {
		return
	}
	if conn := c.dial(); conn != nil {
		conn.ping()
		c.nameSessions(conn)
	}
}

// isQuiet reports whether a replacement's quiet time is in force.
func (c *clients) isQuiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.log.now() < c.quietUntil
}

// acceptsRequests reports whether requests are sent to the node on new connections at present.
func (c *clients) acceptsRequests() bool { return c.node.acceptsConns() && !c.isQuiet() }

// ping sends a health check; its answer is not recorded.
func (c *clientConn) ping() bool {
	return c.write("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nContent-Length: 0\r\n\r\n")
}

// write writes a message that is no new request; false if the connection is closed or fails.
func (c *clientConn) write(message string) bool {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.isClosed() {
		return false
	}
	c.SetWriteDeadline(time.Now().Add(time.Second))
	_, err := c.Write([]byte(message))
	return err == nil
}

// resetByClient is closeByClient with a TCP reset.
func (c *clientConn) resetByClient() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.closeByClient()
}
