// Package daemon carries out a front's process as choice/lifecycle decides it: listeners, signals, reloads, the drain, what
// is kept for the next process, health and metrics.
package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"rainhaven/choice"
	"rainhaven/choice/health"
	"rainhaven/choice/lifecycle"
	"rainhaven/choice/restore"
	"rainhaven/internal/front"
	"rainhaven/internal/keys"
	"rainhaven/internal/settings"
	"rainhaven/internal/state"
)

// Options are what a process is handed.
type Options struct {
	LoadTerms    func() (settings.Config, error) // the settings, checked; called at the start and at each reload
	DrainTimeout time.Duration                   // sessions may play on so long once the process is told to stop
	Log          *zap.Logger
	SetLogLevel  func(name string) // sets the log's least level, an empty name the one it began with; may be nil
	Signals      <-chan os.Signal
	Upgrade      bool                       // take the sockets of the process of this name that runs, which drains then
	Parent       io.Reader                  // ends when whoever started the process is gone: it drains then; may be nil
	OnServing    func(listen, admin string) // called once it serves; may be nil
}

// daemon is one process's. Its loop alone touches what is not said to be others'.
type daemon struct {
	Options
	began  time.Time
	life   *lifecycle.Machine
	events chan func() // bounded: each owner below has at most one event under way
	work   sync.WaitGroup
	over   context.Context // done when the process is to end
	cancel context.CancelFunc

	terms  settings.Config
	front  *front.Front
	folder *state.Folder
	files  *keys.KeyPair // for viewers over TLS; nil without
	// What an upgrade gives away: listeners by use and the folder's lock, as files of their own. Set before it may come.
	sockets []given
	storeMu sync.Mutex
	store   *state.Store // nil where nothing is kept
	first   error        // of the start
	ended   bool         // the front has
	exit    bool
	code    lifecycle.ExitCode
	why     string

	said  atomic.Pointer[said]  // for health; read by anyone
	saved atomic.Pointer[saved] // written by the keeper
}

// said is where the process stands, for those who ask.
type said struct {
	state   lifecycle.State
	refused string
}

type saved struct {
	at     time.Time
	broken string
}

// Run is a process from its start to its exit code. The error tells what went wrong, in words for whoever started it.
func Run(o Options) (lifecycle.ExitCode, error) {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	d := &daemon{Options: o, began: time.Now(), events: make(chan func(), 16)}
	d.over, d.cancel = context.WithCancel(context.Background())
	defer d.cancel()
	d.life = lifecycle.New(0, o.DrainTimeout.Seconds(), d)
	code, err := d.start()
	if err != nil {
		d.life.Failed(code, err.Error())
		d.first = err
	} else {
		d.life.Started()
	}
	if o.Parent != nil {
		go func() { // ends with the process: nothing can be done about a read under way
			io.Copy(io.Discard, o.Parent)
			d.post(func() { d.life.Terminate("whoever started it is gone") })
		}()
	}
	d.loop()
	d.stop()
	if d.first != nil {
		return d.code, d.first
	}
	if d.code != lifecycle.ExitClean {
		return d.code, errors.New(d.why)
	}
	d.Log.Info("over", zap.String("why", d.why))
	return d.code, nil
}

func (d *daemon) post(event func()) {
	select {
	case d.events <- event:
	case <-d.over.Done():
	}
}

func (d *daemon) loop() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		d.life.SetTime(time.Since(d.began).Seconds())
		d.life.Reconcile()
		s, _ := d.life.State()
		d.said.Store(&said{s, d.life.ReloadError()})
		if d.exit {
			return
		}
		wait := time.Hour
		if n := d.life.NextWakeup(); n > 0 {
			wait = max(time.Duration((n-time.Since(d.began).Seconds())*1e9), time.Millisecond)
		}
		timer.Reset(wait)
		select {
		case e := <-d.events:
			d.life.SetTime(time.Since(d.began).Seconds())
			e()
		case s := <-d.Signals:
			d.life.SetTime(time.Since(d.began).Seconds())
			if s == syscall.SIGHUP {
				d.life.RequestReload()
			} else {
				d.life.Terminate(s.String())
			}
		case <-timer.C:
		}
	}
}

