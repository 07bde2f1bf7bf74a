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
	// maxSubjects bounds the requests with remembered exits, and the parts, at some hundred bytes
	// each. A crash leaves about a dozen, and a large fleet has 960 restarts or replacements on an
	// ordinary day.
	maxSubjects = 4096
	// expiryInterval is the time between scans for expired entries.
	expiryInterval = 10 * time.Second
)

// expire removes expired entries, at most once per expiryInterval.
func (t *Table) expire(now time.Time) {
	if now.Sub(t.expiredAt) < expiryInterval {
		return
	}
	t.expiredAt = now
	for d, configured := range t.configured {
		if now.After(configured.until) {
			delete(t.configured, d)
		}
	}
	for _, set := range t.sets() {
		for d, s := range set.subjects {
			s.expire(now, func(server string) { set.removeExit(d, s, server) })
			set.dropIfEmpty(d, s)
		}
	}
}

// expire removes expired losses, and calls removeExit for expired exits.
func (s *subject) expire(now time.Time, removeExit func(server string)) {
	maps.DeleteFunc(s.losses, func(_ string, loss connectionLoss) bool { return now.Sub(loss.at) > lossRetention })
	retention := suspectRetention
	if s.mayBeQuarantined() {
		retention = longQuarantine
	}
	for server, e := range s.exits {
		if now.Sub(e.at) > retention {
			removeExit(server)
		}
	}
}

// mayBeQuarantined reports whether the subject has enough exits for a quarantine.
func (s *subject) mayBeQuarantined() bool {
	required := exitsToQuarantine
	if s.part != nil {
		required = partExitsToQuarantine
	}
	return len(s.exitedServers()) >= required
}

// evictExcess enforces maxSubjects for requests and for parts.
func (t *Table) evictExcess() {
	for _, set := range t.sets() {
		set.evictExcess()
	}
}

// evictExcess enforces maxSubjects. It evicts a batch at a time, so that not every new entry
// needs a scan. Subjects of customers that exceed their share of the set go first, so that
// one customer cannot evict the entries of others; then those that are not quarantined;
// then the oldest.
func (s *evidenceSet) evictExcess() {
	if len(s.subjects) <= maxSubjects {
		return
	}
	var candidates []evictionCandidate
	customers := map[string]int{}
	for d, sub := range s.subjects {
		if len(sub.exits) > 0 {
			candidates = append(candidates, evictionCandidate{
				digest: d, customer: sub.info.Customer, lastExit: sub.lastExit(), quarantined: sub.mayBeQuarantined(),
			})
			customers[sub.info.Customer]++
		}
	}
	if len(candidates) <= maxSubjects {
		return
	}
	for i, candidate := range candidates {
		candidates[i].overShare = customers[candidate.customer] > maxSubjects/len(customers)
	}
	slices.SortFunc(candidates, evictionCandidate.compare)
	for _, candidate := range candidates[:len(candidates)-maxSubjects+maxSubjects/evictionDivisor] {
		sub := s.subjects[candidate.digest]
		for server := range sub.exits {
			s.removeExit(candidate.digest, sub, server)
		}
		s.dropIfEmpty(candidate.digest, sub)
	}
}

// evictionDivisor is the divisor of maxSubjects that gives the size of an evicted batch.
const evictionDivisor = 16

// evictionCandidate is a subject with its eviction criteria.
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
