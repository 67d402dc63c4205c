package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// heartbeatInterval is how often the coordinator tells its last number.
	heartbeatInterval = time.Second
	// replicaCount is how many addresses the coordinator has: configurations name one or another.
	replicaCount = 3
	// notifyTimeout is how long after an outage began what would have been told counts as told.
	notifyTimeout = 4 * time.Second
	// reconnectTimeout is how long after a longer outage nodes may take to ask again: some half a second of pause between
	// calls, and a connection. The platform allows 6 s.
	reconnectTimeout = time.Second
)

// coordinator is the stand-in for the platform's: numbered changes to the list, told to whoever follows at one of its doors.
type coordinator struct {
	replicas [replicaCount]*replica
	log      *log
	mu       sync.Mutex
	changes  []change
	entries  map[string]entry
	changed  chan struct{} // closed and made anew with each change
	done     chan struct{}
}

// replica is one address of the coordinator's, which fails by itself.
type replica struct {
	net.Listener
	coord       *coordinator
	conns       map[net.Conn]bool
	outageStart time.Duration // when its last outage began; 0 is never
	silentUntil time.Duration // it says nothing and takes nobody until then
}

func newCoordinator(l *log) (*coordinator, error) {
	c := &coordinator{log: l, entries: map[string]entry{}, changed: make(chan struct{}), done: make(chan struct{})}
	for k := range c.replicas {
		n, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		c.replicas[k] = &replica{Listener: n, coord: c, conns: map[net.Conn]bool{}}
	}
	for _, r := range c.replicas {
		go r.accept()
	}
	return c, nil
}

// address is that of a door.
func (c *coordinator) address(replica int) string { return c.replicas[replica].Addr().String() }

// notifiedBy is when a change that the coordinator has now counts as told, whichever door a node follows; the lock is held.
func (c *coordinator) notifiedBy(now time.Duration) (latest time.Duration) {
	latest = now
	for _, r := range c.replicas {
		if r.outageStart == 0 || now > r.outageStart+notifyTimeout && now > r.silentUntil+reconnectTimeout {
			continue
		}
		latest = max(latest, r.outageStart+notifyTimeout, r.silentUntil+reconnectTimeout)
	}
	return latest
}

// publish has a change told.
func (c *coordinator) publish(entries ...entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.log.now()
	for _, e := range entries {
		if e.State == "removed" {
			delete(c.entries, e.ID)
		} else {
			c.entries[e.ID] = e
		}
		c.log.add(record{at: now, kind: entryPublished, node: -1, server: e.ID, detail: e.State, wait: c.notifiedBy(now)})
	}
	c.changes = append(c.changes, change{int64(len(c.changes) + 1), endpoints{1, false, entries}})
	close(c.changed)
	c.changed = make(chan struct{})
}

// snapshot is the list as one event, for a node that starts.
func (c *coordinator) snapshot() change {
	c.mu.Lock()
	defer c.mu.Unlock()
	event := change{Index: int64(len(c.changes)), Endpoints: endpoints{1, true, []entry{}}}
	for _, e := range c.entries {
		event.Endpoints.Instances = append(event.Endpoints.Instances, e)
	}
	return event
}

// fail breaks all connections, and has all doors say nothing for so long.
func (c *coordinator) fail(duration time.Duration) { c.outage(duration, true, c.replicas[:]...) }

// mute has all doors say nothing for so long, on connections that stay.
func (c *coordinator) mute(duration time.Duration) { c.outage(duration, false, c.replicas[:]...) }

// muteReplica is mute for one door.
func (c *coordinator) muteReplica(replica int, duration time.Duration) {
	c.outage(duration, false, c.replicas[replica])
}

func (c *coordinator) outage(duration time.Duration, disconnect bool, replicas ...*replica) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.log.now()
	for _, r := range replicas {
		if r.silentUntil <= now {
			r.outageStart = now
		}
		r.silentUntil = max(r.silentUntil, now+duration)
		if !disconnect {
			continue
		}
		for n := range r.conns {
			n.Close()
		}
	}
}

func (r *replica) accept() {
	for {
		n, err := r.Accept()
		if err != nil {
			return
		}
		r.coord.mu.Lock()
		r.conns[n] = true
		r.coord.mu.Unlock()
		go r.serve(n)
	}
}

func (r *replica) serve(n net.Conn) {
	c := r.coord
	defer func() {
		n.Close()
		c.mu.Lock()
		delete(r.conns, n)
		c.mu.Unlock()
	}()
	var from int64
	if _, err := fmt.Fscanf(n, "follow %d\n", &from); err != nil {
		return
	}
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		c.mu.Lock()
		silentFor, changed := r.silentUntil-c.log.now(), c.changed
		var changes []change
		if silentFor <= 0 && from < int64(len(c.changes)) {
			changes = c.changes[from:]
		}
		last := len(c.changes)
		c.mu.Unlock()
		for _, e := range changes {
			b, _ := json.Marshal(e)
			if _, err := n.Write(append(b, '\n')); err != nil {
				return
			}
			from = e.Index
		}
		if silentFor > 0 {
			select {
			case <-time.After(silentFor):
			case <-c.done:
				return
			}
			continue
		}
		select {
		case <-changed:
		case <-heartbeat.C:
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
	for _, r := range c.replicas {
		r.Close()
	}
}
