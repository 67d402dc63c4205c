// Package box is a stand-in for a media box: it speaks RTSP 1.0 with interleaved RTP on a loopback socket, plays made-up
// media at the rates of a ladder over a link and a rack's uplink that are short in the users' way (all sessions get the
// same share), starts cold and falls over when it is pushed, reports its load late, and fails on command.
package box

import (
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"rainhaven/internal/lab/witness"
	"rainhaven/internal/relay"
	"rainhaven/internal/rtsp"
)

// Site is what all boxes of a fleet have in common.
type Site struct {
	Ladder      []float64          // kB a second
	Scale       map[string]float64 // by service group
	Length      func(title string) float64
	Places      int
	WarmUp      float64
	ColdShare   float64
	FallFactor  float64
	FallTime    float64
	ReportEvery float64     // seconds between refreshments of the load report
	NoteEvery   float64     // seconds between load notes; 0 is none
	SetupTime   float64     // seconds that a SETUP takes about
	Vary        float64     // true rates lie so far above or below the ladder, as a share
	FullAt      float64     // SETUPs are answered full while so much of the link is asked; 0 is never
	FPS         int         // frames a second
	Keep        float64     // seconds that a session is kept once its connection is gone
	Mischief    float64     // share of requests that meet a random fault (mischief.go)
	Thin        float64     // bytes sent over those of the rate: media is thinned to what one machine carries
	TLS         *tls.Config // of the front's side; nil is plain
	Now         func() float64
	Witness     *witness.Witness // may be nil
}

// Rack is an uplink that boxes share.
type Rack struct {
	mu    sync.Mutex
	gives float64 // kB a second
	short float64 // factor by which it gives less; 1 is none
	boxes []*Box
}

// NewRack makes a rack whose uplink gives so many kB a second.
func NewRack(gives float64) *Rack { return &Rack{gives: gives, short: 1} }

// Short makes the uplink give so many times less; 1 ends that.
func (r *Rack) Short(times float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.short = max(times, 1)
}

// load is what is asked of the uplink over what it gives.
func (r *Rack) load() float64 {
	r.mu.Lock()
	boxes, gives := r.boxes, r.gives/r.short
	r.mu.Unlock()
	sum := 0.0
	for _, b := range boxes {
		sum += math.Float64frombits(b.asked.Load())
	}
	return sum / gives
}

// stream is one session at a box.
type stream struct {
	id, group, title, query string
	conn                    *conn
	rung                    int
	vary                    float64
	tracks                  map[int]byte // by number: the first channel
	playing                 bool
	media                   float64 // seconds of media sent
	next                    float64 // media second of the next frame
	seq                     uint16
	seqA                    uint16
	base, ssrc              uint32
	ended                   bool    // BYE is sent
	lost                    float64 // when its connection was; 0 is not
	frame                   uint64
}

type conn struct {
	b      *Box
	num    uint64
	net    net.Conn
	rtsp   *rtsp.Conn
	out    *relay.Queue
	in     chan *rtsp.Message
	twist  func(*rtsp.Message) *rtsp.Message // what becomes of the next answer; nil is nothing
	peer   string                            // the front's name, by User-Agent
	closed bool
}

// Start opens a box on an address; an empty one picks a port of 127.0.0.1. A cold box warms up from now.
func Start(site *Site, id int, address string, link float64, rack *Rack, cold bool) (*Box, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	b := &Box{ID: id, site: site, link: link, slow: 1, rack: rack, streams: map[string]*stream{}, conns: map[*conn]struct{}{},
		quit: make(chan struct{}), rand: rand.New(rand.NewPCG(uint64(id), 77))}
	b.unhung = sync.NewCond(&b.mu)
	rack.mu.Lock()
	rack.boxes = append(slices.Clone(rack.boxes), b)
	rack.mu.Unlock()
	if err := b.listen(address, cold); err != nil {
		return nil, err
	}
	b.work.Add(1)
	go b.pump()
	return b, nil
}

// Counts are what a box saw.
type Counts struct {
	Setups, Full, Frames, Bytes int64
	Reports                     int64 // frames that came from fronts
	Sessions                    int
	Fallen                      bool
}

