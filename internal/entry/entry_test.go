package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/crowbridge/crowbridge/internal/entry"
	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/headers"
	"github.com/crowbridge/crowbridge/internal/rpc"
	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/twitchtv/twirp"
)

const completion = `{"model":"petal-7b","max_tokens":3,"messages":[{"role":"user","content":"hello"}]}`

const streamed = `{"model":"petal-7b","max_tokens":3,"stream":true,"messages":[{"role":"user","content":"hello"}]}`

func outcomeOf(response *http.Response) string { return response.Header.Get(headers.Outcome) }

var _ = Describe("an entry", func() {
	It("relays the complete response", func() {
		f := newFixture([]string{fakeAgent(respondWith("complete response"))}, nil)
		response, body := f.post(keyOfRozsa, "/v1/chat/completions", completion, nil)
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(Equal("complete response"))
		Expect(outcomeOf(response)).To(Equal("answered"))
		Expect(response.Header.Get(headers.RequestID)).NotTo(BeEmpty())
	})

	It("reports a refused connection as not-run with Retry-After", func() {
		f := newFixture([]string{deadAddress()}, nil)
		response, body := f.post(keyOfRozsa, "/v1/chat/completions", completion, nil)
		detail := failureIn(body)
		Expect(detail.Outcome).To(Equal("not-run"))
		Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(detail.Code).To(BeElementOf("no-server", "server-lost"))
	})

	It("names the server that refused the connection", func() {
		f := newFixture(nil, []string{deadAddress()})
		_, body := f.post(keyOfRozsa, "/dispatch/x", "slot", header{headers.IdempotencyKey: "k"})
		detail := failureIn(body)
		Expect(detail.Code).To(Equal("server-lost"))
		Expect(detail.Peer).To(Equal("dispatch-1"))
		Expect(detail.Step).To(Equal("send"))
	})

	It("reports unknown and doesn't retry a non-idempotent request when the connection drops after sending", func() {
		var sent atomic.Int64
		agent := func(w http.ResponseWriter, r *http.Request) { sent.Add(1); abortConnection(w, r) }
		f := newFixture(nil, []string{fakeAgent(agent), fakeAgent(agent)})
		_, body := f.post(keyOfRozsa, "/dispatch/x", "slot", nil)
		Expect(failureIn(body).Outcome).To(Equal("unknown"))
		Expect(sent.Load()).To(Equal(int64(1)))
	})

	It("retries an idempotent request on another server when the connection drops", func() {
		f := newFixture([]string{fakeAgent(abortConnection), fakeAgent(respondWith("second"))}, nil)
		for range 8 {
			response, body := f.post(keyOfTulipan, "/v1/chat/completions", completion, header{headers.Idempotent: "true"})
			Expect(outcomeOf(response)).To(Equal("answered"), body)
		}
	})

	It("doesn't report not-run after an attempt that may have run", func() {
		var arrived atomic.Bool
		cut := func(w http.ResponseWriter, r *http.Request) { arrived.Store(true); abortConnection(w, r) }
		refused := refuseWith(failure.NotRun(failure.StepQueue, "", failure.CodeOverloaded, "full"))
		for range 8 {
			f := newFixture([]string{fakeAgent(cut), fakeAgent(refused)}, nil)
			arrived.Store(false)
			_, body := f.post(keyOfTulipan, "/v1/chat/completions", completion, header{headers.Idempotent: "true"})
			Expect(arrived.Load()).To(BeTrue(), "both servers are tried")
			Expect(failureIn(body).Outcome).To(Equal("unknown"))
		}
	})

	It("retries on another server a request that a leaving server refused", func() {
		refused := refuseWith(failure.NotRun(failure.StepQueue, "", failure.CodeLeaving, "leaving"))
		f := newFixture(nil, []string{fakeAgent(refused), fakeAgent(respondWith("ran"))})
		for range 8 {
			_, body := f.post(keyOfTulipan, "/dispatch/x", "slot", nil)
			Expect(body).To(Equal("ran"))
		}
	})

	It("sends nothing to resting servers and refuses immediately while all rest", func() {
		var received atomic.Int64
		resting := func(seconds int) http.HandlerFunc {
			return func(w http.ResponseWriter, _ *http.Request) {
				received.Add(1)
				headers.WriteRest(w.Header(), time.Duration(seconds)*time.Second)
				headers.WriteFailure(w.Header(), failure.NotRun(failure.StepQueue, "", failure.CodeResting, "the server rests"))
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}
		f := newFixture(nil, []string{fakeAgent(resting(60)), fakeAgent(resting(120))})
		for range 8 {
			response, body := f.post(keyOfTulipan, "/dispatch/x", "slot", nil)
			Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
			Expect(failureIn(body).Outcome).To(Equal("not-run"))
			Expect(failureIn(body).Code).To(Equal(string(failure.CodeResting)))
			Expect(failureIn(body).RetryAfterMs).To(BeNumerically("~", 45000, 17000), "time until the first rest ends")
		}
		Expect(received.Load()).To(Equal(int64(2)))
		for _, server := range f.entry.Servers() {
			Expect(server.State).To(Equal("resting"))
		}
		_, reasons, err := f.entry.Explain("tulipan", "", "/dispatch/x")
		Expect(err).NotTo(HaveOccurred())
		Expect(reasons["dispatch-1"]).To(ContainSubstring("is resting"))
	})

	It("accounts for every request with exactly one outcome", func() {
		f := newFixture([]string{fakeAgent(abortConnection), deadAddress(), fakeAgent(respondWith("ok"))}, nil)
		for range 20 {
			f.post(keyOfTulipan, "/v1/chat/completions", completion, nil)
		}
		counts := f.entry.OutcomeCounts()
		Expect(counts.Accepted).To(Equal(int64(20)))
		Expect(counts.InFlight).To(BeZero())
		Expect(counts.Balanced()).To(BeTrue())
	})
})

var _ = Describe("keyed requests", func() {
	It("go to the same home from every entry", func() {
		var seen [3]atomic.Int64
		var agents []string
		for i := range seen {
			agents = append(agents, fakeAgent(func(w http.ResponseWriter, r *http.Request) {
				seen[i].Add(1)
				respondWith("ran")(w, r)
			}))
		}
		first, second := newFixture(nil, agents), newFixture(nil, agents)
		key := uuid.Must(uuid.NewV7()).String()
		for range 5 {
			first.post(keyOfRozsa, "/dispatch/x", "slot", header{headers.IdempotencyKey: key})
			second.post(keyOfRozsa, "/dispatch/x", "slot", header{headers.IdempotencyKey: key})
		}
		homes := 0
		for i := range seen {
			if seen[i].Load() > 0 {
				homes++
			}
		}
		Expect(homes).To(Equal(1))
	})

	It("are unknown and not sent elsewhere when their home is unreachable", func() {
		var sent atomic.Int64
		live := fakeAgent(func(w http.ResponseWriter, r *http.Request) { sent.Add(1); respondWith("ran")(w, r) })
		f := newFixture(nil, []string{deadAddress(), live})
		unknown := 0
		for range 20 {
			response, _ := f.post(keyOfRozsa, "/dispatch/x", "slot", header{headers.IdempotencyKey: uuid.Must(uuid.NewV7()).String()})
			if outcomeOf(response) == "unknown" {
				unknown++
			}
		}
		Expect(unknown).To(BeNumerically(">", 0))
		Expect(sent.Load()).To(Equal(int64(20 - unknown)))
	})

	It("go to the next home only after their home has closed the key", func() {
		var closed, ran atomic.Int64
		leaving := fakeAgent(func(w http.ResponseWriter, _ *http.Request) {
			closed.Add(1)
			w.Header().Set(headers.KeyClosed, "1")
			refuseWith(failure.NotRun(failure.StepQueue, "", failure.CodeLeaving, "leaving"))(w, nil)
		})
		live := fakeAgent(func(w http.ResponseWriter, r *http.Request) { ran.Add(1); respondWith("ran")(w, r) })
		f := newFixture(nil, []string{leaving, live})
		for range 20 {
			response, body := f.post(keyOfRozsa, "/dispatch/x", "slot", header{headers.IdempotencyKey: uuid.Must(uuid.NewV7()).String()})
			Expect(outcomeOf(response)).To(Equal("answered"), body)
		}
		Expect(closed.Load()).To(BeNumerically(">", 0))
		Expect(ran.Load()).To(Equal(int64(20)))
	})

	It("are rejected when the key's timestamp is ahead of the entry's clock", func() {
		f := newFixture(nil, []string{fakeAgent(respondWith("ran"))})
		id := uuid.Must(uuid.NewV7())
		id[1] += 2 // about a day ahead
		response, body := f.post(keyOfRozsa, "/dispatch/x", "slot", header{headers.IdempotencyKey: id.String()})
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
		Expect(failureIn(body).Message).To(ContainSubstring("ahead"))
	})
})

var _ = Describe("Options", func() {
	It("derive the poll interval from the rate", func() {
		Expect(entry.Options{PollsPerSecond: 20}.PollInterval()).To(Equal(50 * time.Millisecond))
	})
})

var _ = Describe("buffered requests", func() {
	It("are canceled at the agent when the caller disconnects", func() {
		arrived, canceled := make(chan struct{}), make(chan struct{})
		agent := fakeAgent(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			close(arrived)
			<-r.Context().Done()
			close(canceled)
		})
		f := newFixture([]string{agent}, nil)
		ctx, disconnect := context.WithCancel(context.Background())
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.address+"/v1/chat/completions", strings.NewReader(completion))
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Authorization", "Bearer "+keyOfTulipan)
		go func() { _, _ = http.DefaultClient.Do(request) }()
		Eventually(arrived, "5s").Should(BeClosed())
		disconnect()
		Eventually(canceled, "5s").Should(BeClosed())
	})
})

