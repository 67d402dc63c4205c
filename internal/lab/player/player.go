// Package player simulates a viewer: it sets up a session at a front over RTSP, plays it and checks every frame. It gives
// up at its setup timeout and may disconnect early.
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

// Options describes the session that a viewer requests and how it behaves.
type Options struct {
	Address         string // host and port of the front
	Front           string // the front's name, for the witness
	Group, Title    string
	Token           string           // identifies the viewer in the URL's query and to the witness; optional
	SetupTimeout    float64          // seconds; 0 means 10
	WatchSeconds    float64          // seconds of media after which it sends TEARDOWN; 0 plays to the end
	DisconnectAfter float64          // seconds after SETUP at which it disconnects without TEARDOWN; 0 disables this
	Bandwidth       float64          // bit/s, sent in the Bandwidth header; 0 omits it
	Tracks          int              // 1 or 2; 0 means 1
	Describe        bool             // send DESCRIBE before SETUP
	TLS             *tls.Config      // nil means plain TCP
	User            *auth.User       // credentials for a front that requires authentication; implies Describe
	DigestAlgorithm string           // required digest algorithm; if empty, the first one offered
	PayloadWriter   io.Writer        // receives the payloads of the first track; may be nil
	OnProgress      func(Result)     // called about once a second while playing; may be nil
	Now             func() float64   // current time, seconds, for the witness
	Witness         *witness.Witness // optional recorder of the session
}

// Result holds what a viewer observed. The JSON names are part of the output of `rainhaven play --json`.
type Result struct {
	Status            int     `json:"Status"`     // of the reply to SETUP, or of a failed DESCRIBE; 0 if there was none
	RetryAfter        float64 `json:"RetryAfter"` // seconds
	AnswerSeconds     float64 `json:"AnswerIn"`   // from SETUP to its reply
	FirstFrameSeconds float64 `json:"FirstFrame"` // from SETUP to the first frame; 0 if there was none
	Frames            int     `json:"Frames"`     // RTP packets of the first track
	Bytes             int64   `json:"Bytes"`      // RTP bytes of all tracks
	LostPackets       int     `json:"Lost"`       // missing sequence numbers
	RepeatedPackets   int     `json:"Doubled"`    // duplicate or out-of-order packets
	TimestampJumps    int     `json:"Jumps"`      // timestamps that go back or advance by more than 5 s
	MaxFrameGap       float64 `json:"WorstGap"`   // longest time between two frames, seconds
	MediaSeconds      float64 `json:"Media"`      // of media received, by RTP timestamps
	PlayedSeconds     float64 `json:"Played"`     // from the first to the last frame
	RungChanges       int     `json:"Rungs"`
	LastRung          int     `json:"Rung"`
	Ended             bool    `json:"Ended"`  // ended by BYE, by redirection or by the viewer
	Interrupted       bool    `json:"Broke"`  // ended by an error or a stall
	RedirectedTo      string  `json:"SentTo"` // host and port from the front's REDIRECT
}

// DeliveredShare returns the ratio of media time received to playing time, at most 1.
func (s Result) DeliveredShare() float64 {
	if s.PlayedSeconds <= 0 {
		return 0
	}
	return min(s.MediaSeconds/s.PlayedSeconds, 1)
}

// ErrNotServed reports a reply to SETUP other than 200.
var ErrNotServed = errors.New("not served")

// player is the state of one session.
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
	redirect      string            // host and port from a REDIRECT's Location
	packets       [2]int            // received, by track
	challenge     map[string]string // the front's digest challenge; nil until received
}

// Watch plays a session as described by opts. The error says why it did not reach its end; the result is valid in either
// case.
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
	dialer := net.Dialer{Timeout: 2 * time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", opts.Address)
	if err != nil {
		return Result{}, fmt.Errorf("connecting to the front: %w", err)
	}
	defer conn.Close()
	if opts.TLS != nil {
		conn = tls.Client(conn, opts.TLS)
	}
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	p := &player{opts: opts, conn: rtsp.NewConn(conn, rtsp.Limits{})}
	err = p.run(ctx)
	if opts.Witness != nil && opts.Token != "" {
		opts.Witness.ViewerLeft(opts.Token, opts.Now())
	}
	if !p.firstFrameAt.IsZero() {
		p.result.PlayedSeconds = p.lastFrameAt.Sub(p.firstFrameAt).Seconds()
	}
	return p.result, err
}