// Count gives the counts so far.
func (b *Box) Count() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts
	c.Sessions, c.Fallen = len(b.streams), b.fallen
	return c
}

// pumpEvery is the pace at which media is sent; shares are measured over a second, so it adds a hundredth of blur.
const pumpEvery = 10 * time.Millisecond

// pump sends media while the box runs.
func (b *Box) pump() {
	defer b.work.Done()
	t := time.NewTicker(pumpEvery)
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-b.quit:
			return
		case <-t.C:
		}
		now := time.Now()
		b.mu.Lock()
		b.step(now.Sub(last).Seconds())
		b.mu.Unlock()
		last = now
	}
}

// step moves media on by dt seconds.
func (b *Box) step(dt float64) {
	asked := b.foreign
	for id, s := range b.streams {
		if s.lost > 0 && b.site.Now()-s.lost > b.site.Keep {
			delete(b.streams, id)
		}
		if s.playing && !s.ended && s.lost == 0 {
			asked += b.rate(s)
		}
	}
	b.asked.Store(math.Float64bits(asked))
	now := b.site.Now()
	if now-b.reported >= b.site.ReportEvery+b.late {
		b.reported = now
		b.said = [2]float64{asked / (b.link / b.slow), b.rack.load()}
	}
	if b.hung || b.down {
		return
	}
	share := 1.0
	if asked > b.link/b.slow {
		share = b.link / b.slow / asked
	}
	if u := b.rack.load(); u > 1 {
		share = min(share, 1/u)
	}
	gap := 1 / float64(b.site.FPS)
	for _, s := range b.streams {
		if !s.playing || s.ended || s.lost > 0 {
			continue
		}
		s.media += dt * share
		for s.next <= s.media && !s.ended {
			b.send(s, gap)
			s.next += gap
			if length := b.site.Length(s.title); length > 0 && s.next >= length {
				s.ended = true
				s.bye()
			}
		}
		s.conn.out.Flush()
	}
	if b.site.NoteEvery > 0 && now-b.noted >= b.site.NoteEvery {
		b.noted = now
		told := map[string]bool{}
		for _, id := range slices.Sorted(keys(b.streams)) { // one session of each front's
			s := b.streams[id]
			if s.playing && !s.ended && s.lost == 0 && !told[s.conn.peer] {
				told[s.conn.peer] = true
				if low, ok := s.tracks[0]; ok {
					s.conn.out.PushFrame(low+1, relay.AppendLoadNote(nil, s.ssrc, b.said[0], b.said[1]), nil)
					s.conn.out.Flush()
				}
			}
		}
	}
}

func keys(m map[string]*stream) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// rate is what a session asks of the links, kB a second.
func (b *Box) rate(s *stream) float64 {
	scale := b.site.Scale[s.group]
	if scale == 0 {
		scale = 1
	}
	return b.site.Ladder[min(s.rung, len(b.site.Ladder)-1)] * scale * s.vary
}

// send sends one frame of each track. Payloads begin with the frame's number and rung, so that a player can check.
func (b *Box) send(s *stream, gap float64) {
	s.frame++
	size := int(b.rate(s) * 1000 * gap * b.site.Thin)
	const most = 1400 // of a packet, as on a real path
	if low, ok := s.tracks[0]; ok {
		ts := s.base + uint32(math.Round(s.next*90000))
		for first := true; first || size > 0; first = false {
			n := min(max(size, 16), most)
			size -= n
			b.packet(s, low, 96, size <= 0, &s.seq, ts, s.ssrc, n)
		}
	}
	if low, ok := s.tracks[1]; ok {
		b.packet(s, low, 97, true, &s.seqA, s.base+uint32(math.Round(s.next*48000)), s.ssrc+1, 64)
	}
}

