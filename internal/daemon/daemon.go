// Package daemon runs a front as a process: listeners, signals, reloads, draining, saved state, upgrades, health and
// metrics. Package choice/lifecycle decides the transitions between its states.
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
	"rainhaven/choice/lease"
	"rainhaven/choice/lifecycle"
	"rainhaven/choice/restore"
	"rainhaven/internal/front"
	"rainhaven/internal/keys"
	"rainhaven/internal/settings"
	"rainhaven/internal/state"
)

// Options configures a front's process.
type Options struct {
	LoadConfig   func() (settings.Config, error) // returns validated settings; called at the start and at each reload
	DrainTimeout time.Duration                   // how long sessions may continue after the process is told to stop
	Log          *zap.Logger
	SetLogLevel  func(name string)          // sets the minimum log level, an empty name the initial one; may be nil
	Signals      <-chan os.Signal           // SIGHUP reloads the settings, any other signal drains and then stops
	Upgrade      bool                       // takes the sockets over from the running process of this name, which then drains
	Parent       io.Reader                  // reaches EOF when the parent process exits, which starts a drain; may be nil
	OnServing    func(listen, admin string) // called with the listen addresses once the front serves; may be nil
}

// daemon is a front's process. Fields without a note on concurrent use belong to the loop goroutine.
type daemon struct {
	Options
	startedAt time.Time
	machine   *lifecycle.Machine
	events    chan func() // bounded, as each sender has at most one event pending
	wg        sync.WaitGroup
	ctx       context.Context // done when the process is to exit
	cancel    context.CancelFunc

	config     settings.Config
	front      *front.Front
	folder     *state.Folder
	viewerCert *keys.KeyPair // for viewers over TLS; nil if TLS is off
	// Duplicates of the listeners' and the folder lock's descriptors, sent to the next process in an upgrade. Complete before
	// the upgrade socket opens.
	handoverFiles []handoverFile
	storeMu       sync.Mutex
	leaseMu       sync.Mutex
	lease         lease.Lease  // on the sockets and the state; guarded by leaseMu
	store         *state.Store // nil while this process saves no state; guarded by storeMu once serving
	startErr      error        // why start failed
	frontClosed   bool
	exiting       bool
	exitCode      lifecycle.ExitCode
	exitReason    string

	status atomic.Pointer[processStatus] // set by the loop, read by any goroutine
	saves  atomic.Pointer[saveStatus]    // set on each save, read by any goroutine
}

// processStatus is the lifecycle part of the health facts.
type processStatus struct {
	state       lifecycle.State
	reloadError string
}

// saveStatus is the result of the latest saves of state.
type saveStatus struct {
	lastSavedAt time.Time
	lastError   string
}

// Run runs the process from start to exit and returns its exit code. The error is nil only on a clean exit.
func Run(o Options) (lifecycle.ExitCode, error) {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	d := &daemon{Options: o, startedAt: time.Now(), events: make(chan func(), 16)}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	defer d.cancel()
	d.machine = lifecycle.New(0, o.DrainTimeout.Seconds(), d)
	code, err := d.start()
	if err != nil {
		d.machine.Failed(code, err.Error())
		d.startErr = err
	} else {
		d.machine.Started()
	}
	if o.Parent != nil {
		go func() { // not waited for: a pending read can't be cancelled
			io.Copy(io.Discard, o.Parent)
			d.post(func() { d.machine.Terminate("whoever started it is gone") })
		}()
	}
	d.loop()
	d.shutdown()
	if d.startErr != nil {
		return d.exitCode, d.startErr
	}
	if d.exitCode != lifecycle.ExitClean {
		return d.exitCode, errors.New(d.exitReason)
	}
	d.Log.Info("exited", zap.String("why", d.exitReason))
	return d.exitCode, nil
}

// post has the loop run an event; it is dropped once the process is to exit.
func (d *daemon) post(event func()) {
	select {
	case d.events <- event:
	case <-d.ctx.Done():
	}
}

