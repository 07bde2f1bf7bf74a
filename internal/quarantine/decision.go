package quarantine

import (
	"slices"
	"time"
)

const (
	// exitsToQuarantine is the number of server exits that quarantine a request: the fewest that
	// distinguish it from the dozen unrelated requests at a server. These usually share only one
	// exit with it, or both if their retries run at the same server again. Of two requests that
	// share both, neither is quarantined until the other completes or a third server exits.
	exitsToQuarantine = 2
	// SettleTime is how long a decision waits after a second exit for evidence of peers that
	// other requests share it. Detection times differ by up to 100 ms between entries.
	SettleTime = 250 * time.Millisecond
	// firstQuarantine is the length of a quarantine that may be a coincidence; one more
	// attempt is permitted after it. longQuarantine follows a further exit, which limits the
	// damage to one server per day.
	firstQuarantine = 30 * time.Minute
	longQuarantine  = 24 * time.Hour
	// correlationWindow is the window within which two exits may have a common cause other
	// than the request, such as a rack failure: a request that many callers send may be in
	// progress at both servers. Such a request is quarantined for correlatedQuarantine only,
	// longer than a typical burst of retries.
	correlationWindow    = time.Second
	correlatedQuarantine = 30 * time.Second
	// lossPendingTime is how long a lost connection counts against its request while it is
	// unknown whether the server exited. Probes complete sooner.
	lossPendingTime = 1500 * time.Millisecond
)

// State is the classification of a request.
type State int

const (
	// Healthy requests have no known server exits.
	Healthy State = iota
	// Suspect requests were in progress at a server that exited. They run one at a time.
	Suspect
	// Pending requests wait, because it is unknown whether a second server exited or whether
	// other requests share its exits, or because another attempt of a suspect request is in
	// progress.
	Pending
	// Quarantined requests are not sent to any server.
	Quarantined
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"healthy", "suspect", "pending", "quarantined"}[s]
}

// Decision is the classification of a request and its reasons.
type Decision struct {
	State State
	Info  RequestInfo
	// Since is the time of the first exit that counts.
	Since time.Time
	// Servers are the servers that exited while running the request, sorted.
	Servers []string
	// Until is the end of the quarantine.
	Until time.Time
	// LocalExits is the number of exits that this daemon observed.
	LocalExits int
	// Isolation keeps a suspect request apart from other suspects.
	Isolation Isolation
}

func (t *Table) decide(d Digest, r *request, now time.Time) Decision {
	decision := Decision{Info: r.info, Servers: r.exitedServers()}
	for _, server := range decision.Servers {
		e := r.exits[server]
		if e.local {
			decision.LocalExits++
		}
		if decision.Since.IsZero() || e.at.Before(decision.Since) {
			decision.Since = e.at
		}
	}
	decision.Until = r.quarantineEnd(t.countedExits(r, decision.Servers))
	if now.Before(r.configuredUntil) {
		decision.State, decision.Until = Quarantined, latest(decision.Until, r.configuredUntil)
		return decision
	}
	decision.State = t.stateByEvidence(d, r, decision.Servers, now)
	if decision.State == Suspect {
		decision.Isolation = t.isolation(d, r, decision.Servers)
	}
	return decision
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// stateByEvidence returns the state by evidence alone, without the operators' configuration.
func (t *Table) stateByEvidence(d Digest, r *request, servers []string, now time.Time) State {
	counted := t.countedExits(r, servers)
	pending := 0
	for _, loss := range r.losses {
		if !loss.alive && now.Sub(loss.at) < lossPendingTime {
			pending++
		}
	}
	switch {
	case counted == exitsToQuarantine && now.Sub(r.lastLearned()) < SettleTime:
		return Pending
	case now.Before(r.quarantineEnd(counted)) && (counted > exitsToQuarantine || !t.exitsShared(d, servers)):
		return Quarantined
	case pending > 0 && counted+pending >= exitsToQuarantine:
		return Pending
	case counted+pending > 0:
		return Suspect
	default:
		return Healthy
	}
}

// countedExits returns the number of exits that count against a request. Exits within the
// correlation window count as one if another server, at which the request was not in progress,
// exited at the same time: the cause is then a rack or zone failure rather than the request.
func (t *Table) countedExits(r *request, servers []string) int {
	if len(servers) < exitsToQuarantine {
		return len(servers)
	}
	byTime := slices.Clone(servers)
	slices.SortFunc(byTime, func(a, b string) int { return r.exits[a].at.Compare(r.exits[b].at) })
	counted := 0
	for first := 0; first < len(byTime); {
		from := r.exits[byTime[first]].at
		next := first + 1
		for next < len(byTime) && r.exits[byTime[next]].at.Sub(from) <= correlationWindow {
			next++
		}
		if next-first > 1 && t.exitElsewhere(r, from) {
			counted++
		} else {
			counted += next - first
		}
		first = next
	}
	return counted
}

// exitElsewhere reports whether a server at which the request has no exit exited around a time.
func (t *Table) exitElsewhere(r *request, at time.Time) bool {
	for _, other := range t.requests {
		for server, e := range other.exits {
			if _, own := r.exits[server]; !own && e.at.Sub(at).Abs() <= correlationWindow {
				return true
			}
		}
	}
	return false
}

// exitsShared reports whether another request has all of the request's exits, so that either
// may be the cause.
func (t *Table) exitsShared(d Digest, servers []string) bool {
other:
	for other, r := range t.requests {
		if other == d {
			continue
		}
		for _, server := range servers {
			if e, found := r.exits[server]; !found || e.cleared {
				continue other
			}
		}
		return true
	}
	return false
}

// exitedServers returns the servers whose exits count against the request, sorted.
func (r *request) exitedServers() []string {
	var servers []string
	for server, e := range r.exits {
		if !e.cleared {
			servers = append(servers, server)
		}
	}
	slices.Sort(servers)
	return servers
}

// quarantineEnd returns the end of the request's quarantine by the exits that count; zero
// without one.
func (r *request) quarantineEnd(counted int) time.Time {
	switch {
	case counted > exitsToQuarantine:
		return r.lastExit().Add(longQuarantine)
	case counted == exitsToQuarantine && r.exitedTogether():
		return r.lastExit().Add(correlatedQuarantine)
	case counted == exitsToQuarantine:
		return r.lastExit().Add(firstQuarantine)
	default:
		return time.Time{}
	}
}

// exitedTogether reports whether all exits that count are within correlationWindow.
func (r *request) exitedTogether() bool {
	newest := r.lastExit()
	for _, e := range r.exits {
		if !e.cleared && newest.Sub(e.at) > correlationWindow {
			return false
		}
	}
	return true
}

// lastLearned returns when this daemon last learned of an exit that counts.
func (r *request) lastLearned() time.Time {
	var newest time.Time
	for _, e := range r.exits {
		if !e.cleared && e.learnedAt.After(newest) {
			newest = e.learnedAt
		}
	}
	return newest
}

// lastExit returns the time of the last exit that counts.
func (r *request) lastExit() time.Time {
	var newest time.Time
	for _, e := range r.exits {
		if !e.cleared && e.at.After(newest) {
			newest = e.at
		}
	}
	return newest
}
