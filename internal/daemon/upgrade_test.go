package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"rainhaven/choice/health"
	"rainhaven/choice/lifecycle"
	"rainhaven/internal/lab/box"
	"rainhaven/internal/lab/player"
	"rainhaven/internal/state"
)

// startUpgradable starts a front with a state folder and returns it, its settings file and the path of its upgrade socket.
func startUpgradable(t *testing.T, list []*box.Box) (p *process, file, socket string) {
	dir := t.TempDir()
	file = filepath.Join(dir, "front.star")
	writeConfig(t, file, fmt.Sprintf(", state = %q", dir), "", list)
	return startFront(t, file), file, filepath.Join(dir, "f", upgradeSocket)
}

// requireServes waits until a process serves a session.
func (p *process) requireServes(description string) {
	p.t.Helper()
	for end := time.Now().Add(10 * time.Second); ; {
		if seen, _ := p.play(0.1); seen.Status == 200 {
			return
		}
		if time.Now().After(end) {
			p.t.Fatalf("the process does not serve: %s", description)
		}
	}
}

// A new process that exits at any step before it serves leaves the old one serving. One that had been granted the lease was never
// missed before.
func TestAbortedUpgrade(t *testing.T) {
	p, _, socket := startUpgradable(t, startBoxes(t, 1))
	steps := []string{wordTake, wordReady, wordCommit}
	for i, last := range steps {
		x, err := requestTakeover(socket)
		if err != nil {
			t.Fatal(err)
		}
		if i >= 1 {
			if _, err := x.sendReady(); err != nil {
				t.Fatal(err)
			}
		}
		if i >= 2 {
			if err := x.commit(); err != nil {
				t.Fatal(err)
			}
		}
		x.close()
		p.requireServes("the new process ended after " + last)
	}
	p.waitForHealth("the old process is ready", func(w health.Status) bool { return w.Ready && len(w.Degraded) == 0 })
	p.signals <- syscall.SIGTERM
	p.requireExit(lifecycle.ExitClean)
}

// Two upgrades at once: the second one is told so and ends with an exit code of its own, also if it asks after the first one serves.
// Both took over, and served as one front.
func TestTwoUpgradesAtOnce(t *testing.T) {
	old, file, socket := startUpgradable(t, startBoxes(t, 1))
	early, err := net.Dial("unix", socket) // asks after the upgrade
	if err != nil {
		t.Fatal(err)
	}
	defer early.Close()
	first, err := requestTakeover(socket)
	if err != nil {
		t.Fatal(err)
	}
	second := startProcess(t, file, true)
	if second.requireExit(lifecycle.ExitUpgradeRefused); !errors.Is(second.err, errUpgradeRefused) {
		t.Errorf("the second one ended with %v", second.err)
	}
	first.close()
	old.requireServes("the first one gave up")
	playing := make(chan struct{})
	go func() { // keeps the old process from ending
		defer close(playing)
		old.play(3)
	}()
	time.Sleep(300 * time.Millisecond)
	third := startProcess(t, file, true)
	third.requireServes("the upgrade")
	fmt.Fprintln(early, wordTake)
	early.SetDeadline(time.Now().Add(5 * time.Second))
	answer := make([]byte, 200)
	if n, err := early.Read(answer); err != nil || !strings.HasPrefix(string(answer[:n]), refusedPrefix) {
		t.Errorf("asked after the upgrade: %q, %v", answer[:n], err)
	}
	<-playing
	old.requireExit(lifecycle.ExitClean)
	third.signals <- syscall.SIGTERM
	third.requireExit(lifecycle.ExitClean)
}

// oldProcess stands in for the running process of an upgrade.
type oldProcess struct {
	conn  *net.UnixConn
	lines chan string
}

