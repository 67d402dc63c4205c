package box

import (
	"encoding/binary"
	"strconv"
	"time"

	"rainhaven/internal/rtsp"
)

// injectRandomFault injects one random fault into the handling of a request. handled reports that the request needs no
// further processing, keepConn that its connection stays open. Called with the box locked.
func (b *Box) injectRandomFault(c *conn, m *rtsp.Message) (keepConn, handled bool) {
	faults := 10
	if m.Method != rtsp.Setup || m.Session() != "" {
		faults = 7 // only first SETUPs get the other faults, which would end established sessions too often
	}
	switch b.rand.IntN(faults) {
	case 0: // slow reply, on this connection only
		wait := time.NewTimer(time.Duration((0.05 + 1.5*b.rand.Float64()*b.rand.Float64()) * 1e9))
		defer wait.Stop()
		b.mu.Unlock()
		select {
		case <-wait.C:
		case <-b.quit:
		}
		b.mu.Lock()
		return true, b.down || c.closed
	case 1: // reply with a wrong CSeq
		c.alterReply = func(r *rtsp.Message) *rtsp.Message { return r.WithHeader("CSeq", strconv.Itoa(r.CSeq()+1000)) }
	case 2: // reply with a wrong session
		if m.Session() != "" {
			c.alterReply = func(r *rtsp.Message) *rtsp.Message { return r.WithHeader("Session", "another") }
		}
	case 3: // duplicate reply
		c.alterReply = func(r *rtsp.Message) *rtsp.Message {
			c.sendQueue.PushMessage(r.Append(nil))
			return r
		}
	case 4: // frames before the reply, one of them on a channel that was never set up
		p := make([]byte, 40)
		p[0], p[1] = 0x80, 96
		binary.BigEndian.PutUint32(p[8:], 7)
		c.sendQueue.PushFrame(77, p, nil)
		c.sendQueue.PushFrame(0, p[:5], nil)
		c.sendQueue.Flush()
	case 5: // error reply
		b.reply(c, m, rtsp.NewResponse(m, rtsp.InternalError))
		return true, true
	case 6: // malformed load report
		c.alterReply = func(r *rtsp.Message) *rtsp.Message { return r.WithHeader("Load-Report", "link=9e99, uplink=;;\"") }
	case 7: // refused as full
		b.counts.FullReplies++
		b.reply(c, m, rtsp.NewResponse(m, rtsp.NotEnoughBandwidth))
		return true, true
	case 8: // connection reset
		reset(c.socket)
		return false, true
	case 9: // truncated reply
		c.alterReply = func(r *rtsp.Message) *rtsp.Message {
			all := r.Append(nil)
			c.sendQueue.PushMessage(all[:len(all)/2])
			return nil
		}
	}
	return true, false
}
