// Package admission decides, for one backend server, which request runs next:
// priority classes with deadlines, weighted fair sharing between customers
// within a class, a guaranteed share for patient work, and a concurrency limit
// that follows the server's latency. It is a pure aggregate: time comes in as
// an argument, and nothing in it blocks.
package admission

import (
	"time"

	"github.com/crowbridge/crowbridge/internal/failure"
)

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

// expectMargin allows for requests that cost more than their estimate.
const expectMargin = 1.25

// expect is how long the request will probably run. It's 0 while nothing runs:
// one request is always let through, so that a wrong expectation can't refuse
// all that would correct it.
func (q *Queue) expect(request Request) time.Duration {
	if len(q.run) == 0 {
		return 0
	}
	return time.Duration(expectMargin * float64(q.limit.EstimateDuration(request.Cost)))
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
func (q *Queue) Dispatch(now time.Time) []Request {
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
