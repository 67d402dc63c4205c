package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"rainhaven/choice/health"
	"rainhaven/choice/lifecycle"
	"rainhaven/internal/control"
	"rainhaven/internal/lab/box"
	"rainhaven/internal/lab/player"
	"rainhaven/internal/settings"
	"rainhaven/internal/state"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreTopFunction("net/http.(*persistConn).readLoop"), goleak.IgnoreTopFunction("net/http.(*persistConn).writeLoop"))
}

// process is a front's daemon that runs inside the test process.
type process struct {
	t             *testing.T
	configPath    string
	signals       chan os.Signal
	listen, admin string
	exitCode      chan lifecycle.ExitCode
	err           error
}

func startBoxes(t *testing.T, n int) (list []*box.Box) {
	start := time.Now()
	site := &box.Config{Ladder: []float64{100, 200}, MaxSessions: 100, TitleLength: func(string) float64 { return 0 }, ReportInterval: 0.1, NoteInterval: 1,
		FPS: 50, PayloadScale: 0.1, DisconnectGrace: 2, Now: func() float64 { return time.Since(start).Seconds() }}
	rack := box.NewRack(1e6)
	for i := range n {
		b, err := box.Start(site, i+1, "", 1e6, rack, false)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.Close)
		list = append(list, b)
	}
	return list
}

// writeConfig writes a settings file: front holds further arguments of front(), extra holds further statements.
func writeConfig(t *testing.T, file, front, extra string, list []*box.Box) {
	s := fmt.Sprintf(`front(name = "f", listen = "127.0.0.1:0", admin = "127.0.0.1:0"%s)
kind(name = "large", places = 500)
ladder(rates = [100, 200])
group(name = "clips", start_target = 0.5, setup_timeout = 3)
fleet(links = 1000000, uplink = 1000000, cells = %d, racks = 1)
title(name = "vents", span = %d)
%s
`, front, len(list), len(list), extra)
	for i, b := range list {
		s += fmt.Sprintf("box(id = %d, cell = %d, address = %q)\n", i+1, i, b.Address)
	}
	if err := os.WriteFile(file, []byte(s), 0o600); err != nil {
		t.Fatal(err)
	}
}

func startFront(t *testing.T, file string) *process { return startProcess(t, file, false) }

func startProcess(t *testing.T, file string, upgrade bool) *process {
	p := &process{t: t, configPath: file, signals: make(chan os.Signal, 4), exitCode: make(chan lifecycle.ExitCode, 1)}
	up := make(chan struct{})
	go func() {
		code, err := Run(Options{LoadConfig: func() (settings.Config, error) { return settings.ReadConfig(file) }, DrainTimeout: 20 * time.Second, Signals: p.signals,
			Upgrade: upgrade, OnServing: func(listen, admin string) {
				p.listen, p.admin = listen, admin
				close(up)
			}})
		p.err = err
		p.exitCode <- code
	}()
	select {
	case <-up:
	case c := <-p.exitCode:
		p.exitCode <- c
	}
	return p
}

func (p *process) play(seconds float64) (player.Result, error) {
	return player.Watch(context.Background(), player.Options{Address: p.listen, Group: "clips", Title: "vents", SetupTimeout: 3, WatchSeconds: seconds})
}

func (p *process) health() (status health.Status) {
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + p.admin + "/health")
	if err != nil {
		p.t.Fatal(err)
	}
	defer r.Body.Close()
	if err := json.NewDecoder(r.Body).Decode(&status); err != nil {
		p.t.Fatal(err)
	}
	if (r.StatusCode == 200) != status.Ready {
		p.t.Errorf("HTTP status %d with %+v", r.StatusCode, status)
	}
	return status
}

func (p *process) waitForHealth(description string, condition func(w health.Status) bool) {
	p.t.Helper()
	for end := time.Now().Add(15 * time.Second); !condition(p.health()); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("timed out after 15 s: %s; %+v", description, p.health())
		}
	}
}

func (p *process) requireExit(want lifecycle.ExitCode) {
	p.t.Helper()
	if c := <-p.exitCode; c != want {
		p.t.Errorf("exit code %d (%v), want %d", c, p.err, want)
	}
}

