package node

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"rainhaven/choice"
	"rainhaven/internal/invariant"
	"rainhaven/internal/node/start"
)

// Sabotage names a rule that a node is made to break, to see that whoever judges it from its traffic notices.
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

const (
	// sabotaged is one of how many requests a sabotage of single requests spoils.
	sabotaged = 10
	// startDelay is how long a sabotaged start takes.
	startDelay = 40 * time.Second
	// afterCancel is how long after a client has gone a sabotaged attempt begins, in seconds.
	afterCancel = 0.3
	// shortWait is how long a sabotaged attempt is waited for, in seconds: most are then repeated.
	shortWait = 0.005
	// longerDeadline is what is added to the deadlines that servers are told, in seconds.
	longerDeadline = 1.0
	// listDelay is how late a sabotaged node takes what the coordinator tells, in seconds.
	listDelay = 7.0
	// extraDescriptors is how many descriptors a sabotaged node holds beyond its limit.
	extraDescriptors = 20
)

// held are the descriptors that a sabotaged process holds to its end.
var held []*os.File

// prepare spoils what a node starts with.
func (s Sabotage) prepare(f *start.Start) {
	switch s {
	case SabotageSlowStart:
		f.Figures.WarmUp = 0
	case SabotageBudget:
		f.Figures.SetupWindow = 0
	case SabotageReady:
		time.Sleep(startDelay)
	case SabotageDescriptors:
		for range f.Sockets + extraDescriptors {
			if file, err := os.Open(os.DevNull); err == nil {
				held = append(held, file)
			}
		}
	}
	for i := range f.Figures.Groups {
		switch s {
		case SabotageFloor:
			f.Figures.Groups[i].Floor, f.Figures.Groups[i].Top = 0, 0
		case SabotageSeats:
			f.Figures.Groups[i].Seats = 0
		case SabotageRefusal:
			f.Figures.Groups[i].Paid = false
		}
	}
}

// spoils tells whether this sabotage is in force for a session.
func (n *Node) spoils(s Sabotage, id string) bool {
	return n.sabotage == s && int(id[len(id)-1])%sabotaged == 0
}

// whenTaken does something as late as a sabotaged list is taken, or at once.
func (n *Node) whenTaken(do func()) {
	if n.sabotage == SabotageList {
		n.after(listDelay, do)
		return
	}
	do()
}

// complain has the guard report something for a request.
func (n *Node) complain(id string) {
	if n.spoils(SabotageGuard, id) {
		n.violated(invariant.Violation{Reason: invariant.AnswerMissing, Request: id, Detail: "sabotaged"})
	}
}

// entry spoils an entry of the list.
func (s Sabotage) entry(l choice.Listing) choice.Listing {
	if s == SabotageDrain && l.State == choice.Draining {
		l.State = choice.Ready
	}
	return l
}

// wait spoils how long an attempt is waited for.
func (s Sabotage) wait(seconds float64) float64 {
	if s == SabotageBudget {
		return min(seconds, shortWait)
	}
	return seconds
}

// copyElsewhere sends a SETUP to a second server as well.
func (n *Node) copyElsewhere(s *session) {
	paid := n.start.Figures.Groups[s.group].Paid
	if n.sabotage == SabotageRepeat && !paid || n.sabotage == SabotageOverlap && paid || n.sabotage != SabotageRepeat && n.sabotage != SabotageOverlap {
		return
	}
	for _, sv := range n.servers {
		if sv != s.server && sv.state == choice.Ready {
			for _, l := range sv.conns {
				if l.up {
					l.send(setup(s, s.until-n.now))
					return
				}
			}
		}
	}
}

// sendLater sends a SETUP whose client has gone.
func (n *Node) sendLater(s *session, sv *server) {
	if n.sabotage != SabotageCancel || sv == nil {
		return
	}
	n.after(afterCancel, func() { n.say(sv, setup(s, 1)) })
}
