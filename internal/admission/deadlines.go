package admission

import "container/heap"

// deadlineHeap orders waiting requests by deadline.
type deadlineHeap []*waiting

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].request.Deadline.Before(h[j].request.Deadline) }
func (h deadlineHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	if item, ok := x.(*waiting); ok {
		*h = append(*h, item)
	}
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

var _ heap.Interface = (*deadlineHeap)(nil)
