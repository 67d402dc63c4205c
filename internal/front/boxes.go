package front

import (
	"context"
	"fmt"
	"net"
	"slices"
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

// boxConn is one connection to a box. It carries one session, one probe or one late TEARDOWN at a time.
type boxConn struct {
	f      *Front
	num    pool.ConnID
	box    choice.ServerID
	host   string // its address
	conn   *rtsp.Conn
	out    *relay.Queue
	stream atomic.Pointer[relay.Stream]

	// Owned by the loop.
	cseq      int
	waits     map[int]func(*rtsp.Message) // by CSeq; called with nil where the connection ends first
	sess      *sess
	try       int
	session   string // the box's name for it
	rung      int    // asked for last
	withdrawn bool
	closed    bool
}

// connect gives a connection to a box to got, in the loop and after the orders under way; nil where none could be had.
func (f *Front) connect(ctx context.Context, box choice.ServerID, got func(*boxConn)) {
	if num, ok := f.keeper.Get(box); ok {
		c := f.conns[num]
		f.after = append(f.after, func() { got(c) })
		return
	}
	host, listed := f.address[box]
	if !listed || !f.keeper.Reserve(box) {
		f.after = append(f.after, func() { got(nil) })
		return
	}
	f.work.Add(1)
	go func() {
		defer f.work.Done()
		ctx, cancel := context.WithTimeout(ctx, time.Duration(f.terms().Limits.ConnectTimeout*1e9))
		defer cancel()
		raw, err := f.dial(ctx, host)
		f.post(func() {
			if err != nil {
				f.keeper.Closed(box, 0)
				f.log.Debug("no connection", zap.Uint32("box", uint32(box)), zap.Error(err))
				got(nil)
				return
			}
			got(f.begin(box, host, raw))
		})
		if err == nil {
			select {
			case <-f.done: // the loop may have ended before it took the connection
				raw.Close()
			default:
			}
		}
	}()
}

// begin starts a connection's goroutines.
func (f *Front) begin(box choice.ServerID, host string, raw net.Conn) *boxConn {
	f.serial++
	c := &boxConn{f: f, num: pool.ConnID(f.serial), box: box, host: host, conn: rtsp.NewConn(raw, rtsp.Limits{LineBytes: 2048}),
		out: relay.NewQueue(0), waits: map[int]func(*rtsp.Message){}}
	f.conns[c.num] = c
	f.work.Add(2)
	go func() {
		defer f.work.Done()
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
		defer f.work.Done()
		err := c.read()
		raw.Close()
		c.out.Close()
		f.post(func() { f.boxClosed(c, err) })
	}()
	return c
}

// read takes what a box sends until the connection ends.
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
				now := time.Since(c.f.began)
				s.Queue().AwaitRoom(len(frame.Raw), int64(now), timer, time.Duration(limits.QueueFullWait*1e9))
				s.ForwardFrame(now, frame.Channel, frame.Payload())
				if !c.conn.FrameBuffered() {
					s.Queue().Flush()
				}
			} else {
				c.f.count.stray.Inc()
			}
			continue
		}
		c.f.post(func() { c.message(m) })
	}
}

// send sends a request; then hears of its answer, or nil where the connection ends first.
func (c *boxConn) send(m *rtsp.Message, then func(*rtsp.Message)) {
	c.cseq++
	m.WithHeader("CSeq", strconv.Itoa(c.cseq)).WithHeader("User-Agent", "rainhaven/"+c.f.terms().Name)
	c.waits[c.cseq] = then
	if err := c.out.PushMessage(m.Append(nil)); err != nil {
		c.close()
	}
}

// message takes a message of the box's in the loop.
func (c *boxConn) message(m *rtsp.Message) {
	if m.IsRequest() {
		status := rtsp.MethodNotAllowed
		if m.Method == rtsp.Options || m.Method == rtsp.GetParameter && len(m.Body) == 0 {
			status = rtsp.OK
		}
		c.out.PushMessage(rtsp.NewResponse(m, status).Append(nil))
		return
	}
	then, ok := c.waits[m.CSeq()]
	if !ok || m.Session() != "" && c.session != "" && m.Session() != c.session {
		c.f.count.stray.Inc()
		c.f.log.Info("a box's answer belongs to no request", zap.Uint32("box", uint32(c.box)), zap.Int("cseq", m.CSeq()))
		return
	}
	delete(c.waits, m.CSeq())
	then(m)
}

func (c *boxConn) close() {
	c.conn.Close()
	c.out.Close()
}

// idle gives the connection back.
func (c *boxConn) idle() {
	c.sess, c.session = nil, ""
	c.stream.Store(nil)
	if c.closed || len(c.waits) > 0 || !c.f.keeper.Put(c.box, c.num, c.f.now()) {
		c.close()
	}
}

