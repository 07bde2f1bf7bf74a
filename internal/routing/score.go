package routing

import "time"

// LoadScorer rates the expected wait: the load that the agent reported, grown
// by own requests sent since, over the server's limit, times how slow the
// server is compared with its peers.
type LoadScorer struct{}

// reportHalfLife is the age at which a report counts half; own requests in
// flight then carry the other half.
const reportHalfLife = 2 * time.Second

// Score implements Scorer.
func (LoadScorer) Score(now time.Time, row *ServerState) float64 {
	limit := max(row.Reported.Limit, 1)
	reported := float64(row.Reported.InFlight + row.Reported.Queued + row.SentSinceReport)
	age := now.Sub(row.ReportedAt)
	trust := float64(reportHalfLife) / float64(reportHalfLife+max(age, 0))
	load := trust*reported + (1-trust)*float64(row.InFlight)
	return (load + 1) / float64(limit) * row.slow
}

// ZoneScorer makes servers of other availability zones cost a little more, so
// that requests stay in their zone until its servers are clearly busier.
type ZoneScorer struct {
	// Zone is the entry's own.
	Zone string
}

// crossZonePenalty is in service times.
const crossZonePenalty = 0.5

// Score implements Scorer.
func (z ZoneScorer) Score(_ time.Time, row *ServerState) float64 {
	if row.Server.Spec.Zone == z.Zone {
		return 0
	}
	return crossZonePenalty
}
