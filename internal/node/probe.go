package node

import (
	"slices"

	"rainhaven/choice"
	"rainhaven/choice/limits"
	"rainhaven/choice/liveness"
	"rainhaven/choice/share"
	"rainhaven/internal/wire"
)

// probe sends a server a probe, unless one is in flight.
func (n *Node) probe(sv *server) {
	if sv.probeID != "" {
		return
	}
	sv.probeCount++
	n.probeCount++
	sv.probeID = probeSessionID(n.config.Choice.Seed, n.probeCount)
	sv.probeTimer = n.after(limits.Defaults.ProbeTimeout, func() { n.endProbe(sv, choice.TimedOut, noReport) })
	for _, sc := range sv.conns {
		if sc.up && !sc.isClosing() && (sv.probeConn == nil || len(sc.setups) < len(sv.probeConn.setups)) {
			sv.probeConn = sc
		}
	}
	if sv.probeConn != nil {
		n.sendProbe(sv.probeConn)
		return
	}
	for _, sc := range sv.conns {
		if !sc.up {
			sv.probeConn = sc
		}
	}
	if sv.probeConn == nil {
		sv.probeConn = n.dialServer(sv)
	}
	if sv.probeConn == nil { // no descriptor is left: the probe times out
		return
	}
	sv.probeConn.probePending = true
}

// sendProbe sends the pending probe on a connection that has opened.
func (n *Node) sendProbe(sc *serverConn) {
	if sc.server.probeConn == sc && sc.server.probeID != "" {
		sc.send(probeMessage(sc.server.probeID))
		sc.lastUsed = n.now
	}
}

// failProbe ends the probe that is assigned to a connection, if any, with an outcome.
func (n *Node) failProbe(sc *serverConn, outcome choice.Outcome) {
	if sc.server.probeConn == sc && sc.server.probeID != "" {
		n.endProbe(sc.server, outcome, noReport)
	}
}

// endProbe ends a probe and passes its outcome to the module, also if the module did not ask for it.
func (n *Node) endProbe(sv *server, outcome choice.Outcome, report choice.LoadReport) {
	if sv.probeID == "" {
		return
	}
	sc := sv.probeConn
	n.cancelTimeout(sv.probeTimer)
	sv.probeID, sv.probeConn, sv.probeTimer = "", nil, nil
	n.notifyModule(wire.Event{Kind: wire.ProbeEnded, Server: sv.number, Outcome: outcome, Report: report})
	// A connection on which a probe timed out is retired, unless a SETUP on it may still be answered.
	if outcome == choice.TimedOut && sc != nil && len(sc.setups) == 0 {
		n.closeServerConn(sc)
	}
	n.removeServerIfGone(sv)
}

// checkServers retires idle connections, or probes on those that must be kept, and checks the liveness of servers with established sessions or pending messages.
func (n *Node) checkServers() {
	for _, sv := range slices.Clone(n.servers) {
		up, opening := 0, false
		for _, sc := range slices.Clone(sv.conns) {
			if sc.up && len(sc.setups) == 0 && sv.probeConn != sc && share.Stale(n.now, sc.lastUsed, n.config.IdleTimeout) {
				if share.MustKeep(sv.state == choice.Gone, len(sv.sessions), sv.openConns()) {
					n.probe(sv) // the server closes idle connections as well
				} else {
					n.closeServerConn(sc)
					continue
				}
			}
			if sc.up {
				up++
			} else {
				opening = true
			}
		}
		sv.pendingMessages = slices.DeleteFunc(sv.pendingMessages, func(pending pendingMessage) bool { return n.now >= pending.expiresAt })
		n.sendPendingMessages(sv)
		if len(sv.sessions) == 0 && len(sv.pendingMessages) == 0 {
			sv.liveness = liveness.Monitor{}
			n.removeServerIfGone(sv)
			continue
		}
		action := sv.liveness.Check(n.now, up, opening)
		if sv.state == choice.Gone && up == 0 {
			action = liveness.Action{Lost: true} // its address may belong to another server by now
		}
		switch {
		case action.Lost:
			n.serverLost(sv)
		case action.Connect:
			n.dialServer(sv)
		case action.Probe:
			n.probe(sv)
		}
	}
}

// serverLost ends the sessions of a server that is dead or considered dead.
func (n *Node) serverLost(sv *server) {
	n.log.Info("sessions lost with their server", str("server", sv.id), num("sessions", len(sv.sessions)))
	for _, s := range slices.Clone(sv.sessions) {
		n.loseSession(s)
	}
	for _, sc := range slices.Clone(sv.conns) {
		if len(sc.setups) == 0 {
			n.closeServerConn(sc)
			sc.dropRetained()
		}
	}
	sv.liveness, sv.pendingMessages = liveness.Monitor{}, nil
	n.removeServerIfGone(sv)
}
