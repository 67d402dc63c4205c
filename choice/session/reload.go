package session

import (
	"slices"

	"rainhaven/choice"
)

// Config are a table's new ones.
type Config struct {
	Figures  choice.Config
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
func (t *Table) Reload(terms Config, list []choice.Listing, keep func(choice.Snapshot) choice.Snapshot) {
	t.mod.Reconcile() // what was decided stands
	m := keep(t.mod.Snapshot())
	lives := t.inOrder()
	again := 0
	for _, l := range lives {
		l.group = terms.GroupMap[l.group]
		if l.req.Group = l.group; l.waits() {
			again++
		}
	}
	// Those asked anew count as taken again; their first count goes, so that the ration grows by nothing.
	m.FirstSetups = m.FirstSetups[:max(len(m.FirstSetups)-again, 0)]
	t.bounds = terms.Limits
	t.module(terms.Figures)
	t.mod.UpdateDirectory(true, list)
	t.mod.Restore(m)
	// Boxes that have left the list are told of as long as it takes to hand their sessions over: those hold seats.
	t.UpdateDirectory(true, list)
	var left []choice.Listing
	for id, e := range t.list {
		if e.State == choice.Gone {
			left = append(left, choice.Listing{ID: id, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, State: choice.Draining, StartedAt: e.StartedAt})
		}
	}
	slices.SortFunc(left, func(a, b choice.Listing) int { return int(int64(a.ID) - int64(b.ID)) })
	t.mod.UpdateDirectory(false, left)
	for _, l := range lives {
		t.renew(l)
	}
	for i := range left {
		left[i].State = choice.Gone
	}
	t.mod.UpdateDirectory(false, left)
}

// SetLimits takes new bounds alone: they hold for what begins from now on.
func (t *Table) SetLimits(b Limits) { t.bounds = b }

// Snapshot and Recall are the module's: what it learned, and its taking that again after the first list and before any
// session.
func (t *Table) Snapshot() choice.Snapshot { return t.mod.Snapshot() }
func (t *Table) Restore(m choice.Snapshot) { t.mod.Restore(m) }

// BoxCounts is how many boxes are listed, and how many of them may get new sessions as far as the list goes.
func (t *Table) BoxCounts() (listed, usable int) {
	for _, e := range t.list {
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
func (t *Table) Freeze() choice.Snapshot {
	t.stop = true
	t.mod.Reconcile()
	for _, l := range t.inOrder() {
		switch {
		case l.waits():
			t.mark(l)
			l.verdict, l.comeBack, l.toldModule = Busy, 1, false
			t.mod.RequestClosed(l.id)
		case l.phase == connecting || l.phase == asked:
			t.mark(l)
			l.alone, l.until = true, max(l.until, l.giveUp-margin)
		}
	}
	return t.mod.Snapshot()
}

// Resume takes new requests again after Freeze: the other process came to nothing.
func (t *Table) Resume() { t.stop = false }

// waits tells whether a request waits within the module and no SETUP was ever ordered for it.
func (l *life) waits() bool { return l.phase == idle && l.toldModule && l.verdict == 0 && l.try == 0 }

// renew tells the new module of one session.
func (t *Table) renew(l *life) {
	t.mark(l)
	switch {
	case l.waits():
		t.mod.RequestSession(l.req)
		return
	case !l.toldModule || l.verdict == Busy || l.verdict == Failed || l.phase == gone:
		return
	case l.phase == idle || l.wantSetup && t.list[l.box].State != choice.Ready:
		// Its box left the list with this very reload, before the SETUP had left. Earlier ones of a paid group's
		// provably never ran, or it would have been torn down.
		l.phase, l.wantSetup, l.toldModule = idle, false, false
		l.verdict, l.comeBack = Busy, 1
		return
	case l.phase == connecting || l.phase == asked:
		// As no other follows, this SETUP may take all the time there is.
		l.alone, l.until = true, max(l.until, l.giveUp-margin)
	}
	t.mod.AddHandedOver(l.req, l.box)
	rung := l.rung
	if l.phase == connecting || l.phase == asked {
		rung = l.wantRung
	}
	// A step that is out stays out; the one to the new bounds follows it.
	g := t.groups[l.group]
	l.wantRung = max(min(rung, g.Top, t.top), g.Floor)
	t.mod.SetCurrentRung(l.id, l.wantRung)
}
