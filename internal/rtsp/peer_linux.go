package rtsp

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// TCP states of a connection whose peer has closed its side or reset it (linux, net/tcp_states.h).
const (
	tcpTimeWait  = 6
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
	tcpClosing   = 11
)

// PeerClosed reports whether the peer of a TCP connection has closed its side or reset it, or this side is closed, even if input that
// came before is still unread. It is false where the system can't tell.
func PeerClosed(c net.Conn) bool {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok { // of TLS
		c = t.NetConn()
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		return true // closed on this side
	}
	if infoErr != nil {
		return false
	}
	switch info.State {
	case tcpTimeWait, tcpClose, tcpCloseWait, tcpLastAck, tcpClosing:
		return true
	}
	return false
}
