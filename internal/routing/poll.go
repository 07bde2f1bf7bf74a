package routing

import "time"

const (
	// freshReport is the age below which a server isn't polled: its answers carry
	// its load already.
	freshReport = time.Second
	// neverReported stands for the age of a report that never came. It is bounded,
	// so that weighing it can't overflow.
	neverReported = time.Hour
	// ownZoneUrgency is how many times older an own-zone report counts.
	ownZoneUrgency = 4
)

// NextToPoll returns a copy of the row whose agent should be asked for a report
// next, and marks it as polled. Reports of the own zone count as several times
// older. It returns nil when all reports are fresh.
func (t *Table) NextToPoll(now time.Time) *ServerState {
	var oldest *ServerState
	var oldestAge time.Duration
	for _, row := range t.rows {
		age := t.pollAge(now, row)
		if age >= freshReport && (oldest == nil || age > oldestAge) {
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

func (t *Table) pollAge(now time.Time, row *ServerState) time.Duration {
	latest := row.ReportedAt
	if row.PolledAt.After(latest) {
		latest = row.PolledAt
	}
	age := min(now.Sub(latest), neverReported)
	if age >= freshReport && row.Server.Spec.Zone == t.zone {
		age *= ownZoneUrgency
	}
	return age
}
