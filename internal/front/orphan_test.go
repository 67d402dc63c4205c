package front_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"

	"rainhaven/internal/lab/box"
	"rainhaven/internal/lab/player"
	"rainhaven/internal/settings"
)

// keepSessions has boxes keep sessions whose connection has ended for longer than a test waits.
func keepSessions(_ *settings.Config, site *box.Config) { site.DisconnectGrace = 60 }

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
