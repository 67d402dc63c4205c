// Package relay forwards frames from a box's connection to a viewer's without involving the front's event loop. Each
// frame is copied once, into the viewer's queue, and its channel, sequence number, timestamp and SSRC are rewritten so
// that the viewer receives one continuous stream even if the box seeks or changes. It contains no policy.
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

// ErrMessageBacklog closes a Queue whose pending messages exceed their limit.
var ErrMessageBacklog = errors.New("relay: too many bytes of pending messages")

// Queue holds the output that is pending for one connection: messages and frames in a single order, with separate
// limits. Frames beyond their limit are dropped whole and counted; messages beyond theirs close the queue.
type Queue struct {
	mu            sync.Mutex
	wake          sync.Cond
	pending       []byte  // nil while empty
	pooled        *[]byte // pool entry that backs pending
	frameBytes    int     // frame bytes in pending
	messageBytes  int     // message bytes in pending
	maxFrameBytes int
	closed        bool
	finishing     bool // close once pending is written
	err           error
	roomFreed     chan struct{} // signaled when Run takes pending
	behind        bool          // AwaitRoom timed out and less than half of the threshold has been freed since
	LastLimitedAt atomic.Int64  // last time AwaitRoom found the peer behind, in nanoseconds on the caller's clock
	DroppedFrames atomic.Int64
	SentBytes     atomic.Int64
}

// maxMessageBytes limits pending messages. The eight responses to a pipelining viewer take less than 8 kB.
const maxMessageBytes = 64 << 10

// NewQueue returns a queue that holds at most maxFrameBytes of frames, and as much again while a write is in progress.
func NewQueue(maxFrameBytes int) *Queue {
	q := &Queue{maxFrameBytes: maxFrameBytes, roomFreed: make(chan struct{}, 1)}
	q.wake.L = &q.mu
	return q
}

// PushMessage appends an encoded message. It returns ErrMessageBacklog and closes the queue if the limit is exceeded.
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

// Flush wakes Run to write the pending output. Frames are not written before Flush or the next message, so that frames
// received together go out in one write.
func (q *Queue) Flush() { q.wake.Signal() }

// PushFrame appends a frame, to be written at the next Flush. edit, which may be nil, may change the payload of the copy
// in place. PushFrame reports whether there was room.
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

// pacingThreshold is the number of pending bytes above which AwaitRoom slows the source down: one or two writes at full
// speed, which still fit the processor's cache.
const pacingThreshold = 256 << 10

// AwaitRoom applies backpressure: it blocks until n more bytes fit below the pacing threshold, or until wait has passed.
// After a timeout it returns at once until half of the threshold is free again. A peer that keeps up thus slows its source
// briefly; one that falls behind fills the queue and then loses frames, without delaying the source's other messages. In
// that case now is stored in LastLimitedAt.
func (q *Queue) AwaitRoom(n int, now int64, timer *time.Timer, wait time.Duration) {
	threshold := min(q.maxFrameBytes, pacingThreshold)
	fits := func() bool {
		q.mu.Lock()
		defer q.mu.Unlock()
		if q.frameBytes <= threshold/2 {
			q.behind = false
		} else if q.behind {
			q.LastLimitedAt.Store(now)
		}
		return q.behind || q.closed || q.finishing || q.frameBytes+n <= threshold
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

// Close closes the queue and discards pending output; Run returns.
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

// Finish closes the queue once the pending output is written.
func (q *Queue) Finish() {
	q.mu.Lock()
	q.finishing = true
	q.mu.Unlock()
	q.wake.Signal()
}

// PendingBytes returns the number of bytes not yet handed to a write.
func (q *Queue) PendingBytes() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.pending)
}

// bufferPool holds buffers that no queue is using. A queue takes one when output arrives and returns it once that is
// written, so that a thousand paced streams share a few buffers without allocating.
var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, 16<<10); return &b }}

// ensureBuffer takes a buffer from the pool for the first bytes after a write. The caller holds q.mu.
func (q *Queue) ensureBuffer() {
	if q.pending == nil {
		q.pooled = bufferPool.Get().(*[]byte)
		q.pending = (*q.pooled)[:0]
	}
}

// Run writes queued output to w until the queue is closed, a write fails or a write takes longer than stall (0 means no
// limit). No other goroutine may write to w.
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

// Track holds the rewriting state of one media track of a stream.
type Track struct {
	RTPChannel, RTCPChannel byte // channels on the viewer's connection
	ClockRate               uint32

	ssrc                uint32 // SSRC sent to the viewer
	started             bool
	sourceSSRC          uint32 // current SSRC of the source
	seqOffset           uint16 // added to the source's sequence numbers
	tsOffset            uint32 // added to the source's timestamps
	lastSeq             uint16 // last one sent
	lastTS, tsStep      uint32 // last one sent, and the usual distance between timestamps
	firstTS, mediaTicks int64  // first timestamp; media time since the first frame, in clock units
}

// Stream forwards the media of one session from its box to its viewer.
type Stream struct {
	out        *Queue
	mu         sync.Mutex
	tracks     map[byte]*Track // keyed by the box's RTP channel; one entry per track that was set up
	opened     bool
	heldFrames []heldFrame // received before Open; at most maxHeldBytes
	heldBytes  int
	onLoadNote func(link, uplink float64)

	lastFrameAt atomic.Int64 // arrival of the latest RTP frame, in nanoseconds on the front's clock
	mediaMicros atomic.Int64 // media time up to that frame, in microseconds
	MediaFrames atomic.Int64
	StrayFrames atomic.Int64 // frames on channels that were not set up, and malformed RTCP packets
}

