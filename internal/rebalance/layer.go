package rebalance

import "slices"

// layer is the working state of one layer while a plan is made.
type layer struct {
	shape      Shape
	slots      []int32
	popularity []float64
	speeds     []float64
	hosts      [][]int32 // ranks by expert
	times      []float64 // by rank
	// committed and initial are the slots after the committed steps and at first. added
	// is how many experts each rank has that it didn't have at first, maxAdded its limit,
	// or 0 for none. loads is shared by all layers.
	committed, initial []int32
	added              []int
	maxAdded           int
	loads              *rankLoads
}

// rankLoads counts the experts that each rank has to load, over all layers.
type rankLoads struct {
	byRank []int
	// limit bounds the loads of a rank; limited is set when it has ruled out a step.
	limit   int
	limited bool
}

func (r *rankLoads) reset() { clear(r.byRank) }

// setLimit sets the limit per rank.
func (r *rankLoads) setLimit(limit int) { r.limit, r.limited = limit, false }

// highest returns the largest number of loads of a rank.
func (r *rankLoads) highest() int { return slices.Max(r.byRank) }

// canLoad reports whether a rank may load one more expert.
func (r *rankLoads) canLoad(rank int) bool {
	if r.byRank[rank] < r.limit {
		return true
	}
	r.limited = true
	return false
}

func newLayer(shape Shape) *layer {
	return &layer{
		shape:     shape,
		slots:     make([]int32, shape.Ranks*shape.Slots),
		hosts:     make([][]int32, shape.Experts),
		times:     make([]float64, shape.Ranks),
		committed: make([]int32, shape.Ranks*shape.Slots),
		initial:   make([]int32, shape.Ranks*shape.Slots),
		added:     make([]int, shape.Ranks),
	}
}

func (l *layer) load(p *Placement, n int, popularity, speeds []float64) {
	copy(l.slots, p.slots[n])
	l.popularity, l.speeds = popularity, speeds
	l.recount()
}

// recount recomputes the hosts of the experts and the time of each rank.
func (l *layer) recount() {
	for expert := range l.hosts {
		l.hosts[expert] = l.hosts[expert][:0]
	}
	for i, expert := range l.slots {
		if expert != Empty {
			l.hosts[expert] = append(l.hosts[expert], int32(i/l.shape.Slots))
		}
	}
	clear(l.times)
	for i, expert := range l.slots {
		if expert == Empty {
			continue
		}
		rank := i / l.shape.Slots
		l.times[rank] += l.workPerReplica(int(expert), 0) / l.speeds[rank]
	}
}

// limitLoads limits the experts that each rank may load from now on: in this layer to
// limit, and in all layers by the shared loads.
func (l *layer) limitLoads(limit int, loads *rankLoads) {
	copy(l.initial, l.slots)
	copy(l.committed, l.slots)
	clear(l.added)
	l.maxAdded, l.loads = limit, loads
}

// commit keeps the steps applied since the last commit.
func (l *layer) commit() { copy(l.committed, l.slots) }

// rollback reverts the steps applied since the last commit.
func (l *layer) rollback() {
	copy(l.slots, l.committed)
	l.recount()
	for rank := range l.added {
		l.loads.byRank[rank] -= l.added[rank]
		l.added[rank] = 0
		for _, expert := range l.held(rank) {
			if expert != Empty && !l.hadInitially(rank, expert) {
				l.added[rank]++
			}
		}
		l.loads.byRank[rank] += l.added[rank]
	}
}

func (l *layer) hadInitially(rank int, expert int32) bool {
	return contains(l.initial[rank*l.shape.Slots:(rank+1)*l.shape.Slots], expert)
}

// canLoad reports whether a rank may load an expert in place of another.
func (l *layer) canLoad(rank int, expert, victim int32) bool {
	if l.loads == nil || l.hadInitially(rank, expert) {
		return true
	}
	if victim != Empty && !l.hadInitially(rank, victim) {
		return true
	}
	return (l.maxAdded == 0 || l.added[rank] < l.maxAdded) && l.loads.canLoad(rank)
}

// trackAdded updates the number of experts that a rank has to load.
func (l *layer) trackAdded(rank int, expert, victim int32) {
	delta := 0
	if expert != Empty && !l.hadInitially(rank, expert) {
		delta++
	}
	if victim != Empty && !l.hadInitially(rank, victim) {
		delta--
	}
	l.added[rank] += delta
	if l.loads != nil {
		l.loads.byRank[rank] += delta
	}
}

