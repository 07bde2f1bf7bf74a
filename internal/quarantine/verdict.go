package quarantine

import (
	"slices"
	"time"
)

const (
	// endsToQuarantine is how many servers end under a request before it gets no other:
	// the fewest that tell it from the dozen sound requests that a server runs beside it.
	// Those have one end in common with it. One whose repeat runs beside its repeat again
	// has both: then none of the two is quarantined until the other has run to a good end
	// or a third server has ended. Without that, a sound request was held back in one run of
	// TestRequestThatEndsItsServers, where attempts are repeated at once; with it, in none of
	// the next ten.
	endsToQuarantine = 2
	// SettleTime is how long after a second end it's waited for others' news of who shares it:
	// datagrams take a few milliseconds, finding an end out up to a tenth of a second longer
	// at one entry than at another.
	SettleTime = 250 * time.Millisecond
	// firstQuarantine is how long a request is kept from servers that may have been
	// quarantined by ill luck: then one more attempt shows. After that it's for
	// longQuarantine: an attempt a day ends a server a day.
	firstQuarantine = 30 * time.Minute
	longQuarantine  = 24 * time.Hour
	// togetherTime is within which two ends may have one cause that is none of the request's:
	// a rack that fails takes two servers at which one request, asked for by many callers,
	// is in progress. Then it's kept for togetherQuarantine only, longer than such spells of
	// repeats last; if it ends a third server after that, it's known.
	togetherTime       = time.Second
	togetherQuarantine = 30 * time.Second
	// undecidedTime is how long an attempt that was cut off counts against its request
	// before it's known whether its server ended: a probe answers sooner.
	undecidedTime = 1500 * time.Millisecond
)

// State is what is held of a request.
type State int

// The states.
const (
	// Sound requests have run to no server's end, as far as is known.
	Healthy State = iota
	// Suspect requests were in progress where a server ended: they run one at a time.
	Suspect
	// Undecided requests wait: it isn't known yet whether a second server ended, or
	// another attempt of a suspect one is in progress.
	Pending
	// Quarantined requests get no server.
	Quarantined
)

// String names the state for logs.
func (s State) String() string {
	return [...]string{"sound", "suspect", "undecided", "quarantined"}[s]
}

// Verdict is what is held of a request, and why.
type Decision struct {
	State State
	Info  RequestInfo
	// Since is when the first server ended that counts.
	Since time.Time
	// Servers are those that ended under the request, sorted.
	Servers []string
	// Until is when a quarantine ends.
	Until time.Time
	// FoundHere counts the ends that this daemon saw itself.
	LocalExits int
}

func (t *Table) decide(d Digest, r *request, now time.Time) Decision {
	v := Decision{Info: r.about, Servers: r.endedServers()}
	for _, server := range v.Servers {
		e := r.ends[server]
		if e.own {
			v.LocalExits++
		}
		if v.Since.IsZero() || e.at.Before(v.Since) {
			v.Since = e.at
		}
	}
	v.Until = r.quarantinedUntil(t.count(r, v.Servers))
	if now.Before(r.ordered) {
		v.State, v.Until = Quarantined, later(v.Until, r.ordered)
		return v
	}
	v.State = t.stateByEvidence(d, r, v.Servers, now)
	return v
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// stateByEvidence is what is held of a request under which some servers ended, apart from
// the operators' configuration.
func (t *Table) stateByEvidence(d Digest, r *request, servers []string, now time.Time) State {
	ended := t.count(r, servers)
	undecided := 0
	for _, c := range r.cuts {
		if !c.alive && now.Sub(c.at) < undecidedTime {
			undecided++
		}
	}
	switch {
	case ended == endsToQuarantine && now.Sub(r.newestLearned()) < SettleTime:
		return Pending
	case now.Before(r.quarantinedUntil(ended)) && (ended > endsToQuarantine || !t.shared(d, servers)):
		return Quarantined
	case undecided > 0 && ended+undecided >= endsToQuarantine:
		return Pending
	case ended+undecided > 0:
		return Suspect
	default:
		return Healthy
	}
}

// count is how many of a request's ends count against it: those that came together, while
// another server ended with them at which it wasn't in progress, have one cause that isn't
// the request. A rack or zone fails so: a request whose attempt was repeated at once had two
// of the four ends of one that failed.
func (t *Table) count(r *request, servers []string) int {
	if len(servers) < endsToQuarantine {
		return len(servers)
	}
	byTime := slices.Clone(servers)
	slices.SortFunc(byTime, func(a, b string) int { return r.ends[a].at.Compare(r.ends[b].at) })
	counted := 0
	for first := 0; first < len(byTime); {
		from := r.ends[byTime[first]].at
		next := first + 1
		for next < len(byTime) && r.ends[byTime[next]].at.Sub(from) <= togetherTime {
			next++
		}
		if next-first > 1 && t.endedElsewhere(r, from) {
			counted++
		} else {
			counted += next - first
		}
		first = next
	}
	return counted
}

// endedElsewhere tells whether a server ended about a time at which a request has no end.
func (t *Table) endedElsewhere(r *request, at time.Time) bool {
	for _, other := range t.requests {
		for server, e := range other.ends {
			if _, own := r.ends[server]; !own && e.at.Sub(at).Abs() <= togetherTime {
				return true
			}
		}
	}
	return false
}

// shared tells whether another request has all of a request's ends: either may be to blame.
func (t *Table) shared(d Digest, servers []string) bool {
other:
	for other, r := range t.requests {
		if other == d {
			continue
		}
		for _, server := range servers {
			if e, found := r.ends[server]; !found || e.cleared {
				continue other
			}
		}
		return true
	}
	return false
}

// endedServers are the servers whose ends count against the request.
func (r *request) endedServers() []string {
	var servers []string
	for server, e := range r.ends {
		if !e.cleared {
			servers = append(servers, server)
		}
	}
	slices.Sort(servers)
	return servers
}

// quarantinedUntil is when the request's quarantine ends or ended, by the ends that count;
// zero without one.
func (r *request) quarantinedUntil(ended int) time.Time {
	switch {
	case ended > endsToQuarantine:
		return r.newestEnd().Add(longQuarantine)
	case ended == endsToQuarantine && r.endedTogether():
		return r.newestEnd().Add(togetherQuarantine)
	case ended == endsToQuarantine:
		return r.newestEnd().Add(firstQuarantine)
	default:
		return time.Time{}
	}
}

// endedTogether tells whether all ends that count came within togetherTime.
func (r *request) endedTogether() bool {
	newest := r.newestEnd()
	for _, e := range r.ends {
		if !e.cleared && newest.Sub(e.at) > togetherTime {
			return false
		}
	}
	return true
}

// newestLearned is when this daemon learned of such an end last.
func (r *request) newestLearned() time.Time {
	var newest time.Time
	for _, e := range r.ends {
		if !e.cleared && e.learned.After(newest) {
			newest = e.learned
		}
	}
	return newest
}

// newestEnd is when a server last ended under the request, as far as that counts against it.
func (r *request) newestEnd() time.Time {
	var newest time.Time
	for _, e := range r.ends {
		if !e.cleared && e.at.After(newest) {
			newest = e.at
		}
	}
	return newest
}
