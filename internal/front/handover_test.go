package front_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"rainhaven/internal/front"
	"rainhaven/internal/rtsp"
)

// The first connections to a box fail as a front takes over a session: it goes on as soon as one comes up. It ended with the first
// failure.
func TestHandedOverWhileABoxIsUnreachable(t *testing.T) {
	b := newHarness(t, 1, keepSessions)
	url := "rtsp://" + b.addr + "/clips/vents"
	c := b.dial()
	r, err := c.RoundTrip(b.setup("1", ""), 5*time.Second, nil)
	if err != nil || r.Status != 200 {
		t.Fatal(r, err)
	}
	id := r.Session()
	if r, err = c.RoundTrip(rtsp.NewRequest(rtsp.Play, url).WithHeader("CSeq", "2").WithHeader("Session", id), 5*time.Second, nil); err != nil || r.Status != 200 {
		t.Fatal(r, err)
	}
	var failures atomic.Int32
	failures.Store(2)
	next, err := front.New(b.config, front.Options{Handover: b.HandOver(), Dial: func(ctx context.Context, address string) (net.Conn, error) {
		if failures.Add(-1) >= 0 {
			return nil, errors.New("unreachable")
		}
		return net.Dial("tcp", address)
	}})
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go next.Serve(l)
	b.addr = l.Addr().String()
	d := b.dial()
	if r, err = d.RoundTrip(rtsp.NewRequest(rtsp.Play, url).WithHeader("CSeq", "1").WithHeader("Session", id), 5*time.Second, nil); err != nil || r.Status != 200 {
		t.Fatal(r, err)
	}
	if n := b.boxes[0].Counts().Setups; n != 1 {
		t.Errorf("%d SETUPs at the box, want 1", n)
	}
}
