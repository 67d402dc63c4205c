package node

import "container/heap"

// timeout is a function to be called at a given time unless it is cancelled.
type timeout struct {
	at    float64
	index int // in the heap; negative once it is removed
	do    func()
}

// timeoutHeap implements heap.Interface, ordered by time.
type timeoutHeap []*timeout

func (h timeoutHeap) Len() int           { return len(h) }
func (h timeoutHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timeoutHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *timeoutHeap) Push(x any) {
	t := x.(*timeout)
	t.index = len(*h)
	*h = append(*h, t)
}
func (h *timeoutHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}

// after schedules a call after the given time.
func (n *Node) after(seconds float64, do func()) *timeout {
	t := &timeout{at: n.now + seconds, do: do}
	heap.Push(&n.timeouts, t)
	return t
}

// cancelTimeout cancels a scheduled call; nil and calls already made are ignored.
func (n *Node) cancelTimeout(t *timeout) {
	if t != nil && t.index >= 0 {
		heap.Remove(&n.timeouts, t.index)
	}
}
