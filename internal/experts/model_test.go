//go:build !race

// The walks have one goroutine; the race detector would only slow them down.

package experts

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// The model: three ranks of a group with engines as the platform describes
// them, two holders of the lease, the second of which may take over at any
// moment, and orders that are answered, lost and carried out late, or repeated.
// Reports are fresh, or were read some steps ago. Everything below the holders
// is the model; the holders are the product's own Switch.

const (
	modelRanks  = 3
	modelPasses = 9
	maxDelayed  = 2
)

type modelState struct {
	engines [modelRanks]modelEngine
	// heard is the highest fence that each rank's agent has heard of.
	seenFence [modelRanks]int64
	epoch     int64
	pass      int64
	delayed   []delayedCommand
	holders   [2]*MapSwitch
	started   [2]int
	reformed  bool
	// cutOff is set while the first holder's VM can't be reached by the second; cuts
	// counts how often.
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

// key identifies the state apart from the time.
func (m *modelState) key() string {
	var b strings.Builder
	fmt.Fprint(&b, m.engines, m.seenFence, m.epoch, m.pass, m.reformed, m.started, m.partitioned, m.partitions)
	for _, l := range m.delayed {
		fmt.Fprint(&b, l.rank, l.command.Operation, l.command.Epoch, l.command.Version, l.command.Pass, l.command.Fence)
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

// observe gives a holder a rank's report, as its agent does.
func (m *modelState) observe(h, rank int, bad *mutant) {
	s := m.holders[h]
	if s.fence < m.seenFence[rank] && !bad.ignoresFence {
		s.fenced = true
		return
	}
	m.seenFence[rank] = max(m.seenFence[rank], s.fence)
	s.HandleReport(clock(m.now), rank, m.report(rank))
	bad.runAfter(s)
}

func (bad *mutant) runAfter(s *MapSwitch) {
	if bad.after != nil {
		bad.after(s)
	}
}

// command sends one order of a holder. answered tells whether the answer comes
// back; if not, the order is carried out now or later.
func (m *modelState) sendCommand(h int, o RankCommand, responds, delayed bool, bad *mutant) {
	s := m.holders[h]
	result := Fenced
	if o.Direct || o.Command.Fence >= m.seenFence[o.Rank] || bad.ignoresFence {
		if !o.Direct {
			m.seenFence[o.Rank] = max(m.seenFence[o.Rank], o.Command.Fence)
		}
		if delayed {
			m.delayed = append(m.delayed, delayedCommand{o.Rank, o.Command})
			result = NoResponse
		} else {
			result = m.apply(o.Rank, o.Command, !bad.ignoresFence, !bad.noEpoch)
		}
	}
	if !responds {
		result = NoResponse
	}
	if bad.result != nil {
		result = bad.result(o.Command, result)
	}
	s.HandleResult(clock(m.now), o.Rank, o.Command, result)
	bad.runAfter(s)
}

// step is one thing that can happen.
type step struct {
	name string
	do   func(m *modelState) bool
}

// steps lists what can happen in a state. A step returns false when it broke
// the promise.
func (m *modelState) steps(bad *mutant) []step {
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
		add(fmt.Sprint("late ", i), func(m *modelState) {
			l := m.delayed[i]
			m.delayed = append(append([]delayedCommand(nil), m.delayed[:i]...), m.delayed[i+1:]...)
			m.apply(l.rank, l.command, false, !bad.noEpoch)
		})
	}
	if m.holders[1] == nil {
		add("takeover", func(m *modelState) {
			m.holders[1] = NewMapSwitch(clock(m.now).Add(-maxReportAge), 2, 1, 0, modelRanks)
		})
	}
	if !m.reformed && m.pass > 1 {
		add("group forms anew", func(m *modelState) {
			m.reformed = true
			m.epoch++
			for rank := range m.engines {
				m.engines[rank] = modelEngine{fence: m.engines[rank].fence}
			}
		})
	}
	if m.partitioned || (m.holders[1] != nil && m.partitions < 2) {
		add("cut", func(m *modelState) {
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
					add("holder 1 misses 0", func(m *modelState) {
						m.holders[1].MarkUnreachable(clock(m.now), 0)
						bad.runAfter(m.holders[1])
					})
				}
				continue
			}
			if !same(s.reports[rank], m.report(rank)) || s.reportedAt[rank].IsZero() {
				add(fmt.Sprint("holder ", h, " observes ", rank), func(m *modelState) { m.observe(h, rank, bad) })
			}
		}
		if s.Ready() && m.started[h] < 2 {
			add(fmt.Sprint("holder ", h, " begins"), func(m *modelState) {
				m.started[h]++
				m.holders[h].Start(nil)
				bad.runAfter(m.holders[h])
			})
		}
		for _, o := range s.PendingCommands() {
			if h == 1 && o.Rank == 0 && m.partitioned {
				continue
			}
			name := fmt.Sprint("holder ", h, " orders ", o.Rank, " ", o.Command.Operation, " v", o.Command.Version, " p", o.Command.Pass)
			add(name, func(m *modelState) { m.sendCommand(h, o, true, false, bad) })
			if len(m.delayed) < maxDelayed && s.stage != StagePrepare {
				add(name+", late", func(m *modelState) { m.sendCommand(h, o, false, true, bad) })
				add(name+", answer lost", func(m *modelState) { m.sendCommand(h, o, false, false, bad) })
			}
		}
	}
	return steps
}

func same(a, b RankReport) bool { return a == b }

// walk takes random steps and returns the trace up to a broken promise, or nil.
func walk(random *rand.Rand, length int, bad *mutant) (*modelState, []string) {
	m := newModel()
	for range length {
		steps := m.steps(bad)
		if len(steps) == 0 {
			return m, nil
		}
		chosen := steps[random.IntN(len(steps))]
		m.trace = append(m.trace, chosen.name)
		m.now++
		if !chosen.do(m) {
			return m, m.trace
		}
	}
	return m, nil
}

const (
	walks      = 20_000
	walkLength = 160
)

// TestOneMapInEveryPass walks the model at random from a fixed seed.
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
		t.Fatalf("only %d of %d walks saw a switch: the model is too hard to say anything", switched, walks)
	}
	t.Logf("%d walks of up to %d steps, %d saw a switch", walks, walkLength, switched)
}