var _ = Describe("planned stops", func() {
	It("close open connections after their next response", func() {
		agent := fakeAgent(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "{}") })
		f := newFixture([]string{agent}, nil)
		response, _ := f.post(keyOfRozsa, "/v1/chat/completions", completion, nil)
		Expect(response.Close).To(BeFalse())
		f.entry.Leave(context.Background())
		Expect(f.entry.Ready()).To(BeFalse())
		response, _ = f.post(keyOfRozsa, "/v1/chat/completions", completion, nil)
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(response.Close).To(BeTrue())
	})

	It("send a failure response to requests in flight when the drain timeout expires", func() {
		arrived := make(chan struct{}, 1)
		agent := fakeAgent(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			arrived <- struct{}{}
			<-r.Context().Done()
		})
		f := newFixture([]string{agent}, nil)
		responses := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			response, body := f.post(keyOfRozsa, "/v1/chat/completions", completion, nil)
			Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
			responses <- body
		}()
		<-arrived
		over, cancel := context.WithCancel(context.Background())
		cancel()
		_ = f.entry.Stop(over)
		var body string
		Eventually(responses, "5s").Should(Receive(&body))
		Expect(failureIn(body)).To(HaveField("Code", "leaving"))
		Expect(failureIn(body)).To(HaveField("Outcome", "unknown"))
	})
})

