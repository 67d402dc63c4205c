// Package box simulates a streaming server for tests. It serves RTSP 1.0 with interleaved RTP on a loopback socket and
// sends synthetic media at the rates of a ladder. When its link or its rack's uplink is overcommitted, every session gets
// the same share of its rate. A box may start cold and fails when it gets too many SETUPs while it warms up, it reports
// its load with a delay, and it injects faults on request.
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

// Config holds the settings that all boxes of a fleet share.
type Config struct {
	Ladder           []float64                  // rate of each rung, kB/s
	Scale            map[string]float64         // factor on the ladder by service group; absent or 0 means 1
	TitleLength      func(title string) float64 // seconds; 0 means endless
	MaxSessions      int
	WarmUp           float64 // seconds after a cold start
	ColdShare        float64 // the SETUP limit of a cold box: see witness.ColdSetupLimit, as for the two below
	OverloadFactor   float64
	OverloadTime     float64          // seconds over which SETUPs of a cold box are counted
	ReportInterval   float64          // seconds between updates of the load report
	NoteInterval     float64          // seconds between load notes; 0 disables them
	SetupTime        float64          // seconds until a SETUP is answered, scaled by a random factor of 0.5 to 1.5
	RateVariation    float64          // largest relative deviation of a session's true rate from the ladder
	FullThreshold    float64          // share of the link in demand from which SETUPs are refused as full; 0 disables this
	FPS              int              // frames per second
	DisconnectGrace  float64          // seconds for which a session outlives its connection
	RandomFaultShare float64          // share of requests that get a random fault (random_faults.go)
	PayloadScale     float64          // bytes sent per byte of the nominal rate; below 1 so that one machine can carry a whole fleet
	TLS              *tls.Config      // for connections from fronts; nil means plain TCP
	Now              func() float64   // current time, seconds
	Witness          *witness.Witness // optional recorder of the traffic
}

// Rack is an uplink shared by several boxes.
type Rack struct {
	mu        sync.Mutex
	capacity  float64 // kB/s
	reduction float64 // the capacity is divided by it; 1 means no reduction
	boxes     []*Box
}

// NewRack returns a rack whose uplink has the given capacity in kB/s.
func NewRack(capacity float64) *Rack { return &Rack{capacity: capacity, reduction: 1} }

// ReduceCapacity divides the uplink's capacity by factor; 1 restores it.
func (r *Rack) ReduceCapacity(factor float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reduction = max(factor, 1)
}

// load returns the demand on the uplink divided by its capacity.
func (r *Rack) load() float64 {
	r.mu.Lock()
	boxes, capacity := r.boxes, r.capacity/r.reduction
	r.mu.Unlock()
	sum := 0.0
	for _, b := range boxes {
		sum += math.Float64frombits(b.demand.Load())
	}
	return sum / capacity
}

// stream is one RTSP session at a box.
type stream struct {
	id, group, title, query string
	conn                    *conn
	rung                    int
	rateFactor              float64
	tracks                  map[int]byte // RTP channel by track number; RTCP uses the next channel
	playing                 bool
	position                float64 // media position that sending has reached, seconds
	nextFrame               float64 // media time of the next frame, seconds
	videoSeq                uint16
	audioSeq                uint16
	timestampBase, ssrc     uint32
	ended                   bool    // RTCP BYE was sent
	disconnectedAt          float64 // when its connection closed; 0 while it is open
	frameNumber             uint64
}

// conn is one connection from a front.
type conn struct {
	box        *Box
	id         uint64
	socket     net.Conn
	rtsp       *rtsp.Conn
	sendQueue  *relay.Queue
	requests   chan *rtsp.Message
	alterReply func(*rtsp.Message) *rtsp.Message // alters or suppresses (nil result) the next reply; nil if unset
	frontName  string                            // from the User-Agent header
	closed     bool
}

