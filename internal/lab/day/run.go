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

// run is a day in progress.
type run struct {
	day       *Day
	options   Options
	ctx       context.Context
	log       *zap.Logger
	startUnix float64 // start in seconds since 1970
	start     time.Time
	witness   *witness.Witness
	sabotage  Sabotage
	boxConfig *box.Config
	racks     []*box.Rack
	boxes     map[int]*box.Box
	boxSpecs  map[int]boxSpec
	lagRand   *rand.Rand // draws the list lags; used only by the goroutine of runEvents

	mu        sync.Mutex
	fronts    []*frontInstance
	boxList   []settings.Box // current state of the box list; fronts learn of changes later
	zonesCut  map[int]bool   // zones unreachable from others
	outcomes  []outcome
	refusing  map[int]bool             // boxes that refuse SETUPs as full
	snapshots map[int]restore.Snapshot // saved state of killed fronts, by front, with Options.RestoreState

	notifications sync.WaitGroup // notifications of fronts in flight
}

// frontInstance is a running or killed front. A front that is started again keeps its index and address.
type frontInstance struct {
	index      int
	addr       string
	front      *front.Front
	done       chan error
	generation int
	reloads    int // since its start
}

// outcome is what a viewer got over all of its tries.
type outcome struct {
	group       int
	firstServed bool // served by the first try
	result      player.Result
	retries     int
	served      bool // served by any try
	start       float64
}

// now returns the time in seconds since 1970, by the monotonic clock.
func (r *run) now() float64 { return r.startUnix + time.Since(r.start).Seconds() }

// Options are the settings of a run.
type Options struct {
	Log          *zap.Logger
	Sabotage     Sabotage
	OnEvent      func(at float64, description string) // called for each event as it happens; may be nil
	RestoreState bool                                 // restarted fronts restore their saved state, which continues the retry budget's window
}

// Run plays a day and returns its report. Violations are in the report; an error means that the day could not be played.
func Run(ctx context.Context, d *Day, o Options) (*Report, error) {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.OnEvent == nil {
		o.OnEvent = func(float64, string) {}
	}
	start := time.Now()
	r := &run{day: d, ctx: ctx, log: o.Log, startUnix: float64(start.UnixNano()) / 1e9, start: start, sabotage: o.Sabotage, options: o,
		snapshots: map[int]restore.Snapshot{}, boxes: map[int]*box.Box{}, boxSpecs: map[int]boxSpec{}, zonesCut: map[int]bool{}, refusing: map[int]bool{}, lagRand: rand.New(rand.NewPCG(d.Seed, 2))}
	f := &d.Config.Choice
	rules := witness.Rules{Groups: map[string]witness.Group{}, DrainGrace: d.Config.DrainGrace, AnswerTolerance: 0.04, WarmUp: f.WarmUp, ColdShare: f.ColdShare,
		OverloadFactor: f.OverloadFactor, OverloadTime: f.OverloadTime, BaseRetries: f.BaseRetries, RetriesPerSession: f.RetriesPerSession, RetryWindow: f.RetryWindow}
	if len(f.MaxStreams) > 0 {
		rules.MaxStreams = slices.Min(f.MaxStreams)
	}
	scale := map[string]float64{}
	for i, g := range f.Groups {
		name := d.Config.Groups[i].Name
		rules.Groups[name] = witness.Group{SetupTimeout: d.Config.Groups[i].SetupTimeout, Paid: g.Paid, Floor: g.Floor, Seats: g.Seats}
		scale[name] = g.Scale
	}
	r.witness = witness.New(rules)
	r.boxConfig = &box.Config{Ladder: f.Ladder, Scale: scale, TitleLength: func(t string) float64 { return d.Config.Titles[t].Length },
		MaxSessions: int(rules.MaxStreams), WarmUp: f.WarmUp, ColdShare: f.ColdShare, OverloadFactor: f.OverloadFactor, OverloadTime: f.OverloadTime,
		ReportInterval: d.reportInterval, NoteInterval: f.NoteInterval, SetupTime: d.setupTime, RateVariation: d.rateVariation, FullThreshold: f.FullThreshold, FPS: d.fps, PayloadScale: d.payloadScale, DisconnectGrace: 4, RandomFaultShare: d.randomFaultShare,
		Now: r.now, Witness: r.witness}
	for range max(f.Racks, 1) {
		r.racks = append(r.racks, box.NewRack(f.MeanUplinkCapacity))
	}
	defer func() {
		for _, b := range r.boxes {
			b.Close()
		}
	}()
	for _, s := range d.boxes {
		r.boxSpecs[s.id] = s
		if s.starts == 0 {
			if err := r.startBox(s, false); err != nil {
				return nil, err
			}
		}
	}
	defer r.stopFronts()
	for i := range d.Fronts {
		if err := r.startFront(i, ""); err != nil {
			return nil, err
		}
	}
	return r.execute(o.OnEvent)
}

