// Package health decides what a front says of itself to those who watch it: live, ready, degraded, and why. It does no
// I/O.
package health

import (
	"fmt"
	"strings"
)

// Facts are what is looked at.
type Facts struct {
	State         string // of the process, as choice/lifecycle names it
	Serving       bool   // it is the one state in which new viewers are wanted
	Answers       bool   // the front's loop answered within its time
	Boxes, Usable int    // listed, and those of them that may get new sessions
	Sessions      int
	Most          int     // sessions it may hold
	Refused       string  // why the last reload was not taken; empty where it was
	Unsaved       float64 // seconds since the stored state was last written; below 0 where none is kept
	Broken        string  // why stored state is not written; empty where it is
}

// Word is what is said. A load balancer sends viewers where Ready is; a supervisor starts anew what is not Live.
type Word struct {
	Live     bool     `json:"Live"`
	Ready    bool     `json:"Ready"`
	Degraded []string `json:"Degraded"` // what works less well than it should, though viewers are served
	Why      string   `json:"Why"`      // it is not ready
}

const (
	// Past this share of its sessions a front is nearly full: some seconds are left to send viewers elsewhere.
	nearlyFull = 0.9
	// Stored state is written every quarter second; ten seconds without mean that writing fails or stands still.
	unsavedLong = 10.0
)

// Judge makes a word of facts. A loop that does not answer is not live: nothing in the process can answer a viewer then.
// While it drains a front is live and not ready, so that a load balancer takes it out before its sockets close.
func Judge(f Facts) (w Word) {
	w.Live = f.Answers
	w.Ready = f.Answers && f.Serving && f.Usable > 0 && (f.Most == 0 || f.Sessions < f.Most)
	var why []string
	if !f.Answers {
		why = append(why, "the loop does not answer")
	}
	if !f.Serving {
		why = append(why, f.State)
	}
	if f.Usable == 0 {
		why = append(why, fmt.Sprintf("none of %d boxes may get sessions", f.Boxes))
	}
	if f.Most > 0 && f.Sessions >= f.Most {
		why = append(why, fmt.Sprintf("all of %d sessions taken", f.Most))
	}
	w.Why = strings.Join(why, "; ")
	if f.Most > 0 && float64(f.Sessions) >= nearlyFull*float64(f.Most) && f.Sessions < f.Most {
		w.Degraded = append(w.Degraded, fmt.Sprintf("%d of %d sessions taken", f.Sessions, f.Most))
	}
	if f.Usable > 0 && 2*f.Usable < f.Boxes {
		w.Degraded = append(w.Degraded, fmt.Sprintf("%d of %d boxes may get sessions", f.Usable, f.Boxes))
	}
	if f.Refused != "" {
		w.Degraded = append(w.Degraded, "the last reload was refused: "+f.Refused)
	}
	if f.Broken != "" {
		w.Degraded = append(w.Degraded, "state is not kept: "+f.Broken)
	} else if f.Unsaved > unsavedLong {
		w.Degraded = append(w.Degraded, fmt.Sprintf("state was last kept %.0f s ago", f.Unsaved))
	}
	return w
}
