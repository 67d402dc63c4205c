package standin

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Record is the record of a case, with the seconds since its start.
type Record struct {
	mu        sync.Mutex
	file      *os.File
	startedAt time.Time
}

// Case is one run of a case.
type Case struct {
	*Record
	Trouble   bool   // with the disruption
	Folder    string // temporary
	processes []*Process
}

// Run runs a case and ends the process with its result. It ends all processes that the case started.
func Run(run func(c *Case) (broken []string, err error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "one argument: the file of the record")
		os.Exit(NotRun)
	}
	file, err := os.Create(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	c := &Case{Record: &Record{file: file, startedAt: time.Now()}, Trouble: os.Getenv("TROUBLE") != "0", Folder: folder}
	c.Add("the disruption happens: %v", c.Trouble)
	// A case that hangs, or is told to end, ends what it started.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case s := <-stop:
			c.Add("RESULT: ended by signal %v", s)
		case <-time.After(longest):
			c.Add("RESULT: the case took longer than %v", longest)
		}
		c.endProcesses()
		os.RemoveAll(folder)
		os.Exit(NotRun)
	}()
	broken, err := run(c)
	c.endProcesses()
	code := Held
	switch {
	case err != nil:
		c.Add("RESULT: the case could not run: %v", err)
		code = NotRun
	case len(broken) > 0:
		for _, b := range broken {
			c.Add("BROKEN: %s", b)
		}
		code = Broken
	default:
		c.Add("RESULT: the rule held")
	}
	file.Close()
	os.RemoveAll(folder)
	os.Exit(code)
}

// longest is the longest time that a case may take.
const longest = 100 * time.Second

// endProcesses ends all processes that the case has started.
func (c *Case) endProcesses() {
	c.mu.Lock()
	list := c.processes
	c.mu.Unlock()
	for _, p := range list {
		p.End()
	}
}

// Add adds a line to the record.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.startedAt).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

// Seconds returns the time since the start of the case.
func (r *Record) Seconds() float64 { return time.Since(r.startedAt).Seconds() }

// Process is one of the project's programs.
type Process struct {
	Name string
	// EndsWithin is how long its end by SIGTERM may take before it is killed.
	EndsWithin time.Duration

	c      *Case
	cmd    *exec.Cmd
	log    string
	ended  chan struct{}
	wanted bool // its end is asked for
	mu     sync.Mutex
}

// Start starts a shell command from the root of the repository, with further environment variables.
func (c *Case) Start(name, command string, env ...string) (*Process, error) {
	p := &Process{Name: name, EndsWithin: 200 * time.Millisecond, c: c, cmd: exec.Command("/bin/sh", "-c", command), log: filepath.Join(c.Folder, name+".log"), ended: make(chan struct{})}
	log, err := os.Create(p.log)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	c.Add("%s: started by %q", name, strings.ReplaceAll(command, c.Folder, "FOLDER"))
	c.mu.Lock()
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	go func() {
		err := p.cmd.Wait()
		p.mu.Lock()
		wanted := p.wanted
		p.mu.Unlock()
		c.Add("%s: ended, asked for: %v, %v", name, wanted, err)
		close(p.ended)
	}()
	return p, nil
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// AwaitEnd waits for the end of the process; false after the given time.
func (p *Process) AwaitEnd(within time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(within):
		return false
	}
}

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) {
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.mu.Lock()
		p.wanted = true
		p.mu.Unlock()
	}
	p.c.Add("%s: gets signal %v", p.Name, s)
	p.cmd.Process.Signal(s)
}

// End ends the process, by force where it does not end by itself.
func (p *Process) End() {
	if p.Ended() {
		return
	}
	p.cmd.Process.Signal(syscall.SIGCONT)
	p.Signal(syscall.SIGTERM)
	if !p.AwaitEnd(p.EndsWithin) {
		p.Signal(syscall.SIGKILL)
		p.AwaitEnd(2 * time.Second)
	}
}

// Log returns the lines that the process has written.
func (p *Process) Log() string {
	b, _ := os.ReadFile(p.log)
	return string(b)
}

// FreeAddress returns a loopback address with a port that is free.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Await waits until done returns true; false after the given time.
func Await(within time.Duration, done func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return done()
}
