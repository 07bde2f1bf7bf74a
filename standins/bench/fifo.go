package bench

import (
	"math/rand/v2"
	"time"
)

// fifoSim is the baseline of serverSim: the same server and arrivals with an unbounded FIFO
// queue and at most simBatch running requests.
type fifoSim struct {
	random       *rand.Rand
	sent, onTime int
}

func newFIFOSim(seed uint64) *fifoSim { return &fifoSim{random: rand.New(rand.NewPCG(seed, 9))} }

func (f *fifoSim) run(load float64, duration time.Duration) {
	free := make([]time.Time, simBatch) // time at which each slot becomes free
	for i := range free {
		free[i] = simStart
	}
	arrivals := arrivalsFor(load, true)
	next := []time.Time{simStart, simStart}
	end := simStart.Add(duration)
	for {
		class := 0
		if next[1].Before(next[0]) {
			class = 1
		}
		now := next[class]
		if now.After(end) {
			return
		}
		a := arrivals[class]
		next[class] = now.Add(time.Duration(f.random.ExpFloat64() * float64(a.meanInterval)))
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
		if class == 0 {
			f.sent++
			if free[slot].Sub(now) <= a.deadline {
				f.onTime++
			}
		}
	}
}
