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

// Config is what all boxes of a fleet have in common.
type Config struct {
	Ladder           []float64          // kB a second
	Scale            map[string]float64 // by service group
	TitleLength      func(title string) float64
	MaxSessions      int
	WarmUp           float64
	ColdShare        float64
	OverloadFactor   float64
	OverloadTime     float64
	ReportInterval   float64     // seconds between refreshments of the load report
	NoteInterval     float64     // seconds between load notes; 0 is none
	SetupTime        float64     // seconds that a SETUP takes about
	RateVariation    float64     // true rates lie so far above or below the ladder, as a share
	FullThreshold    float64     // SETUPs are answered full while so much of the link is asked; 0 is never
	FPS              int         // frames a second
	DisconnectGrace  float64     // seconds that a session is kept once its connection is gone
	RandomFaultShare float64     // share of requests that meet a random fault (mischief.go)
	PayloadScale     float64     // bytes sent over those of the rate: media is thinned to what one machine carries
	TLS              *tls.Config // of the front's side; nil is plain
	Now              func() float64
	Witness          *witness.Witness // may be nil
}

// Rack is an uplink that boxes share.
type Rack struct {
	mu        sync.Mutex
	capacity  float64 // kB a second
	reduction float64 // factor by which it gives less; 1 is none
	boxes     []*Box
}

// NewRack makes a rack whose uplink gives so many kB a second.
func NewRack(gives float64) *Rack { return &Rack{capacity: gives, reduction: 1} }

// ReduceCapacity makes the uplink give so many times less; 1 ends that.
func (r *Rack) ReduceCapacity(times float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reduction = max(times, 1)
}

// load is what is asked of the uplink over what it gives.
func (r *Rack) load() float64 {
	r.mu.Lock()
	boxes, gives := r.boxes, r.capacity/r.reduction
	r.mu.Unlock()
	sum := 0.0
	for _, b := range boxes {
		sum += math.Float64frombits(b.demand.Load())
	}
	return sum / gives
}

// stream is one session at a box.
type stream struct {
	id, group, title, query string
	conn                    *conn
	rung                    int
	rateFactor              float64
	tracks                  map[int]byte // by number: the first channel
	playing                 bool
	position                float64 // seconds of media sent
	nextFrame               float64 // media second of the next frame
	videoSeq                uint16
	audioSeq                uint16
	timestampBase, ssrc     uint32
	ended                   bool    // BYE is sent
	disconnectedAt          float64 // when its connection was; 0 is not
	frameNumber             uint64
}

type conn struct {
	box        *Box
	id         uint64
	socket     net.Conn
	rtsp       *rtsp.Conn
	sendQueue  *relay.Queue
	requests   chan *rtsp.Message
	alterReply func(*rtsp.Message) *rtsp.Message // what becomes of the next answer; nil is nothing
	frontName  string                            // the front's name, by User-Agent
	closed     bool
}

// Start opens a box on an address; an empty one picks a port of 127.0.0.1. A cold box warms up from now.
func Start(site *Config, id int, address string, link float64, rack *Rack, cold bool) (*Box, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	b := &Box{ID: id, site: site, link: link, linkReduction: 1, rack: rack, streams: map[string]*stream{}, conns: map[*conn]struct{}{},
		quit: make(chan struct{}), rand: rand.New(rand.NewPCG(uint64(id), 77))}
	b.stateChanged = sync.NewCond(&b.mu)
	rack.mu.Lock()
	rack.boxes = append(slices.Clone(rack.boxes), b)
	rack.mu.Unlock()
	if err := b.listen(address, cold); err != nil {
		return nil, err
	}
	b.goroutines.Add(1)
	go b.sendLoop()
	return b, nil
}

// Counts are what a box saw.
type Counts struct {
	Setups, FullReplies, Packets, Bytes int64
	ReceivedFrames                      int64 // frames that came from fronts
	Sessions                            int
	Overloaded                          bool
}

// Counts gives the counts so far.
func (b *Box) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts
	c.Sessions, c.Overloaded = len(b.streams), b.overloaded
	return c
}

// sendInterval is the pace at which media is sent; shares are measured over a second, so it adds a hundredth of blur.
const sendInterval = 10 * time.Millisecond

// sendLoop sends media while the box runs.
func (b *Box) sendLoop() {
	defer b.goroutines.Done()
	t := time.NewTicker(sendInterval)
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
		b.advance(now.Sub(last).Seconds())
		b.mu.Unlock()
		last = now
	}
}

