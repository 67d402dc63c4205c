package rtsp

import (
	"bytes"
	"errors"
	"io"
	"math"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"
)

// readOnlyConn is a connection that only reads.
type readOnlyConn struct {
	net.Conn
	io.Reader
}

func (i readOnlyConn) Read(b []byte) (int, error) { return i.Reader.Read(b) }

func newTestConn(s string, b Limits) *Conn {
	return NewConn(readOnlyConn{Reader: iotest.OneByteReader(strings.NewReader(s))}, b)
}

func TestInterleavedMessagesAndFrames(t *testing.T) {
	frame := AppendFrame(nil, 3, bytes.Repeat([]byte{7}, 9000)) // longer than the initial buffer
	in := "SETUP rtsp://h/g/t/track1 RTSP/1.0\r\nCSeq: 4\r\nTransport: RTP/AVP/TCP;unicast;\r\n interleaved=2-3\r\n\r\n" +
		string(frame) + "\r\nRTSP/1.0 200 OK\r\ncseq: 9\r\nSession: abc;timeout=20\r\nContent-Length: 3\r\n\r\nxyz$\x01\x00\x02hi" +
		"PLAY rtsp://h/g/t RTSP/1.0\nCSeq: 5\n\n"
	c := newTestConn(in, Limits{})
	m, _, err := c.Next()
	if err != nil || m.Method != Setup || m.CSeq() != 4 {
		t.Fatalf("first message: %+v %v", m, err)
	}
	specs, err := ParseTransport(m.Header.Get("Transport"))
	if err != nil {
		t.Fatal(err)
	}
	if tr, ok := FindTCP(specs); !ok || !tr.Interleaved || tr.RTPChannel != 2 || tr.RTCPChannel != 3 {
		t.Errorf("transport from a folded line: %+v", tr)
	}
	m, f, err := c.Next()
	if m != nil || err != nil || f.Channel != 3 || len(f.Payload()) != 9000 || !bytes.Equal(f.Raw, frame) {
		t.Fatalf("long frame: %v %v", m, err)
	}
	m, _, err = c.Next()
	if err != nil || m.IsRequest() || m.Status != 200 || m.Session() != "abc" || string(m.Body) != "xyz" {
		t.Fatalf("response: %+v %v", m, err)
	}
	if d := ParseSessionTimeout(m.Header.Get("Session")); d != 20*time.Second {
		t.Errorf("session timeout %v", d)
	}
	if m, f, err = c.Next(); m != nil || err != nil || string(f.Payload()) != "hi" {
		t.Fatalf("short frame: %v %v", m, err)
	}
	if m, _, err = c.Next(); err != nil || m.Method != Play || m.CSeq() != 5 {
		t.Fatalf("message with bare LF: %+v %v", m, err)
	}
	if _, _, err = c.Next(); err != io.EOF {
		t.Fatalf("at the end of input: %v", err)
	}
}

func TestMalformedInput(t *testing.T) {
	long := strings.Repeat("x", 5000)
	for name, c := range map[string]struct {
		in     string
		status int // of the response; -1 if the connection ends without one
		cseq   string
	}{
		"no version":         {"PLAY rtsp://h/x\r\n\r\n", BadRequest, ""},
		"no RTSP":            {"GET / HTTP/1.1\r\nCSeq: 3\r\n\r\n", BadRequest, "3"},
		"bad header":         {"PLAY rtsp://h/x RTSP/1.0\r\nCSeq: 3\r\nno colon\r\n\r\n", BadRequest, "3"},
		"leading fold":       {"PLAY rtsp://h/x RTSP/1.0\r\n folded\r\n\r\n", BadRequest, ""},
		"long start line":    {"PLAY rtsp://h/" + long + " RTSP/1.0\r\n\r\n", URITooLong, ""},
		"long header line":   {"PLAY rtsp://h/x RTSP/1.0\r\nCSeq: 8\r\nA: " + long + "\r\n\r\n", TooLarge, "8"},
		"long folded field":  {"PLAY rtsp://h/x RTSP/1.0\r\nA: b\r\n" + strings.Repeat(" "+long[:3000]+"\r\n", 2) + "\r\n", TooLarge, ""},
		"10,000 headers":     {"PLAY rtsp://h/x RTSP/1.0\r\n" + strings.Repeat("A: b\r\n", 10000) + "\r\n", TooLarge, ""},
		"large body":         {"PLAY rtsp://h/x RTSP/1.0\r\nContent-Length: 99999999\r\n\r\n", TooLarge, ""},
		"negative body":      {"PLAY rtsp://h/x RTSP/1.0\r\nContent-Length: -1\r\n\r\n", BadRequest, ""},
		"two lengths":        {"PLAY rtsp://h/x RTSP/1.0\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", BadRequest, ""},
		"bad response":       {"RTSP/1.0 2x0 OK\r\n\r\n", 0, ""},
		"ends in a header":   {"PLAY rtsp://h/x RTSP/1.0\r\nCSe", -1, ""},
		"ends in a body":     {"PLAY rtsp://h/x RTSP/1.0\r\nContent-Length: 9\r\n\r\nabc", -1, ""},
		"ends in a frame":    {"$\x00\x00\x09abc", -1, ""},
		"ends in its header": {"$\x00", -1, ""},
	} {
		t.Run(name, func(t *testing.T) {
			m, _, err := newTestConn(c.in, Limits{}).Next()
			var bad *MalformedError
			switch {
			case err == nil:
				t.Fatalf("accepted: %+v", m)
			case errors.As(err, &bad):
				if bad.Status != c.status || bad.CSeq != c.cseq {
					t.Errorf("status %d CSeq %q, want %d %q: %v", bad.Status, bad.CSeq, c.status, c.cseq, err)
				}
			case c.status != -1:
				t.Errorf("error %v, want status %d", err, c.status)
			}
		})
	}
	if _, _, err := newTestConn("$\x00\x02\x00"+long, Limits{FrameBytes: 511}).Next(); err == nil {
		t.Error("a frame above the limit was accepted")
	}
}

