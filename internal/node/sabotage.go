package node

import (
	"fmt"
	"slices"
	"strings"
)

// Sabotage makes a node break one rule on purpose, to test that the checks of its traffic detect it. It has an effect only in
// programs built with the tag trials.
type Sabotage string

// The sabotages: at least one for each rule.
const (
	SabotageAnswer    Sabotage = "answer"    // some requests get no final answer
	SabotageTwice     Sabotage = "twice"     // some requests get two final answers
	SabotageRefusal   Sabotage = "refusal"   // requests that may have had an effect are refused as safe to repeat
	SabotageRepeat    Sabotage = "repeat"    // requests that must not be repeated go to a second server
	SabotageOverlap   Sabotage = "overlap"   // repeatable requests go to two servers at once
	SabotageDrain     Sabotage = "drain"     // draining servers get new requests
	SabotageSlowStart Sabotage = "slowstart" // cold servers get as many requests as warm ones
	SabotageFloor     Sabotage = "floor"     // sessions play below the floor of their class
	SabotageSeats     Sabotage = "seats"     // a title gets more sessions than it has seats
	SabotageBudget    Sabotage = "budget"    // retries exceed the retry budget
	SabotageCancel    Sabotage = "cancel"    // SETUPs are sent after the client has left
	SabotageDeadline  Sabotage = "deadline"  // servers get longer deadlines than the clients have
	SabotageReady     Sabotage = "ready"     // the start takes far too long
	SabotageExit      Sabotage = "exit"      // SIGTERM is ignored

	SabotageRelease     Sabotage = "release"     // some clients are not notified that their sessions ended
	SabotageCarrier     Sabotage = "carrier"     // sessions' ends are reported only on connections on which a session was established
	SabotageCut         Sabotage = "cut"         // sessions that their clients ended are not torn down at their servers
	SabotageList        Sabotage = "list"        // events of the coordinator are applied seconds late
	SabotageDescriptors Sabotage = "descriptors" // the process holds more descriptors than the configuration allows
	SabotageGuard       Sabotage = "guard"       // the node's own guard reports a false violation
	SabotageClose       Sabotage = "close"       // idle connections are closed without waiting for their readers
)

// Sabotages lists all sabotages.
var Sabotages = []Sabotage{SabotageAnswer, SabotageTwice, SabotageRefusal, SabotageRepeat, SabotageOverlap, SabotageDrain, SabotageSlowStart,
	SabotageFloor, SabotageSeats, SabotageBudget, SabotageCancel, SabotageDeadline, SabotageReady, SabotageExit,
	SabotageRelease, SabotageCarrier, SabotageCut, SabotageList, SabotageDescriptors, SabotageGuard, SabotageClose}

// ParseSabotage parses the name of a sabotage; the empty name is no sabotage.
func ParseSabotage(name string) (Sabotage, error) {
	if name == "" || slices.Contains(Sabotages, Sabotage(name)) {
		return Sabotage(name), nil
	}
	var names []string
	for _, s := range Sabotages {
		names = append(names, string(s))
	}
	return "", fmt.Errorf("unknown sabotage %q; expected one of %s", name, strings.Join(names, ", "))
}
