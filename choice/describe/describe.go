// Package describe decides whether a title's description comes from the cache or is fetched from one of its holders, how
// many holders are queried and how long a description stays valid. It does no I/O.
//
// The caller passes the list of boxes to UpdateBoxes, a viewer's DESCRIBE to Request and a holder's answer to HandleReply.
// It keeps the queue of viewers that wait for a title itself.
package describe

import (
	"cmp"
	"slices"

	"rainhaven/choice"
)

// Action tells the caller what to do next for a title.
type Action int

// The actions. Answer: send the returned description to the viewers that wait. Fetch: query the returned box. Wait: a query
// is already pending. Fail: no holder gave a usable description.
const (
	Answer Action = iota + 1
	Fetch
	Wait
	Fail
)

const (
	// A description changes only when a title is produced again, which takes far longer than a minute. A box is queried at
	// most once a minute and title.
	freshSeconds = 60.0
	// Up to this age a description is still served while no holder answers: a viewer that can start outweighs the risk of
	// an outdated description, as tracks rarely change.
	staleSeconds = 3600.0
	// Holders queried before a viewer gets an error: viewers wait a few seconds at most, so that a third query would rarely
	// finish in time.
	maxQueries = 2
	// FetchTimeout is the time in seconds that a holder has to answer; answers normally take milliseconds.
	FetchTimeout = 1.0
	// Cached titles; at 2 kB each this limits the cache to 4 MB.
	maxTitles = 2000
)

type description struct {
	body      []byte // nil until the first successful fetch
	fetchedAt float64
	usedAt    float64
	queried   []choice.ServerID // holders queried in the current fetch
	pending   bool              // the last one queried has not answered yet
}

// Cache holds the descriptions of one front.
type Cache struct {
	cells     int
	titles    map[string]*description // at most maxTitles; the least recently used is evicted
	boxes     []choice.Listing        // sorted by ID
	nextIndex int
}

// New returns a cache for boxes in the given number of cells.
func New(cells int) *Cache { return &Cache{cells: max(cells, 1), titles: map[string]*description{}} }

// SetCells changes the number of cells.
func (c *Cache) SetCells(n int) { c.cells = max(n, 1) }

// UpdateBoxes replaces the list of boxes, or merges changed entries into it if full is false.
func (c *Cache) UpdateBoxes(full bool, list []choice.Listing) {
	if full {
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

// nextHolder picks a holder that has not been queried yet. It rotates among the holders, so that one that hangs is not the
// first choice of every title, and skips boxes that drain.
func (c *Cache) nextHolder(e *description, startCell, cellCount int) (choice.ServerID, bool) {
	c.nextIndex++
	for i := range c.boxes {
		b := c.boxes[(c.nextIndex+i)%len(c.boxes)]
		if b.State == choice.Ready && (b.Cell-startCell+c.cells)%c.cells < cellCount && !slices.Contains(e.queried, b.ID) {
			return b.ID, true
		}
	}
	return 0, false
}

// Request handles a viewer's DESCRIBE for a title that is held in span cells, from cell start on.
func (c *Cache) Request(now float64, title string, startCell, cellCount int) (Action, choice.ServerID, []byte) {
	e := c.titles[title]
	if e == nil {
		c.evict()
		e = &description{}
		c.titles[title] = e
	}
	e.usedAt = now
	switch {
	case e.body != nil && now-e.fetchedAt < freshSeconds:
		return Answer, 0, e.body
	case e.pending:
		return Wait, 0, nil
	}
	e.queried = nil
	return c.queryNext(now, e, startCell, cellCount)
}

func (c *Cache) queryNext(now float64, e *description, startCell, cellCount int) (Action, choice.ServerID, []byte) {
	if len(e.queried) < maxQueries {
		if id, ok := c.nextHolder(e, startCell, cellCount); ok {
			e.queried, e.pending = append(e.queried, id), true
			return Fetch, id, nil
		}
	}
	if e.body != nil && now-e.fetchedAt < staleSeconds {
		return Answer, 0, e.body
	}
	return Fail, 0, nil
}

// HandleReply handles a holder's answer; body is nil if there was none or it was unusable. The returned action applies to all
// viewers that wait for the title.
func (c *Cache) HandleReply(now float64, title string, from choice.ServerID, body []byte, startCell, cellCount int) (Action, choice.ServerID, []byte) {
	e := c.titles[title]
	if e == nil || !e.pending || e.queried[len(e.queried)-1] != from {
		return Wait, 0, nil // late: another holder has been queried since, or the query is no longer pending
	}
	e.pending = false
	if body != nil {
		e.body, e.fetchedAt = body, now
		return Answer, 0, body
	}
	return c.queryNext(now, e, startCell, cellCount)
}

// evict removes the least recently used title without a pending query if the cache is full.
func (c *Cache) evict() {
	if len(c.titles) < maxTitles {
		return
	}
	oldest, at := "", 0.0
	for t, e := range c.titles {
		if !e.pending && (oldest == "" || e.usedAt < at || e.usedAt == at && t < oldest) {
			oldest, at = t, e.usedAt
		}
	}
	delete(c.titles, oldest)
}