func (d *daemon) loop() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		d.machine.SetTime(time.Since(d.startedAt).Seconds())
		d.machine.Reconcile()
		s, _ := d.machine.State()
		d.status.Store(&processStatus{s, d.machine.ReloadError()})
		if d.exiting {
			return
		}
		wait := time.Hour
		if n := d.machine.NextWakeup(); n > 0 {
			wait = max(time.Duration((n-time.Since(d.startedAt).Seconds())*1e9), time.Millisecond)
		}
		timer.Reset(wait)
		select {
		case event := <-d.events:
			d.machine.SetTime(time.Since(d.startedAt).Seconds())
			event()
		case sig := <-d.Signals:
			d.machine.SetTime(time.Since(d.startedAt).Seconds())
			if sig == syscall.SIGHUP {
				d.machine.RequestReload()
			} else {
				d.machine.Terminate(sig.String())
			}
		case <-timer.C:
		}
	}
}

// start reads the settings, opens everything the front needs and serves. In an upgrade it takes the sockets, the lock and
// the learned state from the running process instead of opening them.
func (d *daemon) start() (lifecycle.ExitCode, error) {
	var err error
	if d.config, err = d.LoadConfig(); err != nil {
		return lifecycle.ExitFailed, err
	}
	t := &d.config
	d.applyLogLevel(t)
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	o := front.Options{Log: d.Log, Registry: reg}
	var old *takeover
	if d.Upgrade {
		if t.StateDir == "" {
			return lifecycle.ExitStateFolder, errors.New("an upgrade needs front(state = ...), the folder with the upgrade socket")
		}
		if old, err = requestTakeover(state.PathOf(t.StateDir, t.Name, upgradeSocket)); err != nil {
			return upgradeExitCode(err, lifecycle.ExitStateFolder), err
		}
		defer old.close()
		if d.folder, err = state.Adopt(t.StateDir, t.Name, old.files[useLock]); err != nil {
			return lifecycle.ExitStateFolder, err
		}
	} else if t.StateDir != "" {
		if o.Snapshot, err = d.restoreState(t); err != nil {
			return lifecycle.ExitStateFolder, err
		}
	}
	listen := func(use, address string) (net.Listener, error) {
		if old != nil {
			if l, err := old.listener(use); l != nil || err != nil {
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
		d.wg.Go(func() { roots.Watch(d.ctx, 2*time.Second) })
		o.Dial = roots.Dialer(t.BoxTLS.ServerName)
	}
	if t.TLS.Listen != "" {
		if d.viewerCert, err = keys.OpenKeyPair(t.TLS.CertFile, t.TLS.KeyFile, d.Log); err != nil {
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
	for use, address := range map[string]string{useViewers: t.Listen, useTLS: t.TLS.Listen, useAdmin: t.Admin} {
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
	if old != nil { // everything that can fail has succeeded
		if err := d.takeOver(old); err != nil {
			d.front.Close()
			d.front = nil
			return fail(upgradeExitCode(err, lifecycle.ExitFailed), fmt.Errorf("taking over: %w", err))
		}
	}
	d.saveState() // before the first request, so that a kill in the first interval doesn't give the retry budget anew
	addresses := map[string]string{}
	for use, l := range open {
		addresses[use] = l.Addr().String()
		if d.folder != nil {
			if x, err := l.(*net.TCPListener).File(); err == nil {
				d.handoverFiles = append(d.handoverFiles, handoverFile{use, x})
			}
		}
		if use == useAdmin {
			d.serveAdmin(l, reg)
		} else {
			d.serve(use, l)
		}
	}
	if d.viewerCert != nil {
		d.wg.Go(func() { d.viewerCert.Watch(d.ctx, 2*time.Second) })
	}
	if d.folder != nil {
		d.wg.Go(d.saveLoop)
		d.startControl()
		if x, err := d.folder.DupLock(); err == nil {
			d.handoverFiles = append(d.handoverFiles, handoverFile{useLock, x})
		}
		if err := d.listenForUpgrades(t); err != nil {
			d.Log.Warn("the upgrade socket is not available", zap.Error(err))
		}
	}
	if old != nil {
		old.sendServing()
		d.wg.Go(func() { old.followSeats(d.ctx, d.front) })
	}
	at := addresses[useAdmin]
	d.Log.Info("serving", zap.String("front", t.Name), zap.String("listen", addresses[useViewers]), zap.String("tls", addresses[useTLS]),
		zap.String("admin", at), zap.Int("boxes", len(t.Boxes)), zap.Bool("taken over", old != nil))
	if d.OnServing != nil {
		d.OnServing(addresses[useViewers], at)
	}
	return lifecycle.ExitClean, nil
}

// takeOver takes the learned state, the state file and the lease from the running process. Until it returns nil, nothing of the folder
// or of the sockets is changed, as the running process may resume service.
func (d *daemon) takeOver(old *takeover) error {
	received, err := old.sendReady()
	if err != nil {
		return err
	}
	d.front.Restore(received.Learned)
	d.front.SetForeignSeats(received.Seats)
	if err := old.commit(); err != nil {
		return err
	}
	d.folder.RecordOwner()
	saved := &saveStatus{lastSavedAt: time.Now()}
	if d.store, _, _, _, err = d.folder.Load(); err != nil {
		saved.lastError = err.Error() // serves without saving state
	}
	d.saves.Store(saved)
	return nil
}

// upgradeExitCode returns the exit code of an upgrade that failed.
func upgradeExitCode(err error, other lifecycle.ExitCode) lifecycle.ExitCode {
	if errors.Is(err, errUpgradeRefused) {
		return lifecycle.ExitUpgradeRefused
	}
	return other
}

// upgradeSocket is the file name of the upgrade socket in the instance's state folder.
const upgradeSocket = "upgrade.sock"

// listenForUpgrades opens the instance's upgrade socket. As this process holds the folder's lock, an existing socket file is
// stale or belongs to the process that was just replaced.
func (d *daemon) listenForUpgrades(t *settings.Config) error {
	path := d.folder.Path(upgradeSocket)
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return err
	}
	l.SetUnlinkOnClose(false) // by then the path may belong to the next process
	if err := os.Chmod(path, 0o600); err != nil {
		l.Close()
		return err
	}
	d.wg.Go(func() { d.serveUpgrades(l) })
	d.wg.Go(func() {
		<-d.ctx.Done()
		l.Close()
	})
	return nil
}

// listenerStopped handles the end of a listener; an error starts a drain.
func (d *daemon) listenerStopped(err error) {
	if err != nil {
		d.post(func() { d.machine.Failed(lifecycle.ExitFailed, "taking viewers: "+err.Error()) })
	}
}

// now returns the Unix time in seconds.
func now() float64 { return float64(time.Now().UnixNano()) / 1e9 }

// restoreState opens the instance's folder and returns what choice/restore uses of the last saved snapshot; nil if there is
// none.
func (d *daemon) restoreState(t *settings.Config) (*choice.Snapshot, error) {
	var err error
	if d.folder, err = state.Open(t.StateDir, t.Name); err != nil {
		return nil, err
	}
	s, saved, found, warning, err := d.folder.Load()
	if err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	d.store = s
	if warning != "" {
		d.Log.Warn("stored state", zap.String("what", warning))
	}
	d.saves.Store(&saveStatus{lastSavedAt: time.Now()})
	if !found {
		return nil, nil
	}
	config := t.Choice
	snapshot, messages := restore.FromSnapshot(now(), saved, restore.Config{RetryWindow: config.RetryWindow, BaseRetries: config.BaseRetries, RetriesPerSession: config.RetriesPerSession, WarmUp: config.WarmUp})
	d.Log.Info("stored state", zap.Float64("seconds old", now()-saved.SavedAt), zap.Bool("clean", saved.CleanExit), zap.Int("boxes", len(snapshot.Servers)),
		zap.Strings("what", messages))
	return &snapshot, nil
}

// saveInterval is the interval between saves of state. Changes since the last save are covered by choice/restore, which
// assumes that a killed front had used up its retry budget. A save takes 0.5 ms, outside the front's loop.
const saveInterval = time.Second

// saveLoop saves state at a fixed interval. A write that fails or blocks doesn't delay the front's loop, which only makes the
// copy.
func (d *daemon) saveLoop() {
	t := time.NewTicker(saveInterval)
	defer t.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-t.C:
		}
		d.saveState()
	}
}

// saveState saves what the front has learned.
func (d *daemon) saveState() {
	if m, ok := d.front.Snapshot(); ok {
		d.save(restore.Snapshot{SavedAt: now(), Choice: m})
	}
}

// save writes a snapshot, unless the state file is closed or handed over.
func (d *daemon) save(s restore.Snapshot) {
	d.storeMu.Lock()
	defer d.storeMu.Unlock()
	if d.store != nil {
		d.recordSave(d.store.Save(s))
	}
}

// recordSave records the result of a save and logs the first of several failures.
func (d *daemon) recordSave(err error) {
	previous := d.saves.Load()
	current := &saveStatus{lastSavedAt: previous.lastSavedAt}
	if err != nil {
		current.lastError = err.Error()
		if previous.lastError == "" {
			d.Log.Warn("state can't be kept", zap.Error(err))
		}
	} else {
		current.lastSavedAt = time.Now()
	}
	d.saves.Store(current)
}

// Reload implements lifecycle.Actions.
func (d *daemon) Reload() {
	d.wg.Go(func() {
		rejection := ""
		t, err := d.LoadConfig()
		if err != nil {
			rejection = err.Error()
		} else if plan, err := d.front.Reload(t); err != nil {
			rejection = err.Error()
		} else {
			if rejection = strings.Join(plan.Rejections, "; "); rejection == "" {
				d.applyLogLevel(&t)
			}
		}
		if rejection != "" {
			d.Log.Error("settings rejected; the old ones stay in force", zap.String("why", rejection))
		}
		d.post(func() { d.machine.Reloaded(rejection) })
	})
}

func (d *daemon) applyLogLevel(t *settings.Config) {
	if d.SetLogLevel != nil {
		d.SetLogLevel(t.LogLevel)
	}
}

// Drain implements lifecycle.Actions.
func (d *daemon) Drain() {
	d.Log.Info("draining", zap.Int("sessions", d.front.Sessions()), zap.Duration("at most", d.Options.DrainTimeout))
	d.wg.Go(func() {
		d.front.Drain(d.ctx)
		d.post(d.machine.Drained)
	})
}

// EndSessions implements lifecycle.Actions.
func (d *daemon) EndSessions() {
	d.Log.Info("stopping", zap.Int("sessions", d.front.Sessions()))
	d.wg.Go(func() {
		d.front.Close()
		d.save(restore.Snapshot{SavedAt: now(), CleanExit: true, Choice: d.front.FinalSnapshot()})
		d.post(func() {
			d.frontClosed = true
			d.machine.SessionsEnded()
		})
	})
}

// Exit implements lifecycle.Actions.
func (d *daemon) Exit(code lifecycle.ExitCode, reason string) {
	d.exiting, d.exitCode, d.exitReason = true, code, reason
}

// shutdown releases all resources. If the front hasn't closed in time, they are left to the exit of the process.
func (d *daemon) shutdown() {
	d.cancel()
	if d.front != nil && !d.frontClosed {
		return
	}
	d.wg.Wait()
	if d.store != nil {
		d.store.Close()
	}
	for _, x := range d.handoverFiles {
		x.file.Close()
	}
	if d.folder != nil {
		d.folder.Close()
	}
}

// serveAdmin serves health and metrics over HTTP.
func (d *daemon) serveAdmin(l net.Listener, reg *prometheus.Registry) {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, r *http.Request) {
		status := health.Evaluate(d.facts())
		w.Header().Set("Content-Type", "application/json")
		ok := status.Ready
		if r.URL.Query().Get("of") == "live" {
			ok = status.Live
		}
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		json.NewEncoder(w).Encode(status)
	})
	s := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}
	d.wg.Go(func() { s.Serve(l) })
	d.wg.Go(func() {
		<-d.ctx.Done()
		s.Close()
	})
}

// loopTimeout limits how long the front's loop may take to answer a health check.
const loopTimeout = 500 * time.Millisecond

// facts collects the input of the health evaluation.
func (d *daemon) facts() health.Facts {
	h := d.front.HealthFacts(loopTimeout)
	if s := d.status.Load(); s != nil {
		h.State, h.Serving, h.ReloadError = s.state.String(), s.state == lifecycle.Serving, s.reloadError
	}
	if s := d.saves.Load(); s != nil {
		h.StateAge, h.StateError = time.Since(s.lastSavedAt).Seconds(), s.lastError
	}
	return h
}
