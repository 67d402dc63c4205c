package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

// DenseOptions are the options of a short soak of a handful of processes under many faults at once.
func DenseOptions() Options {
	return Options{Dense: true, Nodes: 4, Servers: 8, Seed: 1, Duration: 30 * time.Second, Rate: 25, SkewClocks: true, NetworkFaults: true, LogLevel: "info"}
}

const (
	// storyEvery is the mean time between two stories, which take some seconds each, and denseFaultEvery that between two
	// faults beside them: four to eight are in force at any moment.
	storyEvery, denseFaultEvery = 900 * time.Millisecond, 500 * time.Millisecond
	// crowdedRuns is one of how many seeds plays a crowd, of crowdShare of its time.
	crowdedRuns, crowdShare = 3, 0.3
	// longestDeadline is that of all classes.
	longestDeadline = 1790 * time.Millisecond
)

// story is a few faults, one of which follows another at a chosen instant.
type story struct {
	name string
	play func(s *soak, r *rand.Rand)
}

// stories are all of them.
var stories = []story{
	{"a drain told as discovery returns", drainAsDiscoveryReturns},
	{"a drain told while discovery is silent", drainWhileSilent},
	{"SIGHUP, then SIGTERM", hangupThenTerm},
	{"SIGTERM, and servers hang from then on", hangFromTerm},
	{"shutdowns one after another while servers hang", shutdownsInSeries},
	{"SIGTERM twice", termTwice},
	{"connections close as attempts arrive", closeAsAttemptsArrive},
	{"clients cancel as answers come", cancelAsAnswersCome},
	{"a second configuration before the first one's coordinator speaks", secondConfiguration},
	{"configurations in a row", configurationsInARow},
	{"a server vanishes and comes back", vanishAndReturn},
	{"a server vanishes for good", vanishForGood},
	{"a server hangs, then drains", hangThenDrain},
	{"servers full and failing under a crowd", crowdOnFailingServers},
	{"idle clients fill the descriptors while discovery is down", descriptorsFilled},
	{"a server is replaced while another hangs", replaceWhileHanging},
	{"a process is killed as its clients cancel", killAsClientsCancel},
}

// after plays something later; the soak waits for it.
func (s *soak) after(wait time.Duration, do func()) {
	s.pending.Go(func() {
		time.Sleep(wait)
		do()
	})
}

// between draws a time.
func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)+1))
}

func (s *soak) anyNode(r *rand.Rand) *node { return s.nodes[r.IntN(len(s.nodes))] }

// down is how long discovery is out of reach in a story.
func down(r *rand.Rand) time.Duration { return between(r, 500*time.Millisecond, 3*time.Second) }

func drainAsDiscoveryReturns(s *soak, r *rand.Rand) {
	long := down(r)
	s.coord.fail(long)
	wait := long + between(r, 0, 200*time.Millisecond)
	draw := rand.New(rand.NewPCG(r.Uint64(), 1))
	s.after(wait, func() { s.replace(draw, 500*time.Millisecond, true) })
}

func drainWhileSilent(s *soak, r *rand.Rand) {
	long := down(r)
	s.coord.mute(long)
	draw := rand.New(rand.NewPCG(r.Uint64(), 2))
	s.after(between(r, 0, long), func() { s.replace(draw, 500*time.Millisecond, true) })
	if r.IntN(2) == 0 {
		n, offset, kill := s.anyNode(r), s.offset(r), r.IntN(2) == 0
		s.after(between(r, 0, long), func() { s.restart(n, kill, 100*time.Millisecond, offset) })
	}
}

func hangupThenTerm(s *soak, r *rand.Rand) {
	n, offset := s.anyNode(r), s.offset(r)
	n.reload(r.IntN(3) == 0)
	s.after(between(r, 0, 50*time.Millisecond), func() { s.restart(n, false, 100*time.Millisecond, offset) })
	s.after(between(r, 60*time.Millisecond, time.Second), func() { n.signal(syscall.SIGHUP) })
}

func hangFromTerm(s *soak, r *rand.Rand) {
	s.restart(s.anyNode(r), false, 100*time.Millisecond, s.offset(r))
	s.hangServers(r, 1+r.IntN(s.o.Servers), longestDeadline+killAfter)
}

// hangServers has some servers hang.
func (s *soak) hangServers(r *rand.Rand, many int, long time.Duration) {
	for range many {
		s.server(r).behave(long, hang)
	}
}

func shutdownsInSeries(s *soak, r *rand.Rand) {
	wait := time.Duration(0)
	for _, k := range r.Perm(len(s.nodes)) {
		n, offset := s.nodes[k], s.offset(r)
		s.after(wait, func() { s.restart(n, false, 100*time.Millisecond, offset) })
		wait += between(r, 100*time.Millisecond, 700*time.Millisecond)
	}
	s.hangServers(r, 1+r.IntN(s.o.Servers/2), wait+time.Second)
}

func termTwice(s *soak, r *rand.Rand) {
	n := s.anyNode(r)
	s.restart(n, false, 100*time.Millisecond, s.offset(r))
	s.after(between(r, time.Millisecond, 1500*time.Millisecond), func() { n.signalEnding(syscall.SIGTERM) })
}

func closeAsAttemptsArrive(s *soak, r *rand.Rand) {
	for range 1 + r.IntN(s.o.Servers/2) {
		s.server(r).behave(between(r, time.Second, 2*time.Second), func(b *behavior, _ time.Duration) { b.closed = 0.5 })
	}
}

