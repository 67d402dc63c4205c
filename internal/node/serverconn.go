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
func (n *Node) pickServerConn(sv *server) *link {
	var links []*link
	var candidates []share.ServerConn
	for _, l := range sv.conns {
		if !l.closed && !(l.up && l.isClosing()) {
			links = append(links, l)
			candidates = append(candidates, share.ServerConn{Up: l.up, Pending: len(l.open), LastUsed: l.used})
		}
	}
	switch i := share.PickConn(candidates, n.maxConnsPerServer(), n.start.MaxSetupsPerConn); i {
	case share.OpenNew:
		l := n.dialServer(sv)
		if l == nil && len(links) > 0 { // no descriptor is left: the least loaded of its own
			l = slices.MinFunc(links, func(a, b *link) int { return len(a.open) - len(b.open) })
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
	return share.MaxConnsPerServer(n.start.MaxDescriptors, live)
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
	if n.serverConnCount() < share.MaxServerConns(n.start.MaxDescriptors) {
		return true
	}
	var links []*link
	var list []share.ServerConn
	for _, sv := range n.servers {
		for _, l := range sv.conns {
			if l.up && sv.testOn != l && (len(sv.held) == 0 || len(sv.conns) > 1) {
				links, list = append(links, l), append(list, share.ServerConn{Up: true, Pending: len(l.open), LastUsed: l.used})
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
func (n *Node) dialServer(sv *server) *link {
	if !n.reserveServerConn() {
		return nil
	}
	timeout := n.start.ConnectTimeout
	if timeout <= 0 {
		timeout = limits.Defaults.ConnectTimeout
	}
	ctx, stop := context.WithTimeout(n.ctx, time.Duration(timeout*float64(time.Second)))
	l := &link{sv: sv, used: n.now, stop: stop}
	sv.conns = append(sv.conns, l)
	n.enforceClientLimit()
	n.wg.Add(1)
	go n.readServer(ctx, l, sv.addr)
	return l
}

// readServer opens a connection and hands the loop what the server sends, until it ends.
func (n *Node) readServer(ctx context.Context, l *link, addr string) {
	defer n.wg.Done()
	nc, err := n.network.Dial(ctx, addr)
	l.stop()
	if err != nil {
		n.tell(event{do: func() { n.dialFailed(l, err) }})
		return
	}
	defer context.AfterFunc(n.ctx, func() { nc.Close() })() // the loop may be over before it hears of this connection
	c := newConn(nc, n.log)
	if !n.tell(event{do: func() { l.conn = c; n.serverConnOpened(l) }}) {
		c.close()
		return
	}
	messages := rtsp.NewConn(nc, messageBounds)
	for err == nil {
		if err = messages.Await(); err != nil {
			break
		}
		if !c.isClosing() {
			nc.SetReadDeadline(time.Now().Add(serverMessageTimeout))
		}
		var m *rtsp.Message
		if m, _, err = messages.Next(); err == nil && (m == nil || messages.Astray()) {
			err = errTrailingData
		}
		if err == nil {
			if !c.isClosing() {
				nc.SetReadDeadline(time.Time{})
			}
			at := n.clock()
			if !n.tell(event{do: func() { n.heardServer(l, m, at) }}) {
				break
			}
		}
	}
	written := c.close()
	n.tell(event{do: func() { n.serverConnClosed(l, written, err) }})
}

// errTrailingData ends a connection on which what follows a message is none.
var errTrailingData = errors.New("what follows a message is none")

// tearDownUnanswered has a server end what a SETUP may have set up there although its answer can't be had: it would stand unasked. A
// connection is opened for that if there is none.
func (n *Node) tearDownUnanswered(s *session) {
	n.toServer(s.server, teardownMessage(s.url, s.id, causeMoved))
}

// dialFailed takes it that a connection could not be opened: nothing ran.
func (n *Node) dialFailed(l *link, err error) {
	sv := l.sv
	n.removeServerConn(l)
	refused := errors.Is(err, syscall.ECONNREFUSED)
	n.log.Debug("no connection", str("server", sv.id), str("why", err.Error()))
	if isLocalError(err) {
		n.dialFailedLocally(l)
		return
	}
	n.failTest(l, choice.NoConnection)
	for _, s := range slices.Clone(l.open) {
		n.setupOver(s, choice.NoConnection, noReport)
	}
	// Nothing listens there: the process is dead, and with it what stood there; unless another connection to it is up, as
	// a server that is full of connections refuses further ones.
	if refused && !slices.ContainsFunc(sv.conns, func(l *link) bool { return l.up && !l.isClosing() }) {
		sv.owed = nil
		if len(sv.held) > 0 {
			n.lost(sv)
		}
	}
}

// dialFailedLocally takes it that the own machine had no connection to give: that speaks against no server, and what waited for
// it is tried again shortly, a few times within its deadline.
func (n *Node) dialFailedLocally(l *link) {
	n.counts["no connection of the own machine"]++
	n.failTest(l, choice.Unsent)
	for _, s := range slices.Clone(l.open) {
		n.unlink(s)
		if s.local++; s.local > share.MaxLocalRetries {
			n.setupOver(s, choice.Unsent, noReport)
			continue
		}
		n.after(share.LocalRetryDelay, func() {
			if n.sessions[s.id] == s && s.state == attempting && s.on == nil {
				n.carry(s)
			}
		})
	}
}

func (n *Node) serverConnOpened(l *link) {
	if l.closed {
		l.closeGracefully()
		return
	}
	// That a connection was taken is no sign of life: the system takes it for a process that hangs.
	l.up, l.used = true, n.now
	if l.test {
		l.test = false
		n.sendTest(l)
	}
	owed := l.sv.owed
	l.sv.owed = nil
	for _, o := range owed {
		l.sendRetained(n.now, o.b)
	}
	for _, s := range slices.Clone(l.open) {
		n.sendSetup(s, l)
	}
}

// removeServerConn takes a connection from its server's.
func (n *Node) removeServerConn(l *link) {
	l.closed = true
	l.sv.conns = slices.DeleteFunc(l.sv.conns, func(o *link) bool { return o == l })
}

// serverConnClosed takes the end of a connection, of which so many bytes left: SETUPs of which none did never ran, and
// are sent anew.
func (n *Node) serverConnClosed(l *link, written int64, err error) {
	if l.closed {
		return
	}
	n.removeServerConn(l)
	n.log.Debug("connection to a server ended", str("server", l.sv.id), str("why", errText(err)), num("open", len(l.open)))
	n.failTest(l, choice.Reset)
	for _, s := range slices.Clone(l.open) {
		if s.from >= 0 && s.from < written {
			n.tearDownUnanswered(s)
			n.setupOver(s, choice.Reset, noReport)
			continue
		}
		n.unlink(s)
		n.guard.Unsent(s.id)
		s.history.note(n.now, stepResent, "")
		if s.resent++; s.resent > share.MaxResends {
			n.setupOver(s, choice.Unsent, noReport)
			continue
		}
		n.carry(s)
	}
	for _, b := range l.undelivered(n.now, written) {
		n.toServer(l.sv, b)
	}
	n.settleServer(l.sv)
}

// closeServerConn ends a connection that is of no more use; its other SETUPs end with it.
func (n *Node) closeServerConn(l *link) {
	if l.closed {
		return
	}
	n.removeServerConn(l)
	if l.up {
		l.closeGracefully()
	} else {
		l.stop()
	}
	n.failTest(l, choice.Reset)
	for _, s := range slices.Clone(l.open) {
		outcome := choice.Reset
		if !l.up || s.from < 0 {
			outcome = choice.Unsent
		}
		n.setupOver(s, outcome, noReport)
	}
}
