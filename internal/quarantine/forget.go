package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// suspectTime is how long a single end is remembered: callers that repeat a request
	// do so within minutes, and each server that fails leaves a dozen sound ones suspect.
	suspectTime = time.Hour
	// mostRequests bounds the requests of which ends are remembered: some hundred bytes
	// each. A failing server leaves a dozen, and 960 fail or are replaced on a day.
	mostRequests = 4096
	// expiryPace is the time between looks for what is too old.
	expiryPace = 10 * time.Second
)

// expire forgets what is too old, from time to time.
func (t *Table) expire(now time.Time) {
	if now.Sub(t.expiredAt) < expiryPace {
		return
	}
	t.expiredAt = now
	for d, r := range t.requests {
		maps.DeleteFunc(r.cuts, func(_ string, c cut) bool { return now.Sub(c.at) > cutOffKept })
		kept := suspectTime
		if len(r.endedServers()) >= endsToQuarantine {
			kept = longQuarantine
		}
		for server, e := range r.ends {
			if now.Sub(e.at) > kept {
				t.forget(d, r, server)
			}
		}
		if now.After(r.ordered) {
			r.ordered = time.Time{}
		}
		t.drop(d, r)
	}
}

func (t *Table) forget(d Digest, r *request, server string) {
	t.hash ^= hashOf(d, server, r.ends[server].cleared)
	delete(r.ends, server)
}

// bound forgets ends beyond mostRequests, a part of all at once, so that not each new one
// has to look for the oldest: first of customers that have more than their share of the
// table, so that nobody can push out what is known of others, those of quarantined requests
// last, the oldest first.
func (t *Table) bound() {
	if len(t.requests) <= mostRequests {
		return
	}
	var aged []agedRequest
	customers := map[string]int{}
	for d, r := range t.requests {
		if len(r.ends) > 0 {
			aged = append(aged, agedRequest{
				digest: d, customer: r.about.Customer, newest: r.newestEnd(), quarantined: len(r.endedServers()) >= endsToQuarantine,
			})
			customers[r.about.Customer]++
		}
	}
	if len(aged) <= mostRequests {
		return
	}
	for i, a := range aged {
		aged[i].overShare = customers[a.customer] > mostRequests/len(customers)
	}
	slices.SortFunc(aged, agedRequest.compare)
	for _, a := range aged[:len(aged)-mostRequests+mostRequests/forgottenPart] {
		r := t.requests[a.digest]
		for server := range r.ends {
			t.forget(a.digest, r, server)
		}
		t.drop(a.digest, r)
	}
}

// forgottenPart is the part of mostRequests that is forgotten at once.
const forgottenPart = 16

// agedRequest is a request with what decides when it's forgotten.
type agedRequest struct {
	digest   Digest
	customer string
	newest   time.Time
	// overShare is set where the customer has more than its share of the table.
	overShare, quarantined bool
}

func (a agedRequest) compare(b agedRequest) int {
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
	return a.newest.Compare(b.newest)
}
