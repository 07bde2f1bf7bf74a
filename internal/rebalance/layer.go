package rebalance

// layer is the working state of one layer: who holds what, and each rank's
// time. The arrays are used again from layer to layer.
type layer struct {
	shape      Shape
	slots      []int32
	popularity []float64
	speeds     []float64
	hosts      [][]int32 // ranks by expert
	times      []float64 // by rank
}

func newLayer(shape Shape) *layer {
	return &layer{
		shape: shape,
		slots: make([]int32, shape.Ranks*shape.Slots),
		hosts: make([][]int32, shape.Experts),
		times: make([]float64, shape.Ranks),
	}
}

func (l *layer) load(p *Placement, n int, popularity, speeds []float64) {
	copy(l.slots, p.slots[n])
	l.popularity, l.speeds = popularity, speeds
	for expert := range l.hosts {
		l.hosts[expert] = l.hosts[expert][:0]
	}
	for i, expert := range l.slots {
		l.hosts[expert] = append(l.hosts[expert], int32(i/l.shape.Slots))
	}
	clear(l.times)
	for i, expert := range l.slots {
		rank := i / l.shape.Slots
		l.times[rank] += l.share(int(expert), 0) / speeds[rank]
	}
}

// share is the work that each replica of an expert gets when it has more (or
// fewer) replicas than now.
func (l *layer) share(expert, more int) float64 {
	return l.popularity[expert] / float64(len(l.hosts[expert])+more)
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

// coldest is how many of the least busy ranks are tried as a move's target.
const coldest = 6

// coldestRanks returns the least busy ranks, coldest first.
func (l *layer) coldestRanks(into *[coldest]int) []int {
	n := 0
	for rank, time := range l.times {
		at := n
		for at > 0 && l.times[into[at-1]] > time {
			at--
		}
		if at >= coldest {
			continue
		}
		n = min(n+1, coldest)
		copy(into[at+1:n], into[at:n-1])
		into[at] = rank
	}
	return into[:n]
}

// bestMove finds the move that lightens the slowest rank the most without
// making another as slow: one of its experts gets a replica at one of the
// coldest ranks, in the place of an expert that has other replicas.
func (l *layer) bestMove(n int) (Move, bool) {
	hot := l.slowestRank()
	var buffer [coldest]int
	cold := l.coldestRanks(&buffer)
	best, found := Move{}, false
	bestPeak := l.times[hot]
	for _, expert := range l.held(hot) {
		for _, target := range cold {
			if target == hot || contains(l.held(target), expert) {
				continue
			}
			for slot, victim := range l.held(target) {
				if len(l.hosts[victim]) < 2 {
					continue
				}
				peak := l.peakAfter(hot, target, int(expert), int(victim))
				if peak < bestPeak {
					bestPeak, found = peak, true
					best = Move{Layer: n, Rank: target, Slot: slot, Expert: int(expert)}
				}
			}
		}
	}
	return best, found
}

// peakAfter is the time of the slowest rank that a move touches.
func (l *layer) peakAfter(hot, target, expert, victim int) float64 {
	less := l.share(expert, 0) - l.share(expert, 1)
	more := l.share(victim, -1) - l.share(victim, 0)
	peak := l.times[target] + (l.share(expert, 1)-l.share(victim, 0))/l.speeds[target]
	for _, rank := range l.hosts[victim] {
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
	if contains(l.hosts[victim], int32(hot)) {
		hotTime += more / l.speeds[hot]
	}
	return max(peak, hotTime)
}

// apply carries out a move.
func (l *layer) apply(m Move) {
	victim := int(l.held(m.Rank)[m.Slot])
	less := l.share(m.Expert, 0) - l.share(m.Expert, 1)
	for _, rank := range l.hosts[m.Expert] {
		l.times[rank] -= less / l.speeds[rank]
	}
	more := l.share(victim, -1) - l.share(victim, 0)
	for _, rank := range l.hosts[victim] {
		if int(rank) != m.Rank {
			l.times[rank] += more / l.speeds[rank]
		}
	}
	l.times[m.Rank] += (l.share(m.Expert, 1) - l.share(victim, 0)) / l.speeds[m.Rank]
	l.hosts[m.Expert] = append(l.hosts[m.Expert], int32(m.Rank))
	l.hosts[victim] = remove(l.hosts[victim], int32(m.Rank))
	l.held(m.Rank)[m.Slot] = int32(m.Expert)
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
