// Package node is the platform's front node: it carries out the module's decisions on the platform's protocol, viewers
// on one side, servers and the coordinator on the other.
//
// One goroutine owns the module and all tables; others read, write and dial, and hand it what happened over one bounded
// queue. What waits there is taken as one batch and settled once, as the simulator's host does. The table of messages is
// in docs/node.md.
package node

import (
	"container/heap"
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"rainhaven/choice"
	"rainhaven/choice/account"
	"rainhaven/choice/lifecycle"
	"rainhaven/choice/share"
	"rainhaven/internal/node/feed"
	"rainhaven/internal/node/start"
	"rainhaven/internal/rtsp"
	"rainhaven/internal/wire"
)

// state is where a session stands between its viewer and its server.
type state int

const (
	asked    state = iota // the module holds it; an answer is owed
	out                   // a SETUP is out at a server, or waits for its connection; an answer is owed
	standing              // answered; its release is owed
)

// sess is a session from its SETUP to its end.
type sess struct {
	ask
	state    state
	viewer   *viewer // nil once its connection is gone
	server   *server // of the SETUP that is out, or where it stands
	on       *link   // of the SETUP that is out
	from     int64   // where on it the SETUP begins; below 0 where it is not written
	until    float64 // the SETUP is waited for
	waiting  *alarm
	rung     int
	answered int64 // where the answer ends on the viewer's connection
}

// event is something for the loop to do.
type event struct{ do func() }

// Node is one front node.
type Node struct {
	start  *start.Start
	reread func() (*start.Start, error)
	log    *zap.Logger
	ctx    context.Context
	wg     sync.WaitGroup
	events chan event

	front *choice.Front
	life  *lifecycle.Life
	began time.Time
	now   float64
	due   float64 // the module's wake-up
	ready bool
	over  bool

	sess    map[string]*sess            // emptied by final answers and ends
	servers []*server                   // in the order of the list; emptied by settleServer
	numbers map[choice.ServerID]*server // the same
	past    map[string]*server          // SETUPs given up, whose answer may still come; emptied by their alarms
	early   map[string]bool             // releases of sessions not known (yet); emptied by their alarms
	owed    []owed                      // releases without a viewer's connection; emptied by time
	viewers []*viewer
	open    int // requests without their answers
	alarms  alarms
	later   []wire.Event // for the next batch
	index   int64        // the coordinator's last event
	follow  context.CancelFunc

	tests, wrongs int
	looked        float64
	compared      float64
	counts        map[string]int // by what happened, for the log
}

// owed is a release that found no connection.
type owed struct {
	b     []byte
	until float64
}

const (
	// keepPast is how long a given-up SETUP's answer is waited for, and an unknown release remembered.
	keepPast = 10.0
	// mostPast is how many of each are kept; past it they are just dropped.
	mostPast = 2048
	// keepOwed is how long a release waits for a viewer's connection: it is owed within 8 s.
	keepOwed = 8.0
	// pace is how often servers are looked after and viewers' connections swept.
	pace = 0.1
	// flush is how long answers that are queued at the exit may take to leave.
	flush = 100 * time.Millisecond
	// queue is how many events may wait for the loop; readers wait beyond.
	queue = 256
)

var noReport = choice.Report{Link: -1, Uplink: -1}

func str(k, v string) zap.Field     { return zap.String(k, v) }
func num(k string, v int) zap.Field { return zap.Int(k, v) }

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Options is what a node is run with.
type Options struct {
	Start   *start.Start
	Reread  func() (*start.Start, error) // the configuration file anew
	Log     *zap.Logger
	Signals <-chan os.Signal
	// Listener is used where it is given, in place of the address of Start.
	Listener net.Listener
	serving  func(*Node) // for tests
}

