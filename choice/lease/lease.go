// Package lease decides which process may replace a running front: the running process holds a lease on its sockets and state, and
// passes it on once, to one process at a time. It does no I/O.
package lease

import "errors"

// Refusals of Ask.
var (
	// ErrPending refuses a process that asks while another one's upgrade is under way.
	ErrPending = errors.New("another upgrade is under way")
	// ErrReplaced refuses a process that asks one that was replaced.
	ErrReplaced = errors.New("the process was replaced meanwhile")
)

// state is the state of a lease.
type state int

const (
	held    state = iota // by this process
	pending              // another process prepares to take it
	granted              // another process may serve, and has not confirmed that it does
	passed               // another process serves
)

// Lease is the lease of a running process. The zero value is held. It is not safe for concurrent use.
type Lease struct{ state state }

// Ask lets a process prepare to take the lease over; ErrPending or ErrReplaced if it may not.
func (l *Lease) Ask() error {
	switch l.state {
	case held:
		l.state = pending
		return nil
	case passed:
		return ErrReplaced
	}
	return ErrPending
}

// Grant lets the process that asked serve. From now on this process may serve again only once the other one has certainly ended.
func (l *Lease) Grant() { l.state = granted }

// Pass records that the process that asked serves.
func (l *Lease) Pass() { l.state = passed }

// Recover records that the process that asked has ended or given up.
func (l *Lease) Recover() { l.state = held }
