package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// minExitGap is the minimum time between two exits of a server that restarts under the same ID,
// as far as the times alone tell. Reports of one exit by several daemons are closer together.
const minExitGap = 2 * time.Second

// reportKey identifies a report of an exit under a request. Two daemons may report one exit.
type reportKey struct {
	server string
	// id distinguishes reports about the same server.
	id uint64
}

// exitReport is a report that a server exited while it ran a request.
type exitReport struct {
	at time.Time
	// startedAt is when the attempt was admitted, or zero if that is unknown.
	startedAt time.Time
	// learnedAt is when this daemon learned of the exit.
	learnedAt time.Time
	cleared   bool
	// change is the table's change counter when this report last changed.
	change int64
	// local is set if this daemon observed the exit.
	local bool
}

// exit is an exit of a server under a request, as one or more daemons have reported it.
type exit struct {
	server string
	// name is the server, with a number from the server's second exit on.
	name string
	// at is the time of the first report, lastAt that of the last; startedAt is when the first
	// one's attempt was admitted, or zero if that is unknown.
	at, lastAt, startedAt time.Time
	learnedAt             time.Time
	// cleared is set if any report is: the request completed after the exit.
	cleared bool
	local   bool
	reports []reportKey
}

// distinctFrom reports whether a later report describes another exit of the same server: its
// attempt began after the exit, or too much time has passed.
func (e *exit) distinctFrom(later exitReport) bool {
	return later.at.Sub(e.lastAt) >= minExitGap || startedAfter(later.startedAt, e.lastAt)
}

// startedAfter reports whether an attempt is known to have started after a time.
func startedAfter(startedAt, t time.Time) bool { return !startedAt.IsZero() && startedAt.After(t) }

// add adds a report of the exit.
func (e *exit) add(key reportKey, report exitReport) {
	e.reports = append(e.reports, key)
	e.lastAt = report.at
	if report.learnedAt.After(e.learnedAt) {
		e.learnedAt = report.learnedAt
	}
	e.cleared = e.cleared || report.cleared
	e.local = e.local || report.local
}

// exits returns the distinct exits of all servers under a request, sorted by name.
func (r *request) exits() []exit {
	if len(r.reports) == 0 {
		return nil
	}
	keys := slices.SortedFunc(maps.Keys(r.reports), func(a, b reportKey) int {
		return cmp.Or(cmp.Compare(a.server, b.server), r.reports[a].at.Compare(r.reports[b].at), cmp.Compare(a.id, b.id))
	})
	var found []exit
	count := 0
	for _, key := range keys {
		report := r.reports[key]
		last := len(found) - 1
		switch {
		case last < 0 || found[last].server != key.server:
			count = 1
		case !found[last].distinctFrom(report):
			found[last].add(key, report)
			continue
		default:
			count++
		}
		e := exit{server: key.server, name: exitName(key.server, count), at: report.at, startedAt: report.startedAt}
		e.add(key, report)
		found = append(found, e)
	}
	return found
}

// exitName returns the name of a server's n-th exit.
func exitName(server string, n int) string {
	if n == 1 {
		return server
	}
	return server + "#" + strconv.Itoa(n)
}

// serverOf returns the server of an exit's name.
func serverOf(name string) string {
	at := strings.LastIndexByte(name, '#')
	if at < 0 {
		return name
	}
	if n, err := strconv.Atoi(name[at+1:]); err != nil || name != exitName(name[:at], n) {
		return name // the server's own name
	}
	return name[:at]
}

// nameOf returns the name of the exit that a report describes.
func (r *request) nameOf(key reportKey) string {
	for _, e := range r.exits() {
		if slices.Contains(e.reports, key) {
			return e.name
		}
	}
	return key.server
}

// countedExits returns the exits that count against the request, sorted by name.
func (r *request) countedExits() []exit {
	return slices.DeleteFunc(r.exits(), func(e exit) bool { return e.cleared })
}

// knows reports whether a report describes an exit of the server that has been reported already.
func (r *request) knows(server string, report exitReport) bool {
	return slices.ContainsFunc(r.exits(), func(e exit) bool { return e.server == server && e.covers(report) })
}

// covers reports whether a report describes this exit.
func (e *exit) covers(report exitReport) bool {
	if report.at.Before(e.at) {
		return e.at.Sub(report.at) < minExitGap
	}
	return !e.distinctFrom(report)
}

// same reports whether exits under two requests may be the same exit of a server.
func (e *exit) same(other exit) bool {
	return e.server == other.server && !startedAfter(e.startedAt, other.lastAt) && !startedAfter(other.startedAt, e.lastAt)
}

// names returns the names of exits.
func names(exits []exit) []string {
	var found []string
	for _, e := range exits {
		found = append(found, e.name)
	}
	return found
}

// lastExit returns the time of the last of the exits.
func lastExit(exits []exit) time.Time {
	var newest time.Time
	for _, e := range exits {
		newest = latest(newest, e.at)
	}
	return newest
}

// lastLearned returns when this daemon last learned of one of the exits.
func lastLearned(exits []exit) time.Time {
	var newest time.Time
	for _, e := range exits {
		newest = latest(newest, e.learnedAt)
	}
	return newest
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
