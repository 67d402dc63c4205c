// Package node implements the platform's front node. It carries out the decisions of package choice (the module) over the
// platform's protocol, between clients on one side and servers and the coordinator on the other.
//
// One goroutine, the event loop, owns the module and all tables. Other goroutines read, write and dial, and post events to
// the loop over one bounded queue. The loop takes all queued events as one batch and reconciles once per batch, as the
// simulator's host does. docs/node.md lists the messages.
//
// Variables have the same names throughout: n is the node, cl a client's connection, s a session, sv a server, sc a
// connection to a server and m a message.
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

// sessionState is the stage that a session has reached.
type sessionState int

const (
	pending     sessionState = iota // no SETUP is in flight; the final answer is due
	attempting                      // a SETUP is in flight, or waits for its connection; the final answer is due
	established                     // answered; its release is due
)

// session is a client's session, from its SETUP to its end.
type session struct {
	clientSetup
	state                sessionState
	client               *client     // nil once its connection has closed
	namedOn              *client     // the connection on which it was named last as established, if client is another one; else nil
	server               *server     // of the SETUP in flight, or of the established session
	conn                 *serverConn // of the SETUP in flight
	setupStart, setupEnd int64       // byte offsets of the SETUP in all that conn sends; below 0 if it was not queued
	setupDeadline        float64     // when the SETUP times out, on the node's clock
	setupTimer           *timeout
	rung                 int
	answerEnd            int64          // byte offset at which the answer ends on the client's connection
	resends              int            // how often its SETUP moved to a new connection, before any byte of it was sent
	establishedAt        float64        // when it was answered, or handed over to this node
	setUpOn              *serverConn    // the connection that brought the answer; nil if it was handed over
	earlyRelease         *serverRelease // its server's release, if that arrived before the answer
	mayHaveRun           bool           // a SETUP of it may have run at a server
	localRetries         int            // how often this machine had no connection for its SETUP
	history              history
}

// event is work for the event loop.
type event struct{ do func() }

// Node is a front node.
type Node struct {
	config       *start.Config
	reloadConfig func() (*start.Config, error)
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
	epoch     float64 // wall clock at startedAt, in seconds
	now       float64 // the node's clock, in seconds
	wakeAt    float64 // when the module wants TimerFired; 0 is never
	ready     bool    // serves and does not drain
	exiting   bool    // the loop ends

	sessions        map[string]*session         // by id; removed at their final refusal or end
	servers         []*server                   // in the order of the list; removed by removeServerIfGone
	serversByNumber map[choice.ServerID]*server // removed with servers
	serversByID     map[string]*server          // removed with servers
	abandonedSetups map[abandonedSetup]bool     // SETUPs ended unanswered; removed after rememberSeconds
	endedSessions   endedSessions
	ranIDs          ranIDs
	pendingReleases []*pendingRelease // at most maxPendingReleases; dropped when they expire
	clients         []*client
	clientSlots     *connSlots    // bounds the client connections
	acceptDone      chan struct{} // closed when the accept loop ends
	openRequests    int           // requests without their final answer
	timeouts        timeoutHeap
	moduleEvents    []wire.Event           // for the module, at the next reconcile
	coordinators    []*followedCoordinator // those followed, newest last; older ones are removed when the newest sends its first message
	lastIndex       int64                  // of the last event of the list that was applied

	probeCount, malformedCount int
	maintainedAt               float64
	countsComparedAt           float64
	counts                     map[string]int // occurrences by kind, logged at the exit
}

// pendingMessage is a message about a session that waits for a connection to be sent on.
type pendingMessage struct {
	sessionMessage
	expiresAt float64
}

const (
	// rememberSeconds is how long unanswered SETUPs are remembered, whose answer may still arrive.
	rememberSeconds = 10.0
	// maxRemembered bounds each of these tables and each list of pending messages; what exceeds it is dropped.
	maxRemembered = 2048
	// pendingSeconds is how long a message to a server waits for a connection, and a release for a better one than that on which
	// it was sent.
	pendingSeconds = 8.0
	// maintenanceInterval is how often servers are checked and idle client connections closed, in seconds.
	maintenanceInterval = 0.1
	// eventQueueSize is how many events may wait for the loop; readers block while it is full.
	eventQueueSize = 256
)

// noReport is a load report that states no load.
var noReport = choice.LoadReport{Link: -1, Uplink: -1}

func str(k, v string) zap.Field     { return zap.String(k, v) }
func num(k string, v int) zap.Field { return zap.Int(k, v) }

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Options configures a node.
type Options struct {
	Config             *start.Config
	ReloadConfig       func() (*start.Config, error) // reads the configuration file again
	Log                *zap.Logger
	ReloadSignals      <-chan os.Signal // reload the configuration
	TerminationSignals <-chan os.Signal // the first starts the drain, the second ends all sessions
	// Network opens and accepts connections; nil is the system's network.
	Network Network
	// Trials alters the node's behaviour, to test the checks that judge its traffic.
	Trials Trials
	// Listener replaces the address of Config, unless it is nil.
	Listener  net.Listener
	onServing func(*Node) // called when the node serves; for tests
}

