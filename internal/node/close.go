package node

// closeReason says why the node closes a connection of a client. Its values are keys of the counts logged at the exit.
type closeReason string

const (
	reasonIdle            closeReason = "without sessions for long"
	reasonEvicted         closeReason = "gives way to a newer one"
	reasonInvalidRequests closeReason = "too many requests that make no sense"
	reasonMessageTimeout  closeReason = "a message did not come to its end"
	reasonMalformed       closeReason = "what came can't be read"
)

// requestClose closes a connection of a client without open requests, once its reader has passed on what it read. If a
// request is among that, the connection stays open.
func (n *Node) requestClose(v *client, reason closeReason) {
	if v.pendingClose != "" || v.closed || v.isClosing() {
		return
	}
	n.log.Debug("closing a client connection", str("from", v.peer()), str("why", string(reason)), num("rank", v.EvictionRank(n.now)))
	v.pendingClose = reason
	if n.trials.closesWithoutReader() {
		v.closeOnceFlushed()
		return
	}
	v.requestStop(!v.SentMessage)
}

// handleReaderStopped handles the report that a reader has stopped and passed on all that it read; partial says that
// the start of another message was read.
func (n *Node) handleReaderStopped(v *client, partial bool) {
	switch {
	case v.closed:
	case n.exiting:
		v.readerStopped = true
	case v.Pending == 0:
		v.readerStopped = true
		n.closeClient(v, v.pendingClose)
		v.endReading()
	case partial: // stopped within a message, where reading can't resume
		n.rejectMalformed(v, nil)
		v.endReading()
	default:
		v.pendingClose = ""
		v.resumeReading()
	}
}

// closeClient closes a connection of a client once its queued bytes are written.
func (n *Node) closeClient(v *client, reason closeReason) {
	n.guard.Close(v.peer(), v.Pending, v.readerStopped)
	v.pendingClose = reason
	n.counts["closed: "+string(reason)]++
	v.closeOnceFlushed()
}
