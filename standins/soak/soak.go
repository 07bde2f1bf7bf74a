// Package soak runs the real programs as separate processes, injects random faults into them while
// callers send requests, and checks the guarantees. A seed determines the random draws; the timing of
// the processes may change which faults start, and when.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/standins/harness"
	"github.com/crowbridge/crowbridge/standins/loadgen"
	"github.com/pkg/errors"
)

// Options configure one run.
type Options struct {
	Seed uint64
	// Length is how long faults are injected.
	Length time.Duration
	// Bin is the directory of the programs, Dir that of their logs.
	Bin, Dir string
	// Out receives a line for each fault.
	Out io.Writer
}

const (
	// maxFaults bounds the number of overlapping faults.
	maxFaults = 3
	// maxFaultGap bounds the time between two faults, maxFaultTime the duration of a fault.
	maxFaultGap  = 700 * time.Millisecond
	maxFaultTime = 2500 * time.Millisecond
	// settleTimeout bounds the recovery of the deployment after all faults have ended.
	settleTimeout = 30 * time.Second
	pollInterval  = 100 * time.Millisecond
	// tailTime is how long requests are sent after the last fault.
	tailTime    = 4 * time.Second
	requestRate = 40
	// requestDeadline is shorter than drainTimeout: a request whose response was lost may hold a
	// planned stop until its deadline.
	requestDeadline = 6 * time.Second
	drainTimeout    = requestDeadline + 4*time.Second
)

// run is the state of one run.
type run struct {
	options Options
	cluster *harness.Cluster
	random  *rand.Rand
	started time.Time
	// acceptedWeights maps customers to the weight of their last change, if it was accepted.
	acceptedWeights map[string]int
	weight          int
	resting         *restingCaller
}

// Run runs one seed. Its error names the violated guarantee, or says why the run itself failed.
func Run(o Options) error {
	cluster, err := harness.New(harness.Layout{
		Zones: []string{"a", "b"}, EntriesPerZone: 2, EnginesPerZone: 1, PlainPerZone: 1, RanksPerZone: 2, ZoneLinks: true, Proxy: true,
		StepTime: 6 * time.Millisecond, KeyWindowSeconds: 60, ClockSkewMs: 50, DrainTimeout: drainTimeout,
		EntryArgs: daemonLimits, AgentArgs: daemonLimits,
	}, o.Bin, o.Dir)
	if err != nil {
		return err
	}
	defer cluster.KillAll()
	if err := cluster.Start(); err != nil {
		return err
	}
	if err := cluster.WriteMalformedRecords(); err != nil {
		return err
	}
	r := &run{
		options: o, cluster: cluster, random: rand.New(rand.NewPCG(o.Seed, 1)), started: time.Now(), acceptedWeights: map[string]int{},
	}
	type loadResult struct {
		report *loadgen.Report
		err    error
	}
	done := make(chan loadResult, 1)
	go func() {
		report, err := loadgen.Run(context.Background(), loadgen.Options{
			Entries: cluster.CallerAddresses(), Keys: cluster.Keys, RunsURL: cluster.PlatformURL, Rate: requestRate, Duration: o.Length + tailTime,
			Tokens: 10, PlainPercent: 50, StreamPercent: 30, UnkeyedPercent: 30, DeadlineMs: int(requestDeadline / time.Millisecond), MaxRetries: 20, ResumePercent: 50,
		})
		done <- loadResult{report, err}
	}()
	crashing := newCrashingCaller(cluster, o.Seed)
	r.resting = newRestingCaller(cluster, o.Seed)
	ctx, stop := context.WithCancel(context.Background())
	var background sync.WaitGroup
	background.Go(func() { crashing.run(ctx) })
	background.Go(func() { r.resting.run(ctx) })
	restorer := newStoreRestorer(cluster, o.Seed, r.logf)
	background.Go(func() { restorer.run(ctx) })
	failer := newServerFailer(cluster, o.Seed, r.logf)
	background.Go(func() { failer.run(ctx) })
	crowds := newCrowder(cluster, o.Seed, r.logf)
	background.Go(func() { crowds.run(ctx) })
	err = r.inject()
	stop()
	background.Wait()
	if err != nil {
		return err
	}
	result := <-done
	if result.err != nil {
		return result.err
	}
	r.logf("callers: %s", result.report)
	for _, note := range result.report.Notes {
		r.logf("  %s", note)
	}
	crashed, err := crashing.check()
	r.logf("servers crashed by one request: %d", crashed)
	if err != nil {
		return errors.Wrapf(err, "seed %d", o.Seed)
	}
	if err := r.resting.check(); err != nil {
		return errors.Wrapf(err, "seed %d", o.Seed)
	}
	if err := restorer.check(); err != nil {
		return errors.Wrapf(err, "seed %d", o.Seed)
	}
	if err := crowds.check(); err != nil {
		return errors.Wrapf(err, "seed %d", o.Seed)
	}
	failed, err := failer.check()
	r.logf("engines broke off %d streams, failed to resume %d, resumed %d with nothing and sent %d bodies without a length",
		failed.Broken, failed.Failed, failed.Empty, failed.Unframed)
	if err != nil {
		return errors.Wrapf(err, "seed %d", o.Seed)
	}
	if !result.report.OK() || result.report.Answered == 0 {
		return errors.Errorf("seed %d: checks of the outcomes failed: %s", o.Seed, result.report)
	}
	return errors.Wrapf(r.settle(), "seed %d", o.Seed)
}

