package node

import (
	"strconv"
	"strings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"rainhaven/choice"
)

// stepKind is the kind of a step in a request's history, as logged.
type stepKind string

const (
	stepRead           stepKind = "read"
	stepAttempt        stepKind = "attempt"
	stepSent           stepKind = "sent"
	stepResent         stepKind = "to be sent again"
	stepOutcome        stepKind = "outcome"
	stepServerAnswered stepKind = "server answered"
	stepServerReleased stepKind = "server released"
	stepAnswered       stepKind = "answered"
	stepCancelled      stepKind = "cancelled"
	stepClientClosed   stepKind = "client's connection ended"
)

// step is one event in the life of a request.
type step struct {
	at     float64
	kind   stepKind
	detail string
}

const (
	// maxSteps bounds the steps kept per request; later ones are dropped.
	maxSteps = 16
	// quickReleaseSeconds is how soon after its answer the end of a session counts as unusual.
	quickReleaseSeconds = 0.25
)

// history records the steps of one request in order. It is logged, in one line, only for requests that ended unusually, so that
// even a short log of a busy process covers minutes of the requests that an investigation may need.
type history struct {
	steps   []step // at most maxSteps
	unusual bool   // ended otherwise than by a usual answer: is logged
}

// add appends a step.
func (h *history) add(at float64, kind stepKind, detail string) {
	if len(h.steps) < maxSteps {
		h.steps = append(h.steps, step{at, kind, detail})
	}
}

// String lists the steps, each with its time in seconds since the first.
func (h *history) String() string {
	var b strings.Builder
	for i, s := range h.steps {
		if i > 0 {
			b.WriteString("; ")
		}
		b.WriteString(formatSeconds(s.at - h.steps[0].at))
		b.WriteByte(' ')
		b.WriteString(string(s.kind))
		if s.detail != "" {
			b.WriteByte(' ')
			b.WriteString(s.detail)
		}
	}
	return b.String()
}

// logHistory logs the history of a request if it is unusual, and clears it.
func (n *Node) logHistory(s *session, reason string) {
	if !s.history.unusual || len(s.history.steps) == 0 || !n.log.Core().Enabled(zapcore.InfoLevel) {
		return
	}
	n.log.Info("request trace", str("sess", s.id), str("class", s.class), str("why", reason), zap.Float64("began", s.history.steps[0].at), str("steps", s.history.String()))
	s.history = history{}
}

// outcomeNames are the outcomes of SETUPs, as logged.
var outcomeNames = map[choice.Outcome]string{choice.Full: "full", choice.ServerError: "server error", choice.TimedOut: "timed out", choice.Reset: "reset",
	choice.NoConnection: "no connection", choice.Unsent: "never sent", choice.Cancelled: "cancelled", choice.EndedUnanswered: "departed"}

func outcomeName(outcome choice.Outcome) string {
	if name := outcomeNames[outcome]; name != "" {
		return name
	}
	return strconv.Itoa(int(outcome))
}

// answerDetail describes whether an answer that ends at a byte offset of its client's connection has been sent.
func answerDetail(cl *client, end int64) string {
	switch {
	case end < 0:
		return "200 not taken by the connection"
	case cl.bytesWritten() < end:
		return "200 queued"
	}
	return "200 written"
}

func formatSeconds(seconds float64) string { return strconv.FormatFloat(seconds, 'f', 4, 64) }
