package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// DenseOptions returns the options of a short soak of a few processes under many simultaneous faults.
func DenseOptions() Options {
	return Options{Dense: true, Nodes: 4, Servers: 8, Seed: 1, Duration: 30 * time.Second, Rate: 25, SkewClocks: true, NetworkFaults: true, LogLevel: "info"}
}

const (
	// scenarioInterval is the mean time between two scenarios, which take a few seconds each, and denseFaultInterval that between
	// two other faults. Together they keep four to eight faults in force at any time.
	scenarioInterval, denseFaultInterval = 900 * time.Millisecond, 500 * time.Millisecond
	// Soaks whose seed is a multiple of surgeSeedStep have a load surge on all nodes for surgeShare of their duration.
	surgeSeedStep, surgeShare = 3, 0.3
	// maxDeadline is the longest deadline of any class.
	maxDeadline = 1790 * time.Millisecond
)

// scenario is a sequence of faults in which one follows another after a chosen delay.
type scenario struct {
	name string
	run  func(s *soak, r *rand.Rand)
}

var scenarios = []scenario{
	{"drain published as discovery recovers", drainAsDiscoveryRecovers},
	{"drain published while discovery is silent", drainWhileSilent},
	{"SIGHUP, then SIGTERM", hangupThenTerm},
	{"SIGTERM, servers hang from then on", hangServersAfterTerm},
	{"successive shutdowns while servers hang", shutdownsInSeries},
	{"SIGTERM twice", termTwice},
	{"connections close as attempts arrive", closeAsAttemptsArrive},
	{"clients cancel as answers arrive", cancelAsAnswersCome},
	{"second configuration while the first one's coordinator is silent", secondConfiguration},
	{"successive configurations", successiveConfigurations},
	{"server unreachable for a while", serverUnreachableForAWhile},
	{"server unreachable until it is replaced", serverUnreachableForGood},
	{"servers hang, then one drains", hangThenDrain},
	{"servers full and failing under a load surge", surgeOnFailingServers},
	{"idle clients exhaust descriptors while discovery is down", fillDescriptors},
	{"server replaced while another hangs", replaceWhileHanging},
	{"process killed as its clients cancel", killAsClientsCancel},
}

// runAfter runs f after a delay, in the background; the soak waits for it before it ends.
func (s *soak) runAfter(delay time.Duration, f func()) {
	s.background.Go(func() {
		time.Sleep(delay)
		f()
	})
}

// randomDuration draws a duration from low to high.
func randomDuration(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)+1))
}

func (s *soak) randomNode(r *rand.Rand) *node { return s.nodes[r.IntN(len(s.nodes))] }

// outageDuration draws the length of a discovery outage in a scenario.
func outageDuration(r *rand.Rand) time.Duration {
	return randomDuration(r, 500*time.Millisecond, 3*time.Second)
}

func drainAsDiscoveryRecovers(s *soak, r *rand.Rand) {
	duration := outageDuration(r)
	s.coord.fail(duration)
	delay := duration + randomDuration(r, 0, 200*time.Millisecond)
	draws := rand.New(rand.NewPCG(r.Uint64(), 1))
	s.runAfter(delay, func() { s.replace(draws, 500*time.Millisecond, true) })
}

func drainWhileSilent(s *soak, r *rand.Rand) {
	duration := outageDuration(r)
	s.coord.mute(duration)
	draws := rand.New(rand.NewPCG(r.Uint64(), 2))
	s.runAfter(randomDuration(r, 0, duration), func() { s.replace(draws, 500*time.Millisecond, true) })
	if r.IntN(2) == 0 {
		n, offset, kill := s.randomNode(r), s.clockOffset(r), r.IntN(2) == 0
		s.runAfter(randomDuration(r, 0, duration), func() { s.restart(n, kill, 100*time.Millisecond, offset) })
	}
}

