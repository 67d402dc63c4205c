package front

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/dunglas/httpsfv"
	"go.uber.org/zap"

	"rainhaven/choice"
	"rainhaven/choice/delivery"
	"rainhaven/choice/limits"
	"rainhaven/choice/pool"
	"rainhaven/choice/session"
	"rainhaven/internal/relay"
	"rainhaven/internal/rtsp"
)

// boxConn is a connection to a box. It carries one session, probe, DESCRIBE or TEARDOWN of an orphan at a time.
type boxConn struct {
	f  *Front
	id pool.ConnID
	pool.Endpoint
	conn   *rtsp.Conn
	out    *relay.Queue
	stream atomic.Pointer[relay.Stream]

	// Owned by the loop.
	cseq       int
	pending    map[int]func(*rtsp.Message) // callbacks by CSeq; called with nil if the connection ends first
	session    *frontSession
	attempt    int
	boxSession string // session id at the box
	rung       int    // requested last
	// tearDownURL is the URL of the session whose TEARDOWN is unanswered; empty if there is none.
	tearDownURL string
	cancelled   bool
	closed      bool
}

// connect passes an idle or new connection to a box, at the address where it is listed, to onConn, or nil if there is none. onConn runs
// in the loop, after the actions in progress.
func (f *Front) connect(ctx context.Context, box choice.ServerID, onConn func(*boxConn)) {
	f.connectTo(ctx, pool.Endpoint{Box: box, Address: f.addresses[box]}, onConn)
}

// connectTo is connect for a box at an address where it may be listed no more: only connections that are open are used then.
func (f *Front) connectTo(ctx context.Context, at pool.Endpoint, onConn func(*boxConn)) {
	if id, ok := f.pool.Get(at); ok {
		c := f.boxConns[id]
		f.deferred = append(f.deferred, func() { onConn(c) })
		return
	}
	if !f.isListed(at) || !f.pool.Reserve(at) {
		f.deferred = append(f.deferred, func() { onConn(nil) })
		return
	}
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		dialCtx, cancel := context.WithTimeout(ctx, time.Duration(f.config().Limits.ConnectTimeout*1e9))
		defer cancel()
		raw, err := f.dial(dialCtx, at.Address)
		f.post(func() { f.dialed(ctx, at, raw, err, onConn) })
		if err == nil {
			select {
			case <-f.done: // the loop may have ended before it received the connection
				raw.Close()
			default:
			}
		}
	}()
}

// dialed handles the end of an attempt to connect. If the box has another address by now, it is connected to there.
func (f *Front) dialed(ctx context.Context, at pool.Endpoint, raw net.Conn, err error, onConn func(*boxConn)) {
	switch {
	case err == nil && f.isListed(at):
		onConn(f.startBoxConn(at, raw))
		return
	case err == nil:
		raw.Close()
	default:
		f.log.Debug("connecting to a box failed", zap.Uint32("box", uint32(at.Box)), zap.Error(err))
	}
	f.pool.Closed(at, 0)
	if f.isListed(at) {
		onConn(nil)
		return
	}
	f.connect(ctx, at.Box, onConn)
}

// isListed reports whether a box is listed at an address.
func (f *Front) isListed(at pool.Endpoint) bool {
	return at.Address != "" && f.addresses[at.Box] == at.Address
}

// startBoxConn starts the goroutines of a new connection to a box.
func (f *Front) startBoxConn(at pool.Endpoint, raw net.Conn) *boxConn {
	f.lastConnID++
	c := &boxConn{f: f, id: pool.ConnID(f.lastConnID), Endpoint: at, conn: rtsp.NewConn(raw, rtsp.Limits{LineBytes: 2048}),
		out: relay.NewQueue(0), pending: map[int]func(*rtsp.Message){}}
	f.boxConns[c.id] = c
	f.wg.Add(2)
	go func() {
		defer f.wg.Done()
		err := c.out.Run(raw, 2*time.Second)
		if t, ok := raw.(interface{ CloseWrite() error }); ok && err == nil {
			t.CloseWrite()
			wait := time.Duration(limits.LateAnswerWait * 1e9)
			if f.closing.Load() {
				wait = 200 * time.Millisecond
			}
			raw.SetReadDeadline(time.Now().Add(wait))
			return
		}
		raw.Close()
	}()
	go func() {
		defer f.wg.Done()
		err := c.read()
		raw.Close()
		c.out.Close()
		f.post(func() { f.handleBoxClosed(c, err) })
	}()
	return c
}

