package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// fault is one fault of a plan: when it begins, how long it lasts, and what it does.
type fault struct {
	at, duration time.Duration
	name         string
	do           func(s *soak, rand *rand.Rand, long time.Duration)
}

// faultKinds are all kinds of faults, with the longest time that each may last. Several of any kinds overlap.
var faultKinds = []struct {
	name        string
	maxDuration time.Duration
	do          func(s *soak, rand *rand.Rand, long time.Duration)
}{
	{"node killed", time.Second, func(s *soak, rand *rand.Rand, long time.Duration) {
		s.restart(s.nodes[rand.IntN(len(s.nodes))], true, long, s.clockOffset(rand))
	}},
	{"several nodes killed", time.Second, func(s *soak, rand *rand.Rand, long time.Duration) {
		for _, k := range rand.Perm(len(s.nodes))[:len(s.nodes)/5] {
			s.restart(s.nodes[k], true, long, s.clockOffset(rand))
		}
	}},
	{"node restarted", 500 * time.Millisecond, func(s *soak, rand *rand.Rand, long time.Duration) {
		s.restart(s.nodes[rand.IntN(len(s.nodes))], false, long, s.clockOffset(rand))
	}},
	{"several nodes restarted", 500 * time.Millisecond, func(s *soak, rand *rand.Rand, long time.Duration) {
		for _, k := range rand.Perm(len(s.nodes))[:len(s.nodes)/5] {
			s.restart(s.nodes[k], false, long, s.clockOffset(rand))
		}
	}},
	{"nodes stand still", 300 * time.Millisecond, func(s *soak, rand *rand.Rand, long time.Duration) {
		for _, n := range s.nodes {
			if rand.IntN(2) == 0 {
				n.suspend(long)
			}
		}
	}},
	{"configuration read again", 0, func(s *soak, rand *rand.Rand, _ time.Duration) {
		for range 1 + rand.IntN(4) {
			s.nodes[rand.IntN(len(s.nodes))].reload(rand.IntN(2) == 0)
		}
	}},
	{"discovery down", 3 * time.Second, func(s *soak, _ *rand.Rand, long time.Duration) { s.coord.fail(long) }},
	{"discovery silent", 3 * time.Second, func(s *soak, _ *rand.Rand, long time.Duration) { s.coord.mute(long) }},
	{"server replaced", time.Second, func(s *soak, rand *rand.Rand, long time.Duration) { s.replace(rand, long, true) }},
	{"server died", time.Second, func(s *soak, rand *rand.Rand, long time.Duration) { s.replace(rand, long, false) }},
	{"server hangs", 3 * time.Second, func(s *soak, rand *rand.Rand, long time.Duration) {
		s.randomServer(rand).addEffect(long, makeHang)
	}},
	{"server vanishes", 3 * time.Second, func(s *soak, rand *rand.Rand, long time.Duration) {
		s.randomServer(rand).addEffect(long, makeUnreachable)
	}},
	{"server slow", 4 * time.Second, withBehavior(func(b *behavior) { b.maxExtraDelay = 900 * time.Millisecond })},
	{"server full", 3 * time.Second, withBehavior(func(b *behavior) { b.full = 0.7 })},
	{"server failing", 3 * time.Second, withBehavior(func(b *behavior) { b.internalError, b.notFound, b.gatewayTimeout = 0.2, 0.1, 0.2 })},
	{"answers lost", 3 * time.Second, withBehavior(func(b *behavior) { b.dropAnswer = 0.3 })},
	{"answers spoilt or doubled", 3 * time.Second, withBehavior(func(b *behavior) { b.malformedAnswer, b.duplicateAnswer = 0.1, 0.3 })},
	{"releases before answers", 4 * time.Second, withBehavior(func(b *behavior) { b.earlyRelease = 0.4 })},
	{"connections reset under requests", 3 * time.Second, withBehavior(func(b *behavior) { b.resetConn = 0.2 })},
	{"writes in pieces", 4 * time.Second, withBehavior(func(b *behavior) { b.splitWrite = 0.8 })},
	{"connections of a server closed", 0, func(s *soak, rand *rand.Rand, _ time.Duration) { s.randomServer(rand).closeConnections(true) }},
	{"connections of a server reset", 0, func(s *soak, rand *rand.Rand, _ time.Duration) { s.randomServer(rand).closeConnections(false) }},
	{"rude clients", 3 * time.Second, func(s *soak, rand *rand.Rand, long time.Duration) {
		s.clients[rand.IntN(len(s.clients))].openUselessConns(rand, 20+rand.IntN(150), long)
	}},
	{"crowd", 2 * time.Second, func(s *soak, rand *rand.Rand, long time.Duration) { s.startLoadSurge(rand.IntN(len(s.nodes)), long) }},
}

// withBehavior changes how a few servers behave for a time.
func withBehavior(change func(*behavior)) func(*soak, *rand.Rand, time.Duration) {
	return func(s *soak, rand *rand.Rand, long time.Duration) {
		for range 1 + rand.IntN(3) {
			s.randomServer(rand).addEffect(long, func(b *behavior, _ time.Duration) { change(b) })
		}
	}
}

// makeHang and vanish are effects on a server.
func makeHang(b *behavior, until time.Duration) { b.hungUntil = max(b.hungUntil, until) }
func makeUnreachable(b *behavior, until time.Duration) {
	b.unreachableUntil = max(b.unreachableUntil, until)
}

const (
	// faultInterval is the mean time between two faults.
	faultInterval = 700 * time.Millisecond
	// quietStart and quietEnd are without new faults: all nodes come up, and the last requests come to their ends.
	quietStart, quietEnd = 2 * time.Second, 4 * time.Second
)

// planFaults draws the faults of a soak.
func planFaults(o Options) (list []fault) {
	r := rand.New(rand.NewPCG(o.Seed, 0xfa017))
	interval := faultInterval
	if o.Dense {
		interval = denseFaultInterval
	}
	for at := quietStart; at < o.Duration-quietEnd; at += time.Duration(r.ExpFloat64() * float64(interval)) {
		k := faultKinds[r.IntN(len(faultKinds))]
		f := fault{at: at, name: k.name, do: k.do}
		if k.maxDuration > 0 {
			f.duration = k.maxDuration/4 + time.Duration(r.Int64N(int64(k.maxDuration*3/4)))
		}
		list = append(list, f)
	}
	return list
}

func (f fault) String() string {
	return fmt.Sprintf("%s for %v", f.name, f.duration.Round(time.Millisecond))
}
