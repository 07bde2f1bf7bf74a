package agent

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/headers"
	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
)

func TestAgent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agent")
}

// fixture is an agent in front of a fake backend server.
type fixture struct {
	agent  *Agent
	server *httptest.Server
}

func newFixture(backend http.HandlerFunc, slots int) *fixture {
	server := httptest.NewServer(backend)
	DeferCleanup(server.Close)
	return newFixtureFor(server.URL, slots)
}

func newFixtureFor(backend string, slots int) *fixture {
	return newFixtureWithCleanup(func(stop func()) { DeferCleanup(stop) }, backend, slots)
}

// newFixtureWithCleanup is newFixtureFor with a caller-supplied cleanup registration.
func newFixtureWithCleanup(cleanup func(stop func()), backend string, slots int) *fixture {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	policy := config.Policy{ClockSkewMs: 1, KeyWindowSeconds: 60}.WithDefaults()
	// The agent starts a minute ago, so that it may run keys created now.
	var calls atomic.Int64
	now := func() time.Time {
		if calls.Add(1) == 1 {
			return time.Now().Add(-time.Minute)
		}
		return time.Now()
	}
	a := New(Options{
		Server: "s1", Backend: backend, Protocol: config.ProtocolPlain, Key: "daemon",
		MaxBody: 1 << 20, MaxResponse: 1 << 20, MaxQueued: 100, MaxConcurrency: slots,
	}, policy, now, logrus.NewEntry(logger))
	a.setInherited(nil)
	a.Configure(Configuration{Policy: policy, MaxConcurrency: slots, HomesChange: config.HomesChange{TimeMs: 1}})
	server := httptest.NewServer(a)
	cleanup(server.Close)
	return &fixture{agent: a, server: server}
}

// heldBackend signals each request's arrival and responds when released.
type heldBackend struct {
	arrived, release chan struct{}
	runs             atomic.Int64
}

func newHeldBackend() *heldBackend {
	return &heldBackend{arrived: make(chan struct{}, 8), release: make(chan struct{})}
}

func (h *heldBackend) serve(w http.ResponseWriter, _ *http.Request) {
	h.runs.Add(1)
	h.arrived <- struct{}{}
	<-h.release
	fmt.Fprint(w, "done")
}

type testRequest struct {
	id, key, customer, body string
	idempotent              bool
	budget                  time.Duration
	ctx                     context.Context
}

// do sends a request. It returns nil if there is no response.
func (f *fixture) do(q testRequest) (*http.Response, string) {
	response, body, err := f.try(q)
	Expect(err).NotTo(HaveOccurred())
	return response, body
}

