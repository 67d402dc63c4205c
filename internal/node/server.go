package node

import (
	"context"
	"slices"
	"strconv"

	"go.uber.org/zap"

	"rainhaven/choice"
	"rainhaven/choice/delivery"
	"rainhaven/choice/liveness"
	"rainhaven/internal/rtsp"
	"rainhaven/internal/wire"
)

// server is one streaming server, by its id. It goes once it is gone from the list and nothing stands there.
type server struct {
	id       string
	number   choice.ServerID
	addr     string
	state    choice.Lifecycle
	told     float64    // its start as the list last told it: Unix milliseconds, 0 is long ago
	born     float64    // counts as started then; 0 is long ago
	conns    []*link    // emptied as they end
	held     []*session // standing there; emptied as they end
	liveness liveness.Monitor
	tested   string // the test that is out; empty is none
	testOn   *link
	tests    int      // counts tests, for their names
	testing  *timeout // its time-out
	owed     []owed   // what belongs to sessions that stood and found no connection; emptied by the next one and by time
}

// link is one connection to a server, or one that is being opened.
type link struct {
	*conn
	sv     *server
	up     bool
	closed bool
	used   float64
	open   []*session // SETUPs out on it, or waiting for it to open; emptied by outcomes
	test   bool       // a test waits for it to open
	stop   context.CancelFunc
}

// out is how many SETUPs are out there, or wait for their connections.
func (sv *server) out() (k int) {
	for _, l := range sv.conns {
		k += len(l.open)
	}
	return k
}

// sendSetup writes a SETUP to a connection that is open.
func (n *Node) sendSetup(s *session, l *link) {
	wait := s.until - n.now
	if !n.guard.Send(n.now, s.id, wait, s.server.state == choice.Ready) {
		n.setupOver(s, choice.Unsent, noReport)
		return
	}
	s.from, s.to = l.send(setupMessage(s, n.trials.told(wait)))
	s.history.note(n.now, stepSent, l.peer())
	l.used = n.now
	n.copyElsewhere(s)
}

// heardServer takes one message of a server's, which was read at the instant given.
func (n *Node) heardServer(l *link, m *rtsp.Message, at float64) {
	n.traceReceived(l.conn, m)
	sv := l.sv
	sv.liveness.Heard(n.now)
	id := m.Session()
	s := n.sessions[id]
	if s != nil && s.server != sv {
		s = nil
	}
	if l.closed {
		n.heardClosing(l, s, m)
		return
	}
	switch {
	case m.Method == rtsp.TearDown:
		l.send(responseMessage(m, rtsp.OK))
		n.released(l, s, id, m)
	case m.Method == rtsp.Announce && s != nil:
		n.noted(sv, s, m)
	case m.Method == rtsp.Options:
		l.send(responseMessage(m, rtsp.OK))
	case m.IsRequest() || m.Status < 200:
	case sv.tested != "" && id == sv.tested:
		if n.log.Core().Enabled(zap.DebugLevel) {
			n.log.Debug("tested", str("server", sv.id), str("report", m.Header.Get(headerState)))
		}
		o := choice.Served
		if m.Status != rtsp.OK {
			o = choice.ServerError
		}
		n.tellTest(sv, o, parseLoadReport(m))
	case m.Header.Get("Cseq") == cseqTearDown || m.Header.Get("Cseq") == cseqOptions:
	case s != nil && s.state == attempting && s.on == l:
		n.setupAnswered(s, m, at)
	case s == nil:
		n.late(sv, l, m)
	}
}

// heardClosing takes a message on a connection that is being closed. No SETUP is out on it any more, but what concerns sessions that
// stand belongs to no connection.
func (n *Node) heardClosing(l *link, s *session, m *rtsp.Message) {
	switch {
	case m.Method == rtsp.TearDown:
		n.released(l, s, m.Session(), m)
	case m.Method == rtsp.Announce && s != nil:
		n.noted(l.sv, s, m)
	case !m.IsRequest():
		n.late(l.sv, l, m)
	}
}

// late tears down at its server what a SETUP given up has set up after all.
func (n *Node) late(sv *server, l *link, m *rtsp.Message) {
	if m.Status == rtsp.OK && n.past[m.Session()] == sv {
		delete(n.past, m.Session())
		b := teardownMessage(mediaRoot, m.Session(), causeMoved)
		if l.closed {
			n.toServer(sv, b)
		} else {
			l.send(b)
		}
	}
}

// say sends what belongs to no SETUP on any open connection; false where there is none.
func (n *Node) say(sv *server, b []byte) bool {
	for _, l := range sv.conns {
		if l.up && l.sendRetained(n.now, b) {
			l.used = n.now
			return true
		}
	}
	return false
}

// toServer is say, and opens a connection where there is none. The address of a server that is gone may be another's.
func (n *Node) toServer(sv *server, b []byte) {
	if n.say(sv, b) || sv.state == choice.Gone || len(sv.owed) >= mostPast {
		return
	}
	sv.owed = append(sv.owed, owed{b, n.now + keepOwed})
	if !slices.ContainsFunc(sv.conns, func(l *link) bool { return !l.up }) {
		n.dialServer(sv)
	}
}

// setupAnswered takes a server's final answer to a SETUP.
func (n *Node) setupAnswered(s *session, m *rtsp.Message, at float64) {
	s.history.note(at, stepServerAnswered, strconv.Itoa(m.Status))
	switch {
	case m.Status == rtsp.OK && len(m.Body) > 0:
		n.stands(s, m)
	case m.Status == rtsp.OK: // an answer without a description is spoilt
		l := s.on
		n.tearDownUnanswered(s)
		n.closeServerConn(l)
	case m.Status == rtsp.NotEnoughBandwidth:
		n.setupOver(s, choice.Full, parseLoadReport(m))
	case m.Status == rtsp.SessionNotFound:
		n.setupOver(s, choice.Unsent, parseLoadReport(m))
	case m.Status == rtsp.GatewayTimeout:
		n.setupOver(s, choice.Reset, noReport)
	default:
		n.setupOver(s, choice.ServerError, parseLoadReport(m))
	}
}

// noted takes a note on a session that stands.
func (n *Node) noted(sv *server, s *session, m *rtsp.Message) {
	x, err := strconv.ParseFloat(m.Header.Get(headerReading), 64)
	kind := noteKinds[m.Header.Get(headerNote)]
	if err != nil || delivery.SanitizeReport(x, -1, false).Link < 0 || kind == wire.Ignored || s.state != established {
		return
	}
	if kind == wire.RungInForce && int(x) >= len(n.start.Config.Ladder) {
		return
	}
	n.log.Debug("note", str("server", sv.id), str("kind", m.Header.Get(headerNote)), str("figure", m.Header.Get(headerReading)))
	n.feed(wire.Event{Kind: kind, Request: choice.Request{ID: choice.SessID(s.id)}, Server: sv.number, Value: x})
}

// settleServer forgets a server that is gone once nothing of it is left.
func (n *Node) settleServer(sv *server) {
	if sv.state != choice.Gone || len(sv.held) > 0 || sv.tested != "" {
		return
	}
	for _, l := range slices.Clone(sv.conns) {
		if len(l.open) == 0 && !(l.up && l.isClosing()) {
			n.closeServerConn(l)
		}
	}
	if len(sv.conns) == 0 && n.numbers[sv.number] == sv {
		delete(n.numbers, sv.number)
		delete(n.byID, sv.id)
		n.servers = slices.DeleteFunc(n.servers, func(o *server) bool { return o == sv })
	}
}
