//go:build !race

// The walks run in one goroutine, so the race detector would only slow them down.

package experts

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// The model has three ranks with simulated engines and up to two lease holders, real MapSwitches.
// Commands may be delayed, repeated or get no response; reports may be stale.

const (
	modelRanks  = 3
	modelPasses = 9
	maxDelayed  = 2
)

type modelState struct {
	engines [modelRanks]modelEngine
	// seenFence is the highest fencing token that the agent of each rank has seen.
	seenFence [modelRanks]int64
	epoch     int64
	pass      int64
	delayed   []delayedCommand
	holders   [2]*MapSwitch
	started   [2]int
	reformed  bool
	// partitioned is set while the second holder can't reach the VM of the first;
	// partitions counts the changes.
	partitioned bool
	partitions  int
	now         int64
	trace       []string
}

func clock(n int64) time.Time { return time.Unix(1_000_000+n*10, 0) }

func newModel() *modelState {
	m := &modelState{epoch: 1}
	m.holders[0] = NewMapSwitch(clock(0).Add(-time.Hour), 1, 0, -1, modelRanks)
	return m
}

func (m *modelState) clone() *modelState {
	c := *m
	c.delayed = append([]delayedCommand(nil), m.delayed...)
	c.trace = append([]string(nil), m.trace...)
	for i, h := range m.holders {
		if h != nil {
			c.holders[i] = cloneSwitch(h)
		}
	}
	return &c
}

func cloneSwitch(s *MapSwitch) *MapSwitch {
	c := *s
	c.confirmed = append([]bool(nil), s.confirmed...)
	c.reports = append([]RankReport(nil), s.reports...)
	c.reportedAt = append([]time.Time(nil), s.reportedAt...)
	c.strayHolds = append([]int64(nil), s.strayHolds...)
	c.unreachable = append([]bool(nil), s.unreachable...)
	return &c
}

// key identifies the state regardless of the time.
func (m *modelState) key() string {
	var b strings.Builder
	fmt.Fprint(&b, m.engines, m.seenFence, m.epoch, m.pass, m.reformed, m.started, m.partitioned, m.partitions)
	for _, delayed := range m.delayed {
		fmt.Fprint(&b, delayed.rank, delayed.command.Operation, delayed.command.Epoch, delayed.command.Version, delayed.command.Pass, delayed.command.Fence)
	}
	for _, h := range m.holders {
		if h == nil {
			continue
		}
		fmt.Fprint(&b, "|", h.epoch, h.stage, h.version, h.pass, h.holdRank, h.holdAttemptsLeft, h.confirmed, h.lastVersion, h.strayHolds, h.fenced, h.unreachable)
		for rank, r := range h.reports {
			fmt.Fprint(&b, r.Map, r.Prepared, r.Armed, r.Held, r.Pass, h.reportedAt[rank].IsZero())
		}
	}
	return b.String()
}

// observe passes the report of a rank to a holder, as the rank's agent does.
func (m *modelState) observe(h, rank int, broken *mutant) {
	s := m.holders[h]
	if s.fence < m.seenFence[rank] && !broken.ignoresFence {
		s.fenced = true
		return
	}
	m.seenFence[rank] = max(m.seenFence[rank], s.fence)
	s.HandleReport(clock(m.now), rank, m.report(rank))
	broken.runAfter(s)
}

func (broken *mutant) runAfter(s *MapSwitch) {
	if broken.after != nil {
		broken.after(s)
	}
}

// sendCommand sends a command of a holder. If responds is false, the holder gets no
// response; if delayed is true, the command is executed later.
func (m *modelState) sendCommand(h int, c RankCommand, responds, delayed bool, broken *mutant) {
	s := m.holders[h]
	result := Fenced
	if c.Direct || c.Command.Fence >= m.seenFence[c.Rank] || broken.ignoresFence {
		if !c.Direct {
			m.seenFence[c.Rank] = max(m.seenFence[c.Rank], c.Command.Fence)
		}
		if delayed {
			m.delayed = append(m.delayed, delayedCommand{c.Rank, c.Command})
			result = NoResponse
		} else {
			result = m.apply(c.Rank, c.Command, !broken.ignoresFence, !broken.noEpoch)
		}
	}
	if !responds {
		result = NoResponse
	}
	if broken.result != nil {
		result = broken.result(c.Command, result)
	}
	s.HandleResult(clock(m.now), c.Rank, c.Command, result)
	broken.runAfter(s)
}

// step is a possible event.
type step struct {
	name string
	do   func(m *modelState) bool
}

