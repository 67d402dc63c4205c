package rtsp

import (
	"net"
	"testing"
	"time"
)

// acceptedPair returns the two ends of a TCP connection.
func acceptedPair(t *testing.T) (accepted, dialled *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	d, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	a, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.Close(); d.Close() })
	return a.(*net.TCPConn), d.(*net.TCPConn)
}

// The end of a connection is known although what came before it is unread; the end of this side's output alone is none.
func TestPeerClosed(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(accepted, dialled *net.TCPConn)
		want bool
	}{
		"open":                {func(_, _ *net.TCPConn) {}, false},
		"closed by the peer":  {func(_, d *net.TCPConn) { d.Close() }, true},
		"half-closed by it":   {func(_, d *net.TCPConn) { d.CloseWrite() }, true},
		"reset by the peer":   {func(_, d *net.TCPConn) { d.SetLinger(0); d.Close() }, true},
		"half-closed by this": {func(a, _ *net.TCPConn) { a.CloseWrite() }, false},
		"closed by this":      {func(a, _ *net.TCPConn) { a.Close() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			a, d := acceptedPair(t)
			if _, err := d.Write(make([]byte, 1000)); err != nil {
				t.Fatal(err)
			}
			c.end(a, d)
			got := PeerClosed(a)
			for end := time.Now().Add(time.Second); got != c.want && time.Now().Before(end); got = PeerClosed(a) {
				time.Sleep(time.Millisecond)
			}
			if got != c.want {
				t.Errorf("PeerClosed is %v", got)
			}
		})
	}
}
