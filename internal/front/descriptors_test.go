package front_test

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"rainhaven/internal/lab/player"
)

// spent is a listener whose process is out of descriptors for the first calls.
type spent struct {
	net.Listener
	left atomic.Int32
}

func (s *spent) Accept() (net.Conn, error) {
	if s.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return s.Listener.Accept()
}

// A front out of descriptors takes viewers again once there are some, and does not spin meanwhile.
func TestOutOfDescriptors(t *testing.T) {
	b := newBench(t, 1, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &spent{Listener: l}
	s.left.Store(5)
	served := make(chan error, 1)
	go func() { served <- b.Serve(s) }()
	w := b.want("clips")
	w.Address = l.Addr().String()
	if seen, err := player.Watch(context.Background(), w); err != nil || seen.Status != 200 {
		t.Errorf("%+v %v", seen, err)
	}
	if n := s.left.Load(); n < -3 {
		t.Errorf("%d calls for one viewer", 5-n)
	}
	b.rules()
	b.Close()
	if err := <-served; err != nil {
		t.Error(err)
	}
}
