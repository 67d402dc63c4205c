package node

import "container/heap"

// timeout is something to do at an instant, unless it is cancelled.
type timeout struct {
	at    float64
	index int // its place; below 0 once it is out
	do    func()
}

type timeoutHeap []*timeout

func (h timeoutHeap) Len() int           { return len(h) }
func (h timeoutHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timeoutHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *timeoutHeap) Push(x any) {
	a := x.(*timeout)
	a.index = len(*h)
	*h = append(*h, a)
}
func (h *timeoutHeap) Pop() any {
	old := *h
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	a.index = -1
	return a
}

func (n *Node) after(seconds float64, do func()) *timeout {
	a := &timeout{at: n.now + seconds, do: do}
	heap.Push(&n.timeouts, a)
	return a
}

func (n *Node) cancelTimeout(a *timeout) {
	if a != nil && a.index >= 0 {
		heap.Remove(&n.timeouts, a.index)
	}
}
