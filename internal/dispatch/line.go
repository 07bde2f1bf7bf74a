package dispatch

import "time"

// place is the place of a waiting request in the line for a service. The balancer's mu guards it once it is there.
type place struct {
	// priorityGap is how much less urgent the request is than the most urgent of its service; overShare is set
	// if its customer exceeds its share.
	priorityGap int
	overShare   bool
	// until is when the caller's time ends.
	until time.Time
}

// before reports whether a waiting request is served before another one: by priority, then customers within
// their share, then those with the least time left.
func (a *place) before(b *place) bool {
	switch {
	case a.priorityGap != b.priorityGap:
		return a.priorityGap < b.priorityGap
	case a.overShare != b.overShare:
		return b.overShare
	default:
		return a.until.Before(b.until)
	}
}

// joinLine adds a request to the line for a service. It may be called again.
func (b *Balancer) joinLine(service string, p *place) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lines[service] == nil {
		b.lines[service] = map[*place]bool{}
	}
	b.lines[service][p] = true
}

// leaveLine removes a request from the line for a service, if it is there.
func (b *Balancer) leaveLine(service string, p *place) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.lines[service], p)
	if len(b.lines[service]) == 0 {
		delete(b.lines, service)
	}
}

// countAhead returns how many requests in the line for a service are served before a request, whose customer may
// have come to exceed its share.
func (b *Balancer) countAhead(service string, p *place, overShare bool) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	p.overShare = overShare
	n := 0
	for other := range b.lines[service] {
		if other != p && other.before(p) {
			n++
		}
	}
	return n
}
