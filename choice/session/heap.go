package session

// heapOf keeps sessions by when they want to be looked at, for container/heap.
type heapOf []*life

func (h heapOf) Len() int           { return len(h) }
func (h heapOf) Less(i, j int) bool { return h[i].next < h[j].next }

func (h heapOf) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].at, h[j].at = i, j
}

func (h *heapOf) Push(x any) {
	l := x.(*life)
	l.at = len(*h)
	*h = append(*h, l)
}

func (h *heapOf) Pop() any {
	old := *h
	l := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	l.at = -1
	return l
}
