package front_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"strings"
	"testing"
	"time"

	"rainhaven/choice/auth"
	"rainhaven/internal/lab/box"
	"rainhaven/internal/lab/player"
	"rainhaven/internal/rtsp"
	"rainhaven/internal/settings"
)

func TestPipelinedInOneWrite(t *testing.T) {
	b := newHarness(t, 1, nil)
	c := b.dial()
	url := "rtsp://" + b.addr + "/clips/vents"
	var all []byte
	all = b.setup("1", "/track0").Append(all)
	all = rtsp.NewRequest(rtsp.Setup, url+"/track1").WithHeader("CSeq", "2").WithHeader("Transport", "RTP/AVP/TCP;interleaved=6-7").Append(all)
	all = rtsp.NewRequest(rtsp.Play, url).WithHeader("CSeq", "3").Append(all)
	all = rtsp.NewRequest(rtsp.TearDown, url).WithHeader("CSeq", "4").Append(all)
	if _, err := c.Write(all); err != nil {
		t.Fatal(err)
	}
	for want := 1; want <= 4; {
		m, _, err := c.Next()
		if err != nil {
			t.Fatal(err)
		}
		if m == nil {
			continue
		}
		if m.CSeq() != want || m.Status != 200 {
			t.Fatalf("response %d: CSeq %d, %d %s", want, m.CSeq(), m.Status, m.Reason)
		}
		want++
	}
	b.checkRules()
	if n := b.boxes[0].Counts().Setups; n != 1 {
		t.Errorf("%d SETUPs for one session", n)
	}
}

func TestPauseAndSeek(t *testing.T) {
	b := newHarness(t, 1, nil)
	c := b.dial()
	url := "rtsp://" + b.addr + "/clips/vents"
	r, err := c.RoundTrip(b.setup("1", ""), 5*time.Second, nil)
	if err != nil || r.Status != 200 {
		t.Fatal(r, err)
	}
	id, cseq := r.Session(), 1
	var last uint16
	var jumps, frames int
	countFrame := func(m *rtsp.Message, f rtsp.Frame) {
		if m == nil && f.Channel == 0 {
			p := f.Payload()
			if seq := uint16(p[2])<<8 | uint16(p[3]); frames > 0 && seq != last+1 {
				jumps++
				last = seq
			} else {
				last = seq
			}
			frames++
		}
	}
	do := func(method, rng string, want int) *rtsp.Message {
		cseq++
		m := rtsp.NewRequest(method, url).WithHeader("CSeq", fmt.Sprint(cseq)).WithHeader("Session", id)
		if rng != "" {
			m.WithHeader("Range", rng)
		}
		r, err := c.RoundTrip(m, 5*time.Second, countFrame)
		if err != nil || r.Status != want {
			t.Fatalf("%s %s: %v %v", method, rng, r, err)
		}
		return r
	}
	readFrames := func() {
		for n := frames + 10; frames < n; {
			m, f, err := c.Next()
			if err != nil {
				t.Fatal(err)
			}
			countFrame(m, f)
		}
	}
	do(rtsp.Pause, "", rtsp.NotValidInThisState)
	do(rtsp.Play, "npt=0-", 200)
	c.SetDeadline(time.Now().Add(10 * time.Second))
	readFrames()
	do(rtsp.Pause, "", 200)
	do(rtsp.Play, "smpte=1-", rtsp.InvalidRange)
	do(rtsp.Play, "npt=100-", 200)
	readFrames()
	do(rtsp.GetParameter, "", 200)
	do(rtsp.TearDown, "", 200)
	do(rtsp.Play, "", rtsp.SessionNotFound)
	cseq++
	m := rtsp.NewRequest(rtsp.Options, "*").WithHeader("CSeq", fmt.Sprint(cseq)).WithHeader("Connection", "close")
	if r, err := c.RoundTrip(m, 5*time.Second, countFrame); err != nil || r.Header.Get("Connection") != "close" {
		t.Errorf("%v %v", r, err)
	}
	if _, _, err := c.Next(); err == nil {
		t.Error("connection stays open after Connection: close")
	}
	if jumps > 0 {
		t.Errorf("%d sequence jumps in %d frames", jumps, frames)
	}
	b.checkRules()
}

