package dispatch

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
)

const (
	usualFirst = 300 * time.Millisecond
	usualWhole = 1300 * time.Millisecond
)

// slowBody is a body whose parts each take their time on the fixture's clock.
type slowBody struct {
	fixture *fixture
	parts   []string
	delays  []time.Duration
}

func (s *slowBody) Read(p []byte) (int, error) {
	if len(s.parts) == 0 {
		return 0, io.EOF
	}
	s.fixture.now = s.fixture.now.Add(s.delays[0])
	n := copy(p, s.parts[0])
	s.parts, s.delays = s.parts[1:], s.delays[1:]
	return n, nil
}

func (s *slowBody) Close() error { return nil }

// takes responds with a stream of two events after the usual times.
func (b *fixture) takes(r *Request, _ Attempt) (*Response, *SendError) {
	return &Response{
		Status: http.StatusOK, Header: http.Header{}, Info: ResponseInfo{Signed: true, RequestID: r.ID}, Length: -1,
		Body: &slowBody{fixture: b, parts: []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, delays: []time.Duration{usualFirst, usualWhole - usualFirst}},
	}, nil
}

// newBusyFixture returns a fixture that has served a request on a route, and in which all servers of its service
// have a load.
func newBusyFixture(route string, load int, replies ...reply) *fixture {
	b := newFixture()
	b.backend.replies = append([]reply{b.takes, b.takes}, replies...)
	Expect(b.serve(route).Failure).To(BeNil())
	Expect(b.serve(route).Failure).To(BeNil())
	b.setLoad(load)
	return b
}

func (b *fixture) setLoad(load int) {
	for _, server := range b.fleet.Servers().All() {
		b.balancer.UpdateLoad(server.Key(), Load{Running: load}, b.now)
	}
}

// waiting returns the number of waiting streams.
func (b *fixture) waiting() int {
	b.balancer.mu.Lock()
	defer b.balancer.mu.Unlock()
	return len(b.balancer.lines["model"])
}

// prioritize sets the priority of the route "stream", beside an urgent route of the same service.
func (b *fixture) prioritize(priority int) {
	route := *b.fleet.config.Route("h.example", "/stream/x")
	urgent := route
	urgent.Name, urgent.PathPrefix, route.Priority = "urgent", "/urgent/", priority
	b.fleet.config = fleet.NewConfig(8, fleet.Limits{}, []*fleet.Route{&route, &urgent}, []*fleet.Service{{Name: "model"}},
		map[string]*fleet.Customer{"secret": {Name: "florist"}, "other": {Name: "courier"}}, true)
}

