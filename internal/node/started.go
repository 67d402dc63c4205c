package node

import "rainhaven/choice/slowstart"

// A server's start is told by the wall clock of another machine, and wall clocks are stepped. The functions of this file
// alone compare the two; whatever else is timed is a span of the own monotonic clock.

// setListedStart takes the start that the list tells of a server; true where that is another one than before.
func (sv *server) setListedStart(ms float64) bool {
	anew := ms > 0 && ms != sv.listedStartMs
	sv.listedStartMs = ms
	return anew
}

// secondsSinceStart is how many seconds ago a server started as far as the own wall clock can tell, within what is likely.
func (n *Node) secondsSinceStart(ms float64) float64 {
	return slowstart.Age(n.now - ms/1000)
}

// effectiveStart is the instant from which a server counts as effectiveStart.
func (n *Node) effectiveStart(ms float64) float64 {
	return slowstart.StartedAt(n.now, n.now-ms/1000, n.ready)
}
