package dispatch

import "time"

const (
	// maxShareFactor is how many times the other active customers' average of requests in
	// progress a customer may have. minShare is always allowed, since the numbers at one entry
	// are small and vary.
	maxShareFactor = 2
	minShare       = 2
	// activeWindow is how long a customer counts as active after its last request, including
	// refused ones, whose callers may be about to come back.
	activeWindow = 3 * time.Second
	// recountInterval is the interval at which active customers are counted.
	recountInterval = 250 * time.Millisecond
)

// serviceUsage counts the requests in progress of one service by customer, at this entry. Not
// safe for concurrent use.
type serviceUsage struct {
	customers map[string]*customerUsage
	inFlight  int
	// activeCustomers is the number of active customers at countedAt.
	activeCustomers int
	countedAt       time.Time
}

type customerUsage struct {
	inFlight      int
	lastRequestAt time.Time
}

func newServiceUsage() *serviceUsage {
	return &serviceUsage{customers: map[string]*customerUsage{}}
}

// recordRequest records a customer's request and reports whether the customer exceeds its
// share, a multiple of the other active customers' average.
func (s *serviceUsage) recordRequest(name string, now time.Time) (overShare bool) {
	c := s.customer(name)
	c.lastRequestAt = now
	s.recount(now)
	if s.activeCustomers < 2 {
		return false
	}
	others := float64(s.inFlight-c.inFlight) / float64(s.activeCustomers-1)
	return float64(c.inFlight) >= max(minShare, maxShareFactor*others)
}

// customer returns a customer's usage, creating it if needed: it may have been dropped between
// recordRequest and acquireSlot if this process was paused.
func (s *serviceUsage) customer(name string) *customerUsage {
	c := s.customers[name]
	if c == nil {
		c = &customerUsage{}
		s.customers[name] = c
		s.countedAt = time.Time{}
	}
	return c
}

// recount updates the number of active customers and drops the inactive ones.
func (s *serviceUsage) recount(now time.Time) {
	if now.Sub(s.countedAt) < recountInterval {
		return
	}
	s.countedAt, s.activeCustomers = now, 0
	for name, c := range s.customers {
		switch {
		case now.Sub(c.lastRequestAt) <= activeWindow:
			s.activeCustomers++
		case c.inFlight == 0:
			delete(s.customers, name)
		}
	}
}

// acquireSlot and releaseSlot count an admitted request.
func (s *serviceUsage) acquireSlot(name string) {
	s.customer(name).inFlight++
	s.inFlight++
}

func (s *serviceUsage) releaseSlot(name string) {
	s.customer(name).inFlight--
	s.inFlight--
}

// requestSlot records a customer's request to a service and reports whether the customer
// exceeds its share.
func (b *Balancer) requestSlot(service, customer string, now time.Time) (overShare bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	usage := b.usage[service]
	if usage == nil {
		usage = newServiceUsage()
		b.usage[service] = usage
	}
	return usage.recordRequest(customer, now)
}

// acquireSlot and releaseSlot count an admitted request. requestSlot comes first.
func (b *Balancer) acquireSlot(service, customer string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usage[service].acquireSlot(customer)
}

func (b *Balancer) releaseSlot(service, customer string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usage[service].releaseSlot(customer)
}
