package agent

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/crowbridge/crowbridge/internal/headers"
)

// Guards against exceeding a server's rate limit with plain, keyed and idempotent requests.
func TestAgentEnforcesServerRateLimit(t *testing.T) {
	g := NewWithT(t)
	var runs atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.Header().Set("X-Engine-Limit", "0.1")
		fmt.Fprint(w, "done")
	}))
	t.Cleanup(backend.Close)
	f := newFixtureWithCleanup(t.Cleanup, backend.URL, 4)
	for n := range 40 {
		q := testRequest{idempotent: n%3 == 0}
		if n%3 == 1 {
			q.key = newKey()
		}
		response, _, err := f.try(q)
		g.Expect(err).NotTo(HaveOccurred())
		if response.StatusCode == http.StatusOK {
			continue
		}
		g.Expect(outcomeOf(response)).To(Equal("not-run"))
		hint, err := time.ParseDuration(response.Header.Get(headers.RetryAfterMs) + "ms")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(hint).To(BeNumerically(">", 0))
	}
	// The first response reports the limit; a short burst may follow.
	g.Expect(runs.Load()).To(BeNumerically("<=", 5), "requests sent to a server with a limit of one per 10 s")
}
