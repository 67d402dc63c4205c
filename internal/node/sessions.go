package node

import (
	"fmt"
	"slices"
	"strconv"

	"go.uber.org/zap"

	"rainhaven/choice"
	"rainhaven/choice/share"
	"rainhaven/internal/invariant"
	"rainhaven/internal/rtsp"
	"rainhaven/internal/wire"
)

// ask takes a new session to the module. Its deadline counts from when it was read, however long it waited for the loop.
func (n *Node) ask(v *client, a clientSetup, at float64) {
	s := &session{clientSetup: a, client: v, rung: n.start.Config.Groups[a.group].Floor, from: -1}
	s.request.SetupTimeout = at + max(a.patience-share.AnswerMargin, 0)
	n.guard.RequestRead(n.now, s.id, n.start.Config.Groups[a.group].Paid, at+a.patience)
	n.sessions[s.id] = s
	v.sessions = append(v.sessions, s)
	v.Pending++
	n.open++
	n.counts["asked"]++
	n.complain(s.id)
	s.history.note(at, stepRead, v.peer())
	n.log.Debug("asked", str("sess", s.id), str("class", s.class), num("home", s.request.StartCell), num("copies", s.request.CellCount), zap.Float64("patience", s.patience))
	n.feed(wire.Event{Kind: wire.Request, Request: s.request})
}

// handed takes a session that stands already. It wants no answer.
func (n *Node) handed(v *client, a clientSetup) {
	if n.sessions[a.id] != nil {
		return
	}
	sv := n.byID[a.currentServer]
	if sv == nil || n.early[a.id] || len(n.sessions)-n.open >= share.MaxHandedOver(n.start.MemoryMB) {
		delete(n.early, a.id)
		v.send(teardownMessage(a.url, a.id, causeLost))
		return
	}
	a.body = nil
	s := &session{clientSetup: a, client: v, state: established, since: n.now, server: sv, rung: n.start.Config.Groups[a.group].Floor}
	n.sessions[s.id] = s
	v.sessions = append(v.sessions, s)
	v.Established++
	v.hasServed = true
	s.server.held = append(s.server.held, s)
	n.counts["handed"]++
	n.feed(wire.Event{Kind: wire.Handover, Request: s.request, Server: s.server.number})
}

// carry takes a session's SETUP to a connection. The list may have taken its server from new work since it was chosen.
func (n *Node) carry(s *session) {
	if s.server.state != choice.Ready {
		n.setupOver(s, choice.Unsent, noReport)
		return
	}
	l := n.pickServerConn(s.server)
	if l == nil {
		n.setupOver(s, choice.Unsent, noReport)
		return
	}
	s.on, s.from = l, -1
	l.open = append(l.open, s)
	if l.up {
		n.sendSetup(s, l)
	}
}

// unlink takes a SETUP off its connection.
func (n *Node) unlink(s *session) {
	if s.on != nil {
		s.on.open = slices.DeleteFunc(s.on.open, func(o *session) bool { return o == s })
		s.on.used = n.now
		s.on = nil
	}
}

// setupOver ends a SETUP that is out.
func (n *Node) setupOver(s *session, o choice.Outcome, r choice.LoadReport) {
	sv := s.server
	if s.release != nil { // it has stood, and its end was heard before its answer
		o = choice.EndedUnanswered
	}
	n.guard.AttemptEnded(s.id, unrun(o))
	s.history.note(n.now, stepOutcome, outcomeName(o))
	s.history.unusual = s.history.unusual || o == choice.Reset || o == choice.EndedUnanswered
	n.log.Debug("setup over", str("sess", s.id), str("server", sv.id), num("outcome", int(o)))
	n.counts[fmt.Sprintf("outcome %d", o)]++
	n.unlink(s)
	n.cancelTimeout(s.waiting)
	s.state, s.server, s.waiting = pending, nil, nil
	n.feed(wire.Event{Kind: wire.SetupEnded, Request: choice.Request{ID: choice.SessID(s.id)}, Server: sv.number, Outcome: o, Report: r})
	n.settleServer(sv)
}

// unsent takes a SETUP back of which nothing has left yet: from the queue, or, where the writer has it and its peer does
// not read, with the whole connection, whose reader tells the loop. False where some of it has left.
func (n *Node) unsent(s *session) bool {
	l := s.on
	if l == nil || !l.up || s.from < 0 {
		return true
	}
	if l.unqueue(s.from, s.to) {
		for _, o := range l.open {
			if o.from > s.from {
				o.from, o.to = o.from-(s.to-s.from), o.to-(s.to-s.from)
			}
		}
		return true
	}
	return s.from >= l.bytesWritten() && s.from >= l.close()
}

