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

	asked atomic.Uint64 // float64 bits: what is asked of its link, kB a second

	mu       sync.Mutex
	unhung   *sync.Cond // a hang, the box or a connection is over
	listener net.Listener
	streams  map[string]*stream // emptied as sessions end
	conns    map[*conn]struct{} // emptied as connections end
	serial   uint64
	link     float64 // kB a second
	slow     float64 // it gives so many times less
	foreign  float64 // kB a second that others take of it
	born     float64 // of a cold start; 0 is long ago
	cold     []float64
	counts   Counts
	rand     *rand.Rand
	said     [2]float64 // load of link and uplink as last reported
	reported float64
	noted    float64
	late     float64 // reports are so much older
	aged     float64 // SETUPs take so many times longer

	hung, held, down, fallen, refuses, deafToRungs, lies bool
	errors, breaks, keeps                                int // of the next SETUPs, SETUPs, TEARDOWNs

	quit chan struct{}
	work sync.WaitGroup
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
	b.down, b.fallen, b.hung, b.held, b.slow, b.aged = false, false, false, false, 1, 1
	b.cold, b.born, b.said = nil, 0, [2]float64{}
	if cold {
		b.born = b.site.Now()
		if b.site.Witness != nil {
			b.site.Witness.BoxStarted(b.ID, b.born)
		}
	}
	b.work.Add(1)
	go func() {
		defer b.work.Done()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.take(c)
		}
	}()
	return nil
}

// queue is what may wait for a front, bytes: two seconds of a fast session.
const queue = 1 << 20

func (b *Box) take(n net.Conn) {
	c := &conn{b: b, net: n, rtsp: rtsp.NewConn(n, rtsp.Limits{}), out: relay.NewQueue(queue),
		in: make(chan *rtsp.Message, 32)}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		n.Close()
		return
	}
	b.serial++
	c.num = b.serial
	b.conns[c] = struct{}{}
	b.work.Add(3)
	go func() {
		defer b.work.Done()
		c.out.Run(n, 20*time.Second)
		n.Close()
		b.connOver(c)
	}()
	go c.read()
	go b.serve(c)
}

// Hang makes the box stand still: nothing is answered, media stops, connections stay. Unhang ends it.
func (b *Box) Hang() { b.set(func() { b.hung = true }) }

// Resume ends a hang.
func (b *Box) Resume() {
	b.set(func() { b.hung, b.held = false, false })
	b.unhung.Broadcast()
}

// HoldAnswers leaves requests without answers while media goes on, until Unhang.
func (b *Box) HoldAnswers() { b.set(func() { b.held = true }) }

// RefuseSetups has SETUPs answered full, or no longer.
func (b *Box) RefuseSetups(on bool) { b.set(func() { b.refuses = on }) }

// FailSetups has the next n SETUPs answered with an error.
func (b *Box) FailSetups(n int) { b.set(func() { b.errors = n }) }

// FailTeardowns has the next n TEARDOWNs answered with an error; their sessions play on.
func (b *Box) FailTeardowns(n int) { b.set(func() { b.keeps = n }) }

// DisconnectSetups has the connections of the next n SETUPs closed in place of an answer.
func (b *Box) DisconnectSetups(n int) { b.set(func() { b.breaks = n }) }

// RejectRungChanges has changes of rung refused.
func (b *Box) RejectRungChanges(on bool) { b.set(func() { b.deafToRungs = on }) }

// InvalidDescriptions has descriptions be none.
func (b *Box) InvalidDescriptions(on bool) { b.set(func() { b.lies = on }) }

// ReduceLink makes the link give so many times less; 1 ends it.
func (b *Box) ReduceLink(times float64) { b.set(func() { b.slow = max(times, 1) }) }

// SetForeignTraffic has others take so many kB a second of the link.
func (b *Box) SetForeignTraffic(rate float64) { b.set(func() { b.foreign = rate }) }

// DelayReports makes load reports so many seconds older.
func (b *Box) DelayReports(seconds float64) { b.set(func() { b.late = seconds }) }

// SlowSetups makes SETUPs take so many times longer.
func (b *Box) SlowSetups(times float64) { b.set(func() { b.aged = max(times, 1) }) }

func (b *Box) set(do func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	do()
}

// ResetConnections breaks all connections with a reset; the box goes on.
func (b *Box) ResetConnections() {
	b.set(func() {
		for c := range b.conns {
			reset(c.net)
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
func (b *Box) Kill() { b.set(func() { b.breakAll(true) }) }

// breakAll ends the box. Called locked.
func (b *Box) breakAll(hard bool) {
	b.down = true
	b.listener.Close()
	for c := range b.conns {
		if c.out.Close(); hard {
			reset(c.net)
		} else {
			c.net.Close()
		}
	}
	for id := range b.streams {
		b.drop(id)
	}
	b.unhung.Broadcast()
}

// Restart starts a killed box on its address again, cold.
func (b *Box) Restart() error { return b.listen(b.Address, true) }

// Close ends the box and waits for all that belongs to it.
func (b *Box) Close() {
	b.Kill()
	close(b.quit)
	b.work.Wait()
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
	return b.born
}
