package entry

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/crowbridge/crowbridge/internal/group"
	"github.com/crowbridge/crowbridge/internal/rebalance"
	"github.com/crowbridge/crowbridge/internal/rpc"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// answered is one rank's reply to an order.
type answered struct {
	addressed  group.Addressed
	reply      group.Reply
	popularity []int64
	busyUs     int64
	expertMap  []byte
}

// send sends all due orders at once and hands the replies to the holder. It
// returns the answers.
func (d *driver) send(ctx context.Context, addresses map[int]string) []answered {
	orders := d.holder.Orders()
	replies := make(chan answered, len(orders))
	var workers errgroup.Group
	workers.SetLimit(orderWorkers)
	for _, addressed := range orders {
		workers.Go(func() error {
			reply, err := d.order(ctx, addresses[addressed.Rank], addressed)
			if err != nil {
				d.logger.WithError(err).WithField("rank", addressed.Rank).Debug("order not answered")
				return nil // it's sent again in the next turn
			}
			replies <- *reply
			return nil
		})
	}
	_ = workers.Wait() // the workers return no errors
	close(replies)
	var got []answered
	for r := range replies {
		d.holder.Handle(r.addressed.Rank, r.addressed.Order, r.reply)
		got = append(got, r)
		d.learn(r.expertMap)
	}
	return got
}

// mapSources is how many ranks a new holder asks for the map in use: two, since
// one's engine may have lost it.
const mapSources = 2

// stagedMap is the map to stage: the one to switch to, or the one in use when
// the group forms anew.
func (d *driver) stagedMap() *rebalance.Placement {
	if d.staged != nil {
		return d.staged
	}
	return d.placement
}

// learn takes over the map that the ranks use, when this daemon begins to hold
// the lease.
func (d *driver) learn(expertMap []byte) {
	if len(expertMap) == 0 {
		return
	}
	placement, err := rebalance.DecodePlacement(d.placement.Shape, expertMap)
	if err != nil {
		d.logger.WithError(err).Error("the map in use can't be read; planning starts from the default one")
		return
	}
	d.placement = placement
}

func (d *driver) order(ctx context.Context, address string, a group.Addressed) (*answered, error) {
	request := &rpc.OrderRequest{
		Group: d.name, Rank: int64(a.Rank), Fence: a.Order.Fence, Kind: rpc.OrderKind(a.Order.Kind),
		MapVersion: int64(a.Order.Switch.Version), StartStep: a.Order.Switch.Step, Jump: a.Order.Switch.Jump,
	}
	if a.Order.Kind != group.KindRaise {
		request.Incarnation = strconv.FormatUint(a.Order.Incarnation, 10)
	}
	if a.Order.Kind == group.KindStage {
		data, err := json.Marshal(d.stagedMap())
		if err != nil {
			return nil, errors.Wrap(err, "expert map")
		}
		request.Map = data
	}
	request.WantMap = d.holder.Phase() == group.PhaseRaise && a.Rank < mapSources
	ctx, cancel := context.WithTimeout(ctx, orderWait)
	defer cancel()
	reply, err := rpc.NewRanksProtobufClient("http://"+address, d.groups.client).Order(ctx, request)
	if err != nil {
		return nil, errors.Wrapf(err, "rank %d at %s", a.Rank, address)
	}
	incarnation, err := strconv.ParseUint(reply.Incarnation, 10, 64)
	if err != nil {
		return nil, errors.Wrapf(err, "rank %d at %s: incarnation", a.Rank, address)
	}
	return &answered{addressed: a, popularity: reply.Popularity, busyUs: reply.BusyUs, expertMap: reply.Map, reply: group.Reply{
		Refusal: group.Refusal(reply.Refusal), Fence: reply.Fence, Incarnation: incarnation,
		Committed: group.Switch{Version: group.Version(reply.CommittedVersion), Step: reply.CommittedStep, Jump: reply.CommittedJump},
		Pending:   reply.Pending, Staged: group.Version(reply.StagedVersion),
		GrantedThrough: reply.GrantedThrough, Step: reply.Step, Recovering: reply.Recovering,
	}}, nil
}
