package soak

import (
	"slices"
	"time"
)

// behavior says how a server treats attempts at present: chances from 0 to 1, and times.
type behavior struct {
	full, internalError, notFound, gatewayTimeout float64       // refuses, by kind
	dropAnswer                                    float64       // its answer never leaves
	earlyRelease                                  float64       // its release leaves before its answer
	duplicateAnswer                               float64       // a second answer follows
	malformedAnswer                               float64       // its answer's length is wrong
	resetConn                                     float64       // the connection is reset in place of the answer
	splitWrite                                    float64       // what it writes leaves in pieces
	closeConn                                     float64       // the connection is closed as soon as the attempt was read
	maxExtraDelay                                 time.Duration // an answer takes up to so much longer
	hungUntil                                     time.Duration // it reads and says nothing until then
	unreachableUntil                              time.Duration // what is sent to it or by it arrives then, as over a network that was cut
}

// effect changes a server's behavior until an instant. Effects add up, and each ends by itself.
type effect struct {
	until time.Duration
	apply func(b *behavior, until time.Duration)
}

// addEffect changes how it treats attempts, for so long.
func (s *server) addEffect(duration time.Duration, apply func(b *behavior, until time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.effects = append(s.effects, effect{s.log.now() + duration, apply})
}

// currentBehavior is what all effects in force add up to; the lock is held.
func (s *server) currentBehavior() (b behavior) {
	now := s.log.now()
	s.effects = slices.DeleteFunc(s.effects, func(e effect) bool { return e.until <= now })
	for _, e := range s.effects {
		e.apply(&b, e.until)
	}
	return b
}

// awaitReachable waits until what is sent to a server or by it arrives again; it tells how long that took.
func (s *server) awaitReachable() time.Duration {
	s.mu.Lock()
	start := s.log.now()
	until := s.currentBehavior().unreachableUntil
	s.mu.Unlock()
	if until <= start {
		return 0
	}
	time.Sleep(until - start)
	return until - start + s.awaitReachable() // it may have vanished again meanwhile
}
