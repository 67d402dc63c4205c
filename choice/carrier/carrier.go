// Package carrier decides which open connection carries a message about an established session. No connection owns such a session:
// its release, the cut of its playback or a change of its rung may travel over any connection to the peer. It does no I/O.
package carrier

// Relation states what a connection has shown about its peer's sessions, weakest first.
type Relation int

const (
	Silent     Relation = iota // it has sent nothing yet
	Probing                    // it has sent health checks only
	Requesting                 // it has requested sessions, none of which was established
	Serving                    // sessions were established on it, or named on it as established
)

// Relate returns the relation of a connection, given whether it has sent a message, requested a session, and had an established one.
func Relate(sentMessage, requestedSession, served bool) Relation {
	switch {
	case served:
		return Serving
	case requestedSession:
		return Requesting
	case sentMessage:
		return Probing
	}
	return Silent
}

// Confirmed reports whether the peer of a connection certainly handles sessions. A message sent on any other connection is sent
// again once a better one is open: a mere monitor may have discarded it.
func (r Relation) Confirmed() bool { return r == Serving }

// Conn is an open connection that may carry a message.
type Conn struct {
	Relation  Relation
	LastHeard float64 // when its peer last sent a message, or when it was opened; in seconds
}

// None means that no connection is open.
const None = -1

// Pick returns the index of the connection that carries a message: of those with the strongest relation the one whose peer was
// heard last, as a peer that is gone may leave its connection open; of equals the last. None if the list is empty.
func Pick(list []Conn) int {
	best := None
	for i, c := range list {
		if best == None || c.Relation > list[best].Relation || c.Relation == list[best].Relation && c.LastHeard >= list[best].LastHeard {
			best = i
		}
	}
	return best
}

// Sent is how a message was last sent. The zero value is a message that was not sent.
type Sent struct {
	OnConn   bool // it was sent
	Open     bool // the connection that carried it is still open
	Relation Relation
}

// Settled reports whether a message needs no further copy: the connection that carried it is open and its peer handles sessions.
func (s Sent) Settled() bool { return s.OnConn && s.Open && s.Relation.Confirmed() }

// Repeat reports whether a message is to be sent on the best connection open now, given its relation: if it was not sent yet, if
// the connection that carried it has closed, or if this one is better.
func (s Sent) Repeat(best Relation) bool { return !s.OnConn || !s.Open || best > s.Relation }
