package node

import (
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"time"

	"go.uber.org/zap"

	"rainhaven/choice/share"
	"rainhaven/internal/rtsp"
)

// viewer is one of the viewers' connections, which carries many sessions.
type viewer struct {
	*conn
	share.Holding
	proven bool // a session was served on it
	closed bool
	held   []*sess // asked or standing with this connection; emptied as they end
}

// accept takes viewers' connections until the listener is closed.
func (n *Node) accept(l net.Listener) {
	defer n.wg.Done()
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // descriptors are short: those that give way free some
			n.tell(event{do: n.makeRoom})
			time.Sleep(5 * time.Millisecond)
			continue
		}
		v := &viewer{conn: newConn(nc, n.log)}
		if !n.tell(event{do: func() { n.opened(v) }}) {
			v.close()
			return
		}
		n.wg.Add(1)
		go n.readViewer(v)
	}
}

// readViewer hands the loop what a viewer sends, until its connection ends.
func (n *Node) readViewer(v *viewer) {
	defer n.wg.Done()
	defer context.AfterFunc(n.ctx, func() { v.nc.Close() })()
	in := rtsp.NewConn(v.nc, bounds)
	v.nc.SetReadDeadline(time.Now().Add(time.Duration(share.Begin * float64(time.Second))))
	var why error
	for first := true; ; first = false {
		err := in.Await()
		if err == nil && !first {
			v.nc.SetReadDeadline(time.Now().Add(time.Duration(share.Begin * float64(time.Second))))
		}
		var m *rtsp.Message
		if err == nil {
			m, _, err = in.Next()
		}
		if err == nil && m != nil {
			if !v.isEnding() {
				v.nc.SetReadDeadline(time.Time{})
			}
			if !n.tell(event{do: func() { n.heardViewer(v, m) }}) {
				break
			}
			continue
		}
		why = err
		var bad *rtsp.MalformedError
		late := errors.Is(err, os.ErrDeadlineExceeded) && !v.isEnding()
		if late || errors.As(err, &bad) || err == nil {
			if !n.tell(event{do: func() {
				if late {
					n.overdue(v)
				} else {
					n.malformed(v, bad)
				}
			}}) {
				break
			}
			v.discard()
		}
		break
	}
	v.close()
	n.tell(event{do: func() { n.closedViewer(v, why) }})
}

func (n *Node) opened(v *viewer) {
	v.Since, v.Used = n.now, n.now
	n.counts["viewers"]++
	n.viewers = append(n.viewers, v)
	n.makeRoom()
}

// makeRoom closes viewers' connections past their share of descriptors: those who give way first.
func (n *Node) makeRoom() {
	most := share.Viewers(n.start.Sockets, n.links())
	open, ending := 0, 0
	for _, v := range n.viewers {
		if v.isEnding() {
			ending++
		} else {
			open++
		}
	}
	// Those that are being closed hold a descriptor as well: past as many as may be open none waits for its peer.
	for _, v := range n.viewers {
		if open+ending <= most {
			return
		}
		if v.isEnding() && v.drop() {
			ending--
		}
	}
	for ; open > most; open-- {
		var first *viewer
		for _, v := range n.viewers {
			if v.isEnding() || v.Rank(n.now) < 0 {
				continue
			}
			if first == nil || v.Rank(n.now) < first.Rank(n.now) || v.Rank(n.now) == first.Rank(n.now) && v.Used < first.Used {
				first = v
			}
		}
		if first == nil {
			return
		}
		n.log.Debug("a viewer's connection gives way", str("from", first.nc.RemoteAddr().String()), num("rank", first.Rank(n.now)), zap.Float64("age", n.now-first.Since))
		first.cut()
	}
}

// sweep closes viewers' connections that have had no session for long.
func (n *Node) sweep() {
	for _, v := range n.viewers {
		if v.Idle(n.now) && !v.isEnding() {
			n.log.Debug("an unused connection is closed", str("from", v.nc.RemoteAddr().String()))
			v.cut()
		}
	}
}