func (b *Box) packet(s *stream, channel byte, kind byte, marker bool, seq *uint16, ts, ssrc uint32, n int) {
	b.counts.Frames++
	b.counts.Bytes += int64(n)
	var p [12 + 1400]byte
	p[0], p[1] = 0x80, kind
	if marker {
		p[1] |= 0x80
	}
	binary.BigEndian.PutUint16(p[2:], *seq)
	*seq++
	binary.BigEndian.PutUint32(p[4:], ts)
	binary.BigEndian.PutUint32(p[8:], ssrc)
	binary.BigEndian.PutUint64(p[12:], s.frame)
	p[20] = byte(s.rung)
	s.conn.out.PushFrame(channel, p[:12+n], nil)
}

// bye tells the end of a title.
func (s *stream) bye() {
	for n, low := range s.tracks {
		var p [8]byte
		p[0], p[1], p[3] = 0x81, 203, 1
		binary.BigEndian.PutUint32(p[4:], s.ssrc+uint32(n))
		s.conn.out.PushFrame(low+1, p[:], nil)
	}
}

// read takes what comes over one connection, tells the tap at once and hands it to the worker, so that a box that
// stands still is still seen to receive.
func (c *conn) read() {
	defer c.b.work.Done()
	defer close(c.in)
	for {
		m, _, err := c.rtsp.Next()
		if err != nil {
			// The front closed its sending side, or all: SETUPs out on it are withdrawn.
			if w := c.b.site.Witness; w != nil {
				w.SetupsCancelled(c.b.ID, c.num, c.b.site.Now())
			}
			if !errors.Is(err, io.EOF) { // broken, not closed on one side: nothing more can be said there
				c.out.Close()
			}
			return
		}
		if m == nil {
			c.b.set(func() { c.b.counts.Reports++ })
			continue
		}
		if !m.IsRequest() {
			continue
		}
		c.b.received(c, m)
		select {
		case c.in <- m:
		case <-c.b.quit:
			return
		}
	}
}

// serve answers one connection's requests in their order.
func (b *Box) serve(c *conn) {
	defer b.work.Done()
	for m := range c.in {
		if !b.answer(c, m) {
			c.out.Close()
			c.net.Close()
			break
		}
	}
	for range c.in { // the reader must not wait for a worker that is gone
	}
	c.out.Finish()
}

// received is the tap: what came over the socket, before anything is made of it.
func (b *Box) received(c *conn, m *rtsp.Message) {
	peer := strings.TrimPrefix(m.Header.Get("User-Agent"), "rainhaven/")
	b.set(func() { c.peer = peer })
	w := b.site.Witness
	if w == nil {
		return
	}
	switch {
	case m.Method == rtsp.Setup && m.Session() == "":
		p, _ := rtsp.ParseURL(m.URL)
		rung, err := strconv.Atoi(m.Header.Get("Rung"))
		if err != nil {
			rung = len(b.site.Ladder) - 1
		}
		w.SetupReceived(b.ID, c.num, m.CSeq(), b.site.Now(), strings.TrimPrefix(p.Query, "viewer="), peer, p.Group, p.Title, rung)
	case m.Method == rtsp.SetParameter:
		if r, err := strconv.Atoi(rtsp.ParseParameters(m.Body)["rung"]); err == nil {
			w.RungRequested(b.ID, m.Session(), r, b.site.Now())
		}
	case m.Method == rtsp.TearDown:
		w.SessionEnded(b.ID, m.Session(), b.site.Now())
	}
}

func (b *Box) reply(c *conn, m *rtsp.Message, r *rtsp.Message) {
	if c.twist != nil {
		twist := c.twist
		c.twist = nil
		if r = twist(r); r == nil {
			return
		}
	}
	if w := b.site.Witness; w != nil && m.Method == rtsp.Setup {
		w.SetupAnswered(b.ID, c.num, m.CSeq(), b.site.Now(), r.Status, r.Session())
	}
	r.WithHeader("Load-Report", fmt.Sprintf("link=%.3f, uplink=%.3f, inflight=%d", b.said[0], b.said[1], len(b.streams)))
	c.out.PushMessage(r.Append(nil))
}

