package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing/iotest"
	"time"

	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/outcome"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a request", func() {
	It("fails as 'not run' while no configuration is known, never as unauthorized or not found", func() {
		b := newFixture()
		b.fleet.config = nil
		result := b.serve("again")
		Expect(result.Failure.Code).To(Equal(failure.CodeNoServer))
		Expect(result.Failure.Outcome).To(Equal(failure.OutcomeNotRun))
	})

	DescribeTable("is refused", func(change func(*Request), code failure.Code) {
		b := newFixture()
		r := b.request("again", time.Second)
		change(r)
		Expect(b.pipeline.Serve(context.Background(), r, b.recorder).Failure.Code).To(Equal(code))
	},
		Entry("without a route", func(r *Request) { r.Path = "/nowhere/" }, failure.CodeNotFound),
		Entry("on another host", func(r *Request) { r.Host = "other.example" }, failure.CodeNotFound),
		Entry("without a key", func(r *Request) { r.APIKey = "" }, failure.CodeUnauthorized),
		Entry("with a removed key", func(r *Request) { r.APIKey = "old" }, failure.CodeUnauthorized),
	)

	It("has the customer of its key, and none on public routes", func() {
		b := newFixture(respondsSigned(http.StatusOK, "x"), respondsSigned(http.StatusOK, "x"))
		r := b.request("again", time.Second)
		Expect(b.pipeline.Serve(context.Background(), r, b.recorder).Failure).To(BeNil())
		Expect(r.Customer).To(Equal("florist"))
		r = b.request("public", time.Second)
		r.APIKey = ""
		Expect(b.pipeline.Serve(context.Background(), r, b.recorder).Failure).To(BeNil())
		Expect(r.Customer).To(BeEmpty())
	})

	It("is sent with the shorter of the caller's and the route's timeout", func() {
		b := newFixture(respondsSigned(http.StatusOK, ""), respondsSigned(http.StatusOK, ""))
		b.pipeline.Serve(context.Background(), b.request("again", 900*time.Millisecond), b.recorder)
		b.pipeline.Serve(context.Background(), b.request("again", time.Minute), b.recorder)
		Expect(b.backend.attempts[0].Timeout).To(Equal(900 * time.Millisecond))
		Expect(b.backend.attempts[1].Timeout).To(Equal(8 * time.Second))
	})

	Describe("that isn't idempotent", func() {
		It("is never retried once a server may have received it", func() {
			b := newFixture(failsToSend(true))
			result := b.serve("once")
			Expect(result.Failure.Outcome).To(Equal(failure.OutcomeUnknown))
			Expect(b.backend.attempts).To(HaveLen(1))
		})

		It("is retried when the first server can't be reached", func() {
			b := newFixture(failsToSend(false), respondsSigned(http.StatusOK, "done"))
			Expect(b.serve("once").Failure).To(BeNil())
			Expect(b.backend.attempts[1].Server.ID).NotTo(Equal(b.backend.attempts[0].Server.ID))
		})

		It("is retried when the first server reports that it didn't run it", func() {
			b := newFixture(refuses(ResponseInfo{}), respondsSigned(http.StatusOK, "done"))
			Expect(b.serve("once").Failure).To(BeNil())
			Expect(b.recorder.body.String()).To(Equal("done"))
		})

		It("isn't reported as 'not run' because of the status alone", func() {
			b := newFixture(respondsSigned(http.StatusServiceUnavailable, "busy"))
			result := b.serve("once")
			Expect(result.Failure.Outcome).To(Equal(failure.OutcomeUnknown))
			Expect(b.recorder.starts).To(BeZero())
		})

		It("gets a server's error response unchanged", func() {
			b := newFixture(respondsSigned(http.StatusInternalServerError, "oops"))
			Expect(b.serve("once").Failure).To(BeNil())
			Expect(b.recorder.status).To(Equal(http.StatusInternalServerError))
		})
	})

	Describe("that is idempotent", func() {
		It("is retried after an error response", func() {
			b := newFixture(respondsSigned(http.StatusInternalServerError, "oops"), respondsSigned(http.StatusOK, "fine"))
			Expect(b.serve("again").Failure).To(BeNil())
			Expect(b.recorder.body.String()).To(Equal("fine"))
		})

		It("is retried after a truncated response", func() {
			b := newFixture(resetsAfter("ha"), respondsSigned(http.StatusOK, "half and half"))
			Expect(b.serve("again").Failure).To(BeNil())
			Expect(b.recorder.body.String()).To(Equal("half and half"))
		})

		It("gets the last error response when no attempt is left", func() {
			b := newFixture(respondsSigned(http.StatusInternalServerError, "1"), respondsSigned(http.StatusInternalServerError, "2"))
			Expect(b.serve("again").Failure).To(BeNil())
			Expect(b.recorder.body.String()).To(Equal("2"))
		})

		It("isn't reported as 'not run' when an earlier attempt may have run", func() {
			b := newFixture(failsToSend(true), refuses(ResponseInfo{}))
			Expect(b.serve("again").Failure.Outcome).To(Equal(failure.OutcomeUnknown))
		})
	})

	DescribeTable("never gets a foreign or incomplete response", func(r reply) {
		b := newFixture(r)
		result := b.serve("once")
		Expect(result.Failure.Outcome).To(Equal(failure.OutcomeUnknown))
		Expect(b.recorder.starts).To(BeZero())
	},
		Entry("of another request", responds(http.StatusOK, ResponseInfo{Signed: true, RequestID: "other"}, "x", false)),
		Entry("without a signature", responds(http.StatusOK, ResponseInfo{}, "x", false)),
		Entry("with an encoded body", responds(http.StatusOK, ResponseInfo{Signed: true, Encoded: true}, "x", false)),
		Entry("that is truncated", resetsAfter("x")),
	)

	It("is logged with its ID, the configuration and the cause", func() {
		b := newFixture(failsToSend(true))
		b.serve("once")
		line := b.logs.LastEntry()
		Expect(line.Message).To(Equal("request failed"))
		Expect(line.Data).To(HaveKeyWithValue("request", "id-once"))
		Expect(line.Data).To(HaveKeyWithValue("config", int64(7)))
		Expect(line.Data["cause"]).To(ContainSubstring("reset"))
	})
})

