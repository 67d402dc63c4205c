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

// client is a connection of a client. It carries many sessions.
type client struct {
	*conn
	share.ConnUsage
	readControl
	hasServed     bool // a session was served on this connection, or handed over on it
	closed        bool
	pendingClose  closeReason // reason for closing it once its reader has stopped; empty if it stays open
	readerStopped bool        // its reader has passed on all that it read
	readErr       error       // why its reader ended
	sessions      []*session  // requested or established over this connection; removed as they end
}

// readClient passes the messages of a client to the loop until its connection ends or the loop stops it.
func (n *Node) readClient(v *client) {
	defer n.wg.Done()
	defer context.AfterFunc(n.ctx, func() { v.nc.Close() })()
	messages := rtsp.NewConn(v.nc, messageBounds)
	v.awaitFirstMessage()
	for {
		err := messages.AwaitMessage()
		if err == nil {
			v.messageStarted()
			var m *rtsp.Message
			if m, _, err = messages.Next(); err == nil && m != nil {
				v.messageEnded()
				at := n.clock()
				if !n.post(event{do: func() { n.handleClientMessage(v, m, at) }}) {
					break
				}
				continue
			}
		}
		if v.wasStopped(err) {
			if n.post(event{do: func() { n.handleReaderStopped(v, messages.Buffered() > 0) }}) && v.awaitResume(n.ctx) {
				continue
			}
			v.awaitFlush(n.ctx) // the last answer may not have been written yet
			break
		}
		n.readFailed(v, err)
		break
	}
	v.close()
	n.clientSlots.release()
	n.post(event{do: func() { n.clientClosed(v) }})
}

// readFailed has the loop end a connection from which nothing more can be read.
func (n *Node) readFailed(v *client, err error) {
	v.readErr = err
	var malformed *rtsp.MalformedError
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		if n.post(event{do: func() { n.clientSentEOF(v) }}) {
			v.awaitFlush(n.ctx)
		}
		return
	}
	timedOut := errors.Is(err, os.ErrDeadlineExceeded) && !v.isClosing()
	if !timedOut && !errors.As(err, &malformed) && err != nil {
		return
	}
	delivered := n.post(event{do: func() {
		if timedOut {
			n.messageTimedOut(v)
		} else {
			n.rejectMalformed(v, malformed)
		}
	}})
	if delivered {
		v.discardInput()
	}
}

// clientSentEOF handles the end of a client's input. Whether the client has gone or still reads is unknown: its open
// requests are given up and get a final answer all the same.
func (n *Node) clientSentEOF(v *client) {
	if v.closed {
		return
	}
	v.readerStopped = true
	n.abortOpenRequests(v, true)
	v.closeGracefully()
}

// clientOpened registers a new connection of a client.
func (n *Node) clientOpened(v *client) {
	v.OpenedAt, v.LastUsed = n.now, n.now
	n.counts["viewers"]++
	n.clients = append(n.clients, v)
	n.enforceClientLimit()
}

// enforceClientLimit closes connections of clients past their share of the descriptors, by eviction rank.
func (n *Node) enforceClientLimit() {
	limit := share.MaxViewerConns(n.config.MaxDescriptors, n.serverConnCount())
	n.clientSlots.setLimit(limit)
	open, ending := 0, 0
	for _, v := range n.clients {
		if v.isClosing() || v.pendingClose != "" {
			ending++
		} else {
			open++
		}
	}
	// Connections that are being closed hold a descriptor as well: past the limit they don't wait for their peers.
	for _, v := range n.clients {
		if open+ending <= limit {
			return
		}
		if v.isClosing() && v.closeIfFlushed() {
			ending--
		}
	}
	for ; open > limit; open-- {
		var candidate *client
		for _, v := range n.clients {
			if v.isClosing() || v.pendingClose != "" || v.EvictionRank(n.now) < 0 {
				continue
			}
			if candidate == nil || v.EvictionRank(n.now) < candidate.EvictionRank(n.now) || v.EvictionRank(n.now) == candidate.EvictionRank(n.now) && v.LastUsed < candidate.LastUsed {
				candidate = v
			}
		}
		if candidate == nil {
			return
		}
		n.requestClose(candidate, reasonEvicted)
	}
}

// closeIdleClients closes connections of clients that have had no session for a long time.
func (n *Node) closeIdleClients() {
	for _, v := range n.clients {
		if v.Idle(n.now) {
			n.requestClose(v, reasonIdle)
		}
	}
}

// messageTimedOut ends a connection with a message that was not completed in time. Open requests on it are answered;
// without any, it is just closed.
func (n *Node) messageTimedOut(v *client) {
	if v.Pending == 0 {
		v.readerStopped = true // its reader holds no complete message
		n.closeClient(v, reasonMessageTimeout)
		return
	}
	n.rejectMalformed(v, &rtsp.MalformedError{Status: rtsp.RequestTimeout})
}

// rejectMalformed answers malformed input and ends the connection, as the start of its next message is unknown.
func (n *Node) rejectMalformed(v *client, malformed *rtsp.MalformedError) {
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
	n.abortOpenRequests(v, true)
	v.send(responseMessage(request, status))
	v.readerStopped = true
	n.closeClient(v, reasonMalformed)
}