// Settings that are invalid or need a restart are rejected whole, and health reports the reason. Valid ones apply while a
// session plays on.
func TestReload(t *testing.T) {
	list := startBoxes(t, 2)
	file := filepath.Join(t.TempDir(), "front.star")
	writeConfig(t, file, "", "", list)
	p := startFront(t, file)
	type result struct {
		seen player.Result
		err  error
	}
	done := make(chan result, 1)
	go func() {
		seen, err := p.play(4)
		done <- result{seen, err}
	}()
	p.waitForHealth("ready", func(w health.Status) bool { return w.Ready && len(w.Degraded) == 0 })
	for _, c := range []struct{ front, extra, want string }{
		{"", "group(", "front.star"},
		{", tls_listen = \"127.0.0.1:0\", cert = \"c\", key = \"k\"", "", "needs a restart"},
		{"", `group(name = "guides", start_target = 1, setup_timeout = 4)`, ""},
	} {
		writeConfig(t, file, c.front, c.extra, list)
		p.signals <- syscall.SIGHUP
		p.waitForHealth("reload: "+c.want, func(w health.Status) bool {
			return w.Ready && strings.Contains(strings.Join(w.Degraded, ""), c.want) && (c.want == "") == (len(w.Degraded) == 0)
		})
	}
	w := player.Options{Address: p.listen, Group: "guides", Title: "vents", SetupTimeout: 4, WatchSeconds: 0.2}
	for end := time.Now().Add(15 * time.Second); ; { // the health status may be that of before the reload
		if seen, _ := player.Watch(context.Background(), w); seen.Status == 200 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the new group is not served after the reload")
		}
	}
	if e := <-done; e.err != nil || e.seen.LostPackets+e.seen.RepeatedPackets+e.seen.TimestampJumps > 0 {
		t.Errorf("the session that played: %+v %v", e.seen, e.err)
	}
	p.signals <- syscall.SIGTERM
	p.requireExit(lifecycle.ExitClean)
}

// During a drain new requests get a busy reply and health reports draining; the process exits after the last session. A
// second signal ends the sessions at once.
func TestDrainAndForcedStop(t *testing.T) {
	list := startBoxes(t, 1)
	file := filepath.Join(t.TempDir(), "front.star")
	writeConfig(t, file, "", "", list)
	for _, forced := range []bool{false, true} {
		p := startFront(t, file)
		playing, done := make(chan struct{}), make(chan error, 1)
		go func() {
			signaled := false
			_, err := player.Watch(context.Background(), player.Options{Address: p.listen, Group: "clips", Title: "vents", SetupTimeout: 3, WatchSeconds: 3,
				OnProgress: func(player.Result) {
					if !signaled {
						signaled = true
						close(playing)
					}
				}})
			done <- err
		}()
		<-playing
		p.signals <- syscall.SIGTERM
		p.waitForHealth("health reports the drain", func(w health.Status) bool { return w.Live && !w.Ready && w.Reason == "draining" })
		if seen, _ := p.play(1); seen.Status != 503 || seen.RetryAfter == 0 {
			t.Errorf("new request during the drain: %+v, want 503 with Retry-After", seen)
		}
		if forced {
			time.Sleep(250 * time.Millisecond) // a signal within 200 ms of the first is ignored as a duplicate
			p.signals <- syscall.SIGTERM
			p.requireExit(lifecycle.ExitForced)
			<-done
			continue
		}
		if err := <-done; err != nil {
			t.Errorf("the session that played: %v", err)
		}
		p.requireExit(lifecycle.ExitClean)
	}
}

func TestStartFailures(t *testing.T) {
	list := startBoxes(t, 1)
	dir := t.TempDir()
	file := filepath.Join(dir, "front.star")
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	writeConfig(t, file, fmt.Sprintf(", state = %q", dir), "", list)
	first := startFront(t, file)
	for name, c := range map[string]struct {
		front string
		code  lifecycle.ExitCode
		want  string
	}{
		"same name":           {fmt.Sprintf(", state = %q", dir), lifecycle.ExitStateFolder, "another front of this name is running"},
		"missing folder":      {fmt.Sprintf(", state = %q", dir+"/none"), lifecycle.ExitStateFolder, "no such file"},
		"file, not folder":    {fmt.Sprintf(", state = %q", file), lifecycle.ExitStateFolder, "not a folder"},
		"missing certificate": {fmt.Sprintf(", tls_listen = %q, cert = %q, key = %q", taken.Addr(), dir+"/c", dir+"/k"), lifecycle.ExitFailed, "certificate"},
		"invalid settings":    {", colour = 1", lifecycle.ExitFailed, "no field colour"},
	} {
		other := filepath.Join(dir, "other.star")
		writeConfig(t, other, c.front, "", list)
		p := startFront(t, other)
		p.requireExit(c.code)
		if p.err == nil || !strings.Contains(p.err.Error(), c.want) {
			t.Errorf("%s: error %v, want one with %q", name, p.err, c.want)
		}
	}
	other := filepath.Join(dir, "other.star")
	s, _ := os.ReadFile(file)
	os.WriteFile(other, []byte(strings.Replace(strings.Replace(string(s), `listen = "127.0.0.1:0"`, fmt.Sprintf("listen = %q", taken.Addr()), 1), `"f"`, `"g"`, 1)), 0o600)
	p := startFront(t, other)
	p.requireExit(lifecycle.ExitAddressUnavailable)
	var op *net.OpError
	if !errors.As(p.err, &op) {
		t.Errorf("port in use: error %v, want a net.OpError", p.err)
	}
	first.signals <- syscall.SIGTERM
	first.requireExit(lifecycle.ExitClean)
}

