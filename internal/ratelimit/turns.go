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
	// countPace is how often it's counted who asks: each choice wants to know.
	countPace = 100 * time.Millisecond
	// mostTurns bounds the customers that are remembered.
	mostTurns = 10_000
)

// turns remember which customers got a server's last requests, at whichever daemon.
type turns struct {
	customers map[uint64]*turn
	// active is the number of customers that asked lately, sum what they got, as of countedAt.
	active    int
	sum       float64
	countedAt time.Time
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
	t.countedAt = time.Time{}
}

// now is how many requests a customer has got, the older the less.
func (t *turn) now(rate float64, now time.Time) float64 {
	return t.got * math.Exp2(-now.Sub(t.at).Seconds()/kept(rate).Seconds())
}

// ahead tells whether a customer that asks has got more than the others that ask.
func (t *turns) ahead(customer uint64, rate float64, now time.Time) bool {
	own := t.of(customer)
	own.asked = now
	t.count(rate, now)
	if t.active < 2 {
		return false
	}
	got := own.now(rate, now)
	return got > (t.sum-got)/float64(t.active-1)+aheadBy
}

// count counts the customers that asked lately, and what they got, if that was long ago.
func (t *turns) count(rate float64, now time.Time) {
	if !t.countedAt.IsZero() && now.Sub(t.countedAt) < countPace {
		return
	}
	t.countedAt, t.active, t.sum = now, 0, 0
	for _, known := range t.customers {
		if now.Sub(known.asked) <= askedLately {
			t.active++
			t.sum += known.now(rate, now)
		}
	}
}

// forget drops customers whose turns no longer count.
func (t *turns) forget(rate float64, now time.Time) {
	for id, known := range t.customers {
		if now.Sub(latest(known.at, known.asked)) > 4*kept(rate) || len(t.customers) > mostTurns {
			delete(t.customers, id)
		}
	}
}
