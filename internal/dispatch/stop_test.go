package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a planned stop", func() {
	const limit = 4 * time.Second

	It("refuses as not run, at once and with a time to come back, what may not end in time", func() {
		for _, route := range []string{"again", "once", "stream"} {
			b := newFixture()
			b.pipeline.BeginStop(b.pipeline.now().Add(limit - time.Millisecond))
			result := b.pipeline.Serve(context.Background(), b.request(route, limit), b.recorder)
			Expect(result.Failure.Code).To(Equal(failure.CodeLeaving))
			Expect(result.Failure.Outcome).To(Equal(failure.OutcomeNotRun))
			Expect(result.Failure.RetryAfter).To(BeNumerically(">", 0))
			Expect(b.backend.attempts).To(BeEmpty())
		}
	})

	It("passes on what ends in time by its own limit, to the end", func() {
		b := newFixture(respondsSigned(http.StatusOK, "x"))
		b.pipeline.BeginStop(b.pipeline.now().Add(limit + time.Second))
		b.pipeline.ListenerClosed()
		result := b.pipeline.Serve(context.Background(), b.request("again", limit), b.recorder)
		Expect(result.Failure).To(BeNil())
	})

	It("passes on what ends in time by experience, until no connections are accepted", func() {
		b := newFixture(respondsSigned(http.StatusOK, "x"), respondsSigned(http.StatusOK, "x"))
		now := b.pipeline.now()
		earlier := now.Add(-10 * time.Second)
		b.pipeline.durations.End(b.pipeline.durations.Begin("again", earlier), earlier.Add(time.Second), true)
		b.pipeline.BeginStop(now.Add(limit / 2))
		Expect(b.pipeline.Serve(context.Background(), b.request("again", limit), b.recorder).Failure).To(BeNil())
		b.pipeline.ListenerClosed()
		Expect(b.pipeline.Serve(context.Background(), b.request("again", limit), b.recorder).Failure.Code).To(Equal(failure.CodeLeaving))
	})

	It("expects a generation to take as long as its tokens do on a full server", func() {
		for tokens, passedOn := range map[int]bool{100: true, 300: false} {
			b := newFixture(respondsSigned(http.StatusOK, "id: 1\ndata: x\n\n"))
			service := b.fleet.config.Service("model")
			service.Engine = &fleet.EngineModel{Step: 4 * time.Millisecond, StepPerRequest: 500 * time.Microsecond} // 10 ms at 12 requests
			b.pipeline.BeginStop(b.pipeline.now().Add(3 * time.Second))
			r := b.request("stream", limit)
			r.MaxOutputTokens = tokens
			Expect(b.pipeline.Serve(context.Background(), r, b.recorder).Failure == nil).To(Equal(passedOn))
		}
	})

	It("expects a prompt to take as long as engines read it", func() {
		for prompt, passedOn := range map[int]bool{1000: true, 2000: false} {
			b := newFixture(respondsSigned(http.StatusOK, "id: 1\ndata: x\n\n"))
			b.fleet.config.Service("model").Engine = &fleet.EngineModel{Step: 10 * time.Millisecond, ReadPerSecond: 1000}
			b.pipeline.BeginStop(b.pipeline.now().Add(3 * time.Second))
			r := b.request("stream", limit)
			r.PromptTokens, r.MaxOutputTokens = prompt, 100
			Expect(b.pipeline.Serve(context.Background(), r, b.recorder).Failure == nil).To(Equal(passedOn))
		}
	})

	It("sends a request that has been passed on to another server", func() {
		b := newFixture()
		b.backend.replies = []reply{
			func(*Request, Attempt) (*Response, *SendError) {
				b.pipeline.BeginStop(b.pipeline.now().Add(time.Millisecond))
				return nil, &SendError{Sent: true, Err: errReset}
			},
			respondsSigned(http.StatusOK, "x"),
		}
		Expect(b.pipeline.Serve(context.Background(), b.request("again", limit), b.recorder).Failure).To(BeNil())
		Expect(b.backend.attempts).To(HaveLen(2))
	})
})
