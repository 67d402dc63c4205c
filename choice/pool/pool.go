// Package pool decides which connection to a box is used again, which is closed and whether one more may be opened.
// A connection carries one session at a time: media of one session never waits behind another's, a SETUP can be
// withdrawn by closing the sending side, and a break concerns one session only. It does no I/O.
package pool

import (
	"slices"

	"rainhaven/choice"
)

// ConnID names a connection; its front numbers them.
type ConnID uint64

const (
	// Idle connections kept a box: set-ups arrive about evenly, and four cover those that come together among a
	// hundred sessions a box. More would cost boxes descriptors, with 110 fronts each.
	mostIdle = 4
	// An idle connection is closed after so many seconds, under the 15 s after which boxes close theirs, so that a
	// SETUP does not meet a connection that is just being closed.
	idleTime = 10.0
)

type idle struct {
	conn  ConnID
	since float64
}

type box struct {
	idle []idle // oldest first
	open int
}

// Pool keeps account of one front's connections to boxes.
type Pool struct {
	perBox int
	boxes  map[choice.ServerID]*box // emptied as their connections are closed
}

// New makes a keeper that allows so many connections to a box.
func New(perBox int) *Pool { return &Pool{max(perBox, 1), map[choice.ServerID]*box{}} }

// SetMaxPerBox changes how many connections to a box are allowed; those open past it go on.
func (k *Pool) SetMaxPerBox(n int) { k.perBox = max(n, 1) }

// Get gives an idle connection to a box, the one used last, if there is one.
func (k *Pool) Get(id choice.ServerID) (ConnID, bool) {
	b := k.boxes[id]
	if b == nil || len(b.idle) == 0 {
		return 0, false
	}
	c := b.idle[len(b.idle)-1].conn
	b.idle = b.idle[:len(b.idle)-1]
	return c, true
}

// Reserve tells whether one more connection to a box may be opened, and counts it; Closed takes it back.
func (k *Pool) Reserve(id choice.ServerID) bool {
	b := k.boxes[id]
	if b == nil {
		b = &box{}
		k.boxes[id] = b
	}
	if b.open >= k.perBox {
		return false
	}
	b.open++
	return true
}

// Reusable tells whether a connection may carry another session after a box's last answer on it, of a SETUP or a TEARDOWN.
// Against a box that answers an error and goes on sending the old session's media, which the next viewer would get:
// only these answers prove that it holds nothing there. It covers SETUPs that failed halfway. Harm: a new connection.
func Reusable(status int, tearDown bool) bool {
	if tearDown {
		return status/100 == 2 || status == 454
	}
	return status == 453 || status == 503
}

// Put gives a connection back. It tells whether it is kept; else it is to be closed.
func (k *Pool) Put(id choice.ServerID, c ConnID, now float64) bool {
	b := k.boxes[id]
	if b == nil || len(b.idle) >= mostIdle || slices.ContainsFunc(b.idle, func(i idle) bool { return i.conn == c }) {
		return false
	}
	b.idle = append(b.idle, idle{c, now})
	return true
}

// Closed tells that a connection is closed, by whichever side.
func (k *Pool) Closed(id choice.ServerID, c ConnID) {
	b := k.boxes[id]
	if b == nil {
		return
	}
	b.idle = slices.DeleteFunc(b.idle, func(i idle) bool { return i.conn == c })
	if b.open--; b.open <= 0 {
		delete(k.boxes, id)
	}
}

// Expired gives the idle connections that are to be closed by now. Closed follows for each.
func (k *Pool) Expired(now float64) (list []ConnID) {
	for _, b := range k.boxes {
		for len(b.idle) > 0 && now-b.idle[0].since >= idleTime {
			list = append(list, b.idle[0].conn)
			b.idle = b.idle[1:]
		}
	}
	slices.Sort(list)
	return list
}

// Count is how many connections are open and how many of them idle.
func (k *Pool) Count() (open, unused int) {
	for _, b := range k.boxes {
		open += b.open
		unused += len(b.idle)
	}
	return open, unused
}
