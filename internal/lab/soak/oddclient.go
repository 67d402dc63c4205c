package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

const (
	// Shares of requests of a dense soak whose client closes at once, half-closes its connection after the request, or cancels
	// at about the instant of the answer.
	immediateCloseShare, halfCloseShare, earlyCancelShare = 0.03, 0.03, 0.06
	// maxEarlyCancelDelay is how long after its request such a client cancels, at most: answers usually come within it.
	maxEarlyCancelDelay = 35 * time.Millisecond
	// retryShare is the share of refused requests whose client asks again at once, and maxRetries how often it may.
	retryShare, maxRetries = 0.4, 2
)

// sendUnusual sends a request of a client that does something unusual; false where this one is a usual one.
func (c *clients) sendUnusual(draw float64) bool {
	switch {
	case draw < immediateCloseShare+halfCloseShare:
		if !c.node.acceptsConns() {
			return true
		}
		conn := c.dial()
		if conn == nil {
			return true
		}
		r := c.newRequest(c.rand, 0, c.rand.IntN(titlesPerClass))
		r.resent = true // it crosses no close but its client's own
		if !conn.send(r, 0, "closes") {
			return true
		}
		if draw < immediateCloseShare {
			conn.closeByClient()
		} else {
			conn.halfClose()
		}
	case draw < immediateCloseShare+halfCloseShare+earlyCancelShare || c.cancelsEarly():
		conn := c.pooledConn(c.rand.IntN(connsPerNode), c.node.acceptsConns())
		if conn == nil {
			return true
		}
		r := c.newRequest(c.rand, c.rand.IntN(2), c.rand.IntN(titlesPerClass))
		after := time.Duration(c.rand.Int64N(int64(maxEarlyCancelDelay)))
		if conn.send(r, 0, "cancels as it is answered") {
			time.AfterFunc(after, func() { conn.cancel(r) })
		}
	default:
		return false
	}
	return true
}

// halfClose ends the sending side of a connection, and waits for what is owed on it.
func (c *clientConn) halfClose() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		c.writeMu.Lock()
		t.CloseWrite()
		c.writeMu.Unlock()
	}
}

// cancelEarly has all requests of these clients cancelled at about the instants of their answers, until then.
func (c *clients) cancelEarly(until time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelEarlyUntil = max(c.cancelEarlyUntil, until)
}

func (c *clients) cancelsEarly() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.log.now() < c.cancelEarlyUntil
}

// retry asks once more for what was refused, at once.
func (c *clients) retry(conn *clientConn, r *request) {
	c.mu.Lock()
	draw := c.retryRand.Float64()
	c.mu.Unlock()
	if !c.dense || r.refusals >= maxRetries || draw >= retryShare {
		return
	}
	id := requestID(c.node.index, c.nextID.Add(1))
	retry := &request{id: id, class: r.class, refusals: r.refusals + 1, text: []byte(strings.Replace(string(r.text), r.id, id, 1))}
	conn.send(retry, 0, fmt.Sprintf("again for %s", r.id))
}

// newRetryRand draws whether refused requests come again.
func newRetryRand(seed uint64, node int) *rand.Rand {
	return rand.New(rand.NewPCG(seed, uint64(2000+node)))
}