var _ = Describe("the log", func() {
	// lines returns the messages about a request with their causes.
	lines := func(b *fixture, id string) []string {
		var found []string
		for _, entry := range b.logs.AllEntries() {
			if entry.Data["request"] == id {
				found = append(found, fmt.Sprintf("%s: %v/%v: %v", entry.Message, entry.Data["outcome"], entry.Data["step"], entry.Data["cause"]))
			}
		}
		return found
	}

	It("links a refused request to the broken group", func() {
		b := newFixture()
		b.balancer.markBroken(b.fleet.Servers().ByID("r0"), b.now)
		b.now = b.now.Add(time.Second)
		b.serve("stream")
		Expect(lines(b, "id-stream")).To(Equal([]string{"request failed: not-run/queue: the group has been broken for 1s"}))
	})

	It("identifies repeated requests by their digest and marks lost connections", func() {
		b := newFixture(failsToSend(true), failsToSend(true))
		for _, id := range []string{"first", "second"} {
			r := b.request("once", 8*time.Second)
			r.ID = id
			b.pipeline.Serve(context.Background(), r, b.recorder)
		}
		var digests []any
		for _, entry := range b.logs.AllEntries() {
			if entry.Message == "attempt failed" {
				Expect(entry.Data).To(HaveKeyWithValue("cut_off", true))
				digests = append(digests, entry.Data["digest"])
			}
		}
		Expect(digests).To(HaveLen(2))
		Expect(digests[0]).To(Equal(digests[1]))
	})

	It("links a truncated stream to its server", func() {
		b := newFixture(resetsAfter("id: 1\ndata: a\n\n"), failsToSend(false))
		b.serve("stream")
		Expect(lines(b, "id-stream")).To(Equal([]string{
			"attempt failed: unknown/relay: connection reset by peer",
			"attempt failed: not-run/send: connection reset by peer",
			"request failed: unknown/route: no server of the service is available",
		}))
		Expect(b.logs.AllEntries()[0].Data).To(HaveKeyWithValue("last_event", int64(1)))
	})

	It("shows what each server's response contributed to a stream", func() {
		b := newFixture(resetsAfter("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), respondsSigned(http.StatusOK, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n"))
		Expect(b.serve("stream").Failure).To(BeNil())
		first, second := b.backend.attempts[0].Server.ID, b.backend.attempts[1].Server.ID
		Expect(b.logs.AllEntries()[0].Data).To(HaveKeyWithValue("part", first+" status=200 framing= events=2 ids=1..2 repeated=0"))
		Expect(b.logs.LastEntry().Data).To(HaveKeyWithValue("parts", []string{
			first + " status=200 framing= events=2 ids=1..2 repeated=0", second + " status=200 framing= events=1 ids=3..3 repeated=1",
		}))
	})

	It("links a lost response to the server that may have run the request", func() {
		b := newFixture(failsToSend(true))
		b.serve("once")
		Expect(lines(b, "id-once")).To(Equal([]string{
			"attempt failed: unknown/run: connection reset by peer",
			"request failed: unknown/run: connection reset by peer",
		}))
		Expect(b.logs.LastEntry().Data["server"]).To(BeElementOf("a", "b"))
	})
})

