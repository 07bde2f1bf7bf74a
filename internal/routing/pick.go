package routing

import (
	"math/rand/v2"
	"time"

	"github.com/crowbridge/crowbridge/internal/selector"
)

// Query is one routing decision to make.
type Query struct {
	// Candidates are the servers that the route allows, those of a zone adjacent.
	Candidates []*selector.Server
	// Prefix is the hash of the prompt's prefix, or 0.
	Prefix uint64
	// Tried names servers that this request must not go to again.
	Tried []string
}

// Filter decides whether a server may take the request at all.
type Filter interface {
	// Allow tells whether the row passes.
	Allow(now time.Time, row *ServerState) bool
}

// Scorer rates a server that passed the filters; lower is better. Scores are
// expected waiting times in units of one service time.
type Scorer interface {
	// Score rates the row.
	Score(now time.Time, row *ServerState) float64
}

const (
	// samplesPerZone is the number of random choices in the own zone and outside it.
	samplesPerZone = 2
	// sampleAttempts bounds the draws until the servers are scanned instead.
	sampleAttempts = 8
)

// Picker combines filters and scorers over a table.
type Picker struct {
	table   *Table
	filters []Filter
	outlier OutlierFilter
	scorers []Scorer
}

// NewPicker returns the picker that entries use.
func NewPicker(table *Table) *Picker {
	return &Picker{
		table:   table,
		filters: []Filter{HealthFilter{}, DrainFilter{}, NoticeFilter{}, GroupFilter{Table: table}},
		outlier: OutlierFilter{},
		scorers: []Scorer{LoadScorer{}, ZoneScorer{Zone: table.zone}},
	}
}

// Pick returns the name of the chosen server, or "" when none may take the
// request. It samples two servers of the own zone, two of all, and the one that
// probably caches the prompt's prefix, and takes the best: constant work
// however many servers there are. Only when sampling finds nothing are all
// servers scanned, the ejected ones last.
func (p *Picker) Pick(now time.Time, random *rand.Rand, q Query) string {
	own := p.ownZone(q.Candidates)
	best := choice{}
	p.sample(now, random, own, q, &best)
	p.sample(now, random, q.Candidates, q, &best)
	p.consider(now, p.table.hints.server(q.Prefix), q, affinityBonus, &best)
	if best.row == nil {
		p.scan(now, q, p.Eligible, &best)
	}
	if best.row == nil {
		p.scan(now, q, p.allowedOutlier, &best)
	}
	if best.row == nil {
		return ""
	}
	p.table.hints.remember(q.Prefix, best.row.Server.Name)
	return best.row.Server.Name
}

type choice struct {
	row   *ServerState
	score float64
}

// affinityBonus is what a cached prefix is worth, in service times. It bounds
// the load that affinity may pile on one server: a server that is this much
// worse than its peers loses the request in spite of its cache.
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
			p.rate(now, row, 0, best)
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
	p.rate(now, row, bonus, best)
	return true
}

// rate keeps the row when it's better than the best so far.
func (p *Picker) rate(now time.Time, row *ServerState, bonus float64, best *choice) {
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

// contains searches the candidates, which are ordered by zone and name.
func contains(candidates []*selector.Server, server *selector.Server) bool {
	at := lowerBound(candidates, server.Spec.Zone, server.Name)
	return at < len(candidates) && candidates[at].Name == server.Name
}

// Eligible tells whether a server passes all filters.
func (p *Picker) Eligible(now time.Time, row *ServerState) bool {
	return p.outlier.Allow(now, row) && p.allowedOutlier(now, row)
}

// allowedOutlier tells whether a server passes the filters that always hold.
func (p *Picker) allowedOutlier(now time.Time, row *ServerState) bool {
	for _, filter := range p.filters {
		if !filter.Allow(now, row) {
			return false
		}
	}
	return true
}

// ownZone returns the adjacent candidates that are in the entry's zone.
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

// lowerBound returns the place of the first candidate at or after zone and name.
func lowerBound(candidates []*selector.Server, zone, name string) int {
	low, high := 0, len(candidates)
	for low < high {
		middle := (low + high) / 2
		if before(candidates[middle], zone, name) {
			low = middle + 1
		} else {
			high = middle
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
