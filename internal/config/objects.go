// Package config is the aggregate of the deployment's configuration: the
// objects operators declare, and the pure fold of log records that decides
// which changes are in force. It does no I/O and reads no clock.
package config

import "time"

// Kind names a type of configuration object.
type Kind string

// The kinds of configuration objects.
const (
	KindCustomer      Kind = "Customer"
	KindService       Kind = "Service"
	KindBackendServer Kind = "BackendServer"
	KindGroup         Kind = "Group"
	KindRoute         Kind = "Route"
	KindPolicy        Kind = "Policy"
	KindQuarantine    Kind = "Quarantine"
)

// Kinds lists every kind in the order in which `get` prints them.
var Kinds = []Kind{KindPolicy, KindCustomer, KindService, KindBackendServer, KindGroup, KindRoute, KindQuarantine}

// Object is one configuration object. Exactly the spec of its kind is set.
type Object struct {
	Kind   Kind              `json:"kind"`
	Name   string            `json:"name"`
	Labels map[string]string `json:"labels,omitempty"`

	Customer      *Customer      `json:"customer,omitempty"`
	Service       *Service       `json:"service,omitempty"`
	BackendServer *BackendServer `json:"backendServer,omitempty"`
	Group         *Group         `json:"group,omitempty"`
	Route         *Route         `json:"route,omitempty"`
	Policy        *Policy        `json:"policy,omitempty"`
	Quarantine    *Quarantine    `json:"quarantine,omitempty"`

	// Revision is the log offset of the change that set the object.
	Revision int64 `json:"revision,omitempty"`
}

// Customer is somebody who sends requests.
type Customer struct {
	// Weight is the share of a congested server relative to other customers; default 1.
	Weight int `json:"weight,omitempty"`
	// KeyHashes are SHA-256 hashes of the customer's API keys, in hex.
	KeyHashes []string `json:"keyHashes,omitempty"`
	// MaxInFlight bounds the customer's requests in flight at one entry; 0 is no bound.
	MaxInFlight int `json:"maxInFlight,omitempty"`
}

// Protocol tells how a service's backend servers are spoken to.
type Protocol string

// The protocols of backend servers.
const (
	// ProtocolEngine is the OpenAI-style HTTP API, plain and streamed.
	ProtocolEngine Protocol = "engine"
	// ProtocolPlain passes method, path, headers and body through untouched.
	ProtocolPlain Protocol = "plain"
)

// Service is a set of interchangeable backend servers.
type Service struct {
	Protocol Protocol `json:"protocol"`
	// Models that an engine service serves.
	Models []string `json:"models,omitempty"`
	// PathPrefix under which callers reach a plain service, such as /dispatch.
	PathPrefix string `json:"pathPrefix,omitempty"`
	// Idempotent is assumed for requests that don't say.
	Idempotent bool `json:"idempotent,omitempty"`
	// Class is assumed for requests that don't say; default normal.
	Class Class `json:"class,omitempty"`
	// DeadlineMs is assumed for requests that don't say; default 30000.
	DeadlineMs int64 `json:"deadlineMs,omitempty"`
	// MaxConcurrency bounds requests running at one server; default 8.
	MaxConcurrency int `json:"maxConcurrency,omitempty"`
}

// Class is a request's priority class.
type Class string

// The priority classes, most urgent first.
const (
	ClassUrgent  Class = "urgent"
	ClassNormal  Class = "normal"
	ClassPatient Class = "patient"
)

// BackendServer is one backend server and the agent in front of it.
type BackendServer struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// Address of the agent's request port, as IP:port.
	Address string `json:"address"`
	// Control is the address of the agent's control port, as IP:port.
	Control string `json:"control"`
	// Draining takes the server out of routing while its requests finish.
	Draining bool `json:"draining,omitempty"`
	// Group and Rank are set for a server that is a rank of a group.
	Group string `json:"group,omitempty"`
	Rank  int    `json:"rank,omitempty"`
	// Engine is where the engine of a rank takes orders, as IP:port.
	Engine string `json:"engine,omitempty"`
	// IgnoresFence tells that the engine accepts orders with old fencing numbers.
	IgnoresFence bool `json:"ignoresFence,omitempty"`
}

// Group is a group of ranks that step together on one expert map.
type Group struct {
	Service string `json:"service"`
	Ranks   int    `json:"ranks"`
	Experts int    `json:"experts"`
	Layers  int    `json:"layers"`
	// SlotsPerRank is how many expert replicas a rank holds per layer.
	SlotsPerRank int `json:"slotsPerRank"`
	// SkewWeight is what one per cent of skew is worth; CostWeight is what one
	// expert move costs. Only their ratio matters.
	SkewWeight float64 `json:"skewWeight,omitempty"`
	CostWeight float64 `json:"costWeight,omitempty"`
	// PinnedMap stops rebalancing.
	PinnedMap bool `json:"pinnedMap,omitempty"`
	// MaxLoads is how many experts of a layer a rank may load for one map; default 2.
	MaxLoads int `json:"maxLoads,omitempty"`
}

