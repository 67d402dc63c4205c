// Package soak runs many real front node processes on loopback among stand-in clients, servers and a coordinator, with
// overlapping faults drawn by a seed, and judges the platform's rules from the traffic alone.
package soak

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// kind is what a record tells.
type kind int

const (
	requestSent      kind = iota // a client has written a request's last byte
	requestCancelled             // its client has cancelled it, or closed its connection
	requestCut                   // the node closed the connection with the request open
	answerRead                   // a client has read a final answer
	releaseRead                  // a client has read a release
	attemptRead                  // a server has read an attempt whole
	attemptAnswered              // a server writes its answer to an attempt
	attemptCancelled             // a server has read that an attempt is given up, or its connection ended
	sessionEnded                 // a server ends a session that stood
	releaseWritten               // a server has written that end to a connection
	serverDied                   // a server's process has ended, and its sessions with it
	connectionEnded              // a client's connection has ended
	rungRead                     // a server has read a new rung
	entryPublished               // the coordinator has an entry of the list
	nodeStarted                  // a node's process was started
	nodeReady                    // it passed its first test
	nodeTerminated               // it was sent SIGTERM
	nodeExited                   // its process has ended
	nodeKilled                   // it was sent SIGKILL
	nodeSuspended                // it stands still (SIGSTOP) for so long
	nodeSignalled                // it was sent a signal beside the one that ends it
	nodeMeasured                 // its descriptors and memory were looked at
	nodeLoggedFault              // its log has a line that tells of a fault of its own
	faultStarted                 // a fault of the plan begins
)

var kindNames = [...]string{"request sent", "request cancelled", "request cut", "answer read", "release read", "attempt read", "attempt answered",
	"attempt given up", "session ended", "release written", "server died", "connection ended", "rung read", "entry told", "node started", "node ready", "node terminated", "node exited", "node killed", "node stands still", "node signalled", "node measured", "node complained", "fault"}

// record is one thing seen. Which fields say something depends on its kind.
type record struct {
	at           time.Duration // since the soak began
	kind         kind
	request      string
	node         int
	server       string
	class        int
	title        string
	status       int           // of an answer; of an exit its code
	rung         int           // of an attempt
	wait         time.Duration // of a request or an attempt: its deadline; of an entry: when it counts as told
	descriptors  int           // of a process
	megabytes    float64       // of a process
	transitDelay time.Duration // how long an attempt was on its way, where the network was cut
	detail       string
	peer         string // the client's end of a request's connection
}

func (r record) String() string {
	s := fmt.Sprintf("%9.3f  %-18s n%d", r.at.Seconds(), kindNames[r.kind], r.node)
	for _, f := range []struct {
		name    string
		value   any
		include bool
	}{{"request", r.request, r.request != ""}, {"server", r.server, r.server != ""}, {"status", r.status, r.status != 0},
		{"rung", r.rung, r.kind == attemptRead || r.kind == rungRead}, {"wait", r.wait, r.wait != 0}, {"", r.detail, r.detail != ""}, {"from", r.peer, r.peer != ""}} {
		if f.include {
			s += fmt.Sprintf("  %s %v", f.name, f.value)
		}
	}
	return s
}

// log is all that was seen, by whoever sees it first. It is safe for concurrent use.
type log struct {
	startedAt time.Time
	mu        sync.Mutex
	records   []record
}

func (l *log) now() time.Duration { return time.Since(l.startedAt) }

// add stamps a record and keeps it.
func (l *log) add(r record) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.at == 0 {
		r.at = l.now()
	}
	l.records = append(l.records, r)
	return r.at
}

// sorted gives all records in their order.
func (l *log) sorted() []record {
	l.mu.Lock()
	defer l.mu.Unlock()
	sorted := slices.Clone(l.records)
	slices.SortStableFunc(sorted, func(a, b record) int { return cmp.Compare(a.at, b.at) })
	return sorted
}

// writeTrace writes all that was seen of one request.
func writeTrace(w io.Writer, records []record, request string) {
	for _, r := range records {
		if r.request == request {
			fmt.Fprintln(w, "   ", r)
		}
	}
}
