package group

import "slices"

// Phase is where a holder stands.
type Phase int

// The phases, in order. A switch that is wanted goes from ready through
// staging, proposing and committing back to ready.
const (
	PhaseRaise Phase = iota
	PhaseRepropose
	PhaseRecommit
	PhaseReady
	PhaseStage
	PhasePropose
	PhaseCommit
)

// Addressed is an order with the rank it's for.
type Addressed struct {
	Rank  int
	Order Order
}

// Holder is the state machine of whoever holds the group's lease. It leaves a
// phase only when ALL ranks have acknowledged it. Orders may be sent any number
// of times; replies may be lost, late or doubled.
//
// Not safe for concurrent use.
type Holder struct {
	fence      int64
	margin     int64
	ahead      int64 // the margin of the present proposal
	phase      Phase
	round      int64
	acked      []bool
	views      []Reply
	target     Switch
	made       int64
	wanted     bool
	superseded bool
}

// NewHolder returns the holder of a lease with the given fencing number over a
// group. margin is how many steps ahead of the last granted one a switch is
// proposed, so that the group need not wait for the decision.
func NewHolder(fence int64, ranks int, margin int64) *Holder {
	return &Holder{fence: fence, margin: margin, acked: make([]bool, ranks), views: make([]Reply, ranks)}
}

// Phase is where the holder stands.
func (h *Holder) Phase() Phase { return h.phase }

// Superseded tells that a rank knows a higher fencing number. The holder sends
// no more orders.
func (h *Holder) Superseded() bool { return h.superseded }

// Want asks for a switch to a new version and returns that. It's for a holder
// that is ready, and changes nothing otherwise.
func (h *Holder) Want() (Version, bool) {
	if h.phase != PhaseReady || h.wanted || h.superseded {
		return 0, false
	}
	h.made++
	h.wanted = true
	h.target = Switch{Version: NewVersion(h.fence, h.made)}
	h.enter(PhaseStage)
	return h.target.Version, true
}

// Target is the switch that the holder works on, or has committed last.
func (h *Holder) Target() Switch { return h.target }

// View is what a rank replied last.
func (h *Holder) View(rank int) Reply { return h.views[rank] }

// Orders returns the orders that are due: those not yet acknowledged, and for a
// ready holder a raise to each rank, which finds out who restarted.
func (h *Holder) Orders() []Addressed {
	if h.superseded {
		return nil
	}
	var due []Addressed
	for rank := range h.acked {
		if h.acked[rank] && h.phase != PhaseReady {
			continue
		}
		due = append(due, Addressed{Rank: rank, Order: h.order(rank)})
	}
	return due
}

var kindOf = map[Phase]Kind{
	PhaseRaise: KindRaise, PhaseRepropose: KindPropose, PhaseRecommit: KindCommit, PhaseReady: KindRaise,
	PhaseStage: KindStage, PhasePropose: KindPropose, PhaseCommit: KindCommit,
}

func (h *Holder) order(rank int) Order {
	order := Order{Fence: h.fence, Kind: kindOf[h.phase], Round: h.round}
	if order.Kind != KindRaise {
		order.Incarnation = h.views[rank].Incarnation
		order.Switch = h.target
	}
	return order
}

// Handle takes a rank's reply to an order. A reply to an order that is no
// longer due changes nothing.
func (h *Holder) Handle(rank int, order Order, reply Reply) {
	if h.superseded {
		return
	}
	if reply.Refusal == RefusalFence {
		h.superseded = true
		return
	}
	if order != h.order(rank) {
		return
	}
	switch reply.Refusal {
	case RefusalNone:
		h.acknowledge(rank, reply)
	case RefusalIncarnation, RefusalNotRaised:
		h.restart()
	case RefusalTooLate:
		h.later(reply)
	case RefusalNotStaged:
		h.enter(PhaseStage)
	case RefusalNotProposed:
		h.reproposeTarget()
	default: // busy: ask again
	}
}

// restart begins again from raising; a switch that was wanted and not committed
// is forgotten, since its promises may be.
func (h *Holder) restart() {
	h.wanted = false
	h.enter(PhaseRaise)
}

func (h *Holder) enter(phase Phase) {
	h.phase = phase
	h.round++
	for rank := range h.acked {
		h.acked[rank] = false
	}
}

// later proposes the switch for a later step, since a rank was already granted
// the one proposed. The margin doubles each time: with a fixed one, a group that
// steps faster than a round takes would be behind its proposals for ever.
func (h *Holder) later(reply Reply) {
	if h.phase != PhasePropose {
		h.restart()
		return
	}
	h.ahead *= 2
	h.target.Step = max(h.target.Step, reply.GrantedThrough, reply.Committed.Step) + h.ahead
	h.enter(PhasePropose)
}

func (h *Holder) reproposeTarget() {
	if h.phase == PhaseRecommit {
		h.enter(PhaseRepropose)
		return
	}
	h.enter(PhasePropose)
}

func (h *Holder) acknowledge(rank int, reply Reply) {
	if h.phase == PhaseReady {
		if reply.Incarnation != h.views[rank].Incarnation || reply.Recovering {
			h.restart()
			return
		}
		h.views[rank] = reply
		return
	}
	h.views[rank] = reply
	h.acked[rank] = true
	if slices.Contains(h.acked, false) {
		return
	}
	h.next()
}

func (h *Holder) next() {
	switch h.phase {
	case PhaseRaise:
		h.target = h.newestCommitted()
		if h.engineLost() {
			h.target = Switch{Version: h.target.Version, Jump: true}
			h.enter(PhaseStage)
			return
		}
		h.enter(PhaseRepropose)
	case PhaseRepropose:
		h.enter(PhaseRecommit)
	case PhaseStage:
		h.target.Step = h.firstFreeStep()
		h.enter(PhasePropose)
	case PhasePropose:
		h.enter(PhaseCommit)
	case PhaseRecommit, PhaseCommit:
		h.wanted = false
		h.enter(PhaseReady)
	case PhaseReady:
	}
}

// newestCommitted is the newest switch that any rank has committed. Ranks are
// at most one switch apart, because a switch is proposed only when all have
// committed the one before.
func (h *Holder) newestCommitted() Switch {
	newest := h.views[0].Committed
	for _, view := range h.views {
		if view.Committed.Step > newest.Step || view.Committed.Version > newest.Version {
			newest = view.Committed
		}
	}
	return newest
}

// engineLost tells whether a rank's engine has lost its place: it was granted
// nothing, while the group has stepped. Before a group's first steps nobody was.
func (h *Holder) engineLost() bool {
	least, furthest := h.views[0].GrantedThrough, int64(0)
	for _, view := range h.views {
		least = min(least, view.GrantedThrough)
		furthest = max(furthest, view.Step)
	}
	return least == 0 && furthest > 1
}

func (h *Holder) firstFreeStep() int64 {
	first := int64(0)
	for _, view := range h.views {
		first = max(first, view.GrantedThrough, view.Committed.Step)
	}
	h.ahead = h.margin
	return first + h.ahead
}
