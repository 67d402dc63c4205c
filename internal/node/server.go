package node

import (
	"context"
	"slices"
	"strconv"

	"go.uber.org/zap"

	"rainhaven/choice"
	"rainhaven/choice/carrier"
	"rainhaven/choice/delivery"
	"rainhaven/choice/liveness"
	"rainhaven/internal/rtsp"
	"rainhaven/internal/wire"
)

// server is a streaming server. It is removed once it is gone from the list and has no sessions and no connections.
type server struct {
	id              string
	number          choice.ServerID
	addr            string
	state           choice.Lifecycle
	listedStartMs   float64       // its start as last listed, in Unix milliseconds; 0 is long ago
	startedAt       float64       // the start that it counts from, on the node's clock; 0 is long ago
	conns           []*serverConn // removed as they end
	brokeAt         float64       // when it last ended or refused a connection; 0 is never
	addressTaken    bool          // it is gone from the list, and another server was listed at its address since
	sessions        []*session    // established there; removed as they end
	liveness        liveness.Monitor
	probeID         string           // session id of the probe in flight; empty is none
	probeConn       *serverConn      // of the probe in flight
	probeCount      int              // probes so far
	probeTimer      *timeout         // times out the probe in flight
	pendingMessages []pendingMessage // about established sessions; sent on the next connection, or dropped when they expire
}

// serverConn is a connection to a server, open or being opened. The embedded conn is nil until it is open.
type serverConn struct {
	*conn
	server       *server
	up           bool
	closed       bool
	openedAt     float64
	closedAt     float64 // when it ended, or this node began to close it
	awaitsProof  bool    // sessions were kept for it at a restart of its server, and nothing was heard on it since
	lastUsed     float64
	setups       []*session // in flight on it, or waiting for it to open; removed by their outcomes
	probePending bool       // a probe waits for it to open
	cancelDial   context.CancelFunc
}

// pendingSetups returns how many SETUPs are in flight at the server, or wait for their connections.
func (sv *server) pendingSetups() (count int) {
	for _, sc := range sv.conns {
		count += len(sc.setups)
	}
	return count
}

// openConns returns how many connections to the server are open.
func (sv *server) openConns() (count int) {
	for _, sc := range sv.conns {
		if sc.up && !sc.isClosing() {
			count++
		}
	}
	return count
}

// sendSetup sends a SETUP on an open connection.
func (n *Node) sendSetup(s *session, sc *serverConn) {
	timeout := s.setupDeadline - n.now
	if !n.guard.Send(n.now, s.id, timeout, s.server.state == choice.Ready) {
		n.setupEnded(s, choice.Unsent, noReport)
		return
	}
	s.setupStart, s.setupEnd = sc.send(setupMessage(s, n.trials.alterDeadline(timeout)))
	s.history.add(n.now, stepSent, sc.peer())
	sc.lastUsed = n.now
	n.duplicateSetup(s)
}

// handleServerMessage handles a server's message, which was read at the given time.
func (n *Node) handleServerMessage(sc *serverConn, m *rtsp.Message, readAt float64) {
	n.traceReceived(sc.conn, m)
	sv := sc.server
	sv.liveness.Heard(n.now)
	sc.lastHeard, sc.awaitsProof = n.now, false
	id := m.Session()
	s := n.sessions[id]
	if s != nil && s.server != sv && !s.server.isSucceededBy(sv) {
		s = nil
	}
	if sc.closed {
		n.handleClosingMessage(sc, s, m)
		return
	}
	switch {
	case m.Method == rtsp.TearDown:
		sc.send(responseMessage(m, rtsp.OK))
		n.handleServerRelease(sc, s, id, m)
	case m.Method == rtsp.Announce && s != nil:
		n.handleNote(sv, s, m)
	case m.Method == rtsp.Options:
		sc.send(responseMessage(m, rtsp.OK))
	case m.IsRequest() || m.Status < 200:
	case sv.probeID != "" && id == sv.probeID:
		if n.log.Core().Enabled(zap.DebugLevel) {
			n.log.Debug("probe answered", str("server", sv.id), str("report", m.Header.Get(headerState)))
		}
		o := choice.Served
		if m.Status != rtsp.OK {
			o = choice.ServerError
		}
		n.endProbe(sv, o, parseLoadReport(m))
	case m.Header.Get("Cseq") == cseqTearDown:
		sc.acknowledge(id)
	case m.Header.Get("Cseq") == cseqOptions:
	case s != nil && s.state == attempting && s.conn == sc:
		n.handleSetupAnswer(s, m, readAt)
	default: // perhaps of an earlier attempt of a session that still stands
		n.handleLateAnswer(sv, m)
	}
}

// handleClosingMessage handles a message on a connection that is being closed. No SETUP is in flight on it any more, but messages
// about established sessions may arrive on any connection.
func (n *Node) handleClosingMessage(sc *serverConn, s *session, m *rtsp.Message) {
	switch {
	case m.Method == rtsp.TearDown:
		n.handleServerRelease(sc, s, m.Session(), m)
	case m.Method == rtsp.Announce && s != nil:
		n.handleNote(sc.server, s, m)
	case !m.IsRequest():
		n.handleLateAnswer(sc.server, m)
	}
}

// handleLateAnswer handles the answer to a SETUP that was given up before (abandonedSetups): a session that it set up is
// released at its server.
func (n *Node) handleLateAnswer(sv *server, m *rtsp.Message) {
	setup := abandonedSetup{m.Session(), sv}
	if m.Status == rtsp.OK && n.abandonedSetups[setup] {
		delete(n.abandonedSetups, setup)
		n.tearDownAtServer(sv, mediaRoot, m.Session())
	}
}

