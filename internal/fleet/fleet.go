// Package fleet supervises the front processes of one machine: it starts, stops and restarts them as package choice/fleet
// decides, and serves the operators' commands over a unix socket.
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

// Options configures a supervisor.
type Options struct {
	Executable  string // path of the rainhaven binary
	Script      string // path of the settings; the script reads the variable instance
	Config      fleet.Config
	SocketPath  string
	FrontLogs   io.Writer // receives the fronts' standard error
	Log         *zap.Logger
	Signals     <-chan os.Signal // each one shuts the fleet down
	OnListening func()           // called once the socket is served; may be nil
}

// Report is the fleet's status as JSON.
type Report struct {
	HoldReason string  `json:"Held"` // why a rolling restart is paused; empty where it is not
	Fronts     []Front `json:"Fronts"`
}

// Front is the status of one front in a Report.
type Front struct {
	fleet.Status
	PID int `json:"Process"` // process id; 0 while none runs
}

// supervisor runs one machine's fronts. The fields after client are used by the loop goroutine only.
type supervisor struct {
	Options
	startedAt      time.Time
	adminAddresses []string // of the health endpoints, by instance
	events         chan func()
	ctx            context.Context
	cancel         context.CancelFunc
	wg             sync.WaitGroup
	client         *http.Client

	fleet     *fleet.Fleet
	processes []*process
}

// process is a running front. Its standard input stays open as long as the supervisor lives; the front drains when it closes.
type process struct {
	cmd   *exec.Cmd
	stdin io.Closer
}

// ErrNothingToRun is returned by Run if no front is left that is to run, although the fleet was not shut down.
var ErrNothingToRun = errors.New("no front is left to run")

// Run supervises the fleet until it is told to shut down and all fronts have exited, or until no front is left that is to run.
func Run(o Options) error {
	s := &supervisor{Options: o, startedAt: time.Now(), events: make(chan func(), 64), processes: make([]*process, o.Config.Fronts),
		client: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
	var err error
	if s.adminAddresses, err = s.readInstances(); err != nil {
		return err
	}
	l, err := listen(o.SocketPath)
	if err != nil {
		return err
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	defer s.wg.Wait()
	defer s.client.CloseIdleConnections()
	defer s.cancel()
	s.fleet = fleet.New(0, o.Config, s)
	s.serveSocket(l)
	for n := range s.processes {
		s.wg.Go(func() { s.pollHealth(n) })
	}
	if o.OnListening != nil {
		o.OnListening()
	}
	s.loop()
	if !s.fleet.IsShutDown() {
		return fmt.Errorf("%w: %s", ErrNothingToRun, s.lastExits())
	}
	return nil
}

// lastExits describes how each front ended.
func (s *supervisor) lastExits() string {
	list, _ := s.fleet.Status()
	var exits []string
	for _, status := range list {
		exits = append(exits, fmt.Sprintf("front %d: %s", status.Index, status.LastExit))
	}
	return strings.Join(exits, "; ")
}

// readInstances reads every instance's settings, reports conflicts between them before any front is started, and returns
// their admin addresses.
func (s *supervisor) readInstances() (admin []string, err error) {
	var claims []fleet.Claim
	for n := range s.Config.Fronts {
		t, err := settings.ReadInstanceConfig(s.Script, n)
		if err != nil {
			return nil, err
		}
		if t.Admin == "" || strings.HasSuffix(t.Admin, ":0") {
			return nil, fmt.Errorf("instance %d: front(admin = %q) must name a port, as the supervisor checks health there", n, t.Admin)
		}
		admin = append(admin, t.Admin)
		claims = append(claims, fleet.Claim{Index: n, Name: t.Name, Addresses: []string{t.Listen, t.TLS.Listen, t.Admin}})
	}
	if conflicts := fleet.Conflicts(claims); len(conflicts) > 0 {
		return nil, errors.New(strings.Join(conflicts, "; "))
	}
	return admin, nil
}

// listen opens the unix socket. A socket file that accepts no connection is stale and is removed.
func listen(path string) (net.Listener, error) {
	if c, err := net.Dial("unix", path); err == nil {
		c.Close()
		return nil, fmt.Errorf("%s: another fleet is running", path)
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
	case <-s.ctx.Done():
	}
}

func (s *supervisor) now() float64 { return time.Since(s.startedAt).Seconds() }

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
		case sig := <-s.Signals:
			s.Log.Info("shutting down all fronts", zap.Stringer("signal", sig))
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
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // a signal from the terminal must reach only the supervisor, which stops the fronts
	stdin, err := cmd.StdinPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		s.wg.Go(func() { s.post(func() { s.fleet.Exited(n, -1, err.Error()) }) })
		return
	}
	s.processes[n] = &process{cmd, stdin}
	s.Log.Info("front started", zap.Int("instance", n), zap.Int("process", cmd.Process.Pid))
	s.wg.Go(func() {
		err := cmd.Wait()
		reason := ""
		if err != nil {
			reason = err.Error()
		}
		s.post(func() {
			s.processes[n] = nil
			s.Log.Info("front exited", zap.Int("instance", n), zap.Int("code", cmd.ProcessState.ExitCode()), zap.String("why", reason))
			s.fleet.Exited(n, cmd.ProcessState.ExitCode(), reason)
		})
	})
}

