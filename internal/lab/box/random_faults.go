package box

import (
	"encoding/binary"
	"strconv"
	"time"

	"rainhaven/internal/rtsp"
)

// mischief does a random wrong to one request. done tells that it is dealt with, on that its connection goes on. Called
// locked.
func (b *Box) mischief(c *conn, m *rtsp.Message) (on, done bool) {
	n := 10
	if m.Method != rtsp.Setup || m.Session() != "" {
		n = 7 // a session that plays already: what breaks its connection is rarer
	}
	switch b.rand.IntN(n) {
	case 0: // it takes its time, on this connection only
		wait := time.NewTimer(time.Duration((0.05 + 1.5*b.rand.Float64()*b.rand.Float64()) * 1e9))
		defer wait.Stop()
		b.mu.Unlock()
		select {
		case <-wait.C:
		case <-b.quit:
		}
		b.mu.Lock()
		return true, b.down || c.closed
	case 1: // the answer names another request
		c.twist = func(r *rtsp.Message) *rtsp.Message { return r.WithHeader("CSeq", strconv.Itoa(r.CSeq()+1000)) }
	case 2: // or another session
		if m.Session() != "" {
			c.twist = func(r *rtsp.Message) *rtsp.Message { return r.WithHeader("Session", "another") }
		}
	case 3: // it comes twice
		c.twist = func(r *rtsp.Message) *rtsp.Message {
			c.out.PushMessage(r.Append(nil))
			return r
		}
	case 4: // frames come before it, one on a channel that was never set up
		p := make([]byte, 40)
		p[0], p[1] = 0x80, 96
		binary.BigEndian.PutUint32(p[8:], 7)
		c.out.PushFrame(77, p, nil)
		c.out.PushFrame(0, p[:5], nil)
		c.out.Flush()
	case 5: // an error
		b.reply(c, m, rtsp.NewResponse(m, rtsp.InternalError))
		return true, true
	case 6: // the load report is nonsense
		c.twist = func(r *rtsp.Message) *rtsp.Message { return r.WithHeader("Load-Report", "link=9e99, uplink=;;\"") }
	case 7: // full
		b.counts.FullReplies++
		b.reply(c, m, rtsp.NewResponse(m, rtsp.NotEnoughBandwidth))
		return true, true
	case 8: // the connection breaks
		reset(c.net)
		return false, true
	case 9: // half an answer, and no more
		c.twist = func(r *rtsp.Message) *rtsp.Message {
			all := r.Append(nil)
			c.out.PushMessage(all[:len(all)/2])
			return nil
		}
	}
	return true, false
}
