// Package soak runs the real programs as separate processes, injects faults from
// outside them at random while callers send requests, and checks the promises.
// The same seed draws the same faults at the same times.
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

// Options are the settings of one run.
type Options struct {
	Seed uint64
	// Length is how long faults are injected.
	Length time.Duration
	// Bin has the programs, Dir gets their logs.
	Bin, Dir string
	// Out gets a line for each fault.
	Out io.Writer
}

const (
	// faultsAtOnce is how many faults overlap at most.
	faultsAtOnce = 3
	// faultGap and faultTime are the most time between two faults, and of one.
	faultGap  = 700 * time.Millisecond
	faultTime = 2500 * time.Millisecond
	// settleTime bounds how long the deployment takes to agree and to go on once all
	// faults are over.
	settleTime = 30 * time.Second
	settlePoll = 100 * time.Millisecond
	// tail is for how long requests go on after the last fault.
	tail = 4 * time.Second
	rate = 40
	// requestDeadline is of each request; a planned stop's bound must outlast it, or
	// a request whose answer was lost holds the stop longer than that.
	requestDeadline = 6 * time.Second
	drainTimeout    = requestDeadline + 4*time.Second
)

// run is one run under way.
type run struct {
	options Options
	cluster *harness.Cluster
	random  *rand.Rand
	began   time.Time
	// changed are the customers whose change the operators were told is accepted, with
	// the weight that must be in force.
	changed map[string]int
	weight  int
	// resting makes servers rest.
	resting *restingCaller
}

// Run soaks one seed. An error says which promise was broken, or that the run
// itself failed.
func Run(o Options) error {
	cluster, err := harness.New(harness.Layout{
		Zones: []string{"a", "b"}, EntriesPerZone: 2, EnginesPerZone: 1, PlainPerZone: 1, RanksPerZone: 2, ZoneLinks: true, Proxy: true,
		StepTime: 6 * time.Millisecond, KeyWindowSeconds: 60, ClockSkewMs: 50, DrainTimeout: drainTimeout,
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
		options: o, cluster: cluster, random: rand.New(rand.NewPCG(o.Seed, 1)), began: time.Now(), changed: map[string]int{},
	}
	type loaded struct {
		report *loadgen.Report
		err    error
	}
	done := make(chan loaded, 1)
	go func() {
		report, err := loadgen.Run(context.Background(), loadgen.Options{
			Entries: cluster.CallerAddresses(), Keys: cluster.Keys, RunsURL: cluster.PlatformURL, Rate: rate, Duration: o.Length + tail,
			Tokens: 10, PlainPercent: 50, StreamPercent: 30, UnkeyedPercent: 30, DeadlineMs: int(requestDeadline / time.Millisecond), MaxRetries: 20,
		})
		done <- loaded{report, err}
	}()
	ending := newEndingCaller(cluster, o.Seed)
	r.resting = newRestingCaller(cluster, o.Seed)
	ctx, stop := context.WithCancel(context.Background())
	var others sync.WaitGroup
	others.Go(func() { ending.run(ctx) })
	others.Go(func() { r.resting.run(ctx) })
	returning := newReturningStore(cluster, o.Seed, r.say)
	others.Go(func() { returning.run(ctx) })
	err = r.inject()
	stop()
	others.Wait()
	if err != nil {
		return err
	}
	l := <-done
	if l.err != nil {
		return l.err
	}
	r.say("callers: %s", l.report)
	for _, note := range l.report.Notes {
		r.say("  %s", note)
	}
	ended, err := ending.check()
	r.say("servers that one request ended: %d", ended)
	if err != nil {
		return errors.Wrapf(err, "seed %d", o.Seed)
	}
	if err := r.resting.check(); err != nil {
		return errors.Wrapf(err, "seed %d", o.Seed)
	}
	if err := returning.check(); err != nil {
		return errors.Wrapf(err, "seed %d", o.Seed)
	}
	if !l.report.OK() || l.report.Answered == 0 {
		return errors.Errorf("seed %d: the counts don't add up: %s", o.Seed, l.report)
	}
	return errors.Wrapf(r.settle(), "seed %d", o.Seed)
}

func (r *run) say(format string, args ...any) {
	fmt.Fprintf(r.options.Out, "%7.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...) // nowhere to tell
}

// ending is a fault under way.
type ending struct {
	at   time.Duration
	name string
	end  func() error
}

// inject draws faults until the length is over, then ends all.
func (r *run) inject() error {
	var under []ending
	next := time.Duration(0)
	for now := time.Duration(0); now < r.options.Length || len(under) > 0; now = time.Since(r.began) {
		kept := under[:0]
		for _, e := range under {
			if now < e.at && now < r.options.Length {
				kept = append(kept, e)
				continue
			}
			r.say("end of %s", e.name)
			if err := e.end(); err != nil {
				return errors.Wrap(err, e.name)
			}
			r.resting.ends(e.name)
		}
		under = kept
		if now >= next && now < r.options.Length && len(under) < faultsAtOnce {
			next = now + time.Duration(r.random.Int64N(int64(faultGap)))
			started, err := r.start(under)
			if err != nil {
				return err
			}
			if started != nil {
				started.at = now + time.Duration(r.random.Int64N(int64(faultTime)))
				under = append(under, *started)
			}
		}
		time.Sleep(settlePoll / 10)
	}
	return nil
}

// start begins a fault that isn't under way yet.
func (r *run) start(under []ending) (*ending, error) {
	fault := faults[r.random.IntN(len(faults))]
	name, begin, end := fault(r)
	for _, e := range under {
		if sameThing(e.name, name) {
			return nil, nil
		}
	}
	r.say("%s", name)
	r.resting.begins(name)
	if err := begin(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	return &ending{name: name, end: end}, nil
}

// sameThing tells whether two faults are about one process or service, which is
// the last word of their names.
func sameThing(a, b string) bool { return lastWord(a) == lastWord(b) }

func lastWord(name string) string { return name[strings.LastIndex(name, " ")+1:] }

// settle checks what must hold once all faults are over.
func (r *run) settle() error {
	before, err := r.cluster.GroupState()
	if err != nil {
		return err
	}
	deadline := time.Now().Add(settleTime)
	for {
		problem := r.unsettled(before.Passes)
		if problem == nil {
			r.say("settled")
			return nil
		}
		if errors.Is(problem, errMixed) || time.Now().After(deadline) {
			return problem
		}
		time.Sleep(settlePoll)
	}
}

var errMixed = errors.New("a pass began with two maps")

// unsettled returns what doesn't hold yet.
func (r *run) unsettled(passes int64) error {
	group, err := r.cluster.GroupState()
	if err != nil {
		return err
	}
	if group.MixedPasses > 0 {
		return errMixed
	}
	const more = 50
	if group.Passes < passes+more {
		return errors.Errorf("the group makes no passes: %d, %d when the faults ended", group.Passes, passes)
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
	for customer, weight := range r.changed {
		out, err := r.cluster.RunCLI("-o", "json", "get", "Customer", customer)
		if err != nil {
			return err
		}
		if !strings.Contains(strings.ReplaceAll(out, " ", ""), fmt.Sprintf(`"weight":%d`, weight)) {
			return errors.Errorf("customer %s: the accepted weight %d isn't in force: %s", customer, weight, out)
		}
	}
	return nil
}
