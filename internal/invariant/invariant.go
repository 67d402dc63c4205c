// Package invariant checks at run time that what a front node is about to do keeps the platform's rules for requests.
//
// A Guard follows each request from the moment it was read until it has had its final answer or its client has gone. Every
// attempt, every copy of an attempt's message, every final answer and every close of a client's connection is announced to
// it first; it tells whether that may be done, and counts and reports what may not, by a typed Reason. It does no I/O, reads
// no clock and decides nothing: what it refuses is a fault of its caller.
package invariant

import "fmt"

// Reason is the kind of a violation.
type Reason int

// The reasons.
const (
	// AnswerTwice is a final answer to a request that has had one, was cancelled, or was never read.
	AnswerTwice Reason = iota
	// AnswerMissing is a request that was dropped without a final answer while its client waited.
	AnswerMissing
	// AnswerLate is a final answer so long after the deadline that the client no longer counts it.
	AnswerLate
	// AnswerUnproven is a refusal that promises no effect, for a request that may not be repeated and may have run.
	AnswerUnproven
	// AttemptAfterEnd is an attempt for a request that was answered or cancelled, or was never read.
	AttemptAfterEnd
	// AttemptOverlap is an attempt while another one of the same request is out.
	AttemptOverlap
	// AttemptRepeated is a further attempt of a request that may not be repeated and may have run.
	AttemptRepeated
	// AttemptCopied is a second copy of an attempt's message although a part of the first may have left.
	AttemptCopied
	// AttemptDeadline is an attempt that tells the server a longer wait than its client has left.
	AttemptDeadline
	// AttemptDrained is an attempt at a server that is draining or gone.
	AttemptDrained
	// RetryBudget is a further attempt past the budget of such attempts.
	RetryBudget
	// CloseUnread is the close of a client's connection whose reader may hold a request.
	CloseUnread
	// CloseUnanswered is the close of a client's connection with requests that have no answer.
	CloseUnanswered
	reasons
)

var names = [reasons]string{"answer_twice", "answer_missing", "answer_late", "answer_unproven", "attempt_after_end", "attempt_overlap",
	"attempt_repeated", "attempt_copied", "attempt_deadline", "attempt_drained", "retry_budget", "close_unread", "close_unanswered"}

func (r Reason) String() string { return names[r] }

// Violation is one thing that was about to be done against the rules.
type Violation struct {
	Reason  Reason
	Request string // its id, or what names the connection
	Detail  string
}

func (v Violation) Error() string { return fmt.Sprintf("%v: %s: %s", v.Reason, v.Request, v.Detail) }

// AnswerKind is the kind of a final answer.
type AnswerKind int

// The answers. Refused promises that nothing ran; Failed does not.
const (
	Served AnswerKind = iota
	Refused
	Failed
)

const (
	// deadlineSlack is how many seconds more than its client has left a server may be told.
	deadlineSlack = 0.15
	// answerGrace is how many seconds after its deadline an answer still counts as one.
	answerGrace = 0.5
)

// Budget is the budget of further attempts: in any window of so many seconds, at most Spare plus Share of the requests read
// in it. A window of 0 is no budget.
type Budget struct{ BaseAllowance, RequestShare, WindowSeconds float64 }

// Guard is one node's. It belongs to one goroutine. Its tables hold the open requests, and the attempts of one window.
type Guard struct {
	budget  Budget
	report  func(Violation)
	open    map[string]*request // emptied by answers and cancellations
	read    []float64           // when requests were read; emptied past the window
	further []float64           // when further attempts began; emptied past the window
	counts  [reasons]int
}

type request struct {
	single   bool // may not be repeated
	deadline float64
	out      bool // an attempt is out
	left     bool // a part of its message may have left
	mayRan   bool // an earlier attempt may have run
	attempts int
}

// New makes a guard that hands each violation to report.
func New(budget Budget, report func(Violation)) *Guard {
	return &Guard{budget: budget, report: report, open: map[string]*request{}}
}

func (g *Guard) violated(r Reason, id, format string, args ...any) bool {
	g.counts[r]++
	g.report(Violation{r, id, fmt.Sprintf(format, args...)})
	return false
}

// Counts gives how often each reason was violated, by name; those never violated are left out.
func (g *Guard) Counts() map[string]int {
	seen := map[string]int{}
	for r, n := range g.counts {
		if n > 0 {
			seen[names[r]] = n
		}
	}
	return seen
}

// OpenRequests is how many requests are without a final answer.
func (g *Guard) OpenRequests() int { return len(g.open) }