var _ = Describe("a stream", func() {
	const one, two, three = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"

	It("resumes at another server after its last complete event, without duplicates", func() {
		b := newFixture(resetsAfter(one+two+"id: 3\nda"), respondsSigned(http.StatusOK, two+three))
		Expect(b.serve("stream").Failure).To(BeNil())
		Expect(b.recorder.body.String()).To(Equal(one + two + three))
		Expect(b.recorder.starts).To(Equal(1))
		Expect(b.backend.attempts[1].ResumeAfter).To(Equal(int64(2)))
	})

	It("restarts from the beginning if the caller has received nothing", func() {
		b := newFixture(resetsAfter("id: 1\nda"), respondsSigned(http.StatusOK, one))
		Expect(b.serve("stream").Failure).To(BeNil())
		Expect(b.backend.attempts[1].Resume).To(BeFalse())
		Expect(b.recorder.body.String()).To(Equal(one))
	})

	It("migrates from a rank that slows its group, without lost or duplicate events", func() {
		b := newFixture(respondsSigned(http.StatusOK, one+two+three), respondsSigned(http.StatusOK, two+three))
		var ranks []*fleet.Server
		for i := range 8 {
			ranks = append(ranks, &fleet.Server{ID: fmt.Sprint("r", i), Service: "model", Capacity: 12, Rank: &fleet.GroupRank{Group: "g", Epoch: 1, Open: true}})
		}
		b.fleet.setServers(ranks...)
		b.backend.replies[0] = func(r *Request, a Attempt) (*Response, *SendError) {
			b.balancer.UpdateLoad(a.Server.ID, Load{Slowdown: 8}, b.now)
			return &Response{
				Status: http.StatusOK, Header: http.Header{}, Info: ResponseInfo{Signed: true, RequestID: r.ID}, Length: -1,
				Body: io.NopCloser(iotest.OneByteReader(strings.NewReader(one + two + three))),
			}, nil
		}
		Expect(b.serve("stream").Failure).To(BeNil())
		Expect(b.recorder.body.String()).To(Equal(one + two + three))
		Expect(b.backend.attempts[1].ResumeAfter).To(Equal(int64(1)))
		Expect(b.backend.attempts[1].Server.ID).NotTo(Equal(b.backend.attempts[0].Server.ID))
	})

	It("resumes at another server when it alone stalls", func() {
		b := newFixture(stallsAfter(one+two), respondsSigned(http.StatusOK, three))
		b.pipeline.stallTimeout = 20 * time.Millisecond
		b.balancer.recordEvent(b.fleet.servers.ByID("r1"), b.now)
		Expect(b.serve("stream").Failure).To(BeNil())
		Expect(b.recorder.body.String()).To(Equal(one + two + three))
		Expect(b.backend.attempts[1].ResumeAfter).To(Equal(int64(2)))
		Expect(b.logs.AllEntries()).To(ContainElement(HaveField("Data", HaveKeyWithValue("cause", ContainSubstring("stream stalled")))))
	})

	It("is retried when the VM becomes unresponsive before the first event", func() {
		b := newFixture(hangs, respondsSigned(http.StatusOK, one+two+three))
		b.pipeline.stallTimeout = 20 * time.Millisecond
		b.balancer.recordEvent(b.fleet.servers.ByID("r1"), b.now)
		b.balancer.UpdateLoad("r0", Load{Running: 1}, b.now.Add(-unresponsiveAfter))
		b.balancer.UpdateLoad("r1", Load{Running: 3}, b.now)
		b.balancer.UpdateGroup(fleet.GroupRank{Group: "g", Epoch: 1, Rank: 1, Open: true}, b.now)
		Expect(b.serve("stream").Failure).To(BeNil())
		Expect(b.backend.attempts[0].Server.ID).To(Equal("r0"), "half of the ranks are unresponsive, too many to avoid")
		Expect(b.backend.attempts[1].Server.ID).To(Equal("r1"))
		Expect(b.logs.AllEntries()).To(ContainElement(HaveField("Data", HaveKeyWithValue("cause", ContainSubstring("VM unresponsive")))))
	})

	It("is admitted while passes are slow but slots are free", func() {
		b := newFixture(respondsSigned(http.StatusOK, one+two+three))
		for _, id := range []string{"r0", "r1"} {
			b.balancer.UpdateLoad(id, Load{Running: 7, Slowdown: 3}, b.now)
		}
		Expect(b.serve("stream").Failure).To(BeNil())
	})

	It("waits for its first event while its VM reports load", func() {
		b := newFixture(hangs)
		b.pipeline.stallTimeout = time.Millisecond
		b.balancer.recordEvent(b.fleet.servers.ByID("r1"), b.now)
		b.balancer.UpdateLoad("r0", Load{Running: 1}, b.now)
		b.balancer.UpdateGroup(fleet.GroupRank{Group: "g", Epoch: 1, Rank: 0, Open: true}, b.now)
		r := b.request("stream", 100*time.Millisecond)
		Expect(b.pipeline.Serve(context.Background(), r, b.recorder).Failure.Code).NotTo(Equal(failure.CodeSlow))
		Expect(b.backend.attempts).To(HaveLen(1))
	})

	It("resumes elsewhere while its caller still waits for the next event, and not before", func() {
		for _, gap := range []time.Duration{100 * time.Millisecond, 600 * time.Millisecond} {
			b := newFixture(stallsAfter(one+two), respondsSigned(http.StatusOK, three))
			b.fleet.config.Route("h.example", "/stream/x").AbandonGap = gap
			b.balancer.recordEvent(b.fleet.servers.ByID("r1"), b.now)
			began := time.Now()
			Expect(b.serve("stream").Failure).To(BeNil())
			Expect(time.Since(began)).To(SatisfyAll(BeNumerically(">=", gap/2), BeNumerically("<", gap)))
		}
	})

	It("is no longer monitored once its attempt has ended", func() {
		b := newFixture()
		b.pipeline.stallTimeout = time.Hour
		ended := errors.New("the attempt was ended")
		ctx, end := context.WithCancelCause(context.Background())
		defer end(nil)
		route := b.fleet.config.Route("h.example", "/stream/x")
		detector := b.pipeline.newStallDetector(&exchange{route: route}, b.fleet.servers.ByID("r0"), func(error) { end(ended) })
		detector.recordEvent()
		detector.stop()
		b.pipeline.stallTimeout = 0
		b.balancer.recordEvent(b.fleet.servers.ByID("r1"), b.now)
		detector.check() // the timer fired before stop
		Expect(ctx.Err()).NotTo(HaveOccurred())
		Expect(detector.timer.Stop()).To(BeFalse(), "no timer is left")
	})

	It("is not retried while all streams of its group stall, even if other groups don't", func() {
		b := newFixture(stallsAfter(one))
		b.pipeline.stallTimeout = time.Millisecond
		b.balancer.recordEvent(&fleet.Server{Rank: &fleet.GroupRank{Group: "another"}}, b.now)
		r := b.request("stream", 100*time.Millisecond)
		Expect(b.pipeline.Serve(context.Background(), r, b.recorder).Failure.Code).NotTo(Equal(failure.CodeSlow))
		Expect(b.backend.attempts).To(HaveLen(1))
	})

	It("is aborted if it can't be resumed", func() {
		b := newFixture(resetsAfter(one))
		result := b.serve("fixed")
		Expect(result.Started).To(BeTrue())
		Expect(result.Failure.Outcome).To(Equal(failure.OutcomeUnknown))
	})

	It("is resumed from the caller's last event", func() {
		b := newFixture(respondsSigned(http.StatusOK, three))
		r := b.request("stream", 8*time.Second)
		r.Resume, r.LastEventID = true, 2
		Expect(b.pipeline.Serve(context.Background(), r, b.recorder).Failure).To(BeNil())
		Expect(b.backend.attempts[0].ResumeAfter).To(Equal(int64(2)))
	})
})

