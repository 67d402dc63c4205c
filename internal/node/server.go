package node

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"

	"rainhaven/choice"
	"rainhaven/choice/hearing"
	"rainhaven/choice/limits"
	"rainhaven/choice/share"
	"rainhaven/choice/vigil"
	"rainhaven/internal/rtsp"
	"rainhaven/internal/wire"
)

// server is one streaming server, by its id. It goes once it is gone from the list and nothing stands there.
type server struct {
	id      string
	number  choice.ServerID
	addr    string
	state   choice.Lifecycle
	told    float64 // its start as the list last told it: Unix milliseconds, 0 is long ago
	born    float64 // counts as started then; 0 is long ago
	conns   []*link // emptied as they end
	held    []*sess // standing there; emptied as they end
	watch   vigil.Watch
	tested  string // the test that is out; empty is none
	testOn  *link
	tests   int    // counts tests, for their names
	testing *alarm // its time-out
	owed    []owed // what belongs to sessions that stood and found no connection; emptied by the next one and by time
}

// link is one connection to a server, or one that is being opened.
type link struct {
	*conn
	sv     *server
	up     bool
	closed bool
	used   float64
	open   []*sess // SETUPs out on it, or waiting for it to open; emptied by outcomes
	test   bool    // a test waits for it to open
	stop   context.CancelFunc
}

// out is how many SETUPs are out there, or wait for their connections.
func (sv *server) out() (k int) {
	for _, l := range sv.conns {
		k += len(l.open)
	}
	return k
}

// take gives the connection for a SETUP, nil where there is none.
func (n *Node) take(sv *server) *link {
	var links []*link
	var list []share.Carrying
	for _, l := range sv.conns {
		if !l.closed && !(l.up && l.isEnding()) {
			links = append(links, l)
			list = append(list, share.Carrying{Up: l.up, Open: len(l.open), Used: l.used})
		}
	}
	switch i := share.Carry(list, n.perServer(), n.start.Streams); i {
	case share.New:
		l := n.dial(sv)
		if l == nil && len(links) > 0 { // no descriptor is left: the least loaded of its own
			l = slices.MinFunc(links, func(a, b *link) int { return len(a.open) - len(b.open) })
		}
		return l
	case share.None:
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
	return share.PerServer(n.start.Sockets, live)
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
	if n.links() < share.Servers(n.start.Sockets) {
		return true
	}
	var links []*link
	var list []share.Carrying
	for _, sv := range n.servers {
		for _, l := range sv.conns {
			if l.up && sv.testOn != l && (len(sv.held) == 0 || len(sv.conns) > 1) {
				links, list = append(links, l), append(list, share.Carrying{Up: true, Open: len(l.open), Used: l.used})
			}
		}
	}
	if i := share.Yield(list); i >= 0 {
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
		wait = limits.Usual.ConnectTimeout
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
			if !n.tell(event{do: func() { n.heardServer(l, m) }}) {
				break
			}
		}
	}
	left := c.close()
	n.tell(event{do: func() { n.closedServer(l, left, err) }})
}

// errAstray ends a connection on which what follows a message is none.
var errAstray = errors.New("what follows a message is none")

// disown has a server end what a SETUP may have set up there although its answer can't be had: it would stand unasked. Where
// the answer was spoilt the server lives and surely holds it, so a connection is opened for that if there is none.
func (n *Node) disown(s *sess, spoilt bool) {
	b := tearDown(s.url, s.id, causeMoved)
	if spoilt {
		n.toServer(s.server, b)
	} else {
		n.say(s.server, b)
	}
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
	if refused && len(sv.held) > 0 && !slices.ContainsFunc(sv.conns, func(l *link) bool { return l.up && !l.isEnding() }) {
		n.lost(sv)
	}
}

