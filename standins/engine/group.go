package engine

import (
	"context"
	"math"
	"sync"
	"time"
)

// GroupOptions are the settings of a group of engines in lock-step.
type GroupOptions struct {
	Name                   string
	Ranks, Experts, Layers int
	// Pass is how long a pass takes.
	PassTime time.Duration
	// IgnoreFences makes the engines take orders with old fencing numbers.
	IgnoreFences bool
}

// Group is a group of engines that run each pass together, as the users'
// platform describes them: a rank switches to an armed map as its pass begins, a
// held pass doesn't begin, and nobody compares maps. It counts the passes that
// began while two ranks had different maps.
type Group struct {
	options GroupOptions

	mu            sync.Mutex
	epoch         int64
	pass          int64
	broken        bool
	ranks         []*groupRank
	state         GroupState
	lastPassStart time.Time
	// ordered counts orders; each lateEach-th has no answer and is carried out after lateBy.
	commandCount int
	lateEvery    int
	lateDelay    time.Duration
}

// GroupState is what the ranks did so far.
type GroupState struct {
	Epoch  int64 `json:"epoch"`
	Passes int64 `json:"passes"`
	// Mixed counts the passes that began with two maps.
	MixedPasses int `json:"mixed"`
	// Maps counts the passes of each map in use, by epoch and version.
	Maps map[MapID]int `json:"maps"`
	// GapsUs are the times between the beginnings of the latest passes, in microseconds.
	PassIntervalsUs []int64 `json:"gapsUs"`
}

// groupRank is one engine. A restart forgets everything.
type groupRank struct {
	version, prepared, highestPrepared int64
	armed, armedPass                   int64
	heldPass, fence, sequence          int64
	maps                               map[int64][][][]int
	counts                             []int64
	down                               bool
}

// NewGroup returns a group in its first epoch.
func NewGroup(o GroupOptions) *Group {
	g := &Group{options: o, state: GroupState{Maps: map[MapID]int{}}}
	for range o.Ranks {
		g.ranks = append(g.ranks, &groupRank{})
	}
	g.startEpoch()
	return g
}

// form begins a new epoch with the default map, experts in turn, at every rank.
func (g *Group) startEpoch() {
	g.epoch++
	g.broken = false
	initial := make([][][]int, g.options.Layers)
	for set := range initial {
		initial[set] = make([][]int, g.options.Ranks)
		for expert := range g.options.Experts {
			rank := expert % g.options.Ranks
			initial[set][rank] = append(initial[set][rank], expert)
		}
	}
	for _, r := range g.ranks {
		fence := r.fence
		*r = groupRank{maps: map[int64][][][]int{0: initial}, counts: make([]int64, g.options.Layers*g.options.Experts), fence: fence}
	}
}

// Run makes passes until the context ends.
func (g *Group) Run(ctx context.Context) {
	ticker := time.NewTicker(g.options.PassTime)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.BeginPass()
		case <-ctx.Done():
			return
		}
	}
}

// Step begins the next pass, unless the group is broken or a rank holds the pass.
func (g *Group) BeginPass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.broken {
		return
	}
	for _, r := range g.ranks {
		if r.heldPass == g.pass+1 {
			return
		}
	}
	g.pass++
	for _, r := range g.ranks {
		if r.armed != 0 && r.armedPass == g.pass {
			r.version, r.armed = r.armed, 0
		}
		g.countChoices(r)
	}
	g.recordPass()
}

const (
	// shiftPasses is for how many passes the same experts are liked most.
	rotationPasses = 400
	// choices is how often the most liked expert is chosen in a pass, and
	// choicesSlope how fast the others follow.
	maxChoices      = 1000
	choicesExponent = -1.2
)

func (g *Group) countChoices(r *groupRank) {
	experts := g.options.Experts
	for i := range r.counts {
		position := (i%experts + int(g.pass/rotationPasses)*3) % experts
		r.counts[i] += int64(maxChoices * math.Pow(float64(position+1), choicesExponent))
	}
}

// keptGaps bounds the gaps that are remembered.
const maxPassIntervals = 4096

// note looks at the maps with which a pass has begun.
func (g *Group) recordPass() {
	g.state.Epoch = g.epoch
	g.state.Passes++
	for _, r := range g.ranks {
		if r.version != g.ranks[0].version {
			g.state.MixedPasses++
			break
		}
	}
	g.state.Maps[MapID{Epoch: g.epoch, Version: g.ranks[0].version}]++
	now := time.Now()
	if !g.lastPassStart.IsZero() {
		g.state.PassIntervalsUs = append(g.state.PassIntervalsUs, now.Sub(g.lastPassStart).Microseconds())
	}
	if len(g.state.PassIntervalsUs) > maxPassIntervals {
		g.state.PassIntervalsUs = g.state.PassIntervalsUs[1:]
	}
	g.lastPassStart = now
}

// State returns what the ranks did so far.
func (g *Group) State() GroupState {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.state
	state.Maps = make(map[MapID]int, len(g.state.Maps))
	for name, passes := range g.state.Maps {
		state.Maps[name] = passes
	}
	state.PassIntervalsUs = append([]int64(nil), g.state.PassIntervalsUs...)
	return state
}

// SetDown takes a rank's engine down, which breaks the group, or starts it
// again. With the last one back, the group forms anew.
func (g *Group) SetDown(rank int, down bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[rank].down = down
	if down {
		g.ranks[rank].fence = 0
		g.broken = true
		return
	}
	for _, r := range g.ranks {
		if r.down {
			return
		}
	}
	g.startEpoch()
}

// SetLate makes each so-manieth order go unanswered and be carried out after a
// time; 0 ends that.
func (g *Group) SetLateCommands(every int, delay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lateEvery, g.lateDelay = every, delay
}
