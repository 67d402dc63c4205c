package node

import (
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"rainhaven/choice/share"
)

// Network opens and accepts a node's connections. It is the system's, or one that fails as the system may.
type Network interface {
	Listen(addr string) (net.Listener, error)
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// systemNetwork is the system's own.
type systemNetwork struct{}

func (systemNetwork) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

func (systemNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// localErrors are the errors of socket(2), bind(2) and connect(2) that tell of the own machine only: no descriptor, port,
// memory or route is left, or it may not be used. Nothing has left, and they say nothing of the peer.
var localErrors = []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EAGAIN, syscall.EINTR}

// isLocalError tells whether a connection could not be opened for want of something of the own machine's.
func isLocalError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(localErrors, errno)
}

// listenWithRetry listens on an address. One that is still another process's, as just after a restart, and what the own machine lacks
// for a moment are tried again for a while; a signal to end ends that.
func (n *Node) listenWithRetry(addr string, signals <-chan os.Signal) (net.Listener, error) {
	for startedAt := time.Now(); ; {
		l, err := n.network.Listen(addr)
		if err == nil || !isLocalError(err) || time.Since(startedAt).Seconds() > share.ListenTimeout {
			return l, err
		}
		select {
		case <-signals:
			return nil, err
		case <-time.After(listenRetryPause):
		}
	}
}

// listenRetryPause lies between two tries to listen.
const listenRetryPause = 20 * time.Millisecond
