// Package admission decides, for one backend server, which request runs next:
// priority classes with deadlines, weighted fair sharing between customers
// within a class, a guaranteed share for patient work, and a concurrency limit
// that follows the server's latency. It is a pure aggregate: time comes in as
// an argument, and nothing in it blocks.
package admission

import (
	"container/heap"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/failure"
)

// Request is one request that wants to run at the server.
type Request struct {
	ID       string
	Customer string
	// Weight is the customer's share relative to others in the same class.
	Weight int
	Class  config.Class
	// Deadline after which the answer is of no use.
	Deadline time.Time
	// Cost is the estimate in tokens; Done corrects it.
	Cost float64
}

// Options are the limits of a Queue.
type Options struct {
	// Limit governs how many requests run at once.
	Limit LimitOptions
	// MaxQueued bounds the waiting requests of all customers together.
	MaxQueued int
	// PatientPercent is the share of dispatched cost kept for patient requests
	// while any of them waits.
	PatientPercent int
}

// rank orders classes; lower is more urgent.
type rank int

const (
	rankUrgent rank = iota
	rankNormal
	rankPatient
	rankCount
)

func rankOf(class config.Class) rank {
	switch class {
	case config.ClassUrgent:
		return rankUrgent
	case config.ClassPatient:
		return rankPatient
	case config.ClassNormal:
		return rankNormal
	default:
		return rankNormal
	}
}

// waiting is a queued request; it is in its flow until dispatched or withdrawn.
type waiting struct {
	request Request
	queued  time.Time
	flow    *flow
	gone    bool
}

// running is a dispatched request.
type running struct {
	request Request
	started time.Time
	flow    *flow
}

// Queue is the aggregate. Invariants: a request is in exactly one of queue and
// run table, or in neither once it ended; a request that Withdraw reported as
// not started is never returned by Next. Not safe for concurrent use.
type Queue struct {
	options Options
	limit   *Limit
	classes [rankCount]*classQueue
	byID    map[string]*waiting
	run     map[string]*running
	perRank [rankCount]int // running requests by class

	hopeless      []Request // given up since the last Expired
	patientCredit float64
	slotRate      float64 // smoothed cost finished per second and slot
}

// NewQueue returns an empty queue.
func NewQueue(options Options) *Queue {
	q := &Queue{
		options: options,
		limit:   NewLimit(options.Limit),
		byID:    map[string]*waiting{},
		run:     map[string]*running{},
	}
	for i := range q.classes {
		q.classes[i] = newClassQueue()
	}
	return q
}

// Offer queues a request, or refuses it at once with a hint when to come back.
// Call Next afterwards: the request may be able to run immediately.
func (q *Queue) Offer(now time.Time, request Request) *failure.Error {
	if request.Weight < 1 {
		request.Weight = 1
	}
	if request.Cost <= 0 {
		request.Cost = 1
	}
	left := request.Deadline.Sub(now)
	if left <= 0 {
		return failure.NotRun(failure.StepQueue, "", failure.CodeDeadline, "the deadline had passed on arrival")
	}
	wait := q.EstimateWait(request)
	if needed := wait + q.expect(request); needed > left {
		return failure.NotRun(failure.StepQueue, "", failure.CodeOverloaded,
			"the queue ahead is longer than the deadline allows").After(max(needed-left, minRetryAfter))
	}
	class := q.classes[rankOf(request.Class)]
	if len(q.byID) >= q.options.MaxQueued && !q.evictFor(request) {
		return failure.NotRun(failure.StepQueue, "", failure.CodeOverloaded, "the queue is full").After(max(wait, minRetryAfter))
	}
	item := &waiting{request: request, queued: now}
	class.push(item)
	q.byID[request.ID] = item
	return nil
}

// minRetryAfter is the least hint given when a queue is full.
const minRetryAfter = 250 * time.Millisecond

