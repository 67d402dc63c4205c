//go:build trials

package node

import (
	"os"
	"time"

	"rainhaven/choice"
	"rainhaven/choice/carrier"
	"rainhaven/internal/invariant"
	"rainhaven/internal/node/start"
)

const (
	// sabotageEvery: a sabotage of single requests affects one in so many session ids.
	sabotageEvery = 10
	// sabotagedStartDelay is the delay of a sabotaged start.
	sabotagedStartDelay = 40 * time.Second
	// sendAfterCancelSeconds is how long after a client has left a sabotaged node sends its SETUP.
	sendAfterCancelSeconds = 0.3
	// shortWaitSeconds is the timeout of a sabotaged SETUP, so short that most are retried.
	shortWaitSeconds = 0.005
	// extraDeadlineSeconds is added to the deadlines that a sabotaged node sends to servers.
	extraDeadlineSeconds = 1.0
	// listDelaySeconds is how late a sabotaged node applies events of the coordinator.
	listDelaySeconds = 7.0
	// extraDescriptors is how many descriptors a sabotaged node holds beyond its limit.
	extraDescriptors = 20
)

// heldFiles keeps the extra descriptors of a sabotaged process open until its exit.
var heldFiles []*os.File

// Trials alters a node's behaviour in trials.
type Trials struct {
	// WallOffset is added to the wall clock that the node reads at its start.
	WallOffset time.Duration
	// Sabotage makes the node break a rule.
	Sabotage Sabotage
}

func (t Trials) wallOffset() time.Duration { return t.WallOffset }

// alterConfig applies a sabotage to the configuration, or to the start itself.
func (t Trials) alterConfig(config *start.Config) {
	s := t.Sabotage
	switch s {
	case SabotageSlowStart:
		config.Choice.WarmUp = 0
	case SabotageBudget:
		config.Choice.RetryWindow = 0
	case SabotageReady:
		time.Sleep(sabotagedStartDelay)
	case SabotageDescriptors:
		for range config.MaxDescriptors + extraDescriptors {
			if file, err := os.Open(os.DevNull); err == nil {
				heldFiles = append(heldFiles, file)
			}
		}
	}
	for i := range config.Choice.Groups {
		switch s {
		case SabotageFloor:
			config.Choice.Groups[i].Floor, config.Choice.Groups[i].Top = 0, 0
		case SabotageSeats:
			config.Choice.Groups[i].Seats = 0
		case SabotageRefusal:
			config.Choice.Groups[i].Paid = false
		}
	}
}

// sabotages reports whether a sabotage is in force for a session.
func (n *Node) sabotages(s Sabotage, id string) bool {
	return n.trials.Sabotage == s && int(id[len(id)-1])%sabotageEvery == 0
}

// afterListDelay calls do after the delay of a sabotaged list, or else at once.
func (n *Node) afterListDelay(do func()) {
	if n.trials.Sabotage == SabotageList {
		n.after(listDelaySeconds, do)
		return
	}
	do()
}

// reportFalseViolation logs a violation that has not happened, for a sabotaged request.
func (n *Node) reportFalseViolation(id string) {
	if n.sabotages(SabotageGuard, id) {
		n.logViolation(invariant.Violation{Reason: invariant.AnswerMissing, Request: id, Detail: "sabotaged"})
	}
}

// alterListing applies a sabotage to an entry of the list.
func (t Trials) alterListing(entry choice.Listing) choice.Listing {
	if t.Sabotage == SabotageDrain && entry.State == choice.Draining {
		entry.State = choice.Ready
	}
	return entry
}

// alterWait applies a sabotage to the timeout of a SETUP.
func (t Trials) alterWait(seconds float64) float64 {
	if t.Sabotage == SabotageBudget {
		return min(seconds, shortWaitSeconds)
	}
	return seconds
}

// alterDeadline applies a sabotage to the deadline that is sent to a server.
func (t Trials) alterDeadline(seconds float64) float64 {
	if t.Sabotage == SabotageDeadline {
		seconds += extraDeadlineSeconds
	}
	return seconds
}

// ignoresTermination reports whether termination signals are ignored.
func (t Trials) ignoresTermination() bool { return t.Sabotage == SabotageExit }

// closesWithoutReader reports whether idle connections are closed without waiting for their readers.
func (t Trials) closesWithoutReader() bool { return t.Sabotage == SabotageClose }

// avoidsCarrier reports whether a connection in this relation carries no releases.
func (t Trials) avoidsCarrier(relation carrier.Relation) bool {
	return t.Sabotage == SabotageCarrier && !relation.Confirmed()
}

// leavesSessions reports whether sessions that their clients ended are left to their servers.
func (t Trials) leavesSessions() bool { return t.Sabotage == SabotageCut }

// duplicateSetup sends a sabotaged SETUP to a second server as well.
func (n *Node) duplicateSetup(s *session) {
	paid := n.config.Choice.Groups[s.group].Paid
	sabotage := n.trials.Sabotage
	if sabotage == SabotageRepeat && !paid || sabotage == SabotageOverlap && paid || sabotage != SabotageRepeat && sabotage != SabotageOverlap {
		return
	}
	for _, sv := range n.servers {
		if sv != s.server && sv.state == choice.Ready {
			for _, sc := range sv.conns {
				if sc.up {
					sc.send(setupMessage(s, s.setupDeadline-n.now))
					return
				}
			}
		}
	}
}

// sendAfterCancel sends a sabotaged SETUP after its client has left.
func (n *Node) sendAfterCancel(s *session, sv *server) {
	if n.trials.Sabotage != SabotageCancel || sv == nil {
		return
	}
	n.after(sendAfterCancelSeconds, func() { n.trySendToServer(sv, sessionMessage{id: s.id, data: setupMessage(s, 1)}) })
}
