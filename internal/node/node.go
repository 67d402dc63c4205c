// Package node is the platform's front node: it carries out the module's decisions on the platform's protocol, clients
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
	"time"

	"go.uber.org/zap"

	"rainhaven/choice"
	"rainhaven/choice/lifecycle"
	"rainhaven/choice/share"
	"rainhaven/internal/invariant"
	"rainhaven/internal/node/feed"
	"rainhaven/internal/node/start"
	"rainhaven/internal/wire"
)

// state is where a session stands between its client and its server.
type state int

const (
	pending     state = iota // the module holds it; an answer is owed
	attempting               // a SETUP is out at a server, or waits for its connection; an answer is owed
	established              // answered; its release is owed
)

// session is one from its SETUP to its end.
type session struct {
	clientSetup
	state    state
	client   *client // nil once its connection is gone
	server   *server // of the SETUP that is out, or where it stands
	on       *link   // of the SETUP that is out
	from, to int64   // where on it the SETUP begins and ends; below 0 where it is not written
	until    float64 // the SETUP is waited for
	waiting  *timeout
	rung     int
	answered int64    // where the answer ends on the client's connection
	resent   int      // how often its SETUP, of which nothing had left, went over a new connection
	since    float64  // when it was answered, or handed over
	release  *release // its server's release, where that came before its answer
	local    int      // how often the own machine had no connection for its SETUP
	history  history
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

	network Network
	trials  Trials
	front   *choice.Front
	guard   *invariant.Guard
	life    *lifecycle.Machine
	began   time.Time
	epoch   float64 // the wall clock at began, in seconds
	now     float64
	due     float64 // the module's wake-up
	ready   bool
	over    bool

	sessions  map[string]*session         // emptied by final answers and ends
	servers   []*server                   // in the order of the list; emptied by settleServer
	numbers   map[choice.ServerID]*server // the same
	byID      map[string]*server          // the same
	past      map[string]*server          // SETUPs given up, whose answer may still come; emptied by their timeouts
	early     map[string]bool             // releases of sessions not known (yet); emptied by their timeouts
	owed      []owed                      // releases without a client's connection; emptied by time
	clients   []*client
	places    *connSlots    // for clients' connections
	accepting chan struct{} // closed once no further connection is accepted
	open      int           // requests without their answers
	timeouts  timeoutHeap
	later     []wire.Event         // for the next batch
	watches   []*coordinatorFollow // of the coordinators followed, newest last; emptied by the newest one's first word
	index     int64                // the coordinator's last event

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
	// keepOwed is how long a release waits for a client's connection: it is owed within 8 s.
	keepOwed = 8.0
	// pace is how often servers are looked after and clients' connections swept.
	pace = 0.1
	// queue is how many events may wait for the loop; readers wait beyond.
	queue = 256
)

var noReport = choice.LoadReport{Link: -1, Uplink: -1}

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
	Hangups <-chan os.Signal // to read the configuration file again
	Ends    <-chan os.Signal // to drain, then to cut
	// Network opens and accepts connections; the system's where it is nil.
	Network Network
	// Trials is how the node departs from the usual, for trials of whoever judges it.
	Trials Trials
	// Listener is used where it is given, in place of the address of Start.
	Listener net.Listener
	serving  func(*Node) // for tests
}

// Run is a front node from its start to its exit.
func Run(o Options) (lifecycle.ExitCode, error) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{start: o.Start, reread: o.Reread, log: o.Log, ctx: ctx, events: make(chan event, queue), began: time.Now(),
		sessions: map[string]*session{}, numbers: map[choice.ServerID]*server{}, byID: map[string]*server{}, past: map[string]*server{}, early: map[string]bool{},
		counts: map[string]int{}, network: o.Network, trials: o.Trials,
		places: newConnSlots(share.MaxViewerConns(o.Start.MaxDescriptors, 0))}
	if n.network == nil {
		n.network = systemNetwork{}
	}
	n.epoch = float64(n.began.Add(o.Trials.wallOffset()).UnixNano()) / 1e9
	o.Trials.prepare(o.Start)
	defer n.wg.Wait()
	defer cancel()
	n.tick()
	n.front = choice.New(n.now, o.Start.Config, acts{n})
	n.index = o.Start.LastIndex
	for _, e := range o.Start.InitialEvents {
		n.listed(e)
	}
	l := o.Listener
	if l == nil {
		var err error
		if l, err = n.listenWithRetry(o.Start.Listen, o.Ends); err != nil {
			return lifecycle.ExitAddressUnavailable, err
		}
	}
	defer l.Close()
	n.guard = invariant.New(n.budget(), n.violated)
	n.life = lifecycle.New(n.now, share.DrainSeconds(n.start.SetupTimeout), lifecycleActions{n})
	n.settle()
	n.followCoordinator(o.Start.Coordinator)
	n.ready = true
	n.life.Started()
	n.accepting = make(chan struct{})
	n.wg.Add(1)
	go n.acceptClients(l)
	n.log.Info("serving", str("name", o.Start.Name), str("listen", o.Start.Listen), num("servers", len(n.servers)), num("groups", len(o.Start.Groups)))
	if o.serving != nil {
		o.serving(n)
	}
	n.loop(o.Hangups, o.Ends)
	close(n.places.closed)
	l.Close()
	n.finish()
	n.log.Info("over", zap.Any("counts", n.counts))
	return 0, nil
}

