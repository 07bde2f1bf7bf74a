package admission

import (
	"time"

	"github.com/crowbridge/crowbridge/internal/failure"
)

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

// giveUp takes out a request that would end after its deadline: the server's
// time goes to those that can still be answered in time. Expired returns it.
func (q *Queue) giveUp(item *waiting) {
	q.remove(item)
	q.hopeless = append(q.hopeless, item.request)
}

// Expired takes out and returns the requests that won't run any more, each with
// its final answer: those whose deadline has passed, those that made room, and
// those that Next gave up. Call it before and after Next.
func (q *Queue) TakeRefusals(now time.Time) []Refusal {
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