func cancelAsAnswersCome(s *soak, r *rand.Rand) {
	for _, c := range s.clients {
		c.haste(s.log.now() + between(r, time.Second, 2*time.Second))
	}
}

func secondConfiguration(s *soak, r *rand.Rand) {
	n, first := s.anyNode(r), r.IntN(doors)
	s.coord.muteDoor(first, between(r, 300*time.Millisecond, 2*time.Second))
	n.follow(first)
	n.reload(false)
	draw := rand.New(rand.NewPCG(r.Uint64(), 3))
	s.after(between(r, 0, 300*time.Millisecond), func() {
		n.follow((first + 1) % doors)
		n.reload(false)
	})
	s.after(between(r, 0, 400*time.Millisecond), func() { s.replace(draw, 500*time.Millisecond, true) })
}

func configurationsInARow(s *soak, r *rand.Rand) {
	n, term := s.anyNode(r), r.IntN(3) == 0
	wait := time.Duration(0)
	for range 10 {
		door, broken := r.IntN(doors), r.IntN(4) == 0
		s.after(wait, func() {
			n.follow(door)
			n.reload(broken)
		})
		wait += between(r, 0, 150*time.Millisecond)
	}
	if offset := s.offset(r); term {
		s.after(wait, func() { s.restart(n, false, 100*time.Millisecond, offset) })
	}
}

func vanishAndReturn(s *soak, r *rand.Rand) {
	sv, long := s.server(r), between(r, 300*time.Millisecond, 3*time.Second)
	sv.behave(long, vanish)
	if closed := r.IntN(2) == 0; r.IntN(2) == 0 {
		s.after(long+between(r, 0, 20*time.Millisecond), func() { sv.cutConnections(closed) })
	}
}

func vanishForGood(s *soak, r *rand.Rand) {
	sv := s.server(r)
	sv.behave(2*time.Second, vanish)
	draw := rand.New(rand.NewPCG(r.Uint64(), 4))
	s.after(between(r, 0, time.Second), func() { s.replace(draw, time.Second, false) })
}

func hangThenDrain(s *soak, r *rand.Rand) {
	s.hangServers(r, 2, 2*time.Second)
	draw := rand.New(rand.NewPCG(r.Uint64(), 5))
	s.after(between(r, 0, 500*time.Millisecond), func() { s.replace(draw, 200*time.Millisecond, true) })
}

func crowdOnFailingServers(s *soak, r *rand.Rand) {
	long := between(r, time.Second, 3*time.Second)
	for k := range s.nodes {
		s.crowd(k, long)
	}
	for range 2 {
		s.server(r).behave(long, func(b *behavior, _ time.Duration) { b.full, b.failing = 0.5, 0.3 })
	}
}

func descriptorsFilled(s *soak, r *rand.Rand) {
	long := down(r)
	s.coord.fail(long)
	c := s.clients[r.IntN(len(s.clients))]
	draw := rand.New(rand.NewPCG(r.Uint64(), 6))
	s.after(0, func() { c.rude(draw, sockets, long) })
}

func replaceWhileHanging(s *soak, r *rand.Rand) {
	s.hangServers(r, 1, 3*time.Second)
	s.replace(r, between(r, 0, time.Second), r.IntN(2) == 0)
	if r.IntN(2) == 0 {
		s.server(r).behave(time.Second, func(b *behavior, _ time.Duration) { b.cut = 0.5 })
	}
}

func killAsClientsCancel(s *soak, r *rand.Rand) {
	cancelAsAnswersCome(s, r)
	n, offset := s.anyNode(r), s.offset(r)
	s.after(between(r, 0, 500*time.Millisecond), func() { s.restart(n, true, 100*time.Millisecond, offset) })
}

// plannedStory is a story and when it is played; seed is of what it draws.
type plannedStory struct {
	at   time.Duration
	what int
	seed uint64
}

// storyOrder draws when stories are played, each once before any comes again.
func storyOrder(seed uint64, long time.Duration) (list []plannedStory) {
	r := rand.New(rand.NewPCG(seed, 0x5708))
	var order []int
	for at := quietStart; at < long-quietEnd; at += time.Duration(r.ExpFloat64() * float64(storyEvery)) {
		if len(order) == 0 {
			order = r.Perm(len(stories))
		}
		list = append(list, plannedStory{at, order[0], r.Uint64()})
		order = order[1:]
	}
	return list
}

// playStories plays stories one into another, in an order that the seed gives; each is told by its name.
func (s *soak) playStories(ctx context.Context) {
	for _, p := range storyOrder(s.o.Seed, s.o.Duration) {
		if !pause(ctx, p.at-s.log.now()) {
			return
		}
		s.tellFault("story: " + stories[p.what].name)
		stories[p.what].play(s, rand.New(rand.NewPCG(p.seed, 0x5709)))
	}
}

// playCrowd has all nodes get several times the mean for a part of some runs.
func (s *soak) playCrowd(ctx context.Context) {
	if s.o.Seed%crowdedRuns != 0 {
		return
	}
	if !pause(ctx, s.o.Duration/3) {
		return
	}
	long := time.Duration(crowdShare * float64(s.o.Duration))
	s.tellFault(fmt.Sprintf("a crowd everywhere for %v", long))
	for k := range s.nodes {
		s.crowd(k, long)
	}
}
