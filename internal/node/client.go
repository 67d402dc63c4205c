package node

import (
	"context"
	"errors"
	"io"
	"os"
	"slices"

	"go.uber.org/zap"

	"rainhaven/choice/share"
	"rainhaven/internal/invariant"
	"rainhaven/internal/rtsp"
)

// client is the connection of a client. It carries many sessions.
type client struct {
	*conn
	share.ConnUsage
	readControl
	hasServed     bool // a session was served on this connection, or handed over on it
	namesOthers   bool // it is namedOn for sessions of other connections
	closed        bool
	pendingClose  closeReason // reason for closing it once its reader has stopped; empty if it stays open
	readerStopped bool        // its reader has passed on all that it read
	readErr       error       // why its reader ended
	sessions      []*session  // requested or established over this connection; removed as they end
}

// readClient passes the messages of a client to the loop until its connection ends or the loop stops it.
func (n *Node) readClient(cl *client) {
	defer n.wg.Done()
	defer context.AfterFunc(n.ctx, func() { cl.nc.Close() })()
	messages := rtsp.NewConn(overdueReader{cl.nc, cl.extendDeadline}, messageBounds)
	var pacing readPacing
	cl.awaitFirstMessage()
	for {
		err := messages.AwaitMessage()
		if err == nil {
			cl.messageStarted()
			var m *rtsp.Message
			if m, _, err = messages.Next(); err == nil && m != nil {
				cl.messageEnded()
				at := n.clock()
				if !n.post(event{do: func() { n.handleClientMessage(cl, m, at) }}) || !pacing.pace(n, &cl.readControl) {
					break
				}
				continue
			}
		}
		if cl.wasStopped(err) {
			if n.post(event{do: func() { n.handleReaderStopped(cl, messages.Buffered() > 0) }}) && cl.awaitResume(n.ctx) {
				continue
			}
			cl.awaitFlush(n.ctx) // the last answer may not have been written yet
			break
		}
		n.readFailed(cl, err)
		break
	}
	cl.close()
	n.clientSlots.release()
	n.post(event{do: func() { n.clientClosed(cl) }})
}

// readFailed has the loop end a connection from which nothing more can be read.
func (n *Node) readFailed(cl *client, err error) {
	cl.readErr = err
	var malformed *rtsp.MalformedError
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		if n.post(event{do: func() { n.clientSentEOF(cl) }}) {
			cl.awaitFlush(n.ctx)
		}
		return
	}
	timedOut := errors.Is(err, os.ErrDeadlineExceeded) && !cl.isClosing()
	if !timedOut && !errors.As(err, &malformed) && err != nil {
		return
	}
	answers := make(chan bool, 1)
	delivered := n.post(event{do: func() {
		if timedOut {
			answers <- n.messageTimedOut(cl)
		} else {
			n.rejectMalformed(cl, malformed)
			answers <- true
		}
	}})
	if !delivered {
		return
	}
	select {
	case answered := <-answers:
		if answered { // the client gets the answer only if its input is read until then
			cl.discardInput()
		}
	case <-n.ctx.Done():
	}
}

// clientSentEOF handles the end of a client's input. Whether the client has gone or still reads is unknown: its open
// requests are given up and get a final answer all the same.
func (n *Node) clientSentEOF(cl *client) {
	if cl.closed {
		return
	}
	cl.readerStopped = true
	n.abortOpenRequests(cl, true)
	cl.closeGracefully()
}

// clientOpened registers a new connection of a client.
func (n *Node) clientOpened(cl *client) {
	cl.OpenedAt, cl.LastUsed, cl.lastHeard = n.now, n.now, n.now
	n.counts["viewers"]++
	n.clients = append(n.clients, cl)
	n.enforceClientLimit()
	n.sendPendingReleases()
}

// enforceClientLimit closes connections of clients past their share of the descriptors, by eviction rank.
func (n *Node) enforceClientLimit() {
	limit := share.MaxViewerConns(n.config.MaxDescriptors, n.serverConnCount())
	n.clientSlots.setLimit(limit)
	open, ending := 0, 0
	for _, cl := range n.clients {
		if cl.isClosing() || cl.pendingClose != "" {
			ending++
		} else {
			open++
		}
	}
	// Connections that are being closed hold a descriptor as well: past the limit they don't wait for their peers.
	for _, cl := range n.clients {
		if open+ending <= limit {
			return
		}
		if cl.isClosing() && cl.closeIfFlushed() {
			ending--
		}
	}
	for ; open > limit; open-- {
		candidate := n.evictionCandidate()
		if candidate == nil {
			return
		}
		n.requestClose(candidate, reasonEvicted)
	}
}

