// Command simhost runs instances of the decision module for the simulator, with which it talks on standard input and output.
package main

import (
	"fmt"
	"io"
	"os"

	"rainhaven/choice"
	"rainhaven/internal/wire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// serve replies to batches until the end of input.
func serve(in io.Reader, out io.Writer) error {
	r, w := wire.NewReader(in), wire.NewWriter(out)
	h := host{fronts: map[string]*choice.Front{}, w: w}
	for {
		now, events, err := r.ReadBatch()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.runBatch(now, events); err != nil {
			return err
		}
		if err := w.EndReply(); err != nil {
			return err
		}
	}
}

// host holds the fronts of this process, which share no state.
type host struct {
	fronts map[string]*choice.Front // by name; an entry is deleted when its front is stopped
	w      *wire.Writer
}

// runBatch dispatches the events in order, then calls Reconcile on each front that got one, in the order of first mention.
func (h *host) runBatch(now float64, events []wire.Event) error {
	var order []string
	seen := map[string]bool{}
	for i := range events {
		e := &events[i]
		if !seen[e.Front] {
			seen[e.Front] = true
			order = append(order, e.Front)
		}
		if h.fronts[e.Front] == nil && e.Kind != wire.Start && e.Kind != wire.Stop {
			return fmt.Errorf("event for front %s, which is not running", e.Front)
		}
		h.recoverPanics(e.Front, func() { h.dispatch(now, e) })
	}
	for _, name := range order {
		if f := h.fronts[name]; f != nil {
			h.recoverPanics(name, f.Reconcile)
		}
	}
	return nil
}

// recoverPanics calls f and reports a panic of the front to the simulator instead of crashing.
func (h *host) recoverPanics(front string, f func()) {
	defer func() {
		if cause := recover(); cause != nil {
			fmt.Fprintln(os.Stderr, "simhost:", front, cause)
			h.w.ReportPanic(front, cause)
		}
	}()
	f()
}

func (h *host) dispatch(now float64, e *wire.Event) {
	switch e.Kind {
	case wire.Start:
		h.fronts[e.Front] = choice.New(now, e.Config, wire.ActionWriter{Front: e.Front, Out: h.w})
		return
	case wire.Stop:
		delete(h.fronts, e.Front)
		return
	}
	f := h.fronts[e.Front]
	f.SetTime(now)
	e.Dispatch(f)
}
