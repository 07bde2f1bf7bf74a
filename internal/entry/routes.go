package entry

import (
	"maps"
	"slices"

	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/routing"
	"github.com/crowbridge/crowbridge/internal/selector"
)

// compiled is one configuration, ready for requests.
type compiled struct {
	index *selector.Index
	// servers are the backend servers as the pipeline knows them, by name; their
	// addresses are those of their agents.
	servers map[string]*fleet.Server
}

func newCompiled(index *selector.Index) *compiled {
	c := &compiled{index: index, servers: map[string]*fleet.Server{}}
	for name, server := range index.Servers() {
		c.servers[name] = &fleet.Server{ID: name, Service: server.Spec.Service, Address: server.Spec.Address, Zone: server.Spec.Zone, Leaving: server.Spec.Draining}
	}
	return c
}

// registry returns the servers as a state of a registry.
func (c *compiled) registry() *fleet.Servers {
	return fleet.NewServers(slices.Collect(maps.Values(c.servers)))
}

// homes returns the servers that may run a keyed request, in order.
func (c *compiled) homes(x *exchange) []*fleet.Server {
	homes := []*fleet.Server{}
	for _, server := range routing.OrderHomes(x.homeServers, x.customer.Name, x.intent.Key) {
		homes = append(homes, c.servers[server.Name])
	}
	return homes
}

// noFleet says nothing: the entry's own routes name the servers. It implements
// dispatch.Fleet.
type noFleet struct{}

// Config implements dispatch.Fleet.
func (noFleet) Config() *fleet.Config { return nil }

// Servers implements dispatch.Fleet.
func (noFleet) Servers() *fleet.Servers { return nil }

// Allowed implements dispatch.Fleet.
func (noFleet) Allowed(string, string) ([]*fleet.Server, string) { return nil, "" }
