package experts

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/rebalance"
	"github.com/crowbridge/crowbridge/internal/storelog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"
)

func TestExperts(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "experts")
}

// fakeEngine records commands and returns a fixed report.
type fakeEngine struct {
	report   RankReport
	counts   Counts
	commands []Command
	// rest, if set, is the pause that the engine asks for when it refuses a command.
	rest time.Duration
	// timeouts is the number of commands without response before the first response.
	timeouts int
}

func (e *fakeEngine) Report(context.Context, string) (RankReport, error) { return e.report, nil }

func (e *fakeEngine) Counts(context.Context, string) (Counts, error) { return e.counts, nil }

func (e *fakeEngine) Experts(context.Context, string) ([][]int, error) { return nil, nil }

func (e *fakeEngine) Execute(_ context.Context, _ string, command Command) (Result, error) {
	e.commands = append(e.commands, command)
	if e.rest > 0 {
		return Refused, &RestError{Rest: e.rest, Err: errors.New("status 503")}
	}
	if len(e.commands) <= e.timeouts {
		return NoResponse, errors.New("no response")
	}
	return Accepted, nil
}

// memoryStore keeps the lease history in memory.
type memoryStore struct {
	records []StoredRecord
	err     error
}

func (s *memoryStore) add(group string, rank int) {
	data, err := json.Marshal(LeaseRecord{Group: group, Rank: rank})
	Expect(err).NotTo(HaveOccurred())
	s.records = append(s.records, StoredRecord{Position: storelog.Position(len(s.records)), Data: data})
}

func (s *memoryStore) ReadLeases(_ context.Context, from storelog.Position) (storelog.Position, []StoredRecord, error) {
	return storelog.Position(len(s.records)), s.records[min(int(from), len(s.records)):], s.err
}

func (s *memoryStore) AppendLease(_ context.Context, end storelog.Position, data []byte) (bool, error) {
	if end != storelog.Position(len(s.records)) {
		return false, nil
	}
	s.records = append(s.records, StoredRecord{Position: end, Data: data})
	return true, nil
}