// Run is a front node from its start to its exit.
func Run(o Options) (lifecycle.Code, error) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{start: o.Start, reread: o.Reread, log: o.Log, ctx: ctx, events: make(chan event, queue), began: time.Now(),
		sess: map[string]*sess{}, numbers: map[choice.ServerID]*server{}, past: map[string]*server{}, early: map[string]bool{},
		counts: map[string]int{}}
	defer n.wg.Wait()
	defer cancel()
	n.tick()
	n.front = choice.New(n.now, o.Start.Figures, acts{n})
	n.index = o.Start.Index
	for _, e := range o.Start.Known {
		n.listed(e)
	}
	l := o.Listener
	if l == nil {
		var err error
		if l, err = net.Listen("tcp", o.Start.Listen); err != nil {
			return lifecycle.Address, err
		}
	}
	defer func() {
		l.Close()
		for _, v := range n.viewers {
			v.end()
		}
		late := time.After(flush)
		for _, v := range n.viewers {
			select {
			case <-v.ended:
			case <-late:
				late = nil
			}
			v.nc.Close()
		}
	}()
	n.life = lifecycle.New(n.now, share.Drain(n.start.SetupTimeout), orders{n})
	n.settle()
	n.followFeed(o.Start.Coordinator)
	n.ready = true
	n.life.Up()
	n.wg.Add(1)
	go n.accept(l)
	n.log.Info("serving", str("name", o.Start.Name), str("listen", o.Start.Listen), num("servers", len(n.servers)), num("groups", len(o.Start.Groups)))
	if o.serving != nil {
		o.serving(n)
	}
	n.loop(o.Signals)
	n.log.Info("over", zap.Any("counts", n.counts))
	return 0, nil
}

// tick sets the clock: that of the wall at the start, monotonic from then on.
func (n *Node) tick() {
	n.now = float64(n.began.UnixNano())/1e9 + time.Since(n.began).Seconds()
}

// tell hands the loop an event; false once the node is over.
func (n *Node) tell(e event) bool {
	select {
	case n.events <- e:
		return true
	case <-n.ctx.Done():
		return false
	}
}

func (n *Node) loop(signals <-chan os.Signal) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !n.over {
		next := n.looked + pace
		if n.due > 0 {
			next = min(next, n.due)
		}
		if len(n.alarms) > 0 {
			next = min(next, n.alarms[0].at)
		}
		n.tick()
		timer.Reset(time.Duration(max(next-n.now, 0) * float64(time.Second)))
		var e event
		select {
		case e = <-n.events:
		case sig := <-signals:
			e.do = func() { n.signal(sig) }
		case <-timer.C:
		}
		n.tick()
		n.front.At(n.now)
		for i := 0; e.do != nil; i++ {
			e.do()
			e.do = nil
			if i < queue {
				select {
				case e = <-n.events:
				default:
				}
			}
		}
		for len(n.alarms) > 0 && n.alarms[0].at <= n.now {
			a := heap.Pop(&n.alarms).(*alarm)
			a.do()
		}
		if n.now >= n.looked+pace {
			n.looked = n.now
			n.look()
			n.sweep()
			n.pay()
		}
		if n.due > 0 && n.now >= n.due {
			n.due = 0
			n.feed(wire.Event{Kind: wire.Due})
		}
		n.settle()
		n.compare()
		n.life.At(n.now)
		if len(n.sess) == 0 {
			n.life.Drained()
		} else {
			n.life.Resumed()
		}
		n.life.Settle()
	}
}

// compare logs, once a second, what the module counts at each server beside what the node has there, where debug is on.
func (n *Node) compare() {
	if n.now-n.compared < 1 || !n.log.Core().Enabled(zap.DebugLevel) {
		return
	}
	n.compared = n.now
	for _, b := range n.front.Beliefs() {
		if sv := n.numbers[b.Server]; sv != nil {
			n.log.Debug("counts", str("server", sv.id), num("module", b.Sessions), num("standing", len(sv.held)), num("out", sv.out()), zap.Float64("load", b.Load), zap.Bool("aside", b.Aside))
		}
	}
}

func (n *Node) signal(sig os.Signal) {
	n.life.At(n.now)
	if sig == syscall.SIGHUP {
		n.life.Hangup()
		return
	}
	n.life.Terminate(sig.String())
}

// feed tells the module something.
func (n *Node) feed(e wire.Event) { n.later = append(n.later, e) }

