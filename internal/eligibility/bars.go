package eligibility

import "time"

// Bars finds out when the first of some servers takes requests.
type Exclusions struct {
	// free is set when one of them isn't barred.
	anyEligible bool
	// first is how much is left of the first rest to end, or how long the first limit allows
	// none; 0 when there is neither.
	earliest time.Duration
}

// Add takes in one server's bar, or nil.
func (b *Exclusions) Add(bar *Exclusion) {
	if bar == nil {
		b.anyEligible = true
		return
	}
	if bar.Remaining > 0 && (b.earliest == 0 || bar.Remaining < b.earliest) {
		b.earliest = bar.Remaining
	}
}

// FirstLeft returns when the first of them takes requests again: 0 if one takes them now or
// none rests.
func (b *Exclusions) EarliestEnd() time.Duration {
	if b.anyEligible {
		return 0
	}
	return b.earliest
}
