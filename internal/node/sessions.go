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

// acceptRequest passes a new session to the module. Its deadline counts from the instant at which it was read, however long it
// waited in the queue.
func (n *Node) acceptRequest(cl *client, setup clientSetup, readAt float64) {
	s := &session{clientSetup: setup, client: cl, rung: n.config.Choice.Groups[setup.group].Floor, setupStart: -1}
	s.request.SetupDeadline = readAt + max(setup.patience-share.AnswerMargin, 0)
	n.guard.RequestRead(n.now, s.id, n.config.Choice.Groups[setup.group].Paid, readAt+setup.patience)
	n.sessions[s.id] = s
	cl.sessions = append(cl.sessions, s)
	cl.Pending++
	n.openRequests++
	n.counts["asked"]++
	n.reportFalseViolation(s.id)
	s.history.add(readAt, stepRead, cl.peer())
	n.log.Debug("session requested", str("sess", s.id), str("class", s.class), num("home", s.request.StartCell), num("copies", s.request.CellCount), zap.Float64("patience", s.patience))
	n.notifyModule(wire.Event{Kind: wire.Request, Request: s.request})
}

// dispatchSetup assigns a session's SETUP to a connection. The server may have stopped being ready since the module chose it.
func (n *Node) dispatchSetup(s *session) {
	if s.server.state != choice.Ready {
		n.setupEnded(s, choice.Unsent, noReport)
		return
	}
	sc := n.pickServerConn(s.server)
	if sc == nil {
		n.setupEnded(s, choice.Unsent, noReport)
		return
	}
	s.conn, s.setupStart = sc, -1
	sc.setups = append(sc.setups, s)
	if sc.up {
		n.sendSetup(s, sc)
	}
}

// detachSetup removes a SETUP from its connection.
func (n *Node) detachSetup(s *session) {
	if s.conn != nil {
		s.conn.setups = slices.DeleteFunc(s.conn.setups, func(o *session) bool { return o == s })
		s.conn.lastUsed = n.now
		s.conn = nil
	}
}

// setupEnded ends the SETUP of a session with an outcome, which the module learns.
func (n *Node) setupEnded(s *session, outcome choice.Outcome, report choice.LoadReport) {
	sv := s.server
	if s.earlyRelease != nil { // it was established, and its release arrived before its answer
		outcome = choice.EndedUnanswered
	}
	n.guard.AttemptEnded(s.id, provesNoEffect(outcome))
	s.mayHaveRun = s.mayHaveRun || !provesNoEffect(outcome)
	s.history.add(n.now, stepOutcome, outcomeName(outcome))
	s.history.unusual = s.history.unusual || outcome == choice.Reset || outcome == choice.EndedUnanswered
	n.log.Debug("SETUP ended", str("sess", s.id), str("server", sv.id), num("outcome", int(outcome)))
	n.counts[fmt.Sprintf("outcome %d", outcome)]++
	n.detachSetup(s)
	n.cancelTimeout(s.setupTimer)
	s.state, s.server, s.setupTimer = pending, nil, nil
	n.notifyModule(wire.Event{Kind: wire.SetupEnded, Request: choice.Request{ID: choice.SessID(s.id)}, Server: sv.number, Outcome: outcome, Report: report})
	n.removeServerIfGone(sv)
}

// recallSetup withdraws a SETUP of which no byte has been sent: from the send queue, or, if the writer already holds it and
// its peer does not read, by closing the connection, whose reader reports that to the loop. False if a byte was sent.
func (n *Node) recallSetup(s *session) bool {
	sc := s.conn
	if sc == nil || !sc.up || s.setupStart < 0 {
		return true
	}
	if sc.unqueue(s.setupStart, s.setupEnd) {
		for _, o := range sc.setups {
			if o.setupStart > s.setupStart {
				o.setupStart, o.setupEnd = o.setupStart-(s.setupEnd-s.setupStart), o.setupEnd-(s.setupEnd-s.setupStart)
			}
		}
		return true
	}
	return s.setupStart >= sc.bytesWritten() && s.setupStart >= sc.close()
}

