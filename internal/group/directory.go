// Package group provides group configuration to the ranks' leaders, and records leases and
// expert map changes on the audit trail.
package group

import (
	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/experts"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/ranks"
	"github.com/crowbridge/crowbridge/internal/replica"
	"github.com/pkg/errors"
)

// Directory looks up groups and ranks in the configuration. It implements ranks.Directory.
type Directory struct {
	Replica *replica.Replica
}

// Endpoints implements ranks.Directory.
func (d Directory) Endpoints(group string, rank int) (ranks.Endpoints, error) {
	for _, object := range d.Replica.View().List(config.KindBackendServer) {
		server := object.BackendServer
		if server.Group == group && server.Rank == rank {
			return ranks.Endpoints{Server: object.Name, Agent: server.Control, Engine: server.Engine, ChecksFence: !server.IgnoresFence}, nil
		}
	}
	return ranks.Endpoints{}, errors.Errorf("no backend server is configured as rank %d of group %s", rank, group)
}

// defaultMaxLoads is the default number of experts per layer that a rank may load for one map.
const defaultMaxLoads = 2

// Parameters implements ranks.Directory.
func (d Directory) Parameters(name string) (ranks.Parameters, bool) {
	object := d.Replica.View().Get(config.KindGroup, name)
	if object == nil {
		return ranks.Parameters{}, false
	}
	spec := object.Group
	engine := &fleet.EngineModel{
		Layers: spec.Layers, Experts: spec.Experts, SlotsPerRank: spec.SlotsPerRank, MaxNewPerPrepare: spec.MaxLoads,
	}
	if engine.MaxNewPerPrepare == 0 {
		engine.MaxNewPerPrepare = defaultMaxLoads
	}
	policy := experts.DefaultPolicy
	policy.Pinned = spec.PinnedMap
	if spec.SkewWeight > 0 && spec.CostWeight > 0 {
		policy.MoveCost = spec.CostWeight / spec.SkewWeight
	}
	return ranks.Parameters{Engine: engine, Policy: policy}, true
}
