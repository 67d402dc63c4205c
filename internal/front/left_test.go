package front_test

import (
	"fmt"
	"testing"
	"time"

	"rainhaven/internal/lab/box"
	"rainhaven/internal/rtsp"
	"rainhaven/internal/settings"
)

// A viewer pipelines many SETUPs and closes its connection: none is sent to a box later than the limit after the close, although the
// front reads on only as earlier ones are answered. All of what had been read ahead was sent to boxes.
func TestSetupsOfAViewerThatLeft(t *testing.T) {
	const (
		setups        = 60
		attemptsUntil = 100 * time.Millisecond // after the close
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
	time.Sleep(20 * time.Millisecond)
	c.Close()
	time.Sleep(attemptsUntil)
	begun := b.setupsAtBoxes()
	if begun == 0 {
		t.Fatal("no SETUP arrived before the close")
	}
	time.Sleep(time.Second)
	if n := b.setupsAtBoxes(); n != begun {
		t.Errorf("%d SETUPs later than %v after the close", n-begun, attemptsUntil)
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
