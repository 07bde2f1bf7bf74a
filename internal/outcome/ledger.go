// Package outcome counts the outcomes of accepted requests, and tracks idempotency keys.
package outcome

import (
	"sync"

	"github.com/crowbridge/crowbridge/internal/failure"
)

// Counts is a snapshot of a ledger. Accepted equals the sum of the other four.
type Counts struct {
	Accepted int64
	Answered int64
	NotRun   int64
	Unknown  int64
	InFlight int64
}

// Balanced reports whether every accepted request has exactly one outcome or is in flight.
func (c Counts) Balanced() bool {
	return c.Accepted == c.Answered+c.NotRun+c.Unknown+c.InFlight
}

// Ledger counts the outcomes of accepted requests. It is safe for concurrent use.
type Ledger struct {
	mu     sync.Mutex
	counts Counts
}

// Ticket represents one accepted request. It must be closed exactly once.
type Ticket struct {
	ledger *Ledger
	closed bool
}

// Accept counts a request and returns its ticket.
func (l *Ledger) Accept() *Ticket {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Accepted++
	l.counts.InFlight++
	return &Ticket{ledger: l}
}

// Close records the outcome. It reports whether this was the first call; further calls have no
// effect.
func (t *Ticket) Close(outcome failure.Outcome) bool {
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	if t.closed {
		return false
	}
	t.closed = true
	t.ledger.counts.InFlight--
	switch outcome {
	case failure.OutcomeAnswered:
		t.ledger.counts.Answered++
	case failure.OutcomeNotRun:
		t.ledger.counts.NotRun++
	case failure.OutcomeUnknown:
		t.ledger.counts.Unknown++
	default:
		t.ledger.counts.Unknown++
	}
	return true
}

// Counts returns a snapshot.
func (l *Ledger) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}
