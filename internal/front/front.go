// Package front implements a running front. It accepts RTSP requests from viewers, passes events to choice/session and
// carries out the actions that package requests. One event loop owns the session table: connections, timers and box
// lists send it events, and actions are plain calls that never block. Media bypasses the loop (package relay).
//
// Events and the choice.Front methods that they lead to (docs/program.md maps the events to their tests):
//
//	first SETUP of a viewer                       RequestSession
//	viewer disconnects                            RequestClosed, or SetupEnded(Served, final) once the box has answered TEARDOWN
//	box answers SETUP with 2xx                    SessionEstablished, then LoadNote with the values of its Load-Report
//	box answers SETUP with 453 or 503             SetupEnded(Full): it never ran
//	box answers SETUP with another status         SetupEnded(ServerError): it may have run
//	no connection to the box                      SetupEnded(NoConnection): it never ran
//	box removed from the list before SETUP left   SetupEnded(Unsent)
//	connection breaks while SETUP is pending      SetupEnded(Reset): it may have run
//	SETUP times out                               SetupEnded(TimedOut), and the SETUP is cancelled
//	connection breaks in an established session   SetupEnded(Reset, final)
//	TEARDOWN answered                             SetupEnded(Served, final)
//	new box list                                  UpdateServers
//	share of media time delivered in a second     ShortDelivery, as choice/delivery decides
//	load note in RTCP                             LoadNote, one per box as choice/delivery decides
//	probe answered, failed or timed out           ProbeEnded
//	rung change refused by the box                SetCurrentRung
//	session handed over                           AddHandedOver, SetCurrentRung
//	timer                                         HandleTimer
package front

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"rainhaven/choice"
	"rainhaven/choice/auth"
	"rainhaven/choice/delivery"
	"rainhaven/choice/describe"
	"rainhaven/choice/health"
	"rainhaven/choice/limits"
	"rainhaven/choice/pool"
	"rainhaven/choice/session"
	"rainhaven/internal/rtsp"
	"rainhaven/internal/settings"
)

// Options holds what a front needs besides its settings. The zero value is ready to use.
type Options struct {
	Log         *zap.Logger
	Registry    prometheus.Registerer
	Dial        func(ctx context.Context, address string) (net.Conn, error)
	Snapshot    *choice.Snapshot                      // saved state of an earlier front, as far as it is still valid
	Handover    []HandoverSession                     // sessions handed over by an earlier front
	WrapActions func(session.Actions) session.Actions // wraps the actions, to inject faults in simulations
}

// Front accepts viewers and relays their sessions from boxes. Create it with New and run it with Serve.
type Front struct {
	current     atomic.Pointer[settings.Config] // read by any goroutine, replaced by the loop only
	log         *zap.Logger
	metrics     *metrics
	dial        func(ctx context.Context, address string) (net.Conn, error)
	startedAt   time.Time
	startedUnix float64 // startedAt in seconds since 1970
	events      chan func()
	done        chan struct{} // closed when the loop has returned
	quit        chan struct{} // closed to stop the loop
	quitOnce    sync.Once
	wg          sync.WaitGroup // all goroutines of the front
	ctx         context.Context
	cancel      context.CancelFunc
	serving     atomic.Bool
	mu          sync.Mutex     // guards listeners and frozen
	listeners   []net.Listener // listeners in use by Serve and ServeTLS
	frozen      bool           // set by Freeze; Serve then returns without an error
	closing     atomic.Bool
	openConns   atomic.Int64 // open viewer connections

	// Owned by the loop.
	table            *session.Table
	authenticator    *auth.Authenticator // nil if no users are configured
	authKey          []byte              // key of the authenticator's nonces and of usersDigest
	usersDigest      string              // keyed digest of the configured users
	meter            *delivery.Meter
	pool             *pool.Pool
	addresses        map[choice.ServerID]string      // addresses of listed boxes
	viewers          map[*viewer]struct{}            // removed when the connection closes
	sessions         map[choice.SessID]*frontSession // removed when the session ends
	connOf           map[choice.SessID]*boxConn      // connection of each session to its box; removed on release
	boxConns         map[pool.ConnID]*boxConn        // removed when the connection closes
	descriptions     *describe.Cache
	pendingDescribes map[string][]pendingDescribe // unanswered DESCRIBE requests by title; removed when answered
	lateAnswers      int                          // cancelled SETUPs whose answer is still awaited
	orphans          int                          // sessions that are being torn down by tearDownOrphan
	lastConnID       uint64
	deferred         []func()        // callbacks queued by actions; run by reconcile
	finalSnapshot    choice.Snapshot // set when the loop ends
	onDrained        func()          // called once, when the last session has ended after Drain
}

