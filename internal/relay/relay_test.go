package relay

import (
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"pgregory.net/rapid"
	"rainhaven/internal/rtsp"
)

func packet(seq uint16, ts, ssrc uint32, payload ...byte) []byte {
	p := make([]byte, 12, 12+len(payload))
	p[0], p[1] = 0x80, 96
	binary.BigEndian.PutUint16(p[2:], seq)
	binary.BigEndian.PutUint32(p[4:], ts)
	binary.BigEndian.PutUint32(p[8:], ssrc)
	return append(p, payload...)
}

// newTestQueue returns a queue that writes to one end of a pipe and a Conn that reads the other.
func newTestQueue(t testing.TB, maxFrameBytes int) (*Queue, *rtsp.Conn, <-chan error) {
	a, b := net.Pipe()
	q, done := NewQueue(maxFrameBytes), make(chan error, 1)
	go func() {
		err := q.Run(a, time.Second)
		a.Close()
		done <- err
	}()
	t.Cleanup(func() {
		q.Close()
		b.Close()
	})
	return q, rtsp.NewConn(b, rtsp.Limits{}), done
}

func TestContinuousStreamAcrossSources(t *testing.T) {
	q, in, _ := newTestQueue(t, 1<<20)
	s := NewStream(q, nil)
	s.AddTrack(4, &Track{RTPChannel: 0, RTCPChannel: 1, ClockRate: 90000})
	s.ForwardFrame(1, 4, packet(65534, 4294967000, 77)) // before the response to PLAY: held
	s.Open()
	for i := range uint32(4) {
		s.ForwardFrame(2, 4, packet(uint16(65535+i), 4294967000+3600*(i+1), 77))
	}
	for i := range uint32(4) {
		s.ForwardFrame(3, 4, packet(uint16(100+i), 5000+3600*i, 88)) // another source
	}
	for i := range uint32(4) {
		s.ForwardFrame(4, 4, packet(uint16(104+i), 5000+3600*4+90000*60+3600*i, 88)) // a jump ahead within the source
	}
	s.ForwardFrame(4, 9, packet(1, 1, 1)) // a channel that was not set up
	s.SendBye()
	q.Finish()
	var seq uint16
	var ts uint32
	for i := range 13 {
		_, f, err := in.Next()
		if err != nil || f.Channel != 0 {
			t.Fatalf("frame %d: channel %d, %v", i, f.Channel, err)
		}
		p := f.Payload()
		gotSeq, gotTS := binary.BigEndian.Uint16(p[2:]), binary.BigEndian.Uint32(p[4:])
		if i > 0 && (gotSeq != seq+1 || gotTS != ts+3600) {
			t.Errorf("frame %d: seq %d after %d, ts %d after %d", i, gotSeq, seq, gotTS, ts)
		}
		if src := binary.BigEndian.Uint32(p[8:]); src != 77 {
			t.Errorf("frame %d: source %d", i, src)
		}
		seq, ts = gotSeq, gotTS
	}
	if _, f, err := in.Next(); err != nil || f.Channel != 1 || f.Payload()[1] != 203 {
		t.Errorf("no BYE at the end of the stream: %v", err)
	}
	if _, _, err := in.Next(); err != io.EOF {
		t.Errorf("after BYE: %v", err)
	}
	if s.StrayFrames.Load() != 1 {
		t.Errorf("%d stray frames", s.StrayFrames.Load())
	}
	if at, media, ok := s.Progress(); !ok || at != 4 || media < 0.47 || media > 0.49 {
		t.Errorf("progress %v %v %v", at, media, ok)
	}
}

