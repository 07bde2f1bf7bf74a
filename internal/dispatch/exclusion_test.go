package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/crowbridge/crowbridge/internal/clock"
	"github.com/crowbridge/crowbridge/internal/eligibility"
	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a server's self-report", func() {
	const rest = 3 * time.Second
	restReport := ResponseInfo{RetryAfter: rest}
	// reportBeforeSend makes a server report while the connection is established.
	reportBeforeSend := func(b *fixture, info ResponseInfo) reply {
		return func(_ *Request, a Attempt) (*Response, *SendError) {
			b.balancer.ObserveResponse(a.Server.Key(), info, b.now)
			err := a.SendCheck()
			Expect(err).To(HaveOccurred())
			return nil, &SendError{Err: err}
		}
	}
	setResting := func(b *fixture, servers ...string) {
		for _, server := range servers {
			b.balancer.ObserveResponse(server, restReport, b.now)
		}
	}

	DescribeTable("received while the connection is established moves the request to another server",
		func(route string, info ResponseInfo) {
			b := newFixture()
			b.backend.replies = []reply{reportBeforeSend(b, info), respondsSigned(http.StatusOK, "done")}
			Expect(b.serve(route).Failure).To(BeNil())
			Expect(b.backend.attempts[1].Server.ID).NotTo(Equal(b.backend.attempts[0].Server.ID))
			Expect(b.logs.AllEntries()[0].Data).To(HaveKeyWithValue("sent", 0))
		},
		Entry("rest, idempotent", "again", restReport),
		Entry("rest, not idempotent", "once", restReport),
		Entry("leaving, not idempotent", "once", ResponseInfo{Leaving: true}),
	)

	It("received during a retry uses no second retry of the budget", func() {
		b := newFixture()
		b.fleet.setServers(append(b.fleet.servers.OfService("plain"), &fleet.Server{ID: "c", Service: "plain", Capacity: 6, Zone: "z1"})...)
		b.backend.replies = []reply{failsToSend(true), reportBeforeSend(b, restReport), respondsSigned(http.StatusOK, "done")}
		Expect(b.serve("again").Failure).To(BeNil())
		spent := 0
		for _, n := range b.balancer.budgets["plain"].retries {
			spent += n
		}
		Expect(spent).To(Equal(1))
	})

	It("determines the caller's retry hint when no other server is eligible", func() {
		b := newFixture()
		setResting(b, "a")
		b.backend.replies = []reply{reportBeforeSend(b, restReport)}
		f := b.serve("once").Failure
		Expect(f.Code).To(Equal(failure.CodeResting))
		Expect(f.Outcome).To(Equal(failure.OutcomeNotRun))
		Expect(f.RetryAfter).To(BeNumerically(">=", rest))
	})

	It("is not revoked by a successful response", func() {
		b := newFixture()
		setResting(b, "a")
		b.balancer.RecordSuccess("a", time.Millisecond)
		Expect(b.balancer.Exclusion("a", b.now.Add(rest-1))).NotTo(BeNil())
		Expect(b.balancer.Exclusion("a", b.now.Add(rest))).To(BeNil())
	})

	It("gives a short retry hint while another server is eligible", func() {
		refusal := refuses(restReport)
		b := newFixture(refusal, refusal)
		b.fleet.setServers(append(b.fleet.servers.OfService("plain"), &fleet.Server{ID: "c", Service: "plain", Capacity: 6, Zone: "z1"})...)
		f := b.serve("again").Failure
		Expect(f.Code).To(Equal(failure.CodeOverloaded))
		Expect(f.RetryAfter).To(Equal(LeavingRetryAfter), "not the 3 s rest of the servers")
	})

	It("expires also while the VM is suspended", func() {
		steady, boot := time.Unix(1000, 0), time.Duration(0)
		clk, err := clock.NewFrom(func() time.Time { return steady }, func() (time.Duration, error) { return boot, nil })
		Expect(err).NotTo(HaveOccurred())
		b := newFixture(refuses(restReport), respondsSigned(http.StatusOK, "done"))
		b.pipeline.now = clk.Now
		b.now = steady
		b.fleet.setServers(b.fleet.servers.ByID("a"))
		Expect(b.serve("once").Failure).NotTo(BeNil())
		Expect(b.serve("once").Failure.Code).To(Equal(failure.CodeResting))
		steady, boot = steady.Add(time.Second/10), boot+rest
		b.now = steady
		r := b.request("once", 8*time.Second)
		r.ReceivedAt = clk.Now()
		Expect(b.pipeline.Serve(context.Background(), r, b.recorder).Failure).To(BeNil())
	})

	Describe("excluding all other servers", func() {
		It("keeps a stream at a rank that slows its group", func() {
			b := newFixture(respondsSigned(http.StatusOK, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
			group := ranks(8)
			b.fleet.setServers(group...)
			for _, server := range group {
				if server.ID != "r0" {
					setResting(b, server.ID)
				}
			}
			b.balancer.UpdateLoad("r0", Load{Slowdown: 8}, b.now)
			Expect(b.serve("stream").Failure).To(BeNil())
			Expect(b.backend.attempts).To(HaveLen(1))
		})

		It("keeps a stream at a server that stalls", func() {
			b := newFixture(stallsAfter("id: 1\ndata: a\n\n"))
			setResting(b, "r1")
			b.pipeline.stallTimeout = time.Millisecond
			b.balancer.recordEvent(b.fleet.servers.ByID("r1"), b.now)
			r := b.request("stream", 100*time.Millisecond)
			Expect(b.pipeline.Serve(context.Background(), r, b.recorder).Failure.Code).NotTo(Equal(failure.CodeSlow))
			Expect(b.backend.attempts).To(HaveLen(1))
		})

		It("keeps a request at a server that doesn't answer", func() {
			for _, resting := range []bool{true, false} {
				b := newFixture(hangs, respondsSigned(http.StatusOK, "done"))
				if resting {
					setResting(b, "b")
				}
				r := b.request("again", 100*time.Millisecond)
				Expect(b.pipeline.Serve(context.Background(), r, b.recorder).Failure != nil).To(Equal(resting))
				Expect(len(b.backend.attempts) == 1).To(Equal(resting))
			}
		})
	})

	It("is logged, including an invalid value", func() {
		b := newFixture(refuses(ResponseInfo{RetryAfter: rest, InvalidRetryAfter: "soon", Leaving: true}), respondsSigned(http.StatusOK, "done"))
		Expect(b.serve("once").Failure).To(BeNil())
		var messages []string
		for _, entry := range b.logs.AllEntries()[:3] {
			messages = append(messages, entry.Message)
			Expect(entry.Data).To(HaveKey("start"))
		}
		Expect(messages).To(Equal([]string{
			"server sent an invalid Retry-After, ignored", "server is leaving", "server is resting",
		}))
		Expect(b.logs.LastEntry().Data).To(HaveKeyWithValue("barred", 1))
		Expect(b.balancer.ServerStatus(b.backend.attempts[0].Server.ID, b.now).Exclusion.Reason).To(Equal(eligibility.Leaving))
	})

	It("of an unregistered incarnation is kept for a limited time", func() {
		b := newFixture()
		b.balancer.ObserveResponse("a", ResponseInfo{Leaving: true}, b.now)
		none := fleet.NewServers(nil)
		b.balancer.Prune(none, b.now.Add(reportRetention))
		Expect(b.balancer.states).To(HaveKey("a"))
		b.balancer.Prune(none, b.now.Add(reportRetention+1))
		Expect(b.balancer.states).To(BeEmpty())
	})
})
