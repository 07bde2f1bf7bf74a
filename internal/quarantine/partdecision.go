package quarantine

import (
	"slices"
	"time"
)

const (
	// partExitsToQuarantine is the number of incriminating exits that quarantine a part: the fewest
	// that a request with a rare part rarely meets by chance, as its retries do when servers exit in
	// quick succession.
	partExitsToQuarantine = 3
	// anyExitsToQuarantine is the number of exits that quarantine a part although its requests
	// completed before, or no request did. Its cause may be the servers', so that the quarantine is
	// short at first and doubles with each further exit.
	anyExitsToQuarantine = 5
	shortQuarantine      = 30 * time.Second
	// exitsToDistinguish is the number of incriminating exits that quarantine a part with enough of
	// them, if another one explains the rest: both may crash servers.
	exitsToDistinguish = 2
	// partExitsToHold is the number of exits, with those of which it is unknown whether they happened,
	// at which requests with a part wait for the result of the probe.
	partExitsToHold = 2
	// probeInterval is the minimum time between two requests of one daemon with a part that is known
	// to crash servers, if these may be sent again.
	probeInterval = 2 * time.Second
)

// blame caches the parts that have enough exits for a quarantine.
type blame struct {
	change     int64
	at         time.Time
	candidates []*subject
}

// blameTime is how long a blame is valid without a change of the evidence.
const blameTime = time.Second

// candidates returns the parts that have enough exits for a quarantine now. A part isn't blamed for the exits of a single request with its retries.
func (t *Table) candidates(now time.Time) []*subject {
	if len(t.parts.subjects) == 0 {
		return nil
	}
	age := now.Sub(t.blame.at)
	if t.blame.change == t.changes && age >= 0 && age < blameTime {
		return t.blame.candidates
	}
	t.blame = blame{change: t.changes, at: now}
	for _, s := range t.parts.subjects {
		if len(s.exits) < partExitsToQuarantine {
			continue
		}
		servers := s.exitedServers()
		if t.enough(s, servers) && now.Before(t.partQuarantineEnd(s, servers)) && s.concerned(servers).requests.several {
			t.blame.candidates = append(t.blame.candidates, s)
		}
	}
	return t.blame.candidates
}

// enough reports whether a part's exits are enough for a quarantine.
func (t *Table) enough(s *subject, servers []string) bool {
	return len(servers) >= partExitsToQuarantine &&
		(t.incriminatingExits(s, servers) >= partExitsToQuarantine || t.countedExits(s, servers) >= anyExitsToQuarantine)
}

// incriminatingExits returns the number of exits that set a part apart from those of requests that
// complete.
func (t *Table) incriminatingExits(s *subject, servers []string) int {
	incriminating := slices.DeleteFunc(slices.Clone(servers), func(server string) bool { return !s.exits[server].context.incriminating() })
	return t.countedExits(s, incriminating)
}

// partQuarantineEnd returns the end of the quarantine of a part with enough exits.
func (t *Table) partQuarantineEnd(s *subject, servers []string) time.Time {
	counted := t.countedExits(s, servers)
	switch incriminating := t.incriminatingExits(s, servers); {
	case incriminating > partExitsToQuarantine:
		return s.lastExit().Add(longQuarantine)
	case incriminating == partExitsToQuarantine:
		return s.lastExit().Add(firstQuarantine)
	default:
		doubled := shortQuarantine
		for range counted - anyExitsToQuarantine {
			doubled = min(2*doubled, longQuarantine)
		}
		return s.lastExit().Add(doubled)
	}
}

// unexplained returns the exits of a subject that no candidate explains which the request lacks: those
// at which no request with such a part was in progress.
func (t *Table) unexplained(f Fingerprint, s *subject, now time.Time) []string {
	servers := s.exitedServers()
	if len(servers) == 0 {
		return nil
	}
	for _, candidate := range t.candidates(now) {
		if !f.has(candidate.part.Digest) {
			servers = slices.DeleteFunc(servers, func(server string) bool { return candidate.hasExit(server, s.exits[server].at) })
		}
	}
	return servers
}

