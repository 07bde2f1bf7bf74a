// Package fleet holds what a hosted daemon knows of the world around it: the
// operators' configuration and the backend servers. Everything here is
// immutable once published; it is decoded elsewhere and does no I/O.
package fleet

import (
	"math"
	"sort"
	"strings"
	"time"
)

// Kind tells how often a request may be executed.
type Kind int

// The kinds of request.
const (
	// KindNonIdempotent may run once for each attempt of the caller.
	KindNonIdempotent Kind = iota
	// KindIdempotent may run any number of times.
	KindIdempotent
	// KindStreaming answers with server-sent events. It is idempotent only when
	// the route says that it can be resumed.
	KindStreaming
)

// Target is one service that a route leads to.
type Target struct {
	Service string
	// Weight is the target's share of the route's requests, relative to the other targets.
	Weight int
}

// Route says where the requests of a host and path prefix go.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	Targets    []Target
	// Timeout is the longest that a caller may be kept waiting for the whole answer.
	Timeout time.Duration
	// Objective is the time to the first byte of an answer, or of a stream's first
	// event, within which it counts as prompt.
	Objective time.Duration
	// EventPause is the longest pause between two events of a prompt stream.
	MaxEventGap time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// MaxAttempts is how many servers one request may be sent to.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Resumable streams may be continued on another server after an event.
	Resumable bool
}

// Idempotent tells whether a request of this route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStreaming && r.Resumable)
}

// EngineModel is the published cost model of a service's model engines.
type EngineModel struct {
	// Stride is the number of token steps in a pass, and so of tokens in an event.
	Stride int
	// Step is the time of one token step without any request.
	Step time.Duration
	// StepPerRequest is added to a step for each request that generates.
	StepPerRequest time.Duration
	// Sets, Experts and Placements are the shape of an expert map: sets of layers,
	// experts in each set, and the most experts of a set that a rank can hold.
	Sets, Experts, Placements int
	// NewPerOrder is the most experts of a set that one prepare order may add to a rank.
	MaxNewPerPrepare int
	// ExpertShare is the part of a step's work that is done by experts.
	ExpertShare float64
	// CopyTime is how long a rank takes to copy one expert, 0 when nothing tells.
	CopyTime time.Duration
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// MaxConns is how many connections a server takes from all VMs together; 0 when that
	// isn't bound.
	MaxConns int
	// Engine is nil for plain services.
	Engine *EngineModel
}

// Customer is a user of the deployment.
type Customer struct {
	Name string
	// Priority overrides that of the routes when set.
	Priority *int
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	// IdleTimeout is how long a caller's connection may stay idle.
	IdleTimeout time.Duration
}

// Config is one version of the operators' configuration, indexed for lookups.
type Config struct {
	Version  int64
	Limits   Limits
	services map[string]*Service
	// routes are the routes by host, longest prefix first.
	routes       map[string][]*Route
	keys         map[string]*Customer
	hasCustomers bool
	// mostUrgent is the lowest priority that a request for a service can have.
	mostUrgent map[string]int
}

// NewConfig indexes a configuration. keys maps each API key to its customer;
// hasCustomers tells whether requests need one.
func NewConfig(version int64, limits Limits, routes []*Route, services []*Service, keys map[string]*Customer, hasCustomers bool) *Config {
	c := &Config{
		Version: version, Limits: limits, keys: keys, hasCustomers: hasCustomers,
		services: make(map[string]*Service, len(services)),
		routes:   make(map[string][]*Route), mostUrgent: make(map[string]int),
	}
	for _, service := range services {
		c.services[service.Name] = service
	}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		c.routes[host] = append(c.routes[host], route)
	}
	c.indexUrgency(routes)
	for _, list := range c.routes {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	return c
}

// rank notes how urgent the requests for each service can be.
func (c *Config) indexUrgency(routes []*Route) {
	ofCustomers := math.MaxInt
	for _, customer := range c.keys {
		if customer.Priority != nil {
			ofCustomers = min(ofCustomers, *customer.Priority)
		}
	}
	for _, route := range routes {
		lowest := min(route.Priority, ofCustomers)
		for _, target := range route.Targets {
			if known, ranked := c.mostUrgent[target.Service]; !ranked || lowest < known {
				c.mostUrgent[target.Service] = lowest
			}
		}
	}
}

// Priority ranks a request of a route and a customer, who may be nil; 0 is the most
// urgent. A customer's own priority wins.
func Priority(route *Route, customer *Customer) int {
	if customer != nil && customer.Priority != nil {
		return *customer.Priority
	}
	return route.Priority
}

// Behind tells by how much a priority is less urgent than the most urgent that
// requests for a service can have.
func (c *Config) PriorityGap(service string, priority int) int {
	return max(priority-c.mostUrgent[service], 0)
}

// Route returns the route of a host and path, or nil. Of several that match,
// the one with the longest prefix wins.
func (c *Config) Route(host, path string) *Route {
	host, _, _ = strings.Cut(host, ":")
	for _, route := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Customer returns the holder of an API key, or nil.
func (c *Config) Customer(key string) *Customer { return c.keys[key] }

// NeedsKey tells whether requests of a route must carry an API key.
func (c *Config) RequiresKey(route *Route) bool { return c.hasCustomers && !route.Public }

// Service returns a service by name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// EventPause returns the shortest pause between events that any route to a
// service calls prompt, or 0 when none does.
func (c *Config) MaxEventGap(service string) time.Duration {
	shortest := time.Duration(0)
	for _, routes := range c.routes {
		for _, route := range routes {
			if route.MaxEventGap <= 0 || (shortest > 0 && route.MaxEventGap >= shortest) {
				continue
			}
			for _, target := range route.Targets {
				if target.Service == service {
					shortest = route.MaxEventGap
				}
			}
		}
	}
	return shortest
}
