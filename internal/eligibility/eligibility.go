// Package eligibility holds what a start of a backend server has said of itself that
// bars requests from it: that it wants none for a while, or that it is leaving. Its word
// binds whatever else is believed of it: load, health and the need of another server are
// reasons to prefer one server to another, never to send against its word.
package eligibility

import (
	"fmt"
	"time"

	"github.com/crowbridge/crowbridge/internal/failure"
)

// MaxRest is the longest rest that a server is believed to want, so that a wrong unit
// doesn't lose it for good: a day, after which one request asks it again. Operators take
// a server away that is to get nothing for longer.
const MaxRest = 24 * time.Hour

// Reason is why a server may get no requests.
type Reason string

// The reasons.
const (
	// Resting servers have asked for no requests for a time.
	Resting Reason = "resting"
	// Leaving servers have said that they leave: they get none before their next start.
	Leaving Reason = "leaving"
	// Limited servers have named a limit, of which nothing is left now.
	Limited Reason = "limited"
	// Full servers have as many connections of this daemon as are its part.
	Full Reason = "full"
)

// Bar says that a server may get no requests now.
type Exclusion struct {
	Reason Reason
	// Left is how long it holds still; 0 when only the server's next start ends it.
	Remaining time.Duration
}

// Code is what callers of a request are told that was held back.
func (b *Exclusion) Code() failure.Code {
	switch b.Reason {
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

// String says it for people.
func (b *Exclusion) String() string {
	switch b.Reason {
	case Leaving:
		return "the server has said that it leaves"
	case Limited:
		return fmt.Sprintf("the server's limit allows no request for %s", b.Remaining.Round(time.Millisecond))
	case Full:
		return "this daemon has its part of the server's connections"
	case Resting:
	}
	return fmt.Sprintf("the server has asked for rest, %s of it left", b.Remaining.Round(time.Millisecond))
}

// BarredError says that nothing was sent to a server because of its word.
type ExcludedError struct{ Exclusion *Exclusion }

// Error implements error.
func (e *ExcludedError) Error() string { return e.Exclusion.String() }

// Notice is what one start of a server has said of itself. The zero value is that of one
// that has said nothing. Not safe for concurrent use.
//
// Invariant: a bar in force ends at its time only. No answer of the server that isn't a
// later word, no success and no shorter rest ends it sooner.
type Report struct {
	restUntil time.Time
	leaving   bool
	// saidAt is when it said something last.
	reportedAt time.Time
}

// AskForRest takes in that the server wants no requests for a time from now on. It
// returns for how long it gets none now.
func (n *Report) RecordRest(rest time.Duration, now time.Time) time.Duration {
	if rest > 0 {
		n.reportedAt = now
		if until := now.Add(min(rest, MaxRest)); until.After(n.restUntil) {
			n.restUntil = until
		}
	}
	return max(n.restUntil.Sub(now), 0)
}

// Leave takes in that the server leaves. It returns whether that is news.
func (n *Report) MarkLeaving(now time.Time) bool {
	news := !n.leaving
	n.leaving, n.reportedAt = true, now
	return news
}

// Bar returns why the server may get no requests now, or nil.
func (n *Report) Exclusion(now time.Time) *Exclusion {
	switch {
	case n.leaving:
		return &Exclusion{Reason: Leaving}
	case now.Before(n.restUntil):
		return &Exclusion{Reason: Resting, Remaining: n.restUntil.Sub(now)}
	default:
		return nil
	}
}

// SaidAt is when the server said something last; zero when it never did.
func (n *Report) ReportedAt() time.Time { return n.reportedAt }
