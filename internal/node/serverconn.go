package node

import (
	"context"
	"errors"
	"io"
	"math"
	"slices"
	"syscall"
	"time"

	"rainhaven/choice"
	"rainhaven/choice/limits"
	"rainhaven/choice/share"
	"rainhaven/internal/rtsp"
)

// pickServerConn returns the connection for a SETUP, or nil if there is none.
func (n *Node) pickServerConn(sv *server) *serverConn {
	var conns []*serverConn
	var candidates []share.ServerConn
	for _, sc := range sv.conns {
		if !sc.closed && !(sc.up && sc.isClosing()) {
			conns = append(conns, sc)
			candidates = append(candidates, share.ServerConn{Up: sc.up, Pending: len(sc.setups), LastUsed: sc.lastUsed})
		}
	}
	switch i := share.PickConn(candidates, n.maxConnsPerServer(), n.config.MaxSetupsPerConn); i {
	case share.OpenNew:
		sc := n.dialServer(sv)
		if sc == nil && len(conns) > 0 { // no descriptor is left: the connection with the fewest pending SETUPs
			sc = slices.MinFunc(conns, func(a, b *serverConn) int { return len(a.setups) - len(b.setups) })
		}
		return sc
	case share.NoConn:
		return nil
	default:
		return conns[i]
	}
}

// maxConnsPerServer returns how many connections one server may have.
func (n *Node) maxConnsPerServer() int {
	live := 0
	for _, sv := range n.servers {
		if sv.state != choice.Gone {
			live++
		}
	}
	return share.MaxConnsPerServer(n.config.MaxDescriptors, live)
}

// serverConnCount returns the number of connections to servers, including those that are being opened.
func (n *Node) serverConnCount() (all int) {
	for _, sv := range n.servers {
		all += len(sv.conns)
	}
	return all
}

// reserveServerConn reports whether one more connection to a server may be opened. At the limit it closes an idle one
// to make room.
func (n *Node) reserveServerConn() bool {
	if n.serverConnCount() < share.MaxServerConns(n.config.MaxDescriptors) {
		return true
	}
	var conns []*serverConn
	var list []share.ServerConn
	for _, sv := range n.servers {
		for _, sc := range sv.conns {
			if sc.up && sv.probeConn != sc && share.MayEvict(len(sv.sessions), sv.openConns()) {
				conns, list = append(conns, sc), append(list, share.ServerConn{Up: true, Pending: len(sc.setups), LastUsed: sc.lastUsed})
			}
		}
	}
	if i := share.PickIdle(list); i >= 0 {
		n.closeServerConn(conns[i])
		conns[i].closeIfFlushed()
		return true
	}
	return false
}

// dialServer opens a connection; it returns nil if no descriptor is left.
func (n *Node) dialServer(sv *server) *serverConn {
	if !n.reserveServerConn() {
		return nil
	}
	timeout := n.config.ConnectTimeout
	if timeout <= 0 {
		timeout = limits.Defaults.ConnectTimeout
	}
	ctx, stop := context.WithTimeout(n.ctx, time.Duration(timeout*float64(time.Second)))
	sc := &serverConn{server: sv, lastUsed: n.now, cancelDial: stop}
	sv.conns = append(sv.conns, sc)
	n.enforceClientLimit()
	n.wg.Add(1)
	go n.readServer(ctx, sc, sv.addr)
	return sc
}

// readServer opens a connection and passes the server's messages to the loop until the connection ends.
func (n *Node) readServer(ctx context.Context, sc *serverConn, addr string) {
	defer n.wg.Done()
	nc, err := n.network.Dial(ctx, addr)
	sc.cancelDial()
	if err != nil {
		n.post(event{do: func() { n.dialFailed(sc, err) }})
		return
	}
	defer context.AfterFunc(n.ctx, func() { nc.Close() })() // the loop may end before it is notified of this connection
	c := newConn(nc, n.log)
	if !n.post(event{do: func() { sc.conn = c; n.serverConnOpened(sc) }}) {
		c.close()
		return
	}
	overdue := false // the time limit of the present message has been extended
	messages := rtsp.NewConn(overdueReader{nc, func() bool {
		if overdue || c.isClosing() {
			return false
		}
		overdue = true
		nc.SetReadDeadline(time.Now().Add(overdueGrace))
		return true
	}}, messageBounds)
	for err == nil {
		if err = messages.AwaitMessage(); err != nil {
			break
		}
		if !c.isClosing() {
			nc.SetReadDeadline(time.Now().Add(serverMessageTimeout))
			overdue = false
		}
		var m *rtsp.Message
		if m, _, err = messages.Next(); err == nil && (m == nil || messages.OutOfSync()) {
			err = errTrailingData
		}
		if err == nil {
			if !c.isClosing() {
				nc.SetReadDeadline(time.Time{})
			}
			at := n.clock()
			if !n.post(event{do: func() { n.handleServerMessage(sc, m, at) }}) {
				break
			}
		}
	}
	written := c.close()
	n.post(event{do: func() { n.serverConnClosed(sc, written, err) }})
}

// errTrailingData ends a connection on which a message is followed by bytes that start no message.
var errTrailingData = errors.New("bytes after a message start no message")

// tearDownUnanswered has a server tear down what a SETUP may have set up although its answer was lost, as the session
// would stay there unwanted. If there is no connection, one is opened for it.
func (n *Node) tearDownUnanswered(s *session) {
	n.tearDownAtServer(s.server, s.url, s.id)
}

