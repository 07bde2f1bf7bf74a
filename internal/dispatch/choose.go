package dispatch

import (
	"time"

	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/quarantine"
)

// Choice is a chosen server and the data behind the decision.
type Choice struct {
	// Server is nil if none is eligible.
	Server *fleet.Server
	// Load is the estimated number of requests at the server, based on a report received LoadAge
	// ago.
	Load    float64
	LoadAge time.Duration
	// Utilization is the fraction of all candidates' slots in use. Above 1, requests wait. 0 if
	// unknown.
	Utilization float64
	// Slots is the number of slots of all candidates, or 0 if unknown.
	Slots int
	// Unresponsive counts the servers penalized because their VM is unresponsive.
	Unresponsive int
	// Failures counts the server's consecutive failures; BackingOff is set when it was chosen
	// during its backoff because there was no other.
	Failures   int
	BackingOff bool
	// Excluded counts the servers that have reported themselves as resting or leaving.
	Excluded int
	// Limited counts the servers whose rate limit is exhausted.
	Limited int
	// Full counts the servers to which this entry has used up its connection quota.
	Full int
}

// hasFreeSlot reports whether the server has a slot for one more request, as far as is known.
func (c Choice) hasFreeSlot() bool {
	return c.Server != nil && (c.Server.Capacity <= 0 || c.Load < float64(c.Server.Capacity))
}

// loadFreshness is how long a reported load is used; after that only this entry's own requests
// count.
const loadFreshness = time.Second

// Choose implements Chooser. It selects the best score among a few random servers. Servers that
// are leaving, resting, rate-limited or out of connections are never selected; servers in
// backoff, slow ranks and unresponsive VMs only if there is no other. A suspect request gets the
// server that all entries assign to it, unless that runs another suspect of this entry: a crash
// would count against both. Ranking resting servers last isn't enough, because every entry would
// still send them requests.
func (b *Balancer) Choose(now time.Time, servers []*fleet.Server, request *Request, tried []string) Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates := make([]candidate, 0, len(servers))
	var isolating []candidate // those that a suspect may be assigned
	total, capacity, excluded, limited, full := 0.0, 0, 0, 0, 0
	unresponsive := b.unresponsiveServers(now, servers)
	for _, server := range servers {
		if server.Leaving {
			continue
		}
		s := b.state(server.Key())
		if s.report.Exclusion(now) != nil {
			excluded++
			continue
		}
		if contains(tried, server.Key()) {
			continue
		}
		if b.limits.Wait(server.Key(), request.tokenRequest(), now) > 0 {
			limited++
			continue
		}
		if !b.hasFreeConnection(server.Key(), s, request.maxConnections) {
			full++
			continue
		}
		load := s.estimatedLoad(now)
		total += load
		capacity += server.Capacity
		score := b.score(now, server, s, load)
		if unresponsive[server.Key()] || (request.Suspect && s.suspectsInFlight > 0) {
			score += slowPenalty
		}
		c := candidate{server: server, state: s, load: load, score: score}
		candidates = append(candidates, c)
		if request.Suspect && !unresponsive[server.Key()] && mayIsolate(now, c, request.Isolation) {
			isolating = append(isolating, c)
		}
	}
	best := isolated(isolating, servers, request.Isolation).choice(now)
	if best.Server == nil {
		best = b.bestByZone(healthyCandidates(candidates)).choice(now)
	}
	best.Unresponsive, best.Excluded, best.Limited, best.Full = len(unresponsive), excluded, limited, full
	if capacity > 0 {
		best.Utilization, best.Slots = total/float64(capacity), capacity
	}
	return best
}

// candidate is an eligible server.
type candidate struct {
	server *fleet.Server
	state  *serverState
	load   float64
	// score orders candidates; the lowest wins.
	score float64
}

// choice returns the Choice for a candidate; the zero Choice if there is none.
func (c candidate) choice(now time.Time) Choice {
	if c.server == nil {
		return Choice{}
	}
	return Choice{
		Server: c.server, Load: c.load, LoadAge: now.Sub(c.state.reportedAt),
		Failures: c.state.consecutiveFailures, BackingOff: now.Before(c.state.backoffUntil),
	}
}

// choicesPerZone is the number of random candidates of the entry's own zone, and of all other
// zones, among which the best is chosen. Load reports lag: if all entries chose the overall
// best, they would overload it before its reports show that.
const choicesPerZone = 3

