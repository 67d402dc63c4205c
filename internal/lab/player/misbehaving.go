package player

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"rainhaven/internal/relay"
	"rainhaven/internal/rtsp"
)

// MisbehaviorKinds is the number of kinds of misbehaving clients; kinds count from 1.
const MisbehaviorKinds = 8

// Misbehave connects to a front as one kind of misbehaving client. It ignores the replies; the front must keep serving other
// clients undisturbed.
func Misbehave(ctx context.Context, address, group, title string, kind int) {
	d := net.Dialer{Timeout: time.Second}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Second))
	url := rtsp.Resource{Host: address, Group: group, Title: title, Track: -1}.URL()
	switch kind {
	case 1: // truncated request
		fmt.Fprintf(c, "SETUP %s RTSP/1.0\r\nCSeq: 1\r\nTrans", url)
	case 2: // endless header
		fmt.Fprintf(c, "SETUP %s RTSP/1.0\r\nCSeq: 1\r\n%s", url, strings.Repeat("X: y\r\n", 10000))
	case 3: // frames on channels that were never set up
		for i := range 50 {
			c.Write(rtsp.AppendFrame(nil, byte(i), make([]byte, 30)))
		}
	case 4: // not RTSP
		fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	case 5: // requests in a session that does not exist
		for i := range 30 {
			fmt.Fprintf(c, "PLAY %s RTSP/1.0\r\nCSeq: %d\r\nSession: none\r\n\r\n", url, i)
		}
	case 6: // frame shorter than its length field says
		c.Write([]byte{'$', 0, 0xff, 0xff, 1, 2, 3})
	case 7: // unsupported transport
		fmt.Fprintf(c, "SETUP %s RTSP/1.0\r\nCSeq: 1\r\nTransport: RTP/AVP;unicast;client_port=5000-5001\r\n\r\n", url)
	case 8: // no data
	}
	relay.DiscardInput(c, 300*time.Millisecond)
}