// start brings everything up, or tells what can't be.
func (d *daemon) start() (lifecycle.ExitCode, error) {
	var err error
	if d.terms, err = d.LoadTerms(); err != nil {
		return lifecycle.ExitFailed, err
	}
	t := &d.terms
	d.level(t)
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	o := front.Options{Log: d.Log, Registry: reg}
	var from *taking
	if d.Upgrade {
		if t.StateDir == "" {
			return lifecycle.ExitStateFolder, errors.New("an upgrade in service needs front(state = ...), where the two processes meet")
		}
		if from, err = take(state.PathOf(t.StateDir, t.Name, socket)); err != nil {
			return lifecycle.ExitStateFolder, err
		}
		defer from.drop()
		if d.folder, err = state.Adopt(t.StateDir, t.Name, from.files[forLock]); err != nil {
			return lifecycle.ExitStateFolder, err
		}
	} else if t.StateDir != "" {
		if o.Snapshot, err = d.recall(t); err != nil {
			return lifecycle.ExitStateFolder, err
		}
	}
	listen := func(use, address string) (net.Listener, error) {
		if from != nil {
			if l, err := from.listener(use); l != nil || err != nil {
				return l, err
			}
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			err = fmt.Errorf("the address for %s: %w", use, err)
		}
		return l, err
	}
	if t.BoxTLS.RootsFile != "" {
		roots, err := keys.OpenRoots(t.BoxTLS.RootsFile, d.Log)
		if err != nil {
			return lifecycle.ExitFailed, err
		}
		d.work.Go(func() { roots.Watch(d.over, 2*time.Second) })
		o.Dial = roots.Dialer(t.BoxTLS.ServerName)
	}
	if t.TLS.Listen != "" {
		if d.files, err = keys.OpenKeyPair(t.TLS.CertFile, t.TLS.KeyFile, d.Log); err != nil {
			return lifecycle.ExitFailed, err
		}
	}
	open := map[string]net.Listener{}
	fail := func(code lifecycle.ExitCode, err error) (lifecycle.ExitCode, error) {
		for _, l := range open {
			l.Close()
		}
		return code, err
	}
	for use, address := range map[string]string{forViewers: t.Listen, forTLS: t.TLS.Listen, forAdmin: t.Admin} {
		if address == "" {
			continue
		}
		if open[use], err = listen(use, address); err != nil {
			delete(open, use)
			return fail(lifecycle.ExitAddressUnavailable, err)
		}
	}
	if d.front, err = front.New(*t, o); err != nil {
		return fail(lifecycle.ExitFailed, err)
	}
	if from != nil { // all that can fail is behind; from here on this process decides
		m, err := from.ready()
		if err != nil {
			d.front.Close()
			d.front = nil
			return fail(lifecycle.ExitFailed, fmt.Errorf("taking over: %w", err))
		}
		d.front.Restore(m)
		if d.store, _, _, _, err = d.folder.Load(); err != nil {
			d.saved.Store(&saved{at: time.Now(), broken: err.Error()}) // it serves all the same
		} else {
			d.saved.Store(&saved{at: time.Now()})
		}
	}
	addresses := map[string]string{}
	for use, l := range open {
		addresses[use] = l.Addr().String()
		if d.folder != nil {
			if x, err := l.(*net.TCPListener).File(); err == nil {
				d.sockets = append(d.sockets, given{use, x})
			}
		}
		if use == forAdmin {
			d.watchers(l, reg)
		} else {
			d.serve(use, l)
		}
	}
	if d.files != nil {
		d.work.Go(func() { d.files.Watch(d.over, 2*time.Second) })
	}
	if d.folder != nil {
		d.work.Go(d.keep)
		d.control()
		if x, err := d.folder.DupLock(); err == nil {
			d.sockets = append(d.sockets, given{forLock, x})
		}
		if err := d.meet(t); err != nil {
			d.Log.Warn("no upgrade in service can reach this process", zap.Error(err))
		}
	}
	if from != nil {
		from.serving()
	}
	at := addresses[forAdmin]
	d.Log.Info("serving", zap.String("front", t.Name), zap.String("listen", addresses[forViewers]), zap.String("tls", addresses[forTLS]),
		zap.String("admin", at), zap.Int("boxes", len(t.Boxes)), zap.Bool("taken over", from != nil))
	if d.OnServing != nil {
		d.OnServing(addresses[forViewers], at)
	}
	return lifecycle.ExitClean, nil
}

// socket is where processes of one instance meet, in its folder.
const socket = "upgrade.sock"

// meet opens the instance's socket for upgrades. The folder's lock is held, so one that is there is left over or that of
// the process that was just taken over.
func (d *daemon) meet(t *settings.Config) error {
	path := d.folder.Path(socket)
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return err
	}
	l.SetUnlinkOnClose(false) // the next process has its own there by then
	if err := os.Chmod(path, 0o600); err != nil {
		l.Close()
		return err
	}
	d.work.Go(func() { d.upgrades(l) })
	d.work.Go(func() {
		<-d.over.Done()
		l.Close()
	})
	return nil
}

// served hears that a listener takes nobody any more.
func (d *daemon) served(err error) {
	if err != nil {
		d.post(func() { d.life.Failed(lifecycle.ExitFailed, "taking viewers: "+err.Error()) })
	}
}

func now() float64 { return float64(time.Now().UnixNano()) / 1e9 }

