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
	// sabotageEvery is one of how many requests a sabotage of single requests spoils.
	sabotageEvery = 10
	// sabotagedStartDelay is how long a sabotaged start takes.
	sabotagedStartDelay = 40 * time.Second
	// sendAfterCancelSeconds is how long after a client has gone a sabotaged attempt begins, in seconds.
	sendAfterCancelSeconds = 0.3
	// shortWaitSeconds is how long a sabotaged attempt is waited for, in seconds: most are then repeated.
	shortWaitSeconds = 0.005
	// extraDeadlineSeconds is what is added to the deadlines that servers are told, in seconds.
	extraDeadlineSeconds = 1.0
	// listDelaySeconds is how late a sabotaged node takes what the coordinator tells, in seconds.
	listDelaySeconds = 7.0
	// extraDescriptors is how many descriptors a sabotaged node holds beyond its limit.
	extraDescriptors = 20
)

// heldFiles are the descriptors that a sabotaged process holds to its end.
var heldFiles []*os.File

// Trials is how a node departs from the usual in trials.
type Trials struct {
	// WallOffset is how far the wall clock that the node starts by is off.
	WallOffset time.Duration
	// Sabotage has the node break a rule.
	Sabotage Sabotage
}

func (t Trials) wallOffset() time.Duration { return t.WallOffset }

// alterConfig spoils what a node starts with.
func (t Trials) alterConfig(f *start.Start) {
	s := t.Sabotage
	switch s {
	case SabotageSlowStart:
		f.Config.WarmUp = 0
	case SabotageBudget:
		f.Config.RetryWindow = 0
	case SabotageReady:
		time.Sleep(sabotagedStartDelay)
	case SabotageDescriptors:
		for range f.MaxDescriptors + extraDescriptors {
			if file, err := os.Open(os.DevNull); err == nil {
				heldFiles = append(heldFiles, file)
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

// sabotages tells whether this sabotage is in force for a session.
func (n *Node) sabotages(s Sabotage, id string) bool {
	return n.trials.Sabotage == s && int(id[len(id)-1])%sabotageEvery == 0
}

// afterListDelay does something as late as a sabotaged list is taken, or at once.
func (n *Node) afterListDelay(do func()) {
	if n.trials.Sabotage == SabotageList {
		n.after(listDelaySeconds, do)
		return
	}
	do()
}

// reportFalseViolation has the guard report something for a request.
func (n *Node) reportFalseViolation(id string) {
	if n.sabotages(SabotageGuard, id) {
		n.logViolation(invariant.Violation{Reason: invariant.AnswerMissing, Request: id, Detail: "sabotaged"})
	}
}

// alterListing spoils an alterListing of the list.
func (t Trials) alterListing(l choice.Listing) choice.Listing {
	if t.Sabotage == SabotageDrain && l.State == choice.Draining {
		l.State = choice.Ready
	}
	return l
}

// alterWait spoils how long an attempt is waited for.
func (t Trials) alterWait(seconds float64) float64 {
	if t.Sabotage == SabotageBudget {
		return min(seconds, shortWaitSeconds)
	}
	return seconds
}

// alterDeadline spoils the deadline that a server is alterDeadline.
func (t Trials) alterDeadline(seconds float64) float64 {
	if t.Sabotage == SabotageDeadline {
		seconds += extraDeadlineSeconds
	}
	return seconds
}

// ignoresTermination tells whether signals to end are not heeded.
func (t Trials) ignoresTermination() bool { return t.Sabotage == SabotageExit }

// closesWithoutReader tells whether connections are closed without hearing from their readers.
func (t Trials) closesWithoutReader() bool { return t.Sabotage == SabotageClose }

// duplicateSetup sends a SETUP to a second server as well.
func (n *Node) duplicateSetup(s *session) {
	paid := n.config.Config.Groups[s.group].Paid
	sabotage := n.trials.Sabotage
	if sabotage == SabotageRepeat && !paid || sabotage == SabotageOverlap && paid || sabotage != SabotageRepeat && sabotage != SabotageOverlap {
		return
	}
	for _, sv := range n.servers {
		if sv != s.server && sv.state == choice.Ready {
			for _, l := range sv.conns {
				if l.up {
					l.send(setupMessage(s, s.setupDeadline-n.now))
					return
				}
			}
		}
	}
}

// sendAfterCancel sends a SETUP whose client has gone.
func (n *Node) sendAfterCancel(s *session, sv *server) {
	if n.trials.Sabotage != SabotageCancel || sv == nil {
		return
	}
	n.after(sendAfterCancelSeconds, func() { n.trySendToServer(sv, setupMessage(s, 1)) })
}
