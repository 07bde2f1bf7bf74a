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
	"github.com/crowbridge/crowbridge/internal/wire"
	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
)

func TestAgent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agent")
}

// bench is an agent before a fake backend server.
type bench struct {
	agent  *Agent
	server *httptest.Server
}

func newBench(backend http.HandlerFunc, slots int) *bench {
	server := httptest.NewServer(backend)
	DeferCleanup(server.Close)
	return benchBefore(server.URL, slots)
}

func benchBefore(backend string, slots int) *bench {
	return benchUntil(func(stop func()) { DeferCleanup(stop) }, backend, slots)
}

// benchUntil is benchBefore for any test; cleanup takes what ends it.
func benchUntil(cleanup func(stop func()), backend string, slots int) *bench {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	policy := config.Policy{ClockSkewMs: 1, KeyWindowSeconds: 60}.WithDefaults()
	// An agent that started a minute ago may run keys made now.
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
	a.recorded(nil)
	a.Configure(Configuration{Policy: policy, MaxConcurrency: slots, HomesChange: config.HomesChange{TimeMs: 1}})
	server := httptest.NewServer(a)
	cleanup(server.Close)
	return &bench{agent: a, server: server}
}

// held is a backend server that says when a request has arrived and answers once
// it's released.
type held struct {
	arrived, release chan struct{}
	runs             atomic.Int64
}

func newHeld() *held {
	return &held{arrived: make(chan struct{}, 8), release: make(chan struct{})}
}

func (h *held) serve(w http.ResponseWriter, _ *http.Request) {
	h.runs.Add(1)
	h.arrived <- struct{}{}
	<-h.release
	fmt.Fprint(w, "done")
}

type ask struct {
	id, key, customer, body string
	idempotent              bool
	budget                  time.Duration
	ctx                     context.Context
}

// do sends a request. It returns nil without an answer.
func (b *bench) do(q ask) (*http.Response, string) {
	response, body, err := b.try(q)
	Expect(err).NotTo(HaveOccurred())
	return response, body
}

