package node

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"rainhaven/choice"
	"rainhaven/choice/limits"
	"rainhaven/choice/share"
	"rainhaven/internal/rtsp"
)

// pickServerConn gives the connection for a SETUP, nil where there is none.
func (n *Node) pickServerConn(sv *server) *serverConn {
	var links []*serverConn
	var list []share.ServerConn
	for _, l := range sv.conns {
		if !l.closed && !(l.up && l.isClosing()) {
			links = append(links, l)
			list = append(list, share.ServerConn{Up: l.up, Pending: len(l.setups), LastUsed: l.lastUsed})
		}
	}
	switch i := share.PickConn(list, n.maxConnsPerServer(), n.config.MaxSetupsPerConn); i {
	case share.OpenNew:
		l := n.dialServer(sv)
		if l == nil && len(links) > 0 { // no descriptor is left: the least loaded of its own
			l = slices.MinFunc(links, func(a, b *serverConn) int { return len(a.setups) - len(b.setups) })
		}
		return l
	case share.NoConn:
		return nil
	default:
		return links[i]
	}
}

func (n *Node) maxConnsPerServer() int {
	live := 0
	for _, sv := range n.servers {
		if sv.state != choice.Gone {
			live++
		}
	}
	return share.MaxConnsPerServer(n.config.MaxDescriptors, live)
}

// serverConnCount is how many connections to servers there are, and that are being opened.
func (n *Node) serverConnCount() (all int) {
	for _, sv := range n.servers {
		all += len(sv.conns)
	}
	return all
}

// reserveServerConn tells whether one more connection to a server may be opened; where they are many an idle one gives way.
func (n *Node) reserveServerConn() bool {
	if n.serverConnCount() < share.MaxServerConns(n.config.MaxDescriptors) {
		return true
	}
	var links []*serverConn
	var list []share.ServerConn
	for _, sv := range n.servers {
		for _, l := range sv.conns {
			if l.up && sv.probeConn != l && (len(sv.sessions) == 0 || len(sv.conns) > 1) {
				links, list = append(links, l), append(list, share.ServerConn{Up: true, Pending: len(l.setups), LastUsed: l.lastUsed})
			}
		}
	}
	if i := share.PickIdle(list); i >= 0 {
		n.closeServerConn(links[i])
		links[i].closeIfFlushed()
		return true
	}
	return false
}

// dialServer opens a connection; nil where no descriptor is left for it.
func (n *Node) dialServer(sv *server) *serverConn {
	if !n.reserveServerConn() {
		return nil
	}
	wait := n.config.ConnectTimeout
	if wait <= 0 {
		wait = limits.Defaults.ConnectTimeout
	}
	ctx, stop := context.WithTimeout(n.ctx, time.Duration(wait*float64(time.Second)))
	l := &serverConn{server: sv, lastUsed: n.now, cancelDial: stop}
	sv.conns = append(sv.conns, l)
	n.enforceClientLimit()
	n.wg.Add(1)
	go n.readServer(ctx, l, sv.addr)
	return l
}

// readServer opens a connection and hands the loop what the server sends, until it ends.
func (n *Node) readServer(ctx context.Context, l *serverConn, addr string) {
	defer n.wg.Done()
	nc, err := n.network.Dial(ctx, addr)
	l.cancelDial()
	if err != nil {
		n.post(event{do: func() { n.dialFailed(l, err) }})
		return
	}
	defer context.AfterFunc(n.ctx, func() { nc.Close() })() // the loop may be over before it hears of this connection
	c := newConn(nc, n.log)
	if !n.post(event{do: func() { l.conn = c; n.serverConnOpened(l) }}) {
		c.close()
		return
	}
	in := rtsp.NewConn(nc, messageBounds)
	for err == nil {
		if err = in.AwaitMessage(); err != nil {
			break
		}
		if !c.isClosing() {
			nc.SetReadDeadline(time.Now().Add(serverMessageTimeout))
		}
		var m *rtsp.Message
		if m, _, err = in.Next(); err == nil && (m == nil || in.OutOfSync()) {
			err = errTrailingData
		}
		if err == nil {
			if !c.isClosing() {
				nc.SetReadDeadline(time.Time{})
			}
			at := n.clock()
			if !n.post(event{do: func() { n.handleServerMessage(l, m, at) }}) {
				break
			}
		}
	}
	left := c.close()
	n.post(event{do: func() { n.serverConnClosed(l, left, err) }})
}

