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

// Options is what one viewer wants.
type Options struct {
	Address         string // of the front, host and port
	Front           string // its name, for the witness
	Group, Title    string
	Token           string  // put into the URL; empty is none
	SetupTimeout    float64 // seconds
	WatchSeconds    float64 // seconds of media after which it leaves; 0 is to the end
	DisconnectAfter float64 // seconds after the SETUP left at which it just disconnects; 0 is never
	Bandwidth       float64 // bits a second; 0 is not told
	Tracks          int     // 1 or 2
	Describe        bool
	TLS             *tls.Config // for a front over TLS
	User            *auth.User  // for a front that asks who it is; DESCRIBE comes first then
	DigestAlgorithm string      // of the digest; the first one offered where empty
	PayloadWriter   io.Writer   // where the first track's payloads go; may be nil
	OnProgress      func(Result)
	Now             func() float64
	Witness         *witness.Witness // may be nil
}

// Result is what it saw.
type Result struct {
	Status            int     `json:"Status"` // of the final answer; 0 is none
	RetryAfter        float64 `json:"RetryAfter"`
	AnswerSeconds     float64 `json:"AnswerIn"`   // seconds from SETUP to its answer
	FirstFrameSeconds float64 `json:"FirstFrame"` // seconds from SETUP to the first frame; 0 is none
	Frames            int     `json:"Frames"`
	Bytes             int64   `json:"Bytes"`
	LostPackets       int     `json:"Lost"`     // sequence numbers missing
	RepeatedPackets   int     `json:"Doubled"`  // or out of order
	TimestampJumps    int     `json:"Jumps"`    // timestamps that leap or run back
	MaxFrameGap       float64 `json:"WorstGap"` // seconds between two frames
	MediaSeconds      float64 `json:"Media"`    // seconds of media received
	PlayedSeconds     float64 `json:"Played"`   // seconds from the first to the last frame
	RungChanges       int     `json:"Rungs"`    // changes of rung seen
	LastRung          int     `json:"Rung"`     // the last
	Ended             bool    `json:"Ended"`    // by the title's end or the viewer's own wish
	Interrupted       bool    `json:"Broke"`    // by the other side
	RedirectedTo      string  `json:"SentTo"`   // where the front asked it to go on; it has left then
}

// DeliveredShare is what was delivered of the rate.
func (s Result) DeliveredShare() float64 {
	if s.PlayedSeconds <= 0 {
		return 0
	}
	return min(s.MediaSeconds/s.PlayedSeconds, 1)
}

// ErrNotServed is a final answer other than 200.
var ErrNotServed = errors.New("not served")

type player struct {
	opts          Options
	conn          *rtsp.Conn
	cseq          int
	result        Result
	setupSentAt   time.Time
	firstFrameAt  time.Time
	lastFrameAt   time.Time
	lastSeq       [2]uint16
	lastTimestamp uint32
	gotBye        bool
	redirect      string // the front's Location, to go on at
	packets       [2]int
	challenge     map[string]string // the front's challenge, once it came
}