// try is do for any test.
func (b *bench) try(q ask) (*http.Response, string, error) {
	if q.ctx == nil {
		q.ctx = context.Background()
	}
	if q.budget == 0 {
		q.budget = 10 * time.Second
	}
	if q.id == "" {
		q.id = uuid.NewString()
	}
	request, err := http.NewRequestWithContext(q.ctx, http.MethodPost, b.server.URL+"/dispatch/x", bytes.NewBufferString(q.body))
	if err != nil {
		return nil, "", err
	}
	(&wire.Envelope{
		RequestID: q.id, Customer: q.customer, Weight: 1, Class: config.ClassNormal,
		Budget: q.budget, Idempotent: q.idempotent, Key: q.key, Cost: 1, Server: "s1",
	}).Write(request.Header)
	request.Header.Set(wire.HeaderAuth, "daemon")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", nil // the caller left, or the connection was cut
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func outcomeOf(r *http.Response) string { return r.Header.Get(wire.HeaderOutcome) }

var _ = Describe("keyed requests", func() {
	It("run once and give the recorded answer to repeats", func() {
		var runs atomic.Int64
		b := newBench(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintf(w, "run %d", runs.Add(1)) }, 4)
		key := newKey()
		for i := range 3 {
			response, body := b.do(ask{key: key, body: "x"})
			Expect(outcomeOf(response)).To(Equal("answered"))
			Expect(body).To(Equal("run 1"))
			Expect(response.Header.Get(wire.HeaderReplayed) == "1").To(Equal(i > 0))
		}
		Expect(runs.Load()).To(Equal(int64(1)))
	})

	It("are kept apart by customer, and bound to their body", func() {
		var runs atomic.Int64
		b := newBench(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintf(w, "run %d", runs.Add(1)) }, 4)
		key := newKey()
		_, first := b.do(ask{key: key, body: "x", customer: "one"})
		_, second := b.do(ask{key: key, body: "x", customer: "two"})
		Expect(first).NotTo(Equal(second))
		response, _ := b.do(ask{key: key, body: "other", customer: "one"})
		Expect(response.StatusCode).To(Equal(http.StatusConflict))
	})

	It("join a request that is still running", func() {
		backend := newHeld()
		b := newBench(backend.serve, 4)
		key := newKey()
		answers := make(chan string, 2)
		for range 2 {
			go func() {
				defer GinkgoRecover()
				_, body := b.do(ask{key: key, body: "x"})
				answers <- body
			}()
		}
		<-backend.arrived
		close(backend.release)
		Expect(<-answers).To(Equal("done"))
		Expect(<-answers).To(Equal("done"))
		Expect(backend.runs.Load()).To(Equal(int64(1)))
	})

	It("go on when their entry dies, and keep the answer for the repeat", func() {
		backend := newHeld()
		b := newBench(backend.serve, 4)
		key := newKey()
		ctx, die := context.WithCancel(context.Background())
		go b.do(ask{key: key, body: "x", ctx: ctx})
		<-backend.arrived
		die()
		close(backend.release)
		Eventually(func() string { _, body := b.do(ask{key: key, body: "x"}); return body }, "5s").Should(Equal("done"))
		Expect(backend.runs.Load()).To(Equal(int64(1)))
	})

	It("are unknown, and stay so, when the server cut the answer", func() {
		var runs atomic.Int64
		b := newBench(func(http.ResponseWriter, *http.Request) { runs.Add(1); panic(http.ErrAbortHandler) }, 4)
		key := newKey()
		for range 3 {
			response, _ := b.do(ask{key: key, body: "x"})
			Expect(outcomeOf(response)).To(Equal("unknown"))
		}
		Expect(runs.Load()).To(Equal(int64(1)))
	})

	It("get the answer's headers too, the first time and again", func() {
		b := newBench(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Receipt", "42")
			w.WriteHeader(http.StatusCreated)
		}, 4)
		key := newKey()
		for range 2 {
			response, _ := b.do(ask{key: key, body: "x"})
			Expect(response.StatusCode).To(Equal(http.StatusCreated))
			Expect(response.Header.Get("X-Receipt")).To(Equal("42"))
		}
	})

	It("are refused from an entry that knows other homes", func() {
		var runs atomic.Int64
		b := newBench(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintf(w, "run %d", runs.Add(1)) }, 4)
		seen := newKey()
		b.do(ask{key: seen, body: "x"})
		b.agent.Configure(Configuration{
			Policy: config.Policy{ClockSkewMs: 1}.WithDefaults(), MaxConcurrency: 4,
			HomesChange: config.HomesChange{Offset: 7, TimeMs: time.Now().UnixMilli()},
		})
		response, _ := b.do(ask{key: newKey(), body: "x"}) // the entry knows offset 0
		Expect(response.Header.Get(wire.HeaderCode)).To(Equal("stale-configuration"))
		_, body := b.do(ask{key: seen, body: "x"})
		Expect(body).To(Equal("run 1"))
		Expect(runs.Load()).To(Equal(int64(1)))
	})

	It("move on from a server that the operators drain, unless it has seen them", func() {
		b := newBench(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ran") }, 4)
		seen := newKey()
		b.do(ask{key: seen, body: "x"})
		b.agent.Configure(Configuration{Policy: config.Policy{ClockSkewMs: 1}.WithDefaults(), MaxConcurrency: 4, Draining: true})
		response, _ := b.do(ask{key: newKey(), body: "x"})
		Expect(response.Header.Get(wire.HeaderKeyClosed)).To(Equal("1"))
		_, body := b.do(ask{key: seen, body: "x"})
		Expect(body).To(Equal("ran"))
	})

	It("name the lost server as the cause, not the caller", func() {
		b := newBench(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 4)
		response, _ := b.do(ask{body: "x"})
		Expect(response.Header.Get(wire.HeaderCode)).To(Equal("server-lost"))
	})

	It("are unknown when made before the agent started", func() {
		var runs atomic.Int64
		b := newBench(func(http.ResponseWriter, *http.Request) { runs.Add(1) }, 4)
		old := uuid.Must(uuid.NewV7())
		old[3]-- // about 65 seconds and more
		old[2]--
		response, _ := b.do(ask{key: old.String(), body: "x"})
		Expect(outcomeOf(response)).To(Equal("unknown"))
		Expect(runs.Load()).To(BeZero())
	})

	It("may be asked again when the server refused the connection", func() {
		b := benchBefore("http://127.0.0.1:1", 4)
		key := newKey()
		for range 2 {
			response, _ := b.do(ask{key: key, body: "x"})
			Expect(outcomeOf(response)).To(Equal("not-run"))
		}
	})
})

