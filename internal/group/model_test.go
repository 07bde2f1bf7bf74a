//go:build !race

// The exploration has one goroutine; the race detector would only slow it down.

package group

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	modelRanks  = 3
	modelWindow = 1 // steps granted ahead
	modelLast   = 2 // the last step that engines begin, to bound the model
	// jumpLast bounds the steps when engines are lost, which takes two steps before
	// and a few after the jump.
	jumpLast = 8
)

// state is one state of the model: ranks, holders, and every order that was
// ever due. Orders are never taken out, so that each may be delivered late,
// again, in any order, or never.
type state struct {
	ranks    [modelRanks]Rank
	holders  [2]Holder
	sent     []Addressed // with Round 0, which ranks ignore
	restarts int
	losses   int
	wants    int
}

func (s *state) clone() *state {
	c := *s
	for i := range c.holders {
		c.holders[i].acked = slices.Clone(s.holders[i].acked)
		c.holders[i].views = slices.Clone(s.holders[i].views)
	}
	return &c
}

// publish puts a holder's due orders into the network.
func (s *state) publish(h int) {
	for _, a := range s.holders[h].Orders() {
		a.Order.Round = 0
		if slices.Contains(s.sent, a) {
			continue
		}
		s.sent = append(slices.Clone(s.sent), a)
		slices.SortFunc(s.sent, compareAddressed)
	}
}

// mutant turns one of the protocol's safeguards off, to show that the check
// would find its absence.
type mutant struct {
	name   string
	bounds bounds
	// deliver changes an order as it is delivered.
	deliver func(r *Rank, o Order) Order
	// after changes a holder after each event.
	after func(h *Holder)
	// granting changes a copy of a rank before it grants.
	granting func(r *Rank)
	// restarted changes a rank after its agent restarted.
	restarted func(r *Rank)
}

var mutants = []mutant{
	{name: "ranks take orders with old fencing numbers", bounds: bounds{from: startProposed, wants: 1, restarts: 1, states: 20_000}, deliver: func(r *Rank, o Order) Order {
		o.Fence = max(o.Fence, r.fence)
		return o
	}},
	{name: "ranks take orders meant for an earlier incarnation", bounds: bounds{from: startProposed, wants: 1, restarts: 1, states: 20_000}, deliver: func(r *Rank, o Order) Order {
		o.Incarnation = r.incarnation
		if o.Kind != KindRaise && o.Fence > r.fence {
			o.Fence = r.fence
		}
		return o
	}, restarted: func(r *Rank) { r.recovering = false }},
	{name: "a new holder does not collect what ranks have committed", bounds: bounds{from: startProposed, wants: 2, states: 200_000}, after: func(h *Holder) {
		if h.phase == PhaseRepropose || h.phase == PhaseRecommit {
			h.enter(PhaseReady)
		}
	}},
	{name: "a holder commits without all acknowledgements", bounds: bounds{from: startFormed, wants: 1, states: 50_000}, after: func(h *Holder) {
		if h.phase == PhasePropose && slices.Contains(h.acked, true) {
			h.enter(PhaseCommit)
		}
	}},
	{name: "a rank assumes that a switch it hears nothing of is off", bounds: bounds{from: startProposed, wants: 1, restarts: 1, states: 20_000}, granting: func(r *Rank) { r.pending = false }},
	{name: "a rank grants while a jump is undecided", bounds: bounds{from: startHalf, losses: 1, wants: 1, states: 200_000}, granting: func(r *Rank) {
		r.pending = r.pending && !r.proposed.Jump
	}},
	{name: "a restarted agent grants before a holder spoke", bounds: bounds{from: startProposed, wants: 1, restarts: 1, states: 20_000}, restarted: func(r *Rank) { r.recovering = false }},
}

// bounds limit the model.
type bounds struct {
	restarts, losses, wants, states int
	from                            start
}

type checker struct {
	bounds  bounds
	mutant  mutant
	violate string
	visit   func(*state)
	emit    func(*state)
}

// start is where an exploration begins. From a new group everything can be
// reached; the later ones bring deeper interleavings within the bound of states.
type start int

const (
	startNew      start = iota // nobody has spoken
	startFormed                // the first holder has raised and committed the first map
	startProposed              // and all ranks have promised a switch, which it may commit
	startStepped               // the group is formed and has begun two steps
	startHalf                  // and a switch was committed at one rank only
)

