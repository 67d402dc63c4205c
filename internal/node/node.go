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

// sessionState is where a session stands between its client and its server.
type sessionState int

const (
	pending     sessionState = iota // the module holds it; an answer is owed
	attempting                      // a SETUP is out at a server, or waits for its connection; an answer is owed
	established                     // answered; its release is owed
)

// session is one from its SETUP to its end.
type session struct {
	clientSetup
	state                sessionState
	client               *client     // nil once its connection is gone
	server               *server     // of the SETUP that is out, or where it stands
	conn                 *serverConn // of the SETUP that is out
	setupStart, setupEnd int64       // where on it the SETUP begins and ends; below 0 where it is not written
	setupDeadline        float64     // the SETUP is waited for
	setupTimer           *timeout
	rung                 int
	answerEnd            int64          // where the answer ends on the client's connection
	resends              int            // how often its SETUP, of which nothing had left, went over a new connection
	establishedAt        float64        // when it was answered, or handed over
	earlyRelease         *serverRelease // its server's release, where that came before its answer
	localRetries         int            // how often the own machine had no connection for its SETUP
	history              history
}

// event is something for the loop to do.
type event struct{ do func() }

// Node is one front node.
type Node struct {
	config       *start.Start
	reloadConfig func() (*start.Start, error)
	log          *zap.Logger
	ctx          context.Context
	wg           sync.WaitGroup
	events       chan event

	network   Network
	trials    Trials
	front     *choice.Front
	guard     *invariant.Guard
	lifecycle *lifecycle.Machine
	startedAt time.Time
	epoch     float64 // the wall clock at began, in seconds
	now       float64
	wakeAt    float64 // the module's wake-up
	ready     bool
	exiting   bool

	sessions        map[string]*session         // emptied by final answers and ends
	servers         []*server                   // in the order of the list; emptied by settleServer
	serversByNumber map[choice.ServerID]*server // the same
	serversByID     map[string]*server          // the same
	abandonedSetups map[string]*server          // SETUPs given up, whose answer may still come; emptied by their timeouts
	unknownReleases map[string]bool             // releases of sessions not known (yet); emptied by their timeouts
	pendingReleases []pendingMessage            // releases without a client's connection; emptied by time
	clients         []*client
	clientSlots     *connSlots    // for clients' connections
	acceptDone      chan struct{} // closed once no further connection is accepted
	openRequests    int           // requests without their answers
	timeouts        timeoutHeap
	moduleEvents    []wire.Event         // for the next batch
	watches         []*coordinatorFollow // of the coordinators followed, newest last; emptied by the newest one's first word
	lastIndex       int64                // the coordinator's last event

	probeCount, malformedCount int
	maintainedAt               float64
	countsComparedAt           float64
	counts                     map[string]int // by what happened, for the log
}

// pendingMessage is a release that found no connection.
type pendingMessage struct {
	data      []byte
	expiresAt float64
}

const (
	// rememberSeconds is how long a given-up SETUP's answer is waited for, and an unknown release remembered.
	rememberSeconds = 10.0
	// maxRemembered is how many of each are kept; past it they are just dropped.
	maxRemembered = 2048
	// pendingSeconds is how long a release waits for a client's connection: it is owed within 8 s.
	pendingSeconds = 8.0
	// maintenanceInterval is how often servers are looked after and clients' connections swept.
	maintenanceInterval = 0.1
	// eventQueueSize is how many events may wait for the loop; readers wait beyond.
	eventQueueSize = 256
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
	Config             *start.Start
	ReloadConfig       func() (*start.Start, error) // the configuration file anew
	Log                *zap.Logger
	ReloadSignals      <-chan os.Signal // to read the configuration file again
	TerminationSignals <-chan os.Signal // to drain, then to cut
	// Network opens and accepts connections; the system's where it is nil.
	Network Network
	// Trials is how the node departs from the usual, for trials of whoever judges it.
	Trials Trials
	// Listener is used where it is given, in place of the address of Start.
	Listener  net.Listener
	onServing func(*Node) // for tests
}

