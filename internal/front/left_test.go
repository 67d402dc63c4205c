package front_test

import (
	"fmt"
	"testing"
	"time"

	"rainhaven/choice/limits"
	"rainhaven/internal/lab/box"
	"rainhaven/internal/rtsp"
	"rainhaven/internal/settings"
)

// A viewer pipelines many SETUPs and closes its connection before any is answered: only those that the front had read by then, as many as
// it reads without an answer, were sent to a box. All of what it had read ahead was sent, as answers came.
func TestSetupsOfAViewerThatLeft(t *testing.T) {
	const (
		setups  = 60
		watched = time.Second // several times a box's answer
	)
	b := newHarness(t, 8, func(_ *settings.Config, site *box.Config) { site.SetupTime = 0.3 })
	c := b.dial()
	var out []byte
	for i := range setups {
		m := rtsp.NewRequest(rtsp.Setup, "rtsp://"+b.addr+"/clips/vents/track0").WithHeader("CSeq", fmt.Sprint(i+1)).WithHeader("Transport", "RTP/AVP/TCP")
		out = m.Append(out)
	}
	if _, err := c.Write(out); err != nil {
		t.Fatal(err)
	}
	b.eventually("SETUPs have arrived", func() bool { return b.setupsAtBoxes() > 0 })
	c.Close()
	time.Sleep(watched)
	if n := b.setupsAtBoxes(); n > limits.MaxPipelined {
		t.Errorf("%d SETUPs for a viewer that left while %d were unanswered", n, limits.MaxPipelined)
	}
	b.eventually("no session is left", func() bool { // at boxes either
		n := b.Sessions()
		for _, x := range b.boxes {
			n += x.Sessions()
		}
		return n == 0
	})
}

// setupsAtBoxes returns how many SETUPs all boxes have got.
func (b *harness) setupsAtBoxes() (all int64) {
	for _, x := range b.boxes {
		all += x.Counts().Setups
	}
	return all
}
