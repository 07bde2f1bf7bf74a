package eligibility

import "time"

// Bars counts the servers among some that get no requests by their own word.
type Bars struct {
	count int
	// free is set when one of them isn't barred.
	free bool
	// first is how much is left of the first rest to end; 0 when none rests.
	first time.Duration
}

// Add takes in one server's bar, or nil, and returns whether it's barred.
func (b *Bars) Add(bar *Bar) bool {
	if bar == nil {
		b.free = true
		return false
	}
	b.count++
	if bar.Reason == Resting && (b.first == 0 || bar.Left < b.first) {
		b.first = bar.Left
	}
	return true
}

// Count is how many are barred.
func (b *Bars) Count() int { return b.count }

// FirstLeft returns when the first of them takes requests again: 0 if one takes them now or
// none rests.
func (b *Bars) FirstLeft() time.Duration {
	if b.free {
		return 0
	}
	return b.first
}
