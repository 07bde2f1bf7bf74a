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
	breakGroup := func(b *bench) {
		b.board.markBroken(b.world.Servers().ByID("r0"), b.now)
	}

	It("is asked by nobody, and callers are told when to come back", func() {
		b := newBench()
		breakGroup(b)
		result := b.serve("stream")
		Expect(result.Failure.Outcome).To(Equal(failure.OutcomeNotRun))
		Expect(result.Failure.RetryAfter).To(BeNumerically(">", 0))
		Expect(result.Failure.RetryAfter).To(BeNumerically("<=", 8*time.Second/3))
	})

	It("is known from one refused request", func() {
		b := newBench(refuses(ResponseInfo{FaultyServer: "r1"}))
		Expect(b.serve("stream").Failure.Outcome).To(Equal(failure.OutcomeNotRun))
		Expect(b.script.attempts).To(HaveLen(1))
	})

	It("takes nothing from the retry budget of requests that can go nowhere", func() {
		const cutOff = 200 // many times what an entry may repeat
		var replies []reply
		for range cutOff {
			replies = append(replies, refuses(ResponseInfo{FaultyServer: "r1"}))
		}
		b := newBench(replies...)
		for range cutOff {
			b.world.setServers(b.world.Servers().ByID("r0"), b.world.Servers().ByID("r1"))
			b.board.groups = map[string]*groupState{} // it has opened, and breaks again
			Expect(b.serve("stream").Failure.Outcome).To(Equal(failure.OutcomeNotRun))
		}
		Expect(b.board.AcquireRetry("model", "florist", b.now)).To(BeTrue())
	})

	It("is waited for by a request that was refused before", func() {
		b := newBench(signed(http.StatusOK, "id: 1\ndata: a\n\n"))
		b.board.countRequest("model", "stream", b.request("stream", 8*time.Second), b.now)
		breakGroup(b)
		b.now = b.now.Add(worthWaiting)
		reopened := time.AfterFunc(groupPoll, func() {
			rank := &fleet.GroupRank{Group: "g", Epoch: 2, Rank: 0, Size: 1, Open: true}
			b.world.setServers(&fleet.Server{ID: "r0", Service: "model", Capacity: 12, Rank: rank})
		})
		defer reopened.Stop()
		result := b.pipeline.Serve(context.Background(), b.request("stream", 5*time.Second), b.caller)
		Expect(result.Failure).To(BeNil())
	})

	It("isn't waited for once it has been broken for longer than outages last", func() {
		b := newBench()
		b.board.countRequest("model", "stream", b.request("stream", 8*time.Second), b.now)
		breakGroup(b)
		b.now = b.now.Add(longestOutage)
		result := b.pipeline.Serve(context.Background(), b.request("stream", 5*time.Second), b.caller)
		Expect(result.Failure.Code).To(Equal(failure.CodeNoServer))
		Expect(result.Failure.Detail).To(ContainSubstring("broken for 10s"))
	})

	It("leaves its requests to the service's other groups", func() {
		for _, brokenFirst := range []bool{true, false} {
			b := newBench(signed(http.StatusOK, "id: 1\ndata: a\n\n"))
			rank := func(group string) *fleet.GroupRank {
				return &fleet.GroupRank{Group: group, Epoch: 1, Size: 1, Open: true}
			}
			well := &fleet.Server{ID: "w", Service: "model", Capacity: 12, Rank: rank("h")}
			broken := &fleet.Server{ID: "r0", Service: "model", Capacity: 12, Rank: rank("g")}
			b.world.setServers(well, broken)
			b.world.allow = func(string, string) ([]*fleet.Server, string) {
				if brokenFirst {
					return []*fleet.Server{broken, well}, ""
				}
				return []*fleet.Server{well, broken}, ""
			}
			breakGroup(b)
			Expect(b.serve("stream").Failure).To(BeNil())
			Expect(b.script.attempts[0].Server.ID).To(Equal("w"))
		}
	})

	It("opens when its epoch has risen, and not by an old report", func() {
		b := newBench()
		breakGroup(b)
		server := b.world.Servers().ByID("r0")
		_, broken := b.board.brokenFor(server, b.now.Add(10*time.Second))
		Expect(broken).To(BeTrue())
		reopened := *server
		reopened.Rank = &fleet.GroupRank{Group: "g", Epoch: 2, Open: true}
		_, broken = b.board.brokenFor(&reopened, b.now)
		Expect(broken).To(BeFalse())
	})

	It("is forgotten once none of its ranks is registered", func() {
		b := newBench()
		breakGroup(b)
		b.board.sawEvent(b.world.servers.ByID("r1"), b.now)
		b.board.Prune(b.world.Servers(), b.now)
		Expect(b.board.groups).To(HaveKey("g"))
		b.board.Prune(fleet.NewServers(nil), b.now)
		Expect(b.board.groups).To(BeEmpty())
		Expect(b.board.eventAt).To(BeEmpty())
	})
})
