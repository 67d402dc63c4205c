package front

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rainhaven/choice"
	"rainhaven/choice/auth"
	"rainhaven/choice/limits"
	"rainhaven/choice/session"
	"rainhaven/internal/relay"
	"rainhaven/internal/rtsp"
)

// viewer is one viewer connection.
type viewer struct {
	f         *Front
	conn      *rtsp.Conn
	out       *relay.Queue
	finishing atomic.Bool   // closes once the queue is written
	inFlight  chan struct{} // one token per unanswered request; read blocks when full

	// Owned by the loop.
	pending     []*pendingRequest // unanswered requests in order; removed when their responses are sent
	sessions    map[choice.SessID]*frontSession
	lastOp      int // number of the last request within a session
	lastSession int // number of the last session that was requested
	id          uint64
	failedAuths int // requests with wrong credentials
	lastCSeq    int // of the requests sent to the viewer
	closed      bool
}

// pendingRequest holds a request and its response, once known, so that responses leave in the order of the requests.
type pendingRequest struct {
	req     *rtsp.Message
	resp    *rtsp.Message
	session *frontSession // the one that a SETUP requested; nil for other requests
	track   track         // the one that a SETUP adds to a session; unused for other requests
}

// frontSession is the protocol state of a session: its viewer, tracks and pending requests.
type frontSession struct {
	id          choice.SessID
	viewer      *viewer // nil for a handed over session until it is claimed
	group       int
	bandwidth   float64 // bits per second that the viewer declared; 0 if none, negative if it is not known here
	bestRung    int     // highest rung the viewer's bandwidth allows
	place       rtsp.Resource
	tracks      []track                 // set up, or asked for by a pending SETUP; at most one of a number, and never none
	stream      *relay.Stream           // nil as long as viewer is nil
	requestedAt float64                 // on the front's clock
	firstSetup  *pendingRequest         // the SETUP that requested it; nil once answered
	number      int                     // of the sessions requested on the viewer's connection
	answeredAt  float64                 // when the response to firstSetup left, on the front's clock; 0 before
	named       bool                    // the viewer has named it, so that it has the response to firstSetup
	pendingOps  map[int]*pendingRequest // unanswered later requests by number
	playing     bool
	adopting    bool          // handed over, connection to its box pending
	earlyOps    []earlyOp     // requests received while adopting
	playAnswer  *rtsp.Message // the box's answer to the last PLAY

	attempt    int                // number of the last SETUP; 0 after it is cancelled
	cancelDial context.CancelFunc // cancels connecting to the box
}

// track is one track of a session: its number, the interleaved channels to the viewer and the first one at the box.
type track struct {
	number                  int
	rtpChannel, rtcpChannel byte
	boxChannel              byte
}

// requestBounds are the limits of what a viewer sends.
var requestBounds = rtsp.Limits{BodyBytes: limits.MaxRequestBytes, MessageBytes: limits.MaxRequestBytes, FrameBytes: limits.MaxRequestBytes, BufferBytes: limits.MaxRequestBytes}

// startViewer starts the goroutines of a viewer connection.
func (f *Front) startViewer(c net.Conn) {
	v := &viewer{f: f, conn: rtsp.NewConn(c, requestBounds), out: relay.NewQueue(f.config().Limits.QueueBytes),
		inFlight: make(chan struct{}, limits.MaxPipelined), sessions: map[choice.SessID]*frontSession{}}
	f.wg.Add(2)
	go func() {
		defer f.wg.Done()
		err := v.out.Run(c, time.Duration(f.config().Limits.WriteStall*1e9))
		if err == nil {
			// Close only the sending side first: a full close with unread input resets the connection, and the viewer may
			// lose the last response.
			if t, ok := c.(interface{ CloseWrite() error }); ok {
				t.CloseWrite()
				c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
				return
			}
		}
		c.Close()
	}()
	f.post(func() {
		f.lastConnID++
		v.id = f.lastConnID
		f.viewers[v] = struct{}{}
	})
	go func() {
		defer f.wg.Done()
		defer f.openConns.Add(-1)
		err := f.handshake(c)
		if err == nil {
			err = v.read()
		}
		c.Close()
		v.out.Close()
		f.post(func() { f.handleViewerClosed(v, err) })
	}()
}

