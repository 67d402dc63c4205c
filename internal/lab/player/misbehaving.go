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

// MisbehaviorKinds is how many kinds of broken clients there are.
const MisbehaviorKinds = 8

// Misbehave is one visit of a broken client. What it gets is its own affair; others must not notice.
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
	case 1: // half a request
		fmt.Fprintf(c, "SETUP %s RTSP/1.0\r\nCSeq: 1\r\nTrans", url)
	case 2: // header lines without end
		fmt.Fprintf(c, "SETUP %s RTSP/1.0\r\nCSeq: 1\r\n%s", url, strings.Repeat("X: y\r\n", 10000))
	case 3: // frames on channels never set up
		for i := range 50 {
			c.Write(rtsp.AppendFrame(nil, byte(i), make([]byte, 30)))
		}
	case 4: // no RTSP at all
		fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	case 5: // within sessions that are not there
		for i := range 30 {
			fmt.Fprintf(c, "PLAY %s RTSP/1.0\r\nCSeq: %d\r\nSession: none\r\n\r\n", url, i)
		}
	case 6: // a frame that says it is longer than it is
		c.Write([]byte{'$', 0, 0xff, 0xff, 1, 2, 3})
	case 7: // no transport that is served
		fmt.Fprintf(c, "SETUP %s RTSP/1.0\r\nCSeq: 1\r\nTransport: RTP/AVP;unicast;client_port=5000-5001\r\n\r\n", url)
	case 8: // silence
	}
	relay.DiscardInput(c, 300*time.Millisecond)
}