func TestHeaderInjection(t *testing.T) {
	m := NewRequest(Options, "*").WithHeader("CSeq", "1").WithHeader("User-Agent", "x\r\nSession: stolen")
	got, _, err := NewConn(readOnlyConn{Reader: bytes.NewReader(m.Append(nil))}, Limits{}).Next()
	if err != nil || got.Session() != "" || got.CSeq() != 1 {
		t.Errorf("%+v %v", got, err)
	}
}

func TestParseRange(t *testing.T) {
	for in, want := range map[string]Range{
		"npt=1.5-":       {Start: 1.5, End: math.Inf(1)},
		"npt=0:01:10-80": {Start: 70, End: 80},
		"npt=now-":       {Now: true, End: math.Inf(1)},
		"npt=-20":        {End: 20},
	} {
		if got, err := ParseRange(in); err != nil || got != want {
			t.Errorf("%s: %+v %v", in, got, err)
		}
	}
	for _, in := range []string{"", "npt=", "npt=-", "npt=5-4", "smpte=0:10:00-", "npt=1e9-", "npt=NaN-", "npt=1:2-"} {
		if r, err := ParseRange(in); err == nil {
			t.Errorf("%q was accepted as %+v", in, r)
		}
	}
}

func TestParseURL(t *testing.T) {
	r, err := ParseURL("rtsp://front:8554/fault-clips/vent%201/track1?viewer=7")
	if err != nil || r.Group != "fault-clips" || r.Title != "vent 1" || r.Track != 1 || r.Query != "viewer=7" {
		t.Errorf("%+v %v", r, err)
	}
	if again, err := ParseURL(r.URL()); err != nil || again != r {
		t.Errorf("%s: %+v %v", r.URL(), again, err)
	}
	for _, in := range []string{"http://h/a/b", "rtsp://h/a", "rtsp:///a/b", "rtsp://h/a/b/track", "rtsp://h/a/b/c/d", "*"} {
		if r, err := ParseURL(in); err == nil {
			t.Errorf("%q was accepted as %+v", in, r)
		}
	}
}

func FuzzNext(f *testing.F) {
	f.Add([]byte("SETUP rtsp://h/g/t RTSP/1.0\r\nCSeq: 4\r\nA: b\r\n c\r\n\r\n$\x01\x00\x02hi"))
	f.Add([]byte("RTSP/1.0 200 OK\r\nCSeq: 1\r\nContent-Length: 3\r\n\r\nabc\r\n\r\n"))
	f.Add([]byte("$\x00\xff\xff"))
	f.Fuzz(func(t *testing.T, in []byte) {
		c := NewConn(readOnlyConn{Reader: bytes.NewReader(in)}, Limits{LineBytes: 200, HeaderLines: 10, BodyBytes: 300})
		for {
			m, _, err := c.Next()
			if err != nil {
				return
			}
			if m == nil {
				continue
			}
			// A parsed message must survive encoding and parsing again.
			again, _, err := NewConn(readOnlyConn{Reader: bytes.NewReader(m.Append(nil))}, Limits{}).Next()
			if err != nil {
				t.Fatalf("%q can't be parsed again: %v", m.Append(nil), err)
			}
			if again.Method != m.Method || again.URL != m.URL || again.Status != m.Status || !bytes.Equal(again.Body, m.Body) {
				t.Fatalf("%+v came back as %+v", m, again)
			}
		}
	})
}