// overdue ends a connection whose message does not come to its end: what is open beside it is answered; where nothing is,
// it is just closed.
func (n *Node) overdue(v *viewer) {
	if v.Open == 0 {
		v.cut()
		return
	}
	n.malformed(v, &rtsp.MalformedError{Status: rtsp.RequestTimeout})
}

// malformed answers what can't be read, and ends the connection: where its next message begins can't be known.
func (n *Node) malformed(v *viewer, bad *rtsp.MalformedError) {
	n.wrongs++
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
	v.end()
}

// abandon ends the requests of a connection that are without their answers; they get one only if it is wanted.
func (n *Node) abandon(v *viewer, answer bool) {
	if v.Open == 0 {
		return
	}
	for _, s := range slices.Clone(v.held) {
		if s.state == standing {
			continue
		}
		if answer {
			v.send(refusal(s.id, rtsp.InternalError, 0))
		}
		n.giveUp(s)
	}
}

func (n *Node) closedViewer(v *viewer, why error) {
	if v.closed {
		return
	}
	v.closed = true
	n.log.Debug("a viewer's connection ended", str("from", v.nc.RemoteAddr().String()), str("why", errText(why)), zap.Bool("spoke", v.Spoke), zap.Float64("age", n.now-v.Since), num("open", v.Open), num("standing", v.Standing))
	n.abandon(v, false)
	n.viewers = slices.DeleteFunc(n.viewers, func(o *viewer) bool { return o == v })
	for _, b := range v.unsure(n.now, v.written) {
		n.release(nil, b)
	}
	for _, s := range slices.Clone(v.held) {
		s.viewer = nil
		if s.answered < 0 || s.answered > v.written { // it never got its answer: nobody plays there
			n.viewerLeft(s)
		}
	}
}

// heardViewer takes one message of a viewer's.
func (n *Node) heardViewer(v *viewer, m *rtsp.Message) {
	n.traceReceived(v.conn, m)
	if v.closed || v.isEnding() {
		n.log.Debug("said on a connection that is being closed", str("from", v.nc.RemoteAddr().String()), str("method", m.Method), str("sess", m.Session()))
		return
	}
	v.Spoke, v.Used = true, n.now
	switch m.Method {
	case rtsp.Setup:
		n.setup(v, m)
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
func (n *Node) refuseWrong(v *viewer, m *rtsp.Message, status int) {
	n.wrongs++
	v.send(response(m, status))
	if v.Wrong++; v.Senseless() {
		v.end()
	}
}

func (n *Node) setup(v *viewer, m *rtsp.Message) {
	a, err := n.readAsk(m)
	if err != nil {
		n.log.Debug("refused a SETUP", str("why", err.Error()))
		n.refuseWrong(v, m, rtsp.BadRequest)
		return
	}
	v.Asked = true
	if a.at != "" {
		n.handed(v, a)
		return
	}
	if old := n.sess[a.id]; old != nil {
		// Two requests under one id: answers are matched by it, so on one connection both get the one.
		n.refuseWrong(v, m, rtsp.BadRequest)
		if old.viewer == v && old.state != standing {
			n.giveUp(old)
		}
		return
	}
	if v.TooMany(n.open) {
		n.log.Debug("past the bound on open requests", str("from", v.nc.RemoteAddr().String()), num("open", v.Open), num("all", n.open))
		n.counts["past the bound"]++
		v.send(response(m, rtsp.ServiceUnavailable))
		return
	}
	n.ask(v, a)
}

// withdrawn takes a TEARDOWN: a SETUP is given up, or a session that stands is over, from any connection.
func (n *Node) withdrawn(v *viewer, m *rtsp.Message) {
	s := n.sess[m.Session()]
	if s == nil {
		if !validID(m.Session()) {
			n.refuseWrong(v, m, rtsp.BadRequest)
			return
		}
		v.send(response(m, rtsp.OK))
		return
	}
	if s.state != standing {
		if s.viewer == v {
			n.giveUp(s)
			v.send(response(m, rtsp.OK))
		}
		return
	}
	n.viewerLeft(s)
	v.send(response(m, rtsp.OK))
}
