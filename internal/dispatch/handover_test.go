package dispatch

import (
	"context"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// answersLate sends its header after a time, and then its body in parts, until the attempt has ended.
func answersLate(header time.Duration, part string, parts int, gap time.Duration) reply {
	return func(r *Request, _ Attempt) (*Response, *SendError) {
		time.Sleep(header)
		return &Response{
			Status: http.StatusOK, Header: http.Header{}, Info: ResponseInfo{Signed: true, RequestID: r.ID}, Length: -1,
			Body: &lateBody{stalledBody: stalledBody{events: strings.NewReader("")}, part: part, parts: parts, gap: gap},
		}, nil
	}
}

// newTimedFixture returns a fixture on the machine's clock, which has served idempotent requests that took a time.
func newTimedFixture(usual time.Duration, replies ...reply) *fixture {
	const learned = 2
	b := newFixture()
	b.now = time.Now()
	b.pipeline.now = time.Now
	for range learned {
		b.backend.replies = append(b.backend.replies, answersLate(usual, "x", 1, 0))
	}
	b.backend.replies = append(b.backend.replies, replies...)
	if usual == 0 {
		b.backend.replies = replies
		return b
	}
	for range learned {
		Expect(b.serveFor("again", time.Minute).Failure).To(BeNil())
	}
	b.backend.attempts, b.backend.replies = nil, replies
	return b
}

// serveFor serves a request that is received now and has a time left.
func (b *fixture) serveFor(route string, left time.Duration) Result {
	b.now = time.Now()
	return b.pipeline.Serve(context.Background(), b.request(route, left), &responseRecorder{})
}

var _ = Describe("an idempotent request", func() {
	const usual = 20 * time.Millisecond

	DescribeTable("goes to a second server if the first doesn't begin to answer and there is time for the second, and only then",
		func(usual, left time.Duration, attempts int) {
			b := newTimedFixture(usual, hangs, respondsSigned(http.StatusOK, "done"))
			began := time.Now()
			f := b.serveFor("again", left).Failure
			Expect(f == nil).To(Equal(attempts == 2))
			Expect(b.backend.attempts).To(HaveLen(attempts))
			Expect(time.Since(began)).To(BeNumerically(">=", max(usual, left/2)), "nearly all have answered by then, and there is as much time for a second one")
		},
		Entry("much time", usual, 600*time.Millisecond, 2),
		Entry("time for one only", usual, usual*2, 1),
		Entry("nothing known: both get half of the time", time.Duration(0), 200*time.Millisecond, 2),
	)

	It("keeps a server that has begun to answer, however slowly it goes on", func() {
		const usual = 200 * time.Millisecond
		for _, size := range []int{1, maxBufferedResponse} {
			b := newTimedFixture(usual, answersLate(0, strings.Repeat("x", size), 2, 2*usual))
			Expect(b.serveFor("again", 5*time.Second).Failure).To(BeNil())
			Expect(b.backend.attempts).To(HaveLen(1))
		}
	})

	It("keeps a slow server while the retry budget is used up", func() {
		b := newTimedFixture(usual, answersLate(10*usual, "done", 1, 0))
		for b.balancer.AcquireRetry("plain", "florist", time.Now()) {
			Expect(b.backend.attempts).To(BeEmpty())
		}
		Expect(b.serveFor("again", 5*time.Second).Failure).To(BeNil())
		Expect(b.backend.attempts).To(HaveLen(1))
	})

	It("keeps a server that doesn't answer while no other is eligible", func() {
		for _, resting := range []bool{true, false} {
			b := newTimedFixture(usual, hangs, respondsSigned(http.StatusOK, "done"))
			b.balancer.random = func(int) int { return 0 }
			if resting {
				b.balancer.ObserveResponse("b", ResponseInfo{RetryAfter: time.Minute}, time.Now())
			}
			f := b.serveFor("again", 500*time.Millisecond).Failure
			Expect(f != nil).To(Equal(resting))
			Expect(len(b.backend.attempts) == 1).To(Equal(resting))
		}
	})
})
