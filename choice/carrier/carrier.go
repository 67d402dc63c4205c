// Package carrier decides which open connection carries a message about an established session. No connection owns such a session:
// its release, the cut of its playback or a change of its rung may travel over any connection to the peer. It does no I/O.
package carrier

import (
	"cmp"
	"slices"
)

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

// Confirmed reports whether the peer of a connection certainly handles sessions. Another one may be a mere monitor's, which discards
// messages about sessions.
func (r Relation) Confirmed() bool { return r == Serving }

// Conn is an open connection that may carry a message.
type Conn struct {
	Relation  Relation
	LastHeard float64 // when its peer last sent a message, or when it was opened; in seconds
}

// Limits of the copies of a message that only unconfirmed connections can carry: any of them may be the one whose peer handles
// sessions.
const (
	// MaxUnconfirmed is the number of such connections that carry a message at a time.
	MaxUnconfirmed = 8
	// MaxCopies is the number of copies in all, with those for connections that opened later.
	MaxCopies = 16
)

// Choose returns the indices of the connections that carry a message, the best first: those with the strongest relation, of these
// the ones whose peers were heard last, as a peer that is gone may leave its connection open. It is one connection if the best is
// confirmed, else up to MaxUnconfirmed; none if the list is empty.
func Choose(list []Conn) []int {
	best := make([]int, len(list))
	for i := range list {
		best[i] = i
	}
	slices.SortStableFunc(best, func(i, j int) int {
		return cmp.Or(cmp.Compare(list[j].Relation, list[i].Relation), cmp.Compare(list[j].LastHeard, list[i].LastHeard))
	})
	if len(best) > 0 && list[best[0]].Relation.Confirmed() {
		return best[:1]
	}
	return best[:min(len(best), MaxUnconfirmed)]
}
