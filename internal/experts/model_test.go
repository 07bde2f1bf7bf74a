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
	modelLate   = 2
)

type modelState struct {
	engines [modelRanks]modelEngine
	// heard is the highest fence that each rank's agent has heard of.
	heard    [modelRanks]int64
	epoch    int64
	pass     int64
	late     []lateOrder
	holders  [2]*MapSwitch
	began    [2]int
	reformed bool
	// cutOff is set while the first holder's VM can't be reached by the second; cuts
	// counts how often.
	cutOff bool
	cuts   int
	now    int64
	trace  []string
}

func clock(n int64) time.Time { return time.Unix(1_000_000+n*10, 0) }

func newModel() *modelState {
	m := &modelState{epoch: 1}
	m.holders[0] = NewMapSwitch(clock(0).Add(-time.Hour), 1, 0, -1, modelRanks)
	return m
}

func (m *modelState) clone() *modelState {
	c := *m
	c.late = append([]lateOrder(nil), m.late...)
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
	c.reported = append([]time.Time(nil), s.reported...)
	c.strays = append([]int64(nil), s.strays...)
	c.missed = append([]bool(nil), s.missed...)
	return &c
}

// key identifies the state apart from the time.
func (m *modelState) key() string {
	var b strings.Builder
	fmt.Fprint(&b, m.engines, m.heard, m.epoch, m.pass, m.reformed, m.began, m.cutOff, m.cuts)
	for _, l := range m.late {
		fmt.Fprint(&b, l.rank, l.order.Operation, l.order.Epoch, l.order.Version, l.order.Pass, l.order.Fence)
	}
	for _, h := range m.holders {
		if h == nil {
			continue
		}
		fmt.Fprint(&b, "|", h.epoch, h.stage, h.version, h.pass, h.holdRank, h.holdsLeft, h.confirmed, h.lastVersion, h.strays, h.fenced, h.missed)
		for rank, r := range h.reports {
			fmt.Fprint(&b, r.Map, r.Prepared, r.Armed, r.Held, r.Pass, h.reported[rank].IsZero())
		}
	}
	return b.String()
}

// observe gives a holder a rank's report, as its agent does.
func (m *modelState) observe(h, rank int, bad *mutant) {
	s := m.holders[h]
	if s.fence < m.heard[rank] && !bad.deaf {
		s.fenced = true
		return
	}
	m.heard[rank] = max(m.heard[rank], s.fence)
	s.HandleReport(clock(m.now), rank, m.report(rank))
	bad.settle(s)
}

func (bad *mutant) settle(s *MapSwitch) {
	if bad.after != nil {
		bad.after(s)
	}
}

// command sends one order of a holder. answered tells whether the answer comes
// back; if not, the order is carried out now or later.
func (m *modelState) command(h int, o RankCommand, answered, later bool, bad *mutant) {
	s := m.holders[h]
	verdict := Fenced
	if o.Direct || o.Command.Fence >= m.heard[o.Rank] || bad.deaf {
		if !o.Direct {
			m.heard[o.Rank] = max(m.heard[o.Rank], o.Command.Fence)
		}
		if later {
			m.late = append(m.late, lateOrder{o.Rank, o.Command})
			verdict = NoResponse
		} else {
			verdict = m.apply(o.Rank, o.Command, !bad.deaf, !bad.noEpoch)
		}
	}
	if !answered {
		verdict = NoResponse
	}
	if bad.verdict != nil {
		verdict = bad.verdict(o.Command, verdict)
	}
	s.HandleResult(clock(m.now), o.Rank, o.Command, verdict)
	bad.settle(s)
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
	if m.canPass() {
		steps = append(steps, step{"pass", (*modelState).beginPass})
	}
	for i := range m.late {
		add(fmt.Sprint("late ", i), func(m *modelState) {
			l := m.late[i]
			m.late = append(append([]lateOrder(nil), m.late[:i]...), m.late[i+1:]...)
			m.apply(l.rank, l.order, false, !bad.noEpoch)
		})
	}
	if m.holders[1] == nil {
		add("takeover", func(m *modelState) {
			m.holders[1] = NewMapSwitch(clock(m.now).Add(-reportLag), 2, 1, 0, modelRanks)
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
	if m.cutOff || (m.holders[1] != nil && m.cuts < 2) {
		add("cut", func(m *modelState) {
			m.cutOff = !m.cutOff
			m.cuts++
		})
	}
	for h, s := range m.holders {
		if s == nil || s.fenced {
			continue
		}
		for rank := range modelRanks {
			if h == 1 && rank == 0 && m.cutOff {
				if !s.missed[0] {
					add("holder 1 misses 0", func(m *modelState) {
						m.holders[1].MarkUnreachable(clock(m.now), 0)
						bad.settle(m.holders[1])
					})
				}
				continue
			}
			if !same(s.reports[rank], m.report(rank)) || s.reported[rank].IsZero() {
				add(fmt.Sprint("holder ", h, " observes ", rank), func(m *modelState) { m.observe(h, rank, bad) })
			}
		}
		if s.Ready() && m.began[h] < 2 {
			add(fmt.Sprint("holder ", h, " begins"), func(m *modelState) {
				m.began[h]++
				m.holders[h].Start(nil)
				bad.settle(m.holders[h])
			})
		}
		for _, o := range s.PendingCommands() {
			if h == 1 && o.Rank == 0 && m.cutOff {
				continue
			}
			name := fmt.Sprint("holder ", h, " orders ", o.Rank, " ", o.Command.Operation, " v", o.Command.Version, " p", o.Command.Pass)
			add(name, func(m *modelState) { m.command(h, o, true, false, bad) })
			if len(m.late) < modelLate && s.stage != StagePrepare {
				add(name+", late", func(m *modelState) { m.command(h, o, false, true, bad) })
				add(name+", answer lost", func(m *modelState) { m.command(h, o, false, false, bad) })
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
func TestGroupGoesOnAgain(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	none := &mutant{}
	for range walks {
		m, trace := walk(random, random.IntN(walkLength), none)
		if trace != nil {
			t.Fatalf("two maps in one pass:\n%s", strings.Join(trace, "\n"))
		}
		if m.holders[1] == nil {
			m.holders[1] = NewMapSwitch(clock(m.now).Add(-reportLag), 2, 1, 0, modelRanks)
		}
		m.cutOff = false
		for len(m.late) > 0 {
			l := m.late[0]
			m.late = m.late[1:]
			m.apply(l.rank, l.order, false, true)
		}
		if !m.recover(none) {
			t.Fatalf("the group stays stopped, stage %v:\n%s", m.holders[1].stage, strings.Join(m.trace, "\n"))
		}
	}
}

// recover runs the last holder fairly until two more switches are in use.
func (m *modelState) recover(none *mutant) bool {
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
			m.command(1, o, true, false, none)
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
