// Package front is one running front: it takes RTSP requests of viewers, tells choice/session what happens and carries
// out what that orders. One loop owns the table of sessions; connections, timers and box lists send it events, orders
// leave it as plain calls that never block. Media does not pass the loop (package relay).
//
// What reaches the module, by event (RFC 2326 on the wire; docs/program.md has the same table with its tests):
//
//	viewer's first SETUP              Ask
//	viewer's connection gone          Left, or Ended final Served once the box has answered TEARDOWN
//	box answers SETUP 2xx             Playing, then Load with the figures of its Load-Report
//	box answers SETUP 453, 503        Ended Full: it never ran
//	box answers SETUP otherwise       Ended ServerError: it may have run
//	no connection to the box          Ended NoConnection: it never ran
//	the list drops the box meanwhile  Ended Unsent where the SETUP had not left
//	connection breaks, SETUP out      Ended Reset: it may have run
//	wait over                         Ended TimedOut, and the SETUP is withdrawn
//	connection breaks, session set up Ended Reset, final
//	TEARDOWN answered                 Ended Served, final
//	box list                          Directory
//	share of media time in a second   Short, by choice/delivery
//	load note in RTCP                 Load, one a box by choice/delivery
//	probe answered or not             Probed
//	rung refused by the box           InForce
//	session handed over               Handed, InForce
//	timer                             Due
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

// Options are what a front is handed beside its terms. The zero value is a front in service.
type Options struct {
	Log         *zap.Logger
	Registry    prometheus.Registerer
	Dial        func(ctx context.Context, address string) (net.Conn, error)
	Snapshot    *choice.Snapshot                      // what an earlier front had learned, as far as it is believed
	Handover    []HandoverSession                     // sessions that an earlier front gave up
	WrapActions func(session.Actions) session.Actions // for days that must fail: orders go through it
}

// Front is one front. Make it with New, run it with Serve.
type Front struct {
	current atomic.Pointer[settings.Config] // read by anyone, changed by the loop alone
	log     *zap.Logger
	count   *counts
	dial    func(ctx context.Context, address string) (net.Conn, error)
	began   time.Time
	epoch   float64 // seconds since 1970 at began
	events  chan func()
	done    chan struct{} // closed when the loop has ended
	quit    chan struct{} // closed to end the loop
	quitOne sync.Once
	work    sync.WaitGroup // every goroutine that belongs to the front
	context context.Context
	cancel  context.CancelFunc
	serving atomic.Bool
	mu      sync.Mutex     // of what follows
	takes   []net.Listener // as many as are served
	halted  bool           // none takes viewers for now
	closing atomic.Bool
	open    atomic.Int64 // viewers' connections

	// Owned by the loop.
	table     *session.Table
	gate      *auth.Authenticator // nil where no users are named
	key       []byte              // of the gate's
	users     string              // a print of those named
	ear       *delivery.Meter
	keeper    *pool.Pool
	address   map[choice.ServerID]string // of boxes listed; a box that left is kept while sessions are there
	viewers   map[*viewer]struct{}       // emptied as connections close
	sess      map[choice.SessID]*sess    // emptied as sessions end
	atBox     map[choice.SessID]*boxConn // sessions' connections to their boxes; emptied as those are given back
	conns     map[pool.ConnID]*boxConn   // emptied as connections close
	described *describe.Cache
	wait      map[string][]waiter // DESCRIBEs without answer, by title; emptied as a holder answers or none does
	late      int                 // withdrawn SETUPs whose answer is waited for
	serial    uint64
	after     []func()        // what an order brings about at once; emptied by the loop
	last      choice.Snapshot // once the loop has ended
	drained   func()          // called once when the last session is over after Drain
}

// mostEvents may wait for the loop before those who bring more wait themselves.
const mostEvents = 1024

