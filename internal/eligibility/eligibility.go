// Package eligibility tracks whether a backend server incarnation has excluded itself from
// requests: for a while, or because it is leaving. An exclusion is binding; load and health
// affect only the choice among eligible servers.
package eligibility

import (
	"fmt"
	"time"

	"github.com/crowbridge/crowbridge/internal/failure"
)

// MaxRest bounds a requested rest, so that a wrong unit does not exclude a server permanently.
// Operators remove a server that is to get no requests for longer.
const MaxRest = 24 * time.Hour

// Reason is the reason of an exclusion.
type Reason string

const (
	// Resting servers requested a pause.
	Resting Reason = "resting"
	// Leaving servers announced that they shut down. The exclusion lasts until the next
	// incarnation.
	Leaving Reason = "leaving"
	// Limited servers reported a rate limit that is exhausted.
	Limited Reason = "limited"
	// Full servers have reached this daemon's connection quota.
	Full Reason = "full"
)

// Exclusion states that a server may receive no requests now.
type Exclusion struct {
	Reason Reason
	// Remaining is the time until the exclusion ends; 0 if only the next incarnation ends it.
	Remaining time.Duration
	// Lasted is for how long a rest has lasted.
	Lasted time.Duration
}

// Code returns the failure code for callers.
func (e *Exclusion) Code() failure.Code {
	switch e.Reason {
	case Leaving:
		return failure.CodeLeaving
	case Limited:
		return failure.CodeLimited
	case Full:
		return failure.CodeOverloaded
	case Resting:
	}
	return failure.CodeResting
}

// String returns a description for callers and operators.
func (e *Exclusion) String() string {
	switch e.Reason {
	case Leaving:
		return "the server is leaving"
	case Limited:
		return fmt.Sprintf("the server's rate limit is exhausted for %s", e.Remaining.Round(time.Millisecond))
	case Full:
		return "this daemon's connection quota for the server is exhausted"
	case Resting:
	}
	return fmt.Sprintf("the server is resting for another %s", e.Remaining.Round(time.Millisecond))
}

// ExcludedError reports that nothing was sent to a server because it is excluded.
type ExcludedError struct{ Exclusion *Exclusion }

// Error implements error.
func (e *ExcludedError) Error() string { return e.Exclusion.String() }

// Report is what one incarnation of a server has reported about itself. The zero value has no
// report. It is not safe for concurrent use.
//
// Invariant: an exclusion lasts until its end. Neither a successful response nor a shorter
// rest ends it sooner.
type Report struct {
	restFrom, restUntil time.Time
	leaving             bool
	// reportedAt is the time of the last report.
	reportedAt time.Time
}

// RecordRest records that the server requested a rest from now on. It returns the remaining
// rest.
func (r *Report) RecordRest(rest time.Duration, now time.Time) time.Duration {
	if rest > 0 {
		r.reportedAt = now
		if !now.Before(r.restUntil) {
			r.restFrom = now
		}
		if until := now.Add(min(rest, MaxRest)); until.After(r.restUntil) {
			r.restUntil = until
		}
	}
	return max(r.restUntil.Sub(now), 0)
}

// MarkLeaving records that the server is leaving. It reports whether this was unknown before.
func (r *Report) MarkLeaving(now time.Time) bool {
	changed := !r.leaving
	r.leaving, r.reportedAt = true, now
	return changed
}

// Exclusion returns why the server may receive no requests now, or nil.
func (r *Report) Exclusion(now time.Time) *Exclusion {
	switch {
	case r.leaving:
		return &Exclusion{Reason: Leaving}
	case now.Before(r.restUntil):
		return &Exclusion{Reason: Resting, Remaining: r.restUntil.Sub(now), Lasted: now.Sub(r.restFrom)}
	default:
		return nil
	}
}

// ReportedAt returns the time of the last report; zero if there was none.
func (r *Report) ReportedAt() time.Time { return r.reportedAt }
