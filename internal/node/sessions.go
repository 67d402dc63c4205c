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

// acceptRequest takes a new session to the module. Its deadline counts from when it was read, however long it waited for the loop.
func (n *Node) acceptRequest(v *client, a clientSetup, at float64) {
	s := &session{clientSetup: a, client: v, rung: n.config.Config.Groups[a.group].Floor, setupStart: -1}
	s.request.SetupTimeout = at + max(a.patience-share.AnswerMargin, 0)
	n.guard.RequestRead(n.now, s.id, n.config.Config.Groups[a.group].Paid, at+a.patience)
	n.sessions[s.id] = s
	v.sessions = append(v.sessions, s)
	v.Pending++
	n.openRequests++
	n.counts["asked"]++
	n.reportFalseViolation(s.id)
	s.history.add(at, stepRead, v.peer())
	n.log.Debug("asked", str("sess", s.id), str("class", s.class), num("home", s.request.StartCell), num("copies", s.request.CellCount), zap.Float64("patience", s.patience))
	n.notifyModule(wire.Event{Kind: wire.Request, Request: s.request})
}

// acceptHandover takes a session that stands already. It wants no answer.
func (n *Node) acceptHandover(v *client, a clientSetup) {
	if n.sessions[a.id] != nil {
		return
	}
	sv := n.serversByID[a.currentServer]
	if sv == nil || n.unknownReleases[a.id] || len(n.sessions)-n.openRequests >= share.MaxHandedOver(n.config.MemoryMB) {
		delete(n.unknownReleases, a.id)
		v.send(teardownMessage(a.url, a.id, causeLost))
		return
	}
	a.body = nil
	s := &session{clientSetup: a, client: v, state: established, establishedAt: n.now, server: sv, rung: n.config.Config.Groups[a.group].Floor}
	n.sessions[s.id] = s
	v.sessions = append(v.sessions, s)
	v.Established++
	v.hasServed = true
	s.server.sessions = append(s.server.sessions, s)
	n.counts["handed"]++
	n.notifyModule(wire.Event{Kind: wire.Handover, Request: s.request, Server: s.server.number})
}

// dispatchSetup takes a session's SETUP to a connection. The list may have taken its server from new work since it was chosen.
func (n *Node) dispatchSetup(s *session) {
	if s.server.state != choice.Ready {
		n.setupEnded(s, choice.Unsent, noReport)
		return
	}
	l := n.pickServerConn(s.server)
	if l == nil {
		n.setupEnded(s, choice.Unsent, noReport)
		return
	}
	s.conn, s.setupStart = l, -1
	l.setups = append(l.setups, s)
	if l.up {
		n.sendSetup(s, l)
	}
}

// detachSetup takes a SETUP off its connection.
func (n *Node) detachSetup(s *session) {
	if s.conn != nil {
		s.conn.setups = slices.DeleteFunc(s.conn.setups, func(o *session) bool { return o == s })
		s.conn.lastUsed = n.now
		s.conn = nil
	}
}

// setupEnded ends a SETUP that is out.
func (n *Node) setupEnded(s *session, o choice.Outcome, r choice.LoadReport) {
	sv := s.server
	if s.earlyRelease != nil { // it has stood, and its end was heard before its answer
		o = choice.EndedUnanswered
	}
	n.guard.AttemptEnded(s.id, provesNoEffect(o))
	s.history.add(n.now, stepOutcome, outcomeName(o))
	s.history.unusual = s.history.unusual || o == choice.Reset || o == choice.EndedUnanswered
	n.log.Debug("setup over", str("sess", s.id), str("server", sv.id), num("outcome", int(o)))
	n.counts[fmt.Sprintf("outcome %d", o)]++
	n.detachSetup(s)
	n.cancelTimeout(s.setupTimer)
	s.state, s.server, s.setupTimer = pending, nil, nil
	n.notifyModule(wire.Event{Kind: wire.SetupEnded, Request: choice.Request{ID: choice.SessID(s.id)}, Server: sv.number, Outcome: o, Report: r})
	n.removeServerIfGone(sv)
}

// recallSetup takes a SETUP back of which nothing has left yet: from the queue, or, where the writer has it and its peer does
// not read, with the whole connection, whose reader tells the loop. False where some of it has left.
func (n *Node) recallSetup(s *session) bool {
	l := s.conn
	if l == nil || !l.up || s.setupStart < 0 {
		return true
	}
	if l.unqueue(s.setupStart, s.setupEnd) {
		for _, o := range l.setups {
			if o.setupStart > s.setupStart {
				o.setupStart, o.setupEnd = o.setupStart-(s.setupEnd-s.setupStart), o.setupEnd-(s.setupEnd-s.setupStart)
			}
		}
		return true
	}
	return s.setupStart >= l.bytesWritten() && s.setupStart >= l.close()
}

