package node

// closeReason is why the node closes a client's connection. Its values are keys of the counts logged at the exit.
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
func (n *Node) requestClose(cl *client, reason closeReason) {
	if cl.pendingClose != "" || cl.closed || cl.isClosing() {
		return
	}
	n.log.Debug("closing a client connection", str("from", cl.peer()), str("why", string(reason)), num("rank", cl.EvictionRank(n.now)))
	cl.pendingClose = reason
	if n.trials.closesWithoutReader() {
		cl.closeOnceFlushed()
		return
	}
	cl.requestStop(!cl.SentMessage)
}

// handleReaderStopped handles the report that a reader has stopped and passed on all that it read; partial says that
// the start of another message was read.
func (n *Node) handleReaderStopped(cl *client, partial bool) {
	switch {
	case cl.closed:
	case n.exiting:
		cl.readerStopped = true
	case cl.Pending == 0:
		cl.readerStopped = true
		n.closeClient(cl, cl.pendingClose)
		cl.endReading()
	case partial: // stopped within a message, where reading can't resume
		n.rejectMalformed(cl, nil)
		cl.endReading()
	default:
		cl.pendingClose = ""
		cl.resumeReading()
	}
}

// closeClient closes a connection of a client once its queued bytes are written.
func (n *Node) closeClient(cl *client, reason closeReason) {
	n.guard.Close(cl.peer(), cl.Pending, cl.readerStopped)
	cl.pendingClose = reason
	n.counts["closed: "+string(reason)]++
	cl.closeOnceFlushed()
}