// With all boxes failing, a restarted front must not get a fresh retry budget: it may only send the retries that the last
// process left of the window's budget, and none if that one was killed and may have used them unsaved.
func TestRetryBudgetSurvivesRestart(t *testing.T) {
	for _, killed := range []bool{false, true} {
		list := startBoxes(t, 3)
		for _, b := range list {
			b.FailSetups(1000)
		}
		setups := func() (n int64) {
			for _, b := range list {
				n += b.Counts().Setups
			}
			return n
		}
		dir := t.TempDir()
		file := filepath.Join(dir, "front.star")
		const budget = "setups(most = 3, spare = 3, share = 0, window = 60)"
		writeConfig(t, file, fmt.Sprintf(", state = %q", dir), budget, list)
		p := startFront(t, file)
		p.play(1) // the first SETUP and two retries
		if n := setups(); n != 3 {
			t.Fatalf("%d SETUPs", n)
		}
		stateDir := dir
		if killed { // a killed process leaves the file as it is at that moment, so the file is copied while the front runs
			stateDir = t.TempDir()
			p.waitForHealth("the retries are saved", func(health.Status) bool { // a copy made during a write may be inconsistent, so it is retried
				contents, _ := os.ReadFile(filepath.Join(dir, "f", "state.db"))
				f, err := state.Open(stateDir, "f")
				if err != nil {
					t.Fatal(err)
				}
				defer f.Close()
				os.WriteFile(f.Path("state.db"), contents, 0o600)
				s, stored, found, _, err := f.Load()
				if err != nil {
					t.Fatal(err)
				}
				s.Close()
				return found && len(stored.Choice.Retries) == 2
			})
		}
		p.signals <- syscall.SIGTERM
		p.requireExit(lifecycle.ExitClean)
		writeConfig(t, file, fmt.Sprintf(", state = %q", stateDir), budget, list)
		p = startFront(t, file)
		before := setups()
		for range 3 {
			p.play(1)
		}
		want := int64(4) // one first SETUP each, and the one retry left
		if killed {
			want = 3 // the killed front may have used the last retry
		}
		if n := setups() - before; n != want {
			t.Errorf("killed %v: %d SETUPs for three requests, want %d", killed, n, want)
		}
		p.signals <- syscall.SIGTERM
		p.requireExit(lifecycle.ExitClean)
	}
}

// A new process takes the sockets over while viewers connect. No connection may be refused and at most one request turned
// away; playing sessions continue on the old process, and the learned state and the folder move to the new one. A new process
// that fails to prepare must leave the old one unaffected.
func TestUpgradeInService(t *testing.T) {
	list := startBoxes(t, 2)
	dir := t.TempDir()
	file := filepath.Join(dir, "front.star")
	front := fmt.Sprintf(", state = %q", dir)
	writeConfig(t, file, front, "", list)
	old := startFront(t, file)
	playing, done := make(chan struct{}), make(chan error, 1)
	go func() {
		signaled := false
		seen, err := player.Watch(context.Background(), player.Options{Address: old.listen, Group: "clips", Title: "vents", SetupTimeout: 3, WatchSeconds: 5,
			OnProgress: func(player.Result) {
				if !signaled {
					signaled = true
					close(playing)
				}
			}})
		if err == nil && seen.LostPackets+seen.TimestampJumps > 0 {
			err = fmt.Errorf("%+v", seen)
		}
		done <- err
	}()
	<-playing
	upgrade := func(file string) *process { return startProcess(t, file, true) }
	invalid := filepath.Join(dir, "invalid.star")
	for _, c := range []struct{ front, extra, want string }{
		{front, "group(", "invalid.star"},
		{front + `, tls_listen = "127.0.0.1:0", cert = "c", key = "k"`, "", "certificate"},
	} {
		writeConfig(t, invalid, c.front, c.extra, list)
		p := upgrade(invalid)
		if p.requireExit(lifecycle.ExitFailed); p.err == nil || !strings.Contains(p.err.Error(), c.want) {
			t.Errorf("error %v, want one with %q", p.err, c.want)
		}
	}
	if w := old.health(); !w.Ready {
		t.Fatalf("health after failed upgrades: %+v", w)
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	served, refused := 0, []string(nil)
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
			}
			if seen, err := old.play(0.01); err != nil || seen.Status != 200 {
				refused = append(refused, fmt.Sprintf("%d %v", seen.Status, err))
			}
			served++
		}
	}()
	next := upgrade(file)
	if next.listen != old.listen || next.admin != old.admin {
		t.Fatalf("the new process listens on %q, the old one on %q; error %v", next.listen, old.listen, next.err)
	}
	old.requireExit(lifecycle.ExitClean) // once its last session has ended
	if err := <-done; err != nil {
		t.Errorf("the session that played: %v", err)
	}
	close(stop)
	<-stopped
	if len(refused) > 1 || served < 20 { // one SETUP may reach the old process as it stops, and gets a busy reply
		t.Errorf("%d requests, turned away: %q", served, refused)
	}
	next.waitForHealth("the new process is ready", func(w health.Status) bool { return w.Ready && len(w.Degraded) == 0 })
	third := upgrade(file)
	next.requireExit(lifecycle.ExitClean)
	if seen, err := third.play(0.2); err != nil || seen.Status != 200 {
		t.Errorf("after the second upgrade: %+v %v", seen, err)
	}
	third.signals <- syscall.SIGTERM
	third.requireExit(lifecycle.ExitClean)
	again := startFront(t, file) // the folder's lock is free and the saved state is readable
	again.signals <- syscall.SIGTERM
	again.requireExit(lifecycle.ExitClean)
	p := upgrade(file)
	p.requireExit(lifecycle.ExitStateFolder)
}

