// Package pool decides which connection to a box is reused, which is closed and whether another may be opened.
// A connection carries one session at a time: media of one session never waits behind another's, a SETUP can be
// withdrawn by closing the sending side, and a broken connection affects one session only. It does no I/O.
package pool

import (
	"slices"

	"rainhaven/choice"
)

// Endpoint is a box at an address. A box that is listed at another address than before is another process, which the connections to
// the earlier one don't reach.
type Endpoint struct {
	Box     choice.ServerID
	Address string // host:port
}

// ConnID identifies a connection; the front assigns the numbers.
type ConnID uint64

const (
	// Idle connections kept per box. Set-ups arrive about evenly; four cover simultaneous ones at a hundred sessions per
	// box. Each one more costs a box up to 110 descriptors, one per front.
	maxIdle = 4
	// Seconds. Shorter than the 15 s after which boxes close idle connections, so that a SETUP is not sent on a connection
	// that the box is closing.
	idleTimeout = 10.0
)

type idleConn struct {
	conn  ConnID
	since float64
}

type boxConns struct {
	idle []idleConn // longest idle first
	open int
}

// Pool tracks the connections of one front to its boxes.
type Pool struct {
	maxPerBox int
	endpoints map[Endpoint]*boxConns // an entry is deleted when its last connection is closed
}

// New returns a pool that allows perBox connections to each box, at least one.
func New(perBox int) *Pool { return &Pool{max(perBox, 1), map[Endpoint]*boxConns{}} }

// SetMaxPerBox changes the limit of connections per box. Open connections beyond a lower limit stay open.
func (p *Pool) SetMaxPerBox(n int) { p.maxPerBox = max(n, 1) }

// Get takes the most recently used idle connection to a box out of the pool, if there is one.
func (p *Pool) Get(at Endpoint) (ConnID, bool) {
	b := p.endpoints[at]
	if b == nil || len(b.idle) == 0 {
		return 0, false
	}
	c := b.idle[len(b.idle)-1].conn
	b.idle = b.idle[:len(b.idle)-1]
	return c, true
}

// Reserve reports whether another connection to a box may be opened, and if so counts it as open until Closed is called.
func (p *Pool) Reserve(at Endpoint) bool {
	b := p.endpoints[at]
	if b == nil {
		b = &boxConns{}
		p.endpoints[at] = b
	}
	if b.open >= p.maxPerBox {
		return false
	}
	b.open++
	return true
}

// Reusable reports whether a connection may carry another session after the box's last answer on it, to a SETUP or a
// TEARDOWN. It guards against a box that answers with an error but keeps sending the old session's media, which the next
// viewer would receive: only the statuses accepted here prove that the box holds no session on the connection, also after
// a SETUP that failed halfway. Drawback: other errors cost a new connection.
func Reusable(status int, tearDown bool) bool {
	if tearDown {
		return status/100 == 2 || status == 454
	}
	return status == 453 || status == 503
}

// Put returns a connection to the pool. If it reports false, the caller must close the connection.
func (p *Pool) Put(at Endpoint, c ConnID, now float64) bool {
	b := p.endpoints[at]
	if b == nil || len(b.idle) >= maxIdle || slices.ContainsFunc(b.idle, func(i idleConn) bool { return i.conn == c }) {
		return false
	}
	b.idle = append(b.idle, idleConn{c, now})
	return true
}

// Closed records that a connection was closed by either side.
func (p *Pool) Closed(at Endpoint, c ConnID) {
	b := p.endpoints[at]
	if b == nil {
		return
	}
	b.idle = slices.DeleteFunc(b.idle, func(i idleConn) bool { return i.conn == c })
	if b.open--; b.open <= 0 {
		delete(p.endpoints, at)
	}
}

// Expired removes and returns the connections that have been idle for too long. The caller closes each of them and calls
// Closed.
func (p *Pool) Expired(now float64) (list []ConnID) {
	for _, b := range p.endpoints {
		for len(b.idle) > 0 && now-b.idle[0].since >= idleTimeout {
			list = append(list, b.idle[0].conn)
			b.idle = b.idle[1:]
		}
	}
	slices.Sort(list)
	return list
}

// Count returns how many connections are open and how many of those are idle.
func (p *Pool) Count() (open, idle int) {
	for _, b := range p.endpoints {
		open += b.open
		idle += len(b.idle)
	}
	return open, idle
}
