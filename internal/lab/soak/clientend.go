package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// endShare of the sessions are ended by their clients, after up to maxEndDelay, over any connection.
	endShare    = 0.3
	maxEndDelay = 2 * time.Second
)

// sessionServer returns the id of the server that gave a description.
func sessionServer(description string) string {
	_, rest, _ := strings.Cut(description, "\r\ns=")
	server, _, _ := strings.Cut(rest, "\r\n")
	return server
}

// sessionEstablished records that a session stands for its client, which may end it later.
func (c *clients) sessionEstablished(r *request, conn *clientConn, description string) {
	c.mu.Lock()
	c.standing[r.id] = standingSession{request: r, server: sessionServer(description), conn: conn}
	ends, delay := c.endRand.Float64() < endShare, time.Duration(c.endRand.Int64N(int64(maxEndDelay)))
	c.mu.Unlock()
	if ends {
		time.AfterFunc(delay, func() { c.endSession(r.id) })
	}
}

// sessionReleased records that a session's client was told of its end.
func (c *clients) sessionReleased(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.standing, id)
}

// endSession has a client end a session that stands, over a pooled connection, which need not be the session's own.
func (c *clients) endSession(id string) {
	c.mu.Lock()
	s, standing := c.standing[id]
	index := c.endRand.IntN(connsPerNode)
	c.mu.Unlock()
	if !standing {
		return
	}
	conn := c.pooledConn(index, false)
	if conn == nil {
		return
	}
	if !conn.write(fmt.Sprintf("TEARDOWN rtsp://media/t RTSP/1.0\r\nCSeq: 2\r\nSession: %s\r\nContent-Length: 0\r\n\r\n", id)) {
		return
	}
	c.log.add(record{kind: sessionEndedByClient, request: id, node: c.node.index, peer: conn.LocalAddr().String()})
	c.sessionReleased(id)
	s.conn.mu.Lock()
	s.conn.sessions--
	s.conn.mu.Unlock()
}

// newEndRand returns the random source that decides which sessions their clients end.
func newEndRand(seed uint64, node int) *rand.Rand {
	return rand.New(rand.NewPCG(seed, uint64(5000+node)))
}
