package wire

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"io"
	"math"
	"strings"

	"rainhaven/choice"
)

// Writer writes replies to batches.
type Writer struct{ out *bufio.Writer }

// NewWriter returns a Writer to out.
func NewWriter(out io.Writer) *Writer { return &Writer{bufio.NewWriterSize(out, 1<<20)} }

// EndReply ends the reply and flushes it.
func (w *Writer) EndReply() error {
	fmt.Fprintln(w.out, "YIELD")
	return w.out.Flush()
}

// ReportPanic reports that the decision code of a front panicked.
func (w *Writer) ReportPanic(front string, cause any) {
	text := strings.Join(strings.Fields(fmt.Sprint(cause)), " ")
	fmt.Fprintf(w.out, "BROKEN i=%s words=%s\n", front, text)
}

// ActionWriter writes the actions that a front decides on to the reply.
type ActionWriter struct {
	Front string
	Out   *Writer
}

func toMicros(seconds float64) int64 { return int64(math.Round(seconds * 1e6)) }

// SetRung sets a session's rung.
func (a ActionWriter) SetRung(id choice.SessID, rung int) {
	fmt.Fprintf(a.Out.out, "RATE i=%s xid=%s tier_no=%d\n", a.Front, id, rung)
}

// Setup sends a SETUP.
func (a ActionWriter) Setup(id choice.SessID, server choice.ServerID, timeout float64) {
	fmt.Fprintf(a.Out.out, "TRY i=%s xid=%s server=%d max_wait=%d\n", a.Front, id, server, toMicros(timeout))
}

// BusyReply ends a request as busy.
func (a ActionWriter) BusyReply(id choice.SessID, retryAfter float64) {
	fmt.Fprintf(a.Out.out, "BUSY i=%s xid=%s stay_away=%d\n", a.Front, id, toMicros(retryAfter))
}

// FailureReply ends a request as failed.
func (a ActionWriter) FailureReply(id choice.SessID) {
	fmt.Fprintf(a.Out.out, "DROP_REQUEST i=%s xid=%s\n", a.Front, id)
}

// Probe probes a server.
func (a ActionWriter) Probe(server choice.ServerID) {
	fmt.Fprintf(a.Out.out, "TOUCH i=%s server=%d\n", a.Front, server)
}

// SendMessage sends a message to another front.
func (a ActionWriter) SendMessage(front int, payload []byte) {
	fmt.Fprintf(a.Out.out, "MEMO_TO i=%s addressee=%d raw=%s\n", a.Front, front, base64.StdEncoding.EncodeToString(payload))
}

// SetTimer sets a timer.
func (a ActionWriter) SetTimer(after float64) {
	fmt.Fprintf(a.Out.out, "SET_TIMER i=%s after=%d mark=1\n", a.Front, toMicros(after))
}
