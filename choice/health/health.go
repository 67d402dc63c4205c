// Package health decides what a front says of itself to those who watch it: live, ready, degraded, and why. It does no
// I/O.
package health

import (
	"fmt"
	"strings"
)

// Facts are what is looked at.
type Facts struct {
	State          string // of the process, as choice/lifecycle names it
	Serving        bool   // it is the one state in which new viewers are wanted
	LoopResponsive bool   // the front's loop answered within its time
	Boxes, Usable  int    // listed, and those of them that may get new sessions
	Sessions       int
	MaxSessions    int     // sessions it may hold
	ReloadError    string  // why the last reload was not taken; empty where it was
	StateAge       float64 // seconds since the stored state was last written; below 0 where none is kept
	StateError     string  // why stored state is not written; empty where it is
}

// Status is what is said. A load balancer sends viewers where Ready is; a supervisor starts anew what is not Live.
type Status struct {
	Live     bool     `json:"Live"`
	Ready    bool     `json:"Ready"`
	Degraded []string `json:"Degraded"` // what works less well than it should, though viewers are served
	Reason   string   `json:"Why"`      // it is not ready
}

const (
	// Past this share of its sessions a front is nearly full: some seconds are left to send viewers elsewhere.
	nearlyFull = 0.9
	// Stored state is written every quarter second; ten seconds without mean that writing fails or stands still.
	unsavedLong = 10.0
)

// Evaluate makes a word of facts. A loop that does not answer is not live: nothing in the process can answer a viewer then.
// While it drains a front is live and not ready, so that a load balancer takes it out before its sockets close.
func Evaluate(f Facts) (w Status) {
	w.Live = f.LoopResponsive
	w.Ready = f.LoopResponsive && f.Serving && f.Usable > 0 && (f.MaxSessions == 0 || f.Sessions < f.MaxSessions)
	var why []string
	if !f.LoopResponsive {
		why = append(why, "the loop does not answer")
	}
	if !f.Serving {
		why = append(why, f.State)
	}
	if f.Usable == 0 {
		why = append(why, fmt.Sprintf("none of %d boxes may get sessions", f.Boxes))
	}
	if f.MaxSessions > 0 && f.Sessions >= f.MaxSessions {
		why = append(why, fmt.Sprintf("all of %d sessions taken", f.MaxSessions))
	}
	w.Reason = strings.Join(why, "; ")
	if f.MaxSessions > 0 && float64(f.Sessions) >= nearlyFull*float64(f.MaxSessions) && f.Sessions < f.MaxSessions {
		w.Degraded = append(w.Degraded, fmt.Sprintf("%d of %d sessions taken", f.Sessions, f.MaxSessions))
	}
	if f.Usable > 0 && 2*f.Usable < f.Boxes {
		w.Degraded = append(w.Degraded, fmt.Sprintf("%d of %d boxes may get sessions", f.Usable, f.Boxes))
	}
	if f.ReloadError != "" {
		w.Degraded = append(w.Degraded, "the last reload was refused: "+f.ReloadError)
	}
	if f.StateError != "" {
		w.Degraded = append(w.Degraded, "state is not kept: "+f.StateError)
	} else if f.StateAge > unsavedLong {
		w.Degraded = append(w.Degraded, fmt.Sprintf("state was last kept %.0f s ago", f.StateAge))
	}
	return w
}