// maxQueuedEvents is the capacity of the event queue; senders block when it is full.
const maxQueuedEvents = 1024

// New creates a front. It fails if its metrics can't be registered or the system's random source can't be read.
func New(config settings.Config, o Options) (*Front, error) {
	f := &Front{log: o.Log, dial: o.Dial, startedAt: time.Now(), events: make(chan func(), maxQueuedEvents),
		done: make(chan struct{}), quit: make(chan struct{}), addresses: map[choice.ServerID]string{},
		viewers: map[*viewer]struct{}{}, sessions: map[choice.SessID]*frontSession{}, boxConns: map[pool.ConnID]*boxConn{},
		connOf: map[choice.SessID]*boxConn{}}
	if f.log == nil {
		f.log = zap.NewNop()
	}
	f.log = f.log.With(zap.String("front", config.Name))
	if f.dial == nil {
		var d net.Dialer
		f.dial = func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	}
	f.startedUnix = float64(f.startedAt.UnixNano()) / 1e9
	f.ctx, f.cancel = context.WithCancel(context.Background())
	var err error
	if f.metrics, err = newMetrics(o.Registry); err != nil {
		return nil, err
	}
	if config.Choice.Seed == 0 {
		var b [8]byte
		if _, err := rand.Read(b[:]); err != nil {
			return nil, err
		}
		config.Choice.Seed = binary.LittleEndian.Uint64(b[:])
	}
	f.authKey = make([]byte, 32)
	if _, err := rand.Read(f.authKey); err != nil {
		return nil, err
	}
	f.authenticator, f.usersDigest = auth.New(config.Realm, config.Users, f.authKey), digestUsers(&config, f.authKey)
	config.Users = nil // not kept in memory: the authenticator has its own copy
	f.current.Store(&config)
	var actions session.Actions = frontActions{f}
	if o.WrapActions != nil {
		actions = o.WrapActions(actions)
	}
	f.table = session.New(f.now(), config.Choice, f.sessionLimits(), actions)
	f.meter = delivery.New(config.Choice.NoteInterval)
	f.descriptions, f.pendingDescribes = describe.New(config.Choice.Cells), map[string][]pendingDescribe{}
	f.pool = pool.New(config.Limits.MaxBoxConnections)
	f.updateBoxes(true, config.Boxes)
	if o.Snapshot != nil {
		f.table.Restore(*o.Snapshot)
	}
	for _, h := range o.Handover {
		f.addHandedOver(h)
	}
	f.wg.Add(1)
	go f.loop()
	return f, nil
}

func (f *Front) config() *settings.Config { return f.current.Load() }

func (f *Front) sessionLimits() session.Limits {
	config := f.config()
	sessionLimits := session.Limits{MaxSessions: config.Limits.MaxSessions, ViewerIdleTimeout: config.Limits.ViewerIdleTimeout, KeepAliveInterval: config.Limits.KeepAliveInterval}
	for _, g := range config.Groups {
		sessionLimits.SetupTimeout = append(sessionLimits.SetupTimeout, g.SetupTimeout)
	}
	return sessionLimits
}

// now returns the front's clock in seconds since 1970. It is read once at start and monotonic from then on, so that a
// step of the system clock affects no timeout. The clocks of fronts must agree to within a slot of a cold box (choice.Front).
func (f *Front) now() float64 { return f.startedUnix + time.Since(f.startedAt).Seconds() }

