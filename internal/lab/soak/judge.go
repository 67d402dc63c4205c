package soak

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"
)

// Invariant names a rule that a soak checks.
type Invariant string

// The invariants. For each, at least one sabotage of the node must violate it.
const (
	Answered    Invariant = "answered"      // each request gets one final answer, within its deadline; a success is one that a server gave
	NotRepeated Invariant = "not repeated"  // requests with side effects are retried or refused only if no attempt ran
	OneAttempt  Invariant = "one attempt"   // a request never has two attempts in flight
	Drained     Invariant = "drained"       // draining and removed servers get no attempts after the grace
	SlowStart   Invariant = "slow start"    // a newly started server gets no more than its budget from all nodes together
	Terms       Invariant = "terms"         // no rung below the floor, no more sessions of a title than seats
	RetryBudget Invariant = "retry budget"  // each node's retries stay within the budget
	NotAfterEnd Invariant = "not after end" // no attempt after its client cancelled or closed the connection
	Deadline    Invariant = "deadline"      // the deadline sent to a server is no longer than what the client has left
	Ready       Invariant = "ready"         // started processes become ready in time
	Released    Invariant = "released"      // a session's end is reported to its client in time
	Cut         Invariant = "cut"           // a session that its client ended is torn down at its server in time
	Limits      Invariant = "limits"        // processes keep within their limits of descriptors and memory
	Guarded     Invariant = "guarded"       // processes log no violation found by their own guard, and no crash
	Ended       Invariant = "ended"         // processes exit by themselves on SIGTERM with status 0, and none crashes
)

// Invariants lists all invariants, in the order of the report.
var Invariants = []Invariant{Answered, NotRepeated, OneAttempt, Drained, SlowStart, Terms, RetryBudget, NotAfterEnd, Deadline, Released, Cut, Limits, Guarded, Ready, Ended}

const (
	// socketSlack is added to every time limit for the transport.
	socketSlack = 50 * time.Millisecond
	// loadSlack is the delay that a loaded machine may add between a write and its record.
	loadSlack = 60 * time.Millisecond
	// answerGrace is how long after the deadline an answer is still accepted.
	answerGrace = 500 * time.Millisecond
	// cancelGrace is how long after its client cancelled an attempt may still start.
	cancelGrace = 100 * time.Millisecond
	// deadlineSlack is how far a deadline sent to a server may exceed what its client has left.
	deadlineSlack = 150 * time.Millisecond
	// The retry budget is multiplied by budgetFactor and raised by budgetMargin before a violation counts.
	budgetFactor, budgetMargin = 1.15, 1.0
	// readOrderSlack is how far two servers may be apart in recording what was sent to them one after the other.
	readOrderSlack = 5 * time.Millisecond
	// maxTraces is the number of violations reported with their traces.
	maxTraces = 5
)

// Violation is one violation of an invariant.
type Violation struct {
	Invariant Invariant
	Request   string // the id of the request concerned; empty if there is none
	At        time.Duration
	Detail    string
	Related   []string // the ids of other requests whose traces explain it
}

// Report is the result of a soak.
type Report struct {
	Requests, Answers, Served, Refused, Failed, Attempts int
	Cancelled, AtKilledNodes                             int // unanswered requests that were cancelled; at killed nodes
	CrossedClose, Resent                                 int // requests that crossed a connection's close; those sent again for that reason
	Starts, Faults                                       int
	MaxDescriptors                                       int     // the maximum of any process
	MaxMemoryMB                                          float64 // the maximum of any process
	Violations                                           []Violation
	records                                              []record
}

// OK reports whether no invariant was violated.
func (r *Report) OK() bool { return len(r.Violations) == 0 }

