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

// process is a daemon within the test's.
type process struct {
	t             *testing.T
	file          string
	signals       chan os.Signal
	listen, admin string
	code          chan lifecycle.ExitCode
	err           error
}

func boxes(t *testing.T, n int) (list []*box.Box) {
	began := time.Now()
	site := &box.Config{Ladder: []float64{100, 200}, MaxSessions: 100, TitleLength: func(string) float64 { return 0 }, ReportInterval: 0.1, NoteInterval: 1,
		FPS: 50, PayloadScale: 0.1, DisconnectGrace: 2, Now: func() float64 { return time.Since(began).Seconds() }}
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

// script writes settings: front is what front() is given beside its name and addresses, more is what follows.
func script(t *testing.T, file, front, more string, list []*box.Box) {
	s := fmt.Sprintf(`front(name = "f", listen = "127.0.0.1:0", admin = "127.0.0.1:0"%s)
kind(name = "large", places = 500)
ladder(rates = [100, 200])
group(name = "clips", start_target = 0.5, setup_timeout = 3)
fleet(links = 1000000, uplink = 1000000, cells = %d, racks = 1)
title(name = "vents", span = %d)
%s
`, front, len(list), len(list), more)
	for i, b := range list {
		s += fmt.Sprintf("box(id = %d, cell = %d, address = %q)\n", i+1, i, b.Address)
	}
	if err := os.WriteFile(file, []byte(s), 0o600); err != nil {
		t.Fatal(err)
	}
}

func run(t *testing.T, file string) *process { return begin(t, file, false) }

func begin(t *testing.T, file string, upgrade bool) *process {
	p := &process{t: t, file: file, signals: make(chan os.Signal, 4), code: make(chan lifecycle.ExitCode, 1)}
	up := make(chan struct{})
	go func() {
		code, err := Run(Options{LoadTerms: func() (settings.Config, error) { return settings.ReadConfig(file) }, DrainTimeout: 20 * time.Second, Signals: p.signals,
			Upgrade: upgrade, OnServing: func(listen, admin string) {
				p.listen, p.admin = listen, admin
				close(up)
			}})
		p.err = err
		p.code <- code
	}()
	select {
	case <-up:
	case c := <-p.code:
		p.code <- c
	}
	return p
}

func (p *process) watch(seconds float64) (player.Result, error) {
	return player.Watch(context.Background(), player.Options{Address: p.listen, Group: "clips", Title: "vents", SetupTimeout: 3, WatchSeconds: seconds})
}

func (p *process) health() (w health.Status) {
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + p.admin + "/health")
	if err != nil {
		p.t.Fatal(err)
	}
	defer r.Body.Close()
	if err := json.NewDecoder(r.Body).Decode(&w); err != nil {
		p.t.Fatal(err)
	}
	if (r.StatusCode == 200) != w.Ready {
		p.t.Errorf("%d with %+v", r.StatusCode, w)
	}
	return w
}

func (p *process) eventually(what string, is func(w health.Status) bool) {
	p.t.Helper()
	for end := time.Now().Add(15 * time.Second); !is(p.health()); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("not within 15 s: %s; %+v", what, p.health())
		}
	}
}

func (p *process) end(want lifecycle.ExitCode) {
	p.t.Helper()
	if c := <-p.code; c != want {
		p.t.Errorf("exit code %d (%v), want %d", c, p.err, want)
	}
}

