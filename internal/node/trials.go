//go:build trials

package node

import (
	"os"
	"time"

	"rainhaven/choice"
	"rainhaven/internal/invariant"
	"rainhaven/internal/node/start"
)

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

// Trials is how a node departs from the usual in trials.
type Trials struct {
	// WallOffset is how far the wall clock that the node starts by is off.
	WallOffset time.Duration
	// Sabotage has the node break a rule.
	Sabotage Sabotage
}

func (t Trials) wallOffset() time.Duration { return t.WallOffset }

// prepare spoils what a node starts with.
func (t Trials) prepare(f *start.Start) {
	s := t.Sabotage
	switch s {
	case SabotageSlowStart:
		f.Config.WarmUp = 0
	case SabotageBudget:
		f.Config.RetryWindow = 0
	case SabotageReady:
		time.Sleep(startDelay)
	case SabotageDescriptors:
		for range f.MaxDescriptors + extraDescriptors {
			if file, err := os.Open(os.DevNull); err == nil {
				held = append(held, file)
			}
		}
	}
	for i := range f.Config.Groups {
		switch s {
		case SabotageFloor:
			f.Config.Groups[i].Floor, f.Config.Groups[i].Top = 0, 0
		case SabotageSeats:
			f.Config.Groups[i].Seats = 0
		case SabotageRefusal:
			f.Config.Groups[i].Paid = false
		}
	}
}

// spoils tells whether this sabotage is in force for a session.
func (n *Node) spoils(s Sabotage, id string) bool {
	return n.trials.Sabotage == s && int(id[len(id)-1])%sabotaged == 0
}

// whenTaken does something as late as a sabotaged list is taken, or at once.
func (n *Node) whenTaken(do func()) {
	if n.trials.Sabotage == SabotageList {
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
func (t Trials) entry(l choice.Listing) choice.Listing {
	if t.Sabotage == SabotageDrain && l.State == choice.Draining {
		l.State = choice.Ready
	}
	return l
}

// wait spoils how long an attempt is waited for.
func (t Trials) wait(seconds float64) float64 {
	if t.Sabotage == SabotageBudget {
		return min(seconds, shortWait)
	}
	return seconds
}

// told spoils the deadline that a server is told.
func (t Trials) told(seconds float64) float64 {
	if t.Sabotage == SabotageDeadline {
		seconds += longerDeadline
	}
	return seconds
}

// deaf tells whether signals to end are not heeded.
func (t Trials) deaf() bool { return t.Sabotage == SabotageExit }

// hasty tells whether connections are closed without hearing from their readers.
func (t Trials) hasty() bool { return t.Sabotage == SabotageClose }

// copyElsewhere sends a SETUP to a second server as well.
func (n *Node) copyElsewhere(s *session) {
	paid := n.start.Config.Groups[s.group].Paid
	sabotage := n.trials.Sabotage
	if sabotage == SabotageRepeat && !paid || sabotage == SabotageOverlap && paid || sabotage != SabotageRepeat && sabotage != SabotageOverlap {
		return
	}
	for _, sv := range n.servers {
		if sv != s.server && sv.state == choice.Ready {
			for _, l := range sv.conns {
				if l.up {
					l.send(setupMessage(s, s.until-n.now))
					return
				}
			}
		}
	}
}

// sendLater sends a SETUP whose client has gone.
func (n *Node) sendLater(s *session, sv *server) {
	if n.trials.Sabotage != SabotageCancel || sv == nil {
		return
	}
	n.after(afterCancel, func() { n.say(sv, setupMessage(s, 1)) })
}
