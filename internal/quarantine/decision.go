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
}

func (t *Table) decide(d Digest, r *request, now time.Time) Decision {
	exits := r.countedExits()
	decision := Decision{Info: r.info, Servers: names(exits)}
	for _, e := range exits {
		if e.local {
			decision.LocalExits++
		}
		if decision.Since.IsZero() || e.at.Before(decision.Since) {
			decision.Since = e.at
		}
	}
	counted := t.countExits(r, exits)
	decision.Until = quarantineEnd(exits, counted)
	if now.Before(r.configuredUntil) {
		decision.State, decision.Until = Quarantined, latest(decision.Until, r.configuredUntil)
		return decision
	}
	decision.State = t.stateByEvidence(d, r, exits, counted, now)
	return decision
}

// stateByEvidence returns the state by evidence alone, without the operators' configuration.
func (t *Table) stateByEvidence(d Digest, r *request, exits []exit, counted int, now time.Time) State {
	pending := 0
	for _, loss := range r.losses {
		if !loss.alive && now.Sub(loss.at) < lossPendingTime {
			pending++
		}
	}
	switch {
	case counted == exitsToQuarantine && now.Sub(lastLearned(exits)) < SettleTime:
		return Pending
	case now.Before(quarantineEnd(exits, counted)) && (counted > exitsToQuarantine || !t.exitsShared(d, exits)):
		return Quarantined
	case pending > 0 && counted+pending >= exitsToQuarantine:
		return Pending
	case counted+pending > 0:
		return Suspect
	default:
		return Healthy
	}
}

// countExits returns the number of exits that count against a request. Exits within the
// correlation window count as one if another server, at which the request was not in progress,
// exited at the same time: the cause is then a rack or zone failure rather than the request.
func (t *Table) countExits(r *request, exits []exit) int {
	if len(exits) < exitsToQuarantine {
		return len(exits)
	}
	byTime := slices.Clone(exits)
	slices.SortFunc(byTime, func(a, b exit) int { return a.at.Compare(b.at) })
	counted := 0
	for first := 0; first < len(byTime); {
		from := byTime[first].at
		next := first + 1
		for next < len(byTime) && byTime[next].at.Sub(from) <= correlationWindow {
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
	own := map[string]bool{}
	for key := range r.reports {
		own[key.server] = true
	}
	for _, other := range t.requests {
		for key, report := range other.reports {
			if !own[key.server] && report.at.Sub(at).Abs() <= correlationWindow {
				return true
			}
		}
	}
	return false
}

// exitsShared reports whether another request has all of the request's exits, so that either
// may be the cause.
func (t *Table) exitsShared(d Digest, exits []exit) bool {
	for other, r := range t.requests {
		if other != d && r.hasAll(exits) {
			return true
		}
	}
	return false
}

// hasAll reports whether all of another request's exits count against this request, too.
func (r *request) hasAll(exits []exit) bool {
	if len(r.reports) < len(exits) {
		return false
	}
	own := r.countedExits()
	for _, e := range exits {
		if !slices.ContainsFunc(own, func(o exit) bool { return o.same(e) }) {
			return false
		}
	}
	return true
}

// quarantineEnd returns the end of a quarantine by the exits that count; zero without one.
func quarantineEnd(exits []exit, counted int) time.Time {
	last := lastExit(exits)
	switch {
	case counted > exitsToQuarantine:
		return last.Add(longQuarantine)
	case counted == exitsToQuarantine && exitedTogether(exits):
		return last.Add(correlatedQuarantine)
	case counted == exitsToQuarantine:
		return last.Add(firstQuarantine)
	default:
		return time.Time{}
	}
}

// exitedTogether reports whether all exits are within correlationWindow.
func exitedTogether(exits []exit) bool {
	last := lastExit(exits)
	return !slices.ContainsFunc(exits, func(e exit) bool { return last.Sub(e.at) > correlationWindow })
}