// Start starts a box that listens on address, or on a free port of 127.0.0.1 if address is empty. A cold box begins to warm
// up now.
func Start(config *Config, id int, address string, link float64, rack *Rack, cold bool) (*Box, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	b := &Box{ID: id, config: config, link: link, linkReduction: 1, rack: rack, streams: map[string]*stream{}, conns: map[*conn]struct{}{},
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

// Counts holds counters of a box's traffic.
type Counts struct {
	Setups, FullReplies, Packets, Bytes int64
	Plays                               int64 // PLAYs received, answered or not
	ReceivedFrames                      int64 // interleaved frames from fronts
	Sessions                            int
	Overloaded                          bool
}

// Counts returns the current counters.
func (b *Box) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts
	c.Sessions, c.Overloaded = len(b.streams), b.overloaded
	return c
}

// sendInterval is the interval at which media is sent. Delivered shares are measured over a second, so it adds an error of
// about 1 %.
const sendInterval = 10 * time.Millisecond

// sendLoop sends media until the box is closed.
func (b *Box) sendLoop() {
	defer b.goroutines.Done()
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-b.quit:
			return
		case <-ticker.C:
		}
		now := time.Now()
		b.mu.Lock()
		b.advance(now.Sub(last).Seconds())
		b.mu.Unlock()
		last = now
	}
}

// advance expires disconnected sessions, updates the load report, and sends dt seconds of media and due load notes. Called
// with the box locked.
func (b *Box) advance(dt float64) {
	demand := b.foreignTraffic
	for id, s := range b.streams {
		if s.disconnectedAt > 0 && b.config.Now()-s.disconnectedAt > b.config.DisconnectGrace {
			delete(b.streams, id)
		}
		if s.playing && !s.ended && s.disconnectedAt == 0 {
			demand += b.rate(s)
		}
	}
	b.demand.Store(math.Float64bits(demand))
	now := b.config.Now()
	if now-b.reportedAt >= b.config.ReportInterval+b.reportDelay {
		b.reportedAt = now
		b.reportedLoad = [2]float64{demand / (b.link / b.linkReduction), b.rack.load()}
	}
	if b.hanging || b.down {
		return
	}
	share := 1.0
	if demand > b.link/b.linkReduction {
		share = b.link / b.linkReduction / demand
	}
	if uplink := b.rack.load(); uplink > 1 {
		share = min(share, 1/uplink)
	}
	interval := 1 / float64(b.config.FPS)
	for _, s := range b.streams {
		if !s.playing || s.ended || s.disconnectedAt > 0 {
			continue
		}
		s.position += dt * share
		for s.nextFrame <= s.position && !s.ended {
			b.sendFrame(s, interval)
			s.nextFrame += interval
			if length := b.config.TitleLength(s.title); length > 0 && s.nextFrame >= length {
				s.ended = true
				s.sendBye()
			}
		}
		s.conn.sendQueue.Flush()
	}
	if b.config.NoteInterval > 0 && now-b.notedAt >= b.config.NoteInterval {
		b.notedAt = now
		notified := map[string]bool{}
		for _, id := range slices.Sorted(keys(b.streams)) { // one session per front
			s := b.streams[id]
			if s.playing && !s.ended && s.disconnectedAt == 0 && !notified[s.conn.frontName] {
				notified[s.conn.frontName] = true
				if rtpChannel, ok := s.tracks[0]; ok {
					s.conn.sendQueue.PushFrame(rtpChannel+1, relay.AppendLoadNote(nil, s.ssrc, b.reportedLoad[0], b.reportedLoad[1]), nil)
					s.conn.sendQueue.Flush()
				}
			}
		}
	}
}

// keys iterates over the keys of m.
func keys(m map[string]*stream) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// rate returns the media rate of a session in kB/s.
func (b *Box) rate(s *stream) float64 {
	scale := b.config.Scale[s.group]
	if scale == 0 {
		scale = 1
	}
	return b.config.Ladder[min(s.rung, len(b.config.Ladder)-1)] * scale * s.rateFactor
}