// recall opens the instance's folder and reads what the last process left, as far as it is believed.
func (d *daemon) recall(t *settings.Config) (*choice.Snapshot, error) {
	var err error
	if d.folder, err = state.Open(t.StateDir, t.Name); err != nil {
		return nil, err
	}
	s, kept, found, say, err := d.folder.Load()
	if err != nil {
		return nil, fmt.Errorf("the state folder: %w", err)
	}
	d.store = s
	if say != "" {
		d.Log.Warn("stored state", zap.String("what", say))
	}
	d.saved.Store(&saved{at: time.Now()})
	if !found {
		return nil, nil
	}
	f := t.Choice
	m, words := restore.FromSnapshot(now(), kept, restore.Config{WindowSeconds: f.RetryWindow, BaseAllowance: f.BaseRetries, RetryShare: f.RetriesPerSession, WarmUpSeconds: f.WarmUp})
	d.Log.Info("stored state", zap.Float64("seconds old", now()-kept.SavedAt), zap.Bool("clean", kept.CleanExit), zap.Int("boxes", len(m.Servers)),
		zap.Strings("what", words))
	return &m, nil
}

// keepEvery is the pace at which state is kept. What happens between two is covered by choice/restore, which takes it that
// a killed front had used its ration up; a write takes half a millisecond beside the loop.
const keepEvery = time.Second

// keep writes state at an even pace. A write that fails or stands still delays nobody: the front's loop only copies.
func (d *daemon) keep() {
	t := time.NewTicker(keepEvery)
	defer t.Stop()
	for {
		select {
		case <-d.over.Done():
			return
		case <-t.C:
		}
		if m, ok := d.front.Snapshot(); ok {
			d.write(restore.Snapshot{SavedAt: now(), Memory: m})
		}
	}
}

// write keeps something, as long as the folder is this process's.
func (d *daemon) write(s restore.Snapshot) {
	d.storeMu.Lock()
	defer d.storeMu.Unlock()
	if d.store != nil {
		d.kept(d.store.Save(s))
	}
}

// kept notes how a write went.
func (d *daemon) kept(err error) {
	was := d.saved.Load()
	is := &saved{at: was.at}
	if err != nil {
		is.broken = err.Error()
		if was.broken == "" {
			d.Log.Warn("state can't be kept", zap.Error(err))
		}
	} else {
		is.at = time.Now()
	}
	d.saved.Store(is)
}

// Reload implements lifecycle.Actions.
func (d *daemon) Reload() {
	d.work.Go(func() {
		refused := ""
		t, err := d.LoadTerms()
		if err != nil {
			refused = err.Error()
		} else if plan, err := d.front.Reload(t); err != nil {
			refused = err.Error()
		} else {
			if refused = strings.Join(plan.Rejections, "; "); refused == "" {
				d.level(&t)
			}
		}
		if refused != "" {
			d.Log.Error("settings refused; the old ones stay in force", zap.String("why", refused))
		}
		d.post(func() { d.life.Reloaded(refused) })
	})
}

func (d *daemon) level(t *settings.Config) {
	if d.SetLogLevel != nil {
		d.SetLogLevel(t.LogLevel)
	}
}

// Drain implements lifecycle.Actions.
func (d *daemon) Drain() {
	d.Log.Info("draining", zap.Int("sessions", d.front.Sessions()), zap.Duration("at most", d.Options.DrainTimeout))
	d.work.Go(func() {
		d.front.Drain(d.over)
		d.post(d.life.Drained)
	})
}

// EndSessions implements lifecycle.Actions.
func (d *daemon) EndSessions() {
	d.Log.Info("stopping", zap.Int("sessions", d.front.Sessions()))
	d.work.Go(func() {
		d.front.Close()
		d.write(restore.Snapshot{SavedAt: now(), CleanExit: true, Memory: d.front.FinalSnapshot()})
		d.post(func() {
			d.ended = true
			d.life.SessionsEnded()
		})
	})
}

// Exit implements lifecycle.Actions.
func (d *daemon) Exit(code lifecycle.ExitCode, why string) { d.exit, d.code, d.why = true, code, why }

// stop gives everything back. A front that has not ended by then is left to the process's end.
func (d *daemon) stop() {
	d.cancel()
	if d.front != nil && !d.ended {
		return
	}
	d.work.Wait()
	if d.store != nil {
		d.store.Close()
	}
	for _, x := range d.sockets {
		x.file.Close()
	}
	if d.folder != nil {
		d.folder.Close()
	}
}

// watchers serves health and metrics.
func (d *daemon) watchers(l net.Listener, reg *prometheus.Registry) {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, r *http.Request) {
		word := health.Evaluate(d.facts())
		w.Header().Set("Content-Type", "application/json")
		good := word.Ready
		if r.URL.Query().Get("of") == "live" {
			good = word.Live
		}
		if !good {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		json.NewEncoder(w).Encode(word)
	})
	s := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}
	d.work.Go(func() { s.Serve(l) })
	d.work.Go(func() {
		<-d.over.Done()
		s.Close()
	})
}

// loopTime is what the front's loop has to answer a question on its health.
const loopTime = 500 * time.Millisecond

func (d *daemon) facts() health.Facts {
	h := d.front.HealthFacts(loopTime)
	if s := d.said.Load(); s != nil {
		h.State, h.Serving, h.ReloadError = s.state.String(), s.state == lifecycle.Serving, s.refused
	}
	if s := d.saved.Load(); s != nil {
		h.StateAge, h.StateError = time.Since(s.at).Seconds(), s.broken
	}
	return h
}
