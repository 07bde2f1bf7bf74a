package agent

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

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
	RegisterTestingT(t)
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
			response, _ := b.do(q)
			replies <- response
		})
	}
	send(ask{})
	Eventually(runs.Load).Should(Equal(int64(1)))
	send(ask{idempotent: true})
	send(ask{key: newKey()})
	Eventually(func() int { return b.agent.Load().Queued }).Should(Equal(2))
	close(release)
	waiting.Wait()
	for range 3 {
		response := <-replies
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	}

	// Those that come later are refused at once, and told when.
	for _, q := range []ask{{}, {idempotent: true}, {key: newKey()}} {
		response, _ := b.do(q)
		Expect(outcomeOf(response)).To(Equal("not-run"))
		hint, err := time.ParseDuration(response.Header.Get(wire.HeaderRetryAfterMs) + "ms")
		Expect(err).NotTo(HaveOccurred())
		Expect(hint).To(BeNumerically(">", 30*time.Second))
	}
	Expect(runs.Load()).To(Equal(int64(1)), "requests that reached the server while it rests")
}
