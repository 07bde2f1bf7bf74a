// Package config is the configuration of the deployment: the objects that operators declare, and
// the deterministic state machine that applies log records and decides which changes take effect.
// It does no I/O and reads no clock.
package config

import "time"

// Kind is the type of a configuration object.
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

// Kinds lists all kinds in the order in which the `get` command prints them.
var Kinds = []Kind{KindPolicy, KindCustomer, KindService, KindBackendServer, KindGroup, KindRoute, KindQuarantine}

// Object is a configuration object. Only the spec of its kind is set.
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

	// Revision is 1 plus the log offset of the change that set the object.
	Revision int64 `json:"revision,omitempty"`
}

// Customer sends requests and is identified by API keys.
type Customer struct {
	// Weight is the customer's share of a congested server relative to other customers; default 1.
	Weight int `json:"weight,omitempty"`
	// KeyHashes are the SHA-256 hashes of the customer's API keys, in hex.
	KeyHashes []string `json:"keyHashes,omitempty"`
	// MaxInFlight limits the customer's requests in flight at one entry; 0 means no limit.
	MaxInFlight int `json:"maxInFlight,omitempty"`
}

// Protocol is the protocol of a service's backend servers.
type Protocol string

// The protocols of backend servers.
const (
	// ProtocolEngine is the OpenAI-style HTTP API, with or without streaming.
	ProtocolEngine Protocol = "engine"
	// ProtocolPlain passes method, path, headers and body through unchanged.
	ProtocolPlain Protocol = "plain"
)

// Service is a set of interchangeable backend servers.
type Service struct {
	Protocol Protocol `json:"protocol"`
	// Models are the models that an engine service serves.
	Models []string `json:"models,omitempty"`
	// PathPrefix is the path under which callers reach a plain service, such as /dispatch.
	PathPrefix string `json:"pathPrefix,omitempty"`
	// Idempotent is the default for requests that don't specify it.
	Idempotent bool `json:"idempotent,omitempty"`
	// Class is the default for requests that don't specify one; default normal.
	Class Class `json:"class,omitempty"`
	// DeadlineMs is the default for requests that don't specify one; default 30000.
	DeadlineMs int64 `json:"deadlineMs,omitempty"`
	// MaxConcurrency limits the requests running at one server; default 8.
	MaxConcurrency int `json:"maxConcurrency,omitempty"`
}

// Class is the priority class of a request.
type Class string

// The priority classes, most urgent first.
const (
	ClassUrgent  Class = "urgent"
	ClassNormal  Class = "normal"
	ClassPatient Class = "patient"
)

// BackendServer is a backend server with its agent.
type BackendServer struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	// Address is the agent's request port, as IP:port.
	Address string `json:"address"`
	// Control is the agent's control port, as IP:port.
	Control string `json:"control"`
	// Draining takes the server out of routing while its requests finish.
	Draining bool `json:"draining,omitempty"`
	// Group and Rank are set if the server is a rank of a group.
	Group string `json:"group,omitempty"`
	Rank  int    `json:"rank,omitempty"`
	// Engine is the address at which the rank's engine accepts commands, as IP:port.
	Engine string `json:"engine,omitempty"`
	// IgnoresFence is set if the engine accepts commands with outdated fencing tokens.
	IgnoresFence bool `json:"ignoresFence,omitempty"`
}

// Group is a group of ranks that run in lock-step on one expert map.
type Group struct {
	Service string `json:"service"`
	Ranks   int    `json:"ranks"`
	Experts int    `json:"experts"`
	Layers  int    `json:"layers"`
	// SlotsPerRank is the number of expert replicas that a rank holds per layer.
	SlotsPerRank int `json:"slotsPerRank"`
	// SkewWeight is the weight of one per cent of skew, CostWeight that of one expert move. Only
	// their ratio matters.
	SkewWeight float64 `json:"skewWeight,omitempty"`
	CostWeight float64 `json:"costWeight,omitempty"`
	// PinnedMap disables rebalancing.
	PinnedMap bool `json:"pinnedMap,omitempty"`
	// MaxLoads limits the experts of a layer that a rank may load for one map; default 2.
	MaxLoads int `json:"maxLoads,omitempty"`
}

