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
	// slack is what every time limit is longer by on sockets.
	slack = 50 * time.Millisecond
	// busyMachine is what a loaded machine may add between a write and the record of it.
	busyMachine = 60 * time.Millisecond
	// answerGrace is how long after its deadline an answer still counts as one.
	answerGrace = 500 * time.Millisecond
	// cancelGrace is how long after its client has gone an attempt may still begin.
	cancelGrace = 100 * time.Millisecond
	// deadlineSlack is how much longer than its client waits a server may be told.
	deadlineSlack = 150 * time.Millisecond
	// The budget of further attempts is widened by so much.
	budgetWider, budgetMore = 1.15, 1.0
	// mostTraces is how many violations are reported with their traces.
	mostTraces = 5
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
	list                                                 []record
}

// OK tells whether nothing was broken.
func (r *Report) OK() bool { return len(r.Violations) == 0 }

// Write writes the report: counts, and the first violations with their requests' traces.
func (r *Report) Write(w io.Writer) {
	for i, v := range r.Violations {
		if i == mostTraces {
			fmt.Fprintf(w, "and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintf(w, "violated: %s, at %.3f s: %s %s\n", v.Invariant, v.At.Seconds(), v.Request, v.Detail)
		if v.Request != "" {
			trace(w, r.list, v.Request)
		}
	}
	broken := map[Invariant]int{}
	for _, v := range r.Violations {
		broken[v.Invariant]++
	}
	fmt.Fprintf(w, "requests %d answers %d (served %d refused %d failed %d) attempts %d cancelled %d crossed a close %d sent once more %d at killed nodes %d; starts %d faults %d; at most %d descriptors and %.0f MB a process\n",
		r.Requests, r.Answers, r.Served, r.Refused, r.Failed, r.Attempts, r.Cancelled, r.CrossedClose, r.Resent, r.AtKilledNodes, r.Starts, r.Faults, r.MaxDescriptors, r.MaxMemoryMB)
	var line []string
	for _, i := range Invariants {
		line = append(line, fmt.Sprintf("%s %d", i, broken[i]))
	}
	fmt.Fprintln(w, "violations:", strings.Join(line, ", "))
}

// attempt is one attempt, as its server has seen it.
type attempt struct {
	read   record
	until  time.Duration // it was answered or given up then; far off where it was not
	unrun  bool          // its server said that nothing ran
	answer bool          // its server answered it
}

// history is all that was seen of one request.
type history struct {
	sent      record
	answers   []record
	attempts  []*attempt
	cancelled time.Duration            // 0 is not
	cut       time.Duration            // the last connection that it was sent on was closed by the node; 0 is not
	cutRead   bool                     // the node had read it by then
	ended     map[string]time.Duration // its sessions' ends, by server

	cause          int             // of its last session's end
	releaseWritten time.Duration   // when its server last wrote that end; 0 is never
	released       []time.Duration // when its client read of it
}

const never = time.Duration(math.MaxInt64)

// judgement gathers what is seen, and what is wrong with it.
type judgement struct {
	o        Options
	requests map[string]*history
	order    []string
	killed   map[int][]time.Duration // by node, in their order
	exits    map[int][]time.Duration // the same of all ends of processes
	stops    map[int][]record        // by node, when it stood still and for how long
	report   *Report
}

func judge(list []record, o Options) *Report {
	j := &judgement{o: o, requests: map[string]*history{}, killed: map[int][]time.Duration{}, exits: map[int][]time.Duration{}, stops: map[int][]record{}, report: &Report{list: list}}
	for _, r := range list {
		j.take(r)
	}
	for _, id := range j.order {
		j.answered(id, j.requests[id])
		j.attempts(id, j.requests[id])
	}
	j.drained()
	j.slowStart()
	j.seats()
	j.budget()
	j.processes()
	j.released()
	j.limits()
	slices.SortStableFunc(j.report.Violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return j.report
}

func (j *judgement) broken(i Invariant, id string, at time.Duration, what string, args ...any) {
	j.report.Violations = append(j.report.Violations, Violation{i, id, at, fmt.Sprintf(what, args...)})
}

// take adds a record to its request's history.
func (j *judgement) take(r record) {
	switch r.kind {
	case requestSent:
		if h := j.requests[r.request]; h != nil { // sent once more on a new connection
			h.cut = 0
			j.report.Resent++
			return
		}
		j.requests[r.request] = &history{sent: r, ended: map[string]time.Duration{}}
		j.order = append(j.order, r.request)
		j.report.Requests++
		return
	case nodeKilled:
		j.killed[r.node] = append(j.killed[r.node], r.at)
	case nodeStopped:
		j.stops[r.node] = append(j.stops[r.node], r)
	case nodeExited:
		j.exits[r.node] = append(j.exits[r.node], r.at)
	case faultBegan:
		j.report.Faults++
	case nodeStarted:
		j.report.Starts++
	}
	h := j.requests[r.request]
	if h == nil {
		return
	}
	switch r.kind {
	case requestCanceled:
		h.cancelled = r.at
	case requestCut:
		h.cut, h.cutRead = r.at, r.detail == detailRead
	case answerRead:
		h.answers = append(h.answers, r)
		j.report.Answers++
	case attemptRead:
		j.report.Attempts++
		a := &attempt{read: r, until: never}
		if at, known := h.ended[r.server]; known && r.at-at < slack { // its end came over another connection, and was read first
			a.until = r.at
		}
		h.attempts = append(h.attempts, a)
	case attemptAnswered:
		if a := h.last(r.server); a != nil {
			a.until, a.answer = min(a.until, r.at), a.answer || r.status == 200
			a.unrun = r.status == 453 || r.status == 454
		}
	case attemptGivenUp:
		if a := h.last(r.server); a != nil {
			a.until = min(a.until, max(r.at-r.held, a.read.at))
		}
		h.over(r.server, r.at-r.held)
	case sessionEnded:
		h.over(r.server, r.at)
		h.cause = r.status
	case releaseWritten:
		h.releaseWritten = max(h.releaseWritten, r.at)
	case releaseRead:
		h.released = append(h.released, r.at)
	}
}

// over takes a session's end at a server: the first one that is seen.
func (h *history) over(server string, at time.Duration) {
	if _, known := h.ended[server]; !known {
		h.ended[server] = at
	}
}

// last is the request's last attempt at a server.
func (h *history) last(server string) *attempt {
	for _, a := range slices.Backward(h.attempts) {
		if a.read.server == server {
			return a
		}
	}
	return nil
}

// killedWithin tells whether a node was killed within a span.
func (j *judgement) killedWithin(node int, from, to time.Duration) bool {
	return slices.ContainsFunc(j.killed[node], func(at time.Duration) bool { return at >= from && at <= to })
}

// stood is how long a node stood still near a span: it can't act meanwhile, and what comes waits unread.
func (j *judgement) stood(node int, from, to time.Duration) (sum time.Duration) {
	for _, r := range j.stops[node] {
		if r.at <= to && r.at+r.wait+busyMachine >= from {
			sum += r.wait + busyMachine
		}
	}
	return sum
}

// nextExit is when the process that ran at an instant ended.
func (j *judgement) nextExit(node int, after time.Duration) time.Duration {
	for _, at := range j.exits[node] {
		if at > after {
			return at
		}
	}
	return never
}

// answered judges a request's final answer.
func (j *judgement) answered(id string, h *history) {
	limit := h.sent.at + h.sent.wait + answerGrace
	limit += j.stood(h.sent.node, h.sent.at, limit)
	if len(h.answers) > 1 {
		j.broken(Answered, id, h.answers[1].at, "has %d final answers", len(h.answers))
	}
	if len(h.answers) > 0 {
		j.wording(id, h, h.answers[0])
		if at := h.answers[0].at; at > limit+busyMachine {
			j.broken(Answered, id, at, "was answered %.3f s after its deadline", (at - h.sent.at - h.sent.wait).Seconds())
		}
		return
	}
	switch {
	case h.cancelled > 0:
		j.report.Cancelled++
	case j.killedWithin(h.sent.node, h.sent.at-busyMachine, limit):
		j.report.AtKilledNodes++
	case h.cut > 0 && !h.cutRead && h.cut-h.sent.at <= slack+busyMachine+j.stood(h.sent.node, h.sent.at, h.cut) && len(h.attempts) == 0:
		j.report.CrossedClose++ // it crossed a close
	case h.cut > 0:
		j.broken(Answered, id, h.cut, "was read and its connection closed without an answer")
	default:
		j.broken(Answered, id, limit, "has no final answer")
	}
}

// wording judges what an answer says.
func (j *judgement) wording(id string, h *history, a record) {
	switch a.status {
	case 200:
		j.report.Served++
		for _, x := range h.attempts {
			if x.answer && a.detail == description(id, x.read.server) {
				return
			}
		}
		j.broken(Answered, id, a.at, "is said to be served, and no server gave that answer: %q", a.detail)
	case 453, 454, 503:
		j.report.Refused++
		if !classes[h.sent.class].single {
			return
		}
		for _, x := range h.attempts {
			if !x.unrun {
				j.broken(NotRepeated, id, a.at, "was refused although its attempt at %s may have run", x.read.server)
				return
			}
		}
	default:
		j.report.Failed++
	}
}

// attempts judges a request's attempts, one by one.
func (j *judgement) attempts(id string, h *history) {
	for k, a := range h.attempts {
		if a.read.rung < classes[h.sent.class].floor {
			j.broken(Terms, id, a.read.at, "rung %d is below the floor", a.read.rung)
		}
		stood := j.stood(h.sent.node, h.sent.at, a.read.at) + a.read.held // what its way took is not the node's
		if left := h.sent.at + h.sent.wait - a.read.at; a.read.wait > left+deadlineSlack+busyMachine+stood {
			j.broken(Deadline, id, a.read.at, "%s is told %v, its client has %v left", a.read.server, a.read.wait, left)
		}
		if h.cancelled > 0 && a.read.at > h.cancelled+cancelGrace+slack+busyMachine+stood {
			j.broken(NotAfterEnd, id, a.read.at, "an attempt %.3f s after its client had gone", (a.read.at - h.cancelled).Seconds())
		}
		if len(h.answers) > 0 && a.read.at > h.answers[0].at+cancelGrace+slack+busyMachine+stood {
			j.broken(NotAfterEnd, id, a.read.at, "an attempt after its answer")
		}
		if k == 0 {
			continue
		}
		before := h.attempts[k-1]
		if a.until <= a.read.at { // it was over as it was read
			continue
		}
		if a.read.held+before.read.held > 0 { // which of them left first is not known
			continue
		}
		if a.read.at < before.until-slack-busyMachine {
			j.broken(OneAttempt, id, a.read.at, "attempts at %s and %s are out together", before.read.server, a.read.server)
		}
		if classes[h.sent.class].single && !before.unrun {
			j.broken(NotRepeated, id, a.read.at, "its attempt at %s may have run", before.read.server)
		}
	}
}
