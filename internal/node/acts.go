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

// actions carries out the module's decisions.
type actions struct{ n *Node }

func (a actions) SetRung(id choice.SessID, rung int) {
	s := a.n.sessions[string(id)]
	if s == nil {
		return
	}
	s.rung = rung
	if s.state == established {
		a.n.counts["rungs"]++
		a.n.sendRung(s)
	}
}

func (a actions) Setup(id choice.SessID, number choice.ServerID, timeout float64) {
	n := a.n
	s, sv := n.sessions[string(id)], n.serversByNumber[number]
	if s == nil {
		return
	}
	if sv == nil {
		n.notifyModule(wire.Event{Kind: wire.SetupEnded, Request: choice.Request{ID: id}, Server: number, Outcome: choice.Unsent, Report: noReport})
		return
	}
	n.log.Debug("SETUP ordered", str("sess", s.id), str("server", sv.id), num("rung", s.rung), zap.Float64("wait", timeout))
	if !n.guard.StartAttempt(n.now, s.id) {
		n.notifyModule(wire.Event{Kind: wire.SetupEnded, Request: choice.Request{ID: id}, Server: number, Outcome: choice.Unsent, Report: noReport})
		return
	}
	timeout = n.trials.alterWait(timeout)
	s.history.add(n.now, stepAttempt, sv.id)
	s.state, s.server, s.setupDeadline, s.resends, s.localRetries = attempting, sv, n.now+timeout, 0, 0
	s.setupTimer = n.after(timeout, func() { n.setupTimedOut(s) })
	n.dispatchSetup(s)
}

func (a actions) BusyReply(id choice.SessID, retryAfter float64) {
	a.finalAnswer(id, rtsp.ServiceUnavailable, retryAfter)
}

func (a actions) FailureReply(id choice.SessID) { a.finalAnswer(id, rtsp.InternalError, 0) }

// finalAnswer refuses a request and forgets its session.
func (a actions) finalAnswer(id choice.SessID, status int, retryAfter float64) {
	n := a.n
	s := n.sessions[string(id)]
	if s == nil {
		return
	}
	n.counts[fmt.Sprintf("answer %d", status)]++
	if n.log.Core().Enabled(zap.DebugLevel) {
		kind := decisionlog.BusyReplied
		if status == rtsp.InternalError {
			kind = decisionlog.Failed
		}
		snapshot, _ := n.front.Explain(id)
		reasons := decisionlog.Explain([]decisionlog.Entry{{At: n.now, Session: id, Kind: kind, Seconds: retryAfter, Snapshot: snapshot, HolderCount: len(snapshot.Holders)}})
		n.log.Debug("request refused", str("sess", s.id), num("status", status), zap.Strings("why", reasons))
	}
	s.history.add(n.now, stepAnswered, strconv.Itoa(status))
	n.refuse(s.client, s.id, status, retryAfter)
	n.removeSession(s)
}

func (a actions) Probe(number choice.ServerID) {
	n := a.n
	if sv := n.serversByNumber[number]; sv != nil {
		n.counts["probes"]++
		n.probe(sv)
		return
	}
	n.notifyModule(wire.Event{Kind: wire.ProbeEnded, Server: number, Outcome: choice.NoConnection, Report: noReport})
}

// SendMessage does nothing: on this platform fronts cannot find each other.
func (a actions) SendMessage(int, []byte) {}

func (a actions) SetTimer(after float64) { a.n.wakeAt = a.n.now + after }
