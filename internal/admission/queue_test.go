package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

func newTestQueue(slots int) *Queue {
	return NewQueue(Options{
		Limit: LimitOptions{Min: slots, Max: slots}, MaxQueued: 100000, PatientPercent: 10,
	})
}

func request(id int, customer string, class config.Class, cost float64) Request {
	return Request{
		ID: fmt.Sprint(id), Customer: customer, Weight: 1, Class: class, Cost: cost,
		Deadline: epoch.Add(time.Hour),
	}
}

// serve runs n requests sequentially and returns the cost served per customer.
func serve(q *Queue, n int) map[string]float64 {
	now := epoch
	got := map[string]float64{}
	for range n {
		for _, r := range q.Dispatch(now) {
			got[r.Customer] += r.Cost
			now = now.Add(time.Millisecond)
			q.Done(now, r.ID, r.Cost, true)
		}
	}
	return got
}

// jain is Jain's fairness index: 1 when all shares are equal.
func jain(shares map[string]float64) float64 {
	sum, squares := 0.0, 0.0
	for _, share := range shares {
		sum += share
		squares += share * share
	}
	return sum * sum / (float64(len(shares)) * squares)
}

var _ = Describe("fair sharing", func() {
	It("gives customers equal shares regardless of their load", func() {
		q := newTestQueue(1)
		id := 0
		for customer := range 10 {
			count := 100
			if customer == 0 {
				count = 5000
			}
			for range count {
				id++
				Expect(q.Offer(epoch, request(id, fmt.Sprint("c", customer), config.ClassNormal, 10))).To(BeNil())
			}
		}
		Expect(jain(serve(q, 900))).To(BeNumerically(">", 0.99))
	})

	It("gives shares in proportion to weights", func() {
		q := newTestQueue(1)
		for id := range 2000 {
			r := request(id, fmt.Sprint("c", id%2), config.ClassNormal, 10)
			r.Weight = 1 + 2*(id%2)
			Expect(q.Offer(epoch, r)).To(BeNil())
		}
		got := serve(q, 400)
		Expect(got["c1"] / got["c0"]).To(BeNumerically("~", 3, 0.05))
	})

	It("charges the actual cost of requests", func() {
		q := newTestQueue(1)
		for id := range 2000 {
			Expect(q.Offer(epoch, request(id, fmt.Sprint("c", id%2), config.ClassNormal, 10))).To(BeNil())
		}
		charged := map[string]float64{}
		now := epoch
		for range 400 {
			for _, r := range q.Dispatch(now) {
				cost := 10.0
				if r.Customer == "c1" {
					cost = 40
				}
				charged[r.Customer] += cost
				now = now.Add(time.Millisecond)
				q.Done(now, r.ID, cost, true)
			}
		}
		Expect(charged["c1"] / charged["c0"]).To(BeNumerically("~", 1, 0.05))
	})

	It("evicts from the customer with the longest queue when full", func() {
		q := NewQueue(Options{Limit: LimitOptions{Min: 1, Max: 1}, MaxQueued: 4, PatientPercent: 10})
		for id := range 5 {
			Expect(q.Offer(epoch, request(id, "greedy", config.ClassNormal, 10))).To(BeNil())
			q.Dispatch(epoch)
		}
		Expect(q.Offer(epoch, request(98, "greedy", config.ClassNormal, 10))).NotTo(BeNil())
		Expect(q.Offer(epoch, request(99, "modest", config.ClassNormal, 10))).To(BeNil())
		refused := q.TakeRefusals(epoch)
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].Request.Customer).To(Equal("greedy"))
		Expect(refused[0].Failure.RetryAfter).To(BeNumerically(">", 0))
	})
})

