package front

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
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

// viewer is one connection of a viewer.
type viewer struct {
	f      *Front
	conn   *rtsp.Conn
	out    *relay.Queue
	ending atomic.Bool   // what is queued is the last
	room   chan struct{} // one for each request without its response; the reader waits beyond

	// Owned by the loop.
	slots  []*slot // requests in their order; emptied as responses are ready
	sess   map[choice.SessID]*sess
	serial int
	num    uint64
	wrong  int // credentials that were
	asked  int // requests sent to it
	closed bool
}

// slot keeps a response's place among a connection's.
type slot struct {
	req *rtsp.Message
	msg *rtsp.Message
}

// sess is a session as it goes over this front's sockets.
type sess struct {
	id       choice.SessID
	viewer   *viewer // nil while one that was handed over is not claimed
	group    int
	best     int // rung that it can use
	place    rtsp.Resource
	tracks   []track
	stream   *relay.Stream // nil as long
	asked    float64       // when
	first    *slot         // of the SETUP that asked for it
	asks     map[int]*slot // later requests, by number
	plays    bool
	adopting bool          // handed over, and its box not reached yet
	early    []early       // until then
	answer   *rtsp.Message // what the box said to the last PLAY

	try    int                // of the SETUP ordered last, 0 while none is wanted
	cancel context.CancelFunc // of a connection that is being made
}

// track is one track of a session: its number, the viewer's channels and the box's first one.
type track struct {
	n         int
	low, high byte
	box       byte
}

// take begins a viewer's connection.
func (f *Front) take(c net.Conn) {
	v := &viewer{f: f, conn: rtsp.NewConn(c, rtsp.Limits{}), out: relay.NewQueue(f.terms().Limits.Queue),
		room: make(chan struct{}, limits.MaxPipelined), sess: map[choice.SessID]*sess{}}
	f.work.Add(2)
	go func() {
		defer f.work.Done()
		err := v.out.Run(c, time.Duration(f.terms().Limits.WriteStall*1e9))
		if err == nil {
			// Half closed first: input not read yet would turn the last answer into a reset.
			if t, ok := c.(interface{ CloseWrite() error }); ok {
				t.CloseWrite()
				c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
				return
			}
		}
		c.Close()
	}()
	f.post(func() {
		f.serial++
		v.num = f.serial
		f.viewers[v] = struct{}{}
	})
	go func() {
		defer f.work.Done()
		defer f.open.Add(-1)
		err := f.shake(c)
		if err == nil {
			err = v.read()
		}
		c.Close()
		v.out.Close()
		f.post(func() { f.viewerClosed(v, err) })
	}()
}

// shake has a TLS connection's handshake done within its time.
func (f *Front) shake(c net.Conn) error {
	t, ok := c.(*tls.Conn)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(f.context, time.Duration(limits.HandshakeTimeout*1e9))
	defer cancel()
	if err := t.HandshakeContext(ctx); err != nil {
		f.count.handshakes.Inc()
		return fmt.Errorf("TLS handshake: %w", err)
	}
	return nil
}

// read takes requests until the connection ends.
func (v *viewer) read() error {
	idle := time.Duration((v.f.terms().Limits.ViewerIdle + 5) * 1e9)
	var second time.Time
	frames := 0
	for {
		v.conn.SetReadDeadline(time.Now().Add(idle))
		if v.ending.Load() { // set before the writer's own, shorter deadline, which this one may have undone
			v.conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		}
		m, frame, err := v.conn.Next()
		var bad *rtsp.MalformedError
		if errors.As(err, &bad) {
			v.f.count.malformed.Inc()
			v.f.log.Info("malformed input of a viewer", zap.String("what", bad.Detail))
			if bad.Status != 0 {
				r := rtsp.NewResponse(nil, bad.Status).WithHeader("Connection", "close")
				if bad.CSeq != "" {
					r.WithHeader("CSeq", bad.CSeq)
				}
				v.f.post(func() { v.last(r) })
				relay.DiscardInput(v.conn.Conn, time.Second)
			}
			return err
		}
		if err != nil {
			return err
		}
		if m == nil {
			if now := time.Now(); now.Sub(second) >= time.Second {
				second, frames = now, 0
			}
			if frames++; frames > limits.MaxViewerFramesPerSecond {
				v.f.count.stray.Inc()
				continue
			}
			p := append([]byte(nil), frame.Payload()...)
			v.f.post(func() { v.report(frame.Channel, p) })
			continue
		}
		if !m.IsRequest() {
			continue // an answer to a request that this front never sends
		}
		select {
		case v.room <- struct{}{}:
		case <-v.f.done:
			return net.ErrClosed
		}
		v.f.post(func() { v.request(m) })
	}
}

