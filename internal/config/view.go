package config

import (
	"slices"
	"strings"

	"github.com/crowbridge/crowbridge/internal/storelog"
)

// View is an immutable view of the configuration at a position. It shares its objects with the
// State; they must not be changed.
type View struct {
	// Position is the position of the last applied record.
	Position storelog.Position
	// Configured is the offset of the last accepted change: views with the same value have the same
	// objects.
	Configured int64

	objects map[string]*Object
	agents  map[string]AgentRun
	homes   map[string]HomesChange
}

// View returns an immutable view. It doesn't copy the objects; the State clones its table before
// the next change.
func (s *State) View() *View {
	s.shared = true
	return &View{
		Position: s.Position, Configured: s.Configured,
		objects: s.Objects,
		agents:  s.Agents,
		homes:   s.Homes,
	}
}

// Get returns the object of a kind and name, or nil.
func (v *View) Get(kind Kind, name string) *Object {
	return v.objects[string(kind)+"/"+name]
}

// List returns the objects of a kind, sorted by name.
func (v *View) List(kind Kind) []*Object {
	prefix := string(kind) + "/"
	var found []*Object
	for id, object := range v.objects {
		if strings.HasPrefix(id, prefix) {
			found = append(found, object)
		}
	}
	slices.SortFunc(found, func(a, b *Object) int { return strings.Compare(a.Name, b.Name) })
	return found
}

// Agent returns the last recorded run of a server's agent.
func (v *View) Agent(server string) (AgentRun, bool) {
	run, ok := v.agents[server]
	return run, ok
}

// HomesChange returns the last change of the homes of a service's keys.
func (v *View) HomesChange(service string) HomesChange { return v.homes[service] }

// Policy returns the deployment-wide settings with defaults.
func (v *View) Policy() Policy {
	object := v.Get(KindPolicy, PolicyName)
	if object == nil {
		return Policy{}.WithDefaults()
	}
	return object.Policy.WithDefaults()
}
