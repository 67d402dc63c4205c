package session

// timerHeap is a min-heap of sessions by timerAt. It implements heap.Interface.
type timerHeap []*session

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].timerAt < h[j].timerAt }

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *timerHeap) Push(x any) {
	s := x.(*session)
	s.heapIndex = len(*h)
	*h = append(*h, s)
}

func (h *timerHeap) Pop() any {
	old := *h
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	s.heapIndex = -1
	return s
}