var _ = Describe("an agent", func() {
	var engine *fakeEngine
	var agent *Agent
	var now time.Time
	BeforeEach(func() {
		engine, now = &fakeEngine{report: RankReport{Group: "g", Size: 2, Open: true}}, time.Unix(1000, 0)
		logger, _ := logrustest.NewNullLogger()
		agent = NewAgent(engine, "1.1.1.1:1", func() time.Time { return now }, logrus.NewEntry(logger))
	})
	ctx := context.Background()

	It("reports the holder gone if it was an earlier process of the daemon, until a new holder is seen", func() {
		_, err := agent.RefreshReport(ctx)
		Expect(err).NotTo(HaveOccurred())
		agent.MarkHolderGone(4)
		fence, elapsed := agent.SinceHolderCall()
		Expect(fence).To(Equal(int64(4)))
		Expect(elapsed).To(BeNumerically(">", ClaimDelay(11)))
		agent.ObserveFence(5)
		_, elapsed = agent.SinceHolderCall()
		Expect(elapsed).To(BeZero())
		engine.report.Open = false
		agent.MarkHolderGone(6)
		_, err = agent.RefreshReport(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, elapsed = agent.SinceHolderCall()
		Expect(elapsed).To(BeZero(), "a group that can't run needs no holder")
	})

	It("withholds Prepare, Arm and Hold while the engine rests, but never Disarm or Release", func() {
		engine.rest = 3 * time.Second
		execute := func(operation Operation) Result {
			result, _ := agent.Execute(ctx, Command{Operation: operation, Fence: 1})
			return result
		}
		Expect(execute(Prepare)).To(Equal(Refused))
		engine.rest = 0
		for _, operation := range []Operation{Prepare, Arm, Hold} {
			Expect(execute(operation)).To(Equal(Refused))
		}
		Expect(engine.commands).To(HaveLen(1))
		for _, operation := range []Operation{Disarm, Release} {
			Expect(execute(operation)).To(Equal(Accepted))
		}
		engine.rest, now = 3*time.Second, now.Add(3*time.Second)
		Expect(execute(Prepare)).To(Equal(Refused))
		engine.rest, engine.report.StartID = 0, 2
		_, err := agent.RefreshReport(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(execute(Prepare)).To(Equal(Accepted), "the rest ends with a restart")
	})

	It("reports no counts across a restart of the engine", func() {
		selections := func(startID int64, counts ...float64) []float64 {
			engine.counts = Counts{StartID: startID, Selections: counts}
			observation, err := agent.Observe(ctx, 7, Query{To: len(counts)})
			Expect(err).NotTo(HaveOccurred())
			return observation.Counts.Selections
		}
		Expect(selections(1, 5, 5)).To(BeNil())
		Expect(selections(1, 6, 7)).To(Equal([]float64{1, 2}))
		Expect(selections(2, 9, 9)).To(BeNil(), "counts after a restart that exceed the earlier ones")
		Expect(selections(2, 9, 10)).To(Equal([]float64{0, 1}))
	})

	It("rejects commands of a superseded holder", func() {
		_, err := agent.Observe(ctx, 7, Query{})
		Expect(err).NotTo(HaveOccurred())
		result, _ := agent.Execute(ctx, Command{Operation: Arm, Fence: 6})
		Expect(result).To(Equal(Fenced))
		Expect(engine.commands).To(BeEmpty())
	})

	It("returns only the higher fence to a superseded holder", func() {
		agent.ObserveFence(7)
		observation, err := agent.Observe(ctx, 6, Query{Experts: true, To: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(observation).To(Equal(Observation{Fence: 7}))
	})

	It("returns the queried range of the counts since the holder's previous query", func() {
		observe := func(query Query, selections ...float64) Counts {
			engine.counts = Counts{Epoch: 1, Selections: selections}
			observation, err := agent.Observe(ctx, 1, query)
			Expect(err).NotTo(HaveOccurred())
			return observation.Counts
		}
		observe(Query{}, 1, 1, 1, 1)
		Expect(observe(Query{From: 1, To: 3}, 2, 3, 4, 5)).To(Equal(Counts{Epoch: 1, Offset: 1, Selections: []float64{2, 3}}))
		Expect(observe(Query{}, 9, 9, 9, 9)).To(Equal(Counts{}))
		Expect(observe(Query{From: 3, To: 9}, 9, 9, 9, 10).Selections).To(Equal([]float64{1}))
		Expect(observe(Query{From: 7, To: 9}, 9, 9, 9, 10).Selections).To(BeEmpty())
	})

	It("returns counts since the previous query of the same holder only", func() {
		selections := func(fence, epoch int64, total float64) []float64 {
			engine.counts = Counts{Epoch: epoch, Selections: []float64{total}}
			observation, err := agent.Observe(ctx, fence, Query{To: 1})
			Expect(err).NotTo(HaveOccurred())
			return observation.Counts.Selections
		}
		Expect(selections(1, 1, 500)).To(BeNil(), "first query")
		Expect(selections(1, 1, 520)).To(Equal([]float64{20}))
		Expect(selections(1, 1, 3)).To(BeNil(), "the rank's counters were reset")
		Expect(selections(1, 2, 9)).To(BeNil(), "the group was formed again")
		Expect(selections(2, 2, 11)).To(BeNil(), "another holder")
		Expect(selections(2, 2, 12)).To(Equal([]float64{1}))
	})

	It("repeats a command until there is a response", func() {
		engine.timeouts = 2
		result, err := agent.Execute(ctx, Command{Operation: Arm, Fence: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(result).To(Equal(Accepted))
		Expect(engine.commands).To(HaveLen(3))
	})

	It("measures the time without a holder from the opening of the group", func() {
		elapsed := func() time.Duration {
			_, err := agent.RefreshReport(ctx)
			Expect(err).NotTo(HaveOccurred())
			_, elapsed := agent.SinceHolderCall()
			return elapsed
		}
		engine.report.Open = false
		now = now.Add(time.Minute)
		Expect(elapsed()).To(BeZero())
		engine.report.Open = true
		Expect(elapsed()).To(BeZero())
		now = now.Add(time.Second)
		Expect(elapsed()).To(Equal(time.Second))
	})
})

var _ = Describe("lease claims", func() {
	ctx := context.Background()
	record := LeaseRecord{Group: "g", Holder: "me", Rank: 3}

	It("succeed for the first claimer", func() {
		leases := &memoryStore{}
		claimed, err := ClaimLease(ctx, leases, record, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(claimed).To(Equal(ClaimResult{Fence: 1, Newest: 1, FormerRank: -1}))
	})

	It("ignore unreadable records of other writers", func() {
		leases := &memoryStore{}
		leases.add("g", 5)
		leases.records = append(leases.records, StoredRecord{Position: 1, Data: []byte("\xff{")})
		claimed, err := ClaimLease(ctx, leases, record, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(claimed).To(Equal(ClaimResult{Fence: 3, Newest: 3, FormerRank: 5, Unreadable: 1}))
		current, err := CurrentLeases(ctx, leases)
		Expect(err).NotTo(HaveOccurred())
		Expect(current).To(HaveLen(1))
	})

	It("fail when another daemon has just claimed the lease", func() {
		leases := &memoryStore{}
		leases.add("g", 5)
		claimed, err := ClaimLease(ctx, leases, record, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(claimed).To(Equal(ClaimResult{Newest: 1}))
	})

	It("succeed after a restarted agent has read the history", func() {
		leases := &memoryStore{}
		leases.add("g", 5)
		leases.add("other", 1)
		newest, err := CurrentLease(ctx, leases, "g")
		Expect(err).NotTo(HaveOccurred())
		claimed, err := ClaimLease(ctx, leases, record, newest.Fence)
		Expect(err).NotTo(HaveOccurred())
		Expect(claimed).To(Equal(ClaimResult{Fence: 3, Newest: 3, FormerRank: 5}))
	})

	It("fail when the store is unavailable", func() {
		_, err := ClaimLease(ctx, &memoryStore{err: errors.New("down")}, record, 0)
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("the demand estimate", func() {
	It("follows current selections and doesn't decay while the group is stopped", func() {
		shape := rebalance.Shape{Ranks: 1, Experts: 2, Layers: 1, Slots: 2}
		d := NewDemand(shape, 100*time.Millisecond)
		now := time.Unix(1000, 0)
		addSample := func(a, b float64) {
			now = now.Add(100 * time.Millisecond)
			d.Add(0, []float64{a, b})
			d.EndSample(now)
		}
		addSample(100, 0)
		Expect(d.Popularity()[0][0]).To(BeNumerically(">", 99))
		addSample(0, 400)
		Expect(d.Popularity()[0][1]).To(BeNumerically(">", 3*d.Popularity()[0][0]))
		before := d.Weight()
		now = now.Add(time.Minute)
		addSample(0, 0)
		Expect(d.Weight()).To(Equal(before))
	})

	It("weighs all layers equally, whichever reported last", func() {
		shape := rebalance.Shape{Ranks: 1, Experts: 2, Layers: 2, Slots: 2}
		d := NewDemand(shape, 100*time.Millisecond)
		now := time.Unix(1000, 0)
		d.Add(0, []float64{30, 10})
		d.Add(2, []float64{10, 0})
		d.EndSample(now)
		Expect(d.Popularity()[0]).To(Equal([]float64{18.75, 6.25}))
		Expect(d.Popularity()[1]).To(Equal([]float64{25, 0}))
		d.Add(3, []float64{10, 0})
		d.EndSample(now)
		Expect(d.Weight()).To(Equal(50.0), "counts out of range are ignored")
	})
})

// zipf returns how many of the selections each expert gets by a Zipf distribution,
// beginning with the most popular expert, first.
func zipf(experts, selections, first int) []float64 {
	counts, total := make([]float64, experts), 0.0
	for i := range counts {
		counts[(first+i)%experts] = math.Pow(float64(i+1), -1.3)
		total += counts[(first+i)%experts]
	}
	for expert := range counts {
		counts[expert] *= float64(selections) / total
	}
	return counts
}

var _ = Describe("a demand jump", func() {
	const experts, selections = 96, 100_000
	shape := rebalance.Shape{Ranks: 12, Experts: experts, Layers: 1, Slots: 11}
	now := time.Unix(1000, 0)
	observe := func(d *Demand, counts []float64) Sample {
		now = now.Add(150 * time.Millisecond)
		d.Add(0, counts)
		return d.EndSample(now)
	}
	steady := func() *Demand {
		d := NewDemand(shape, DefaultPolicy.HalfLife)
		for range 20 {
			observe(d, zipf(experts, selections, 0))
		}
		return d
	}

	It("replaces the estimate with the second sample", func() {
		d := steady()
		both := zipf(experts, selections/2, 0)
		for expert, n := range zipf(experts, selections/2, 40) {
			both[expert] += n
		}
		Expect(observe(d, both).Jumped).To(BeTrue())
		Expect(d.Settled()).To(BeFalse(), "the sample contains passes from before and after the jump")
		Expect(observe(d, zipf(experts, selections, 40)).Jumped).To(BeFalse())
		Expect(d.Settled()).To(BeTrue())
		popularity := d.Popularity()[0]
		Expect(popularity[40]).To(BeNumerically("~", zipf(experts, selections, 40)[40], 1))
		Expect(popularity[0]).To(BeNumerically("<", popularity[40]/10))
	})

	It("isn't detected from a single unusual prompt or a small sample", func() {
		d := steady()
		prompt := zipf(experts, selections, 0)
		prompt[77] += 0.15 * selections
		Expect(observe(d, prompt).Jumped).To(BeFalse())
		Expect(observe(d, zipf(experts, 500, 40)).Jumped).To(BeFalse())
		Expect(d.Settled()).To(BeTrue())
	})

	It("isn't detected when all samples differ, as with few requests", func() {
		d := steady()
		settled := 0
		for i := range 40 {
			observe(d, zipf(experts, selections, i*29%experts))
			if i >= 20 && d.Settled() {
				settled++
			}
		}
		Expect(settled).To(Equal(20))
		Expect(d.Weight()).To(BeNumerically(">", 3*selections), "the estimate includes several samples")
	})
})

var _ = DescribeTable("the lead of a switch is", func(arming, pass time.Duration, want int64) {
	Expect(leadPasses(arming, pass)).To(Equal(want))
},
	Entry("zero passes if arming is fast", 12*time.Millisecond, 60*time.Millisecond, int64(0)),
	Entry("two passes if arming takes most of a pass", 45*time.Millisecond, 60*time.Millisecond, int64(2)),
	Entry("four passes if arming takes more than two", 170*time.Millisecond, 80*time.Millisecond, int64(4)),
)