// workPerReplica returns the work of each replica of an expert if the number of its
// replicas changes by delta.
func (l *layer) workPerReplica(expert, delta int) float64 {
	if expert == Empty {
		return 0
	}
	return l.popularity[expert] / float64(len(l.hosts[expert])+delta)
}

// hostsOf returns the ranks that hold an expert, or none for an empty slot.
func (l *layer) hostsOf(expert int) []int32 {
	if expert == Empty {
		return nil
	}
	return l.hosts[expert]
}

func (l *layer) slowestRank() int {
	slowest := 0
	for rank, time := range l.times {
		if time > l.times[slowest] {
			slowest = rank
		}
	}
	return slowest
}

func (l *layer) slowestTime() float64 { return l.times[l.slowestRank()] }

func (l *layer) held(rank int) []int32 {
	return l.slots[rank*l.shape.Slots : (rank+1)*l.shape.Slots]
}

// maxTargets is how many of the least loaded ranks are considered as targets of a move.
const maxTargets = 6

// leastLoadedRanks returns the least loaded ranks in ascending order of their time.
func (l *layer) leastLoadedRanks(into *[maxTargets]int) []int {
	n := 0
	for rank, time := range l.times {
		at := n
		for at > 0 && l.times[into[at-1]] > time {
			at--
		}
		if at >= maxTargets {
			continue
		}
		n = min(n+1, maxTargets)
		copy(into[at+1:n], into[at:n-1])
		into[at] = rank
	}
	return into[:n]
}

// step is one change of a layer: a replica dropped, a replica replaced by another, or
// two experts of two ranks exchanged.
type step struct {
	moves [2]Move
	// length is the number of moves, loads the number of those that load an expert.
	length, loads int
}

// bestStep returns the step that reduces the time of the slowest rank most without
// making another rank as slow. A step drops a replica, which copies nothing, or adds a
// replica at one of the least loaded ranks in place of an expert with other replicas.
// Exchanges, which cost two loads, are tried only if no such step helps.
func (l *layer) bestStep(n int) (step, bool) {
	hot := l.slowestRank()
	best, peak := step{}, l.times[hot]
	l.tryDrops(n, hot, &best, &peak)
	var targetBuffer [maxTargets]int
	targets := l.leastLoadedRanks(&targetBuffer)
	for _, target := range targets {
		l.tryReplicas(n, hot, target, &best, &peak)
	}
	if best.length > 0 {
		return best, true
	}
	for _, target := range targets {
		l.tryExchanges(n, hot, target, &best, &peak)
	}
	return best, best.length > 0
}

// tryDrops tries to drop each replica of the slowest rank that has other hosts. Adding
// a replica elsewhere only halves the work, which isn't enough for a very slow rank.
func (l *layer) tryDrops(n, hot int, best *step, bestPeak *float64) {
	for slot, expert := range l.held(hot) {
		if expert == Empty || len(l.hosts[expert]) < 2 {
			continue
		}
		if peak := l.peakAfterDrop(hot, int(expert)); peak < *bestPeak {
			*bestPeak = peak
			*best = step{moves: [2]Move{{Layer: n, Rank: hot, Slot: slot, Expert: Empty}}, length: 1}
		}
	}
}

func (l *layer) peakAfterDrop(hot, expert int) float64 {
	peak := l.times[hot] - l.workPerReplica(expert, 0)/l.speeds[hot]
	more := l.workPerReplica(expert, -1) - l.workPerReplica(expert, 0)
	for _, rank := range l.hosts[expert] {
		if int(rank) != hot {
			peak = max(peak, l.times[rank]+more/l.speeds[rank])
		}
	}
	return peak
}

// tryReplicas tries to add a replica of each of the slowest rank's experts at target.
func (l *layer) tryReplicas(n, hot, target int, best *step, bestPeak *float64) {
	if target == hot {
		return
	}
	for _, expert := range l.held(hot) {
		if expert == Empty || contains(l.held(target), expert) {
			continue
		}
		for slot, victim := range l.held(target) {
			if (victim != Empty && len(l.hosts[victim]) < 2) || !l.canLoad(target, expert, victim) {
				continue
			}
			if peak := l.peakAfter(hot, target, int(expert), int(victim)); peak < *bestPeak {
				*bestPeak = peak
				*best = step{moves: [2]Move{{Layer: n, Rank: target, Slot: slot, Expert: int(expert)}}, length: 1, loads: 1}
			}
		}
	}
}

