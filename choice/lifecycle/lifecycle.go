// Package lifecycle is the state machine of a front's process from start to exit: it decides how the process reacts to
// signals, failures and timeouts. It does no I/O.
//
// Call New once. For each event, set the clock with SetTime and call the method for that event, then Reconcile, which calls
// the Actions that are due. NextWakeup returns when Reconcile must run even if no event arrives.
package lifecycle

import (
	"fmt"

	"rainhaven/choice/reload"
)

// State is the state of the process.
type State int

// The states, in order: the process never returns to an earlier one.
const (
	Starting State = iota
	Serving
	Draining // new requests are busy-replied, sessions continue
	Cutting  // sessions are being ended
	Stopped
)

func (s State) String() string {
	return [...]string{"starting", "serving", "draining", "cutting", "stopped"}[s]
}

// ExitCode is the exit code of the process.
type ExitCode int

// The exit codes. 2 is not among them: Go's runtime ends with it after a panic or a fatal error.
const (
	ExitClean              ExitCode = 0
	ExitFailed             ExitCode = 1 // settings, files or listeners failed; the message has the details
	ExitAddressUnavailable ExitCode = 3 // an address is in use or can't be bound
	ExitStateFolder        ExitCode = 4 // the state folder is missing, not writable or locked by another process
	ExitForced             ExitCode = 5 // a second signal ended the sessions before the drain was complete
	ExitTimeout            ExitCode = 6 // the front did not end in time
	ExitUpgradeRefused     ExitCode = 7 // the running process lets no other one take over now
	// ExitUsage reports wrong use of the command line, which another start can't mend. It is EX_USAGE of sysexits.h.
	ExitUsage ExitCode = 64
)

// Actions carries out the decisions of a Machine. All methods are called from within Reconcile.
type Actions interface {
	Reload()                           // read and apply the settings, then call Reloaded
	Drain()                            // busy-reply new requests; call Drained when the last session has ended
	EndSessions()                      // end all sessions, then call SessionsEnded
	Exit(code ExitCode, reason string) // last call
}

const (
	// Ending all sessions waits up to 2 s for answers to TEARDOWN and up to 1 s more for queued answers and for connections
	// to close.
	endSessionsTimeoutSeconds = 5.0
	// A drain lasts at least this long, even without sessions. A load balancer that checks health every 0.5 s still sends
	// viewers meanwhile, and their connections would break if the sockets closed at once.
	minDrainSeconds = 1.0
	// A terminal and a supervisor may both deliver the same signal: a second one within this time is ignored.
	duplicateSignalSeconds = 0.2
)

// Machine is the state machine of one process.
type Machine struct {
	actions       Actions
	now           float64
	drainSeconds  float64 // how long sessions may continue
	state         State
	wanted        State
	code          ExitCode
	reason        string
	deadline      float64 // of the drain, or of ending the sessions
	minDrainEnd   float64 // earliest end of the drain
	drained       bool    // no session is left
	signaledAt    float64 // last Terminate that was not ignored
	reloadPending bool
	reloading     bool
	reloadedAt    float64 // last successful reload
	reloadError   string  // of the last reload; empty on success
}

// New returns the machine of a process that is starting. Sessions may continue for drain seconds after it is told to stop.
func New(now, drain float64, actions Actions) *Machine {
	return &Machine{actions: actions, now: now, drainSeconds: drain}
}

// SetTime sets the clock. Earlier times are ignored.
func (m *Machine) SetTime(now float64) { m.now = max(m.now, now) }

// State returns the current state and, once the process is to stop, the reason.
func (m *Machine) State() (State, string) { return m.state, m.reason }

// ReloadError returns why the last reload was rejected, or "" if it succeeded.
func (m *Machine) ReloadError() string { return m.reloadError }

// Started records that the front serves requests.
func (m *Machine) Started() { m.advanceTo(Serving) }

func (m *Machine) advanceTo(s State) { m.wanted = max(m.wanted, s) }

// RequestReload asks for the settings to be read again. Requests that arrive before the reload starts are merged into one.
func (m *Machine) RequestReload() {
	if m.wanted <= Serving {
		m.reloadPending = true
	}
}