var _ = Describe("a request that would wait for a slot", func() {
	served := func() reply { return respondsSigned(http.StatusOK, "id: 1\ndata: a\n\n") }

	DescribeTable("is served if the wait and the work fit into its caller's time, and refused at once otherwise",
		func(route string, load int, left time.Duration, admitted bool, hint time.Duration) {
			for _, longestSeen := range []time.Duration{left, time.Minute} {
				b := newFixture()
				b.backend.replies = []reply{b.takes, served()}
				Expect(b.pipeline.Serve(context.Background(), b.request(route, longestSeen), b.recorder).Failure).To(BeNil())
				b.setLoad(load)
				f := b.pipeline.Serve(context.Background(), b.request(route, left), b.recorder).Failure
				if admitted {
					Expect(f).To(BeNil())
					continue
				}
				Expect(f).NotTo(BeNil())
				Expect([]any{f.Code, f.Outcome}).To(Equal([]any{failure.CodeOverloaded, failure.OutcomeNotRun}))
				Expect(f.RetryAfter).To(BeNumerically("~", hint, 10*time.Millisecond), "when there is room, or as long as callers heed")
			}
		},
		Entry("all slots are taken", "stream", 12, 8*time.Second, true, 0*time.Second),
		Entry("as many wait as run", "stream", 24, 8*time.Second, true, 0*time.Second),
		Entry("they would end after callers abandon a stream", "stream", 28, 8*time.Second, false, 17*usualWhole/12),
		Entry("the first event would be late for a caller with less time", "stream", 24, 1300*time.Millisecond, false, 1300*time.Millisecond/3),
		Entry("the end would be late for a caller with less time", "stream", 24, 2200*time.Millisecond, false, 2200*time.Millisecond/3),
		Entry("a plain request with time", "again", 24, 8*time.Second, true, 0*time.Second),
		Entry("a plain request without", "again", 24, 4*time.Second, false, 4*time.Second/3),
		Entry("one that must not be repeated, with time", "once", 24, 8*time.Second, true, 0*time.Second),
		Entry("one that must not be repeated, without", "once", 24, 4*time.Second, false, 4*time.Second/3),
	)

	It("is refused at once if its caller has less time than the engines need to read its prompt", func() {
		for tokens, admitted := range map[int]bool{900: true, 1100: false} {
			b := newFixture(served())
			b.fleet.config.Service("model").Engine = &fleet.EngineModel{ReadPerSecond: 1000}
			r := b.request("stream", time.Second)
			r.PromptTokens = tokens
			f := b.pipeline.Serve(context.Background(), r, b.recorder).Failure
			Expect(f == nil).To(Equal(admitted))
			if !admitted {
				Expect([]any{f.Code, f.Outcome}).To(Equal([]any{failure.CodeDeadline, failure.OutcomeNotRun}))
			}
		}
	})

	It("is left to the servers while nobody knows how long requests last", func() {
		b := newFixture(served())
		b.setLoad(36)
		Expect(b.serve("stream").Failure).To(BeNil())
	})

	It("and is refused gets its turn behind those that were told before", func() {
		b := newBusyFixture("stream", 28)
		var hints []time.Duration
		for range 4 {
			hints = append(hints, b.serve("stream").Failure.RetryAfter)
		}
		const slots = 24
		for i := range hints[1:] {
			Expect(hints[i+1] - hints[i]).To(BeNumerically("~", usualWhole/slots, 5*time.Millisecond))
		}
	})

	It("waits here for a slot that isn't left to more urgent ones", func() {
		b := newBusyFixture("stream", 0, served())
		b.prioritize(1)
		b.setLoad(12)
		free := time.AfterFunc(2*waitPollInterval, func() { b.setLoad(10) })
		defer free.Stop()
		Expect(b.serve("stream").Failure).To(BeNil())
		Expect(b.logs.LastEntry().Data).To(HaveKey("expected_wait_ms"))
	})

	It("and has the least time left is served first of those that wait, whenever it came", func() {
		b := newBusyFixture("stream", 0, served(), served())
		b.prioritize(1)
		b.setLoad(12)
		var waiting sync.WaitGroup
		for i, left := range []time.Duration{8 * time.Second, 1500 * time.Millisecond} {
			waiting.Go(func() {
				defer GinkgoRecover()
				r := b.request("stream", left)
				Expect(b.pipeline.Serve(context.Background(), r, &responseRecorder{}).Failure).To(BeNil())
			})
			Eventually(b.waiting).Should(Equal(i + 1))
		}
		b.setLoad(11) // one slot that isn't left to more urgent ones
		Eventually(b.backend.count).Should(Equal(3))
		Consistently(b.backend.count, 3*waitPollInterval).Should(Equal(3))
		Expect(b.backend.attempts[2].Timeout).To(Equal(1500 * time.Millisecond))
		b.setLoad(5)
		waiting.Wait()
	})

	It("isn't overtaken by one that comes when a slot gets free and has more time", func() {
		b := newBusyFixture("stream", 0, served(), served())
		b.prioritize(1)
		b.setLoad(12)
		var requests sync.WaitGroup
		serve := func(left time.Duration) {
			requests.Go(func() {
				defer GinkgoRecover()
				Expect(b.pipeline.Serve(context.Background(), b.request("stream", left), &responseRecorder{}).Failure).To(BeNil())
			})
		}
		serve(1500 * time.Millisecond)
		Eventually(b.waiting).Should(Equal(1))
		b.setLoad(11)
		serve(8 * time.Second)
		Eventually(b.backend.count).Should(Equal(3))
		Expect(b.backend.attempts[2].Timeout).To(Equal(1500 * time.Millisecond))
		b.setLoad(5)
		requests.Wait()
	})

	It("may be one of many that wait at once", func() {
		const requests = 40
		var replies []reply
		for range requests {
			replies = append(replies, served())
		}
		b := newBusyFixture("stream", 0, replies...)
		b.fleet.setServers(ranks(8)...)
		b.prioritize(1)
		b.setLoad(12)
		var all sync.WaitGroup
		for range requests {
			all.Go(func() {
				defer GinkgoRecover()
				Expect(b.pipeline.Serve(context.Background(), b.request("stream", 8*time.Second), &responseRecorder{}).Failure).To(BeNil())
			})
		}
		Eventually(b.waiting, 5*time.Second).Should(BeNumerically(">", requests/3))
		for _, load := range []int{9, 0} {
			time.Sleep(2 * waitPollInterval)
			b.setLoad(load)
		}
		all.Wait()
	})

	It("isn't kept waiting for as long as its caller waits when no slot gets free", func() {
		b := newBusyFixture("stream", 0)
		b.prioritize(1)
		b.setLoad(12)
		began := b.now
		b.pipeline.now = func() time.Time { return began.Add(b.advance(waitPollInterval)) }
		f := b.serve("stream").Failure
		Expect(f.Outcome).To(Equal(failure.OutcomeNotRun))
		Expect(b.advance(0)).To(BeNumerically("<=", 1200*time.Millisecond), "half of the time until its caller abandons it")
	})
})

var _ = DescribeTable("of two requests that wait the first is served first", func(first, second place) {
	Expect([]bool{first.before(&second), second.before(&first)}).To(Equal([]bool{true, false}))
},
	Entry("more urgent", place{priorityGap: 0, overShare: true, until: time.Unix(9, 0)}, place{priorityGap: 1, until: time.Unix(5, 0)}),
	Entry("of a customer within its share", place{until: time.Unix(9, 0)}, place{overShare: true, until: time.Unix(5, 0)}),
	Entry("with less time left", place{until: time.Unix(5, 0)}, place{until: time.Unix(9, 0)}),
)
