package eligibility

import "time"

// Exclusions determines when the first of several servers becomes eligible.
type Exclusions struct {
	// anyEligible is set if one of the servers is not excluded.
	anyEligible bool
	// earliest is the shortest remaining time of a rest or limit; 0 if there is none. lasted is for how long it
	// has been in force, if known.
	earliest, lasted time.Duration
}

// Add adds a server's exclusion; nil if the server is eligible.
func (x *Exclusions) Add(e *Exclusion) {
	if e == nil {
		x.anyEligible = true
		return
	}
	if e.Remaining > 0 && (x.earliest == 0 || e.Remaining < x.earliest) {
		x.earliest, x.lasted = e.Remaining, e.Lasted
	}
}

// EarliestEnd returns the time until the first server becomes eligible: 0 if one is eligible
// now, or if none has an end.
func (x *Exclusions) EarliestEnd() time.Duration {
	if x.anyEligible {
		return 0
	}
	return x.earliest
}

// EarliestLasted returns for how long the exclusion that ends first has been in force, or 0 if unknown.
func (x *Exclusions) EarliestLasted() time.Duration { return x.lasted }
