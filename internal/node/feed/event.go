// Package feed follows the platform's coordinator, which publishes numbered changes to the list of servers. Each
// change is handled once and in order, although connections may break, fall silent, repeat events or end within one.
package feed

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"

	"rainhaven/choice"
)

// Event is one change to the list, as the coordinator encodes it.
type Event struct {
	Index     int64
	Endpoints struct {
		Reset     bool
		Instances []Instance
	}
}

// Instance is the entry of one server.
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

// lifecycles maps the coordinator's lifecycle names to the states of package choice.
var lifecycles = map[string]choice.Lifecycle{"up": choice.Ready, "draining": choice.Draining, "removed": choice.Gone}

// Names lists the names of zones and machine types; their indexes are the numbers that package choice uses.
type Names struct{ Zones, Kinds []string }

// ToListing converts an entry to a choice.Listing with the given id. A zone or machine type that is not listed counts
// as the first one.
func (n Names) ToListing(id choice.ServerID, i Instance) (choice.Listing, error) {
	st, ok := lifecycles[i.State]
	if !ok || i.Cell < 0 {
		return choice.Listing{}, fmt.Errorf("server %.40q has lifecycle %.20q and cell %d", i.ID, i.State, i.Cell)
	}
	return choice.Listing{ID: id, Zone: max(slices.Index(n.Zones, i.Zone), 0), Kind: max(slices.Index(n.Kinds, i.Kind), 0),
		Cell: i.Cell, State: st, Weight: i.Weight, StartedAt: i.StartedAtMs / 1000}, nil
}

// AssignID derives the numeric id of a server from its name, the same at all fronts. If inUse reports that a number is
// already assigned, the next free one is returned.
func AssignID(id string, inUse func(choice.ServerID) bool) choice.ServerID {
	h := fnv.New32a()
	h.Write([]byte(id))
	number := choice.ServerID(h.Sum32())
	for inUse(number) {
		number++
	}
	return number
}

// parseLine parses one line from the coordinator: an event, or only the number of the latest event.
func parseLine(b []byte) (e Event, last int64, err error) {
	if len(b) > 0 && b[0] != '{' {
		err = json.Unmarshal(b, &last)
		return e, last, err
	}
	if err = json.Unmarshal(b, &e); err == nil && e.Index <= 0 {
		err = fmt.Errorf("event has no index")
	}
	return e, 0, err
}