// evictFor tells whether room was made for the request by leaving the newest
// request of the customer that waits with the most cost per weight in the same
// or a less urgent class. The evicted one is returned by Expired.
func (q *Queue) evictFor(request Request) bool {
	for r := rankPatient; r >= rankOf(request.Class); r-- {
		longest := q.classes[r].longest()
		if longest == nil {
			continue
		}
		sameClass := r == rankOf(request.Class)
		own := q.classes[r].backlog(request.Customer) + request.Cost/float64(request.Weight)
		if sameClass && longest.backlog() <= own {
			continue
		}
		victim := longest.newest()
		if victim == nil {
			continue
		}
		q.classes[r].evicted = append(q.classes[r].evicted, victim.request)
		q.remove(victim)
		return true
	}
	return false
}

// expectMargin allows for requests that cost more than their estimate.
const expectMargin = 1.25

// expect is how long the request will probably run. It's 0 while nothing runs:
// one request is always let through, so that a wrong expectation can't refuse
// all that would correct it.
func (q *Queue) expect(request Request) time.Duration {
	if len(q.run) == 0 {
		return 0
	}
	return time.Duration(expectMargin * float64(q.limit.Expect(request.Cost)))
}

// EstimateWait is how long the request would wait for its start, judged by the
// cost queued ahead of it and the rate at which cost has been finished lately.
func (q *Queue) EstimateWait(request Request) time.Duration {
	own := rankOf(request.Class)
	if q.slotRate <= 0 || (len(q.byID) == 0 && len(q.run) < q.slots(own)) {
		return 0
	}
	ahead := q.classes[own].ahead(request)
	for r := rankUrgent; r < own; r++ {
		ahead += q.classes[r].cost
	}
	return time.Duration(ahead / (q.slotRate * float64(q.slots(own))) * float64(time.Second))
}

// slots is how many requests of a class and those less urgent may run at once.
func (q *Queue) slots(r rank) int {
	limit := q.limit.Current()
	if r == rankUrgent || limit < 2 {
		return limit
	}
	return limit - max(1, limit/reserveDivisor)
}

// Next dispatches every request that may start now. The caller must start each
// and end it with Done.
func (q *Queue) Next(now time.Time) []Request {
	var granted []Request
	for len(q.run) < q.limit.Current() {
		item := q.pick(now)
		if item == nil {
			break
		}
		if now.Add(q.expect(item.request)).After(item.request.Deadline) {
			q.giveUp(item)
			continue
		}
		q.dispatch(now, item)
		granted = append(granted, item.request)
	}
	return granted
}

// giveUp takes out a request that would end after its deadline: the server's
// time goes to those that can still be answered in time. Expired returns it.
func (q *Queue) giveUp(item *waiting) {
	q.remove(item)
	q.hopeless = append(q.hopeless, item.request)
}

// pick chooses the class: patient work when its guaranteed share is due, else
// the most urgent class that waits and may use the free slot.
func (q *Queue) pick(now time.Time) *waiting {
	patient := q.classes[rankPatient].peek(now)
	urgentWaits := q.classes[rankUrgent].peek(now) != nil || q.classes[rankNormal].peek(now) != nil
	if patient != nil && urgentWaits && q.patientCredit >= patient.request.Cost {
		return patient
	}
	for r := rankUrgent; r < rankPatient; r++ {
		if item := q.classes[r].peek(now); item != nil && q.mayRun(r) {
			return item
		}
	}
	if patient != nil && q.mayRun(rankPatient) {
		return patient
	}
	return nil
}

// reserveDivisor sets aside one slot in this many, at least one, that less
// urgent classes leave free, so that urgent work starts without waiting for a
// long patient request to end.
const reserveDivisor = 4

func (q *Queue) mayRun(r rank) bool {
	if r == rankUrgent {
		return true
	}
	return q.perRank[rankPatient]+q.perRank[rankNormal] < q.slots(r)
}

func (q *Queue) dispatch(now time.Time, item *waiting) {
	r := rankOf(item.request.Class)
	flow := q.classes[r].pop(item)
	delete(q.byID, item.request.ID)
	q.run[item.request.ID] = &running{request: item.request, started: now, flow: flow}
	q.perRank[r]++
	q.charge(r, item.request.Cost)
}

// charge keeps patient work's account: it earns its percentage of what other
// classes use while it waits, and pays when it runs.
func (q *Queue) charge(r rank, cost float64) {
	if r == rankPatient {
		q.patientCredit = max(0, q.patientCredit-cost)
		return
	}
	if q.classes[rankPatient].len() == 0 {
		q.patientCredit = 0
		return
	}
	share := float64(q.options.PatientPercent) / 100
	q.patientCredit += cost * share / (1 - share)
}