// steps returns the possible events in a state. Their functions report whether all
// ranks still use the same map.
func (m *modelState) steps(broken *mutant) []step {
	var steps []step
	add := func(name string, do func(m *modelState)) {
		steps = append(steps, step{name, func(m *modelState) bool {
			do(m)
			return true
		}})
	}
	if m.canBeginPass() {
		steps = append(steps, step{"pass", (*modelState).beginPass})
	}
	for i := range m.delayed {
		add(fmt.Sprint("execute delayed ", i), func(m *modelState) {
			delayed := m.delayed[i]
			m.delayed = append(append([]delayedCommand(nil), m.delayed[:i]...), m.delayed[i+1:]...)
			m.apply(delayed.rank, delayed.command, false, !broken.noEpoch)
		})
	}
	if m.holders[1] == nil {
		add("takeover", func(m *modelState) {
			m.holders[1] = NewMapSwitch(clock(m.now).Add(-maxReportAge), 2, 1, 0, modelRanks)
		})
	}
	if !m.reformed && m.pass > 1 {
		add("group is formed again", func(m *modelState) {
			m.reformed = true
			m.epoch++
			for rank := range m.engines {
				m.engines[rank] = modelEngine{fence: m.engines[rank].fence}
			}
		})
	}
	if m.partitioned || (m.holders[1] != nil && m.partitions < 2) {
		add("partition begins or ends", func(m *modelState) {
			m.partitioned = !m.partitioned
			m.partitions++
		})
	}
	for h, s := range m.holders {
		if s == nil || s.fenced {
			continue
		}
		for rank := range modelRanks {
			if h == 1 && rank == 0 && m.partitioned {
				if !s.unreachable[0] {
					add("holder 1 can't reach 0", func(m *modelState) {
						m.holders[1].MarkUnreachable(clock(m.now), 0)
						broken.runAfter(m.holders[1])
					})
				}
				continue
			}
			if !same(s.reports[rank], m.report(rank)) || s.reportedAt[rank].IsZero() {
				add(fmt.Sprint("holder ", h, " observes ", rank), func(m *modelState) { m.observe(h, rank, broken) })
			}
		}
		if s.Ready() && m.started[h] < 2 {
			add(fmt.Sprint("holder ", h, " starts a switch"), func(m *modelState) {
				m.started[h]++
				m.holders[h].Start(nil)
				broken.runAfter(m.holders[h])
			})
		}
		for _, c := range s.PendingCommands() {
			if h == 1 && c.Rank == 0 && m.partitioned {
				continue
			}
			name := fmt.Sprint("holder ", h, " commands ", c.Rank, " ", c.Command.Operation, " v", c.Command.Version, " p", c.Command.Pass)
			add(name, func(m *modelState) { m.sendCommand(h, c, true, false, broken) })
			if len(m.delayed) < maxDelayed && s.stage != StagePrepare {
				add(name+", delayed", func(m *modelState) { m.sendCommand(h, c, false, true, broken) })
				add(name+", response lost", func(m *modelState) { m.sendCommand(h, c, false, false, broken) })
			}
		}
	}
	return steps
}

func same(a, b RankReport) bool { return a == b }

// walk takes random steps. It returns the trace if ranks used different maps, or nil.
func walk(random *rand.Rand, length int, broken *mutant) (*modelState, []string) {
	m := newModel()
	for range length {
		steps := m.steps(broken)
		if len(steps) == 0 {
			return m, nil
		}
		next := steps[random.IntN(len(steps))]
		m.trace = append(m.trace, next.name)
		m.now++
		if !next.do(m) {
			return m, m.trace
		}
	}
	return m, nil
}

const (
	walks      = 20_000
	walkLength = 160
)

// TestOneMapInEveryPass checks the invariant along random walks with a fixed seed.
func TestOneMapInEveryPass(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	switched := 0
	for range walks {
		m, trace := walk(random, walkLength, &mutant{})
		if trace != nil {
			t.Fatalf("two maps in one pass:\n%s", strings.Join(trace, "\n"))
		}
		if m.engines[0].version > 0 {
			switched++
		}
	}
	if switched < walks/20 {
		t.Fatalf("only %d of %d walks had a switch: too few to test the invariant", switched, walks)
	}
	t.Logf("%d walks of up to %d steps, %d had a switch", walks, walkLength, switched)
}

// TestOneMapInEveryPassBreadthFirst checks the invariant in the states that are
// reached first, up to maxStates.
func TestOneMapInEveryPassBreadthFirst(t *testing.T) {
	const maxStates = 100_000
	visited := map[string]bool{}
	start := newModel()
	queue := []*modelState{start}
	visited[start.key()] = true
	for len(queue) > 0 && len(visited) < maxStates {
		m := queue[0]
		queue = queue[1:]
		for _, s := range m.steps(&mutant{}) {
			next := m.clone()
			next.trace = append(next.trace, s.name)
			if !s.do(next) {
				t.Fatalf("two maps in one pass:\n%s", strings.Join(next.trace, "\n"))
			}
			if key := next.key(); !visited[key] {
				visited[key] = true
				queue = append(queue, next)
			}
		}
	}
	t.Logf("%d states", len(visited))
}

// TestGroupRecoversAfterFaults checks that once faults have ended, the last holder
// releases every hold and can complete new switches.
func TestGroupRecoversAfterFaults(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	none := &mutant{}
	for range walks {
		m, trace := walk(random, random.IntN(walkLength), none)
		if trace != nil {
			t.Fatalf("two maps in one pass:\n%s", strings.Join(trace, "\n"))
		}
		if m.holders[1] == nil {
			m.holders[1] = NewMapSwitch(clock(m.now).Add(-maxReportAge), 2, 1, 0, modelRanks)
		}
		m.partitioned = false
		for len(m.delayed) > 0 {
			delayed := m.delayed[0]
			m.delayed = m.delayed[1:]
			m.apply(delayed.rank, delayed.command, false, true)
		}
		if !m.recovers(none) {
			t.Fatalf("the group doesn't recover, stage %v:\n%s", m.holders[1].stage, strings.Join(m.trace, "\n"))
		}
	}
}

// recovers reports whether the last holder completes two more switches.
func (m *modelState) recovers(none *mutant) bool {
	const rounds = 60
	s := m.holders[1]
	switches := 0
	for range rounds {
		m.now += 2
		for rank := range modelRanks {
			m.observe(1, rank, none)
		}
		if s.Ready() {
			if switches == 2 {
				return true
			}
			switches++
			s.Start(nil)
		}
		for _, command := range s.PendingCommands() {
			m.sendCommand(1, command, true, false, none)
		}
		held := false
		for _, e := range m.engines {
			held = held || e.held == m.pass+1
		}
		if !held && !m.beginPass() {
			return false
		}
	}
	return false
}
