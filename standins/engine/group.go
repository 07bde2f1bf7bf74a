package engine

import (
	"context"
	"math"
	"sync"
	"time"
)

// GroupOptions configure a Group.
type GroupOptions struct {
	Name                   string
	Ranks, Experts, Layers int
	// PassTime is the duration of a pass.
	PassTime time.Duration
	// IgnoreFences makes the engines execute commands with outdated fencing tokens.
	IgnoreFences bool
}

// Group simulates a group of engines that run each pass together. A rank switches to an
// armed map at the start of the armed pass, a held pass doesn't start, and the engines don't
// compare maps. Group counts the passes that started with different maps.
type Group struct {
	options GroupOptions

	mu            sync.Mutex
	epoch         int64
	pass          int64
	broken        bool
	ranks         []*groupRank
	state         GroupState
	lastPassStart time.Time
	// Every lateEvery-th command gets no response and is executed after lateDelay.
	commandCount int
	lateEvery    int
	lateDelay    time.Duration
}

// GroupState contains statistics of a group since its start.
type GroupState struct {
	Epoch  int64 `json:"epoch"`
	Passes int64 `json:"passes"`
	// MixedPasses counts the passes that started with different maps at two ranks.
	MixedPasses int `json:"mixed"`
	// Maps counts the passes by the map of rank 0.
	Maps map[MapID]int `json:"maps"`
	// PassIntervalsUs are the times between the starts of the latest passes, in microseconds.
	PassIntervalsUs []int64 `json:"gapsUs"`
}

// groupRank is the state of one engine.
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

// startEpoch starts the next epoch. Each rank gets the default map, which assigns experts
// round-robin, and loses all other state except its fencing token.
func (g *Group) startEpoch() {
	g.epoch++
	g.broken = false
	initial := make([][][]int, g.options.Layers)
	for layer := range initial {
		initial[layer] = make([][]int, g.options.Ranks)
		for expert := range g.options.Experts {
			rank := expert % g.options.Ranks
			initial[layer][rank] = append(initial[layer][rank], expert)
		}
	}
	for _, r := range g.ranks {
		fence := r.fence
		*r = groupRank{maps: map[int64][][][]int{0: initial}, counts: make([]int64, g.options.Layers*g.options.Experts), fence: fence}
	}
}

// Run runs passes until the context ends.
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

// BeginPass starts the next pass, unless the group is broken or a rank holds the pass.
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
	// rotationPasses is the number of passes after which expert popularity rotates.
	rotationPasses = 400
	// maxChoices is how often the most popular expert is chosen in a pass; choicesExponent is
	// the power-law exponent for the others.
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

// maxPassIntervals bounds GroupState.PassIntervalsUs.
const maxPassIntervals = 4096

// recordPass updates the statistics at the start of a pass.
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

// State returns a copy of the statistics.
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

// SetDown stops a rank's engine, which breaks the group, or restarts it. The next epoch
// starts once all engines run.
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

// SetLateCommands makes the group drop the response of one in every commands and execute it
// after delay. If every is 0, no command is late.
func (g *Group) SetLateCommands(every int, delay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lateEvery, g.lateDelay = every, delay
}