// trySendToServer sends a message that belongs to no SETUP on the open connection that best carries it; false if there is none, or
// none with room.
func (n *Node) trySendToServer(sv *server, m sessionMessage) bool {
	var open []*serverConn
	var candidates []carrier.Conn
	for _, sc := range sv.conns {
		if sc.up && !sc.isClosing() {
			open = append(open, sc)
			candidates = append(candidates, carrier.Conn{Relation: carrier.Serving, LastHeard: sc.lastHeard})
		}
	}
	for _, i := range carrier.Choose(candidates) {
		if open[i].sendRetained(n.now, m) {
			open[i].lastUsed = n.now
			return true
		}
	}
	return false
}

// sendToServer sends a message like trySendToServer. If that fails, the message waits. If no connection is open, one is dialled, unless
// the server is gone from the list: its address may already belong to another one.
func (n *Node) sendToServer(sv *server, m sessionMessage) {
	if n.trySendToServer(sv, m) || len(sv.pendingMessages) >= maxRemembered {
		return
	}
	if sv.state == choice.Gone && sv.openConns() == 0 {
		return
	}
	if m.rungOf != nil { // takes the place of an earlier rung
		sv.pendingMessages = slices.DeleteFunc(sv.pendingMessages, func(o pendingMessage) bool { return o.rungOf == m.rungOf })
	}
	sv.pendingMessages = append(sv.pendingMessages, pendingMessage{m, n.now + pendingSeconds})
	if sv.openConns() == 0 && !slices.ContainsFunc(sv.conns, func(sc *serverConn) bool { return !sc.up }) {
		n.dialServer(sv)
	}
}

// sendPendingMessages sends the messages that wait for a connection to a server, as far as an open one has room for them.
func (n *Node) sendPendingMessages(sv *server) {
	sent := 0
	for _, m := range sv.pendingMessages {
		if !n.trySendToServer(sv, m.sessionMessage) {
			break
		}
		sent++
	}
	sv.pendingMessages = slices.Delete(sv.pendingMessages, 0, sent)
}

// tearDownAtServer ends a session at its server, or cancels a SETUP there that may have established it.
func (n *Node) tearDownAtServer(sv *server, url, id string) {
	n.sendToServer(sv, sessionMessage{id: id, data: teardownMessage(url, id, causeMoved), ends: true})
}

// sendRung notifies a session's server of the session's rung.
func (n *Node) sendRung(s *session) {
	n.sendToServer(s.server, sessionMessage{id: s.id, data: rungMessage(s), rungOf: s})
}

// resendToServer sends a message over another connection after the one that carried it has ended. Of a rung the session's current
// one is sent, as later ones may have overtaken it.
func (n *Node) resendToServer(sv *server, m sessionMessage) {
	s := m.rungOf
	switch {
	case s == nil:
		n.sendToServer(sv, m)
	case n.sessions[s.id] == s && s.state == established:
		n.sendRung(s)
	}
}

// handleSetupAnswer handles a server's final answer to a SETUP.
func (n *Node) handleSetupAnswer(s *session, m *rtsp.Message, readAt float64) {
	s.history.add(readAt, stepServerAnswered, strconv.Itoa(m.Status))
	switch {
	case m.Status == rtsp.OK && len(m.Body) > 0:
		n.establishSession(s, m)
	case m.Status == rtsp.OK: // an answer without a description is malformed
		sc := s.conn
		n.tearDownUnanswered(s)
		n.closeServerConn(sc)
	case m.Status == rtsp.NotEnoughBandwidth:
		n.setupEnded(s, choice.Full, parseLoadReport(m))
	case m.Status == rtsp.SessionNotFound:
		n.setupEnded(s, choice.Unsent, parseLoadReport(m))
	case m.Status == rtsp.GatewayTimeout:
		n.setupEnded(s, choice.Reset, noReport)
	default:
		n.setupEnded(s, choice.ServerError, parseLoadReport(m))
	}
}

// handleNote handles a server's note on an established session.
func (n *Node) handleNote(sv *server, s *session, m *rtsp.Message) {
	value, err := strconv.ParseFloat(m.Header.Get(headerReading), 64)
	kind := noteKinds[m.Header.Get(headerNote)]
	if err != nil || delivery.SanitizeReport(value, -1, false).Link < 0 || kind == wire.Ignored || s.state != established {
		return
	}
	if kind == wire.RungInForce && int(value) >= len(n.config.Choice.Ladder) {
		return
	}
	n.log.Debug("note received", str("server", sv.id), str("kind", m.Header.Get(headerNote)), str("figure", m.Header.Get(headerReading)))
	n.notifyModule(wire.Event{Kind: kind, Request: choice.Request{ID: choice.SessID(s.id)}, Server: sv.number, Value: value})
}

// removeServerIfGone retires the idle connections of a server that is gone from the list, once it has no sessions and no probe,
// and removes it when no connection is left.
func (n *Node) removeServerIfGone(sv *server) {
	if sv.state != choice.Gone || len(sv.sessions) > 0 || sv.probeID != "" {
		return
	}
	for _, sc := range slices.Clone(sv.conns) {
		if len(sc.setups) == 0 && !(sc.up && sc.isClosing()) {
			n.closeServerConn(sc)
		}
	}
	if len(sv.conns) > 0 {
		return
	}
	n.servers = slices.DeleteFunc(n.servers, func(o *server) bool { return o == sv })
	if n.serversByNumber[sv.number] == sv { // not taken over by its next address
		delete(n.serversByNumber, sv.number)
		delete(n.serversByID, sv.id)
	}
}