var _ = DescribeTable("less urgent requests are refused first", func(route, customer, occupied int, admitted bool) {
	b := newFixture(respondsSigned(http.StatusOK, "id: 1\ndata: x\n\n"))
	urgent, own := 1, customer
	routes := []*fleet.Route{{
		Name: "stream", Host: "h.example", PathPrefix: "/stream/", Kind: fleet.KindStreaming, MaxAttempts: 1, Priority: route,
		Targets: []fleet.Target{{Service: "model", Weight: 1}}, Timeout: 8 * time.Second,
	}}
	keys := map[string]*fleet.Customer{"secret": {Name: "florist"}, "other": {Name: "courier", Priority: &urgent}}
	if customer >= 0 {
		keys["secret"].Priority = &own
	}
	b.fleet.config = fleet.NewConfig(7, fleet.Limits{}, routes, []*fleet.Service{{Name: "model"}}, keys, true)
	for _, id := range []string{"r0", "r1"} {
		b.balancer.UpdateLoad(id, Load{Running: occupied}, b.now)
	}
	result := b.serve("stream")
	if admitted {
		Expect(result.Failure).To(BeNil())
		return
	}
	Expect(result.Failure).NotTo(BeNil())
	Expect(result.Failure.Code).To(Equal(failure.CodeOverloaded))
	Expect(result.Failure.Outcome).To(Equal(failure.OutcomeNotRun))
	Expect(result.Failure.RetryAfter).To(BeNumerically(">", 0))
},
	Entry("the most urgent route", 1, -1, 12, true),
	Entry("a less urgent route, at capacity", 2, -1, 12, false),
	Entry("a less urgent route, below capacity", 2, -1, 11, true),
	Entry("a less urgent route of an urgent customer", 2, 1, 12, true),
	Entry("an urgent route of a less urgent customer", 1, 3, 11, false),
	Entry("any priority, well below capacity", 9, 9, 8, true),
)

