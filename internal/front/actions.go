package front

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"go.uber.org/zap"

	"rainhaven/choice"
	"rainhaven/choice/limits"
	"rainhaven/choice/pool"
	"rainhaven/choice/session"
	"rainhaven/internal/relay"
	"rainhaven/internal/rtsp"
)

// frontActions implements session.Actions for a front.
type frontActions struct{ f *Front }

func (c *boxConn) url(sess *frontSession, track int) string {
	return rtsp.Resource{Host: c.Address, Group: sess.place.Group, Title: sess.place.Title, Track: track, Query: sess.place.Query}.URL()
}

// Setup implements session.Actions.
func (a frontActions) Setup(id choice.SessID, attempt int, box choice.ServerID, rung int) {
	f := a.f
	sess := f.sessions[id]
	if sess == nil {
		return
	}
	ctx, cancel := context.WithCancel(f.ctx)
	sess.attempt, sess.cancelDial = attempt, cancel
	f.connect(ctx, box, func(c *boxConn) {
		cancel()
		if sess.attempt != attempt || f.sessions[id] != sess { // cancelled in the meantime
			if c != nil {
				c.release()
			}
			return
		}
		if c == nil {
			f.metrics.setups.WithLabelValues("no connection").Inc()
			f.table.BoxFailed(id, attempt)
			return
		}
		c.session, c.attempt, c.rung = sess, attempt, rung
		c.stream.Store(sess.stream)
		f.connOf[id] = c
		t := sess.tracks[0]
		m := rtsp.NewRequest(rtsp.Setup, c.url(sess, t.number)).WithHeader("Rung", strconv.Itoa(rung)).
			WithHeader("Transport", rtsp.Transport{RTPChannel: t.boxChannel, RTCPChannel: t.boxChannel + 1}.String())
		c.send(m, func(m *rtsp.Message) { c.handleSetupAnswer(sess, attempt, m) })
		f.table.SetupSent(id, attempt)
	})
}

func (c *boxConn) handleSetupAnswer(sess *frontSession, attempt int, m *rtsp.Message) {
	f := c.f
	status := 0
	if m != nil {
		status = m.Status
	}
	switch {
	case m == nil:
		f.metrics.setups.WithLabelValues("broken").Inc()
		return // handleBoxClosed reports the failure
	case c.cancelled:
		if m.Status/100 == 2 && m.Session() != "" {
			f.tearDownOrphan(c.Endpoint, c.url(sess, -1), m.Session())
		}
		c.close()
		return
	case m.Status/100 == 2 && m.Session() == "":
		m.Status = rtsp.InternalError // a session without an id can't be played
	}
	f.metrics.setups.WithLabelValues(strconv.Itoa(m.Status)).Inc()
	if m.Status/100 == 2 {
		c.boxSession = m.Session()
	} else {
		delete(f.connOf, sess.id)
		c.releaseOrClose(pool.Reusable(status, false))
	}
	f.table.BoxAnswered(sess.id, attempt, m.Status, c.loadReport(m))
}

// CancelSetup implements session.Actions. It closes the sending side, which notifies the box. The receiving side stays
// open, so that a session that the box sets up regardless is noticed and torn down.
func (a frontActions) CancelSetup(id choice.SessID, attempt int) {
	f := a.f
	if sess := f.sessions[id]; sess != nil && sess.attempt == attempt {
		if sess.attempt = 0; sess.cancelDial != nil {
			sess.cancelDial()
		}
	}
	c := f.connOf[id]
	if c == nil || c.attempt != attempt {
		return
	}
	f.metrics.setups.WithLabelValues("withdrawn").Inc()
	delete(f.connOf, id)
	c.session, c.cancelled = nil, true
	c.stream.Store(nil)
	if f.lateAnswers++; f.lateAnswers > limits.MaxLateAnswers {
		c.close()
		return
	}
	c.out.Finish()
}

