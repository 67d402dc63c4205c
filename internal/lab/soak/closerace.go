package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// racingConns connections are opened together; each sends a request at about the time the node closes them all.
	racingConns = 24
	// nodeSweepInterval is how often a node closes idle connections.
	nodeSweepInterval = 100 * time.Millisecond
	// The reference connection, whose close reveals when the node sweeps, is opened referenceLead before the others.
	referenceLead = 250 * time.Millisecond
	// Requests are sent from raceLead before the expected sweep, spread over raceWindow: the node's sweeps drift by up to a
	// millisecond each.
	raceLead, raceWindow = time.Millisecond, 6 * time.Millisecond
)

// raceIdleCloses sends requests on connections at the moment the node closes them as idle. The node sweeps at a fixed
// interval, and the close of a connection opened a little earlier reveals its phase.
func (c *clients) raceIdleCloses(ctx context.Context, draws *rand.Rand) {
	for ctx.Err() == nil {
		if !c.acceptsRequests() {
			if !sleep(ctx, nodeSweepInterval) {
				return
			}
			continue
		}
		reference := c.dialAndPing()
		if reference == nil || !sleep(ctx, referenceLead) {
			return
		}
		var others []*clientConn
		for range racingConns {
			if conn := c.dialAndPing(); conn != nil {
				others = append(others, conn)
			}
		}
		openedAt := c.log.now()
		closedAt, ok := c.awaitClose(ctx, reference, nodeIdleTimeout+time.Second)
		if ok {
			c.sendAroundClose(ctx, draws, others, openedAt, closedAt)
		}
		for _, conn := range others {
			conn.closeIfUnused()
		}
	}
}

// dialAndPing opens a connection and sends a health check on it; nil if either fails.
func (c *clients) dialAndPing() *clientConn {
	conn := c.dial()
	if conn == nil {
		return nil
	}
	if !conn.ping() {
		return nil
	}
	return conn
}

// awaitClose waits until the node closes a connection and returns when it did; false after limit or once ctx is done.
func (c *clients) awaitClose(ctx context.Context, conn *clientConn, limit time.Duration) (time.Duration, bool) {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	select {
	case at := <-conn.closedAt:
		return at, true
	case <-timeout.C:
	case <-ctx.Done():
	}
	return 0, false
}

// sendAroundClose sends a request on each connection around the node's first sweep after their idle timeout. sweepAt is the
// time of an earlier sweep.
func (c *clients) sendAroundClose(ctx context.Context, draws *rand.Rand, conns []*clientConn, openedAt, sweepAt time.Duration) {
	for sweepAt < openedAt+nodeIdleTimeout {
		sweepAt += nodeSweepInterval
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, conn := range conns {
		at := sweepAt - raceLead + time.Duration(draws.Int64N(int64(raceWindow)))
		request := c.newRequest(draws, 0, draws.IntN(titlesPerClass))
		wg.Go(func() {
			if sleep(ctx, at-c.log.now()) {
				conn.send(request, 0, "races an idle close")
			}
		})
	}
}

// closeIfUnused closes a connection that has neither requests nor sessions.
func (c *clientConn) closeIfUnused() {
	if c.inUse() == 0 {
		c.closeByClient()
	}
}