// The box's RTP-Info must be translated to the viewer's numbers whether the announced frame arrives before or after the
// response that carries it.
func TestTranslateRTPInfo(t *testing.T) {
	s := NewStream(NewQueue(1<<20), nil)
	s.AddTrack(0, &Track{RTPChannel: 0, RTCPChannel: 1, ClockRate: 90000})
	s.Open()
	check := func(name string, seq uint16, ts uint32, wantSeq uint16, wantTS uint32) {
		t.Helper()
		if a, b, ok := s.TranslateRTPInfo(0, seq, ts); !ok || a != wantSeq || b != wantTS {
			t.Errorf("%s: %d %d, want %d %d", name, a, b, wantSeq, wantTS)
		}
	}
	check("before the first frame", 7, 900, 7, 900)
	for i := range uint32(4) {
		s.ForwardFrame(1, 0, packet(uint16(10+i), 1000+3600*i, 5))
	}
	check("continuous", 14, 15400, 14, 15400)
	check("seek", 14, 9_000_000, 14, 15400)
	s.ForwardFrame(2, 0, packet(14, 9_000_000, 5))
	check("seek, first frame arrived before the response", 14, 9_000_000, 14, 15400)
	s.ForwardFrame(2, 0, packet(15, 9_003_600, 5))
	check("seek, two frames arrived before the response", 14, 9_000_000, 14, 15400)
	check("seek backwards", 16, 100, 16, 22600)
	if _, _, ok := s.TranslateRTPInfo(2, 1, 1); ok {
		t.Error("translated RTP-Info of a track that was not set up")
	}
}

func TestLoadNotesAreRemoved(t *testing.T) {
	q, in, _ := newTestQueue(t, 1<<20)
	var link, uplink float64
	s := NewStream(q, func(l, u float64) { link, uplink = l, u })
	s.AddTrack(0, &Track{RTPChannel: 6, RTCPChannel: 7, ClockRate: 90000})
	s.Open()
	s.ForwardFrame(1, 0, packet(5, 100, 77))
	report := make([]byte, 28)
	report[0], report[1], report[3] = 0x80, 200, 6
	binary.BigEndian.PutUint32(report[4:], 77)
	s.ForwardFrame(1, 1, AppendLoadNote(report, 77, 0.75, -1))
	q.Flush()
	in.Next()
	_, f, err := in.Next()
	if err != nil || f.Channel != 7 || len(f.Payload()) != 28 {
		t.Fatalf("want the sender report alone: %d bytes, %v", len(f.Payload()), err)
	}
	if link != 0.75 || uplink != -1 {
		t.Errorf("load note %v %v", link, uplink)
	}
	s.ForwardFrame(1, 1, []byte{0x80, 200, 0xff, 0xff, 0, 0, 0, 0}) // length field exceeds the packet
	if s.StrayFrames.Load() != 1 {
		t.Error("a malformed report was accepted")
	}
}

func TestTranslateRTCP(t *testing.T) {
	s := NewStream(NewQueue(1<<16), nil)
	s.AddTrack(4, &Track{RTPChannel: 0, RTCPChannel: 1, ClockRate: 90000})
	s.Open()
	s.ForwardFrame(1, 4, packet(1, 100, 77))
	s.ForwardFrame(1, 4, packet(1, 100, 88)) // another source; the viewer still sees the first SSRC
	rr := make([]byte, 32)
	rr[0], rr[1], rr[3], rr[12] = 0x81, 201, 7, 64
	binary.BigEndian.PutUint32(rr[8:], 77)
	to, lost, ok := s.TranslateRTCP(1, rr)
	if !ok || to != 5 || lost != 0.25 || binary.BigEndian.Uint32(rr[8:]) != 88 {
		t.Errorf("channel %d, lost %v, %v, SSRC %d", to, lost, ok, binary.BigEndian.Uint32(rr[8:]))
	}
	if _, _, ok := s.TranslateRTCP(9, rr); ok {
		t.Error("accepted a channel of no track")
	}
	rr[3] = 200
	if _, _, ok := s.TranslateRTCP(1, rr); ok {
		t.Error("accepted a report whose length field exceeds the packet")
	}
}

