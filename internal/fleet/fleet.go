// Package fleet runs many fronts on one machine as processes of their own, as choice/fleet decides it, and answers over a
// unix socket.
package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"rainhaven/choice/fleet"
	"rainhaven/choice/health"
	"rainhaven/internal/settings"
)

// Options are what a fleet is run by.
type Options struct {
	Executable  string // rainhaven itself
	Script      string // settings of all, by the name instance
	Config      fleet.Config
	SocketPath  string    // where it answers
	FrontLogs   io.Writer // of the fronts
	Log         *zap.Logger
	Signals     <-chan os.Signal
	OnListening func() // called once it answers; may be nil
}

// Report is what the fleet tells of itself.
type Report struct {
	HoldReason string  `json:"Held"` // why a rolling restart is paused; empty where it is not
	Fronts     []Front `json:"Fronts"`
}

// Front is one front's part of a report.
type Front struct {
	fleet.Status
	PID int `json:"Process"` // process id; 0 while none runs
}

// supervisor is one machine's. Its loop alone touches what is below events.
type supervisor struct {
	Options
	began  time.Time
	admin  []string // addresses of health, by instance
	events chan func()
	over   context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup
	client *http.Client

	fleet *fleet.Fleet
	run   []*process
}

// process is one front's: its standard input stays open as long as the supervisor lives.
type process struct {
	cmd   *exec.Cmd
	stdin io.Closer
}

// Run keeps a fleet running until it is told to end and all its fronts have ended.
func Run(o Options) error {
	s := &supervisor{Options: o, began: time.Now(), events: make(chan func(), 64), run: make([]*process, o.Config.Fronts),
		client: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
	var err error
	if s.admin, err = s.claims(); err != nil {
		return err
	}
	l, err := listen(o.SocketPath)
	if err != nil {
		return err
	}
	s.over, s.cancel = context.WithCancel(context.Background())
	defer s.work.Wait()
	defer s.client.CloseIdleConnections()
	defer s.cancel()
	s.fleet = fleet.New(0, o.Config, s)
	s.answer(l)
	for n := range s.run {
		s.work.Go(func() { s.watch(n) })
	}
	if o.OnListening != nil {
		o.OnListening()
	}
	s.loop()
	return nil
}

// claims reads each instance's settings, so that none is started where two would step on each other, and gives where each
// tells its health.
func (s *supervisor) claims() (admin []string, err error) {
	var list []fleet.Claim
	for n := range s.Config.Fronts {
		t, err := settings.ReadInstanceConfig(s.Script, n)
		if err != nil {
			return nil, err
		}
		if t.Admin == "" || strings.HasSuffix(t.Admin, ":0") {
			return nil, fmt.Errorf("instance %d: front(admin = %q) must name a port: health is asked there", n, t.Admin)
		}
		admin = append(admin, t.Admin)
		list = append(list, fleet.Claim{Index: n, Name: t.Name, Addresses: []string{t.Listen, t.TLS.Listen, t.Admin}})
	}
	if words := fleet.Conflicts(list); len(words) > 0 {
		return nil, errors.New(strings.Join(words, "; "))
	}
	return admin, nil
}

// listen opens the socket. One that nobody answers on is left over, and removed.
func listen(path string) (net.Listener, error) {
	if c, err := net.Dial("unix", path); err == nil {
		c.Close()
		return nil, fmt.Errorf("%s: a fleet is running there", path)
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	l, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	return l, os.Chmod(path, 0o600)
}

func (s *supervisor) post(event func()) {
	select {
	case s.events <- event:
	case <-s.over.Done():
	}
}

func (s *supervisor) now() float64 { return time.Since(s.began).Seconds() }

func (s *supervisor) loop() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		s.fleet.SetTime(s.now())
		s.fleet.Reconcile()
		if s.fleet.Finished() {
			return
		}
		wait := time.Hour
		if n := s.fleet.NextWakeup(); n > 0 {
			wait = max(time.Duration((n-s.now())*1e9), time.Millisecond)
		}
		timer.Reset(wait)
		select {
		case e := <-s.events:
			s.fleet.SetTime(s.now())
			e()
		case g := <-s.Signals:
			s.Log.Info("all fronts are to end", zap.Stringer("signal", g))
			s.fleet.SetTime(s.now())
			s.fleet.Shutdown()
		case <-timer.C:
		}
	}
}

// Start implements fleet.Actions.
func (s *supervisor) Start(n int) {
	cmd := exec.Command(s.Executable, "front", "--config", s.Script, "--instance", strconv.Itoa(n), "--drain",
		strconv.FormatFloat(s.Config.DrainSeconds, 'f', -1, 64)+"s", "--supervised")
	cmd.Stderr = s.FrontLogs
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // a terminal's signal is the supervisor's to pass on
	stdin, err := cmd.StdinPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		s.work.Go(func() { s.post(func() { s.fleet.Exited(n, -1, err.Error()) }) })
		return
	}
	s.run[n] = &process{cmd, stdin}
	s.Log.Info("front started", zap.Int("instance", n), zap.Int("process", cmd.Process.Pid))
	s.work.Go(func() {
		err := cmd.Wait()
		why := ""
		if err != nil {
			why = err.Error()
		}
		s.post(func() {
			s.run[n] = nil
			s.Log.Info("front ended", zap.Int("instance", n), zap.Int("code", cmd.ProcessState.ExitCode()), zap.String("why", why))
			s.fleet.Exited(n, cmd.ProcessState.ExitCode(), why)
		})
	})
}