// settle feeds what the module has to hear, in order, and carries out what it wants, until nothing is left.
func (n *Node) settle() {
	n.front.At(n.now)
	for range 64 { // acts bring about events at once at most a few times: a SETUP to each server left
		for i := 0; i < len(n.later); i++ {
			n.later[i].Feed(n.front)
		}
		n.later = n.later[:0]
		n.front.Settle()
		if len(n.later) == 0 {
			return
		}
	}
}

// listed takes a change to the list of servers.
func (n *Node) listed(e feed.Event) {
	n.index = max(n.index, e.Index)
	ev := wire.Event{Kind: wire.Directory, Whole: e.Endpoints.Reset}
	named := map[*server]bool{}
	n.later = append(n.later, ev)
	at := len(n.later) - 1
	for _, i := range e.Endpoints.Instances {
		var sv *server
		if k := slices.IndexFunc(n.servers, func(s *server) bool { return s.id == i.ID }); k >= 0 {
			sv = n.servers[k]
		} else if i.State == "removed" {
			continue
		} else {
			sv = &server{id: i.ID, addr: i.Addr}
			sv.number = feed.Number(i.ID, func(x choice.ServerID) bool { return n.numbers[x] != nil })
		}
		entry, err := n.start.Names.Listing(sv.number, i)
		if err != nil {
			n.log.Warn("an entry of the list is passed over", str("why", err.Error()))
			continue
		}
		if n.numbers[sv.number] == nil {
			n.servers = append(n.servers, sv)
			n.numbers[sv.number] = sv
		}
		named[sv] = true
		if i.Addr != "" && entry.State != choice.Gone {
			sv.addr = i.Addr
		}
		n.later[at].List = append(n.later[at].List, entry)
		n.log.Debug("listed", str("server", i.ID), str("state", i.State), num("cell", i.Cell))
		n.moved(sv, entry.State)
	}
	if e.Endpoints.Reset {
		for _, sv := range slices.Clone(n.servers) {
			if !named[sv] {
				n.moved(sv, choice.Gone)
			}
		}
	}
	for _, sv := range slices.Clone(n.servers) {
		n.settleServer(sv)
	}
}

// moved takes a server's new state: what waits for a connection to one that is not ready any more was never sent.
func (n *Node) moved(sv *server, to choice.Lifecycle) {
	sv.state = to
	if to == choice.Ready {
		return
	}
	for _, l := range sv.conns {
		if l.up {
			continue
		}
		for _, s := range slices.Clone(l.open) {
			n.setupOver(s, choice.Unsent, noReport)
		}
	}
}

// ask takes a new session to the module.
func (n *Node) ask(v *viewer, a ask) {
	s := &sess{ask: a, viewer: v, rung: n.start.Figures.Groups[a.group].Floor, from: -1}
	s.request.SetupTimeout = n.now + max(a.patience-share.Margin, 0)
	n.sess[s.id] = s
	v.held = append(v.held, s)
	v.Open++
	n.open++
	n.counts["asked"]++
	n.log.Debug("asked", str("sess", s.id), str("class", s.class), num("home", s.request.StartCell), num("copies", s.request.Span), zap.Float64("patience", s.patience))
	n.feed(wire.Event{Kind: wire.Ask, Request: s.request})
}

// handed takes a session that stands already. It wants no answer.
func (n *Node) handed(v *viewer, a ask) {
	if n.sess[a.id] != nil {
		return
	}
	k := slices.IndexFunc(n.servers, func(s *server) bool { return s.id == a.at })
	if k < 0 || n.early[a.id] {
		delete(n.early, a.id)
		v.send(tearDown(a.url, a.id, causeCut))
		return
	}
	s := &sess{ask: a, viewer: v, state: standing, server: n.servers[k], rung: n.start.Figures.Groups[a.group].Floor}
	n.sess[s.id] = s
	v.held = append(v.held, s)
	v.Standing++
	v.proven = true
	s.server.held = append(s.server.held, s)
	n.counts["handed"]++
	n.feed(wire.Event{Kind: wire.Handed, Request: s.request, Server: s.server.number})
}

