package dispatch

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
)

var _ = Describe("the time that a refused caller is told", func() {
	serve := func(b *fixture, route string, left time.Duration) *failure.Error {
		f := b.pipeline.Serve(context.Background(), b.request(route, left), &responseRecorder{}).Failure
		Expect(f.Outcome).To(Equal(failure.OutcomeNotRun))
		return f
	}
	elsewhere := SatisfyAll(BeNumerically(">=", LeavingRetryAfter), BeNumerically("<=", 2*LeavingRetryAfter))

	It("is short where another entry can serve it", func() {
		b := newFixture()
		service := b.fleet.config.Service("plain")
		service.MaxConns = 2 // one for this entry
		for _, server := range []string{"a", "b"} {
			b.balancer.RequestSent(server, &Request{}, b.now)
		}
		f := serve(b, "once", 8*time.Second)
		Expect(f.Code).To(Equal(failure.CodeOverloaded))
		Expect(f.RetryAfter).To(elsewhere)
	})

	It("is short after a request was ended by this process's stop", func() {
		b := newFixture(hangs)
		ctx, stop := context.WithCancelCause(context.Background())
		time.AfterFunc(waitPollInterval, func() { stop(ErrLeaving) })
		f := b.pipeline.Serve(ctx, b.request("once", 8*time.Second), b.recorder).Failure
		Expect(f.Code).To(Equal(failure.CodeLeaving))
		Expect(f.RetryAfter).To(elsewhere)
	})

	DescribeTable("lies within the time that the caller heeds while nobody knows when it can be served", func(prepare func(b *fixture)) {
		for _, left := range []time.Duration{600 * time.Millisecond, 8 * time.Second} {
			hints := map[time.Duration]bool{}
			for draw := range 10 {
				b := newFixture()
				prepare(b)
				b.balancer.random = func(n int) int { return n * draw / 10 }
				f := serve(b, "once", left)
				Expect(f.Code).To(Equal(failure.CodeNoServer))
				Expect(f.RetryAfter).To(SatisfyAll(BeNumerically(">=", left/retryAfterDivisor/2), BeNumerically("<=", left/retryAfterDivisor)))
				hints[f.RetryAfter] = true
			}
			Expect(len(hints)).To(BeNumerically(">=", 5), "callers are spread")
		}
	},
		Entry("no server", func(b *fixture) { b.fleet.setServers() }),
		Entry("no configuration yet", func(b *fixture) { b.fleet.config = nil }),
		Entry("no such service", func(b *fixture) {
			routes := []*fleet.Route{b.fleet.config.Route("h.example", "/once/x")}
			b.fleet.config = fleet.NewConfig(8, fleet.Limits{}, routes, nil, map[string]*fleet.Customer{"secret": {Name: "florist"}}, true)
		}),
	)

	It("is when a slot gets free where servers refused it though they should have had room", func() {
		b := newBusyFixture("once", 0, refuses(ResponseInfo{}), refuses(ResponseInfo{}))
		const slots = 12
		f := serve(b, "once", 8*time.Second)
		Expect(f.Code).To(Equal(failure.CodeOverloaded))
		Expect(f.RetryAfter).To(BeNumerically("~", usualWhole/slots, time.Millisecond))
	})

	It("is the end of the rest, spread over no longer than callers have been refused", func() {
		b := newFixture()
		const rest = 3 * time.Second
		for _, server := range []string{"a", "b"} {
			b.balancer.ObserveResponse(server, ResponseInfo{RetryAfter: rest}, b.now)
		}
		b.balancer.random = func(n int) int { return n - 1 }
		for _, lasted := range []time.Duration{0, time.Second, 2500 * time.Millisecond} {
			b.now = time.Unix(1000, 0).Add(lasted)
			hint := serve(b, "once", 30*time.Second).RetryAfter
			Expect(hint).To(BeNumerically(">=", rest-lasted))
			Expect(hint).To(BeNumerically("<=", rest-lasted+min(lasted, rest-lasted)))
		}
	})
})