// sendFrame sends one frame of each track. Payloads begin with the frame number and the rung, which players check.
func (b *Box) sendFrame(s *stream, interval float64) {
	s.frameNumber++
	size := int(b.rate(s) * 1000 * interval * b.config.PayloadScale)
	const maxPayload = 1400 // bytes per packet, to fit the MTU of a real path
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

// sendPacket sends one RTP packet with n bytes of payload.
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

// sendBye sends an RTCP BYE on each track at the end of a title.
func (s *stream) sendBye() {
	for n, rtpChannel := range s.tracks {
		var p [8]byte
		p[0], p[1], p[3] = 0x81, 203, 1
		binary.BigEndian.PutUint32(p[4:], s.ssrc+uint32(n))
		s.conn.sendQueue.PushFrame(rtpChannel+1, p[:], nil)
	}
}

// read reads requests from one connection, records each on arrival and passes it to serve, so that requests to a hanging
// box are recorded too.
func (c *conn) read() {
	defer c.box.goroutines.Done()
	defer close(c.requests)
	for {
		m, _, err := c.rtsp.Next()
		if err != nil {
			c.reportSetupsCancelled()    // the front closed its sending side or the connection
			if !errors.Is(err, io.EOF) { // not a half-close: replies can't be delivered any more
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

// reportSetupsCancelled reports the end of the connection to the witness, which cancels the SETUPs in flight on it.
func (c *conn) reportSetupsCancelled() {
	if w := c.box.config.Witness; w != nil {
		w.SetupsCancelled(c.box.ID, c.id, c.box.config.Now())
	}
}

// serve answers the requests of one connection in order.
func (b *Box) serve(c *conn) {
	defer b.goroutines.Done()
	for m := range c.requests {
		if !b.answer(c, m) {
			c.reportSetupsCancelled() // the front may react to the close before the reader reports it
			c.sendQueue.Close()
			c.socket.Close()
			break
		}
	}
	for range c.requests { // drain, so that read doesn't block
	}
	c.sendQueue.Finish()
}

// received reports a request to the witness before it is processed.
func (b *Box) received(c *conn, m *rtsp.Message) {
	frontName := strings.TrimPrefix(m.Header.Get("User-Agent"), "rainhaven/")
	b.update(func() { c.frontName = frontName })
	w := b.config.Witness
	if w == nil {
		return
	}
	switch {
	case m.Method == rtsp.Setup && m.Session() == "":
		resource, _ := rtsp.ParseURL(m.URL)
		rung, err := strconv.Atoi(m.Header.Get("Rung"))
		if err != nil {
			rung = len(b.config.Ladder) - 1
		}
		w.SetupReceived(b.ID, c.id, m.CSeq(), b.config.Now(), strings.TrimPrefix(resource.Query, "viewer="), frontName, resource.Group, resource.Title, rung)
	case m.Method == rtsp.SetParameter:
		if r, err := strconv.Atoi(rtsp.ParseParameters(m.Body)["rung"]); err == nil {
			w.RungRequested(b.ID, m.Session(), r, b.config.Now())
		}
	case m.Method == rtsp.TearDown:
		w.SessionEnded(b.ID, m.Session(), b.config.Now())
	}
}

// reply sends r in answer to m, with the load report added.
func (b *Box) reply(c *conn, m *rtsp.Message, r *rtsp.Message) {
	if c.alterReply != nil {
		alter := c.alterReply
		c.alterReply = nil
		if r = alter(r); r == nil {
			return
		}
	}
	if w := b.config.Witness; w != nil && m.Method == rtsp.Setup {
		w.SetupAnswered(b.ID, c.id, m.CSeq(), b.config.Now(), r.Status, r.Session())
	}
	r.WithHeader("Load-Report", fmt.Sprintf("link=%.3f, uplink=%.3f, inflight=%d", b.reportedLoad[0], b.reportedLoad[1], len(b.streams)))
	c.sendQueue.PushMessage(r.Append(nil))
}

// answer handles a request and returns false if the connection must be closed.
func (b *Box) answer(c *conn, m *rtsp.Message) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.Method == rtsp.Setup && m.Session() == "" {
		b.counts.Setups++
		if b.overloadedBySetup() {
			return false
		}
	}
	if m.Method == rtsp.Play {
		b.counts.Plays++
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
	if b.config.RandomFaultShare > 0 && b.rand.Float64() < b.config.RandomFaultShare {
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
		if err != nil || n < 0 || n >= len(b.config.Ladder) || b.rejectingRungs {
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

// description is the SDP of every title: one video and one audio track.
const description = "v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nt=0 0\r\na=control:*\r\nm=video 0 RTP/AVP 96\r\na=rtpmap:96 H264/90000\r\n" +
	"a=control:track0\r\nm=audio 0 RTP/AVP 97\r\na=rtpmap:97 MPEG4-GENERIC/48000/2\r\na=control:track1\r\n"

// setup answers a SETUP after the setup time. Called with the box locked; unlocks it during the wait.
func (b *Box) setup(c *conn, m *rtsp.Message) bool {
	resource, err := rtsp.ParseURL(m.URL)
	specs, transportErr := rtsp.ParseTransport(m.Header.Get("Transport"))
	transport, ok := rtsp.FindTCP(specs)
	if err != nil || transportErr != nil || !ok || !transport.Interleaved {
		b.reply(c, m, rtsp.NewResponse(m, rtsp.UnsupportedTransport))
		return true
	}
	if s := b.streams[m.Session()]; s != nil {
		s.tracks[max(resource.Track, 0)] = transport.RTPChannel
		b.reply(c, m, rtsp.NewResponse(m, rtsp.OK).WithHeader("Session", s.id).WithHeader("Transport", transport.String()))
		return true
	}
	if b.setupErrors > 0 {
		b.setupErrors--
		b.reply(c, m, rtsp.NewResponse(m, rtsp.InternalError))
		return true
	}
	full := b.refusing || len(b.streams) >= b.config.MaxSessions
	if b.config.FullThreshold > 0 {
		full = full || math.Float64frombits(b.demand.Load()) >= b.config.FullThreshold*b.link/b.linkReduction
	}
	if full {
		b.counts.FullReplies++
		b.reply(c, m, rtsp.NewResponse(m, rtsp.NotEnoughBandwidth))
		return true
	}
	rung, err := strconv.Atoi(m.Header.Get("Rung"))
	if err != nil || rung < 0 || rung >= len(b.config.Ladder) {
		rung = len(b.config.Ladder) - 1
	}
	b.lastID++
	s := &stream{id: fmt.Sprintf("b%d-%d", b.ID, b.lastID), group: resource.Group, title: resource.Title, query: resource.Query, conn: c, rung: rung,
		rateFactor: 1 + (2*b.rand.Float64()-1)*b.config.RateVariation, tracks: map[int]byte{max(resource.Track, 0): transport.RTPChannel},
		videoSeq: uint16(b.rand.Uint32()), audioSeq: uint16(b.rand.Uint32()), timestampBase: b.rand.Uint32(), ssrc: b.rand.Uint32()}
	b.streams[s.id] = s // counts against MaxSessions from now on
	if wait := b.config.SetupTime * b.setupSlowdown * (0.5 + b.rand.Float64()); wait > 0 {
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

// overloadedBySetup counts a SETUP against the limit of a cold box. If the limit is exceeded, it shuts the box down and
// returns true.
func (b *Box) overloadedBySetup() bool {
	now, s := b.config.Now(), b.config
	if b.startedAt == 0 || s.WarmUp <= 0 || now-b.startedAt > s.WarmUp {
		return false
	}
	b.coldSetups = slices.DeleteFunc(b.coldSetups, func(at float64) bool { return now-at >= s.OverloadTime })
	b.coldSetups = append(b.coldSetups, now)
	if float64(len(b.coldSetups)) <= witness.ColdSetupLimit(float64(s.MaxSessions), s.WarmUp, s.ColdShare, s.OverloadFactor, s.OverloadTime, now-b.startedAt) {
		return false
	}
	b.overloaded = true
	b.shutDown(false)
	return true
}

// connClosed removes a connection and marks its sessions as disconnected.
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
		// The session may be resumed over another connection within the grace time, but has ended for the front that had this
		// connection.
		if s.disconnectedAt = b.config.Now(); b.config.Witness != nil {
			b.config.Witness.SessionEnded(b.ID, id, s.disconnectedAt)
		}
		if b.config.DisconnectGrace <= 0 {
			delete(b.streams, id)
		}
	}
}

// endSession ends a session and reports that to the witness. Called with the box locked.
func (b *Box) endSession(id string) {
	delete(b.streams, id)
	if w := b.config.Witness; w != nil {
		w.SessionEnded(b.ID, id, b.config.Now())
	}
}
