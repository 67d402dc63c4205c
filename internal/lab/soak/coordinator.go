package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// heartbeatInterval is how often the coordinator sends its last index.
	heartbeatInterval = time.Second
	// replicaCount is the number of coordinator addresses; a node's configuration names one of them.
	replicaCount = 3
	// A change published during an outage counts as notified notifyTimeout after the outage began.
	notifyTimeout = 4 * time.Second
	// reconnectTimeout is how long nodes may take to reconnect after a longer outage: about half a second between attempts,
	// plus the connection. The platform allows 6 s.
	reconnectTimeout = time.Second
)

// coordinator stands in for the platform's coordinator. It sends numbered changes of the server list to the nodes that follow
// one of its replicas.
type coordinator struct {
	replicas [replicaCount]*replica
	log      *log
	mu       sync.Mutex
	changes  []change
	entries  map[string]entry
	changed  chan struct{} // closed and replaced at each change
	done     chan struct{}
}

// replica is one address of the coordinator. Replicas fail independently.
type replica struct {
	net.Listener
	coord       *coordinator
	conns       map[net.Conn]bool
	outageStart time.Duration // start of its last outage; 0 if it had none
	silentUntil time.Duration // it sends nothing until then
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

// address returns the address of a replica.
func (c *coordinator) address(replica int) string { return c.replicas[replica].Addr().String() }

// notifiedBy returns when a change published now counts as known to every node, whichever replica it follows. The caller
// holds c.mu.
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

// publish adds a change to the list and sends it to all followers.
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

// snapshot returns the list as a single event, for a starting node.
func (c *coordinator) snapshot() change {
	c.mu.Lock()
	defer c.mu.Unlock()
	event := change{Index: int64(len(c.changes)), Endpoints: endpoints{1, true, []entry{}}}
	for _, e := range c.entries {
		event.Endpoints.Instances = append(event.Endpoints.Instances, e)
	}
	return event
}

// fail closes all connections and silences all replicas for a duration.
func (c *coordinator) fail(duration time.Duration) { c.outage(duration, true, c.replicas[:]...) }

// mute silences all replicas for a duration and keeps their connections open.
func (c *coordinator) mute(duration time.Duration) { c.outage(duration, false, c.replicas[:]...) }

// muteReplica silences one replica for a duration.
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
