package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

const (
	// Shares of requests of a dense soak whose client closes its connection at once, half-closes it after the request, or
	// cancels at about the time of the answer.
	immediateCloseShare, halfCloseShare, earlyCancelShare = 0.03, 0.03, 0.06
	// maxEarlyCancelDelay bounds the delay of such a cancel after its request; answers usually arrive within it.
	maxEarlyCancelDelay = 35 * time.Millisecond
	// retryShare of the refused requests are sent again at once, each at most maxRetries times.
	retryShare, maxRetries = 0.4, 2
)

// sendUnusual sends a request whose client closes, half-closes or cancels early; false if the draw selects none of these.
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
		r.resent = true // only the client closes this connection, so the request is not sent again
		if !conn.send(r, 0, "closed by its client") {
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
		if conn.send(r, 0, "cancelled near its answer") {
			time.AfterFunc(after, func() { conn.cancel(r) })
		}
	default:
		return false
	}
	return true
}

// halfClose closes the sending side of a connection; answers are still read.
func (c *clientConn) halfClose() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		c.writeMu.Lock()
		t.CloseWrite()
		c.writeMu.Unlock()
	}
}

// cancelEarly has all requests of these clients cancelled at about the time of their answers, until then.
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

// retry sends a refused request again at once, under a new id.
func (c *clients) retry(conn *clientConn, r *request) {
	c.mu.Lock()
	draw := c.retryRand.Float64()
	c.mu.Unlock()
	if !c.dense || r.refusals >= maxRetries || draw >= retryShare {
		return
	}
	id := requestID(c.node.index, c.nextID.Add(1))
	retry := &request{id: id, class: r.class, refusals: r.refusals + 1, text: []byte(strings.Replace(string(r.text), r.id, id, 1))}
	conn.send(retry, 0, fmt.Sprintf("retry of %s", r.id))
}

// newRetryRand returns the random source that decides whether refused requests are retried.
func newRetryRand(seed uint64, node int) *rand.Rand {
	return rand.New(rand.NewPCG(seed, uint64(2000+node)))
}
