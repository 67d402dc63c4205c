package node

import (
	"strconv"
	"strings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"rainhaven/choice"
)

// stepKind is the kind of a step in a request's history.
type stepKind string

// The steps, as logs name them.
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

// step is one thing that happened to a request.
type step struct {
	at     float64
	kind   stepKind
	detail string
}

const (
	// maxSteps is how many steps of one request are kept.
	maxSteps = 16
	// quickReleaseSeconds is how soon after its answer a session's end is worth a line in the log.
	quickReleaseSeconds = 0.25
)

// history is what happened to one request, in order. It is logged in one line where the request ended otherwise than
// by a usual answer, so that the log of a busy process holds the requests of minutes that somebody may ask about.
type history struct {
	steps   []step // at most mostSteps
	unusual bool   // worth a line in the log
}

// add adds a step.
func (h *history) add(at float64, kind stepKind, detail string) {
	if len(h.steps) < maxSteps {
		h.steps = append(h.steps, step{at, kind, detail})
	}
}

// String gives the steps with their instants in seconds since the first.
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

// logHistory logs what happened to a request, where that was unusual.
func (n *Node) logHistory(s *session, why string) {
	if !s.history.unusual || len(s.history.steps) == 0 || !n.log.Core().Enabled(zapcore.InfoLevel) {
		return
	}
	n.log.Info("request trace", str("sess", s.id), str("class", s.class), str("why", why), zap.Float64("began", s.history.steps[0].at), str("steps", s.history.String()))
	s.history = history{}
}

// outcomeNames are the outcomes of attempts, as logs name them.
var outcomeNames = map[choice.Outcome]string{choice.Full: "full", choice.ServerError: "server error", choice.TimedOut: "timed out", choice.Reset: "reset",
	choice.NoConnection: "no connection", choice.Unsent: "never sent", choice.Cancelled: "cancelled", choice.EndedUnanswered: "departed"}

func outcomeName(o choice.Outcome) string {
	if name := outcomeNames[o]; name != "" {
		return name
	}
	return strconv.Itoa(int(o))
}

// answerDetail tells whether an answer that ends at a place of its client's connection has left.
func answerDetail(v *client, ends int64) string {
	switch {
	case ends < 0:
		return "200 not taken by the connection"
	case v.bytesWritten() < ends:
		return "200 queued"
	}
	return "200 written"
}

func formatSeconds(seconds float64) string { return strconv.FormatFloat(seconds, 'f', 4, 64) }
