// Package soak runs many real front node processes on loopback with stand-in clients, servers and a coordinator, and with
// overlapping faults drawn from a seed. It checks the platform's rules from the recorded traffic alone.
package soak

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// kind is the kind of a recorded event.
type kind int

const (
	requestSent          kind = iota // a client writes a request's last byte
	requestCancelled                 // its client has cancelled it or closed its connection
	requestAborted                   // the node closed the connection while the request was pending
	answerRead                       // a client has read a final answer
	releaseRead                      // a client has read a release
	attemptRead                      // a server has read a complete attempt
	attemptAnswered                  // a server writes its answer to an attempt
	attemptCancelled                 // a server has read an attempt's TEARDOWN, or its connection ended
	sessionEnded                     // a server ends an established session
	releaseWritten                   // a server has written the release to a connection
	serverDied                       // a server's process has died, and its sessions with it
	connectionEnded                  // a client's connection has ended
	rungRead                         // a server has read a new rung
	entryPublished                   // the coordinator has published an entry of the list
	nodeStarted                      // a node's process was started
	nodeReady                        // it has passed its first health check
	nodeTerminated                   // it was sent SIGTERM
	nodeExited                       // its process has exited
	nodeKilled                       // it was sent SIGKILL
	nodeSuspended                    // it is stopped by SIGSTOP for a duration
	nodeSignalled                    // it was sent a signal other than the first SIGTERM or a SIGKILL
	nodeMeasured                     // its descriptors and memory were measured
	nodeLoggedFault                  // its log has a line that matches a fault pattern
	faultStarted                     // a fault starts
	replacementOpened                // a connection takes the place of all earlier ones to a node
	sessionNamed                     // a client names a session that stands
	sessionEndedByClient             // a client ends a session that stands
	uselessOpened                    // connections are opened for a duration on which clients read nothing
	serverConnEnded                  // a connection to a server has ended
)

var kindNames = [...]string{"request sent", "request cancelled", "request aborted", "answer read", "release read", "attempt read", "attempt answered",
	"attempt cancelled", "session ended", "release written", "server died", "connection ended", "rung read", "entry published", "node started", "node ready", "node terminated", "node exited", "node killed", "node suspended", "node signalled", "node measured", "node logged a fault", "fault", "replacement opened", "session named", "ended by client", "useless opened", "server connection ended"}

// record is one recorded event. Which fields are set depends on its kind.
type record struct {
	at           time.Duration // since the start of the soak
	kind         kind
	request      string
	node         int
	server       string
	class        int
	title        string
	status       int           // status of an answer, cause of a session's end or exit code
	rung         int           // rung of an attempt or a rung change
	wait         time.Duration // deadline of a request or an attempt; when an entry counts as notified; duration of a suspension
	descriptors  int           // of a measured process
	megabytes    float64       // resident memory of a measured process
	transitDelay time.Duration // how long an attempt was delayed by a network partition
	detail       string
	peer         string // client address of a request's connection, node's address of a connection to a server
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

// log collects the records of all stand-ins. It is safe for concurrent use.
type log struct {
	startedAt time.Time
	mu        sync.Mutex
	records   []record
}

func (l *log) now() time.Duration { return time.Since(l.startedAt) }

// add appends a record and returns its time, which is now unless it is set.
func (l *log) add(r record) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.at == 0 {
		r.at = l.now()
	}
	l.records = append(l.records, r)
	return r.at
}

// sorted returns all records in order of time.
func (l *log) sorted() []record {
	l.mu.Lock()
	defer l.mu.Unlock()
	sorted := slices.Clone(l.records)
	slices.SortStableFunc(sorted, func(a, b record) int { return cmp.Compare(a.at, b.at) })
	return sorted
}

// writeTrace writes all records of one request.
func writeTrace(w io.Writer, records []record, request string) {
	for _, r := range records {
		if r.request == request {
			fmt.Fprintln(w, "   ", r)
		}
	}
}
