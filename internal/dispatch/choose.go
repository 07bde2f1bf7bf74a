package dispatch

import (
	"time"

	"github.com/crowbridge/crowbridge/internal/fleet"
)

// Choice is a picked server with what decided.
type Choice struct {
	// Server is nil when none may get the request.
	Server *fleet.Server
	// Load is the estimated number of requests at the server, from a report that
	// came LoadAge ago.
	Load    float64
	LoadAge time.Duration
	// Utilization is the part of all candidates' places that is taken; over 1, requests
	// wait. 0 when nothing is known.
	Utilization float64
	// Unresponsive is how many servers were passed over because their VM has fallen silent.
	Unresponsive int
	// Failures are the server's in a row; Avoided is set when it's chosen although it's
	// passed over for them, because there is no other.
	Failures   int
	BackingOff bool
	// Excluded is how many servers were left out by their own word.
	Excluded int
	// Limited is how many were left out because their limit allows none now.
	Limited int
	// Full is how many were left out because this entry has its part of their connections.
	Full int
}

// freshLoad is how long a reported load is trusted; after that only own
// requests count.
const freshLoad = time.Second

// Choose picks the server with the least estimated load among those of a
// service that may get a request, but for those in tried. Servers that rest or leave by
// their own word get none, also if there is no other, nor do those whose limit allows none now: five ranks of sixteen that asked for
// 3 s of rest got three to seven requests each from every entry in 6 s, as long as that only
// made them the last choice. Those that failed
// lately, hold their group back or have fallen silent come only if there is no other,
// and for a suspect request so do those where another suspect one is: if a server ends
// under both of them again, the sound one is taken for the other.
func (b *Balancer) Choose(now time.Time, servers []*fleet.Server, request *Request, tried []string) Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates := make([]candidate, 0, len(servers))
	total, places, barred, limited, full := 0.0, 0, 0, 0, 0
	silent := b.silentOnes(now, servers)
	for _, server := range servers {
		if server.Leaving {
			continue
		}
		r := b.row(server.Key())
		if r.notice.Exclusion(now) != nil {
			barred++
			continue
		}
		if contains(tried, server.Key()) {
			continue
		}
		if b.limits.Wait(server.Key(), request.want(), now) > 0 {
			limited++
			continue
		}
		if !b.hasConnection(server.Key(), r, request.connections) {
			full++
			continue
		}
		load := r.estimate(now)
		total += load
		places += server.Capacity
		score := b.score(now, server, r, load)
		if silent[server.Key()] || (request.Suspect && r.suspects > 0) {
			score += slowPenalty
		}
		candidates = append(candidates, candidate{server: server, row: r, load: load, score: score})
	}
	best := b.bestOfZones(unpenalized(candidates)).choice(now)
	best.Unresponsive, best.Excluded, best.Limited, best.Full = len(silent), barred, limited, full
	if places > 0 {
		best.Utilization = total / float64(places)
	}
	return best
}

// candidate is a server that may get a request.
type candidate struct {
	server *fleet.Server
	row    *row
	load   float64
	// score is what the choice is made by; the lowest wins.
	score float64
}

// choice is what is told of a candidate that was picked, or of none.
func (c candidate) choice(now time.Time) Choice {
	if c.server == nil {
		return Choice{}
	}
	return Choice{
		Server: c.server, Load: c.load, LoadAge: now.Sub(c.row.reportedAt),
		Failures: c.row.failures, BackingOff: now.Before(c.row.avoidUntil),
	}
}

// drawn is among how many candidates, drawn at random, the best is taken. Loads
// are known with a lag of some hundred milliseconds: if all entries took the best
// of all, they would all take the same one until its load shows.
const drawn = 3

// unpenalized leaves out the candidates that failed lately, are slow or have fallen
// silent, unless all did or are. It reorders the candidates.
func unpenalized(candidates []candidate) []candidate {
	well := 0
	for i, c := range candidates {
		if c.score < slowPenalty {
			candidates[well], candidates[i] = c, candidates[well]
			well++
		}
	}
	if well == 0 {
		return candidates
	}
	return candidates[:well]
}

// bestOfZones draws some candidates of the own zone and as many of the others, and
// returns the one with the lowest score, or none. It reorders the candidates.
func (b *Balancer) bestOfZones(candidates []candidate) candidate {
	own := 0
	for i, c := range candidates {
		if c.server.Zone == b.zone {
			candidates[own], candidates[i] = candidates[i], candidates[own]
			own++
		}
	}
	near, far := b.bestOfSome(candidates[:own]), b.bestOfSome(candidates[own:])
	if near.server == nil || (far.server != nil && far.score < near.score) {
		return far
	}
	return near
}

// bestOfSome draws candidates and returns the one with the lowest score, or
// none. It reorders the candidates.
func (b *Balancer) bestOfSome(candidates []candidate) candidate {
	var best candidate
	for i := range min(drawn, len(candidates)) {
		at := i + b.random(len(candidates)-i)
		candidates[i], candidates[at] = candidates[at], candidates[i]
		if best.server == nil || candidates[i].score < best.score {
			best = candidates[i]
		}
	}
	return best
}

const (
	// avoidPenalty puts servers that failed lately behind all others.
	avoidPenalty = 1000
	// tokensPerRequest is how many unread prompt tokens make a pass as much longer as
	// one request that generates: 0.355 ms in each of 5 steps, 61.2 tokens a ms, with
	// room for what is read by the time that the choice matters.
	tokensPerRequest = 300
	// otherZone is what another zone costs, in requests: so much busier must the own
	// zone's servers be before requests go there. It saves bytes between zones and gives
	// away little: ranks of a group run each pass together, so that a part of a request
	// more or less at one of them hardly shows.
	otherZone = 2.0
)

func (b *Balancer) score(now time.Time, server *fleet.Server, r *row, load float64) float64 {
	score := (load + 1 + float64(r.unread)/tokensPerRequest) * max(r.reported.Slowdown, 1)
	if server.Rank == nil {
		score = (load + 1) * (1 + r.took/tookReference)
	}
	if server.Zone != b.zone {
		score += otherZone
	}
	if server.Rank != nil && r.slow(now) {
		score += slowPenalty
	}
	if now.Before(r.avoidUntil) {
		score += avoidPenalty
	}
	return score
}

// tookReference is the answer time, in seconds, that doubles a plain server's score.
const tookReference = 0.05

// estimate is the number of requests at the server, as far as it can be known.
func (r *row) estimate(now time.Time) float64 {
	if now.Sub(r.reportedAt) > freshLoad {
		return float64(r.inFlight)
	}
	return float64(max(r.reported.Running+r.reported.Waiting+r.unseen(), r.inFlight))
}

func contains(list []string, value string) bool {
	for _, v := range list {
		if v == value {
			return true
		}
	}
	return false
}
