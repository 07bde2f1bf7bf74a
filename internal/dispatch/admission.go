package dispatch

import (
	"fmt"
	"math"
	"time"

	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
)

const (
	// fullFirst is the part of all places from which on a new request is refused: it
	// would wait longer for a place than its objective allows, and all others with it.
	// fullRepeat is the same for a request that was refused before: its caller may not
	// come a third time.
	fullFirst  = 1.05
	fullRepeat = 1.5
	// behindStep is by how much earlier a request is refused for each rank of priority
	// that it's behind the most urgent for its service, mostBehind how many ranks
	// count: less urgent work gives way first, and is never shut out.
	behindStep = 0.1
	mostBehind = 3
	// fullOverShare replaces both for a customer that has more than its share of the
	// places in use already, so that the others find one. A little below fullFirst is
	// enough, and takes little from customers that are just busy.
	fullOverShare = 1.0
	// fullPlain is the part of a plain service's places from which on a request is
	// refused whose customer has more than its share: as many wait as run then. Nobody
	// else is refused there before the servers do.
	fullPlain = 2.0
	// comeBackLeast and comeBackMost bound the hint to come back; it's spread, so that
	// those who were refused together don't return together.
	comeBackLeast = 700 * time.Millisecond
	comeBackMost  = 2200 * time.Millisecond
)

// admit refuses a request at once when the servers are so full that it would come
// too late, or that its customer's share is used up.
func (p *Pipeline) admit(x *exchange, picked Choice) *failure.Error {
	if x.begun {
		return nil
	}
	overShare := p.board.askedForPlace(x.Service, x.request.Customer, p.now())
	full := math.Inf(1)
	switch {
	case x.route.Kind == fleet.KindStreaming && picked.Server.Rank != nil:
		full = fullAt(x, overShare)
	case overShare:
		full = fullPlain
	}
	if picked.Utilization < full {
		p.takePlace(x)
		return nil
	}
	spread := time.Duration(p.board.random(int((comeBackMost - comeBackLeast).Milliseconds()))) * time.Millisecond
	return failure.NotRun(failure.StepQueue, x.Service, failure.CodeOverloaded,
		fmt.Sprintf("%.2f of the servers' places are taken, %.2f admitted, customer over its share: %t",
			picked.Utilization, full, overShare)).After(comeBackLeast + spread)
}

// takePlace counts an admitted request as its customer's, once.
func (p *Pipeline) takePlace(x *exchange) {
	if !x.hasPlace {
		x.hasPlace = true
		p.board.gotPlace(x.Service, x.request.Customer)
	}
}

// fullAt is the part of a group's places from which on a stream is refused. Long passes
// are no reason to refuse: maps mend what makes them long in less than a second, while who
// is refused is late for certain.
func fullAt(x *exchange, overShare bool) float64 {
	full := fullFirst
	switch {
	case overShare:
		full = fullOverShare
	case x.repeated:
		full = fullRepeat
	}
	return full - behindStep*float64(min(x.behind, mostBehind))
}
