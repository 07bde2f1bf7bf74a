package config

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"github.com/crowbridge/crowbridge/internal/quarantine"
	"github.com/pkg/errors"
	"k8s.io/apimachinery/pkg/labels"
	k8svalidation "k8s.io/apimachinery/pkg/util/validation"
	"sigs.k8s.io/yaml"
)

// FieldError is an invalid field of an object, with a hint how to fix it.
type FieldError struct {
	Object string
	Field  string
	Value  string
	Fix    string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: field %s: value %q: %s", e.Object, e.Field, e.Value, e.Fix)
}

// ID returns the object's ID, Kind/name.
func (o *Object) ID() string { return string(o.Kind) + "/" + o.Name }

func (o *Object) fieldError(field string, value any, fix string) error {
	return &FieldError{Object: o.ID(), Field: field, Value: fmt.Sprint(value), Fix: fix}
}

var documentSeparator = regexp.MustCompile(`(?m)^---\s*$`)

// ParseManifest parses YAML or JSON documents separated by `---` lines. Unknown fields are errors.
// Each object is validated, but references between objects aren't.
func ParseManifest(data []byte) ([]*Object, error) {
	var objects []*Object
	for i, doc := range documentSeparator.Split(string(data), -1) {
		if strings.TrimSpace(doc) == "" {
			continue
		}
		object, err := parseDocument([]byte(doc))
		if err != nil {
			return nil, errors.Wrapf(err, "document %d", i+1)
		}
		objects = append(objects, object)
	}
	if len(objects) == 0 {
		return nil, errors.New("the manifest contains no object: add at least one document with kind and name")
	}
	return objects, nil
}

func parseDocument(doc []byte) (*Object, error) {
	asJSON, err := yaml.YAMLToJSONStrict(doc)
	if err != nil {
		return nil, errors.Wrap(err, "not valid YAML")
	}
	return DecodeObject(asJSON)
}

// DecodeObject decodes an object from JSON and validates it.
func DecodeObject(data []byte) (*Object, error) {
	var object Object
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&object); err != nil {
		return nil, errors.Wrap(err, "not a configuration object")
	}
	if err := object.Validate(); err != nil {
		return nil, err
	}
	return &object, nil
}

// Validate validates the object on its own. Like those of State.Check, its error texts become part
// of the state.
func (o *Object) Validate() error {
	if err := o.validateMeta(); err != nil {
		return err
	}
	switch o.Kind {
	case KindCustomer:
		return o.validateCustomer()
	case KindService:
		return o.validateService()
	case KindBackendServer:
		return o.validateBackendServer()
	case KindGroup:
		return o.validateGroup()
	case KindRoute:
		return o.validateRoute()
	case KindPolicy:
		return o.validatePolicy()
	case KindQuarantine:
		return o.validateQuarantine()
	default:
		return o.fieldError("kind", o.Kind, fmt.Sprintf("use one of %v", Kinds))
	}
}

func (o *Object) validateMeta() error {
	if problems := k8svalidation.IsDNS1123Subdomain(o.Name); len(problems) > 0 {
		return o.fieldError("name", o.Name, "use lower-case letters, digits, '-' and '.', at most 253 characters")
	}
	for key, value := range o.Labels {
		if problems := k8svalidation.IsQualifiedName(key); len(problems) > 0 {
			return o.fieldError("labels", key, problems[0])
		}
		if problems := k8svalidation.IsValidLabelValue(value); len(problems) > 0 {
			return o.fieldError("labels."+key, value, problems[0])
		}
	}
	if o.specCount() != 1 || !o.specMatchesKind() {
		return o.fieldError("kind", o.Kind, "give exactly one spec, under the field named after the kind")
	}
	return nil
}

func (o *Object) specCount() int {
	n := 0
	for _, set := range []bool{
		o.Customer != nil, o.Service != nil, o.BackendServer != nil,
		o.Group != nil, o.Route != nil, o.Policy != nil, o.Quarantine != nil,
	} {
		if set {
			n++
		}
	}
	return n
}

