package entry

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/crowbridge/crowbridge/internal/dispatch"
	"github.com/crowbridge/crowbridge/internal/eligibility"
	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/headers"
	"github.com/crowbridge/crowbridge/internal/routing"
	"github.com/crowbridge/crowbridge/internal/selector"
	"github.com/pkg/errors"
)

// tableChooser chooses servers by the routing table, which holds the agents' load reports.
// It implements dispatch.Chooser.
type tableChooser struct{ entry *Entry }

// Choose implements dispatch.Chooser. The candidates are those of the request's route.
func (c tableChooser) Choose(now time.Time, _ []*fleet.Server, r *dispatch.Request, tried []string) dispatch.Choice {
	e, x := c.entry, exchangeOf(r)
	e.mu.Lock()
	defer e.mu.Unlock()
	name := c.pick(now, x, r, tried)
	row := e.table.Row(name)
	if row == nil {
		return dispatch.Choice{}
	}
	return dispatch.Choice{
		Server: x.snapshot.servers[name], Load: float64(row.Reported.InFlight + row.Reported.Queued + row.SentSinceReport),
		LoadAge: now.Sub(row.ReportedAt),
	}
}

// pick returns the name of the chosen server, or "" if none is eligible. For a suspect request, it
// is the first eligible one in the request's order of servers. The caller holds the entry's mu.
func (c tableChooser) pick(now time.Time, x *exchange, r *dispatch.Request, tried []string) string {
	query := routing.Query{Candidates: x.route.Servers, Prefix: x.prefix, Tried: tried}
	if !r.Suspect {
		return c.entry.picker.Pick(now, c.entry.random, query)
	}
	byName := make(map[string]*selector.Server, len(x.route.Servers))
	for _, server := range x.route.Servers {
		byName[server.Name] = server
	}
	for _, name := range r.Isolation.Order(slices.Collect(maps.Keys(byName))) {
		query.Candidates = []*selector.Server{byName[name]}
		if picked := c.entry.picker.Pick(now, c.entry.random, query); picked != "" {
			return picked
		}
	}
	return ""
}

// EarliestEligible implements dispatch.Chooser.
func (c tableChooser) EarliestEligible(now time.Time, _ []*fleet.Server, r *dispatch.Request) (remaining, lasted time.Duration) {
	c.entry.mu.Lock()
	defer c.entry.mu.Unlock()
	var exclusions eligibility.Exclusions
	for _, server := range exchangeOf(r).route.Servers {
		if row := c.entry.table.Row(server.Name); row != nil {
			exclusions.Add(row.SelfReport.Exclusion(now))
		}
	}
	return exclusions.EarliestEnd(), exclusions.EarliestLasted()
}

// ObserveResponse implements dispatch.Chooser.
func (c tableChooser) ObserveResponse(server string, info dispatch.ResponseInfo, now time.Time) (time.Duration, bool) {
	c.entry.mu.Lock()
	defer c.entry.mu.Unlock()
	row := c.entry.table.Row(server)
	if row == nil {
		return 0, false
	}
	return row.SelfReport.RecordRest(info.RetryAfter, now), false // agents report leaving in their load
}

// Exclusion implements dispatch.Chooser.
func (c tableChooser) Exclusion(server string, now time.Time) *eligibility.Exclusion {
	c.entry.mu.Lock()
	defer c.entry.mu.Unlock()
	if row := c.entry.table.Row(server); row != nil {
		return row.SelfReport.Exclusion(now)
	}
	return nil
}

// AcquireToken implements dispatch.Chooser. The agent enforces its server's limit, since
// all requests to the server pass it.
func (tableChooser) AcquireToken(string, *dispatch.Request, time.Time) time.Duration { return 0 }

// RequestSent implements dispatch.Chooser.
func (c tableChooser) RequestSent(server string, _ *dispatch.Request, _ time.Time) {
	c.entry.mu.Lock()
	defer c.entry.mu.Unlock()
	c.entry.table.RequestSent(server)
}

// ResponseStarted implements dispatch.Chooser. It does nothing: agents report their load.
func (tableChooser) ResponseStarted(string, *dispatch.Request) {}

// RequestEnded implements dispatch.Chooser.
func (c tableChooser) RequestEnded(server string, _ *dispatch.Request) {
	c.entry.mu.Lock()
	defer c.entry.mu.Unlock()
	c.entry.table.RequestEnded(server)
}

// RecordFailure implements dispatch.Chooser for an agent that is unreachable or dropped the
// connection.
func (c tableChooser) RecordFailure(server string, now time.Time) {
	c.entry.mu.Lock()
	defer c.entry.mu.Unlock()
	c.entry.table.RecordUnreachable(now, server)
}

// RecordSuccess implements dispatch.Chooser.
func (c tableChooser) RecordSuccess(server string, _ time.Duration) {
	c.entry.mu.Lock()
	defer c.entry.mu.Unlock()
	c.entry.table.RecordSuccess(server)
}

// AcquireRetry implements dispatch.Chooser.
func (c tableChooser) AcquireRetry(_, customer string, _ time.Time) bool {
	c.entry.mu.Lock()
	defer c.entry.mu.Unlock()
	return c.entry.budget.Acquire(customer)
}

// ReleaseRetry implements dispatch.Chooser.
func (c tableChooser) ReleaseRetry(_, customer string, _ time.Time) {
	c.entry.mu.Lock()
	defer c.entry.mu.Unlock()
	c.entry.budget.Release(customer)
}

// recordServerFailure counts a failure of the server behind an agent.
func (e *Entry) recordServerFailure(server string, f *failure.Error) {
	if f.Code != failure.CodeServerLost {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.RecordError(e.now(), server)
}

func (e *Entry) recordUnreachable(server string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.RecordUnreachable(e.now(), server)
}

func (e *Entry) recordLoad(server string, header http.Header) {
	load, ok := headers.ParseLoadReport(header.Get(headers.Load))
	if !ok {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.table.UpdateLoad(e.now(), server, header.Get(headers.Incarnation), load)
}

// isDialError reports whether the connection was never established.
func isDialError(err error) bool {
	var dial *net.OpError
	return errors.As(err, &dial) && dial.Op == "dial"
}