// dialFailed handles a connection that could not be opened: no SETUP waiting for it ran.
func (n *Node) dialFailed(sc *serverConn, err error) {
	sv := sc.server
	n.removeServerConn(sc)
	refused := errors.Is(err, syscall.ECONNREFUSED)
	n.log.Debug("connecting to a server failed", str("server", sv.id), str("why", err.Error()))
	if isLocalError(err) {
		n.dialFailedLocally(sc)
		return
	}
	sv.brokeAt = n.now
	n.failProbe(sc, choice.NoConnection)
	for _, s := range slices.Clone(sc.setups) {
		n.setupEnded(s, choice.NoConnection, noReport)
	}
	// Nothing listens there, so the process is dead and its sessions are lost; unless another connection to it is up, as a
	// server at its limit of connections refuses further ones.
	if refused && !slices.ContainsFunc(sv.conns, func(sc *serverConn) bool { return sc.up && !sc.isClosing() }) {
		sv.pendingMessages = nil
		if len(sv.sessions) > 0 {
			n.serverLost(sv)
		}
	}
}

// dialFailedLocally handles a connection that could not be opened for lack of a local resource. This shows nothing
// about the server: the waiting SETUPs are retried shortly, a few times within their deadlines.
func (n *Node) dialFailedLocally(sc *serverConn) {
	n.counts["no connection of the own machine"]++
	n.failProbe(sc, choice.Unsent)
	for _, s := range slices.Clone(sc.setups) {
		n.detachSetup(s)
		if s.localRetries++; s.localRetries > share.MaxLocalRetries {
			n.setupEnded(s, choice.Unsent, noReport)
			continue
		}
		n.after(share.LocalRetryDelay, func() {
			if n.sessions[s.id] == s && s.state == attempting && s.conn == nil {
				n.dispatchSetup(s)
			}
		})
	}
}

// serverConnOpened sends what waited for a connection.
func (n *Node) serverConnOpened(sc *serverConn) {
	if sc.closed {
		sc.closeGracefully()
		return
	}
	// An accepted connection is no sign of life: the system accepts it on behalf of a process that hangs.
	sc.up, sc.openedAt, sc.lastUsed, sc.lastHeard = true, n.now, n.now, n.now
	if sc.probePending {
		sc.probePending = false
		n.sendProbe(sc)
	}
	n.sendPendingMessages(sc.server)
	for _, s := range slices.Clone(sc.setups) {
		n.sendSetup(s, sc)
	}
}

// removeServerConn removes a connection from its server.
func (n *Node) removeServerConn(sc *serverConn) {
	sc.closed, sc.closedAt = true, n.now
	sc.server.conns = slices.DeleteFunc(sc.server.conns, func(o *serverConn) bool { return o == sc })
}

// serverConnClosed handles the end of a connection on which the given number of bytes was written: a SETUP none of
// whose bytes was written never ran and is sent again.
func (n *Node) serverConnClosed(sc *serverConn, written int64, err error) {
	if sc.closed { // by this node
		endedAt, orderly := sc.closedAt, errors.Is(err, io.EOF)
		if orderly { // its peer has read what was written
			endedAt = math.Inf(1)
		}
		n.resendUndelivered(sc, endedAt, written, orderly)
		return
	}
	n.removeServerConn(sc)
	sc.server.brokeAt = n.now
	n.endUnprovenSessions(sc)
	n.log.Debug("server connection closed", str("server", sc.server.id), str("why", errText(err)), num("open", len(sc.setups)))
	n.failProbe(sc, choice.Reset)
	for _, s := range slices.Clone(sc.setups) {
		if s.setupStart >= 0 && s.setupStart < written {
			n.tearDownUnanswered(s)
			n.setupEnded(s, choice.Reset, noReport)
			continue
		}
		n.detachSetup(s)
		n.guard.Unsent(s.id)
		s.history.add(n.now, stepResent, "")
		if s.resends++; s.resends > share.MaxResends {
			n.setupEnded(s, choice.Unsent, noReport)
			continue
		}
		n.dispatchSetup(s)
	}
	n.resendUndelivered(sc, n.now, written, errors.Is(err, io.EOF))
	n.removeServerIfGone(sc.server)
}

// resendUndelivered sends the messages about sessions that may not have arrived on a connection over another one. The connection
// ended, or began to be closed, at endedAt; orderly says that the server closed its side.
func (n *Node) resendUndelivered(sc *serverConn, endedAt float64, written int64, orderly bool) {
	for _, m := range sc.undelivered(endedAt, written, orderly) {
		n.resendToServer(sc.server, m)
	}
}

// closeServerConn closes a connection that is no longer useful; the SETUPs pending on it end with it.
func (n *Node) closeServerConn(sc *serverConn) {
	if sc.closed {
		return
	}
	n.removeServerConn(sc)
	n.endUnprovenSessions(sc)
	if sc.up {
		sc.closeGracefully()
	} else {
		sc.cancelDial()
	}
	n.failProbe(sc, choice.Reset)
	for _, s := range slices.Clone(sc.setups) {
		outcome := choice.Reset
		if !sc.up || s.setupStart < 0 {
			outcome = choice.Unsent
		}
		n.setupEnded(s, outcome, noReport)
	}
}
