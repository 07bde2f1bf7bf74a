package routing

import (
	"math/rand/v2"
	"time"

	"github.com/crowbridge/crowbridge/internal/selector"
)

// Query describes a request to route.
type Query struct {
	// Candidates are the servers that the route allows, sorted by zone and name.
	Candidates []*selector.Server
	// Prefix is the hash of the prompt's prefix, or 0.
	Prefix uint64
	// Tried names servers that the request must not be sent to again.
	Tried []string
}

// Filter decides whether a server is eligible.
type Filter interface {
	// Allow reports whether the server is eligible.
	Allow(now time.Time, row *ServerState) bool
}

// Scorer scores an eligible server. Scores are expected waiting times in units of one
// service time, so lower is better.
type Scorer interface {
	// Score returns the server's score.
	Score(now time.Time, row *ServerState) float64
}

const (
	// samplesPerZone is the number of eligible servers sampled from the own zone, and again
	// from all zones.
	samplesPerZone = 2
	// sampleAttempts bounds the random draws to find them.
	sampleAttempts = 8
)

// Picker picks servers from a table by filters and scorers.
type Picker struct {
	table   *Table
	filters []Filter
	outlier OutlierFilter
	scorers []Scorer
}

// NewPicker returns a picker with the default filters and scorers.
func NewPicker(table *Table) *Picker {
	return &Picker{
		table:   table,
		filters: []Filter{HealthFilter{}, DrainFilter{}, ExclusionFilter{}, GroupFilter{Table: table}},
		outlier: OutlierFilter{},
		scorers: []Scorer{LoadScorer{}, ZoneScorer{Zone: table.zone}},
	}
}

// Pick returns the name of the chosen server, or "" if none is eligible. It takes the best
// of two random servers of the own zone, two of all zones and the one that probably caches
// the prompt's prefix, which is constant work regardless of the number of servers. If none
// of them is eligible, it scans all candidates, and then again including ejected ones.
func (p *Picker) Pick(now time.Time, random *rand.Rand, q Query) string {
	own := p.ownZone(q.Candidates)
	best := choice{}
	p.sample(now, random, own, q, &best)
	p.sample(now, random, q.Candidates, q, &best)
	p.consider(now, p.table.affinity.server(q.Prefix), q, affinityBonus, &best)
	if best.row == nil {
		p.scan(now, q, p.Eligible, &best)
	}
	if best.row == nil {
		p.scan(now, q, p.eligibleIgnoringEjection, &best)
	}
	if best.row == nil {
		return ""
	}
	p.table.affinity.remember(q.Prefix, best.row.Server.Name)
	return best.row.Server.Name
}

// choice is the best server so far.
type choice struct {
	row   *ServerState
	score float64
}

// affinityBonus is the score advantage of a cached prefix, in service times. It bounds the
// extra load that affinity may put on one server.
const affinityBonus = 0.5

func (p *Picker) sample(now time.Time, random *rand.Rand, candidates []*selector.Server, q Query, best *choice) {
	if len(candidates) == 0 {
		return
	}
	found := 0
	for range sampleAttempts {
		server := candidates[random.IntN(len(candidates))]
		if p.consider(now, server.Name, q, 0, best) {
			found++
		}
		if found == samplesPerZone {
			return
		}
	}
}

func (p *Picker) scan(now time.Time, q Query, allowed func(time.Time, *ServerState) bool, best *choice) {
	for _, server := range q.Candidates {
		row := p.table.rows[server.Name]
		if row != nil && !tried(q, row) && allowed(now, row) {
			p.offer(now, row, 0, best)
		}
	}
}

func (p *Picker) consider(now time.Time, name string, q Query, bonus float64, best *choice) bool {
	row := p.table.rows[name]
	if row == nil || tried(q, row) || !p.Eligible(now, row) {
		return false
	}
	if bonus > 0 && !contains(q.Candidates, row.Server) {
		return false
	}
	p.offer(now, row, bonus, best)
	return true
}

// offer replaces best if the row has a better score.
func (p *Picker) offer(now time.Time, row *ServerState, bonus float64, best *choice) {
	score := -bonus
	for _, scorer := range p.scorers {
		score += scorer.Score(now, row)
	}
	if best.row == nil || score < best.score {
		*best = choice{row: row, score: score}
	}
}

func tried(q Query, row *ServerState) bool {
	for _, name := range q.Tried {
		if name == row.Server.Name {
			return true
		}
	}
	return false
}

// contains reports whether the candidates, sorted by zone and name, include the server.
func contains(candidates []*selector.Server, server *selector.Server) bool {
	index := lowerBound(candidates, server.Spec.Zone, server.Name)
	return index < len(candidates) && candidates[index].Name == server.Name
}

// Eligible reports whether a server passes all filters.
func (p *Picker) Eligible(now time.Time, row *ServerState) bool {
	return p.outlier.Allow(now, row) && p.eligibleIgnoringEjection(now, row)
}

// eligibleIgnoringEjection reports whether a server passes all filters except OutlierFilter.
func (p *Picker) eligibleIgnoringEjection(now time.Time, row *ServerState) bool {
	for _, filter := range p.filters {
		if !filter.Allow(now, row) {
			return false
		}
	}
	return true
}

// ownZone returns the subslice of candidates in the entry's zone.
func (p *Picker) ownZone(candidates []*selector.Server) []*selector.Server {
	from := lowerBound(candidates, p.table.zone, "")
	to := from
	for step := len(candidates); step > 0; step /= 2 {
		for to+step <= len(candidates) && candidates[to+step-1].Spec.Zone == p.table.zone {
			to += step
		}
	}
	return candidates[from:to]
}

// lowerBound returns the index of the first candidate at or after zone and name.
func lowerBound(candidates []*selector.Server, zone, name string) int {
	low, high := 0, len(candidates)
	for low < high {
		mid := (low + high) / 2
		if before(candidates[mid], zone, name) {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}

func before(server *selector.Server, zone, name string) bool {
	if server.Spec.Zone != zone {
		return server.Spec.Zone < zone
	}
	return server.Name < name
}
