package config

import (
	"maps"
	"reflect"
)

// HomesChange is the last change of the homes of a service's idempotency keys, by a change of its
// servers, of a route to it, or of a customer's labels. The home of a key is the agent that owns it.
type HomesChange struct {
	Offset int64 `json:"offset"`
	TimeMs int64 `json:"timeMs"`
}

// recordHomesChanges records the services whose homes a bundle changes or may change. It must be
// called before the bundle is committed.
func (s *State) recordHomesChanges(bundle *Bundle, entry LogEntry) {
	changed := map[string]bool{}
	for _, change := range bundle.Changes {
		before := s.Objects[change.objectID()]
		for _, service := range servicesWithChangedHomes(before, change.Object) {
			changed[service] = true
		}
		if relabeled(before, change.Object) {
			s.eachSelectiveService(func(service string) { changed[service] = true })
		}
	}
	if len(changed) == 0 {
		return
	}
	homes := maps.Clone(s.Homes) // views share the previous map
	for service := range changed {
		homes[service] = HomesChange{Offset: entry.storedOffset(), TimeMs: entry.TimeMs}
	}
	s.Homes = homes
}

// relabeled reports whether the labels of a customer change, and with them the routes that it may
// use.
func relabeled(before, after *Object) bool {
	return before != nil && after != nil && before.Customer != nil && !maps.Equal(before.Labels, after.Labels)
}

// eachSelectiveService calls visit for each service with a route that selects customers.
func (s *State) eachSelectiveService(visit func(service string)) {
	for _, object := range s.Objects {
		if object.Route != nil && object.Route.Customers != "" {
			visit(object.Route.Service)
		}
	}
}

// servicesWithChangedHomes returns the services whose homes change with an object. Draining doesn't
// change them, since a draining agent closes its keys itself.
func servicesWithChangedHomes(before, after *Object) []string {
	from, to := homeInputsOf(before), homeInputsOf(after)
	if reflect.DeepEqual(from, to) {
		return nil
	}
	var services []string
	for _, h := range []*homeInputs{from, to} {
		if h != nil {
			services = append(services, h.service)
		}
	}
	return services
}

// homeInputs holds the properties of an object that determine homes.
type homeInputs struct {
	service string
	labels  map[string]string
	route   Route
}

func homeInputsOf(object *Object) *homeInputs {
	switch {
	case object == nil:
		return nil
	case object.BackendServer != nil:
		return &homeInputs{service: object.BackendServer.Service, labels: object.Labels}
	case object.Route != nil:
		return &homeInputs{service: object.Route.Service, route: *object.Route}
	default:
		return nil
	}
}
