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

// client is one of the clients' connections, which carries many sessions.
type client struct {
	*conn
	share.ConnUsage
	readControl
	proven   bool // a session was served on it
	closed   bool
	stopping closeReason // why it is to be closed once its reader has stopped; empty where it is not
	stopped  bool        // its reader has handed over all that it read
	why      error       // why its reader ended
	held     []*session  // asked or standing with this connection; emptied as they end
}

// readClient hands the loop what a client sends, until its connection ends or the loop has it stopped.
func (n *Node) readClient(v *client) {
	defer n.wg.Done()
	defer context.AfterFunc(n.ctx, func() { v.nc.Close() })()
	in := rtsp.NewConn(v.nc, bounds)
	v.firstMessage()
	for {
		err := in.Await()
		if err == nil {
			v.messageBegan()
			var m *rtsp.Message
			if m, _, err = in.Next(); err == nil && m != nil {
				v.messageEnded()
				at := n.clock()
				if !n.post(event{do: func() { n.heardClient(v, m, at) }}) {
					break
				}
				continue
			}
		}
		if v.wasStopped(err) {
			if n.post(event{do: func() { n.readerStopped(v, in.Buffered() > 0) }}) && v.mayGoOn(n.ctx) {
				continue
			}
			v.awaitFlush(n.ctx) // the last answer may not have been written yet
			break
		}
		n.readFailed(v, err)
		break
	}
	v.close()
	n.clientSlots.free()
	n.post(event{do: func() { n.closedClient(v) }})
}

// readFailed has the loop end a connection from which nothing more can be read.
func (n *Node) readFailed(v *client, err error) {
	v.why = err
	var bad *rtsp.MalformedError
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		if n.post(event{do: func() { n.sendingEnded(v) }}) {
			v.awaitFlush(n.ctx)
		}
		return
	}
	late := errors.Is(err, os.ErrDeadlineExceeded) && !v.isEnding()
	if !late && !errors.As(err, &bad) && err != nil {
		return
	}
	heard := n.post(event{do: func() {
		if late {
			n.overdue(v)
		} else {
			n.malformed(v, bad)
		}
	}})
	if heard {
		v.discard()
	}
}

// sendingEnded takes it that a client sends nothing more. Whether it has gone or still reads can't be told: its open requests are
// given up, and get their final answers all the same.
func (n *Node) sendingEnded(v *client) {
	if v.closed {
		return
	}
	v.stopped = true
	n.abandon(v, true)
	v.end()
}

func (n *Node) opened(v *client) {
	v.OpenedAt, v.LastUsed = n.now, n.now
	n.counts["viewers"]++
	n.clients = append(n.clients, v)
	n.makeRoom()
}

// makeRoom closes clients' connections past their share of descriptors: those who give way first.
func (n *Node) makeRoom() {
	most := share.MaxViewerConns(n.config.Sockets, n.links())
	n.clientSlots.setMost(most)
	open, ending := 0, 0
	for _, v := range n.clients {
		if v.isEnding() || v.stopping != "" {
			ending++
		} else {
			open++
		}
	}
	// Those that are being closed hold a descriptor as well: past as many as may be open none waits for its peer.
	for _, v := range n.clients {
		if open+ending <= most {
			return
		}
		if v.isEnding() && v.drop() {
			ending--
		}
	}
	for ; open > most; open-- {
		var first *client
		for _, v := range n.clients {
			if v.isEnding() || v.stopping != "" || v.EvictionRank(n.now) < 0 {
				continue
			}
			if first == nil || v.EvictionRank(n.now) < first.EvictionRank(n.now) || v.EvictionRank(n.now) == first.EvictionRank(n.now) && v.LastUsed < first.LastUsed {
				first = v
			}
		}
		if first == nil {
			return
		}
		n.closeUnused(first, givesWay)
	}
}

// sweep closes clients' connections that have had no session for long.
func (n *Node) sweep() {
	for _, v := range n.clients {
		if v.Idle(n.now) {
			n.closeUnused(v, unused)
		}
	}
}

// overdue ends a connection whose message does not come to its end: what is open beside it is answered; where nothing is,
// it is just closed.
func (n *Node) overdue(v *client) {
	if v.Pending == 0 {
		v.stopped = true // what its reader has is no whole message
		n.closeClient(v, overdue)
		return
	}
	n.malformed(v, &rtsp.MalformedError{Status: rtsp.RequestTimeout})
}

// malformed answers what can't be read, and ends the connection: where its next message begins can't be known.
func (n *Node) malformed(v *client, bad *rtsp.MalformedError) {
	n.malformedCount++
	status := rtsp.BadRequest
	r := &rtsp.Message{Header: rtsp.Header{}}
	if bad != nil {
		if bad.Status != 0 {
			status = bad.Status
		}
		if bad.CSeq != "" {
			r.Header["Cseq"] = []string{bad.CSeq}
		}
	}
	n.abandon(v, true)
	v.send(response(r, status))
	v.stopped = true
	n.closeClient(v, unreadable)
}

