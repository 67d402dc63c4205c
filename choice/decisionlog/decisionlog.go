// Package decisionlog keeps the last decisions of a front and puts them into words: why a session got its box and rung, or was
// turned away. It does no I/O.
package decisionlog

import (
	"fmt"
	"slices"
	"strings"

	"rainhaven/choice"
)

// Kind is what was decided, or what came of it.
type Kind int

// The acts.
const (
	Requested Kind = iota + 1
	SetupSent
	SetupEnded
	RungChanged
	RungRefused
	BusyReplied
	Failed
	Ended
)

// Entry is one decision or outcome.
type Entry struct {
	At          float64
	Session     choice.SessID
	Kind        Kind
	Box         choice.ServerID
	Rung        int
	Seconds     float64 // a SETUP's wait, a busy reply's advice
	Outcome     choice.Outcome
	EndReason   string              // of an end
	Snapshot    choice.SessionState // at a SETUP and at an answer; holders by most room, mostHolders of them
	HolderCount int                 // in all
}

const (
	// Decisions kept: a minute or more of a front that sets up ten sessions a second, in about 1 MB.
	most = 2048
	// Holders kept of each, those with most room first: the choice fell among them.
	mostHolders = 6
)

// Ring keeps the last decisions; older ones give way.
type Ring struct {
	list []Entry
	next int
}

// Record keeps one.
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
	e.Snapshot.Holders = slices.Clone(e.Snapshot.Holders[:min(len(e.Snapshot.Holders), mostHolders)])
	if len(r.list) < most {
		r.list = append(r.list, e)
		return
	}
	r.list[r.next] = e
	r.next = (r.next + 1) % most
}

// ForSession gives what is kept of a session, oldest first.
func (r *Ring) ForSession(id choice.SessID) (list []Entry) {
	for i := range r.list {
		if e := r.list[(r.next+i)%len(r.list)]; e.Session == id {
			list = append(list, e)
		}
	}
	return list
}

// LastRejected gives the session that was turned away last; empty where none is kept.
func (r *Ring) LastRejected() choice.SessID {
	for i := len(r.list) - 1; i >= 0; i-- {
		if e := r.list[(r.next+i)%len(r.list)]; e.Kind == BusyReplied || e.Kind == Failed {
			return e.Session
		}
	}
	return ""
}

var outcomes = map[choice.Outcome]string{choice.Served: "served", choice.ServerError: "the box failed; it may have run", choice.Full: "the box is full; it never ran",
	choice.TimedOut: "no answer within its wait; it may have run", choice.NoConnection: "no connection; it never ran", choice.Reset: "the connection broke; it may have run",
	choice.Cancelled: "given up", choice.Unsent: "not sent, the box left the list",
	choice.EndedUnanswered: "ended before its answer came"}

// Explain puts a session's entries into words, a line each, instants from the first one on.
func Explain(list []Entry) (lines []string) {
	for _, e := range list {
		lines = append(lines, fmt.Sprintf("%+.3f s  %s", e.At-list[0].At, e.words()))
	}
	return lines
}

func (e Entry) words() string {
	switch e.Kind {
	case Requested:
		return fmt.Sprintf("asked for; rung %d at most by its viewer", e.Rung)
	case SetupSent:
		return fmt.Sprintf("SETUP to box %d at rung %d, waited for %.2f s; %s", e.Box, e.Rung, e.Seconds, e.holders())
	case SetupEnded:
		return fmt.Sprintf("SETUP to box %d: %s", e.Box, outcomes[e.Outcome])
	case RungChanged:
		return fmt.Sprintf("to rung %d, as demand over the target is now %s", e.Rung, e.pressure())
	case RungRefused:
		return fmt.Sprintf("the box did not make the change; rung %d stays", e.Rung)
	case BusyReplied:
		return fmt.Sprintf("busy-replied, to come back in %.0f s: %s; %s", e.Seconds, e.why(), e.holders())
	case Failed:
		return "torn down: a SETUP may have run, and its group's are not repeated; " + e.holders()
	case Ended:
		return "over: " + e.EndReason
	}
	return "unknown"
}

// pressure is that of the session's own box.
func (e Entry) pressure() string {
	for _, v := range e.Snapshot.Holders {
		if v.Server == e.Box {
			return fmt.Sprintf("%.2f on its link and %.2f on its uplink", v.LinkPressure, v.UplinkPressure)
		}
	}
	return "not kept"
}

// why names the first cause that turned the session away, in the order in which the module looks.
func (e Entry) why() string {
	s := e.Snapshot
	free := 0
	for _, v := range s.Holders {
		if v.State == choice.Ready && !v.Ejected && !v.Full && !v.NoSlot && !v.Tried {
			free++
		}
	}
	switch {
	case s.SeatsTaken:
		return "all seats of its title are taken"
	case s.SetupsSent > 0 && s.RetriesSpent:
		return "the ration of further SETUPs is spent"
	case e.HolderCount == 0:
		return "no box of the list holds its title"
	case free == 0:
		return "no holder may get it"
	case s.SetupsSent > 0:
		return "its SETUPs or its time are used up"
	}
	return "holders that may get it are past twice their target"
}

// holders counts what stands against holders and names those with most room.
func (e Entry) holders() string {
	var not []string
	count := func(what string, is func(v choice.HolderState) bool) {
		n := 0
		for _, v := range e.Snapshot.Holders {
			if is(v) {
				n++
			}
		}
		if n > 0 {
			not = append(not, fmt.Sprintf("%d %s", n, what))
		}
	}
	count("draining or gone", func(v choice.HolderState) bool { return v.State != choice.Ready })
	count("set aside", func(v choice.HolderState) bool { return v.Ejected })
	count("full", func(v choice.HolderState) bool { return v.Full })
	count("cold, in another front's turn", func(v choice.HolderState) bool { return v.NoSlot })
	count("tried", func(v choice.HolderState) bool { return v.Tried })
	s := fmt.Sprintf("%d holders", e.HolderCount)
	if len(not) > 0 {
		s += " (" + strings.Join(not, ", ") + ")"
	}
	for i, v := range e.Snapshot.Holders[:min(len(e.Snapshot.Holders), 3)] {
		s += fmt.Sprintf("%s box %d has room for %.0f kB/s at %.2f/%.2f of its targets", [...]string{":", ",", ","}[i], v.Server, v.Headroom, v.LinkPressure, v.UplinkPressure)
	}
	return s
}