// tryExchanges tries to exchange each of the slowest rank's experts with each of
// target's.
func (l *layer) tryExchanges(n, hot, target int, best *step, bestPeak *float64) {
	if target == hot {
		return
	}
	for hotSlot, expert := range l.held(hot) {
		if expert == Empty || contains(l.held(target), expert) {
			continue
		}
		for slot, victim := range l.held(target) {
			if victim == Empty || contains(l.held(hot), victim) ||
				!l.canLoad(target, expert, victim) || !l.canLoad(hot, victim, expert) {
				continue
			}
			if peak := l.peakAfterExchange(hot, target, int(expert), int(victim)); peak < *bestPeak {
				*bestPeak = peak
				into := Move{Layer: n, Rank: target, Slot: slot, Expert: int(expert)}
				back := Move{Layer: n, Rank: hot, Slot: hotSlot, Expert: int(victim)}
				*best = step{moves: [2]Move{into, back}, length: 2, loads: 2}
			}
		}
	}
}

func (l *layer) peakAfterExchange(hot, target, expert, victim int) float64 {
	difference := l.workPerReplica(expert, 0) - l.workPerReplica(victim, 0)
	return max(l.times[hot]-difference/l.speeds[hot], l.times[target]+difference/l.speeds[target])
}

// applyStep applies a step.
func (l *layer) applyStep(s step) {
	if s.length == 1 {
		l.apply(s.moves[0])
		return
	}
	into, back := s.moves[0], s.moves[1]
	difference := l.workPerReplica(into.Expert, 0) - l.workPerReplica(back.Expert, 0)
	l.times[back.Rank] -= difference / l.speeds[back.Rank]
	l.times[into.Rank] += difference / l.speeds[into.Rank]
	l.hosts[into.Expert] = append(remove(l.hosts[into.Expert], int32(back.Rank)), int32(into.Rank))
	l.hosts[back.Expert] = append(remove(l.hosts[back.Expert], int32(into.Rank)), int32(back.Rank))
	l.trackAdded(into.Rank, int32(into.Expert), int32(back.Expert))
	l.trackAdded(back.Rank, int32(back.Expert), int32(into.Expert))
	l.held(into.Rank)[into.Slot] = int32(into.Expert)
	l.held(back.Rank)[back.Slot] = int32(back.Expert)
}

// peakAfter returns the time of the slowest rank that a move affects.
func (l *layer) peakAfter(hot, target, expert, victim int) float64 {
	less := l.workPerReplica(expert, 0) - l.workPerReplica(expert, 1)
	more := l.workPerReplica(victim, -1) - l.workPerReplica(victim, 0)
	peak := l.times[target] + (l.workPerReplica(expert, 1)-l.workPerReplica(victim, 0))/l.speeds[target]
	for _, rank := range l.hostsOf(victim) {
		if int(rank) == target {
			continue
		}
		time := l.times[rank] + more/l.speeds[rank]
		if contains(l.hosts[expert], rank) {
			time -= less / l.speeds[rank]
		}
		peak = max(peak, time)
	}
	hotTime := l.times[hot] - less/l.speeds[hot]
	if contains(l.hostsOf(victim), int32(hot)) {
		hotTime += more / l.speeds[hot]
	}
	return max(peak, hotTime)
}

// apply applies a move.
func (l *layer) apply(m Move) {
	victim := int(l.held(m.Rank)[m.Slot])
	l.held(m.Rank)[m.Slot] = int32(m.Expert)
	if victim != Empty {
		l.changeHost(victim, m.Rank, -1)
	}
	if m.Expert != Empty {
		l.changeHost(m.Expert, m.Rank, 1)
	}
	l.trackAdded(m.Rank, int32(m.Expert), int32(victim))
}

// changeHost adds a rank to the hosts of an expert or removes it, and redistributes
// the expert's work.
func (l *layer) changeHost(expert, rank, delta int) {
	before, after := l.workPerReplica(expert, 0), l.workPerReplica(expert, delta)
	for _, host := range l.hosts[expert] {
		l.times[host] += (after - before) / l.speeds[host]
	}
	if delta > 0 {
		l.times[rank] += after / l.speeds[rank]
		l.hosts[expert] = append(l.hosts[expert], int32(rank))
		return
	}
	l.times[rank] -= after / l.speeds[rank]
	l.hosts[expert] = remove(l.hosts[expert], int32(rank))
}

func remove(ranks []int32, rank int32) []int32 {
	for i, r := range ranks {
		if r == rank {
			ranks[i] = ranks[len(ranks)-1]
			return ranks[:len(ranks)-1]
		}
	}
	return ranks
}
