package node

import (
	"fmt"

	"rainhaven/choice/lifecycle"
)

// lifecycleActions carries out what the life cycle decides.
type lifecycleActions struct{ n *Node }

// Reload reads the configuration file; a coordinator that it names anew is followed from where the last one was.
func (o lifecycleActions) Reload() {
	n := o.n
	s, err := n.reloadConfig()
	if err == nil && s.Coordinator == "" {
		err = fmt.Errorf("no coordinator")
	}
	if err != nil {
		n.log.Warn("the configuration file can't be used; the old one stays in force", str("why", err.Error()))
		n.lifecycle.Reloaded(err.Error())
		return
	}
	n.log.Info("read the configuration file again", str("coordinator", s.Coordinator))
	if s.Coordinator != n.config.Coordinator { // asking the same one anew would tell nothing, and is priced
		n.config.Coordinator = s.Coordinator
		n.followCoordinator(s.Coordinator)
	}
	n.lifecycle.Reloaded("")
}

// Drain has tests fail; requests are still taken.
func (o lifecycleActions) Drain() { o.n.ready = false }

// EndSessions ends it; finish answers what is open.
func (o lifecycleActions) EndSessions() { o.n.lifecycle.SessionsEnded() }

func (o lifecycleActions) Exit(code lifecycle.ExitCode, why string) {
	o.n.exiting = true
	o.n.log.Info("exit", num("code", int(code)), str("why", why))
}
