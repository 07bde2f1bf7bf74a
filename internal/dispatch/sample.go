package dispatch

import (
	"context"

	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
)

// mostLooked is how many servers of a service a choice looks at: a few of them are drawn among
// in the end, and a look at each of thousands would cost more than all else about a request.
const mostLooked = 128

// some draws servers to look at, if there are more than a choice looks at. One may be drawn
// twice.
func (b *Balancer) some(servers []*fleet.Server) (drawn []*fleet.Server, all bool) {
	if len(servers) <= mostLooked {
		return servers, true
	}
	drawn = make([]*fleet.Server, mostLooked)
	for i := range drawn {
		drawn[i] = servers[b.random(len(servers))]
	}
	return drawn, false
}

// pick chooses among some of the servers that may run a request, or among all if none of these
// may get it.
func (p *Pipeline) pick(ctx context.Context, x *exchange) (Choice, *failure.Error) {
	candidates := p.candidates(x)
	drawn, all := p.board.some(candidates)
	if !all {
		if open, _ := p.board.open(drawn, p.now()); len(open) > 0 {
			if picked := p.chooser.Choose(p.now(), open, x.request, x.tried); picked.Server != nil {
				return picked, nil
			}
		}
	}
	servers, f := p.openServers(ctx, x, candidates)
	if f != nil {
		return Choice{}, f
	}
	return p.chooser.Choose(p.now(), servers, x.request, x.tried), nil
}
