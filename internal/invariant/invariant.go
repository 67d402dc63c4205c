// Package invariant checks at run time that a front node follows the platform's rules for requests.
//
// A Guard tracks each request from the time it was read until its final answer or until its client has disconnected. The node
// asks it before every attempt, every copy of an attempt's message, every final answer and every close of a client's
// connection. The Guard reports whether the step is allowed; it counts violations and reports them with a typed Reason. It
// does no I/O, reads no clock and makes no decisions: a violation is a bug in its caller.
package invariant

import "fmt"

// Reason is the rule that a violation breaks.
type Reason int

// The reasons.
const (
	// AnswerTwice: a final answer to a request that was already answered or cancelled, or was never read.
	AnswerTwice Reason = iota
	// AnswerMissing: a request was dropped without a final answer while its client was waiting.
	AnswerMissing
	// AnswerLate: a final answer so long after the deadline that the client no longer counts it.
	AnswerLate
	// AnswerUnproven: a refusal, which promises that the request had no effect, although the request must not be repeated and
	// an attempt may have run.
	AnswerUnproven
	// AttemptAfterEnd: an attempt for a request that was answered or cancelled, or was never read.
	AttemptAfterEnd
	// AttemptOverlap: an attempt while another one for the same request is in flight.
	AttemptOverlap
	// AttemptRepeated: a retry of a request that must not be repeated, after an attempt that may have run.
	AttemptRepeated
	// AttemptCopied: a second copy of an attempt's message although a part of the first may have been sent.
	AttemptCopied
	// AttemptDeadline: an attempt that gives the server more time than the client still waits.
	AttemptDeadline
	// AttemptDrained: an attempt at a server that is draining or gone.
	AttemptDrained
	// RetryBudget: a retry that exceeds the retry budget.
	RetryBudget
	// CloseUnread: the close of a client's connection whose reader may still hold a request.
	CloseUnread
	// CloseUnanswered: the close of a client's connection that has unanswered requests.
	CloseUnanswered
	reasonCount
)

var reasonNames = [reasonCount]string{"answer_twice", "answer_missing", "answer_late", "answer_unproven", "attempt_after_end", "attempt_overlap",
	"attempt_repeated", "attempt_copied", "attempt_deadline", "attempt_drained", "retry_budget", "close_unread", "close_unanswered"}

func (r Reason) String() string { return reasonNames[r] }

// Violation is a step that breaks a rule.
type Violation struct {
	Reason  Reason
	Request string // its ID, or the name of the connection
	Detail  string
}

func (v Violation) Error() string { return fmt.Sprintf("%v: %s: %s", v.Reason, v.Request, v.Detail) }

// AnswerKind is the kind of a final answer.
type AnswerKind int

// The kinds of answers. Refused promises that no attempt had an effect; Failed does not.
const (
	Served AnswerKind = iota
	Refused
	Failed
)

const (
	// An attempt may give the server this much more time than its client still waits.
	deadlineSlackSeconds = 0.15
	// An answer still counts this long after its deadline.
	answerGraceSeconds = 0.5
)

// Budget is the retry budget: within any window, the node may start BaseRetries retries, plus RetriesPerRequest times the
// number of requests read in that window. A window of 0 means no limit.
type Budget struct{ BaseRetries, RetriesPerRequest, WindowSeconds float64 }

// Guard checks one node. It must be used by one goroutine only. Its tables hold the open requests, and the times of requests
// and retries within one window of the budget.
type Guard struct {
	budget       Budget
	report       func(Violation)
	requests     map[string]*request // open; answers and cancellations remove them
	requestTimes []float64           // when requests were read, within the window
	retryTimes   []float64           // when retries started, within the window
	counts       [reasonCount]int
}

type request struct {
	noRepeat   bool // must not be repeated
	deadline   float64
	inFlight   bool // an attempt is in flight
	sent       bool // a part of the attempt's message may have been sent
	mayHaveRun bool // an earlier attempt may have run
	attempts   int
}

// New returns a guard that passes each violation to report.
func New(budget Budget, report func(Violation)) *Guard {
	return &Guard{budget: budget, report: report, requests: map[string]*request{}}
}

// violated counts and reports a violation. It returns false, for its caller to return.
func (g *Guard) violated(r Reason, id, format string, args ...any) bool {
	g.counts[r]++
	g.report(Violation{r, id, fmt.Sprintf(format, args...)})
	return false
}

// Counts returns the number of violations by the name of their reason. Reasons without violations are left out.
func (g *Guard) Counts() map[string]int {
	counts := map[string]int{}
	for r, n := range g.counts {
		if n > 0 {
			counts[reasonNames[r]] = n
		}
	}
	return counts
}

// OpenRequests returns the number of requests without a final answer.
func (g *Guard) OpenRequests() int { return len(g.requests) }

