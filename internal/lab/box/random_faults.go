package box

import (
	"encoding/binary"
	"strconv"
	"time"

	"rainhaven/internal/rtsp"
)

// injectRandomFault does a random wrong to one request. done tells that it is dealt with, on that its connection goes on. Called
// locked.
func (b *Box) injectRandomFault(c *conn, m *rtsp.Message) (keepConn, handled bool) {
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
		c.alterReply = func(r *rtsp.Message) *rtsp.Message { return r.WithHeader("CSeq", strconv.Itoa(r.CSeq()+1000)) }
	case 2: // or another session
		if m.Session() != "" {
			c.alterReply = func(r *rtsp.Message) *rtsp.Message { return r.WithHeader("Session", "another") }
		}
	case 3: // it comes twice
		c.alterReply = func(r *rtsp.Message) *rtsp.Message {
			c.sendQueue.PushMessage(r.Append(nil))
			return r
		}
	case 4: // frames come before it, one on a channel that was never set up
		p := make([]byte, 40)
		p[0], p[1] = 0x80, 96
		binary.BigEndian.PutUint32(p[8:], 7)
		c.sendQueue.PushFrame(77, p, nil)
		c.sendQueue.PushFrame(0, p[:5], nil)
		c.sendQueue.Flush()
	case 5: // an error
		b.reply(c, m, rtsp.NewResponse(m, rtsp.InternalError))
		return true, true
	case 6: // the load report is nonsense
		c.alterReply = func(r *rtsp.Message) *rtsp.Message { return r.WithHeader("Load-Report", "link=9e99, uplink=;;\"") }
	case 7: // full
		b.counts.FullReplies++
		b.reply(c, m, rtsp.NewResponse(m, rtsp.NotEnoughBandwidth))
		return true, true
	case 8: // the connection breaks
		reset(c.socket)
		return false, true
	case 9: // half an answer, and no more
		c.alterReply = func(r *rtsp.Message) *rtsp.Message {
			all := r.Append(nil)
			c.sendQueue.PushMessage(all[:len(all)/2])
			return nil
		}
	}
	return true, false
}