// Done ends a running request: its customer is charged what it really cost, and
// the concurrency limit learns from its latency.
func (q *Queue) Done(now time.Time, id string, actualCost float64, ok bool) {
	item := q.run[id]
	if item == nil {
		return
	}
	delete(q.run, id)
	r := rankOf(item.request.Class)
	q.perRank[r]--
	if actualCost <= 0 {
		actualCost = item.request.Cost
	}
	q.classes[r].correct(item.flow, actualCost-item.request.Cost)
	q.limit.Observe(now.Sub(item.started), actualCost, len(q.run)+1, len(q.byID) > 0, ok)
	q.learnRate(now, item, actualCost)
}

// rateWeight is the weight of one finished request in the smoothed rate.
const rateWeight = 0.05

func (q *Queue) learnRate(now time.Time, item *running, cost float64) {
	took := now.Sub(item.started).Seconds()
	if took <= 0 {
		return
	}
	rate := cost / took
	if q.slotRate == 0 {
		q.slotRate = rate
		return
	}
	q.slotRate += rateWeight * (rate - q.slotRate)
}

// Withdraw takes a waiting request out. True means that it had not started and
// never will; false means that it isn't waiting here.
func (q *Queue) Withdraw(id string) bool {
	item := q.byID[id]
	if item == nil {
		return false
	}
	q.remove(item)
	return true
}

func (q *Queue) remove(item *waiting) {
	delete(q.byID, item.request.ID)
	q.classes[rankOf(item.request.Class)].remove(item)
}

// Expired takes out and returns the requests that won't run any more, each with
// its final answer: those whose deadline has passed, those that made room, and
// those that Next gave up. Call it before and after Next.
func (q *Queue) Expired(now time.Time) []Refusal {
	var refused []Refusal
	for _, request := range q.hopeless {
		refused = append(refused, Refusal{Request: request, Failure: failure.NotRun(failure.StepQueue, "",
			failure.CodeDeadline, "it would end after its deadline").After(q.retryAfter(request))})
	}
	q.hopeless = nil
	for _, class := range q.classes {
		for _, request := range class.evicted {
			refused = append(refused, Refusal{Request: request, Failure: failure.NotRun(failure.StepQueue, "",
				failure.CodeOverloaded, "gave way: its customer had the longest queue").After(q.retryAfter(request))})
		}
		class.evicted = nil
		for _, item := range class.overdue(now) {
			q.remove(item)
			refused = append(refused, Refusal{Request: item.request, Failure: failure.NotRun(failure.StepQueue, "",
				failure.CodeDeadline, "the deadline passed in the queue").After(q.retryAfter(item.request))})
		}
	}
	return refused
}

func (q *Queue) retryAfter(request Request) time.Duration {
	return max(q.EstimateWait(request), minRetryAfter)
}

// Refusal is the final answer to a request that had been queued.
type Refusal struct {
	Request Request
	Failure *failure.Error
}

// NextDeadline returns the earliest deadline of a waiting request.
func (q *Queue) NextDeadline() (time.Time, bool) {
	var earliest time.Time
	for _, class := range q.classes {
		if len(class.deadlines) == 0 {
			continue
		}
		if at := class.deadlines[0].request.Deadline; earliest.IsZero() || at.Before(earliest) {
			earliest = at
		}
	}
	return earliest, !earliest.IsZero()
}

// Configure changes what the operators set. Requests that run already go on.
func (q *Queue) Configure(maxConcurrency, patientPercent int) {
	q.limit.SetMax(maxConcurrency)
	q.options.PatientPercent = patientPercent
}

// Queued is the number of waiting requests.
func (q *Queue) Queued() int { return len(q.byID) }

// Running is the number of dispatched requests that have not ended.
func (q *Queue) Running() int { return len(q.run) }

// Limit is the present concurrency limit.
func (q *Queue) Limit() int { return q.limit.Current() }

// ServiceTime is the smoothed time from start to end of a request.
func (q *Queue) ServiceTime() time.Duration { return q.limit.Latency() }

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