// finish ends the connection once what is queued is written.
func (v *viewer) finish() {
	v.ending.Store(true)
	v.out.Finish()
}

// report takes RTCP of the viewer's: a sign of life, and passed on to the box.
func (v *viewer) report(channel byte, p []byte) {
	for id, s := range v.sess {
		to, lost, ok := s.stream.TranslateRTCP(channel, p)
		if !ok {
			continue
		}
		v.f.table.ViewerSeen(id)
		if lost >= 0 {
			v.f.count.lost.Observe(lost)
		}
		if c := v.f.atBox[id]; c != nil && c.session != "" {
			c.out.PushMessage(rtsp.AppendFrame(nil, to, p))
		}
		return
	}
	v.f.count.stray.Inc()
}

// last answers and ends the connection.
func (v *viewer) last(r *rtsp.Message) {
	if !v.closed {
		v.out.PushMessage(r.Append(nil))
		v.finish()
	}
}

func (f *Front) viewerClosed(v *viewer, err error) {
	v.closed = true
	delete(f.viewers, v)
	for _, id := range slices.Sorted(maps.Keys(v.sess)) {
		f.table.ViewerGone(id)
	}
	f.log.Debug("a viewer's connection is over", zap.Error(err))
}

// respond fills a slot and writes what is ready, in the order of the requests.
func (v *viewer) respond(s *slot, r *rtsp.Message) {
	if strings.EqualFold(s.req.Header.Get("Connection"), "close") {
		r.WithHeader("Connection", "close")
	}
	s.msg = r
	for len(v.slots) > 0 && v.slots[0].msg != nil {
		m := v.slots[0].msg
		v.slots = v.slots[1:]
		<-v.room
		if v.closed {
			continue
		}
		v.out.PushMessage(m.Append(nil))
		if strings.EqualFold(m.Header.Get("Connection"), "close") {
			v.finish()
		}
	}
}

func (v *viewer) status(s *slot, status int) { v.respond(s, rtsp.NewResponse(s.req, status)) }

const public = "OPTIONS, DESCRIBE, SETUP, PLAY, PAUSE, GET_PARAMETER, SET_PARAMETER, TEARDOWN"

// request takes one request in the loop.
func (v *viewer) request(m *rtsp.Message) {
	s := &slot{req: m}
	v.slots = append(v.slots, s)
	v.f.count.requests.WithLabelValues(method(m.Method)).Inc()
	switch {
	case m.Major != 1:
		v.status(s, rtsp.VersionNotSupported)
		return
	case m.CSeq() < 0:
		v.status(s, rtsp.BadRequest)
		return
	case m.Header.Get("Require") != "":
		v.respond(s, rtsp.NewResponse(m, rtsp.OptionNotSupported).WithHeader("Unsupported", m.Header.Get("Require")))
		return
	}
	if m.Method != rtsp.Options && !v.enters(s) {
		return
	}
	switch m.Method {
	case rtsp.Options:
		v.alive(m)
		v.respond(s, rtsp.NewResponse(m, rtsp.OK).WithHeader("Public", public))
	case rtsp.Describe:
		v.describe(s)
	case rtsp.Setup:
		v.setup(s)
	case rtsp.Play:
		v.within(s, session.Play)
	case rtsp.Pause:
		v.within(s, session.Pause)
	case rtsp.TearDown:
		v.within(s, session.TearDown)
	case rtsp.GetParameter, rtsp.SetParameter:
		if len(m.Body) > 0 {
			v.alive(m)
			v.status(s, rtsp.ParameterNotUnderstood)
		} else if m.Session() == "" {
			v.status(s, rtsp.OK)
		} else {
			v.within(s, session.KeepAlive)
		}
	case rtsp.Announce, rtsp.Record, rtsp.Redirect:
		v.respond(s, rtsp.NewResponse(m, rtsp.MethodNotAllowed).WithHeader("Allow", public))
	default:
		v.respond(s, rtsp.NewResponse(m, rtsp.NotImplemented).WithHeader("Public", public))
	}
}

