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

// Network opens and accepts the connections of a node. It is the operating system's, or one that injects the errors
// that the system may return.
type Network interface {
	Listen(addr string) (net.Listener, error)
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// systemNetwork is the network of the operating system.
type systemNetwork struct{}

func (systemNetwork) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

func (systemNetwork) Dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// localErrors are the errors of socket(2), bind(2) and connect(2) that concern only the local machine: no descriptor,
// port, memory or route is available, or its use is not permitted. Nothing was sent, and they show nothing about the
// peer.
var localErrors = []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EAGAIN, syscall.EINTR}

// isLocalError reports whether a connection could not be opened for lack of a local resource.
func isLocalError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(localErrors, errno)
}

// listenWithRetry listens on an address. If another process still holds it, as just after a restart, or a local
// resource is short for a moment, it retries for a while, or until a signal to end arrives.
func (n *Node) listenWithRetry(addr string, signals <-chan os.Signal) (net.Listener, error) {
	for startedAt := time.Now(); ; {
		listener, err := n.network.Listen(addr)
		if err == nil || !isLocalError(err) || time.Since(startedAt).Seconds() > share.ListenTimeout {
			return listener, err
		}
		select {
		case <-signals:
			return nil, err
		case <-time.After(listenRetryPause):
		}
	}
}

// listenRetryPause is the delay between two attempts to listen.
const listenRetryPause = 20 * time.Millisecond
