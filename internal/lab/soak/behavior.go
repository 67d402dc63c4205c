package soak

import (
	"slices"
	"time"
)

// behavior says how a server treats attempts at present: chances from 0 to 1, and times.
type behavior struct {
	full, failing, moot, reset float64       // refuses, by kind
	lost                       float64       // its answer never leaves
	early                      float64       // its release leaves before its answer
	double                     float64       // a second answer follows
	spoilt                     float64       // its answer's length is wrong
	cut                        float64       // the connection is reset in place of the answer
	pieces                     float64       // what it writes leaves in pieces
	closed                     float64       // the connection is closed as soon as the attempt was read
	slow                       time.Duration // an answer takes up to so much longer
	hangs                      time.Duration // it reads and says nothing until then
	vanished                   time.Duration // what is sent to it or by it arrives then, as over a network that was cut
}

// effect changes a server's behavior until an instant. Effects add up, and each ends by itself.
type effect struct {
	until  time.Duration
	change func(b *behavior, until time.Duration)
}

// behave changes how it treats attempts, for so long.
func (s *server) behave(long time.Duration, change func(b *behavior, until time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.effects = append(s.effects, effect{s.log.now() + long, change})
}

// behavior is what all effects in force add up to; the lock is held.
func (s *server) behavior() (b behavior) {
	now := s.log.now()
	s.effects = slices.DeleteFunc(s.effects, func(e effect) bool { return e.until <= now })
	for _, e := range s.effects {
		e.change(&b, e.until)
	}
	return b
}

// awaitReturn waits until what is sent to a server or by it arrives again; it tells how long that took.
func (s *server) awaitReturn() time.Duration {
	s.mu.Lock()
	began := s.log.now()
	until := s.behavior().vanished
	s.mu.Unlock()
	if until <= began {
		return 0
	}
	time.Sleep(until - began)
	return until - began + s.awaitReturn() // it may have vanished again meanwhile
}
