package ratelimit

import (
	"math"
	"time"
)

const (
	// turnsKept is for about how many requests it's remembered who got them, leastKept for
	// how long at least.
	turnsKept = 20
	leastKept = 5 * time.Second
	// askedLately is how long a customer counts after its last request, also a refused one.
	askedLately = 3 * time.Second
	// aheadBy is how many requests more than the others have got on average puts a
	// customer behind them.
	aheadBy = 0.5
	// mostTurns bounds the customers that are remembered.
	mostTurns = 10_000
)

// turns remember which customers got a server's last requests, at whichever daemon.
type turns struct {
	customers map[uint64]*turn
}

type turn struct {
	// got counts requests, the older the less, as of at.
	got float64
	at  time.Time
	// asked is when the customer asked last at this daemon.
	asked time.Time
}

// kept is for how long a turn counts half.
func kept(rate float64) time.Duration {
	return max(leastKept, time.Duration(turnsKept/rate*float64(time.Second)))
}

func (t *turns) of(customer uint64) *turn {
	known := t.customers[customer]
	if known == nil {
		known = &turn{}
		t.customers[customer] = known
	}
	return known
}

// got notes that a customer got a request.
func (t *turns) got(customer uint64, rate float64, now time.Time) {
	known := t.of(customer)
	known.got = known.now(rate, now) + 1
	known.at = now
}

// now is how many requests a customer has got, the older the less.
func (t *turn) now(rate float64, now time.Time) float64 {
	return t.got * math.Exp2(-now.Sub(t.at).Seconds()/kept(rate).Seconds())
}

// ahead tells whether a customer that asks has got more than the others that ask.
func (t *turns) ahead(customer uint64, rate float64, now time.Time) bool {
	own := t.of(customer)
	own.asked = now
	others, sum := 0, 0.0
	for id, other := range t.customers {
		if id != customer && now.Sub(other.asked) <= askedLately {
			others++
			sum += other.now(rate, now)
		}
	}
	return others > 0 && own.now(rate, now) > sum/float64(others)+aheadBy
}

// forget drops customers whose turns no longer count.
func (t *turns) forget(rate float64, now time.Time) {
	for id, known := range t.customers {
		if now.Sub(latest(known.at, known.asked)) > 4*kept(rate) || len(t.customers) > mostTurns {
			delete(t.customers, id)
		}
	}
}
