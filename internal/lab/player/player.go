// Package player is a stand-in for a viewer: it asks a front for a session over RTSP, plays it and looks at every frame,
// gives up at its setup timeout, leaves early, and comes again after a busy reply or a break.
package player

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/url"
	"strconv"
	"time"

	"rainhaven/choice/auth"
	"rainhaven/internal/lab/witness"
	"rainhaven/internal/rtsp"
)

// Want is what one viewer wants.
type Want struct {
	Address      string // of the front, host and port
	Front        string // its name, for the witness
	Group, Title string
	Token        string  // put into the URL; empty is none
	SetupTimeout float64 // seconds
	Watch        float64 // seconds of media after which it leaves; 0 is to the end
	LeaveAfter   float64 // seconds after the SETUP left at which it just disconnects; 0 is never
	Bandwidth    float64 // bits a second; 0 is not told
	Tracks       int     // 1 or 2
	Describe     bool
	TLS          *tls.Config // for a front over TLS
	User         *auth.User  // for a front that asks who it is; DESCRIBE comes first then
	Algorithm    string      // of the digest; the first one offered where empty
	Save         io.Writer   // where the first track's payloads go; may be nil
	Live         func(Seen)
	Now          func() float64
	Witness      *witness.Witness // may be nil
}

// Seen is what it saw.
type Seen struct {
	Status     int // of the final answer; 0 is none
	RetryAfter float64
	AnswerIn   float64 // seconds from SETUP to its answer
	FirstFrame float64 // seconds from SETUP to the first frame; 0 is none
	Frames     int
	Bytes      int64
	Lost       int     // sequence numbers missing
	Doubled    int     // or out of order
	Jumps      int     // timestamps that leap or run back
	WorstGap   float64 // seconds between two frames
	Media      float64 // seconds of media received
	Played     float64 // seconds from the first to the last frame
	Rungs      int     // changes of rung seen
	Rung       int     // the last
	Ended      bool    // by the title's end or the viewer's own wish
	Broke      bool    // by the other side
	SentTo     string  // where the front asked it to go on; it has left then
}

// Share is what was delivered of the rate.
func (s Seen) Share() float64 {
	if s.Played <= 0 {
		return 0
	}
	return min(s.Media/s.Played, 1)
}

// ErrNotServed is a final answer other than 200.
var ErrNotServed = errors.New("not served")

type play struct {
	w      Want
	c      *rtsp.Conn
	cseq   int
	seen   Seen
	asked  time.Time
	first  time.Time
	last   time.Time
	seq    [2]uint16
	ts     uint32
	bye    bool
	to     string // the front's Location, to go on at
	frames [2]int
	offer  map[string]string // the front's challenge, once it came
}

