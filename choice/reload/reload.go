// Package reload decides which changed settings a running front applies, how, and which need a restart. It does no I/O.
package reload

import (
	"fmt"
	"slices"
	"strings"

	"rainhaven/choice"
)

// Section is a part of a front's settings that is compared and applied as a whole.
type Section string

// Action is a set of flags: what a front does to apply a changed section.
type Action int

// The actions.
const (
	ReadOnUse      Action = 1 << iota // nothing: the value is read each time it is used
	UpdateBoxes                       // pass the new list of boxes on
	UpdateUsers                       // replace the users and the realm
	UpdateLimits                      // apply the new limits
	ResetReporting                    // restart the evaluation of delivered shares and load notes
	RebuildChoice                     // rebuild the box selection (package choice) from its saved state and the list of boxes
	NeedsRestart                      // can't be applied while the front runs
)

// Rule states which actions a change of a section needs, and for NeedsRestart the reason.
type Rule struct {
	Section Section
	Action  Action
	Reason  string
}

// Rules has one rule for each section. A change that needs a restart rejects the new settings as a whole: applying the rest
// would leave the front with settings that no file contains.
var Rules = []Rule{
	{"front(name)", NeedsRestart, "logs, metrics, boxes and the state folder identify the front by its name"},
	{"front(listen, tls_listen, admin)", NeedsRestart, "viewers are connected to the old sockets; an upgrade in service moves them"},
	{"front(cert, key)", NeedsRestart, "new contents of the same files are loaded without a reload"},
	{"front(me, fronts)", NeedsRestart, "fronts take turns to use a cold box's slots, and two that count differently would use the same slot"},
	{"front(zone)", NeedsRestart, "the zone is where the front's process runs"},
	{"front(state)", NeedsRestart, "the folder is locked for the lifetime of the process"},
	{"front(seed)", ReadOnUse, ""},
	{"front(log)", ReadOnUse, ""},
	{"front(redirect)", ReadOnUse, ""},
	{"front(realm) and user", UpdateUsers, ""},
	{"box_tls", NeedsRestart, "new contents of the same file are loaded without a reload"},
	{"ladder", RebuildChoice, ""},
	{"group", RebuildChoice, ""},
	{"fleet", RebuildChoice, ""},
	{"zone", RebuildChoice, ""},
	{"kind", RebuildChoice, ""},
	{"setups", RebuildChoice, ""},
	{"cold", RebuildChoice, ""},
	{"reports", RebuildChoice | ResetReporting, ""},
	{"drains", ReadOnUse, ""},
	{"title", ReadOnUse, ""},
	{"box", UpdateBoxes, ""},
	{"limits", UpdateLimits, ""},
}

// Plan is how a change of settings is applied, or why it is not.
type Plan struct {
	Actions       Action
	Changed       []Section
	Rejections    []string // why the settings are rejected as a whole; empty if they are accepted
	NewGroupIndex []int    // new index of a service group, by its old index

	slotsValid   bool // the slots of cold boxes are unchanged
	uplinksValid bool // the uplinks are unchanged
}

// Has reports whether the plan includes an action.
func (p Plan) Has(a Action) bool { return p.Actions&a != 0 }

// Change is the difference between old and new settings: the sections that differ, and the names of the service groups in
// order.
type Change struct {
	Sections             []Section
	NewGroups, OldGroups []string
}

// NewPlan decides how to apply a change.
func NewPlan(c Change) Plan {
	p := Plan{Changed: c.Sections, slotsValid: true, uplinksValid: true}
	for _, s := range c.Sections {
		i := slices.IndexFunc(Rules, func(r Rule) bool { return r.Section == s })
		if i < 0 {
			p.Rejections = append(p.Rejections, fmt.Sprintf("%s: no rule says whether it may change without a restart", s))
			continue
		}
		if p.Actions |= Rules[i].Action; Rules[i].Action == NeedsRestart {
			p.Rejections = append(p.Rejections, fmt.Sprintf("%s needs a restart: %s", s, Rules[i].Reason))
		}
		switch s {
		case "cold":
			p.slotsValid = false
		case "kind": // the smallest kind determines the length of a slot
			p.slotsValid = false
		case "fleet":
			p.uplinksValid = false
		}
	}
	var removed []string
	for _, name := range c.OldGroups {
		i := slices.Index(c.NewGroups, name)
		if p.NewGroupIndex = append(p.NewGroupIndex, i); i < 0 {
			removed = append(removed, name)
		}
	}
	if len(removed) > 0 {
		p.Rejections = append(p.Rejections, fmt.Sprintf("group %s was removed, but sessions may still play in it; drain first, or keep it with seats", strings.Join(removed, ", ")))
	}
	if len(p.Rejections) > 0 {
		p.Actions = 0
	}
	return p
}

// DiscardStale removes from saved state what is not valid under the new settings. The counts that rules depend on, of first
// SETUPs and retries, are kept. An unknown slot counts as used, which costs a cold box one turn of the front.
func (p Plan) DiscardStale(m choice.Snapshot) choice.Snapshot {
	if !p.slotsValid {
		m.Servers = slices.Clone(m.Servers)
		for i := range m.Servers {
			m.Servers[i].Slot = -1
		}
	}
	if !p.uplinksValid {
		m.Uplinks = nil
	}
	return m
}

// MinIntervalSeconds is the minimum time between two reloads. Each one gives up the retries of requests in progress, so a
// script that reloads in a loop must not trigger one each time. Reloads within the interval are merged into one at its end.
const MinIntervalSeconds = 1.0

// Delay returns how many seconds a reload requested now has to wait, given the time of the last one (0 for none).
func Delay(now, last float64) float64 {
	if last == 0 {
		return 0
	}
	return max(last+MinIntervalSeconds-now, 0)
}
