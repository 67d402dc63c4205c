// Package liveness decides what a front node does about servers that hold standing sessions and may have died: when it
// opens a connection to hear their releases, when it tests them, and when their sessions count as ended. No connection
// owns a session that stands, so a break alone means nothing. It does no I/O.
package liveness

const (
	// Quiet is how many seconds of silence from a server that holds sessions bring a test. A server that hangs resets its
	// sessions after 3 s itself, and of a process that dies its connections tell, so only machines that vanish wait for this.
	// Among hundreds of front nodes with a session or two at each server a test a second was nearly one a request, 0.08 of a
	// session each. Harm: viewers of a machine that vanished wait for longer.
	quiet = 4.5
	// Retest is how many seconds lie between tests of a server that stays silent.
	retest = 1.0
	// Lost is how many seconds of silence, two tests and more within them, end a server's sessions: what can't be released is
	// owed its end within 8 s. Harm: a standstill of such a length costs all its sessions a new set-up.
	lost = 7.0
	// Pause is how many seconds lie between connections tried.
	pause = 0.25
)

// Monitor is what is known of one server while sessions stand there. The zero value has heard nothing.
type Monitor struct {
	heard, tried, tested float64
}

// Heard tells that a message came from the server; that a connection was taken proves no living process.
func (w *Monitor) Heard(now float64) { w.heard = now }

// Action is what a look at a server asks for.
type Action struct{ Connect, Probe, Lost bool }

// Check tells what to do: up is how many connections are open, opening whether one is being opened.
func (w *Monitor) Check(now float64, up int, opening bool) (d Action) {
	if w.heard == 0 {
		w.heard = now
	}
	switch {
	case now-w.heard >= lost:
		d.Lost = true
	case up == 0 && !opening && now-w.tried >= pause:
		d.Connect, w.tried = true, now
	case up > 0 && now-w.heard >= quiet && now-w.tested >= retest:
		d.Probe, w.tested = true, now
	}
	return d
}