// Watch plays a session as wanted. The error tells why it did not go to its end; what was seen counts all the same.
func Watch(ctx context.Context, w Want) (Seen, error) {
	if w.Now == nil {
		start := time.Now()
		w.Now = func() float64 { return time.Since(start).Seconds() }
	}
	if w.Tracks == 0 {
		w.Tracks = 1
	}
	if w.SetupTimeout == 0 {
		w.SetupTimeout = 10
	}
	d := net.Dialer{Timeout: 2 * time.Second}
	raw, err := d.DialContext(ctx, "tcp", w.Address)
	if err != nil {
		return Seen{}, fmt.Errorf("connecting to the front: %w", err)
	}
	defer raw.Close()
	if w.TLS != nil {
		raw = tls.Client(raw, w.TLS)
	}
	stop := context.AfterFunc(ctx, func() { raw.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	p := &play{w: w, c: rtsp.NewConn(raw, rtsp.Limits{})}
	err = p.run(ctx)
	if w.Witness != nil && w.Token != "" {
		w.Witness.ViewerLeft(w.Token, w.Now())
	}
	if !p.first.IsZero() {
		p.seen.Played = p.last.Sub(p.first).Seconds()
	}
	return p.seen, err
}

func (p *play) url(track int) string {
	place := rtsp.Resource{Host: p.w.Address, Group: p.w.Group, Title: p.w.Title, Track: track}
	if p.w.Token != "" {
		place.Query = "viewer=" + p.w.Token
	}
	return place.URL()
}

func (p *play) request(method, url string) *rtsp.Message {
	p.cseq++
	m := rtsp.NewRequest(method, url).WithHeader("CSeq", strconv.Itoa(p.cseq)).WithHeader("User-Agent", "rainhaven-play")
	if p.offer != nil {
		q := map[string]string{"uri": url, "nonce": p.offer["nonce"], "qop": "auth", "nc": fmt.Sprintf("%08x", p.cseq), "cnonce": "rainhaven"}
		alg, realm := p.offer["algorithm"], p.offer["realm"]
		m.WithHeader("Authorization", fmt.Sprintf(`Digest username="%s", realm="%s", nonce="%s", uri="%s", algorithm=%s, qop=auth, nc=%s, cnonce="%s", response="%s"`,
			p.w.User.Name, realm, q["nonce"], url, alg, q["nc"], q["cnonce"], auth.Response(alg, auth.HA1(alg, realm, *p.w.User), method, q)))
	}
	return m
}

// challenged keeps the challenge that suits.
func (p *play) challenged(r *rtsp.Message) bool {
	for _, v := range r.Header["Www-Authenticate"] {
		if scheme, q, err := auth.ParseHeader(v); err == nil && scheme == "Digest" && (p.w.Algorithm == "" || p.w.Algorithm == q["algorithm"]) {
			p.offer = q
			return true
		}
	}
	return false
}

func (p *play) other(m *rtsp.Message, f rtsp.Frame) {
	if m == nil {
		p.frame(f)
	}
}

func (p *play) run(ctx context.Context) error {
	if p.w.Describe || p.w.User != nil {
		describe := func() (*rtsp.Message, error) {
			return p.c.RoundTrip(p.request(rtsp.Describe, p.url(-1)).WithHeader("Accept", "application/sdp"), 5*time.Second, p.other)
		}
		r, err := describe()
		if err == nil && r.Status == rtsp.Unauthorized && p.w.User != nil && p.challenged(r) {
			r, err = describe()
		}
		if err != nil {
			return err
		}
		if r.Status != rtsp.OK {
			p.seen.Status = r.Status
			return fmt.Errorf("DESCRIBE: %d %s", r.Status, r.Reason)
		}
	}
	m := p.request(rtsp.Setup, p.url(0)).WithHeader("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1")
	if p.w.Bandwidth > 0 {
		m.WithHeader("Bandwidth", strconv.Itoa(int(p.w.Bandwidth)))
	}
	session, err := p.setup(m)
	if err != nil {
		return err
	}
	for n := 1; n < p.w.Tracks; n++ {
		r, err := p.c.RoundTrip(p.request(rtsp.Setup, p.url(n)).WithHeader("Session", session).
			WithHeader("Transport", fmt.Sprintf("RTP/AVP/TCP;unicast;interleaved=%d-%d", 2*n, 2*n+1)), 5*time.Second, p.other)
		if err != nil {
			return p.broke(err)
		}
		if r.Status != rtsp.OK {
			return fmt.Errorf("SETUP of track %d: %d %s", n, r.Status, r.Reason)
		}
	}
	r, err := p.c.RoundTrip(p.request(rtsp.Play, p.url(-1)).WithHeader("Session", session).WithHeader("Range", "npt=0-"), 6*time.Second, p.other)
	if err != nil {
		return p.broke(err)
	}
	if r.Status != rtsp.OK {
		return fmt.Errorf("PLAY: %d %s", r.Status, r.Reason)
	}
	return p.watch(ctx, session)
}

// setup sends the first SETUP and waits for its answer until the setup timeout.
func (p *play) setup(m *rtsp.Message) (session string, err error) {
	p.asked = time.Now()
	w := p.w.Witness
	if w != nil && p.w.Token != "" {
		w.Requested(p.w.Token, p.w.Front, p.w.Group, p.w.Now())
	}
	if _, err := p.c.Write(m.Append(nil)); err != nil {
		return "", p.broke(err)
	}
	wait := p.w.SetupTimeout
	if p.w.LeaveAfter > 0 {
		wait = min(wait, p.w.LeaveAfter)
	} else {
		wait += 0.1 // to see an answer that is late
	}
	p.c.SetReadDeadline(p.asked.Add(time.Duration(wait * 1e9)))
	for {
		r, _, err := p.c.Next()
		if err != nil {
			var late net.Error
			if errors.As(err, &late) && late.Timeout() {
				return "", fmt.Errorf("no answer within %.1f s", wait)
			}
			return "", p.broke(err)
		}
		if r == nil || r.IsRequest() || r.CSeq() != p.cseq {
			continue
		}
		p.seen.Status, p.seen.AnswerIn = r.Status, time.Since(p.asked).Seconds()
		retry := r.Header.Get("Retry-After")
		p.seen.RetryAfter, _ = strconv.ParseFloat(retry, 64)
		if w != nil && p.w.Token != "" {
			w.Answered(p.w.Token, p.w.Now(), r.Status, r.Status == rtsp.ServiceUnavailable && retry != "")
		}
		if r.Status != rtsp.OK {
			return "", fmt.Errorf("%w: %d %s", ErrNotServed, r.Status, r.Reason)
		}
		return r.Session(), nil
	}
}

func (p *play) broke(err error) error {
	p.seen.Broke = true
	if w := p.w.Witness; w != nil && p.w.Token != "" {
		w.ConnectionLost(p.w.Token, p.w.Now())
	}
	return fmt.Errorf("the session broke: %w", err)
}

// aliveEvery is the pace of a viewer's signs of life, under half of the usual session timeout.
const aliveEvery = 20 * time.Second

// patience is how long a viewer looks at a still picture.
const patience = 20 * time.Second

// heard is when the newest frame came, or the SETUP left.
func (p *play) heard() time.Time {
	if p.last.IsZero() {
		return p.asked
	}
	return p.last
}

// watch takes frames until the end.
func (p *play) watch(ctx context.Context, session string) error {
	alive := time.Now()
	told := time.Now()
	for !p.bye && p.to == "" && (p.w.Watch == 0 || p.seen.Media < p.w.Watch) && ctx.Err() == nil {
		if p.w.LeaveAfter > 0 && time.Since(p.asked).Seconds() >= p.w.LeaveAfter {
			return nil // just gone
		}
		p.c.SetReadDeadline(time.Now().Add(time.Second))
		if ctx.Err() != nil {
			break
		}
		m, f, err := p.c.Next()
		var wait net.Error
		switch {
		case err != nil && errors.As(err, &wait) && wait.Timeout():
			if p.c.Buffered() > 0 {
				return p.broke(fmt.Errorf("half a frame and no more within a second"))
			}
			if time.Since(p.heard()) > patience {
				return p.broke(fmt.Errorf("no frame for %v", patience))
			}
		case err != nil:
			return p.broke(err)
		case m == nil:
			p.frame(f)
		case m.IsRequest():
			status := rtsp.NotImplemented
			if u, err := url.Parse(m.Header.Get("Location")); m.Method == rtsp.Redirect && err == nil && u.Host != "" {
				status, p.to = rtsp.OK, u.Host
			}
			if _, err := p.c.Write(rtsp.NewResponse(m, status).Append(nil)); err != nil {
				return p.broke(err)
			}
		case !m.IsRequest() && m.Status != rtsp.OK:
			return p.broke(fmt.Errorf("the front answers %d %s", m.Status, m.Reason))
		}
		now := time.Now()
		if now.Sub(alive) > aliveEvery {
			alive = now
			if _, err := p.c.Write(p.request(rtsp.GetParameter, p.url(-1)).WithHeader("Session", session).Append(nil)); err != nil {
				return p.broke(err)
			}
		}
		if p.w.Live != nil && now.Sub(told) > time.Second {
			told = now
			s := p.seen
			s.Played = p.last.Sub(p.first).Seconds()
			p.w.Live(s)
		}
	}
	p.seen.Ended, p.seen.SentTo = true, p.to
	p.c.SetDeadline(time.Time{})
	_, err := p.c.RoundTrip(p.request(rtsp.TearDown, p.url(-1)).WithHeader("Session", session), 3*time.Second, func(*rtsp.Message, rtsp.Frame) {})
	if err != nil && !p.bye {
		return fmt.Errorf("leaving: %w", err)
	}
	return nil
}

// frame looks at one frame.
func (p *play) frame(f rtsp.Frame) {
	b, now := f.Payload(), time.Now()
	if f.Channel%2 == 1 {
		if len(b) >= 8 && b[1] == 203 {
			p.bye = true
		}
		return
	}
	n := int(f.Channel / 2)
	if n > 1 || len(b) < 12 {
		return
	}
	seq, ts := binary.BigEndian.Uint16(b[2:]), binary.BigEndian.Uint32(b[4:])
	p.seen.Bytes += int64(len(b))
	if p.frames[n]++; p.frames[n] > 1 {
		switch d := int16(seq - p.seq[n]); {
		case d <= 0:
			p.seen.Doubled++
		case d > 1:
			p.seen.Lost += int(d) - 1
		}
	}
	p.seq[n] = seq
	if n != 0 {
		return
	}
	p.seen.Frames++
	if len(b) > 20 {
		if r := int(b[20]); p.first.IsZero() {
			p.seen.Rung = r
		} else if r != p.seen.Rung {
			p.seen.Rung = r
			p.seen.Rungs++
		}
	}
	if p.w.Save != nil {
		p.w.Save.Write(b[12:])
	}
	if p.first.IsZero() {
		p.first, p.ts = now, ts
		p.seen.FirstFrame = now.Sub(p.asked).Seconds()
	} else {
		d := int32(ts - p.ts)
		if d < 0 || d > 5*90000 {
			p.seen.Jumps++
		} else {
			p.seen.Media += float64(d) / 90000
		}
		p.ts = ts
		p.seen.WorstGap = math.Max(p.seen.WorstGap, now.Sub(p.last).Seconds())
	}
	p.last = now
}
