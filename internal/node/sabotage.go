package node

import (
	"fmt"
	"slices"
	"strings"
)

// Sabotage names a rule that a node is made to break, to see that whoever judges it from its traffic notices. Only a program built
// with the tag trials breaks any.
type Sabotage string

// The sabotages, one or more for each rule.
const (
	SabotageAnswer    Sabotage = "answer"    // some requests get no final answer
	SabotageTwice     Sabotage = "twice"     // some get two
	SabotageRefusal   Sabotage = "refusal"   // requests that may have run are refused as harmless to repeat
	SabotageRepeat    Sabotage = "repeat"    // requests that may not be repeated go to a second server
	SabotageOverlap   Sabotage = "overlap"   // the others go to two servers at once
	SabotageDrain     Sabotage = "drain"     // draining servers get new requests
	SabotageSlowStart Sabotage = "slowstart" // started servers get requests as warm ones do
	SabotageFloor     Sabotage = "floor"     // sessions play below their class's floor
	SabotageSeats     Sabotage = "seats"     // more sessions of a title than its seats
	SabotageBudget    Sabotage = "budget"    // attempts without a budget
	SabotageCancel    Sabotage = "cancel"    // attempts after the client has gone
	SabotageDeadline  Sabotage = "deadline"  // servers are told longer deadlines than clients have
	SabotageReady     Sabotage = "ready"     // a start takes far too long
	SabotageExit      Sabotage = "exit"      // SIGTERM is not heeded

	SabotageRelease     Sabotage = "release"     // some clients are not told of their sessions' ends
	SabotageList        Sabotage = "list"        // what the coordinator tells is taken seconds late
	SabotageDescriptors Sabotage = "descriptors" // more descriptors are held than the configuration allows
	SabotageGuard       Sabotage = "guard"       // the node's own guard complains
	SabotageClose       Sabotage = "close"       // connections unused for long are closed without hearing from their readers
)

// Sabotages are all of them.
var Sabotages = []Sabotage{SabotageAnswer, SabotageTwice, SabotageRefusal, SabotageRepeat, SabotageOverlap, SabotageDrain, SabotageSlowStart,
	SabotageFloor, SabotageSeats, SabotageBudget, SabotageCancel, SabotageDeadline, SabotageReady, SabotageExit,
	SabotageRelease, SabotageList, SabotageDescriptors, SabotageGuard, SabotageClose}

// ParseSabotage reads a sabotage's name; an empty one is none.
func ParseSabotage(name string) (Sabotage, error) {
	if name == "" || slices.Contains(Sabotages, Sabotage(name)) {
		return Sabotage(name), nil
	}
	var names []string
	for _, s := range Sabotages {
		names = append(names, string(s))
	}
	return "", fmt.Errorf("there is no sabotage %q; %s would be right", name, strings.Join(names, ", "))
}
