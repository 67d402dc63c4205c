package day

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"rainhaven/choice"
	"rainhaven/choice/restore"
	"rainhaven/internal/front"
	"rainhaven/internal/lab/box"
	"rainhaven/internal/lab/player"
	"rainhaven/internal/lab/witness"
	"rainhaven/internal/settings"
)

// run is one day under way.
type run struct {
	d      *Day
	o      Options
	ctx    context.Context
	log    *zap.Logger
	base   float64 // seconds since 1970 at start
	start  time.Time
	wit    *witness.Witness
	spoil  Sabotage
	site   *box.Site
	racks  []*box.Rack
	boxes  map[int]*box.Box
	stands map[int]stand
	rand   *rand.Rand // of the list's lags; the troubles' goroutine owns it

	mu       sync.Mutex
	fronts   []*place
	list     []settings.Box // as the source knows it
	cut      map[int]bool   // zones cut off
	seen     []outcome
	refusing map[int]bool             // boxes that answer full
	kept     map[int]restore.Snapshot // of fronts that were killed, where they remember; one each

	work sync.WaitGroup // list words under way
}

// place is where a front runs: its address stays while fronts come and go.
type place struct {
	i       int
	addr    string
	f       *front.Front
	done    chan error
	gen     int
	reloads int // of this process
}

type outcome struct {
	group   int
	first   bool // the viewer's first try
	seen    player.Seen
	retries int
	served  bool // any of its tries
	start   float64
}

func (r *run) now() float64 { return r.base + time.Since(r.start).Seconds() }

// Options are what a day is run with.
type Options struct {
	Log      *zap.Logger
	Sabotage Sabotage
	Tell     func(at float64, what string) // troubles as they happen; may be nil
	Remember bool                          // fronts that are started again know what they had stored; their ration's window goes on
}

// Run plays a day and reports. The error tells what kept it from being played; broken rules are in the report.
func Run(ctx context.Context, d *Day, o Options) (*Report, error) {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Tell == nil {
		o.Tell = func(float64, string) {}
	}
	start := time.Now()
	r := &run{d: d, ctx: ctx, log: o.Log, base: float64(start.UnixNano()) / 1e9, start: start, spoil: o.Sabotage, o: o,
		kept: map[int]restore.Snapshot{}, boxes: map[int]*box.Box{}, stands: map[int]stand{}, cut: map[int]bool{}, refusing: map[int]bool{}, rand: rand.New(rand.NewPCG(d.Seed, 2))}
	f := &d.Terms.Choice
	terms := witness.Terms{Groups: map[string]witness.Group{}, Grace: d.Terms.DrainGrace, AnswerBy: 0.04, WarmUp: f.WarmUp, ColdShare: f.ColdShare,
		FallFactor: f.OverloadFactor, FallTime: f.OverloadTime, Spare: f.BaseRetries, Share: f.RetriesPerSession, Window: f.RetryWindow}
	if len(f.MaxStreams) > 0 {
		terms.Places = slices.Min(f.MaxStreams)
	}
	scale := map[string]float64{}
	for i, g := range f.Groups {
		name := d.Terms.Groups[i].Name
		terms.Groups[name] = witness.Group{SetupTimeout: d.Terms.Groups[i].SetupTimeout, Paid: g.Paid, Floor: g.Floor, Seats: g.Seats}
		scale[name] = g.Scale
	}
	r.wit = witness.New(terms)
	r.site = &box.Site{Ladder: f.Ladder, Scale: scale, Length: func(t string) float64 { return d.Terms.Titles[t].Length },
		Places: int(terms.Places), WarmUp: f.WarmUp, ColdShare: f.ColdShare, FallFactor: f.OverloadFactor, FallTime: f.OverloadTime,
		ReportEvery: d.report, NoteEvery: f.NoteInterval, SetupTime: d.setup, Vary: d.vary, FullAt: f.FullThreshold, FPS: d.fps, Thin: d.thin, Keep: 4, Mischief: d.mischief,
		Now: r.now, Witness: r.wit}
	for range max(f.Racks, 1) {
		r.racks = append(r.racks, box.NewRack(f.MeanUplinkCapacity))
	}
	defer func() {
		for _, b := range r.boxes {
			b.Close()
		}
	}()
	for _, s := range d.boxes {
		r.stands[s.id] = s
		if s.starts == 0 {
			if err := r.open(s, false); err != nil {
				return nil, err
			}
		}
	}
	defer r.stopFronts()
	for i := range d.Fronts {
		if err := r.begin(i, ""); err != nil {
			return nil, err
		}
	}
	return r.play(o.Tell)
}