// handshake runs the TLS handshake of a TLS connection with a timeout.
func (f *Front) handshake(c net.Conn) error {
	t, ok := c.(*tls.Conn)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(f.ctx, time.Duration(limits.HandshakeTimeout*1e9))
	defer cancel()
	if err := t.HandshakeContext(ctx); err != nil {
		f.metrics.failedHandshakes.Inc()
		return fmt.Errorf("TLS handshake: %w", err)
	}
	return nil
}

// read handles requests and RTCP frames until the connection ends.
func (v *viewer) read() error {
	idle := time.Duration((v.f.config().Limits.ViewerIdleTimeout + 5) * 1e9)
	var windowStart time.Time
	frames := 0
	for {
		v.conn.SetReadDeadline(time.Now().Add(idle))
		if v.finishing.Load() { // the writer sets its shorter deadline after finishing; the line above may have overwritten it
			v.conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		}
		m, frame, err := v.conn.Next()
		var malformed *rtsp.MalformedError
		if errors.As(err, &malformed) {
			v.f.metrics.malformed.Inc()
			v.f.log.Info("malformed input from a viewer", zap.String("what", malformed.Detail))
			if malformed.Status != 0 {
				r := rtsp.NewResponse(nil, malformed.Status).WithHeader("Connection", "close")
				if malformed.CSeq != "" {
					r.WithHeader("CSeq", malformed.CSeq)
				}
				v.f.post(func() { v.finishWith(r) })
				relay.DiscardInput(v.conn.Conn, time.Second)
			}
			return err
		}
		if err != nil {
			return err
		}
		if m == nil {
			if now := time.Now(); now.Sub(windowStart) >= time.Second {
				windowStart, frames = now, 0
			}
			if frames++; frames > limits.MaxViewerFramesPerSecond {
				v.f.metrics.stray.Inc()
				continue
			}
			payload := append([]byte(nil), frame.Payload()...)
			v.f.post(func() { v.handleRTCP(frame.Channel, payload) })
			continue
		}
		if !m.IsRequest() {
			continue // a response, such as to REDIRECT, needs no action
		}
		if err := v.awaitRoom(); err != nil {
			return err
		}
		if m.Method == rtsp.Setup && rtsp.PeerClosed(v.conn.Conn) {
			return io.EOF // it is not carried out for a viewer that has left
		}
		v.f.post(func() { v.handleRequest(m) })
	}
}

// awaitRoom waits until a further request may be unanswered. What the viewer has sent is unread meanwhile, and the end of its connection
// behind that, so it is looked for every limits.CloseCheckInterval.
func (v *viewer) awaitRoom() error {
	select {
	case v.inFlight <- struct{}{}:
		return nil
	default:
	}
	ticker := time.NewTicker(time.Duration(limits.CloseCheckInterval * 1e9))
	defer ticker.Stop()
	for {
		select {
		case v.inFlight <- struct{}{}:
			return nil
		case <-v.f.done:
			return net.ErrClosed
		case <-ticker.C:
			if rtsp.PeerClosed(v.conn.Conn) {
				return io.EOF
			}
		}
	}
}

// finish closes the connection once its queue is written.
func (v *viewer) finish() {
	v.finishing.Store(true)
	v.out.Finish()
}

// handleRTCP counts RTCP from the viewer as a sign of life and forwards it to the box.
func (v *viewer) handleRTCP(channel byte, payload []byte) {
	for id, sess := range v.sessions {
		to, lost, ok := sess.stream.TranslateRTCP(channel, payload)
		if !ok {
			continue
		}
		v.f.table.ViewerSeen(id)
		if lost >= 0 {
			v.f.metrics.viewerLoss.Observe(lost)
		}
		if c := v.f.connOf[id]; c != nil && c.boxSession != "" {
			c.out.PushMessage(rtsp.AppendFrame(nil, to, payload))
		}
		return
	}
	v.f.metrics.stray.Inc()
}