// RequestRead starts tracking a request that was read completely. If noRepeat is set, it must not be repeated.
func (g *Guard) RequestRead(now float64, id string, noRepeat bool, deadline float64) {
	g.requests[id] = &request{noRepeat: noRepeat, deadline: deadline}
	if g.budget.WindowSeconds > 0 {
		g.requestTimes = append(timesAfter(g.requestTimes, now-g.budget.WindowSeconds), now)
	}
}

// StartAttempt reports whether an attempt may start, and records its start if so.
func (g *Guard) StartAttempt(now float64, id string) bool {
	q := g.requests[id]
	switch {
	case q == nil:
		return g.violated(AttemptAfterEnd, id, "the request is not open")
	case q.inFlight:
		return g.violated(AttemptOverlap, id, "attempt %d is in flight", q.attempts)
	case q.noRepeat && q.mayHaveRun:
		return g.violated(AttemptRepeated, id, "one of %d attempts may have run", q.attempts)
	}
	if q.attempts > 0 && g.budget.WindowSeconds > 0 {
		g.requestTimes, g.retryTimes = timesAfter(g.requestTimes, now-g.budget.WindowSeconds), timesAfter(g.retryTimes, now-g.budget.WindowSeconds)
		if limit := g.budget.BaseRetries + g.budget.RetriesPerRequest*float64(len(g.requestTimes)); float64(len(g.retryTimes)+1) > limit {
			return g.violated(RetryBudget, id, "%d retries in %g s, %g allowed", len(g.retryTimes)+1, g.budget.WindowSeconds, limit)
		}
		g.retryTimes = append(g.retryTimes, now)
	}
	q.inFlight, q.sent = true, false
	q.attempts++
	return true
}

// Send reports whether the message of an attempt, or another copy of it, may be written now. wait is the time that it gives the
// server, ready whether the server accepts new requests.
func (g *Guard) Send(now float64, id string, wait float64, ready bool) bool {
	q := g.requests[id]
	switch {
	case q == nil || !q.inFlight:
		return g.violated(AttemptAfterEnd, id, "no attempt is in flight")
	case q.sent:
		return g.violated(AttemptCopied, id, "a part of attempt %d may have been sent", q.attempts)
	case !ready:
		return g.violated(AttemptDrained, id, "the server accepts no new requests")
	case wait > q.deadline-now+deadlineSlackSeconds:
		return g.violated(AttemptDeadline, id, "the server is given %.3f s, the client waits for %.3f s", wait, q.deadline-now)
	}
	q.sent = true
	return true
}

// Unsent records that no byte of the attempt's message was sent, so that it may be written again.
func (g *Guard) Unsent(id string) {
	if q := g.requests[id]; q != nil {
		q.sent = false
	}
}

// AttemptEnded records the end of an attempt. noEffect means that it provably had no effect.
func (g *Guard) AttemptEnded(id string, noEffect bool) {
	if q := g.requests[id]; q != nil {
		q.inFlight = false
		q.mayHaveRun = q.mayHaveRun || !noEffect
	}
}

// Answer reports whether the final answer to a request may be written.
func (g *Guard) Answer(now float64, id string, a AnswerKind) bool {
	q := g.requests[id]
	if q == nil {
		return g.violated(AnswerTwice, id, "the request is not open")
	}
	if a == Refused && q.noRepeat && (q.mayHaveRun || q.inFlight && q.sent) {
		return g.violated(AnswerUnproven, id, "refused after %d attempts, one of which may have run", q.attempts)
	}
	if now > q.deadline+answerGraceSeconds {
		g.violated(AnswerLate, id, "%.3f s after its deadline", now-q.deadline)
	}
	delete(g.requests, id)
	return true
}

// Cancelled records that the client has cancelled the request or disconnected, so that no answer is needed.
func (g *Guard) Cancelled(id string) { delete(g.requests, id) }

// Dropped records that the node no longer tracks a request. It must have been answered or cancelled before.
func (g *Guard) Dropped(id string) {
	if q := g.requests[id]; q != nil {
		g.violated(AnswerMissing, id, "dropped after %d attempts", q.attempts)
		delete(g.requests, id)
	}
}

// Close reports whether a client's connection with a number of open requests may be closed. stopped means that its reader has
// handed over everything that it read and reads no more.
func (g *Guard) Close(conn string, open int, stopped bool) bool {
	switch {
	case !stopped:
		return g.violated(CloseUnread, conn, "its reader is still running")
	case open > 0:
		return g.violated(CloseUnanswered, conn, "%d requests have no answer", open)
	}
	return true
}

// ProcessEnded records the end of the process: all requests that are still open count as dropped.
func (g *Guard) ProcessEnded() {
	for id := range g.requests {
		g.Dropped(id)
	}
}

// timesAfter returns the times after limit of a sorted list. They are not moved: what is appended later moves them once in a while.
func timesAfter(times []float64, limit float64) []float64 {
	k := 0
	for k < len(times) && times[k] <= limit {
		k++
	}
	return times[k:]
}
