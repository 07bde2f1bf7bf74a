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
	reads     atomic.Int64
	waited    atomic.Int64 // wait of the last read
	truncated bool         // only a snapshot is left
}

func (f *fakeSource) Name() string { return f.name }

func (f *fakeSource) Records(_ context.Context, after storelog.Position, wait time.Duration) (Batch, error) {
	f.reads.Add(1)
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

// stalledSource returns no records.
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
	It("shortens its reads for a while after one that failed or found its records gone", func() {
		now := time.Unix(1000, 0)
		for _, fail := range []func(*fakeSource){
			func(f *fakeSource) { f.down.Store(true) }, func(f *fakeSource) { f.truncated = true },
		} {
			r := upTo(1)
			r.now = func() time.Time { return now }
			r.SetPollTimeout(28 * time.Second)
			source := &fakeSource{name: "log", from: upTo(2)}
			step := func() time.Duration {
				_, _ = r.followOnce(context.Background(), source, logrus.NewEntry(logrus.New())) // only the wait matters
				return time.Duration(source.waited.Load())
			}
			fail(source)
			Expect(step()).To(Equal(28 * time.Second))
			source.down.Store(false)
			source.truncated = false
			Expect(step()).To(Equal(longpoll.UntrustedWait))
			now = now.Add(time.Minute)
			Expect(step()).To(Equal(28 * time.Second))
		}
	})

	It("ends a read that misses what a peer has", func() {
		r := upTo(1)
		r.SetPollTimeout(28 * time.Second)
		stalled := &stalledSource{&fakeSource{name: "log", from: upTo(1)}}
		follow(r, stalled, &fakeSource{name: "peer", from: upTo(4)})
		r.ObservePeerPosition(2)
		Consistently(r.Position, 2*longpoll.PeerAheadGrace).Should(Equal(storelog.Position(1)), "no newer than this replica")
		r.ObservePeerPosition(5)
		Eventually(r.Position, "5s").Should(Equal(storelog.Position(4)))
	})

	It("never installs an older state", func() {
		r := upTo(5)
		older, _, err := upTo(3).Snapshot()
		Expect(err).NotTo(HaveOccurred())
		state, err := config.DecodeSnapshot(older)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.InstallState(state)).To(BeFalse())
		Expect(r.Position()).To(Equal(storelog.Position(5)))
	})

	It("rejects records after a gap and ignores duplicates", func() {
		r := upTo(3)
		Expect(r.Apply(Batch{Entries: []config.LogEntry{entryAt(2), entryAt(5)}})).To(MatchError(config.ErrGap))
		Expect(r.Position()).To(Equal(storelog.Position(3)))
	})

	It("switches sources when one is down or stale, and returns to an earlier one", func() {
		first := &fakeSource{name: "first", from: upTo(4)}
		second := &fakeSource{name: "second", from: upTo(9)}
		first.age.Store((defaultPollTimeout + staleMargin).Milliseconds() + 1)
		r := New(time.Now)
		follow(r, first, second)
		Eventually(r.Position, "5s").Should(Equal(storelog.Position(9)))
		second.down.Store(true)
		first.age.Store(0)
		reads := first.reads.Load()
		Eventually(first.reads.Load, "5s").Should(BeNumerically(">", reads))
		Expect(r.Position()).To(Equal(storelog.Position(9)))
	})

	It("installs a snapshot when its next record is gone", func() {
		source := &fakeSource{name: "peer", from: upTo(9), truncated: true}
		r := upTo(2)
		follow(r, source)
		Eventually(r.Position, "5s").Should(Equal(storelog.Position(9)))
		_, got := r.Hash()
		_, want := source.from.Hash()
		Expect(got).To(Equal(want))
	})

	It("reports records as gone that it no longer retains", func() {
		r := upTo(3)
		installed := New(time.Now)
		data, _, err := r.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		state, err := config.DecodeSnapshot(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(installed.InstallState(state)).To(BeTrue())
		Expect(installed.EntriesAfter(1).Gone).To(BeTrue())
		Expect(installed.EntriesAfter(3).Gone).To(BeFalse())
	})

	It("adds the time since its last read to the source's log age, and ignores older confirmations", func() {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		r := New(func() time.Time { return now })
		Expect(r.LogAge()).To(Equal(neverConfirmed))
		Expect(r.Apply(Batch{LogAge: 2 * time.Second})).To(Succeed())
		now = now.Add(time.Second)
		Expect(r.LogAge()).To(Equal(3 * time.Second))
		Expect(r.Apply(Batch{LogAge: 10 * time.Second})).To(Succeed()) // an older confirmation is ignored
		Expect(r.LogAge()).To(Equal(3 * time.Second))
	})
})

var _ = Describe("source rotation", func() {
	It("backs off after each full round and returns to the first source", func() {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		rot := rotation{sources: 3}
		Expect(rot.recordFailure(now)).To(BeZero())
		Expect(rot.recordFailure(now)).To(BeZero())
		first := rot.recordFailure(now)
		Expect(first).To(BeNumerically(">", 0))
		Expect(rot.current).To(Equal(0))
		rot.recordFailure(now)
		rot.recordFailure(now)
		Expect(rot.recordFailure(now)).To(BeNumerically(">", first))
		rot.recordFailure(now)
		rot.recordSuccess(now.Add(preferFirstAfter / 2))
		Expect(rot.current).To(Equal(1))
		rot.recordSuccess(now.Add(preferFirstAfter))
		Expect(rot.current).To(Equal(0))
	})
})

var _ = Describe("the read tree of a zone", func() {
	It("limits the fanout and reaches every entry", func() {
		children := map[int]int{}
		for index := range 200 {
			parent, ok := Parent(index)
			Expect(ok).To(Equal(index >= LogReaders))
			if ok {
				Expect(parent).To(BeNumerically("<", index))
				children[parent]++
			}
		}
		for parent, n := range children {
			Expect(n).To(BeNumerically("<=", treeFanout), "%d", parent)
		}
	})
})

var _ = Describe("agents of a zone", func() {
	It("are spread over its entries", func() {
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