// cancelSetup notifies a server that a SETUP is cancelled. If the server was silent and no other SETUP is in flight on the
// connection, the connection is retired, which cancels the SETUP as well. If the connection ends before the message must have
// arrived, what the SETUP may have established is torn down over another one.
func (n *Node) cancelSetup(s *session, silent bool) {
	sc := s.conn
	_, end := sc.send(teardownMessage(s.url, s.id, 0))
	n.awaitLateAnswer(s)
	switch {
	case end < 0: // the connection has ended
		n.tearDownAtServer(s.server, s.url, s.id)
	case silent && len(sc.setups) == 1:
		n.detachSetup(s)
		n.closeServerConn(sc)
	default:
		sc.retain(n.now, sessionMessage{id: s.id, data: teardownMessage(s.url, s.id, causeMoved)}, end)
	}
}

// abandonedSetup is a SETUP that ended without an answer. A session may have several, at different servers.
type abandonedSetup struct {
	id     string // of the session
	server *server
}

// awaitLateAnswer remembers a SETUP that ended without an answer. If its server sets the session up after all, it is released
// there.
func (n *Node) awaitLateAnswer(s *session) {
	if len(n.abandonedSetups) >= maxRemembered {
		return
	}
	setup := abandonedSetup{s.id, s.server}
	n.abandonedSetups[setup] = true
	n.after(rememberSeconds, func() { delete(n.abandonedSetups, setup) })
}

// setupTimedOut ends a SETUP that was not answered in time.
func (n *Node) setupTimedOut(s *session) {
	s.setupTimer = nil
	if n.recallSetup(s) {
		o := choice.NoConnection
		if s.conn == nil { // this machine had no connection for it
			o = choice.Unsent
		}
		n.setupEnded(s, o, noReport)
		return
	}
	n.cancelSetup(s, true)
	n.setupEnded(s, choice.TimedOut, noReport)
}

// cancelRequest ends a request that its client has cancelled: no answer is due.
func (n *Node) cancelRequest(s *session) {
	state, sv := s.state, s.server
	if state == attempting && !n.recallSetup(s) {
		s.mayHaveRun = true
		n.cancelSetup(s, false)
	}
	n.detachSetup(s)
	n.sendAfterCancel(s, sv)
	n.counts["given up"]++
	s.history.unusual = s.history.unusual || state == attempting
	n.guard.Cancelled(s.id)
	n.log.Debug("request cancelled", str("sess", s.id), zap.Bool("out", state == attempting))
	n.removeSession(s)
	n.notifyModule(wire.Event{Kind: wire.ClientLeft, Request: choice.Request{ID: choice.SessID(s.id)}})
	if state == attempting {
		n.notifyModule(wire.Event{Kind: wire.SetupEnded, Request: choice.Request{ID: choice.SessID(s.id)}, Server: sv.number, Outcome: choice.Cancelled, Final: true, Report: noReport})
		n.removeServerIfGone(sv)
	}
}

// removeSession removes a session from all tables.
func (n *Node) removeSession(s *session) {
	n.logHistory(s, "over")
	n.cancelTimeout(s.setupTimer)
	s.setupTimer = nil
	n.detachSetup(s)
	n.guard.Dropped(s.id)
	n.detachClient(s)
	if s.mayHaveRun || s.state == established {
		n.ranIDs.add(s.id)
	}
	if s.state != established {
		n.openRequests--
	} else if s.server != nil {
		s.server.sessions = slices.DeleteFunc(s.server.sessions, func(o *session) bool { return o == s })
	}
	delete(n.sessions, s.id)
}

// detachClient removes a session from its client's connection, if it has one.
func (n *Node) detachClient(s *session) {
	cl := s.client
	if cl == nil {
		return
	}
	s.client = nil
	cl.sessions = slices.DeleteFunc(cl.sessions, func(o *session) bool { return o == s })
	if s.state == established {
		cl.Established--
	} else {
		cl.Pending--
	}
	cl.LastUsed = n.now
}

// establishSession handles a server's 200 and passes its description on to the client.
func (n *Node) establishSession(s *session, m *rtsp.Message) {
	s.setUpOn = s.conn
	n.detachSetup(s)
	n.cancelTimeout(s.setupTimer)
	s.setupTimer, s.state, s.establishedAt = nil, established, n.now
	n.openRequests--
	s.server.sessions = append(s.server.sessions, s)
	n.counts["served"]++
	n.notifyModule(wire.Event{Kind: wire.Established, Request: choice.Request{ID: choice.SessID(s.id)}, Server: s.server.number})
	cl := s.client
	cl.Pending--
	cl.Established++
	cl.hasServed = true
	if n.guard.Answer(n.now, s.id, invariant.Served) && !n.sabotages(SabotageAnswer, s.id) {
		if n.sabotages(SabotageTwice, s.id) {
			cl.send(servedMessage(s.id, m.Body))
		}
		_, s.answerEnd = cl.sendNow(servedMessage(s.id, m.Body))
		s.history.add(n.clock(), stepAnswered, answerDetail(cl, s.answerEnd))
	}
	s.body = nil
	n.log.Debug("session served", str("sess", s.id), str("server", s.server.id), str("to", cl.peer()), zap.Int64("ends", s.answerEnd))
	if release := s.earlyRelease; release != nil {
		n.endSession(s, release.outcome(), release.cause, release.report)
	}
}

