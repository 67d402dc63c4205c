// Package relay carries frames from a box's connection to a viewer's without passing the front's loop. Each frame is
// copied once, into the viewer's queue, with its channel, sequence number, timestamp and source rewritten so that the
// viewer sees one continuous stream whatever the box does. It decides nothing.
package relay

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// ErrMessageBacklog ends a Queue whose messages outgrew their bound.
var ErrMessageBacklog = errors.New("relay: more messages wait than a peer may have")

// Queue is what waits to be written to one connection: messages and frames in one order, with a bound on each. Frames
// past theirs are dropped whole and counted; messages past theirs end the connection.
type Queue struct {
	mu            sync.Mutex
	wake          sync.Cond
	pending       []byte  // nil while nothing waits
	buffer        *[]byte // where pending comes from
	frames        int     // bytes of frames among pending
	messages      int     // bytes of messages among pending
	most          int
	closed        bool
	flush         bool // write what is pending, then close
	err           error
	room          chan struct{} // filled as Run takes what waits
	behind        bool          // a wait for room was in vain; until half of what may wait is free
	LastLimitedAt atomic.Int64  // when frames last had to wait or were dropped, nanoseconds on the caller's clock
	DroppedFrames atomic.Int64  // frames
	SentBytes     atomic.Int64  // bytes
}

const mostMessages = 64 << 10 // bytes of messages that wait; a pipelining viewer's eight answers take under 8 kB

// NewQueue makes a queue that holds so many bytes of frames at most, twice that while a write is under way.
func NewQueue(most int) *Queue {
	o := &Queue{most: most, room: make(chan struct{}, 1)}
	o.wake.L = &o.mu
	return o
}

// PushMessage queues a message.
func (o *Queue) PushMessage(b []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || o.flush {
		return net.ErrClosed
	}
	if o.messages+len(b) > mostMessages {
		o.closed, o.err = true, ErrMessageBacklog
		o.wake.Signal()
		return ErrMessageBacklog
	}
	o.begin()
	o.messages += len(b)
	o.pending = append(o.pending, b...)
	o.wake.Signal()
	return nil
}

// Flush has what is queued written. Frames wait for it, so that those that came together leave in one write.
func (o *Queue) Flush() { o.wake.Signal() }

// PushFrame queues a frame for the next Flush; edit, which may be nil, may change the copy's payload in place. It tells
// whether there was room.
func (o *Queue) PushFrame(channel byte, payload []byte, edit func(payload []byte)) bool {
	o.mu.Lock()
	if o.closed || o.flush || o.frames+len(payload)+4 > o.most {
		o.mu.Unlock()
		o.DroppedFrames.Add(1)
		return false
	}
	o.begin()
	at := len(o.pending)
	o.pending = append(o.pending, '$', channel, byte(len(payload)>>8), byte(len(payload)))
	o.pending = append(o.pending, payload...)
	if edit != nil {
		edit(o.pending[at+4:])
	}
	o.frames += len(payload) + 4
	o.mu.Unlock()
	return true
}

// pace is how many bytes may wait before a source is slowed down: a write or two at full speed, still in the
// processor's cache.
const pace = 256 << 10

// AwaitRoom waits while much waits already, for the timer's time at most, and not at all where the last wait was in vain and
// little has gone since: a peer that keeps up slows its source down for a moment; one that doesn't first fills the
// queue and then loses frames, and its source's other words are not held up. now is noted in Limited for the latter.
func (o *Queue) AwaitRoom(n int, now int64, timer *time.Timer, wait time.Duration) {
	most := min(o.most, pace)
	fits := func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.frames <= most/2 {
			o.behind = false
		} else if o.behind {
			o.LastLimitedAt.Store(now)
		}
		return o.behind || o.closed || o.flush || o.frames+n <= most
	}
	if fits() {
		return
	}
	o.Flush()
	timer.Reset(wait)
	defer timer.Stop()
	for !fits() {
		select {
		case <-o.room:
		case <-timer.C:
			o.mu.Lock()
			o.behind = true
			o.mu.Unlock()
			o.LastLimitedAt.Store(now)
			return
		}
	}
}