// advance moves media on by dt seconds.
func (b *Box) advance(dt float64) {
	asked := b.foreignTraffic
	for id, s := range b.streams {
		if s.disconnectedAt > 0 && b.site.Now()-s.disconnectedAt > b.site.DisconnectGrace {
			delete(b.streams, id)
		}
		if s.playing && !s.ended && s.disconnectedAt == 0 {
			asked += b.rate(s)
		}
	}
	b.demand.Store(math.Float64bits(asked))
	now := b.site.Now()
	if now-b.reportedAt >= b.site.ReportInterval+b.reportDelay {
		b.reportedAt = now
		b.reportedLoad = [2]float64{asked / (b.link / b.linkReduction), b.rack.load()}
	}
	if b.hanging || b.down {
		return
	}
	share := 1.0
	if asked > b.link/b.linkReduction {
		share = b.link / b.linkReduction / asked
	}
	if uplink := b.rack.load(); uplink > 1 {
		share = min(share, 1/uplink)
	}
	interval := 1 / float64(b.site.FPS)
	for _, s := range b.streams {
		if !s.playing || s.ended || s.disconnectedAt > 0 {
			continue
		}
		s.position += dt * share
		for s.nextFrame <= s.position && !s.ended {
			b.sendFrame(s, interval)
			s.nextFrame += interval
			if length := b.site.TitleLength(s.title); length > 0 && s.nextFrame >= length {
				s.ended = true
				s.sendBye()
			}
		}
		s.conn.sendQueue.Flush()
	}
	if b.site.NoteInterval > 0 && now-b.notedAt >= b.site.NoteInterval {
		b.notedAt = now
		notified := map[string]bool{}
		for _, id := range slices.Sorted(keys(b.streams)) { // one session of each front's
			s := b.streams[id]
			if s.playing && !s.ended && s.disconnectedAt == 0 && !notified[s.conn.frontName] {
				notified[s.conn.frontName] = true
				if low, ok := s.tracks[0]; ok {
					s.conn.sendQueue.PushFrame(low+1, relay.AppendLoadNote(nil, s.ssrc, b.reportedLoad[0], b.reportedLoad[1]), nil)
					s.conn.sendQueue.Flush()
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
	return b.site.Ladder[min(s.rung, len(b.site.Ladder)-1)] * scale * s.rateFactor
}

// sendFrame sends one frame of each track. Payloads begin with the frame's number and rung, so that a player can check.
func (b *Box) sendFrame(s *stream, interval float64) {
	s.frameNumber++
	size := int(b.rate(s) * 1000 * interval * b.site.PayloadScale)
	const maxPayload = 1400 // of a packet, as on a real path
	if low, ok := s.tracks[0]; ok {
		ts := s.timestampBase + uint32(math.Round(s.nextFrame*90000))
		for first := true; first || size > 0; first = false {
			n := min(max(size, 16), maxPayload)
			size -= n
			b.sendPacket(s, low, 96, size <= 0, &s.videoSeq, ts, s.ssrc, n)
		}
	}
	if low, ok := s.tracks[1]; ok {
		b.sendPacket(s, low, 97, true, &s.audioSeq, s.timestampBase+uint32(math.Round(s.nextFrame*48000)), s.ssrc+1, 64)
	}
}

func (b *Box) sendPacket(s *stream, channel byte, payloadType byte, marker bool, seq *uint16, ts, ssrc uint32, n int) {
	b.counts.Packets++
	b.counts.Bytes += int64(n)
	var p [12 + 1400]byte
	p[0], p[1] = 0x80, payloadType
	if marker {
		p[1] |= 0x80
	}
	binary.BigEndian.PutUint16(p[2:], *seq)
	*seq++
	binary.BigEndian.PutUint32(p[4:], ts)
	binary.BigEndian.PutUint32(p[8:], ssrc)
	binary.BigEndian.PutUint64(p[12:], s.frameNumber)
	p[20] = byte(s.rung)
	s.conn.sendQueue.PushFrame(channel, p[:12+n], nil)
}

// sendBye tells the end of a title.
func (s *stream) sendBye() {
	for n, low := range s.tracks {
		var p [8]byte
		p[0], p[1], p[3] = 0x81, 203, 1
		binary.BigEndian.PutUint32(p[4:], s.ssrc+uint32(n))
		s.conn.sendQueue.PushFrame(low+1, p[:], nil)
	}
}

// read takes what comes over one connection, tells the tap at once and hands it to the worker, so that a box that
// stands still is still seen to receive.
func (c *conn) read() {
	defer c.box.goroutines.Done()
	defer close(c.requests)
	for {
		m, _, err := c.rtsp.Next()
		if err != nil {
			// The front closed its sending side, or all: SETUPs out on it are withdrawn.
			if w := c.box.site.Witness; w != nil {
				w.Withdrawn(c.box.ID, c.id, c.box.site.Now())
			}
			if !errors.Is(err, io.EOF) { // broken, not closed on one side: nothing more can be said there
				c.sendQueue.Close()
			}
			return
		}
		if m == nil {
			c.box.update(func() { c.box.counts.ReceivedFrames++ })
			continue
		}
		if !m.IsRequest() {
			continue
		}
		c.box.received(c, m)
		select {
		case c.requests <- m:
		case <-c.box.quit:
			return
		}
	}
}

// serve answers one connection's requests in their order.
func (b *Box) serve(c *conn) {
	defer b.goroutines.Done()
	for m := range c.requests {
		if !b.answer(c, m) {
			c.sendQueue.Close()
			c.socket.Close()
			break
		}
	}
	for range c.requests { // the reader must not wait for a worker that is gone
	}
	c.sendQueue.Finish()
}

// received is the tap: what came over the socket, before anything is made of it.
func (b *Box) received(c *conn, m *rtsp.Message) {
	peer := strings.TrimPrefix(m.Header.Get("User-Agent"), "rainhaven/")
	b.update(func() { c.frontName = peer })
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
		w.Setup(b.ID, c.id, m.CSeq(), b.site.Now(), strings.TrimPrefix(p.Query, "viewer="), peer, p.Group, p.Title, rung)
	case m.Method == rtsp.SetParameter:
		if r, err := strconv.Atoi(rtsp.ParseParameters(m.Body)["rung"]); err == nil {
			w.Rung(b.ID, m.Session(), r, b.site.Now())
		}
	case m.Method == rtsp.TearDown:
		w.Over(b.ID, m.Session(), b.site.Now())
	}
}

func (b *Box) reply(c *conn, m *rtsp.Message, r *rtsp.Message) {
	if c.alterReply != nil {
		twist := c.alterReply
		c.alterReply = nil
		if r = twist(r); r == nil {
			return
		}
	}
	if w := b.site.Witness; w != nil && m.Method == rtsp.Setup {
		w.SetupAnswered(b.ID, c.id, m.CSeq(), b.site.Now(), r.Status, r.Session())
	}
	r.WithHeader("Load-Report", fmt.Sprintf("link=%.3f, uplink=%.3f, inflight=%d", b.reportedLoad[0], b.reportedLoad[1], len(b.streams)))
	c.sendQueue.PushMessage(r.Append(nil))
}

// answer answers a request; false where the connection is to end.
func (b *Box) answer(c *conn, m *rtsp.Message) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.Method == rtsp.Setup && m.Session() == "" {
		b.counts.Setups++
		if b.overloadedBySetup() {
			return false
		}
	}
	for (b.hanging || b.holdingAnswers) && !b.down && !c.closed {
		b.stateChanged.Wait()
	}
	if b.down || c.closed {
		return false
	}
	if b.setupDisconnects > 0 && m.Method == rtsp.Setup {
		b.setupDisconnects--
		return false
	}
	if b.site.RandomFaultShare > 0 && b.rand.Float64() < b.site.RandomFaultShare {
		if keepConn, handled := b.injectRandomFault(c, m); handled {
			return keepConn
		}
	}
	switch m.Method {
	case rtsp.Setup:
		return b.setup(c, m)
	case rtsp.Describe:
		r := rtsp.NewResponse(m, rtsp.OK).WithHeader("Content-Type", "application/sdp").WithHeader("Content-Base", m.URL+"/")
		if r.Body = []byte(description); b.invalidSDP {
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
			if !rg.Now && rg.Start != s.position {
				s.position, s.nextFrame = rg.Start, rg.Start
			}
		}
		s.conn, s.playing, s.disconnectedAt = c, true, 0
		r.WithHeader("Range", rtsp.Range{Start: s.position, End: math.Inf(1)}.String())
		var info []rtsp.RTPInfo
		for n := range s.tracks {
			seq, ts := s.videoSeq, s.timestampBase+uint32(math.Round(s.nextFrame*90000))
			if n == 1 {
				seq, ts = s.audioSeq, s.timestampBase+uint32(math.Round(s.nextFrame*48000))
			}
			info = append(info, rtsp.RTPInfo{URL: rtsp.Resource{Host: b.Address, Group: s.group, Title: s.title, Track: n, Query: s.query}.URL(), Seq: seq, RTPTime: ts})
		}
		r.WithHeader("RTP-Info", rtsp.FormatRTPInfo(info))
	case rtsp.Pause:
		s.playing = false
	case rtsp.SetParameter:
		n, err := strconv.Atoi(rtsp.ParseParameters(m.Body)["rung"])
		if err != nil || n < 0 || n >= len(b.site.Ladder) || b.rejectingRungs {
			r.Status = rtsp.ParameterNotUnderstood
			break
		}
		s.rung = n
	case rtsp.TearDown:
		if b.teardownErrors > 0 {
			b.teardownErrors--
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
	specs, transportErr := rtsp.ParseTransport(m.Header.Get("Transport"))
	transport, ok := rtsp.FindTCP(specs)
	if err != nil || transportErr != nil || !ok || !transport.Interleaved {
		b.reply(c, m, rtsp.NewResponse(m, rtsp.UnsupportedTransport))
		return true
	}
	if s := b.streams[m.Session()]; s != nil {
		s.tracks[max(p.Track, 0)] = transport.RTPChannel
		b.reply(c, m, rtsp.NewResponse(m, rtsp.OK).WithHeader("Session", s.id).WithHeader("Transport", transport.String()))
		return true
	}
	if b.setupErrors > 0 {
		b.setupErrors--
		b.reply(c, m, rtsp.NewResponse(m, rtsp.InternalError))
		return true
	}
	full := b.refusing || len(b.streams) >= b.site.MaxSessions
	if b.site.FullThreshold > 0 {
		full = full || math.Float64frombits(b.demand.Load()) >= b.site.FullThreshold*b.link/b.linkReduction
	}
	if full {
		b.counts.FullReplies++
		b.reply(c, m, rtsp.NewResponse(m, rtsp.NotEnoughBandwidth))
		return true
	}
	rung, err := strconv.Atoi(m.Header.Get("Rung"))
	if err != nil || rung < 0 || rung >= len(b.site.Ladder) {
		rung = len(b.site.Ladder) - 1
	}
	b.lastID++
	s := &stream{id: fmt.Sprintf("b%d-%d", b.ID, b.lastID), group: p.Group, title: p.Title, query: p.Query, conn: c, rung: rung,
		rateFactor: 1 + (2*b.rand.Float64()-1)*b.site.RateVariation, tracks: map[int]byte{max(p.Track, 0): transport.RTPChannel},
		videoSeq: uint16(b.rand.Uint32()), audioSeq: uint16(b.rand.Uint32()), timestampBase: b.rand.Uint32(), ssrc: b.rand.Uint32()}
	b.streams[s.id] = s // its place is taken from now
	if wait := b.site.SetupTime * b.setupSlowdown * (0.5 + b.rand.Float64()); wait > 0 {
		b.mu.Unlock()
		t := time.NewTimer(time.Duration(wait * 1e9))
		select {
		case <-t.C:
		case <-b.quit:
			t.Stop()
		}
		b.mu.Lock()
		for b.hanging && !b.down && !c.closed {
			b.stateChanged.Wait()
		}
		if b.down || c.closed {
			return false
		}
	}
	b.reply(c, m, rtsp.NewResponse(m, rtsp.OK).WithHeader("Session", fmt.Sprintf("%s;timeout=60", s.id)).WithHeader("Transport", transport.String()))
	return true
}

// overloadedBySetup counts a SETUP against what a cold box can take, and falls over past it.
func (b *Box) overloadedBySetup() bool {
	now, s := b.site.Now(), b.site
	if b.startedAt == 0 || s.WarmUp <= 0 || now-b.startedAt > s.WarmUp {
		return false
	}
	b.coldSetups = slices.DeleteFunc(b.coldSetups, func(at float64) bool { return now-at >= s.OverloadTime })
	b.coldSetups = append(b.coldSetups, now)
	if float64(len(b.coldSetups)) <= witness.Limit(float64(s.MaxSessions), s.WarmUp, s.ColdShare, s.OverloadFactor, s.OverloadTime, now-b.startedAt) {
		return false
	}
	b.overloaded = true
	b.shutDown(false)
	return true
}

func (b *Box) connClosed(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.closed = true
	b.stateChanged.Broadcast()
	delete(b.conns, c)
	for id, s := range b.streams {
		if s.conn != c || s.disconnectedAt > 0 {
			continue
		}
		// It may go on over another connection for a while; to the front whose connection this was it is over.
		if s.disconnectedAt = b.site.Now(); b.site.Witness != nil {
			b.site.Witness.Over(b.ID, id, s.disconnectedAt)
		}
		if b.site.DisconnectGrace <= 0 {
			delete(b.streams, id)
		}
	}
}

// endSession ends a session at the box. Called locked.
func (b *Box) endSession(id string) {
	delete(b.streams, id)
	if w := b.site.Witness; w != nil {
		w.Over(b.ID, id, b.site.Now())
	}
}
