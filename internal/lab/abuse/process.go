// Package abuse plays hostile clients against real processes of the program, beside clients that keep to the protocol. It measures the
// memory of the process and what the other clients get. The tests state the limits.
package abuse

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The limits of the platform's smallest machines.
const (
	MemoryLimitMB   = 192
	DescriptorLimit = 1024
)

// Process is a process of the program under the descriptor limit.
type Process struct {
	cmd    *exec.Cmd
	exited chan struct{} // closed once it has exited
	mu     sync.Mutex
	output []byte // the end of what it wrote
}

// maxOutput bounds the output that is kept of a process.
const maxOutput = 64 << 10

// Write keeps the end of the output.
func (p *Process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.output = append(p.output, b...)
	p.output = p.output[max(len(p.output)-maxOutput, 0):]
	return len(b), nil
}

// Output returns the end of what the process wrote.
func (p *Process) Output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return string(p.output)
}

// startProcess starts the program with arguments and further environment variables.
func startProcess(program string, env []string, args ...string) (*Process, error) {
	p := &Process{exited: make(chan struct{})}
	script := fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, DescriptorLimit)
	p.cmd = exec.Command("/bin/sh", append([]string{"-c", script, program}, args...)...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = p, p
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting %s: %w", program, err)
	}
	go func() {
		p.cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// Stop kills the process and waits for its end.
func (p *Process) Stop() {
	p.cmd.Process.Kill()
	<-p.exited
}

// Exited reports whether the process has ended by itself.
func (p *Process) Exited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// memoryMB reads a line of the process's status in megabytes: VmHWM is the most memory that it had, VmRSS what it has.
func (p *Process) memoryMB(line string) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, found := strings.Cut(string(text), "\n"+line+":")
	fields := strings.Fields(rest)
	if !found || len(fields) == 0 {
		return 0, fmt.Errorf("no %s in the status of the process", line)
	}
	kb, err := strconv.ParseFloat(fields[0], 64)
	return kb / 1024, err
}

// PeakMemoryMB returns the most memory that the process had, in megabytes.
func (p *Process) PeakMemoryMB() (float64, error) { return p.memoryMB("VmHWM") }

// freeAddress returns a loopback address with a port that is free at present.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// awaitListener waits until a process accepts connections at an address.
func (p *Process) awaitListener(address string, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if p.Exited() {
			return fmt.Errorf("the process has ended: %s", p.Output())
		}
		if c, err := net.DialTimeout("tcp", address, 200*time.Millisecond); err == nil {
			c.Close()
			return nil
		}
	}
	return fmt.Errorf("nothing listens at %s", address)
}
