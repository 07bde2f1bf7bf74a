package agent

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/crowbridge/crowbridge/internal/wire"
)

// A server's agent alone decides what starts there, from whichever entry it comes.

func TestAgentKeepsItsServersLimit(t *testing.T) {
	g := NewWithT(t)
	var runs atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.Header().Set("X-Engine-Limit", "0.1")
		fmt.Fprint(w, "done")
	}))
	t.Cleanup(backend.Close)
	b := benchUntil(t.Cleanup, backend.URL, 4)
	for n := range 40 {
		q := ask{idempotent: n%3 == 0}
		if n%3 == 1 {
			q.key = newKey()
		}
		response, _, err := b.try(q)
		g.Expect(err).NotTo(HaveOccurred())
		if response.StatusCode == http.StatusOK {
			continue
		}
		g.Expect(outcomeOf(response)).To(Equal("not-run"))
		hint, err := time.ParseDuration(response.Header.Get(wire.HeaderRetryAfterMs) + "ms")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(hint).To(BeNumerically(">", 0))
	}
	// One that brings the word, and what may come at once after a quiet time.
	g.Expect(runs.Load()).To(BeNumerically("<=", 5), "requests at a server that takes one in 10 s")
}
