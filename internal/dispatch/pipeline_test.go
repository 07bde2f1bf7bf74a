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
	It("is answered 'not run' while no configuration is known, never unauthorized or not found", func() {
		b := newBench()
		b.world.config = nil
		result := b.serve("again")
		Expect(result.Failure.Code).To(Equal(failure.CodeNoServer))
		Expect(result.Failure.Outcome).To(Equal(failure.OutcomeNotRun))
	})

	DescribeTable("is refused for what it asks", func(change func(*Request), code failure.Code) {
		b := newBench()
		r := b.request("again", time.Second)
		change(r)
		Expect(b.pipeline.Serve(context.Background(), r, b.caller).Failure.Code).To(Equal(code))
	},
		Entry("without a route", func(r *Request) { r.Path = "/nowhere/" }, failure.CodeNotFound),
		Entry("on another host", func(r *Request) { r.Host = "other.example" }, failure.CodeNotFound),
		Entry("without a key", func(r *Request) { r.APIKey = "" }, failure.CodeUnauthorized),
		Entry("with a removed key", func(r *Request) { r.APIKey = "old" }, failure.CodeUnauthorized),
	)

	It("carries the customer that holds the key, and none on public routes", func() {
		b := newBench(signed(http.StatusOK, "x"), signed(http.StatusOK, "x"))
		r := b.request("again", time.Second)
		Expect(b.pipeline.Serve(context.Background(), r, b.caller).Failure).To(BeNil())
		Expect(r.Customer).To(Equal("florist"))
		r = b.request("public", time.Second)
		r.APIKey = ""
		Expect(b.pipeline.Serve(context.Background(), r, b.caller).Failure).To(BeNil())
		Expect(r.Customer).To(BeEmpty())
	})

	It("gives servers no more time than the caller and the route leave", func() {
		b := newBench(signed(http.StatusOK, ""), signed(http.StatusOK, ""))
		b.pipeline.Serve(context.Background(), b.request("again", 900*time.Millisecond), b.caller)
		b.pipeline.Serve(context.Background(), b.request("again", time.Minute), b.caller)
		Expect(b.script.attempts[0].Timeout).To(Equal(900 * time.Millisecond))
		Expect(b.script.attempts[1].Timeout).To(Equal(8 * time.Second))
	})

	Describe("that isn't idempotent", func() {
		It("is never sent again once a server may have it", func() {
			b := newBench(lost(true))
			result := b.serve("once")
			Expect(result.Failure.Outcome).To(Equal(failure.OutcomeUnknown))
			Expect(b.script.attempts).To(HaveLen(1))
		})

		It("goes to another server when the first wasn't reached", func() {
			b := newBench(lost(false), signed(http.StatusOK, "done"))
			Expect(b.serve("once").Failure).To(BeNil())
			Expect(b.script.attempts[1].Server.ID).NotTo(Equal(b.script.attempts[0].Server.ID))
		})

		It("goes to another server when the first says that it didn't run it", func() {
			b := newBench(refuses(ResponseInfo{}), signed(http.StatusOK, "done"))
			Expect(b.serve("once").Failure).To(BeNil())
			Expect(b.caller.body.String()).To(Equal("done"))
		})

		It("isn't called 'not run' for a status alone", func() {
			b := newBench(signed(http.StatusServiceUnavailable, "busy"))
			result := b.serve("once")
			Expect(result.Failure.Outcome).To(Equal(failure.OutcomeUnknown))
			Expect(b.caller.begun).To(BeZero())
		})

		It("gets a server's own failure unchanged", func() {
			b := newBench(signed(http.StatusInternalServerError, "oops"))
			Expect(b.serve("once").Failure).To(BeNil())
			Expect(b.caller.status).To(Equal(http.StatusInternalServerError))
		})
	})

	Describe("that is idempotent", func() {
		It("goes to another server after a failure", func() {
			b := newBench(signed(http.StatusInternalServerError, "oops"), signed(http.StatusOK, "fine"))
			Expect(b.serve("again").Failure).To(BeNil())
			Expect(b.caller.body.String()).To(Equal("fine"))
		})

		It("goes to another server after an answer that breaks off", func() {
			b := newBench(breaksOff("ha"), signed(http.StatusOK, "half and half"))
			Expect(b.serve("again").Failure).To(BeNil())
			Expect(b.caller.body.String()).To(Equal("half and half"))
		})

		It("gets the last server's failure when no attempt is left", func() {
			b := newBench(signed(http.StatusInternalServerError, "1"), signed(http.StatusInternalServerError, "2"))
			Expect(b.serve("again").Failure).To(BeNil())
			Expect(b.caller.body.String()).To(Equal("2"))
		})

		It("isn't called 'not run' when an earlier attempt may have run", func() {
			b := newBench(lost(true), refuses(ResponseInfo{}))
			Expect(b.serve("again").Failure.Outcome).To(Equal(failure.OutcomeUnknown))
		})
	})

	DescribeTable("never gets an answer that isn't its own or whole", func(r reply) {
		b := newBench(r)
		result := b.serve("once")
		Expect(result.Failure.Outcome).To(Equal(failure.OutcomeUnknown))
		Expect(b.caller.begun).To(BeZero())
	},
		Entry("of another request", answers(http.StatusOK, ResponseInfo{Signed: true, RequestID: "other"}, "x", false)),
		Entry("without a signature", answers(http.StatusOK, ResponseInfo{}, "x", false)),
		Entry("with an encoded body", answers(http.StatusOK, ResponseInfo{Signed: true, Encoded: true}, "x", false)),
		Entry("that breaks off", breaksOff("x")),
	)

	It("has one log line with its ID, the configuration and the cause", func() {
		b := newBench(lost(true))
		b.serve("once")
		line := b.logs.LastEntry()
		Expect(line.Message).To(Equal("request failed"))
		Expect(line.Data).To(HaveKeyWithValue("request", "id-once"))
		Expect(line.Data).To(HaveKeyWithValue("config", int64(7)))
		Expect(line.Data["cause"]).To(ContainSubstring("reset"))
	})
})

