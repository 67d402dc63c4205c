package node

import (
	"context"
	"slices"

	"rainhaven/internal/node/feed"
)

// coordinatorFollow is the state of following one coordinator.
type coordinatorFollow struct {
	addr      string
	cancel    context.CancelFunc
	responded bool // it has sent at least one line
}

// maxCoordinators limits the coordinators that are followed while the newer ones have not responded yet.
const maxCoordinators = 4

// followCoordinator follows a coordinator. The ones followed before are left only once it has responded: until then
// nobody else may report that a server drains.
func (n *Node) followCoordinator(addr string) {
	if i := slices.IndexFunc(n.watches, func(w *coordinatorFollow) bool { return w.addr == addr }); i >= 0 { // configured again after another one
		w := n.watches[i]
		n.watches = append(slices.Delete(n.watches, i, i+1), w)
		if w.responded {
			n.coordinatorResponded(w)
		}
		return
	}
	if len(n.watches) == maxCoordinators {
		n.watches[0].cancel()
		n.watches = slices.Delete(n.watches, 0, 1)
	}
	ctx, stop := context.WithCancel(n.ctx)
	w := &coordinatorFollow{addr: addr, cancel: stop}
	n.watches = append(n.watches, w)
	lastIndex := n.lastIndex
	reported := false
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		feed.Follow(ctx, addr, lastIndex, n.config.Choice.Seed, func() {
			if !reported {
				reported = n.post(event{do: func() { n.coordinatorResponded(w) }})
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
func (n *Node) coordinatorResponded(w *coordinatorFollow) {
	w.responded = true
	current := max(slices.Index(n.watches, w), 0)
	for _, before := range n.watches[:current] {
		before.cancel()
	}
	n.watches = slices.Delete(n.watches, 0, current)
}