// Settings that are wrong, or need a restart, change nothing and are told; good ones take hold while a session plays.
func TestReload(t *testing.T) {
	list := boxes(t, 2)
	file := filepath.Join(t.TempDir(), "front.star")
	script(t, file, "", "", list)
	p := run(t, file)
	type end struct {
		seen player.Result
		err  error
	}
	done := make(chan end, 1)
	go func() {
		seen, err := p.watch(4)
		done <- end{seen, err}
	}()
	p.eventually("ready", func(w health.Status) bool { return w.Ready && len(w.Degraded) == 0 })
	for _, c := range []struct{ front, more, say string }{
		{"", "group(", "front.star"},
		{", tls_listen = \"127.0.0.1:0\", cert = \"c\", key = \"k\"", "", "needs a restart"},
		{"", `group(name = "guides", start_target = 1, setup_timeout = 4)`, ""},
	} {
		script(t, file, c.front, c.more, list)
		p.signals <- syscall.SIGHUP
		p.eventually("reload: "+c.say, func(w health.Status) bool {
			return w.Ready && strings.Contains(strings.Join(w.Degraded, ""), c.say) && (c.say == "") == (len(w.Degraded) == 0)
		})
	}
	w := player.Options{Address: p.listen, Group: "guides", Title: "vents", SetupTimeout: 4, WatchSeconds: 0.2}
	for end := time.Now().Add(15 * time.Second); ; { // health may have been told before the reload began
		if seen, _ := player.Watch(context.Background(), w); seen.Status == 200 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the new group is not served")
		}
	}
	if e := <-done; e.err != nil || e.seen.LostPackets+e.seen.RepeatedPackets+e.seen.TimestampJumps > 0 {
		t.Errorf("the session that played: %+v %v", e.seen, e.err)
	}
	p.signals <- syscall.SIGTERM
	p.end(lifecycle.ExitClean)
}

// A drain turns new requests away, is told by health, and ends with the last session; a second signal cuts.
func TestDrainAndCut(t *testing.T) {
	list := boxes(t, 1)
	file := filepath.Join(t.TempDir(), "front.star")
	script(t, file, "", "", list)
	for _, cut := range []bool{false, true} {
		p := run(t, file)
		playing, done := make(chan struct{}), make(chan error, 1)
		go func() {
			told := false
			_, err := player.Watch(context.Background(), player.Options{Address: p.listen, Group: "clips", Title: "vents", SetupTimeout: 3, WatchSeconds: 3,
				OnProgress: func(player.Result) {
					if !told {
						told = true
						close(playing)
					}
				}})
			done <- err
		}()
		<-playing
		p.signals <- syscall.SIGTERM
		p.eventually("it drains", func(w health.Status) bool { return w.Live && !w.Ready && w.Reason == "draining" })
		if seen, _ := p.watch(1); seen.Status != 503 || seen.RetryAfter == 0 {
			t.Errorf("a new request: %+v", seen)
		}
		if cut {
			time.Sleep(250 * time.Millisecond) // a signal so soon after the first would be the same wish
			p.signals <- syscall.SIGTERM
			p.end(lifecycle.ExitForced)
			<-done
			continue
		}
		if err := <-done; err != nil {
			t.Errorf("the session that played: %v", err)
		}
		p.end(lifecycle.ExitClean)
	}
}

func TestWhatKeepsAFrontFromStarting(t *testing.T) {
	list := boxes(t, 1)
	dir := t.TempDir()
	file := filepath.Join(dir, "front.star")
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	script(t, file, fmt.Sprintf(", state = %q", dir), "", list)
	first := run(t, file)
	for name, c := range map[string]struct {
		front string
		code  lifecycle.ExitCode
		say   string
	}{
		"the same name":   {fmt.Sprintf(", state = %q", dir), lifecycle.ExitStateFolder, "another front of this name is running"},
		"no folder":       {fmt.Sprintf(", state = %q", dir+"/none"), lifecycle.ExitStateFolder, "no such file"},
		"a file":          {fmt.Sprintf(", state = %q", file), lifecycle.ExitStateFolder, "not a folder"},
		"a port is taken": {fmt.Sprintf(", tls_listen = %q, cert = %q, key = %q", taken.Addr(), dir+"/c", dir+"/k"), lifecycle.ExitFailed, "certificate"},
		"a mistake":       {", colour = 1", lifecycle.ExitFailed, "no field colour"},
	} {
		other := filepath.Join(dir, "other.star")
		script(t, other, c.front, "", list)
		p := run(t, other)
		p.end(c.code)
		if p.err == nil || !strings.Contains(p.err.Error(), c.say) {
			t.Errorf("%s: %v", name, p.err)
		}
	}
	other := filepath.Join(dir, "other.star")
	s, _ := os.ReadFile(file)
	os.WriteFile(other, []byte(strings.Replace(strings.Replace(string(s), `listen = "127.0.0.1:0"`, fmt.Sprintf("listen = %q", taken.Addr()), 1), `"f"`, `"g"`, 1)), 0o600)
	p := run(t, other)
	p.end(lifecycle.ExitAddressUnavailable)
	var op *net.OpError
	if !errors.As(p.err, &op) {
		t.Errorf("a port that is taken: %v", p.err)
	}
	first.signals <- syscall.SIGTERM
	first.end(lifecycle.ExitClean)
}

