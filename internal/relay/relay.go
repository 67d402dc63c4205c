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
	pooled        *[]byte // where pending comes from
	frameBytes    int     // bytes of frames among pending
	messageBytes  int     // bytes of messages among pending
	maxFrameBytes int
	closed        bool
	finishing     bool // write what is pending, then close
	err           error
	roomFreed     chan struct{} // filled as Run takes what waits
	behind        bool          // a wait for room was in vain; until half of what may wait is free
	LastLimitedAt atomic.Int64  // when frames last had to wait or were dropped, nanoseconds on the caller's clock
	DroppedFrames atomic.Int64  // frames
	SentBytes     atomic.Int64  // bytes
}

const maxMessageBytes = 64 << 10 // bytes of messages that wait; a pipelining viewer's eight answers take under 8 kB

// NewQueue makes a queue that holds so many bytes of frames at most, twice that while a write is under way.
func NewQueue(maxFrameBytes int) *Queue {
	q := &Queue{maxFrameBytes: maxFrameBytes, roomFreed: make(chan struct{}, 1)}
	q.wake.L = &q.mu
	return q
}

// PushMessage queues a message.
func (q *Queue) PushMessage(b []byte) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || q.finishing {
		return net.ErrClosed
	}
	if q.messageBytes+len(b) > maxMessageBytes {
		q.closed, q.err = true, ErrMessageBacklog
		q.wake.Signal()
		return ErrMessageBacklog
	}
	q.ensureBuffer()
	q.messageBytes += len(b)
	q.pending = append(q.pending, b...)
	q.wake.Signal()
	return nil
}

// Flush has what is queued written. Frames wait for it, so that those that came together leave in one write.
func (q *Queue) Flush() { q.wake.Signal() }

// PushFrame queues a frame for the next Flush; edit, which may be nil, may change the copy's payload in place. It tells
// whether there was room.
func (q *Queue) PushFrame(channel byte, payload []byte, edit func(payload []byte)) bool {
	q.mu.Lock()
	if q.closed || q.finishing || q.frameBytes+len(payload)+4 > q.maxFrameBytes {
		q.mu.Unlock()
		q.DroppedFrames.Add(1)
		return false
	}
	q.ensureBuffer()
	at := len(q.pending)
	q.pending = append(q.pending, '$', channel, byte(len(payload)>>8), byte(len(payload)))
	q.pending = append(q.pending, payload...)
	if edit != nil {
		edit(q.pending[at+4:])
	}
	q.frameBytes += len(payload) + 4
	q.mu.Unlock()
	return true
}

// pacingThreshold is how many bytes may wait before a source is slowed down: a write or two at full speed, still in the
// processor's cache.
const pacingThreshold = 256 << 10

// AwaitRoom waits while much waits already, for the timer's time at most, and not at all where the last wait was in vain and
// little has gone since: a peer that keeps up slows its source down for a moment; one that doesn't first fills the
// queue and then loses frames, and its source's other words are not held up. now is noted in Limited for the latter.
func (q *Queue) AwaitRoom(n int, now int64, timer *time.Timer, wait time.Duration) {
	most := min(q.maxFrameBytes, pacingThreshold)
	fits := func() bool {
		q.mu.Lock()
		defer q.mu.Unlock()
		if q.frameBytes <= most/2 {
			q.behind = false
		} else if q.behind {
			q.LastLimitedAt.Store(now)
		}
		return q.behind || q.closed || q.finishing || q.frameBytes+n <= most
	}
	if fits() {
		return
	}
	q.Flush()
	timer.Reset(wait)
	defer timer.Stop()
	for !fits() {
		select {
		case <-q.roomFreed:
		case <-timer.C:
			q.mu.Lock()
			q.behind = true
			q.mu.Unlock()
			q.LastLimitedAt.Store(now)
			return
		}
	}
}

// Close ends the queue: what waits is dropped, Run returns.
func (q *Queue) Close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.wake.Signal()
	select {
	case q.roomFreed <- struct{}{}:
	default:
	}
}

// Finish ends the queue once what waits is written.
func (q *Queue) Finish() {
	q.mu.Lock()
	q.finishing = true
	q.mu.Unlock()
	q.wake.Signal()
}

// PendingBytes is how many bytes wait.
func (q *Queue) PendingBytes() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.pending)
}

