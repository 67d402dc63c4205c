package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"rainhaven/choice/fleet"
	"rainhaven/internal/lab/box"
	"rainhaven/internal/lab/player"
	"rainhaven/internal/lab/witness"
)

var frontCount = flag.Int("fleet.fronts", 12, "fronts in the fleet under test; a third of them is killed")

// program builds the rainhaven binary once and returns its path.
var program = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "rainhaven-fleet")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", filepath.Join(dir, "rainhaven"), "rainhaven/cmd/rainhaven").CombinedOutput()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, out)
	}
	return filepath.Join(dir, "rainhaven"), err
})

func TestMain(m *testing.M) {
	code := m.Run()
	if p, err := program(); err == nil {
		os.RemoveAll(filepath.Dir(p))
	}
	os.Exit(code)
}

// freePorts returns n addresses with ports that are free now. The ports lie below the system's ephemeral range: an
// ephemeral port can be taken by a front's outgoing connection before the front that is to listen on it has started.
func freePorts(t *testing.T, n int) (list []string) {
	for p := 10000 + os.Getpid()%10000; len(list) < n; p++ {
		if p >= 32000 {
			t.Fatal("too few free ports")
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
		if err != nil {
			continue
		}
		defer l.Close()
		list = append(list, l.Addr().String())
	}
	return list
}

// testFleet is a fleet of front processes with boxes that run in the test process.
type testFleet struct {
	t       *testing.T
	fronts  int
	dir     string
	script  string
	listen  []string
	boxes   []*box.Box
	witness *witness.Witness
	now     func() float64
	done    chan error
	logs    bytes.Buffer
	mu      sync.Mutex
}

func (s *testFleet) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.logs.Write(b)
}

func startFleet(t *testing.T, fronts, boxes int, share float64) *testFleet {
	bin, err := program()
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	base := float64(start.UnixNano()) / 1e9
	s := &testFleet{t: t, fronts: fronts, dir: t.TempDir(), listen: freePorts(t, 2*fronts), done: make(chan error, 1),
		now: func() float64 { return base + time.Since(start).Seconds() }}
	// Starts of fronts are not reported to the witness: the window of the retry budget continues across restarts.
	s.witness = witness.New(witness.Rules{Groups: map[string]witness.Group{"clips": {SetupTimeout: 3}, "exam": {SetupTimeout: 3, Paid: true}},
		DrainGrace: 0.5, AnswerTolerance: 0.1, MaxStreams: 40, WarmUp: 8, ColdShare: 0.4, OverloadFactor: 4, OverloadTime: 1.5, BaseRetries: 5, RetriesPerSession: 0.1, RetryWindow: 10})
	site := &box.Config{Ladder: []float64{100, 200}, MaxSessions: 40, TitleLength: func(string) float64 { return 0 }, WarmUp: 8, ColdShare: 0.4, OverloadFactor: 4,
		OverloadTime: 1.5, ReportInterval: 0.2, NoteInterval: 1, SetupTime: 0.01, FPS: 25, PayloadScale: 0.05, DisconnectGrace: 1, Now: s.now, Witness: s.witness}
	rack := box.NewRack(8000 * float64(boxes))
	for i := range boxes {
		b, err := box.Start(site, i+1, "", 8000, rack, i == boxes-1)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.Close)
		s.boxes = append(s.boxes, b)
	}
	s.script = filepath.Join(s.dir, "fleet.star")
	s.writeConfig(1)
	up := make(chan struct{})
	go func() {
		s.done <- Run(Options{Executable: bin, Script: s.script, Config: fleet.Config{Fronts: fronts, MaxUnavailableShare: share, DrainSeconds: 4}, SocketPath: SocketPath(s.dir),
			FrontLogs: s, Log: zap.NewNop(), OnListening: func() { close(up) }})
	}()
	select {
	case <-up:
	case err := <-s.done:
		t.Fatal(err)
	}
	return s
}

