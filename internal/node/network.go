package node

import (
	"context"
	"net"
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
