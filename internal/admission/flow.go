package admission

import (
	"container/heap"
	"time"
)

// flow is the FIFO queue of one customer in one class.
type flow struct {
	customer string
	weight   int
	items    []*waiting
	head     int     // index of the first item not removed
	live     int     // number of items not removed
	cost     float64 // cost of the live items
	start    float64 // virtual start time of the next item
	index    int     // position in the class's heap, -1 if nothing waits
}

// backlog returns the waiting cost per weight.
func (f *flow) backlog() float64 { return f.cost / float64(f.weight) }

func (f *flow) skipRemoved() {
	for f.head < len(f.items) && f.items[f.head].removed {
		f.items[f.head] = nil
		f.head++
	}
	if f.head == len(f.items) {
		f.items = f.items[:0]
		f.head = 0
	}
}

func (f *flow) first() *waiting {
	f.skipRemoved()
	if f.head >= len(f.items) {
		return nil
	}
	return f.items[f.head]
}

func (f *flow) newest() *waiting {
	for i := len(f.items) - 1; i >= f.head; i-- {
		if !f.items[i].removed {
			return f.items[i]
		}
	}
	return nil
}

// classQueue implements start-time fair queueing over the flows of one class. A flow's virtual
// start time advances by cost/weight per dispatched request, and the flow with the lowest
// start time is served next. A flow that becomes active starts at the class's virtual time:
// idle time earns no credit. Corrections of actual costs are kept.
type classQueue struct {
	flows     map[string]*flow
	heap      flowHeap
	virtual   float64
	cost      float64
	deadlines deadlineHeap
	evicted   []Request
	waiting   int
}

func newClassQueue() *classQueue {
	return &classQueue{flows: map[string]*flow{}}
}

func (c *classQueue) len() int { return c.waiting }

func (c *classQueue) push(item *waiting) {
	f := c.flows[item.request.Customer]
	if f == nil {
		c.evictIdle()
		f = &flow{customer: item.request.Customer, index: -1}
		c.flows[item.request.Customer] = f
	}
	f.weight = item.request.Weight
	item.flow = f
	f.items = append(f.items, item)
	f.live++
	f.cost += item.request.Cost
	c.cost += item.request.Cost
	c.waiting++
	heap.Push(&c.deadlines, item)
	if f.index < 0 {
		f.start = max(f.start, c.virtual)
		heap.Push(&c.heap, f)
	}
}

// maxIdleFlows bounds the idle flows kept for later cost corrections.
const maxIdleFlows = 8192

func (c *classQueue) evictIdle() {
	if len(c.flows) < maxIdleFlows {
		return
	}
	for customer, f := range c.flows {
		if f.index < 0 && f.start <= c.virtual {
			delete(c.flows, customer)
		}
	}
}

func (c *classQueue) peek(now time.Time) *waiting {
	for len(c.heap) > 0 {
		f := c.heap[0]
		item := f.first()
		if item == nil {
			c.unschedule(f)
			continue
		}
		if !item.request.Deadline.After(now) {
			return nil // overdue: TakeRefusals removes it
		}
		return item
	}
	return nil
}

func (c *classQueue) pop(item *waiting) *flow {
	f := item.flow
	c.virtual = max(c.virtual, f.start)
	c.markRemoved(item)
	f.start += item.request.Cost / float64(f.weight)
	c.reschedule(f)
	return f
}

func (c *classQueue) remove(item *waiting) {
	c.markRemoved(item)
	c.reschedule(item.flow)
}

// markRemoved marks the item as removed and updates the counts. The heaps drop removed items
// lazily.
func (c *classQueue) markRemoved(item *waiting) {
	item.removed = true
	f := item.flow
	f.live--
	f.cost -= item.request.Cost
	c.cost -= item.request.Cost
	c.waiting--
	if c.waiting == 0 {
		c.cost = 0 // drops rounding errors
	}
	f.skipRemoved()
	for len(c.deadlines) > 0 && c.deadlines[0].removed {
		heap.Pop(&c.deadlines)
	}
	c.compactDeadlines()
}

// compactDeadlines rebuilds the heap once at least half of its items are removed, which bounds
// the memory that removed items hold.
func (c *classQueue) compactDeadlines() {
	const small = 64
	if len(c.deadlines) < small || len(c.deadlines) < 2*c.waiting {
		return
	}
	kept := c.deadlines[:0]
	for _, item := range c.deadlines {
		if !item.removed {
			kept = append(kept, item)
		}
	}
	clear(c.deadlines[len(kept):])
	c.deadlines = kept
	heap.Init(&c.deadlines)
}

func (c *classQueue) reschedule(f *flow) {
	switch {
	case f.live == 0 && f.index >= 0:
		c.unschedule(f)
	case f.live > 0 && f.index >= 0:
		heap.Fix(&c.heap, f.index)
	}
}

func (c *classQueue) unschedule(f *flow) {
	heap.Remove(&c.heap, f.index)
	f.index = -1
}

// adjustCost charges the difference between a request's actual and estimated cost, which may
// be negative.
func (c *classQueue) adjustCost(f *flow, difference float64) {
	if f == nil || c.flows[f.customer] != f {
		return
	}
	f.start += difference / float64(f.weight)
	c.reschedule(f)
}

func (c *classQueue) popOverdue(now time.Time) []*waiting {
	var due []*waiting
	for len(c.deadlines) > 0 {
		item := c.deadlines[0]
		if item.removed {
			heap.Pop(&c.deadlines)
			continue
		}
		if item.request.Deadline.After(now) {
			return due
		}
		heap.Pop(&c.deadlines)
		due = append(due, item)
	}
	return due
}

// longest returns the flow with the largest waiting cost per weight.
func (c *classQueue) longest() *flow {
	var longest *flow
	for _, f := range c.heap {
		if longest == nil || f.backlog() > longest.backlog() {
			longest = f
		}
	}
	return longest
}

func (c *classQueue) backlog(customer string) float64 {
	if f := c.flows[customer]; f != nil {
		return f.backlog()
	}
	return 0
}

// costAhead estimates the cost that is served before a new request of the customer: its own
// backlog, and up to as much per weight of every other flow.
func (c *classQueue) costAhead(request Request) float64 {
	own := c.backlog(request.Customer)
	ownTotal := own + request.Cost/float64(request.Weight)
	total := own * float64(request.Weight)
	for _, f := range c.heap {
		if f.customer != request.Customer {
			total += min(f.backlog(), ownTotal) * float64(f.weight)
		}
	}
	return total
}

// flowHeap orders flows by virtual start time, then by customer.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].customer < h[j].customer
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	if f, ok := x.(*flow); ok {
		f.index = len(*h)
		*h = append(*h, f)
	}
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
