// Package selector selects the route of a request and the backend servers that the route
// allows. Label selectors are evaluated once per configuration.
package selector

import (
	"slices"
	"strings"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/pkg/errors"
	"k8s.io/apimachinery/pkg/labels"
)

// Server is a configured backend server.
type Server struct {
	Name   string
	Labels map[string]string
	Spec   *config.BackendServer
}

// Route is a compiled route.
type Route struct {
	Name    string
	Spec    *config.Route
	Service *config.Service
	// Servers are the servers that the route allows, ordered by zone.
	Servers []*Server

	customers labels.Selector
	servers   labels.Selector
	windows   []window
}

// Index looks up the routes, customers and servers of one configuration. It is immutable.
type Index struct {
	servers   map[string]*Server
	routes    []*Route            // highest priority first
	byModel   map[string][]*Route // routes by model, highest priority first
	prefixes  []prefixRoutes      // routes of plain services, longest prefix first
	customers map[string]*Customer
	byKeyHash map[string]*Customer
	// defaultCustomer stands for customers that aren't configured; it has no labels.
	defaultCustomer *Customer
	view            *config.View
}

// Customer is a configured customer and the routes that it may use.
type Customer struct {
	Name   string
	Labels map[string]string
	Spec   *config.Customer
	routes map[*Route]bool
}

type prefixRoutes struct {
	prefix string
	routes []*Route
}

// NewIndex compiles a configuration.
func NewIndex(view *config.View) (*Index, error) {
	index := &Index{
		servers:   map[string]*Server{},
		byModel:   map[string][]*Route{},
		customers: map[string]*Customer{},
		byKeyHash: map[string]*Customer{},
		view:      view,
	}
	index.addServers(view)
	if err := index.addRoutes(view); err != nil {
		return nil, err
	}
	index.addCustomers(view)
	return index, nil
}

func (x *Index) addServers(view *config.View) {
	for _, object := range view.List(config.KindBackendServer) {
		x.servers[object.Name] = &Server{Name: object.Name, Labels: object.Labels, Spec: object.BackendServer}
	}
}

func (x *Index) addRoutes(view *config.View) error {
	byPrefix := map[string][]*Route{}
	for _, object := range view.List(config.KindRoute) {
		route, err := x.compileRoute(object, view)
		if err != nil {
			return errors.Wrap(err, object.ID())
		}
		x.routes = append(x.routes, route)
	}
	slices.SortStableFunc(x.routes, func(a, b *Route) int { return b.Spec.Priority - a.Spec.Priority })
	for _, route := range x.routes {
		for _, model := range route.models() {
			x.byModel[model] = append(x.byModel[model], route)
		}
		if route.Service.Protocol == config.ProtocolPlain {
			byPrefix[route.Service.PathPrefix] = append(byPrefix[route.Service.PathPrefix], route)
		}
	}
	for prefix, routes := range byPrefix {
		x.prefixes = append(x.prefixes, prefixRoutes{prefix: prefix, routes: routes})
	}
	slices.SortFunc(x.prefixes, func(a, b prefixRoutes) int { return len(b.prefix) - len(a.prefix) })
	return nil
}

// models returns the models that the route serves.
func (r *Route) models() []string {
	if r.Service.Protocol != config.ProtocolEngine {
		return nil
	}
	if len(r.Spec.Models) == 0 {
		return r.Service.Models
	}
	var served []string
	for _, model := range r.Spec.Models {
		if slices.Contains(r.Service.Models, model) {
			served = append(served, model)
		}
	}
	return served
}

func (x *Index) compileRoute(object *config.Object, view *config.View) (*Route, error) {
	spec := object.Route
	service := view.Get(config.KindService, spec.Service)
	if service == nil {
		return nil, errors.Errorf("service %q does not exist", spec.Service)
	}
	route := &Route{Name: object.Name, Spec: spec, Service: service.Service}
	var err error
	if route.customers, err = labels.Parse(spec.Customers); err != nil {
		return nil, errors.Wrap(err, "customers")
	}
	if route.servers, err = labels.Parse(spec.Servers); err != nil {
		return nil, errors.Wrap(err, "servers")
	}
	for _, w := range spec.Windows {
		compiled, err := newWindow(w)
		if err != nil {
			return nil, err
		}
		route.windows = append(route.windows, compiled)
	}
	for _, server := range x.servers {
		if server.Spec.Service == spec.Service && route.servers.Matches(labels.Set(server.Labels)) {
			route.Servers = append(route.Servers, server)
		}
	}
	slices.SortFunc(route.Servers, func(a, b *Server) int {
		if byZone := strings.Compare(a.Spec.Zone, b.Spec.Zone); byZone != 0 {
			return byZone
		}
		return strings.Compare(a.Name, b.Name)
	})
	return route, nil
}

func (x *Index) addCustomers(view *config.View) {
	x.defaultCustomer = &Customer{Spec: &config.Customer{}}
	x.matchRoutes(x.defaultCustomer)
	for _, object := range view.List(config.KindCustomer) {
		customer := &Customer{Name: object.Name, Labels: object.Labels, Spec: object.Customer}
		x.matchRoutes(customer)
		x.customers[object.Name] = customer
		for _, hash := range object.Customer.KeyHashes {
			x.byKeyHash[hash] = customer
		}
	}
}

