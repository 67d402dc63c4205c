package node

import "rainhaven/choice/slowstart"

// The list gives a server's start by the wall clock of another machine, and wall clocks are stepped. Only the functions of this
// file compare that clock with the node's own; everything else measures durations on the node's monotonic clock.

// setListedStart stores a server's start as listed and reports whether it has changed.
func (sv *server) setListedStart(ms float64) bool {
	changed := ms > 0 && ms != sv.listedStartMs
	sv.listedStartMs = ms
	return changed
}

// secondsSinceStart estimates by the node's wall clock how many seconds ago a server started, bounded by
// slowstart.Age.
func (n *Node) secondsSinceStart(ms float64) float64 {
	return slowstart.Age(n.now - ms/1000)
}

// effectiveStart is the time on the node's clock at which a server counts as started.
func (n *Node) effectiveStart(ms float64) float64 {
	return slowstart.StartedAt(n.now, n.now-ms/1000, n.ready)
}