// withdraw tells a server that a SETUP is given up. Its connection is of no more use where it was silent.
func (n *Node) withdraw(s *session, silent bool) {
	l := s.on
	l.send(teardownMessage(s.url, s.id, 0))
	n.awaitLate(s)
	if silent && len(l.open) == 1 {
		n.unlink(s)
		n.closeServerConn(l)
	}
}

// awaitLate remembers a SETUP that is over without an answer: what its server sets up after all is released there.
func (n *Node) awaitLate(s *session) {
	if len(n.past) >= mostPast {
		return
	}
	id, sv := s.id, s.server
	n.past[id] = sv
	n.after(keepPast, func() {
		if n.past[id] == sv {
			delete(n.past, id)
		}
	})
}

// timedOut ends a SETUP that was waited for long enough.
func (n *Node) timedOut(s *session) {
	s.waiting = nil
	if n.unsent(s) {
		o := choice.NoConnection
		if s.on == nil { // the own machine had none to give
			o = choice.Unsent
		}
		n.setupOver(s, o, noReport)
		return
	}
	n.withdraw(s, true)
	n.setupOver(s, choice.TimedOut, noReport)
}

// giveUp takes it that the client has given up its SETUP: nothing is owed.
func (n *Node) giveUp(s *session) {
	was, sv := s.state, s.server
	if was == attempting && !n.unsent(s) {
		n.withdraw(s, false)
	}
	n.unlink(s)
	n.sendLater(s, sv)
	n.counts["given up"]++
	s.history.unusual = s.history.unusual || was == attempting
	n.guard.Cancelled(s.id)
	n.log.Debug("given up", str("sess", s.id), zap.Bool("out", was == attempting))
	n.forget(s)
	n.feed(wire.Event{Kind: wire.ClientLeft, Request: choice.Request{ID: choice.SessID(s.id)}})
	if was == attempting {
		n.feed(wire.Event{Kind: wire.SetupEnded, Request: choice.Request{ID: choice.SessID(s.id)}, Server: sv.number, Outcome: choice.Cancelled, Final: true, Report: noReport})
		n.settleServer(sv)
	}
}

// forget takes a session from all tables.
func (n *Node) forget(s *session) {
	n.logHistory(s, "over")
	n.cancelTimeout(s.waiting)
	s.waiting = nil
	n.unlink(s)
	n.guard.Dropped(s.id)
	if v := s.client; v != nil {
		v.sessions = slices.DeleteFunc(v.sessions, func(o *session) bool { return o == s })
		if s.state == established {
			v.Established--
		} else {
			v.Pending--
		}
		v.LastUsed = n.now
	}
	if s.state != established {
		n.open--
	} else if s.server != nil {
		s.server.held = slices.DeleteFunc(s.server.held, func(o *session) bool { return o == s })
	}
	delete(n.sessions, s.id)
}

// stands takes a server's good answer and gives it to the client.
func (n *Node) stands(s *session, m *rtsp.Message) {
	n.unlink(s)
	n.cancelTimeout(s.waiting)
	s.waiting, s.state, s.since = nil, established, n.now
	n.open--
	s.server.held = append(s.server.held, s)
	n.counts["served"]++
	n.feed(wire.Event{Kind: wire.Established, Request: choice.Request{ID: choice.SessID(s.id)}, Server: s.server.number})
	v := s.client
	v.Pending--
	v.Established++
	v.hasServed = true
	if n.guard.Answer(n.now, s.id, invariant.Served) && !n.spoils(SabotageAnswer, s.id) {
		if n.spoils(SabotageTwice, s.id) {
			v.send(servedMessage(s.id, m.Body))
		}
		_, s.answered = v.sendNow(servedMessage(s.id, m.Body))
		s.history.note(n.clock(), stepAnswered, writtenDetail(v, s.answered))
	}
	s.body = nil
	n.log.Debug("served", str("sess", s.id), str("server", s.server.id), str("to", v.peer()), zap.Int64("ends", s.answered))
	if r := s.release; r != nil {
		n.ended(s, r.outcome(), r.cause, r.report)
	}
}