func (o *Object) specMatchesKind() bool {
	switch o.Kind {
	case KindCustomer:
		return o.Customer != nil
	case KindService:
		return o.Service != nil
	case KindBackendServer:
		return o.BackendServer != nil
	case KindGroup:
		return o.Group != nil
	case KindRoute:
		return o.Route != nil
	case KindPolicy:
		return o.Policy != nil
	case KindQuarantine:
		return o.Quarantine != nil
	default:
		return true // Validate reports the unknown kind
	}
}

const (
	maxWeight      = 10000
	maxConcurrency = 100000
	sha256HexLen   = 64
)

func (o *Object) validateCustomer() error {
	c := o.Customer
	if c.Weight < 0 || c.Weight > maxWeight {
		return o.fieldError("customer.weight", c.Weight, "use 1 to 10000")
	}
	if c.MaxInFlight < 0 {
		return o.fieldError("customer.maxInFlight", c.MaxInFlight, "use 0 (no bound) or more")
	}
	for _, hash := range c.KeyHashes {
		if _, err := hex.DecodeString(hash); err != nil || len(hash) != sha256HexLen {
			return o.fieldError("customer.keyHashes", hash, "use the SHA-256 of the key in hex; `crowbridge key` prints one")
		}
	}
	return nil
}

func (o *Object) validateService() error {
	s := o.Service
	if s.Protocol != ProtocolEngine && s.Protocol != ProtocolPlain {
		return o.fieldError("service.protocol", s.Protocol, "use engine or plain")
	}
	if s.Protocol == ProtocolEngine && len(s.Models) == 0 {
		return o.fieldError("service.models", "", "name at least one model")
	}
	if s.Protocol == ProtocolPlain && (!strings.HasPrefix(s.PathPrefix, "/") || strings.HasPrefix(s.PathPrefix, "/v1/")) {
		return o.fieldError("service.pathPrefix", s.PathPrefix, "use a path that starts with / and isn't under /v1/")
	}
	if s.MaxConcurrency < 0 || s.MaxConcurrency > maxConcurrency {
		return o.fieldError("service.maxConcurrency", s.MaxConcurrency, "use 1 to 100000")
	}
	if s.DeadlineMs < 0 {
		return o.fieldError("service.deadlineMs", s.DeadlineMs, "use a positive number of milliseconds")
	}
	return o.validateClass("service.class", s.Class)
}

func (o *Object) validateClass(field string, class Class) error {
	switch class {
	case "", ClassUrgent, ClassNormal, ClassPatient:
		return nil
	default:
		return o.fieldError(field, class, "use urgent, normal or patient")
	}
}

func (o *Object) validateBackendServer() error {
	s := o.BackendServer
	if s.Service == "" {
		return o.fieldError("backendServer.service", "", "name the service")
	}
	if s.Zone == "" {
		return o.fieldError("backendServer.zone", "", "name the availability zone")
	}
	if _, err := netip.ParseAddrPort(s.Address); err != nil {
		return o.fieldError("backendServer.address", s.Address, "use IP:port")
	}
	if _, err := netip.ParseAddrPort(s.Control); err != nil {
		return o.fieldError("backendServer.control", s.Control, "use IP:port")
	}
	if s.Rank < 0 {
		return o.fieldError("backendServer.rank", s.Rank, "use 0 or more")
	}
	if _, err := netip.ParseAddrPort(s.Engine); err != nil && (s.Group != "" || s.Engine != "") {
		return o.fieldError("backendServer.engine", s.Engine, "use the IP:port at which the rank's engine takes orders")
	}
	return nil
}