// notOpenedHere takes it that the own machine had no connection to give: that speaks against no server, and what waited for
// it is tried again shortly, a few times within its deadline.
func (n *Node) notOpenedHere(l *link) {
	n.counts["no connection of the own machine"]++
	n.failTest(l, choice.Unsent)
	for _, s := range slices.Clone(l.open) {
		n.unlink(s)
		if s.local++; s.local > share.LocalTries {
			n.setupOver(s, choice.Unsent, noReport)
			continue
		}
		n.after(share.LocalPause, func() {
			if n.sess[s.id] == s && s.state == out && s.on == nil {
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

// sendSetup writes a SETUP to a connection that is open.
func (n *Node) sendSetup(s *sess, l *link) {
	wait := s.until - n.now
	if !n.guard.Send(n.now, s.id, wait, s.server.state == choice.Ready) {
		n.setupOver(s, choice.Unsent, noReport)
		return
	}
	if n.sabotage == SabotageDeadline {
		wait += longerDeadline
	}
	s.from, s.to = l.send(setup(s, wait))
	l.used = n.now
	n.copyElsewhere(s)
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
	var bad *rtsp.MalformedError
	spoilt := errors.As(err, &bad) || errors.Is(err, errAstray)
	for _, s := range slices.Clone(l.open) {
		if s.from >= 0 && s.from < left {
			n.disown(s, spoilt)
			n.setupOver(s, choice.Reset, noReport)
			continue
		}
		n.unlink(s)
		n.guard.Unsent(s.id)
		if s.resent++; s.resent > share.Resent {
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

// heardServer takes one message of a server's.
func (n *Node) heardServer(l *link, m *rtsp.Message) {
	n.traceReceived(l.conn, m)
	sv := l.sv
	if l.closed {
		n.late(sv, l, m)
		return
	}
	sv.watch.Heard(n.now)
	id := m.Session()
	s := n.sess[id]
	if s != nil && s.server != sv {
		s = nil
	}
	switch {
	case m.Method == rtsp.TearDown:
		l.send(response(m, rtsp.OK))
		n.released(sv, s, id, m)
	case m.Method == rtsp.Announce && s != nil:
		n.noted(sv, s, m)
	case m.Method == rtsp.Options:
		l.send(response(m, rtsp.OK))
	case m.IsRequest() || m.Status < 200:
	case sv.tested != "" && id == sv.tested:
		if n.log.Core().Enabled(zap.DebugLevel) {
			n.log.Debug("tested", str("server", sv.id), str("report", m.Header.Get(fieldState)))
		}
		o := choice.Served
		if m.Status != rtsp.OK {
			o = choice.ServerError
		}
		n.tellTest(sv, o, readReport(m))
	case m.Header.Get("Cseq") == seqTearDown || m.Header.Get("Cseq") == seqOptions:
	case s != nil && s.state == out && s.on == l:
		n.setupAnswered(s, m)
	case s == nil:
		n.late(sv, l, m)
	}
}

// late tears down at its server what a SETUP given up has set up after all.
func (n *Node) late(sv *server, l *link, m *rtsp.Message) {
	if m.Status == rtsp.OK && n.past[m.Session()] == sv {
		delete(n.past, m.Session())
		b := tearDown(root, m.Session(), causeMoved)
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
		if l.up && l.sendKept(n.now, b) {
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
		n.dial(sv)
	}
}

// setupAnswered takes a server's final answer to a SETUP.
func (n *Node) setupAnswered(s *sess, m *rtsp.Message) {
	switch {
	case m.Status == rtsp.OK && len(m.Body) > 0:
		n.stands(s, m)
	case m.Status == rtsp.OK: // an answer without a description is spoilt
		l := s.on
		n.disown(s, true)
		n.retire(l)
	case m.Status == rtsp.NotEnoughBandwidth:
		n.setupOver(s, choice.Full, readReport(m))
	case m.Status == rtsp.SessionNotFound:
		n.setupOver(s, choice.Unsent, readReport(m))
	case m.Status == rtsp.GatewayTimeout:
		n.setupOver(s, choice.Reset, noReport)
	default:
		n.setupOver(s, choice.ServerError, readReport(m))
	}
}

// noted takes a note on a session that stands.
func (n *Node) noted(sv *server, s *sess, m *rtsp.Message) {
	x, err := strconv.ParseFloat(m.Header.Get(fieldFigure), 64)
	kind := noteKinds[m.Header.Get(fieldNote)]
	if err != nil || hearing.Report(x, -1, false).Link < 0 || kind == wire.Ignored || s.state != standing {
		return
	}
	if kind == wire.InForce && int(x) >= len(n.start.Figures.Ladder) {
		return
	}
	n.log.Debug("note", str("server", sv.id), str("kind", m.Header.Get(fieldNote)), str("figure", m.Header.Get(fieldFigure)))
	n.feed(wire.Event{Kind: kind, Request: choice.Request{ID: choice.SessID(s.id)}, Server: sv.number, Value: x})
}

// probe tests a server: once at a time, whoever wants it.
func (n *Node) probe(sv *server) {
	if sv.tested != "" {
		return
	}
	sv.tests++
	n.tests++
	sv.tested = testID(n.start.Figures.Seed, n.tests)
	sv.testing = n.after(limits.Usual.ProbeTimeout, func() { n.tellTest(sv, choice.TimedOut, noReport) })
	for _, l := range sv.conns {
		if l.up && !l.isEnding() && (sv.testOn == nil || len(l.open) < len(sv.testOn.open)) {
			sv.testOn = l
		}
	}
	if sv.testOn != nil {
		n.sendTest(sv.testOn)
		return
	}
	for _, l := range sv.conns {
		if !l.up {
			sv.testOn = l
		}
	}
	if sv.testOn == nil {
		sv.testOn = n.dial(sv)
	}
	if sv.testOn == nil { // no descriptor is left: its time-out ends the test
		return
	}
	sv.testOn.test = true
}

func (n *Node) sendTest(l *link) {
	if l.sv.testOn == l && l.sv.tested != "" {
		l.send(test(l.sv.tested))
		l.used = n.now
	}
}

func (n *Node) failTest(l *link, o choice.Outcome) {
	if l.sv.testOn == l && l.sv.tested != "" {
		n.tellTest(l.sv, o, noReport)
	}
}

// tellTest ends a test; the module hears of it whoever wanted it.
func (n *Node) tellTest(sv *server, o choice.Outcome, r choice.Report) {
	if sv.tested == "" {
		return
	}
	on := sv.testOn
	n.cancel(sv.testing)
	sv.tested, sv.testOn, sv.testing = "", nil, nil
	n.feed(wire.Event{Kind: wire.Probed, Server: sv.number, Outcome: o, Report: r})
	// Without an answer in its time the connection is of no more use; a SETUP on it may still be answered.
	if o == choice.TimedOut && on != nil && len(on.open) == 0 {
		n.retire(on)
	}
	n.settleServer(sv)
}

// look keeps watch over servers where sessions stand, and closes connections that have long been idle.
func (n *Node) look() {
	for _, sv := range slices.Clone(n.servers) {
		up, opening := 0, false
		for _, l := range slices.Clone(sv.conns) {
			if l.up && len(l.open) == 0 && sv.testOn != l && share.Stale(n.now, l.used, n.start.Idle) {
				n.retire(l)
				continue
			}
			if l.up {
				up++
			} else {
				opening = true
			}
		}
		sv.owed = slices.DeleteFunc(sv.owed, func(o owed) bool { return n.now >= o.until })
		if len(sv.held) == 0 && len(sv.owed) == 0 {
			sv.watch = vigil.Watch{}
			n.settleServer(sv)
			continue
		}
		do := sv.watch.Look(n.now, up, opening)
		if sv.state == choice.Gone && up == 0 {
			do = vigil.Do{Lost: true} // its address may be another's by now
		}
		switch {
		case do.Lost:
			n.lost(sv)
		case do.Connect:
			n.dial(sv)
		case do.Test:
			n.probe(sv)
		}
	}
}

// lost ends what stood at a server that is dead, or counts as dead.
func (n *Node) lost(sv *server) {
	n.log.Info("sessions lost with their server", str("server", sv.id), num("sessions", len(sv.held)))
	for _, s := range slices.Clone(sv.held) {
		n.say(sv, tearDown(s.url, s.id, causeCut))
		n.ended(s, choice.Reset, causeCut, noReport)
	}
	for _, l := range slices.Clone(sv.conns) {
		if len(l.open) == 0 {
			n.retire(l)
		}
	}
	sv.watch, sv.owed = vigil.Watch{}, nil
	n.settleServer(sv)
}

// settleServer forgets a server that is gone once nothing of it is left.
func (n *Node) settleServer(sv *server) {
	if sv.state != choice.Gone || len(sv.held) > 0 || sv.tested != "" {
		return
	}
	for _, l := range slices.Clone(sv.conns) {
		if len(l.open) == 0 && !(l.up && l.isEnding()) {
			n.retire(l)
		}
	}
	if len(sv.conns) == 0 && n.numbers[sv.number] == sv {
		delete(n.numbers, sv.number)
		delete(n.byID, sv.id)
		n.servers = slices.DeleteFunc(n.servers, func(o *server) bool { return o == sv })
	}
}
