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

// Invariant names a rule that a soak is judged by.
type Invariant string

// The invariants. Each has a sabotage of a node that must break it.
const (
	Answered    Invariant = "answered"      // one final answer a request, within its deadline, and one that a server gave
	NotRepeated Invariant = "not repeated"  // single requests are repeated or refused only where nothing ran
	OneAttempt  Invariant = "one attempt"   // never two attempts of one request out
	Drained     Invariant = "drained"       // nothing new to a draining or removed server past the grace
	SlowStart   Invariant = "slow start"    // a started server gets no more than its budget, from all nodes together
	Terms       Invariant = "terms"         // no rung below the floor, no more sessions of a title than its seats
	RetryBudget Invariant = "retry budget"  // further attempts of a node within the budget
	NotAfterEnd Invariant = "not after end" // no attempt after its client has cancelled or closed
	Deadline    Invariant = "deadline"      // servers are told no longer deadlines than clients have left
	Ready       Invariant = "ready"         // started processes are ready in time
	Released    Invariant = "released"      // a session's end is told to its client within its time
	Limits      Invariant = "limits"        // processes keep to their descriptors and memory
	Guarded     Invariant = "guarded"       // processes log no violation of their own guard, and no crash
	Ended       Invariant = "ended"         // processes end on SIGTERM, by themselves, and with status 0; none crashes
)

// Invariants are all of them.
var Invariants = []Invariant{Answered, NotRepeated, OneAttempt, Drained, SlowStart, Terms, RetryBudget, NotAfterEnd, Deadline, Released, Limits, Guarded, Ready, Ended}

const (
	// socketSlack is what every time limit is longer by on sockets.
	socketSlack = 50 * time.Millisecond
	// loadSlack is what a loaded machine may add between a write and the record of it.
	loadSlack = 60 * time.Millisecond
	// answerGrace is how long after its deadline an answer still counts as one.
	answerGrace = 500 * time.Millisecond
	// cancelGrace is how long after its client has gone an attempt may still begin.
	cancelGrace = 100 * time.Millisecond
	// deadlineSlack is how much longer than its client waits a server may be told.
	deadlineSlack = 150 * time.Millisecond
	// The budget of further attempts is widened by so much.
	budgetFactor, budgetMargin = 1.15, 1.0
	// maxTraces is how many violations are reported with their traces.
	maxTraces = 5
)

// Violation is one broken invariant.
type Violation struct {
	Invariant Invariant
	Request   string // the request at fault, where there is one
	At        time.Duration
	Detail    string
}

// Report is a soak's outcome.
type Report struct {
	Requests, Answers, Served, Refused, Failed, Attempts int
	Cancelled, AtKilledNodes                             int // requests that were cancelled; at nodes that were killed
	CrossedClose, Resent                                 int // requests cut by a close that they crossed; sent once more for that
	Starts, Faults                                       int
	MaxDescriptors                                       int     // most of one process
	MaxMemoryMB                                          float64 // the same
	Violations                                           []Violation
	records                                              []record
}

// OK tells whether nothing was broken.
func (r *Report) OK() bool { return len(r.Violations) == 0 }

// Write writes the report: counts, and the first violations with their requests' traces.
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

// attempt is one attempt, as its server has seen it.
type attempt struct {
	read     record
	endedAt  time.Duration // it was answered or given up then; far off where it was not
	notRun   bool          // its server said that nothing ran
	answered bool          // its server answered it
}

// history is all that was seen of one request.
type history struct {
	request       record
	answers       []record
	attempts      []*attempt
	cancelledAt   time.Duration            // 0 is not
	cutAt         time.Duration            // the last connection that it was sent on was closed by the node; 0 is not
	readBeforeCut bool                     // the node had read it by then
	endedAt       map[string]time.Duration // its sessions' ends, by server

	releaseCause     int             // of its last session's end
	releaseWrittenAt time.Duration   // when its server last wrote that end; 0 is never
	releasesReadAt   []time.Duration // when its client read of it
}

