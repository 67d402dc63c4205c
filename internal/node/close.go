package node

// closeReason says why the node closes a client's connection.
type closeReason string

const (
	unused     closeReason = "without sessions for long"
	givesWay   closeReason = "gives way to a newer one"
	senseless  closeReason = "too many requests that make no sense"
	overdue    closeReason = "a message did not come to its end"
	unreadable closeReason = "what came can't be read"
)

// closeUnused closes a client's connection on which nothing is open, once its reader has handed over what it has: a request
// among that keeps the connection.
func (n *Node) closeUnused(v *client, why closeReason) {
	if v.stopping != "" || v.closed || v.isEnding() {
		return
	}
	n.log.Debug("a client's connection is to be closed", str("from", v.peer()), str("why", string(why)), num("rank", v.EvictionRank(n.now)))
	v.stopping = why
	if n.trials.closesWithoutReader() {
		v.cut()
		return
	}
	v.stop(!v.SentMessage)
}

// readerStopped takes it that a connection's reader has handed over all that it read; partial tells that a message had begun.
func (n *Node) readerStopped(v *client, partial bool) {
	switch {
	case v.closed:
	case n.exiting:
		v.stopped = true
	case v.Pending == 0:
		v.stopped = true
		n.closeClient(v, v.stopping)
		v.done()
	case partial: // it was stopped within a message, and can't go on there
		n.malformed(v, nil)
		v.done()
	default:
		v.stopping = ""
		v.goOn()
	}
}

// closeClient closes a client's connection once what is queued on it was written.
func (n *Node) closeClient(v *client, why closeReason) {
	n.guard.Close(v.peer(), v.Pending, v.stopped)
	v.stopping = why
	n.counts["closed: "+string(why)]++
	v.cut()
}