// open starts a stand-in and puts it on the list.
func (r *run) open(s stand, cold bool) error {
	b, err := box.Start(r.site, s.id, "", s.link, r.racks[s.cell%len(r.racks)], cold)
	if err != nil {
		return err
	}
	r.boxes[s.id] = b
	r.list = append(r.list, settings.Box{Listing: s.listing(b.Born(), choice.Ready), Address: b.Address})
	return nil
}

// termsOf are one front's terms as the list stands now.
func (r *run) termsOf(i int) settings.Config {
	terms := r.d.Terms
	terms.Name, terms.Choice.FrontIndex = frontName(i), i
	// Zones take turns, so that each has its fronts.
	terms.Choice.Zone = i % max(len(terms.Zones), 1)
	terms.Choice.Seed = r.d.Seed*1000 + uint64(i) + 1
	r.mu.Lock()
	terms.Boxes = slices.Clone(r.list)
	r.mu.Unlock()
	return terms
}

// begin starts a front, at its address where it had one.
func (r *run) begin(i int, addr string) error {
	terms := r.termsOf(i)
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("front %d: %w", i, err)
	}
	zone := terms.Choice.Zone
	r.spoil.terms(&terms)
	o := front.Options{Log: r.log, WrapActions: r.spoil.orders(r),
		Dial: func(ctx context.Context, address string) (net.Conn, error) { return r.dial(ctx, zone, address) }}
	if kept, ok := r.kept[i]; ok {
		x := terms.Choice
		m, _ := restore.FromSnapshot(r.now(), kept, restore.Config{RetryWindow: x.RetryWindow, BaseRetries: x.BaseRetries, RetriesPerSession: x.RetriesPerSession, WarmUp: x.WarmUp})
		o.Snapshot = &m
	} else {
		r.wit.FrontStarted(terms.Name, r.now())
	}
	for _, b := range terms.Boxes {
		r.wit.Told(terms.Name, int(b.ID), b.State == choice.Ready, r.now())
	}
	f, err := front.New(terms, o)
	if err != nil {
		l.Close()
		return err
	}
	p := &place{i: i, addr: l.Addr().String(), f: f, done: make(chan error, 1)}
	go func() { p.done <- f.Serve(l) }()
	r.mu.Lock()
	defer r.mu.Unlock()
	if i < len(r.fronts) {
		p.gen = r.fronts[i].gen + 1
		r.fronts[i] = p
	} else {
		r.fronts = append(r.fronts, p)
	}
	return nil
}