// RTP-Info in the response to a seek names the first frame after it by the sequence number and timestamp that the viewer
// receives, even with earlier frames still in flight.
func TestSeekNamesItsFirstFrame(t *testing.T) {
	b := newHarness(t, 1, func(_ *settings.Config, site *box.Config) { site.FPS = 1000 })
	c := b.dial()
	url := "rtsp://" + b.addr + "/clips/vents"
	r, err := c.RoundTrip(b.setup("1", ""), 5*time.Second, nil)
	if err != nil || r.Status != 200 {
		t.Fatal(r, err)
	}
	id, got := r.Session(), map[uint16]uint32{}
	look := func(m *rtsp.Message, f rtsp.Frame) {
		if p := f.Payload(); m == nil && f.Channel == 0 {
			got[binary.BigEndian.Uint16(p[2:])] = binary.BigEndian.Uint32(p[4:])
		}
	}
	for n := range 50 {
		m := rtsp.NewRequest(rtsp.Play, url).WithHeader("CSeq", fmt.Sprint(2+n)).WithHeader("Session", id).WithHeader("Range", fmt.Sprintf("npt=%d-", n*37%200))
		r, err := c.RoundTrip(m, 5*time.Second, look)
		if err != nil || r.Status != 200 {
			t.Fatal(r, err)
		}
		list, err := rtsp.ParseRTPInfo(r.Header.Get("Rtp-Info"))
		if err != nil || len(list) != 1 {
			t.Fatal(list, err)
		}
		c.SetDeadline(time.Now().Add(5 * time.Second))
		for want := len(got) + n%4 + 1; len(got) < want || got[list[0].Seq] == 0; {
			m, f, err := c.Next()
			if err != nil {
				t.Fatalf("seek %d: frame %d not received: %v", n, list[0].Seq, err)
			}
			look(m, f)
		}
		if ts := got[list[0].Seq]; ts != list[0].RTPTime {
			t.Errorf("seek %d: frame %d has timestamp %d, RTP-Info has %d", n, list[0].Seq, ts, list[0].RTPTime)
		}
	}
	c.Close()
	b.checkRules()
}

func TestWhatAFrontTurnsDown(t *testing.T) {
	b := newHarness(t, 1, nil)
	tcp := "RTP/AVP/TCP;unicast;interleaved=0-1"
	base := "rtsp://" + b.addr
	for name, c := range map[string]struct {
		in     string
		status int
	}{
		"no such title":    {"SETUP " + base + "/clips/none RTSP/1.0\r\nCSeq: 1\r\nTransport: " + tcp + "\r\n\r\n", 404},
		"no such group":    {"SETUP " + base + "/none/vents RTSP/1.0\r\nCSeq: 1\r\nTransport: " + tcp + "\r\n\r\n", 404},
		"no such track":    {"SETUP " + base + "/clips/vents/track9 RTSP/1.0\r\nCSeq: 1\r\nTransport: " + tcp + "\r\n\r\n", 404},
		"UDP only":         {"SETUP " + base + "/clips/vents RTSP/1.0\r\nCSeq: 1\r\nTransport: RTP/AVP;client_port=5-6\r\n\r\n", 461},
		"other version":    {"OPTIONS * RTSP/2.0\r\nCSeq: 1\r\n\r\n", 505},
		"no CSeq":          {"OPTIONS * RTSP/1.0\r\n\r\n", 400},
		"required feature": {"OPTIONS * RTSP/1.0\r\nCSeq: 1\r\nRequire: magic\r\n\r\n", 551},
		"unknown session":  {"PLAY " + base + "/clips/vents RTSP/1.0\r\nCSeq: 1\r\nSession: x\r\n\r\n", 454},
		"recording":        {"RECORD " + base + "/clips/vents RTSP/1.0\r\nCSeq: 1\r\nSession: x\r\n\r\n", 405},
		"no such method":   {"DANCE * RTSP/1.0\r\nCSeq: 1\r\n\r\n", 501},
		"broken":           {"SETUP\r\n\r\n", 400},
		"10,000 headers":   {"PLAY x RTSP/1.0\r\nCSeq: 5\r\n" + strings.Repeat("A: b\r\n", 10000) + "\r\n", 413},
		"parameters":       {"SET_PARAMETER " + base + "/clips/vents RTSP/1.0\r\nCSeq: 1\r\nContent-Length: 2\r\n\r\na:", 451},
		"options":          {"OPTIONS * RTSP/1.0\r\nCSeq: 1\r\n\r\n", 200},
		"alive":            {"GET_PARAMETER * RTSP/1.0\r\nCSeq: 1\r\n\r\n", 200},
	} {
		t.Run(name, func(t *testing.T) {
			conn := b.dial()
			go conn.Write([]byte(c.in))
			m, _, err := conn.Next()
			if err != nil || m.Status != c.status {
				t.Fatalf("%+v %v, want %d", m, err, c.status)
			}
		})
	}
	// A frame on an unknown channel and an incomplete request don't affect other viewers.
	c := b.dial()
	c.Write(append(rtsp.AppendFrame(nil, 9, []byte("stray")), "SETUP rtsp"...))
	c.Close()
	if _, err := player.Watch(context.Background(), b.request("clips")); err != nil {
		t.Error(err)
	}
	b.checkRules()
}