// ended ends a session that stood, and releases its client.
func (n *Node) ended(s *session, o choice.Outcome, cause int, r choice.LoadReport) {
	sv := s.server
	v := s.client
	if n.now-s.since < quickRelease {
		s.history.unusual = true
	}
	n.counts[fmt.Sprintf("ended %d", o)]++
	n.forget(s)
	n.feed(wire.Event{Kind: wire.SetupEnded, Request: choice.Request{ID: choice.SessID(s.id)}, Server: sv.number, Outcome: o, Final: true, Report: r})
	if cause != causeMoved && !n.spoils(SabotageRelease, s.id) {
		n.release(v, teardownMessage(s.url, s.id, cause))
	}
	n.settleServer(sv)
}

// release sends a client its session's end: on its own connection, else on any that served a session.
func (n *Node) release(v *client, b []byte) {
	if v != nil && !v.closed && v.sendRetained(n.now, b) {
		return
	}
	for i := len(n.clients) - 1; i >= 0; i-- {
		if o := n.clients[i]; o.hasServed && o.sendRetained(n.now, b) {
			return
		}
	}
	if len(n.owed) < mostPast {
		n.owed = append(n.owed, owed{b, n.now + keepOwed})
	}
}

// pay sends the releases that found no connection before.
func (n *Node) pay() {
	list := n.owed
	n.owed = nil
	for _, o := range list {
		if n.now < o.until {
			had := len(n.owed)
			n.release(nil, o.b)
			if len(n.owed) > had {
				n.owed[had].until = o.until
			}
		}
	}
}

// clientLeft ends a session that stood because its client has, or is gone.
func (n *Node) clientLeft(s *session) {
	n.toServer(s.server, teardownMessage(s.url, s.id, causeMoved))
	n.feed(wire.Event{Kind: wire.ClientLeft, Request: choice.Request{ID: choice.SessID(s.id)}})
	n.ended(s, choice.Cancelled, causeMoved, noReport)
}

// release is a server's release of a session that stood.
type release struct {
	cause  int
	report choice.LoadReport
}

func (r *release) outcome() choice.Outcome {
	if r.cause == causeFinished {
		return choice.Served
	}
	return choice.Cancelled
}

// releasedUnanswered takes a release for a SETUP that has had no answer. The session is over, so nothing is sent elsewhere. What its server
// wrote before on the same connection has been read, so no answer is on its way and the request is refused at once. A
// release on another connection may have overtaken the answer, which then has a moment to come.
func (n *Node) releasedUnanswered(l *link, s *session, m *rtsp.Message) {
	if s.release != nil {
		return
	}
	s.release = &release{parseCause(m), parseLoadReport(m)}
	s.history.unusual = true
	n.counts["released before the answer"]++
	n.cancelTimeout(s.waiting)
	s.waiting = nil
	if l == s.on {
		n.departed(s)
		return
	}
	wait := min(share.OvertakenAnswerWait, s.request.SetupTimeout-n.now)
	s.waiting = n.after(max(wait, 0), func() {
		s.waiting = nil
		n.departed(s)
	})
}

// departed ends a SETUP whose session has ended at its server. Should an answer follow after all, the server is told.
func (n *Node) departed(s *session) {
	n.awaitLate(s)
	n.setupOver(s, choice.EndedUnanswered, s.release.report)
}

// released takes a server's release.
func (n *Node) released(l *link, s *session, id string, m *rtsp.Message) {
	if s != nil {
		s.history.note(n.now, stepServerReleased, strconv.Itoa(parseCause(m)))
	}
	switch {
	case s == nil:
		if validID(id) && n.sessions[id] == nil && len(n.early) < mostPast {
			n.early[id] = true
			n.after(keepPast, func() { delete(n.early, id) })
		}
	case s.state == attempting && (parseCause(m) == causeFinished || parseCause(m) == causeMoved):
		n.releasedUnanswered(l, s, m)
	case s.state == attempting:
		n.setupOver(s, choice.Reset, parseLoadReport(m))
	case s.state == established:
		switch c := parseCause(m); c {
		case causeFinished:
			n.ended(s, choice.Served, c, parseLoadReport(m))
		case causeMoved:
			n.ended(s, choice.Cancelled, c, parseLoadReport(m))
		default:
			n.ended(s, choice.Reset, causeLost, parseLoadReport(m))
		}
	}
}