// tick sets the clock: the wall's at the start, monotonic from then on.
func (n *Node) tick() { n.now = n.clock() }

// clock reads the node's clock; it is safe for concurrent use.
func (n *Node) clock() float64 { return n.epoch + time.Since(n.began).Seconds() }

// tell hands the loop an event; false once the node is over.
func (n *Node) tell(e event) bool {
	select {
	case n.events <- e:
		return true
	case <-n.ctx.Done():
		return false
	}
}

func (n *Node) loop(hangups, ends <-chan os.Signal) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !n.over {
		next := n.looked + pace
		if n.due > 0 {
			next = min(next, n.due)
		}
		if len(n.timeouts) > 0 {
			next = min(next, n.timeouts[0].at)
		}
		n.tick()
		timer.Reset(time.Duration(max(next-n.now, 0) * float64(time.Second)))
		var e event
		select {
		case e = <-n.events:
		case <-hangups:
			e.do = func() { n.life.SetTime(n.now); n.life.RequestReload() }
		case sig := <-ends:
			if n.trials.deaf() {
				break
			}
			e.do = func() { n.life.SetTime(n.now); n.life.Terminate(sig.String()) }
		case <-timer.C:
		}
		n.tick()
		n.front.SetTime(n.now)
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
		for len(n.timeouts) > 0 && n.timeouts[0].at <= n.now {
			a := heap.Pop(&n.timeouts).(*timeout)
			a.do()
		}
		if n.now >= n.looked+pace {
			n.looked = n.now
			n.look()
			n.closeIdleClients()
			n.pay()
		}
		if n.due > 0 && n.now >= n.due {
			n.due = 0
			n.feed(wire.Event{Kind: wire.TimerFired})
		}
		n.settle()
		n.compare()
		n.life.SetTime(n.now)
		if len(n.sessions) == 0 {
			n.life.Drained()
		} else {
			n.life.Resumed()
		}
		n.life.Reconcile()
	}
}

// compare logs, once a second, the servers at which the module's count of sessions differs from the node's, where debug is on.
func (n *Node) compare() {
	if n.now-n.compared < 1 || !n.log.Core().Enabled(zap.DebugLevel) {
		return
	}
	n.compared = n.now
	for _, b := range n.front.ServerEstimates() {
		if sv := n.numbers[b.Server]; sv != nil && b.Sessions != len(sv.held)+sv.out() {
			n.log.Debug("counts", str("server", sv.id), num("module", b.Sessions), num("standing", len(sv.held)), num("out", sv.out()), zap.Float64("load", b.Load), zap.Bool("aside", b.Ejected))
		}
	}
}

// feed tells the module something.
func (n *Node) feed(e wire.Event) { n.later = append(n.later, e) }

// settle feeds what the module has to hear, in order, and carries out what it wants, until nothing is left.
func (n *Node) settle() {
	n.front.SetTime(n.now)
	for range 64 { // acts bring about events at once at most a few times: a SETUP to each server left
		for i := 0; i < len(n.later); i++ {
			n.later[i].Dispatch(n.front)
		}
		n.later = n.later[:0]
		n.front.Reconcile()
		if len(n.later) == 0 {
			return
		}
	}
}

// listed takes a change to the list of servers.
func (n *Node) listed(e feed.Event) {
	n.index = max(n.index, e.Index)
	ev := wire.Event{Kind: wire.ServerList, FullList: e.Endpoints.Reset}
	named := map[*server]bool{}
	n.later = append(n.later, ev)
	at := len(n.later) - 1
	for _, i := range e.Endpoints.Instances {
		var sv *server
		if known := n.byID[i.ID]; known != nil {
			sv = known
		} else if i.State == "removed" {
			continue
		} else {
			sv = &server{id: i.ID, addr: i.Addr}
			sv.number = feed.AssignID(i.ID, func(x choice.ServerID) bool { return n.numbers[x] != nil })
		}
		entry, err := n.start.Names.ToListing(sv.number, i)
		if err != nil {
			n.log.Warn("an entry of the list is passed over", str("why", err.Error()))
			continue
		}
		entry = n.trials.entry(entry)
		anew := sv.startTold(i.StartedAtMs)
		if anew {
			sv.born = n.started(i.StartedAtMs)
		}
		entry.StartedAt = sv.born
		if n.numbers[sv.number] == nil {
			n.servers = append(n.servers, sv)
			n.numbers[sv.number] = sv
			n.byID[sv.id] = sv
		}
		named[sv] = true
		if i.Addr != "" && entry.State != choice.Gone {
			sv.addr = i.Addr
		}
		if anew {
			n.startedAnew(sv, n.now-n.sinceStart(i.StartedAtMs))
		}
		n.later[at].Servers = append(n.later[at].Servers, entry)
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

// startedAnew ends what stood at a server since before its process started: that process is another one, which knows
// nothing of it. Its connections may be the new process's, so nothing else tells.
func (n *Node) startedAnew(sv *server, born float64) {
	for _, s := range slices.Clone(sv.held) {
		if s.since < born {
			n.ended(s, choice.Reset, causeLost, noReport)
		}
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

// testID names a test as sessions are named.
func testID(seed uint64, k int) string { return fmt.Sprintf("%016x", seed+uint64(k)) }