// Exercises every method of the control socket on a front with one playing session.
func TestControl(t *testing.T) {
	list := startBoxes(t, 2)
	dir := t.TempDir()
	file := filepath.Join(dir, "front.star")
	writeConfig(t, file, fmt.Sprintf(", state = %q", dir), "", list)
	p := startFront(t, file)
	ask := func(method string, in map[string]any) map[string]any {
		t.Helper()
		out, err := control.Call(context.Background(), filepath.Join(dir, "f", ControlSocket), method, in)
		if err != nil {
			t.Fatal(method, err)
		}
		return out
	}
	done := make(chan error, 1)
	go func() {
		_, err := p.play(3)
		done <- err
	}()
	var id string
	for end := time.Now().Add(10 * time.Second); id == ""; {
		if l, _ := ask("Sessions", nil)["sessions"].([]any); len(l) == 1 && l[0].(map[string]any)["playing"] == true {
			id = l[0].(map[string]any)["id"].(string)
		} else if time.Now().After(end) {
			t.Fatal("the playing session is not listed")
		}
	}
	if l := fmt.Sprint(ask("Explain", map[string]any{"session": id})["lines"]); !strings.Contains(l, "SETUP to box") || !strings.Contains(l, "2 holders") {
		t.Error(l)
	}
	if _, err := control.Call(context.Background(), filepath.Join(dir, "f", ControlSocket), "Explain", map[string]any{"session": "none"}); err == nil || !strings.Contains(err.Error(), "no record of session") {
		t.Error(err)
	}
	if s := ask("Status", nil); s["front"] != "f" || s["state"] != "serving" || s["sessions"] != 1.0 {
		t.Error(s)
	}
	if l, _ := ask("Boxes", nil)["boxes"].([]any); len(l) != 2 {
		t.Error(l)
	}
	writeConfig(t, file, fmt.Sprintf(", state = %q", dir), "group(", list)
	ask("Reload", nil)
	p.waitForHealth("health reports the rejected reload", func(w health.Status) bool { return len(w.Degraded) == 1 })
	ask("Drain", nil)
	if err := <-done; err != nil {
		t.Error(err)
	}
	p.requireExit(lifecycle.ExitClean)
}

// A front that is killed in its first second, before the first regular save, leaves a record that it ran: the next one takes the retry
// budget for used. It got the whole budget anew.
func TestStateIsSavedBeforeTheFirstRequest(t *testing.T) {
	dir, copied := t.TempDir(), t.TempDir()
	file := filepath.Join(dir, "front.star")
	writeConfig(t, file, fmt.Sprintf(", state = %q", dir), "", startBoxes(t, 1))
	startedAt := now()
	p := startFront(t, file)
	contents, err := os.ReadFile(filepath.Join(dir, "f", "state.db"))
	if err != nil {
		t.Fatal(err)
	}
	f, err := state.Open(copied, "f")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	os.WriteFile(f.Path("state.db"), contents, 0o600)
	s, stored, found, _, err := f.Load()
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
	if !found || stored.CleanExit || stored.SavedAt < startedAt {
		t.Errorf("found %v: saved %.1f s after the start, clean exit %v", found, stored.SavedAt-startedAt, stored.CleanExit)
	}
	p.signals <- syscall.SIGTERM
	p.requireExit(lifecycle.ExitClean)
}
