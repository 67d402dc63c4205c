// Command newcomer has a server's machine vanish and a new server come up at its address, which the coordinator tells some
// seconds later, and looks for the releases of the sessions that were cut.
package main

import (
	"fmt"
	"net"
	"sync"
	"time"

	"rainhaven/review/standin2/kit"
)

const (
	sessions = 5
	taken    = 3 * time.Second         // from the end of the old server until the new one has its address
	told     = 2500 * time.Millisecond // from then to the coordinator's event
	owed     = 8 * time.Second         // "where no release could be sent, within 8 s of its end"
	slack    = 50 * time.Millisecond
	watched  = 30 * time.Second
)

func main() { kit.Run(play) }

// address is a server's address, which passes connections to the process that has it now.
type address struct {
	net.Listener
	mu    sync.Mutex
	owner *kit.Server
}

func (a *address) serve() {
	for {
		raw, err := a.Accept()
		if err != nil {
			return
		}
		a.mu.Lock()
		owner := a.owner
		a.mu.Unlock()
		go owner.Serve(raw)
	}
}

func play(c *kit.Case) error {
	listen, err := kit.FreeAddress()
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	old, next := c.NewServer("s-old"), c.NewServer("s-new")
	at := &address{Listener: l, owner: old}
	go at.serve()
	entry := kit.Entry{ID: "s-old", Address: l.Addr().String(), Zone: "a", Kind: "std", State: "up", Weight: 1}
	coordinator, err := c.NewCoordinator(entry)
	if err != nil {
		return err
	}
	config, err := c.NodeConfig(listen, coordinator)
	if err != nil {
		return err
	}
	node, client, err := c.StartNode(listen, config)
	if err != nil {
		return err
	}
	for i := range sessions { // one after the other, so that one connection carries them all
		if err := client.Setup(kit.SessionID(i), "free", 0, 1); err != nil {
			return err
		}
		time.Sleep(200 * time.Millisecond)
		if status := client.Status(kit.SessionID(i)); status != 200 {
			return fmt.Errorf("set-up %d got %d", i, status)
		}
	}
	if !c.Trouble {
		time.Sleep(watched)
		for i := range sessions {
			if _, released := client.ReleasedAt(kit.SessionID(i)); released {
				c.Broken("session %d was released and stands", i)
			}
		}
		return nil
	}
	old.Vanish()
	died := c.Now()
	time.Sleep(taken)
	at.mu.Lock()
	at.owner = next
	at.mu.Unlock()
	old.Replaced()
	started := time.Now()
	c.Logf("s-new: has the address")
	time.Sleep(told)
	gone, up := entry, entry
	gone.State = "removed"
	up.ID, up.StartedAt = "s-new", started.UnixMilli()
	coordinator.Publish(gone, up)
	time.Sleep(watched - taken - told)
	for i := range sessions {
		switch released, ok := client.ReleasedAt(kit.SessionID(i)); {
		case !ok:
			c.Broken("session %s ended %.1f s ago with its server and was never released", kit.SessionID(i), (c.Now() - died).Seconds())
		case released-died > owed+slack:
			c.Broken("session %s was released %.2f s after its end", kit.SessionID(i), (released - died).Seconds())
		}
	}
	if how, ended := node.HasEnded(); ended {
		return fmt.Errorf("the node has ended: %s", how)
	}
	return nil
}
