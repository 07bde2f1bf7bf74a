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

// selectorsWait is how long one read of the product's configuration waits for a
// change: each is paid for, and the store lets none wait for more than 30 s.
const selectorsWait = 28 * time.Second

// steeredFleet is what the request pipeline asks: the platform's configuration and
// registrations, narrowed by the operators' selectors. It implements dispatch.Fleet.
type steeredFleet struct {
	*membership.Membership
	steering *steering.Filter
}

// Config implements dispatch.Fleet: nothing is served before it's known which
// selectors there are.
func (f steeredFleet) Config() *fleet.Config {
	if !f.steering.Ready() {
		return nil
	}
	return f.Membership.Config()
}

// Allowed implements dispatch.Fleet.
func (f steeredFleet) Allowed(service, customer string) ([]*fleet.Server, string) {
	return f.steering.Allowed(f.Servers(), service, customer)
}

// peersSource reads the product's configuration from any entry heard of. It
// implements replica.Source.
type peersSource struct {
	daemon string
	peers  func() []string
	client *http.Client
}

// Name implements replica.Source.
func (peersSource) Name() string { return "another entry" }

func (s peersSource) any() (*replica.PeerSource, error) {
	peers := s.peers()
	if len(peers) == 0 {
		return nil, errors.New("no other entry is known")
	}
	return replica.NewPeerSource(peers[rand.IntN(len(peers))], s.daemon, s.client), nil
}

// Records implements replica.Source.
func (s peersSource) Records(ctx context.Context, after storelog.Position, wait time.Duration) (replica.Batch, error) {
	source, err := s.any()
	if err != nil {
		return replica.Batch{}, err
	}
	return source.Records(ctx, after, wait)
}

// State implements replica.Source.
func (s peersSource) State(ctx context.Context) (*config.State, error) {
	source, err := s.any()
	if err != nil {
		return nil, err
	}
	return source.State(ctx)
}
