package front

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"rainhaven/choice"
	"rainhaven/choice/limits"
	"rainhaven/choice/pool"
	"rainhaven/internal/relay"
	"rainhaven/internal/rtsp"
)

// connect passes an idle or new connection to a box, at the address where it is listed, to onConn, or nil if there is none. onConn runs
// in the loop, after the actions in progress.
func (f *Front) connect(ctx context.Context, box choice.ServerID, onConn func(*boxConn)) {
	f.connectTo(ctx, pool.Endpoint{Box: box, Address: f.addresses[box]}, onConn)
}

// connectTo is connect for a box at an address where it may be listed no more: only connections that are open are used then.
func (f *Front) connectTo(ctx context.Context, at pool.Endpoint, onConn func(*boxConn)) {
	if id, ok := f.pool.Get(at); ok {
		c := f.boxConns[id]
		f.deferred = append(f.deferred, func() { onConn(c) })
		return
	}
	if !f.isListed(at) || !f.pool.Reserve(at) {
		f.deferred = append(f.deferred, func() { onConn(nil) })
		return
	}
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		dialCtx, cancel := context.WithTimeout(ctx, time.Duration(f.config().Limits.ConnectTimeout*1e9))
		defer cancel()
		raw, err := f.dial(dialCtx, at.Address)
		f.post(func() { f.dialed(ctx, at, raw, err, onConn) })
		if err == nil {
			select {
			case <-f.done: // the loop may have ended before it received the connection
				raw.Close()
			default:
			}
		}
	}()
}

// dialed handles the end of an attempt to connect. If the box has another address by now, it is connected to there.
func (f *Front) dialed(ctx context.Context, at pool.Endpoint, raw net.Conn, err error, onConn func(*boxConn)) {
	switch {
	case err == nil && f.isListed(at):
		onConn(f.startBoxConn(at, raw))
		return
	case err == nil:
		raw.Close()
	default:
		f.log.Debug("connecting to a box failed", zap.Uint32("box", uint32(at.Box)), zap.Error(err))
	}
	f.pool.Closed(at, 0)
	if f.isListed(at) {
		onConn(nil)
		return
	}
	f.connect(ctx, at.Box, onConn)
}

// isListed reports whether a box is listed at an address.
func (f *Front) isListed(at pool.Endpoint) bool {
	return at.Address != "" && f.addresses[at.Box] == at.Address
}

// startBoxConn starts the goroutines of a new connection to a box.
func (f *Front) startBoxConn(at pool.Endpoint, raw net.Conn) *boxConn {
	f.lastConnID++
	c := &boxConn{f: f, id: pool.ConnID(f.lastConnID), Endpoint: at, conn: rtsp.NewConn(raw, rtsp.Limits{LineBytes: 2048}),
		out: relay.NewQueue(0), pending: map[int]func(*rtsp.Message){}}
	f.boxConns[c.id] = c
	f.wg.Add(2)
	go func() {
		defer f.wg.Done()
		err := c.out.Run(raw, 2*time.Second)
		if t, ok := raw.(interface{ CloseWrite() error }); ok && err == nil {
			t.CloseWrite()
			wait := time.Duration(limits.LateAnswerWait * 1e9)
			if f.closing.Load() {
				wait = 200 * time.Millisecond
			}
			raw.SetReadDeadline(time.Now().Add(wait))
			return
		}
		raw.Close()
	}()
	go func() {
		defer f.wg.Done()
		err := c.read()
		raw.Close()
		c.out.Close()
		f.post(func() { f.handleBoxClosed(c, err) })
	}()
	return c
}
