package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	frontnode "rainhaven/internal/node"
)

// Options configures a soak.
type Options struct {
	Program       string // path of the program whose command `node` is run
	Folder        string // existing folder for configurations and the nodes' logs
	Dense         bool   // run scenarios, load surges and unusual clients in addition to the other faults
	Nodes         int
	Servers       int
	Seed          uint64
	Duration      time.Duration
	Rate          float64 // mean requests per second and node
	Sabotage      frontnode.Sabotage
	SkewClocks    bool // shift the nodes' wall clocks
	NetworkFaults bool // make system calls of the nodes' network fail
	LogLevel      string
	OnFault       func(at time.Duration, name string) // if set, is called at the start of each fault
}

// DefaultOptions returns the options of a large soak.
func DefaultOptions() Options {
	return Options{Nodes: 30, Servers: 12, Seed: 1, Duration: time.Minute, Rate: 8, SkewClocks: true, NetworkFaults: true, LogLevel: "info"}
}

// soak is a running soak.
type soak struct {
	o       Options
	log     *log
	coord   *coordinator
	nodes   []*node
	clients []*clients

	mu             sync.Mutex
	servers        []*server // running servers
	serversStarted int
	surgeUntil     map[int]time.Duration // end of the last load surge, by node
	seed           uint64
	background     sync.WaitGroup // restarts and delayed steps in progress
	network        int            // second byte of the nodes' addresses
}

const (
	// surgeFactor multiplies the request rate during a load surge.
	surgeFactor = 5.0
	// nodeHost and serverHost are the loopback addresses of nodes and servers. Each soak has a network of its own for its nodes.
	nodeHost, serverHost           = "127.%d.%d.%d:20000", "127.22.%d.%d:0"
	firstNetwork, numberOfNetworks = 32, 200
	// drainDuration is how long a draining server runs before it is killed.
	drainDuration = 1500 * time.Millisecond
)

// Run runs a soak and checks its records.
func Run(ctx context.Context, o Options) (*Report, error) {
	s := &soak{o: o, log: &log{startedAt: time.Now()}, surgeUntil: map[int]time.Duration{}, seed: o.Seed}
	claim, err := s.claimNetwork()
	if err != nil {
		return nil, err
	}
	defer claim.Close()
	if s.coord, err = newCoordinator(s.log); err != nil {
		return nil, err
	}
	defer s.coord.close()
	for k := range o.Servers {
		if err := s.newServer(k%cells, 0); err != nil {
			return nil, err
		}
	}
	defer s.stopServers()
	if err := s.startNodes(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	var wg sync.WaitGroup
	for _, c := range s.clients {
		wg.Go(func() { s.sendRequests(ctx, c) })
		wg.Go(func() { c.sendNearIdleClose(ctx, rand.New(rand.NewPCG(o.Seed, uint64(1000+c.node.index)))) })
	}
	if s.o.Dense {
		for _, c := range s.clients {
			wg.Go(func() { c.raceIdleCloses(ctx, rand.New(rand.NewPCG(o.Seed, uint64(3000+c.node.index)))) })
		}
		wg.Go(func() { s.runScenarios(ctx) })
		wg.Go(func() { s.runLoadSurge(ctx) })
	}
	wg.Go(func() { s.replaceConnections(ctx) })
	wg.Go(func() { s.measureProcesses(ctx) })
	s.runFaults(ctx)
	<-ctx.Done()
	wg.Wait()
	s.background.Wait()
	time.Sleep(2500 * time.Millisecond) // lets the last requests end
	for _, n := range s.nodes {
		n.stop()
	}
	s.scanLogs()
	return check(s.log.sorted(), o), nil
}

// claimNetwork finds a loopback network that no other soak on the machine uses, and claims it by listening on one address.
func (s *soak) claimNetwork() (claim net.Listener, err error) {
	for k := range numberOfNetworks {
		s.network = firstNetwork + (os.Getpid()+k)%numberOfNetworks
		if claim, err = net.Listen("tcp", fmt.Sprintf(nodeHost, s.network, 255, 254)); err == nil {
			return claim, nil
		}
	}
	return nil, fmt.Errorf("no free loopback network: %w", err)
}

func (s *soak) startNodes() error {
	var nextID atomic.Uint64
	nextID.Store(1)
	for k := range s.o.Nodes {
		n := &node{index: k, listen: fmt.Sprintf(nodeHost, s.network, k/250, k%250+1), folder: s.o.Folder, o: s.o, log: s.log, coord: s.coord, nodes: s.o.Nodes}
		s.nodes = append(s.nodes, n)
		s.clients = append(s.clients, &clients{node: n, log: s.log, rand: rand.New(rand.NewPCG(s.o.Seed, uint64(k))), nextID: &nextID,
			dense: s.o.Dense, retryRand: newRetryRand(s.o.Seed, k), endRand: newEndRand(s.o.Seed, k),
			open: map[*clientConn]bool{}, standing: map[string]standingSession{}})
		n.onReady = s.clients[k].nameSessionsAfterStart
	}
	if s.o.Sabotage == frontnode.SabotageReady { // the soak can't serve requests then
		fmt.Fprintln(os.Stderr, "soak: starts are sabotaged, so no request is served")
	}
	r := rand.New(rand.NewPCG(s.o.Seed, 0xc10c))
	for _, n := range s.nodes {
		if err := n.start(s.clockOffset(r)); err != nil {
			for _, n := range s.nodes {
				n.stop()
			}
			return err
		}
	}
	return nil
}

// clockOffset draws the offset of a starting process's wall clock: none, seconds or an hour, in either direction.
func (s *soak) clockOffset(r *rand.Rand) time.Duration {
	steps := []time.Duration{0, 0, time.Second, 3 * time.Second, time.Hour}
	step := steps[r.IntN(len(steps))]
	if r.IntN(2) == 0 {
		step = -step
	}
	if !s.o.SkewClocks {
		return 0
	}
	return step
}

// sendRequests sends a node's requests at random intervals until ctx is done.
func (s *soak) sendRequests(ctx context.Context, c *clients) {
	for {
		rate := s.o.Rate
		s.mu.Lock()
		if s.surgeUntil[c.node.index] > s.log.now() {
			rate *= surgeFactor
		}
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(c.rand.ExpFloat64() / rate * float64(time.Second))):
			c.sendRandom()
		}
	}
}