// finishWith sends a last response and closes the connection.
func (v *viewer) finishWith(r *rtsp.Message) {
	if !v.closed {
		v.out.PushMessage(r.Append(nil))
		v.finish()
	}
}

func (f *Front) handleViewerClosed(v *viewer, err error) {
	v.closed = true
	delete(f.viewers, v)
	for _, id := range slices.Sorted(maps.Keys(v.sessions)) {
		f.table.ViewerGone(id)
	}
	f.log.Debug("viewer connection closed", zap.Error(err))
}

// respond sets the response to a request, unless it has one, and sends all responses that are next in the order of the requests.
func (v *viewer) respond(pr *pendingRequest, r *rtsp.Message) {
	if pr.resp != nil {
		return
	}
	if strings.EqualFold(pr.req.Header.Get("Connection"), "close") {
		r.WithHeader("Connection", "close")
	}
	pr.resp = r
	for len(v.pending) > 0 && v.pending[0].resp != nil {
		m, sess := v.pending[0].resp, v.pending[0].session
		v.pending = v.pending[1:]
		<-v.inFlight
		if sess != nil {
			sess.answeredAt = v.f.now()
		}
		if v.closed {
			continue
		}
		v.out.PushMessage(m.Append(nil))
		if strings.EqualFold(m.Header.Get("Connection"), "close") {
			v.finish()
		}
	}
}

func (v *viewer) respondStatus(pr *pendingRequest, status int) {
	v.respond(pr, rtsp.NewResponse(pr.req, status))
}

const supportedMethods = "OPTIONS, DESCRIBE, SETUP, PLAY, PAUSE, GET_PARAMETER, SET_PARAMETER, TEARDOWN"

// handleRequest handles one request in the loop.
func (v *viewer) handleRequest(m *rtsp.Message) {
	pr := &pendingRequest{req: m}
	v.pending = append(v.pending, pr)
	v.f.metrics.requests.WithLabelValues(methodLabel(m.Method)).Inc()
	switch {
	case m.Major != 1:
		v.respondStatus(pr, rtsp.VersionNotSupported)
		return
	case m.CSeq() < 0:
		v.respondStatus(pr, rtsp.BadRequest)
		return
	case m.Header.Get("Require") != "":
		v.respond(pr, rtsp.NewResponse(m, rtsp.OptionNotSupported).WithHeader("Unsupported", m.Header.Get("Require")))
		return
	}
	if m.Method != rtsp.Options && !v.authorize(pr) {
		return
	}
	switch m.Method {
	case rtsp.Options:
		v.markSeen(m)
		v.respond(pr, rtsp.NewResponse(m, rtsp.OK).WithHeader("Public", supportedMethods))
	case rtsp.Describe:
		v.handleDescribe(pr)
	case rtsp.Setup:
		v.handleSetup(pr)
	case rtsp.Play:
		v.requestOp(pr, session.Play)
	case rtsp.Pause:
		v.requestOp(pr, session.Pause)
	case rtsp.TearDown:
		v.requestOp(pr, session.TearDown)
	case rtsp.GetParameter, rtsp.SetParameter:
		if len(m.Body) > 0 {
			v.markSeen(m)
			v.respondStatus(pr, rtsp.ParameterNotUnderstood)
		} else if m.Session() == "" {
			v.respondStatus(pr, rtsp.OK)
		} else {
			v.requestOp(pr, session.KeepAlive)
		}
	case rtsp.Announce, rtsp.Record, rtsp.Redirect:
		v.respond(pr, rtsp.NewResponse(m, rtsp.MethodNotAllowed).WithHeader("Allow", supportedMethods))
	default:
		v.respond(pr, rtsp.NewResponse(m, rtsp.NotImplemented).WithHeader("Public", supportedMethods))
	}
}