// evictionCandidate returns the connection with the lowest eviction rank, of equals the one unused longest; nil if none may be
// evicted.
func (n *Node) evictionCandidate() (candidate *client) {
	lowest := 0
	for _, cl := range n.clients {
		rank := cl.EvictionRank(n.now)
		if rank < 0 || cl.isClosing() || cl.pendingClose != "" {
			continue
		}
		if candidate == nil || rank < lowest || rank == lowest && cl.LastUsed < candidate.LastUsed {
			candidate, lowest = cl, rank
		}
	}
	return candidate
}

// closeIdleClients closes connections of clients that have had no session for a long time.
func (n *Node) closeIdleClients() {
	for _, cl := range n.clients {
		if cl.Idle(n.now) {
			n.requestClose(cl, reasonIdle)
		}
	}
}

// messageTimedOut ends a connection with a message that was not completed in time. Open requests on it are answered;
// without any, it is just closed: a request that crosses the close stays unread, so that its client sees a reset. It reports
// whether something was answered.
func (n *Node) messageTimedOut(cl *client) (answered bool) {
	if cl.Pending == 0 {
		cl.readerStopped = true // its reader holds no complete message
		n.closeClient(cl, reasonMessageTimeout)
		return false
	}
	n.rejectMalformed(cl, &rtsp.MalformedError{Status: rtsp.RequestTimeout})
	return true
}

// rejectMalformed answers malformed input and ends the connection, as the start of its next message is unknown.
func (n *Node) rejectMalformed(cl *client, malformed *rtsp.MalformedError) {
	n.malformedCount++
	status := rtsp.BadRequest
	request := &rtsp.Message{Header: rtsp.Header{}}
	if malformed != nil {
		if malformed.Status != 0 {
			status = malformed.Status
		}
		if malformed.CSeq != "" {
			request.Header["Cseq"] = []string{malformed.CSeq}
		}
	}
	n.abortOpenRequests(cl, true)
	cl.send(responseMessage(request, status))
	cl.readerStopped = true
	n.closeClient(cl, reasonMalformed)
}

// abortOpenRequests ends the unanswered requests of a connection, and answers them if answer is set.
func (n *Node) abortOpenRequests(cl *client, answer bool) {
	if cl.Pending == 0 {
		return
	}
	for _, s := range slices.Clone(cl.sessions) {
		if s.state == established {
			continue
		}
		if answer {
			n.refuse(cl, s.id, rtsp.InternalError, 0)
		}
		s.history.add(n.now, stepClientClosed, errText(cl.readErr))
		s.history.unusual = true
		n.cancelRequest(s)
	}
}

// clientClosed handles the end of a client's connection. Established sessions go on, except those whose answer was not
// written.
func (n *Node) clientClosed(cl *client) {
	if cl.closed {
		return
	}
	cl.closed, cl.readerStopped = true, true
	n.log.Debug("client connection ended", str("from", cl.peer()), str("why", errText(cl.readErr)), str("closed", string(cl.pendingClose)), zap.Bool("spoke", cl.SentMessage), zap.Float64("age", n.now-cl.OpenedAt), num("open", cl.Pending), num("standing", cl.Established))
	n.abortOpenRequests(cl, false)
	n.clients = slices.DeleteFunc(n.clients, func(o *client) bool { return o == cl })
	orderly := cl.pendingClose != "" || errors.Is(cl.readErr, io.EOF)
	for _, m := range cl.undelivered(n.now, cl.writtenTotal, orderly) {
		n.releaseOnAnyConn(m.id, m.data)
	}
	if cl.namesOthers {
		for _, s := range n.sessions {
			if s.namedOn == cl {
				s.namedOn = nil
			}
		}
	}
	for _, s := range slices.Clone(cl.sessions) {
		answered := s.answerEnd >= 0 && s.answerEnd <= cl.writtenTotal || s.namedOn != nil
		n.loseClient(s)
		if !answered { // the client never received its answer, so nobody plays this session
			n.endSessionForClient(s)
		}
	}
}