// dial connects a front of a zone to a box; a zone that is cut off is out of reach from others, both ways.
func (r *run) dial(ctx context.Context, zone int, address string) (net.Conn, error) {
	r.mu.Lock()
	to := zone
	for _, b := range r.list {
		if b.Address == address {
			to = b.Zone
		}
	}
	cut := to != zone && (r.cut[to] || r.cut[zone])
	r.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

func (r *run) stopFronts() {
	r.mu.Lock()
	list := slices.Clone(r.fronts)
	r.mu.Unlock()
	var all sync.WaitGroup
	for _, p := range list {
		all.Go(func() {
			p.f.Close()
			<-p.done
		})
	}
	all.Wait()
	r.work.Wait()
}

// play lets viewers come and troubles happen, waits until all is over and judges.
func (r *run) play(tell func(float64, string)) (*Report, error) {
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	var viewers, events sync.WaitGroup
	events.Go(func() { r.happen(ctx, tell) })
	list := r.d.arrivals()
	for i, a := range list {
		if !r.until(ctx, a.at) {
			break
		}
		viewers.Go(func() { r.view(ctx, i, a) })
		if a.rude > 0 {
			viewers.Go(func() {
				r.mu.Lock()
				addr := r.fronts[a.front].addr
				r.mu.Unlock()
				player.Rude(ctx, addr, r.d.Terms.Groups[a.group].Name, a.title, a.rude)
			})
		}
	}
	viewers.Wait()
	events.Wait()
	r.work.Wait()
	if err := r.ctx.Err(); err != nil {
		return nil, err
	}
	r.quiet(ctx)
	return r.report(), nil
}

// until waits for an instant of the day; false where the day was ended.
func (r *run) until(ctx context.Context, at float64) bool {
	wait := time.Until(r.start.Add(time.Duration(at * 1e9)))
	if wait <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// quietTime is how long the end of all sessions is waited for: what a box may hold of a withdrawn SETUP, and more.
const quietTime = 8 * time.Second

// quiet waits until no front and no box holds a session any more.
func (r *run) quiet(ctx context.Context) {
	wait := quietTime
	if r.spoil != None {
		wait = time.Second // what a spoilt front leaves behind goes by no rule
	}
	end := time.Now().Add(wait)
	for time.Now().Before(end) && ctx.Err() == nil {
		n := 0
		for _, b := range r.boxes {
			n += b.Sessions()
		}
		for _, p := range r.fronts {
			n += p.f.Sessions()
		}
		if n == 0 {
			return
		}
		r.until(ctx, time.Since(r.start).Seconds()+0.05)
	}
}

// mostTries is how often a viewer comes, its first time included.
const mostTries = 4

// view is one viewer: it comes, and comes again after a busy reply or a break as its dice say.
func (r *run) view(ctx context.Context, i int, a arrival) {
	o := outcome{group: a.group, start: a.at}
	left := a.watch
	front := a.front
	for try := range mostTries {
		r.mu.Lock()
		p := r.fronts[front%len(r.fronts)]
		r.mu.Unlock()
		w := player.Want{Address: p.addr, Front: frontName(p.i), Group: r.d.Terms.Groups[a.group].Name, Title: a.title,
			Token: fmt.Sprintf("%d.%d", i, try), SetupTimeout: r.d.Terms.Groups[a.group].SetupTimeout, Watch: left, LeaveAfter: a.hasty,
			Bandwidth: a.bandwidth, Tracks: a.tracks, Now: r.now, Witness: r.wit}
		seen, err := player.Watch(ctx, w)
		o.seen, o.retries = seen, try
		if o.served = o.served || seen.Status == 200; try == 0 {
			o.first = seen.Status == 200
		}
		left -= seen.Media
		if err == nil || ctx.Err() != nil || left < 0.5 || a.hasty > 0 || a.dice[2*try%8] > r.d.viewers.again {
			break
		}
		pause := r.d.viewers.pause[0] + (r.d.viewers.pause[1]-r.d.viewers.pause[0])*a.dice[(2*try+1)%8]
		if errors.Is(err, player.ErrNotServed) {
			pause = max(pause, seen.RetryAfter)
		}
		front++ // any front will do, so the next one
		if !r.until(ctx, time.Since(r.start).Seconds()+pause) {
			break
		}
	}
	r.mu.Lock()
	r.seen = append(r.seen, o)
	r.mu.Unlock()
}

// step is something that happens at an instant.
type step struct {
	at   float64
	what string
	do   func()
}

// happen does the day's troubles in their order.
func (r *run) happen(ctx context.Context, tell func(float64, string)) {
	var steps []step
	for _, h := range r.d.troubles {
		steps = append(steps, r.steps(h)...)
	}
	for _, s := range r.d.boxes {
		if s.starts > 0 {
			steps = append(steps, step{s.starts, fmt.Sprintf("box %d starts cold", s.id), func() {
				r.mu.Lock()
				err := r.open(s, true)
				entry := r.list[len(r.list)-1]
				r.mu.Unlock()
				if err != nil {
					r.log.Error("a box did not start", zap.Error(err))
					return
				}
				r.say(entry)
			}})
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	for _, s := range steps {
		if !r.until(ctx, s.at) {
			return
		}
		tell(s.at, s.what)
		s.do()
	}
}

// steps are a trouble's beginning and end.
func (r *run) steps(h happening) []step {
	id := h.e.Int("box")
	b := func() *box.Box {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.boxes[id]
	}
	on := func(what string, do func(b *box.Box)) step {
		return step{h.at, fmt.Sprintf("box %d %s", id, what), func() {
			if x := b(); x != nil {
				do(x)
			}
		}}
	}
	end := func(what string, do func(b *box.Box)) step {
		s := on(what, do)
		s.at += h.length
		return s
	}
	restart := func(x *box.Box) {
		x.Kill()
		if err := x.Restart(); err != nil {
			r.log.Error("a box did not come back", zap.Error(err))
			return
		}
		r.change(id, func(e *settings.Box) { e.StartedAt, e.State = x.Born(), choice.Ready })
	}
	switch h.what {
	case "hang":
		return []step{on("stands still", (*box.Box).Hang), end("goes on", (*box.Box).Unhang)}
	case "hold":
		return []step{on("answers nothing", (*box.Box).HoldAnswers), end("answers again", (*box.Box).Unhang)}
	case "silent":
		return []step{on("is silent", (*box.Box).Hang), end("is back, cold", restart)}
	case "kill":
		return []step{on("dies", (*box.Box).Kill), end("is back, cold", restart)}
	case "slow":
		n := h.e.Number("times")
		return []step{on(fmt.Sprintf("has a link %g times slower", n), func(x *box.Box) { x.Slow(n) }),
			end("has its link back", func(x *box.Box) { x.Slow(1) })}
	case "foreign":
		n := h.e.Number("share") * r.stands[id].link
		return []step{on("shares its link with another program", func(x *box.Box) { x.Foreign(n) }),
			end("has its link to itself", func(x *box.Box) { x.Foreign(0) })}
	case "refuse":
		set := func(full bool) func(x *box.Box) {
			return func(x *box.Box) {
				x.Refuse(full)
				r.mu.Lock()
				r.refusing[id] = full
				r.mu.Unlock()
			}
		}
		return []step{on("answers full", set(true)), end("takes SETUPs", set(false))}
	case "errors":
		n := h.e.Int("count")
		return []step{on(fmt.Sprintf("answers %d errors", n), func(x *box.Box) { x.Errors(n) })}
	case "ageing":
		var list []step
		for i := range 5 {
			s := on(fmt.Sprintf("ages, %d of 5", i+1), func(x *box.Box) { x.Age(h.e.Number("times") * float64(i+1) / 5) })
			s.at += h.length * float64(i) / 5
			list = append(list, s)
		}
		return append(list, end("dies of age", (*box.Box).Kill))
	case "drain":
		return []step{on("drains", func(*box.Box) { r.change(id, func(e *settings.Box) { e.State = choice.Draining }) }),
			end("is gone", func(x *box.Box) {
				r.change(id, func(e *settings.Box) { e.State = choice.Gone })
				x.Kill()
			})}
	case "late_reports":
		late := func(by float64) func() {
			return func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				for _, x := range r.boxes {
					x.Late(by)
				}
			}
		}
		return []step{{h.at, "load reports come late", late(h.e.Number("by"))}, {h.at + h.length, "load reports come as usual", late(0)}}
	case "short_rack":
		rack, n := r.racks[h.e.Int("rack")], h.e.Number("times")
		what := fmt.Sprintf("rack %d has ", h.e.Int("rack"))
		return []step{{h.at, what + fmt.Sprintf("an uplink %g times slower", n), func() { rack.Short(n) }},
			{h.at + h.length, what + "its uplink back", func() { rack.Short(1) }}}
	case "cut_zone":
		zone := slices.Index(r.d.Terms.Zones, h.e.Text("zone"))
		set := func(on bool) func() {
			return func() {
				r.mu.Lock()
				r.cut[zone] = on
				r.mu.Unlock()
			}
		}
		return []step{{h.at, h.e.Text("zone") + " is cut off", set(true)}, {h.at + h.length, h.e.Text("zone") + " is back", set(false)}}
	case "restart_front":
		i := h.e.Int("front")
		return []step{{h.at, frontName(i) + " is killed", func() { r.kill(i) }},
			{h.at + h.length, frontName(i) + " starts again", func() {
				if err := r.begin(i, r.fronts[i].addr); err != nil {
					r.log.Error("a front did not come back", zap.Error(err))
				}
			}}}
	case "reload_front":
		i := h.e.Int("front")
		return []step{{h.at, frontName(i) + " takes new settings", func() { r.reload(i) }}}
	}
	return nil // a crowd is in the arrivals
}

// reload has a front take new settings. What rules count stays the same: the wait after a busy reply and the limits change.
func (r *run) reload(i int) {
	r.mu.Lock()
	p := r.fronts[i]
	r.mu.Unlock()
	terms := r.termsOf(i)
	r.spoil.terms(&terms)
	p.reloads++ // the script's own goroutine alone
	terms.Choice.MaxRetryAfter += float64(p.reloads%2) / 2
	terms.Limits.MaxSessions += p.reloads % 2
	plan, err := p.f.Reload(terms)
	if err != nil || len(plan.Rejections) > 0 {
		r.log.Info("a reload was not taken", zap.Strings("why", plan.Rejections), zap.Error(err))
	}
	// A word on the list that came while it was read must not be undone by it.
	r.mu.Lock()
	list := slices.Clone(r.list)
	r.mu.Unlock()
	p.f.UpdateBoxes(true, list)
}

func (r *run) kill(i int) {
	r.mu.Lock()
	p := r.fronts[i]
	r.mu.Unlock()
	if r.o.Remember {
		if m, ok := p.f.Snapshot(); ok {
			r.kept[i] = restore.Snapshot{SavedAt: r.now(), Choice: m}
		}
	}
	r.wit.FrontKilled(frontName(i), r.now())
	p.f.Kill()
	<-p.done
	p.done <- nil
}

// change changes a box's entry in the list and lets the fronts know, each after its lag.
func (r *run) change(id int, do func(e *settings.Box)) {
	r.mu.Lock()
	i := slices.IndexFunc(r.list, func(e settings.Box) bool { return int(e.ID) == id })
	if i < 0 {
		r.mu.Unlock()
		return
	}
	do(&r.list[i])
	e := r.list[i]
	r.mu.Unlock()
	r.say(e)
}

// say tells each front of an entry after a lag of its own. Words on one box keep their order, as the lags are short
// beside what lies between them; a later word that overtook would be the list's fault and is not played.
func (r *run) say(e settings.Box) {
	for i := range r.d.Fronts {
		lag := r.d.lag[0] + (r.d.lag[1]-r.d.lag[0])*r.rand.Float64()
		r.work.Add(1)
		time.AfterFunc(time.Duration(lag*1e9), func() {
			defer r.work.Done()
			r.mu.Lock()
			p := r.fronts[i]
			r.mu.Unlock()
			p.f.UpdateBoxes(false, []settings.Box{e})
			// Stamped once the loop has taken it, or the front would be given less than its grace.
			p.f.Sessions()
			r.wit.Told(frontName(i), int(e.ID), e.State == choice.Ready, r.now())
		})
	}
}
