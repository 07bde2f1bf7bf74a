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

	"github.com/crowbridge/crowbridge/internal/rpc"
	"github.com/crowbridge/crowbridge/internal/wire"
	. "github.com/onsi/gomega"
)

// The story of servers that ask for rest (internal/dispatch/rest_story_test.go) at the door
// of one server: its agent alone decides what starts there, from whichever entry it comes.

// longRest is longer than these tests take, so that nothing may start meanwhile.
const longRest = "60"

// restingBackend answers its first request with a rest that it asks for, once released.
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

func TestAgentLetsItsServerRest(t *testing.T) {
	g := NewWithT(t) // specs that have ended may still be asking
	var runs atomic.Int64
	release := make(chan struct{})
	backend := httptest.NewServer(restingBackend(&runs, release))
	t.Cleanup(backend.Close)
	b := benchUntil(t.Cleanup, backend.URL, 1)

	// One runs and two wait for their turn, one of them with a key, as the server speaks.
	var waiting sync.WaitGroup
	replies := make(chan *http.Response, 3)
	send := func(q ask) {
		waiting.Go(func() {
			response, _, err := b.try(q)
			if err != nil {
				t.Error(err)
			}
			replies <- response
		})
	}
	send(ask{})
	g.Eventually(runs.Load).Should(Equal(int64(1)))
	send(ask{idempotent: true})
	send(ask{key: newKey()})
	g.Eventually(func() int { return b.agent.Load().Queued }).Should(Equal(2))
	close(release)
	waiting.Wait()
	for range 3 {
		response := <-replies
		g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	}

	// Those that come later are refused at once, and told when.
	for _, q := range []ask{{}, {idempotent: true}, {key: newKey()}} {
		response, _, err := b.try(q)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(outcomeOf(response)).To(Equal("not-run"))
		hint, err := time.ParseDuration(response.Header.Get(wire.HeaderRetryAfterMs) + "ms")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(hint).To(BeNumerically(">", 30*time.Second))
	}
	g.Expect(runs.Load()).To(Equal(int64(1)), "requests that reached the server while it rests")
}

func TestAgentSendsNothingToAServerThatLeaves(t *testing.T) {
	g := NewWithT(t)
	var runs atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.Header().Set(wire.HeaderServerLeaving, "1")
		fmt.Fprint(w, "done")
	}))
	address := backend.Listener.Addr().String()
	b := benchUntil(t.Cleanup, backend.URL, 1)
	status := func() int {
		response, _, err := b.try(ask{idempotent: true})
		g.Expect(err).NotTo(HaveOccurred())
		return response.StatusCode
	}
	g.Expect(status()).To(Equal(http.StatusOK), "the answer that says so is the caller's")
	for range 5 {
		g.Expect(status()).To(Equal(http.StatusServiceUnavailable))
	}
	response, _, err := b.try(ask{key: newKey()})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Header.Get(wire.HeaderKeyClosed)).NotTo(BeEmpty(), "a key moves on to its next home")
	g.Expect(runs.Load()).To(Equal(int64(1)))

	// Its next start has said nothing.
	backend.Close()
	g.Eventually(func() bool {
		status() // the agent looks while it's asked
		b.agent.mu.Lock()
		defer b.agent.mu.Unlock()
		return b.agent.bar() == nil
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

func TestARestDoesNotBindTheNextStart(t *testing.T) {
	g := NewWithT(t)
	var runs atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.Header().Set("Retry-After", longRest)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	b := benchUntil(t.Cleanup, backend.URL, 1)
	_, _, err := b.try(ask{})
	g.Expect(err).NotTo(HaveOccurred())
	control := &ControlServer{Agent: b.agent}
	look := func() rpc.EngineState {
		reply, err := control.Engine(context.Background(), &rpc.EngineRequest{})
		g.Expect(err).NotTo(HaveOccurred())
		return reply.GetState()
	}
	g.Expect(look()).To(Equal(rpc.EngineState_ENGINE_STATE_LISTENING), "it's looked at while it rests")
	g.Expect(b.agent.permit(&job{envelope: &wire.Envelope{}})).To(HaveOccurred())
	backend.Close()
	g.Expect(look()).To(Equal(rpc.EngineState_ENGINE_STATE_ENDED))
	g.Expect(b.agent.permit(&job{envelope: &wire.Envelope{}})).To(Succeed())
	g.Expect(runs.Load()).To(Equal(int64(1)))
}
