// Package describe decides where a title's description comes from: the cache, or which of its holders is asked, how often
// and for how long one is believed. It does no I/O.
//
// How it is called: Boxes with the list, Want for a viewer's DESCRIBE, Got with what a holder answered. Those who wait for
// a title are its caller's.
package describe

import (
	"cmp"
	"slices"

	"rainhaven/choice"
)

// Action is what to do next for a title.
type Action int

// The steps. Wait: a holder was asked already. Fail: no holder gave a description that can be used.
const (
	Answer Action = iota + 1
	Fetch
	Wait
	Fail
)

const (
	// A description changes when a title is made anew; a minute is short beside that, and spares boxes all but one
	// question a minute and title.
	fresh = 60.0
	// One that is older still serves while no holder answers: a viewer that starts is worth more than a description
	// that may be out of date, and its tracks rarely change.
	stale = 3600.0
	// Holders asked before a viewer is told: it waits some seconds at most, and a third would rarely come to that.
	mostAsked = 2
	// Time a holder has to answer; it comes in milliseconds.
	FetchTimeout = 1.0
	// Titles kept: at 2 kB each this bounds the cache at 4 MB.
	mostKept = 2000
)

type entry struct {
	body  []byte // nil before the first
	at    float64
	used  float64
	asked []choice.ServerID // in this round
	out   bool              // one of them has not answered yet
}

// Cache is one front's.
type Cache struct {
	cells  int
	titles map[string]*entry // mostKept at most; the longest unused leaves
	boxes  []choice.Listing  // by id; as the list names them
	turn   int
}

// New makes a cache for boxes in so many cells.
func New(cells int) *Cache { return &Cache{cells: max(cells, 1), titles: map[string]*entry{}} }

// SetCells changes how many cells there are.
func (c *Cache) SetCells(n int) { c.cells = max(n, 1) }

// UpdateBoxes takes the list, whole or changed entries only.
func (c *Cache) UpdateBoxes(whole bool, list []choice.Listing) {
	if whole {
		c.boxes = nil
	}
	for _, e := range list {
		i, found := slices.BinarySearchFunc(c.boxes, e.ID, func(b choice.Listing, id choice.ServerID) int { return cmp.Compare(b.ID, id) })
		switch {
		case found && e.State == choice.Gone:
			c.boxes = slices.Delete(c.boxes, i, i+1)
		case found:
			c.boxes[i] = e
		case e.State != choice.Gone:
			c.boxes = slices.Insert(c.boxes, i, e)
		}
	}
}

// next picks a holder that was not asked in this round. Holders take turns, so that one that hangs is not every title's
// first. A box that drains is asked nothing new.
func (c *Cache) next(e *entry, start, span int) (choice.ServerID, bool) {
	c.turn++
	for i := range c.boxes {
		b := c.boxes[(c.turn+i)%len(c.boxes)]
		if b.State == choice.Ready && (b.Cell-start+c.cells)%c.cells < span && !slices.Contains(e.asked, b.ID) {
			return b.ID, true
		}
	}
	return 0, false
}

// Request takes a viewer's wish for a title that lies in span cells from start on.
func (c *Cache) Request(now float64, title string, start, span int) (Action, choice.ServerID, []byte) {
	e := c.titles[title]
	if e == nil {
		c.room()
		e = &entry{}
		c.titles[title] = e
	}
	e.used = now
	switch {
	case e.body != nil && now-e.at < fresh:
		return Answer, 0, e.body
	case e.out:
		return Wait, 0, nil
	}
	e.asked = nil
	return c.ask(now, e, start, span)
}

func (c *Cache) ask(now float64, e *entry, start, span int) (Action, choice.ServerID, []byte) {
	if len(e.asked) < mostAsked {
		if id, ok := c.next(e, start, span); ok {
			e.asked, e.out = append(e.asked, id), true
			return Fetch, id, nil
		}
	}
	if e.body != nil && now-e.at < stale {
		return Answer, 0, e.body
	}
	return Fail, 0, nil
}

// HandleReply takes what a holder answered; body is nil where it did not, or what it said can't be used. The step is for all who
// wait for the title.
func (c *Cache) HandleReply(now float64, title string, from choice.ServerID, body []byte, start, span int) (Action, choice.ServerID, []byte) {
	e := c.titles[title]
	if e == nil || !e.out || e.asked[len(e.asked)-1] != from {
		return Wait, 0, nil // too late: another was asked since
	}
	e.out = false
	if body != nil {
		e.body, e.at = body, now
		return Answer, 0, body
	}
	return c.ask(now, e, start, span)
}

// room makes place for one more title.
func (c *Cache) room() {
	if len(c.titles) < mostKept {
		return
	}
	oldest, at := "", 0.0
	for t, e := range c.titles {
		if !e.out && (oldest == "" || e.used < at || e.used == at && t < oldest) {
			oldest, at = t, e.used
		}
	}
	delete(c.titles, oldest)
}