// SendOp implements session.Actions.
func (a frontActions) SendOp(id choice.SessID, attempt int, op session.Op, arg int) {
	f := a.f
	c := f.connOf[id]
	if c == nil || c.attempt != attempt {
		f.deferred = append(f.deferred, func() { f.table.BoxFailed(id, attempt) })
		return
	}
	sess := c.session
	var m *rtsp.Message
	switch op {
	case session.Play:
		m = rtsp.NewRequest(rtsp.Play, c.url(sess, -1))
		if pr := sess.pendingOps[arg]; pr != nil {
			if r := pr.req.Header.Get("Range"); r != "" {
				m.WithHeader("Range", r)
			}
		}
	case session.Pause:
		m = rtsp.NewRequest(rtsp.Pause, c.url(sess, -1))
	case session.Join:
		pr := sess.pendingOps[arg]
		if pr == nil { // nobody waits for it any more
			f.deferred = append(f.deferred, func() { f.table.OpAnswered(id, attempt, op, arg, rtsp.NotValidInThisState, noReport) })
			return
		}
		t := pr.track
		m = rtsp.NewRequest(rtsp.Setup, c.url(sess, t.number)).WithHeader("Transport", rtsp.Transport{RTPChannel: t.boxChannel, RTCPChannel: t.boxChannel + 1}.String())
	case session.KeepAlive:
		m = rtsp.NewRequest(rtsp.GetParameter, c.url(sess, -1))
	case session.SetRung:
		f.metrics.rungChanges.Inc()
		c.rung = arg
		m = rtsp.NewRequest(rtsp.SetParameter, c.url(sess, -1)).WithHeader("Content-Type", "text/parameters")
		m.Body = fmt.Appendf(nil, "rung: %d\r\n", arg)
	case session.TearDown:
		m = rtsp.NewRequest(rtsp.TearDown, c.url(sess, -1))
		c.stream.Store(nil)
		c.tearDownURL = c.url(sess, -1)
	}
	c.send(m.WithHeader("Session", c.boxSession), func(m *rtsp.Message) {
		if m == nil {
			return // handleBoxClosed reports the failure
		}
		switch op {
		case session.Play:
			sess.playAnswer = m
		case session.TearDown:
			c.tearDownURL = ""
			delete(f.connOf, id)
			c.releaseOrClose(pool.Reusable(m.Status, true))
		}
		f.table.OpAnswered(id, attempt, op, arg, m.Status, c.loadReport(m))
	})
}

// CloseConn implements session.Actions.
func (a frontActions) CloseConn(id choice.SessID, attempt int) {
	if c := a.f.connOf[id]; c != nil && c.attempt == attempt {
		delete(a.f.connOf, id)
		c.session = nil
		c.stream.Store(nil)
		c.close()
	}
}

// Probe implements session.Actions. It sends GET_PARAMETER without a body, which any RFC 2326 server answers.
func (a frontActions) Probe(box choice.ServerID) {
	f := a.f
	finished := false
	finish := func(status int, outcome choice.Outcome, rep choice.LoadReport) {
		if !finished {
			finished = true
			f.metrics.probes.WithLabelValues(outcomeName(status, outcome)).Inc()
			f.table.ProbeEnded(box, status, outcome, rep)
		}
	}
	f.connect(f.ctx, box, func(c *boxConn) {
		if c == nil {
			finish(0, choice.NoConnection, noReport)
			return
		}
		timer := time.AfterFunc(time.Duration(f.config().Limits.ProbeTimeout*1e9), func() {
			f.post(func() {
				finish(0, choice.TimedOut, noReport)
				c.close()
			})
		})
		c.send(rtsp.NewRequest(rtsp.GetParameter, "rtsp://"+c.Address+"/"), func(m *rtsp.Message) {
			timer.Stop()
			if m == nil {
				finish(0, choice.Reset, noReport)
				return
			}
			if !finished {
				finish(m.Status, 0, c.loadReport(m))
				c.release()
			}
		})
	})
}

func outcomeName(status int, outcome choice.Outcome) string {
	switch {
	case status != 0:
		return strconv.Itoa(status)
	case outcome == choice.NoConnection:
		return "no connection"
	case outcome == choice.TimedOut:
		return "timed out"
	}
	return "broken"
}