func (s *soak) runFaults(ctx context.Context) {
	r := rand.New(rand.NewPCG(s.o.Seed, 0xd0))
	for _, f := range planFaults(s.o) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(f.at - s.log.now()):
		}
		s.reportFault(f.String())
		f.inject(s, r, f.duration)
	}
}

// reportFault records a fault and passes it to OnFault.
func (s *soak) reportFault(name string) {
	at := s.log.add(record{kind: faultStarted, node: -1, detail: name})
	if s.o.OnFault != nil {
		s.o.OnFault(at, name)
	}
}

// restart ends a node's process by SIGKILL or SIGTERM, in the background, and starts the next one after a delay.
func (s *soak) restart(n *node, kill bool, after, offset time.Duration) {
	s.background.Go(func() {
		n.mu.Lock()
		restarting := !n.ready || n.terminatedAt > 0
		n.mu.Unlock()
		if restarting { // it is starting or being restarted
			return
		}
		if kill {
			n.kill()
		} else {
			n.terminate()
		}
		time.Sleep(after)
		if err := n.start(offset); err != nil {
			s.log.add(record{kind: faultStarted, node: n.index, detail: "not started: " + err.Error()})
		}
	})
}

// startLoadSurge raises a node's request rate by surgeFactor for a duration.
func (s *soak) startLoadSurge(node int, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.surgeUntil[node] = s.log.now() + duration
}

// randomServer draws one of the running servers.
func (s *soak) randomServer(r *rand.Rand) *server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers[r.IntN(len(s.servers))]
}

// newServer starts a server in a cell and publishes it. started is its start time in Unix milliseconds; 0 is long ago.
func (s *soak) newServer(cell int, started int64) error {
	s.mu.Lock()
	s.serversStarted++
	serial := s.serversStarted
	s.mu.Unlock()
	srv, err := newServer(s.log, fmt.Sprintf("s-%d", serial), fmt.Sprintf(serverHost, serial/250, serial%250+1), cell, s.seed+uint64(serial))
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.servers = append(s.servers, srv)
	s.mu.Unlock()
	s.coord.publish(srv.entry("up", started))
	return nil
}

func (s *server) entry(state string, started int64) entry {
	return entry{ID: s.id, Addr: s.Addr().String(), Zone: "a", Kind: "std", Cell: s.cell, State: state, Weight: 1, StartedAtMs: started}
}

// replace drains or kills a server, in the background, and starts another one in its place. It does nothing if no more than
// half of the servers are running.
func (s *soak) replace(r *rand.Rand, after time.Duration, drain bool) {
	s.mu.Lock()
	if len(s.servers) <= s.o.Servers/2 {
		s.mu.Unlock()
		return
	}
	k := r.IntN(len(s.servers))
	srv := s.servers[k]
	s.servers = append(s.servers[:k:k], s.servers[k+1:]...)
	s.mu.Unlock()
	s.background.Go(func() {
		if drain {
			s.coord.publish(srv.entry("draining", 0))
			time.Sleep(drainDuration)
		}
		srv.kill()
		time.Sleep(after)
		s.coord.publish(srv.entry("removed", 0))
		if err := s.newServer(srv.cell, time.Now().UnixMilli()); err != nil {
			s.log.add(record{kind: faultStarted, node: -1, detail: "server not started: " + err.Error()})
		}
	})
}

func (s *soak) stopServers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, srv := range s.servers {
		srv.kill()
	}
}