func TestDescriptionsComeFromHolders(t *testing.T) {
	for name, c := range map[string]struct {
		do     func(b *harness)
		status int
	}{
		"both well":               {func(*harness) {}, 200},
		"one lies":                {func(b *harness) { b.boxes[0].InvalidDescriptions(true) }, 200},
		"one hangs":               {func(b *harness) { b.boxes[1].HoldAnswers() }, 200},
		"one is down":             {func(b *harness) { b.boxes[0].Kill() }, 200},
		"one lies, another hangs": {func(b *harness) { b.boxes[0].InvalidDescriptions(true); b.boxes[1].HoldAnswers() }, 504},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 2, nil)
			c.do(b)
			var all []*rtsp.Conn
			for range 4 { // concurrent requests share one fetch
				x := b.dial()
				x.Write(rtsp.NewRequest(rtsp.Describe, "rtsp://"+b.addr+"/clips/vents").WithHeader("CSeq", "1").Append(nil))
				all = append(all, x)
			}
			for _, x := range all {
				m, _, err := x.Next()
				if err != nil || m.Status != c.status || c.status == 200 && !strings.Contains(string(m.Body), "a=control:track1") {
					t.Fatalf("%+v %v", m, err)
				}
			}
			if n := metric(b, "rainhaven_descriptions_total", "taken"); c.status == 200 && n != 1 {
				t.Errorf("%v descriptions fetched for four viewers, want 1", n)
			}
			for _, x := range b.boxes {
				x.Resume()
			}
			b.checkRules()
		})
	}
}

// Receiver reports reach the box. A flood of frames is dropped and doesn't delay other viewers.
func TestViewersFrames(t *testing.T) {
	b := newHarness(t, 1, nil)
	c := b.dial()
	url := "rtsp://" + b.addr + "/clips/vents"
	r, err := c.RoundTrip(b.setup("1", ""), 5*time.Second, nil)
	if err != nil || r.Status != 200 {
		t.Fatal(r, err)
	}
	id := r.Session()
	if r, err = c.RoundTrip(rtsp.NewRequest(rtsp.Play, url).WithHeader("CSeq", "2").WithHeader("Session", id), 5*time.Second, nil); err != nil || r.Status != 200 {
		t.Fatal(r, err)
	}
	rr := []byte{0x80, 201, 0, 1, 0, 0, 0, 9}
	c.Write(rtsp.AppendFrame(nil, 1, rr))
	b.eventually("the report has reached the box", func() bool { return b.boxes[0].Counts().ReceivedFrames == 1 })
	var flood []byte
	for range 20000 {
		flood = rtsp.AppendFrame(flood, 1, rr)
	}
	go c.Write(flood)
	if seen, err := player.Watch(context.Background(), b.request("clips")); err != nil || seen.AnswerSeconds > 1 {
		t.Errorf("%+v %v", seen, err)
	}
	b.eventually("the flood is counted", func() bool { return metric(b, "rainhaven_stray_total", "") > 15000 })
	if n := b.boxes[0].Counts().ReceivedFrames; n > 200 {
		t.Errorf("%d frames reached the box", n)
	}
	c.Close()
	b.checkRules()
}

func TestOnlyUsersEnter(t *testing.T) {
	b := newHarness(t, 1, func(config *settings.Config, _ *box.Config) {
		config.Realm, config.Users = "r", []auth.User{{Name: "lena", Password: "pw"}}
	})
	for _, alg := range []string{"SHA-256", "MD5"} {
		w := b.request("clips")
		w.User, w.DigestAlgorithm, w.Tracks = &auth.User{Name: "lena", Password: "pw"}, alg, 2
		if seen, err := player.Watch(context.Background(), w); err != nil || seen.Status != 200 {
			t.Errorf("%s: %+v %v", alg, seen, err)
		}
	}
	w := b.request("clips")
	w.User = &auth.User{Name: "lena", Password: "guess"}
	if seen, _ := player.Watch(context.Background(), w); seen.Status != 401 {
		t.Errorf("wrong password: %+v", seen)
	}
	c := b.dial()
	for n := 1; ; n++ { // repeated wrong credentials close the connection
		m := b.setup(fmt.Sprint(n), "").WithHeader("Authorization", `Digest username="lena", realm="r", nonce="x"`)
		r, err := c.RoundTrip(m, 5*time.Second, nil)
		if err != nil {
			break
		}
		if r.Status != 401 || n > 20 {
			t.Fatalf("attempt %d: status %d", n, r.Status)
		}
	}
	if n := b.boxes[0].Counts().Setups; n != 2 {
		t.Errorf("%d SETUPs at the box", n)
	}
	b.checkRules()
}
