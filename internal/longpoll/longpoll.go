// Package longpoll tracks whether an empty long poll may be trusted to mean that there is
// nothing new.
package longpoll

import (
	"sync/atomic"
	"time"
)

const (
	// UntrustedWait is the longest wait of an untrusted long poll. It bounds the delay of an
	// update at two calls per second.
	UntrustedWait = 500 * time.Millisecond
	// PeerAheadGrace is how long a read may lag behind a position reported by a peer: reads of
	// several daemons end some milliseconds apart.
	PeerAheadGrace = 150 * time.Millisecond
	// untrustedTime is how long empty polls are untrusted after an event that may have broken
	// a poll. After a compaction, reads of the store are stale by some seconds.
	untrustedTime = 10 * time.Second
)

// Trust states whether empty long polls of a source may be trusted. After a compaction of the
// operators' topic, pending reads may miss all later records without an error, which would
// leave an entry on an old configuration. The zero value trusts. It is safe for concurrent
// use.
type Trust struct {
	revokedUntil atomic.Int64 // nanoseconds since 1970
}

// Revoke withdraws trust for untrustedTime. It reports whether polls were trusted before.
func (t *Trust) Revoke(now time.Time) (wasTrusted bool) {
	wasTrusted = !t.Revoked(now)
	t.revokedUntil.Store(now.Add(untrustedTime).UnixNano())
	return wasTrusted
}

// Revoked reports whether polls are untrusted now.
func (t *Trust) Revoked(now time.Time) bool { return now.UnixNano() < t.revokedUntil.Load() }

// MaxWait returns wait, limited to UntrustedWait while polls are untrusted.
func (t *Trust) MaxWait(wait time.Duration, now time.Time) time.Duration {
	if t.Revoked(now) {
		return min(wait, UntrustedWait)
	}
	return wait
}