// try is do without assertions, for use outside of Ginkgo.
func (f *fixture) try(q testRequest) (*http.Response, string, error) {
	if q.ctx == nil {
		q.ctx = context.Background()
	}
	if q.budget == 0 {
		q.budget = 10 * time.Second
	}
	if q.id == "" {
		q.id = uuid.NewString()
	}
	request, err := http.NewRequestWithContext(q.ctx, http.MethodPost, f.server.URL+"/dispatch/x", bytes.NewBufferString(q.body))
	if err != nil {
		return nil, "", err
	}
	(&headers.Envelope{
		RequestID: q.id, Customer: q.customer, Weight: 1, Class: config.ClassNormal,
		Budget: q.budget, Idempotent: q.idempotent, Key: q.key, Cost: 1, Server: "s1",
	}).Write(request.Header)
	request.Header.Set(headers.DaemonKey, "daemon")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", nil // canceled, or the connection was dropped
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func outcomeOf(r *http.Response) string { return r.Header.Get(headers.Outcome) }

var _ = Describe("keyed requests", func() {
	It("run once, and their retries get the recorded response", func() {
		var runs atomic.Int64
		f := newFixture(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintf(w, "run %d", runs.Add(1)) }, 4)
		key := newKey()
		for i := range 3 {
			response, body := f.do(testRequest{key: key, body: "x"})
			Expect(outcomeOf(response)).To(Equal("answered"))
			Expect(body).To(Equal("run 1"))
			Expect(response.Header.Get(headers.Replayed) == "1").To(Equal(i > 0))
		}
		Expect(runs.Load()).To(Equal(int64(1)))
	})

	It("are scoped to the customer and bound to the request body", func() {
		var runs atomic.Int64
		f := newFixture(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintf(w, "run %d", runs.Add(1)) }, 4)
		key := newKey()
		_, first := f.do(testRequest{key: key, body: "x", customer: "one"})
		_, second := f.do(testRequest{key: key, body: "x", customer: "two"})
		Expect(first).NotTo(Equal(second))
		response, _ := f.do(testRequest{key: key, body: "other", customer: "one"})
		Expect(response.StatusCode).To(Equal(http.StatusConflict))
	})

	It("wait for a running request with the same key", func() {
		backend := newHeldBackend()
		f := newFixture(backend.serve, 4)
		key := newKey()
		bodies := make(chan string, 2)
		for range 2 {
			go func() {
				defer GinkgoRecover()
				_, body := f.do(testRequest{key: key, body: "x"})
				bodies <- body
			}()
		}
		<-backend.arrived
		close(backend.release)
		Expect(<-bodies).To(Equal("done"))
		Expect(<-bodies).To(Equal("done"))
		Expect(backend.runs.Load()).To(Equal(int64(1)))
	})

	It("continue when the entry disconnects and keep the response for a retry", func() {
		backend := newHeldBackend()
		f := newFixture(backend.serve, 4)
		key := newKey()
		ctx, disconnect := context.WithCancel(context.Background())
		go f.do(testRequest{key: key, body: "x", ctx: ctx})
		<-backend.arrived
		disconnect()
		close(backend.release)
		Eventually(func() string { _, body := f.do(testRequest{key: key, body: "x"}); return body }, "5s").Should(Equal("done"))
		Expect(backend.runs.Load()).To(Equal(int64(1)))
	})

	It("run once and stay unknown when the server drops the connection", func() {
		var runs atomic.Int64
		f := newFixture(func(http.ResponseWriter, *http.Request) { runs.Add(1); panic(http.ErrAbortHandler) }, 4)
		key := newKey()
		for range 3 {
			response, _ := f.do(testRequest{key: key, body: "x"})
			Expect(outcomeOf(response)).To(Equal("unknown"))
		}
		Expect(runs.Load()).To(Equal(int64(1)))
	})

	It("get the server's status and headers, also on replay", func() {
		f := newFixture(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Receipt", "42")
			w.WriteHeader(http.StatusCreated)
		}, 4)
		key := newKey()
		for range 2 {
			response, _ := f.do(testRequest{key: key, body: "x"})
			Expect(response.StatusCode).To(Equal(http.StatusCreated))
			Expect(response.Header.Get("X-Receipt")).To(Equal("42"))
		}
	})

	It("are refused from an entry with different homes unless the key is known", func() {
		var runs atomic.Int64
		f := newFixture(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintf(w, "run %d", runs.Add(1)) }, 4)
		knownKey := newKey()
		f.do(testRequest{key: knownKey, body: "x"})
		f.agent.Configure(Configuration{
			Policy: config.Policy{ClockSkewMs: 1}.WithDefaults(), MaxConcurrency: 4,
			HomesChange: config.HomesChange{Offset: 7, TimeMs: time.Now().UnixMilli()},
		})
		response, _ := f.do(testRequest{key: newKey(), body: "x"}) // the entry is at offset 0
		Expect(response.Header.Get(headers.Code)).To(Equal("stale-configuration"))
		_, body := f.do(testRequest{key: knownKey, body: "x"})
		Expect(body).To(Equal("run 1"))
		Expect(runs.Load()).To(Equal(int64(1)))
	})

	It("are refused at a draining server, which closes the key, unless the key is known", func() {
		f := newFixture(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ran") }, 4)
		knownKey := newKey()
		f.do(testRequest{key: knownKey, body: "x"})
		f.agent.Configure(Configuration{Policy: config.Policy{ClockSkewMs: 1}.WithDefaults(), MaxConcurrency: 4, Draining: true})
		response, _ := f.do(testRequest{key: newKey(), body: "x"})
		Expect(response.Header.Get(headers.KeyClosed)).To(Equal("1"))
		_, body := f.do(testRequest{key: knownKey, body: "x"})
		Expect(body).To(Equal("ran"))
	})

	It("are unknown and not run if created before the agent started", func() {
		var runs atomic.Int64
		f := newFixture(func(http.ResponseWriter, *http.Request) { runs.Add(1) }, 4)
		old := uuid.Must(uuid.NewV7())
		old[3]-- // at least 65 seconds
		old[2]--
		response, _ := f.do(testRequest{key: old.String(), body: "x"})
		Expect(outcomeOf(response)).To(Equal("unknown"))
		Expect(runs.Load()).To(BeZero())
	})

	It("may be retried when the server refused the connection", func() {
		f := newFixtureFor("http://127.0.0.1:1", 4)
		key := newKey()
		for range 2 {
			response, _ := f.do(testRequest{key: key, body: "x"})
			Expect(outcomeOf(response)).To(Equal("not-run"))
		}
	})
})

