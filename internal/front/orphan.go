package front

import (
	"time"

	"go.uber.org/zap"

	"rainhaven/choice/limits"
	"rainhaven/choice/pool"
	"rainhaven/internal/rtsp"
)

// orphan is a session at a box that belongs to no viewer: the box set it up after its SETUP was cancelled, or its TEARDOWN was lost
// with its connection.
type orphan struct {
	at        pool.Endpoint
	url       string
	session   string  // its id at the box
	expiresAt float64 // when the attempts to tear it down end
}

// tearDownOrphan tears down an orphaned session over another connection than its own. An attempt that finds no connection, or loses
// it, is repeated for limits.OrphanTimeout; after that the session is left to the box's own timeout.
func (f *Front) tearDownOrphan(at pool.Endpoint, url, session string) {
	if f.orphans++; f.orphans > limits.MaxOrphans {
		f.orphanEnded(orphanLeft)
		return
	}
	f.tryOrphan(orphan{at: at, url: url, session: session, expiresAt: f.now() + limits.OrphanTimeout})
}

// tryOrphan makes one attempt to tear down an orphaned session.
func (f *Front) tryOrphan(o orphan) {
	f.connectTo(f.ctx, o.at, func(c *boxConn) {
		if c == nil {
			f.retryOrphan(o)
			return
		}
		timer := time.AfterFunc(orphanAnswerTimeout, func() { f.post(c.close) })
		c.send(rtsp.NewRequest(rtsp.TearDown, o.url).WithHeader("Session", o.session), func(m *rtsp.Message) {
			timer.Stop()
			if m == nil {
				f.retryOrphan(o)
				return
			}
			f.orphanEnded(orphanTornDown)
			c.releaseOrClose(pool.Reusable(m.Status, true))
		})
	})
}

// retryOrphan repeats an attempt after a pause, unless its time is over or the box is not listed there any more.
func (f *Front) retryOrphan(o orphan) {
	if !f.isListed(o.at) || f.now()+limits.OrphanRetryInterval > o.expiresAt {
		f.orphanEnded(orphanLeft)
		f.log.Info("an orphaned session is left at its box", zap.Uint32("box", uint32(o.at.Box)))
		return
	}
	time.AfterFunc(time.Duration(limits.OrphanRetryInterval*1e9), func() { f.post(func() { f.tryOrphan(o) }) })
}

// orphanAnswerTimeout bounds the wait for a box's answer to one attempt.
const orphanAnswerTimeout = 2 * time.Second

// Results of tearing down an orphaned session, as counted by its metric.
const (
	orphanTornDown = "torn down"
	orphanLeft     = "left"
)

func (f *Front) orphanEnded(result string) {
	f.orphans--
	f.metrics.orphans.WithLabelValues(result).Inc()
}
