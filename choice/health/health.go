// Package health derives a front's health status (live, ready, degraded, with reasons) from the facts about it. It does no
// I/O.
package health

import (
	"fmt"
	"strings"
)

// Facts are what the status is derived from.
type Facts struct {
	State          string // state of the process, by its name in choice/lifecycle
	Serving        bool   // whether new viewers are accepted in this state
	LoopResponsive bool   // the front's event loop answered in time
	Boxes, Usable  int    // boxes in the list, and those that may get new sessions
	Sessions       int
	MaxSessions    int     // limit on sessions, 0 for none
	ReloadError    string  // why the last reload was refused; empty if it succeeded
	StateAge       float64 // seconds since state was last saved; negative if no state is kept
	StateError     string  // why state can't be saved; empty if it can
}

// Status is the health status. Load balancers send viewers to fronts that are Ready; the supervisor restarts a front that is
// not Live. Its JSON names are part of the admin interface.
type Status struct {
	Live     bool     `json:"Live"`
	Ready    bool     `json:"Ready"`
	Degraded []string `json:"Degraded"` // what is impaired although viewers are served
	Reason   string   `json:"Why"`      // why it is not ready; empty if it is
}

const (
	// nearlyFullShare is the share of its sessions from which a front is reported as nearly full: some seconds remain to send
	// viewers elsewhere.
	nearlyFullShare = 0.9
	// State is saved every second; ten seconds without mean that writing fails or hangs.
	maxStateAgeSeconds = 10.0
)

// Evaluate derives the status from the facts. A front whose event loop does not answer is not live: nothing else in the
// process could serve a viewer. A draining front is live but not ready, so that load balancers remove it before its sockets
// close.
func Evaluate(f Facts) (s Status) {
	s.Live = f.LoopResponsive
	s.Ready = f.LoopResponsive && f.Serving && f.Usable > 0 && (f.MaxSessions == 0 || f.Sessions < f.MaxSessions)
	var reasons []string
	if !f.LoopResponsive {
		reasons = append(reasons, "the loop does not answer")
	}
	if !f.Serving {
		reasons = append(reasons, f.State)
	}
	if f.Usable == 0 {
		reasons = append(reasons, fmt.Sprintf("none of %d boxes may get sessions", f.Boxes))
	}
	if f.MaxSessions > 0 && f.Sessions >= f.MaxSessions {
		reasons = append(reasons, fmt.Sprintf("all of %d sessions taken", f.MaxSessions))
	}
	s.Reason = strings.Join(reasons, "; ")
	if f.MaxSessions > 0 && float64(f.Sessions) >= nearlyFullShare*float64(f.MaxSessions) && f.Sessions < f.MaxSessions {
		s.Degraded = append(s.Degraded, fmt.Sprintf("%d of %d sessions taken", f.Sessions, f.MaxSessions))
	}
	if f.Usable > 0 && 2*f.Usable < f.Boxes {
		s.Degraded = append(s.Degraded, fmt.Sprintf("%d of %d boxes may get sessions", f.Usable, f.Boxes))
	}
	if f.ReloadError != "" {
		s.Degraded = append(s.Degraded, "the last reload was refused: "+f.ReloadError)
	}
	if f.StateError != "" {
		s.Degraded = append(s.Degraded, "state is not kept: "+f.StateError)
	} else if f.StateAge > maxStateAgeSeconds {
		s.Degraded = append(s.Degraded, fmt.Sprintf("state was last kept %.0f s ago", f.StateAge))
	}
	return s
}
