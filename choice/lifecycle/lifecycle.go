// Package lifecycle decides what a front's process does from its start to its exit: what each signal, failure and
// time-out brings about. It does no I/O.
//
// How it is called: New once, then At with the clock and one method an event; Settle gives the orders. Next tells when
// Settle is wanted even if nothing happens.
package lifecycle

import (
	"fmt"

	"rainhaven/choice/reload"
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

// ExitCode is a process's exit code.
type ExitCode int

// The exit codes. 2 is wrong use of the command line.
const (
	ExitClean              ExitCode = 0
	ExitFailed             ExitCode = 1 // settings, files, listeners: what the message says
	ExitAddressUnavailable ExitCode = 3 // an address is taken or can't be had
	ExitStateFolder        ExitCode = 4 // the state folder is missing, can't be written, or belongs to another process
	ExitForced             ExitCode = 5 // sessions were cut because a second signal asked for it
	ExitTimeout            ExitCode = 6 // the front did not end within its time
)

// Actions is what the process has done. All are given from within Settle.
type Actions interface {
	Reload()                        // read the settings and have them take hold; Reloaded follows
	Drain()                         // busy-reply what is new; Drained follows when the last session is over
	EndSessions()                   // end all sessions; Ended follows
	Exit(code ExitCode, why string) // nothing follows
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

// Machine is one process's.
type Machine struct {
	out     Actions
	now     float64
	drain   float64 // seconds that sessions may play on
	state   State
	wanted  State
	code    ExitCode
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
func New(now, drain float64, out Actions) *Machine { return &Machine{out: out, now: now, drain: drain} }

// SetTime sets the clock; it never runs back.
func (l *Machine) SetTime(now float64) { l.now = max(l.now, now) }

// State is where the process stands, and why it is to end, if it is.
func (l *Machine) State() (State, string) { return l.state, l.why }

// ReloadError is why the last reload was not taken; empty where it was.
func (l *Machine) ReloadError() string { return l.refused }

// Started tells that the front serves.
func (l *Machine) Started() { l.want(Serving) }

func (l *Machine) want(s State) { l.wanted = max(l.wanted, s) }

// RequestReload is the signal to read the settings again. Several that come before the first is carried out are one.
func (l *Machine) RequestReload() {
	if l.wanted <= Serving {
		l.reload = true
	}
}

// Reloaded tells how a reload went: why it was refused, empty where it took hold.
func (l *Machine) Reloaded(refused string) {
	if l.loading = false; refused == "" {
		l.loaded = l.now
	}
	l.refused = refused
}

// Terminate is a signal to end: the first drains, one more cuts, and a third is not waited for.
func (l *Machine) Terminate(signal string) {
	if l.asked > 0 && l.now-l.asked < same {
		return
	}
	l.asked = l.now
	switch {
	case l.wanted < Serving:
		l.end(Stopped, ExitClean, signal+" before the front served")
	case l.wanted == Serving:
		l.end(Draining, ExitClean, signal)
	case l.wanted == Draining:
		l.end(Cutting, ExitForced, "a second signal: "+signal)
	case l.wanted == Cutting:
		l.end(Stopped, ExitForced, "a third signal: "+signal)
	}
}

// Failed tells that something failed for good. Before the front serves that is its end; afterwards what plays still may
// play on for the time of a drain, as it needs nothing of a listener.
func (l *Machine) Failed(code ExitCode, what string) {
	if l.wanted < Serving {
		l.end(Stopped, code, what)
	} else if l.wanted == Serving {
		l.end(Draining, code, what)
	}
}

// TakenOver tells that another process has the listeners now: this one drains.
func (l *Machine) TakenOver() {
	if l.wanted == Serving {
		l.end(Draining, ExitClean, "another process has taken over")
	}
}

// Drained tells that the last session is over.
func (l *Machine) Drained() {
	l.drained = l.wanted == Draining
}

// Resumed tells that a session began after the last one was over, where requests are still taken during a drain.
func (l *Machine) Resumed() { l.drained = false }

// SessionsEnded tells that the front has ended.
func (l *Machine) SessionsEnded() {
	if l.wanted == Cutting {
		l.end(Stopped, l.code, l.why)
	}
}

// end goes on towards the exit. The first failure's code stays.
func (l *Machine) end(to State, code ExitCode, why string) {
	if l.want(to); l.code == ExitClean {
		l.code = code
	}
	if l.why == "" || code != ExitClean {
		l.why = why
	}
}

// NextWakeup is the instant at which Settle is wanted, 0 where none is.
func (l *Machine) NextWakeup() float64 {
	switch {
	case l.state == Draining && l.drained:
		return min(l.until, l.least)
	case l.state == Draining || l.state == Cutting:
		return l.until
	case l.reload && !l.loading && l.state == Serving:
		return l.now + reload.Delay(l.now, l.loaded)
	}
	return 0
}

// Reconcile gives the orders that lead from where the process is to where it is wanted.
func (l *Machine) Reconcile() {
	if l.state == Draining && l.drained && l.now >= l.least {
		l.end(Cutting, l.code, l.why)
	}
	if l.until > 0 && l.now >= l.until {
		switch l.state {
		case Draining:
			l.end(Cutting, l.code, l.why)
		case Cutting:
			l.end(Stopped, ExitTimeout, fmt.Sprintf("the front did not end within %v s", cutTime))
			l.code = ExitTimeout
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
			l.out.EndSessions()
		case l.state == Stopped:
			l.out.Exit(l.code, l.why)
		}
	}
	if l.reload && !l.loading && l.state == Serving && reload.Delay(l.now, l.loaded) == 0 {
		l.reload, l.loading = false, true
		l.out.Reload()
	}
}
