package measure

import (
	"encoding/binary"
	"fmt"
	"net"
	"sync"

	"rainhaven/internal/rtsp"
)

// fullSpeedSource is an RTSP server that sends frames as fast as its clients read them.
type fullSpeedSource struct {
	listener   net.Listener
	address    string
	goroutines sync.WaitGroup
	mu         sync.Mutex
	conns      map[net.Conn]struct{} // removed as they close
}

// listenFullSpeed starts a source on a free port of 127.0.0.1.
func listenFullSpeed() (*fullSpeedSource, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &fullSpeedSource{listener: l, address: l.Addr().String(), conns: map[net.Conn]struct{}{}}
	f.goroutines.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			f.mu.Lock()
			f.conns[c] = struct{}{}
			f.mu.Unlock()
			f.goroutines.Go(func() {
				f.serve(c)
				c.Close()
				f.mu.Lock()
				delete(f.conns, c)
				f.mu.Unlock()
			})
		}
	})
	return f, nil
}

// close closes the listener and all connections and waits for them.
func (f *fullSpeedSource) close() {
	f.listener.Close()
	f.mu.Lock()
	for c := range f.conns {
		c.Close()
	}
	f.mu.Unlock()
	f.goroutines.Wait()
}

// serve answers all requests and sends frames of 1,400 bytes from a PLAY to the next request.
func (f *fullSpeedSource) serve(n net.Conn) {
	c := rtsp.NewConn(n, rtsp.Limits{})
	var stop, stopped chan struct{}
	stopSending := func() {
		if stop != nil {
			close(stop)
			<-stopped
			stop = nil
		}
	}
	defer stopSending()
	defer n.Close()
	for {
		m, _, err := c.Next()
		if err != nil {
			return
		}
		if m == nil {
			continue
		}
		stopSending() // there is only one writer at a time
		r := rtsp.NewResponse(m, rtsp.OK).WithHeader("Session", "flat").WithHeader("Transport", "RTP/AVP/TCP;unicast;interleaved=0-1")
		if _, err := n.Write(r.Append(nil)); err != nil {
			return
		}
		if m.Method == rtsp.Play {
			stop, stopped = make(chan struct{}), make(chan struct{})
			go sendFrames(n, stop, stopped)
		}
	}
}

// sendFrames sends frames until stop is closed or the connection fails, and closes stopped when it returns.
func sendFrames(n net.Conn, stop, stopped chan struct{}) {
	defer close(stopped)
	var buf []byte
	payload := make([]byte, 1388+12)
	payload[0], payload[1] = 0x80, 96
	for seq := uint16(0); ; {
		select {
		case <-stop:
			return
		default:
		}
		buf = buf[:0]
		for range 40 {
			seq++
			binary.BigEndian.PutUint16(payload[2:], seq)
			binary.BigEndian.PutUint32(payload[4:], uint32(seq)*90)
			buf = rtsp.AppendFrame(buf, 0, payload)
		}
		if _, err := n.Write(buf); err != nil {
			return
		}
	}
}

// String returns a one-line summary of the row.
func (r Row) String() string {
	return fmt.Sprintf("%d playing: +%.2f ms at the median, relay %.2f of direct", r.Sessions, r.FrontP50-r.DirectP50, r.ThroughputRatio)
}