// Close ends the queue: what waits is dropped, Run returns.
func (o *Queue) Close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.wake.Signal()
	select {
	case o.room <- struct{}{}:
	default:
	}
}

// Finish ends the queue once what waits is written.
func (o *Queue) Finish() {
	o.mu.Lock()
	o.flush = true
	o.mu.Unlock()
	o.wake.Signal()
}

// PendingBytes is how many bytes wait.
func (o *Queue) PendingBytes() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.pending)
}

// buffers holds what no queue needs just now. A queue takes one when something comes and gives it back once that is
// written, so that a thousand paced streams share a few, and none allocates.
var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 16<<10); return &b }}

// begin takes a buffer for the first bytes after a write. Called locked.
func (o *Queue) begin() {
	if o.pending == nil {
		o.buffer = buffers.Get().(*[]byte)
		o.pending = (*o.buffer)[:0]
	}
}

// Run writes what is queued to w until the queue is closed or a write fails, or takes longer than stall. It is the
// goroutine that owns the connection's writing.
func (o *Queue) Run(w net.Conn, stall time.Duration) error {
	for {
		o.mu.Lock()
		for len(o.pending) == 0 && !o.closed && !o.flush {
			o.wake.Wait()
		}
		if o.closed || len(o.pending) == 0 {
			err := o.err
			o.closed, o.pending = true, nil
			o.mu.Unlock()
			return err
		}
		out, buffer := o.pending, o.buffer
		o.pending, o.buffer = nil, nil
		o.frames, o.messages = 0, 0
		o.mu.Unlock()
		select {
		case o.room <- struct{}{}:
		default:
		}
		if stall > 0 {
			w.SetWriteDeadline(time.Now().Add(stall))
		}
		n, err := w.Write(out)
		o.SentBytes.Add(int64(n))
		if err != nil {
			o.Close()
			return err
		}
		*buffer = out
		buffers.Put(buffer)
	}
}

// Track is one media track of a stream.
type Track struct {
	RTPChannel, RTCPChannel byte // channels at the viewer
	ClockRate               uint32

	ssrc           uint32 // towards the viewer
	known          bool
	from           uint32 // the source's SSRC now
	seq            uint16 // to be added to the source's
	ts             uint32
	lastSeq        uint16 // last sent
	lastTS, gap    uint32 // last sent, and the usual distance between two timestamps
	first, reached int64  // media time in clock units since the first frame
}

// Stream is one session's way from its box to its viewer.
type Stream struct {
	out    *Queue
	mu     sync.Mutex
	tracks map[byte]*Track // by the box's RTP channel; as many as were set up
	open   bool
	held   []heldFrame // came in before Open; at most mostHeld
	heldN  int
	notes  func(link, uplink float64)

	at          atomic.Int64 // when the newest frame came in, nanoseconds on the front's clock
	media       atomic.Int64 // microseconds of media up to it
	MediaFrames atomic.Int64
	StrayFrames atomic.Int64 // frames on channels that were never set up
}

type heldFrame struct {
	channel byte
	payload []byte
}

// mostHeld is how many bytes may come before the answer to PLAY is on its way: a first access unit and some more.
const mostHeld = 64 << 10

// NewStream makes a stream to a viewer's queue. notes hears each load note that comes with the media.
func NewStream(out *Queue, notes func(link, uplink float64)) *Stream {
	return &Stream{out: out, tracks: map[byte]*Track{}, notes: notes}
}

// Queue is the viewer's queue.
func (s *Stream) Queue() *Queue { return s.out }

// AddTrack puts a track on a box's channel pair that starts at low.
func (s *Stream) AddTrack(low byte, t *Track) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracks[low] = t
}

// Open lets frames through, those that came before first. The answer to PLAY must be queued by then.
func (s *Stream) Open() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = true
	for _, h := range s.held {
		s.pass(h.channel, h.payload)
	}
	s.held, s.heldN = nil, 0
	s.out.Flush()
}

// Progress is when the newest frame came in, on the clock that Frame was given, and the media seconds up to it; ok is
// false before the first one.
func (s *Stream) Progress() (at time.Duration, media float64, ok bool) {
	a := s.at.Load()
	return time.Duration(a), float64(s.media.Load()) / 1e6, a != 0
}

