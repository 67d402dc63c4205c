// Package kit holds what the cases of the second part of review/ share: processes, a record, a verdict, and small
// stand-ins for a viewer and for a box that follow docs/rtsp.md.
package kit

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held, broken, failed = 0, 1, 2
)

// BoxCommand starts the project's stand-in box, as review/build-2.sh builds it.
const BoxCommand = "bin/review-2/rainhaven box"

// maxSeconds bounds a case; the limit of a script is 120 s.
const maxSeconds = 110

// Case is one run of a case.
type Case struct {
	Trouble bool   // the disruption is to happen
	Tmp     string // a folder that is removed at the end

	start  time.Time
	mu     sync.Mutex
	record *os.File
	procs  []*Proc
	broken []string
	ending sync.Once
}

// Run runs a case, writes its record into the file named by the first argument, and exits.
func Run(play func(c *Case) error) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE RECORD")
		os.Exit(failed)
	}
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	var err error
	if c.record, err = os.Create(os.Args[1]); err == nil {
		c.Tmp, err = os.MkdirTemp("", "review")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case sig := <-signals:
			c.end(fmt.Errorf("ended by %v", sig))
		case <-time.After(maxSeconds * time.Second):
			c.end(fmt.Errorf("not over after %d s", maxSeconds))
		}
	}()
	c.Logf("trouble: %v", c.Trouble)
	c.end(play(c))
}

// end ends all processes, writes the verdict and exits.
func (c *Case) end(err error) {
	c.ending.Do(func() {
		c.mu.Lock()
		procs := c.procs
		c.mu.Unlock()
		for _, p := range procs {
			p.Kill()
		}
		os.RemoveAll(c.Tmp)
		code := held
		switch {
		case err != nil:
			code = failed
			c.Logf("could not run: %v", err)
		case len(c.broken) > 0:
			code = broken
			c.Logf("verdict: the rule was broken (%d times)", len(c.broken))
		default:
			c.Logf("verdict: the rule held")
		}
		os.Exit(code)
	})
	select {} // another goroutine is ending the case
}

// Logf writes a line to the record, with the seconds since the start.
func (c *Case) Logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	root, _ := os.Getwd()
	line := fmt.Sprintf("%8.3f ", time.Since(c.start).Seconds()) + strings.NewReplacer(c.Tmp, "FOLDER", root+"/", "").Replace(fmt.Sprintf(format, args...))
	fmt.Fprintln(c.record, line)
	fmt.Println(line)
}

// Broken records that the rule was broken.
func (c *Case) Broken(format string, args ...any) {
	c.Logf("BROKEN: "+format, args...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// Proc is a process of the program.
type Proc struct {
	Name   string
	Ended  chan struct{} // closed when it has ended
	cmd    *exec.Cmd
	mu     sync.Mutex
	output bytes.Buffer
	err    error
}

// Write takes what the process writes.
func (p *Proc) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.Write(b)
}

// Output returns what the process has written so far.
func (p *Proc) Output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// Start starts a command as the deploy file does, from the repository's root.
func (c *Case) Start(name, command string, env ...string) (*Proc, error) {
	p := &Proc{Name: name, Ended: make(chan struct{}), cmd: exec.Command("/bin/sh", "-c", "exec "+command)}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = p, p
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.procs = append(c.procs, p)
	c.mu.Unlock()
	c.Logf("%s: started: %s", name, command)
	go func() {
		p.err = p.cmd.Wait()
		close(p.Ended)
	}()
	return p, nil
}

// Signal sends the process a signal.
func (p *Proc) Signal(sig syscall.Signal) { p.cmd.Process.Signal(sig) }

// Kill kills the process and waits for its end.
func (p *Proc) Kill() {
	p.cmd.Process.Kill()
	<-p.Ended
}

// HasEnded reports whether the process has ended, and how.
func (p *Proc) HasEnded() (how string, ended bool) {
	select {
	case <-p.Ended:
		return fmt.Sprint(p.cmd.ProcessState), true
	default:
		return "", false
	}
}

// AwaitOutput waits until the process has written a text n times.
func (p *Proc) AwaitOutput(text string, n int, limit time.Duration) error {
	for end := time.Now().Add(limit); strings.Count(p.Output(), text) < n; time.Sleep(10 * time.Millisecond) {
		if how, ended := p.HasEnded(); ended {
			return fmt.Errorf("%s has ended (%s): %s", p.Name, how, p.Output())
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s has not written %q: %s", p.Name, text, p.Output())
		}
	}
	return nil
}

// FreeAddress returns a loopback address with a free port, below those that the system gives to connections.
func FreeAddress() (string, error) {
	for range 100 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 10000+rand.IntN(20000)))
		if err == nil {
			defer l.Close()
			return l.Addr().String(), nil
		}
	}
	return "", errors.New("no port is free")
}

// AwaitReady waits until a front's health says that viewers should come.
func AwaitReady(admin string, limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); ; time.Sleep(20 * time.Millisecond) {
		r, err := client.Get("http://" + admin + "/health")
		if err == nil {
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return nil
			}
			err = errors.New(r.Status)
		}
		if time.Now().After(end) {
			return fmt.Errorf("the front is not ready: %w", err)
		}
	}
}

// FrontScript returns the settings of a small front: those of examples/front.star with other addresses. front holds more
// arguments of front(), and boxes the addresses by number; more is added at the end.
func FrontScript(listen, admin, front, group string, boxes []string, more string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "front(name = \"front-1\", listen = %q, admin = %q%s)\n", listen, admin, front)
	b.WriteString(`kind(name = "two-core", places = 20)
ladder(rates = [250, 600, 1200, 2500])
fleet(links = 20000, uplink = 20000, cells = 1, racks = 1)
setups(most = 3, spare = 5, share = 0.1, window = 10)
cold(warm_up = 10, share = 0.4, fall_factor = 4, fall_time = 1.5)
reports(come = "answers", lag = 1, notes_every = 3)
title(name = "vents", span = 1)
title(name = "heating", span = 1)
`)
	b.WriteString(group)
	for i, a := range boxes {
		if a != "" {
			fmt.Fprintf(&b, "box(id = %d, address = %q, cell = 0)\n", i+1, a)
		}
	}
	b.WriteString(more)
	return b.String()
}
