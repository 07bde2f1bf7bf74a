package routing

import "time"

const (
	// freshReportAge is the age of the last report or poll below which a server isn't polled.
	// Responses carry load reports too, so busy servers are rarely polled.
	freshReportAge = time.Second
	// neverReportedAge is the age assumed for a server that has not reported. It is also the
	// maximum age, so that the weighted age can't overflow.
	neverReportedAge = time.Hour
	// ownZoneWeight multiplies the age of reports from the own zone.
	ownZoneWeight = 4
)

// NextToPoll returns a copy of the row whose last report or poll is oldest, weighted by zone,
// and marks it as polled. It returns nil if all rows are fresh.
func (t *Table) NextToPoll(now time.Time) *ServerState {
	var oldest *ServerState
	var oldestAge time.Duration
	for _, row := range t.rows {
		age := t.weightedAge(now, row)
		if age >= freshReportAge && (oldest == nil || age > oldestAge) {
			oldest, oldestAge = row, age
		}
	}
	if oldest == nil {
		return nil
	}
	oldest.PolledAt = now
	polled := *oldest
	return &polled
}

func (t *Table) weightedAge(now time.Time, row *ServerState) time.Duration {
	latest := row.ReportedAt
	if row.PolledAt.After(latest) {
		latest = row.PolledAt
	}
	age := min(now.Sub(latest), neverReportedAge)
	if age >= freshReportAge && row.Server.Spec.Zone == t.zone {
		age *= ownZoneWeight
	}
	return age
}