// Write writes the first violations with the traces of their requests, then the counts.
func (r *Report) Write(w io.Writer) {
	for i, v := range r.Violations {
		if i == maxTraces {
			fmt.Fprintf(w, "and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintf(w, "violated: %s, at %.3f s: %s %s\n", v.Invariant, v.At.Seconds(), v.Request, v.Detail)
		if v.Request != "" {
			writeTrace(w, r.records, v.Request)
		}
		for _, id := range v.Related {
			fmt.Fprintf(w, "  beside it: %s\n", id)
			writeTrace(w, r.records, id)
		}
	}
	counts := map[Invariant]int{}
	for _, v := range r.Violations {
		counts[v.Invariant]++
	}
	fmt.Fprintf(w, "requests %d answers %d (served %d refused %d failed %d) attempts %d cancelled %d crossed a close %d sent once more %d at killed nodes %d; starts %d faults %d; at most %d descriptors and %.0f MB a process\n",
		r.Requests, r.Answers, r.Served, r.Refused, r.Failed, r.Attempts, r.Cancelled, r.CrossedClose, r.Resent, r.AtKilledNodes, r.Starts, r.Faults, r.MaxDescriptors, r.MaxMemoryMB)
	var line []string
	for _, i := range Invariants {
		line = append(line, fmt.Sprintf("%s %d", i, counts[i]))
	}
	fmt.Fprintln(w, "violations:", strings.Join(line, ", "))
}

// attempt is one attempt of a request, as its server saw it.
type attempt struct {
	read     record
	endedAt  time.Duration // when it was answered or cancelled; never if it was neither
	tornDown time.Duration // when its node sent the first TEARDOWN; never if none
	notRun   bool          // its server answered that nothing ran
	answered bool          // its server answered it with success
}

// history is what was recorded of one request.
type history struct {
	sent            record
	answers         []record
	attempts        []*attempt
	cancelledAt     time.Duration            // 0 if it was not
	abortedAt       time.Duration            // when the node closed the last connection it was sent on; 0 if it did not
	readBeforeAbort bool                     // the node had read it before the close
	endedAt         map[string]time.Duration // when its sessions ended, by server

	releaseCause   int             // the cause of its last session's end
	releaseWrites  []record        // each time that its server wrote the release, in order
	releasesReadAt []time.Duration // when its client read releases
	named          record          // when its client named it last; zero if never
	endedByClient  record          // when its client ended it; zero if never
}

// never stands for a time that is not reached.
const never = time.Duration(math.MaxInt64)

// checker groups the records by request and node and collects violations.
type checker struct {
	o           Options
	requests    map[string]*history
	order       []string
	kills       map[int][]time.Duration // when processes were killed, by node, in order
	exits       map[int][]time.Duration // when processes exited for any reason, by node, in order
	suspensions map[int][]record        // SIGSTOP periods, by node
	report      *Report
}

// check builds the report of a soak from its records, which are in order of time.
func check(records []record, o Options) *Report {
	c := &checker{o: o, requests: map[string]*history{}, kills: map[int][]time.Duration{}, exits: map[int][]time.Duration{}, suspensions: map[int][]record{}, report: &Report{records: records}}
	for _, r := range records {
		c.addRecord(r)
	}
	for _, id := range c.order {
		c.checkFinalAnswer(id, c.requests[id])
		c.checkAttempts(id, c.requests[id])
	}
	c.checkDrains()
	c.checkSlowStart()
	c.checkSeats()
	c.checkRetryBudget()
	c.checkProcesses()
	c.checkReleases()
	c.checkLimits()
	slices.SortStableFunc(c.report.Violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return c.report
}

func (c *checker) violate(invariant Invariant, id string, at time.Duration, format string, args ...any) {
	c.report.Violations = append(c.report.Violations, Violation{Invariant: invariant, Request: id, At: at, Detail: fmt.Sprintf(format, args...)})
}

// addRecord adds a record to the history of its request or node.
func (c *checker) addRecord(r record) {
	switch r.kind {
	case requestSent:
		if h := c.requests[r.request]; h != nil { // sent again on a new connection
			h.abortedAt = 0
			c.report.Resent++
			return
		}
		c.requests[r.request] = &history{sent: r, endedAt: map[string]time.Duration{}}
		c.order = append(c.order, r.request)
		c.report.Requests++
		return
	case nodeKilled:
		c.kills[r.node] = append(c.kills[r.node], r.at)
	case nodeSuspended:
		c.suspensions[r.node] = append(c.suspensions[r.node], r)
	case nodeExited:
		c.exits[r.node] = append(c.exits[r.node], r.at)
	case faultStarted:
		c.report.Faults++
	case nodeStarted:
		c.report.Starts++
	}
	h := c.requests[r.request]
	if h == nil {
		return
	}
	switch r.kind {
	case requestCancelled:
		h.cancelledAt = r.at
	case requestAborted:
		h.abortedAt, h.readBeforeAbort = r.at, r.detail == detailRead
	case answerRead:
		h.answers = append(h.answers, r)
		c.report.Answers++
	case attemptRead:
		c.report.Attempts++
		a := &attempt{read: r, endedAt: never, tornDown: never}
		if at, known := h.endedAt[r.server]; known && r.at-at < socketSlack { // its end arrived over another connection and was read first
			a.endedAt = r.at
		}
		h.attempts = append(h.attempts, a)
	case attemptAnswered:
		if a := h.lastAttempt(r.server); a != nil {
			a.endedAt, a.answered = min(a.endedAt, r.at), a.answered || r.status == 200
			a.notRun = r.status == 453 || r.status == 454
		}
	case attemptCancelled:
		if a := h.lastAttempt(r.server); a != nil {
			a.tornDown = min(a.tornDown, max(r.at-r.transitDelay, a.read.at))
			a.endedAt = min(a.endedAt, a.tornDown)
		}
		h.recordEnd(r.server, r.at-r.transitDelay)
	case sessionEnded:
		h.recordEnd(r.server, r.at)
		h.releaseCause = r.status
	case releaseWritten:
		h.releaseWrites = append(h.releaseWrites, r)
	case sessionNamed:
		h.named = r
	case sessionEndedByClient:
		h.endedByClient = r
	case releaseRead:
		h.releasesReadAt = append(h.releasesReadAt, r.at)
	}
}

// recordEnd records a session's end at a server; only the first one counts.
func (h *history) recordEnd(server string, at time.Duration) {
	if _, known := h.endedAt[server]; !known {
		h.endedAt[server] = at
	}
}

// lastAttempt returns the request's last attempt at a server, or nil.
func (h *history) lastAttempt(server string) *attempt {
	for _, a := range slices.Backward(h.attempts) {
		if a.read.server == server {
			return a
		}
	}
	return nil
}

// killedWithin reports whether a node was killed between two times.
func (c *checker) killedWithin(node int, from, to time.Duration) bool {
	return slices.ContainsFunc(c.kills[node], func(at time.Duration) bool { return at >= from && at <= to })
}

// suspendedFor returns how long a node was suspended in or near a period. A suspended node can't act, and its input stays
// unread.
func (c *checker) suspendedFor(node int, from, to time.Duration) (sum time.Duration) {
	for _, r := range c.suspensions[node] {
		if r.at <= to && r.at+r.wait+loadSlack >= from {
			sum += r.wait + loadSlack
		}
	}
	return sum
}

// nextExit returns when the process that ran at a given time exited; never if it did not.
func (c *checker) nextExit(node int, after time.Duration) time.Duration {
	for _, at := range c.exits[node] {
		if at > after {
			return at
		}
	}
	return never
}

// checkFinalAnswer checks that a request has one final answer in time, or a reason for having none.
func (c *checker) checkFinalAnswer(id string, h *history) {
	limit := h.sent.at + h.sent.wait + answerGrace
	limit += c.suspendedFor(h.sent.node, h.sent.at, limit)
	if len(h.answers) > 1 {
		c.violate(Answered, id, h.answers[1].at, "got %d final answers", len(h.answers))
	}
	if len(h.answers) > 0 {
		c.checkAnswerContent(id, h, h.answers[0])
		if at := h.answers[0].at; at > limit+loadSlack {
			c.violate(Answered, id, at, "answered %.3f s after its deadline", (at - h.sent.at - h.sent.wait).Seconds())
		}
		return
	}
	switch {
	case h.cancelledAt > 0:
		c.report.Cancelled++
	case c.killedWithin(h.sent.node, h.sent.at-loadSlack, limit):
		c.report.AtKilledNodes++
	case h.abortedAt > 0 && !h.readBeforeAbort && h.abortedAt-h.sent.at <= socketSlack+loadSlack+c.suspendedFor(h.sent.node, h.sent.at, h.abortedAt) && len(h.attempts) == 0:
		c.report.CrossedClose++
	case h.abortedAt > 0:
		c.violate(Answered, id, h.abortedAt, "read by the node, whose connection closed without an answer")
	default:
		c.violate(Answered, id, limit, "got no final answer")
	}
}

// checkAnswerContent checks an answer's status and body against the attempts.
func (c *checker) checkAnswerContent(id string, h *history, a record) {
	switch a.status {
	case 200:
		c.report.Served++
		for _, attempt := range h.attempts {
			if attempt.answered && a.detail == description(id, attempt.read.server) {
				return
			}
		}
		c.violate(Answered, id, a.at, "answered with success, but no server gave that answer: %q", a.detail)
	case 453, 454, 503:
		c.report.Refused++
		if !classes[h.sent.class].sideEffect {
			return
		}
		for _, attempt := range h.attempts {
			if !attempt.notRun {
				c.violate(NotRepeated, id, a.at, "refused although its attempt at %s may have run", attempt.read.server)
				return
			}
		}
	default:
		c.report.Failed++
	}
}

// checkAttempts checks each attempt of a request.
func (c *checker) checkAttempts(id string, h *history) {
	for k, a := range h.attempts {
		if a.read.rung < classes[h.sent.class].floor {
			c.violate(Terms, id, a.read.at, "rung %d is below the floor", a.read.rung)
		}
		delay := c.suspendedFor(h.sent.node, h.sent.at, a.read.at) + a.read.transitDelay // the node is not responsible for delays in transit
		if left := h.sent.at + h.sent.wait - a.read.at; a.read.wait > left+deadlineSlack+loadSlack+delay {
			c.violate(Deadline, id, a.read.at, "%s got a deadline of %v, its client had %v left", a.read.server, a.read.wait, left)
		}
		if h.cancelledAt > 0 && a.read.at > h.cancelledAt+cancelGrace+socketSlack+loadSlack+delay {
			c.violate(NotAfterEnd, id, a.read.at, "attempt %.3f s after its client cancelled", (a.read.at - h.cancelledAt).Seconds())
		}
		if len(h.answers) > 0 && a.read.at > h.answers[0].at+cancelGrace+socketSlack+loadSlack+delay {
			c.violate(NotAfterEnd, id, a.read.at, "attempt after its final answer")
		}
		if k == 0 {
			continue
		}
		previous := h.attempts[k-1]
		if a.endedAt <= a.read.at { // it had ended by the time it was read
			continue
		}
		if a.read.transitDelay+previous.read.transitDelay > 0 { // it is unknown which was sent first
			continue
		}
		inFlight := previous.endedAt > a.read.at
		swapped := inFlight && a.read.at-previous.read.at < readOrderSlack && a.tornDown < previous.read.at+readOrderSlack
		if swapped { // a was sent first, and had been given up
			previous, a = a, previous
		} else if a.read.at < previous.endedAt-socketSlack-loadSlack {
			c.violate(OneAttempt, id, a.read.at, "attempts at %s and %s in flight together", previous.read.server, a.read.server)
		}
		if classes[h.sent.class].sideEffect && !previous.notRun {
			c.violate(NotRepeated, id, a.read.at, "retried although its attempt at %s may have run", previous.read.server)
		}
	}
}