// startBox starts a simulated box and adds it to the list.
func (r *run) startBox(s boxSpec, cold bool) error {
	b, err := box.Start(r.boxConfig, s.id, "", s.link, r.racks[s.cell%len(r.racks)], cold)
	if err != nil {
		return err
	}
	r.boxes[s.id] = b
	r.boxList = append(r.boxList, settings.Box{Listing: s.listing(b.StartedAt(), choice.Ready), Address: b.Address})
	return nil
}

// frontConfig returns the settings of a front, with the current box list.
func (r *run) frontConfig(i int) settings.Config {
	config := r.day.Config
	config.Name, config.Choice.FrontIndex = frontName(i), i
	// Fronts are spread over the zones in turn.
	config.Choice.Zone = i % max(len(config.Zones), 1)
	config.Choice.Seed = r.day.Seed*1000 + uint64(i) + 1
	r.mu.Lock()
	config.Boxes = slices.Clone(r.boxList)
	r.mu.Unlock()
	return config
}

// startFront starts a front at addr, or at any free port if addr is empty.
func (r *run) startFront(i int, addr string) error {
	config := r.frontConfig(i)
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("front %d: %w", i, err)
	}
	zone := config.Choice.Zone
	r.sabotage.alterConfig(&config)
	o := front.Options{Log: r.log, WrapActions: r.sabotage.wrapActions(r),
		Dial: func(ctx context.Context, address string) (net.Conn, error) { return r.dial(ctx, zone, address) }}
	if snapshot, ok := r.snapshots[i]; ok {
		x := config.Choice
		m, _ := restore.FromSnapshot(r.now(), snapshot, restore.Config{RetryWindow: x.RetryWindow, BaseRetries: x.BaseRetries, RetriesPerSession: x.RetriesPerSession, WarmUp: x.WarmUp})
		o.Snapshot = &m
	} else {
		r.witness.FrontStarted(config.Name, r.now())
	}
	for _, b := range config.Boxes {
		r.witness.FrontNotified(config.Name, int(b.ID), b.State == choice.Ready, r.now())
	}
	f, err := front.New(config, o)
	if err != nil {
		l.Close()
		return err
	}
	p := &frontInstance{index: i, addr: l.Addr().String(), front: f, done: make(chan error, 1)}
	go func() { p.done <- f.Serve(l) }()
	r.mu.Lock()
	defer r.mu.Unlock()
	if i < len(r.fronts) {
		p.generation = r.fronts[i].generation + 1
		r.fronts[i] = p
	} else {
		r.fronts = append(r.fronts, p)
	}
	return nil
}

