package routing

import "time"

// HealthFilter excludes servers that are leaving, and unreachable servers until their
// back-off ends.
type HealthFilter struct{}

// Allow implements Filter.
func (HealthFilter) Allow(now time.Time, row *ServerState) bool {
	switch row.Health {
	case HealthUp:
		return true
	case HealthDown:
		return !now.Before(row.RetryAt)
	case HealthLeaving:
		return false
	default:
		return false
	}
}

// DrainFilter excludes servers that an operator drains and servers that are leaving
// according to the platform's VM list.
type DrainFilter struct{}

// Allow implements Filter.
func (DrainFilter) Allow(_ time.Time, row *ServerState) bool {
	return !row.Server.Spec.Draining && !row.ListedLeaving
}

// ExclusionFilter excludes servers that reported that they accept no requests now.
type ExclusionFilter struct{}

// Allow implements Filter.
func (ExclusionFilter) Allow(now time.Time, row *ServerState) bool {
	return row.SelfReport.Exclusion(now) == nil
}

// OutlierFilter excludes servers that are ejected because of errors. The picker ignores it
// when no other server is left.
type OutlierFilter struct{}

// Allow implements Filter.
func (OutlierFilter) Allow(now time.Time, row *ServerState) bool {
	return !now.Before(row.EjectedUntil)
}

// GroupFilter excludes a group while one of its ranks is unavailable, since the other ranks
// can't run without it.
type GroupFilter struct {
	// Table counts the unavailable ranks of each group.
	Table *Table
}

// Allow implements Filter.
func (g GroupFilter) Allow(_ time.Time, row *ServerState) bool {
	group := row.Server.Spec.Group
	return group == "" || g.Table.unavailable[group] == 0
}