func FuzzFields(f *testing.F) {
	f.Add("RTP/AVP/TCP;unicast;interleaved=0-1;ssrc=1234ABCD,RTP/AVP;client_port=5-6")
	f.Add("npt=1:02:03.5-9999")
	f.Add("url=rtsp://a/b;seq=5;rtptime=7,url=x")
	f.Add("rtsp://h:1/a%2fb/c/track3")
	f.Fuzz(func(t *testing.T, v string) {
		if list, err := ParseTransport(v); err == nil {
			if tr, ok := FindTCP(list); ok && tr.Interleaved {
				if back, err := ParseTransport(tr.String()); err != nil || back[0].RTPChannel != tr.RTPChannel || back[0].RTCPChannel != tr.RTCPChannel {
					t.Fatalf("%q: %+v %v", v, back, err)
				}
			}
		}
		if r, err := ParseRange(v); err == nil && (r.Start < 0 || r.End < r.Start || math.IsNaN(r.Start)) {
			t.Fatalf("%q: %+v", v, r)
		}
		if r, err := ParseURL(v); err == nil {
			if again, err := ParseURL(r.URL()); err != nil || again.Group != r.Group || again.Title != r.Title {
				t.Fatalf("%q: %q: %+v %v", v, r.URL(), again, err)
			}
		}
		ParseRTPInfo(v)
		ParseParameters([]byte(v))
		ParseSessionTimeout(v)
	})
}

func BenchmarkFrames(b *testing.B) {
	frame := AppendFrame(nil, 0, make([]byte, 1400))
	c := NewConn(readOnlyConn{Reader: &loopReader{bytes.Repeat(frame, 40), 0}}, Limits{})
	b.SetBytes(int64(len(frame)))
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := c.Next(); err != nil {
			b.Fatal(err)
		}
	}
}

type loopReader struct {
	b  []byte
	at int
}

func (e *loopReader) Read(p []byte) (int, error) {
	n := copy(p, e.b[e.at:])
	e.at = (e.at + n) % len(e.b)
	return n, nil
}

// MessageBytes must bound lines and body together, even if each part is within its own limit.
func TestMessageSizeLimit(t *testing.T) {
	for in, ok := range map[string]bool{
		"OPTIONS * RTSP/1.0\r\nX: " + strings.Repeat("a", 150) + "\r\n\r\n":                                                   true,
		"OPTIONS * RTSP/1.0\r\nX: " + strings.Repeat("a", 150) + "\r\nY: " + strings.Repeat("a", 150) + "\r\n\r\n":            false,
		"OPTIONS * RTSP/1.0\r\nContent-Length: 100\r\n\r\n" + strings.Repeat("a", 100):                                        true,
		"OPTIONS * RTSP/1.0\r\nX: " + strings.Repeat("a", 150) + "\r\nContent-Length: 100\r\n\r\n" + strings.Repeat("a", 100): false,
	} {
		c := NewConn(readOnlyConn{nil, strings.NewReader(in)}, Limits{MessageBytes: 256, BufferBytes: 512})
		if _, _, err := c.Next(); (err == nil) != ok {
			t.Errorf("%.60q: %v", in, err)
		}
	}
}

// The bytes after a message must reveal a Content-Length that is too small.
func TestOutOfSync(t *testing.T) {
	const m = "RTSP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	for rest, outOfSync := range map[string]bool{
		"": false, "\r\n": false, "RTSP/1.0 200 OK\r\n": false, "RTSP": false, "RTSP/1.0": false, "TEARDOWN rtsp://x RTSP/1.0\r\n": false, "ANNOU": false, "SET_PARAM": false,
		"=IN IP4\r\n": true, "m=video 1": true, "8": true, "31000 RTP/AVP": true, "\r\nc=IN": true, "RTSP/x.y 200": true, "NOT A START LINE\r\n": true,
	} {
		c := NewConn(readOnlyConn{nil, strings.NewReader(m + rest)}, Limits{})
		if _, _, err := c.Next(); err != nil || c.OutOfSync() != outOfSync {
			t.Errorf("%q out of sync: %v, %v", rest, !outOfSync, err)
		}
	}
}
