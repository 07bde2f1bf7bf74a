package entry

import (
	"maps"
	"slices"

	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/routing"
	"github.com/crowbridge/crowbridge/internal/selector"
)

// snapshot is a compiled configuration.
type snapshot struct {
	index *selector.Index
	// servers holds the backend servers by name, with the addresses of their agents.
	servers map[string]*fleet.Server
}

func newSnapshot(index *selector.Index) *snapshot {
	s := &snapshot{index: index, servers: map[string]*fleet.Server{}}
	for name, server := range index.Servers() {
		s.servers[name] = &fleet.Server{ID: name, Service: server.Spec.Service, Address: server.Spec.Address, Zone: server.Spec.Zone, Leaving: server.Spec.Draining}
	}
	return s
}

// registry returns the servers as a registry.
func (s *snapshot) registry() *fleet.Servers {
	return fleet.NewServers(slices.Collect(maps.Values(s.servers)))
}

// keyHomes returns the servers that may run a keyed request, the home of its key first.
func (s *snapshot) keyHomes(x *exchange) []*fleet.Server {
	homes := []*fleet.Server{}
	for _, server := range routing.OrderHomes(x.homeServers, x.customer.Name, x.intent.Key) {
		homes = append(homes, s.servers[server.Name])
	}
	return homes
}

// emptyFleet is an empty dispatch.Fleet: the entry's own routes determine the servers.
type emptyFleet struct{}

// Config implements dispatch.Fleet.
func (emptyFleet) Config() *fleet.Config { return nil }

// Servers implements dispatch.Fleet.
func (emptyFleet) Servers() *fleet.Servers { return nil }

// Allowed implements dispatch.Fleet.
func (emptyFleet) Allowed(string, string) ([]*fleet.Server, string) { return nil, "" }
