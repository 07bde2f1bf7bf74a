package ratelimit

import "time"

// Limit is the limit that a server reported in one response.
type Limit struct {
	// Present is set when the response named a limit, in requests per second from all VMs
	// together. Otherwise the server reported that it has none.
	Present   bool
	PerSecond float64
	// RequestedAt is when the request was sent, ReceivedAt when the response arrived. The
	// server reported the limit in between.
	RequestedAt, ReceivedAt time.Time
}

// stricterThan reports whether l allows less than other.
func (l Limit) stricterThan(other Limit) bool {
	return l.Present && (!other.Present || l.PerSecond < other.PerSecond)
}

// equal reports whether both limits allow the same.
func (l Limit) equal(other Limit) bool {
	return l.Present == other.Present && (!l.Present || l.PerSecond == other.PerSecond)
}

// supersede returns the limit in force after l was received while previous was in force.
// Responses may overtake each other: l is certainly newer only if its request was sent after
// the previous response arrived.
func (l Limit) supersede(previous Limit) Limit {
	switch {
	case l.RequestedAt.After(previous.ReceivedAt):
		return l
	case l.ReceivedAt.Before(previous.RequestedAt):
		return previous
	case l.equal(previous) || l.stricterThan(previous):
		l.RequestedAt, l.ReceivedAt = latest(l.RequestedAt, previous.RequestedAt), latest(l.ReceivedAt, previous.ReceivedAt)
		return l
	default:
		return previous
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
