package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/longpoll"
	"github.com/crowbridge/crowbridge/internal/storelog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

func TestReplica(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "replica")
}

func entryAt(offset int64) config.LogEntry {
	data, err := json.Marshal(config.Record{Format: 1, Kind: config.RecordEvent, Event: &config.Event{Actor: "h", Action: config.AuditMap, Object: "Group/g", Detail: fmt.Sprint(offset)}})
	Expect(err).NotTo(HaveOccurred())
	return config.LogEntry{Position: storelog.Position(offset), Data: data}
}

func upTo(offset int64) *Replica {
	r := New(time.Now)
	for i := range offset + 1 {
		Expect(r.Apply(Batch{Entries: []config.LogEntry{entryAt(i)}})).To(Succeed())
	}
	return r
}

// fakeSource serves another replica, or fails.
type fakeSource struct {
	name      string
	from      *Replica
	down      atomic.Bool
	age       atomic.Int64 // milliseconds
	asked     atomic.Int64
	waited    atomic.Int64 // the last read's wait
	truncated bool         // records were dropped; only a snapshot is left
}

func (f *fakeSource) Name() string { return f.name }

func (f *fakeSource) Records(_ context.Context, after storelog.Position, wait time.Duration) (Batch, error) {
	f.asked.Add(1)
	f.waited.Store(int64(wait))
	if f.down.Load() {
		return Batch{}, errors.New("down")
	}
	batch := f.from.EntriesAfter(after)
	batch.LogAge = time.Duration(f.age.Load()) * time.Millisecond
	if f.truncated && after < f.from.Position() {
		return Batch{Gone: true}, nil
	}
	return batch, nil
}

func (f *fakeSource) State(context.Context) (*config.State, error) {
	data, _, err := f.from.Snapshot()
	if err != nil {
		return nil, err
	}
	return config.DecodeSnapshot(data)
}

// deafSource hears of nothing while a read waits.
type stalledSource struct{ *fakeSource }

func (s *stalledSource) Records(ctx context.Context, _ storelog.Position, wait time.Duration) (Batch, error) {
	select {
	case <-ctx.Done():
		return Batch{}, ctx.Err()
	case <-time.After(wait):
		return Batch{}, nil
	}
}

func follow(r *Replica, sources ...Source) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	go func() { defer close(done); r.Follow(ctx, sources, logrus.NewEntry(logger)) }()
	DeferCleanup(func() { cancel(); <-done })
}

