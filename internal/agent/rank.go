package agent

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/internal/group"
	"github.com/crowbridge/crowbridge/internal/rpc"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/twitchtv/twirp"
)

const (
	// grantWindow is how many steps ahead of the engine are granted: enough to
	// bridge grantEvery at steps of six milliseconds, several times over.
	grantWindow = 40
	grantEvery  = 50 * time.Millisecond
)

// RankControl drives one rank of a group: it takes the holder's orders and
// grants the engine its steps. It serves rpc.Ranks.
//
// mu is held over calls to the engine, so that the engine learns of changes in
// the order in which the rank made them; it is a lock of its own, taken with no
// other.
type RankControl struct {
	groupName string
	number    int
	engine    EngineControl
	log       *logrus.Entry

	mu    sync.Mutex
	rank  *group.Rank
	told  group.EnginePlan
	state *EngineState
	// instance of the engine that rank is about.
	instance string
}

// NewRankControl returns a control that knows nothing until Run has read its
// engine.
func NewRankControl(groupName string, number int, engine EngineControl, log *logrus.Entry) *RankControl {
	return &RankControl{groupName: groupName, number: number, engine: engine, log: log}
}

// Run reads the engine back, then grants steps until the context ends.
func (c *RankControl) Run(ctx context.Context) error {
	ticker := time.NewTicker(grantEvery)
	defer ticker.Stop()
	for {
		if err := c.tick(ctx); err != nil && ctx.Err() == nil {
			c.log.WithError(err).Debug("engine not reached")
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *RankControl) tick(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, err := c.engine.State(ctx)
	if err != nil {
		return err
	}
	c.state = state
	if c.rank == nil || state.Instance != c.instance {
		// The agent just started, or the engine did and lost everything: go by what
		// the engine knows, and wait for a holder.
		c.rank = group.NewRank(rand.Uint64()>>1, state.Plan)
		c.told = state.Plan
		c.instance = state.Instance
	}
	c.rank.Began(state.Plan.Step)
	c.rank.Grant(state.Plan.Step + grantWindow)
	return c.tell(ctx)
}

// tell lets the engine know what changed. The rank's state may be ahead of the
// engine's, never behind.
func (c *RankControl) tell(ctx context.Context) error {
	plan := c.rank.Plan
	same := plan.Next == c.told.Next && plan.GrantedThrough == c.told.GrantedThrough && plan.InUse == c.told.InUse
	if same {
		return nil
	}
	if err := c.engine.Tell(ctx, c.rank.Report().Fence, c.instance, plan); err != nil {
		return err
	}
	c.told = plan
	return nil
}

// Order implements rpc.Ranks. The reply is given only when the engine knows
// what it has to; until then the holder asks again.
func (c *RankControl) Order(ctx context.Context, request *rpc.OrderRequest) (*rpc.OrderReply, error) {
	order, err := c.decode(request)
	if err != nil {
		return nil, twirp.InvalidArgumentError("order", err.Error())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rank == nil {
		return nil, twirp.NewError(twirp.Unavailable, "the engine hasn't been read back yet")
	}
	before := c.rank.Plan.Staged
	reply := c.rank.Handle(order)
	if c.rank.Plan.Staged != before {
		if err := c.engine.Stage(ctx, order.Fence, order.Switch.Version, request.Map); err != nil {
			c.rank.Plan.Staged = before
			return nil, twirp.NewError(twirp.Unavailable, errors.Wrap(err, "stage").Error())
		}
	}
	if err := c.tell(ctx); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, errors.Wrap(err, "tell").Error())
	}
	encoded := c.encode(reply)
	if request.WantMap && reply.Committed.Version != 0 {
		if encoded.Map, err = c.engine.Map(ctx, reply.Committed.Version); err != nil {
			return nil, twirp.NewError(twirp.Unavailable, errors.Wrap(err, "map").Error())
		}
	}
	return encoded, nil
}

func (c *RankControl) decode(request *rpc.OrderRequest) (group.Order, error) {
	if request.Group != c.groupName || int(request.Rank) != c.number {
		return group.Order{}, errors.Errorf("meant for rank %d of %s; this is rank %d of %s", request.Rank, request.Group, c.number, c.groupName)
	}
	incarnation := uint64(0)
	if request.Incarnation != "" {
		var err error
		if incarnation, err = strconv.ParseUint(request.Incarnation, 10, 64); err != nil {
			return group.Order{}, errors.Wrap(err, "incarnation")
		}
	}
	return group.Order{
		Fence: request.Fence, Incarnation: incarnation, Kind: group.Kind(request.Kind),
		Switch: group.Switch{Version: group.Version(request.MapVersion), Step: request.StartStep, Jump: request.Jump},
	}, nil
}

func (c *RankControl) encode(reply group.Reply) *rpc.OrderReply {
	return &rpc.OrderReply{
		Refusal: int64(reply.Refusal), Fence: reply.Fence, Incarnation: strconv.FormatUint(reply.Incarnation, 10),
		CommittedVersion: int64(reply.Committed.Version), CommittedStep: reply.Committed.Step, CommittedJump: reply.Committed.Jump,
		Pending: reply.Pending, StagedVersion: int64(reply.Staged), GrantedThrough: reply.GrantedThrough,
		Step: reply.Step, Recovering: reply.Recovering, BusyUs: c.state.BusyUs, Popularity: c.state.Popularity,
	}
}
