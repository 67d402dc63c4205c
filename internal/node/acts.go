package node

import (
	"fmt"
	"strconv"

	"go.uber.org/zap"

	"rainhaven/choice"
	"rainhaven/choice/decisionlog"
	"rainhaven/internal/rtsp"
	"rainhaven/internal/wire"
)

// acts carries out what the module decides.
type acts struct{ n *Node }

func (a acts) SetRung(id choice.SessID, rung int) {
	s := a.n.sessions[string(id)]
	if s == nil {
		return
	}
	s.rung = rung
	if s.state == established {
		a.n.counts["rungs"]++
		a.n.toServer(s.server, rungMessage(s))
	}
}

func (a acts) Setup(id choice.SessID, number choice.ServerID, wait float64) {
	n := a.n
	s, sv := n.sessions[string(id)], n.numbers[number]
	if s == nil {
		return
	}
	if sv == nil {
		n.feed(wire.Event{Kind: wire.SetupEnded, Request: choice.Request{ID: id}, Server: number, Outcome: choice.Unsent, Report: noReport})
		return
	}
	n.log.Debug("setup", str("sess", s.id), str("server", sv.id), num("rung", s.rung), zap.Float64("wait", wait))
	if !n.guard.StartAttempt(n.now, s.id) {
		n.feed(wire.Event{Kind: wire.SetupEnded, Request: choice.Request{ID: id}, Server: number, Outcome: choice.Unsent, Report: noReport})
		return
	}
	wait = n.trials.wait(wait)
	s.history.note(n.now, stepAttempt, sv.id)
	s.state, s.server, s.until, s.resent, s.local = attempting, sv, n.now+wait, 0, 0
	s.waiting = n.after(wait, func() { n.timedOut(s) })
	n.carry(s)
}

func (a acts) BusyReply(id choice.SessID, comeBack float64) {
	a.final(id, rtsp.ServiceUnavailable, comeBack)
}

func (a acts) FailureReply(id choice.SessID) { a.final(id, rtsp.InternalError, 0) }

func (a acts) final(id choice.SessID, status int, comeBack float64) {
	n := a.n
	s := n.sessions[string(id)]
	if s == nil {
		return
	}
	n.counts[fmt.Sprintf("answer %d", status)]++
	if n.log.Core().Enabled(zap.DebugLevel) {
		act := decisionlog.BusyReplied
		if status == rtsp.InternalError {
			act = decisionlog.Failed
		}
		st, _ := n.front.Explain(id)
		why := decisionlog.Explain([]decisionlog.Entry{{At: n.now, Session: id, Kind: act, Seconds: comeBack, Snapshot: st, HolderCount: len(st.Holders)}})
		n.log.Debug("refused", str("sess", s.id), num("status", status), zap.Strings("why", why))
	}
	s.history.note(n.now, stepAnswered, strconv.Itoa(status))
	n.refuse(s.client, s.id, status, comeBack)
	n.forget(s)
}

func (a acts) Probe(number choice.ServerID) {
	n := a.n
	if sv := n.numbers[number]; sv != nil {
		n.counts["probes"]++
		n.probe(sv)
		return
	}
	n.feed(wire.Event{Kind: wire.ProbeEnded, Server: number, Outcome: choice.NoConnection, Report: noReport})
}

// SendMessage does nothing: the platform gives fronts no way to find each other.
func (a acts) SendMessage(int, []byte) {}

func (a acts) SetTimer(after float64) { a.n.due = a.n.now + after }