var _ = Describe("priority classes", func() {
	It("start urgent requests first", func() {
		q := newTestQueue(1)
		for id := range 100 {
			Expect(q.Offer(epoch, request(id, "a", config.ClassPatient, 10))).To(BeNil())
		}
		Expect(q.Offer(epoch, request(1000, "b", config.ClassUrgent, 10))).To(BeNil())
		started := q.Dispatch(epoch)
		Expect(started).To(HaveLen(1))
		Expect(started[0].ID).To(Equal("1000"))
	})

	It("reserve a slot for urgent requests", func() {
		q := newTestQueue(4)
		for id := range 100 {
			Expect(q.Offer(epoch, request(id, "a", config.ClassPatient, 10))).To(BeNil())
		}
		Expect(q.Dispatch(epoch)).To(HaveLen(3))
		Expect(q.Offer(epoch, request(1000, "b", config.ClassUrgent, 10))).To(BeNil())
		Expect(q.Dispatch(epoch)).To(HaveLen(1))
	})

	It("guarantee patient requests their share", func() {
		q := newTestQueue(2)
		for id := range 4000 {
			class := config.ClassUrgent
			if id%2 == 0 {
				class = config.ClassPatient
			}
			Expect(q.Offer(epoch, request(id, string(class), class, 10))).To(BeNil())
		}
		got := serve(q, 500)
		share := got["patient"] / (got["patient"] + got["urgent"])
		Expect(share).To(BeNumerically("~", 0.10, 0.02))
	})
})

var _ = Describe("deadlines", func() {
	It("that cannot be met cause an immediate refusal with a retry hint", func() {
		q := newTestQueue(1)
		now := epoch
		id := 0
		for range 50 {
			id++
			Expect(q.Offer(now, request(id, "a", config.ClassNormal, 10))).To(BeNil())
			for _, r := range q.Dispatch(now) {
				now = now.Add(100 * time.Millisecond)
				q.Done(now, r.ID, r.Cost, true)
			}
		}
		for range 50 {
			id++
			Expect(q.Offer(now, request(id, "a", config.ClassNormal, 10))).To(BeNil())
		}
		q.Dispatch(now)
		late := request(9999, "a", config.ClassNormal, 10)
		late.Deadline = now.Add(time.Second)
		refused := q.Offer(now, late)
		Expect(refused).NotTo(BeNil())
		Expect(refused.RetryAfter).To(BeNumerically("~", 4*time.Second, time.Second))
	})
})

var _ = Describe("the concurrency limit", func() {
	It("shrinks on increased latency and recovers, within its bounds", func() {
		l := NewLimit(LimitOptions{Min: 2, Max: 32})
		for range 400 {
			l.Observe(10*time.Millisecond, 1, l.Current(), false, true)
		}
		Expect(l.Current()).To(Equal(32))
		for range 400 {
			l.Observe(50*time.Millisecond, 1, l.Current(), false, true)
		}
		slow := l.Current()
		Expect(slow).To(BeNumerically("<", 16))
		Expect(slow).To(BeNumerically(">=", 2))
		for range 2000 {
			l.Observe(10*time.Millisecond, 1, l.Current(), false, true)
		}
		Expect(l.Current()).To(Equal(32))
	})

	It("grows while slots are reserved for urgent requests", func() {
		q := NewQueue(Options{Limit: LimitOptions{Min: 1, Max: 64}, MaxQueued: 100000, PatientPercent: 10})
		now := epoch
		for id := range 4000 {
			r := request(id, "c", config.ClassNormal, 10)
			r.Deadline = epoch.Add(time.Hour * 10)
			Expect(q.Offer(now, r)).To(BeNil())
		}
		for range 200 {
			started := q.Dispatch(now)
			now = now.Add(10 * time.Millisecond)
			for _, r := range started {
				q.Done(now, r.ID, r.Cost, true)
			}
		}
		Expect(q.Limit()).To(Equal(64))
	})

	It("follows changes of its upper bound", func() {
		l := NewLimit(LimitOptions{Min: 1, Max: 1})
		for range 100 {
			l.Observe(10*time.Millisecond, 1, l.Current(), true, true)
		}
		Expect(l.Current()).To(Equal(1))
		l.SetMax(16)
		for range 100 {
			l.Observe(10*time.Millisecond, 1, l.Current(), true, true)
		}
		Expect(l.Current()).To(Equal(16))
		l.SetMax(3)
		Expect(l.Current()).To(Equal(3))
	})

	It("settles near the concurrency beyond which the server slows down", func() {
		const knee = 12
		l := NewLimit(LimitOptions{Min: 1, Max: 100})
		for range 5000 {
			load := math.Max(1, float64(l.Current())/knee)
			l.Observe(time.Duration(10*load*float64(time.Millisecond)), 1, l.Current(), false, true)
		}
		Expect(l.Current()).To(BeNumerically("<=", 4*knee))
		Expect(l.Current()).To(BeNumerically(">=", knee))
	})
})