// Stop implements fleet.Actions.
func (s *supervisor) Stop(n int) {
	if p := s.processes[n]; p != nil {
		p.cmd.Process.Signal(syscall.SIGTERM)
	}
}

// Kill implements fleet.Actions.
func (s *supervisor) Kill(n int) {
	if p := s.processes[n]; p != nil {
		s.Log.Warn("front killed", zap.Int("instance", n))
		p.cmd.Process.Kill()
	}
}

// pollHealth checks one front's health each second, and every 100 ms while it is not ready.
func (s *supervisor) pollHealth(n int) {
	const interval, unreadyInterval = time.Second, 100 * time.Millisecond
	t := time.NewTimer(unreadyInterval)
	defer t.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-t.C:
		}
		status, ok := s.queryHealth(n)
		if ok {
			s.post(func() { s.fleet.ReportHealth(n, status.Live, status.Ready) })
		}
		if t.Reset(unreadyInterval); ok && status.Ready {
			t.Reset(interval)
		}
	}
}

// queryHealth fetches a front's health; ok is false if it didn't answer.
func (s *supervisor) queryHealth(n int) (status health.Status, ok bool) {
	req, err := http.NewRequestWithContext(s.ctx, http.MethodGet, "http://"+s.adminAddresses[n]+"/health", nil)
	if err != nil {
		return status, false
	}
	r, err := s.client.Do(req)
	if err != nil {
		return status, false
	}
	defer r.Body.Close()
	return status, json.NewDecoder(io.LimitReader(r.Body, 64<<10)).Decode(&status) == nil
}

// serveSocket serves the operators' commands.
func (s *supervisor) serveSocket(l net.Listener) {
	mux := http.NewServeMux()
	command := func(run func(n int) error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			n, err := strconv.Atoi(r.URL.Query().Get("instance"))
			if err == nil && (n < 0 || n >= s.Config.Fronts) {
				http.Error(w, fmt.Sprintf("instance %d is not one of 0 to %d", n, s.Config.Fronts-1), http.StatusBadRequest)
				return
			}
			if err != nil {
				n = -1
			}
			done := make(chan error, 1)
			s.post(func() { done <- run(n) })
			select {
			case err := <-done:
				if err != nil {
					http.Error(w, err.Error(), http.StatusBadRequest)
				}
			case <-s.ctx.Done():
			}
		}
	}
	setWanted := func(wanted bool) func(n int) error {
		return func(n int) error {
			if n < 0 {
				return errors.New("the parameter instance is missing or not a number")
			}
			s.fleet.SetWanted(n, wanted)
			return nil
		}
	}
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		report := make(chan Report, 1)
		s.post(func() {
			var r Report
			list, holdReason := s.fleet.Status()
			r.HoldReason = holdReason
			for n, status := range list {
				r.Fronts = append(r.Fronts, Front{Status: status})
				if p := s.processes[n]; p != nil {
					r.Fronts[n].PID = p.cmd.Process.Pid
				}
			}
			report <- r
		})
		select {
		case r := <-report:
			json.NewEncoder(w).Encode(r)
		case <-s.ctx.Done():
		}
	})
	mux.HandleFunc("POST /drain", command(setWanted(false)))
	mux.HandleFunc("POST /start", command(setWanted(true)))
	mux.HandleFunc("POST /restart", command(func(int) error {
		admin, err := s.readInstances()
		if err != nil { // with invalid settings no front could start again, so none is stopped
			return err
		}
		if !slices.Equal(admin, s.adminAddresses) {
			return errors.New("an admin address has changed; run fleet down and fleet up")
		}
		s.fleet.StartRollingRestart()
		return nil
	}))
	mux.HandleFunc("POST /down", command(func(int) error { s.fleet.Shutdown(); return nil }))
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	s.wg.Go(func() { srv.Serve(l) })
	s.wg.Go(func() {
		<-s.ctx.Done()
		srv.Close()
	})
}

// Request sends one command to a running fleet, such as "status" or "drain?instance=3", and returns the response.
func Request(ctx context.Context, socket, command string) ([]byte, error) {
	var d net.Dialer
	c := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return d.DialContext(ctx, "unix", socket) }}}
	method := http.MethodPost
	if command == "status" {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://fleet/"+command, nil)
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

// SocketPath returns the path of the socket of the fleet in a folder.
func SocketPath(folder string) string { return filepath.Join(folder, "fleet.sock") }
