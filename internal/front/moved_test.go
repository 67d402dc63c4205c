package front_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"rainhaven/internal/lab/player"
	"rainhaven/internal/settings"
)

// listOnly reloads the settings with box 1 alone, at the address of one of the boxes.
func (b *harness) listOnly(at int) {
	b.t.Helper()
	config := b.config
	config.Boxes = []settings.Box{b.config.Boxes[0]}
	config.Boxes[0].Address = b.boxes[at].Address
	if plan, err := b.Reload(config); err != nil || len(plan.Rejections) > 0 {
		b.t.Fatalf("%+v %v", plan, err)
	}
}

// expectSetups checks how many SETUPs the two boxes have got.
func (b *harness) expectSetups(first, second int64) {
	b.t.Helper()
	if x, y := b.boxes[0].Counts().Setups, b.boxes[1].Counts().Setups; x != first || y != second {
		b.t.Errorf("%d SETUPs at the first address and %d at the second, want %d and %d", x, y, first, second)
	}
}

// watchOnce watches a session to its end.
func (b *harness) watchOnce() {
	b.t.Helper()
	if seen, err := player.Watch(context.Background(), b.request("clips")); err != nil || seen.Status != 200 {
		b.t.Errorf("%+v %v", seen, err)
	}
}

// A reload gives a box another address: new sessions go there, although connections to the old address are kept, and one that plays at
// the old address goes on. All new sessions went on to the old address.
func TestReloadGivesABoxAnotherAddress(t *testing.T) {
	b := newHarness(t, 2, nil)
	b.listOnly(0)
	playing := make(chan struct{})
	ended := make(chan player.Result, 1)
	go func() {
		w := b.request("clips")
		w.WatchSeconds = 2
		started := false
		w.OnProgress = func(player.Result) {
			if !started {
				started = true
				close(playing)
			}
		}
		seen, err := player.Watch(context.Background(), w)
		if err != nil {
			t.Error(err)
		}
		ended <- seen
	}()
	<-playing
	b.watchOnce() // leaves a connection in the pool
	b.expectSetups(2, 0)
	b.listOnly(1)
	for range 3 {
		b.watchOnce()
	}
	b.expectSetups(2, 3)
	if seen := <-ended; seen.Status != 200 || seen.Interrupted {
		t.Errorf("the session that played: %+v", seen)
	}
}

// A box gets another address while a connection to the old one is being opened: the SETUP that waits for it goes to the new address.
func TestBoxMovesWhileItIsBeingDialled(t *testing.T) {
	dialling, release := make(chan struct{}), make(chan struct{})
	var dials atomic.Int64
	b := newHarnessWithDial(t, 2, nil, func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", address)
		if dials.Add(1) == 1 {
			close(dialling)
			<-release
		}
		return c, err
	})
	b.listOnly(0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.watchOnce()
	}()
	<-dialling
	b.listOnly(1)
	close(release)
	<-done
	b.expectSetups(0, 1)
}

// A reload lists a new box at the address of one that is gone: its sessions get connections of their own, although one to the box that is
// gone is kept.
func TestNewBoxAtAnOldAddress(t *testing.T) {
	var dials atomic.Int64
	b := newHarnessWithDial(t, 2, nil, func(ctx context.Context, address string) (net.Conn, error) {
		dials.Add(1)
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address)
	})
	b.listOnly(0)
	b.watchOnce() // leaves a connection in the pool
	config := b.config
	config.Boxes = []settings.Box{b.config.Boxes[1]}
	config.Boxes[0].Address = b.boxes[0].Address
	if plan, err := b.Reload(config); err != nil || len(plan.Rejections) > 0 {
		t.Fatalf("%+v %v", plan, err)
	}
	b.watchOnce()
	b.expectSetups(2, 0)
	if n := dials.Load(); n != 2 {
		t.Errorf("%d connections for the session of each box", n)
	}
}
