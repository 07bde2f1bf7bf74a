package crash

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// maxPullAge is the longest time since the last pull from a peer for which a daemon's evidence
	// counts as current. A start or a suspension exceeds it. Failed pulls count, since a
	// partitioned daemon must serve what it can.
	maxPullAge = 2 * time.Second
	// refreshTimeout bounds a refresh, and so the time for which it holds requests. It is less
	// than the time that a request waits for a pending decision.
	refreshTimeout = 200 * time.Millisecond
	// refreshPeers is the number of peers that a refresh pulls from at once, so that one that is
	// suspended or partitioned doesn't decide.
	refreshPeers = 3
)

// refresher keeps requests from being admitted on evidence that peers have outdated.
type refresher struct {
	// pull pulls evidence from peers until the context ends; nil if there are none.
	pull func(ctx context.Context)

	mu sync.Mutex // a leaf
	// pulledAt is the time of the last pull, or zero.
	pulledAt time.Time
	// startedAt is when the refresh in progress began, or zero.
	startedAt time.Time
}

// SetRefresh sets the function that pulls evidence from several peers until the context ends.
// Call it before the first request.
func (det *Detector) SetRefresh(pull func(ctx context.Context)) { det.refresher.pull = pull }

// outdated reports whether requests must wait for a refresh, and starts one if needed.
func (det *Detector) outdated() bool {
	r := &det.refresher
	if r.pull == nil {
		return false
	}
	now := det.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isCurrent(now) {
		return false
	}
	if r.begin(now) {
		det.afterFunc(0, func() { det.refresh(context.Background()) })
	}
	return now.Sub(r.startedAt) < refreshTimeout
}

// RecordPull records a pull from a peer, successful or not. If the evidence was outdated before, it
// refreshes it first, unless that is in progress.
func (det *Detector) RecordPull(ctx context.Context) {
	r, now := &det.refresher, det.now()
	r.mu.Lock()
	current := r.pull == nil || r.isCurrent(now)
	begun := !current && r.begin(now)
	if current {
		r.pulledAt = now
	}
	r.mu.Unlock()
	if begun {
		det.refresh(ctx)
	}
}

// isCurrent reports whether the evidence was pulled recently. The caller holds mu.
func (r *refresher) isCurrent(now time.Time) bool { return now.Sub(r.pulledAt) <= maxPullAge }

// begin reports whether the caller has to refresh, since no refresh is in progress. The caller holds
// mu.
func (r *refresher) begin(now time.Time) bool {
	if !r.startedAt.IsZero() {
		return false
	}
	r.startedAt = now
	return true
}

// refresh pulls evidence from several peers.
func (det *Detector) refresh(ctx context.Context) {
	r := &det.refresher
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	startedAt := det.now()
	r.pull(ctx)
	r.mu.Lock()
	age := startedAt.Sub(r.pulledAt)
	first := r.pulledAt.IsZero()
	r.pulledAt, r.startedAt = det.now(), time.Time{}
	r.mu.Unlock()
	fields := logrus.Fields{"took_ms": det.now().Sub(startedAt).Milliseconds()}
	if !first {
		fields["age_ms"] = age.Milliseconds()
	}
	det.log.WithFields(fields).Info("evidence of server exits refreshed from peers")
}

// RefreshFrom calls pull for up to refreshPeers random peers at once, and waits for all.
func RefreshFrom(peers []string, pull func(peer string)) {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var pulls sync.WaitGroup
	for _, peer := range peers[:min(len(peers), refreshPeers)] {
		pulls.Go(func() { pull(peer) })
	}
	pulls.Wait()
}
