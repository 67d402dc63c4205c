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
	s, err := n.reread()
	if err == nil && s.Coordinator == "" {
		err = fmt.Errorf("no coordinator")
	}
	if err != nil {
		n.log.Warn("the configuration file can't be used; the old one stays in force", str("why", err.Error()))
		n.life.Reloaded(err.Error())
		return
	}
	n.log.Info("read the configuration file again", str("coordinator", s.Coordinator))
	if s.Coordinator != n.start.Coordinator { // asking the same one anew would tell nothing, and is priced
		n.start.Coordinator = s.Coordinator
		n.followCoordinator(s.Coordinator)
	}
	n.life.Reloaded("")
}

// Drain has tests fail; requests are still taken.
func (o lifecycleActions) Drain() { o.n.ready = false }

// EndSessions ends it; finish answers what is open.
func (o lifecycleActions) EndSessions() { o.n.life.SessionsEnded() }

func (o lifecycleActions) Exit(code lifecycle.ExitCode, reason string) {
	o.n.over = true
	o.n.log.Info("exit", num("code", int(code)), str("why", reason))
}
