// Package renewal decides what of new settings takes hold in service, by what steps, and what of them has to wait for a
// restart. It does no I/O.
package renewal

import (
	"fmt"
	"slices"
	"strings"

	"rainhaven/choice"
)

// Part is a part of a front's settings that may change.
type Part string

// Step is what a change of a part takes.
type Step int

// The steps. A Fresh value is read whenever it is wanted, so that nothing has to be done. Module stands for a module made
// anew with what the last one had learned (session.Table.Reload); the list of boxes goes with it.
const (
	Fresh Step = 1 << iota
	Boxes
	Users
	Limits
	Ear // shares and notes are listened to anew
	Module
	Restart
)

// Rule is one row of the table: what a part's change takes and why, for those of Restart.
type Rule struct {
	Part Part
	Step Step
	Why  string
}

// Table has a row for each part. Rows of Restart are refused, and with them the whole of the new settings: half of a
// change would be a state that nobody wrote down.
var Table = []Rule{
	{"front(name)", Restart, "logs, metrics, boxes and the state folder know the front by it"},
	{"front(listen, tls_listen, admin)", Restart, "viewers hold the old sockets; an upgrade in service moves them"},
	{"front(cert, key)", Restart, "other contents of the same files are taken by themselves"},
	{"front(me, fronts)", Restart, "fronts own a cold box's slots in turn, and two that count differently would meet there"},
	{"front(zone)", Restart, "a front stands where its process runs"},
	{"front(state)", Restart, "the folder is locked as long as the process lives"},
	{"front(seed)", Fresh, ""},
	{"front(log)", Fresh, ""},
	{"front(redirect)", Fresh, ""},
	{"front(realm) and user", Users, ""},
	{"box_tls", Restart, "other contents of the same file are taken by themselves"},
	{"ladder", Module, ""},
	{"group", Module, ""},
	{"fleet", Module, ""},
	{"zone", Module, ""},
	{"kind", Module, ""},
	{"setups", Module, ""},
	{"cold", Module, ""},
	{"reports", Module | Ear, ""},
	{"drains", Fresh, ""},
	{"title", Fresh, ""},
	{"box", Boxes, ""},
	{"limits", Limits, ""},
}

// Plan is what new settings come to.
type Plan struct {
	Steps   Step
	Changed []Part
	Refused []string // why nothing of them is taken; empty where all is
	Groups  []int    // by a service group's number so far: its new one

	slots bool // cold boxes' slots are as they were
	racks bool // uplinks are
}

// Has tells whether a step is to be done.
func (p Plan) Has(s Step) bool { return p.Steps&s != 0 }

// Terms is what Decide compares: the parts that differ, and the service groups' names in their order.
type Terms struct {
	Changed        []Part
	Groups, Before []string
}

// Decide makes a plan.
func Decide(t Terms) Plan {
	p := Plan{Changed: t.Changed, slots: true, racks: true}
	for _, c := range t.Changed {
		i := slices.IndexFunc(Table, func(r Rule) bool { return r.Part == c })
		if i < 0 {
			p.Refused = append(p.Refused, fmt.Sprintf("%s: nobody has said whether it may change in service", c))
			continue
		}
		if p.Steps |= Table[i].Step; Table[i].Step == Restart {
			p.Refused = append(p.Refused, fmt.Sprintf("%s needs a restart: %s", c, Table[i].Why))
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
	for _, name := range t.Before {
		i := slices.Index(t.Groups, name)
		if p.Groups = append(p.Groups, i); i < 0 {
			lost = append(lost, name)
		}
	}
	if len(lost) > 0 {
		p.Refused = append(p.Refused, fmt.Sprintf("group %s is gone, and sessions may still play under its terms; drain first, or keep it with seats", strings.Join(lost, ", ")))
	}
	if len(p.Refused) > 0 {
		p.Steps = 0
	}
	return p
}

// Keep takes out of a module's memory what holds no longer under the new terms. What rules count stays: requests and
// further SETUPs. A slot that is not known counts as used, which costs a cold box one front's turn.
func (p Plan) Keep(m choice.Snapshot) choice.Snapshot {
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

// Least is how many seconds lie between two renewals of the module: each gives up the further SETUPs of requests that are
// under way. Against a script that reloads in a loop; later ones are not lost, the last is carried out when its time has
// come.
const Least = 1.0

// Wait is how many seconds a reload waits that comes now, the last having come at last; 0 is never.
func Wait(now, last float64) float64 {
	if last == 0 {
		return 0
	}
	return max(last+Least-now, 0)
}