func initial(from start) *state {
	s := &state{}
	for i := range s.ranks {
		s.ranks[i] = *NewRank(1, EnginePlan{})
	}
	for i := range s.holders {
		s.holders[i] = *NewHolder(int64(i+1), modelRanks, 1)
	}
	s.publish(0)
	if from >= startFormed {
		s.lead(PhaseReady)
	}
	if from >= startStepped {
		s.stepAll()
		s.stepAll()
	}
	if from == startProposed || from == startHalf {
		s.holders[0].Want()
		s.wants++
		s.publish(0)
		s.lead(PhaseCommit)
	}
	if from == startHalf {
		first := s.holders[0].Orders()[0]
		s.holders[0].Handle(first.Rank, first.Order, s.ranks[first.Rank].Handle(first.Order))
	}
	s.publish(1)
	return s
}

// lead brings the first holder to a phase without any fault.
func (s *state) lead(phase Phase) {
	for s.holders[0].Phase() != phase {
		for _, a := range s.holders[0].Orders() {
			s.holders[0].Handle(a.Rank, a.Order, s.ranks[a.Rank].Handle(a.Order))
			s.publish(0)
		}
	}
}

// run explores all interleavings breadth first, up to the bound of states. It
// returns the number of states and whether that is all of them.
func (c *checker) run() (states int, complete bool) {
	seen := map[uint64]struct{}{}
	queue := []*state{}
	c.emit = func(s *state) {
		key := s.key()
		if _, ok := seen[key]; ok {
			return
		}
		seen[key] = struct{}{}
		queue = append(queue, s)
	}
	c.emit(initial(c.bounds.from))
	for len(queue) > 0 && c.violate == "" && len(seen) < c.bounds.states {
		s := queue[0]
		queue[0] = nil
		queue = queue[1:]
		if c.visit != nil {
			c.visit(s)
		}
		c.expand(s)
	}
	return len(seen), len(queue) == 0
}

func (c *checker) expand(s *state) {
	for _, a := range s.sent {
		if s.due(a) {
			continue // explored below, with its reply
		}
		n := s.clone()
		c.handle(n, a)
		c.emit(n)
	}
	for h := range s.holders {
		for _, a := range s.holders[h].Orders() {
			if s.holders[h].Phase() == PhaseReady && !s.news(h, a.Rank) {
				continue
			}
			n := s.clone()
			c.answer(n, h, a)
			c.emit(n)
		}
		c.want(s, h)
	}
	for r := range s.ranks {
		c.step(s, r)
		c.restart(s, r)
		c.loseEngine(s, r)
	}
}

// due tells whether a holder still waits for the order's reply. A lost reply
// needs no event of its own then: whatever can follow it can also follow the
// reply's arrival, since a holder that got it need not act, and the orders of
// its phases stay in the network.
func (s *state) due(a Addressed) bool {
	h := &s.holders[a.Order.Fence-1]
	if h.superseded || (h.acked[a.Rank] && h.phase != PhaseReady) {
		return false
	}
	order := h.order(a.Rank)
	order.Round = 0
	return order == a.Order
}

// news tells whether a ready holder learns from a rank's reply that it has to
// begin again, or that it's superseded. All else it learns again when it acts.
func (s *state) news(h, rank int) bool {
	holder, r := &s.holders[h], &s.ranks[rank]
	return r.incarnation != holder.views[rank].Incarnation || r.recovering || r.fence > holder.fence
}

func (c *checker) handle(s *state, a Addressed) Reply {
	if c.mutant.deliver != nil {
		a.Order = c.mutant.deliver(&s.ranks[a.Rank], a.Order)
	}
	return s.ranks[a.Rank].Handle(a.Order)
}

// answer delivers an order that is due, and its reply.
func (c *checker) answer(s *state, h int, a Addressed) {
	reply := c.handle(s, a)
	s.holders[h].Handle(a.Rank, a.Order, reply)
	if c.mutant.after != nil {
		c.mutant.after(&s.holders[h])
	}
	s.publish(h)
}

func (c *checker) want(s *state, h int) {
	if s.wants >= c.bounds.wants {
		return
	}
	n := s.clone()
	if _, ok := n.holders[h].Want(); ok {
		n.wants++
		n.publish(h)
		c.emit(n)
	}
}

// step lets a rank's engine begin its next step, in lock-step: all ranks have
// begun the one before.
func (c *checker) step(s *state, r int) {
	n := s.clone()
	if c.begin(n, r) {
		c.emit(n)
	}
}

