package session

import (
	"slices"

	"rainhaven/choice"
)

// Config holds the settings that a reload replaces.
type Config struct {
	Choice        choice.Config
	Limits        Limits
	NewGroupIndex []int // new index of each service group by its old one; complete
	// BestRungs are the highest rungs of the new ladder that viewers' bandwidths allow. A session without an entry keeps its own.
	BestRungs map[choice.SessID]int
}

// Reload applies new settings. It replaces the module by a new one, restored from the saved state of the old one after
// prune has removed what no longer holds; list is the whole list of boxes. Sessions are treated by their state:
//
//	awaiting placement        placed anew by the new module, within the old setup timeout
//	SETUP in flight           stays in flight; the new module counts its seat and its share of the links. If it fails
//	                          there is no retry: the answer is busy, or failed where a paid SETUP may have run
//	ready, playing, paused    handed to the new module at the present rung, which new floors and tops may change at once
//	TEARDOWN in flight        the same, until it is answered
//	answered otherwise        left alone
//
// A reload sends no SETUP, so that no number of reloads can violate rules 2 (paid sessions) and 6 (retry budget).
func (t *Table) Reload(cfg Config, list []choice.Listing, prune func(choice.Snapshot) choice.Snapshot) {
	t.module.Reconcile() // decisions made under the old settings are kept
	saved := prune(t.module.Snapshot())
	sessions := t.sortedSessions()
	resubmitted := 0
	for _, s := range sessions {
		s.group = cfg.NewGroupIndex[s.group]
		if best, known := cfg.BestRungs[s.id]; known {
			s.req.BestRung = best
		}
		if s.req.Group = s.group; s.awaitsPlacement() {
			resubmitted++
		}
	}
	// Placing a request anew counts it for the retry budget again, so an earlier count is removed for each: the budget must
	// not grow.
	saved.FirstSetups = saved.FirstSetups[:max(len(saved.FirstSetups)-resubmitted, 0)]
	t.limits = cfg.Limits
	t.newModule(cfg.Choice)
	t.module.UpdateServers(true, list)
	t.module.Restore(saved)
	for i := range t.foreignSeats {
		t.foreignSeats[i].Group = cfg.NewGroupIndex[t.foreignSeats[i].Group]
	}
	t.module.SetForeignSeats(t.foreignSeats)
	// The new module needs the boxes that have left the list until their sessions are handed to it, as those sessions
	// hold seats. They are listed as draining meanwhile.
	t.UpdateBoxes(true, list)
	var removed []choice.Listing
	for id, e := range t.boxes {
		if e.State == choice.Gone {
			removed = append(removed, choice.Listing{ID: id, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, State: choice.Draining, StartedAt: e.StartedAt})
		}
	}
	slices.SortFunc(removed, func(a, b choice.Listing) int { return int(int64(a.ID) - int64(b.ID)) })
	t.module.UpdateServers(false, removed)
	var unplaced []*session
	for _, s := range sessions {
		if s.awaitsPlacement() {
			unplaced = append(unplaced, s)
		} else {
			t.reload(s)
		}
	}
	for _, s := range unplaced { // after those that hold seats
		t.reload(s)
	}
	for i := range removed {
		removed[i].State = choice.Gone
	}
	t.module.UpdateServers(false, removed)
}

// SetLimits replaces the limits without a reload. Waits that have already started keep their old setup timeout.
func (t *Table) SetLimits(limits Limits) { t.limits = limits }

// Snapshot returns the module's state to be saved.
func (t *Table) Snapshot() choice.Snapshot { return t.module.Snapshot() }

// Restore loads the module's saved state. It must be called after the first UpdateBoxes and before any session.
func (t *Table) Restore(m choice.Snapshot) { t.module.Restore(m) }

// SeatsTaken returns the seats that the table's sessions hold.
func (t *Table) SeatsTaken() []choice.SeatCount { return t.module.SeatsTaken() }

// SetForeignSeats replaces the counts of seats that another process's sessions hold. Their groups must be known.
func (t *Table) SetForeignSeats(list []choice.SeatCount) {
	t.foreignSeats = list
	t.module.SetForeignSeats(list)
}

// BoxCounts returns the number of listed boxes, and of those that the list shows as ready for new sessions.
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

// Freeze stops all further SETUPs, because another process takes over this front's decisions. Requests without a SETUP
// are busy-replied, those with one in flight are answered by its outcome, and established sessions continue. It returns
// the module's state for the other process.
func (t *Table) Freeze() choice.Snapshot {
	t.refuseNew = true
	t.module.Reconcile()
	for _, s := range t.sortedSessions() {
		switch {
		case s.awaitsPlacement():
			t.markDirty(s)
			s.answer, s.retryAfter, s.inModule = Busy, 1, false
			t.module.RequestClosed(s.id)
		case s.phase == connecting || s.phase == setupSent:
			t.markDirty(s)
			s.noRetry, s.phaseDeadline = true, max(s.phaseDeadline, s.answerDeadline-answerMarginSeconds)
		}
	}
	return t.module.Snapshot()
}

// Resume accepts new requests again after Freeze, when the other process has failed to take over.
func (t *Table) Resume() { t.refuseNew = false }

// awaitsPlacement reports whether the module holds the request and has not decided on a SETUP for it yet.
func (s *session) awaitsPlacement() bool {
	return s.phase == idle && s.inModule && s.answer == 0 && s.attempt == 0
}

// reload hands one session to the new module.
func (t *Table) reload(s *session) {
	t.markDirty(s)
	switch {
	case s.awaitsPlacement():
		s.rung = t.groups[s.group].Floor // the module reports only what differs from it
		s.wantRung = s.rung
		t.module.RequestSession(s.req)
		return
	case !s.inModule || s.answer == Busy || s.answer == Failed || s.phase == ended:
		return
	case s.phase == idle || s.wantSetup && t.boxes[s.box].State != choice.Ready:
		// The box left the list with this reload, before the SETUP was sent. Earlier SETUPs of a paid session provably
		// never ran, or it would have been answered as failed.
		s.phase, s.wantSetup, s.inModule = idle, false, false
		s.answer, s.retryAfter = Busy, 1
		return
	case s.phase == connecting || s.phase == setupSent:
		// No retry follows, so this SETUP may take all the time that is left.
		s.noRetry, s.phaseDeadline = true, max(s.phaseDeadline, s.answerDeadline-answerMarginSeconds)
	}
	t.module.AddHandedOver(s.req, s.box)
	rung := s.rung
	if s.phase == connecting || s.phase == setupSent {
		rung = s.wantRung
	}
	// A SET_PARAMETER in flight stays in flight; the change to the new floor or top follows it.
	g := t.groups[s.group]
	s.wantRung = max(min(rung, g.Top, t.topRung), g.Floor)
	t.module.SetCurrentRung(s.id, s.wantRung)
}