// url returns the URL of a track, or of the title if track is -1.
func (p *player) url(track int) string {
	resource := rtsp.Resource{Host: p.opts.Address, Group: p.opts.Group, Title: p.opts.Title, Track: track}
	if p.opts.Token != "" {
		resource.Query = "viewer=" + p.opts.Token
	}
	return resource.URL()
}

// request returns the next request, with credentials if the front has sent a challenge.
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

// acceptChallenge stores the first digest challenge with a suitable algorithm and reports whether there is one.
func (p *player) acceptChallenge(r *rtsp.Message) bool {
	for _, v := range r.Header["Www-Authenticate"] {
		if scheme, q, err := auth.ParseHeader(v); err == nil && scheme == "Digest" && (p.opts.DigestAlgorithm == "" || p.opts.DigestAlgorithm == q["algorithm"]) {
			p.challenge = q
			return true
		}
	}
	return false
}

// handleInterleaved handles frames that arrive while a reply is awaited.
func (p *player) handleInterleaved(m *rtsp.Message, f rtsp.Frame) {
	if m == nil {
		p.handleFrame(f)
	}
}

// run sets the session up and plays it.
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

// setup sends the first SETUP and waits for its reply until the setup timeout.
func (p *player) setup(m *rtsp.Message) (session string, err error) {
	p.setupSentAt = time.Now()
	w := p.opts.Witness
	if w != nil && p.opts.Token != "" {
		w.Requested(p.opts.Token, p.opts.Front, p.opts.Group, p.opts.Now())
	}
	if _, err := p.conn.Write(m.Append(nil)); err != nil {
		return "", p.interrupted(err)
	}
	wait := p.opts.SetupTimeout
	if p.opts.DisconnectAfter > 0 {
		wait = min(wait, p.opts.DisconnectAfter)
	} else {
		wait += 0.1 // so that late replies are recorded
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

// interrupted records that the session ended by an error, and wraps the error.
func (p *player) interrupted(err error) error {
	p.result.Interrupted = true
	if w := p.opts.Witness; w != nil && p.opts.Token != "" {
		w.ConnectionLost(p.opts.Token, p.opts.Now())
	}
	return fmt.Errorf("session interrupted: %w", err)
}

// keepAliveInterval is less than half of the usual session timeout of 60 s.
const keepAliveInterval = 20 * time.Second

// stallTimeout is how long a viewer waits for the next frame.
const stallTimeout = 20 * time.Second

// lastActivity returns the time of the latest frame, or of the SETUP if there was none.
func (p *player) lastActivity() time.Time {
	if p.lastFrameAt.IsZero() {
		return p.setupSentAt
	}
	return p.lastFrameAt
}

// receive handles frames and messages and sends keep-alives until the session ends, then sends TEARDOWN.
func (p *player) receive(ctx context.Context, session string) error {
	lastKeepAlive := time.Now()
	lastProgress := time.Now()
	for !p.gotBye && p.redirect == "" && (p.opts.WatchSeconds == 0 || p.result.MediaSeconds < p.opts.WatchSeconds) && ctx.Err() == nil {
		if p.opts.DisconnectAfter > 0 && time.Since(p.setupSentAt).Seconds() >= p.opts.DisconnectAfter {
			return nil // without TEARDOWN
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
				return p.interrupted(fmt.Errorf("incomplete frame, no more data within a second"))
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
			return p.interrupted(fmt.Errorf("the front replied %d %s", m.Status, m.Reason))
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
		return fmt.Errorf("TEARDOWN: %w", err)
	}
	return nil
}

// handleFrame checks one interleaved frame and updates the result.
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