// authorize reports whether a request's credentials are accepted. If not, it answers the request.
func (v *viewer) authorize(pr *pendingRequest) bool {
	verdict := v.f.authenticator.Check(v.f.now(), v.id, pr.req.Method, pr.req.URL, pr.req.Header.Get("Authorization"))
	if verdict == auth.Accepted {
		return true
	}
	r := rtsp.NewResponse(pr.req, rtsp.Unauthorized)
	r.Header["Www-Authenticate"] = v.f.authenticator.Challenge(v.f.now(), v.id, verdict == auth.StaleNonce)
	if verdict == auth.Rejected {
		v.f.metrics.unauthorized.Inc()
		v.f.log.Info("wrong credentials", zap.Stringer("viewer", v.conn.RemoteAddr()))
		if v.failedAuths++; auth.TooManyFailures(v.failedAuths) {
			r.WithHeader("Connection", "close")
		}
	}
	v.respond(pr, r)
	return false
}

// presentationURL returns the URL of a session's presentation as the viewer requested it.
func (v *viewer) presentationURL(sess *frontSession) string {
	p := sess.place
	p.Track = -1
	return p.URL()
}

// methodLabel maps unknown methods to "other", which bounds the values of the metric's label.
func methodLabel(m string) string {
	if strings.Contains(supportedMethods, m) && len(m) > 3 && !strings.Contains(m, ",") {
		return m
	}
	return "other"
}

func (v *viewer) markSeen(m *rtsp.Message) {
	if sess := v.namedSession(m); sess != nil {
		v.f.table.ViewerSeen(sess.id)
	}
}

// namedSession returns the viewer's session that a request names by its id, or nil.
func (v *viewer) namedSession(m *rtsp.Message) *frontSession {
	sess := v.sessions[choice.SessID(m.Session())]
	if sess != nil {
		sess.named = true
	}
	return sess
}

// findSession returns the session that a request names. A request without a session id, as pipelined before the response
// to SETUP is known, belongs to the connection's only session.
func (v *viewer) findSession(m *rtsp.Message) *frontSession {
	if id := choice.SessID(m.Session()); id != "" {
		if sess := v.f.sessions[id]; sess != nil && sess.viewer == nil {
			v.claim(sess)
		}
		return v.namedSession(m)
	}
	if len(v.sessions) == 1 {
		for _, sess := range v.sessions {
			return sess
		}
	}
	return nil
}

// requestOp handles a request within a session.
func (v *viewer) requestOp(pr *pendingRequest, op session.Op) {
	sess := v.findSession(pr.req)
	if sess == nil {
		v.respondStatus(pr, rtsp.SessionNotFound)
		return
	}
	if r := pr.req.Header.Get("Range"); op == session.Play && r != "" {
		if _, err := rtsp.ParseRange(r); err != nil {
			v.respondStatus(pr, rtsp.InvalidRange)
			return
		}
	}
	v.lastOp++
	sess.pendingOps[v.lastOp] = pr
	if sess.adopting {
		sess.earlyOps = append(sess.earlyOps, earlyOp{op, v.lastOp})
		return
	}
	v.f.table.RequestOp(sess.id, op, v.lastOp)
}

// earlyOp is a request for a handed over session that arrived before its box was connected. The pipelining limit of a
// connection bounds their number.
type earlyOp struct {
	op     session.Op
	number int
}