// Answer implements session.Actions.
func (a frontActions) Answer(id choice.SessID, answer session.FinalAnswer, retryAfter float64) {
	f := a.f
	sess := f.sessions[id]
	if sess == nil {
		return
	}
	name := f.config().Groups[sess.group].Name
	f.metrics.answers.WithLabelValues(name, answer.String()).Inc()
	f.metrics.answerSeconds.WithLabelValues(name).Observe(f.now() - sess.requestedAt)
	setup := sess.firstSetup
	sess.firstSetup = nil
	if answer != session.Served {
		f.removeSession(sess)
		r := rtsp.NewResponse(setup.req, rtsp.GatewayTimeout)
		if answer == session.Busy {
			// Retry-After is in whole seconds, rounded up; 0 allows an immediate retry.
			r = rtsp.NewResponse(setup.req, rtsp.ServiceUnavailable).WithHeader("Retry-After", strconv.Itoa(int(retryAfter+0.999)))
		}
		sess.viewer.respond(setup, r)
		return
	}
	t := sess.tracks[0]
	sess.viewer.respond(setup, rtsp.NewResponse(setup.req, rtsp.OK).WithHeader("Session", f.sessionHeader(sess)).
		WithHeader("Transport", rtsp.Transport{RTPChannel: t.rtpChannel, RTCPChannel: t.rtcpChannel}.String()))
}

// Reply implements session.Actions.
func (a frontActions) Reply(id choice.SessID, op int, result session.Result) {
	sess := a.f.sessions[id]
	if sess == nil || sess.pendingOps[op] == nil {
		return
	}
	pr := sess.pendingOps[op]
	delete(sess.pendingOps, op)
	if result != session.Done {
		if pr.req.Method == rtsp.Setup {
			sess.removeTrack(pr.track)
		}
		sess.viewer.respondStatus(pr, replyStatus[result])
		return
	}
	switch pr.req.Method {
	case rtsp.Setup:
		t := pr.track
		sess.stream.AddTrack(t.boxChannel, &relay.Track{RTPChannel: t.rtpChannel, RTCPChannel: t.rtcpChannel, ClockRate: mediaTracks[t.number].clockRate})
		sess.viewer.respond(pr, rtsp.NewResponse(pr.req, rtsp.OK).WithHeader("Session", a.f.sessionHeader(sess)).
			WithHeader("Transport", rtsp.Transport{RTPChannel: t.rtpChannel, RTCPChannel: t.rtcpChannel}.String()))
	case rtsp.Play:
		sess.viewer.respond(pr, sess.playResponse(pr))
		sess.stream.Open()
		sess.playing = true
	case rtsp.Pause:
		sess.playing = false
		a.f.meter.Forget(id)
		fallthrough
	default:
		sess.viewer.respond(pr, rtsp.NewResponse(pr.req, rtsp.OK).WithHeader("Session", string(sess.id)))
	}
}

// End implements session.Actions.
func (a frontActions) End(id choice.SessID, reason session.EndReason) {
	f := a.f
	sess := f.sessions[id]
	if sess == nil {
		return
	}
	f.metrics.ends.WithLabelValues(reason.String()).Inc()
	f.log.Info("session ended", zap.String("session", string(id)), zap.Stringer("why", reason))
	if reason != session.ByViewer && sess.stream != nil {
		sess.stream.SendBye()
	}
	f.removeSession(sess)
	if sess.viewer == nil {
		return
	}
	if reason != session.ByViewer && len(sess.viewer.sessions) == 0 && len(sess.viewer.pending) == 0 {
		sess.viewer.finish()
	}
}

// discardActions ignores all actions, for a front that was killed.
type discardActions struct{}

func (discardActions) Setup(choice.SessID, int, choice.ServerID, int)     {}
func (discardActions) CancelSetup(choice.SessID, int)                     {}
func (discardActions) SendOp(choice.SessID, int, session.Op, int)         {}
func (discardActions) CloseConn(choice.SessID, int)                       {}
func (discardActions) Probe(choice.ServerID)                              {}
func (discardActions) Answer(choice.SessID, session.FinalAnswer, float64) {}
func (discardActions) Reply(choice.SessID, int, session.Result)           {}
func (discardActions) End(choice.SessID, session.EndReason)               {}