// TranslateRTPInfo makes the numbers that a box names for a track's next frame (RTP-Info) those that the viewer gets it under,
// whether that frame has come already or not; ok is false where the stream has no such track.
func (s *Stream) TranslateRTPInfo(low byte, seq uint16, ts uint32) (uint16, uint32, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tracks[low]
	if t == nil {
		return 0, 0, false
	}
	if t.known && t.leaps(seq, ts) {
		return t.lastSeq + 1, t.lastTS + t.gap, true
	}
	return seq + t.seq, ts + t.ts, true
}

// ForwardFrame takes a frame from the box, received at now. The payload is not kept. Queue().Flush has it written.
func (s *Stream) ForwardFrame(now time.Duration, channel byte, payload []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.open {
		if s.heldN+len(payload) <= mostHeld {
			s.held = append(s.held, heldFrame{channel, append([]byte(nil), payload...)})
			s.heldN += len(payload)
		} else {
			s.out.DroppedFrames.Add(1)
		}
		return
	}
	if s.pass(channel, payload) {
		s.at.Store(int64(now))
	}
}

// pass sends a frame on. It tells whether it moved the media's time.
func (s *Stream) pass(channel byte, payload []byte) bool {
	if t := s.tracks[channel]; t != nil && len(payload) >= 12 {
		s.MediaFrames.Add(1)
		seq, ts := binary.BigEndian.Uint16(payload[2:]), binary.BigEndian.Uint32(payload[4:])
		src := binary.BigEndian.Uint32(payload[8:])
		seq, ts = t.rewrite(seq, ts, src)
		ssrc := t.ssrc
		// The sequence number moves on even where the frame is dropped: the viewer sees the loss as one.
		s.out.PushFrame(t.RTPChannel, payload, func(p []byte) {
			binary.BigEndian.PutUint16(p[2:], seq)
			binary.BigEndian.PutUint32(p[4:], ts)
			binary.BigEndian.PutUint32(p[8:], ssrc)
		})
		if us := t.reached * 1e6 / int64(max(t.ClockRate, 1)); us > s.media.Load() {
			s.media.Store(us)
		}
		return true
	}
	if t := s.tracks[channel-1]; channel > 0 && t != nil && len(payload) >= 8 {
		s.control(t, payload)
		return false
	}
	s.StrayFrames.Add(1)
	return false
}

// leaps tells whether a source's numbers don't follow on its last ones.
func (t *Track) leaps(seq uint16, ts uint32) bool {
	d, dt := int16(seq+t.seq-t.lastSeq), int32(ts+t.ts-t.lastTS)
	return d < -1000 || d > 1000 || dt < -int32(t.ClockRate) || dt > 10*int32(t.ClockRate)
}

// rewrite makes a source's numbers the viewer's. A new source, or a leap within one, goes on where the last left off.
func (t *Track) rewrite(seq uint16, ts, src uint32) (uint16, uint32) {
	switch {
	case !t.known:
		t.known, t.from, t.ssrc = true, src, src
		t.lastSeq, t.lastTS, t.first = seq-1, ts, int64(ts)
	case src != t.from || t.leaps(seq, ts):
		t.from = src
		t.seq, t.ts = t.lastSeq+1-seq, t.lastTS+t.gap-ts
	}
	seq, ts = seq+t.seq, ts+t.ts
	if d := int32(ts - t.lastTS); d > 0 {
		if t.gap == 0 || d < 2*int32(t.gap) {
			t.gap = uint32(d)
		}
		t.reached += int64(d)
		t.lastTS = ts
	}
	if int16(seq-t.lastSeq) > 0 {
		t.lastSeq = seq
	}
	return seq, ts
}

