package platformdaemon

import (
	"net/netip"

	"github.com/crowbridge/crowbridge/internal/experts"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/membership"
	"github.com/crowbridge/crowbridge/internal/ranks"
	"github.com/crowbridge/crowbridge/platform"
	"github.com/pkg/errors"
)

// directory resolves the ranks of groups to registered servers. It implements
// ranks.Directory.
type directory struct {
	settings *platform.Settings
	members  *membership.Membership
}

// Endpoints implements ranks.Directory. If several servers are registered as one
// rank, the one with the newest epoch wins.
func (d directory) Endpoints(group string, rank int) (ranks.Endpoints, error) {
	servers := d.members.Servers()
	if servers == nil {
		return ranks.Endpoints{}, errors.New("no server registrations received yet")
	}
	var found *fleet.Server
	for _, server := range servers.All() {
		r := server.Rank
		if r == nil || r.Group != group || r.Rank != rank {
			continue
		}
		if found == nil || r.Epoch > found.Rank.Epoch {
			found = server
		}
	}
	if found == nil {
		return ranks.Endpoints{}, errors.Errorf("no server of group %s has rank %d", group, rank)
	}
	address, err := netip.ParseAddrPort(found.Address)
	if err != nil {
		return ranks.Endpoints{}, errors.Wrapf(err, "server %s", found.ID)
	}
	agent := joinPort(address.Addr().String(), portOf(d.settings, rankPort))
	return ranks.Endpoints{Server: found.ID, Agent: agent, Engine: found.Address, ChecksFence: d.settings.EnginesFence}, nil
}

// Parameters implements ranks.Directory for the group of the engine on this VM.
func (d directory) Parameters(string) (ranks.Parameters, bool) {
	config, servers := d.members.Config(), d.members.Servers()
	if config == nil || servers == nil {
		return ranks.Parameters{}, false
	}
	server := servers.ByAddress(d.settings.LocalServer)
	if server == nil {
		return ranks.Parameters{}, false
	}
	service := config.Service(server.Service)
	if service == nil || service.Engine == nil || service.Engine.Layers == 0 {
		return ranks.Parameters{}, false
	}
	return ranks.Parameters{Engine: service.Engine, MaxEventGap: config.MaxEventGap(service.Name), Policy: experts.DefaultPolicy}, true
}