const never = time.Duration(math.MaxInt64)

// checker gathers what is seen, and what is wrong with it.
type checker struct {
	o           Options
	requests    map[string]*history
	order       []string
	kills       map[int][]time.Duration // by node, in their order
	exits       map[int][]time.Duration // the same of all ends of processes
	suspensions map[int][]record        // by node, when it stood still and for how long
	report      *Report
}

func check(records []record, o Options) *Report {
	j := &checker{o: o, requests: map[string]*history{}, kills: map[int][]time.Duration{}, exits: map[int][]time.Duration{}, suspensions: map[int][]record{}, report: &Report{records: records}}
	for _, r := range records {
		j.addRecord(r)
	}
	for _, id := range j.order {
		j.checkFinalAnswer(id, j.requests[id])
		j.checkAttempts(id, j.requests[id])
	}
	j.checkDrains()
	j.checkSlowStart()
	j.checkSeats()
	j.checkRetryBudget()
	j.checkProcesses()
	j.checkReleases()
	j.checkLimits()
	slices.SortStableFunc(j.report.Violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return j.report
}

func (c *checker) violate(i Invariant, id string, at time.Duration, format string, args ...any) {
	c.report.Violations = append(c.report.Violations, Violation{i, id, at, fmt.Sprintf(format, args...)})
}

// addRecord adds a record to its request's history.
func (c *checker) addRecord(r record) {
	switch r.kind {
	case requestSent:
		if h := c.requests[r.request]; h != nil { // sent once more on a new connection
			h.cutAt = 0
			c.report.Resent++
			return
		}
		c.requests[r.request] = &history{request: r, endedAt: map[string]time.Duration{}}
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
	case requestCut:
		h.cutAt, h.readBeforeCut = r.at, r.detail == detailRead
	case answerRead:
		h.answers = append(h.answers, r)
		c.report.Answers++
	case attemptRead:
		c.report.Attempts++
		a := &attempt{read: r, endedAt: never}
		if at, known := h.endedAt[r.server]; known && r.at-at < socketSlack { // its end came over another connection, and was read first
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
			a.endedAt = min(a.endedAt, max(r.at-r.transitDelay, a.read.at))
		}
		h.recordEnd(r.server, r.at-r.transitDelay)
	case sessionEnded:
		h.recordEnd(r.server, r.at)
		h.releaseCause = r.status
	case releaseWritten:
		h.releaseWrittenAt = max(h.releaseWrittenAt, r.at)
	case releaseRead:
		h.releasesReadAt = append(h.releasesReadAt, r.at)
	}
}

// recordEnd takes a session's end at a server: the first one that is seen.
func (h *history) recordEnd(server string, at time.Duration) {
	if _, known := h.endedAt[server]; !known {
		h.endedAt[server] = at
	}
}

// lastAttempt is the request's lastAttempt attempt at a server.
func (h *history) lastAttempt(server string) *attempt {
	for _, a := range slices.Backward(h.attempts) {
		if a.read.server == server {
			return a
		}
	}
	return nil
}

// killedWithin tells whether a node was killed within a span.
func (c *checker) killedWithin(node int, from, to time.Duration) bool {
	return slices.ContainsFunc(c.kills[node], func(at time.Duration) bool { return at >= from && at <= to })
}

// suspendedFor is how long a node suspendedFor still near a span: it can't act meanwhile, and what comes waits unread.
func (c *checker) suspendedFor(node int, from, to time.Duration) (sum time.Duration) {
	for _, r := range c.suspensions[node] {
		if r.at <= to && r.at+r.wait+loadSlack >= from {
			sum += r.wait + loadSlack
		}
	}
	return sum
}

// nextExit is when the process that ran at an instant ended.
func (c *checker) nextExit(node int, after time.Duration) time.Duration {
	for _, at := range c.exits[node] {
		if at > after {
			return at
		}
	}
	return never
}

// checkFinalAnswer judges a request's final answer.
func (c *checker) checkFinalAnswer(id string, h *history) {
	limit := h.request.at + h.request.wait + answerGrace
	limit += c.suspendedFor(h.request.node, h.request.at, limit)
	if len(h.answers) > 1 {
		c.violate(Answered, id, h.answers[1].at, "has %d final answers", len(h.answers))
	}
	if len(h.answers) > 0 {
		c.checkAnswerContent(id, h, h.answers[0])
		if at := h.answers[0].at; at > limit+loadSlack {
			c.violate(Answered, id, at, "was answered %.3f s after its deadline", (at - h.request.at - h.request.wait).Seconds())
		}
		return
	}
	switch {
	case h.cancelledAt > 0:
		c.report.Cancelled++
	case c.killedWithin(h.request.node, h.request.at-loadSlack, limit):
		c.report.AtKilledNodes++
	case h.cutAt > 0 && !h.readBeforeCut && h.cutAt-h.request.at <= socketSlack+loadSlack+c.suspendedFor(h.request.node, h.request.at, h.cutAt) && len(h.attempts) == 0:
		c.report.CrossedClose++ // it crossed a close
	case h.cutAt > 0:
		c.violate(Answered, id, h.cutAt, "was read and its connection closed without an answer")
	default:
		c.violate(Answered, id, limit, "has no final answer")
	}
}

// checkAnswerContent judges what an answer says.
func (c *checker) checkAnswerContent(id string, h *history, a record) {
	switch a.status {
	case 200:
		c.report.Served++
		for _, attempt := range h.attempts {
			if attempt.answered && a.detail == description(id, attempt.read.server) {
				return
			}
		}
		c.violate(Answered, id, a.at, "is said to be served, and no server gave that answer: %q", a.detail)
	case 453, 454, 503:
		c.report.Refused++
		if !classes[h.request.class].sideEffect {
			return
		}
		for _, attempt := range h.attempts {
			if !attempt.notRun {
				c.violate(NotRepeated, id, a.at, "was refused although its attempt at %s may have run", attempt.read.server)
				return
			}
		}
	default:
		c.report.Failed++
	}
}

// checkAttempts judges a request's checkAttempts, one by one.
func (c *checker) checkAttempts(id string, h *history) {
	for k, a := range h.attempts {
		if a.read.rung < classes[h.request.class].floor {
			c.violate(Terms, id, a.read.at, "rung %d is below the floor", a.read.rung)
		}
		delay := c.suspendedFor(h.request.node, h.request.at, a.read.at) + a.read.transitDelay // what its way took is not the node's
		if left := h.request.at + h.request.wait - a.read.at; a.read.wait > left+deadlineSlack+loadSlack+delay {
			c.violate(Deadline, id, a.read.at, "%s is told %v, its client has %v left", a.read.server, a.read.wait, left)
		}
		if h.cancelledAt > 0 && a.read.at > h.cancelledAt+cancelGrace+socketSlack+loadSlack+delay {
			c.violate(NotAfterEnd, id, a.read.at, "an attempt %.3f s after its client had gone", (a.read.at - h.cancelledAt).Seconds())
		}
		if len(h.answers) > 0 && a.read.at > h.answers[0].at+cancelGrace+socketSlack+loadSlack+delay {
			c.violate(NotAfterEnd, id, a.read.at, "an attempt after its answer")
		}
		if k == 0 {
			continue
		}
		previous := h.attempts[k-1]
		if a.endedAt <= a.read.at { // it was over as it was read
			continue
		}
		if a.read.transitDelay+previous.read.transitDelay > 0 { // which of them left first is not known
			continue
		}
		if a.read.at < previous.endedAt-socketSlack-loadSlack {
			c.violate(OneAttempt, id, a.read.at, "attempts at %s and %s are out together", previous.read.server, a.read.server)
		}
		if classes[h.request.class].sideEffect && !previous.notRun {
			c.violate(NotRepeated, id, a.read.at, "its attempt at %s may have run", previous.read.server)
		}
	}
}
