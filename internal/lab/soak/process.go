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

// measureInterval is how often the processes' descriptors and memory are looked at.
const measureInterval = 100 * time.Millisecond

// faultPatterns are what a node's log must not hold: violations that its own guard saw, and crashes.
var faultPatterns = []string{"invariant violated", "panic:", "fatal error:", "DATA RACE"}

// measureProcesses looks at the processes' descriptors and memory.
func (s *soak) measureProcesses(ctx context.Context) {
	for sleep(ctx, measureInterval) {
		for _, n := range s.nodes {
			n.measure()
		}
	}
}

// measure records how many descriptors and megabytes the process holds.
func (n *node) measure() {
	n.mu.Lock()
	cmd, ready := n.cmd, n.ready
	n.mu.Unlock()
	if cmd == nil || !ready {
		return
	}
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid))
	if err != nil {
		return // it has ended
	}
	megabytes := residentMemory(cmd.Process.Pid)
	n.log.add(record{kind: nodeMeasured, node: n.index, descriptors: len(descriptors), megabytes: megabytes})
}

// residentMemory is how many megabytes a process holds; 0 where that can't be read.
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

// scanLogs records what the nodes' logs complain of.
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