// New makes a front. It fails only where its metrics can't be registered.
func New(terms settings.Config, o Options) (*Front, error) {
	f := &Front{log: o.Log, dial: o.Dial, began: time.Now(), events: make(chan func(), mostEvents),
		done: make(chan struct{}), quit: make(chan struct{}), address: map[choice.ServerID]string{},
		viewers: map[*viewer]struct{}{}, sess: map[choice.SessID]*sess{}, conns: map[pool.ConnID]*boxConn{},
		atBox: map[choice.SessID]*boxConn{}}
	if f.log == nil {
		f.log = zap.NewNop()
	}
	f.log = f.log.With(zap.String("front", terms.Name))
	if f.dial == nil {
		var d net.Dialer
		f.dial = func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	}
	f.epoch = float64(f.began.UnixNano()) / 1e9
	f.context, f.cancel = context.WithCancel(context.Background())
	var err error
	if f.count, err = newCounts(o.Registry); err != nil {
		return nil, err
	}
	if terms.Choice.Seed == 0 {
		var b [8]byte
		if _, err := rand.Read(b[:]); err != nil {
			return nil, err
		}
		terms.Choice.Seed = binary.LittleEndian.Uint64(b[:])
	}
	f.key = make([]byte, 32)
	if _, err := rand.Read(f.key); err != nil {
		return nil, err
	}
	f.gate, f.users = auth.New(terms.Realm, terms.Users, f.key), usersPrint(&terms, f.key)
	terms.Users = nil // the gate has what it needs of them
	f.current.Store(&terms)
	var orders session.Actions = carrier{f}
	if o.WrapActions != nil {
		orders = o.WrapActions(orders)
	}
	f.table = session.New(f.now(), terms.Choice, f.bounds(), orders)
	f.ear = delivery.New(terms.Choice.NoteInterval)
	f.described, f.wait = describe.New(terms.Choice.Cells), map[string][]waiter{}
	f.keeper = pool.New(terms.Limits.BoxConnections)
	f.boxes(true, terms.Boxes)
	if o.Snapshot != nil {
		f.table.Restore(*o.Snapshot)
	}
	for _, h := range o.Handover {
		f.adopt(h)
	}
	f.work.Add(1)
	go f.loop()
	return f, nil
}

func (f *Front) terms() *settings.Config { return f.current.Load() }

func (f *Front) bounds() session.Limits {
	t := f.terms()
	b := session.Limits{MaxSessions: t.Limits.Sessions, ViewerIdleTimeout: t.Limits.ViewerIdle, KeepAliveInterval: t.Limits.KeepAlive}
	for _, g := range t.Groups {
		b.SetupTimeout = append(b.SetupTimeout, g.SetupTimeout)
	}
	return b
}

// now is the front's clock in seconds since 1970: set once and monotonic from then on, so that a step of the
// machine's clock moves no wait. Fronts need it alike to within a slot of a cold box (choice.Front).
func (f *Front) now() float64 { return f.epoch + time.Since(f.began).Seconds() }

// post hands the loop an event. It waits while too many wait, and drops the event once the loop has ended.
func (f *Front) post(event func()) {
	select {
	case f.events <- event:
	case <-f.done:
	}
}

// call runs something in the loop and waits for its end; false where the loop has ended.
func (f *Front) call(do func()) bool {
	ran := make(chan struct{})
	f.post(func() {
		do()
		close(ran)
	})
	select {
	case <-ran:
		return true
	case <-f.done:
		return false
	}
}

// batch is how many events the loop takes before it settles.
const batch = 64

// tick is the pace at which shares are measured and idle connections looked at.
const tick = 250 * time.Millisecond

func (f *Front) loop() {
	defer f.work.Done()
	defer close(f.done)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	due := 0.0
	for {
		select {
		case e := <-f.events:
			f.table.SetTime(f.now())
			e()
		more:
			for range batch {
				select {
				case e := <-f.events:
					e()
				default:
					break more
				}
			}
		case <-timer.C:
			due = 0
			f.table.SetTime(f.now())
		case <-ticker.C:
			f.table.SetTime(f.now())
			f.listen()
		case <-f.quit:
			f.table.SetTime(f.now())
			f.table.EndAll()
			f.settle()
			f.last = f.table.Snapshot()
			f.shut()
			return
		}
		if n := f.table.NextTimer(); n > 0 && n <= f.now() {
			f.table.RunTimers()
		}
		f.settle()
		if f.drained != nil && f.table.Len() == 0 {
			f.drained()
			f.drained = nil
		}
		if n := f.table.NextTimer(); n != due {
			due = n
			wait := time.Hour
			if n > 0 {
				wait = max(time.Duration((n-f.now())*1e9), 0)
			}
			timer.Reset(wait)
		}
	}
}

