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
func (n *Node) requestClose(v *client, reason closeReason) {
	if v.pendingClose != "" || v.closed || v.isClosing() {
		return
	}
	n.log.Debug("a client's connection is to be closed", str("from", v.peer()), str("why", string(reason)), num("rank", v.EvictionRank(n.now)))
	v.pendingClose = reason
	if n.trials.hasty() {
		v.closeOnceFlushed()
		return
	}
	v.requestStop(!v.SentMessage)
}

// handleReaderStopped takes it that a connection's reader has handed over all that it read; partial tells that a message had begun.
func (n *Node) handleReaderStopped(v *client, partial bool) {
	switch {
	case v.closed:
	case n.over:
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
func (n *Node) closeClient(v *client, reason closeReason) {
	n.guard.Close(v.peer(), v.Pending, v.readerStopped)
	v.pendingClose = reason
	n.counts["closed: "+string(reason)]++
	v.closeOnceFlushed()
}
