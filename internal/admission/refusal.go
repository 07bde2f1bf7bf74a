package admission

import (
	"time"

	"github.com/crowbridge/crowbridge/internal/failure"
)

// minRetryAfter is the lower bound of retry hints.
const minRetryAfter = 250 * time.Millisecond

// evictFor evicts a request to make room, and reports whether it did: the newest request of
// the customer with the largest waiting cost per weight in the same or a less urgent class.
// TakeRefusals returns it.
func (q *Queue) evictFor(request Request) bool {
	for p := priorityPatient; p >= priorityOf(request.Class); p-- {
		longest := q.classes[p].longest()
		if longest == nil {
			continue
		}
		sameClass := p == priorityOf(request.Class)
		own := q.classes[p].backlog(request.Customer) + request.Cost/float64(request.Weight)
		if sameClass && longest.backlog() <= own {
			continue
		}
		evicted := longest.newest()
		if evicted == nil {
			continue
		}
		q.classes[p].evicted = append(q.classes[p].evicted, evicted.request)
		q.remove(evicted)
		return true
	}
	return false
}

// giveUp removes a request that would finish after its deadline, which leaves the server's
// time to requests that can still meet theirs. TakeRefusals returns it.
func (q *Queue) giveUp(item *waiting) {
	q.remove(item)
	q.givenUp = append(q.givenUp, item.request)
}

// TakeRefusals returns the queued requests that will not run, each with its failure: overdue,
// evicted, and given up by Dispatch. Call it before and after Dispatch.
func (q *Queue) TakeRefusals(now time.Time) []Refusal {
	var refused []Refusal
	for _, request := range q.givenUp {
		refused = append(refused, Refusal{Request: request, Failure: failure.NotRun(failure.StepQueue, "",
			failure.CodeDeadline, "expected to finish after its deadline").WithRetryAfter(q.retryAfter(request))})
	}
	q.givenUp = nil
	for _, class := range q.classes {
		for _, request := range class.evicted {
			refused = append(refused, Refusal{Request: request, Failure: failure.NotRun(failure.StepQueue, "",
				failure.CodeOverloaded, "evicted: its customer had the longest queue").WithRetryAfter(q.retryAfter(request))})
		}
		class.evicted = nil
		for _, item := range class.popOverdue(now) {
			q.remove(item)
			refused = append(refused, Refusal{Request: item.request, Failure: failure.NotRun(failure.StepQueue, "",
				failure.CodeDeadline, "deadline passed in the queue").WithRetryAfter(q.retryAfter(item.request))})
		}
	}
	return refused
}

func (q *Queue) retryAfter(request Request) time.Duration {
	return max(q.EstimateWait(request), minRetryAfter)
}

// Refusal is the failure of a request that was queued.
type Refusal struct {
	Request Request
	Failure *failure.Error
}