// settle carries out what is wanted until nothing more comes of it.
func (f *Front) settle() {
	start := time.Now()
	f.table.Settle()
	for len(f.after) > 0 {
		list := f.after
		f.after = nil
		for _, do := range list {
			do()
		}
		f.table.Settle()
	}
	f.count.settle.Observe(time.Since(start).Seconds())
}

// listen measures what sessions get and tells what is due.
func (f *Front) listen() {
	now := f.now()
	for id, c := range f.atBox {
		if c.sess.plays && c.sess.stream != nil {
			if limits.ViewerLimited(time.Since(f.began).Seconds(), float64(c.sess.stream.Queue().LastLimitedAt.Load())/1e9) {
				f.ear.Forget(id)
			} else if at, media, ok := c.sess.stream.Progress(); ok {
				f.ear.Progress(id, c.box, now, f.epoch+at.Seconds(), media)
			}
		}
	}
	for _, t := range f.ear.Tick(now) {
		f.count.shorts.Inc()
		f.table.ShortDelivery(t.Box, t.Share)
	}
	for _, c := range f.keeper.Expired(now) {
		if b := f.conns[c]; b != nil {
			b.close()
		}
	}
	f.count.sessions.Set(float64(len(f.sess)))
}

// UpdateBoxes takes the list of boxes, whole or changed entries only.
func (f *Front) UpdateBoxes(whole bool, list []settings.Box) {
	list = slices.Clone(list)
	f.post(func() { f.boxes(whole, list) })
}

func (f *Front) boxes(whole bool, list []settings.Box) {
	f.table.UpdateDirectory(whole, f.listed(whole, list))
}

// listed takes a list for the front's own part and gives the table's.
func (f *Front) listed(whole bool, list []settings.Box) []choice.Listing {
	if whole {
		clear(f.address)
	}
	listings := make([]choice.Listing, len(list))
	for i, b := range list {
		listings[i] = b.Listing
		if f.address[b.ID] = b.Address; b.State == choice.Gone {
			delete(f.address, b.ID)
		}
	}
	f.described.UpdateBoxes(whole, listings)
	return listings
}

// Serve takes viewers from a listener until it fails or the front is closed; then it returns nil. Several listeners
// may be served at once.
func (f *Front) Serve(l net.Listener) error {
	return f.serve(l, func(c net.Conn) net.Conn { return c })
}

// ServeTLS is Serve for viewers that come over TLS.
func (f *Front) ServeTLS(l net.Listener, with *tls.Config) error {
	return f.serve(l, func(c net.Conn) net.Conn { return tls.Server(c, with) })
}

func (f *Front) serve(l net.Listener, over func(net.Conn) net.Conn) error {
	f.work.Add(1)
	defer f.work.Done()
	if f.context.Err() != nil {
		l.Close()
		return nil
	}
	f.mu.Lock()
	f.takes, f.halted = append(f.takes, l), false
	f.mu.Unlock()
	f.serving.Store(true)
	stop := context.AfterFunc(f.context, func() { l.Close() })
	defer stop()
	pause := 5 * time.Millisecond
	for {
		c, err := l.Accept()
		if err != nil {
			if f.context.Err() != nil {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				f.mu.Lock()
				halted := f.halted
				f.mu.Unlock()
				if halted {
					return nil
				}
				return err
			}
			// Out of descriptors, or a connection that was gone before it was taken: others still come.
			f.log.Warn("a connection could not be taken", zap.Error(err))
			select {
			case <-time.After(pause):
			case <-f.context.Done():
				return nil
			}
			pause = min(2*pause, time.Second)
			continue
		}
		pause = 5 * time.Millisecond
		if n := f.open.Add(1); f.terms().Limits.Connections > 0 && n > int64(f.terms().Limits.Connections) {
			f.open.Add(-1)
			f.count.turnedAway.Inc()
			c.Close()
			continue
		}
		f.take(over(c))
	}
}

// Drain has new requests busy-replied, sends viewers elsewhere where the terms say so, and returns when the last session is over or the context is done.
func (f *Front) Drain(ctx context.Context) {
	over := make(chan struct{})
	f.post(func() {
		f.table.StopAccepting()
		f.redirect()
		f.drained = func() { close(over) }
	})
	select {
	case <-over:
	case <-ctx.Done():
	case <-f.done:
	}
}

