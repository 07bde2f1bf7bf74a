package platformdaemon_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

const (
	skewEntries = 8
	skewServers = 3
	// skewCallers use half of the servers' slots, each with skewRequests requests.
	skewCallers  = 9
	skewRequests = 60
)

// serveOnNewConnections sends each request on a connection of its own, to the entry that choose
// returns, and returns how many were served.
func serveOnNewConnections(d *deployment, choose func(n int) int) int64 {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var callers sync.WaitGroup
	var served, sent atomic.Int64
	for range skewCallers {
		callers.Go(func() {
			for range skewRequests {
				n := sent.Add(1)
				ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
				address := "http://" + d.entries[choose(int(n))].Callers + "/again/x"
				request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewBufferString(fmt.Sprint(n)))
				if err == nil {
					request.Host = "h.example"
					request.Header.Set("X-Attempt-Id", fmt.Sprint("a", d.ids.Add(1)))
					request.Header.Set("X-Api-Key", "k1")
					var response *http.Response
					if response, err = client.Do(request); err == nil {
						_ = response.Body.Close()
					}
					if err == nil && response.StatusCode == http.StatusOK {
						served.Add(1)
					}
				}
				cancel()
			}
		})
	}
	callers.Wait()
	return served.Load()
}

// One entry that gets all new connections must serve what the servers have room for.
func TestEntryWithAllNewConnectionsServesAsBefore(t *testing.T) {
	d := newDeploymentOf(t, skewEntries, skewServers, false)
	before := serveOnNewConnections(d, func(n int) int { return n % skewEntries })
	for entry := range 2 { // another one once the first is out
		after := serveOnNewConnections(d, func(int) int { return entry })
		t.Logf("served at once: %d of %d before, %d at one entry", before, skewCallers*skewRequests, after)
		Expect(4 * after).To(BeNumerically(">=", 3*before))
	}
}
