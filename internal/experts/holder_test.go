package experts

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/internal/fleet"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"
)

// ranksWithHold simulates three ranks. Rank 2 holds a pass for the former holder at
// formerRank, which is unreachable. The engine of rank 0 refuses every map.
type ranksWithHold struct {
	mu       sync.Mutex
	prepares int
}

const formerRank = 1

func (r *ranksWithHold) Observe(_ context.Context, rank int, fence int64, _ Query) (Observation, error) {
	if rank == formerRank {
		return Observation{}, errors.New("no response")
	}
	report := RankReport{Group: "g", Epoch: 1, Rank: rank, Size: 3, Open: true, Pass: 8}
	if rank == 2 {
		report.Held = 9
	}
	return Observation{Report: report, Fence: fence, Experts: [][]int{{rank}}}, nil
}

func (r *ranksWithHold) SendCommand(_ context.Context, rank int, command Command, _ bool) (Result, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if command.Operation == Prepare && rank == 0 {
		r.prepares++
		return Refused, nil
	}
	return Accepted, nil
}

func (r *ranksWithHold) CountsBandwidth() float64 { return 1e6 }

// ranksWithPopularity simulates two ranks with adjustable popularity of the experts.
// They never finish preparing, so a switch stays in StagePrepare.
type ranksWithPopularity struct {
	mu         sync.Mutex
	popularity []float64
	prepared   []Command
}

func (r *ranksWithPopularity) Observe(_ context.Context, rank int, fence int64, _ Query) (Observation, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Observation{
		Report: RankReport{Group: "g", Epoch: 1, Rank: rank, Size: 2, Open: true, Pass: 8}, Fence: fence,
		Counts:  Counts{Epoch: 1, Selections: r.popularity},
		Experts: [][]int{{2 * rank, 2*rank + 1}},
	}, nil
}

func (r *ranksWithPopularity) SendCommand(_ context.Context, _ int, command Command, _ bool) (Result, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prepared = append(r.prepared, command)
	return Accepted, nil
}

func (r *ranksWithPopularity) CountsBandwidth() float64 { return 1e6 }

var _ = Describe("a holder whose ranks are preparing a map", func() {
	It("aborts the switch when demand jumps and plans for the new demand", func() {
		logger, _ := logrustest.NewNullLogger()
		now := time.Unix(1000, 0)
		ranks := &ranksWithPopularity{popularity: []float64{9000, 400, 300, 300}}
		lease := Lease{
			ClaimResult: ClaimResult{Fence: 2, Newest: 2, FormerRank: -1}, Size: 2,
			Engine: &fleet.EngineModel{Experts: 4, Layers: 1, SlotsPerRank: 3, ExpertShare: 1, CopyTime: 400 * time.Millisecond},
		}
		h := NewHolder(ranks, lease, func() Policy { return DefaultPolicy }, func() time.Time { return now }, logrus.NewEntry(logger))
		observe := func() {
			now = now.Add(maxReportAge)
			h.observe(context.Background())
			h.plan()
			h.sendCommands(context.Background())
		}
		for range 4 {
			observe()
		}
		Expect(h.state.Stage()).To(Equal(StagePrepare))
		first := h.state.Version()
		ranks.popularity = []float64{300, 300, 400, 9000}
		observe()
		Expect(h.state.Version()).To(Equal(first), "the sample contains passes from before and after the jump")
		observe()
		Expect(h.state.Stage()).To(Equal(StagePrepare))
		Expect(h.state.Version()).To(BeNumerically(">", first))
		newest := ranks.prepared[len(ranks.prepared)-1]
		Expect(newest.Map[0]).To(ContainElements(ContainElement(3), ContainElement(3)))
		Expect(newest.Map[0][0]).To(ContainElement(3), "the first rank copies the popular expert")
	})
})

var _ = DescribeTable("the skew that triggers a new map leaves room for the reading of prompts within the longest pause",
	func(stride, chunk int, pause time.Duration) {
		logger, _ := logrustest.NewNullLogger()
		engine := &fleet.EngineModel{
			Experts: 4, Layers: 1, SlotsPerRank: 3, ExpertShare: 0.85, Stride: stride, Step: 6 * time.Millisecond, StepPerRequest: 300 * time.Microsecond,
			ReadPerSecond: 60_000, ChunkTokens: chunk,
		}
		lease := Lease{Size: 2, Engine: engine, MaxEventGap: pause}
		h := NewHolder(&ranksWithPopularity{popularity: []float64{1, 1, 1, 1}}, lease, func() Policy { return DefaultPolicy }, time.Now, logrus.NewEntry(logger))
		step := engine.Step.Seconds() // nothing is generated
		generating := float64(stride) * step * ((1 - engine.ExpertShare) + engine.ExpertShare*h.skewTrigger())
		reading := float64(stride) * engine.ReadTime(chunk).Seconds()
		Expect(generating + reading).To(BeNumerically("~", pause.Seconds(), 1e-6))
	},
	Entry("long passes", 5, 512, 90*time.Millisecond),
	Entry("short ones", 2, 512, 34*time.Millisecond),
	Entry("small chunks", 5, 64, 45*time.Millisecond),
	Entry("engines that don't say what they read", 5, 0, 45*time.Millisecond),
)

var _ = Describe("a new holder", func() {
	It("observes the ranks again when its undo returns to an earlier stage", func() {
		logger, _ := logrustest.NewNullLogger()
		now := time.Unix(1000, 0)
		ranks := &ranksWithHold{}
		lease := Lease{
			ClaimResult: ClaimResult{Fence: 2, Newest: 2, FormerRank: formerRank}, Size: 3,
			Engine: &fleet.EngineModel{Experts: 3, Layers: 1, SlotsPerRank: 2},
		}
		h := NewHolder(ranks, lease, func() Policy { return DefaultPolicy }, func() time.Time { return now }, logrus.NewEntry(logger))
		h.observe(context.Background())
		now = now.Add(maxReportAge + time.Millisecond)
		h.observe(context.Background())
		Expect(h.state.Stage()).To(Equal(StageDisarm))
		bounded, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		h.sendCommands(bounded)
		Expect(bounded.Err()).NotTo(HaveOccurred(), "it kept sending commands without an observation")
		Expect(ranks.prepares).To(Equal(1))
	})
})