// redirect asks each viewer with a session to go on at another front (RFC 2326, section 10.10). Those that don't know the
// request play on until the drain's end.
func (f *Front) redirect() {
	if f.terms().Redirect == "" {
		return
	}
	for v := range f.viewers {
		for _, id := range slices.Sorted(maps.Keys(v.sess)) {
			x := v.sess[id]
			to := rtsp.Resource{Host: f.terms().Redirect, Group: x.place.Group, Title: x.place.Title, Track: -1, Query: x.place.Query}
			v.asked++
			m := rtsp.NewRequest(rtsp.Redirect, v.url(x)).WithHeader("CSeq", strconv.Itoa(v.asked)).WithHeader("Session", string(id)).WithHeader("Location", to.URL())
			v.out.PushMessage(m.Append(nil))
			f.count.redirects.Inc()
		}
	}
}

// Close ends the front: each request gets its answer, sessions are torn down, connections closed.
func (f *Front) Close() {
	f.closing.Store(true)
	f.quitOne.Do(func() { close(f.quit) })
	<-f.done
	f.cancel()
	f.work.Wait()
}

// Kill ends the front as a killed process ends: connections break, nothing is answered.
func (f *Front) Kill() {
	f.call(func() {
		for v := range f.viewers {
			v.conn.Close()
		}
		for _, b := range f.conns {
			b.conn.Close()
		}
		clear(f.sess)
		clear(f.viewers)
		f.table = session.New(f.now(), f.terms().Choice, session.Limits{SetupTimeout: make([]float64, len(f.terms().Groups))}, nowhere{})
	})
	f.Close()
}

// shut closes what is left. Answers already queued get a moment to be written.
func (f *Front) shut() {
	for v := range f.viewers {
		v.finish()
	}
	for _, b := range f.conns {
		if b.withdrawn {
			b.close()
		} else {
			b.out.Finish()
		}
	}
}

// Sessions is how many sessions the front holds; 0 once it has ended.
func (f *Front) Sessions() (n int) {
	f.call(func() { n = f.table.Len() })
	return n
}

// Snapshot is what the front has learned; ok is false where it has ended.
func (f *Front) Snapshot() (m choice.Snapshot, ok bool) {
	ok = f.call(func() { m = f.table.Snapshot() })
	return m, ok
}

// FinalSnapshot is what a front had learned when it was closed. Nothing but ends of sessions went to any box after it.
func (f *Front) FinalSnapshot() choice.Snapshot {
	<-f.done
	return f.last
}

// Freeze closes the listeners and has no SETUP ordered any more; sessions go on. It gives what the front has learned, for
// the process that takes its place on sockets of its own. ok is false where the front has ended.
func (f *Front) Freeze() (m choice.Snapshot, ok bool) {
	f.mu.Lock()
	f.halted = true
	for _, l := range f.takes {
		l.Close()
	}
	f.takes = nil
	f.mu.Unlock()
	ok = f.call(func() { m = f.table.Freeze() })
	return m, ok
}

// Resume takes SETUPs again after Freeze. Listeners must be passed to Serve again.
func (f *Front) Resume() { f.post(func() { f.table.Resume() }) }

// Restore takes a memory before the front is served.
func (f *Front) Restore(m choice.Snapshot) { f.call(func() { f.table.Restore(m) }) }

// HealthFacts gathers what choice/health judges of a front; its loop has so long to answer.
func (f *Front) HealthFacts(within time.Duration) (h health.Facts) {
	t := f.terms()
	h.MaxSessions, h.StateAge = t.Limits.Sessions, -1
	got := make(chan health.Facts, 1)
	timer := time.NewTimer(within)
	defer timer.Stop()
	ask := func() {
		a := h
		a.LoopResponsive, a.Sessions = true, f.table.Len()
		a.Boxes, a.Usable = f.table.BoxCounts()
		got <- a
	}
	select {
	case f.events <- ask:
	case <-f.done:
		return h
	case <-timer.C:
		return h
	}
	select {
	case a := <-got:
		return a
	case <-f.done:
	case <-timer.C:
	}
	return h
}

// Ready tells whether the front takes viewers and its loop answers within the given time.
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

func newID() choice.SessID {
	var b [12]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // the system's source of chance is gone
	}
	return choice.SessID(hex.EncodeToString(b[:]))
}
