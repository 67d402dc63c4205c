//go:build !trials

package node

import (
	"time"

	"rainhaven/choice"
	"rainhaven/choice/carrier"
	"rainhaven/internal/node/start"
)

// Trials has no effect in programs built without the tag trials.
type Trials struct{}

func (Trials) wallOffset() time.Duration                    { return 0 }
func (Trials) alterConfig(*start.Config)                    {}
func (Trials) alterListing(l choice.Listing) choice.Listing { return l }
func (Trials) alterWait(seconds float64) float64            { return seconds }
func (Trials) alterDeadline(seconds float64) float64        { return seconds }
func (Trials) ignoresTermination() bool                     { return false }
func (Trials) closesWithoutReader() bool                    { return false }
func (Trials) avoidsCarrier(carrier.Relation) bool          { return false }
func (Trials) leavesSessions() bool                         { return false }
func (n *Node) sabotages(Sabotage, string) bool             { return false }
func (n *Node) afterListDelay(do func())                    { do() }
func (n *Node) reportFalseViolation(string)                 {}
func (n *Node) duplicateSetup(*session)                     {}
func (n *Node) sendAfterCancel(*session, *server)           {}
