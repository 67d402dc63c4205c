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
	// killGrace is how long after SIGTERM, beyond the longest deadline, SIGKILL comes.
	killGrace = 700 * time.Millisecond
	// acceptAfterTerm is how long after SIGTERM new connections still come.
	acceptAfterTerm = 300 * time.Millisecond
	// readyTarget is within how long nine in ten restarted processes must be ready, and readyLimit all.
	readyTarget, readyLimit = 10 * time.Second, 30 * time.Second
	// readyPollInterval is how often a starting process is asked.
	readyPollInterval = 20 * time.Millisecond
)

// node is one front node: a process, and the next one after it.
type node struct {
	index  int
	listen string
	folder string
	o      Options
	log    *log
	coord  *coordinator
	nodes  int

	mu           sync.Mutex
	cmd          *exec.Cmd
	exited       chan struct{} // closed when the process has ended
	ready        bool
	terminatedAt time.Duration // it was sent SIGTERM then; 0 is not
	stopped      bool          // the soak is over
	starts       int
	replica      int // of the coordinator, which its configuration names
}

func (n *node) config() string { return filepath.Join(n.folder, fmt.Sprintf("n%d.json", n.index)) }

// start starts a process whose wall clock is off by so much.
func (n *node) start(offset time.Duration) error {
	text, err := n.configuration()
	if err != nil {
		return err
	}
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
	n.log.add(record{kind: nodeStarted, node: n.index, detail: fmt.Sprintf("process %d, clock off by %v", cmd.Process.Pid, offset)})
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

// awaitReady asks a process until it passes its first test.
func (n *node) awaitReady(cmd *exec.Cmd, exited chan struct{}) {
	for {
		if n.ping() {
			n.mu.Lock()
			n.ready = n.cmd == cmd && n.terminatedAt == 0
			n.mu.Unlock()
			n.log.add(record{kind: nodeReady, node: n.index})
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

// acceptsConns tells whether clients may open connections to it.
func (n *node) acceptsConns() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ready && (n.terminatedAt == 0 || n.log.now() < n.terminatedAt+acceptAfterTerm)
}

// kill ends the process at once.
func (n *node) kill() {
	n.mu.Lock()
	cmd, exited := n.cmd, n.exited
	n.ready = false
	n.mu.Unlock()
	n.log.add(record{kind: nodeKilled, node: n.index})
	cmd.Process.Kill()
	<-exited
}

// terminate ends the process as a planned restart does; whether it ended by itself is judged from the records.
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

// suspend has the process do nothing for so long, as a machine that is short of processor time may.
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

// configuration is its file as it is to be now.
func (n *node) configuration() ([]byte, error) {
	n.mu.Lock()
	address := n.coord.address(n.replica)
	n.mu.Unlock()
	return configuration(n.listen, address, n.index, n.nodes, n.coord.snapshot())
}

// useReplica has further configurations name another door of the coordinator's.
func (n *node) useReplica(replica int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.replica = replica
}

// reload writes the configuration anew, broken or whole, and has the process read it.
func (n *node) reload(truncate bool) {
	text, err := n.configuration()
	if err != nil {
		return
	}
	if truncate {
		text = text[:len(text)/2]
	}
	if os.WriteFile(n.config(), text, 0o600) != nil {
		return
	}
	n.signal(syscall.SIGHUP)
}

// signal sends a signal to the process, if one runs.
func (n *node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil || !n.ready && n.terminatedAt == 0 {
		return
	}
	n.log.add(record{kind: nodeSignalled, node: n.index, detail: sig.String()})
	n.cmd.Process.Signal(sig)
}

// signalTerminating sends a further signal to a process that was sent SIGTERM.
func (n *node) signalTerminating(sig syscall.Signal) {
	n.mu.Lock()
	ending := n.terminatedAt > 0
	n.mu.Unlock()
	if ending {
		n.signal(sig)
	}
}

// stop ends the process for good.
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