// healthyCandidates returns the candidates that are not in backoff, slow or unresponsive, or
// all if there are none. It reorders the candidates.
func healthyCandidates(candidates []candidate) []candidate {
	healthy := 0
	for i, c := range candidates {
		if c.score < slowPenalty {
			candidates[healthy], candidates[i] = c, candidates[healthy]
			healthy++
		}
	}
	if healthy == 0 {
		return candidates
	}
	return candidates[:healthy]
}

// mayIsolate reports whether a candidate may be assigned to a suspect request. Ranks in backoff may:
// after the break of a group these are all but the restarted one, which would get all suspects. So
// may servers with another suspect, if the request has exits at several servers: the few of these
// are assigned different servers, and moving one would bring it to another's; and if all requests with
// its part are assigned one server.
func mayIsolate(now time.Time, c candidate, isolation quarantine.Isolation) bool {
	if c.server.Rank == nil && now.Before(c.state.backoffUntil) {
		return false
	}
	return c.state.suspectsInFlight == 0 || len(isolation.Exited) > 1 || isolation.Part != nil
}

// isolated returns the candidate that comes first in a suspect's order of all servers, or the zero
// candidate if there is none.
func isolated(candidates []candidate, servers []*fleet.Server, isolation quarantine.Isolation) candidate {
	if len(candidates) == 0 {
		return candidate{}
	}
	var keys []string
	for _, server := range servers {
		if !server.Leaving {
			keys = append(keys, server.Key())
		}
	}
	for _, key := range isolation.Order(keys) {
		for _, c := range candidates {
			if c.server.Key() == key {
				return c
			}
		}
	}
	return candidate{}
}

// bestByZone returns the best of a few random candidates of the entry's own zone and as many of
// other zones. It reorders the candidates.
func (b *Balancer) bestByZone(candidates []candidate) candidate {
	local := 0
	for i, c := range candidates {
		if c.server.Zone == b.zone {
			candidates[local], candidates[i] = candidates[i], candidates[local]
			local++
		}
	}
	nearest, far := b.bestOfRandom(candidates[:local]), b.bestOfRandom(candidates[local:])
	if nearest.server == nil || (far.server != nil && far.score < nearest.score) {
		return far
	}
	return nearest
}

// bestOfRandom returns the random candidate with the lowest score, or the zero candidate if
// there is none. It reorders the candidates.
func (b *Balancer) bestOfRandom(candidates []candidate) candidate {
	var best candidate
	for i := range min(choicesPerZone, len(candidates)) {
		j := i + b.random(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
		if best.server == nil || candidates[i].score < best.score {
			best = candidates[i]
		}
	}
	return best
}

const (
	// backoffPenalty ranks servers in backoff behind all others.
	backoffPenalty = 1000
	// tokensPerRequest is the number of unread prompt tokens that lengthen a pass as much as one
	// generating request. It allows for the tokens that are read before the choice matters.
	tokensPerRequest = 300
	// crossZonePenalty is the cost of another zone, in requests: the own zone's servers must be
	// busier by this much before requests leave the zone. Uneven load within a group hardly
	// matters, because its ranks run each pass together.
	crossZonePenalty = 2.0
)

// score returns the cost of sending a request to a server.
func (b *Balancer) score(now time.Time, server *fleet.Server, s *serverState, load float64) float64 {
	score := (load + 1 + float64(s.unreadTokens)/tokensPerRequest) * max(s.reported.Slowdown, 1)
	if server.Rank == nil {
		score = (load + 1) * (1 + s.latency/referenceLatency)
	}
	if server.Zone != b.zone {
		score += crossZonePenalty
	}
	if server.Rank != nil && s.isSlow(now) {
		score += slowPenalty
	}
	if now.Before(s.backoffUntil) {
		score += backoffPenalty
	}
	return score
}

// referenceLatency is the latency, in seconds, that doubles the score of a server outside
// groups.
const referenceLatency = 0.05

// estimatedLoad returns the estimated number of requests at the server.
func (s *serverState) estimatedLoad(now time.Time) float64 {
	if now.Sub(s.reportedAt) > loadFreshness {
		return float64(s.inFlight)
	}
	return float64(max(s.reported.Running+s.reported.Waiting+s.unreportedSends(), s.inFlight))
}

func contains(list []string, value string) bool {
	for _, v := range list {
		if v == value {
			return true
		}
	}
	return false
}
