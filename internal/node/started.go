package node

import (
	"slices"

	"rainhaven/choice"
	"rainhaven/choice/liveness"
	"rainhaven/choice/slowstart"
)

// The list gives a server's start by the wall clock of another machine, and wall clocks are stepped. Only the functions of this
// file compare that clock with the node's own; everything else measures durations on the node's monotonic clock.

// setListedStart stores a server's start as listed and reports whether it has changed.
func (sv *server) setListedStart(ms float64) bool {
	changed := ms > 0 && ms != sv.listedStartMs
	sv.listedStartMs = ms
	return changed
}

// secondsSinceStart estimates by the node's wall clock how many seconds ago a server started, bounded by
// slowstart.Age.
func (n *Node) secondsSinceStart(ms float64) float64 {
	return slowstart.Age(n.now - ms/1000)
}

// effectiveStart is the time on the node's clock at which a server counts as started.
func (n *Node) effectiveStart(ms float64) float64 {
	return slowstart.StartedAt(n.now, n.now-ms/1000, n.ready)
}

// endSessionsBeforeRestart ends a server's sessions that were established before its process started: the new process does
// not know them. The server's connections may already belong to the new process, so no broken connection reports the loss.
// A session of the same instant was answered earlier in this turn of the loop than the start was reported, so it counts too.
//
// The start may be reported late, by a clock that is off: a session is kept if what this node saw of the server's connections shows
// that the new process set it up.
func (n *Node) endSessionsBeforeRestart(sv *server, startedAt float64) {
	for _, s := range slices.Clone(sv.sessions) {
		if s.establishedAt > startedAt {
			continue
		}
		if s.wasSetUpAfterBreak() {
			n.requestProof(s.setUpOn)
			continue
		}
		n.endSession(s, choice.Reset, causeLost, noReport)
	}
}

// wasSetUpAfterBreak reports whether a session was set up over a connection that is open and was opened after the server last ended
// or refused one.
func (s *session) wasSetUpAfterBreak() bool {
	sc := s.setUpOn
	return sc != nil && sc.up && !sc.closed && sc.server.brokeAt > 0 && sc.openedAt > sc.server.brokeAt
}

// requestProof has a server show within liveness.ProofTimeout that its present process is the one at the other end of a connection.
func (n *Node) requestProof(sc *serverConn) {
	if sc.awaitsProof {
		return
	}
	sc.awaitsProof = true
	n.probeCount++
	sc.send(probeMessage(probeSessionID(n.config.Choice.Seed, n.probeCount)))
	n.after(liveness.ProofTimeout, func() { n.proofTimedOut(sc) })
}

// proofTimedOut ends the sessions of a connection that stays silent, and retires it.
func (n *Node) proofTimedOut(sc *serverConn) {
	if sc.closed || !sc.awaitsProof {
		return
	}
	n.endUnprovenSessions(sc)
	sc.awaitsProof = false
	if len(sc.setups) == 0 {
		n.closeServerConn(sc)
	}
	n.removeServerIfGone(sc.server)
}

// endUnprovenSessions ends the sessions that were kept for a connection that now ends without proof: its process was the earlier one.
func (n *Node) endUnprovenSessions(sc *serverConn) {
	if !sc.awaitsProof {
		return
	}
	for _, s := range slices.Clone(sc.server.sessions) {
		if s.setUpOn == sc {
			n.endSession(s, choice.Reset, causeLost, noReport)
		}
	}
}
