package front_test

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"rainhaven/internal/lab/player"
)

// exhaustedListener fails the first Accept calls with EMFILE, as when the process is out of file descriptors.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int32
}

func (s *exhaustedListener) Accept() (net.Conn, error) {
	if s.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return s.Listener.Accept()
}

// When Accept fails for lack of file descriptors, the front retries without a busy loop and accepts viewers again later.
func TestOutOfDescriptors(t *testing.T) {
	b := newHarness(t, 1, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &exhaustedListener{Listener: l}
	s.failures.Store(5)
	served := make(chan error, 1)
	go func() { served <- b.Serve(s) }()
	w := b.request("clips")
	w.Address = l.Addr().String()
	if seen, err := player.Watch(context.Background(), w); err != nil || seen.Status != 200 {
		t.Errorf("%+v %v", seen, err)
	}
	if n := s.failures.Load(); n < -3 {
		t.Errorf("%d Accept calls for one viewer", 5-n)
	}
	b.checkRules()
	b.Close()
	if err := <-served; err != nil {
		t.Error(err)
	}
}
