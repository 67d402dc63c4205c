package node

import (
	"context"
	"slices"

	"rainhaven/internal/node/feed"
)

// followedCoordinator is the state of following one coordinator.
type followedCoordinator struct {
	addr      string
	cancel    context.CancelFunc
	responded bool // it has sent at least one line
}

// maxCoordinators limits the coordinators that are followed while the newer ones have not responded yet.
const maxCoordinators = 4

// followCoordinator follows a coordinator. The ones followed before are left only once it has responded: until then
// nobody else may report that a server drains.
func (n *Node) followCoordinator(addr string) {
	if i := slices.IndexFunc(n.coordinators, func(known *followedCoordinator) bool { return known.addr == addr }); i >= 0 { // configured again after another one
		followed := n.coordinators[i]
		n.coordinators = append(slices.Delete(n.coordinators, i, i+1), followed)
		if followed.responded {
			n.coordinatorResponded(followed)
		}
		return
	}
	if len(n.coordinators) == maxCoordinators {
		n.coordinators[0].cancel()
		n.coordinators = slices.Delete(n.coordinators, 0, 1)
	}
	ctx, stop := context.WithCancel(n.ctx)
	followed := &followedCoordinator{addr: addr, cancel: stop}
	n.coordinators = append(n.coordinators, followed)
	lastIndex := n.lastIndex
	reported := false
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		feed.Follow(ctx, addr, lastIndex, n.config.Choice.Seed, func() {
			if !reported {
				reported = n.post(event{do: func() { n.coordinatorResponded(followed) }})
			}
		}, func(e feed.Event) bool {
			return n.post(event{do: func() {
				n.afterListDelay(func() {
					if e.Index > n.lastIndex { // not yet received from another coordinator or an earlier connection
						n.updateServers(e)
					}
				})
			}})
		}, func(err error) {
			n.log.Debug("the coordinator's connection ended", str("coordinator", addr), str("why", errText(err)))
		})
	}()
}

// coordinatorResponded handles the first line from a coordinator: the ones before it are no longer followed.
func (n *Node) coordinatorResponded(followed *followedCoordinator) {
	followed.responded = true
	current := max(slices.Index(n.coordinators, followed), 0)
	for _, before := range n.coordinators[:current] {
		before.cancel()
	}
	n.coordinators = slices.Delete(n.coordinators, 0, current)
}