// carry takes a session's SETUP to a connection.
func (n *Node) carry(s *sess) {
	l := n.take(s.server)
	if l == nil {
		n.setupOver(s, choice.Unsent, noReport)
		return
	}
	s.on, s.from = l, -1
	l.open = append(l.open, s)
	if l.up {
		n.sendSetup(s, l)
	}
}

// unlink takes a SETUP off its connection.
func (n *Node) unlink(s *sess) {
	if s.on != nil {
		s.on.open = slices.DeleteFunc(s.on.open, func(o *sess) bool { return o == s })
		s.on.used = n.now
		s.on = nil
	}
}

// setupOver ends a SETUP that is out.
func (n *Node) setupOver(s *sess, o choice.Outcome, r choice.Report) {
	sv := s.server
	n.log.Debug("setup over", str("sess", s.id), str("server", sv.id), num("outcome", int(o)))
	n.counts[fmt.Sprintf("outcome %d", o)]++
	n.unlink(s)
	n.cancel(s.waiting)
	s.state, s.server, s.waiting = asked, nil, nil
	n.feed(wire.Event{Kind: wire.Ended, Request: choice.Request{ID: choice.SessID(s.id)}, Server: sv.number, Outcome: o, Report: r})
	n.settleServer(sv)
}

// withdraw tells a server that a SETUP is given up. Its connection is of no more use where it was silent.
func (n *Node) withdraw(s *sess, silent bool) {
	l := s.on
	if l == nil || !l.up || s.from < 0 {
		return
	}
	l.send(tearDown(s.url, s.id, 0))
	if len(n.past) < mostPast {
		id, sv := s.id, s.server
		n.past[id] = sv
		n.after(keepPast, func() {
			if n.past[id] == sv {
				delete(n.past, id)
			}
		})
	}
	if silent && len(l.open) == 1 {
		n.unlink(s)
		n.retire(l)
	}
}

// timedOut ends a SETUP that was waited for long enough.
func (n *Node) timedOut(s *sess) {
	o := choice.TimedOut
	if s.on == nil || !s.on.up || s.from < 0 {
		o = choice.NoConnection // not a byte of it left
	}
	s.waiting = nil
	n.withdraw(s, true)
	n.setupOver(s, o, noReport)
}

// giveUp takes it that the viewer has given up its SETUP: nothing is owed.
func (n *Node) giveUp(s *sess) {
	was, sv := s.state, s.server
	if was == out {
		n.withdraw(s, false)
		n.unlink(s)
	}
	n.counts["given up"]++
	n.forget(s)
	n.feed(wire.Event{Kind: wire.Left, Request: choice.Request{ID: choice.SessID(s.id)}})
	if was == out {
		n.feed(wire.Event{Kind: wire.Ended, Request: choice.Request{ID: choice.SessID(s.id)}, Server: sv.number, Outcome: choice.Cancelled, Final: true, Report: noReport})
		n.settleServer(sv)
	}
}

// forget takes a session from all tables.
func (n *Node) forget(s *sess) {
	n.cancel(s.waiting)
	s.waiting = nil
	n.unlink(s)
	if v := s.viewer; v != nil {
		v.held = slices.DeleteFunc(v.held, func(o *sess) bool { return o == s })
		if s.state == standing {
			v.Standing--
		} else {
			v.Open--
		}
		v.used = n.now
	}
	if s.state != standing {
		n.open--
	} else if s.server != nil {
		s.server.held = slices.DeleteFunc(s.server.held, func(o *sess) bool { return o == s })
	}
	delete(n.sess, s.id)
}

// stands takes a server's good answer and gives it to the viewer.
func (n *Node) stands(s *sess, m *rtsp.Message) {
	n.unlink(s)
	n.cancel(s.waiting)
	s.waiting, s.state = nil, standing
	n.open--
	s.server.held = append(s.server.held, s)
	n.counts["served"]++
	n.feed(wire.Event{Kind: wire.Playing, Request: choice.Request{ID: choice.SessID(s.id)}, Server: s.server.number})
	v := s.viewer
	v.Open--
	v.Standing++
	v.proven = true
	_, s.answered = v.send(served(s.id, m.Body))
	s.body = nil
}

