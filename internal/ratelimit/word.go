package ratelimit

import "time"

// Word is what a server has said of its limit in one answer.
type Limit struct {
	// Named is set when the answer named a limit: requests a second from all VMs
	// together. Without it, it said that there is none.
	Present   bool
	PerSecond float64
	// Asked is when the request was sent, Heard when the answer came: the server spoke
	// somewhere in between.
	RequestedAt, ReceivedAt time.Time
}

// allowsLess tells whether a word allows less than another.
func (w Limit) allowsLess(other Limit) bool {
	return w.Present && (!other.Present || w.PerSecond < other.PerSecond)
}

// same tells whether two words say the same.
func (w Limit) same(other Limit) bool {
	return w.Present == other.Present && (!w.Present || w.PerSecond == other.PerSecond)
}

// after returns what holds after a word came when another held. Answers overtake each other:
// only one to a request that was sent after the other answer had come is later for certain.
func (w Limit) after(before Limit) Limit {
	switch {
	case w.RequestedAt.After(before.ReceivedAt):
		return w
	case w.ReceivedAt.Before(before.RequestedAt):
		return before
	case w.same(before) || w.allowsLess(before):
		w.RequestedAt, w.ReceivedAt = latest(w.RequestedAt, before.RequestedAt), latest(w.ReceivedAt, before.ReceivedAt)
		return w
	default:
		return before
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