func hangupThenTerm(s *soak, r *rand.Rand) {
	n, offset := s.randomNode(r), s.clockOffset(r)
	n.reload(r.IntN(3) == 0)
	s.runAfter(randomDuration(r, 0, 50*time.Millisecond), func() { s.restart(n, false, 100*time.Millisecond, offset) })
	s.runAfter(randomDuration(r, 60*time.Millisecond, time.Second), func() { n.signal(syscall.SIGHUP) })
}

func hangServersAfterTerm(s *soak, r *rand.Rand) {
	s.restart(s.randomNode(r), false, 100*time.Millisecond, s.clockOffset(r))
	s.hangServers(r, 1+r.IntN(s.o.Servers), maxDeadline+killGrace)
}

// hangServers has randomly drawn servers hang; one may be drawn more than once.
func (s *soak) hangServers(r *rand.Rand, count int, duration time.Duration) {
	for range count {
		s.randomServer(r).addEffect(duration, makeHang)
	}
}

func shutdownsInSeries(s *soak, r *rand.Rand) {
	delay := time.Duration(0)
	for _, k := range r.Perm(len(s.nodes)) {
		n, offset := s.nodes[k], s.clockOffset(r)
		s.runAfter(delay, func() { s.restart(n, false, 100*time.Millisecond, offset) })
		delay += randomDuration(r, 100*time.Millisecond, 700*time.Millisecond)
	}
	s.hangServers(r, 1+r.IntN(s.o.Servers/2), delay+time.Second)
}

func termTwice(s *soak, r *rand.Rand) {
	n := s.randomNode(r)
	s.restart(n, false, 100*time.Millisecond, s.clockOffset(r))
	s.runAfter(randomDuration(r, time.Millisecond, 1500*time.Millisecond), func() { n.signalTerminating(syscall.SIGTERM) })
}

func closeAsAttemptsArrive(s *soak, r *rand.Rand) {
	for range 1 + r.IntN(s.o.Servers/2) {
		s.randomServer(r).addEffect(randomDuration(r, time.Second, 2*time.Second), func(b *behavior, _ time.Duration) { b.closeConn = 0.5 })
	}
}

func cancelAsAnswersCome(s *soak, r *rand.Rand) {
	for _, c := range s.clients {
		c.cancelEarly(s.log.now() + randomDuration(r, time.Second, 2*time.Second))
	}
}

func secondConfiguration(s *soak, r *rand.Rand) {
	n, first := s.randomNode(r), r.IntN(replicaCount)
	s.coord.muteReplica(first, randomDuration(r, 300*time.Millisecond, 2*time.Second))
	n.useReplica(first)
	n.reload(false)
	draws := rand.New(rand.NewPCG(r.Uint64(), 3))
	s.runAfter(randomDuration(r, 0, 300*time.Millisecond), func() {
		n.useReplica((first + 1) % replicaCount)
		n.reload(false)
	})
	s.runAfter(randomDuration(r, 0, 400*time.Millisecond), func() { s.replace(draws, 500*time.Millisecond, true) })
}

func successiveConfigurations(s *soak, r *rand.Rand) {
	n, term := s.randomNode(r), r.IntN(3) == 0
	delay := time.Duration(0)
	for range 10 {
		replica, truncate := r.IntN(replicaCount), r.IntN(4) == 0
		s.runAfter(delay, func() {
			n.useReplica(replica)
			n.reload(truncate)
		})
		delay += randomDuration(r, 0, 150*time.Millisecond)
	}
	if offset := s.clockOffset(r); term {
		s.runAfter(delay, func() { s.restart(n, false, 100*time.Millisecond, offset) })
	}
}

func serverUnreachableForAWhile(s *soak, r *rand.Rand) {
	srv, duration := s.randomServer(r), randomDuration(r, 300*time.Millisecond, 3*time.Second)
	srv.addEffect(duration, makeUnreachable)
	if closed := r.IntN(2) == 0; r.IntN(2) == 0 {
		s.runAfter(duration+randomDuration(r, 0, 20*time.Millisecond), func() { srv.closeConnections(closed) })
	}
}