// A front that was killed, or ended in order, has used of the ration what it has: with all boxes failing, the next one sends
// no more further SETUPs within the window than are left.
func TestTheRationOutlivesTheProcess(t *testing.T) {
	for _, killed := range []bool{false, true} {
		list := boxes(t, 3)
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
		const terms = "setups(most = 3, spare = 3, share = 0, window = 60)"
		script(t, file, fmt.Sprintf(", state = %q", dir), terms, list)
		p := run(t, file)
		p.watch(1) // its SETUP and two further ones
		if n := setups(); n != 3 {
			t.Fatalf("%d SETUPs", n)
		}
		from := dir
		if killed { // what a killed process leaves is what stands in its file at that moment
			from = t.TempDir()
			p.eventually("it is kept", func(health.Status) bool { // a copy taken amid a write is none that a crash leaves
				kept, _ := os.ReadFile(filepath.Join(dir, "f", "state.db"))
				f, err := state.Open(from, "f")
				if err != nil {
					t.Fatal(err)
				}
				defer f.Close()
				os.WriteFile(f.Path("state.db"), kept, 0o600)
				s, stored, found, _, err := f.Load()
				if err != nil {
					t.Fatal(err)
				}
				s.Close()
				return found && len(stored.Memory.Retries) == 2
			})
		}
		p.signals <- syscall.SIGTERM
		p.end(lifecycle.ExitClean)
		script(t, file, fmt.Sprintf(", state = %q", from), terms, list)
		p = run(t, file)
		was := setups()
		for range 3 {
			p.watch(1)
		}
		want := int64(4) // one each, and the further one that was left
		if killed {
			want = 3 // it may have been used
		}
		if n := setups() - was; n != want {
			t.Errorf("killed %v: %d SETUPs for three requests, want %d", killed, n, want)
		}
		p.signals <- syscall.SIGTERM
		p.end(lifecycle.ExitClean)
	}
}

// The next process takes the sockets while viewers come: none is refused a connection or turned away, what plays goes on
// at the old one, and the ration and the folder go over. One that fails its own check changes nothing.
func TestUpgradeInService(t *testing.T) {
	list := boxes(t, 2)
	dir := t.TempDir()
	file := filepath.Join(dir, "front.star")
	front := fmt.Sprintf(", state = %q", dir)
	script(t, file, front, "", list)
	old := run(t, file)
	playing, done := make(chan struct{}), make(chan error, 1)
	go func() {
		told := false
		seen, err := player.Watch(context.Background(), player.Options{Address: old.listen, Group: "clips", Title: "vents", SetupTimeout: 3, WatchSeconds: 5,
			OnProgress: func(player.Result) {
				if !told {
					told = true
					close(playing)
				}
			}})
		if err == nil && seen.LostPackets+seen.TimestampJumps > 0 {
			err = fmt.Errorf("%+v", seen)
		}
		done <- err
	}()
	<-playing
	upgrade := func(file string) *process { return begin(t, file, true) }
	wrong := filepath.Join(dir, "wrong.star")
	for _, c := range []struct{ front, more, say string }{
		{front, "group(", "wrong.star"},
		{front + `, tls_listen = "127.0.0.1:0", cert = "c", key = "k"`, "", "certificate"},
	} {
		script(t, wrong, c.front, c.more, list)
		p := upgrade(wrong)
		if p.end(lifecycle.ExitFailed); p.err == nil || !strings.Contains(p.err.Error(), c.say) {
			t.Errorf("%v", p.err)
		}
	}
	if w := old.health(); !w.Ready {
		t.Fatalf("after upgrades that failed: %+v", w)
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
			if seen, err := old.watch(0.01); err != nil || seen.Status != 200 {
				refused = append(refused, fmt.Sprintf("%d %v", seen.Status, err))
			}
			served++
		}
	}()
	next := upgrade(file)
	if next.listen != old.listen || next.admin != old.admin {
		t.Fatalf("other sockets: %q and %q, %v", next.listen, old.listen, next.err)
	}
	old.end(lifecycle.ExitClean) // its last session is over
	if err := <-done; err != nil {
		t.Errorf("the session that played: %v", err)
	}
	close(stop)
	<-stopped
	if len(refused) > 1 || served < 20 { // one whose SETUP met the old process as it stopped is told to come back
		t.Errorf("%d served; %q", served, refused)
	}
	next.eventually("the next one is well", func(w health.Status) bool { return w.Ready && len(w.Degraded) == 0 })
	third := upgrade(file)
	next.end(lifecycle.ExitClean)
	if seen, err := third.watch(0.2); err != nil || seen.Status != 200 {
		t.Errorf("after the second upgrade: %+v %v", seen, err)
	}
	third.signals <- syscall.SIGTERM
	third.end(lifecycle.ExitClean)
	again := run(t, file) // the folder is free, and what was kept can be read
	again.signals <- syscall.SIGTERM
	again.end(lifecycle.ExitClean)
	p := upgrade(file)
	p.end(lifecycle.ExitStateFolder)
}

