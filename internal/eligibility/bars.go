package eligibility

import "time"

// Bars finds out when the first of some servers takes requests.
type Bars struct {
	// free is set when one of them isn't barred.
	free bool
	// first is how much is left of the first rest to end, or how long the first limit allows
	// none; 0 when there is neither.
	first time.Duration
}

// Add takes in one server's bar, or nil.
func (b *Bars) Add(bar *Bar) {
	if bar == nil {
		b.free = true
		return
	}
	if bar.Left > 0 && (b.first == 0 || bar.Left < b.first) {
		b.first = bar.Left
	}
}

// FirstLeft returns when the first of them takes requests again: 0 if one takes them now or
// none rests.
func (b *Bars) FirstLeft() time.Duration {
	if b.free {
		return 0
	}
	return b.first
}
