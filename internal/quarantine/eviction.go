package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// suspectRetention is how long a single exit is remembered. Callers retry within minutes,
	// and each server crash makes about a dozen unrelated requests suspect.
	suspectRetention = time.Hour
	// maxRequests bounds the requests with remembered exits, at some hundred bytes each. A crash
	// leaves about a dozen, and a large fleet has 960 restarts or replacements on an ordinary day.
	maxRequests = 4096
	// expiryInterval is the time between scans for expired entries.
	expiryInterval = 10 * time.Second
)

// expire removes expired entries, at most once per expiryInterval.
func (t *Table) expire(now time.Time) {
	if now.Sub(t.expiredAt) < expiryInterval {
		return
	}
	t.expiredAt = now
	for d, r := range t.requests {
		maps.DeleteFunc(r.losses, func(_ string, loss connectionLoss) bool { return now.Sub(loss.at) > lossRetention })
		retention := suspectRetention
		if len(r.exitedServers()) >= exitsToQuarantine {
			retention = longQuarantine
		}
		for server, e := range r.exits {
			if now.Sub(e.at) > retention {
				t.removeExit(d, r, server)
			}
		}
		if now.After(r.configuredUntil) {
			r.configuredUntil = time.Time{}
		}
		t.dropIfEmpty(d, r)
	}
}

func (t *Table) removeExit(d Digest, r *request, server string) {
	t.hash ^= hashOf(d, server, r.exits[server].cleared)
	delete(r.exits, server)
}

// evictExcess enforces maxRequests. It evicts a batch at a time, so that not every new entry
// needs a scan. Requests of customers that exceed their share of the table go first, so that
// one customer cannot evict the entries of others; then requests that are not quarantined;
// then the oldest.
func (t *Table) evictExcess() {
	if len(t.requests) <= maxRequests {
		return
	}
	var candidates []evictionCandidate
	customers := map[string]int{}
	for d, r := range t.requests {
		if len(r.exits) > 0 {
			candidates = append(candidates, evictionCandidate{
				digest: d, customer: r.info.Customer, lastExit: r.lastExit(), quarantined: len(r.exitedServers()) >= exitsToQuarantine,
			})
			customers[r.info.Customer]++
		}
	}
	if len(candidates) <= maxRequests {
		return
	}
	for i, candidate := range candidates {
		candidates[i].overShare = customers[candidate.customer] > maxRequests/len(customers)
	}
	slices.SortFunc(candidates, evictionCandidate.compare)
	for _, candidate := range candidates[:len(candidates)-maxRequests+maxRequests/evictionDivisor] {
		r := t.requests[candidate.digest]
		for server := range r.exits {
			t.removeExit(candidate.digest, r, server)
		}
		t.dropIfEmpty(candidate.digest, r)
	}
}

// evictionDivisor is the divisor of maxRequests that gives the size of an evicted batch.
const evictionDivisor = 16

// evictionCandidate is a request with its eviction criteria.
type evictionCandidate struct {
	digest   Digest
	customer string
	lastExit time.Time
	// overShare is set if the customer exceeds its share of the table.
	overShare, quarantined bool
}

func (a evictionCandidate) compare(b evictionCandidate) int {
	if a.overShare != b.overShare {
		if a.overShare {
			return -1
		}
		return 1
	}
	if a.quarantined != b.quarantined {
		if b.quarantined {
			return -1
		}
		return 1
	}
	return a.lastExit.Compare(b.lastExit)
}
