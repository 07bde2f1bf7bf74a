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
	// Part is the part of the prompt on which the decision is based, or nil.
	Part *Part
	// probe is set if requests with the part are admitted one at a time.
	probe bool
}

// stricter returns the stricter of two decisions about a request, or that with more exits.
func (d Decision) stricter(other Decision) Decision {
	if other.State > d.State || (other.State == d.State && len(other.Servers) >= len(d.Servers) && other.Part != nil) {
		return other
	}
	return d
}

func (t *Table) decide(d Digest, r *subject, now time.Time) Decision {
	decision := r.describe(t.unexplained(Fingerprint{}, r, now))
	decision.Until = r.quarantineEnd(t.countedExits(r, decision.Servers))
	if configured := t.configured[d]; now.Before(configured.until) {
		decision.State, decision.Until = Quarantined, latest(decision.Until, configured.until)
		return decision
	}
	decision.State = t.stateByEvidence(d, r, decision.Servers, now)
	if decision.State == Suspect {
		decision.Isolation = t.isolation(d, r, decision.Servers)
	}
	return decision
}

// describe returns a decision with the given exits of the subject as its reasons.
func (s *subject) describe(servers []string) Decision {
	decision := Decision{Info: s.info, Servers: servers}
	for _, server := range servers {
		e := s.exits[server]
		if e.local {
			decision.LocalExits++
		}
		if decision.Since.IsZero() || e.at.Before(decision.Since) {
			decision.Since = e.at
		}
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
func (t *Table) stateByEvidence(d Digest, r *subject, servers []string, now time.Time) State {
	counted, pending := t.countedExits(r, servers), r.pendingLosses(now)
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

// countedExits returns the number of exits that count against a subject. Exits within the
// correlation window count as one if another server, at which the subject was not in progress,
// exited at the same time: the cause is then a rack or zone failure rather than the subject.
func (t *Table) countedExits(r *subject, servers []string) int {
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

// exitElsewhere reports whether a server at which the subject has no exit exited around a time.
func (t *Table) exitElsewhere(r *subject, at time.Time) bool {
	for _, other := range t.requests.subjects {
		for server, e := range other.exits {
			if _, own := r.exits[server]; !own && e.at.Sub(at).Abs() <= correlationWindow {
				return true
			}
		}
	}
	return false
}

// exitsShared reports whether another request, or a part of other requests' prompts, has all of the
// request's exits, so that either may be the cause.
func (t *Table) exitsShared(d Digest, servers []string) bool {
	for other, r := range t.requests.subjects {
		if other != d && r.hasExits(servers) {
			return true
		}
	}
	for _, p := range t.parts.subjects {
		if p.hasExits(servers) && t.incriminatingExits(p, servers) == len(servers) && p.concerned(servers).requests != (oneOrSeveral[Digest]{one: d}) {
			return true
		}
	}
	return false
}

// hasExits reports whether all of the given exits count against the subject.
func (s *subject) hasExits(servers []string) bool {
	for _, server := range servers {
		if e, found := s.exits[server]; !found || e.cleared {
			return false
		}
	}
	return true
}

// quarantineEnd returns the end of the request's quarantine by the exits that count; zero
// without one.
func (s *subject) quarantineEnd(counted int) time.Time {
	switch {
	case counted > exitsToQuarantine:
		return s.lastExit().Add(longQuarantine)
	case counted == exitsToQuarantine && s.exitedTogether():
		return s.lastExit().Add(correlatedQuarantine)
	case counted == exitsToQuarantine:
		return s.lastExit().Add(firstQuarantine)
	default:
		return time.Time{}
	}
}