// serveStandIn answers one upgrade as the running process does, with sockets and a lock of its own, up to the snapshot.
func serveStandIn(t *testing.T, dir string) (asked chan *oldProcess) {
	folder, err := state.Open(dir, "f")
	if err != nil {
		t.Fatal(err)
	}
	lock, err := folder.DupLock()
	if err != nil {
		t.Fatal(err)
	}
	folder.Close()
	d := &daemon{handoverFiles: []handoverFile{{useLock, lock}}}
	for _, use := range []string{useViewers, useAdmin} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		file, err := l.(*net.TCPListener).File()
		if err != nil {
			t.Fatal(err)
		}
		l.Close()
		d.handoverFiles = append(d.handoverFiles, handoverFile{use, file})
	}
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: filepath.Join(dir, "f", upgradeSocket), Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	l.SetUnlinkOnClose(false)
	asked = make(chan *oldProcess, 1)
	go func() {
		defer l.Close()
		c, err := l.AcceptUnix()
		if err != nil {
			return
		}
		old := &oldProcess{conn: c, lines: make(chan string, 8)}
		go func() {
			defer close(old.lines)
			b := make([]byte, 4096)
			for {
				n, err := c.Read(b)
				if err != nil {
					return
				}
				old.lines <- string(b[:n])
			}
		}()
		<-old.lines
		d.sendFiles(c)
		for _, x := range d.handoverFiles {
			x.file.Close()
		}
		<-old.lines
		fmt.Fprintln(c, "{}")
		<-old.lines
		asked <- old
	}()
	return asked
}

// The new process serves only if it was granted the lease or the old process has ended; otherwise it gives up what it received. It served
// whatever had become of the old one.
func TestUpgradeServesOnlyWithTheLease(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(old *oldProcess)
		want   lifecycle.ExitCode
		serves bool
	}{
		"granted":                    {func(old *oldProcess) { fmt.Fprintln(old.conn, wordGranted) }, lifecycle.ExitClean, true},
		"the old process was killed": {func(old *oldProcess) { old.conn.Close() }, lifecycle.ExitClean, true},
		"withdrawn":                  {func(old *oldProcess) { fmt.Fprintln(old.conn, wordWithdrawn) }, lifecycle.ExitUpgradeRefused, false},
		"no answer":                  {func(*oldProcess) {}, lifecycle.ExitUpgradeRefused, false},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			file := filepath.Join(dir, "front.star")
			list := startBoxes(t, 1)
			writeConfig(t, file, fmt.Sprintf(", state = %q", dir), "", list)
			asked := serveStandIn(t, dir)
			started := make(chan *process)
			go func() { started <- startProcess(t, file, true) }()
			old := <-asked
			defer old.conn.Close()
			c.answer(old)
			p := <-started
			if c.serves {
				p.requireServes(name)
				p.signals <- syscall.SIGTERM
			}
			p.requireExit(c.want)
			if _, err := os.Stat(filepath.Join(dir, "f", "state.db.aside")); err == nil {
				t.Error("the state file was set aside")
			}
		})
	}
}

// A new process counts the seats that the old one's sessions hold until they end. Both together held more sessions of a title than its
// seats.
func TestUpgradeKeepsSeats(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "front.star")
	writeConfig(t, file, fmt.Sprintf(", state = %q", dir), `group(name = "exam", start_target = 0.5, setup_timeout = 3, seats = 1)`, startBoxes(t, 1))
	old := startFront(t, file)
	ended := make(chan struct{})
	playing := make(chan struct{})
	go func() {
		defer close(ended)
		started := false
		player.Watch(context.Background(), player.Options{Address: old.listen, Group: "exam", Title: "vents", SetupTimeout: 3, WatchSeconds: 3,
			OnProgress: func(player.Result) {
				if !started {
					started = true
					close(playing)
				}
			}})
	}()
	<-playing
	next := startProcess(t, file, true)
	requestSeat := func() int {
		seen, _ := player.Watch(context.Background(), player.Options{Address: next.listen, Group: "exam", Title: "vents", SetupTimeout: 3, WatchSeconds: 0.1})
		return seen.Status
	}
	for range 3 {
		if status := requestSeat(); status != 503 {
			t.Errorf("a second session of a title with one seat: status %d", status)
		}
	}
	<-ended
	for end := time.Now().Add(10 * time.Second); requestSeat() != 200; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the seat stays taken after the old process's session has ended")
		}
	}
	old.requireExit(lifecycle.ExitClean)
	next.signals <- syscall.SIGTERM
	next.requireExit(lifecycle.ExitClean)
}
