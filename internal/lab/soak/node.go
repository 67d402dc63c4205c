package soak

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"rainhaven/internal/rtsp"
)

const (
	// SIGKILL follows SIGTERM after the longest deadline plus killGrace.
	killGrace = 700 * time.Millisecond
	// acceptAfterTerm is how long after SIGTERM clients still open connections.
	acceptAfterTerm = 300 * time.Millisecond
	// Nine in ten started processes must be ready within readyTarget, and all within readyLimit.
	readyTarget, readyLimit = 10 * time.Second, 30 * time.Second
	// readyPollInterval is the interval of health checks on a starting process.
	readyPollInterval = 20 * time.Millisecond
)

// node is one front node. Its process is replaced at each restart.
type node struct {
	index  int
	listen string
	folder string
	o      Options
	log    *log
	coord  *coordinator
	nodes  int
	// onReady is called when a process has become ready.
	onReady func()

	// configMu is held while the configuration is written, and from then until its process is started. Disks may take seconds for
	// that, so mu is not held: it is needed to notice an exit.
	configMu sync.Mutex

	mu           sync.Mutex
	cmd          *exec.Cmd
	exited       chan struct{} // closed when the process has exited
	ready        bool
	terminatedAt time.Duration // when it was sent SIGTERM; 0 if it was not
	stopped      bool          // the soak has ended; no process is started
	starts       int
	replica      int // the coordinator replica that its configuration names
}

func (n *node) config() string { return filepath.Join(n.folder, fmt.Sprintf("n%d.json", n.index)) }

// start writes the configuration and starts a process whose wall clock is shifted by offset.
func (n *node) start(offset time.Duration) error {
	text, err := n.configuration()
	if err != nil {
		return err
	}
	n.configMu.Lock()
	defer n.configMu.Unlock()
	if err := os.WriteFile(n.config(), text, 0o600); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return nil
	}
	n.starts++
	args := []string{"node", "--log", n.o.LogLevel, "--clock-offset", offset.String(), "--sabotage", string(n.o.Sabotage)}
	if n.o.NetworkFaults {
		args = append(args, "--network-faults", strconv.FormatUint(n.o.Seed*1000+uint64(n.index*100+n.starts), 10))
	}
	logFile, err := os.OpenFile(filepath.Join(n.folder, fmt.Sprintf("n%d.log", n.index)), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	cmd := exec.Command(n.o.Program, args...)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+n.config())
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.cmd, n.exited, n.ready, n.terminatedAt = cmd, exited, false, 0
	n.log.add(record{kind: nodeStarted, node: n.index, detail: fmt.Sprintf("process %d, clock offset %v", cmd.Process.Pid, offset)})
	go n.wait(cmd, exited)
	go n.awaitReady(cmd, exited)
	return nil
}

func (n *node) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	code := 0
	var e *exec.ExitError
	if errors.As(err, &e) {
		code = e.ExitCode()
	}
	n.mu.Lock()
	if n.cmd == cmd {
		n.ready = false
	}
	n.mu.Unlock()
	n.log.add(record{kind: nodeExited, node: n.index, status: code, detail: cmd.ProcessState.String()})
	close(exited)
}

// awaitReady sends health checks until the process passes one or exits.
func (n *node) awaitReady(cmd *exec.Cmd, exited chan struct{}) {
	for {
		if n.ping() {
			n.mu.Lock()
			n.ready = n.cmd == cmd && n.terminatedAt == 0
			n.mu.Unlock()
			n.log.add(record{kind: nodeReady, node: n.index})
			n.onReady()
			return
		}
		select {
		case <-exited:
			return
		case <-time.After(readyPollInterval):
		}
	}
}

func (n *node) ping() bool {
	c, err := net.DialTimeout("tcp", n.listen, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer c.Close()
	m, err := rtsp.NewConn(c, rtsp.Limits{}).RoundTrip(rtsp.NewRequest(rtsp.Options, "rtsp://media/ping").WithHeader("CSeq", "3").WithHeader("Content-Length", "0"), time.Second, nil)
	return err == nil && m.Status == rtsp.OK
}

// acceptsConns reports whether clients may open connections to the node.
func (n *node) acceptsConns() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ready && (n.terminatedAt == 0 || n.log.now() < n.terminatedAt+acceptAfterTerm)
}

// kill sends SIGKILL and waits for the exit.
func (n *node) kill() {
	n.mu.Lock()
	cmd, exited := n.cmd, n.exited
	n.ready = false
	n.mu.Unlock()
	n.log.add(record{kind: nodeKilled, node: n.index})
	cmd.Process.Kill()
	<-exited
}

// terminate ends the process as a planned restart does: SIGTERM, then SIGKILL. The checker reports a needed SIGKILL.
func (n *node) terminate() {
	n.mu.Lock()
	cmd, exited := n.cmd, n.exited
	n.terminatedAt = n.log.now()
	n.mu.Unlock()
	n.log.add(record{kind: nodeTerminated, node: n.index})
	cmd.Process.Signal(syscall.SIGTERM)
	longest := time.Duration(0)
	for _, c := range classes {
		longest = max(longest, c.deadline)
	}
	select {
	case <-exited:
	case <-time.After(longest + killGrace):
		n.kill()
	}
}

// suspend stops the process for a duration, as on a machine that is short of processor time.
func (n *node) suspend(duration time.Duration) {
	n.mu.Lock()
	cmd, ready := n.cmd, n.ready
	n.mu.Unlock()
	if !ready {
		return
	}
	n.log.add(record{kind: nodeSuspended, node: n.index, wait: duration})
	cmd.Process.Signal(syscall.SIGSTOP)
	time.AfterFunc(duration, func() { cmd.Process.Signal(syscall.SIGCONT) })
}

// configuration returns the node's configuration file with the current server list.
func (n *node) configuration() ([]byte, error) {
	n.mu.Lock()
	address := n.coord.address(n.replica)
	n.mu.Unlock()
	return configuration(n.listen, address, n.index, n.nodes, n.coord.snapshot())
}

// useReplica has later configurations name another coordinator replica.
func (n *node) useReplica(replica int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.replica = replica
}

// reload writes the configuration, truncated if asked for, and has the process read it.
func (n *node) reload(truncate bool) {
	text, err := n.configuration()
	if err != nil {
		return
	}
	if truncate {
		text = text[:len(text)/2]
	}
	n.configMu.Lock()
	defer n.configMu.Unlock()
	if !n.hasStarted() || os.WriteFile(n.config(), text, 0o600) != nil { // a starting process must read its whole configuration
		return
	}
	n.signal(syscall.SIGHUP)
}

// hasStarted reports whether the process has become ready, so that it has read its configuration.
func (n *node) hasStarted() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hasStartedLocked()
}

// hasStartedLocked is hasStarted for callers that hold the lock.
func (n *node) hasStartedLocked() bool { return n.cmd != nil && (n.ready || n.terminatedAt > 0) }

// signal sends a signal to the process if it is ready or terminating.
func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.hasStartedLocked() {
		return
	}
	n.log.add(record{kind: nodeSignalled, node: n.index, detail: sig.String()})
	n.cmd.Process.Signal(sig)
}

// signalTerminating sends a signal to a process that was already sent SIGTERM.
func (n *node) signalTerminating(sig syscall.Signal) {
	n.mu.Lock()
	terminating := n.terminatedAt > 0
	n.mu.Unlock()
	if terminating {
		n.signal(sig)
	}
}

// stop kills the process and prevents further starts.
func (n *node) stop() {
	n.mu.Lock()
	n.stopped = true
	cmd, exited := n.cmd, n.exited
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Kill()
	<-exited
}