// Reloaded records the result of a reload: the reason for its rejection, or "" if it succeeded.
func (m *Machine) Reloaded(rejection string) {
	if m.reloading = false; rejection == "" {
		m.reloadedAt = m.now
	}
	m.reloadError = rejection
}

// Terminate handles a signal to stop: the first one starts a drain, the second ends all sessions, and the third exits
// without waiting for that.
func (m *Machine) Terminate(signal string) {
	if m.signaledAt > 0 && m.now-m.signaledAt < duplicateSignalSeconds {
		return
	}
	m.signaledAt = m.now
	switch {
	case m.wanted < Serving:
		m.stop(Stopped, ExitClean, signal+" before the front served")
	case m.wanted == Serving:
		m.stop(Draining, ExitClean, signal)
	case m.wanted == Draining:
		m.stop(Cutting, ExitForced, "a second signal: "+signal)
	case m.wanted == Cutting:
		m.stop(Stopped, ExitForced, "a third signal: "+signal)
	}
}

// Failed handles a permanent failure. Before the front serves, the process exits. Afterwards it drains, because sessions
// that are established need no listener.
func (m *Machine) Failed(code ExitCode, detail string) {
	if m.wanted < Serving {
		m.stop(Stopped, code, detail)
	} else if m.wanted == Serving {
		m.stop(Draining, code, detail)
	}
}

// TakenOver records that another process has the listeners now, so this one drains.
func (m *Machine) TakenOver() {
	if m.wanted == Serving {
		m.stop(Draining, ExitClean, "another process has taken over")
	}
}

// Drained records that the last session has ended.
func (m *Machine) Drained() {
	m.drained = m.wanted == Draining
}

// Resumed records that a session started after the last one had ended. This happens where requests are still accepted
// during a drain.
func (m *Machine) Resumed() { m.drained = false }

// SessionsEnded records that all sessions have been ended.
func (m *Machine) SessionsEnded() {
	if m.wanted == Cutting {
		m.stop(Stopped, m.code, m.reason)
	}
}

// stop moves towards the exit. The exit code of the first failure is kept.
func (m *Machine) stop(to State, code ExitCode, reason string) {
	if m.advanceTo(to); m.code == ExitClean {
		m.code = code
	}
	if m.reason == "" || code != ExitClean {
		m.reason = reason
	}
}

// NextWakeup returns the time at which Reconcile must run, or 0 if it only has to run after events.
func (m *Machine) NextWakeup() float64 {
	switch {
	case m.state == Draining && m.drained:
		return min(m.deadline, m.minDrainEnd)
	case m.state == Draining || m.state == Cutting:
		return m.deadline
	case m.reloadPending && !m.reloading && m.state == Serving:
		return m.now + reload.Delay(m.now, m.reloadedAt)
	}
	return 0
}

// Reconcile calls the actions that lead from the current state to the wanted one.
func (m *Machine) Reconcile() {
	if m.state == Draining && m.drained && m.now >= m.minDrainEnd {
		m.stop(Cutting, m.code, m.reason)
	}
	if m.deadline > 0 && m.now >= m.deadline {
		switch m.state {
		case Draining:
			m.stop(Cutting, m.code, m.reason)
		case Cutting:
			m.stop(Stopped, ExitTimeout, fmt.Sprintf("the front did not end within %v s", endSessionsTimeoutSeconds))
			m.code = ExitTimeout
		}
	}
	for m.state < m.wanted {
		m.state++
		switch {
		case m.state == Draining && m.wanted == Draining:
			m.deadline, m.minDrainEnd = m.now+m.drainSeconds, m.now+minDrainSeconds
			m.actions.Drain()
		case m.state == Cutting && m.wanted == Cutting:
			m.deadline = m.now + endSessionsTimeoutSeconds
			m.actions.EndSessions()
		case m.state == Stopped:
			m.actions.Exit(m.code, m.reason)
		}
	}
	if m.reloadPending && !m.reloading && m.state == Serving && reload.Delay(m.now, m.reloadedAt) == 0 {
		m.reloadPending, m.reloading = false, true
		m.actions.Reload()
	}
}
