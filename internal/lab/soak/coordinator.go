package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// heartbeat is how often the coordinator tells its last number.
	heartbeat = time.Second
	// toldAfterOutage is how long after an outage what it would have told counts as told: nodes come back to it spread over
	// a while, and an outage counts for 4 s at most.
	toldAfterOutage, longestOutage = 2500 * time.Millisecond, 4 * time.Second
)

// coordinator is the stand-in for the platform's: numbered changes to the list, told to whoever follows.
type coordinator struct {
	net.Listener
	log    *log
	mu     sync.Mutex
	list   []change
	live   map[string]entry
	conns  map[net.Conn]bool
	silent time.Duration // it says nothing and takes nobody until then
	wake   chan struct{} // closed and made anew with each change
	done   chan struct{}
}

func newCoordinator(l *log) (*coordinator, error) {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &coordinator{Listener: n, log: l, live: map[string]entry{}, conns: map[net.Conn]bool{}, wake: make(chan struct{}), done: make(chan struct{})}
	go c.accept()
	return c, nil
}

// tell has a change told.
func (c *coordinator) tell(entries ...entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.log.now()
	told := now
	if c.silent > now {
		told = min(c.silent, now+longestOutage) + toldAfterOutage
	}
	for _, e := range entries {
		if e.State == "removed" {
			delete(c.live, e.ID)
		} else {
			c.live[e.ID] = e
		}
		c.log.add(record{at: now, kind: entryTold, node: -1, server: e.ID, detail: e.State, wait: told})
	}
	c.list = append(c.list, change{int64(len(c.list) + 1), endpoints{1, false, entries}})
	close(c.wake)
	c.wake = make(chan struct{})
}

// whole is the list as one event, for a node that starts.
func (c *coordinator) whole() change {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := change{Index: int64(len(c.list)), Endpoints: endpoints{1, true, []entry{}}}
	for _, e := range c.live {
		w.Endpoints.Instances = append(w.Endpoints.Instances, e)
	}
	return w
}

// fail breaks all connections, and has the coordinator say nothing for so long.
func (c *coordinator) fail(long time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = max(c.silent, c.log.now()+long)
	for n := range c.conns {
		n.Close()
	}
}

// mute has it say nothing for so long, on connections that stay.
func (c *coordinator) mute(long time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = max(c.silent, c.log.now()+long)
}

func (c *coordinator) accept() {
	for {
		n, err := c.Accept()
		if err != nil {
			return
		}
		c.mu.Lock()
		c.conns[n] = true
		c.mu.Unlock()
		go c.serve(n)
	}
}

func (c *coordinator) serve(n net.Conn) {
	defer func() {
		n.Close()
		c.mu.Lock()
		delete(c.conns, n)
		c.mu.Unlock()
	}()
	var from int64
	if _, err := fmt.Fscanf(n, "follow %d\n", &from); err != nil {
		return
	}
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	for {
		c.mu.Lock()
		quiet, wake := c.silent-c.log.now(), c.wake
		var list []change
		if quiet <= 0 && from < int64(len(c.list)) {
			list = c.list[from:]
		}
		last := len(c.list)
		c.mu.Unlock()
		for _, e := range list {
			b, _ := json.Marshal(e)
			if _, err := n.Write(append(b, '\n')); err != nil {
				return
			}
			from = e.Index
		}
		if quiet > 0 {
			select {
			case <-time.After(quiet):
			case <-c.done:
				return
			}
			continue
		}
		select {
		case <-wake:
		case <-beat.C:
			if _, err := fmt.Fprintf(n, "%d\n", last); err != nil {
				return
			}
		case <-c.done:
			return
		}
	}
}

func (c *coordinator) close() {
	close(c.done)
	c.Close()
}
