// Package outcome keeps the books on requests: how each accepted request
// ended, and which idempotency keys have been seen.
package outcome

import (
	"sync"

	"github.com/crowbridge/crowbridge/internal/failure"
)

// Counts is a ledger's content at one moment. Accepted always equals the sum
// of the other four.
type Counts struct {
	Accepted int64
	Answered int64
	NotRun   int64
	Unknown  int64
	InFlight int64
}

// Balanced tells whether every accepted request is accounted for exactly once.
func (c Counts) Balanced() bool {
	return c.Accepted == c.Answered+c.NotRun+c.Unknown+c.InFlight
}

// Ledger counts how accepted requests ended. It is safe for concurrent use.
type Ledger struct {
	mu     sync.Mutex
	counts Counts
}

// Ticket stands for one accepted request; it must be closed exactly once.
type Ticket struct {
	ledger *Ledger
	closed bool
}

// Accept opens a ticket.
func (l *Ledger) Accept() *Ticket {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Accepted++
	l.counts.InFlight++
	return &Ticket{ledger: l}
}

// Close records the outcome. Further calls change nothing, and return false.
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

// Counts returns the ledger's content.
func (l *Ledger) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}