// Run is a front node from its start to its exit.
func Run(o Options) (lifecycle.ExitCode, error) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{config: o.Config, reloadConfig: o.ReloadConfig, log: o.Log, ctx: ctx, events: make(chan event, eventQueueSize), startedAt: time.Now(),
		sessions: map[string]*session{}, serversByNumber: map[choice.ServerID]*server{}, serversByID: map[string]*server{}, abandonedSetups: map[string]*server{}, unknownReleases: map[string]bool{},
		counts: map[string]int{}, network: o.Network, trials: o.Trials,
		clientSlots: newConnSlots(share.MaxViewerConns(o.Config.MaxDescriptors, 0))}
	if n.network == nil {
		n.network = systemNetwork{}
	}
	n.epoch = float64(n.startedAt.Add(o.Trials.wallOffset()).UnixNano()) / 1e9
	o.Trials.alterConfig(o.Config)
	defer n.wg.Wait()
	defer cancel()
	n.updateClock()
	n.front = choice.New(n.now, o.Config.Config, actions{n})
	n.lastIndex = o.Config.LastIndex
	for _, e := range o.Config.InitialEvents {
		n.updateServers(e)
	}
	l := o.Listener
	if l == nil {
		var err error
		if l, err = n.listenWithRetry(o.Config.Listen, o.TerminationSignals); err != nil {
			return lifecycle.ExitAddressUnavailable, err
		}
	}
	defer l.Close()
	n.guard = invariant.New(n.retryBudget(), n.logViolation)
	n.lifecycle = lifecycle.New(n.now, share.DrainSeconds(n.config.SetupTimeout), lifecycleActions{n})
	n.reconcile()
	n.followCoordinator(o.Config.Coordinator)
	n.ready = true
	n.lifecycle.Started()
	n.acceptDone = make(chan struct{})
	n.wg.Add(1)
	go n.acceptClients(l)
	n.log.Info("serving", str("name", o.Config.Name), str("listen", o.Config.Listen), num("servers", len(n.servers)), num("groups", len(o.Config.Groups)))
	if o.onServing != nil {
		o.onServing(n)
	}
	n.loop(o.ReloadSignals, o.TerminationSignals)
	close(n.clientSlots.closed)
	l.Close()
	n.shutDown()
	n.log.Info("over", zap.Any("counts", n.counts))
	return 0, nil
}

// updateClock sets the clock: the wall's at the start, monotonic from then on.
func (n *Node) updateClock() { n.now = n.clock() }

// clock reads the node's clock; it is safe for concurrent use.
func (n *Node) clock() float64 { return n.epoch + time.Since(n.startedAt).Seconds() }