// Route says which traffic may go to which backend servers.
type Route struct {
	// Priority orders routes; the highest that matches is used.
	Priority int    `json:"priority,omitempty"`
	Service  string `json:"service"`
	// Customers is a label selector over customers; empty matches all.
	Customers string `json:"customers,omitempty"`
	// Servers is a label selector over backend servers; empty matches all.
	Servers string `json:"servers,omitempty"`
	// Models limits the route to these models; empty matches all.
	Models []string `json:"models,omitempty"`
	// Windows limits the route to times of the week; empty matches always.
	Windows []Window `json:"windows,omitempty"`
	// Class overrides the service's default class.
	Class Class `json:"class,omitempty"`
	// DeadlineMs overrides the service's default deadline.
	DeadlineMs int64 `json:"deadlineMs,omitempty"`
}

// Window is a daily span of local time on some days of the week. A span whose
// end is not after its start runs past midnight and belongs to the day it starts.
type Window struct {
	// Timezone is an IANA name such as Europe/Budapest.
	Timezone string `json:"timezone"`
	// Days such as Mon; empty is every day.
	Days []string `json:"days,omitempty"`
	// From and To are local times of day as HH:MM.
	From string `json:"from"`
	To   string `json:"to"`
}

// Quarantine keeps one request, and the repeats of it, from all servers. Entries set it
// when servers end while they run the request. It's named by the request's digest;
// deleting it lets the request run again.
type Quarantine struct {
	// Customer and Path are of the request, where an entry set it.
	Customer string `json:"customer,omitempty"`
	Path     string `json:"path,omitempty"`
	// SinceMs is when the first server ended, in milliseconds of the Unix epoch.
	SinceMs int64 `json:"sinceMs,omitempty"`
	// Servers are those that ended.
	Servers []string `json:"servers,omitempty"`
	// UntilMs is when it ends, in milliseconds of the Unix epoch.
	UntilMs int64 `json:"untilMs"`
}

// Until is when the quarantine ends.
func (q Quarantine) Until() time.Time { return time.UnixMilli(q.UntilMs) }

// PolicyName is the name of the only Policy object.
const PolicyName = "default"

// Policy holds deployment-wide settings.
type Policy struct {
	// RetryPercent is how many retries a customer may spend per hundred requests; default 10.
	RetryPercent int `json:"retryPercent,omitempty"`
	// PatientPercent is the share of a server kept for patient requests; default 10.
	PatientPercent int `json:"patientPercent,omitempty"`
	// KeyWindowSeconds is how long answers are kept for idempotency keys; default 600.
	KeyWindowSeconds int `json:"keyWindowSeconds,omitempty"`
	// ClockSkewMs bounds how far the clocks of VMs and callers differ; default 5000.
	ClockSkewMs int64 `json:"clockSkewMs,omitempty"`
	// AuditEntries is how many audit entries are kept; default 20000.
	AuditEntries int `json:"auditEntries,omitempty"`
}

// Defaults for Policy fields that are zero.
const (
	defaultRetryPercent     = 10
	defaultPatientPercent   = 10
	defaultKeyWindowSeconds = 600
	defaultClockSkewMs      = 5000
	defaultAuditEntries     = 20000
)

// WithDefaults returns p with its zero fields replaced by the defaults.
func (p Policy) WithDefaults() Policy {
	if p.RetryPercent == 0 {
		p.RetryPercent = defaultRetryPercent
	}
	if p.PatientPercent == 0 {
		p.PatientPercent = defaultPatientPercent
	}
	if p.KeyWindowSeconds == 0 {
		p.KeyWindowSeconds = defaultKeyWindowSeconds
	}
	if p.ClockSkewMs == 0 {
		p.ClockSkewMs = defaultClockSkewMs
	}
	if p.AuditEntries == 0 {
		p.AuditEntries = defaultAuditEntries
	}
	return p
}

// KeyWindow is how long answers are kept for idempotency keys.
func (p Policy) KeyWindow() time.Duration { return time.Duration(p.KeyWindowSeconds) * time.Second }

// ClockSkew bounds how far the clocks of VMs and callers differ.
func (p Policy) ClockSkew() time.Duration { return time.Duration(p.ClockSkewMs) * time.Millisecond }
