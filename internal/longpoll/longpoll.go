// Package longpoll judges reads that wait for news, whose silence means "nothing new" only
// if the source hears of it.
package longpoll

import (
	"sync/atomic"
	"time"
)

const (
	// DoubtWait is how long such a read may wait while its silence is in doubt: it bounds
	// how late news is then, at two calls a second.
	UntrustedWait = 500 * time.Millisecond
	// PeerAheadGrace is how long a read may still be silent about what a peer has told: reads
	// of several daemons end some milliseconds apart.
	PeerAheadGrace = 150 * time.Millisecond
	// doubtTime is for how long silence is in doubt after anything that may have left a read
	// deaf. After a compaction, reads of the store are stale by some seconds.
	untrustedTime = 10 * time.Second
)

// Doubt is whether the silence of a source can be believed. After a compaction of the
// operators' topic all reads that had begun in its wake heard of nothing, without an error:
// entries that believed them stayed on an old configuration for good. The zero value
// believes. Safe for concurrent use.
type Trust struct {
	revokedUntil atomic.Int64 // nanoseconds since 1970
}

// Raise doubts from now on for a while. It returns whether silence was believed before.
func (d *Trust) Revoke(now time.Time) (news bool) {
	news = !d.Revoked(now)
	d.revokedUntil.Store(now.Add(untrustedTime).UnixNano())
	return news
}

// Holds tells whether silence is in doubt.
func (d *Trust) Revoked(now time.Time) bool { return now.UnixNano() < d.revokedUntil.Load() }

// Bound returns how long a read may wait that would wait for a time if its silence could be
// believed.
func (d *Trust) MaxWait(wait time.Duration, now time.Time) time.Duration {
	if d.Revoked(now) {
		return min(wait, UntrustedWait)
	}
	return wait
}