// writeConfig writes the settings of all fronts; top is the highest rung of the group clips.
func (s *testFleet) writeConfig(top int) {
	t := fmt.Sprintf(`listen = ["%s"]
front(name = "f%%d" %% instance, listen = listen[instance], admin = listen[instance + %d], me = instance, fronts = %d, state = %q)
kind(name = "large", places = 40)
ladder(rates = [100, 200])
group(name = "clips", start_target = 1, setup_timeout = 3, top = %d)
group(name = "exam", start_target = 1, setup_timeout = 3, paid = True)
fleet(links = %d, uplink = %d, cells = %d, racks = 1)
setups(most = 3, spare = 5, share = 0.1, window = 10)
cold(warm_up = 8, share = 0.4, fall_factor = 4, fall_time = 1.5)
title(name = "vents", span = %d)
`, strings.Join(s.listen, `", "`), s.fronts, s.fronts, s.dir, top, 8000*len(s.boxes), 8000*len(s.boxes), len(s.boxes), len(s.boxes))
	for i, b := range s.boxes {
		t += fmt.Sprintf("box(id = %d, cell = %d, address = %q, born = %.3f)\n", i+1, i, b.Address, b.StartedAt())
	}
	if err := os.WriteFile(s.script, []byte(t), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

func (s *testFleet) status() (r Report) {
	b, err := Request(context.Background(), SocketPath(s.dir), "status")
	if err == nil {
		err = json.Unmarshal(b, &r)
	}
	if err != nil {
		s.t.Fatal(err)
	}
	return r
}

// waitFor polls the fleet's status until the condition holds.
func (s *testFleet) waitFor(description string, condition func(r Report) bool) (r Report) {
	s.t.Helper()
	for end := time.Now().Add(60 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if r = s.status(); condition(r) {
			return r
		}
		if time.Now().After(end) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.t.Fatalf("timed out after 60 s: %s; %+v\n%s", description, r, s.logs.String())
		}
	}
}

func allReady(r Report) bool {
	for _, f := range r.Fronts {
		if !f.Ready || f.Phase != "up" || f.RestartPending {
			return false
		}
	}
	return true
}

// resourceUsage sums over all fronts the resident memory in MB and the CPU time in seconds.
func resourceUsage(r Report) (mb, cpu float64) {
	for _, f := range r.Fronts {
		b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", f.PID))
		if _, rest, ok := strings.Cut(string(b), ") "); ok {
			x := strings.Fields(rest)
			ticks := func(i int) float64 { n, _ := strconv.ParseFloat(x[i], 64); return n }
			mb += ticks(21) * float64(os.Getpagesize()) / 1e6
			cpu += (ticks(11) + ticks(12)) / 100
		}
	}
	return mb, cpu
}

// Runs twelve front processes under load: a third is killed and restarted, then all go through a rolling restart, a reload
// and the shutdown. No answer may be lost or sent twice, and the fronts together must not overload a cold box.
func TestTwelveFronts(t *testing.T) {
	n := *frontCount
	start := time.Now()
	s := startFleet(t, n, 5, 0.25)
	r := s.waitFor("all fronts are ready", allReady)
	startup := time.Since(start).Seconds()
	mb, cpu := resourceUsage(r)
	t.Logf("%d fronts: all ready after %.2f s, %.1f MB resident and %.3f s of CPU time per front until then", n, startup, mb/float64(n), cpu/float64(n))
	if n > 12 { // measures idle fronts
		time.Sleep(10 * time.Second)
		_, after := resourceUsage(s.status())
		t.Logf("idle: %.2f ms of CPU time per second and front", (after-cpu)*1000/10/float64(n))
	}
	ctx, stop := context.WithCancel(context.Background())
	var load, viewers sync.WaitGroup
	served, noFront := make(chan int, 10000), 0
	load.Go(func() { // a load balancer that picks ready fronts at random
		tick := time.NewTicker(min(25*time.Millisecond, time.Second/time.Duration(n)))
		defer tick.Stop()
		r := rand.New(rand.NewPCG(5, 6))
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			var ready []int
			for _, f := range s.status().Fronts {
				if f.Ready && f.Phase == "up" {
					ready = append(ready, f.Index)
				}
			}
			if len(ready) == 0 {
				noFront++
				continue
			}
			i := ready[r.IntN(len(ready))]
			w := player.Options{Address: s.listen[i], Front: fmt.Sprint("f", i), Group: []string{"clips", "exam"}[n%2], Title: "vents",
				Token: fmt.Sprint("v", n), SetupTimeout: 3, WatchSeconds: 0.5 + r.Float64(), Now: s.now, Witness: s.witness}
			viewers.Go(func() {
				seen, _ := player.Watch(context.Background(), w)
				served <- seen.Status
			})
		}
	})
	// Kill a third under load.
	before := s.status()
	for _, f := range before.Fronts[:n/3] {
		s.witness.FrontKilled(fmt.Sprint("f", f.Index), s.now())
		syscall.Kill(f.PID, syscall.SIGKILL)
	}
	s.waitFor("the killed fronts are back", func(r Report) bool {
		for n := range n / 3 {
			if r.Fronts[n].PID == before.Fronts[n].PID || r.Fronts[n].ConsecutiveFailures == 0 {
				return false
			}
		}
		return allReady(r)
	})
	beforeRestart := s.status()
	if _, err := Request(ctx, SocketPath(s.dir), "restart"); err != nil {
		t.Fatal(err)
	}
	minReady := s.fronts
	afterRestart := s.waitFor("all fronts are restarted", func(r Report) bool {
		n := 0
		for _, f := range r.Fronts {
			if f.Ready && f.Phase == "up" {
				n++
			}
		}
		minReady = min(minReady, n)
		return allReady(r)
	})
	t.Logf("at least %d fronts ready during the restart", minReady)
	if minReady < n-n/4-1 { // a quarter restarts at a time, and one more may be briefly unready
		t.Errorf("only %d of %d fronts ready during the restart", minReady, n)
	}
	for n, f := range afterRestart.Fronts {
		if f.PID == beforeRestart.Fronts[n].PID {
			t.Errorf("front %d was not restarted", n)
		}
	}
	s.writeConfig(0)
	for _, f := range afterRestart.Fronts {
		syscall.Kill(f.PID, syscall.SIGHUP)
	}
	s.waitFor("all fronts have reloaded their settings", func(Report) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return strings.Count(s.logs.String(), "new settings taken") == s.fronts
	})
	stop()
	load.Wait()
	viewers.Wait()
	if _, err := Request(context.Background(), SocketPath(s.dir), "down"); err != nil {
		t.Fatal(err)
	}
	if err := <-s.done; err != nil {
		t.Error(err)
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		left := 0
		for _, b := range s.boxes {
			left += b.Sessions()
		}
		if left == 0 {
			break
		}
		if time.Now().After(end) {
			t.Errorf("%d sessions left at boxes", left)
			break
		}
	}
	close(served)
	ok := 0
	for status := range served {
		if status == 200 {
			ok++
		}
	}
	v := s.witness.Evaluate(s.now())
	t.Logf("%v; %d served, %d requests not sent as no front was ready", v, ok, noFront)
	if v.Violations() > 0 || ok < v.Taken/2 {
		t.Errorf("%v\n%s", v, strings.Join(v.Notes, "\n"))
	}
	if s := s.logs.String(); strings.Contains(s, "panic") || strings.Contains(s, "in use") {
		t.Error(s)
	}
}

