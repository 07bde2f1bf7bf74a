// Package admission decides which request runs next at one backend server. It implements
// priority classes with deadlines, weighted fair sharing between customers within a class, a
// guaranteed share for patient requests, and a concurrency limit that adapts to the server's
// latency. It does no I/O and never blocks; time is an argument.
package admission

import (
	"time"

	"github.com/crowbridge/crowbridge/internal/failure"
)

// Queue holds the waiting and running requests of one server. A request is either waiting or
// running, or in neither state once it ended; a request that Withdraw reported as not started
// is never returned by Dispatch. It is not safe for concurrent use.
type Queue struct {
	options           Options
	limit             *Limit
	classes           [priorityCount]*classQueue
	byID              map[string]*waiting
	run               map[string]*running
	runningByPriority [priorityCount]int // running requests by class

	givenUp       []Request // given up since the last TakeRefusals
	patientCredit float64
	slotRate      float64 // smoothed cost per second and slot
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

// Offer queues a request, or refuses it with a retry hint. Call Dispatch afterwards: the
// request may be able to start immediately.
func (q *Queue) Offer(now time.Time, request Request) *failure.Error {
	if request.Weight < 1 {
		request.Weight = 1
	}
	if request.Cost <= 0 {
		request.Cost = 1
	}
	left := request.Deadline.Sub(now)
	if left <= 0 {
		return failure.NotRun(failure.StepQueue, "", failure.CodeDeadline, "deadline already passed on arrival")
	}
	wait := q.EstimateWait(request)
	if needed := wait + q.expectedDuration(request); needed > left {
		return failure.NotRun(failure.StepQueue, "", failure.CodeOverloaded,
			"expected wait exceeds the deadline").WithRetryAfter(max(needed-left, minRetryAfter))
	}
	class := q.classes[priorityOf(request.Class)]
	if len(q.byID) >= q.options.MaxQueued && !q.evictFor(request) {
		return failure.NotRun(failure.StepQueue, "", failure.CodeOverloaded, "queue is full").WithRetryAfter(max(wait, minRetryAfter))
	}
	item := &waiting{request: request, queued: now}
	class.push(item)
	q.byID[request.ID] = item
	return nil
}

// durationMargin allows for requests that cost more than estimated.
const durationMargin = 1.25

// expectedDuration returns the expected duration of the request. It is 0 while nothing runs:
// one request is always permitted, since a wrong estimate could otherwise never be corrected.
func (q *Queue) expectedDuration(request Request) time.Duration {
	if len(q.run) == 0 {
		return 0
	}
	return time.Duration(durationMargin * float64(q.limit.EstimateDuration(request.Cost)))
}

// EstimateWait returns the expected queueing time of the request, from the cost queued ahead
// of it and the recent throughput.
func (q *Queue) EstimateWait(request Request) time.Duration {
	own := priorityOf(request.Class)
	if q.slotRate <= 0 || (len(q.byID) == 0 && len(q.run) < q.slots(own)) {
		return 0
	}
	ahead := q.classes[own].costAhead(request)
	for p := priorityUrgent; p < own; p++ {
		ahead += q.classes[p].cost
	}
	return time.Duration(ahead / (q.slotRate * float64(q.slots(own))) * float64(time.Second))
}

// slots returns how many requests of a class and less urgent ones may run at once.
func (q *Queue) slots(p priority) int {
	limit := q.limit.Current()
	if p == priorityUrgent || limit < 2 {
		return limit
	}
	return limit - max(1, limit/reserveDivisor)
}

// Dispatch starts all requests that may run now. The caller must run each of them, and end it
// with Done.
func (q *Queue) Dispatch(now time.Time) []Request {
	var dispatched []Request
	for len(q.run) < q.limit.Current() {
		item := q.selectNext(now)
		if item == nil {
			break
		}
		if now.Add(q.expectedDuration(item.request)).After(item.request.Deadline) {
			q.giveUp(item)
			continue
		}
		q.dispatch(now, item)
		dispatched = append(dispatched, item.request)
	}
	return dispatched
}

// selectNext returns the next request: a patient one if the guaranteed share is due, else one
// of the most urgent class that waits and has a slot.
func (q *Queue) selectNext(now time.Time) *waiting {
	patient := q.classes[priorityPatient].peek(now)
	urgentWaits := q.classes[priorityUrgent].peek(now) != nil || q.classes[priorityNormal].peek(now) != nil
	if patient != nil && urgentWaits && q.patientCredit >= patient.request.Cost {
		return patient
	}
	for p := priorityUrgent; p < priorityPatient; p++ {
		if item := q.classes[p].peek(now); item != nil && q.hasSlot(p) {
			return item
		}
	}
	if patient != nil && q.hasSlot(priorityPatient) {
		return patient
	}
	return nil
}

// reserveDivisor is the fraction of slots, as a divisor, that less urgent classes leave free,
// at least one. Urgent requests then start without waiting for a long patient one.
const reserveDivisor = 4

func (q *Queue) hasSlot(p priority) bool {
	if p == priorityUrgent {
		return true
	}
	return q.runningByPriority[priorityPatient]+q.runningByPriority[priorityNormal] < q.slots(p)
}

func (q *Queue) dispatch(now time.Time, item *waiting) {
	p := priorityOf(item.request.Class)
	flow := q.classes[p].pop(item)
	delete(q.byID, item.request.ID)
	q.run[item.request.ID] = &running{request: item.request, started: now, flow: flow}
	q.runningByPriority[p]++
	q.updatePatientCredit(p, item.request.Cost)
}

// updatePatientCredit adjusts the credit of patient requests after a dispatch. While any of them
// waits, it grows with the cost of other classes, so that they get PatientPercent of the total;
// it shrinks by their own cost.
func (q *Queue) updatePatientCredit(p priority, cost float64) {
	if p == priorityPatient {
		q.patientCredit = max(0, q.patientCredit-cost)
		return
	}
	if q.classes[priorityPatient].len() == 0 {
		q.patientCredit = 0
		return
	}
	share := float64(q.options.PatientPercent) / 100
	q.patientCredit += cost * share / (1 - share)
}

// Done ends a running request, charges its customer the actual cost, and updates the
// concurrency limit.
func (q *Queue) Done(now time.Time, id string, actualCost float64, ok bool) {
	item := q.run[id]
	if item == nil {
		return
	}
	delete(q.run, id)
	p := priorityOf(item.request.Class)
	q.runningByPriority[p]--
	if actualCost <= 0 {
		actualCost = item.request.Cost
	}
	q.classes[p].adjustCost(item.flow, actualCost-item.request.Cost)
	q.limit.Observe(now.Sub(item.started), actualCost, len(q.run)+1, len(q.byID) > 0, ok)
	q.updateRate(now, item, actualCost)
}

// rateWeight is the weight of one request in the smoothed rate.
const rateWeight = 0.05

func (q *Queue) updateRate(now time.Time, item *running, cost float64) {
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

// Withdraw removes a waiting request. It reports whether the request was waiting, and so never
// starts.
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
	q.classes[priorityOf(item.request.Class)].remove(item)
}

// NextDeadline returns the earliest deadline of the waiting requests, and whether any waits.
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

// Configure sets the operators' options. Running requests are not affected.
func (q *Queue) Configure(maxConcurrency, patientPercent int) {
	q.limit.SetMax(maxConcurrency)
	q.options.PatientPercent = patientPercent
}

// Queued returns the number of waiting requests.
func (q *Queue) Queued() int { return len(q.byID) }

// Running returns the number of running requests.
func (q *Queue) Running() int { return len(q.run) }

// Limit returns the current concurrency limit.
func (q *Queue) Limit() int { return q.limit.Current() }

// ServiceTime returns the smoothed duration of a request.
func (q *Queue) ServiceTime() time.Duration { return q.limit.Latency() }
