//go:build !race

package experts

// modelEngine models the engine of one rank.
type modelEngine struct {
	version, prepared, highest int64
	armed, armedPass           int64
	held                       int64
	fence                      int64
}

// delayedCommand got no response and is executed later.
type delayedCommand struct {
	rank    int
	command Command
}

// apply executes a command at an engine.
func (m *modelState) apply(rank int, c Command, checkFence, checkEpoch bool) Result {
	e := &m.engines[rank]
	if checkFence {
		if c.Fence < e.fence {
			return Fenced
		}
		e.fence = c.Fence
	}
	if checkEpoch && c.Epoch != m.epoch {
		return Refused
	}
	switch c.Operation {
	case Prepare:
		if c.Version == e.prepared {
			return Accepted
		}
		if c.Version <= e.highest || e.armed != 0 {
			return Refused
		}
		e.prepared, e.highest = c.Version, c.Version
	case Arm:
		if c.Version != e.prepared || c.Pass <= m.pass {
			return Refused
		}
		e.armed, e.armedPass = c.Version, c.Pass
	case Hold:
		if c.Pass <= m.pass || (e.held != 0 && e.held != c.Pass) {
			return Refused
		}
		e.held = c.Pass
	case Release:
		if e.held == c.Pass {
			e.held = 0
		}
	case Disarm:
		if e.armed == c.Version {
			e.armed, e.armedPass = 0, 0
		}
	}
	return Accepted
}

// canBeginPass reports whether the next pass may begin.
func (m *modelState) canBeginPass() bool {
	for _, e := range m.engines {
		if e.held == m.pass+1 {
			return false
		}
	}
	return m.pass < modelPasses
}

// beginPass runs the next pass. It reports whether all ranks used the same map.
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