// leave gives the connection back if it is clean, else closes it.
func (c *boxConn) leave(clean bool) {
	if clean {
		c.idle()
		return
	}
	c.sess = nil
	c.stream.Store(nil)
	c.close()
}

func (f *Front) boxClosed(c *boxConn, err error) {
	c.closed = true
	delete(f.conns, c.num)
	f.keeper.Closed(c.box, c.num)
	if c.withdrawn {
		f.late--
	}
	waits := c.waits
	c.waits = map[int]func(*rtsp.Message){}
	for cseq := 1; cseq <= c.cseq && len(waits) > 0; cseq++ {
		if then, ok := waits[cseq]; ok {
			delete(waits, cseq)
			then(nil)
		}
	}
	if s := c.sess; s != nil && f.atBox[s.id] == c {
		delete(f.atBox, s.id)
		f.log.Info("a box's connection broke", zap.Uint32("box", uint32(c.box)), zap.String("session", string(s.id)), zap.Error(err))
		f.table.BoxFailed(s.id, c.try)
	}
}

// report reads the box's word on its load: a dictionary of RFC 8941 with the members link and uplink.
func report(m *rtsp.Message) choice.LoadReport {
	d, err := httpsfv.UnmarshalDictionary(m.Header["Load-Report"])
	if err != nil {
		return choice.LoadReport{Link: -1, Uplink: -1}
	}
	figure := func(name string) (x float64, capped bool) {
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
	link, capped := figure("link")
	uplink, _ := figure("uplink")
	return delivery.SanitizeReport(link, uplink, capped)
}

// carrier carries out the table's orders.
type carrier struct{ f *Front }

func (c *boxConn) url(s *sess, track int) string {
	return rtsp.Resource{Host: c.host, Group: s.place.Group, Title: s.place.Title, Track: track, Query: s.place.Query}.URL()
}

// Setup implements session.Actions.
func (k carrier) Setup(id choice.SessID, try int, box choice.ServerID, rung int) {
	f := k.f
	s := f.sess[id]
	if s == nil {
		return
	}
	ctx, cancel := context.WithCancel(f.context)
	s.try, s.cancel = try, cancel
	f.connect(ctx, box, func(c *boxConn) {
		cancel()
		if s.try != try || f.sess[id] != s { // withdrawn meanwhile
			if c != nil {
				c.idle()
			}
			return
		}
		if c == nil {
			f.count.setups.WithLabelValues("no connection").Inc()
			f.table.BoxFailed(id, try)
			return
		}
		c.sess, c.try, c.rung = s, try, rung
		c.stream.Store(s.stream)
		f.atBox[id] = c
		t := s.tracks[0]
		m := rtsp.NewRequest(rtsp.Setup, c.url(s, t.n)).WithHeader("Rung", strconv.Itoa(rung)).
			WithHeader("Transport", rtsp.Transport{RTPChannel: t.box, RTCPChannel: t.box + 1}.String())
		c.send(m, func(m *rtsp.Message) { c.setupAnswered(s, try, m) })
		f.table.SetupSent(id, try)
	})
}

func (c *boxConn) setupAnswered(s *sess, try int, m *rtsp.Message) {
	f := c.f
	status := 0
	if m != nil {
		status = m.Status
	}
	switch {
	case m == nil:
		f.count.setups.WithLabelValues("broken").Inc()
		return // boxClosed tells it
	case c.withdrawn:
		if m.Status/100 == 2 && m.Session() != "" {
			f.tearLate(c.box, c.url(s, -1), m.Session())
		}
		c.close()
		return
	case m.Status/100 == 2 && m.Session() == "":
		m.Status = rtsp.InternalError // a session without a name can't be played
	}
	f.count.setups.WithLabelValues(strconv.Itoa(m.Status)).Inc()
	if m.Status/100 == 2 {
		c.session = m.Session()
	} else {
		delete(f.atBox, s.id)
		c.leave(pool.Reusable(status, false))
	}
	f.table.BoxAnswered(s.id, try, m.Status, report(m))
}

// CancelSetup implements session.Actions. The sending side is closed, which tells the box; the receiving side stays to
// hear of a session that is set up all the same, which is then torn down.
func (k carrier) CancelSetup(id choice.SessID, try int) {
	f := k.f
	if s := f.sess[id]; s != nil && s.try == try {
		if s.try = 0; s.cancel != nil {
			s.cancel()
		}
	}
	c := f.atBox[id]
	if c == nil || c.try != try {
		return
	}
	f.count.setups.WithLabelValues("withdrawn").Inc()
	delete(f.atBox, id)
	c.sess, c.withdrawn = nil, true
	c.stream.Store(nil)
	if f.late++; f.late > limits.MaxLateAnswers {
		c.close()
		return
	}
	c.out.Finish()
}

// tearLate tears down a session that a box set up after its SETUP was withdrawn: once, over another connection.
func (f *Front) tearLate(box choice.ServerID, url, name string) {
	f.connect(f.context, box, func(c *boxConn) {
		if c == nil {
			f.count.orphans.WithLabelValues("left").Inc()
			return
		}
		timer := time.AfterFunc(2*time.Second, func() { f.post(c.close) })
		c.send(rtsp.NewRequest(rtsp.TearDown, url).WithHeader("Session", name), func(m *rtsp.Message) {
			timer.Stop()
			if m == nil {
				f.count.orphans.WithLabelValues("left").Inc()
				return
			}
			f.count.orphans.WithLabelValues("torn down").Inc()
			c.leave(pool.Reusable(m.Status, true))
		})
	})
}

// SendOp implements session.Actions.
func (k carrier) SendOp(id choice.SessID, try int, op session.Op, arg int) {
	f := k.f
	c := f.atBox[id]
	if c == nil || c.try != try {
		f.after = append(f.after, func() { f.table.BoxFailed(id, try) })
		return
	}
	s := c.sess
	var m *rtsp.Message
	switch op {
	case session.Play:
		m = rtsp.NewRequest(rtsp.Play, c.url(s, -1))
		if ask := s.asks[arg]; ask != nil {
			if r := ask.req.Header.Get("Range"); r != "" {
				m.WithHeader("Range", r)
			}
		}
	case session.Pause:
		m = rtsp.NewRequest(rtsp.Pause, c.url(s, -1))
	case session.Join:
		t := s.joining(arg)
		m = rtsp.NewRequest(rtsp.Setup, c.url(s, t.n)).WithHeader("Transport", rtsp.Transport{RTPChannel: t.box, RTCPChannel: t.box + 1}.String())
	case session.KeepAlive:
		m = rtsp.NewRequest(rtsp.GetParameter, c.url(s, -1))
	case session.SetRung:
		f.count.rungs.Inc()
		c.rung = arg
		m = rtsp.NewRequest(rtsp.SetParameter, c.url(s, -1)).WithHeader("Content-Type", "text/parameters")
		m.Body = fmt.Appendf(nil, "rung: %d\r\n", arg)
	case session.TearDown:
		m = rtsp.NewRequest(rtsp.TearDown, c.url(s, -1))
		c.stream.Store(nil)
	}
	c.send(m.WithHeader("Session", c.session), func(m *rtsp.Message) {
		if m == nil {
			return // boxClosed tells it
		}
		switch op {
		case session.Play:
			s.answer = m
		case session.TearDown:
			delete(f.atBox, id)
			c.leave(pool.Reusable(m.Status, true))
		}
		f.table.OpAnswered(id, try, op, arg, m.Status, report(m))
	})
}

// joining is the track that a pending request adds.
func (s *sess) joining(n int) track {
	ask := s.asks[n]
	if ask != nil {
		if p, err := rtsp.ParseURL(ask.req.URL); err == nil {
			for _, t := range s.tracks {
				if t.n == max(p.Track, 0) {
					return t
				}
			}
		}
	}
	return s.tracks[len(s.tracks)-1]
}

// CloseConn implements session.Actions.
func (k carrier) CloseConn(id choice.SessID, try int) {
	if c := k.f.atBox[id]; c != nil && c.try == try {
		delete(k.f.atBox, id)
		c.sess = nil
		c.stream.Store(nil)
		c.close()
	}
}

// Probe implements session.Actions: GET_PARAMETER without a body, which any server of RFC 2326 answers.
func (k carrier) Probe(box choice.ServerID) {
	f := k.f
	over := false
	end := func(status int, o choice.Outcome, r choice.LoadReport) {
		if !over {
			over = true
			f.count.probes.WithLabelValues(outcomeName(status, o)).Inc()
			f.table.Probed(box, status, o, r)
		}
	}
	none := choice.LoadReport{Link: -1, Uplink: -1}
	f.connect(f.context, box, func(c *boxConn) {
		if c == nil {
			end(0, choice.NoConnection, none)
			return
		}
		timer := time.AfterFunc(time.Duration(f.terms().Limits.ProbeTimeout*1e9), func() {
			f.post(func() {
				end(0, choice.TimedOut, none)
				c.close()
			})
		})
		c.send(rtsp.NewRequest(rtsp.GetParameter, "rtsp://"+c.host+"/"), func(m *rtsp.Message) {
			timer.Stop()
			if m == nil {
				end(0, choice.Reset, none)
				return
			}
			if !over {
				end(m.Status, 0, report(m))
				c.idle()
			}
		})
	})
}

func outcomeName(status int, o choice.Outcome) string {
	switch {
	case status != 0:
		return strconv.Itoa(status)
	case o == choice.NoConnection:
		return "no connection"
	case o == choice.TimedOut:
		return "timed out"
	}
	return "broken"
}

// Answer implements session.Actions.
func (k carrier) Answer(id choice.SessID, v session.FinalAnswer, comeBack float64) {
	f := k.f
	x := f.sess[id]
	if x == nil {
		return
	}
	name := f.terms().Groups[x.group].Name
	f.count.answers.WithLabelValues(name, v.String()).Inc()
	f.count.answerIn.WithLabelValues(name).Observe(f.now() - x.asked)
	slot := x.first
	x.first = nil
	if v != session.Served {
		f.forget(x)
		r := rtsp.NewResponse(slot.req, rtsp.GatewayTimeout)
		if v == session.Busy {
			// Retry-After is in whole seconds; 0 says that any time will do.
			r = rtsp.NewResponse(slot.req, rtsp.ServiceUnavailable).WithHeader("Retry-After", strconv.Itoa(int(comeBack+0.999)))
		}
		x.viewer.respond(slot, r)
		return
	}
	t := x.tracks[0]
	x.viewer.respond(slot, rtsp.NewResponse(slot.req, rtsp.OK).WithHeader("Session", f.sessionField(x)).
		WithHeader("Transport", rtsp.Transport{RTPChannel: t.low, RTCPChannel: t.high}.String()))
}

// Reply implements session.Actions.
func (k carrier) Reply(id choice.SessID, n int, r session.Result) {
	x := k.f.sess[id]
	if x == nil || x.asks[n] == nil {
		return
	}
	s := x.asks[n]
	delete(x.asks, n)
	status := map[session.Result]int{session.NoSession: rtsp.SessionNotFound, session.WrongState: rtsp.NotValidInThisState,
		session.BoxRefused: rtsp.InternalError, session.BoxUnavailable: rtsp.GatewayTimeout, session.TooManyRequests: rtsp.ServiceUnavailable}
	if r != session.Done {
		if s.req.Method == rtsp.Setup {
			p, _ := rtsp.ParseURL(s.req.URL)
			x.tracks = slices.DeleteFunc(x.tracks, func(o track) bool { return o.n == max(p.Track, 0) })
		}
		x.viewer.status(s, status[r])
		return
	}
	switch s.req.Method {
	case rtsp.Setup:
		p, _ := rtsp.ParseURL(s.req.URL)
		for _, t := range x.tracks {
			if t.n == max(p.Track, 0) {
				x.stream.AddTrack(t.box, &relay.Track{RTPChannel: t.low, RTCPChannel: t.high, ClockRate: media[t.n].clock})
				x.viewer.respond(s, rtsp.NewResponse(s.req, rtsp.OK).WithHeader("Session", k.f.sessionField(x)).
					WithHeader("Transport", rtsp.Transport{RTPChannel: t.low, RTCPChannel: t.high}.String()))
			}
		}
	case rtsp.Play:
		x.viewer.respond(s, x.played(s))
		x.stream.Open()
		x.plays = true
	case rtsp.Pause:
		x.plays = false
		k.f.ear.Forget(id)
		fallthrough
	default:
		x.viewer.respond(s, rtsp.NewResponse(s.req, rtsp.OK).WithHeader("Session", string(x.id)))
	}
}

// End implements session.Actions.
func (k carrier) End(id choice.SessID, why session.EndReason) {
	f := k.f
	x := f.sess[id]
	if x == nil {
		return
	}
	f.count.ends.WithLabelValues(why.String()).Inc()
	f.log.Info("session over", zap.String("session", string(id)), zap.Stringer("why", why))
	if why != session.ByViewer && x.stream != nil {
		x.stream.SendBye()
	}
	f.forget(x)
	if x.viewer == nil {
		return
	}
	for _, s := range x.asks { // none is left but by a fault; the connection must not stand still for it
		x.viewer.status(s, rtsp.SessionNotFound)
	}
	if why != session.ByViewer && len(x.viewer.sess) == 0 && len(x.viewer.slots) == 0 {
		x.viewer.finish()
	}
}

// nowhere takes the orders of a front that was killed.
type nowhere struct{}

func (nowhere) Setup(choice.SessID, int, choice.ServerID, int)     {}
func (nowhere) CancelSetup(choice.SessID, int)                     {}
func (nowhere) SendOp(choice.SessID, int, session.Op, int)         {}
func (nowhere) CloseConn(choice.SessID, int)                       {}
func (nowhere) Probe(choice.ServerID)                              {}
func (nowhere) Answer(choice.SessID, session.FinalAnswer, float64) {}
func (nowhere) Reply(choice.SessID, int, session.Result)           {}
func (nowhere) End(choice.SessID, session.EndReason)               {}