// read handles messages and media frames from a box until the connection ends.
func (c *boxConn) read() error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		m, frame, err := c.conn.Next()
		if err != nil {
			return err
		}
		if m == nil {
			if s := c.stream.Load(); s != nil {
				now := time.Since(c.f.startedAt)
				s.Queue().AwaitRoom(len(frame.Raw), int64(now), timer, time.Duration(limits.QueueFullWait*1e9))
				s.ForwardFrame(now, frame.Channel, frame.Payload())
				if !c.conn.FrameBuffered() {
					s.Queue().Flush()
				}
			} else {
				c.f.metrics.stray.Inc()
			}
			continue
		}
		c.f.post(func() { c.handleMessage(m) })
	}
}

// send sends a request and calls onAnswer with its answer, or with nil if the connection ends first.
func (c *boxConn) send(m *rtsp.Message, onAnswer func(*rtsp.Message)) {
	c.cseq++
	m.WithHeader("CSeq", strconv.Itoa(c.cseq)).WithHeader("User-Agent", "rainhaven/"+c.f.config().Name)
	c.pending[c.cseq] = onAnswer
	if err := c.out.PushMessage(m.Append(nil)); err != nil {
		c.close()
	}
}

// handleMessage handles a message from a box in the loop.
func (c *boxConn) handleMessage(m *rtsp.Message) {
	if m.IsRequest() {
		status := rtsp.MethodNotAllowed
		if m.Method == rtsp.Options || m.Method == rtsp.GetParameter && len(m.Body) == 0 {
			status = rtsp.OK
		}
		c.out.PushMessage(rtsp.NewResponse(m, status).Append(nil))
		return
	}
	onAnswer, ok := c.pending[m.CSeq()]
	if !ok || m.Session() != "" && c.boxSession != "" && m.Session() != c.boxSession {
		c.f.metrics.stray.Inc()
		c.f.log.Info("answer from a box matches no request", zap.Uint32("box", uint32(c.Box)), zap.Int("cseq", m.CSeq()))
		return
	}
	delete(c.pending, m.CSeq())
	onAnswer(m)
}

func (c *boxConn) close() {
	c.conn.Close()
	c.out.Close()
}

// release returns the connection to the pool, or closes it if the pool doesn't keep it or answers are pending.
func (c *boxConn) release() {
	c.session, c.boxSession = nil, ""
	c.stream.Store(nil)
	if c.closed || len(c.pending) > 0 || !c.f.isListed(c.Endpoint) || !c.f.pool.Put(c.Endpoint, c.id, c.f.now()) {
		c.close()
	}
}

// releaseOrClose returns the connection to the pool if it is clean, else closes it.
func (c *boxConn) releaseOrClose(clean bool) {
	if clean {
		c.release()
		return
	}
	c.session = nil
	c.stream.Store(nil)
	c.close()
}

func (f *Front) handleBoxClosed(c *boxConn, err error) {
	c.closed = true
	delete(f.boxConns, c.id)
	f.pool.Closed(c.Endpoint, c.id)
	if c.cancelled {
		f.lateAnswers--
	}
	pending := c.pending
	c.pending = map[int]func(*rtsp.Message){}
	for cseq := 1; cseq <= c.cseq && len(pending) > 0; cseq++ {
		if onAnswer, ok := pending[cseq]; ok {
			delete(pending, cseq)
			onAnswer(nil)
		}
	}
	if c.tearDownURL != "" { // the box may not have received the TEARDOWN
		f.tearDownOrphan(c.Endpoint, c.tearDownURL, c.boxSession)
	}
	if sess := c.session; sess != nil && f.connOf[sess.id] == c {
		delete(f.connOf, sess.id)
		f.log.Info("connection to a box broke", zap.Uint32("box", uint32(c.Box)), zap.String("session", string(sess.id)), zap.Error(err))
		f.table.BoxFailed(sess.id, c.attempt)
	}
}

// loadReport returns the load that a box reports in a message; none if the box is not listed at the connection's address any more.
func (c *boxConn) loadReport(m *rtsp.Message) choice.LoadReport {
	if !c.f.isListed(c.Endpoint) {
		return noReport
	}
	return parseLoadReport(m)
}

// noReport is a load report that states no load.
var noReport = choice.LoadReport{Link: -1, Uplink: -1}

// parseLoadReport parses a Load-Report header: an RFC 8941 dictionary with the members link and uplink. Missing or invalid
// values become -1.
func parseLoadReport(m *rtsp.Message) choice.LoadReport {
	d, err := httpsfv.UnmarshalDictionary(m.Header["Load-Report"])
	if err != nil {
		return noReport
	}
	member := func(name string) (x float64, capped bool) {
		v, ok := d.Get(name)
		item, one := v.(httpsfv.Item)
		if !ok || !one {
			return -1, false
		}
		if item.Params != nil {
			_, capped = item.Params.Get("capped")
		}
		switch n := item.Value.(type) {
		case float64:
			return n, capped
		case int64:
			return float64(n), capped
		}
		return -1, false
	}
	link, capped := member("link")
	uplink, _ := member("uplink")
	return delivery.SanitizeReport(link, uplink, capped)
}

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
