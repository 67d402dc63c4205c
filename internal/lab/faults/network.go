// Package faults is a network that fails as Linux documents that its system calls may, by a seed: connections that can't be
// made or accepted for want of the machine's own resources, peers that can't be reached, reads of a few bytes, reads and
// writes that end in an error. It stands between a front node and the system in trials.
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

// Rates are the chances of each fault, from 0 to 1.
type Rates struct {
	Accept     float64 // an accepted connection is reported as an error and closed, as ECONNABORTED
	DialLocal  float64 // a dial fails for want of the own machine's resources
	DialRemote float64 // a dial fails as the peer can't be reached
	ShortRead  float64 // a read gives a few bytes only
	Disconnect float64 // a read or write ends in an error, and the connection with it
}

// DefaultRates are rates at which most requests still meet no fault.
var DefaultRates = Rates{Accept: 0.02, DialLocal: 0.03, DialRemote: 0.02, ShortRead: 0.2, Disconnect: 0.0005}

// localErrors are errors of connect(2) and socket(2) that say nothing of the peer.
var localErrors = []syscall.Errno{syscall.EADDRNOTAVAIL, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENETUNREACH, syscall.EINTR}

// remoteErrors are errors of connect(2) that the peer or the way to it caused.
var remoteErrors = []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH}

// acceptErrors are errors of accept(2) after which it may be called again.
var acceptErrors = []syscall.Errno{syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM}

// disconnectErrors end a connection that stood.
var disconnectErrors = []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET}

// acceptPause is how long an accept that fails for want of descriptors leaves the connection waiting.
const acceptPause = 5 * time.Millisecond

// maxShortRead is how many bytes a short read gives at most.
const maxShortRead = 7

// Network is a network with faults. It is safe for concurrent use.
type Network struct {
	rates Rates
	mu    sync.Mutex
	rand  *rand.Rand
}

// New makes a network whose faults follow from the seed.
func New(seed uint64, rates Rates) *Network {
	return &Network{rates: rates, rand: rand.New(rand.NewPCG(seed, 0x5fa0))}
}

func (n *Network) chance(p float64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rand.Float64() < p
}

func (n *Network) pick(list []syscall.Errno) syscall.Errno {
	n.mu.Lock()
	defer n.mu.Unlock()
	return list[n.rand.IntN(len(list))]
}

func (n *Network) intN(k int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rand.IntN(k)
}

// Listen listens on a TCP address.
func (n *Network) Listen(addr string) (net.Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &listener{l, n}, nil
}

// Dial opens a TCP connection.
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
	return &conn{TCPConn: c.(*net.TCPConn), n: n, disconnectRate: n.rates.Disconnect}, nil
}

func (n *Network) dialError(e syscall.Errno) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", e)}
}

type listener struct {
	net.Listener
	n *Network
}

// Accept fails now and then, and leaves the connection in the queue, but for ECONNABORTED, which its client has caused.
func (l *listener) Accept() (net.Conn, error) {
	if l.n.chance(l.n.rates.Accept) {
		time.Sleep(acceptPause)
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.n.pick(acceptErrors))}
	}
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{TCPConn: c.(*net.TCPConn), n: l.n}, nil
}

// conn is a connection that may break. What is written through its raw descriptor does not.
type conn struct {
	*net.TCPConn
	n              *Network
	disconnectRate float64 // 0 for accepted ones: whoever judges could not tell such a break from a close of the node's
}

func (c *conn) disconnect(op string) error {
	c.TCPConn.SetLinger(0)
	c.TCPConn.Close()
	return &net.OpError{Op: op, Net: "tcp", Err: os.NewSyscallError(op, c.n.pick(disconnectErrors))}
}

// Read gives a few bytes only now and then, or ends the connection.
func (c *conn) Read(b []byte) (int, error) {
	switch {
	case c.n.chance(c.disconnectRate):
		return 0, c.disconnect("read")
	case len(b) > 1 && c.n.chance(c.n.rates.ShortRead):
		b = b[:1+c.n.intN(min(len(b)-1, maxShortRead))]
	}
	return c.TCPConn.Read(b)
}

// Write ends the connection now and then, after a part of the bytes.
func (c *conn) Write(b []byte) (int, error) {
	if len(b) > 0 && c.n.chance(c.disconnectRate) {
		k, err := c.TCPConn.Write(b[:c.n.intN(len(b))])
		if err != nil {
			return k, err
		}
		return k, c.disconnect("write")
	}
	return c.TCPConn.Write(b)
}
