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

var _ = Describe("a server's own word", func() {
	const rest = 3 * time.Second
	asks := ResponseInfo{RetryAfter: rest}
	// speaksMeanwhile is a server that says something while the request's connection is made.
	speaksMeanwhile := func(b *bench, info ResponseInfo) reply {
		return func(_ *Request, a Attempt) (*Response, *SendError) {
			b.board.ObserveResponse(a.Server.Key(), info, b.now)
			err := a.SendCheck()
			Expect(err).To(HaveOccurred())
			return nil, &SendError{Err: err}
		}
	}
	rests := func(b *bench, servers ...string) {
		for _, server := range servers {
			b.board.ObserveResponse(server, asks, b.now)
		}
	}

	DescribeTable("that comes while a request's connection is made holds it back, and another server gets it",
		func(route string, info ResponseInfo) {
			b := newBench()
			b.script.replies = []reply{speaksMeanwhile(b, info), signed(http.StatusOK, "done")}
			Expect(b.serve(route).Failure).To(BeNil())
			Expect(b.script.attempts[1].Server.ID).NotTo(Equal(b.script.attempts[0].Server.ID))
			Expect(b.logs.AllEntries()[0].Data).To(HaveKeyWithValue("sent", 0))
		},
		Entry("rest, idempotent", "again", asks),
		Entry("rest, not idempotent", "once", asks),
		Entry("leaving, not idempotent", "once", ResponseInfo{Leaving: true}),
	)

	It("that holds a repeat back costs no second part of the retry budget", func() {
		b := newBench()
		b.world.setServers(append(b.world.servers.OfService("plain"), &fleet.Server{ID: "c", Service: "plain", Capacity: 6, Zone: "z1"})...)
		b.script.replies = []reply{lost(true), speaksMeanwhile(b, asks), signed(http.StatusOK, "done")}
		Expect(b.serve("again").Failure).To(BeNil())
		spent := 0
		for _, n := range b.board.budgets["plain"].repeats {
			spent += n
		}
		Expect(spent).To(Equal(1))
	})

	It("is true to the caller when no other server is left", func() {
		b := newBench()
		rests(b, "a")
		b.script.replies = []reply{speaksMeanwhile(b, asks)}
		f := b.serve("once").Failure
		Expect(f.Code).To(Equal(failure.CodeResting))
		Expect(f.Outcome).To(Equal(failure.OutcomeNotRun))
		Expect(f.RetryAfter).To(BeNumerically(">=", rest))
	})

	It("isn't ended by an answer that the server had begun", func() {
		b := newBench()
		rests(b, "a")
		b.board.RecordSuccess("a", time.Millisecond)
		Expect(b.board.Exclusion("a", b.now.Add(rest-1))).NotTo(BeNil())
		Expect(b.board.Exclusion("a", b.now.Add(rest))).To(BeNil())
	})

	It("tells the caller to come back soon while another server takes requests", func() {
		refusal := refuses(asks)
		b := newBench(refusal, refusal)
		b.world.setServers(append(b.world.servers.OfService("plain"), &fleet.Server{ID: "c", Service: "plain", Capacity: 6, Zone: "z1"})...)
		f := b.serve("again").Failure
		Expect(f.Code).To(Equal(failure.CodeOverloaded))
		Expect(f.RetryAfter).To(Equal(noServerRetry), "not the 3 s that the servers want for themselves")
	})

	It("goes on while the VM is suspended", func() {
		steady, boot := time.Unix(1000, 0), time.Duration(0)
		clk, err := clock.NewFrom(func() time.Time { return steady }, func() (time.Duration, error) { return boot, nil })
		Expect(err).NotTo(HaveOccurred())
		b := newBench(refuses(asks), signed(http.StatusOK, "done"))
		b.pipeline.now = clk.Now
		b.now = steady
		b.world.setServers(b.world.servers.ByID("a"))
		Expect(b.serve("once").Failure).NotTo(BeNil())
		Expect(b.serve("once").Failure.Code).To(Equal(failure.CodeResting))
		steady, boot = steady.Add(time.Second/10), boot+rest
		b.now = steady
		r := b.request("once", 8*time.Second)
		r.ReceivedAt = clk.Now()
		Expect(b.pipeline.Serve(context.Background(), r, b.caller).Failure).To(BeNil())
	})

	Describe("that leaves no other server", func() {
		It("leaves a stream with a rank that holds its group back", func() {
			b := newBench(signed(http.StatusOK, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
			group := ranks(8)
			b.world.setServers(group...)
			for _, server := range group {
				if server.ID != "r0" {
					rests(b, server.ID)
				}
			}
			b.board.UpdateLoad("r0", Load{Slowdown: 8}, b.now)
			Expect(b.serve("stream").Failure).To(BeNil())
			Expect(b.script.attempts).To(HaveLen(1))
		})

		It("leaves a stream at a server that has fallen silent", func() {
			b := newBench(fallsSilent("id: 1\ndata: a\n\n"))
			rests(b, "r1")
			b.pipeline.streamStall = time.Millisecond
			b.board.sawEvent(b.world.servers.ByID("r1"), b.now)
			r := b.request("stream", 100*time.Millisecond)
			Expect(b.pipeline.Serve(context.Background(), r, b.caller).Failure.Code).NotTo(Equal(failure.CodeSlow))
			Expect(b.script.attempts).To(HaveLen(1))
		})

		It("gives the first attempt all the time there is", func() {
			b := newBench()
			x := &exchange{request: b.request("again", time.Second), route: b.world.config.Route("h.example", "/again/x")}
			x.Service = "plain"
			bounded := func() bool {
				ctx, cancel := b.pipeline.attemptContext(context.Background(), x, b.world.servers.ByID("a"))
				defer cancel()
				_, has := ctx.Deadline()
				return has
			}
			Expect(bounded()).To(BeTrue())
			rests(b, "b")
			Expect(bounded()).To(BeFalse())
		})
	})

	It("is in the log, also when it can't be read", func() {
		b := newBench(refuses(ResponseInfo{RetryAfter: rest, InvalidRetryAfter: "soon", Leaving: true}), signed(http.StatusOK, "done"))
		Expect(b.serve("once").Failure).To(BeNil())
		var messages []string
		for _, entry := range b.logs.AllEntries()[:3] {
			messages = append(messages, entry.Message)
			Expect(entry.Data).To(HaveKey("start"))
		}
		Expect(messages).To(Equal([]string{
			"server asks for rest in words that can't be read: it isn't kept", "server says that it leaves", "server asks for rest",
		}))
		Expect(b.logs.LastEntry().Data).To(HaveKeyWithValue("barred", 1))
		Expect(b.board.ServerStatus(b.script.attempts[0].Server.ID, b.now).Exclusion.Reason).To(Equal(eligibility.Leaving))
	})

	It("of a start that isn't registered any more is kept for a while, and not for good", func() {
		b := newBench()
		b.board.ObserveResponse("a", ResponseInfo{Leaving: true}, b.now)
		none := fleet.NewServers(nil)
		b.board.Prune(none, b.now.Add(keepNotice))
		Expect(b.board.rows).To(HaveKey("a"))
		b.board.Prune(none, b.now.Add(keepNotice+1))
		Expect(b.board.rows).To(BeEmpty())
	})
})
