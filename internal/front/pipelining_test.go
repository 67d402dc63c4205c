package front_test

import (
	"fmt"
	"testing"
	"time"

	"rainhaven/internal/rtsp"
)

// networkDelay is the time that a message takes each way in these tests.
const networkDelay = 1200 * time.Microsecond

// trackSetup returns a SETUP of a track of the title, without a Session header.
func (b *harness) trackSetup(cseq, track int) *rtsp.Message {
	return rtsp.NewRequest(rtsp.Setup, fmt.Sprintf("rtsp://%s/clips/vents/track%d", b.addr, track)).WithHeader("CSeq", fmt.Sprint(cseq)).
		WithHeader("Transport", fmt.Sprintf("RTP/AVP/TCP;interleaved=%d-%d", 2*cseq, 2*cseq+1))
}

// Pipelined requests that arrive one after another over a network, the later ones after the answer to the first was sent: they belong
// to one session. The second SETUP was taken for a session of its own, which nobody asked for, and PLAY then named neither.
func TestPipelinedOverANetwork(t *testing.T) {
	const plays = 15
	b := newHarness(t, 1, nil)
	url := "rtsp://" + b.addr + "/clips/vents"
	for range plays {
		c := b.dial()
		for _, m := range []*rtsp.Message{b.trackSetup(1, 0), b.trackSetup(2, 1), rtsp.NewRequest(rtsp.Play, url).WithHeader("CSeq", "3"),
			rtsp.NewRequest(rtsp.TearDown, url).WithHeader("CSeq", "4")} {
			c.Write(m.Append(nil))
			time.Sleep(networkDelay)
		}
		checkResponses(t, c, 1, []int{200, 200, 200, 200})
		c.Close()
	}
	b.checkRules()
	if n := b.boxes[0].Counts().Setups; n != plays {
		t.Errorf("%d SETUPs for %d sessions", n, plays)
	}
}

// A SETUP without a Session header opens a session of its own once the viewer has named the first one, or has had time to.
func TestSetupOfAViewerThatKnowsItsSession(t *testing.T) {
	for name, learn := range map[string]func(b *harness, c *rtsp.Conn, id string) error{
		"it has named it": func(b *harness, c *rtsp.Conn, id string) error {
			m := rtsp.NewRequest(rtsp.GetParameter, "rtsp://"+b.addr+"/clips/vents").WithHeader("CSeq", "2").WithHeader("Session", id)
			_, err := c.RoundTrip(m, 5*time.Second, nil)
			return err
		},
		"it has had time to": func(*harness, *rtsp.Conn, string) error {
			time.Sleep(1100 * time.Millisecond)
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t, 1, nil)
			c := b.dial()
			first, err := c.RoundTrip(b.trackSetup(1, 0), 5*time.Second, nil)
			if err != nil || first.Status != 200 {
				t.Fatal(first, err)
			}
			if err := learn(b, c, first.Session()); err != nil {
				t.Fatal(err)
			}
			second, err := c.RoundTrip(b.trackSetup(3, 1), 5*time.Second, nil)
			if err != nil || second.Status != 200 || second.Session() == first.Session() {
				t.Errorf("%+v %v", second, err)
			}
			c.Close()
			b.checkRules()
			if n := b.boxes[0].Counts().Setups; n != 2 {
				t.Errorf("%d SETUPs for two sessions", n)
			}
		})
	}
}