func serverUnreachableForGood(s *soak, r *rand.Rand) {
	srv := s.randomServer(r)
	srv.addEffect(2*time.Second, makeUnreachable)
	draws := rand.New(rand.NewPCG(r.Uint64(), 4))
	s.runAfter(randomDuration(r, 0, time.Second), func() { s.replace(draws, time.Second, false) })
}

func hangThenDrain(s *soak, r *rand.Rand) {
	s.hangServers(r, 2, 2*time.Second)
	draws := rand.New(rand.NewPCG(r.Uint64(), 5))
	s.runAfter(randomDuration(r, 0, 500*time.Millisecond), func() { s.replace(draws, 200*time.Millisecond, true) })
}

func surgeOnFailingServers(s *soak, r *rand.Rand) {
	duration := randomDuration(r, time.Second, 3*time.Second)
	for k := range s.nodes {
		s.startLoadSurge(k, duration)
	}
	for range 2 {
		s.randomServer(r).addEffect(duration, func(b *behavior, _ time.Duration) { b.full, b.internalError = 0.5, 0.3 })
	}
}

func fillDescriptors(s *soak, r *rand.Rand) {
	duration := outageDuration(r)
	s.coord.fail(duration)
	c := s.clients[r.IntN(len(s.clients))]
	draws := rand.New(rand.NewPCG(r.Uint64(), 6))
	s.runAfter(0, func() { c.openUselessConns(draws, maxDescriptors, duration) })
}

func replaceWhileHanging(s *soak, r *rand.Rand) {
	s.hangServers(r, 1, 3*time.Second)
	s.replace(r, randomDuration(r, 0, time.Second), r.IntN(2) == 0)
	if r.IntN(2) == 0 {
		s.randomServer(r).addEffect(time.Second, func(b *behavior, _ time.Duration) { b.resetConn = 0.5 })
	}
}

func killAsClientsCancel(s *soak, r *rand.Rand) {
	cancelAsAnswersCome(s, r)
	n, offset := s.randomNode(r), s.clockOffset(r)
	s.runAfter(randomDuration(r, 0, 500*time.Millisecond), func() { s.restart(n, true, 100*time.Millisecond, offset) })
}

// plannedScenario is a scenario's start, its index in scenarios and the seed of its random source.
type plannedScenario struct {
	at    time.Duration
	index int
	seed  uint64
}

// scheduleScenarios draws start times and an order in which each scenario runs once before any is repeated.
func scheduleScenarios(seed uint64, duration time.Duration) (planned []plannedScenario) {
	r := rand.New(rand.NewPCG(seed, 0x5708))
	var order []int
	for at := quietStart; at < duration-quietEnd; at += time.Duration(r.ExpFloat64() * float64(scenarioInterval)) {
		if len(order) == 0 {
			order = r.Perm(len(scenarios))
		}
		planned = append(planned, plannedScenario{at, order[0], r.Uint64()})
		order = order[1:]
	}
	return planned
}

// runScenarios starts the scheduled scenarios, which overlap, and reports each by name.
func (s *soak) runScenarios(ctx context.Context) {
	for _, p := range scheduleScenarios(s.o.Seed, s.o.Duration) {
		if !sleep(ctx, p.at-s.log.now()) {
			return
		}
		s.reportFault("scenario: " + scenarios[p.index].name)
		scenarios[p.index].run(s, rand.New(rand.NewPCG(p.seed, 0x5709)))
	}
}

// runLoadSurge raises the load of all nodes for a part of the soak, for some seeds.
func (s *soak) runLoadSurge(ctx context.Context) {
	if s.o.Seed%surgeSeedStep != 0 {
		return
	}
	if !sleep(ctx, s.o.Duration/3) {
		return
	}
	duration := time.Duration(surgeShare * float64(s.o.Duration))
	s.reportFault(fmt.Sprintf("load surge on all nodes for %v", duration))
	for k := range s.nodes {
		s.startLoadSurge(k, duration)
	}
}