// endSession ends an established session and sends its client the release.
func (n *Node) endSession(s *session, outcome choice.Outcome, cause int, report choice.LoadReport) {
	sv := s.server
	clients := s.releaseConns()
	if n.now-s.establishedAt < quickReleaseSeconds {
		s.history.unusual = true
	}
	n.counts[fmt.Sprintf("ended %d", outcome)]++
	n.removeSession(s)
	n.rememberEnd(s.id, cause)
	n.notifyModule(wire.Event{Kind: wire.SetupEnded, Request: choice.Request{ID: choice.SessID(s.id)}, Server: sv.number, Outcome: outcome, Final: true, Report: report})
	if cause != causeMoved && !n.sabotages(SabotageRelease, s.id) {
		n.releaseToClient(clients, s.id, teardownMessage(s.url, s.id, cause))
	}
	n.removeServerIfGone(sv)
}

// endSessionForClient ends an established session because its client ended it or is gone.
func (n *Node) endSessionForClient(s *session) {
	if !n.trials.leavesSessions() {
		n.tearDownAtServer(s.server, s.url, s.id)
	}
	n.notifyModule(wire.Event{Kind: wire.ClientLeft, Request: choice.Request{ID: choice.SessID(s.id)}})
	n.endSession(s, choice.Cancelled, causeMoved, noReport)
}

// serverRelease is a server's release of an established session.
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

// handleReleaseBeforeAnswer handles a release of a session whose SETUP has not been answered. The session has ended, so no SETUP
// goes to another server. On the SETUP's own connection everything that the server wrote earlier has been read, so no answer is
// in flight and the request is refused at once. A release on another connection may have overtaken the answer, which is then
// awaited for share.OvertakenAnswerWait.
func (n *Node) handleReleaseBeforeAnswer(sc *serverConn, s *session, m *rtsp.Message) {
	if s.earlyRelease != nil {
		return
	}
	s.earlyRelease = &serverRelease{parseCause(m), parseLoadReport(m)}
	s.history.unusual = true
	n.counts["released before the answer"]++
	n.cancelTimeout(s.setupTimer)
	s.setupTimer = nil
	if sc == s.conn {
		n.endUnanswered(s)
		return
	}
	wait := min(share.OvertakenAnswerWait, s.request.SetupDeadline-n.now)
	s.setupTimer = n.after(max(wait, 0), func() {
		s.setupTimer = nil
		n.endUnanswered(s)
	})
}

// endUnanswered ends a SETUP whose session has ended at its server without an answer. If a 200 follows after all, the session
// is released at the server.
func (n *Node) endUnanswered(s *session) {
	n.awaitLateAnswer(s)
	n.setupEnded(s, choice.EndedUnanswered, s.earlyRelease.report)
}

// handleServerRelease handles a server's release of a session. s is nil if the session is not known at that server.
func (n *Node) handleServerRelease(sc *serverConn, s *session, id string, m *rtsp.Message) {
	if s != nil {
		s.history.add(n.now, stepServerReleased, strconv.Itoa(parseCause(m)))
	}
	switch {
	case s == nil:
		if validID(id) && n.sessions[id] == nil {
			n.rememberEnd(id, parseCause(m))
		}
	case s.state == attempting && (parseCause(m) == causeFinished || parseCause(m) == causeMoved):
		n.handleReleaseBeforeAnswer(sc, s, m)
	case s.state == attempting:
		n.setupEnded(s, choice.Reset, parseLoadReport(m))
	case s.state == established:
		switch cause := parseCause(m); cause {
		case causeFinished:
			n.endSession(s, choice.Served, cause, parseLoadReport(m))
		case causeMoved:
			n.endSession(s, choice.Cancelled, cause, parseLoadReport(m))
		default:
			n.endSession(s, choice.Reset, causeLost, parseLoadReport(m))
		}
	}
}