// TestOneMapInEveryPassExhaustive explores every order of steps up to a number
// of states, nearest first.
func TestOneMapInEveryPassExhaustive(t *testing.T) {
	const mostStates = 100_000
	seen := map[string]bool{}
	start := newModel()
	queue := []*modelState{start}
	seen[start.key()] = true
	for len(queue) > 0 && len(seen) < mostStates {
		m := queue[0]
		queue = queue[1:]
		for _, s := range m.steps(&mutant{}) {
			next := m.clone()
			next.trace = append(next.trace, s.name)
			if !s.do(next) {
				t.Fatalf("two maps in one pass:\n%s", strings.Join(next.trace, "\n"))
			}
			if key := next.key(); !seen[key] {
				seen[key] = true
				queue = append(queue, next)
			}
		}
	}
	t.Logf("%d states", len(seen))
}

// TestGroupGoesOnAgain: with faults over, the last holder releases every hold,
// and its next switch completes.
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
			l := m.delayed[0]
			m.delayed = m.delayed[1:]
			m.apply(l.rank, l.command, false, true)
		}
		if !m.recovers(none) {
			t.Fatalf("the group stays stopped, stage %v:\n%s", m.holders[1].stage, strings.Join(m.trace, "\n"))
		}
	}
}

// recover runs the last holder fairly until two more switches are in use.
func (m *modelState) recovers(none *mutant) bool {
	const rounds = 60
	s := m.holders[1]
	done := 0
	for range rounds {
		m.now += 2
		for rank := range modelRanks {
			m.observe(1, rank, none)
		}
		if s.Ready() {
			if done == 2 {
				return true
			}
			done++
			s.Start(nil)
		}
		for _, o := range s.PendingCommands() {
			m.sendCommand(1, o, true, false, none)
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
