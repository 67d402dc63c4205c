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

// HandoverSession is a session that plays at a box and goes from one front to the next. Its viewer claims it by the id that it
// knows, with a request over a new connection.
type HandoverSession struct {
	ID         choice.SessID
	Group      string
	Title      string
	Query      string
	BestRung   int
	Rung       int
	Box        choice.ServerID
	BoxSession string // the box's name for it
	Tracks     []HandoverTrack
}

// HandoverTrack is one of its tracks: the viewer's channels and the box's first one.
type HandoverTrack struct {
	Number                              int
	RTPChannel, RTCPChannel, BoxChannel byte
}

// HandOver ends the front and gives up its playing sessions, which stay at their boxes; others are ended as by Close.
func (f *Front) HandOver() (list []HandoverSession) {
	f.call(func() {
		for _, id := range slices.Sorted(maps.Keys(f.atBox)) {
			c := f.atBox[id]
			x := c.sess
			if !x.plays || c.session == "" {
				continue
			}
			h := HandoverSession{ID: id, Group: f.terms().Groups[x.group].Name, Title: x.place.Title, Query: x.place.Query, BestRung: x.best,
				Rung: c.rung, Box: c.box, BoxSession: c.session}
			for _, t := range x.tracks {
				h.Tracks = append(h.Tracks, HandoverTrack{t.n, t.low, t.high, t.box})
			}
			list = append(list, h)
			delete(f.atBox, id)
			c.sess = nil
			c.close()
			f.forget(x)
			if x.viewer != nil {
				x.viewer.finish()
			}
		}
	})
	f.Close()
	return list
}

// adopt takes over a session before the loop runs. The box is asked whether it knows it; what it does not know ends.
func (f *Front) adopt(h HandoverSession) {
	g := f.terms().GroupIndex(h.Group)
	title, known := f.terms().Titles[h.Title]
	if g < 0 || !known || len(h.Tracks) == 0 || f.sess[h.ID] != nil {
		return
	}
	x := &sess{id: h.ID, group: g, best: h.BestRung, place: rtsp.Resource{Group: h.Group, Title: h.Title, Track: -1, Query: h.Query},
		try: 1, asks: map[int]*slot{}, adopting: true}
	for _, t := range h.Tracks {
		x.tracks = append(x.tracks, track{t.Number, t.RTPChannel, t.RTCPChannel, t.BoxChannel})
	}
	f.sess[x.id] = x
	f.table.Adopt(x.id, session.Request{Group: g, Title: h.Title, StartCell: title.StartCell, Span: title.Span, BestRung: h.BestRung,
		Length: title.Length}, h.Box, h.Rung)
	f.connect(f.context, h.Box, func(c *boxConn) {
		list := x.early
		x.adopting, x.early = false, nil
		defer func() {
			for _, e := range list {
				f.table.RequestOp(x.id, e.op, e.n)
			}
		}()
		if c == nil {
			f.table.BoxFailed(x.id, 1)
			return
		}
		c.sess, c.try, c.session, c.rung = x, 1, h.BoxSession, h.Rung
		c.stream.Store(x.stream)
		f.atBox[x.id] = c
		c.send(rtsp.NewRequest(rtsp.GetParameter, c.url(x, -1)).WithHeader("Session", h.BoxSession), func(m *rtsp.Message) {
			if m != nil {
				f.table.OpAnswered(x.id, 1, session.KeepAlive, 0, m.Status, report(m))
			}
		})
	})
	time.AfterFunc(time.Duration(limits.ClaimTimeout*1e9), func() {
		f.post(func() {
			if f.sess[x.id] == x && x.viewer == nil {
				f.table.ViewerGone(x.id)
			}
		})
	})
}

// claim gives a session that was handed over to the viewer that names it.
func (v *viewer) claim(x *sess) {
	for _, t := range x.tracks {
		if v.used(t.low) || v.used(t.high) {
			return
		}
	}
	x.place.Host = v.conn.LocalAddr().String()
	x.attach(v)
	if c := v.f.atBox[x.id]; c != nil {
		c.stream.Store(x.stream)
	}
}