// dial connects a front of a zone to a box. Connections into or out of a zone that is cut off hang until ctx ends.
func (r *run) dial(ctx context.Context, zone int, address string) (net.Conn, error) {
	r.mu.Lock()
	to := zone
	for _, b := range r.boxList {
		if b.Address == address {
			to = b.Zone
		}
	}
	unreachable := to != zone && (r.zonesCut[to] || r.zonesCut[zone])
	r.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// stopFronts closes all fronts and waits for them and for pending notifications.
func (r *run) stopFronts() {
	r.mu.Lock()
	list := slices.Clone(r.fronts)
	r.mu.Unlock()
	var all sync.WaitGroup
	for _, p := range list {
		all.Go(func() {
			p.front.Close()
			<-p.done
		})
	}
	all.Wait()
	r.notifications.Wait()
}

// execute runs the viewers and the events, waits until all have ended and checks the rules.
func (r *run) execute(onEvent func(float64, string)) (*Report, error) {
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	var viewers, events sync.WaitGroup
	events.Go(func() { r.runEvents(ctx, onEvent) })
	list := r.day.arrivals()
	for i, a := range list {
		if !r.sleepUntil(ctx, a.at) {
			break
		}
		viewers.Go(func() { r.runViewer(ctx, i, a) })
		if a.misbehavior > 0 {
			viewers.Go(func() {
				r.mu.Lock()
				addr := r.fronts[a.front].addr
				r.mu.Unlock()
				player.Misbehave(ctx, addr, r.day.Config.Groups[a.group].Name, a.title, a.misbehavior)
			})
		}
	}
	viewers.Wait()
	events.Wait()
	r.notifications.Wait()
	if err := r.ctx.Err(); err != nil {
		return nil, err
	}
	r.awaitIdle(ctx)
	return r.report(), nil
}

// sleepUntil waits for an instant of the day, in seconds from its start. It returns false if ctx ended first.
func (r *run) sleepUntil(ctx context.Context, at float64) bool {
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

// idleTimeout bounds the wait for all sessions to end. It is longer than a box may hold the session of a cancelled SETUP.
const idleTimeout = 8 * time.Second

// awaitIdle waits until no front and no box holds a session, at most for idleTimeout.
func (r *run) awaitIdle(ctx context.Context) {
	wait := idleTimeout
	if r.sabotage != NoSabotage {
		wait = time.Second // a sabotaged front may leave sessions behind
	}
	end := time.Now().Add(wait)
	for time.Now().Before(end) && ctx.Err() == nil {
		n := 0
		for _, b := range r.boxes {
			n += b.Sessions()
		}
		for _, p := range r.fronts {
			n += p.front.Sessions()
		}
		if n == 0 {
			return
		}
		r.sleepUntil(ctx, time.Since(r.start).Seconds()+0.05)
	}
}

// maxTries is how often a viewer tries at most, including the first time.
const maxTries = 4

// runViewer runs one viewer, which retries after a busy reply or a broken connection as its draws decide.
func (r *run) runViewer(ctx context.Context, i int, a arrival) {
	out := outcome{group: a.group, start: a.at}
	remaining := a.watch
	front := a.front
	for try := range maxTries {
		r.mu.Lock()
		p := r.fronts[front%len(r.fronts)]
		r.mu.Unlock()
		w := player.Options{Address: p.addr, Front: frontName(p.index), Group: r.day.Config.Groups[a.group].Name, Title: a.title,
			Token: fmt.Sprintf("%d.%d", i, try), SetupTimeout: r.day.Config.Groups[a.group].SetupTimeout, WatchSeconds: remaining, DisconnectAfter: a.disconnectAfter,
			Bandwidth: a.bandwidth, Tracks: a.tracks, Now: r.now, Witness: r.witness}
		result, err := player.Watch(ctx, w)
		out.result, out.retries = result, try
		if out.served = out.served || result.Status == 200; try == 0 {
			out.firstServed = result.Status == 200
		}
		remaining -= result.MediaSeconds
		if err == nil || ctx.Err() != nil || remaining < 0.5 || a.disconnectAfter > 0 || a.draws[2*try%8] > r.day.viewers.returnShare {
			break
		}
		pause := r.day.viewers.pause[0] + (r.day.viewers.pause[1]-r.day.viewers.pause[0])*a.draws[(2*try+1)%8]
		if errors.Is(err, player.ErrNotServed) {
			pause = max(pause, result.RetryAfter)
		}
		front++ // retries go to the next front, as any may serve
		if !r.sleepUntil(ctx, time.Since(r.start).Seconds()+pause) {
			break
		}
	}
	r.mu.Lock()
	r.outcomes = append(r.outcomes, out)
	r.mu.Unlock()
}

// action is the start or the end of an event.
type action struct {
	at   float64
	what string
	do   func()
}

// runEvents carries out the day's events in order of time.
func (r *run) runEvents(ctx context.Context, onEvent func(float64, string)) {
	var actions []action
	for _, v := range r.day.events {
		actions = append(actions, r.actions(v)...)
	}
	for _, s := range r.day.boxes {
		if s.starts > 0 {
			actions = append(actions, action{s.starts, fmt.Sprintf("box %d starts cold", s.id), func() {
				r.mu.Lock()
				err := r.startBox(s, true)
				entry := r.boxList[len(r.boxList)-1]
				r.mu.Unlock()
				if err != nil {
					r.log.Error("starting a box failed", zap.Error(err))
					return
				}
				r.notifyFronts(entry)
			}})
		}
	}
	slices.SortStableFunc(actions, func(a, b action) int { return cmp.Compare(a.at, b.at) })
	for _, s := range actions {
		if !r.sleepUntil(ctx, s.at) {
			return
		}
		onEvent(s.at, s.what)
		s.do()
	}
}

// actions returns the actions that carry out an event.
func (r *run) actions(v event) []action {
	id := v.entry.Int("box")
	getBox := func() *box.Box {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.boxes[id]
	}
	start := func(effect string, do func(b *box.Box)) action {
		return action{v.at, fmt.Sprintf("box %d %s", id, effect), func() {
			if x := getBox(); x != nil {
				do(x)
			}
		}}
	}
	end := func(effect string, do func(b *box.Box)) action {
		s := start(effect, do)
		s.at += v.length
		return s
	}
	restart := func(x *box.Box) {
		x.Kill()
		if err := x.Restart(); err != nil {
			r.log.Error("restarting a box failed", zap.Error(err))
			return
		}
		r.updateBox(id, func(e *settings.Box) { e.StartedAt, e.State = x.StartedAt(), choice.Ready })
	}
	switch v.kind {
	case "hang":
		return []action{start("hangs", (*box.Box).Hang), end("resumes", (*box.Box).Resume)}
	case "hold":
		return []action{start("answers nothing", (*box.Box).HoldAnswers), end("answers again", (*box.Box).Resume)}
	case "silent":
		return []action{start("hangs", (*box.Box).Hang), end("restarts cold", restart)}
	case "kill":
		return []action{start("is killed", (*box.Box).Kill), end("restarts cold", restart)}
	case "slow":
		n := v.entry.Number("times")
		return []action{start(fmt.Sprintf("has a link %g times slower", n), func(x *box.Box) { x.ReduceLink(n) }),
			end("has its full link again", func(x *box.Box) { x.ReduceLink(1) })}
	case "foreign":
		n := v.entry.Number("share") * r.boxSpecs[id].link
		return []action{start("shares its link with another program", func(x *box.Box) { x.SetForeignTraffic(n) }),
			end("has its link to itself", func(x *box.Box) { x.SetForeignTraffic(0) })}
	case "refuse":
		set := func(full bool) func(x *box.Box) {
			return func(x *box.Box) {
				x.RefuseSetups(full)
				r.mu.Lock()
				r.refusing[id] = full
				r.mu.Unlock()
			}
		}
		return []action{start("refuses SETUPs as full", set(true)), end("accepts SETUPs again", set(false))}
	case "errors":
		n := v.entry.Int("count")
		return []action{start(fmt.Sprintf("answers %d errors", n), func(x *box.Box) { x.FailSetups(n) })}
	case "ageing":
		var list []action
		for i := range 5 {
			s := start(fmt.Sprintf("takes longer for SETUPs, step %d of 5", i+1), func(x *box.Box) { x.SlowSetups(v.entry.Number("times") * float64(i+1) / 5) })
			s.at += v.length * float64(i) / 5
			list = append(list, s)
		}
		return append(list, end("is killed after slowing down", (*box.Box).Kill))
	case "drain":
		return []action{start("drains", func(*box.Box) { r.updateBox(id, func(e *settings.Box) { e.State = choice.Draining }) }),
			end("is gone", func(x *box.Box) {
				r.updateBox(id, func(e *settings.Box) { e.State = choice.Gone })
				x.Kill()
			})}
	case "late_reports":
		late := func(by float64) func() {
			return func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				for _, x := range r.boxes {
					x.DelayReports(by)
				}
			}
		}
		return []action{{v.at, "load reports are delayed", late(v.entry.Number("by"))}, {v.at + v.length, "load reports are on time again", late(0)}}
	case "short_rack":
		rack, factor := r.racks[v.entry.Int("rack")], v.entry.Number("times")
		what := fmt.Sprintf("rack %d has ", v.entry.Int("rack"))
		return []action{{v.at, what + fmt.Sprintf("an uplink %g times slower", factor), func() { rack.ReduceCapacity(factor) }},
			{v.at + v.length, what + "its full uplink again", func() { rack.ReduceCapacity(1) }}}
	case "cut_zone":
		zone := slices.Index(r.day.Config.Zones, v.entry.Text("zone"))
		set := func(on bool) func() {
			return func() {
				r.mu.Lock()
				r.zonesCut[zone] = on
				r.mu.Unlock()
			}
		}
		return []action{{v.at, v.entry.Text("zone") + " is cut off", set(true)}, {v.at + v.length, v.entry.Text("zone") + " is reachable again", set(false)}}
	case "restart_front":
		i := v.entry.Int("front")
		return []action{{v.at, frontName(i) + " is killed", func() { r.killFront(i) }},
			{v.at + v.length, frontName(i) + " restarts", func() {
				if err := r.startFront(i, r.fronts[i].addr); err != nil {
					r.log.Error("restarting a front failed", zap.Error(err))
				}
			}}}
	case "reload_front":
		i := v.entry.Int("front")
		return []action{{v.at, frontName(i) + " reloads changed settings", func() { r.reloadFront(i) }}}
	}
	return nil // crowd: the arrivals account for it
}

// reloadFront makes a front reload changed settings. Only the retry time of busy replies and the limits change, so that the
// bounds of the rules stay the same.
func (r *run) reloadFront(i int) {
	r.mu.Lock()
	p := r.fronts[i]
	r.mu.Unlock()
	config := r.frontConfig(i)
	r.sabotage.alterConfig(&config)
	p.reloads++ // used only by the goroutine of runEvents
	config.Choice.MaxRetryAfter += float64(p.reloads%2) / 2
	config.Limits.MaxSessions += p.reloads % 2
	plan, err := p.front.Reload(config)
	if err != nil || len(plan.Rejections) > 0 {
		r.log.Info("reload rejected", zap.Strings("why", plan.Rejections), zap.Error(err))
	}
	// Repeat the current list: the reload may have undone a notification that arrived after its list was read.
	r.mu.Lock()
	list := slices.Clone(r.boxList)
	r.mu.Unlock()
	p.front.UpdateBoxes(true, list)
}

// killFront kills a front, after saving its state with Options.RestoreState.
func (r *run) killFront(i int) {
	r.mu.Lock()
	p := r.fronts[i]
	r.mu.Unlock()
	if r.options.RestoreState {
		if m, ok := p.front.Snapshot(); ok {
			r.snapshots[i] = restore.Snapshot{SavedAt: r.now(), Choice: m}
		}
	}
	r.witness.FrontKilled(frontName(i), r.now())
	p.front.Kill()
	<-p.done
	p.done <- nil
}

// updateBox changes a box's entry in the list and notifies the fronts.
func (r *run) updateBox(id int, do func(e *settings.Box)) {
	r.mu.Lock()
	i := slices.IndexFunc(r.boxList, func(e settings.Box) bool { return int(e.ID) == id })
	if i < 0 {
		r.mu.Unlock()
		return
	}
	do(&r.boxList[i])
	e := r.boxList[i]
	r.mu.Unlock()
	r.notifyFronts(e)
}

// notifyFronts notifies each front of an entry after a random lag of its own. Notifications of a box stay in order, as the
// lags are short compared with the time between changes; reordering would be a fault of the list, which isn't simulated.
func (r *run) notifyFronts(e settings.Box) {
	for i := range r.day.Fronts {
		lag := r.day.listLag[0] + (r.day.listLag[1]-r.day.listLag[0])*r.lagRand.Float64()
		r.notifications.Add(1)
		time.AfterFunc(time.Duration(lag*1e9), func() {
			defer r.notifications.Done()
			r.mu.Lock()
			p := r.fronts[i]
			r.mu.Unlock()
			p.front.UpdateBoxes(false, []settings.Box{e})
			// Sessions returns after the event loop has taken the notification. An earlier timestamp would grant the front less
			// than its grace.
			p.front.Sessions()
			r.witness.FrontNotified(frontName(i), int(e.ID), e.State == choice.Ready, r.now())
		})
	}
}