// handleSetup handles a SETUP, which requests a session or adds a track to one.
func (v *viewer) handleSetup(pr *pendingRequest) {
	f, m := v.f, pr.req
	place, err := rtsp.ParseURL(m.URL)
	group := f.config().GroupIndex(place.Group)
	title, known := f.config().Titles[place.Title]
	if err != nil || group < 0 || !known {
		v.respondStatus(pr, rtsp.NotFound)
		return
	}
	specs, err := rtsp.ParseTransport(m.Header.Get("Transport"))
	transport, ok := rtsp.FindTCP(specs)
	if err != nil || !ok {
		v.respond(pr, rtsp.NewResponse(m, rtsp.UnsupportedTransport).WithHeader("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1"))
		return
	}
	number := max(place.Track, 0)
	if number >= len(mediaTracks) {
		v.respondStatus(pr, rtsp.NotFound)
		return
	}
	joined := v.sessionToJoin(m, place)
	if joined != nil && joined.hasTrack(number) { // its transport can't be changed (RFC 2326, section 10.4)
		v.respondStatus(pr, rtsp.NotValidInThisState)
		return
	}
	t := track{number: number, rtpChannel: transport.RTPChannel, rtcpChannel: transport.RTCPChannel}
	if !transport.Interleaved {
		if t.rtpChannel, t.rtcpChannel, ok = v.freeChannels(); !ok {
			v.respondStatus(pr, rtsp.NotEnoughBandwidth)
			return
		}
	} else if v.channelInUse(t.rtpChannel) || v.channelInUse(t.rtcpChannel) {
		v.respondStatus(pr, rtsp.UnsupportedTransport)
		return
	}
	if joined != nil {
		v.joinTrack(pr, joined, t)
		return
	}
	if m.Session() != "" {
		v.respondStatus(pr, rtsp.SessionNotFound)
		return
	}
	v.lastSession++
	sess := &frontSession{id: newSessionID(), viewer: v, requestedAt: f.now(), group: group, place: place, tracks: []track{t}, firstSetup: pr, number: v.lastSession,
		pendingOps: map[int]*pendingRequest{}}
	pr.session = sess
	sess.attach(v)
	f.sessions[sess.id] = sess
	bandwidth, _ := strconv.ParseFloat(strings.TrimSpace(m.Header.Get("Bandwidth")), 64)
	if !(bandwidth >= 0) || math.IsInf(bandwidth, 0) {
		bandwidth = 0
	}
	sess.bandwidth, sess.bestRung = bandwidth, session.BestRung(f.config().Groups[group].Rates, bandwidth)
	f.metrics.sessionRequests.WithLabelValues(f.config().Groups[group].Name).Inc()
	f.table.Open(sess.id, session.Request{Group: group, Title: place.Title, StartCell: title.StartCell, CellCount: title.CellCount,
		BestRung: sess.bestRung, Length: title.Length})
}

// joinTrack has a SETUP add a track to a session.
func (v *viewer) joinTrack(pr *pendingRequest, joined *frontSession, t track) {
	t.boxChannel = joined.freeBoxChannel()
	pr.track = t
	v.lastOp++
	joined.pendingOps[v.lastOp] = pr
	joined.tracks = append(joined.tracks, t)
	v.f.table.RequestOp(joined.id, session.Join, v.lastOp)
}

// attach connects a session to its viewer and creates the stream that relays its media.
func (sess *frontSession) attach(v *viewer) {
	f := v.f
	sess.viewer, v.sessions[sess.id] = v, sess
	sess.stream = relay.NewStream(v.out, func(link, uplink float64) { f.post(func() { f.handleLoadNote(sess, link, uplink) }) })
	for _, t := range sess.tracks {
		sess.stream.AddTrack(t.boxChannel, &relay.Track{RTPChannel: t.rtpChannel, RTCPChannel: t.rtcpChannel, ClockRate: mediaTracks[t.number].clockRate})
	}
}

// sessionToJoin returns the session that a SETUP adds a track to: the one it names, or, as with pipelined SETUPs, the latest one of
// the same presentation whose id the viewer may not have known.
func (v *viewer) sessionToJoin(m *rtsp.Message, p rtsp.Resource) (joined *frontSession) {
	if m.Session() != "" {
		return v.namedSession(m)
	}
	for _, sess := range v.sessions {
		if sess.mayBeUnknown() && sess.place.Group == p.Group && sess.place.Title == p.Title && !sess.hasTrack(max(p.Track, 0)) &&
			(joined == nil || sess.number > joined.number) {
			joined = sess
		}
	}
	return joined
}

