package ratelimit

import (
	"math"
	"time"
)

const (
	// halfLifeRequests is the half-life of a customer's usage in requests of the server,
	// minHalfLife its lower bound in time.
	halfLifeRequests = 20
	minHalfLife      = 5 * time.Second
	// activeWindow is how long a customer counts as active after its last request, including
	// refused ones.
	activeWindow = 3 * time.Second
	// aboveAverageThreshold is the number of requests above the average of the other active
	// customers that makes a customer wait longer.
	aboveAverageThreshold = 0.5
	// recountInterval is how long the counts of active customers are cached.
	recountInterval = 100 * time.Millisecond
	// maxCustomers bounds the tracked customers.
	maxCustomers = 10_000
)

// customerUsages estimates how many of a server's recent requests, at all daemons, were each
// customer's.
type customerUsages struct {
	customers map[uint64]*customerUsage
	// active is the number of customers with recent requests, total their usage, as of
	// countedAt.
	active    int
	total     float64
	countedAt time.Time
}

type customerUsage struct {
	// requests is an exponentially decayed count as of updatedAt.
	requests  float64
	updatedAt time.Time
	// requestedAt is the time of the last request at this daemon.
	requestedAt time.Time
}

// halfLife returns the half-life of usage at a rate.
func halfLife(rate float64) time.Duration {
	return max(minHalfLife, time.Duration(halfLifeRequests/rate*float64(time.Second)))
}

func (t *customerUsages) get(customer uint64) *customerUsage {
	entry := t.customers[customer]
	if entry == nil {
		entry = &customerUsage{}
		t.customers[customer] = entry
	}
	return entry
}

// record adds a request to the customer's usage.
func (t *customerUsages) record(customer uint64, rate float64, now time.Time) {
	usage := t.get(customer)
	usage.requests = usage.decayed(rate, now) + 1
	usage.updatedAt = now
	t.countedAt = time.Time{}
}

// decayed returns the customer's usage at a time.
func (t *customerUsage) decayed(rate float64, now time.Time) float64 {
	return t.requests * math.Exp2(-now.Sub(t.updatedAt).Seconds()/halfLife(rate).Seconds())
}

// aboveAverage reports whether a customer's usage exceeds the average of the other active
// customers by more than aboveAverageThreshold. It records that the customer is active.
func (t *customerUsages) aboveAverage(customer uint64, rate float64, now time.Time) bool {
	own := t.get(customer)
	own.requestedAt = now
	t.recount(rate, now)
	if t.active < 2 {
		return false
	}
	got := own.decayed(rate, now)
	return got > (t.total-got)/float64(t.active-1)+aboveAverageThreshold
}

// recount refreshes the cached number and total usage of active customers.
func (t *customerUsages) recount(rate float64, now time.Time) {
	if !t.countedAt.IsZero() && now.Sub(t.countedAt) < recountInterval {
		return
	}
	t.countedAt, t.active, t.total = now, 0, 0
	for _, usage := range t.customers {
		if now.Sub(usage.requestedAt) <= activeWindow {
			t.active++
			t.total += usage.decayed(rate, now)
		}
	}
}

// prune removes customers whose usage has decayed, and arbitrary ones beyond maxCustomers.
func (t *customerUsages) prune(rate float64, now time.Time) {
	for id, usage := range t.customers {
		if now.Sub(latest(usage.updatedAt, usage.requestedAt)) > 4*halfLife(rate) || len(t.customers) > maxCustomers {
			delete(t.customers, id)
		}
	}
}
