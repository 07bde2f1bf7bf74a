package platformdaemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/membership"
	"github.com/crowbridge/crowbridge/internal/replica"
	"github.com/crowbridge/crowbridge/internal/steering"
	"github.com/crowbridge/crowbridge/internal/storelog"
	"github.com/pkg/errors"
)

// selectorsPollTimeout bounds one long poll of the product's configuration. The store
// charges for each read and allows at most 30 s.
const selectorsPollTimeout = 28 * time.Second

// filteredFleet is the platform's configuration and registrations, restricted by the
// operators' selectors. It implements dispatch.Fleet.
type filteredFleet struct {
	*membership.Membership
	steering *steering.Filter
}

// Config implements dispatch.Fleet. It returns nil until the selectors are known, so that
// no request bypasses them.
func (f filteredFleet) Config() *fleet.Config {
	if !f.steering.Ready() {
		return nil
	}
	return f.Membership.Config()
}

// Allowed implements dispatch.Fleet.
func (f filteredFleet) Allowed(service, customer string) ([]*fleet.Server, string) {
	return f.steering.Allowed(f.Servers(), service, customer)
}

// peerSource reads the product's configuration from a random known entry. It implements
// replica.Source.
type peerSource struct {
	daemon string
	peers  func() []string
	client *http.Client
}

// Name implements replica.Source.
func (peerSource) Name() string { return "another entry" }

func (s peerSource) randomPeer() (*replica.PeerSource, error) {
	peers := s.peers()
	if len(peers) == 0 {
		return nil, errors.New("no other entry is known")
	}
	return replica.NewPeerSource(peers[rand.IntN(len(peers))], s.daemon, s.client), nil
}

// Records implements replica.Source.
func (s peerSource) Records(ctx context.Context, after storelog.Position, wait time.Duration) (replica.Batch, error) {
	source, err := s.randomPeer()
	if err != nil {
		return replica.Batch{}, err
	}
	return source.Records(ctx, after, wait)
}

// State implements replica.Source.
func (s peerSource) State(ctx context.Context) (*config.State, error) {
	source, err := s.randomPeer()
	if err != nil {
		return nil, err
	}
	return source.State(ctx)
}