type heldFrame struct {
	channel byte
	payload []byte
}

// maxHeldBytes limits the frames held until the response to PLAY is queued: the first access unit and some more.
const maxHeldBytes = 64 << 10

// NewStream returns a stream that writes to a viewer's queue. onLoadNote is called for each load note in the media.
func NewStream(out *Queue, onLoadNote func(link, uplink float64)) *Stream {
	return &Stream{out: out, tracks: map[byte]*Track{}, onLoadNote: onLoadNote}
}

// Queue returns the viewer's queue.
func (s *Stream) Queue() *Queue { return s.out }

// AddTrack assigns a track to the box's channel pair that starts at low.
func (s *Stream) AddTrack(low byte, t *Track) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracks[low] = t
}

// Open starts forwarding, beginning with the held frames. The response to PLAY must already be queued.
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

// Progress returns the arrival time of the latest RTP frame, on the clock passed to ForwardFrame, and the media seconds
// up to it. ok is false before the first frame.
func (s *Stream) Progress() (at time.Duration, media float64, ok bool) {
	a := s.lastFrameAt.Load()
	return time.Duration(a), float64(s.mediaMicros.Load()) / 1e6, a != 0
}

// TranslateRTPInfo translates the sequence number and timestamp that a box announces for a track's next frame (RTP-Info)
// to those that the viewer receives, whether or not that frame has arrived yet. The last result is false if the stream has
// no such track.
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

// ForwardFrame queues a frame that was received from the box at now. It does not retain payload. The frame is written at
// the next Queue().Flush.
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

// forward rewrites and queues a frame. It reports whether the frame carries media of a track.
func (s *Stream) forward(channel byte, payload []byte) bool {
	if t := s.tracks[channel]; t != nil && len(payload) >= 12 {
		s.MediaFrames.Add(1)
		seq, ts := binary.BigEndian.Uint16(payload[2:]), binary.BigEndian.Uint32(payload[4:])
		src := binary.BigEndian.Uint32(payload[8:])
		seq, ts = t.rewrite(seq, ts, src)
		ssrc := t.ssrc
		// The sequence number advances even if the frame is dropped, so that the viewer detects the loss.
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

// discontinuous reports whether a sequence number or timestamp of the source does not follow the last ones.
func (t *Track) discontinuous(seq uint16, ts uint32) bool {
	d, dt := int16(seq+t.seqOffset-t.lastSeq), int32(ts+t.tsOffset-t.lastTS)
	return d < -1000 || d > 1000 || dt < -int32(t.ClockRate) || dt > 10*int32(t.ClockRate)
}

// rewrite translates a sequence number and timestamp of the source to the viewer's. After a change of source or a
// discontinuity they continue where the previous ones ended.
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

// forwardRTCP queues a compound RTCP packet with SSRCs and the sender's RTP timestamp rewritten and load notes removed.
func (s *Stream) forwardRTCP(t *Track, p []byte) {
	buf := make([]byte, 0, len(p)) // at most a few per second
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

// TranslateRTCP rewrites an RTCP packet that a viewer sent on channel for the box: it replaces the SSRCs of the report
// blocks in place and returns the box's channel. lost is the largest fraction lost in the reports, -1 if there are none.
// ok is false if the channel belongs to no track or the packet is malformed.
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
			first := map[byte]int{200: 28, 201: 8}[p[1]] // offset of the report blocks in sender and receiver reports
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

// SendBye queues an RTCP BYE (RFC 3550, section 6.6) for each track and stops forwarding.
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

// loadNoteName is the name of the RTCP APP packets that carry load notes (RFC 3550, section 6.7).
const loadNoteName = "LOAD"

// AppendLoadNote appends a load note: an APP packet with two 16.16 fixed-point values, the ratio of demand to capacity of
// the box's link and of its rack's uplink. A negative value is encoded as unknown.
func AppendLoadNote(b []byte, ssrc uint32, link, uplink float64) []byte {
	encode := func(x float64) uint32 {
		if x < 0 || x > 60000 {
			return 0xffffffff
		}
		return uint32(x * 65536)
	}
	b = append(b, 0x80, 204, 0, 4)
	b = binary.BigEndian.AppendUint32(b, ssrc)
	b = append(b, loadNoteName...)
	b = binary.BigEndian.AppendUint32(b, encode(link))
	return binary.BigEndian.AppendUint32(b, encode(uplink))
}

// ParseLoadNote parses a load note. An unknown value is returned as -1.
func ParseLoadNote(p []byte) (link, uplink float64, ok bool) {
	if len(p) != 20 || p[0]>>6 != 2 || p[1] != 204 || string(p[8:12]) != loadNoteName {
		return 0, 0, false
	}
	decode := func(b []byte) float64 {
		n := binary.BigEndian.Uint32(b)
		if n == 0xffffffff {
			return -1
		}
		return float64(n) / 65536
	}
	return decode(p[12:]), decode(p[16:]), true
}

// DiscardInput reads and discards input until the peer closes, the timeout expires or 1 MB was read. Closing a connection
// with unread input would send a reset, which can destroy output in transit.
func DiscardInput(c net.Conn, timeout time.Duration) {
	c.SetReadDeadline(time.Now().Add(timeout))
	io.Copy(io.Discard, io.LimitReader(c, 1<<20))
}
