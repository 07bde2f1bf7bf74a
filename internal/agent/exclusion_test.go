package agent

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/headers"
	"github.com/crowbridge/crowbridge/internal/rpc"
	. "github.com/onsi/gomega"
)

// longRest is a Retry-After, in seconds, that exceeds the duration of these tests.
const longRest = "60"

// restingBackend responds to its first request with Retry-After, once released.
func restingBackend(runs *atomic.Int64, release <-chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if runs.Add(1) > 1 {
			fmt.Fprint(w, "done")
			return
		}
		<-release
		w.Header().Set("Retry-After", longRest)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Guards against starting new or queued requests while the server rests.
func TestAgentSendsNothingToARestingServer(t *testing.T) {
	g := NewWithT(t)
	var runs atomic.Int64
	release := make(chan struct{})
	backend := httptest.NewServer(restingBackend(&runs, release))
	t.Cleanup(backend.Close)
	f := newFixtureWithCleanup(t.Cleanup, backend.URL, 1)

	// One request runs and two are queued, one of them keyed, when the server asks for rest.
	var group sync.WaitGroup
	responses := make(chan *http.Response, 3)
	send := func(q testRequest) {
		group.Go(func() {
			response, _, err := f.try(q)
			if err != nil {
				t.Error(err)
			}
			responses <- response
		})
	}
	send(testRequest{})
	g.Eventually(runs.Load).Should(Equal(int64(1)))
	send(testRequest{idempotent: true})
	send(testRequest{key: newKey()})
	g.Eventually(func() int { return f.agent.Load().Queued }).Should(Equal(2))
	close(release)
	group.Wait()
	for range 3 {
		response := <-responses
		g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	}

	// Later requests are refused immediately with Retry-After.
	for _, q := range []testRequest{{}, {idempotent: true}, {key: newKey()}} {
		response, _, err := f.try(q)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(outcomeOf(response)).To(Equal("not-run"))
		hint, err := time.ParseDuration(response.Header.Get(headers.RetryAfterMs) + "ms")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(hint).To(BeNumerically(">", 30*time.Second))
	}
	g.Expect(runs.Load()).To(Equal(int64(1)), "requests that reached the resting server")
}

// Guards against sending to a leaving server, and against excluding its next process.
func TestAgentSendsNothingToALeavingServer(t *testing.T) {
	g := NewWithT(t)
	var runs atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.Header().Set(headers.ServerLeaving, "1")
		fmt.Fprint(w, "done")
	}))
	address := backend.Listener.Addr().String()
	f := newFixtureWithCleanup(t.Cleanup, backend.URL, 1)
	status := func() int {
		response, _, err := f.try(testRequest{idempotent: true})
		g.Expect(err).NotTo(HaveOccurred())
		return response.StatusCode
	}
	g.Expect(status()).To(Equal(http.StatusOK), "the response that reports leaving is delivered")
	for range 5 {
		g.Expect(status()).To(Equal(http.StatusServiceUnavailable))
	}
	response, _, err := f.try(testRequest{key: newKey()})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Header.Get(headers.KeyClosed)).NotTo(BeEmpty(), "the key is closed for its next home")
	g.Expect(runs.Load()).To(Equal(int64(1)))

	// The next process at the address gets requests.
	backend.Close()
	g.Eventually(func() bool {
		status() // the agent checks for an exit on requests
		f.agent.mu.Lock()
		defer f.agent.mu.Unlock()
		return f.agent.exclusion() == nil
	}, "10s").Should(BeTrue())
	listener, err := net.Listen("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	next := &httptest.Server{Listener: listener, Config: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "done")
	})}}
	next.Start()
	t.Cleanup(next.Close)
	g.Expect(status()).To(Equal(http.StatusOK))
}

// Guards against applying a server's rest to its next process.
func TestRestEndsWhenTheServerExits(t *testing.T) {
	g := NewWithT(t)
	var runs atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.Header().Set("Retry-After", longRest)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	f := newFixtureWithCleanup(t.Cleanup, backend.URL, 1)
	_, _, err := f.try(testRequest{})
	g.Expect(err).NotTo(HaveOccurred())
	control := &ControlServer{Agent: f.agent}
	probe := func() rpc.EngineState {
		reply, err := control.Engine(context.Background(), &rpc.EngineRequest{})
		g.Expect(err).NotTo(HaveOccurred())
		return reply.GetState()
	}
	g.Expect(probe()).To(Equal(rpc.EngineState_ENGINE_STATE_LISTENING), "a resting server is probed")
	g.Expect(f.agent.checkSend(&job{envelope: &headers.Envelope{}})).To(HaveOccurred())
	backend.Close()
	g.Expect(probe()).To(Equal(rpc.EngineState_ENGINE_STATE_ENDED))
	g.Expect(f.agent.checkSend(&job{envelope: &headers.Envelope{}})).To(Succeed())
	g.Expect(runs.Load()).To(Equal(int64(1)))
}