// mayBeUnknown reports whether a request that was just read may have been sent before its viewer knew the session's id.
func (sess *frontSession) mayBeUnknown() bool {
	return !sess.named && limits.MayCross(sess.viewer.f.now(), sess.answeredAt)
}

func (sess *frontSession) hasTrack(n int) bool {
	for _, t := range sess.tracks {
		if t.number == n {
			return true
		}
	}
	return false
}

// freeBoxChannel returns the lowest pair of channels at the box that no track of the session has, by its first channel.
func (sess *frontSession) freeBoxChannel() (low byte) {
	for slices.ContainsFunc(sess.tracks, func(t track) bool { return t.boxChannel == low }) {
		low += 2
	}
	return low
}

// removeTrack removes a track that the box has refused.
func (sess *frontSession) removeTrack(refused track) {
	sess.tracks = slices.DeleteFunc(sess.tracks, func(t track) bool { return t == refused })
}

func (v *viewer) channelInUse(channel byte) bool {
	for _, sess := range v.sessions {
		for _, t := range sess.tracks {
			if t.rtpChannel == channel || t.rtcpChannel == channel {
				return true
			}
		}
	}
	return false
}

func (v *viewer) freeChannels() (low, high byte, ok bool) {
	for c := 0; c < 255; c += 2 {
		if !v.channelInUse(byte(c)) && !v.channelInUse(byte(c+1)) {
			return byte(c), byte(c + 1), true
		}
	}
	return 0, 0, false
}

// removeSession removes a session whose end has been reported. Requests that it has not replied to, such as early ones for a
// handed over session, don't block the later responses of their connection.
func (f *Front) removeSession(sess *frontSession) {
	delete(f.sessions, sess.id)
	if sess.viewer != nil {
		delete(sess.viewer.sessions, sess.id)
		sess.answerPendingOps(rtsp.SessionNotFound)
	}
	f.meter.Forget(sess.id)
	sess.playing = false
}

// handleLoadNote passes a load note on to the table, at most one per box and interval.
func (f *Front) handleLoadNote(sess *frontSession, link, uplink float64) {
	c := f.connOf[sess.id]
	if c == nil || !f.isListed(c.Endpoint) || !f.meter.AcceptNote(c.Box, f.now(), link, uplink) {
		return
	}
	f.metrics.loadNotes.Inc()
	f.table.LoadNote(sess.id, c.Box, link, false)
	if uplink >= 0 {
		f.table.LoadNote(sess.id, c.Box, uplink, true)
	}
}

// playResponse builds the response to PLAY, with the range and the RTP-Info of the first frames.
func (sess *frontSession) playResponse(pr *pendingRequest) *rtsp.Message {
	r := rtsp.NewResponse(pr.req, rtsp.OK).WithHeader("Session", string(sess.id))
	if sess.playAnswer != nil {
		if v := sess.playAnswer.Header.Get("Range"); v != "" {
			r.WithHeader("Range", v)
		}
		list, err := rtsp.ParseRTPInfo(sess.playAnswer.Header.Get("Rtp-Info"))
		var out []rtsp.RTPInfo
		for _, i := range list {
			p, bad := rtsp.ParseURL(i.URL)
			if bad != nil {
				continue
			}
			for _, t := range sess.tracks {
				if t.number != max(p.Track, 0) {
					continue
				}
				if seq, ts, ok := sess.stream.TranslateRTPInfo(t.boxChannel, i.Seq, i.RTPTime); ok {
					i.Seq, i.RTPTime = seq, ts // the viewer sees one continuous sequence
				}
				i.URL = rtsp.Resource{Host: sess.place.Host, Group: sess.place.Group, Title: sess.place.Title, Track: t.number, Query: sess.place.Query}.URL()
				out = append(out, i)
			}
		}
		if err == nil && len(out) > 0 {
			r.WithHeader("RTP-Info", rtsp.FormatRTPInfo(out))
		}
	}
	return r
}

func (f *Front) sessionHeader(sess *frontSession) string {
	return rtsp.FormatSession(string(sess.id), time.Duration(f.config().Limits.ViewerIdleTimeout*1e9))
}