// newNode returns a node that has not started. ctx ends its goroutines.
func newNode(ctx context.Context, o Options) *Node {
	n := &Node{
		config:          o.Config,
		reloadConfig:    o.ReloadConfig,
		log:             o.Log,
		ctx:             ctx,
		events:          make(chan event, eventQueueSize),
		network:         o.Network,
		trials:          o.Trials,
		startedAt:       time.Now(),
		sessions:        map[string]*session{},
		serversByNumber: map[choice.ServerID]*server{},
		serversByID:     map[string]*server{},
		abandonedSetups: map[abandonedSetup]bool{},
		endedSessions:   newEndedSessions(),
		ranIDs:          newRanIDs(),
		clientSlots:     newConnSlots(share.MaxViewerConns(o.Config.MaxDescriptors, 0)),
		counts:          map[string]int{},
	}
	if n.network == nil {
		n.network = systemNetwork{}
	}
	n.epoch = float64(n.startedAt.Add(o.Trials.wallOffset()).UnixNano()) / 1e9
	return n
}

// Run runs a front node until its exit.
func Run(o Options) (lifecycle.ExitCode, error) {
	ctx, cancel := context.WithCancel(context.Background())
	n := newNode(ctx, o)
	o.Trials.alterConfig(o.Config)
	defer n.wg.Wait()
	defer cancel()
	n.updateClock()
	n.front = choice.New(n.now, o.Config.Choice, actions{n})
	n.lastIndex = o.Config.LastIndex
	for _, e := range o.Config.InitialEvents {
		n.updateServers(e)
	}
	listener := o.Listener
	if listener == nil {
		var err error
		if listener, err = n.listenWithRetry(o.Config.Listen, o.TerminationSignals); err != nil {
			return lifecycle.ExitAddressUnavailable, err
		}
	}
	defer listener.Close()
	n.guard = invariant.New(n.retryBudget(), n.logViolation)
	n.lifecycle = lifecycle.New(n.now, share.DrainSeconds(n.config.SetupTimeout), lifecycleActions{n})
	n.reconcile()
	n.followCoordinator(o.Config.Coordinator)
	n.ready = true
	n.lifecycle.Started()
	n.acceptDone = make(chan struct{})
	n.wg.Add(1)
	go n.acceptClients(listener)
	n.log.Info("serving", str("name", o.Config.Name), str("listen", o.Config.Listen), num("servers", len(n.servers)), num("groups", len(o.Config.Groups)))
	if o.onServing != nil {
		o.onServing(n)
	}
	n.loop(o.ReloadSignals, o.TerminationSignals)
	close(n.clientSlots.closed)
	listener.Close()
	n.shutDown()
	n.log.Info("node stopped", zap.Any("counts", n.counts))
	return 0, nil
}

// updateClock sets now: the wall clock at the start plus the monotonic time since.
func (n *Node) updateClock() { n.now = n.clock() }

// clock reads the node's clock; it is safe for concurrent use.
func (n *Node) clock() float64 { return n.epoch + time.Since(n.startedAt).Seconds() }

// post queues an event for the loop; false once the node has stopped.
func (n *Node) post(e event) bool {
	select {
	case n.events <- e:
		return true
	case <-n.ctx.Done():
		return false
	}
}

// loop runs the event loop until the exit.
func (n *Node) loop(reloads, terminations <-chan os.Signal) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !n.exiting {
		next := n.nextWakeup()
		n.updateClock()
		timer.Reset(time.Duration(max(next-n.now, 0) * float64(time.Second)))
		var e event
		select {
		case e = <-n.events:
		case <-reloads:
			e.do = func() { n.lifecycle.SetTime(n.now); n.lifecycle.RequestReload() }
		case sig := <-terminations:
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
			t := heap.Pop(&n.timeouts).(*timeout)
			t.do()
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
		if len(n.sessions) == 0 && (n.ready || !n.owesMessages()) { // only a drain ends by it
			n.lifecycle.Drained()
		} else {
			n.lifecycle.Resumed()
		}
		n.lifecycle.Reconcile()
	}
}

// owesMessages reports whether a message about a session that has ended still waits for a connection.
func (n *Node) owesMessages() bool {
	return slices.ContainsFunc(n.pendingReleases, func(r *pendingRelease) bool { return r.copies == 0 }) ||
		slices.ContainsFunc(n.servers, func(sv *server) bool { return len(sv.pendingMessages) > 0 })
}

// nextWakeup returns when the loop has to run next without an event.
func (n *Node) nextWakeup() float64 {
	next := n.maintainedAt + maintenanceInterval
	if n.wakeAt > 0 {
		next = min(next, n.wakeAt)
	}
	if len(n.timeouts) > 0 {
		next = min(next, n.timeouts[0].at)
	}
	if at := n.lifecycle.NextWakeup(); at > 0 {
		next = min(next, at)
	}
	return next
}

