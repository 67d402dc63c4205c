package front

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/dunglas/httpsfv"
	"go.uber.org/zap"

	"rainhaven/choice"
	"rainhaven/choice/delivery"
	"rainhaven/choice/limits"
	"rainhaven/choice/pool"
	"rainhaven/internal/relay"
	"rainhaven/internal/rtsp"
)

// boxConn is a connection to a box. It carries one session, probe, DESCRIBE or TEARDOWN of an orphan at a time.
type boxConn struct {
	f  *Front
	id pool.ConnID
	pool.Endpoint
	conn   *rtsp.Conn
	out    *relay.Queue
	stream atomic.Pointer[relay.Stream]

	// Owned by the loop.
	cseq       int
	pending    map[int]func(*rtsp.Message) // callbacks by CSeq; called with nil if the connection ends first
	session    *frontSession
	attempt    int
	boxSession string // session id at the box
	rung       int    // requested last
	// tearDownURL is the URL of the session whose TEARDOWN is unanswered; empty if there is none.
	tearDownURL string
	cancelled   bool
	closed      bool
}

// read handles messages and media frames from a box until the connection ends.
func (c *boxConn) read() error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		m, frame, err := c.conn.Next()
		if err != nil {
			return err
		}
		if m == nil {
			if s := c.stream.Load(); s != nil {
				now := time.Since(c.f.startedAt)
				s.Queue().AwaitRoom(len(frame.Raw), int64(now), timer, time.Duration(limits.QueueFullWait*1e9))
				s.ForwardFrame(now, frame.Channel, frame.Payload())
				if !c.conn.FrameBuffered() {
					s.Queue().Flush()
				}
			} else {
				c.f.metrics.stray.Inc()
			}
			continue
		}
		c.f.post(func() { c.handleMessage(m) })
	}
}

// send sends a request and calls onAnswer with its answer, or with nil if the connection ends first.
func (c *boxConn) send(m *rtsp.Message, onAnswer func(*rtsp.Message)) {
	c.cseq++
	m.WithHeader("CSeq", strconv.Itoa(c.cseq)).WithHeader("User-Agent", "rainhaven/"+c.f.config().Name)
	c.pending[c.cseq] = onAnswer
	if err := c.out.PushMessage(m.Append(nil)); err != nil {
		c.close()
	}
}

// handleMessage handles a message from a box in the loop.
func (c *boxConn) handleMessage(m *rtsp.Message) {
	if m.IsRequest() {
		status := rtsp.MethodNotAllowed
		if m.Method == rtsp.Options || m.Method == rtsp.GetParameter && len(m.Body) == 0 {
			status = rtsp.OK
		}
		c.out.PushMessage(rtsp.NewResponse(m, status).Append(nil))
		return
	}
	onAnswer, ok := c.pending[m.CSeq()]
	if !ok || m.Session() != "" && c.boxSession != "" && m.Session() != c.boxSession {
		c.f.metrics.stray.Inc()
		c.f.log.Info("answer from a box matches no request", zap.Uint32("box", uint32(c.Box)), zap.Int("cseq", m.CSeq()))
		return
	}
	delete(c.pending, m.CSeq())
	onAnswer(m)
}

func (c *boxConn) close() {
	c.conn.Close()
	c.out.Close()
}

// release returns the connection to the pool, or closes it if the pool doesn't keep it or answers are pending.
func (c *boxConn) release() {
	c.session, c.boxSession = nil, ""
	c.stream.Store(nil)
	if c.closed || len(c.pending) > 0 || !c.f.isListed(c.Endpoint) || !c.f.pool.Put(c.Endpoint, c.id, c.f.now()) {
		c.close()
	}
}

// releaseOrClose returns the connection to the pool if it is clean, else closes it.
func (c *boxConn) releaseOrClose(clean bool) {
	if clean {
		c.release()
		return
	}
	c.session = nil
	c.stream.Store(nil)
	c.close()
}

func (f *Front) handleBoxClosed(c *boxConn, err error) {
	c.closed = true
	delete(f.boxConns, c.id)
	f.pool.Closed(c.Endpoint, c.id)
	if c.cancelled {
		f.lateAnswers--
	}
	pending := c.pending
	c.pending = map[int]func(*rtsp.Message){}
	for cseq := 1; cseq <= c.cseq && len(pending) > 0; cseq++ {
		if onAnswer, ok := pending[cseq]; ok {
			delete(pending, cseq)
			onAnswer(nil)
		}
	}
	if c.tearDownURL != "" { // the box may not have received the TEARDOWN
		f.tearDownOrphan(c.Endpoint, c.tearDownURL, c.boxSession)
	}
	if sess := c.session; sess != nil && f.connOf[sess.id] == c {
		delete(f.connOf, sess.id)
		f.log.Info("connection to a box broke", zap.Uint32("box", uint32(c.Box)), zap.String("session", string(sess.id)), zap.Error(err))
		f.table.BoxFailed(sess.id, c.attempt)
	}
}

// loadReport returns the load that a box reports in a message; none if the box is not listed at the connection's address any more.
func (c *boxConn) loadReport(m *rtsp.Message) choice.LoadReport {
	if !c.f.isListed(c.Endpoint) {
		return noReport
	}
	return parseLoadReport(m)
}

// noReport is a load report that states no load.
var noReport = choice.LoadReport{Link: -1, Uplink: -1}

// parseLoadReport parses a Load-Report header: an RFC 8941 dictionary with the members link and uplink. Missing or invalid
// values become -1.
func parseLoadReport(m *rtsp.Message) choice.LoadReport {
	d, err := httpsfv.UnmarshalDictionary(m.Header["Load-Report"])
	if err != nil {
		return noReport
	}
	member := func(name string) (x float64, capped bool) {
		v, ok := d.Get(name)
		item, one := v.(httpsfv.Item)
		if !ok || !one {
			return -1, false
		}
		if item.Params != nil {
			_, capped = item.Params.Get("capped")
		}
		switch n := item.Value.(type) {
		case float64:
			return n, capped
		case int64:
			return float64(n), capped
		}
		return -1, false
	}
	link, capped := member("link")
	uplink, _ := member("uplink")
	return delivery.SanitizeReport(link, uplink, capped)
}
