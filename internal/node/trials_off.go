//go:build !trials

package node

import (
	"time"

	"rainhaven/choice"
	"rainhaven/internal/node/start"
)

// Trials is how a node departs from the usual in trials: not at all, as this program was built without them.
type Trials struct{}

func (Trials) wallOffset() time.Duration             { return 0 }
func (Trials) prepare(*start.Start)                  {}
func (Trials) entry(l choice.Listing) choice.Listing { return l }
func (Trials) wait(seconds float64) float64          { return seconds }
func (Trials) told(seconds float64) float64          { return seconds }
func (Trials) deaf() bool                            { return false }
func (Trials) hasty() bool                           { return false }
func (n *Node) spoils(Sabotage, string) bool         { return false }
func (n *Node) whenTaken(do func())                  { do() }
func (n *Node) complain(string)                      {}
func (n *Node) copyElsewhere(*session)               {}
func (n *Node) sendLater(*session, *server)          {}