// Stop implements fleet.Actions.
func (s *supervisor) Stop(n int) {
	if p := s.run[n]; p != nil {
		p.cmd.Process.Signal(syscall.SIGTERM)
	}
}

// Kill implements fleet.Actions.
func (s *supervisor) Kill(n int) {
	if p := s.run[n]; p != nil {
		s.Log.Warn("front killed", zap.Int("instance", n))
		p.cmd.Process.Kill()
	}
}

// watch asks one front's health: each second, and more often until it is ready once.
func (s *supervisor) watch(n int) {
	const slow, quick = time.Second, 100 * time.Millisecond
	t := time.NewTimer(quick)
	defer t.Stop()
	for {
		select {
		case <-s.over.Done():
			return
		case <-t.C:
		}
		w, ok := s.ask(n)
		if ok {
			s.post(func() { s.fleet.ReportHealth(n, w.Live, w.Ready) })
		}
		if t.Reset(quick); ok && w.Ready {
			t.Reset(slow)
		}
	}
}

func (s *supervisor) ask(n int) (w health.Status, ok bool) {
	req, err := http.NewRequestWithContext(s.over, http.MethodGet, "http://"+s.admin[n]+"/health", nil)
	if err != nil {
		return w, false
	}
	r, err := s.client.Do(req)
	if err != nil {
		return w, false
	}
	defer r.Body.Close()
	return w, json.NewDecoder(io.LimitReader(r.Body, 64<<10)).Decode(&w) == nil
}

// answer serves the socket.
func (s *supervisor) answer(l net.Listener) {
	mux := http.NewServeMux()
	do := func(what func(n int) error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			n, err := strconv.Atoi(r.URL.Query().Get("instance"))
			if err == nil && (n < 0 || n >= s.Config.Fronts) {
				http.Error(w, fmt.Sprintf("instance %d of 0 to %d", n, s.Config.Fronts-1), http.StatusBadRequest)
				return
			}
			if err != nil {
				n = -1
			}
			done := make(chan error, 1)
			s.post(func() { done <- what(n) })
			select {
			case err := <-done:
				if err != nil {
					http.Error(w, err.Error(), http.StatusBadRequest)
				}
			case <-s.over.Done():
			}
		}
	}
	one := func(run bool) func(n int) error {
		return func(n int) error {
			if n < 0 {
				return errors.New("which instance?")
			}
			s.fleet.SetWanted(n, run)
			return nil
		}
	}
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		got := make(chan Report, 1)
		s.post(func() {
			var r Report
			list, held := s.fleet.Status()
			r.HoldReason = held
			for n, x := range list {
				r.Fronts = append(r.Fronts, Front{Status: x})
				if p := s.run[n]; p != nil {
					r.Fronts[n].PID = p.cmd.Process.Pid
				}
			}
			got <- r
		})
		select {
		case r := <-got:
			json.NewEncoder(w).Encode(r)
		case <-s.over.Done():
		}
	})
	mux.HandleFunc("POST /drain", do(one(false)))
	mux.HandleFunc("POST /start", do(one(true)))
	mux.HandleFunc("POST /restart", do(func(int) error {
		admin, err := s.claims()
		if err != nil { // fronts that could not start again are not ended
			return err
		}
		if !slices.Equal(admin, s.admin) {
			return errors.New("addresses of health have changed; that takes down and up")
		}
		s.fleet.StartRollingRestart()
		return nil
	}))
	mux.HandleFunc("POST /down", do(func(int) error { s.fleet.Shutdown(); return nil }))
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	s.work.Go(func() { srv.Serve(l) })
	s.work.Go(func() {
		<-s.over.Done()
		srv.Close()
	})
}

// Request sends a fleet one request, as in "status" or "drain?instance=3", and gives what it says.
func Request(ctx context.Context, socket, what string) ([]byte, error) {
	var d net.Dialer
	c := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return d.DialContext(ctx, "unix", socket) }}}
	method := http.MethodPost
	if what == "status" {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://fleet/"+what, nil)
	if err != nil {
		return nil, err
	}
	r, err := c.Do(req)
	if err != nil {
		return nil, fmt.Errorf("no fleet answers at %s: %w", socket, err)
	}
	defer r.Body.Close()
	b, err := io.ReadAll(io.LimitReader(r.Body, 4<<20))
	if err == nil && r.StatusCode != http.StatusOK {
		return nil, errors.New(strings.TrimSpace(string(b)))
	}
	return b, err
}

// SocketPath is where a fleet of a folder answers.
func SocketPath(folder string) string { return filepath.Join(folder, "fleet.sock") }