var _ = Describe("the log", func() {
	// lines are the messages about a request, with their causes.
	lines := func(b *bench, id string) []string {
		var found []string
		for _, entry := range b.logs.AllEntries() {
			if entry.Data["request"] == id {
				found = append(found, fmt.Sprintf("%s: %v/%v: %v", entry.Message, entry.Data["outcome"], entry.Data["step"], entry.Data["cause"]))
			}
		}
		return found
	}

	It("leads from a refused request to the group that was broken", func() {
		b := newBench()
		b.board.markBroken(b.world.Servers().ByID("r0"), b.now)
		b.now = b.now.Add(time.Second)
		b.serve("stream")
		Expect(lines(b, "id-stream")).To(Equal([]string{"request failed: not-run/queue: the group has been broken for 1s"}))
	})

	It("tells that two requests are the same, and that both were cut off", func() {
		b := newBench(lost(true), lost(true))
		for _, id := range []string{"first", "second"} {
			r := b.request("once", 8*time.Second)
			r.ID = id
			b.pipeline.Serve(context.Background(), r, b.caller)
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

	It("leads from a stream cut off midway to the server that broke it off", func() {
		b := newBench(breaksOff("id: 1\ndata: a\n\n"), lost(false))
		b.serve("stream")
		Expect(lines(b, "id-stream")).To(Equal([]string{
			"attempt failed: unknown/relay: connection reset by peer",
			"attempt failed: not-run/send: connection reset by peer",
			"request failed: unknown/route: no server of the service can take the request",
		}))
		Expect(b.logs.AllEntries()[0].Data).To(HaveKeyWithValue("last_event", int64(1)))
	})

	It("leads from a lost answer to the server that may have run the request", func() {
		b := newBench(lost(true))
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

	It("goes on at another server after its last whole event, each event once", func() {
		b := newBench(breaksOff(one+two+"id: 3\nda"), signed(http.StatusOK, two+three))
		Expect(b.serve("stream").Failure).To(BeNil())
		Expect(b.caller.body.String()).To(Equal(one + two + three))
		Expect(b.caller.begun).To(Equal(1))
		Expect(b.script.attempts[1].ResumeAfter).To(Equal(int64(2)))
	})

	It("asks again from the start when nothing has reached the caller", func() {
		b := newBench(breaksOff("id: 1\nda"), signed(http.StatusOK, one))
		Expect(b.serve("stream").Failure).To(BeNil())
		Expect(b.script.attempts[1].Resume).To(BeFalse())
		Expect(b.caller.body.String()).To(Equal(one))
	})

	It("moves away from a rank that holds its group back, and no event is lost or doubled", func() {
		b := newBench(signed(http.StatusOK, one+two+three), signed(http.StatusOK, two+three))
		var ranks []*fleet.Server
		for i := range 8 {
			ranks = append(ranks, &fleet.Server{ID: fmt.Sprint("r", i), Service: "model", Capacity: 12, Rank: &fleet.GroupRank{Group: "g", Epoch: 1, Open: true}})
		}
		b.world.setServers(ranks...)
		b.script.replies[0] = func(r *Request, a Attempt) (*Response, *SendError) {
			b.board.UpdateLoad(a.Server.ID, Load{Slowdown: 8}, b.now)
			return &Response{
				Status: http.StatusOK, Header: http.Header{}, Info: ResponseInfo{Signed: true, RequestID: r.ID}, Length: -1,
				Body: io.NopCloser(iotest.OneByteReader(strings.NewReader(one + two + three))),
			}, nil
		}
		Expect(b.serve("stream").Failure).To(BeNil())
		Expect(b.caller.body.String()).To(Equal(one + two + three))
		Expect(b.script.attempts[1].ResumeAfter).To(Equal(int64(1)))
		Expect(b.script.attempts[1].Server.ID).NotTo(Equal(b.script.attempts[0].Server.ID))
	})

	It("goes on at another server when it alone falls silent", func() {
		b := newBench(fallsSilent(one+two), signed(http.StatusOK, three))
		b.pipeline.streamStall = 20 * time.Millisecond
		b.board.sawEvent(b.world.servers.ByID("r1"), b.now)
		Expect(b.serve("stream").Failure).To(BeNil())
		Expect(b.caller.body.String()).To(Equal(one + two + three))
		Expect(b.script.attempts[1].ResumeAfter).To(Equal(int64(2)))
		Expect(b.logs.AllEntries()).To(ContainElement(HaveField("Data", HaveKeyWithValue("cause", ContainSubstring("no events")))))
	})

	It("goes to another server when its VM falls silent before the first event", func() {
		b := newBench(hangs, signed(http.StatusOK, one+two+three))
		b.pipeline.streamStall = 20 * time.Millisecond
		b.board.sawEvent(b.world.servers.ByID("r1"), b.now)
		b.board.UpdateLoad("r0", Load{Running: 1}, b.now.Add(-silentAfter))
		b.board.UpdateLoad("r1", Load{Running: 3}, b.now)
		b.board.UpdateGroup(fleet.GroupRank{Group: "g", Epoch: 1, Rank: 1, Open: true}, b.now)
		Expect(b.serve("stream").Failure).To(BeNil())
		Expect(b.script.attempts[0].Server.ID).To(Equal("r0"), "half of the ranks are silent: too many to pass over")
		Expect(b.script.attempts[1].Server.ID).To(Equal("r1"))
		Expect(b.logs.AllEntries()).To(ContainElement(HaveField("Data", HaveKeyWithValue("cause", ContainSubstring("has fallen silent")))))
	})

	It("is admitted while passes are long, as long as there are places: 0.4 of them were the bound before", func() {
		b := newBench(signed(http.StatusOK, one+two+three))
		for _, id := range []string{"r0", "r1"} {
			b.board.UpdateLoad(id, Load{Running: 7, Slowdown: 3}, b.now)
		}
		Expect(b.serve("stream").Failure).To(BeNil())
	})

	It("waits for its first event while its VM tells its load", func() {
		b := newBench(hangs)
		b.pipeline.streamStall = time.Millisecond
		b.board.sawEvent(b.world.servers.ByID("r1"), b.now)
		b.board.UpdateLoad("r0", Load{Running: 1}, b.now)
		b.board.UpdateGroup(fleet.GroupRank{Group: "g", Epoch: 1, Rank: 0, Open: true}, b.now)
		r := b.request("stream", 100*time.Millisecond)
		Expect(b.pipeline.Serve(context.Background(), r, b.caller).Failure.Code).NotTo(Equal(failure.CodeSlow))
		Expect(b.script.attempts).To(HaveLen(1))
	})

	It("isn't watched any more once its attempt has ended", func() {
		b := newBench()
		b.pipeline.streamStall = time.Hour
		ended := errors.New("the attempt was ended")
		ctx, end := context.WithCancelCause(context.Background())
		defer end(nil)
		route := b.world.config.Route("h.example", "/stream/x")
		watch := b.pipeline.newStallWatch(&exchange{route: route}, b.world.servers.ByID("r0"), func(error) { end(ended) })
		watch.sawEvent()
		watch.stop()
		b.pipeline.streamStall = 0
		b.board.sawEvent(b.world.servers.ByID("r1"), b.now)
		watch.check() // was due when stop came
		Expect(ctx.Err()).NotTo(HaveOccurred())
		Expect(watch.timer.Stop()).To(BeFalse(), "no timer is left")
	})

	It("is left alone while all streams of its group are silent, whatever other groups do", func() {
		b := newBench(fallsSilent(one))
		b.pipeline.streamStall = time.Millisecond
		b.board.sawEvent(&fleet.Server{Rank: &fleet.GroupRank{Group: "another"}}, b.now)
		r := b.request("stream", 100*time.Millisecond)
		Expect(b.pipeline.Serve(context.Background(), r, b.caller).Failure.Code).NotTo(Equal(failure.CodeSlow))
		Expect(b.script.attempts).To(HaveLen(1))
	})

	It("that can't be resumed ends visibly broken", func() {
		b := newBench(breaksOff(one))
		result := b.serve("fixed")
		Expect(result.Started).To(BeTrue())
		Expect(result.Failure.Outcome).To(Equal(failure.OutcomeUnknown))
	})

	It("that the caller resumes is asked for from there", func() {
		b := newBench(signed(http.StatusOK, three))
		r := b.request("stream", 8*time.Second)
		r.Resume, r.LastEventID = true, 2
		Expect(b.pipeline.Serve(context.Background(), r, b.caller).Failure).To(BeNil())
		Expect(b.script.attempts[0].ResumeAfter).To(Equal(int64(2)))
	})
})

var _ = DescribeTable("a request that is less urgent gives way first", func(route, customer, occupied int, admitted bool) {
	b := newBench(signed(http.StatusOK, "id: 1\ndata: x\n\n"))
	urgent, own := 1, customer
	routes := []*fleet.Route{{
		Name: "stream", Host: "h.example", PathPrefix: "/stream/", Kind: fleet.KindStreaming, MaxAttempts: 1, Priority: route,
		Targets: []fleet.Target{{Service: "model", Weight: 1}}, Timeout: 8 * time.Second, Objective: 400 * time.Millisecond,
	}}
	keys := map[string]*fleet.Customer{"secret": {Name: "florist"}, "other": {Name: "courier", Priority: &urgent}}
	if customer >= 0 {
		keys["secret"].Priority = &own
	}
	b.world.config = fleet.NewConfig(7, fleet.Limits{}, routes, []*fleet.Service{{Name: "model"}}, keys, true)
	for _, id := range []string{"r0", "r1"} {
		b.board.UpdateLoad(id, Load{Running: occupied}, b.now)
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
	Entry("a less urgent route, full", 2, -1, 12, false),
	Entry("a less urgent route, with room", 2, -1, 11, true),
	Entry("a less urgent route of an urgent customer", 2, 1, 12, true),
	Entry("an urgent route of a less urgent customer", 1, 3, 11, false),
	Entry("however far behind, with room", 9, 9, 8, true),
)

var _ = Describe("operators' selectors", func() {
	It("decide which servers get a request, and the log names the rule", func() {
		b := newBench(signed(http.StatusOK, "done"))
		b.world.allow = func(service, customer string) ([]*fleet.Server, string) {
			Expect([]string{service, customer}).To(Equal([]string{"plain", "florist"}))
			return []*fleet.Server{b.world.servers.ByID("b")}, "by-day"
		}
		Expect(b.serve("once").Failure).To(BeNil())
		Expect(b.script.attempts[0].Server.ID).To(Equal("b"))
		Expect(b.logs.LastEntry().Data).To(HaveKeyWithValue("rule", "by-day"))
		Expect(b.pipeline.OutcomeCounts()).To(Equal(outcome.Counts{Accepted: 1, Answered: 1}))
	})

	It("that allow no server refuse the request truthfully", func() {
		b := newBench()
		b.world.allow = func(string, string) ([]*fleet.Server, string) { return nil, "none" }
		f := b.serve("stream").Failure
		Expect(f).NotTo(BeNil())
		Expect(f.Outcome).To(Equal(failure.OutcomeNotRun))
		Expect(f.RetryAfter).To(BeNumerically(">", 0))
		Expect(b.logs.LastEntry().Data).To(HaveKeyWithValue("rule", "none"))
		Expect(b.pipeline.OutcomeCounts()).To(Equal(outcome.Counts{Accepted: 1, NotRun: 1}))
	})
})