// Watch plays a session as wanted. The error tells why it did not go to its end; what was seen counts all the same.
func Watch(ctx context.Context, opts Options) (Result, error) {
	if opts.Now == nil {
		start := time.Now()
		opts.Now = func() float64 { return time.Since(start).Seconds() }
	}
	if opts.Tracks == 0 {
		opts.Tracks = 1
	}
	if opts.SetupTimeout == 0 {
		opts.SetupTimeout = 10
	}
	d := net.Dialer{Timeout: 2 * time.Second}
	raw, err := d.DialContext(ctx, "tcp", opts.Address)
	if err != nil {
		return Result{}, fmt.Errorf("connecting to the front: %w", err)
	}
	defer raw.Close()
	if opts.TLS != nil {
		raw = tls.Client(raw, opts.TLS)
	}
	stop := context.AfterFunc(ctx, func() { raw.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	p := &player{opts: opts, conn: rtsp.NewConn(raw, rtsp.Limits{})}
	err = p.run(ctx)
	if opts.Witness != nil && opts.Token != "" {
		opts.Witness.Left(opts.Token, opts.Now())
	}
	if !p.firstFrameAt.IsZero() {
		p.result.PlayedSeconds = p.lastFrameAt.Sub(p.firstFrameAt).Seconds()
	}
	return p.result, err
}

func (p *player) url(track int) string {
	resource := rtsp.Resource{Host: p.opts.Address, Group: p.opts.Group, Title: p.opts.Title, Track: track}
	if p.opts.Token != "" {
		resource.Query = "viewer=" + p.opts.Token
	}
	return resource.URL()
}

func (p *player) request(method, url string) *rtsp.Message {
	p.cseq++
	m := rtsp.NewRequest(method, url).WithHeader("CSeq", strconv.Itoa(p.cseq)).WithHeader("User-Agent", "rainhaven-play")
	if p.challenge != nil {
		q := map[string]string{"uri": url, "nonce": p.challenge["nonce"], "qop": "auth", "nc": fmt.Sprintf("%08x", p.cseq), "cnonce": "rainhaven"}
		alg, realm := p.challenge["algorithm"], p.challenge["realm"]
		m.WithHeader("Authorization", fmt.Sprintf(`Digest username="%s", realm="%s", nonce="%s", uri="%s", algorithm=%s, qop=auth, nc=%s, cnonce="%s", response="%s"`,
			p.opts.User.Name, realm, q["nonce"], url, alg, q["nc"], q["cnonce"], auth.Response(alg, auth.HA1(alg, realm, *p.opts.User), method, q)))
	}
	return m
}

// acceptChallenge keeps the challenge that suits.
func (p *player) acceptChallenge(r *rtsp.Message) bool {
	for _, v := range r.Header["Www-Authenticate"] {
		if scheme, q, err := auth.ParseHeader(v); err == nil && scheme == "Digest" && (p.opts.DigestAlgorithm == "" || p.opts.DigestAlgorithm == q["algorithm"]) {
			p.challenge = q
			return true
		}
	}
	return false
}

func (p *player) handleInterleaved(m *rtsp.Message, f rtsp.Frame) {
	if m == nil {
		p.handleFrame(f)
	}
}

func (p *player) run(ctx context.Context) error {
	if p.opts.Describe || p.opts.User != nil {
		describe := func() (*rtsp.Message, error) {
			return p.conn.RoundTrip(p.request(rtsp.Describe, p.url(-1)).WithHeader("Accept", "application/sdp"), 5*time.Second, p.handleInterleaved)
		}
		r, err := describe()
		if err == nil && r.Status == rtsp.Unauthorized && p.opts.User != nil && p.acceptChallenge(r) {
			r, err = describe()
		}
		if err != nil {
			return err
		}
		if r.Status != rtsp.OK {
			p.result.Status = r.Status
			return fmt.Errorf("DESCRIBE: %d %s", r.Status, r.Reason)
		}
	}
	m := p.request(rtsp.Setup, p.url(0)).WithHeader("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1")
	if p.opts.Bandwidth > 0 {
		m.WithHeader("Bandwidth", strconv.Itoa(int(p.opts.Bandwidth)))
	}
	session, err := p.setup(m)
	if err != nil {
		return err
	}
	for n := 1; n < p.opts.Tracks; n++ {
		r, err := p.conn.RoundTrip(p.request(rtsp.Setup, p.url(n)).WithHeader("Session", session).
			WithHeader("Transport", fmt.Sprintf("RTP/AVP/TCP;unicast;interleaved=%d-%d", 2*n, 2*n+1)), 5*time.Second, p.handleInterleaved)
		if err != nil {
			return p.interrupted(err)
		}
		if r.Status != rtsp.OK {
			return fmt.Errorf("SETUP of track %d: %d %s", n, r.Status, r.Reason)
		}
	}
	r, err := p.conn.RoundTrip(p.request(rtsp.Play, p.url(-1)).WithHeader("Session", session).WithHeader("Range", "npt=0-"), 6*time.Second, p.handleInterleaved)
	if err != nil {
		return p.interrupted(err)
	}
	if r.Status != rtsp.OK {
		return fmt.Errorf("PLAY: %d %s", r.Status, r.Reason)
	}
	return p.receive(ctx, session)
}

// setup sends the first SETUP and waits for its answer until the setup timeout.
func (p *player) setup(m *rtsp.Message) (session string, err error) {
	p.setupSentAt = time.Now()
	w := p.opts.Witness
	if w != nil && p.opts.Token != "" {
		w.Asked(p.opts.Token, p.opts.Front, p.opts.Group, p.opts.Now())
	}
	if _, err := p.conn.Write(m.Append(nil)); err != nil {
		return "", p.interrupted(err)
	}
	wait := p.opts.SetupTimeout
	if p.opts.DisconnectAfter > 0 {
		wait = min(wait, p.opts.DisconnectAfter)
	} else {
		wait += 0.1 // to see an answer that is late
	}
	p.conn.SetReadDeadline(p.setupSentAt.Add(time.Duration(wait * 1e9)))
	for {
		r, _, err := p.conn.Next()
		if err != nil {
			var netErr net.Error
			if errors.As(err, &netErr) && netErr.Timeout() {
				return "", fmt.Errorf("no answer within %.1f s", wait)
			}
			return "", p.interrupted(err)
		}
		if r == nil || r.IsRequest() || r.CSeq() != p.cseq {
			continue
		}
		p.result.Status, p.result.AnswerSeconds = r.Status, time.Since(p.setupSentAt).Seconds()
		retry := r.Header.Get("Retry-After")
		p.result.RetryAfter, _ = strconv.ParseFloat(retry, 64)
		if w != nil && p.opts.Token != "" {
			w.Answered(p.opts.Token, p.opts.Now(), r.Status, r.Status == rtsp.ServiceUnavailable && retry != "")
		}
		if r.Status != rtsp.OK {
			return "", fmt.Errorf("%w: %d %s", ErrNotServed, r.Status, r.Reason)
		}
		return r.Session(), nil
	}
}

func (p *player) interrupted(err error) error {
	p.result.Interrupted = true
	if w := p.opts.Witness; w != nil && p.opts.Token != "" {
		w.Broke(p.opts.Token, p.opts.Now())
	}
	return fmt.Errorf("the session broke: %w", err)
}

// keepAliveInterval is the pace of a viewer's signs of life, under half of the usual session timeout.
const keepAliveInterval = 20 * time.Second

// stallTimeout is how long a viewer looks at a still picture.
const stallTimeout = 20 * time.Second

// lastActivity is when the newest frame came, or the SETUP left.
func (p *player) lastActivity() time.Time {
	if p.lastFrameAt.IsZero() {
		return p.setupSentAt
	}
	return p.lastFrameAt
}

// receive takes frames until the end.
func (p *player) receive(ctx context.Context, session string) error {
	lastKeepAlive := time.Now()
	lastProgress := time.Now()
	for !p.gotBye && p.redirect == "" && (p.opts.WatchSeconds == 0 || p.result.MediaSeconds < p.opts.WatchSeconds) && ctx.Err() == nil {
		if p.opts.DisconnectAfter > 0 && time.Since(p.setupSentAt).Seconds() >= p.opts.DisconnectAfter {
			return nil // just gone
		}
		p.conn.SetReadDeadline(time.Now().Add(time.Second))
		if ctx.Err() != nil {
			break
		}
		m, f, err := p.conn.Next()
		var netErr net.Error
		switch {
		case err != nil && errors.As(err, &netErr) && netErr.Timeout():
			if p.conn.Buffered() > 0 {
				return p.interrupted(fmt.Errorf("half a frame and no more within a second"))
			}
			if time.Since(p.lastActivity()) > stallTimeout {
				return p.interrupted(fmt.Errorf("no frame for %v", stallTimeout))
			}
		case err != nil:
			return p.interrupted(err)
		case m == nil:
			p.handleFrame(f)
		case m.IsRequest():
			status := rtsp.NotImplemented
			if u, err := url.Parse(m.Header.Get("Location")); m.Method == rtsp.Redirect && err == nil && u.Host != "" {
				status, p.redirect = rtsp.OK, u.Host
			}
			if _, err := p.conn.Write(rtsp.NewResponse(m, status).Append(nil)); err != nil {
				return p.interrupted(err)
			}
		case !m.IsRequest() && m.Status != rtsp.OK:
			return p.interrupted(fmt.Errorf("the front answers %d %s", m.Status, m.Reason))
		}
		now := time.Now()
		if now.Sub(lastKeepAlive) > keepAliveInterval {
			lastKeepAlive = now
			if _, err := p.conn.Write(p.request(rtsp.GetParameter, p.url(-1)).WithHeader("Session", session).Append(nil)); err != nil {
				return p.interrupted(err)
			}
		}
		if p.opts.OnProgress != nil && now.Sub(lastProgress) > time.Second {
			lastProgress = now
			s := p.result
			s.PlayedSeconds = p.lastFrameAt.Sub(p.firstFrameAt).Seconds()
			p.opts.OnProgress(s)
		}
	}
	p.result.Ended, p.result.RedirectedTo = true, p.redirect
	p.conn.SetDeadline(time.Time{})
	_, err := p.conn.RoundTrip(p.request(rtsp.TearDown, p.url(-1)).WithHeader("Session", session), 3*time.Second, func(*rtsp.Message, rtsp.Frame) {})
	if err != nil && !p.gotBye {
		return fmt.Errorf("leaving: %w", err)
	}
	return nil
}

// handleFrame looks at one handleFrame.
func (p *player) handleFrame(f rtsp.Frame) {
	b, now := f.Payload(), time.Now()
	if f.Channel%2 == 1 {
		if len(b) >= 8 && b[1] == 203 {
			p.gotBye = true
		}
		return
	}
	n := int(f.Channel / 2)
	if n > 1 || len(b) < 12 {
		return
	}
	seq, ts := binary.BigEndian.Uint16(b[2:]), binary.BigEndian.Uint32(b[4:])
	p.result.Bytes += int64(len(b))
	if p.packets[n]++; p.packets[n] > 1 {
		switch d := int16(seq - p.lastSeq[n]); {
		case d <= 0:
			p.result.RepeatedPackets++
		case d > 1:
			p.result.LostPackets += int(d) - 1
		}
	}
	p.lastSeq[n] = seq
	if n != 0 {
		return
	}
	p.result.Frames++
	if len(b) > 20 {
		if r := int(b[20]); p.firstFrameAt.IsZero() {
			p.result.LastRung = r
		} else if r != p.result.LastRung {
			p.result.LastRung = r
			p.result.RungChanges++
		}
	}
	if p.opts.PayloadWriter != nil {
		p.opts.PayloadWriter.Write(b[12:])
	}
	if p.firstFrameAt.IsZero() {
		p.firstFrameAt, p.lastTimestamp = now, ts
		p.result.FirstFrameSeconds = now.Sub(p.setupSentAt).Seconds()
	} else {
		d := int32(ts - p.lastTimestamp)
		if d < 0 || d > 5*90000 {
			p.result.TimestampJumps++
		} else {
			p.result.MediaSeconds += float64(d) / 90000
		}
		p.lastTimestamp = ts
		p.result.MaxFrameGap = math.Max(p.result.MaxFrameGap, now.Sub(p.lastFrameAt).Seconds())
	}
	p.lastFrameAt = now
}
