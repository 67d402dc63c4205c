package node

import (
	"fmt"

	"rainhaven/choice/lifecycle"
)

// lifecycleActions carries out what the lifecycle state machine decides.
type lifecycleActions struct{ n *Node }

// Reload reads the configuration file. If it names another coordinator, that one is followed from the last event on.
func (o lifecycleActions) Reload() {
	n := o.n
	s, err := n.reloadConfig()
	if err == nil && s.Coordinator == "" {
		err = fmt.Errorf("no coordinator is configured")
	}
	if err != nil {
		n.log.Warn("the configuration file can't be used; the old one stays in force", str("why", err.Error()))
		n.lifecycle.Reloaded(err.Error())
		return
	}
	n.log.Info("configuration file reloaded", str("coordinator", s.Coordinator))
	if s.Coordinator != n.config.Coordinator { // a new connection to the same one would bring nothing, and the platform charges for it
		n.config.Coordinator = s.Coordinator
		n.followCoordinator(s.Coordinator)
	}
	n.lifecycle.Reloaded("")
}

// Drain has probes of this node fail; requests are still accepted.
func (o lifecycleActions) Drain() { o.n.ready = false }

// EndSessions reports at once that sessions have ended; shutDown answers the open requests.
func (o lifecycleActions) EndSessions() { o.n.lifecycle.SessionsEnded() }

func (o lifecycleActions) Exit(code lifecycle.ExitCode, reason string) {
	o.n.exiting = true
	o.n.log.Info("exit", num("code", int(code)), str("why", reason))
}