// decideParts returns the strictest decision about the parts of a request's prompt.
func (t *Table) decideParts(f Fingerprint, now time.Time) Decision {
	if len(t.parts.subjects) == 0 && len(t.configured) == 0 {
		return Decision{}
	}
	var strictest Decision
	for _, part := range f.Parts {
		s := t.parts.subjects[part.Digest]
		configured, isConfigured := t.configured[part.Digest]
		if s == nil && !isConfigured {
			continue
		}
		if s == nil {
			s = &subject{part: &part}
		}
		decision := t.decidePart(f, s, now)
		if now.Before(configured.until) && s.concerns(f.Info.Customer, configured.customer) {
			decision.State, decision.Until = Quarantined, latest(decision.Until, configured.until)
		}
		strictest = strictest.stricter(decision)
	}
	return strictest
}

// concerns reports whether a part's quarantine for one customer's requests, or all if it is "", is one
// for a customer's. It becomes one for all if another customer's requests meet exits, too.
func (s *subject) concerns(customer, quarantined string) bool {
	if quarantined == "" || customer == quarantined {
		return true
	}
	for _, e := range s.exits {
		if of := e.context.customers; !e.cleared && (of.several || of.one != quarantined) {
			return true
		}
	}
	return false
}

// decidePart returns the decision about one part of a request's prompt. Exits that a candidate explains
// which the request lacks don't count, so that a request with only some of the parts that always came
// together shows which of them is the cause.
func (t *Table) decidePart(f Fingerprint, s *subject, now time.Time) Decision {
	servers, unexplained := s.exitedServers(), t.unexplained(f, s, now)
	decision := s.describe(servers)
	decision.Part = s.part
	incriminating := t.incriminatingExits(s, unexplained)
	switch {
	case slices.Contains(t.candidates(now), s):
		decision.Until = t.partQuarantineEnd(s, servers)
		decision.State, decision.probe = t.decideCandidate(f, s, unexplained, now)
	case t.enough(s, servers) && !now.Before(t.partQuarantineEnd(s, servers)):
		decision.State, decision.probe = Suspect, true
	case incriminating > 0 && s.isHeld(incriminating, now):
		decision.State = Pending
	case incriminating > 0:
		decision.State = Suspect
	}
	if decision.probe && now.Sub(s.probedAt) < probeInterval {
		decision.State, decision.probe = Pending, false
	}
	if decision.State == Suspect {
		decision.Isolation = Isolation{Exited: servers, Part: s.part}
	}
	return decision
}

// decideCandidate returns the state of a request with a part that has enough exits, and whether such
// requests are admitted one at a time. Those under other customers' requests alone can't have a request
// refused, since anyone can name any part.
func (t *Table) decideCandidate(f Fingerprint, s *subject, unexplained []string, now time.Time) (state State, probe bool) {
	switch {
	case len(unexplained) == 0 && t.incriminatingExits(s, s.exitedServers()) == 0:
		return Healthy, false
	case !t.enough(s, unexplained) && t.incriminatingExits(s, unexplained) < exitsToDistinguish:
		return Suspect, false
	case !s.concerned(unexplained).customers.include(f.Info.Customer):
		return Suspect, true
	case now.Sub(s.lastLearned()) < SettleTime:
		return Pending, false
	default:
		return Quarantined, false
	}
}

// isHeld reports whether requests with a suspect part wait for the result of a probe.
func (s *subject) isHeld(exits int, now time.Time) bool {
	pending := s.pendingLosses(now)
	return pending > 0 && exits+pending >= partExitsToHold
}

// concerned returns the union of the contexts of exits.
func (s *subject) concerned(servers []string) exitContext {
	if len(servers) == 0 {
		return exitContext{}
	}
	concerned := s.exits[servers[0]].context
	for _, server := range servers[1:] {
		concerned = concerned.merge(s.exits[server].context)
	}
	return concerned
}

// recordProbe records that a request with a part that is known to crash servers was admitted.
func (t *Table) recordProbe(decision Decision, now time.Time) {
	if decision.probe {
		t.parts.subjects[decision.Part.Digest].probedAt = now
	}
}
