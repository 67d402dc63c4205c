package soak

import (
	"slices"
	"time"
)

// behavior is how a stand-in server treats attempts at present. The numbers are probabilities from 0 to 1.
type behavior struct {
	full, internalError, notFound, gatewayTimeout float64       // refuses with that status
	dropAnswer                                    float64       // its answer is not sent
	earlyRelease                                  float64       // the session's release is sent before its answer
	duplicateAnswer                               float64       // the answer is sent twice
	malformedAnswer                               float64       // the answer's Content-Length is negative
	resetConn                                     float64       // the connection is reset instead of an answer
	splitWrite                                    float64       // a message is sent in two writes
	closeConn                                     float64       // the connection is closed as soon as the attempt is read
	maxExtraDelay                                 time.Duration // upper bound of the delay added to an answer
	hungUntil                                     time.Duration // it reads but sends no answer until then
	unreachableUntil                              time.Duration // traffic in either direction arrives only then, as after a network partition
}

// effect changes a server's behavior until a point in time. Overlapping effects are combined, and each expires on its own.
type effect struct {
	until time.Duration
	apply func(b *behavior, until time.Duration)
}

// addEffect changes the server's behavior for a duration.
func (s *server) addEffect(duration time.Duration, apply func(b *behavior, until time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.effects = append(s.effects, effect{s.log.now() + duration, apply})
}

// currentBehavior combines the effects in force and drops expired ones. The caller holds s.mu.
func (s *server) currentBehavior() (b behavior) {
	now := s.log.now()
	s.effects = slices.DeleteFunc(s.effects, func(e effect) bool { return e.until <= now })
	for _, e := range s.effects {
		e.apply(&b, e.until)
	}
	return b
}

// awaitReachable waits until the server is reachable and returns how long that took.
func (s *server) awaitReachable() time.Duration {
	s.mu.Lock()
	start := s.log.now()
	until := s.currentBehavior().unreachableUntil
	s.mu.Unlock()
	if until <= start {
		return 0
	}
	time.Sleep(until - start)
	return until - start + s.awaitReachable() // it may have become unreachable again meanwhile
}
