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

// heldRanks are three ranks, one of which holds a pass for a former holder at the
// unreachable rank 1. Rank 0's engine refuses every map.
type ranksWithHold struct {
	mu       sync.Mutex
	prepares int
}

const formerRank = 1

func (r *ranksWithHold) Observe(_ context.Context, rank int, fence int64, _ Query) (Observation, error) {
	if rank == formerRank {
		return Observation{}, errors.New("no answer")
	}
	report := RankReport{Group: "g", Epoch: 1, Rank: rank, Size: 3, Open: true, Pass: 8}
	if rank == 2 {
		report.Held = 9
	}
	return Observation{Report: report, Fence: fence, Experts: [][]int{{rank}}}, nil
}

func (r *ranksWithHold) SendCommand(_ context.Context, rank int, o Command, _ bool) (Result, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Operation == Prepare && rank == 0 {
		r.prepares++
		return Refused, nil
	}
	return Accepted, nil
}

func (r *ranksWithHold) CountsBandwidth() float64 { return 1e6 }

// likingRanks are two ranks whose requests choose by a popularity that a spec changes.
// They copy nothing: a switch stays in its first stage.
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
		Counts:  Counts{Epoch: 1, Chosen: r.popularity},
		Experts: [][]int{{2 * rank, 2*rank + 1}},
	}, nil
}

func (r *ranksWithPopularity) SendCommand(_ context.Context, _ int, o Command, _ bool) (Result, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prepared = append(r.prepared, o)
	return Accepted, nil
}

func (r *ranksWithPopularity) CountsBandwidth() float64 { return 1e6 }

var _ = Describe("a holder whose ranks still copy", func() {
	It("gives the switch up when demand has jumped, and plans for what is liked now", func() {
		logger, _ := logrustest.NewNullLogger()
		now := time.Unix(1000, 0)
		ranks := &ranksWithPopularity{popularity: []float64{9000, 400, 300, 300}}
		lease := Lease{
			ClaimResult: ClaimResult{Fence: 2, Newest: 2, FormerRank: -1}, Size: 2,
			Engine: &fleet.EngineModel{Experts: 4, Sets: 1, Placements: 3, ExpertShare: 1, CopyTime: 400 * time.Millisecond},
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
		Expect(h.state.Version()).To(Equal(first), "the look had passes of both sides")
		observe()
		Expect(h.state.Stage()).To(Equal(StagePrepare))
		Expect(h.state.Version()).To(BeNumerically(">", first))
		newest := ranks.prepared[len(ranks.prepared)-1]
		Expect(newest.Map[0]).To(ContainElements(ContainElement(3), ContainElement(3)))
		Expect(newest.Map[0][0]).To(ContainElement(3), "the first rank copies what is liked now")
	})
})

var _ = Describe("a new holder", func() {
	It("looks at the ranks again when undoing what the former one did comes back to where it began", func() {
		logger, _ := logrustest.NewNullLogger()
		now := time.Unix(1000, 0)
		ranks := &ranksWithHold{}
		lease := Lease{
			ClaimResult: ClaimResult{Fence: 2, Newest: 2, FormerRank: formerRank}, Size: 3,
			Engine: &fleet.EngineModel{Experts: 3, Sets: 1, Placements: 2},
		}
		h := NewHolder(ranks, lease, func() Policy { return DefaultPolicy }, func() time.Time { return now }, logrus.NewEntry(logger))
		h.observe(context.Background())
		now = now.Add(maxReportAge + time.Millisecond)
		h.observe(context.Background())
		Expect(h.state.Stage()).To(Equal(StageUndo))
		bounded, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		h.sendCommands(bounded)
		Expect(bounded.Err()).NotTo(HaveOccurred(), "it went on without a look")
		Expect(ranks.prepares).To(Equal(1))
	})
})
