// Package steering applies the operators' labels and selectors to the servers that
// register themselves on the users' platform: it narrows the servers of a service to
// those that the product's own configuration allows a customer at present.
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

// Labels that each registered server has; the operators add their own to its
// group and to the server itself.
const (
	LabelService = "service"
	LabelZone    = "zone"
	LabelGroup   = "group"
)

// NoRoute is the rule that decided when routes lead to a service, but none for the
// customer at this time.
const NoRoute = "(no route matches)"

// Filter follows the configuration. Safe for concurrent use.
type Filter struct {
	replica *replica.Replica
	now     func() time.Time
	log     *logrus.Entry
	known   atomic.Bool

	mu    sync.Mutex // a leaf
	rules *rules
	// allowed has the servers that each route admits, of the state of the registry that
	// it was worked out for.
	registry *fleet.Servers
	allowed  map[*selector.Route][]*fleet.Server
}

// rules are one configuration, compiled.
type rules struct {
	index *selector.Index
	// servers are the operators' objects by the servers' addresses, groups their groups'
	// labels by name.
	servers map[string]*config.Object
	groups  map[string]map[string]string
}

// New returns a steering that allows everything until Follow has compiled a
// configuration.
func New(rep *replica.Replica, now func() time.Time, log *logrus.Entry) *Filter {
	return &Filter{replica: rep, now: now, log: log}
}

// Ready tells whether the configuration's log has been heard of since the start,
// directly or through another daemon, and what it said is in force. Until then nobody
// can say what is allowed.
func (s *Filter) Ready() bool {
	if s.known.Load() {
		return true
	}
	in := s.inForce()
	if in == nil || !s.replica.HasSynced() || in.index.ConfigOffset() != s.replica.View().Configured {
		return false
	}
	s.known.Store(true)
	return true
}

// Run brings each change into force until the context ends.
func (s *Filter) Run(ctx context.Context) {
	for {
		changed := s.replica.Changed()
		s.compile(s.replica.View())
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Filter) compile(view *config.View) {
	if in := s.inForce(); in != nil && in.index.ConfigOffset() == view.Configured {
		return
	}
	index, err := selector.NewIndex(view)
	if err != nil {
		// The fold validates selectors and references, so this is a fault of ours.
		s.log.WithError(err).Error("selectors don't compile; keeping those in force")
		return
	}
	r := &rules{index: index, servers: map[string]*config.Object{}, groups: map[string]map[string]string{}}
	for _, object := range view.List(config.KindBackendServer) {
		r.servers[object.BackendServer.Address] = object
	}
	for _, object := range view.List(config.KindGroup) {
		r.groups[object.Name] = object.Labels
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rules, s.allowed = r, nil
	s.log.WithField("offset", view.Configured).Info("selectors in force")
}

func (s *Filter) inForce() *rules {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rules
}

// Allowed returns the servers of a service that a customer's requests may go to now,
// and the route that decided: "" when no route leads to the service, and all servers
// are allowed.
func (s *Filter) Allowed(registry *fleet.Servers, service, customer string) (servers []*fleet.Server, route string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rules == nil {
		return registry.OfService(service), ""
	}
	index := s.rules.index
	found, routed := index.RouteForService(index.CustomerOrDefault(customer), service, s.now())
	if !routed {
		return registry.OfService(service), ""
	}
	if found == nil {
		return nil, NoRoute
	}
	if s.registry != registry || s.allowed == nil {
		s.registry, s.allowed = registry, map[*selector.Route][]*fleet.Server{}
	}
	admitted, known := s.allowed[found]
	if !known {
		admitted = s.rules.admitted(found, registry.OfService(service))
		s.allowed[found] = admitted
	}
	return admitted, found.Name
}

// admitted returns the servers that a route admits and that the operators don't drain.
func (r *rules) admitted(route *selector.Route, servers []*fleet.Server) []*fleet.Server {
	var found []*fleet.Server
	for _, server := range servers {
		if r.reason(route, server) == "" {
			found = append(found, server)
		}
	}
	return found
}

// reason tells why a route doesn't admit a server, or "".
func (r *rules) reason(route *selector.Route, server *fleet.Server) string {
	if object := r.servers[server.Address]; object != nil && object.BackendServer.Draining {
		return "draining"
	}
	if !route.MatchesServer(r.labels(server)) {
		return "its labels don't match " + route.Spec.Servers
	}
	return ""
}

// labels are those of the registration, of the group and of the server itself; the
// last win.
func (r *rules) labels(server *fleet.Server) map[string]string {
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

// Explain tells for each server of a service why a customer's requests may not go
// there now, "" when they may, and the route that decides.
func (s *Filter) Explain(registry *fleet.Servers, service, customer string) (route string, reasons map[string]string) {
	servers, route := s.Allowed(registry, service, customer)
	reasons = map[string]string{}
	for _, server := range servers {
		reasons[server.ID] = ""
	}
	in := s.inForce()
	for _, server := range registry.OfService(service) {
		if _, allowed := reasons[server.ID]; allowed {
			continue
		}
		reasons[server.ID] = "no route of this customer is open now"
		found, _ := in.index.RouteForService(in.index.CustomerOrDefault(customer), service, s.now())
		if found != nil {
			reasons[server.ID] = in.reason(found, server)
		}
	}
	return route, reasons
}
