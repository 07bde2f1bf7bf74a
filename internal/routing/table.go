// Package routing picks a backend server for a request with filters, scorers and the power
// of two choices, over a table of the servers' state. Time and randomness are arguments, so
// that it is deterministic.
package routing

import (
	"time"

	"github.com/crowbridge/crowbridge/internal/eligibility"
	"github.com/crowbridge/crowbridge/internal/headers"
	"github.com/crowbridge/crowbridge/internal/selector"
)

// Health is a server's availability as an entry sees it.
type Health int

// The health states.
const (
	HealthUp Health = iota
	// HealthLeaving servers accept no new requests and finish running ones.
	HealthLeaving
	// HealthDown servers were unreachable at the last attempt.
	HealthDown
)

// String returns the name of the state in status output.
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

// ServerState is a server's row in the table.
type ServerState struct {
	Server *selector.Server
	Health Health
	// Incarnation identifies the agent's process that sent the last report.
	Incarnation string
	// Reported is the agent's last load report.
	Reported   headers.LoadReport
	ReportedAt time.Time
	// PolledAt is the time of the last poll of the agent.
	PolledAt time.Time
	// ListedLeaving is set while the platform's VM list shows the VM as leaving.
	ListedLeaving bool
	// SentSinceReport counts own requests sent since the last report, InFlight own requests
	// that have not ended.
	SentSinceReport int
	InFlight        int
	// Failures counts consecutive failures to reach the agent. The server gets no requests
	// until RetryAt.
	Failures int
	RetryAt  time.Time
	// Errors counts consecutive failures of the server behind the agent.
	Errors       int
	EjectedUntil time.Time
	// SelfReport holds how long the server accepts no requests, as its agent's current process
	// reported.
	SelfReport eligibility.Report
	// slowness is the smoothed ratio of the server's service time to that of its peers.
	slowness float64
}

// Table holds the state of the servers that an entry routes to. Not safe for concurrent use.
type Table struct {
	zone     string
	rows     map[string]*ServerState
	affinity *affinity
	// unavailable counts the ranks of each group that are not up.
	unavailable map[string]int
	// serviceTime is the smoothed service time of all servers.
	serviceTime time.Duration
}

// NewTable returns an empty table for an entry in the given availability zone.
func NewTable(zone string) *Table {
	return &Table{zone: zone, rows: map[string]*ServerState{}, affinity: newAffinity(), unavailable: map[string]int{}}
}

// Sync adds and removes rows according to a new configuration. A server whose address
// changed starts with a new row.
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
			t.rows[name] = &ServerState{Server: server, slowness: 1}
		}
	}
	t.countUnavailable()
}

// setHealth sets a row's health and updates the count of unavailable ranks of its group.
func (t *Table) setHealth(row *ServerState, health Health) {
	group := row.Server.Spec.Group
	if group != "" {
		if row.Health != HealthUp {
			t.unavailable[group]--
		}
		if health != HealthUp {
			t.unavailable[group]++
		}
	}
	row.Health = health
}

func (t *Table) countUnavailable() {
	clear(t.unavailable)
	for _, row := range t.rows {
		if group := row.Server.Spec.Group; group != "" && row.Health != HealthUp {
			t.unavailable[group]++
		}
	}
}

// Row returns a server's row, or nil.
func (t *Table) Row(name string) *ServerState { return t.rows[name] }

// Rows returns all rows.
func (t *Table) Rows() map[string]*ServerState { return t.rows }

// SetListedLeaving records whether the platform's VM list shows the server as leaving.
func (t *Table) SetListedLeaving(name string, leaving bool) {
	if row := t.rows[name]; row != nil {
		row.ListedLeaving = leaving
	}
}

// RequestSent records that a request is sent to the server.
func (t *Table) RequestSent(name string) {
	if row := t.rows[name]; row != nil {
		row.SentSinceReport++
		row.InFlight++
	}
}

// RequestEnded records the end of a request to the server.
func (t *Table) RequestEnded(name string) {
	if row := t.rows[name]; row != nil && row.InFlight > 0 {
		row.InFlight--
	}
}

// UpdateLoad applies an agent's load report. Once an agent has reported leaving, only another
// incarnation can clear it.
func (t *Table) UpdateLoad(now time.Time, name, incarnation string, load headers.LoadReport) {
	row := t.rows[name]
	if row == nil {
		return
	}
	if row.Incarnation != incarnation {
		row.SelfReport = eligibility.Report{}
	}
	stillLeaving := row.Health == HealthLeaving && row.Incarnation == incarnation
	row.Incarnation = incarnation
	row.Reported = load
	row.ReportedAt = now
	row.SentSinceReport = 0
	row.Failures = 0
	health := HealthUp
	if load.Leaving || stillLeaving {
		health = HealthLeaving
	}
	t.setHealth(row, health)
	t.updateSlowness(row, load.ServiceTime)
}

const (
	smoothingFactor = 0.1
	// maxSlowness bounds the penalty of a slow server, so that it still gets some requests
	// and its recovery is noticed.
	maxSlowness = 8.0
)

func (t *Table) updateSlowness(row *ServerState, took time.Duration) {
	if took <= 0 {
		return
	}
	if t.serviceTime == 0 {
		t.serviceTime = took
	}
	t.serviceTime += time.Duration(smoothingFactor / float64(len(t.rows)+1) * float64(took-t.serviceTime))
	ratio := min(max(float64(took)/float64(t.serviceTime), 1/maxSlowness), maxSlowness)
	row.slowness += smoothingFactor * (ratio - row.slowness)
}

const (
	baseBackoff = 500 * time.Millisecond
	maxBackoff  = 15 * time.Second
)

// RecordUnreachable records a failure to reach the server's agent and starts a back-off.
func (t *Table) RecordUnreachable(now time.Time, name string) {
	row := t.rows[name]
	if row == nil {
		return
	}
	row.Failures++
	row.RetryAt = now.Add(backoff(row.Failures))
	if row.Health != HealthLeaving {
		t.setHealth(row, HealthDown)
	}
}

func backoff(failures int) time.Duration {
	const doublings = 5
	return min(baseBackoff<<min(failures-1, doublings), maxBackoff)
}

// RecordError records a failure of the server behind a reachable agent and ejects it for a
// growing time: a server that fails fast reports little load and would attract more requests.
func (t *Table) RecordError(now time.Time, name string) {
	if row := t.rows[name]; row != nil {
		row.Errors++
		row.EjectedUntil = now.Add(backoff(row.Errors))
	}
}

// RecordSuccess records a response of the server and ends its ejection.
func (t *Table) RecordSuccess(name string) {
	if row := t.rows[name]; row != nil {
		row.Errors = 0
		row.EjectedUntil = time.Time{}
	}
}