// Operators' scripts read the output of fleet status --json, so its keys must not change with the Go field names.
func TestReportJSONKeys(t *testing.T) {
	s := fleet.Status{Index: 1, Phase: "up", Ready: true, PhaseSeconds: 2.5, ConsecutiveFailures: 3, LastExit: "exit 1", RestartPending: true}
	got, err := json.Marshal(Report{HoldReason: "front 1 failed", Fronts: []Front{{Status: s, PID: 4}}})
	if err != nil {
		t.Fatal(err)
	}
	want := `{"Held":"front 1 failed","Fronts":[{"N":1,"Phase":"up","Ready":true,"Age":2.5,"Fails":3,"Last":"exit 1","Old":true,"Process":4}]}`
	if string(got) != want {
		t.Errorf("written as\n%s\nwant\n%s", got, want)
	}
}

func TestInvalidFleets(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "fleet.star")
	for name, c := range map[string]struct{ front, want string }{
		"same name":     {`name = "f", listen = "127.0.0.1:0", admin = "127.0.0.1:%d" % (9000 + instance)`, "the name f"},
		"same port":     {`name = "f%d" % instance, listen = "127.0.0.1:8000", admin = "127.0.0.1:%d" % (9000 + instance)`, "127.0.0.1:8000"},
		"no admin port": {`name = "f%d" % instance, listen = "127.0.0.1:0", admin = "127.0.0.1:0"`, "must name a port"},
		"wrong type":    {`name = "f%d" % instance, listen = "127.0.0.1:0", admin = ("127.0.0.1:9000", 7)[instance]`, "admin"},
	} {
		s := "front(" + c.front + ")" + `
kind(name = "large", places = 40)
ladder(rates = [100, 200])
group(name = "clips", start_target = 1, setup_timeout = 3)
fleet(links = 100, uplink = 100, cells = 1, racks = 1)
title(name = "vents", span = 1)
box(id = 1, cell = 0, address = "127.0.0.1:1")
`
		if err := os.WriteFile(file, []byte(s), 0o600); err != nil {
			t.Fatal(err)
		}
		err := Run(Options{Executable: "none", Script: file, Config: fleet.Config{Fronts: 2, MaxUnavailableShare: 1}, SocketPath: SocketPath(dir), Log: zap.NewNop()})
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want one with %q", name, err, c.want)
		}
	}
}