// cancelSetup tells a server that a SETUP is given up. Its connection is of no more use where it was silent.
func (n *Node) cancelSetup(s *session, silent bool) {
	l := s.conn
	l.send(teardownMessage(s.url, s.id, 0))
	n.awaitLateAnswer(s)
	if silent && len(l.setups) == 1 {
		n.detachSetup(s)
		n.closeServerConn(l)
	}
}

// awaitLateAnswer remembers a SETUP that is over without an answer: what its server sets up after all is released there.
func (n *Node) awaitLateAnswer(s *session) {
	if len(n.abandonedSetups) >= maxRemembered {
		return
	}
	id, sv := s.id, s.server
	n.abandonedSetups[id] = sv
	n.after(rememberSeconds, func() {
		if n.abandonedSetups[id] == sv {
			delete(n.abandonedSetups, id)
		}
	})
}

// setupTimedOut ends a SETUP that was waited for long enough.
func (n *Node) setupTimedOut(s *session) {
	s.setupTimer = nil
	if n.recallSetup(s) {
		o := choice.NoConnection
		if s.conn == nil { // the own machine had none to give
			o = choice.Unsent
		}
		n.setupEnded(s, o, noReport)
		return
	}
	n.cancelSetup(s, true)
	n.setupEnded(s, choice.TimedOut, noReport)
}

// cancelRequest takes it that the client has given up its SETUP: nothing is owed.
func (n *Node) cancelRequest(s *session) {
	was, sv := s.state, s.server
	if was == attempting && !n.recallSetup(s) {
		n.cancelSetup(s, false)
	}
	n.detachSetup(s)
	n.sendAfterCancel(s, sv)
	n.counts["given up"]++
	s.history.unusual = s.history.unusual || was == attempting
	n.guard.Cancelled(s.id)
	n.log.Debug("given up", str("sess", s.id), zap.Bool("out", was == attempting))
	n.removeSession(s)
	n.notifyModule(wire.Event{Kind: wire.ClientLeft, Request: choice.Request{ID: choice.SessID(s.id)}})
	if was == attempting {
		n.notifyModule(wire.Event{Kind: wire.SetupEnded, Request: choice.Request{ID: choice.SessID(s.id)}, Server: sv.number, Outcome: choice.Cancelled, Final: true, Report: noReport})
		n.removeServerIfGone(sv)
	}
}

// removeSession takes a session from all tables.
func (n *Node) removeSession(s *session) {
	n.logHistory(s, "over")
	n.cancelTimeout(s.setupTimer)
	s.setupTimer = nil
	n.detachSetup(s)
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
		n.openRequests--
	} else if s.server != nil {
		s.server.sessions = slices.DeleteFunc(s.server.sessions, func(o *session) bool { return o == s })
	}
	delete(n.sessions, s.id)
}

// establishSession takes a server's good answer and gives it to the client.
func (n *Node) establishSession(s *session, m *rtsp.Message) {
	n.detachSetup(s)
	n.cancelTimeout(s.setupTimer)
	s.setupTimer, s.state, s.establishedAt = nil, established, n.now
	n.openRequests--
	s.server.sessions = append(s.server.sessions, s)
	n.counts["served"]++
	n.notifyModule(wire.Event{Kind: wire.Established, Request: choice.Request{ID: choice.SessID(s.id)}, Server: s.server.number})
	v := s.client
	v.Pending--
	v.Established++
	v.hasServed = true
	if n.guard.Answer(n.now, s.id, invariant.Served) && !n.sabotages(SabotageAnswer, s.id) {
		if n.sabotages(SabotageTwice, s.id) {
			v.send(servedMessage(s.id, m.Body))
		}
		_, s.answerEnd = v.sendNow(servedMessage(s.id, m.Body))
		s.history.add(n.clock(), stepAnswered, answerDetail(v, s.answerEnd))
	}
	s.body = nil
	n.log.Debug("served", str("sess", s.id), str("server", s.server.id), str("to", v.peer()), zap.Int64("ends", s.answerEnd))
	if r := s.earlyRelease; r != nil {
		n.endSession(s, r.outcome(), r.cause, r.report)
	}
}