// answer answers a request; false where the connection is to end.
func (b *Box) answer(c *conn, m *rtsp.Message) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.Method == rtsp.Setup && m.Session() == "" {
		b.counts.Setups++
		if b.pushedOver() {
			return false
		}
	}
	for (b.hung || b.held) && !b.down && !c.closed {
		b.unhung.Wait()
	}
	if b.down || c.closed {
		return false
	}
	if b.breaks > 0 && m.Method == rtsp.Setup {
		b.breaks--
		return false
	}
	if b.site.Mischief > 0 && b.rand.Float64() < b.site.Mischief {
		if on, done := b.mischief(c, m); done {
			return on
		}
	}
	switch m.Method {
	case rtsp.Setup:
		return b.setup(c, m)
	case rtsp.Describe:
		r := rtsp.NewResponse(m, rtsp.OK).WithHeader("Content-Type", "application/sdp").WithHeader("Content-Base", m.URL+"/")
		if r.Body = []byte(description); b.lies {
			r.Body = []byte("v=0\r\nm=none")
		}
		b.reply(c, m, r)
		return true
	case rtsp.Options:
		b.reply(c, m, rtsp.NewResponse(m, rtsp.OK).WithHeader("Public", "OPTIONS, SETUP, PLAY, PAUSE, GET_PARAMETER, SET_PARAMETER, TEARDOWN"))
		return true
	case rtsp.GetParameter:
		if m.Session() == "" {
			b.reply(c, m, rtsp.NewResponse(m, rtsp.OK))
			return true
		}
	}
	s := b.streams[m.Session()]
	if s == nil {
		b.reply(c, m, rtsp.NewResponse(m, rtsp.SessionNotFound))
		return true
	}
	r := rtsp.NewResponse(m, rtsp.OK).WithHeader("Session", s.id)
	switch m.Method {
	case rtsp.Play:
		if v := m.Header.Get("Range"); v != "" {
			rg, err := rtsp.ParseRange(v)
			if err != nil {
				r.Status = rtsp.InvalidRange
				break
			}
			if !rg.Now && rg.Start != s.media {
				s.media, s.next = rg.Start, rg.Start
			}
		}
		s.conn, s.playing, s.lost = c, true, 0
		r.WithHeader("Range", rtsp.Range{Start: s.media, End: math.Inf(1)}.String())
		var info []rtsp.RTPInfo
		for n := range s.tracks {
			seq, ts := s.seq, s.base+uint32(math.Round(s.next*90000))
			if n == 1 {
				seq, ts = s.seqA, s.base+uint32(math.Round(s.next*48000))
			}
			info = append(info, rtsp.RTPInfo{URL: rtsp.Resource{Host: b.Address, Group: s.group, Title: s.title, Track: n, Query: s.query}.URL(), Seq: seq, RTPTime: ts})
		}
		r.WithHeader("RTP-Info", rtsp.FormatRTPInfo(info))
	case rtsp.Pause:
		s.playing = false
	case rtsp.SetParameter:
		n, err := strconv.Atoi(rtsp.ParseParameters(m.Body)["rung"])
		if err != nil || n < 0 || n >= len(b.site.Ladder) || b.deafToRungs {
			r.Status = rtsp.ParameterNotUnderstood
			break
		}
		s.rung = n
	case rtsp.TearDown:
		if b.keeps > 0 {
			b.keeps--
			r.Status = rtsp.InternalError
			break
		}
		delete(b.streams, s.id)
	case rtsp.GetParameter:
	default:
		r.Status = rtsp.NotImplemented
	}
	b.reply(c, m, r)
	return true
}

// description is that of every title: video and sound.
const description = "v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nt=0 0\r\na=control:*\r\nm=video 0 RTP/AVP 96\r\na=rtpmap:96 H264/90000\r\n" +
	"a=control:track0\r\nm=audio 0 RTP/AVP 97\r\na=rtpmap:97 MPEG4-GENERIC/48000/2\r\na=control:track1\r\n"