// bufferPool holds what no queue needs just now. A queue takes one when something comes and gives it back once that is
// written, so that a thousand paced streams share a few, and none allocates.
var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, 16<<10); return &b }}

// ensureBuffer takes a buffer for the first bytes after a write. Called locked.
func (q *Queue) ensureBuffer() {
	if q.pending == nil {
		q.pooled = bufferPool.Get().(*[]byte)
		q.pending = (*q.pooled)[:0]
	}
}

// Run writes what is queued to w until the queue is closed or a write fails, or takes longer than stall. It is the
// goroutine that owns the connection's writing.
func (q *Queue) Run(w net.Conn, stall time.Duration) error {
	for {
		q.mu.Lock()
		for len(q.pending) == 0 && !q.closed && !q.finishing {
			q.wake.Wait()
		}
		if q.closed || len(q.pending) == 0 {
			err := q.err
			q.closed, q.pending = true, nil
			q.mu.Unlock()
			return err
		}
		out, buffer := q.pending, q.pooled
		q.pending, q.pooled = nil, nil
		q.frameBytes, q.messageBytes = 0, 0
		q.mu.Unlock()
		select {
		case q.roomFreed <- struct{}{}:
		default:
		}
		if stall > 0 {
			w.SetWriteDeadline(time.Now().Add(stall))
		}
		n, err := w.Write(out)
		q.SentBytes.Add(int64(n))
		if err != nil {
			q.Close()
			return err
		}
		*buffer = out
		bufferPool.Put(buffer)
	}
}

// Track is one media track of a stream.
type Track struct {
	RTPChannel, RTCPChannel byte // channels at the viewer
	ClockRate               uint32

	ssrc                uint32 // towards the viewer
	started             bool
	sourceSSRC          uint32 // the source's SSRC now
	seqOffset           uint16 // to be added to the source's
	tsOffset            uint32
	lastSeq             uint16 // last sent
	lastTS, tsStep      uint32 // last sent, and the usual distance between two timestamps
	firstTS, mediaTicks int64  // media time in clock units since the first frame
}

// Stream is one session's way from its box to its viewer.
type Stream struct {
	out        *Queue
	mu         sync.Mutex
	tracks     map[byte]*Track // by the box's RTP channel; as many as were set up
	opened     bool
	heldFrames []heldFrame // came in before Open; at most mostHeld
	heldBytes  int
	onLoadNote func(link, uplink float64)

	lastFrameAt atomic.Int64 // when the newest frame came in, nanoseconds on the front's clock
	mediaMicros atomic.Int64 // microseconds of media up to it
	MediaFrames atomic.Int64
	StrayFrames atomic.Int64 // frames on channels that were never set up
}

type heldFrame struct {
	channel byte
	payload []byte
}

// maxHeldBytes is how many bytes may come before the answer to PLAY is on its way: a first access unit and some more.
const maxHeldBytes = 64 << 10

// NewStream makes a stream to a viewer's queue. notes hears each load note that comes with the media.
func NewStream(out *Queue, notes func(link, uplink float64)) *Stream {
	return &Stream{out: out, tracks: map[byte]*Track{}, onLoadNote: notes}
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
	s.opened = true
	for _, h := range s.heldFrames {
		s.forward(h.channel, h.payload)
	}
	s.heldFrames, s.heldBytes = nil, 0
	s.out.Flush()
}

// Progress is when the newest frame came in, on the clock that Frame was given, and the media seconds up to it; ok is
// false before the first one.
func (s *Stream) Progress() (at time.Duration, media float64, ok bool) {
	a := s.lastFrameAt.Load()
	return time.Duration(a), float64(s.mediaMicros.Load()) / 1e6, a != 0
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
	if t.started && t.discontinuous(seq, ts) {
		return t.lastSeq + 1, t.lastTS + t.tsStep, true
	}
	return seq + t.seqOffset, ts + t.tsOffset, true
}

// ForwardFrame takes a frame from the box, received at now. The payload is not kept. Queue().Flush has it written.
func (s *Stream) ForwardFrame(now time.Duration, channel byte, payload []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.opened {
		if s.heldBytes+len(payload) <= maxHeldBytes {
			s.heldFrames = append(s.heldFrames, heldFrame{channel, append([]byte(nil), payload...)})
			s.heldBytes += len(payload)
		} else {
			s.out.DroppedFrames.Add(1)
		}
		return
	}
	if s.forward(channel, payload) {
		s.lastFrameAt.Store(int64(now))
	}
}

