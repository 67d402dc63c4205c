package front_test

import (
	"fmt"
	"testing"
	"time"

	"rainhaven/internal/rtsp"
)

// sessionSetup returns a SETUP of a track within a session, with channels of its own.
func (b *harness) sessionSetup(cseq, track int, session string, channel int) *rtsp.Message {
	m := b.trackSetup(cseq, track).WithHeader("Session", session)
	return m.WithHeader("Transport", fmt.Sprintf("RTP/AVP/TCP;interleaved=%d-%d", channel, channel+1))
}

// A viewer asks for the track that its session has, ten times in one write: each request is refused, and the session keeps its track. The
// front's process ended with a panic, as the refusal of one of them deleted the track that all share the number of.
func TestSetupOfATrackThatTheSessionHas(t *testing.T) {
	const repeats = 10
	b := newHarness(t, 1, nil)
	c := b.dial()
	first, err := c.RoundTrip(b.trackSetup(1, 0), 5*time.Second, nil)
	if err != nil || first.Status != rtsp.OK {
		t.Fatal(first, err)
	}
	var out []byte
	refused := make([]int, repeats)
	for i := range repeats {
		out = b.sessionSetup(2+i, 0, first.Session(), 10+2*i).Append(out)
		refused[i] = rtsp.NotValidInThisState
	}
	c.Write(out)
	checkResponses(t, c, 2, refused)
	// Its channels are still its own, and the other track can be set up; PLAY then names both.
	cseq := 2 + repeats
	taken := b.trackSetup(cseq, 1).WithHeader("Transport", "RTP/AVP/TCP;interleaved=2-3")
	c.Write(taken.Append(nil))
	checkResponses(t, c, cseq, []int{rtsp.UnsupportedTransport})
	c.Write(b.sessionSetup(cseq+1, 1, first.Session(), 4).Append(nil))
	checkResponses(t, c, cseq+1, []int{rtsp.OK})
	play := rtsp.NewRequest(rtsp.Play, "rtsp://"+b.addr+"/clips/vents").WithHeader("CSeq", fmt.Sprint(cseq+2)).WithHeader("Session", first.Session())
	heard := map[byte]bool{}
	if r, err := c.RoundTrip(play, 5*time.Second, nil); err != nil || r.Status != rtsp.OK {
		t.Fatal(r, err)
	}
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	for !heard[2] || !heard[4] {
		_, frame, err := c.Next()
		if err != nil {
			t.Fatalf("media on channels %v: %v", heard, err)
		}
		heard[frame.Channel] = true
	}
	// A playing session keeps its track too.
	c.Write(b.sessionSetup(cseq+3, 0, first.Session(), 20).Append(nil))
	checkResponses(t, c, cseq+3, []int{rtsp.NotValidInThisState})
	c.Close()
	b.checkRules()
}

// A refused SETUP of a second track takes nothing from the first one, and may be repeated.
func TestRefusedTrackLeavesTheOther(t *testing.T) {
	b := newHarness(t, 1, nil)
	c := b.dial()
	first, err := c.RoundTrip(b.trackSetup(1, 1), 5*time.Second, nil)
	if err != nil || first.Status != rtsp.OK {
		t.Fatal(first, err)
	}
	play := rtsp.NewRequest(rtsp.Play, "rtsp://"+b.addr+"/clips/vents").WithHeader("CSeq", "2").WithHeader("Session", first.Session())
	if r, err := c.RoundTrip(play, 5*time.Second, nil); err != nil || r.Status != rtsp.OK {
		t.Fatal(r, err)
	}
	for cseq := 3; cseq < 6; cseq++ { // refused while the session plays
		r, err := c.RoundTrip(b.sessionSetup(cseq, 0, first.Session(), 8), 5*time.Second, nil)
		if err != nil || r.Status != rtsp.NotValidInThisState {
			t.Fatal(r, err)
		}
	}
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	for {
		_, frame, err := c.Next()
		if err != nil {
			t.Fatal(err)
		}
		if frame.Channel == 2 {
			break
		}
	}
	c.Close()
	b.checkRules()
}
