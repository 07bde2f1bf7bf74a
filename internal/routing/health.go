package routing

import "time"

// HealthFilter leaves out servers that are leaving, and servers that could not
// be reached until their back-off ends. One request after the back-off tries
// such a server again.
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

// DrainFilter leaves out servers that an operator drains, and those that
// the platform's list calls leaving.
type DrainFilter struct{}

// Allow implements Filter.
func (DrainFilter) Allow(_ time.Time, row *ServerState) bool {
	return !row.Server.Spec.Draining && !row.ListedLeaving
}

// NoticeFilter leaves out servers that want no requests by their own word.
type NoticeFilter struct{}

// Allow implements Filter.
func (NoticeFilter) Allow(now time.Time, row *ServerState) bool {
	return row.Notice.Exclusion(now) == nil
}

// OutlierFilter leaves out servers that are ejected for their errors. It's not
// applied when it would leave out all.
type OutlierFilter struct{}

// Allow implements Filter.
func (OutlierFilter) Allow(now time.Time, row *ServerState) bool {
	return !now.Before(row.EjectedUntil)
}

// GroupFilter leaves out a group while one of its ranks takes no requests: the
// others can't step without it.
type GroupFilter struct {
	// Table knows the groups' ranks.
	Table *Table
}

// Allow implements Filter.
func (g GroupFilter) Allow(_ time.Time, row *ServerState) bool {
	group := row.Server.Spec.Group
	return group == "" || g.Table.lost[group] == 0
}
