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

	mu     sync.Mutex
	epoch  int64
	pass   int64
	broken bool
	ranks  []*groupRank
	seen   GroupState
	begun  time.Time
	// ordered counts orders; each lateEach-th has no answer and is carried out after lateBy.
	ordered  int
	lateEach int
	lateBy   time.Duration
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
	version, prepared, highest int64
	armed, armedPass           int64
	held, fence, sequence      int64
	lists                      map[int64][][][]int
	counts                     []int64
	down                       bool
}

// NewGroup returns a group in its first epoch.
func NewGroup(o GroupOptions) *Group {
	g := &Group{options: o, seen: GroupState{Maps: map[MapID]int{}}}
	for range o.Ranks {
		g.ranks = append(g.ranks, &groupRank{})
	}
	g.form()
	return g
}

// form begins a new epoch with the default map, experts in turn, at every rank.
func (g *Group) form() {
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
		*r = groupRank{lists: map[int64][][][]int{0: initial}, counts: make([]int64, g.options.Layers*g.options.Experts), fence: fence}
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
		if r.held == g.pass+1 {
			return
		}
	}
	g.pass++
	for _, r := range g.ranks {
		if r.armed != 0 && r.armedPass == g.pass {
			r.version, r.armed = r.armed, 0
		}
		g.count(r)
	}
	g.note()
}

const (
	// shiftPasses is for how many passes the same experts are liked most.
	shiftPasses = 400
	// choices is how often the most liked expert is chosen in a pass, and
	// choicesSlope how fast the others follow.
	choices      = 1000
	choicesSlope = -1.2
)

func (g *Group) count(r *groupRank) {
	experts := g.options.Experts
	for i := range r.counts {
		place := (i%experts + int(g.pass/shiftPasses)*3) % experts
		r.counts[i] += int64(choices * math.Pow(float64(place+1), choicesSlope))
	}
}

// keptGaps bounds the gaps that are remembered.
const keptGaps = 4096

// note looks at the maps with which a pass has begun.
func (g *Group) note() {
	g.seen.Epoch = g.epoch
	g.seen.Passes++
	for _, r := range g.ranks {
		if r.version != g.ranks[0].version {
			g.seen.MixedPasses++
			break
		}
	}
	g.seen.Maps[MapID{Epoch: g.epoch, Version: g.ranks[0].version}]++
	now := time.Now()
	if !g.begun.IsZero() {
		g.seen.PassIntervalsUs = append(g.seen.PassIntervalsUs, now.Sub(g.begun).Microseconds())
	}
	if len(g.seen.PassIntervalsUs) > keptGaps {
		g.seen.PassIntervalsUs = g.seen.PassIntervalsUs[1:]
	}
	g.begun = now
}

// State returns what the ranks did so far.
func (g *Group) State() GroupState {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.seen
	state.Maps = make(map[MapID]int, len(g.seen.Maps))
	for name, passes := range g.seen.Maps {
		state.Maps[name] = passes
	}
	state.PassIntervalsUs = append([]int64(nil), g.seen.PassIntervalsUs...)
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
	g.form()
}

// SetLate makes each so-manieth order go unanswered and be carried out after a
// time; 0 ends that.
func (g *Group) SetLateCommands(each int, by time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lateEach, g.lateBy = each, by
}
