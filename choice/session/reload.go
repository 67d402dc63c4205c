package session

import (
	"slices"

	"rainhaven/choice"
)

// Config are a table's new ones.
type Config struct {
	Figures  choice.StartFigures
	Limits   Limits
	GroupMap []int // by a service group's number so far: its new one. None may be missing
}

// Reload goes on under new terms. The module is made anew and told what the last one had learned, keep having taken out
// what holds no longer; list is the whole list of boxes. What becomes of sessions:
//
//	waits for its placement    asked anew, within its old setup timeout
//	a SETUP is out             stays out; the new module holds its seat and its share of the links. Where it fails no
//	                           further one follows: the answer is busy, or torn down where a paid one may have run
//	set up, plays, pauses      handed to the new module at its rung, which new floors and tops may move at once
//	its TEARDOWN is out        the same, until it is answered
//	answered otherwise         nothing more is asked
//
// No SETUP leaves because of it, so that no number of reloads touches rules 2 and 6.
func (t *Table) Reload(cfg Config, list []choice.Listing, prune func(choice.Memory) choice.Memory) {
	t.module.Settle() // what was decided stands
	saved := prune(t.module.Memory())
	sessions := t.sortedSessions()
	resubmitted := 0
	for _, s := range sessions {
		s.group = cfg.GroupMap[s.group]
		if s.req.Group = s.group; s.awaitsPlacement() {
			resubmitted++
		}
	}
	// Those asked anew count as taken again; their first count goes, so that the ration grows by nothing.
	saved.Taken = saved.Taken[:max(len(saved.Taken)-resubmitted, 0)]
	t.limits = cfg.Limits
	t.newModule(cfg.Figures)
	t.module.Directory(true, list)
	t.module.Recall(saved)
	// Boxes that have left the list are told of as long as it takes to hand their sessions over: those hold seats.
	t.UpdateDirectory(true, list)
	var removed []choice.Listing
	for id, e := range t.boxes {
		if e.State == choice.Gone {
			removed = append(removed, choice.Listing{ID: id, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, State: choice.Draining, Born: e.Born})
		}
	}
	slices.SortFunc(removed, func(a, b choice.Listing) int { return int(int64(a.ID) - int64(b.ID)) })
	t.module.Directory(false, removed)
	for _, s := range sessions {
		t.reload(s)
	}
	for i := range removed {
		removed[i].State = choice.Gone
	}
	t.module.Directory(false, removed)
}

// SetLimits takes new bounds alone: they hold for what begins from now on.
func (t *Table) SetLimits(limits Limits) { t.limits = limits }

// Snapshot and Recall are the module's: what it learned, and its taking that again after the first list and before any
// session.
func (t *Table) Snapshot() choice.Memory { return t.module.Memory() }
func (t *Table) Restore(m choice.Memory) { t.module.Recall(m) }

// BoxCounts is how many boxes are listed, and how many of them may get new sessions as far as the list goes.
func (t *Table) BoxCounts() (listed, usable int) {
	for _, e := range t.boxes {
		if e.State != choice.Gone {
			listed++
		}
		if e.State == choice.Ready {
			usable++
		}
	}
	return listed, usable
}

// Freeze has no SETUP ordered any more, as another process decides from here on for this front: requests without one are
// busy-replied, those with one out get what it brings. Sessions go on. It gives what the module has learned.
func (t *Table) Freeze() choice.Memory {
	t.refuseNew = true
	t.module.Settle()
	for _, s := range t.sortedSessions() {
		switch {
		case s.awaitsPlacement():
			t.markDirty(s)
			s.answer, s.retryAfter, s.inModule = Busy, 1, false
			t.module.Left(s.id)
		case s.phase == connecting || s.phase == setupSent:
			t.markDirty(s)
			s.noRetry, s.phaseDeadline = true, max(s.phaseDeadline, s.answerDeadline-answerMarginSeconds)
		}
	}
	return t.module.Memory()
}

// Resume takes new requests again after Freeze: the other process came to nothing.
func (t *Table) Resume() { t.refuseNew = false }

// awaitsPlacement tells whether a request awaitsPlacement within the module and no SETUP was ever ordered for it.
func (s *session) awaitsPlacement() bool {
	return s.phase == idle && s.inModule && s.answer == 0 && s.attempt == 0
}

// reload tells the new module of one session.
func (t *Table) reload(s *session) {
	t.markDirty(s)
	switch {
	case s.awaitsPlacement():
		t.module.Ask(s.req)
		return
	case !s.inModule || s.answer == Busy || s.answer == Failed || s.phase == ended:
		return
	case s.phase == idle || s.wantSetup && t.boxes[s.box].State != choice.Ready:
		// Its box left the list with this very reload, before the SETUP had left. Earlier ones of a paid group's
		// provably never ran, or it would have been torn down.
		s.phase, s.wantSetup, s.inModule = idle, false, false
		s.answer, s.retryAfter = Busy, 1
		return
	case s.phase == connecting || s.phase == setupSent:
		// As no other follows, this SETUP may take all the time there is.
		s.noRetry, s.phaseDeadline = true, max(s.phaseDeadline, s.answerDeadline-answerMarginSeconds)
	}
	t.module.Handed(s.req, s.box)
	rung := s.rung
	if s.phase == connecting || s.phase == setupSent {
		rung = s.wantRung
	}
	// A step that is out stays out; the one to the new bounds follows it.
	g := t.groups[s.group]
	s.wantRung = max(min(rung, g.Top, t.topRung), g.Floor)
	t.module.InForce(s.id, s.wantRung)
}
