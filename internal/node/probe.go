package node

import (
	"slices"

	"rainhaven/choice"
	"rainhaven/choice/limits"
	"rainhaven/choice/liveness"
	"rainhaven/choice/share"
	"rainhaven/internal/wire"
)

// probe tests a server: once at a time, whoever wants it.
func (n *Node) probe(sv *server) {
	if sv.tested != "" {
		return
	}
	sv.tests++
	n.tests++
	sv.tested = testID(n.start.Config.Seed, n.tests)
	sv.testing = n.after(limits.Defaults.ProbeTimeout, func() { n.tellTest(sv, choice.TimedOut, noReport) })
	for _, l := range sv.conns {
		if l.up && !l.isClosing() && (sv.testOn == nil || len(l.open) < len(sv.testOn.open)) {
			sv.testOn = l
		}
	}
	if sv.testOn != nil {
		n.sendTest(sv.testOn)
		return
	}
	for _, l := range sv.conns {
		if !l.up {
			sv.testOn = l
		}
	}
	if sv.testOn == nil {
		sv.testOn = n.dialServer(sv)
	}
	if sv.testOn == nil { // no descriptor is left: its time-out ends the test
		return
	}
	sv.testOn.test = true
}

func (n *Node) sendTest(l *link) {
	if l.sv.testOn == l && l.sv.tested != "" {
		l.send(probeMessage(l.sv.tested))
		l.used = n.now
	}
}

func (n *Node) failTest(l *link, o choice.Outcome) {
	if l.sv.testOn == l && l.sv.tested != "" {
		n.tellTest(l.sv, o, noReport)
	}
}

// tellTest ends a test; the module hears of it whoever wanted it.
func (n *Node) tellTest(sv *server, o choice.Outcome, r choice.LoadReport) {
	if sv.tested == "" {
		return
	}
	on := sv.testOn
	n.cancelTimeout(sv.testing)
	sv.tested, sv.testOn, sv.testing = "", nil, nil
	n.feed(wire.Event{Kind: wire.ProbeEnded, Server: sv.number, Outcome: o, Report: r})
	// Without an answer in its time the connection is of no more use; a SETUP on it may still be answered.
	if o == choice.TimedOut && on != nil && len(on.open) == 0 {
		n.closeServerConn(on)
	}
	n.settleServer(sv)
}

// look keeps watch over servers where sessions stand, and closes connections that have long been idle.
func (n *Node) look() {
	for _, sv := range slices.Clone(n.servers) {
		up, opening := 0, false
		for _, l := range slices.Clone(sv.conns) {
			if l.up && len(l.open) == 0 && sv.testOn != l && share.Stale(n.now, l.used, n.start.IdleTimeout) {
				n.closeServerConn(l)
				continue
			}
			if l.up {
				up++
			} else {
				opening = true
			}
		}
		sv.owed = slices.DeleteFunc(sv.owed, func(o owed) bool { return n.now >= o.until })
		if len(sv.held) == 0 && len(sv.owed) == 0 {
			sv.liveness = liveness.Monitor{}
			n.settleServer(sv)
			continue
		}
		do := sv.liveness.Check(n.now, up, opening)
		if sv.state == choice.Gone && up == 0 {
			do = liveness.Action{Lost: true} // its address may be another's by now
		}
		switch {
		case do.Lost:
			n.lost(sv)
		case do.Connect:
			n.dialServer(sv)
		case do.Probe:
			n.probe(sv)
		}
	}
}

// lost ends what stood at a server that is dead, or counts as dead.
func (n *Node) lost(sv *server) {
	n.log.Info("sessions lost with their server", str("server", sv.id), num("sessions", len(sv.held)))
	for _, s := range slices.Clone(sv.held) {
		n.say(sv, teardownMessage(s.url, s.id, causeLost))
		n.ended(s, choice.Reset, causeLost, noReport)
	}
	for _, l := range slices.Clone(sv.conns) {
		if len(l.open) == 0 {
			n.closeServerConn(l)
		}
	}
	sv.liveness, sv.owed = liveness.Monitor{}, nil
	n.settleServer(sv)
}