func (c *checker) begin(n *state, r int) bool {
	rank := &n.ranks[r]
	next := rank.Plan.Step + 1
	last := int64(modelLast)
	if c.bounds.losses > 0 {
		last = jumpLast
	}
	if next > last {
		return false
	}
	for i := range n.ranks {
		if n.ranks[i].Plan.Step < next-1 {
			return false
		}
	}
	granting := *rank
	if c.mutant.granting != nil {
		c.mutant.granting(&granting)
	}
	rank.Plan.GrantedThrough = granting.Grant(rank.Plan.Step + modelWindow)
	if rank.Plan.GrantedThrough < next {
		return false
	}
	version := rank.Plan.VersionAt(next)
	for i := range n.ranks {
		other := &n.ranks[i].Plan
		if other.Step == next && other.VersionAt(next) != version {
			c.violate = fmt.Sprintf("step %d: rank %d begins it with version %d, rank %d began it with %d", next, r, version, i, other.VersionAt(next))
			return false
		}
	}
	rank.Began(next)
	return true
}

func (c *checker) restart(s *state, r int) {
	if s.restarts >= c.bounds.restarts {
		return
	}
	n := s.clone()
	n.restarts++
	old := n.ranks[r]
	n.ranks[r] = *NewRank(old.incarnation+1, old.Plan)
	if c.mutant.restarted != nil {
		c.mutant.restarted(&n.ranks[r])
	}
	c.emit(n)
}

// loseEngine restarts a rank's engine and, since it notices, its agent's state.
func (c *checker) loseEngine(s *state, r int) {
	if s.losses >= c.bounds.losses {
		return
	}
	n := s.clone()
	n.losses++
	n.ranks[r] = *NewRank(n.ranks[r].incarnation+1, EnginePlan{})
	c.emit(n)
}

func compareAddressed(a, b Addressed) int {
	for _, d := range []int64{
		int64(a.Rank - b.Rank), a.Order.Fence - b.Order.Fence, int64(a.Order.Kind - b.Order.Kind),
		int64(a.Order.Incarnation) - int64(b.Order.Incarnation),
		int64(a.Order.Switch.Version - b.Order.Switch.Version), a.Order.Switch.Step - b.Order.Switch.Step,
		flag(a.Order.Switch.Jump) - flag(b.Order.Switch.Jump),
	} {
		if d != 0 {
			return int(d)
		}
	}
	return 0
}

// key hashes the state. Ranks are interchangeable, so what belongs to each is
// encoded by itself and sorted: states that differ in the ranks' order only are
// explored once.
func (s *state) key() uint64 {
	var parts [modelRanks][]byte
	for r := range s.ranks {
		parts[r] = s.rankKey(r)
	}
	slices.SortFunc(parts[:], bytes.Compare)
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.Write(part)
	}
	var b []byte
	for i := range s.holders {
		h := &s.holders[i]
		b = put(b, int64(h.phase), int64(h.target.Version), h.target.Step, flag(h.target.Jump), h.ahead, h.made, flag(h.wanted), flag(h.superseded))
	}
	_, _ = digest.Write(put(b, int64(s.restarts), int64(s.losses), int64(s.wants)))
	return digest.Sum64()
}

func (s *state) rankKey(rank int) []byte {
	r := &s.ranks[rank]
	b := put(make([]byte, 0, 128), int64(r.Plan.InUse.Version), r.Plan.InUse.Step, flag(r.Plan.InUse.Jump), int64(r.Plan.Next.Version), r.Plan.Next.Step,
		int64(r.Plan.Staged), r.Plan.GrantedThrough, r.Plan.Step, int64(r.incarnation), r.fence,
		int64(r.proposed.Version), r.proposed.Step, flag(r.proposed.Jump), r.proposedUnder, flag(r.pending), flag(r.recovering))
	for i := range s.holders {
		h := &s.holders[i]
		b = put(b, flag(h.acked[rank]), int64(h.views[rank].Incarnation))
		// What a holder has been told matters to one phase only.
		switch h.phase {
		case PhaseRaise:
			b = put(b, int64(h.views[rank].Committed.Version), h.views[rank].Committed.Step,
				flag(h.views[rank].Committed.Jump), h.views[rank].GrantedThrough, h.views[rank].Step)
		case PhaseStage:
			b = put(b, h.views[rank].GrantedThrough, h.views[rank].Committed.Step)
		default:
		}
	}
	for _, a := range s.sent {
		if a.Rank == rank {
			b = put(b, a.Order.Fence, int64(a.Order.Kind), int64(a.Order.Incarnation), int64(a.Order.Switch.Version), a.Order.Switch.Step, flag(a.Order.Switch.Jump))
		}
	}
	return append(b, 0xff, 0xff)
}

func put(b []byte, values ...int64) []byte {
	for _, v := range values {
		b = binary.AppendVarint(b, v)
	}
	return b
}

func flag(f bool) int64 {
	if f {
		return 1
	}
	return 0
}