// setup answers a SETUP after the time that it takes. Called with the box locked; the wait is without.
func (b *Box) setup(c *conn, m *rtsp.Message) bool {
	p, err := rtsp.ParseURL(m.URL)
	specs, bad := rtsp.ParseTransport(m.Header.Get("Transport"))
	tr, ok := rtsp.FindTCP(specs)
	if err != nil || bad != nil || !ok || !tr.Interleaved {
		b.reply(c, m, rtsp.NewResponse(m, rtsp.UnsupportedTransport))
		return true
	}
	if s := b.streams[m.Session()]; s != nil {
		s.tracks[max(p.Track, 0)] = tr.RTPChannel
		b.reply(c, m, rtsp.NewResponse(m, rtsp.OK).WithHeader("Session", s.id).WithHeader("Transport", tr.String()))
		return true
	}
	if b.errors > 0 {
		b.errors--
		b.reply(c, m, rtsp.NewResponse(m, rtsp.InternalError))
		return true
	}
	full := b.refuses || len(b.streams) >= b.site.Places
	if b.site.FullAt > 0 {
		full = full || math.Float64frombits(b.asked.Load()) >= b.site.FullAt*b.link/b.slow
	}
	if full {
		b.counts.Full++
		b.reply(c, m, rtsp.NewResponse(m, rtsp.NotEnoughBandwidth))
		return true
	}
	rung, err := strconv.Atoi(m.Header.Get("Rung"))
	if err != nil || rung < 0 || rung >= len(b.site.Ladder) {
		rung = len(b.site.Ladder) - 1
	}
	b.serial++
	s := &stream{id: fmt.Sprintf("b%d-%d", b.ID, b.serial), group: p.Group, title: p.Title, query: p.Query, conn: c, rung: rung,
		vary: 1 + (2*b.rand.Float64()-1)*b.site.Vary, tracks: map[int]byte{max(p.Track, 0): tr.RTPChannel},
		seq: uint16(b.rand.Uint32()), seqA: uint16(b.rand.Uint32()), base: b.rand.Uint32(), ssrc: b.rand.Uint32()}
	b.streams[s.id] = s // its place is taken from now
	if wait := b.site.SetupTime * b.aged * (0.5 + b.rand.Float64()); wait > 0 {
		b.mu.Unlock()
		t := time.NewTimer(time.Duration(wait * 1e9))
		select {
		case <-t.C:
		case <-b.quit:
			t.Stop()
		}
		b.mu.Lock()
		for b.hung && !b.down && !c.closed {
			b.unhung.Wait()
		}
		if b.down || c.closed {
			return false
		}
	}
	b.reply(c, m, rtsp.NewResponse(m, rtsp.OK).WithHeader("Session", fmt.Sprintf("%s;timeout=60", s.id)).WithHeader("Transport", tr.String()))
	return true
}

// pushedOver counts a SETUP against what a cold box can take, and falls over past it.
func (b *Box) pushedOver() bool {
	now, s := b.site.Now(), b.site
	if b.born == 0 || s.WarmUp <= 0 || now-b.born > s.WarmUp {
		return false
	}
	b.cold = slices.DeleteFunc(b.cold, func(at float64) bool { return now-at >= s.FallTime })
	b.cold = append(b.cold, now)
	if float64(len(b.cold)) <= witness.ColdSetupLimit(float64(s.Places), s.WarmUp, s.ColdShare, s.FallFactor, s.FallTime, now-b.born) {
		return false
	}
	b.fallen = true
	b.breakAll(false)
	return true
}

func (b *Box) connOver(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.closed = true
	b.unhung.Broadcast()
	delete(b.conns, c)
	for id, s := range b.streams {
		if s.conn != c || s.lost > 0 {
			continue
		}
		// It may go on over another connection for a while; to the front whose connection this was it is over.
		if s.lost = b.site.Now(); b.site.Witness != nil {
			b.site.Witness.SessionEnded(b.ID, id, s.lost)
		}
		if b.site.Keep <= 0 {
			delete(b.streams, id)
		}
	}
}

// drop ends a session at the box. Called locked.
func (b *Box) drop(id string) {
	delete(b.streams, id)
	if w := b.site.Witness; w != nil {
		w.SessionEnded(b.ID, id, b.site.Now())
	}
}