// post queues an event for the loop. It blocks while the queue is full and drops the event once the loop has ended.
func (f *Front) post(event func()) {
	select {
	case f.events <- event:
	case <-f.done:
	}
}

// call runs fn in the loop and waits for it to return. It returns false if the loop has ended.
func (f *Front) call(fn func()) bool {
	ran := make(chan struct{})
	f.post(func() {
		fn()
		close(ran)
	})
	select {
	case <-ran:
		return true
	case <-f.done:
		return false
	}
}

// maxBatch bounds the number of further events that the loop handles before it calls reconcile.
const maxBatch = 64

// tickInterval is the interval at which delivery is measured and expired idle connections are closed.
const tickInterval = 250 * time.Millisecond

func (f *Front) loop() {
	defer f.wg.Done()
	defer close(f.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	timerAt := 0.0
	for {
		select {
		case e := <-f.events:
			f.table.SetTime(f.now())
			e()
			f.runQueuedEvents()
		case <-timer.C:
			timerAt = 0
			f.table.SetTime(f.now())
		case <-ticker.C:
			f.table.SetTime(f.now())
			f.measureDelivery()
		case <-f.quit:
			f.table.SetTime(f.now())
			f.runQueuedEvents()
			f.table.EndSessions()
			f.reconcile()
			f.finalSnapshot = f.table.Snapshot()
			f.closeConns()
			return
		}
		if next := f.table.NextWakeup(); next > 0 && next <= f.now() {
			f.table.RunTimers()
		}
		f.reconcile()
		if f.onDrained != nil && f.table.Len() == 0 {
			f.onDrained()
			f.onDrained = nil
		}
		if next := f.table.NextWakeup(); next != timerAt {
			timerAt = next
			wait := time.Hour
			if next > 0 {
				wait = max(time.Duration((next-f.now())*1e9), 0)
			}
			timer.Reset(wait)
		}
	}
}

// runQueuedEvents handles events that are queued already, at most maxBatch.
func (f *Front) runQueuedEvents() {
	for range maxBatch {
		select {
		case e := <-f.events:
			e()
		default:
			return
		}
	}
}

// reconcile runs the table's actions and the callbacks they queue until none is left.
func (f *Front) reconcile() {
	start := time.Now()
	f.table.Reconcile()
	for len(f.deferred) > 0 {
		batch := f.deferred
		f.deferred = nil
		for _, run := range batch {
			run()
		}
		f.table.Reconcile()
	}
	f.metrics.settleSeconds.Observe(time.Since(start).Seconds())
}

// measureDelivery samples the media progress of playing sessions, reports short boxes and closes expired idle
// connections. Sessions limited by a slow viewer are left out, as their progress shows nothing about the box.
func (f *Front) measureDelivery() {
	now := f.now()
	for id, c := range f.connOf {
		if c.session.playing && c.session.stream != nil {
			if !f.isListed(c.Endpoint) || limits.ViewerLimited(time.Since(f.startedAt).Seconds(), float64(c.session.stream.Queue().LastLimitedAt.Load())/1e9) {
				f.meter.Forget(id)
			} else if at, media, ok := c.session.stream.Progress(); ok {
				f.meter.Progress(id, c.Box, now, f.startedUnix+at.Seconds(), media)
			}
		}
	}
	for _, t := range f.meter.Tick(now) {
		f.metrics.shareReports.Inc()
		f.table.ShortDelivery(t.Box, t.Share)
	}
	for _, c := range f.pool.Expired(now) {
		if b := f.boxConns[c]; b != nil {
			b.close()
		}
	}
	f.metrics.sessions.Set(float64(len(f.sessions)))
}

// UpdateBoxes updates the list of boxes: the complete list if full is set, else only changed entries.
func (f *Front) UpdateBoxes(full bool, list []settings.Box) {
	list = slices.Clone(list)
	f.post(func() { f.updateBoxes(full, list) })
}

func (f *Front) updateBoxes(full bool, list []settings.Box) {
	f.table.UpdateBoxes(full, f.storeBoxes(full, list))
}

// storeBoxes updates the front's own box data and returns the listings for the table.
func (f *Front) storeBoxes(full bool, list []settings.Box) []choice.Listing {
	if full {
		clear(f.addresses)
	}
	listings := make([]choice.Listing, len(list))
	for i, b := range list {
		listings[i] = b.Listing
		if f.addresses[b.ID] = b.Address; b.State == choice.Gone {
			delete(f.addresses, b.ID)
		}
	}
	f.descriptions.UpdateBoxes(full, listings)
	return listings
}

// Serve accepts viewers from a listener until Accept fails for good or the front is frozen or closed; in the latter two
// cases it returns nil. Several listeners may be served at once.
func (f *Front) Serve(l net.Listener) error {
	return f.serve(l, func(c net.Conn) net.Conn { return c })
}

// ServeTLS is like Serve, for viewers that connect over TLS.
func (f *Front) ServeTLS(l net.Listener, with *tls.Config) error {
	return f.serve(l, func(c net.Conn) net.Conn { return tls.Server(c, with) })
}

func (f *Front) serve(l net.Listener, wrap func(net.Conn) net.Conn) error {
	f.wg.Add(1)
	defer f.wg.Done()
	if f.ctx.Err() != nil {
		l.Close()
		return nil
	}
	f.mu.Lock()
	f.listeners, f.frozen = append(f.listeners, l), false
	f.mu.Unlock()
	f.serving.Store(true)
	stop := context.AfterFunc(f.ctx, func() { l.Close() })
	defer stop()
	pause := 5 * time.Millisecond
	for {
		c, err := l.Accept()
		if err != nil {
			if f.ctx.Err() != nil {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				f.mu.Lock()
				halted := f.frozen
				f.mu.Unlock()
				if halted {
					return nil
				}
				return err
			}
			// Out of file descriptors, or the connection was aborted before it was accepted: retry with a backoff.
			f.log.Warn("accepting a connection failed", zap.Error(err))
			select {
			case <-time.After(pause):
			case <-f.ctx.Done():
				return nil
			}
			pause = min(2*pause, time.Second)
			continue
		}
		pause = 5 * time.Millisecond
		if n := f.openConns.Add(1); f.config().Limits.MaxConnections > 0 && n > int64(f.config().Limits.MaxConnections) {
			f.openConns.Add(-1)
			f.metrics.rejectedConns.Inc()
			c.Close()
			continue
		}
		f.startViewer(wrap(c))
	}
}

// Drain busy-replies new requests, redirects viewers if the settings name another front, and returns when the last
// session has ended or the context is done.
func (f *Front) Drain(ctx context.Context) {
	drained := make(chan struct{})
	f.post(func() {
		f.table.StopAccepting()
		f.redirectViewers()
		f.onDrained = func() { close(drained) }
	})
	select {
	case <-drained:
	case <-ctx.Done():
	case <-f.done:
	}
}

// redirectViewers sends each viewer with a session a REDIRECT to another front (RFC 2326, section 10.10). Viewers that
// don't support the method continue until the drain ends.
func (f *Front) redirectViewers() {
	if f.config().Redirect == "" {
		return
	}
	for v := range f.viewers {
		for _, id := range slices.Sorted(maps.Keys(v.sessions)) {
			sess := v.sessions[id]
			target := rtsp.Resource{Host: f.config().Redirect, Group: sess.place.Group, Title: sess.place.Title, Track: -1, Query: sess.place.Query}
			v.lastCSeq++
			req := rtsp.NewRequest(rtsp.Redirect, v.presentationURL(sess)).WithHeader("CSeq", strconv.Itoa(v.lastCSeq)).WithHeader("Session", string(id)).WithHeader("Location", target.URL())
			v.out.PushMessage(req.Append(nil))
			f.metrics.redirects.Inc()
		}
	}
}

// Close stops the front: pending requests are answered, sessions torn down and connections closed.
func (f *Front) Close() {
	f.closing.Store(true)
	f.quitOnce.Do(func() { close(f.quit) })
	<-f.done
	f.cancel()
	f.wg.Wait()
}

// Kill stops the front the way a killed process stops: connections break and nothing is answered.
func (f *Front) Kill() {
	f.call(func() {
		for v := range f.viewers {
			v.conn.Close()
		}
		for _, b := range f.boxConns {
			b.conn.Close()
		}
		clear(f.sessions)
		clear(f.viewers)
		f.table = session.New(f.now(), f.config().Choice, session.Limits{SetupTimeout: make([]float64, len(f.config().Groups))}, discardActions{})
	})
	f.Close()
}

// closeConns closes the remaining connections once their queued messages are written. Connections of cancelled SETUPs are
// closed at once.
func (f *Front) closeConns() {
	for v := range f.viewers {
		v.closeAnswered()
	}
	for _, b := range f.boxConns {
		if b.cancelled {
			b.close()
		} else {
			b.out.Finish()
		}
	}
}

// Sessions returns the number of sessions the front holds; 0 once it has ended.
func (f *Front) Sessions() (n int) {
	f.call(func() { n = f.table.Len() })
	return n
}

// Snapshot returns the state the front has learned; ok is false if it has ended.
func (f *Front) Snapshot() (m choice.Snapshot, ok bool) {
	ok = f.call(func() { m = f.table.Snapshot() })
	return m, ok
}

// FinalSnapshot waits for the front to end and returns the state it had learned by then. Boxes were sent nothing but
// ends of sessions after it was taken.
func (f *Front) FinalSnapshot() choice.Snapshot {
	<-f.done
	return f.finalSnapshot
}

// Freeze closes the listeners and sends no further SETUP; sessions continue. It returns the state the front has learned,
// for the process that replaces it and listens on sockets of its own. ok is false if the front has ended.
func (f *Front) Freeze() (m choice.Snapshot, ok bool) {
	f.mu.Lock()
	f.frozen = true
	for _, l := range f.listeners {
		l.Close()
	}
	f.listeners = nil
	f.mu.Unlock()
	ok = f.call(func() { m = f.table.Freeze() })
	return m, ok
}

// Resume accepts SETUPs again after Freeze. Listeners must be passed to Serve again.
func (f *Front) Resume() { f.post(func() { f.table.Resume() }) }

// Restore loads a snapshot. Call it before Serve.
func (f *Front) Restore(m choice.Snapshot) { f.call(func() { f.table.Restore(m) }) }

// HealthFacts collects the facts that choice/health evaluates. LoopResponsive is false if the loop doesn't answer within
// the given time.
func (f *Front) HealthFacts(within time.Duration) (h health.Facts) {
	t := f.config()
	h.MaxSessions, h.StateAge = t.Limits.MaxSessions, -1
	result := make(chan health.Facts, 1)
	timer := time.NewTimer(within)
	defer timer.Stop()
	collect := func() {
		facts := h
		facts.LoopResponsive, facts.Sessions = true, f.table.Len()
		facts.Boxes, facts.Usable = f.table.BoxCounts()
		result <- facts
	}
	select {
	case f.events <- collect:
	case <-f.done:
		return h
	case <-timer.C:
		return h
	}
	select {
	case facts := <-result:
		return facts
	case <-f.done:
	case <-timer.C:
	}
	return h
}

// Ready reports whether the front accepts viewers and its loop answers within the given time.
func (f *Front) Ready(within time.Duration) bool {
	if !f.serving.Load() {
		return false
	}
	ok := make(chan struct{})
	t := time.NewTimer(within)
	defer t.Stop()
	select {
	case f.events <- func() { close(ok) }:
	case <-f.done:
		return false
	case <-t.C:
		return false
	}
	select {
	case <-ok:
		return true
	case <-f.done:
	case <-t.C:
	}
	return false
}

func newSessionID() choice.SessID {
	var b [12]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // the system's random source can't be read
	}
	return choice.SessID(hex.EncodeToString(b[:]))
}
