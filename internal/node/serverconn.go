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

// take gives the connection for a SETUP, nil where there is none.
func (n *Node) take(sv *server) *serverConn {
	var links []*serverConn
	var list []share.ServerConn
	for _, l := range sv.conns {
		if !l.closed && !(l.up && l.isEnding()) {
			links = append(links, l)
			list = append(list, share.ServerConn{Up: l.up, Pending: len(l.setups), LastUsed: l.lastUsed})
		}
	}
	switch i := share.PickConn(list, n.perServer(), n.config.Streams); i {
	case share.OpenNew:
		l := n.dial(sv)
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

func (n *Node) perServer() int {
	live := 0
	for _, sv := range n.servers {
		if sv.state != choice.Gone {
			live++
		}
	}
	return share.MaxConnsPerServer(n.config.Sockets, live)
}

// links is how many connections to servers there are, and that are being opened.
func (n *Node) links() (all int) {
	for _, sv := range n.servers {
		all += len(sv.conns)
	}
	return all
}

// room tells whether one more connection to a server may be opened; where they are many an idle one gives way.
func (n *Node) room() bool {
	if n.links() < share.MaxServerConns(n.config.Sockets) {
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
		n.retire(links[i])
		links[i].drop()
		return true
	}
	return false
}

// dial opens a connection; nil where no descriptor is left for it.
func (n *Node) dial(sv *server) *serverConn {
	if !n.room() {
		return nil
	}
	wait := n.config.Connect
	if wait <= 0 {
		wait = limits.Defaults.ConnectTimeout
	}
	ctx, stop := context.WithTimeout(n.ctx, time.Duration(wait*float64(time.Second)))
	l := &serverConn{server: sv, lastUsed: n.now, cancelDial: stop}
	sv.conns = append(sv.conns, l)
	n.makeRoom()
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
		n.post(event{do: func() { n.notOpened(l, err) }})
		return
	}
	defer context.AfterFunc(n.ctx, func() { nc.Close() })() // the loop may be over before it hears of this connection
	c := newConn(nc, n.log)
	if !n.post(event{do: func() { l.conn = c; n.openedServer(l) }}) {
		c.close()
		return
	}
	in := rtsp.NewConn(nc, bounds)
	for err == nil {
		if err = in.Await(); err != nil {
			break
		}
		if !c.isEnding() {
			nc.SetReadDeadline(time.Now().Add(whole))
		}
		var m *rtsp.Message
		if m, _, err = in.Next(); err == nil && (m == nil || in.Astray()) {
			err = errAstray
		}
		if err == nil {
			if !c.isEnding() {
				nc.SetReadDeadline(time.Time{})
			}
			at := n.clock()
			if !n.post(event{do: func() { n.handleServerMessage(l, m, at) }}) {
				break
			}
		}
	}
	left := c.close()
	n.post(event{do: func() { n.closedServer(l, left, err) }})
}

// errAstray ends a connection on which what follows a message is none.
var errAstray = errors.New("what follows a message is none")

// disown has a server end what a SETUP may have set up there although its answer can't be had: it would stand unasked. A
// connection is opened for that if there is none.
func (n *Node) disown(s *session) {
	n.sendToServer(s.server, tearDown(s.url, s.id, causeMoved))
}

// notOpened takes it that a connection could not be opened: nothing ran.
func (n *Node) notOpened(l *serverConn, err error) {
	sv := l.server
	n.drop(l)
	refused := errors.Is(err, syscall.ECONNREFUSED)
	n.log.Debug("no connection", str("server", sv.id), str("why", err.Error()))
	if isLocal(err) {
		n.notOpenedHere(l)
		return
	}
	n.failProbe(l, choice.NoConnection)
	for _, s := range slices.Clone(l.setups) {
		n.setupEnded(s, choice.NoConnection, noReport)
	}
	// Nothing listens there: the process is dead, and with it what stood there; unless another connection to it is up, as
	// a server that is full of connections refuses further ones.
	if refused && !slices.ContainsFunc(sv.conns, func(l *serverConn) bool { return l.up && !l.isEnding() }) {
		sv.pendingMessages = nil
		if len(sv.sessions) > 0 {
			n.serverLost(sv)
		}
	}
}

// notOpenedHere takes it that the own machine had no connection to give: that speaks against no server, and what waited for
// it is tried again shortly, a few times within its deadline.
func (n *Node) notOpenedHere(l *serverConn) {
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

func (n *Node) openedServer(l *serverConn) {
	if l.closed {
		l.end()
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
		l.sendKept(n.now, o.data)
	}
	for _, s := range slices.Clone(l.setups) {
		n.sendSetup(s, l)
	}
}

// drop takes a connection from its server's.
func (n *Node) drop(l *serverConn) {
	l.closed = true
	l.server.conns = slices.DeleteFunc(l.server.conns, func(o *serverConn) bool { return o == l })
}

// closedServer takes the end of a connection, of which so many bytes left: SETUPs of which none did never ran, and
// are sent anew.
func (n *Node) closedServer(l *serverConn, left int64, err error) {
	if l.closed {
		return
	}
	n.drop(l)
	n.log.Debug("connection to a server ended", str("server", l.server.id), str("why", errText(err)), num("open", len(l.setups)))
	n.failProbe(l, choice.Reset)
	for _, s := range slices.Clone(l.setups) {
		if s.setupStart >= 0 && s.setupStart < left {
			n.disown(s)
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
	for _, b := range l.unsure(n.now, left) {
		n.sendToServer(l.server, b)
	}
	n.removeServerIfGone(l.server)
}

// retire ends a connection that is of no more use; its other SETUPs end with it.
func (n *Node) retire(l *serverConn) {
	if l.closed {
		return
	}
	n.drop(l)
	if l.up {
		l.end()
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
