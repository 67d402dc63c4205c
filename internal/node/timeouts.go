package node

import "container/heap"

// timeout is something to do at an instant, unless it is cancelled.
type timeout struct {
	at float64
	i  int // its place; below 0 once it is out
	do func()
}

type timeouts []*timeout

func (h timeouts) Len() int           { return len(h) }
func (h timeouts) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timeouts) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].i, h[j].i = i, j
}
func (h *timeouts) Push(x any) {
	a := x.(*timeout)
	a.i = len(*h)
	*h = append(*h, a)
}
func (h *timeouts) Pop() any {
	old := *h
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	a.i = -1
	return a
}

func (n *Node) after(seconds float64, do func()) *timeout {
	a := &timeout{at: n.now + seconds, do: do}
	heap.Push(&n.timeouts, a)
	return a
}

func (n *Node) cancel(a *timeout) {
	if a != nil && a.i >= 0 {
		heap.Remove(&n.timeouts, a.i)
	}
}
