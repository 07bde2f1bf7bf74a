package quarantine

import "time"

const (
	// servedRetained is the number of completed requests whose prompts are remembered.
	servedRetained = 256
	// vouchTime is how long a completed request vouches for its prompt's parts. A part may begin to
	// crash servers later, so that this only delays a quarantine.
	vouchTime = time.Minute
)

// servedPrompts remembers the prompts of the last completed requests. They aren't parsed until a
// server exits.
type servedPrompts struct {
	entries [servedRetained]servedPrompt
	next    int
}

type servedPrompt struct {
	at      time.Time
	service string
	parts   PromptParts
}

func (s *servedPrompts) add(p servedPrompt) {
	s.entries[s.next] = p
	s.next = (s.next + 1) % servedRetained
}

// servedSummary tells when the parts were last in a completed request, and when a service last
// completed one.
type servedSummary struct {
	parts    map[Digest]time.Time
	services map[string]time.Time
}

// summary parses the prompts of the requests that completed recently.
func (s *servedPrompts) summary(now time.Time) servedSummary {
	found := servedSummary{parts: map[Digest]time.Time{}, services: map[string]time.Time{}}
	for _, p := range s.entries {
		if p.parts == nil || now.Sub(p.at) > vouchTime {
			continue
		}
		found.services[p.service] = latest(found.services[p.service], p.at)
		for _, part := range newParts(p.service, p.parts) {
			found.parts[part.Digest] = latest(found.parts[part.Digest], p.at)
		}
	}
	return found
}

// context returns what the completed requests say about an exit. cleared is set if a request with the
// part completed after it.
func (s servedSummary) context(part *Part, exitedAt time.Time) (c exitContext, cleared bool) {
	at, vouched := s.parts[part.Digest]
	_, served := s.services[part.Service]
	return exitContext{vouched: vouched, contrast: served && !vouched}, vouched && at.After(exitedAt)
}
