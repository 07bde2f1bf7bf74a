package bench

import (
	"math/rand/v2"
	"time"
)

// fifoSim is the baseline: the same server and arrivals, one line, first in,
// first out, at most simBatch running, nothing refused.
type fifoSim struct {
	random     *rand.Rand
	sent, kept int
}

func newFifo(seed uint64) *fifoSim { return &fifoSim{random: rand.New(rand.NewPCG(seed, 9))} }

func (f *fifoSim) run(load float64, length time.Duration) {
	free := make([]time.Time, simBatch) // when each slot is free
	for i := range free {
		free[i] = benchStart
	}
	arrivals := flood(load, true)
	next := []time.Time{benchStart, benchStart}
	end := benchStart.Add(length)
	for {
		which := 0
		if next[1].Before(next[0]) {
			which = 1
		}
		now := next[which]
		if now.After(end) {
			return
		}
		a := arrivals[which]
		next[which] = now.Add(time.Duration(f.random.ExpFloat64() * float64(a.every)))
		slot := 0
		for i := range free {
			if free[i].Before(free[slot]) {
				slot = i
			}
		}
		start := now
		if free[slot].After(now) {
			start = free[slot]
		}
		free[slot] = start.Add(time.Duration(a.cost * (0.5 + f.random.Float64()) * float64(simTokenTime)))
		if which == 0 {
			f.sent++
			if free[slot].Sub(now) <= a.deadline {
				f.kept++
			}
		}
	}
}