// logCountMismatches logs, once a second and at level debug only, the servers for which the module's count of sessions differs
// from the node's.
func (n *Node) logCountMismatches() {
	if n.now-n.countsComparedAt < 1 || !n.log.Core().Enabled(zap.DebugLevel) {
		return
	}
	n.countsComparedAt = n.now
	for _, estimate := range n.front.ServerEstimates() {
		if sv := n.serversByNumber[estimate.Server]; sv != nil && estimate.Sessions != len(sv.sessions)+sv.pendingSetups() {
			n.log.Debug("counts", str("server", sv.id), num("module", estimate.Sessions), num("standing", len(sv.sessions)), num("out", sv.pendingSetups()), zap.Float64("load", estimate.Load), zap.Bool("aside", estimate.Ejected))
		}
	}
}

// notifyModule queues an event for the module.
func (n *Node) notifyModule(e wire.Event) { n.moduleEvents = append(n.moduleEvents, e) }

// reconcile passes the queued events to the module in order and carries out its decisions, until no event is left.
func (n *Node) reconcile() {
	n.front.SetTime(n.now)
	for range 64 { // decisions can queue further events at once, at most one SETUP per remaining server
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

// updateServers applies an event of the coordinator to the list of servers.
func (n *Node) updateServers(e feed.Event) {
	n.lastIndex = max(n.lastIndex, e.Index)
	ev := wire.Event{Kind: wire.ServerList, FullList: e.Endpoints.Reset}
	listed := map[*server]bool{}
	n.moduleEvents = append(n.moduleEvents, ev)
	eventIndex := len(n.moduleEvents) - 1
	for _, instance := range e.Endpoints.Instances {
		var sv *server
		if known := n.serversByID[instance.ID]; known != nil {
			sv = known
		} else if instance.State == "removed" {
			continue
		} else {
			sv = &server{id: instance.ID, addr: instance.Addr}
			sv.number = feed.AssignID(instance.ID, func(x choice.ServerID) bool { return n.serversByNumber[x] != nil })
		}
		entry, err := n.config.Names.ToListing(sv.number, instance)
		if err != nil {
			n.log.Warn("an entry of the list is passed over", str("why", err.Error()))
			continue
		}
		entry = n.trials.alterListing(entry)
		if entry.State != choice.Gone && instance.Addr != "" && instance.Addr != sv.addr {
			sv = n.moveServer(sv, instance.Addr)
		}
		restarted := sv.setListedStart(instance.StartedAtMs)
		if restarted {
			sv.startedAt = n.effectiveStart(instance.StartedAtMs)
		}
		entry.StartedAt = sv.startedAt
		if n.serversByNumber[sv.number] == nil {
			n.servers = append(n.servers, sv)
			n.serversByNumber[sv.number] = sv
			n.serversByID[sv.id] = sv
		}
		listed[sv] = true
		if restarted {
			n.endSessionsBeforeRestart(sv, n.now-n.secondsSinceStart(instance.StartedAtMs))
		}
		n.moduleEvents[eventIndex].Servers = append(n.moduleEvents[eventIndex].Servers, entry)
		n.log.Debug("server listed", str("server", instance.ID), str("state", instance.State), num("cell", instance.Cell))
		n.setServerState(sv, entry.State)
	}
	if e.Endpoints.Reset {
		for _, sv := range slices.Clone(n.servers) {
			if !listed[sv] {
				n.setServerState(sv, choice.Gone)
			}
		}
	}
	n.checkAddresses()
	for _, sv := range slices.Clone(n.servers) {
		n.removeServerIfGone(sv)
	}
}

// setServerState sets a server's state. If it is no longer ready, SETUPs to it of which nothing was sent end as such: those that wait
// for a connection, and those that wait in the queue of one whose peer doesn't read.
func (n *Node) setServerState(sv *server, state choice.Lifecycle) {
	if sv.state == state {
		return
	}
	sv.state = state
	if state == choice.Ready {
		return
	}
	for _, sc := range slices.Clone(sv.conns) {
		n.recallUnsentSetups(sc, false)
	}
	n.after(share.StuckWriteSeconds, func() {
		if sv.state == choice.Ready {
			return
		}
		for _, sc := range slices.Clone(sv.conns) {
			n.recallUnsentSetups(sc, true)
		}
	})
}

// recallUnsentSetups ends the SETUPs on a connection of which nothing was sent, the last first. What the writer holds is left to it
// unless it is stuck, as a recall costs the connection; and as long as a SETUP on the connection has been sent, whose answer counts.
func (n *Node) recallUnsentSetups(sc *serverConn, stuck bool) {
	for _, s := range slices.Backward(slices.Clone(sc.setups)) {
		if sc.up && !sc.isQueued(s.setupStart) && !(stuck && sc.setups[0].setupStart >= sc.bytesWritten()) {
			continue
		}
		if n.recallSetup(s) {
			n.setupEnded(s, choice.Unsent, noReport)
		}
	}
}

// probeSessionID makes a probe's id, which has the form of a session id.
func probeSessionID(seed uint64, k int) string { return fmt.Sprintf("%016x", seed+uint64(k)) }
