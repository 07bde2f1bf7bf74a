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

// fakeRanks answers looks for all ranks but those that are out of reach.
type fakeRanks struct {
	mu          sync.Mutex
	outOfReach  map[int]bool
	looksAtRank map[int]int
}

func (r *fakeRanks) Observe(_ context.Context, rank int, fence int64, _ Question) (Observation, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.looksAtRank[rank]++
	if r.outOfReach[rank] {
		return Observation{}, errors.New("no answer")
	}
	return Observation{Report: RankReport{Group: "g", Epoch: 1, Rank: rank, Size: 3, Open: true}, Fence: fence}, nil
}

func (r *fakeRanks) Command(context.Context, int, Order, bool) (Verdict, error) {
	return Accepted, nil
}

func (r *fakeRanks) Room() float64 { return 1e6 }

var _ = Describe("a holder's looks", func() {
	newHolder := func(ranks Ranks) *Holder {
		logger, _ := logrustest.NewNullLogger()
		lease := Lease{Claimed: Claimed{Fence: 2, Newest: 2, FormerRank: -1}, Size: 3, Engine: &fleet.EngineModel{Experts: 4, Sets: 1, Placements: 4}}
		return NewHolder(ranks, lease, func() Policy { return DefaultPolicy }, time.Now, logrus.NewEntry(logger))
	}

	It("give a rank that was lost less time, since all wait for it, and its whole time again once it answers", func() {
		ranks := &fakeRanks{outOfReach: map[int]bool{1: true}, looksAtRank: map[int]int{}}
		h := newHolder(ranks)
		whole := h.lookTimeout(1)
		Expect(whole).To(BeNumerically(">", lostTimeout))
		h.observe(context.Background())
		Expect(h.lookTimeout(1)).To(Equal(lostTimeout))
		Expect(h.lookTimeout(0)).To(Equal(whole))
		ranks.outOfReach[1] = false
		h.observe(context.Background())
		Expect(h.lookTimeout(1)).To(Equal(whole))
		Expect(ranks.looksAtRank[1]).To(Equal(2))
	})
})