// control sends a compound RTCP packet on: sources and the sender's timestamp rewritten, load notes taken out.
func (s *Stream) control(t *Track, p []byte) {
	buf := make([]byte, 0, len(p)) // a few a second at most
	for len(p) >= 8 {
		n := (int(binary.BigEndian.Uint16(p[2:])) + 1) * 4
		if p[0]>>6 != 2 || n > len(p) || n < 8 {
			s.StrayFrames.Add(1)
			break
		}
		one := p[:n]
		p = p[n:]
		if link, uplink, ok := ParseLoadNote(one); ok {
			if s.notes != nil {
				s.notes(link, uplink)
			}
			continue
		}
		at := len(buf)
		buf = append(buf, one...)
		out := buf[at:]
		if src := binary.BigEndian.Uint32(out[4:]); t.known && src == t.from {
			binary.BigEndian.PutUint32(out[4:], t.ssrc)
			if out[1] == 200 && n >= 28 {
				binary.BigEndian.PutUint32(out[16:], binary.BigEndian.Uint32(out[16:])+t.ts)
			}
		}
	}
	if len(buf) > 0 {
		s.out.PushFrame(t.RTCPChannel, buf, nil)
	}
}

// TranslateRTCP makes a viewer's RTCP, which came on a channel of its, the box's: the channel there, and the sources that its
// reports are about. lost is the largest share lost that it tells, -1 where it tells none; ok is false where it belongs
// to no track or is broken. The payload is changed in place.
func (s *Stream) TranslateRTCP(channel byte, p []byte) (to byte, lost float64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost = -1
	for low, t := range s.tracks {
		if t.RTCPChannel != channel {
			continue
		}
		for len(p) >= 4 {
			n := (int(binary.BigEndian.Uint16(p[2:])) + 1) * 4
			if p[0]>>6 != 2 || n > len(p) {
				return 0, -1, false
			}
			first := map[byte]int{200: 28, 201: 8}[p[1]] // sender's and receiver's reports
			for at := first; first > 0 && at+24 <= n && at < first+24*int(p[0]&31); at += 24 {
				if t.known && binary.BigEndian.Uint32(p[at:]) == t.ssrc {
					binary.BigEndian.PutUint32(p[at:], t.from)
				}
				lost = max(lost, float64(p[at+4])/256)
			}
			p = p[n:]
		}
		return low + 1, lost, true
	}
	return 0, -1, false
}

// SendBye queues an RTCP BYE (RFC 3550, section 6.6) for each track: the stream is over.
func (s *Stream) SendBye() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.tracks {
		var b [8]byte
		b[0], b[1], b[3] = 0x81, 203, 1
		binary.BigEndian.PutUint32(b[4:], t.ssrc)
		s.out.PushFrame(t.RTCPChannel, b[:], nil)
	}
	s.out.Flush()
	s.open = false
}

// noteName marks an RTCP APP packet as a load note (RFC 3550, section 6.7).
const noteName = "LOAD"

// AppendLoadNote writes a load note: an APP packet whose data are two 16.16 figures, what is asked over what is given of
// the box's link and of its rack's uplink. A negative figure is not told.
func AppendLoadNote(b []byte, ssrc uint32, link, uplink float64) []byte {
	fix := func(x float64) uint32 {
		if x < 0 || x > 60000 {
			return 0xffffffff
		}
		return uint32(x * 65536)
	}
	b = append(b, 0x80, 204, 0, 4)
	b = binary.BigEndian.AppendUint32(b, ssrc)
	b = append(b, noteName...)
	b = binary.BigEndian.AppendUint32(b, fix(link))
	return binary.BigEndian.AppendUint32(b, fix(uplink))
}

// ParseLoadNote reads a load note. An untold figure is -1.
func ParseLoadNote(p []byte) (link, uplink float64, ok bool) {
	if len(p) != 20 || p[0]>>6 != 2 || p[1] != 204 || string(p[8:12]) != noteName {
		return 0, 0, false
	}
	fix := func(b []byte) float64 {
		n := binary.BigEndian.Uint32(b)
		if n == 0xffffffff {
			return -1
		}
		return float64(n) / 65536
	}
	return fix(p[12:]), fix(p[16:]), true
}

// DiscardInput reads a connection to its end within a bound, so that a close is not turned into a reset.
func DiscardInput(c net.Conn, within time.Duration) {
	c.SetReadDeadline(time.Now().Add(within))
	io.Copy(io.Discard, io.LimitReader(c, 1<<20))
}