var _ = Describe("operators' selectors", func() {
	It("restrict the servers of a request and are logged", func() {
		b := newFixture(respondsSigned(http.StatusOK, "done"))
		b.fleet.allowed = func(service, customer string) ([]*fleet.Server, string) {
			Expect([]string{service, customer}).To(Equal([]string{"plain", "florist"}))
			return []*fleet.Server{b.fleet.servers.ByID("b")}, "by-day"
		}
		Expect(b.serve("once").Failure).To(BeNil())
		Expect(b.backend.attempts[0].Server.ID).To(Equal("b"))
		Expect(b.logs.LastEntry().Data).To(HaveKeyWithValue("rule", "by-day"))
		Expect(b.pipeline.OutcomeCounts()).To(Equal(outcome.Counts{Accepted: 1, Answered: 1}))
	})

	It("refuse a request as 'not run' if they allow no server", func() {
		b := newFixture()
		b.fleet.allowed = func(string, string) ([]*fleet.Server, string) { return nil, "none" }
		f := b.serve("stream").Failure
		Expect(f).NotTo(BeNil())
		Expect(f.Outcome).To(Equal(failure.OutcomeNotRun))
		Expect(f.RetryAfter).To(BeNumerically(">", 0))
		Expect(b.logs.LastEntry().Data).To(HaveKeyWithValue("rule", "none"))
		Expect(b.pipeline.OutcomeCounts()).To(Equal(outcome.Counts{Accepted: 1, NotRun: 1}))
	})
})