// exitedEngine is the control service of an agent whose server has exited.
type exitedEngine struct{ rpc.Agents }

func (exitedEngine) Engine(context.Context, *rpc.EngineRequest) (*rpc.EngineReply, error) {
	return &rpc.EngineReply{State: rpc.EngineState_ENGINE_STATE_ENDED}, nil
}

func (exitedEngine) Report(context.Context, *rpc.ReportRequest) (*rpc.LoadReport, error) {
	return nil, twirp.NewError(twirp.Unavailable, "not implemented")
}

var _ = Describe("a request that crashes servers", func() {
	It("is quarantined after two crashes, and other requests are served", func() {
		var crashes atomic.Int64
		control := rpc.NewAgentsServer(exitedEngine{})
		agent := func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			switch {
			case strings.HasPrefix(r.URL.Path, control.PathPrefix()):
				r.Body = io.NopCloser(strings.NewReader(string(body)))
				control.ServeHTTP(w, r)
			case err == nil && strings.Contains(string(body), "crash the server"):
				crashes.Add(1)
				refuseWith(failure.Unknown(failure.StepRun, "", failure.CodeServerLost, "EOF"))(w, r)
			default:
				respondWith("served")(w, r)
			}
		}
		f := newFixture(nil, []string{fakeAgent(agent), fakeAgent(agent), fakeAgent(agent), fakeAgent(agent)})
		Eventually(func() string {
			_, body := f.post(keyOfRozsa, "/dispatch/x", "crash the server", nil)
			return failureIn(body).Code
		}, "10s", "300ms").Should(Equal("quarantined"))
		Expect(crashes.Load()).To(Equal(int64(2)))
		_, body := f.post(keyOfTulipan, "/dispatch/x", "another", nil)
		Expect(body).To(Equal("served"))
	})
})
