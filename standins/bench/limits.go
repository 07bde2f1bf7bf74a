package bench

import (
	"fmt"
	"syscall"
	"time"

	"github.com/crowbridge/crowbridge/internal/ratelimit"
	"github.com/crowbridge/crowbridge/standins/limitsim"
)

const (
	// limitsPerSecond is the limit of each server; callers send limitsDemandFactor times as
	// many requests.
	limitsPerSecond    = 2.0
	limitsDemandFactor = 3.0
	// limitsMeasureTime is the duration of a measurement after the fleet has settled.
	limitsMeasureTime = 10 * time.Second
	// limitsIncreaseFactor is the factor by which the limits increase at the end.
	limitsIncreaseFactor = 5.0
	// limitsUsedFraction is the fraction of the increased limit that counts as used.
	limitsUsedFraction = 0.8
)

// Limits simulates daemons that enforce the rate limits of servers together, in virtual
// time. It measures the maximum for one server in 4 s and the used fraction of the limits, the
// settling time after an increase, and traffic and CPU time per daemon. The CPU time includes
// that of the simulation.
func (r *Reporter) Limits() {
	for _, size := range []struct{ daemons, servers int }{{8, 1}, {8, 24}, {32, 1}, {32, 24}, {128, 1}, {128, 24}, {410, 1}, {410, 24}} {
		r.limitsAt(size.daemons, size.servers)
	}
	partitioned := limitsim.New(1, 8, 1, limitsPerSecond)
	spreadDemand(partitioned, 1)
	partitioned.Run(limitsim.SettleTime)
	from := partitioned.Now
	for i, d := range partitioned.Daemons {
		d.Partition = i % 2
	}
	partitioned.Run(limitsMeasureTime)
	_, maxInWindow := partitioned.CountSince(from)
	r.Compare("limits/worst_4s_in_a_cut_8_daemons_1_server", float64(maxInWindow), "requests", limitsPerSecond*limitsim.Window.Seconds())
}

// spreadDemand distributes the demand evenly over the daemons.
func spreadDemand(s *limitsim.Sim, servers int) {
	for _, d := range s.Daemons {
		d.RequestRate = limitsDemandFactor * limitsPerSecond * float64(servers) / float64(len(s.Daemons))
	}
}

func (r *Reporter) limitsAt(daemons, servers int) {
	name := func(figure string) string {
		return fmt.Sprintf("limits/%s_%d_daemons_%d_servers", figure, daemons, servers)
	}
	s := limitsim.New(1, daemons, servers, limitsPerSecond)
	spreadDemand(s, servers)
	s.Run(2 * limitsim.SettleTime)
	from, bytes, cpuBefore := s.Now, s.Bytes, processCPUSeconds()
	s.Run(limitsMeasureTime)
	perDaemon := float64(daemons) * limitsMeasureTime.Seconds()
	count, maxInWindow := s.CountSince(from)
	r.Compare(name("worst_4s"), float64(maxInWindow), "requests", limitsPerSecond*limitsim.Window.Seconds())
	r.Compare(name("used"), float64(count)/limitsMeasureTime.Seconds(), "1/s", limitsPerSecond*float64(servers))
	r.Figure(name("bytes"), float64(s.Bytes-bytes)/perDaemon, "B/s")
	r.Figure(name("cpu"), 100*(processCPUSeconds()-cpuBefore)/perDaemon, "%")
	r.Figure(name("settled_after_a_jump"), increaseSettleTime(s, servers).Seconds(), "s")
}

// increaseSettleTime increases the limits and returns the time until they are used.
func increaseSettleTime(s *limitsim.Sim, servers int) time.Duration {
	const sampleTime = 500 * time.Millisecond
	for _, d := range s.Daemons {
		d.RequestRate *= limitsIncreaseFactor
	}
	s.Limit = ratelimit.Limit{Present: true, PerSecond: limitsIncreaseFactor * limitsPerSecond}
	for start := s.Now; ; {
		from := s.Now
		s.Run(sampleTime)
		count, _ := s.CountSince(from)
		if float64(count) >= limitsUsedFraction*limitsIncreaseFactor*limitsPerSecond*float64(servers)*sampleTime.Seconds() || s.Now.Sub(start) > limitsMeasureTime {
			return s.Now.Sub(start)
		}
	}
}

// processCPUSeconds returns the CPU time of this process.
func processCPUSeconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0 // never fails for the process itself
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}