// A process that takes the sockets and ends before it serves leaves everything as it was.
func TestUpgradeThatDies(t *testing.T) {
	list := boxes(t, 1)
	dir := t.TempDir()
	file := filepath.Join(dir, "front.star")
	script(t, file, fmt.Sprintf(", state = %q", dir), "", list)
	p := run(t, file)
	for _, ready := range []bool{false, true} {
		x, err := take(filepath.Join(dir, "f", socket))
		if err != nil {
			t.Fatal(err)
		}
		if ready {
			if _, err := x.ready(); err != nil {
				t.Fatal(err)
			}
		}
		x.drop()
		for end := time.Now().Add(10 * time.Second); ; {
			if seen, _ := p.watch(0.1); seen.Status == 200 {
				break
			}
			if time.Now().After(end) {
				t.Fatalf("ready %v: the old process does not serve", ready)
			}
		}
	}
	p.eventually("it is well", func(w health.Status) bool { return w.Ready && len(w.Degraded) == 0 })
	p.signals <- syscall.SIGTERM
	p.end(lifecycle.ExitClean)
}

// People ask a front over its socket: what it holds, why a session is where it is, and have it read its settings and drain.
func TestControl(t *testing.T) {
	list := boxes(t, 2)
	dir := t.TempDir()
	file := filepath.Join(dir, "front.star")
	script(t, file, fmt.Sprintf(", state = %q", dir), "", list)
	p := run(t, file)
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
		_, err := p.watch(3)
		done <- err
	}()
	var id string
	for end := time.Now().Add(10 * time.Second); id == ""; {
		if l, _ := ask("Sessions", nil)["sessions"].([]any); len(l) == 1 && l[0].(map[string]any)["playing"] == true {
			id = l[0].(map[string]any)["id"].(string)
		} else if time.Now().After(end) {
			t.Fatal("the session is not listed")
		}
	}
	if l := fmt.Sprint(ask("Explain", map[string]any{"session": id})["lines"]); !strings.Contains(l, "SETUP to box") || !strings.Contains(l, "2 holders") {
		t.Error(l)
	}
	if _, err := control.Call(context.Background(), filepath.Join(dir, "f", ControlSocket), "Explain", map[string]any{"session": "none"}); err == nil || !strings.Contains(err.Error(), "nothing is kept") {
		t.Error(err)
	}
	if s := ask("Status", nil); s["front"] != "f" || s["state"] != "serving" || s["sessions"] != 1.0 {
		t.Error(s)
	}
	if l, _ := ask("Boxes", nil)["boxes"].([]any); len(l) != 2 {
		t.Error(l)
	}
	script(t, file, fmt.Sprintf(", state = %q", dir), "group(", list)
	ask("Reload", nil)
	p.eventually("the reload is refused", func(w health.Status) bool { return len(w.Degraded) == 1 })
	ask("Drain", nil)
	if err := <-done; err != nil {
		t.Error(err)
	}
	p.end(lifecycle.ExitClean)
}
