package front

import (
	"maps"
	"slices"
	"time"

	"rainhaven/choice"
	"rainhaven/choice/limits"
	"rainhaven/choice/session"
	"rainhaven/internal/rtsp"
)

// HandoverSession describes a playing session that one front hands over to the next. Its viewer claims it over a new
// connection with a request that names the session id.
type HandoverSession struct {
	ID         choice.SessID
	Group      string
	Title      string
	Query      string
	BestRung   int
	Rung       int
	Box        choice.ServerID
	BoxSession string // session id at the box
	Tracks     []HandoverTrack
}

// HandoverTrack is one track of a handed over session: the viewer's interleaved channels and the first one at the box.
type HandoverTrack struct {
	Number                              int
	RTPChannel, RTCPChannel, BoxChannel byte
}

// HandOver closes the front and returns its playing sessions, which stay established at their boxes. Other sessions end
// as with Close.
func (f *Front) HandOver() (list []HandoverSession) {
	f.call(func() {
		for _, id := range slices.Sorted(maps.Keys(f.connOf)) {
			c := f.connOf[id]
			sess := c.session
			if !sess.playing || c.boxSession == "" {
				continue
			}
			h := HandoverSession{ID: id, Group: f.config().Groups[sess.group].Name, Title: sess.place.Title, Query: sess.place.Query, BestRung: sess.bestRung,
				Rung: c.rung, Box: c.Box, BoxSession: c.boxSession}
			for _, t := range sess.tracks {
				h.Tracks = append(h.Tracks, HandoverTrack{t.number, t.rtpChannel, t.rtcpChannel, t.boxChannel})
			}
			list = append(list, h)
			delete(f.connOf, id)
			c.session = nil
			c.close()
			sess.answerPendingOps(rtsp.ServiceUnavailable) // repeated by the viewer when it claims the session
			f.removeSession(sess)
		}
	})
	f.Close()
	return list
}

// addHandedOver takes over a session before the loop starts. A GET_PARAMETER checks that the box still knows it; else it ends.
func (f *Front) addHandedOver(h HandoverSession) {
	g := f.config().GroupIndex(h.Group)
	title, known := f.config().Titles[h.Title]
	if g < 0 || !known || len(h.Tracks) == 0 || f.sessions[h.ID] != nil {
		return
	}
	sess := &frontSession{id: h.ID, group: g, bestRung: h.BestRung, place: rtsp.Resource{Group: h.Group, Title: h.Title, Track: -1, Query: h.Query},
		bandwidth: -1, attempt: 1, pendingOps: map[int]*pendingRequest{}, adopting: true}
	for _, t := range h.Tracks {
		sess.tracks = append(sess.tracks, track{t.Number, t.RTPChannel, t.RTCPChannel, t.BoxChannel})
	}
	f.sessions[sess.id] = sess
	f.table.AddHandedOver(sess.id, session.Request{Group: g, Title: h.Title, StartCell: title.StartCell, CellCount: title.CellCount, BestRung: h.BestRung,
		Length: title.Length}, h.Box, h.Rung)
	f.connectHandedOver(sess, h, f.now()+limits.AdoptTimeout)
	time.AfterFunc(time.Duration(limits.ClaimTimeout*1e9), func() {
		f.post(func() {
			if f.sessions[sess.id] == sess && sess.viewer == nil {
				f.table.ViewerGone(sess.id)
			}
		})
	})
}

// connectHandedOver connects a handed over session to its box, which keeps it for some seconds without a connection. Failed attempts
// are repeated until the given time.
func (f *Front) connectHandedOver(sess *frontSession, h HandoverSession, until float64) {
	f.connect(f.ctx, h.Box, func(c *boxConn) {
		if f.sessions[sess.id] != sess { // its viewer has left
			if c != nil {
				f.tearDownOrphan(c.Endpoint, c.url(sess, -1), h.BoxSession)
				c.release()
			}
			return
		}
		if c == nil && f.now()+limits.AdoptRetryInterval < until {
			time.AfterFunc(time.Duration(limits.AdoptRetryInterval*1e9), func() { f.post(func() { f.connectHandedOver(sess, h, until) }) })
			return
		}
		f.adopted(sess, h, c)
	})
}

// adopted continues a handed over session on a connection to its box, or ends it if there is none, and then handles the requests
// that its viewer has sent meanwhile.
func (f *Front) adopted(sess *frontSession, h HandoverSession, c *boxConn) {
	earlyOps := sess.earlyOps
	sess.adopting, sess.earlyOps = false, nil
	defer func() {
		for _, e := range earlyOps {
			f.table.RequestOp(sess.id, e.op, e.number)
		}
	}()
	if c == nil {
		f.table.BoxFailed(sess.id, 1)
		return
	}
	c.session, c.attempt, c.boxSession, c.rung = sess, 1, h.BoxSession, h.Rung
	c.stream.Store(sess.stream)
	f.connOf[sess.id] = c
	c.send(rtsp.NewRequest(rtsp.GetParameter, c.url(sess, -1)).WithHeader("Session", h.BoxSession), func(m *rtsp.Message) {
		if m != nil {
			f.table.OpAnswered(sess.id, 1, session.KeepAlive, 0, m.Status, c.loadReport(m))
		}
	})
}

// claim attaches a handed over session to the viewer that named it, unless its channels are in use on the connection.
func (v *viewer) claim(sess *frontSession) {
	for _, t := range sess.tracks {
		if v.channelInUse(t.rtpChannel) || v.channelInUse(t.rtcpChannel) {
			return
		}
	}
	sess.place.Host = v.conn.LocalAddr().String()
	sess.attach(v)
	if c := v.f.connOf[sess.id]; c != nil {
		c.stream.Store(sess.stream)
	}
}
