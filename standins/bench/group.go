package bench

import (
	"time"

	"github.com/crowbridge/crowbridge/standins/harness"
	"github.com/pkg/errors"
)

const (
	groupDuration = 15 * time.Second
	groupTimeout  = 30 * time.Second
	groupPoll     = 10 * time.Millisecond
)

// Group measures, with the agents of four ranks in real processes, how long map switches stall
// the group, and how fast a new agent takes over the lease after a crash.
func (r *Reporter) Group(bin string) error {
	return withLogDir(func(dir string) error { return r.groupIn(bin, dir) })
}

func (r *Reporter) groupIn(bin, dir string) error {
	cluster, err := harness.New(harness.Layout{
		Zones: []string{"a", "b"}, EntriesPerZone: 2, RanksPerZone: 2, StepTime: 6 * time.Millisecond,
		KeyWindowSeconds: 60, ClockSkewMs: 50, DrainTimeout: time.Second,
	}, bin, dir)
	if err != nil {
		return err
	}
	defer cluster.KillAll()
	if err := cluster.Start(); err != nil {
		return err
	}
	if err := awaitVersions(cluster, 2); err != nil {
		return err
	}
	if err := r.measureStalls(cluster); err != nil {
		return err
	}
	return r.measureTakeover(cluster)
}

func awaitVersions(cluster *harness.Cluster, n int) error {
	for end := time.Now().Add(groupTimeout); time.Now().Before(end); time.Sleep(groupPoll) {
		state, err := cluster.GroupState()
		if err != nil {
			return err
		}
		if len(state.Maps) >= n {
			return nil
		}
	}
	return errors.Errorf("the group has not used %d maps in time", n)
}

func (r *Reporter) measureStalls(cluster *harness.Cluster) error {
	before, err := cluster.GroupState()
	if err != nil {
		return err
	}
	time.Sleep(groupDuration)
	after, err := cluster.GroupState()
	if err != nil {
		return err
	}
	if after.MixedPasses > 0 {
		return errors.Errorf("%d passes with mixed maps", after.MixedPasses)
	}
	steps := int(after.Passes - before.Passes)
	intervals := make([]float64, 0, steps)
	for _, interval := range after.PassIntervalsUs[max(0, len(after.PassIntervalsUs)-steps):] {
		intervals = append(intervals, float64(interval)/1000)
	}
	median := Quantile(intervals, 0.5)
	r.Figure("group/4-ranks/passes", float64(steps), "passes")
	r.Figure("group/4-ranks/switches", float64(len(after.Maps)-len(before.Maps)), "switches")
	r.Figure("group/4-ranks/pass-p50", median, "ms")
	r.Compare("group/4-ranks/pass-p99", Quantile(intervals, 0.99), "ms", median)
	r.Compare("group/4-ranks/pass-worst", Quantile(intervals, 1), "ms", median)
	return nil
}

// measureTakeover kills the lease holder and waits for the next holder and its first map.
func (r *Reporter) measureTakeover(cluster *harness.Cluster) error {
	holder, err := cluster.LeaseHolder()
	if err != nil {
		return err
	}
	start := time.Now()
	if err := cluster.Processes[holder].Kill(); err != nil {
		return err
	}
	for end := start.Add(groupTimeout); time.Now().Before(end); time.Sleep(groupPoll) {
		next, err := cluster.LeaseHolder()
		if err == nil && next != holder {
			r.Figure("group/4-ranks/crash-to-next-holder", time.Since(start).Seconds(), "s")
			state, err := cluster.GroupState()
			if err != nil {
				return err
			}
			if err := awaitVersions(cluster, len(state.Maps)+1); err != nil {
				return err
			}
			r.Figure("group/4-ranks/crash-to-next-map", time.Since(start).Seconds(), "s")
			return nil
		}
	}
	return errors.New("no agent has taken over the lease in time")
}