func (r *run) logf(format string, args ...any) {
	fmt.Fprintf(r.options.Out, "%7.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...) // a failed write has no other output
}

// activeFault is a fault in progress.
type activeFault struct {
	endsAt time.Duration
	name   string
	end    func() error
}

// inject starts and ends faults until the length is over, then ends those in progress.
func (r *run) inject() error {
	var active []activeFault
	nextStart := time.Duration(0)
	for now := time.Duration(0); now < r.options.Length || len(active) > 0; now = time.Since(r.started) {
		remaining := active[:0]
		for _, f := range active {
			if now < f.endsAt && now < r.options.Length {
				remaining = append(remaining, f)
				continue
			}
			r.logf("end of %s", f.name)
			if err := f.end(); err != nil {
				return errors.Wrap(err, f.name)
			}
			r.resting.endFault(f.name)
		}
		active = remaining
		if now >= nextStart && now < r.options.Length && len(active) < maxFaults {
			nextStart = now + time.Duration(r.random.Int64N(int64(maxFaultGap)))
			started, err := r.start(active)
			if err != nil {
				return err
			}
			if started != nil {
				started.endsAt = now + time.Duration(r.random.Int64N(int64(maxFaultTime)))
				active = append(active, *started)
			}
		}
		time.Sleep(pollInterval / 10)
	}
	return nil
}

// start draws and begins a fault. It returns nil if a fault with the same target is in progress.
func (r *run) start(active []activeFault) (*activeFault, error) {
	fault := faults[r.random.IntN(len(faults))]
	name, begin, end := fault(r)
	for _, f := range active {
		if sameTarget(f.name, name) {
			return nil, nil
		}
	}
	r.logf("%s", name)
	r.resting.beginFault(name)
	if err := begin(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	return &activeFault{name: name, end: end}, nil
}

// sameTarget reports whether two faults affect the same process or service.
func sameTarget(a, b string) bool { return faultTarget(a) == faultTarget(b) }

// faultTarget returns the last word of a fault's name: the process or service that it affects.
func faultTarget(name string) string { return name[strings.LastIndex(name, " ")+1:] }

// settle waits until the deployment has recovered after the last fault.
func (r *run) settle() error {
	before, err := r.cluster.GroupState()
	if err != nil {
		return err
	}
	deadline := time.Now().Add(settleTimeout)
	for {
		err := r.checkSettled(before.Passes)
		if err == nil {
			r.logf("settled")
			return nil
		}
		if errors.Is(err, errMixed) || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollInterval)
	}
}

var errMixed = errors.New("a pass used two expert maps")

// checkSettled returns an error that says why the deployment has not recovered yet: the group must
// make passes, entries must have the same state, and accepted changes must be in force.
func (r *run) checkSettled(passes int64) error {
	group, err := r.cluster.GroupState()
	if err != nil {
		return err
	}
	if group.MixedPasses > 0 {
		return errMixed
	}
	const minPasses = 50
	if group.Passes < passes+minPasses {
		return errors.Errorf("the group makes no progress: %d passes, %d when the faults ended", group.Passes, passes)
	}
	hashes := map[string]bool{}
	for _, e := range r.cluster.Entries {
		out, err := r.cluster.RunCLIAt(e.ControlAddress, "status")
		if err != nil {
			return err
		}
		fields := strings.Fields(strings.SplitN(out, "\n", 2)[0])
		hashes[fields[5]+" "+fields[len(fields)-1]] = true
	}
	if len(hashes) != 1 {
		return errors.Errorf("entries differ: %v", hashes)
	}
	for customer, weight := range r.acceptedWeights {
		out, err := r.cluster.RunCLI("-o", "json", "get", "Customer", customer)
		if err != nil {
			return err
		}
		if !strings.Contains(strings.ReplaceAll(out, " ", ""), fmt.Sprintf(`"weight":%d`, weight)) {
			return errors.Errorf("customer %s: accepted weight %d is not in force: %s", customer, weight, out)
		}
	}
	return nil
}
