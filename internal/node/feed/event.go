// Package feed speaks with the platform's coordinator: numbered changes to the list of servers, each taken once and in
// order, over a connection that may break, fall silent, double events or stop within one.
package feed

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"

	"rainhaven/choice"
)

// Event is one change to the list, as the coordinator writes it.
type Event struct {
	Index     int64
	Endpoints struct {
		Reset     bool
		Instances []Instance
	}
}

// Instance is one server's entry.
type Instance struct {
	ID          string `json:"instanceId"`
	Addr        string `json:"hostPort"`
	Zone        string `json:"zone"`
	Kind        string `json:"machineType"`
	Cell        int    `json:"cell"`
	State       string `json:"lifecycle"`
	Weight      float64
	StartedAtMs float64 `json:"startedAtMs"`
}

var lifecycles = map[string]choice.Lifecycle{"up": choice.Ready, "draining": choice.Draining, "removed": choice.Gone}

// Names are those of zones and kinds of machine, by number.
type Names struct{ Zones, Kinds []string }

// ToListing puts an entry into the module's words; the id is the caller's. A zone or kind that is not among the names
// counts as the first.
func (n Names) ToListing(id choice.ServerID, i Instance) (choice.Listing, error) {
	st, ok := lifecycles[i.State]
	if !ok || i.Cell < 0 {
		return choice.Listing{}, fmt.Errorf("server %.40q: state %.20q, cell %d", i.ID, i.State, i.Cell)
	}
	return choice.Listing{ID: id, Zone: max(slices.Index(n.Zones, i.Zone), 0), Kind: max(slices.Index(n.Kinds, i.Kind), 0),
		Cell: i.Cell, State: st, Weight: i.Weight, StartedAt: i.StartedAtMs / 1000}, nil
}

// AssignID makes the module's number of a server's id, alike at all fronts; taken tells whether it has one already.
func AssignID(id string, inUse func(choice.ServerID) bool) choice.ServerID {
	h := fnv.New32a()
	h.Write([]byte(id))
	number := choice.ServerID(h.Sum32())
	for inUse(number) {
		number++
	}
	return number
}

// parseLine reads one parseLine of the coordinator's: an event, or the last number alone.
func parseLine(b []byte) (e Event, last int64, err error) {
	if len(b) > 0 && b[0] != '{' {
		err = json.Unmarshal(b, &last)
		return e, last, err
	}
	if err = json.Unmarshal(b, &e); err == nil && e.Index <= 0 {
		err = fmt.Errorf("an event without a number")
	}
	return e, 0, err
}
