package config

import (
	"maps"
	"reflect"
)

// HomesChange is the last change of where a service's idempotency keys live: of
// its set of servers, or of a route to it.
type HomesChange struct {
	Offset int64 `json:"offset"`
	TimeMs int64 `json:"timeMs"`
}

// noteHomes records whose keys' homes a bundle changes. It's called before the
// bundle's objects are put in place.
func (s *State) recordHomesChanges(bundle *Bundle, entry LogEntry) {
	changed := map[string]bool{}
	for _, change := range bundle.Changes {
		before := s.Objects[string(change.Kind)+"/"+change.Name]
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
	homes := maps.Clone(s.Homes) // views share the old one
	for service := range changed {
		homes[service] = HomesChange{Offset: entry.storedOffset(), TimeMs: entry.TimeMs}
	}
	s.Homes = homes
}

// relabeled tells whether a customer's labels change: other routes may be open to
// it then.
func relabeled(before, after *Object) bool {
	return before != nil && after != nil && before.Customer != nil && !maps.Equal(before.Labels, after.Labels)
}

// eachSelectiveService visits the services that have a route for some customers.
func (s *State) eachSelectiveService(visit func(service string)) {
	for _, object := range s.Objects {
		if object.Route != nil && object.Route.Customers != "" {
			visit(object.Route.Service)
		}
	}
}

// homesMoved returns the services whose keys' homes differ after an object has
// changed. Draining doesn't move a home: the server closes its keys itself.
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

// home is what of an object decides about homes.
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
