package abuse

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// hostileFor is how long hostile clients go on in a test.
const hostileFor = 2 * time.Second

// floodFor is how long a flood goes on in a test.
const floodFor = 3 * time.Second

// settle is the time between the start of the clients that keep to the protocol and that of the hostile ones, and after these.
const settle = 300 * time.Millisecond

// buildProgram builds the program and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "rainhaven")
	build := exec.Command("go", "build", "-buildvcs=false", "-o", path, "rainhaven/cmd/rainhaven")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// target is one of the two forms of the program, running.
type target struct {
	*Process
	name    string
	address string
	dialect Dialect
}

// onBoth runs a test on a front node and on a front, each with two servers, as subtests beside each other.
func onBoth(t *testing.T, program string, test func(t *testing.T, x target)) {
	t.Run("node", func(t *testing.T) {
		t.Parallel()
		n, err := StartNode(program, t.TempDir(), 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		defer n.Stop()
		test(t, target{n.Process, "node", n.Address, Platform})
	})
	t.Run("front", func(t *testing.T) {
		t.Parallel()
		f, err := StartFront(program, t.TempDir(), 2)
		if err != nil {
			t.Fatal(err)
		}
		defer f.Stop()
		test(t, target{f.Process, "front", f.Address, Viewers})
	})
}

// checkMemory checks that a process has not passed the memory limit and still runs.
func (x target) checkMemory(t *testing.T) {
	t.Helper()
	if x.Exited() {
		t.Fatalf("the process has ended: %s", x.Output())
	}
	peak, err := x.PeakMemoryMB()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("peak of the memory: %.1f MB", peak)
	if peak > MemoryLimitMB {
		t.Errorf("%.1f MB of memory, the limit is %d MB", peak, MemoryLimitMB)
	}
}

// Hundreds of clients at once write slowly, stop half way through a large request, or send heads of very many or very long fields: the
// process stays within its memory limit. A front came to 316 MB, as a request of half a megabyte was held until its end.
func TestMemoryUnderUnfinishedRequests(t *testing.T) {
	program := buildProgram(t)
	const clients = 450
	for name, behave := range map[string]Hostile{
		"written slowly":         WriteSlowly(LongFields(1), 5*time.Millisecond),
		"half of a body":         StopHalfWay(HalfOfALargeRequest(15000)),
		"very many short fields": Flood(true, Repeat(ManyShortFields(8000))),
		"the largest request":    StopHalfWay(LongFields(60) + "Content-Length: 60000\r\n\r\n" + LongFields(8)),
		"half of a large frame":  StopHalfWay("$\x00\xff\xff" + LongFields(14)),
	} {
		t.Run(name, func(t *testing.T) {
			onBoth(t, program, func(t *testing.T, x target) {
				others := StartClients(x.address, x.dialect, 10)
				time.Sleep(settle)
				PlayHostile(x.address, clients, hostileFor, behave)
				x.checkMemory(t)
				t.Log(others.Stop())
			})
		})
	}
}
