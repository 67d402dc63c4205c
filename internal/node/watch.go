package node

import (
	"context"
	"slices"

	"rainhaven/internal/node/feed"
)

// coordinatorFollow is the following of one coordinator.
type coordinatorFollow struct {
	addr      string
	cancel    context.CancelFunc
	responded bool // it has said something
}

// maxCoordinators is how many coordinators are followed at most while newer ones have not said anything yet.
const maxCoordinators = 4

// followCoordinator follows a coordinator. Those followed before are left once it has said something: until then they alone
// may tell of a server that drains.
func (n *Node) followCoordinator(addr string) {
	if k := slices.IndexFunc(n.watches, func(w *coordinatorFollow) bool { return w.addr == addr }); k >= 0 { // back to one before
		w := n.watches[k]
		n.watches = append(slices.Delete(n.watches, k, k+1), w)
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
	last := n.lastIndex
	told := false
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		feed.Follow(ctx, addr, last, n.config.Config.Seed, func() {
			if !told {
				told = n.post(event{do: func() { n.coordinatorResponded(w) }})
			}
		}, func(e feed.Event) bool {
			return n.post(event{do: func() {
				n.afterListDelay(func() {
					if e.Index > n.lastIndex { // another coordinator, or this one before, has told it
						n.updateServers(e)
					}
				})
			}})
		}, func(err error) {
			n.log.Debug("the coordinator's connection ended", str("coordinator", addr), str("why", errText(err)))
		})
	}()
}

// coordinatorResponded takes a coordinator's first word: the ones before it are no longer followed.
func (n *Node) coordinatorResponded(w *coordinatorFollow) {
	w.responded = true
	k := max(slices.Index(n.watches, w), 0)
	for _, before := range n.watches[:k] {
		before.cancel()
	}
	n.watches = slices.Delete(n.watches, 0, k)
}
