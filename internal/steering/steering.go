// Package steering applies the operators' labels and selectors to the servers that are
// registered on the users' platform: it restricts the servers of a service to those that the
// product's own configuration currently allows for a customer.
package steering

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/replica"
	"github.com/crowbridge/crowbridge/internal/selector"
	"github.com/sirupsen/logrus"
)

// Labels of each registered server. Operators can add labels to a server and to its group.
const (
	LabelService = "service"
	LabelZone    = "zone"
	LabelGroup   = "group"
)

// NoRoute is reported as the route when a service has routes, but none that is active for
// the customer.
const NoRoute = "(no route matches)"

// Filter restricts servers according to the replicated configuration. Safe for concurrent
// use.
type Filter struct {
	replica *replica.Replica
	now     func() time.Time
	log     *logrus.Entry
	ready   atomic.Bool

	mu      sync.Mutex // leaf lock
	ruleSet *ruleSet
	// allowed caches the servers of registry that each route allows.
	registry *fleet.Servers
	allowed  map[*selector.Route][]*fleet.Server
}

// ruleSet is a compiled configuration.
type ruleSet struct {
	index *selector.Index
	// servers holds the operators' backend server objects by address.
	servers map[string]*config.Object
	// groups holds the labels of groups by name.
	groups map[string]map[string]string
}

// New returns a filter that allows all servers until Run has compiled a configuration.
func New(rep *replica.Replica, now func() time.Time, log *logrus.Entry) *Filter {
	return &Filter{replica: rep, now: now, log: log}
}

// Ready reports whether the replica has synced since the start, from the log or another
// daemon, and its configuration has been compiled. Until then it is unknown which servers
// are allowed.
func (f *Filter) Ready() bool {
	if f.ready.Load() {
		return true
	}
	current := f.current()
	if current == nil || !f.replica.HasSynced() || current.index.ConfigOffset() != f.replica.View().Configured {
		return false
	}
	f.ready.Store(true)
	return true
}

// Run compiles each change of the configuration until the context ends.
func (f *Filter) Run(ctx context.Context) {
	for {
		changed := f.replica.Changed()
		f.compile(f.replica.View())
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (f *Filter) compile(view *config.View) {
	if current := f.current(); current != nil && current.index.ConfigOffset() == view.Configured {
		return
	}
	index, err := selector.NewIndex(view)
	if err != nil {
		// Selectors and references are validated before they are applied, so this is a bug.
		f.log.WithError(err).Error("selectors don't compile; keeping the current ones")
		return
	}
	r := &ruleSet{index: index, servers: map[string]*config.Object{}, groups: map[string]map[string]string{}}
	for _, object := range view.List(config.KindBackendServer) {
		r.servers[object.BackendServer.Address] = object
	}
	for _, object := range view.List(config.KindGroup) {
		r.groups[object.Name] = object.Labels
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ruleSet, f.allowed = r, nil
	f.log.WithField("offset", view.Configured).Info("selectors applied")
}

func (f *Filter) current() *ruleSet {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ruleSet
}

// Allowed returns the servers of a service that a customer's requests may go to now, and the
// route that decided. Without a route to the service, all servers are allowed and the route
// is "".
func (f *Filter) Allowed(registry *fleet.Servers, service, customer string) (servers []*fleet.Server, route string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ruleSet == nil {
		return registry.OfService(service), ""
	}
	index := f.ruleSet.index
	found, routed := index.RouteForService(index.CustomerOrDefault(customer), service, f.now())
	if !routed {
		return registry.OfService(service), ""
	}
	if found == nil {
		return nil, NoRoute
	}
	if f.registry != registry || f.allowed == nil {
		f.registry, f.allowed = registry, map[*selector.Route][]*fleet.Server{}
	}
	eligible, cached := f.allowed[found]
	if !cached {
		eligible = f.ruleSet.eligible(found, registry.OfService(service))
		f.allowed[found] = eligible
	}
	return eligible, found.Name
}

// eligible returns the servers that match the route and are not drained.
func (r *ruleSet) eligible(route *selector.Route, servers []*fleet.Server) []*fleet.Server {
	var found []*fleet.Server
	for _, server := range servers {
		if r.reason(route, server) == "" {
			found = append(found, server)
		}
	}
	return found
}

// reason returns why a server is not eligible for a route, or "".
func (r *ruleSet) reason(route *selector.Route, server *fleet.Server) string {
	if object := r.servers[server.Address]; object != nil && object.BackendServer.Draining {
		return "draining"
	}
	if !route.MatchesServer(r.labels(server)) {
		return "its labels don't match " + route.Spec.Servers
	}
	return ""
}

// labels merges the labels of the registration, the group and the server; later ones take
// precedence.
func (r *ruleSet) labels(server *fleet.Server) map[string]string {
	all := map[string]string{LabelService: server.Service, LabelZone: server.Zone}
	if server.Rank != nil {
		all[LabelGroup] = server.Rank.Group
		maps.Copy(all, r.groups[server.Rank.Group])
	}
	if object := r.servers[server.Address]; object != nil {
		maps.Copy(all, object.Labels)
	}
	return all
}

// Explain returns the route that decides, as Allowed does, and for each server of the service
// why the customer's requests may not go there now, or "" if they may.
func (f *Filter) Explain(registry *fleet.Servers, service, customer string) (route string, reasons map[string]string) {
	servers, route := f.Allowed(registry, service, customer)
	reasons = map[string]string{}
	for _, server := range servers {
		reasons[server.ID] = ""
	}
	current := f.current()
	for _, server := range registry.OfService(service) {
		if _, allowed := reasons[server.ID]; allowed {
			continue
		}
		reasons[server.ID] = "the customer has no active route"
		found, _ := current.index.RouteForService(current.index.CustomerOrDefault(customer), service, f.now())
		if found != nil {
			reasons[server.ID] = current.reason(found, server)
		}
	}
	return route, reasons
}
