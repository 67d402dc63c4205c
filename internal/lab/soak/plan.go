package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// fault is one planned fault.
type fault struct {
	at, duration time.Duration
	name         string
	inject       func(s *soak, r *rand.Rand, duration time.Duration)
}

// faultKinds lists the kinds of faults and the longest duration of each. Faults of any kinds may overlap.
var faultKinds = []struct {
	name        string
	maxDuration time.Duration
	inject      func(s *soak, r *rand.Rand, duration time.Duration)
}{
	{"node killed", time.Second, func(s *soak, r *rand.Rand, duration time.Duration) {
		s.restart(s.nodes[r.IntN(len(s.nodes))], true, duration, s.clockOffset(r))
	}},
	{"several nodes killed", time.Second, func(s *soak, r *rand.Rand, duration time.Duration) {
		for _, k := range r.Perm(len(s.nodes))[:len(s.nodes)/5] {
			s.restart(s.nodes[k], true, duration, s.clockOffset(r))
		}
	}},
	{"node restarted", 500 * time.Millisecond, func(s *soak, r *rand.Rand, duration time.Duration) {
		s.restart(s.nodes[r.IntN(len(s.nodes))], false, duration, s.clockOffset(r))
	}},
	{"several nodes restarted", 500 * time.Millisecond, func(s *soak, r *rand.Rand, duration time.Duration) {
		for _, k := range r.Perm(len(s.nodes))[:len(s.nodes)/5] {
			s.restart(s.nodes[k], false, duration, s.clockOffset(r))
		}
	}},
	{"nodes suspended", 300 * time.Millisecond, func(s *soak, r *rand.Rand, duration time.Duration) {
		for _, n := range s.nodes {
			if r.IntN(2) == 0 {
				n.suspend(duration)
			}
		}
	}},
	{"configuration reloaded", 0, func(s *soak, r *rand.Rand, _ time.Duration) {
		for range 1 + r.IntN(4) {
			s.nodes[r.IntN(len(s.nodes))].reload(r.IntN(2) == 0)
		}
	}},
	{"discovery down", 3 * time.Second, func(s *soak, _ *rand.Rand, duration time.Duration) { s.coord.fail(duration) }},
	{"discovery silent", 3 * time.Second, func(s *soak, _ *rand.Rand, duration time.Duration) { s.coord.mute(duration) }},
	{"server replaced", time.Second, func(s *soak, r *rand.Rand, duration time.Duration) { s.replace(r, duration, true) }},
	{"server died", time.Second, func(s *soak, r *rand.Rand, duration time.Duration) { s.replace(r, duration, false) }},
	{"server hangs", 3 * time.Second, func(s *soak, r *rand.Rand, duration time.Duration) {
		s.randomServer(r).addEffect(duration, makeHang)
	}},
	{"server unreachable", 3 * time.Second, func(s *soak, r *rand.Rand, duration time.Duration) {
		s.randomServer(r).addEffect(duration, makeUnreachable)
	}},
	{"server slow", 4 * time.Second, withBehavior(func(b *behavior) { b.maxExtraDelay = 900 * time.Millisecond })},
	{"server full", 3 * time.Second, withBehavior(func(b *behavior) { b.full = 0.7 })},
	{"server failing", 3 * time.Second, withBehavior(func(b *behavior) { b.internalError, b.notFound, b.gatewayTimeout = 0.2, 0.1, 0.2 })},
	{"answers lost", 3 * time.Second, withBehavior(func(b *behavior) { b.dropAnswer = 0.3 })},
	{"answers malformed or duplicated", 3 * time.Second, withBehavior(func(b *behavior) { b.malformedAnswer, b.duplicateAnswer = 0.1, 0.3 })},
	{"releases before answers", 4 * time.Second, withBehavior(func(b *behavior) { b.earlyRelease = 0.4 })},
	{"connections reset under requests", 3 * time.Second, withBehavior(func(b *behavior) { b.resetConn = 0.2 })},
	{"split writes", 4 * time.Second, withBehavior(func(b *behavior) { b.splitWrite = 0.8 })},
	{"connections of a server closed", 0, func(s *soak, r *rand.Rand, _ time.Duration) { s.randomServer(r).closeConnections(true) }},
	{"connections of a server reset", 0, func(s *soak, r *rand.Rand, _ time.Duration) { s.randomServer(r).closeConnections(false) }},
	{"useless connections", 3 * time.Second, func(s *soak, r *rand.Rand, duration time.Duration) {
		s.clients[r.IntN(len(s.clients))].openUselessConns(r, 20+r.IntN(150), duration)
	}},
	{"load surge", 2 * time.Second, func(s *soak, r *rand.Rand, duration time.Duration) { s.startLoadSurge(r.IntN(len(s.nodes)), duration) }},
}

// withBehavior returns a fault that changes the behavior of one to three servers.
func withBehavior(change func(*behavior)) func(*soak, *rand.Rand, time.Duration) {
	return func(s *soak, r *rand.Rand, duration time.Duration) {
		for range 1 + r.IntN(3) {
			s.randomServer(r).addEffect(duration, func(b *behavior, _ time.Duration) { change(b) })
		}
	}
}

// makeHang and makeUnreachable change a server's behavior until a point in time.
func makeHang(b *behavior, until time.Duration) { b.hungUntil = max(b.hungUntil, until) }
func makeUnreachable(b *behavior, until time.Duration) {
	b.unreachableUntil = max(b.unreachableUntil, until)
}

const (
	// faultInterval is the mean time between two faults.
	faultInterval = 700 * time.Millisecond
	// No fault starts in quietStart, in which all nodes become ready, and in quietEnd, in which the last requests end.
	quietStart, quietEnd = 2 * time.Second, 4 * time.Second
)

// planFaults draws the faults of a soak from its seed.
func planFaults(o Options) (faults []fault) {
	r := rand.New(rand.NewPCG(o.Seed, 0xfa017))
	interval := faultInterval
	if o.Dense {
		interval = denseFaultInterval
	}
	for at := quietStart; at < o.Duration-quietEnd; at += time.Duration(r.ExpFloat64() * float64(interval)) {
		kind := faultKinds[r.IntN(len(faultKinds))]
		f := fault{at: at, name: kind.name, inject: kind.inject}
		if kind.maxDuration > 0 {
			f.duration = kind.maxDuration/4 + time.Duration(r.Int64N(int64(kind.maxDuration*3/4)))
		}
		faults = append(faults, f)
	}
	return faults
}

func (f fault) String() string {
	return fmt.Sprintf("%s for %v", f.name, f.duration.Round(time.Millisecond))
}
