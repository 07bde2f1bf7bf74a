package ratelimit

import "time"

// Word is what a server has said of its limit in one answer.
type Word struct {
	// Named is set when the answer named a limit: requests a second from all VMs
	// together. Without it, it said that there is none.
	Named     bool
	PerSecond float64
	// Asked is when the request was sent, Heard when the answer came: the server spoke
	// somewhere in between.
	Asked, Heard time.Time
}

// allowsLess tells whether a word allows less than another.
func (w Word) allowsLess(other Word) bool {
	return w.Named && (!other.Named || w.PerSecond < other.PerSecond)
}

// same tells whether two words say the same.
func (w Word) same(other Word) bool {
	return w.Named == other.Named && (!w.Named || w.PerSecond == other.PerSecond)
}

// after returns what holds after a word came when another held. Answers overtake each other:
// only one to a request that was sent after the other answer had come is later for certain.
func (w Word) after(before Word) Word {
	switch {
	case w.Asked.After(before.Heard):
		return w
	case w.Heard.Before(before.Asked):
		return before
	case w.same(before) || w.allowsLess(before):
		w.Asked, w.Heard = latest(w.Asked, before.Asked), latest(w.Heard, before.Heard)
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
