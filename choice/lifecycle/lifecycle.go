// Package lifecycle decides what a front's process does from its start to its exit: what each signal, failure and
// time-out brings about. It does no I/O.
//
// How it is called: New once, then At with the clock and one method an event; Settle gives the orders. Next tells when
// Settle is wanted even if nothing happens.
package lifecycle

import (
	"fmt"

	"rainhaven/choice/renewal"
)

// State is where the process stands.
type State int

// The states, in their order: none comes back.
const (
	Starting State = iota
	Serving
	Draining // new requests are busy-replied, sessions go on
	Cutting  // sessions are ended
	Stopped
)

func (s State) String() string {
	return [...]string{"starting", "serving", "draining", "cutting", "stopped"}[s]
}

// Code is a process's exit code.
type Code int

// The exit codes. 2 is wrong use of the command line.
const (
	Clean    Code = 0
	Failed   Code = 1 // settings, files, listeners: what the message says
	Address  Code = 3 // an address is taken or can't be had
	Folder   Code = 4 // the state folder is missing, can't be written, or belongs to another process
	CutShort Code = 5 // sessions were cut because a second signal asked for it
	Stuck    Code = 6 // the front did not end within its time
)

// Orders is what the process has done. All are given from within Settle.
type Orders interface {
	Reload()                    // read the settings and have them take hold; Reloaded follows
	Drain()                     // busy-reply what is new; Drained follows when the last session is over
	Cut()                       // end all sessions; Ended follows
	Exit(code Code, why string) // nothing follows
}

const (
	// cutTime is how many seconds the end of all sessions may take: TEARDOWNs are waited for 2 s, queued answers and
	// connections are closed within another.
	cutTime = 5.0
	// A drain takes so many seconds at least, even without sessions: against viewers that a load balancer, which asks for
	// health each half second, still sends meanwhile, and whose connections would break when the sockets close.
	linger = 1.0
	// A second signal within so many seconds of the first is the same wish: a terminal and a supervisor both pass one on.
	same = 0.2
)

// Life is one process's.
type Life struct {
	out     Orders
	now     float64
	drain   float64 // seconds that sessions may play on
	state   State
	wanted  State
	code    Code
	why     string
	until   float64 // end of the drain, or of the cut
	least   float64 // the drain's end if the last session is over by then
	drained bool    // it is
	asked   float64 // the last signal to end
	reload  bool    // one is wanted
	loading bool    // one is under way
	loaded  float64 // when the last one took hold
	refused string  // why the last one did not; empty where it did

}

// New begins a process; sessions may play on for drain seconds once it is told to stop.
func New(now, drain float64, out Orders) *Life { return &Life{out: out, now: now, drain: drain} }

// At sets the clock; it never runs back.
func (l *Life) At(now float64) { l.now = max(l.now, now) }

// State is where the process stands, and why it is to end, if it is.
func (l *Life) State() (State, string) { return l.state, l.why }

// Refused is why the last reload was not taken; empty where it was.
func (l *Life) Refused() string { return l.refused }

// Up tells that the front serves.
func (l *Life) Up() { l.want(Serving) }

func (l *Life) want(s State) { l.wanted = max(l.wanted, s) }

// Hangup is the signal to read the settings again. Several that come before the first is carried out are one.
func (l *Life) Hangup() {
	if l.wanted <= Serving {
		l.reload = true
	}
}

// Reloaded tells how a reload went: why it was refused, empty where it took hold.
func (l *Life) Reloaded(refused string) {
	if l.loading = false; refused == "" {
		l.loaded = l.now
	}
	l.refused = refused
}

// Terminate is a signal to end: the first drains, one more cuts, and a third is not waited for.
func (l *Life) Terminate(signal string) {
	if l.asked > 0 && l.now-l.asked < same {
		return
	}
	l.asked = l.now
	switch {
	case l.wanted < Serving:
		l.end(Stopped, Clean, signal+" before the front served")
	case l.wanted == Serving:
		l.end(Draining, Clean, signal)
	case l.wanted == Draining:
		l.end(Cutting, CutShort, "a second signal: "+signal)
	case l.wanted == Cutting:
		l.end(Stopped, CutShort, "a third signal: "+signal)
	}
}

// Failed tells that something failed for good. Before the front serves that is its end; afterwards what plays still may
// play on for the time of a drain, as it needs nothing of a listener.
func (l *Life) Failed(code Code, what string) {
	if l.wanted < Serving {
		l.end(Stopped, code, what)
	} else if l.wanted == Serving {
		l.end(Draining, code, what)
	}
}

// TakenOver tells that another process has the listeners now: this one drains.
func (l *Life) TakenOver() {
	if l.wanted == Serving {
		l.end(Draining, Clean, "another process has taken over")
	}
}

// Drained tells that the last session is over.
func (l *Life) Drained() {
	l.drained = l.wanted == Draining
}

// Resumed tells that a session began after the last one was over, where requests are still taken during a drain.
func (l *Life) Resumed() { l.drained = false }

// Ended tells that the front has ended.
func (l *Life) Ended() {
	if l.wanted == Cutting {
		l.end(Stopped, l.code, l.why)
	}
}

// end goes on towards the exit. The first failure's code stays.
func (l *Life) end(to State, code Code, why string) {
	if l.want(to); l.code == Clean {
		l.code = code
	}
	if l.why == "" || code != Clean {
		l.why = why
	}
}

// Next is the instant at which Settle is wanted, 0 where none is.
func (l *Life) Next() float64 {
	switch {
	case l.state == Draining && l.drained:
		return min(l.until, l.least)
	case l.state == Draining || l.state == Cutting:
		return l.until
	case l.reload && !l.loading && l.state == Serving:
		return l.now + renewal.Wait(l.now, l.loaded)
	}
	return 0
}

// Settle gives the orders that lead from where the process is to where it is wanted.
func (l *Life) Settle() {
	if l.state == Draining && l.drained && l.now >= l.least {
		l.end(Cutting, l.code, l.why)
	}
	if l.until > 0 && l.now >= l.until {
		switch l.state {
		case Draining:
			l.end(Cutting, l.code, l.why)
		case Cutting:
			l.end(Stopped, Stuck, fmt.Sprintf("the front did not end within %v s", cutTime))
			l.code = Stuck
		}
	}
	for l.state < l.wanted {
		l.state++
		switch {
		case l.state == Draining && l.wanted == Draining:
			l.until, l.least = l.now+l.drain, l.now+linger
			l.out.Drain()
		case l.state == Cutting && l.wanted == Cutting:
			l.until = l.now + cutTime
			l.out.Cut()
		case l.state == Stopped:
			l.out.Exit(l.code, l.why)
		}
	}
	if l.reload && !l.loading && l.state == Serving && renewal.Wait(l.now, l.loaded) == 0 {
		l.reload, l.loading = false, true
		l.out.Reload()
	}
}
