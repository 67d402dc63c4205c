package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// measureInterval is the interval at which the processes' descriptors and memory are measured.
const measureInterval = 100 * time.Millisecond

// faultPatterns must not occur in a node's log: violations found by its own guard, and crashes.
var faultPatterns = []string{"invariant violated", "panic:", "fatal error:", "DATA RACE"}

// measureProcesses measures all processes until ctx is done.
func (s *soak) measureProcesses(ctx context.Context) {
	for sleep(ctx, measureInterval) {
		for _, n := range s.nodes {
			n.measure()
		}
	}
}

// measure records the process's open descriptors and resident memory.
func (n *node) measure() {
	n.mu.Lock()
	cmd, ready := n.cmd, n.ready
	n.mu.Unlock()
	if cmd == nil || !ready {
		return
	}
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid))
	if err != nil {
		return // it has exited
	}
	megabytes := residentMemory(cmd.Process.Pid)
	n.log.add(record{kind: nodeMeasured, node: n.index, descriptors: len(descriptors), megabytes: megabytes})
}

// residentMemory returns a process's resident memory in megabytes; 0 if it can't be read.
func residentMemory(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}

// scanLogs records the lines of the nodes' logs that match a fault pattern.
func (s *soak) scanLogs() {
	for _, n := range s.nodes {
		text, err := os.ReadFile(filepath.Join(n.folder, fmt.Sprintf("n%d.log", n.index)))
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(bytes.NewReader(text))
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			for _, pattern := range faultPatterns {
				if strings.Contains(lines.Text(), pattern) {
					n.log.add(record{kind: nodeLoggedFault, node: n.index, detail: lines.Text()})
					break
				}
			}
		}
	}
}