// endSession ends a session that stood, and releases its client.
func (n *Node) endSession(s *session, o choice.Outcome, cause int, r choice.LoadReport) {
	sv := s.server
	v := s.client
	if n.now-s.establishedAt < quickReleaseSeconds {
		s.history.unusual = true
	}
	n.counts[fmt.Sprintf("ended %d", o)]++
	n.removeSession(s)
	n.notifyModule(wire.Event{Kind: wire.SetupEnded, Request: choice.Request{ID: choice.SessID(s.id)}, Server: sv.number, Outcome: o, Final: true, Report: r})
	if cause != causeMoved && !n.sabotages(SabotageRelease, s.id) {
		n.sendRelease(v, teardownMessage(s.url, s.id, cause))
	}
	n.removeServerIfGone(sv)
}

// sendRelease sends a client its session's end: on its own connection, else on any that served a session.
func (n *Node) sendRelease(v *client, b []byte) {
	if v != nil && !v.closed && v.sendRetained(n.now, b) {
		return
	}
	for i := len(n.clients) - 1; i >= 0; i-- {
		if o := n.clients[i]; o.hasServed && o.sendRetained(n.now, b) {
			return
		}
	}
	if len(n.pendingReleases) < maxRemembered {
		n.pendingReleases = append(n.pendingReleases, pendingMessage{b, n.now + pendingSeconds})
	}
}

// sendPendingReleases sends the releases that found no connection before.
func (n *Node) sendPendingReleases() {
	list := n.pendingReleases
	n.pendingReleases = nil
	for _, o := range list {
		if n.now < o.expiresAt {
			had := len(n.pendingReleases)
			n.sendRelease(nil, o.data)
			if len(n.pendingReleases) > had {
				n.pendingReleases[had].expiresAt = o.expiresAt
			}
		}
	}
}

// endSessionForClient ends a session that stood because its client has, or is gone.
func (n *Node) endSessionForClient(s *session) {
	n.sendToServer(s.server, teardownMessage(s.url, s.id, causeMoved))
	n.notifyModule(wire.Event{Kind: wire.ClientLeft, Request: choice.Request{ID: choice.SessID(s.id)}})
	n.endSession(s, choice.Cancelled, causeMoved, noReport)
}

// serverRelease is a server's serverRelease of a session that stood.
type serverRelease struct {
	cause  int
	report choice.LoadReport
}

func (r *serverRelease) outcome() choice.Outcome {
	if r.cause == causeFinished {
		return choice.Served
	}
	return choice.Cancelled
}

// handleReleaseBeforeAnswer takes a release for a SETUP that has had no answer. The session is over, so nothing is sent elsewhere. What its server
// wrote before on the same connection has been read, so no answer is on its way and the request is refused at once. A
// release on another connection may have overtaken the answer, which then has a moment to come.
func (n *Node) handleReleaseBeforeAnswer(l *serverConn, s *session, m *rtsp.Message) {
	if s.earlyRelease != nil {
		return
	}
	s.earlyRelease = &serverRelease{parseCause(m), parseLoadReport(m)}
	s.history.unusual = true
	n.counts["released before the answer"]++
	n.cancelTimeout(s.setupTimer)
	s.setupTimer = nil
	if l == s.conn {
		n.endUnanswered(s)
		return
	}
	wait := min(share.OvertakenAnswerWait, s.request.SetupTimeout-n.now)
	s.setupTimer = n.after(max(wait, 0), func() {
		s.setupTimer = nil
		n.endUnanswered(s)
	})
}

// endUnanswered ends a SETUP whose session has ended at its server. Should an answer follow after all, the server is told.
func (n *Node) endUnanswered(s *session) {
	n.awaitLateAnswer(s)
	n.setupEnded(s, choice.EndedUnanswered, s.earlyRelease.report)
}

// handleServerRelease takes a server's release.
func (n *Node) handleServerRelease(l *serverConn, s *session, id string, m *rtsp.Message) {
	if s != nil {
		s.history.add(n.now, stepServerReleased, strconv.Itoa(parseCause(m)))
	}
	switch {
	case s == nil:
		if validID(id) && n.sessions[id] == nil && len(n.unknownReleases) < maxRemembered {
			n.unknownReleases[id] = true
			n.after(rememberSeconds, func() { delete(n.unknownReleases, id) })
		}
	case s.state == attempting && (parseCause(m) == causeFinished || parseCause(m) == causeMoved):
		n.handleReleaseBeforeAnswer(l, s, m)
	case s.state == attempting:
		n.setupEnded(s, choice.Reset, parseLoadReport(m))
	case s.state == established:
		switch c := parseCause(m); c {
		case causeFinished:
			n.endSession(s, choice.Served, c, parseLoadReport(m))
		case causeMoved:
			n.endSession(s, choice.Cancelled, c, parseLoadReport(m))
		default:
			n.endSession(s, choice.Reset, causeLost, parseLoadReport(m))
		}
	}
}