// ended ends a session that stood, and releases its viewer.
func (n *Node) ended(s *sess, o choice.Outcome, cause int, r choice.Report) {
	sv := s.server
	v := s.viewer
	n.counts[fmt.Sprintf("ended %d", o)]++
	n.forget(s)
	n.feed(wire.Event{Kind: wire.Ended, Request: choice.Request{ID: choice.SessID(s.id)}, Server: sv.number, Outcome: o, Final: true, Report: r})
	if cause != causeMoved {
		n.release(v, tearDown(s.url, s.id, cause))
	}
	n.settleServer(sv)
}

// release sends a viewer its session's end: on its own connection, else on any that served a session.
func (n *Node) release(v *viewer, b []byte) {
	if v != nil && !v.closed {
		if from, _ := v.send(b); from >= 0 {
			return
		}
	}
	for i := len(n.viewers) - 1; i >= 0; i-- {
		if o := n.viewers[i]; o.proven && !o.isEnding() {
			if from, _ := o.send(b); from >= 0 {
				return
			}
		}
	}
	if len(n.owed) < mostPast {
		n.owed = append(n.owed, owed{b, n.now + keepOwed})
	}
}

// pay sends the releases that found no connection before.
func (n *Node) pay() {
	list := n.owed
	n.owed = nil
	for _, o := range list {
		if n.now < o.until {
			had := len(n.owed)
			n.release(nil, o.b)
			if len(n.owed) > had {
				n.owed[had].until = o.until
			}
		}
	}
}

// viewerLeft ends a session that stood because its viewer has, or is gone.
func (n *Node) viewerLeft(s *sess) {
	n.toServer(s.server, tearDown(s.url, s.id, causeMoved))
	n.feed(wire.Event{Kind: wire.Left, Request: choice.Request{ID: choice.SessID(s.id)}})
	n.ended(s, choice.Cancelled, causeMoved, noReport)
}

// released takes a server's release.
func (n *Node) released(sv *server, s *sess, id string, m *rtsp.Message) {
	switch {
	case s == nil:
		if validID(id) && n.sess[id] == nil && len(n.early) < mostPast {
			n.early[id] = true
			n.after(keepPast, func() { delete(n.early, id) })
		}
	case s.state == out:
		n.setupOver(s, choice.Reset, readReport(m))
	case s.state == standing:
		switch c := cause(m); c {
		case causeOver:
			n.ended(s, choice.Served, c, readReport(m))
		case causeMoved:
			n.ended(s, choice.Cancelled, c, readReport(m))
		default:
			n.ended(s, choice.Reset, causeCut, readReport(m))
		}
	}
}

func (n *Node) followFeed(addr string) {
	if n.follow != nil {
		n.follow()
	}
	ctx, stop := context.WithCancel(n.ctx)
	n.follow = stop
	last := n.index
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		feed.Follow(ctx, addr, last, func(e feed.Event) bool {
			return n.tell(event{do: func() {
				if e.Index > n.index { // one told by the coordinator before may still have waited here
					n.listed(e)
				}
			}})
		}, func(err error) { n.log.Debug("the coordinator's connection ended", str("why", errText(err))) })
	}()
}

// testID names a test as sessions are named.
func testID(seed uint64, k int) string { return fmt.Sprintf("%016x", seed+uint64(k)) }

// orders carries out what the life cycle decides.
type orders struct{ n *Node }

// Reload reads the configuration file; a coordinator that it names anew is followed from where the last one was.
func (o orders) Reload() {
	n := o.n
	s, err := n.reread()
	if err == nil && s.Coordinator == "" {
		err = fmt.Errorf("no coordinator")
	}
	if err != nil {
		n.log.Warn("the configuration file can't be used; the old one stays in force", str("why", err.Error()))
		n.life.Reloaded(err.Error())
		return
	}
	n.log.Info("read the configuration file again", str("coordinator", s.Coordinator))
	n.start.Coordinator = s.Coordinator
	n.followFeed(s.Coordinator)
	n.life.Reloaded("")
}

