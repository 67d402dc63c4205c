//go:build !linux

package rtsp

import "net"

// PeerClosed reports whether the peer of a TCP connection has closed its side or reset it. It is false, as this system can't tell while
// input is unread.
func PeerClosed(net.Conn) bool { return false }
