package node

import "container/heap"

// alarm is something to do at an instant, unless it is cancelled.
type alarm struct {
	at float64
	i  int // its place; below 0 once it is out
	do func()
}

type alarms []*alarm

func (h alarms) Len() int           { return len(h) }
func (h alarms) Less(i, j int) bool { return h[i].at < h[j].at }
func (h alarms) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].i, h[j].i = i, j
}
func (h *alarms) Push(x any) {
	a := x.(*alarm)
	a.i = len(*h)
	*h = append(*h, a)
}
func (h *alarms) Pop() any {
	old := *h
	a := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	a.i = -1
	return a
}

func (n *Node) after(seconds float64, do func()) *alarm {
	a := &alarm{at: n.now + seconds, do: do}
	heap.Push(&n.alarms, a)
	return a
}

func (n *Node) cancel(a *alarm) {
	if a != nil && a.i >= 0 {
		heap.Remove(&n.alarms, a.i)
	}
}