// errTrailingData ends a connection on which what follows a message is none.
var errTrailingData = errors.New("what follows a message is none")

// tearDownUnanswered has a server end what a SETUP may have set up there although its answer can't be had: it would stand unasked. A
// connection is opened for that if there is none.
func (n *Node) tearDownUnanswered(s *session) {
	n.sendToServer(s.server, teardownMessage(s.url, s.id, causeMoved))
}

// dialFailed takes it that a connection could not be opened: nothing ran.
func (n *Node) dialFailed(l *serverConn, err error) {
	sv := l.server
	n.removeServerConn(l)
	refused := errors.Is(err, syscall.ECONNREFUSED)
	n.log.Debug("no connection", str("server", sv.id), str("why", err.Error()))
	if isLocalError(err) {
		n.dialFailedLocally(l)
		return
	}
	n.failProbe(l, choice.NoConnection)
	for _, s := range slices.Clone(l.setups) {
		n.setupEnded(s, choice.NoConnection, noReport)
	}
	// Nothing listens there: the process is dead, and with it what stood there; unless another connection to it is up, as
	// a server that is full of connections refuses further ones.
	if refused && !slices.ContainsFunc(sv.conns, func(l *serverConn) bool { return l.up && !l.isClosing() }) {
		sv.pendingMessages = nil
		if len(sv.sessions) > 0 {
			n.serverLost(sv)
		}
	}
}

// dialFailedLocally takes it that the own machine had no connection to give: that speaks against no server, and what waited for
// it is tried again shortly, a few times within its deadline.
func (n *Node) dialFailedLocally(l *serverConn) {
	n.counts["no connection of the own machine"]++
	n.failProbe(l, choice.Unsent)
	for _, s := range slices.Clone(l.setups) {
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

func (n *Node) serverConnOpened(l *serverConn) {
	if l.closed {
		l.closeGracefully()
		return
	}
	// That a connection was taken is no sign of life: the system takes it for a process that hangs.
	l.up, l.lastUsed = true, n.now
	if l.probePending {
		l.probePending = false
		n.sendProbe(l)
	}
	owed := l.server.pendingMessages
	l.server.pendingMessages = nil
	for _, o := range owed {
		l.sendRetained(n.now, o.data)
	}
	for _, s := range slices.Clone(l.setups) {
		n.sendSetup(s, l)
	}
}

// removeServerConn takes a connection from its server's.
func (n *Node) removeServerConn(l *serverConn) {
	l.closed = true
	l.server.conns = slices.DeleteFunc(l.server.conns, func(o *serverConn) bool { return o == l })
}

// serverConnClosed takes the end of a connection, of which so many bytes left: SETUPs of which none did never ran, and
// are sent anew.
func (n *Node) serverConnClosed(l *serverConn, left int64, err error) {
	if l.closed {
		return
	}
	n.removeServerConn(l)
	n.log.Debug("connection to a server ended", str("server", l.server.id), str("why", errText(err)), num("open", len(l.setups)))
	n.failProbe(l, choice.Reset)
	for _, s := range slices.Clone(l.setups) {
		if s.setupStart >= 0 && s.setupStart < left {
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
	for _, b := range l.undelivered(n.now, left) {
		n.sendToServer(l.server, b)
	}
	n.removeServerIfGone(l.server)
}

// closeServerConn ends a connection that is of no more use; its other SETUPs end with it.
func (n *Node) closeServerConn(l *serverConn) {
	if l.closed {
		return
	}
	n.removeServerConn(l)
	if l.up {
		l.closeGracefully()
	} else {
		l.cancelDial()
	}
	n.failProbe(l, choice.Reset)
	for _, s := range slices.Clone(l.setups) {
		o := choice.Reset
		if !l.up || s.setupStart < 0 {
			o = choice.Unsent
		}
		n.setupEnded(s, o, noReport)
	}
}
