package box

import (
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"rainhaven/internal/relay"
	"rainhaven/internal/rtsp"
)

// Box is a simulated streaming server. Its faults may be set from any goroutine at any time.
type Box struct {
	ID      int
	Address string
	config  *Config
	rack    *Rack

	demand atomic.Uint64 // demand on its link, kB/s, as float64 bits

	mu             sync.Mutex
	stateChanged   *sync.Cond // signaled when a hang or a hold ends, the box shuts down or a connection closes
	listener       net.Listener
	streams        map[string]*stream // removed as they end
	conns          map[*conn]struct{} // removed as they close
	lastID         uint64
	link           float64   // capacity, kB/s
	linkReduction  float64   // the link's capacity is divided by it
	foreignTraffic float64   // other traffic on the link, kB/s
	startedAt      float64   // time of the last cold start; 0 if it has always been warm
	coldSetups     []float64 // times of recent SETUPs during warm-up
	counts         Counts
	rand           *rand.Rand
	reportedLoad   [2]float64 // load of link and uplink in the load report
	reportedAt     float64
	notedAt        float64
	reportDelay    float64 // additional seconds between updates of the load report
	setupSlowdown  float64 // factor on the setup time

	hanging, holdingAnswers, down, overloaded, refusing, rejectingRungs, invalidSDP bool
	setupErrors, setupDisconnects, teardownErrors                                   int // remaining requests that are affected

	quit       chan struct{}
	goroutines sync.WaitGroup
}

// listen opens the box's socket, ends hangs and slowdowns, and accepts connections.
func (b *Box) listen(address string, cold bool) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("box %d: %w", b.ID, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.config.TLS != nil {
		l = tls.NewListener(l, b.config.TLS)
	}
	b.Address, b.listener = l.Addr().String(), l
	b.down, b.overloaded, b.hanging, b.holdingAnswers, b.linkReduction, b.setupSlowdown = false, false, false, false, 1, 1
	b.coldSetups, b.startedAt, b.reportedLoad = nil, 0, [2]float64{}
	if cold {
		b.startedAt = b.config.Now()
		if b.config.Witness != nil {
			b.config.Witness.BoxStarted(b.ID, b.startedAt)
		}
	}
	b.goroutines.Add(1)
	go func() {
		defer b.goroutines.Done()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.accept(c)
		}
	}()
	return nil
}

// sendQueueBytes limits the bytes queued for a front: two seconds of a fast session.
const sendQueueBytes = 1 << 20

// accept starts the goroutines of a new connection.
func (b *Box) accept(n net.Conn) {
	c := &conn{box: b, socket: n, rtsp: rtsp.NewConn(n, rtsp.Limits{}), sendQueue: relay.NewQueue(sendQueueBytes),
		requests: make(chan *rtsp.Message, 32)}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		n.Close()
		return
	}
	b.lastID++
	c.id = b.lastID
	b.conns[c] = struct{}{}
	b.goroutines.Add(3)
	go func() {
		defer b.goroutines.Done()
		c.sendQueue.Run(n, 20*time.Second)
		n.Close()
		b.connClosed(c)
	}()
	go c.read()
	go b.serve(c)
}

// Hang stops all replies and media but keeps connections open, until Resume.
func (b *Box) Hang() { b.update(func() { b.hanging = true }) }

// Resume ends Hang and HoldAnswers.
func (b *Box) Resume() {
	b.update(func() { b.hanging, b.holdingAnswers = false, false })
	b.stateChanged.Broadcast()
}

// HoldAnswers leaves requests unanswered while media continues, until Resume.
func (b *Box) HoldAnswers() { b.update(func() { b.holdingAnswers = true }) }

// RefuseSetups sets whether SETUPs are refused as full.
func (b *Box) RefuseSetups(on bool) { b.update(func() { b.refusing = on }) }

// FailSetups answers the next n SETUPs with an error.
func (b *Box) FailSetups(n int) { b.update(func() { b.setupErrors = n }) }

// FailTeardowns answers the next n TEARDOWNs with an error; their sessions continue.
func (b *Box) FailTeardowns(n int) { b.update(func() { b.teardownErrors = n }) }

// DisconnectSetups closes the connection instead of answering, for the next n SETUPs.
func (b *Box) DisconnectSetups(n int) { b.update(func() { b.setupDisconnects = n }) }

// RejectRungChanges sets whether rung changes are rejected.
func (b *Box) RejectRungChanges(on bool) { b.update(func() { b.rejectingRungs = on }) }

// InvalidDescriptions sets whether DESCRIBE returns invalid SDP.
func (b *Box) InvalidDescriptions(on bool) { b.update(func() { b.invalidSDP = on }) }

// ReduceLink divides the link's capacity by factor; 1 restores it.
func (b *Box) ReduceLink(factor float64) { b.update(func() { b.linkReduction = max(factor, 1) }) }

// SetForeignTraffic sets how much of the link other traffic uses, in kB/s.
func (b *Box) SetForeignTraffic(rate float64) { b.update(func() { b.foreignTraffic = rate }) }

// DelayReports adds seconds to the interval between updates of the load report.
func (b *Box) DelayReports(seconds float64) { b.update(func() { b.reportDelay = seconds }) }

// SlowSetups multiplies the setup time by factor; 1 restores it.
func (b *Box) SlowSetups(factor float64) { b.update(func() { b.setupSlowdown = max(factor, 1) }) }

// update runs f with the box locked.
func (b *Box) update(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
}

// ResetConnections closes all connections with a TCP reset; the box continues to run.
func (b *Box) ResetConnections() {
	b.update(func() {
		for c := range b.conns {
			reset(c.socket)
		}
	})
}

// reset closes a connection, with a TCP reset unless it uses TLS.
func reset(n net.Conn) {
	if t, ok := n.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	n.Close()
}

// Kill stops the box at once: it closes its socket, resets its connections and drops its sessions.
func (b *Box) Kill() { b.update(func() { b.shutDown(true) }) }

// shutDown closes the listener and all connections, and ends all sessions. Called with the box locked.
func (b *Box) shutDown(sendReset bool) {
	b.down = true
	b.listener.Close()
	for c := range b.conns {
		if c.sendQueue.Close(); sendReset {
			reset(c.socket)
		} else {
			c.socket.Close()
		}
	}
	for id := range b.streams {
		b.endSession(id)
	}
	b.stateChanged.Broadcast()
}

// Restart starts a killed box again on its old address, cold.
func (b *Box) Restart() error { return b.listen(b.Address, true) }

// Close kills the box and waits for its goroutines.
func (b *Box) Close() {
	b.Kill()
	close(b.quit)
	b.goroutines.Wait()
}

// Sessions returns the number of sessions that are established or being set up.
func (b *Box) Sessions() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.streams)
}

// StartedAt returns the time of the last cold start, or 0 if the box started warm.
func (b *Box) StartedAt() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.startedAt
}