// RequestRead takes a request that was read whole; single ones may not be repeated.
func (g *Guard) RequestRead(now float64, id string, single bool, deadline float64) {
	g.open[id] = &request{single: single, deadline: deadline}
	if g.budget.WindowSeconds > 0 {
		g.read = append(after(g.read, now-g.budget.WindowSeconds), now)
	}
}

// StartAttempt tells whether an attempt may begin.
func (g *Guard) StartAttempt(now float64, id string) bool {
	q := g.open[id]
	switch {
	case q == nil:
		return g.violated(AttemptAfterEnd, id, "the request is not open")
	case q.out:
		return g.violated(AttemptOverlap, id, "attempt %d is out", q.attempts)
	case q.single && q.mayRan:
		return g.violated(AttemptRepeated, id, "one of %d attempts may have run", q.attempts)
	}
	if q.attempts > 0 && g.budget.WindowSeconds > 0 {
		g.read, g.further = after(g.read, now-g.budget.WindowSeconds), after(g.further, now-g.budget.WindowSeconds)
		if most := g.budget.BaseAllowance + g.budget.RequestShare*float64(len(g.read)); float64(len(g.further)+1) > most {
			return g.violated(RetryBudget, id, "%d further attempts in %g s, %g allowed", len(g.further)+1, g.budget.WindowSeconds, most)
		}
		g.further = append(g.further, now)
	}
	q.out, q.left = true, false
	q.attempts++
	return true
}

// Send tells whether an attempt's message, or a further copy of it, may be written now: wait is what it tells the server,
// ready whether the server takes new requests.
func (g *Guard) Send(now float64, id string, wait float64, ready bool) bool {
	q := g.open[id]
	switch {
	case q == nil || !q.out:
		return g.violated(AttemptAfterEnd, id, "no attempt is out")
	case q.left:
		return g.violated(AttemptCopied, id, "a part of attempt %d may have left", q.attempts)
	case !ready:
		return g.violated(AttemptDrained, id, "the server takes nothing new")
	case wait > q.deadline-now+deadlineSlack:
		return g.violated(AttemptDeadline, id, "%.3f s told, %.3f s left", wait, q.deadline-now)
	}
	q.left = true
	return true
}

// Unsent takes it that no byte of the attempt's message has left: it may be written once more.
func (g *Guard) Unsent(id string) {
	if q := g.open[id]; q != nil {
		q.left = false
	}
}

// AttemptEnded takes the end of an attempt; unrun tells that it provably had no effect.
func (g *Guard) AttemptEnded(id string, unrun bool) {
	if q := g.open[id]; q != nil {
		q.out = false
		q.mayRan = q.mayRan || !unrun
	}
}

// Answer tells whether a request's final answer may be written.
func (g *Guard) Answer(now float64, id string, a AnswerKind) bool {
	q := g.open[id]
	if q == nil {
		return g.violated(AnswerTwice, id, "the request is not open")
	}
	if a == Refused && q.single && (q.mayRan || q.out && q.left) {
		return g.violated(AnswerUnproven, id, "refused after %d attempts, one of which may have run", q.attempts)
	}
	if now > q.deadline+answerGrace {
		g.violated(AnswerLate, id, "%.3f s past its deadline", now-q.deadline)
	}
	delete(g.open, id)
	return true
}

// Cancelled takes it that the request's client has cancelled it or gone: nothing is owed.
func (g *Guard) Cancelled(id string) { delete(g.open, id) }

// Dropped takes it that a request is no longer followed. It must have had its answer, or have been cancelled.
func (g *Guard) Dropped(id string) {
	if q := g.open[id]; q != nil {
		g.violated(AnswerMissing, id, "dropped after %d attempts", q.attempts)
		delete(g.open, id)
	}
}

// Close tells whether a client's connection may be closed with so many requests open on it; stopped tells that its reader
// has handed over all that it read, and reads no more.
func (g *Guard) Close(conn string, open int, stopped bool) bool {
	switch {
	case !stopped:
		return g.violated(CloseUnread, conn, "its reader still reads")
	case open > 0:
		return g.violated(CloseUnanswered, conn, "%d requests have no answer", open)
	}
	return true
}

// ProcessEnded takes the end of the process: whatever is still open has been dropped.
func (g *Guard) ProcessEnded() {
	for id := range g.open {
		g.Dropped(id)
	}
}

// after drops the instants up to a limit; they are in order.
func after(list []float64, limit float64) []float64 {
	k := 0
	for k < len(list) && list[k] <= limit {
		k++
	}
	return append(list[:0], list[k:]...)
}
