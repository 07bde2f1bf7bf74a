//go:build !race

package experts

// modelEngine is one rank's engine.
type modelEngine struct {
	version, prepared, highest int64
	armed, armedPass           int64
	held                       int64
	fence                      int64
}

// lateOrder has had no answer and is carried out later.
type delayedCommand struct {
	rank    int
	command Command
}

// apply carries out an order at an engine.
func (m *modelState) apply(rank int, o Command, checkFence, checkEpoch bool) Result {
	e := &m.engines[rank]
	if checkFence {
		if o.Fence < e.fence {
			return Fenced
		}
		e.fence = o.Fence
	}
	if checkEpoch && o.Epoch != m.epoch {
		return Refused
	}
	switch o.Operation {
	case Prepare:
		if o.Version == e.prepared {
			return Accepted
		}
		if o.Version <= e.highest || e.armed != 0 {
			return Refused
		}
		e.prepared, e.highest = o.Version, o.Version
	case Arm:
		if o.Version != e.prepared || o.Pass <= m.pass {
			return Refused
		}
		e.armed, e.armedPass = o.Version, o.Pass
	case Hold:
		if o.Pass <= m.pass || (e.held != 0 && e.held != o.Pass) {
			return Refused
		}
		e.held = o.Pass
	case Release:
		if e.held == o.Pass {
			e.held = 0
		}
	case Disarm:
		if e.armed == o.Version {
			e.armed, e.armedPass = 0, 0
		}
	}
	return Accepted
}

// canPass tells whether the next pass may begin.
func (m *modelState) canBeginPass() bool {
	for _, e := range m.engines {
		if e.held == m.pass+1 {
			return false
		}
	}
	return m.pass < modelPasses
}

// beginPass runs the next pass. It returns false when two maps meet in it.
func (m *modelState) beginPass() bool {
	m.pass++
	for rank := range m.engines {
		e := &m.engines[rank]
		if e.armed != 0 && e.armedPass == m.pass {
			e.version, e.armed, e.armedPass = e.armed, 0, 0
		}
	}
	for _, e := range m.engines {
		if e.version != m.engines[0].version {
			return false
		}
	}
	return true
}

func (m *modelState) report(rank int) RankReport {
	e := m.engines[rank]
	return RankReport{
		Group: "g", Epoch: m.epoch, Rank: rank, Size: modelRanks, Open: true, Pass: m.pass,
		Map: e.version, Prepared: e.prepared, Armed: e.armed, Held: e.held,
	}
}