// forward sends a frame on. It tells whether it moved the media's time.
func (s *Stream) forward(channel byte, payload []byte) bool {
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
		if us := t.mediaTicks * 1e6 / int64(max(t.ClockRate, 1)); us > s.mediaMicros.Load() {
			s.mediaMicros.Store(us)
		}
		return true
	}
	if t := s.tracks[channel-1]; channel > 0 && t != nil && len(payload) >= 8 {
		s.forwardRTCP(t, payload)
		return false
	}
	s.StrayFrames.Add(1)
	return false
}

// discontinuous tells whether a source's numbers don't follow on its last ones.
func (t *Track) discontinuous(seq uint16, ts uint32) bool {
	d, dt := int16(seq+t.seqOffset-t.lastSeq), int32(ts+t.tsOffset-t.lastTS)
	return d < -1000 || d > 1000 || dt < -int32(t.ClockRate) || dt > 10*int32(t.ClockRate)
}

// rewrite makes a source's numbers the viewer's. A new source, or a leap within one, goes on where the last left off.
func (t *Track) rewrite(seq uint16, ts, src uint32) (uint16, uint32) {
	switch {
	case !t.started:
		t.started, t.sourceSSRC, t.ssrc = true, src, src
		t.lastSeq, t.lastTS, t.firstTS = seq-1, ts, int64(ts)
	case src != t.sourceSSRC || t.discontinuous(seq, ts):
		t.sourceSSRC = src
		t.seqOffset, t.tsOffset = t.lastSeq+1-seq, t.lastTS+t.tsStep-ts
	}
	seq, ts = seq+t.seqOffset, ts+t.tsOffset
	if d := int32(ts - t.lastTS); d > 0 {
		if t.tsStep == 0 || d < 2*int32(t.tsStep) {
			t.tsStep = uint32(d)
		}
		t.mediaTicks += int64(d)
		t.lastTS = ts
	}
	if int16(seq-t.lastSeq) > 0 {
		t.lastSeq = seq
	}
	return seq, ts
}

// forwardRTCP sends a compound RTCP packet on: sources and the sender's timestamp rewritten, load notes taken out.
func (s *Stream) forwardRTCP(t *Track, p []byte) {
	buf := make([]byte, 0, len(p)) // a few a second at most
	for len(p) >= 8 {
		n := (int(binary.BigEndian.Uint16(p[2:])) + 1) * 4
		if p[0]>>6 != 2 || n > len(p) || n < 8 {
			s.StrayFrames.Add(1)
			break
		}
		packet := p[:n]
		p = p[n:]
		if link, uplink, ok := ParseLoadNote(packet); ok {
			if s.onLoadNote != nil {
				s.onLoadNote(link, uplink)
			}
			continue
		}
		at := len(buf)
		buf = append(buf, packet...)
		out := buf[at:]
		if src := binary.BigEndian.Uint32(out[4:]); t.started && src == t.sourceSSRC {
			binary.BigEndian.PutUint32(out[4:], t.ssrc)
			if out[1] == 200 && n >= 28 {
				binary.BigEndian.PutUint32(out[16:], binary.BigEndian.Uint32(out[16:])+t.tsOffset)
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
				if t.started && binary.BigEndian.Uint32(p[at:]) == t.ssrc {
					binary.BigEndian.PutUint32(p[at:], t.sourceSSRC)
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
	s.opened = false
}

// loadNoteName marks an RTCP APP packet as a load note (RFC 3550, section 6.7).
const loadNoteName = "LOAD"

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
	b = append(b, loadNoteName...)
	b = binary.BigEndian.AppendUint32(b, fix(link))
	return binary.BigEndian.AppendUint32(b, fix(uplink))
}

// ParseLoadNote reads a load note. An untold figure is -1.
func ParseLoadNote(p []byte) (link, uplink float64, ok bool) {
	if len(p) != 20 || p[0]>>6 != 2 || p[1] != 204 || string(p[8:12]) != loadNoteName {
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
func DiscardInput(c net.Conn, timeout time.Duration) {
	c.SetReadDeadline(time.Now().Add(timeout))
	io.Copy(io.Discard, io.LimitReader(c, 1<<20))
}