// Drain has tests fail; requests are still taken.
func (o orders) Drain() { o.n.ready = false }

// Cut ends it.
func (o orders) Cut() { o.n.life.Ended() }

func (o orders) Exit(code lifecycle.Code, why string) {
	o.n.over = true
	o.n.log.Info("exit", num("code", int(code)), str("why", why))
}

// acts carries out what the module decides.
type acts struct{ n *Node }

func (a acts) Rung(id choice.SessID, rung int) {
	s := a.n.sess[string(id)]
	if s == nil {
		return
	}
	s.rung = rung
	if s.state == standing {
		a.n.counts["rungs"]++
		a.n.toServer(s.server, newRung(s))
	}
}

func (a acts) Setup(id choice.SessID, number choice.ServerID, wait float64) {
	n := a.n
	s, sv := n.sess[string(id)], n.numbers[number]
	if s == nil {
		return
	}
	if sv == nil {
		n.feed(wire.Event{Kind: wire.Ended, Request: choice.Request{ID: id}, Server: number, Outcome: choice.Unsent, Report: noReport})
		return
	}
	n.log.Debug("setup", str("sess", s.id), str("server", sv.id), num("rung", s.rung), zap.Float64("wait", wait))
	s.state, s.server, s.until = out, sv, n.now+wait
	s.waiting = n.after(wait, func() { n.timedOut(s) })
	n.carry(s)
}

func (a acts) BusyReply(id choice.SessID, comeBack float64) {
	a.final(id, rtsp.ServiceUnavailable, comeBack)
}

func (a acts) TearDown(id choice.SessID) { a.final(id, rtsp.InternalError, 0) }

func (a acts) final(id choice.SessID, status int, comeBack float64) {
	n := a.n
	s := n.sess[string(id)]
	if s == nil {
		return
	}
	n.counts[fmt.Sprintf("answer %d", status)]++
	if n.log.Core().Enabled(zap.DebugLevel) {
		act := account.Busy
		if status == rtsp.InternalError {
			act = account.TornDown
		}
		st, _ := n.front.Standing(id)
		why := account.Say([]account.Entry{{At: n.now, Sess: id, Act: act, Seconds: comeBack, Standing: st, Holders: len(st.Holders)}})
		n.log.Debug("refused", str("sess", s.id), num("status", status), zap.Strings("why", why))
	}
	v := s.viewer
	n.forget(s)
	if v != nil {
		v.send(refusal(s.id, status, comeBack))
	}
}

func (a acts) Probe(number choice.ServerID) {
	n := a.n
	if sv := n.numbers[number]; sv != nil {
		n.counts["probes"]++
		n.probe(sv)
		return
	}
	n.feed(wire.Event{Kind: wire.Probed, Server: number, Outcome: choice.NoConnection, Report: noReport})
}

// Tell does nothing: the platform gives fronts no way to find each other.
func (a acts) Tell(int, []byte) {}

func (a acts) Wake(after float64) { a.n.due = a.n.now + after }

// alarm is something to do at an instant, unless it is cancelled.
type alarm struct {
	at float64
	i  int // its place; below 0 once it is out
	do func()
}

type alarms []*alarm

func (h alarms) Len() int           { return len(h) }
func (h alarms) Less(i, j int) bool { return h[i].at < h[j].at }
func (h alarms) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].i, h[j].i = i, j
}
func (h *alarms) Push(x any) {
	a := x.(*alarm)
	a.i = len(*h)
	*h = append(*h, a)
}
func (h *alarms) Pop() any {
	old := *h
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	a.i = -1
	return a
}

func (n *Node) after(seconds float64, do func()) *alarm {
	a := &alarm{at: n.now + seconds, do: do}
	heap.Push(&n.alarms, a)
	return a
}

func (n *Node) cancel(a *alarm) {
	if a != nil && a.i >= 0 {
		heap.Remove(&n.alarms, a.i)
	}
}
