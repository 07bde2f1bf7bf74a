package dispatch

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
)

var _ = Describe("a broken group", func() {
	breakGroup := func(b *fixture) {
		b.balancer.markBroken(b.fleet.Servers().ByID("r0"), b.now)
	}

	It("gets no requests, and callers get a retry hint", func() {
		b := newFixture()
		breakGroup(b)
		result := b.serve("stream")
		Expect(result.Failure.Outcome).To(Equal(failure.OutcomeNotRun))
		Expect(result.Failure.RetryAfter).To(BeNumerically(">", 0))
		Expect(result.Failure.RetryAfter).To(BeNumerically("<=", 8*time.Second/3))
	})

	It("is detected by one refused request", func() {
		b := newFixture(refuses(ResponseInfo{FaultyServer: "r1"}))
		Expect(b.serve("stream").Failure.Outcome).To(Equal(failure.OutcomeNotRun))
		Expect(b.backend.attempts).To(HaveLen(1))
	})

	It("doesn't use up the retry budget", func() {
		const refusals = 200 // many times the retry budget
		var replies []reply
		for range refusals {
			replies = append(replies, refuses(ResponseInfo{FaultyServer: "r1"}))
		}
		b := newFixture(replies...)
		for range refusals {
			b.fleet.setServers(b.fleet.Servers().ByID("r0"), b.fleet.Servers().ByID("r1"))
			b.balancer.groups = map[string]*groupState{} // the group reopened and breaks again
			Expect(b.serve("stream").Failure.Outcome).To(Equal(failure.OutcomeNotRun))
		}
		Expect(b.balancer.AcquireRetry("model", "florist", b.now)).To(BeTrue())
	})

	// lastedBefore lets the group recover from an outage in the past.
	lastedBefore := func(b *fixture, length time.Duration) {
		rank := *b.fleet.Servers().ByID("r0").Rank
		began := b.now.Add(-time.Minute)
		b.balancer.group("g").reportedAt, b.balancer.group("g").epoch = time.Time{}, 0
		rank.Epoch, rank.Open = 0, false
		b.balancer.UpdateGroup(rank, began)
		rank.Epoch, rank.Open = 1, true
		b.balancer.UpdateGroup(rank, began.Add(length))
	}
	// serveWhileBroken serves a request and reopens the group while it may be waiting.
	serveWhileBroken := func(b *fixture, timeout time.Duration) Result {
		reopened := time.AfterFunc(2*waitPollInterval, func() {
			rank := &fleet.GroupRank{Group: "g", Epoch: 2, Rank: 0, Size: 1, Open: true}
			b.fleet.setServers(&fleet.Server{ID: "r0", Service: "model", Capacity: 12, Rank: rank})
		})
		defer reopened.Stop()
		return b.pipeline.Serve(context.Background(), b.request("stream", timeout), b.recorder)
	}

	DescribeTable("is awaited by each request that can still be served in its caller's time, and by no other",
		func(brokenFor, left time.Duration, awaited bool) {
			for _, longestSeen := range []time.Duration{left, time.Minute} {
				b := newFixture(respondsSigned(http.StatusOK, "id: 1\ndata: a\n\n"), respondsSigned(http.StatusOK, "id: 1\ndata: a\n\n"))
				Expect(b.pipeline.Serve(context.Background(), b.request("stream", longestSeen), b.recorder).Failure).To(BeNil())
				lastedBefore(b, 5*time.Second)
				breakGroup(b)
				b.now = b.now.Add(brokenFor)
				result := serveWhileBroken(b, left)
				if awaited {
					Expect(result.Failure).To(BeNil())
					continue
				}
				Expect(result.Failure.Code).To(Equal(failure.CodeNoServer))
				Expect(result.Failure.Outcome).To(Equal(failure.OutcomeNotRun))
				Expect(b.backend.attempts).To(HaveLen(1))
				Expect(result.Failure.RetryAfter).To(BeNumerically("~", min(5*time.Second-brokenFor, left/3), time.Millisecond), "the time at which it is expected back")
			}
		},
		Entry("expected back in 0.5 s, 8 s left", 4500*time.Millisecond, 8*time.Second, true),
		Entry("expected back in 0.5 s, 1 s left", 4500*time.Millisecond, time.Second, true),
		Entry("expected back in 0.5 s, 0.4 s left", 4500*time.Millisecond, 400*time.Millisecond, false),
		Entry("expected back in 1.5 s, 8 s left", 3500*time.Millisecond, 8*time.Second, true),
		Entry("expected back in 3 s, when callers have abandoned a stream without events", 2*time.Second, 8*time.Second, false),
	)

	It("that has just broken is awaited if it can be back in time", func() {
		b := newFixture(respondsSigned(http.StatusOK, "id: 1\ndata: a\n\n"))
		b.fleet.config.Service("model").Engine = &fleet.EngineModel{FormTime: 300 * time.Millisecond}
		breakGroup(b)
		Expect(serveWhileBroken(b, 8*time.Second).Failure).To(BeNil())
	})

	It("makes no caller wait while it lacks ranks for good", func() {
		b := newFixture()
		b.fleet.config.Service("model").Engine = &fleet.EngineModel{FormTime: 300 * time.Millisecond}
		lastedBefore(b, 5*time.Second)
		breakGroup(b)
		b.now = b.now.Add(time.Minute)
		result := serveWhileBroken(b, 8*time.Second)
		Expect(result.Failure.Code).To(Equal(failure.CodeNoServer))
		Expect(result.Failure.Detail).To(ContainSubstring("broken for 1m0s"))
		Expect(b.backend.attempts).To(BeEmpty())
	})

	It("tells callers that it can't serve to come back once it is likely to be back, since they try a few times only", func() {
		for _, c := range []struct {
			outages         []time.Duration
			atLeast, atMost time.Duration
		}{
			{nil, 8 * time.Second / 6, 8 * time.Second / 3},
			{[]time.Duration{4500 * time.Millisecond, 4700 * time.Millisecond}, 2600 * time.Millisecond, 2600 * time.Millisecond},
		} {
			b := newFixture()
			b.fleet.config.Service("model").Engine = &fleet.EngineModel{FormTime: 300 * time.Millisecond}
			for _, length := range c.outages {
				lastedBefore(b, length)
			}
			breakGroup(b)
			b.now = b.now.Add(2100 * time.Millisecond) // expected for as long again, or for 2.4 s: too long for a stream
			hint := serveWhileBroken(b, 8*time.Second).Failure.RetryAfter
			Expect(hint).To(SatisfyAll(BeNumerically(">=", c.atLeast), BeNumerically("<=", c.atMost)))
		}
	})

	It("is expected back when its engines form it, once the lost rank is", func() {
		b := newFixture(respondsSigned(http.StatusOK, "id: 1\ndata: a\n\n"))
		b.fleet.config.Service("model").Engine = &fleet.EngineModel{FormTime: 300 * time.Millisecond}
		ranks := []*fleet.Server{b.fleet.Servers().ByID("r0"), b.fleet.Servers().ByID("r1")}
		_, broken := b.balancer.openServers(ranks, b.now)
		Expect(broken).To(BeNil())
		breakGroup(b)
		b.now = b.now.Add(10 * time.Second) // as long again would be too long
		restarted := *ranks[1]
		restarted.Incarnation = "r1-2"
		b.fleet.setServers(ranks[0], &restarted)
		Expect(serveWhileBroken(b, 8*time.Second).Failure).To(BeNil())
	})

	It("tells a stream's caller no later than it would abandon the stream", func() {
		b := newFixture()
		b.fleet.config.Service("model").Engine = &fleet.EngineModel{FormTime: 300 * time.Millisecond}
		breakGroup(b)
		began := b.now
		b.pipeline.now = func() time.Time { return began.Add(b.advance(waitPollInterval)) }
		result := b.pipeline.Serve(context.Background(), b.request("stream", 8*time.Second), b.recorder)
		Expect(result.Failure.Outcome).To(Equal(failure.OutcomeNotRun))
		Expect(result.Failure.RetryAfter).To(BeNumerically(">", 0))
		Expect(b.advance(0)).To(BeNumerically("<", 2*time.Second))
	})

	It("leaves requests to the service's other groups", func() {
		for _, brokenFirst := range []bool{true, false} {
			b := newFixture(respondsSigned(http.StatusOK, "id: 1\ndata: a\n\n"))
			rank := func(group string) *fleet.GroupRank {
				return &fleet.GroupRank{Group: group, Epoch: 1, Size: 1, Open: true}
			}
			healthy := &fleet.Server{ID: "w", Service: "model", Capacity: 12, Rank: rank("h")}
			broken := &fleet.Server{ID: "r0", Service: "model", Capacity: 12, Rank: rank("g")}
			b.fleet.setServers(healthy, broken)
			b.fleet.allowed = func(string, string) ([]*fleet.Server, string) {
				if brokenFirst {
					return []*fleet.Server{broken, healthy}, ""
				}
				return []*fleet.Server{healthy, broken}, ""
			}
			breakGroup(b)
			Expect(b.serve("stream").Failure).To(BeNil())
			Expect(b.backend.attempts[0].Server.ID).To(Equal("w"))
		}
	})

	It("is reopened by a registration with a higher epoch, not by one with the same epoch", func() {
		b := newFixture()
		breakGroup(b)
		server := b.fleet.Servers().ByID("r0")
		_, broken := b.balancer.brokenFor(server, b.now.Add(10*time.Second))
		Expect(broken).To(BeTrue())
		reopened := *server
		reopened.Rank = &fleet.GroupRank{Group: "g", Epoch: 2, Open: true}
		_, broken = b.balancer.brokenFor(&reopened, b.now)
		Expect(broken).To(BeFalse())
	})

	It("is dropped once none of its ranks is registered", func() {
		b := newFixture()
		breakGroup(b)
		b.balancer.recordEvent(b.fleet.servers.ByID("r1"), b.now)
		b.balancer.Prune(b.fleet.Servers(), b.now)
		Expect(b.balancer.groups).To(HaveKey("g"))
		b.balancer.Prune(fleet.NewServers(nil), b.now)
		Expect(b.balancer.groups).To(BeEmpty())
		Expect(b.balancer.lastEventAt).To(BeEmpty())
	})
})