// enters tells whether a request's credentials are good; else it is answered.
func (v *viewer) enters(s *slot) bool {
	verdict := v.f.gate.Check(v.f.now(), v.num, s.req.Method, s.req.URL, s.req.Header.Get("Authorization"))
	if verdict == auth.Accepted {
		return true
	}
	r := rtsp.NewResponse(s.req, rtsp.Unauthorized)
	r.Header["Www-Authenticate"] = v.f.gate.Challenge(v.f.now(), v.num, verdict == auth.StaleNonce)
	if verdict == auth.Rejected {
		v.f.count.unauthorized.Inc()
		v.f.log.Info("wrong credentials", zap.Stringer("viewer", v.conn.RemoteAddr()))
		if v.wrong++; auth.TooManyFailures(v.wrong) {
			r.WithHeader("Connection", "close")
		}
	}
	v.respond(s, r)
	return false
}

// url is a session's presentation as its viewer named it.
func (v *viewer) url(x *sess) string {
	p := x.place
	p.Track = -1
	return p.URL()
}

// method keeps a metric's labels to those that are known.
func method(m string) string {
	if strings.Contains(public, m) && len(m) > 3 && !strings.Contains(m, ",") {
		return m
	}
	return "other"
}

func (v *viewer) alive(m *rtsp.Message) {
	if id := choice.SessID(m.Session()); v.sess[id] != nil {
		v.f.table.ViewerSeen(id)
	}
}

// find gives the session that a request names: by its id, or, where a viewer pipelines before it was told one, the
// only session of its connection.
func (v *viewer) find(m *rtsp.Message) *sess {
	if id := choice.SessID(m.Session()); id != "" {
		if x := v.f.sess[id]; x != nil && x.viewer == nil {
			v.claim(x)
		}
		return v.sess[id]
	}
	if len(v.sess) == 1 {
		for _, s := range v.sess {
			return s
		}
	}
	return nil
}

// within takes a request within a session.
func (v *viewer) within(s *slot, op session.Op) {
	x := v.find(s.req)
	if x == nil {
		v.status(s, rtsp.SessionNotFound)
		return
	}
	if r := s.req.Header.Get("Range"); op == session.Play && r != "" {
		if _, err := rtsp.ParseRange(r); err != nil {
			v.status(s, rtsp.InvalidRange)
			return
		}
	}
	v.serial++
	x.asks[v.serial] = s
	if x.adopting {
		x.early = append(x.early, early{op, v.serial})
		return
	}
	v.f.table.RequestOp(x.id, op, v.serial)
}

// early is a request for a session that was handed over, before its box is reached. There are as many as a connection
// may pipeline.
type early struct {
	op session.Op
	n  int
}

// setup takes a SETUP: a request for a session, or a further track of one.
func (v *viewer) setup(s *slot) {
	f, m := v.f, s.req
	p, err := rtsp.ParseURL(m.URL)
	g := f.terms().GroupIndex(p.Group)
	title, known := f.terms().Titles[p.Title]
	if err != nil || g < 0 || !known {
		v.status(s, rtsp.NotFound)
		return
	}
	specs, err := rtsp.ParseTransport(m.Header.Get("Transport"))
	tr, ok := rtsp.FindTCP(specs)
	if err != nil || !ok {
		v.respond(s, rtsp.NewResponse(m, rtsp.UnsupportedTransport).WithHeader("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1"))
		return
	}
	n := max(p.Track, 0)
	if n >= len(media) {
		v.status(s, rtsp.NotFound)
		return
	}
	t := track{n: n, low: tr.RTPChannel, high: tr.RTCPChannel}
	if !tr.Interleaved {
		if t.low, t.high, ok = v.free(); !ok {
			v.status(s, rtsp.NotEnoughBandwidth)
			return
		}
	} else if v.used(t.low) || v.used(t.high) {
		v.status(s, rtsp.UnsupportedTransport)
		return
	}
	if x := v.joins(m, p); x != nil {
		t.box = byte(2 * len(x.tracks))
		v.serial++
		x.asks[v.serial] = s
		x.tracks = append(x.tracks, t)
		f.table.RequestOp(x.id, session.Join, v.serial)
		return
	}
	if m.Session() != "" {
		v.status(s, rtsp.SessionNotFound)
		return
	}
	x := &sess{id: newID(), viewer: v, asked: f.now(), group: g, place: p, tracks: []track{t}, first: s, asks: map[int]*slot{}}
	x.attach(v)
	f.sess[x.id] = x
	bandwidth, _ := strconv.ParseFloat(strings.TrimSpace(m.Header.Get("Bandwidth")), 64)
	if !(bandwidth >= 0) || math.IsInf(bandwidth, 0) {
		bandwidth = 0
	}
	x.best = session.BestRung(f.terms().Groups[g].Rates, bandwidth)
	f.count.taken.WithLabelValues(f.terms().Groups[g].Name).Inc()
	f.table.Open(x.id, session.Request{Group: g, Title: p.Title, StartCell: title.StartCell, Span: title.Span,
		BestRung: x.best, Length: title.Length})
}

