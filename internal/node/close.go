package node

// closeReason says why the node closes a client's connection.
type closeReason string

const (
	reasonIdle            closeReason = "without sessions for long"
	reasonEvicted         closeReason = "gives way to a newer one"
	reasonInvalidRequests closeReason = "too many requests that make no sense"
	reasonMessageTimeout  closeReason = "a message did not come to its end"
	reasonMalformed       closeReason = "what came can't be read"
)

// requestClose closes a client's connection on which nothing is open, once its reader has handed over what it has: a request
// among that keeps the connection.
func (n *Node) requestClose(v *client, why closeReason) {
	if v.pendingClose != "" || v.closed || v.isClosing() {
		return
	}
	n.log.Debug("a client's connection is to be closed", str("from", v.peer()), str("why", string(why)), num("rank", v.EvictionRank(n.now)))
	v.pendingClose = why
	if n.trials.closesWithoutReader() {
		v.closeOnceFlushed()
		return
	}
	v.requestStop(!v.SentMessage)
}

// handleReaderStopped takes it that a connection's reader has handed over all that it read; partial tells that a message had begun.
func (n *Node) handleReaderStopped(v *client, partial bool) {
	switch {
	case v.closed:
	case n.exiting:
		v.readerStopped = true
	case v.Pending == 0:
		v.readerStopped = true
		n.closeClient(v, v.pendingClose)
		v.endReading()
	case partial: // it was stopped within a message, and can't go on there
		n.rejectMalformed(v, nil)
		v.endReading()
	default:
		v.pendingClose = ""
		v.resumeReading()
	}
}

// closeClient closes a client's connection once what is queued on it was written.
func (n *Node) closeClient(v *client, why closeReason) {
	n.guard.Close(v.peer(), v.Pending, v.readerStopped)
	v.pendingClose = why
	n.counts["closed: "+string(why)]++
	v.closeOnceFlushed()
}