func (o *Object) validateGroup() error {
	g := o.Group
	if g.Ranks < 1 || g.Experts < 1 || g.Layers < 1 {
		return o.fieldError("group.ranks", g.Ranks, "use 1 or more ranks, experts and layers")
	}
	if g.SlotsPerRank*g.Ranks < g.Experts {
		return o.fieldError("group.slotsPerRank", g.SlotsPerRank, "ranks x slotsPerRank must hold every expert once")
	}
	if g.SlotsPerRank > g.Experts {
		return o.fieldError("group.slotsPerRank", g.SlotsPerRank, "a rank can't hold more replicas than there are experts")
	}
	if g.MaxLoads < 0 {
		return o.fieldError("group.maxLoads", g.MaxLoads, "use 0 (the default) or more")
	}
	if g.SkewWeight < 0 || g.CostWeight < 0 {
		return o.fieldError("group.skewWeight", g.SkewWeight, "use 0 or more for both weights")
	}
	return nil
}

func (o *Object) validateRoute() error {
	r := o.Route
	if r.Service == "" {
		return o.fieldError("route.service", "", "name the service")
	}
	if _, err := labels.Parse(r.Customers); err != nil {
		return o.fieldError("route.customers", r.Customers, err.Error())
	}
	if _, err := labels.Parse(r.Servers); err != nil {
		return o.fieldError("route.servers", r.Servers, err.Error())
	}
	if r.DeadlineMs < 0 {
		return o.fieldError("route.deadlineMs", r.DeadlineMs, "use a positive number of milliseconds")
	}
	for i, window := range r.Windows {
		if err := o.validateWindow(i, window); err != nil {
			return err
		}
	}
	return o.validateClass("route.class", r.Class)
}

// TimeOfDayLayout is the layout of Window.From and Window.To.
const TimeOfDayLayout = "15:04"

// Weekdays maps the day names of Window.Days to weekdays.
var Weekdays = map[string]time.Weekday{
	"Sun": time.Sunday, "Mon": time.Monday, "Tue": time.Tuesday, "Wed": time.Wednesday,
	"Thu": time.Thursday, "Fri": time.Friday, "Sat": time.Saturday,
}

func (o *Object) validateWindow(i int, w Window) error {
	field := fmt.Sprintf("route.windows[%d]", i)
	if _, err := time.LoadLocation(w.Timezone); err != nil || w.Timezone == "" {
		return o.fieldError(field+".timezone", w.Timezone, "use an IANA time zone such as Europe/Budapest")
	}
	for _, day := range w.Days {
		if _, ok := Weekdays[day]; !ok {
			return o.fieldError(field+".days", day, "use Mon, Tue, Wed, Thu, Fri, Sat or Sun")
		}
	}
	if _, err := time.Parse(TimeOfDayLayout, w.From); err != nil {
		return o.fieldError(field+".from", w.From, "use HH:MM")
	}
	if _, err := time.Parse(TimeOfDayLayout, w.To); err != nil {
		return o.fieldError(field+".to", w.To, "use HH:MM")
	}
	return nil
}

const percent = 100

func (o *Object) validatePolicy() error {
	p := o.Policy
	if o.Name != PolicyName {
		return o.fieldError("name", o.Name, "the only Policy is named "+PolicyName)
	}
	if p.RetryPercent < 0 || p.RetryPercent > percent {
		return o.fieldError("policy.retryPercent", p.RetryPercent, "use 0 to 100")
	}
	if p.PatientPercent < 0 || p.PatientPercent > percent/2 {
		return o.fieldError("policy.patientPercent", p.PatientPercent, "use 0 to 50")
	}
	if p.KeyWindowSeconds < 0 || p.ClockSkewMs < 0 || p.AuditEntries < 0 {
		return o.fieldError("policy.keyWindowSeconds", p.KeyWindowSeconds, "use 0 (the default) or more in every field")
	}
	return nil
}

func (o *Object) validateQuarantine() error {
	if _, err := quarantine.ParseDigest(o.Name); err != nil {
		return o.fieldError("name", o.Name, "use the digest of the request, as the entries' log has it: 32 hexadecimal digits")
	}
	if o.Quarantine.UntilMs <= 0 {
		return o.fieldError("quarantine.untilMs", o.Quarantine.UntilMs, "use the time at which it ends, in milliseconds of the Unix epoch")
	}
	return nil
}