// abandon ends the requests of a connection that are without their answers; they get one only if it is wanted.
func (n *Node) abandon(v *client, answer bool) {
	if v.Pending == 0 {
		return
	}
	for _, s := range slices.Clone(v.held) {
		if s.state == established {
			continue
		}
		if answer {
			n.refuse(v, s.id, rtsp.InternalError, 0)
		}
		s.history.add(n.now, stepClientClosed, errText(v.why))
		s.history.unusual = true
		n.cancelRequest(s)
	}
}

func (n *Node) closedClient(v *client) {
	if v.closed {
		return
	}
	v.closed, v.stopped = true, true
	n.log.Debug("a client's connection ended", str("from", v.peer()), str("why", errText(v.why)), str("closed", string(v.stopping)), zap.Bool("spoke", v.SentMessage), zap.Float64("age", n.now-v.OpenedAt), num("open", v.Pending), num("standing", v.Established))
	n.abandon(v, false)
	n.clients = slices.DeleteFunc(n.clients, func(o *client) bool { return o == v })
	for _, b := range v.unsure(n.now, v.written) {
		n.sendRelease(nil, b)
	}
	for _, s := range slices.Clone(v.held) {
		s.client = nil
		if s.answerEnd < 0 || s.answerEnd > v.written { // it never got its answer: nobody plays there
			n.endSessionForClient(s)
		}
	}
}

// heardClient takes one message of a client's.
func (n *Node) heardClient(v *client, m *rtsp.Message, at float64) {
	n.traceReceived(v.conn, m)
	if v.closed || v.isEnding() {
		n.log.Debug("said on a connection that has ended", str("from", v.peer()), str("method", m.Method), str("sess", m.Session()))
		return
	}
	v.SentMessage, v.LastUsed = true, n.now
	switch m.Method {
	case rtsp.Setup:
		n.setup(v, m, at)
	case rtsp.TearDown:
		n.withdrawn(v, m)
	case rtsp.Options:
		status := rtsp.OK
		if !n.ready {
			status = rtsp.ServiceUnavailable
		}
		v.send(response(m, status))
	case "": // a response: to a release, or to nothing of ours
	case rtsp.Announce, rtsp.Redirect, rtsp.SetParameter: // want no answer
	default:
		n.refuseWrong(v, m, rtsp.NotImplemented)
	}
}

// refuseWrong refuses a request that makes no sense, and closes connections that send many.
func (n *Node) refuseWrong(v *client, m *rtsp.Message, status int) {
	n.malformedCount++
	v.send(response(m, status))
	if v.Malformed++; v.TooManyMalformed() {
		n.closeUnused(v, senseless)
	}
}

func (n *Node) setup(v *client, m *rtsp.Message, at float64) {
	a, err := n.readAsk(m)
	if err != nil {
		n.log.Debug("refused a SETUP", str("why", err.Error()))
		n.refuseWrong(v, m, rtsp.BadRequest)
		return
	}
	v.RequestedSession = true
	if a.at != "" {
		n.acceptHandover(v, a)
		return
	}
	if old := n.sessions[a.id]; old != nil {
		// Two requests under one id: answers are matched by it, so on one connection both get the one.
		if old.client == v && old.state != established {
			n.guard.Answer(n.now, old.id, invariant.Failed)
			n.cancelRequest(old)
		}
		n.refuseWrong(v, m, rtsp.BadRequest)
		return
	}
	if v.TooManyPending(n.openRequests) {
		n.log.Debug("past the bound on open requests", str("from", v.peer()), num("open", v.Pending), num("all", n.openRequests))
		n.counts["past the bound"]++
		v.send(response(m, rtsp.ServiceUnavailable))
		return
	}
	n.acceptRequest(v, a, at)
}

// withdrawn takes a TEARDOWN: a SETUP is given up, or a session that stands is over, from any connection.
func (n *Node) withdrawn(v *client, m *rtsp.Message) {
	s := n.sessions[m.Session()]
	if s == nil {
		if !validID(m.Session()) {
			n.refuseWrong(v, m, rtsp.BadRequest)
			return
		}
		v.send(response(m, rtsp.OK))
		return
	}
	if s.state != established {
		if s.client == v {
			s.history.add(n.now, stepCancelled, "")
			n.cancelRequest(s)
			v.send(response(m, rtsp.OK))
		}
		return
	}
	s.history.add(n.now, stepCancelled, "")
	n.endSessionForClient(s)
	v.send(response(m, rtsp.OK))
}
