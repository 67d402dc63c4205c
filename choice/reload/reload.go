// Package renewal decides what of new settings takes hold in service, by what steps, and what of them has to wait for a
// restart. It does no I/O.
package reload

import (
	"fmt"
	"slices"
	"strings"

	"rainhaven/choice"
)

// Section is a part of a front's settings that may change.
type Section string

// Action is what a change of a part takes.
type Action int

// The steps. A ReadOnUse value is read whenever it is wanted, so that nothing has to be done. RebuildChoice stands for a module made
// anew with what the last one had learned (session.Table.Reload); the list of boxes goes with it.
const (
	ReadOnUse Action = 1 << iota
	UpdateBoxes
	UpdateUsers
	UpdateLimits
	ResetReporting // shares and notes are listened to anew
	RebuildChoice
	NeedsRestart
)

// Rule is one row of the table: what a part's change takes and why, for those of Restart.
type Rule struct {
	Section Section
	Action  Action
	Reason  string
}

// Rules has a row for each part. Rows of Restart are refused, and with them the whole of the new settings: half of a
// change would be a state that nobody wrote down.
var Rules = []Rule{
	{"front(name)", NeedsRestart, "logs, metrics, boxes and the state folder know the front by it"},
	{"front(listen, tls_listen, admin)", NeedsRestart, "viewers hold the old sockets; an upgrade in service moves them"},
	{"front(cert, key)", NeedsRestart, "other contents of the same files are taken by themselves"},
	{"front(me, fronts)", NeedsRestart, "fronts own a cold box's slots in turn, and two that count differently would meet there"},
	{"front(zone)", NeedsRestart, "a front stands where its process runs"},
	{"front(state)", NeedsRestart, "the folder is locked as long as the process lives"},
	{"front(seed)", ReadOnUse, ""},
	{"front(log)", ReadOnUse, ""},
	{"front(redirect)", ReadOnUse, ""},
	{"front(realm) and user", UpdateUsers, ""},
	{"box_tls", NeedsRestart, "other contents of the same file are taken by themselves"},
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

// Plan is what new settings come to.
type Plan struct {
	Actions       Action
	Changed       []Section
	Rejections    []string // why nothing of them is taken; empty where all is
	NewGroupIndex []int    // by a service group's number so far: its new one

	slots bool // cold boxes' slots are as they were
	racks bool // uplinks are
}

// Has tells whether a step is to be done.
func (p Plan) Has(s Action) bool { return p.Actions&s != 0 }

// Change is what Decide compares: the parts that differ, and the service groups' names in their order.
type Change struct {
	Sections             []Section
	NewGroups, OldGroups []string
}

// NewPlan makes a plan.
func NewPlan(t Change) Plan {
	p := Plan{Changed: t.Sections, slots: true, racks: true}
	for _, c := range t.Sections {
		i := slices.IndexFunc(Rules, func(r Rule) bool { return r.Section == c })
		if i < 0 {
			p.Rejections = append(p.Rejections, fmt.Sprintf("%s: nobody has said whether it may change in service", c))
			continue
		}
		if p.Actions |= Rules[i].Action; Rules[i].Action == NeedsRestart {
			p.Rejections = append(p.Rejections, fmt.Sprintf("%s needs a restart: %s", c, Rules[i].Reason))
		}
		switch c {
		case "cold":
			p.slots = false
		case "kind": // the smallest kind sets the length of a slot
			p.slots = false
		case "fleet":
			p.racks = false
		}
	}
	var lost []string
	for _, name := range t.OldGroups {
		i := slices.Index(t.NewGroups, name)
		if p.NewGroupIndex = append(p.NewGroupIndex, i); i < 0 {
			lost = append(lost, name)
		}
	}
	if len(lost) > 0 {
		p.Rejections = append(p.Rejections, fmt.Sprintf("group %s is gone, and sessions may still play under its terms; drain first, or keep it with seats", strings.Join(lost, ", ")))
	}
	if len(p.Rejections) > 0 {
		p.Actions = 0
	}
	return p
}

// DiscardStale takes out of a module's memory what holds no longer under the new terms. What rules count stays: requests and
// further SETUPs. A slot that is not known counts as used, which costs a cold box one front's turn.
func (p Plan) DiscardStale(m choice.Snapshot) choice.Snapshot {
	if !p.slots {
		m.Servers = slices.Clone(m.Servers)
		for i := range m.Servers {
			m.Servers[i].Slot = -1
		}
	}
	if !p.racks {
		m.Uplinks = nil
	}
	return m
}

// MinIntervalSeconds is how many seconds lie between two renewals of the module: each gives up the further SETUPs of requests that are
// under way. Against a script that reloads in a loop; later ones are not lost, the last is carried out when its time has
// come.
const MinIntervalSeconds = 1.0

// Delay is how many seconds a reload waits that comes now, the last having come at last; 0 is never.
func Delay(now, last float64) float64 {
	if last == 0 {
		return 0
	}
	return max(last+MinIntervalSeconds-now, 0)
}
