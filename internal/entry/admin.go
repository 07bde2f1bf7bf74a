package entry

import (
	"github.com/crowbridge/crowbridge/internal/rpc"
	"github.com/pkg/errors"
)

// Name implements admin.Host.
func (e *Entry) Name() string { return e.options.Name }

// Zone implements admin.Host.
func (e *Entry) Zone() string { return e.options.Zone }

// Servers implements admin.Host.
func (e *Entry) Servers() []*rpc.ServerStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	var list []*rpc.ServerStatus
	for name, row := range e.table.Rows() {
		state := row.Health.String()
		switch exclusion := row.SelfReport.Exclusion(now); {
		case row.Server.Spec.Draining:
			state = "draining"
		case exclusion != nil:
			state = string(exclusion.Reason)
		}
		age := int64(-1)
		if !row.ReportedAt.IsZero() {
			age = now.Sub(row.ReportedAt).Milliseconds()
		}
		list = append(list, &rpc.ServerStatus{
			Name: name, Zone: row.Server.Spec.Zone, State: state, ReportAgeMs: age,
			InFlight: int64(row.Reported.InFlight), Queued: int64(row.Reported.Queued),
		})
	}
	return list
}

// Explain implements admin.Host.
func (e *Entry) Explain(customerName, model, path string) (string, map[string]string, error) {
	index := e.snapshot.Load().index
	customer := index.Customer(customerName)
	if customer == nil {
		return "", nil, errors.Errorf("customer: %q doesn't exist: use the name of a configured customer", customerName)
	}
	route := index.RouteForModel(customer, model, e.now())
	if path != "" {
		route = index.RouteForPath(customer, path, e.now())
	}
	if route == nil {
		return "", nil, errors.New("the customer has no active route for this model or path: check the routes' customers and windows")
	}
	reasons := index.Explain(route)
	for name, reason := range reasons {
		if reason == "" {
			reasons[name] = e.ineligibleReason(name)
		}
	}
	return route.Name, reasons, nil
}

// ineligibleReason returns why a server gets no requests now, or "".
func (e *Entry) ineligibleReason(name string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	row := e.table.Row(name)
	if row == nil {
		return "not in the routing table yet"
	}
	exclusion := row.SelfReport.Exclusion(e.now())
	switch {
	case e.picker.Eligible(e.now(), row):
		return ""
	case exclusion != nil:
		return exclusion.String()
	case row.ListedLeaving:
		return "the platform's VM list shows the VM as leaving"
	default:
		return row.Health.String()
	}
}
