package routing

import "time"

// LoadScorer scores the expected wait: the reported load plus own requests sent since, over
// the server's concurrency limit, times its slowness relative to its peers.
type LoadScorer struct{}

// reportHalfLife is the age at which a report has half of the weight. Own requests in flight
// have the other half.
const reportHalfLife = 2 * time.Second

// Score implements Scorer.
func (LoadScorer) Score(now time.Time, row *ServerState) float64 {
	limit := max(row.Reported.Limit, 1)
	reported := float64(row.Reported.InFlight + row.Reported.Queued + row.SentSinceReport)
	age := now.Sub(row.ReportedAt)
	reportWeight := float64(reportHalfLife) / float64(reportHalfLife+max(age, 0))
	load := reportWeight*reported + (1-reportWeight)*float64(row.InFlight)
	return (load + 1) / float64(limit) * row.slowness
}

// ZoneScorer adds a penalty for servers in other availability zones, so that requests stay
// in their zone until its servers are clearly busier.
type ZoneScorer struct {
	// Zone is the entry's availability zone.
	Zone string
}

// crossZonePenalty is the penalty in service times.
const crossZonePenalty = 0.5

// Score implements Scorer.
func (z ZoneScorer) Score(_ time.Time, row *ServerState) float64 {
	if row.Server.Spec.Zone == z.Zone {
		return 0
	}
	return crossZonePenalty
}
