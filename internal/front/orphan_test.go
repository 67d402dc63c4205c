package front_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"rainhaven/internal/lab/box"
	"rainhaven/internal/lab/player"
	"rainhaven/internal/rtsp"
	"rainhaven/internal/settings"
)

// keepSessions has boxes keep sessions whose connection has ended for longer than a test waits.
func keepSessions(_ *settings.Config, site *box.Config) { site.DisconnectGrace = 60 }

// The connection to a box is reset while a viewer's TEARDOWN is out on it: the box gets the TEARDOWN over another connection. The
// session held its seat until the box's own timeout.
func TestLostTeardownIsRepeated(t *testing.T) {
	b := newHarness(t, 1, keepSessions)
	c := b.dial()
	r, err := c.RoundTrip(b.setup("1", ""), 5*time.Second, nil)
	if err != nil || r.Status != 200 {
		t.Fatal(r, err)
	}
	b.boxes[0].HoldAnswers()
	tearDown := rtsp.NewRequest(rtsp.TearDown, "rtsp://"+b.addr+"/clips/vents").WithHeader("CSeq", "2").WithHeader("Session", r.Session())
	if _, err := c.Write(tearDown.Append(nil)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond) // the TEARDOWN is at the box
	b.boxes[0].ResetConnections()
	time.Sleep(100 * time.Millisecond) // the box drops what it has not answered
	b.boxes[0].Resume()
	b.eventually("the box has no session", func() bool { return b.boxes[0].Sessions() == 0 })
	b.checkRules()
}

// A box sets up a session after its SETUP was cancelled, and can't be reached for a moment: the session is torn down as soon as it
// can. One dial was tried, and the session was left to the box's own timeout.
func TestOrphanAtABoxThatIsUnreachable(t *testing.T) {
	var failures atomic.Int32
	var dialer net.Dialer
	b := newHarnessWithDial(t, 1, keepSessions, func(ctx context.Context, address string) (net.Conn, error) {
		if failures.Add(-1) >= 0 {
			return nil, errors.New("unreachable")
		}
		return dialer.DialContext(ctx, "tcp", address)
	})
	b.boxes[0].HoldAnswers()
	if seen, err := player.Watch(context.Background(), b.request("clips")); seen.Status != 503 {
		t.Fatalf("%+v %v", seen, err)
	}
	failures.Store(3)
	b.boxes[0].Resume()
	b.eventually("the orphaned session is torn down", func() bool { return metric(b, "rainhaven_orphans_total", "torn down") == 1 })
	if b.boxes[0].Sessions() != 0 || failures.Load() > 0 {
		t.Errorf("%d sessions at the box, %d dials were to fail before", b.boxes[0].Sessions(), failures.Load())
	}
}