func TestSlowViewerLosesOnlyFrames(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	q := NewQueue(10000)
	s := NewStream(q, nil)
	s.AddTrack(0, &Track{RTPChannel: 0, RTCPChannel: 1, ClockRate: 90000})
	s.Open()
	for i := range uint32(100) { // nothing is reading
		s.ForwardFrame(1, 0, packet(uint16(i), i*3600, 7, make([]byte, 988)...))
	}
	if w := q.PendingBytes(); w > 10000 {
		t.Errorf("%d bytes pending", w)
	}
	if d := q.DroppedFrames.Load(); d != 91 {
		t.Errorf("%d dropped", d)
	}
	if err := q.PushMessage([]byte("RTSP/1.0 200 OK\r\nCSeq: 1\r\n\r\n")); err != nil {
		t.Error(err)
	}
	q.Finish()
	go q.Run(a, time.Second)
	in, n := rtsp.NewConn(b, rtsp.Limits{}), 0
	for {
		m, _, err := in.Next()
		if err != nil {
			t.Fatal(err)
		}
		if m != nil {
			break
		}
		n++
	}
	if n != 9 {
		t.Errorf("%d frames before the message", n)
	}
	for range 3 {
		q.PushMessage(make([]byte, 30<<10))
	}
	if err := q.PushMessage(nil); err == nil {
		t.Error("messages exceed their limit without an error")
	}
}

func TestWriteTimeout(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	q := NewQueue(10000)
	q.PushMessage([]byte("x"))
	if err := q.Run(a, 5*time.Millisecond); err == nil {
		t.Error("a stalled write did not time out")
	}
}

// Whatever numbers a source sends, the viewer's sequence numbers advance by one per frame or follow the source's own gaps
// and reordering within a window, and media time never decreases.
func TestRewriteProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := &Track{ClockRate: 90000}
		var last int64
		for range rapid.IntRange(1, 200).Draw(t, "frames") {
			seq := rapid.Uint16().Draw(t, "seq")
			before, known := tr.lastSeq, tr.started
			out, _ := tr.rewrite(seq, rapid.Uint32().Draw(t, "ts"), rapid.Uint32Range(1, 2).Draw(t, "src"))
			if d := int16(out - before); known && (d < -1000 || d > 1000) {
				t.Fatalf("sequence number jumps by %d", d)
			}
			if tr.mediaTicks < last || tr.mediaTicks-last > 10*90000 {
				t.Fatalf("media time from %d to %d", last, tr.mediaTicks)
			}
			last = tr.mediaTicks
		}
	})
}

func FuzzControl(f *testing.F) {
	f.Add(AppendLoadNote(nil, 1, 0.5, 0.25))
	f.Add([]byte{0x81, 203, 0, 1, 0, 0, 0, 9})
	f.Fuzz(func(t *testing.T, in []byte) {
		q := NewQueue(1 << 16)
		s := NewStream(q, func(l, u float64) {
			if l < 0 && l != -1 || u < 0 && u != -1 {
				t.Fatalf("load note %v %v", l, u)
			}
		})
		s.AddTrack(0, &Track{RTPChannel: 0, RTCPChannel: 1, ClockRate: 90000})
		s.Open()
		s.ForwardFrame(1, 0, packet(1, 1, 9))
		s.ForwardFrame(1, 1, in)
		s.ForwardFrame(1, 0, in)
		s.TranslateRTCP(1, append([]byte(nil), in...))
	})
}

func BenchmarkFrame(b *testing.B) {
	q := NewQueue(1 << 20)
	x, y := net.Pipe()
	go q.Run(x, 0)
	go io.Copy(io.Discard, y)
	defer q.Close()
	s := NewStream(q, nil)
	s.AddTrack(0, &Track{RTPChannel: 0, RTCPChannel: 1, ClockRate: 90000})
	s.Open()
	p := packet(0, 0, 7, make([]byte, 1388)...)
	b.SetBytes(int64(len(p)))
	b.ReportAllocs()
	i := uint32(0)
	for b.Loop() {
		i++
		binary.BigEndian.PutUint16(p[2:], uint16(i))
		binary.BigEndian.PutUint32(p[4:], i*3600)
		s.ForwardFrame(1, 0, p)
		if i%40 == 0 {
			q.Flush()
		}
	}
}