// attach gives a session its viewer, and the way of its media.
func (x *sess) attach(v *viewer) {
	f := v.f
	x.viewer, v.sess[x.id] = v, x
	x.stream = relay.NewStream(v.out, func(link, uplink float64) { f.post(func() { f.note(x, link, uplink) }) })
	for _, t := range x.tracks {
		x.stream.AddTrack(t.box, &relay.Track{RTPChannel: t.low, RTCPChannel: t.high, ClockRate: media[t.n].clock})
	}
}

// joins finds the session that a SETUP adds a track to: the one it names, or one of the same presentation whose first
// SETUP was pipelined just before.
func (v *viewer) joins(m *rtsp.Message, p rtsp.Resource) *sess {
	if id := m.Session(); id != "" {
		return v.sess[choice.SessID(id)]
	}
	for _, x := range v.sess {
		if x.first != nil && x.place.Group == p.Group && x.place.Title == p.Title && !x.has(max(p.Track, 0)) {
			return x
		}
	}
	return nil
}

func (x *sess) has(n int) bool {
	for _, t := range x.tracks {
		if t.n == n {
			return true
		}
	}
	return false
}

func (v *viewer) used(channel byte) bool {
	for _, x := range v.sess {
		for _, t := range x.tracks {
			if t.low == channel || t.high == channel {
				return true
			}
		}
	}
	return false
}

func (v *viewer) free() (low, high byte, ok bool) {
	for c := 0; c < 255; c += 2 {
		if !v.used(byte(c)) && !v.used(byte(c+1)) {
			return byte(c), byte(c + 1), true
		}
	}
	return 0, 0, false
}

// forget drops a session whose end has been told.
func (f *Front) forget(x *sess) {
	delete(f.sess, x.id)
	if x.viewer != nil {
		delete(x.viewer.sess, x.id)
	}
	f.ear.Forget(x.id)
	x.plays = false
}

// note passes a load note on, one a box.
func (f *Front) note(x *sess, link, uplink float64) {
	c := f.atBox[x.id]
	if c == nil || !f.ear.AcceptNote(c.box, f.now(), link, uplink) {
		return
	}
	f.count.notes.Inc()
	f.table.LoadNote(x.id, c.box, link, false)
	if uplink >= 0 {
		f.table.LoadNote(x.id, c.box, uplink, true)
	}
}

// played answers a PLAY: where the media goes on from, and its first frames after it.
func (x *sess) played(s *slot) *rtsp.Message {
	r := rtsp.NewResponse(s.req, rtsp.OK).WithHeader("Session", string(x.id))
	if x.answer != nil {
		if v := x.answer.Header.Get("Range"); v != "" {
			r.WithHeader("Range", v)
		}
		list, err := rtsp.ParseRTPInfo(x.answer.Header.Get("Rtp-Info"))
		var out []rtsp.RTPInfo
		for _, i := range list {
			p, bad := rtsp.ParseURL(i.URL)
			if bad != nil {
				continue
			}
			for _, t := range x.tracks {
				if t.n != max(p.Track, 0) {
					continue
				}
				if seq, ts, ok := x.stream.TranslateRTPInfo(t.box, i.Seq, i.RTPTime); ok {
					i.Seq, i.RTPTime = seq, ts // the stream goes on in the numbers that the viewer knows
				}
				i.URL = rtsp.Resource{Host: x.place.Host, Group: x.place.Group, Title: x.place.Title, Track: t.n, Query: x.place.Query}.URL()
				out = append(out, i)
			}
		}
		if err == nil && len(out) > 0 {
			r.WithHeader("RTP-Info", rtsp.FormatRTPInfo(out))
		}
	}
	return r
}

func (f *Front) sessionField(x *sess) string {
	return rtsp.FormatSession(string(x.id), time.Duration(f.terms().Limits.ViewerIdle*1e9))
}
