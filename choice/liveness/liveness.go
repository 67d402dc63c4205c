// Package liveness decides how a front node watches servers with established sessions: when it opens a connection to receive
// their releases, when it probes them, and when their sessions count as ended. An established session is not bound to a
// connection, so a lost connection alone means nothing. It does no I/O.
package liveness

const (
	// probeAfterSeconds is the silence after which a server with sessions is probed. A server that hangs resets its sessions
	// itself after 3 s, and a process that dies is noticed by its closed connections, so this matters only for machines that
	// vanish. With hundreds of front nodes that have a session or two at each server, probing every second meant nearly one
	// probe per request, at a cost of 0.08 sessions each. Drawback: viewers of a vanished machine wait longer.
	probeAfterSeconds = 4.5
	// probeIntervalSeconds separates the probes of a server that stays silent.
	probeIntervalSeconds = 1.0
	// lostAfterSeconds is the silence, with at least two probes in it, after which a server's sessions count as ended:
	// sessions that can't be released must end within 8 s. Drawback: after a stall of that length all sessions of the server
	// have to be set up again.
	lostAfterSeconds = 7.0
	// ProofTimeout is the time in seconds in which a connection has to show that the process at its other end runs, once the list
	// has put another process in its place. A change is told up to 6 s after the end of a process, whose sessions are to be
	// released within 8 s.
	ProofTimeout = 1.5
	// dialIntervalSeconds separates attempts to connect.
	dialIntervalSeconds = 0.25
)

// Monitor tracks one server while it has established sessions. The zero value is ready: its silence counts from the first
// Check.
type Monitor struct {
	lastHeardAt, lastDialAt, lastProbeAt float64
}

// Heard records a message from the server. An accepted connection is not enough: the kernel accepts it for a process that
// hangs.
func (m *Monitor) Heard(now float64) { m.lastHeardAt = now }

// Action is what Check asks the caller to do: open a connection, send a probe, or end the server's sessions. At most one is
// set.
type Action struct{ Connect, Probe, Lost bool }

// Check returns what is to be done now. up is the number of open connections, opening whether one is being opened.
func (m *Monitor) Check(now float64, up int, opening bool) (a Action) {
	if m.lastHeardAt == 0 {
		m.lastHeardAt = now
	}
	switch {
	case now-m.lastHeardAt >= lostAfterSeconds:
		a.Lost = true
	case up == 0 && !opening && now-m.lastDialAt >= dialIntervalSeconds:
		a.Connect, m.lastDialAt = true, now
	case up > 0 && now-m.lastHeardAt >= probeAfterSeconds && now-m.lastProbeAt >= probeIntervalSeconds:
		a.Probe, m.lastProbeAt = true, now
	}
	return a
}