var _ = Describe("requests", func() {
	It("are cut, not ended, when the server cuts a stream", func() {
		b := newBench(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, "id: 1\ndata: x\n\n")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, 4)
		request, err := http.NewRequest(http.MethodPost, b.server.URL+"/x", nil)
		Expect(err).NotTo(HaveOccurred())
		(&wire.Envelope{RequestID: "r", Weight: 1, Budget: time.Second, Cost: 1, Server: "s1"}).Write(request.Header)
		request.Header.Set(wire.HeaderAuth, "daemon")
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		_, err = io.ReadAll(response.Body)
		Expect(err).To(HaveOccurred())
		Expect(b.agent.OutcomeCounts().Unknown).To(Equal(int64(1)))
	})

	It("wait their turn and are not run when their caller leaves", func() {
		backend := newHeld()
		b := newBench(backend.serve, 1)
		go b.do(ask{body: "first"})
		<-backend.arrived
		ctx, leave := context.WithCancel(context.Background())
		go b.do(ask{body: "second", ctx: ctx})
		Eventually(func() int { return b.agent.Load().Queued }, "5s").Should(Equal(1))
		leave()
		Eventually(func() int64 { return b.agent.OutcomeCounts().NotRun }, "5s").Should(Equal(int64(1)))
		close(backend.release)
		Eventually(func() int64 { return b.agent.OutcomeCounts().Answered }, "5s").Should(Equal(int64(1)))
		Expect(backend.runs.Load()).To(Equal(int64(1)))
	})

	It("are given up at their deadline in the queue, at once and with a hint", func() {
		backend := newHeld()
		b := newBench(backend.serve, 1)
		go b.do(ask{body: "first"})
		<-backend.arrived
		response, _ := b.do(ask{body: "second", budget: 30 * time.Millisecond})
		Expect(outcomeOf(response)).To(Equal("not-run"))
		Expect(response.Header.Get(wire.HeaderRetryAfterMs)).NotTo(BeEmpty())
		close(backend.release)
	})

	It("meant for another server are refused", func() {
		b := newBench(func(http.ResponseWriter, *http.Request) {}, 1)
		request, err := http.NewRequest(http.MethodPost, b.server.URL+"/x", nil)
		Expect(err).NotTo(HaveOccurred())
		(&wire.Envelope{Weight: 1, Budget: time.Second, Cost: 1, Server: "other"}).Write(request.Header)
		request.Header.Set(wire.HeaderAuth, "daemon")
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.Header.Get(wire.HeaderCode)).To(Equal("wrong-server"))
	})

	It("without the daemon key are refused", func() {
		b := newBench(func(http.ResponseWriter, *http.Request) {}, 1)
		response, err := http.Post(b.server.URL, "", nil)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusUnauthorized))
	})
})

var _ = Describe("a changed configuration", func() {
	It("is in force at a running agent, at once", func() {
		b := newBench(func(http.ResponseWriter, *http.Request) {}, 4)
		Expect(b.agent.Load().Limit).To(Equal(4))
		b.agent.Configure(Configuration{Policy: config.Policy{}.WithDefaults(), MaxConcurrency: 2})
		Expect(b.agent.Load().Limit).To(Equal(2))
	})
})

var _ = Describe("leaving", func() {
	It("finishes what runs, refuses the rest, closes keys, and says so in every answer", func() {
		backend := newHeld()
		b := newBench(backend.serve, 4)
		first := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			_, body := b.do(ask{body: "x"})
			first <- body
		}()
		<-backend.arrived
		idle := b.agent.Leave()
		Consistently(idle, "50ms").ShouldNot(BeClosed())
		response, _ := b.do(ask{body: "y"})
		Expect(outcomeOf(response)).To(Equal("not-run"))
		Expect(response.Header.Get(wire.HeaderCode)).To(Equal("leaving"))
		load, ok := wire.ParseLoad(response.Header.Get(wire.HeaderLoad))
		Expect(ok && load.Leaving).To(BeTrue())
		response, _ = b.do(ask{body: "z", key: newKey()})
		Expect(response.Header.Get(wire.HeaderKeyClosed)).To(Equal("1"))
		close(backend.release)
		Expect(<-first).To(Equal("done"))
		Eventually(idle, "5s").Should(BeClosed())
	})
})