// startScripted runs a fleet of one front, a shell script that notes each start in a file.
func startScripted(t *testing.T, script string) (starts func() int, signals chan os.Signal, done chan error) {
	dir := t.TempDir()
	settingsFile, program, record := filepath.Join(dir, "fleet.star"), filepath.Join(dir, "front.sh"), filepath.Join(dir, "starts")
	text := fmt.Sprintf(`front(name = "f", listen = "127.0.0.1:0", admin = %q)
kind(name = "large", places = 40)
ladder(rates = [100, 200])
group(name = "clips", start_target = 1, setup_timeout = 3)
fleet(links = 100, uplink = 100, cells = 1, racks = 1)
title(name = "vents", span = 1)
box(id = 1, cell = 0, address = "127.0.0.1:1")
`, freePorts(t, 1)[0])
	if err := os.WriteFile(settingsFile, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(program, []byte("#!/bin/sh\necho >> "+record+"\n"+script+"\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	signals, done = make(chan os.Signal, 1), make(chan error, 1)
	go func() {
		done <- Run(Options{Executable: program, Script: settingsFile, Config: fleet.Config{Fronts: 1, MaxUnavailableShare: 1}, SocketPath: SocketPath(dir),
			FrontLogs: os.Stderr, Log: zap.NewNop(), Signals: signals})
	}()
	return func() int {
		b, _ := os.ReadFile(record)
		return len(b)
	}, signals, done
}

// A front that ends as after a panic is started again, and the fleet ends when it is told to. It gave the front up and ended with 0.
func TestFrontThatPanicsIsStartedAgain(t *testing.T) {
	starts, signals, done := startScripted(t, "exit 2")
	for end := time.Now().Add(10 * time.Second); starts() < 3; time.Sleep(10 * time.Millisecond) {
		select {
		case err := <-done:
			t.Fatalf("the fleet ended after %d starts: %v", starts(), err)
		default:
		}
		if time.Now().After(end) {
			t.Fatalf("%d starts in 10 s", starts())
		}
	}
	signals <- syscall.SIGTERM
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// A fleet whose front ends by wrong use of its command line ends with an error that says so. It ended as if told to.
func TestFleetWithNothingToRun(t *testing.T) {
	starts, _, done := startScripted(t, "exit 64")
	if err := <-done; !errors.Is(err, ErrNothingToRun) || !strings.Contains(err.Error(), "exit 64") {
		t.Errorf("the fleet ended with %v", err)
	}
	if n := starts(); n != 1 {
		t.Errorf("%d starts", n)
	}
}