// post hands the loop an event; false once the node is over.
func (n *Node) post(e event) bool {
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
	for !n.exiting {
		next := n.maintainedAt + maintenanceInterval
		if n.wakeAt > 0 {
			next = min(next, n.wakeAt)
		}
		if len(n.timeouts) > 0 {
			next = min(next, n.timeouts[0].at)
		}
		n.updateClock()
		timer.Reset(time.Duration(max(next-n.now, 0) * float64(time.Second)))
		var e event
		select {
		case e = <-n.events:
		case <-hangups:
			e.do = func() { n.lifecycle.SetTime(n.now); n.lifecycle.RequestReload() }
		case sig := <-ends:
			if n.trials.ignoresTermination() {
				break
			}
			e.do = func() { n.lifecycle.SetTime(n.now); n.lifecycle.Terminate(sig.String()) }
		case <-timer.C:
		}
		n.updateClock()
		n.front.SetTime(n.now)
		for i := 0; e.do != nil; i++ {
			e.do()
			e.do = nil
			if i < eventQueueSize {
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
		if n.now >= n.maintainedAt+maintenanceInterval {
			n.maintainedAt = n.now
			n.checkServers()
			n.closeIdleClients()
			n.sendPendingReleases()
		}
		if n.wakeAt > 0 && n.now >= n.wakeAt {
			n.wakeAt = 0
			n.notifyModule(wire.Event{Kind: wire.TimerFired})
		}
		n.reconcile()
		n.logCountMismatches()
		n.lifecycle.SetTime(n.now)
		if len(n.sessions) == 0 {
			n.lifecycle.Drained()
		} else {
			n.lifecycle.Resumed()
		}
		n.lifecycle.Reconcile()
	}
}

// logCountMismatches logs, once a second, the servers at which the module's count of sessions differs from the node's, where debug is on.
func (n *Node) logCountMismatches() {
	if n.now-n.countsComparedAt < 1 || !n.log.Core().Enabled(zap.DebugLevel) {
		return
	}
	n.countsComparedAt = n.now
	for _, b := range n.front.ServerEstimates() {
		if sv := n.serversByNumber[b.Server]; sv != nil && b.Sessions != len(sv.sessions)+sv.pendingSetups() {
			n.log.Debug("counts", str("server", sv.id), num("module", b.Sessions), num("standing", len(sv.sessions)), num("out", sv.pendingSetups()), zap.Float64("load", b.Load), zap.Bool("aside", b.Ejected))
		}
	}
}

// notifyModule tells the module something.
func (n *Node) notifyModule(e wire.Event) { n.moduleEvents = append(n.moduleEvents, e) }

// reconcile feeds what the module has to hear, in order, and carries out what it wants, until nothing is left.
func (n *Node) reconcile() {
	n.front.SetTime(n.now)
	for range 64 { // acts bring about events at once at most a few times: a SETUP to each server left
		for i := 0; i < len(n.moduleEvents); i++ {
			n.moduleEvents[i].Dispatch(n.front)
		}
		n.moduleEvents = n.moduleEvents[:0]
		n.front.Reconcile()
		if len(n.moduleEvents) == 0 {
			return
		}
	}
}

// updateServers takes a change to the list of servers.
func (n *Node) updateServers(e feed.Event) {
	n.lastIndex = max(n.lastIndex, e.Index)
	ev := wire.Event{Kind: wire.ServerList, FullList: e.Endpoints.Reset}
	named := map[*server]bool{}
	n.moduleEvents = append(n.moduleEvents, ev)
	at := len(n.moduleEvents) - 1
	for _, i := range e.Endpoints.Instances {
		var sv *server
		if known := n.serversByID[i.ID]; known != nil {
			sv = known
		} else if i.State == "removed" {
			continue
		} else {
			sv = &server{id: i.ID, addr: i.Addr}
			sv.number = feed.AssignID(i.ID, func(x choice.ServerID) bool { return n.serversByNumber[x] != nil })
		}
		entry, err := n.config.Names.ToListing(sv.number, i)
		if err != nil {
			n.log.Warn("an entry of the list is passed over", str("why", err.Error()))
			continue
		}
		entry = n.trials.alterListing(entry)
		anew := sv.setListedStart(i.StartedAtMs)
		if anew {
			sv.startedAt = n.effectiveStart(i.StartedAtMs)
		}
		entry.StartedAt = sv.startedAt
		if n.serversByNumber[sv.number] == nil {
			n.servers = append(n.servers, sv)
			n.serversByNumber[sv.number] = sv
			n.serversByID[sv.id] = sv
		}
		named[sv] = true
		if i.Addr != "" && entry.State != choice.Gone {
			sv.addr = i.Addr
		}
		if anew {
			n.endSessionsBeforeRestart(sv, n.now-n.secondsSinceStart(i.StartedAtMs))
		}
		n.moduleEvents[at].Servers = append(n.moduleEvents[at].Servers, entry)
		n.log.Debug("listed", str("server", i.ID), str("state", i.State), num("cell", i.Cell))
		n.setServerState(sv, entry.State)
	}
	if e.Endpoints.Reset {
		for _, sv := range slices.Clone(n.servers) {
			if !named[sv] {
				n.setServerState(sv, choice.Gone)
			}
		}
	}
	for _, sv := range slices.Clone(n.servers) {
		n.removeServerIfGone(sv)
	}
}

// endSessionsBeforeRestart ends what stood at a server since before its process started: that process is another one, which knows
// nothing of it. Its connections may be the new process's, so nothing else tells.
func (n *Node) endSessionsBeforeRestart(sv *server, born float64) {
	for _, s := range slices.Clone(sv.sessions) {
		if s.establishedAt < born {
			n.endSession(s, choice.Reset, causeLost, noReport)
		}
	}
}

// setServerState takes a server's new state: what waits for a connection to one that is not ready any more was never sent.
func (n *Node) setServerState(sv *server, to choice.Lifecycle) {
	sv.state = to
	if to == choice.Ready {
		return
	}
	for _, l := range sv.conns {
		if l.up {
			continue
		}
		for _, s := range slices.Clone(l.setups) {
			n.setupEnded(s, choice.Unsent, noReport)
		}
	}
}

// probeSessionID names a test as sessions are named.
func probeSessionID(seed uint64, k int) string { return fmt.Sprintf("%016x", seed+uint64(k)) }
