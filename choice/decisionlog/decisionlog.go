// Package decisionlog keeps the most recent decisions of a front and explains them: why a session got its box and rung, or why
// it was rejected. It does no I/O.
package decisionlog

import (
	"fmt"
	"slices"
	"strings"

	"rainhaven/choice"
)

// Kind is the type of decision or outcome that an Entry records.
type Kind int

// The kinds of entry.
const (
	Requested Kind = iota + 1
	SetupSent
	SetupEnded
	RungChanged
	RungRejected
	BusyReplied
	Failed
	Ended
)

// Entry is one decision or outcome.
type Entry struct {
	At          float64 // seconds on the front's clock
	Session     choice.SessID
	Kind        Kind
	Box         choice.ServerID
	Rung        int
	Seconds     float64 // SetupSent: timeout; BusyReplied: advice when to retry
	Outcome     choice.Outcome
	EndReason   string              // set for Ended
	Snapshot    choice.SessionState // set for SetupSent, RungChanged, BusyReplied and Failed; at most maxHolders holders, largest Headroom first
	HolderCount int                 // holders before the snapshot was truncated
}

const (
	// At ten session setups a second this covers a minute or more, in about 1 MB.
	capacity = 2048
	// The chosen box is among the holders with the most headroom, so the others are not kept.
	maxHolders = 6
)

// Ring is a ring buffer of the last capacity entries.
type Ring struct {
	entries []Entry
	next    int
}

// Record adds an entry and overwrites the oldest one when the buffer is full. It sorts e.Snapshot.Holders in place.
func (r *Ring) Record(e Entry) {
	e.HolderCount = len(e.Snapshot.Holders)
	slices.SortStableFunc(e.Snapshot.Holders, func(a, b choice.HolderState) int {
		switch {
		case a.Headroom > b.Headroom:
			return -1
		case a.Headroom < b.Headroom:
			return 1
		}
		return 0
	})
	e.Snapshot.Holders = slices.Clone(e.Snapshot.Holders[:min(len(e.Snapshot.Holders), maxHolders)])
	if len(r.entries) < capacity {
		r.entries = append(r.entries, e)
		return
	}
	r.entries[r.next] = e
	r.next = (r.next + 1) % capacity
}

// ForSession returns the entries of a session, oldest first.
func (r *Ring) ForSession(id choice.SessID) (list []Entry) {
	for i := range r.entries {
		if e := r.entries[(r.next+i)%len(r.entries)]; e.Session == id {
			list = append(list, e)
		}
	}
	return list
}

// LastRejected returns the session that was rejected last, or an empty ID if the buffer holds no rejection.
func (r *Ring) LastRejected() choice.SessID {
	for i := len(r.entries) - 1; i >= 0; i-- {
		if e := r.entries[(r.next+i)%len(r.entries)]; e.Kind == BusyReplied || e.Kind == Failed {
			return e.Session
		}
	}
	return ""
}

var outcomeTexts = map[choice.Outcome]string{choice.Served: "served", choice.ServerError: "the box failed; it may have run", choice.Full: "the box is full; it never ran",
	choice.TimedOut: "no answer before its timeout; it may have run", choice.NoConnection: "no connection; it never ran", choice.Reset: "the connection broke; it may have run",
	choice.Cancelled: "cancelled", choice.Unsent: "not sent; the box was removed from the list",
	choice.EndedUnanswered: "the session ended before the answer arrived"}

// Explain describes a session's entries, one line each, with times relative to the first entry.
func Explain(list []Entry) (lines []string) {
	for _, e := range list {
		lines = append(lines, fmt.Sprintf("%+.3f s  %s", e.At-list[0].At, e.text()))
	}
	return lines
}

func (e Entry) text() string {
	switch e.Kind {
	case Requested:
		return fmt.Sprintf("asked for; the viewer accepts rung %d at most", e.Rung)
	case SetupSent:
		return fmt.Sprintf("SETUP to box %d at rung %d, timeout %.2f s; %s", e.Box, e.Rung, e.Seconds, e.holdersText())
	case SetupEnded:
		return fmt.Sprintf("SETUP to box %d: %s", e.Box, outcomeTexts[e.Outcome])
	case RungChanged:
		return fmt.Sprintf("to rung %d; demand/target is now %s", e.Rung, e.loadText())
	case RungRejected:
		return fmt.Sprintf("the box rejected the rung change; rung %d stays", e.Rung)
	case BusyReplied:
		return fmt.Sprintf("busy-replied, retry after %.0f s: %s; %s", e.Seconds, e.rejectionReason(), e.holdersText())
	case Failed:
		return "failed, torn down: a SETUP may have run, and SETUPs of its group are not retried; " + e.holdersText()
	case Ended:
		return "ended: " + e.EndReason
	}
	return "unknown"
}

// loadText formats the demand/target ratios of the session's own box.
func (e Entry) loadText() string {
	for _, v := range e.Snapshot.Holders {
		if v.Server == e.Box {
			return fmt.Sprintf("%.2f on the link and %.2f on the uplink", v.LinkPressure, v.UplinkPressure)
		}
	}
	return "not recorded"
}

// rejectionReason returns the first cause of a rejection, in the order in which package choice checks them.
func (e Entry) rejectionReason() string {
	s := e.Snapshot
	eligible := 0
	for _, v := range s.Holders {
		if v.State == choice.Ready && !v.Ejected && !v.Full && !v.NoSlot && !v.Tried {
			eligible++
		}
	}
	switch {
	case s.SeatsTaken:
		return "all seats of its title are taken"
	case s.SetupsSent > 0 && s.RetriesSpent:
		return "the retry budget is spent"
	case e.HolderCount == 0:
		return "no listed box holds its title"
	case eligible == 0:
		return "no holder may get it"
	case s.SetupsSent > 0:
		return "its SETUP attempts or its time are used up"
	}
	return "all eligible holders are past twice their target"
}

// holdersText counts the holders, also those excluded by cause, and names the first three.
func (e Entry) holdersText() string {
	var excluded []string
	count := func(cause string, match func(v choice.HolderState) bool) {
		n := 0
		for _, v := range e.Snapshot.Holders {
			if match(v) {
				n++
			}
		}
		if n > 0 {
			excluded = append(excluded, fmt.Sprintf("%d %s", n, cause))
		}
	}
	count("draining or gone", func(v choice.HolderState) bool { return v.State != choice.Ready })
	count("ejected", func(v choice.HolderState) bool { return v.Ejected })
	count("full", func(v choice.HolderState) bool { return v.Full })
	count("cold, no warm-up slot for this front", func(v choice.HolderState) bool { return v.NoSlot })
	count("already tried", func(v choice.HolderState) bool { return v.Tried })
	s := fmt.Sprintf("%d holders", e.HolderCount)
	if len(excluded) > 0 {
		s += " (" + strings.Join(excluded, ", ") + ")"
	}
	for i, v := range e.Snapshot.Holders[:min(len(e.Snapshot.Holders), 3)] {
		s += fmt.Sprintf("%s box %d has room for %.0f kB/s at demand/target %.2f (link), %.2f (uplink)", [...]string{":", ",", ","}[i], v.Server, v.Headroom, v.LinkPressure, v.UplinkPressure)
	}
	return s
}
