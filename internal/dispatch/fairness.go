package dispatch

import "time"

const (
	// shareSlack is how many times as many requests in progress as the others have on
	// average a customer may have, and leastShare how many it may always have: one entry
	// sees few requests, whose numbers vary.
	shareSlack = 2
	leastShare = 2
	// askedLately is how long a customer counts after its last request, also a refused
	// one: longer than callers wait before they come back.
	askedLately = 3 * time.Second
	// countPace is how often the customers that count are counted.
	countPace = 250 * time.Millisecond
)

// customerShares counts one service's requests in progress by customer, as far as
// they came through this entry. Not safe for concurrent use.
type customerShares struct {
	customers map[string]*customerShare
	inFlight  int
	// active is the number of customers that asked lately, as of countedAt.
	active    int
	countedAt time.Time
}

type customerShare struct {
	inFlight int
	askedAt  time.Time
}

func newCustomerShares() *customerShares {
	return &customerShares{customers: map[string]*customerShare{}}
}

// asked notes that a customer asks for a place. It tells whether the customer has
// more than its share already: a multiple of what the others that asked lately have.
func (s *customerShares) asked(name string, now time.Time) (over bool) {
	c := s.customer(name)
	c.askedAt = now
	s.count(now)
	if s.active < 2 {
		return false
	}
	others := float64(s.inFlight-c.inFlight) / float64(s.active-1)
	return float64(c.inFlight) >= max(leastShare, shareSlack*others)
}

// customer returns a customer's share, a new one if it isn't known: it may have been
// forgotten since it asked, when this process has been paused.
func (s *customerShares) customer(name string) *customerShare {
	c := s.customers[name]
	if c == nil {
		c = &customerShare{}
		s.customers[name] = c
		s.countedAt = time.Time{}
	}
	return c
}

// count brings the number of active customers up to date and forgets the others.
func (s *customerShares) count(now time.Time) {
	if now.Sub(s.countedAt) < countPace {
		return
	}
	s.countedAt, s.active = now, 0
	for name, c := range s.customers {
		switch {
		case now.Sub(c.askedAt) <= askedLately:
			s.active++
		case c.inFlight == 0:
			delete(s.customers, name)
		}
	}
}

// began and ended follow a request that got a place.
func (s *customerShares) began(name string) {
	s.customer(name).inFlight++
	s.inFlight++
}

func (s *customerShares) ended(name string) {
	s.customer(name).inFlight--
	s.inFlight--
}

// askedForPlace tells whether a customer that asks for a place at a service has more
// than its share already.
func (b *Balancer) askedForPlace(service, customer string, now time.Time) (over bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	shares := b.shares[service]
	if shares == nil {
		shares = newCustomerShares()
		b.shares[service] = shares
	}
	return shares.asked(customer, now)
}

// gotPlace and leftPlace follow a request after askedForPlace.
func (b *Balancer) gotPlace(service, customer string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shares[service].began(customer)
}

func (b *Balancer) leftPlace(service, customer string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shares[service].ended(customer)
}