// Route defines which requests may go to which backend servers.
type Route struct {
	// Priority orders the routes; the matching route with the highest priority is used.
	Priority int    `json:"priority,omitempty"`
	Service  string `json:"service"`
	// Customers is a label selector for customers; empty matches all.
	Customers string `json:"customers,omitempty"`
	// Servers is a label selector for backend servers; empty matches all.
	Servers string `json:"servers,omitempty"`
	// Models restricts the route to these models; empty matches all.
	Models []string `json:"models,omitempty"`
	// Windows restricts the route to times of the week; empty matches always.
	Windows []Window `json:"windows,omitempty"`
	// Class overrides the service's class.
	Class Class `json:"class,omitempty"`
	// DeadlineMs overrides the service's deadline.
	DeadlineMs int64 `json:"deadlineMs,omitempty"`
}

// Window is a daily interval of local time on some days of the week. An interval whose end isn't
// after its start extends past midnight and belongs to the day on which it starts.
type Window struct {
	// Timezone is an IANA name such as Europe/Budapest.
	Timezone string `json:"timezone"`
	// Days are names such as Mon; empty means every day.
	Days []string `json:"days,omitempty"`
	// From and To are local times of day, as HH:MM.
	From string `json:"from"`
	To   string `json:"to"`
}

// Quarantine keeps a request and its repeats, or all requests with a part of a prompt, from all
// servers. Entries create it when servers crash while they run the requests. Its name is the digest of
// the request or of the part; deleting it allows them again.
type Quarantine struct {
	// Customer and Path are those of the request if an entry created the quarantine. Requests of other
	// customers with a part are allowed; empty means none.
	Customer string `json:"customer,omitempty"`
	Path     string `json:"path,omitempty"`
	// Part is the ID of the part of a prompt, Service the service whose requests have it.
	Part    string `json:"part,omitempty"`
	Service string `json:"service,omitempty"`
	// SinceMs is the time of the first crash, in Unix milliseconds.
	SinceMs int64 `json:"sinceMs,omitempty"`
	// Servers are the servers that crashed.
	Servers []string `json:"servers,omitempty"`
	// UntilMs is the end of the quarantine, in Unix milliseconds.
	UntilMs int64 `json:"untilMs"`
}

// Until returns the end of the quarantine.
func (q Quarantine) Until() time.Time { return time.UnixMilli(q.UntilMs) }

// PolicyName is the name of the only Policy object.
const PolicyName = "default"

// Policy holds deployment-wide settings.
type Policy struct {
	// RetryPercent is the number of retries allowed per hundred requests of a customer; default 10.
	RetryPercent int `json:"retryPercent,omitempty"`
	// PatientPercent is the share of a server reserved for patient requests; default 10.
	PatientPercent int `json:"patientPercent,omitempty"`
	// KeyWindowSeconds is how long responses are kept for idempotency keys; default 600.
	KeyWindowSeconds int `json:"keyWindowSeconds,omitempty"`
	// ClockSkewMs is the maximum clock difference between VMs and callers; default 5000.
	ClockSkewMs int64 `json:"clockSkewMs,omitempty"`
	// AuditEntries is the number of audit entries to keep; default 20000.
	AuditEntries int `json:"auditEntries,omitempty"`
}

// Defaults for zero fields of Policy.
const (
	defaultRetryPercent     = 10
	defaultPatientPercent   = 10
	defaultKeyWindowSeconds = 600
	defaultClockSkewMs      = 5000
	defaultAuditEntries     = 20000
)

// WithDefaults returns p with zero fields replaced by the defaults.
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

// KeyWindow returns how long responses are kept for idempotency keys.
func (p Policy) KeyWindow() time.Duration { return time.Duration(p.KeyWindowSeconds) * time.Second }

// ClockSkew returns the maximum clock difference between VMs and callers.
func (p Policy) ClockSkew() time.Duration { return time.Duration(p.ClockSkewMs) * time.Millisecond }
