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

	It("is awaited by a retried request", func() {
		b := newFixture(respondsSigned(http.StatusOK, "id: 1\ndata: a\n\n"))
		b.balancer.countRequest("model", "stream", b.request("stream", 8*time.Second), b.now)
		breakGroup(b)
		b.now = b.now.Add(minOutageToWait)
		reopened := time.AfterFunc(groupPollInterval, func() {
			rank := &fleet.GroupRank{Group: "g", Epoch: 2, Rank: 0, Size: 1, Open: true}
			b.fleet.setServers(&fleet.Server{ID: "r0", Service: "model", Capacity: 12, Rank: rank})
		})
		defer reopened.Stop()
		result := b.pipeline.Serve(context.Background(), b.request("stream", 5*time.Second), b.recorder)
		Expect(result.Failure).To(BeNil())
	})

	It("is not awaited after a long outage", func() {
		b := newFixture()
		b.balancer.countRequest("model", "stream", b.request("stream", 8*time.Second), b.now)
		breakGroup(b)
		b.now = b.now.Add(maxOutageToWait)
		result := b.pipeline.Serve(context.Background(), b.request("stream", 5*time.Second), b.recorder)
		Expect(result.Failure.Code).To(Equal(failure.CodeNoServer))
		Expect(result.Failure.Detail).To(ContainSubstring("broken for 10s"))
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