// matchRoutes sets the routes whose selector matches a customer's labels.
func (x *Index) matchRoutes(customer *Customer) {
	customer.routes = map[*Route]bool{}
	for _, route := range x.routes {
		if route.customers.Matches(labels.Set(customer.Labels)) {
			customer.routes[route] = true
		}
	}
}

// CustomerOrDefault returns a customer by name, or one without labels if the name isn't
// configured.
func (x *Index) CustomerOrDefault(name string) *Customer {
	if customer := x.customers[name]; customer != nil {
		return customer
	}
	return x.defaultCustomer
}

// RouteForService returns the route for a customer's requests to a service, or nil. routed is
// set if any route leads to the service.
func (x *Index) RouteForService(customer *Customer, service string, now time.Time) (route *Route, routed bool) {
	for _, r := range x.routes {
		if r.Spec.Service != service {
			continue
		}
		routed = true
		if customer.routes[r] && r.isOpen(now) {
			return r, true
		}
	}
	return nil, routed
}

// MatchesServer reports whether the route's selector matches a server's labels.
func (r *Route) MatchesServer(serverLabels map[string]string) bool {
	return r.servers.Matches(labels.Set(serverLabels))
}

// HomeServers returns the servers among which the homes of a customer's idempotency keys for a
// service are chosen: those of all routes that the customer may use at any time. Time windows
// are ignored, since a change of route would move keys to servers that don't know them.
func (x *Index) HomeServers(customer *Customer, service string) []*Server {
	var servers []*Server
	seen := map[string]bool{}
	for _, route := range x.routes {
		if route.Spec.Service != service || !customer.routes[route] {
			continue
		}
		for _, server := range route.Servers {
			if !seen[server.Name] {
				seen[server.Name] = true
				servers = append(servers, server)
			}
		}
	}
	return servers
}

// ConfigOffset returns the log offset of the compiled configuration.
func (x *Index) ConfigOffset() int64 { return x.view.Configured }

// HomesOffset returns the log offset of the last change that affects the homes of a service's
// keys.
func (x *Index) HomesOffset(service string) int64 { return x.view.HomesChange(service).Offset }

// Customer returns a customer by name, or nil.
func (x *Index) Customer(name string) *Customer { return x.customers[name] }

// CustomerByKeyHash returns the customer that has an API key with this SHA-256, or nil.
// Looking up the hash leaks no timing information about the key.
func (x *Index) CustomerByKeyHash(hash string) *Customer { return x.byKeyHash[hash] }

// Server returns a server by name, or nil.
func (x *Index) Server(name string) *Server { return x.servers[name] }

// Servers returns all servers by name.
func (x *Index) Servers() map[string]*Server { return x.servers }

// RouteForModel returns the route for a customer's request for a model, or nil.
func (x *Index) RouteForModel(customer *Customer, model string, now time.Time) *Route {
	return firstOpenRoute(x.byModel[model], customer, now)
}

// RouteForPath returns the route for a customer's request to a plain service, or nil.
func (x *Index) RouteForPath(customer *Customer, path string, now time.Time) *Route {
	for _, p := range x.prefixes {
		if matchesPrefix(path, p.prefix) {
			return firstOpenRoute(p.routes, customer, now)
		}
	}
	return nil
}

// matchesPrefix reports whether a path is under a prefix, on segment boundaries.
func matchesPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || prefix[len(prefix)-1] == '/' || path[len(prefix)] == '/'
}

// firstOpenRoute returns the first route that is open to the customer now, or nil.
func firstOpenRoute(routes []*Route, customer *Customer, now time.Time) *Route {
	for _, route := range routes {
		if customer.routes[route] && route.isOpen(now) {
			return route
		}
	}
	return nil
}

// Models returns the models that a customer may request now, sorted.
func (x *Index) Models(customer *Customer, now time.Time) []string {
	var models []string
	for model, routes := range x.byModel {
		if firstOpenRoute(routes, customer, now) != nil {
			models = append(models, model)
		}
	}
	slices.Sort(models)
	return models
}

// isOpen reports whether the route has no time windows or one of them contains now.
func (r *Route) isOpen(now time.Time) bool {
	if len(r.windows) == 0 {
		return true
	}
	for _, w := range r.windows {
		if w.contains(now) {
			return true
		}
	}
	return false
}

// Explain returns, for each server, the reason why the route excludes it, or "" if it is
// allowed.
func (x *Index) Explain(route *Route) map[string]string {
	reasons := map[string]string{}
	for name, server := range x.servers {
		switch {
		case server.Spec.Service != route.Spec.Service:
			reasons[name] = "serves " + server.Spec.Service + ", not " + route.Spec.Service
		case !route.servers.Matches(labels.Set(server.Labels)):
			reasons[name] = "its labels don't match " + route.Spec.Servers
		case server.Spec.Draining:
			reasons[name] = "draining"
		default:
			reasons[name] = ""
		}
	}
	return reasons
}