// abortOpenRequests ends the unanswered requests of a connection, and answers them if answer is set.
func (n *Node) abortOpenRequests(v *client, answer bool) {
	if v.Pending == 0 {
		return
	}
	for _, s := range slices.Clone(v.sessions) {
		if s.state == established {
			continue
		}
		if answer {
			n.refuse(v, s.id, rtsp.InternalError, 0)
		}
		s.history.add(n.now, stepClientClosed, errText(v.readErr))
		s.history.unusual = true
		n.cancelRequest(s)
	}
}

// clientClosed handles the end of a client's connection. Established sessions go on, except those whose answer was not
// written.
func (n *Node) clientClosed(v *client) {
	if v.closed {
		return
	}
	v.closed, v.readerStopped = true, true
	n.log.Debug("client connection ended", str("from", v.peer()), str("why", errText(v.readErr)), str("closed", string(v.pendingClose)), zap.Bool("spoke", v.SentMessage), zap.Float64("age", n.now-v.OpenedAt), num("open", v.Pending), num("standing", v.Established))
	n.abortOpenRequests(v, false)
	n.clients = slices.DeleteFunc(n.clients, func(o *client) bool { return o == v })
	for _, b := range v.undelivered(n.now, v.writtenTotal) {
		n.sendRelease(nil, b)
	}
	for _, s := range slices.Clone(v.sessions) {
		s.client = nil
		if s.answerEnd < 0 || s.answerEnd > v.writtenTotal { // the client never received its answer, so nobody plays this session
			n.endSessionForClient(s)
		}
	}
}

// handleClientMessage handles one message of a client.
func (n *Node) handleClientMessage(v *client, m *rtsp.Message, readAt float64) {
	n.traceReceived(v.conn, m)
	if v.closed || v.isClosing() {
		n.log.Debug("ignored a message on a closed connection", str("from", v.peer()), str("method", m.Method), str("sess", m.Session()))
		return
	}
	v.SentMessage, v.LastUsed = true, n.now
	switch m.Method {
	case rtsp.Setup:
		n.handleSetup(v, m, readAt)
	case rtsp.TearDown:
		n.handleTeardown(v, m)
	case rtsp.Options:
		status := rtsp.OK
		if !n.ready {
			status = rtsp.ServiceUnavailable
		}
		v.send(responseMessage(m, status))
	case "": // a response to a release, or one that answers no request
	case rtsp.Announce, rtsp.Redirect, rtsp.SetParameter: // no answer is expected
	default:
		n.rejectRequest(v, m, rtsp.NotImplemented)
	}
}

// rejectRequest refuses an invalid request, and closes connections that send many of them.
func (n *Node) rejectRequest(v *client, m *rtsp.Message, status int) {
	n.malformedCount++
	v.send(responseMessage(m, status))
	if v.Malformed++; v.TooManyMalformed() {
		n.requestClose(v, reasonInvalidRequests)
	}
}

// handleSetup handles a SETUP: of a new session, or of an established one that is handed over to this node.
func (n *Node) handleSetup(v *client, m *rtsp.Message, readAt float64) {
	setup, err := n.parseSetup(m)
	if err != nil {
		n.log.Debug("refused a SETUP", str("why", err.Error()))
		n.rejectRequest(v, m, rtsp.BadRequest)
		return
	}
	v.RequestedSession = true
	if setup.currentServer != "" {
		n.acceptHandover(v, setup)
		return
	}
	if existing := n.sessions[setup.id]; existing != nil {
		// Answers are matched by session id, so two requests with one id on one connection get one answer.
		if existing.client == v && existing.state != established {
			n.guard.Answer(n.now, existing.id, invariant.Failed)
			n.cancelRequest(existing)
		}
		n.rejectRequest(v, m, rtsp.BadRequest)
		return
	}
	if v.TooManyPending(n.openRequests) {
		n.log.Debug("too many open requests", str("from", v.peer()), num("open", v.Pending), num("all", n.openRequests))
		n.counts["past the bound"]++
		v.send(responseMessage(m, rtsp.ServiceUnavailable))
		return
	}
	n.acceptRequest(v, setup, readAt)
}

// handleTeardown handles a TEARDOWN: it gives up a pending SETUP, or ends an established session, whichever connection
// it arrives on.
func (n *Node) handleTeardown(v *client, m *rtsp.Message) {
	s := n.sessions[m.Session()]
	if s == nil {
		if !validID(m.Session()) {
			n.rejectRequest(v, m, rtsp.BadRequest)
			return
		}
		v.send(responseMessage(m, rtsp.OK))
		return
	}
	if s.state != established {
		if s.client == v {
			s.history.add(n.now, stepCancelled, "")
			n.cancelRequest(s)
			v.send(responseMessage(m, rtsp.OK))
		}
		return
	}
	s.history.add(n.now, stepCancelled, "")
	n.endSessionForClient(s)
	v.send(responseMessage(m, rtsp.OK))
}
