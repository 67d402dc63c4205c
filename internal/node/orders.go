package node

import (
	"fmt"

	"rainhaven/choice/lifecycle"
)

// lifecycleActions carries out the decisions of the lifecycle state machine.
type lifecycleActions struct{ n *Node }

// Reload reads the configuration file. If it names another coordinator, that one is followed from the last event on.
func (a lifecycleActions) Reload() {
	n := a.n
	config, err := n.reloadConfig()
	if err == nil && config.Coordinator == "" {
		err = fmt.Errorf("no coordinator is configured")
	}
	if err != nil {
		n.log.Warn("the configuration file can't be used; the old one stays in force", str("why", err.Error()))
		n.lifecycle.Reloaded(err.Error())
		return
	}
	n.log.Info("configuration file reloaded", str("coordinator", config.Coordinator))
	if config.Coordinator != n.config.Coordinator { // a new connection to the same one would bring nothing, and the platform charges for it
		n.config.Coordinator = config.Coordinator
		n.followCoordinator(config.Coordinator)
	}
	n.lifecycle.Reloaded("")
}

// Drain has probes of this node fail; requests are still accepted.
func (a lifecycleActions) Drain() { a.n.ready = false }

// EndSessions reports at once that sessions have ended; shutDown answers the open requests.
func (a lifecycleActions) EndSessions() { a.n.lifecycle.SessionsEnded() }

func (a lifecycleActions) Exit(code lifecycle.ExitCode, reason string) {
	a.n.exiting = true
	a.n.log.Info("exit", num("code", int(code)), str("why", reason))
}
