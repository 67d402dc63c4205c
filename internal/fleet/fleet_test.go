package fleet

import (
	"bytes"
	"context"
	"encoding/json"
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

var many = flag.Int("fleet.fronts", 12, "fronts of the fleet that is played; a third of them is killed")

// program builds rainhaven once.
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

// ports gives so many that are free now. They lie below those that the system hands out by itself: one of these was
// taken by a connection of a front between here and the start of another.
func ports(t *testing.T, n int) (list []string) {
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

// site is a fleet of processes before boxes of this one's.
type site struct {
	t      *testing.T
	n      int
	dir    string
	script string
	listen []string
	boxes  []*box.Box
	wit    *witness.Witness
	now    func() float64
	over   chan error
	logs   bytes.Buffer
	mu     sync.Mutex
}

func (s *site) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.logs.Write(b)
}

func begin(t *testing.T, fronts, boxes int, share float64) *site {
	bin, err := program()
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	base := float64(began.UnixNano()) / 1e9
	s := &site{t: t, n: fronts, dir: t.TempDir(), listen: ports(t, 2*fronts), over: make(chan error, 1),
		now: func() float64 { return base + time.Since(began).Seconds() }}
	// The ration's window goes on over restarts here: no start of a front is told.
	s.wit = witness.New(witness.Rules{Groups: map[string]witness.Group{"clips": {SetupTimeout: 3}, "exam": {SetupTimeout: 3, Paid: true}},
		DrainGrace: 0.5, AnswerTolerance: 0.1, MaxStreams: 40, WarmUp: 8, ColdShare: 0.4, OverloadFactor: 4, OverloadTime: 1.5, BaseRetries: 5, RetriesPerSession: 0.1, RetryWindow: 10})
	lab := &box.Site{Ladder: []float64{100, 200}, Places: 40, Length: func(string) float64 { return 0 }, WarmUp: 8, ColdShare: 0.4, FallFactor: 4,
		FallTime: 1.5, ReportEvery: 0.2, NoteEvery: 1, SetupTime: 0.01, FPS: 25, Thin: 0.05, Keep: 1, Now: s.now, Witness: s.wit}
	rack := box.NewRack(8000 * float64(boxes))
	for i := range boxes {
		b, err := box.Start(lab, i+1, "", 8000, rack, i == boxes-1)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.Close)
		s.boxes = append(s.boxes, b)
	}
	s.script = filepath.Join(s.dir, "fleet.star")
	s.write(1)
	up := make(chan struct{})
	go func() {
		s.over <- Run(Options{Executable: bin, Script: s.script, Config: fleet.Config{Fronts: fronts, MaxUnavailableShare: share, DrainSeconds: 4}, SocketPath: SocketPath(s.dir),
			FrontLogs: s, Log: zap.NewNop(), OnListening: func() { close(up) }})
	}()
	select {
	case <-up:
	case err := <-s.over:
		t.Fatal(err)
	}
	return s
}