var _ = Describe("requests", func() {
	It("fail with server-lost when the server drops the connection", func() {
		f := newFixture(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 4)
		response, _ := f.do(testRequest{body: "x"})
		Expect(response.Header.Get(headers.Code)).To(Equal("server-lost"))
	})

	It("get an aborted response and count as unknown when the server drops a stream", func() {
		f := newFixture(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, "id: 1\ndata: x\n\n")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, 4)
		request, err := http.NewRequest(http.MethodPost, f.server.URL+"/x", nil)
		Expect(err).NotTo(HaveOccurred())
		(&headers.Envelope{RequestID: "r", Weight: 1, Budget: time.Second, Cost: 1, Server: "s1"}).Write(request.Header)
		request.Header.Set(headers.DaemonKey, "daemon")
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		_, err = io.ReadAll(response.Body)
		Expect(err).To(HaveOccurred())
		Expect(f.agent.OutcomeCounts().Unknown).To(Equal(int64(1)))
	})

	It("are not run if the caller disconnects while they are queued", func() {
		backend := newHeldBackend()
		f := newFixture(backend.serve, 1)
		go f.do(testRequest{body: "first"})
		<-backend.arrived
		ctx, disconnect := context.WithCancel(context.Background())
		go f.do(testRequest{body: "second", ctx: ctx})
		Eventually(func() int { return f.agent.Load().Queued }, "5s").Should(Equal(1))
		disconnect()
		Eventually(func() int64 { return f.agent.OutcomeCounts().NotRun }, "5s").Should(Equal(int64(1)))
		close(backend.release)
		Eventually(func() int64 { return f.agent.OutcomeCounts().Answered }, "5s").Should(Equal(int64(1)))
		Expect(backend.runs.Load()).To(Equal(int64(1)))
	})

	It("are refused with Retry-After when their deadline passes in the queue", func() {
		backend := newHeldBackend()
		f := newFixture(backend.serve, 1)
		go f.do(testRequest{body: "first"})
		<-backend.arrived
		response, _ := f.do(testRequest{body: "second", budget: 30 * time.Millisecond})
		Expect(outcomeOf(response)).To(Equal("not-run"))
		Expect(response.Header.Get(headers.RetryAfterMs)).NotTo(BeEmpty())
		close(backend.release)
	})

	It("for another server are refused", func() {
		f := newFixture(func(http.ResponseWriter, *http.Request) {}, 1)
		request, err := http.NewRequest(http.MethodPost, f.server.URL+"/x", nil)
		Expect(err).NotTo(HaveOccurred())
		(&headers.Envelope{Weight: 1, Budget: time.Second, Cost: 1, Server: "other"}).Write(request.Header)
		request.Header.Set(headers.DaemonKey, "daemon")
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.Header.Get(headers.Code)).To(Equal("wrong-server"))
	})

	It("without the daemon key are refused", func() {
		f := newFixture(func(http.ResponseWriter, *http.Request) {}, 1)
		response, err := http.Post(f.server.URL, "", nil)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusUnauthorized))
	})
})

var _ = Describe("Configure", func() {
	It("changes the limit of a running agent", func() {
		f := newFixture(func(http.ResponseWriter, *http.Request) {}, 4)
		Expect(f.agent.Load().Limit).To(Equal(4))
		f.agent.Configure(Configuration{Policy: config.Policy{}.WithDefaults(), MaxConcurrency: 2})
		Expect(f.agent.Load().Limit).To(Equal(2))
	})
})

var _ = Describe("Leave", func() {
	It("finishes running requests, refuses new ones, closes keys and reports leaving", func() {
		backend := newHeldBackend()
		f := newFixture(backend.serve, 4)
		first := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			_, body := f.do(testRequest{body: "x"})
			first <- body
		}()
		<-backend.arrived
		idle := f.agent.Leave(time.Now().Add(time.Minute))
		Consistently(idle, "50ms").ShouldNot(BeClosed())
		response, _ := f.do(testRequest{body: "y"})
		Expect(outcomeOf(response)).To(Equal("not-run"))
		Expect(response.Header.Get(headers.Code)).To(Equal("leaving"))
		load, ok := headers.ParseLoadReport(response.Header.Get(headers.Load))
		Expect(ok && load.Leaving).To(BeTrue())
		response, _ = f.do(testRequest{body: "z", key: newKey()})
		Expect(response.Header.Get(headers.KeyClosed)).To(Equal("1"))
		close(backend.release)
		Expect(<-first).To(Equal("done"))
		Eventually(idle, "5s").Should(BeClosed())
	})

	It("refuses as not run what is queued and might not end before the stop does", func() {
		backend := newHeldBackend()
		f := newFixture(backend.serve, 1)
		running, queued := make(chan string, 1), make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			_, body := f.do(testRequest{body: "x"})
			running <- body
		}()
		<-backend.arrived
		go func() {
			defer GinkgoRecover()
			response, _ := f.do(testRequest{body: "y"})
			queued <- outcomeOf(response) + " " + response.Header.Get(headers.Code)
		}()
		Eventually(func() int { return f.agent.Load().Queued }, "5s").Should(Equal(1))
		idle := f.agent.Leave(time.Now().Add(time.Second))
		close(backend.release)
		Expect(<-running).To(Equal("done"))
		Expect(<-queued).To(Equal("not-run leaving"))
		Expect(backend.runs.Load()).To(BeEquivalentTo(1))
		Eventually(idle, "5s").Should(BeClosed())
	})
})