var _ = Describe("a replica", func() {
	It("doesn't believe its source's silence for long after a read that failed or found its records gone", func() {
		now := time.Unix(1000, 0)
		for _, trouble := range []func(*fakeSource){
			func(f *fakeSource) { f.down.Store(true) }, func(f *fakeSource) { f.truncated = true },
		} {
			r := upTo(1)
			r.now = func() time.Time { return now }
			r.SetPollTimeout(28 * time.Second)
			source := &fakeSource{name: "log", from: upTo(2)}
			step := func() time.Duration {
				_, _ = r.followOnce(context.Background(), source, logrus.NewEntry(logrus.New())) // how long it waited counts
				return time.Duration(source.waited.Load())
			}
			trouble(source)
			Expect(step()).To(Equal(28 * time.Second))
			source.down.Store(false)
			source.truncated = false
			Expect(step()).To(Equal(longpoll.UntrustedWait))
			now = now.Add(time.Minute)
			Expect(step()).To(Equal(28 * time.Second))
		}
	})

	It("ends a read that is silent about what a peer knows", func() {
		r := upTo(1)
		r.SetPollTimeout(28 * time.Second)
		deaf := &stalledSource{&fakeSource{name: "log", from: upTo(1)}}
		follow(r, deaf, &fakeSource{name: "peer", from: upTo(4)})
		r.ObservePeerPosition(2)
		Consistently(r.Position, 2*longpoll.PeerAheadGrace).Should(Equal(storelog.Position(1)), "it's known here too")
		r.ObservePeerPosition(5)
		Eventually(r.Position, "5s").Should(Equal(storelog.Position(4)))
	})

	It("never adopts an older state", func() {
		r := upTo(5)
		older, _, err := upTo(3).Snapshot()
		Expect(err).NotTo(HaveOccurred())
		state, err := config.DecodeSnapshot(older)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.InstallState(state)).To(BeFalse())
		Expect(r.Position()).To(Equal(storelog.Position(5)))
	})

	It("refuses records that leave a gap, and ignores those it has", func() {
		r := upTo(3)
		Expect(r.Apply(Batch{Entries: []config.LogEntry{entryAt(2), entryAt(5)}})).To(MatchError(config.ErrGap))
		Expect(r.Position()).To(Equal(storelog.Position(3)))
	})

	It("goes to the next source when one is down or stale, and back", func() {
		first := &fakeSource{name: "first", from: upTo(4)}
		second := &fakeSource{name: "second", from: upTo(9)}
		first.age.Store((defaultPollTimeout + staleMargin).Milliseconds() + 1)
		r := New(time.Now)
		follow(r, first, second)
		Eventually(r.Position, "5s").Should(Equal(storelog.Position(9)))
		second.down.Store(true)
		first.age.Store(0)
		asked := first.asked.Load()
		Eventually(first.asked.Load, "5s").Should(BeNumerically(">", asked))
		Expect(r.Position()).To(Equal(storelog.Position(9)))
	})

	It("heals from a snapshot when its history is gone", func() {
		source := &fakeSource{name: "peer", from: upTo(9), truncated: true}
		r := upTo(2)
		follow(r, source)
		Eventually(r.Position, "5s").Should(Equal(storelog.Position(9)))
		_, mine := r.Hash()
		_, theirs := source.from.Hash()
		Expect(mine).To(Equal(theirs))
	})

	It("tells peers that ask for too old records so", func() {
		r := upTo(3)
		healed := New(time.Now)
		data, _, err := r.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		state, err := config.DecodeSnapshot(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(healed.InstallState(state)).To(BeTrue())
		Expect(healed.EntriesAfter(1).Gone).To(BeTrue())
		Expect(healed.EntriesAfter(3).Gone).To(BeFalse())
	})

	It("adds up the age of what it hears of the log", func() {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		r := New(func() time.Time { return now })
		Expect(r.LogAge()).To(Equal(neverConfirmed))
		Expect(r.Apply(Batch{LogAge: 2 * time.Second})).To(Succeed())
		now = now.Add(time.Second)
		Expect(r.LogAge()).To(Equal(3 * time.Second))
		Expect(r.Apply(Batch{LogAge: 10 * time.Second})).To(Succeed()) // older news changes nothing
		Expect(r.LogAge()).To(Equal(3 * time.Second))
	})
})

var _ = Describe("the rotation over sources", func() {
	It("pauses only after a whole round, longer each time, and returns to the first", func() {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		turn := rotation{sources: 3}
		Expect(turn.recordFailure(now)).To(BeZero())
		Expect(turn.recordFailure(now)).To(BeZero())
		first := turn.recordFailure(now)
		Expect(first).To(BeNumerically(">", 0))
		Expect(turn.current).To(Equal(0))
		turn.recordFailure(now)
		turn.recordFailure(now)
		Expect(turn.recordFailure(now)).To(BeNumerically(">", first))
		turn.recordFailure(now)
		turn.recordSuccess(now.Add(preferFirstAfter / 2))
		Expect(turn.current).To(Equal(1))
		turn.recordSuccess(now.Add(preferFirstAfter))
		Expect(turn.current).To(Equal(0))
	})
})

var _ = Describe("the tree of a zone", func() {
	It("gives no entry more than its fanout and reaches everybody", func() {
		children := map[int]int{}
		for place := range 200 {
			parent, ok := Parent(place)
			Expect(ok).To(Equal(place >= LogReaders))
			if ok {
				Expect(parent).To(BeNumerically("<", place))
				children[parent]++
			}
		}
		for parent, n := range children {
			Expect(n).To(BeNumerically("<=", treeFanout), "%d", parent)
		}
	})
})

var _ = Describe("the agents of a zone", func() {
	It("spread over its entries", func() {
		counts := map[int]int{}
		for i := range 800 {
			order := RotateByName([]int{0, 1, 2, 3, 4, 5, 6, 7}, fmt.Sprint("engine-", i))
			Expect(order).To(ConsistOf(0, 1, 2, 3, 4, 5, 6, 7))
			counts[order[0]]++
		}
		for entry := range 8 {
			Expect(counts[entry]).To(BeNumerically("~", 100, 40))
		}
	})
})