// write writes the settings of all fronts, with another top rung for one group.
func (s *site) write(top int) {
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
`, strings.Join(s.listen, `", "`), s.n, s.n, s.dir, top, 8000*len(s.boxes), 8000*len(s.boxes), len(s.boxes), len(s.boxes))
	for i, b := range s.boxes {
		t += fmt.Sprintf("box(id = %d, cell = %d, address = %q, born = %.3f)\n", i+1, i, b.Address, b.Born())
	}
	if err := os.WriteFile(s.script, []byte(t), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

func (s *site) status() (r Report) {
	b, err := Request(context.Background(), SocketPath(s.dir), "status")
	if err == nil {
		err = json.Unmarshal(b, &r)
	}
	if err != nil {
		s.t.Fatal(err)
	}
	return r
}

// reach waits for a state of the whole fleet.
func (s *site) reach(what string, is func(r Report) bool) (r Report) {
	s.t.Helper()
	for end := time.Now().Add(60 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if r = s.status(); is(r) {
			return r
		}
		if time.Now().After(end) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.t.Fatalf("not within 60 s: %s; %+v\n%s", what, r, s.logs.String())
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

// used is what processes take: resident memory in MB, and seconds of processor.
func used(r Report) (mb, cpu float64) {
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

// Twelve fronts as processes: a third killed and started again under load, a rolling restart of all, one reload each, and
// the end of all. No answer is lost or doubled, and a cold box is safe with all of them together.
func TestTwelveFronts(t *testing.T) {
	n := *many
	from := time.Now()
	s := begin(t, n, 5, 0.25)
	r := s.reach("all are ready", allReady)
	up := time.Since(from).Seconds()
	mb, cpu := used(r)
	t.Logf("%d fronts: all ready after %.2f s, %.1f MB resident and %.3f s of processor a front until then", n, up, mb/float64(n), cpu/float64(n))
	if n > 12 { // a measurement: what they take at rest
		time.Sleep(10 * time.Second)
		_, after := used(s.status())
		t.Logf("at rest: %.2f ms of processor a second and front", (after-cpu)*1000/10/float64(n))
	}
	ctx, stop := context.WithCancel(context.Background())
	var load, viewers sync.WaitGroup
	served, refused := make(chan int, 10000), 0
	load.Go(func() { // a load balancer: fronts that are ready, in no order
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
				refused++
				continue
			}
			i := ready[r.IntN(len(ready))]
			w := player.Want{Address: s.listen[i], Front: fmt.Sprint("f", i), Group: []string{"clips", "exam"}[n%2], Title: "vents",
				Token: fmt.Sprint("v", n), SetupTimeout: 3, Watch: 0.5 + r.Float64(), Now: s.now, Witness: s.wit}
			viewers.Go(func() {
				seen, _ := player.Watch(context.Background(), w)
				served <- seen.Status
			})
		}
	})
	// A third is killed in the middle of it.
	before := s.status()
	for _, f := range before.Fronts[:n/3] {
		s.wit.FrontKilled(fmt.Sprint("f", f.Index), s.now())
		syscall.Kill(f.PID, syscall.SIGKILL)
	}
	s.reach("the killed ones are back", func(r Report) bool {
		for n := range n / 3 {
			if r.Fronts[n].PID == before.Fronts[n].PID || r.Fronts[n].ConsecutiveFailures == 0 {
				return false
			}
		}
		return allReady(r)
	})
	was := s.status()
	if _, err := Request(ctx, SocketPath(s.dir), "restart"); err != nil {
		t.Fatal(err)
	}
	worst := s.n
	now := s.reach("all are restarted", func(r Report) bool {
		n := 0
		for _, f := range r.Fronts {
			if f.Ready && f.Phase == "up" {
				n++
			}
		}
		worst = min(worst, n)
		return allReady(r)
	})
	t.Logf("%d ready at the worst moment of the restart", worst)
	if worst < n-n/4-1 { // one share away, and one that health found unready for a moment
		t.Errorf("%d of %d were ready at the worst moment of the restart", worst, n)
	}
	for n, f := range now.Fronts {
		if f.PID == was.Fronts[n].PID {
			t.Errorf("front %d was not restarted", n)
		}
	}
	s.write(0)
	for _, f := range now.Fronts {
		syscall.Kill(f.PID, syscall.SIGHUP)
	}
	s.reach("all have read their settings again", func(Report) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return strings.Count(s.logs.String(), "new settings taken") == s.n
	})
	stop()
	load.Wait()
	viewers.Wait()
	if _, err := Request(context.Background(), SocketPath(s.dir), "down"); err != nil {
		t.Fatal(err)
	}
	if err := <-s.over; err != nil {
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
	v := s.wit.Evaluate(s.now())
	t.Logf("%v; %d served, %d moments without a front", v, ok, refused)
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

func TestFleetsThatAreNotStarted(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "fleet.star")
	for name, c := range map[string]struct{ front, say string }{
		"one name":    {`name = "f", listen = "127.0.0.1:0", admin = "127.0.0.1:%d" % (9000 + instance)`, "the name f"},
		"one port":    {`name = "f%d" % instance, listen = "127.0.0.1:8000", admin = "127.0.0.1:%d" % (9000 + instance)`, "127.0.0.1:8000"},
		"any health":  {`name = "f%d" % instance, listen = "127.0.0.1:0", admin = "127.0.0.1:0"`, "must name a port"},
		"a wrong one": {`name = "f%d" % instance, listen = "127.0.0.1:0", admin = ("127.0.0.1:9000", 7)[instance]`, "admin"},
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
		if err == nil || !strings.Contains(err.Error(), c.say) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
