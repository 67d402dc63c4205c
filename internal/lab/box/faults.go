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

// Box is one stand-in. Its faults may be set from any goroutine at any time.
type Box struct {
	ID      int
	Address string
	site    *Config
	rack    *Rack

	demand atomic.Uint64 // float64 bits: what is asked of its link, kB a second

	mu             sync.Mutex
	stateChanged   *sync.Cond // a hang, the box or a connection is over
	listener       net.Listener
	streams        map[string]*stream // emptied as sessions end
	conns          map[*conn]struct{} // emptied as connections end
	lastID         uint64
	link           float64 // kB a second
	linkReduction  float64 // it gives so many times less
	foreignTraffic float64 // kB a second that others take of it
	startedAt      float64 // of a cold start; 0 is long ago
	coldSetups     []float64
	counts         Counts
	rand           *rand.Rand
	reportedLoad   [2]float64 // load of link and uplink as last reported
	reportedAt     float64
	notedAt        float64
	reportDelay    float64 // reports are so much older
	setupSlowdown  float64 // SETUPs take so many times longer

	hanging, holdingAnswers, down, overloaded, refusing, rejectingRungs, invalidSDP bool
	setupErrors, setupDisconnects, teardownErrors                                   int // of the next SETUPs, SETUPs, TEARDOWNs

	quit       chan struct{}
	goroutines sync.WaitGroup
}

// listen opens the box's socket and takes connections.
func (b *Box) listen(address string, cold bool) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("box %d: %w", b.ID, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.site.TLS != nil {
		l = tls.NewListener(l, b.site.TLS)
	}
	b.Address, b.listener = l.Addr().String(), l
	b.down, b.overloaded, b.hanging, b.holdingAnswers, b.linkReduction, b.setupSlowdown = false, false, false, false, 1, 1
	b.coldSetups, b.startedAt, b.reportedLoad = nil, 0, [2]float64{}
	if cold {
		b.startedAt = b.site.Now()
		if b.site.Witness != nil {
			b.site.Witness.BoxStarted(b.ID, b.startedAt)
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

// sendQueueBytes is what may wait for a front, bytes: two seconds of a fast session.
const sendQueueBytes = 1 << 20

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

// Hang makes the box stand still: nothing is answered, media stops, connections stay. Unhang ends it.
func (b *Box) Hang() { b.update(func() { b.hanging = true }) }

// Resume ends a hang.
func (b *Box) Resume() {
	b.update(func() { b.hanging, b.holdingAnswers = false, false })
	b.stateChanged.Broadcast()
}

// HoldAnswers leaves requests without answers while media goes on, until Unhang.
func (b *Box) HoldAnswers() { b.update(func() { b.holdingAnswers = true }) }

// RefuseSetups has SETUPs answered full, or no longer.
func (b *Box) RefuseSetups(on bool) { b.update(func() { b.refusing = on }) }

// FailSetups has the next n SETUPs answered with an error.
func (b *Box) FailSetups(n int) { b.update(func() { b.setupErrors = n }) }

// FailTeardowns has the next n TEARDOWNs answered with an error; their sessions play on.
func (b *Box) FailTeardowns(n int) { b.update(func() { b.teardownErrors = n }) }

// DisconnectSetups has the connections of the next n SETUPs closed in place of an answer.
func (b *Box) DisconnectSetups(n int) { b.update(func() { b.setupDisconnects = n }) }

// RejectRungChanges has changes of rung refused.
func (b *Box) RejectRungChanges(on bool) { b.update(func() { b.rejectingRungs = on }) }

// InvalidDescriptions has descriptions be none.
func (b *Box) InvalidDescriptions(on bool) { b.update(func() { b.invalidSDP = on }) }

// ReduceLink makes the link give so many times less; 1 ends it.
func (b *Box) ReduceLink(times float64) { b.update(func() { b.linkReduction = max(times, 1) }) }

// SetForeignTraffic has others take so many kB a second of the link.
func (b *Box) SetForeignTraffic(rate float64) { b.update(func() { b.foreignTraffic = rate }) }

// DelayReports makes load reports so many seconds older.
func (b *Box) DelayReports(seconds float64) { b.update(func() { b.reportDelay = seconds }) }

// SlowSetups makes SETUPs take so many times longer.
func (b *Box) SlowSetups(times float64) { b.update(func() { b.setupSlowdown = max(times, 1) }) }

func (b *Box) update(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
}

// ResetConnections breaks all connections with a reset; the box goes on.
func (b *Box) ResetConnections() {
	b.update(func() {
		for c := range b.conns {
			reset(c.socket)
		}
	})
}

func reset(n net.Conn) {
	if t, ok := n.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	n.Close()
}

// Kill ends the box at once: its socket is closed, connections break, sessions are gone.
func (b *Box) Kill() { b.update(func() { b.shutDown(true) }) }

// shutDown ends the box. Called locked.
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

// Restart starts a killed box on its address again, cold.
func (b *Box) Restart() error { return b.listen(b.Address, true) }

// Close ends the box and waits for all that belongs to it.
func (b *Box) Close() {
	b.Kill()
	close(b.quit)
	b.goroutines.Wait()
}

// Sessions is how many sessions the box holds, set up or being set up.
func (b *Box) Sessions() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.streams)
}

// StartedAt is the instant of the last cold start, 0 where it is long ago.
func (b *Box) StartedAt() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.startedAt
}
