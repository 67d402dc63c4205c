// Package faults provides a TCP network that injects the failures that Linux documents for its system calls, reproducibly
// from a seed: dials and accepts that fail for lack of local resources, unreachable peers, short reads, and reads and
// writes that fail. Trials put it between a node and the operating system.
package faults

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Rates holds the probability of each fault per operation, from 0 to 1.
type Rates struct {
	Accept     float64 // an accept fails; the connection stays in the listen queue
	DialLocal  float64 // a dial fails for lack of local resources
	DialRemote float64 // a dial fails because the peer is unreachable
	ShortRead  float64 // a read returns at most maxShortRead bytes
	Disconnect float64 // a read or write fails and closes the connection
}

// DefaultRates leave most requests without a fault.
var DefaultRates = Rates{Accept: 0.02, DialLocal: 0.03, DialRemote: 0.02, ShortRead: 0.2, Disconnect: 0.0005}

// localErrors are errors of connect(2) and socket(2) with a local cause, which say nothing about the peer.
var localErrors = []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENETUNREACH, syscall.EINTR}

// remoteErrors are errors of connect(2) caused by the peer or the path to it.
var remoteErrors = []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH}

// acceptErrors are errors of accept(2) after which the caller may try again.
var acceptErrors = []syscall.Errno{syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM}

// disconnectErrors are errors that end an established connection.
var disconnectErrors = []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET}

// acceptPause is the delay before an injected accept error, as when a connection has to wait for a free descriptor.
const acceptPause = 5 * time.Millisecond

// maxShortRead is the largest number of bytes that a short read returns.
const maxShortRead = 7

// Network opens TCP connections and injects faults into them. It is safe for concurrent use.
type Network struct {
	rates Rates
	mu    sync.Mutex
	rand  *rand.Rand
}

// New returns a network that draws its faults from the seed.
func New(seed uint64, rates Rates) *Network {
	return &Network{rates: rates, rand: rand.New(rand.NewPCG(seed, 0x5fa0))}
}

// chance returns true with probability p.
func (n *Network) chance(p float64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rand.Float64() < p
}

// pick returns a random element of errnos.
func (n *Network) pick(errnos []syscall.Errno) syscall.Errno {
	n.mu.Lock()
	defer n.mu.Unlock()
	return errnos[n.rand.IntN(len(errnos))]
}

// intN returns a random number in [0, k).
func (n *Network) intN(k int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rand.IntN(k)
}

// Listen listens on a TCP address; accepting on the listener may fail.
func (n *Network) Listen(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &listener{l, n}, nil
}

// Dial opens a TCP connection that may fail, now or later.
func (n *Network) Dial(ctx context.Context, addr string) (net.Conn, error) {
	switch {
	case n.chance(n.rates.DialLocal):
		return nil, n.dialError(n.pick(localErrors))
	case n.chance(n.rates.DialRemote):
		return nil, n.dialError(n.pick(remoteErrors))
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &conn{TCPConn: c.(*net.TCPConn), network: n, disconnectProbability: n.rates.Disconnect}, nil
}

func (n *Network) dialError(e syscall.Errno) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", e)}
}

type listener struct {
	net.Listener
	network *Network
}

// Accept fails at the rate Accept, without taking a connection off the queue. With ECONNABORTED a real system would drop
// the connection, as its client has aborted it.
func (l *listener) Accept() (net.Conn, error) {
	if l.network.chance(l.network.rates.Accept) {
		time.Sleep(acceptPause)
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.network.pick(acceptErrors))}
	}
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{TCPConn: c.(*net.TCPConn), network: l.network}, nil
}

// conn is a connection with injected faults. Data written through its raw descriptor bypasses them.
type conn struct {
	*net.TCPConn
	network               *Network
	disconnectProbability float64 // 0 for accepted connections, where the checker can't tell a fault from a close by the node
}

// disconnect resets the connection and returns the error for op.
func (c *conn) disconnect(op string) error {
	c.TCPConn.SetLinger(0)
	c.TCPConn.Close()
	return &net.OpError{Op: op, Net: "tcp", Err: os.NewSyscallError(op, c.network.pick(disconnectErrors))}
}

// Read may return only a few bytes, or end the connection.
func (c *conn) Read(b []byte) (int, error) {
	switch {
	case c.network.chance(c.disconnectProbability):
		return 0, c.disconnect("read")
	case len(b) > 1 && c.network.chance(c.network.rates.ShortRead):
		b = b[:1+c.network.intN(min(len(b)-1, maxShortRead))]
	}
	return c.TCPConn.Read(b)
}

// Write may end the connection after a part of the data.
func (c *conn) Write(b []byte) (int, error) {
	if len(b) > 0 && c.network.chance(c.disconnectProbability) {
		k, err := c.TCPConn.Write(b[:c.network.intN(len(b))])
		if err != nil {
			return k, err
		}
		return k, c.disconnect("write")
	}
	return c.TCPConn.Write(b)
}
