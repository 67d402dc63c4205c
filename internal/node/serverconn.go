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
func (n *Node) take(sv *server) *link {
	var links []*link
	var list []share.ServerConn
	for _, l := range sv.conns {
		if !l.closed && !(l.up && l.isEnding()) {
			links = append(links, l)
			list = append(list, share.ServerConn{Up: l.up, Pending: len(l.open), LastUsed: l.used})
		}
	}
	switch i := share.PickConn(list, n.perServer(), n.start.Streams); i {
	case share.OpenNew:
		l := n.dial(sv)
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

func (n *Node) perServer() int {
	live := 0
	for _, sv := range n.servers {
		if sv.state != choice.Gone {
			live++
		}
	}
	return share.MaxConnsPerServer(n.start.Sockets, live)
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
	if n.links() < share.MaxServerConns(n.start.Sockets) {
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
		n.retire(links[i])
		links[i].drop()
		return true
	}
	return false
}

// dial opens a connection; nil where no descriptor is left for it.
func (n *Node) dial(sv *server) *link {
	if !n.room() {
		return nil
	}
	wait := n.start.Connect
	if wait <= 0 {
		wait = limits.Defaults.ConnectTimeout
	}
	ctx, stop := context.WithTimeout(n.ctx, time.Duration(wait*float64(time.Second)))
	l := &link{sv: sv, used: n.now, stop: stop}
	sv.conns = append(sv.conns, l)
	n.makeRoom()
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
		n.tell(event{do: func() { n.notOpened(l, err) }})
		return
	}
	defer context.AfterFunc(n.ctx, func() { nc.Close() })() // the loop may be over before it hears of this connection
	c := newConn(nc, n.log)
	if !n.tell(event{do: func() { l.conn = c; n.openedServer(l) }}) {
		c.close()
		return
	}
	in := rtsp.NewConn(nc, bounds)
	for err == nil {
		if err = in.AwaitMessage(); err != nil {
			break
		}
		if !c.isEnding() {
			nc.SetReadDeadline(time.Now().Add(whole))
		}
		var m *rtsp.Message
		if m, _, err = in.Next(); err == nil && (m == nil || in.OutOfSync()) {
			err = errAstray
		}
		if err == nil {
			if !c.isEnding() {
				nc.SetReadDeadline(time.Time{})
			}
			at := n.clock()
			if !n.tell(event{do: func() { n.heardServer(l, m, at) }}) {
				break
			}
		}
	}
	left := c.close()
	n.tell(event{do: func() { n.closedServer(l, left, err) }})
}

// errAstray ends a connection on which what follows a message is none.
var errAstray = errors.New("what follows a message is none")

// disown has a server end what a SETUP may have set up there although its answer can't be had: it would stand unasked. A
// connection is opened for that if there is none.
func (n *Node) disown(s *session) {
	n.toServer(s.server, tearDown(s.url, s.id, causeMoved))
}

// notOpened takes it that a connection could not be opened: nothing ran.
func (n *Node) notOpened(l *link, err error) {
	sv := l.sv
	n.drop(l)
	refused := errors.Is(err, syscall.ECONNREFUSED)
	n.log.Debug("no connection", str("server", sv.id), str("why", err.Error()))
	if isLocal(err) {
		n.notOpenedHere(l)
		return
	}
	n.failTest(l, choice.NoConnection)
	for _, s := range slices.Clone(l.open) {
		n.setupOver(s, choice.NoConnection, noReport)
	}
	// Nothing listens there: the process is dead, and with it what stood there; unless another connection to it is up, as
	// a server that is full of connections refuses further ones.
	if refused && !slices.ContainsFunc(sv.conns, func(l *link) bool { return l.up && !l.isEnding() }) {
		sv.owed = nil
		if len(sv.held) > 0 {
			n.lost(sv)
		}
	}
}

// notOpenedHere takes it that the own machine had no connection to give: that speaks against no server, and what waited for
// it is tried again shortly, a few times within its deadline.
func (n *Node) notOpenedHere(l *link) {
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

func (n *Node) openedServer(l *link) {
	if l.closed {
		l.end()
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
		l.sendKept(n.now, o.b)
	}
	for _, s := range slices.Clone(l.open) {
		n.sendSetup(s, l)
	}
}

// drop takes a connection from its server's.
func (n *Node) drop(l *link) {
	l.closed = true
	l.sv.conns = slices.DeleteFunc(l.sv.conns, func(o *link) bool { return o == l })
}

// closedServer takes the end of a connection, of which so many bytes left: SETUPs of which none did never ran, and
// are sent anew.
func (n *Node) closedServer(l *link, left int64, err error) {
	if l.closed {
		return
	}
	n.drop(l)
	n.log.Debug("connection to a server ended", str("server", l.sv.id), str("why", errText(err)), num("open", len(l.open)))
	n.failTest(l, choice.Reset)
	for _, s := range slices.Clone(l.open) {
		if s.from >= 0 && s.from < left {
			n.disown(s)
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
	for _, b := range l.unsure(n.now, left) {
		n.toServer(l.sv, b)
	}
	n.settleServer(l.sv)
}

// retire ends a connection that is of no more use; its other SETUPs end with it.
func (n *Node) retire(l *link) {
	if l.closed {
		return
	}
	n.drop(l)
	if l.up {
		l.end()
	} else {
		l.stop()
	}
	n.failTest(l, choice.Reset)
	for _, s := range slices.Clone(l.open) {
		o := choice.Reset
		if !l.up || s.from < 0 {
			o = choice.Unsent
		}
		n.setupOver(s, o, noReport)
	}
}
