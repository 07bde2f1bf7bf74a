// Package routing chooses a backend server for a request: filters, scorers and
// a pick with power of two choices, over a table of what is known about each
// server. It is a pure aggregate: time and randomness come in as arguments.
package routing

import (
	"time"

	"github.com/crowbridge/crowbridge/internal/eligibility"
	"github.com/crowbridge/crowbridge/internal/selector"
	"github.com/crowbridge/crowbridge/internal/wire"
)

// Health is what an entry knows about whether a server takes requests.
type Health int

// The health states.
const (
	HealthUp Health = iota
	// HealthLeaving takes no new work and finishes what it has.
	HealthLeaving
	// HealthDown could not be reached lately.
	HealthDown
)

// String names the state as status prints it.
func (h Health) String() string {
	switch h {
	case HealthUp:
		return "up"
	case HealthLeaving:
		return "leaving"
	case HealthDown:
		return "down"
	default:
		return "invalid"
	}
}

// ServerState is one server's row in the table.
type ServerState struct {
	Server *selector.Server
	Health Health
	// Incarnation of the agent that reported last.
	Incarnation string
	// Reported is the agent's last load report, ReportedAt when it came.
	Reported   wire.Load
	ReportedAt time.Time
	// PolledAt is when the agent was last asked for a report.
	PolledAt time.Time
	// ListedLeaving is set while the platform's list calls the VM leaving.
	ListedLeaving bool
	// SentSinceReport counts own requests sent since the last report; InFlight own requests
	// that have not ended.
	SentSinceReport int
	InFlight        int
	// Failures to reach the agent in a row, and until when the server is left
	// alone after them.
	Failures int
	RetryAt  time.Time
	// Errors that the server gave in a row, and until when it's ejected for them.
	Errors       int
	EjectedUntil time.Time
	// Notice is what the server has said of itself through its agent's present run.
	Notice eligibility.Report
	// slow is the smoothed ratio of the server's service time to its peers'.
	slow float64
}

// Table holds the servers that one entry routes to. Not safe for concurrent
// use.
type Table struct {
	zone  string
	rows  map[string]*ServerState
	hints *affinity
	// lost counts, by group, the ranks that take no requests.
	lost map[string]int
	// serviceTime is the smoothed service time over all servers.
	serviceTime time.Duration
}

// NewTable returns an empty table for an entry in the given availability zone.
func NewTable(zone string) *Table {
	return &Table{zone: zone, rows: map[string]*ServerState{}, hints: newAffinity(), lost: map[string]int{}}
}

// Sync takes over the servers of a new configuration and forgets those that
// are gone. A server whose address changed is a new one.
func (t *Table) Sync(servers map[string]*selector.Server) {
	for name, row := range t.rows {
		server := servers[name]
		if server == nil || server.Spec.Address != row.Server.Spec.Address {
			delete(t.rows, name)
			continue
		}
		row.Server = server
	}
	for name, server := range servers {
		if t.rows[name] == nil {
			t.rows[name] = &ServerState{Server: server, slow: 1}
		}
	}
	t.countLost()
}

// setHealth changes a row's health and keeps the count of its group's lost ranks.
func (t *Table) setHealth(row *ServerState, health Health) {
	group := row.Server.Spec.Group
	if group != "" {
		if row.Health != HealthUp {
			t.lost[group]--
		}
		if health != HealthUp {
			t.lost[group]++
		}
	}
	row.Health = health
}

func (t *Table) countLost() {
	clear(t.lost)
	for _, row := range t.rows {
		if group := row.Server.Spec.Group; group != "" && row.Health != HealthUp {
			t.lost[group]++
		}
	}
}

// Row returns a server's row, or nil.
func (t *Table) Row(name string) *ServerState { return t.rows[name] }

// Rows returns all rows.
func (t *Table) Rows() map[string]*ServerState { return t.rows }

// SetListedLeaving takes in what the platform's list says of a VM.
func (t *Table) SetListedLeaving(name string, leaving bool) {
	if row := t.rows[name]; row != nil {
		row.ListedLeaving = leaving
	}
}

// RequestSent notes that a request goes to the server.
func (t *Table) RequestSent(name string) {
	if row := t.rows[name]; row != nil {
		row.SentSinceReport++
		row.InFlight++
	}
}

// RequestEnded notes that a request to the server ended.
func (t *Table) RequestEnded(name string) {
	if row := t.rows[name]; row != nil && row.InFlight > 0 {
		row.InFlight--
	}
}

// UpdateLoad takes in an agent's load report. What an agent says of itself beats
// every list: leaving holds until another incarnation speaks.
func (t *Table) UpdateLoad(now time.Time, name, incarnation string, load wire.Load) {
	row := t.rows[name]
	if row == nil {
		return
	}
	if row.Incarnation != incarnation {
		row.Notice = eligibility.Report{}
	}
	sameLeaving := row.Health == HealthLeaving && row.Incarnation == incarnation
	row.Incarnation = incarnation
	row.Reported = load
	row.ReportedAt = now
	row.SentSinceReport = 0
	row.Failures = 0
	health := HealthUp
	if load.Leaving || sameLeaving {
		health = HealthLeaving
	}
	t.setHealth(row, health)
	t.learnSpeed(row, load.ServiceTime)
}

const (
	speedWeight = 0.1
	// maxSlow bounds how much a straggler's score suffers, so that it still gets
	// some work and can be seen to recover.
	maxSlow = 8.0
)

func (t *Table) learnSpeed(row *ServerState, took time.Duration) {
	if took <= 0 {
		return
	}
	if t.serviceTime == 0 {
		t.serviceTime = took
	}
	t.serviceTime += time.Duration(speedWeight / float64(len(t.rows)+1) * float64(took-t.serviceTime))
	ratio := min(max(float64(took)/float64(t.serviceTime), 1/maxSlow), maxSlow)
	row.slow += speedWeight * (ratio - row.slow)
}

const (
	baseBackoff = 500 * time.Millisecond
	maxBackoff  = 15 * time.Second
)

// RecordUnreachable notes that the server could not be reached.
func (t *Table) RecordUnreachable(now time.Time, name string) {
	row := t.rows[name]
	if row == nil {
		return
	}
	row.Failures++
	row.RetryAt = now.Add(backoffAfter(row.Failures))
	if row.Health != HealthLeaving {
		t.setHealth(row, HealthDown)
	}
}

func backoffAfter(failures int) time.Duration {
	const doublings = 5
	return min(baseBackoff<<min(failures-1, doublings), maxBackoff)
}

// RecordError notes that the agent was reached and the server behind it failed. A
// server that fails fast reports little load and would attract ever more
// requests, so it's ejected for a time that grows.
func (t *Table) RecordError(now time.Time, name string) {
	if row := t.rows[name]; row != nil {
		row.Errors++
		row.EjectedUntil = now.Add(backoffAfter(row.Errors))
	}
}

// RecordSuccess notes that the server answered.
func (t *Table) RecordSuccess(name string) {
	if row := t.rows[name]; row != nil {
		row.Errors = 0
		row.EjectedUntil = time.Time{}
	}
}
