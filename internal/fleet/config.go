// Package fleet models the environment of a daemon: the operators' configuration and the registered
// backend servers. All values are immutable once published. The package does no I/O.
package fleet

import (
	"math"
	"sort"
	"strings"
	"time"
)

// Kind defines how often a request may be executed.
type Kind int

// The kinds of requests.
const (
	// KindNonIdempotent requests run at most once per attempt of the caller.
	KindNonIdempotent Kind = iota
	// KindIdempotent requests may run any number of times.
	KindIdempotent
	// KindStreaming requests return server-sent events. They are idempotent only if the route is
	// resumable.
	KindStreaming
)

// Target is a service to which a route sends requests.
type Target struct {
	Service string
	// Weight is the target's share of the route's requests relative to the other targets.
	Weight int
}

// Route defines where the requests of a host and path prefix go.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	Targets    []Target
	// Timeout limits the time until the caller has the complete response.
	Timeout time.Duration
	// MaxEventGap is the objective for the time between two events of a stream.
	MaxEventGap time.Duration
	// AbandonGap is after how long without an event, also before the first one, callers abandon a stream; 0 if
	// they wait for as long as the request may take.
	AbandonGap time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// MaxAttempts limits the number of servers that a request is sent to.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// Resumable streams may continue on another server after their first event.
	Resumable bool
}

// Idempotent reports whether a request of this route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStreaming && r.Resumable)
}

// EngineModel is the published cost model of a service's engines.
type EngineModel struct {
	// Stride is the number of token steps per pass, and thus of tokens per event.
	Stride int
	// Step is the duration of a token step without any request.
	Step time.Duration
	// StepPerRequest is the additional duration per generating request.
	StepPerRequest time.Duration
	// Layers, Experts and SlotsPerRank are the shape of an expert map: the number of layers, the
	// number of experts per layer, and the maximum number of experts of a layer on a rank. Layers
	// that share their assignment, which the platform calls a set, count as one.
	Layers, Experts, SlotsPerRank int
	// MaxNewPerPrepare limits the experts of a layer that one prepare command may add to a rank.
	MaxNewPerPrepare int
	// ExpertShare is the fraction of a step's work that experts do.
	ExpertShare float64
	// CopyTime is the time in which a rank copies one expert, or 0 if unknown.
	CopyTime time.Duration
	// ChunkTokens is the largest number of prompt tokens that an engine reads in a token step, beside the generating
	// requests; 0 if unknown.
	ChunkTokens int
	// ReadPerSecond is the number of prompt tokens that an engine reads in a second, or 0 if unknown.
	ReadPerSecond float64
	// FormTime is the time that a group takes to open once its last missing rank is back, or 0 if
	// unknown.
	FormTime time.Duration
}

// GenerationTime returns how long an engine that runs a batch of requests takes to generate tokens.
func (e *EngineModel) GenerationTime(tokens, batch int) time.Duration {
	return time.Duration(tokens) * (e.Step + time.Duration(batch)*e.StepPerRequest)
}

// ReadTime returns how long an engine takes at least to read a prompt, or 0 if unknown.
func (e *EngineModel) ReadTime(tokens int) time.Duration {
	if e.ReadPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.ReadPerSecond * float64(time.Second))
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// MaxConns limits the connections to a server from all VMs together; 0 means no limit.
	MaxConns int
	// Engine is nil for plain services.
	Engine *EngineModel
}

// Customer is a user of the deployment.
type Customer struct {
	Name string
	// Priority overrides the priority of the routes if set.
	Priority *int
}

// Limits limit what a caller may send.
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
	// routes maps each host to its routes, longest prefix first.
	routes       map[string][]*Route
	keys         map[string]*Customer
	hasCustomers bool
	// mostUrgent maps each service to the lowest priority value that its requests can have.
	mostUrgent map[string]int
}

// NewConfig indexes a configuration. keys maps API keys to customers. hasCustomers defines whether
// requests need a key.
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

// indexUrgency computes the lowest priority value of each service.
func (c *Config) indexUrgency(routes []*Route) {
	customerPriority := math.MaxInt
	for _, customer := range c.keys {
		if customer.Priority != nil {
			customerPriority = min(customerPriority, *customer.Priority)
		}
	}
	for _, route := range routes {
		lowest := min(route.Priority, customerPriority)
		for _, target := range route.Targets {
			if known, ranked := c.mostUrgent[target.Service]; !ranked || lowest < known {
				c.mostUrgent[target.Service] = lowest
			}
		}
	}
}

// Priority returns the priority of a request. The customer's own one takes precedence over the
// route's. customer may be nil.
func Priority(route *Route, customer *Customer) int {
	if customer != nil && customer.Priority != nil {
		return *customer.Priority
	}
	return route.Priority
}

// PriorityGap returns the difference between a priority and the most urgent one that requests for
// the service can have.
func (c *Config) PriorityGap(service string, priority int) int {
	return max(priority-c.mostUrgent[service], 0)
}

// Route returns the route with the longest prefix that matches a host and path, or nil. The host's
// port and case are ignored.
func (c *Config) Route(host, path string) *Route {
	host, _, _ = strings.Cut(host, ":")
	for _, route := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Customer returns the customer with an API key, or nil.
func (c *Config) Customer(key string) *Customer { return c.keys[key] }

// RequiresKey reports whether requests of a route need an API key.
func (c *Config) RequiresKey(route *Route) bool { return c.hasCustomers && !route.Public }

// Service returns a service by name, or nil.
func (c *Config) Service(name string) *Service { return c.services[name] }

// MaxEventGap returns the smallest MaxEventGap of the routes to a service, or 0 if none has one.
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