// handleClientMessage handles one message of a client.
func (n *Node) handleClientMessage(cl *client, m *rtsp.Message, readAt float64) {
	n.traceReceived(cl.conn, m)
	if cl.closed || cl.isClosing() {
		n.handleLastClientMessage(cl, m)
		return
	}
	cl.SentMessage, cl.LastUsed, cl.lastHeard = true, n.now, n.now
	switch m.Method {
	case rtsp.Setup:
		n.handleSetup(cl, m, readAt)
	case rtsp.TearDown:
		n.handleTeardown(cl, m)
	case rtsp.Options:
		status := rtsp.OK
		if !n.ready {
			status = rtsp.ServiceUnavailable
		}
		cl.send(responseMessage(m, status))
	case "": // a response to a release, or one that answers no request
		if m.Header.Get("Cseq") == cseqTearDown {
			cl.acknowledge(m.Session())
		}
	case rtsp.Announce, rtsp.Redirect, rtsp.SetParameter: // no answer is expected
	default:
		n.rejectRequest(cl, m, rtsp.NotImplemented)
	}
}

// handleLastClientMessage handles a message of a client whose connection takes no answers any more. What concerns a session that
// stands may arrive on any connection; requests are ignored.
func (n *Node) handleLastClientMessage(cl *client, m *rtsp.Message) {
	switch m.Method {
	case rtsp.TearDown:
		n.handleTeardown(cl, m)
		return
	case rtsp.Setup:
		if setup, err := n.parseSetup(m); err == nil && setup.currentServer != "" {
			n.acceptHandover(cl, setup)
			return
		}
	}
	n.log.Debug("ignored a message on a closed connection", str("from", cl.peer()), str("method", m.Method), str("sess", m.Session()))
}

// rejectRequest refuses an invalid request, and closes connections that send many of them.
func (n *Node) rejectRequest(cl *client, m *rtsp.Message, status int) {
	n.malformedCount++
	cl.send(responseMessage(m, status))
	if cl.Malformed++; cl.TooManyMalformed() {
		n.requestClose(cl, reasonInvalidRequests)
	}
}

// handleSetup handles a SETUP: of a new session, or of an established one that is handed over to this node.
func (n *Node) handleSetup(cl *client, m *rtsp.Message, readAt float64) {
	setup, err := n.parseSetup(m)
	if err != nil {
		n.log.Debug("refused a SETUP", str("why", err.Error()))
		n.rejectRequest(cl, m, rtsp.BadRequest)
		return
	}
	cl.RequestedSession = true
	if setup.currentServer != "" {
		n.acceptHandover(cl, setup)
		return
	}
	if existing := n.sessions[setup.id]; existing != nil {
		// Answers are matched by session id, so two requests with one id on one connection get one answer.
		if existing.client == cl && existing.state != established {
			n.guard.Answer(n.now, existing.id, invariant.Failed)
			n.cancelRequest(existing)
		}
		n.rejectRequest(cl, m, rtsp.BadRequest)
		return
	}
	if n.ranIDs.contains(setup.id) {
		n.log.Debug("refused a SETUP whose id has run before", str("sess", setup.id), str("from", cl.peer()))
		n.counts["id again"]++
		n.rejectRequest(cl, m, rtsp.BadRequest)
		return
	}
	if cl.TooManyPending(n.openRequests) {
		n.log.Debug("too many open requests", str("from", cl.peer()), num("open", cl.Pending), num("all", n.openRequests))
		n.counts["past the bound"]++
		cl.send(responseMessage(m, rtsp.ServiceUnavailable))
		return
	}
	n.acceptRequest(cl, setup, readAt)
}

// handleTeardown handles a TEARDOWN: it gives up a pending SETUP, or ends an established session, whichever connection
// it arrives on.
func (n *Node) handleTeardown(cl *client, m *rtsp.Message) {
	s := n.sessions[m.Session()]
	if s == nil {
		if !validID(m.Session()) {
			n.rejectRequest(cl, m, rtsp.BadRequest)
			return
		}
		n.rememberEndByClient(m.Session())
		cl.send(responseMessage(m, rtsp.OK))
		return
	}
	if s.state != established {
		if s.client == cl {
			s.history.add(n.now, stepCancelled, "")
			n.cancelRequest(s)
			cl.send(responseMessage(m, rtsp.OK))
		}
		return
	}
	s.history.add(n.now, stepCancelled, "")
	n.endSessionForClient(s)
	cl.send(responseMessage(m, rtsp.OK))
}
