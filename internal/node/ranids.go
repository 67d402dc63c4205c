package node

import (
	"strconv"

	"rainhaven/choice/share"
)

// ranIDs remembers the ids of requests that may have run at a server and are over, the latest share.MaxRanIDs. Each request has an id of
// its own; one that comes again, such as that of a client which has left, would run a second time.
type ranIDs struct {
	known map[uint64]bool
	ring  []uint64 // in the order in which they were added, from next on once it is full
	next  int
}

func newRanIDs() ranIDs { return ranIDs{known: map[uint64]bool{}} }

// numericID returns the value of a valid session id.
func numericID(id string) uint64 {
	value, _ := strconv.ParseUint(id, 16, 64)
	return value
}

// add remembers an id, in place of the one added first if there are too many.
func (r *ranIDs) add(id string) {
	value := numericID(id)
	if r.known[value] {
		return
	}
	r.known[value] = true
	if len(r.ring) < share.MaxRanIDs {
		r.ring = append(r.ring, value)
		return
	}
	delete(r.known, r.ring[r.next])
	r.ring[r.next] = value
	r.next = (r.next + 1) % len(r.ring)
}

// contains reports whether an id is remembered.
func (r *ranIDs) contains(id string) bool { return r.known[numericID(id)] }
