package platformdaemon_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/platformdaemon"
	"github.com/crowbridge/crowbridge/platform"
	standin "github.com/crowbridge/crowbridge/standins/platform"
	. "github.com/onsi/gomega"
)

const (
	// The first server announces a limit of limitRate requests per second. Requests are counted
	// from limitSettleTime later, for limitCountTime.
	limitedEntries  = 4
	limitedServers  = 3
	limitRate       = 2
	limitSettleTime = 3 * time.Second
	limitCountTime  = 6 * time.Second
	limitWindow     = 4 * time.Second
	// callersPerEntry callers send one request after the other, callerPause apart.
	callersPerEntry = 3
	callerPause     = 20 * time.Millisecond
)

// limitedServer announces its limit, if set, in each response and records when requests arrive.
type limitedServer struct {
	limit atomic.Value // string

	mu       sync.Mutex
	arrivals []time.Time
}

// ServeHTTP implements http.Handler.
func (s *limitedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	s.mu.Unlock()
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Server-Stamp", "s")
	if limit, _ := s.limit.Load().(string); limit != "" {
		w.Header().Set("Server-Limit", limit)
	}
	fmt.Fprint(w, "response")
}

// countSince returns the number of requests since a time, and the maximum within one limitWindow.
func (s *limitedServer) countSince(from time.Time) (total, maximum int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, end := range s.arrivals {
		if end.Before(from) {
			continue
		}
		total++
		inWindow := 0
		for _, at := range s.arrivals[:i+1] {
			if end.Sub(at) < limitWindow {
				inWindow++
			}
		}
		maximum = max(maximum, inWindow)
	}
	return total, maximum
}

// startEntries starts entries that discover each other and send requests to the servers at the
// addresses. They are stopped at the end of the test.
func startEntries(t *testing.T, addresses []string, config string) []*platform.Settings {
	store := standin.NewStore()
	store.Put(platform.TopicOperators, "config", config)
	for i, address := range addresses {
		store.Put("keyed.servers", fmt.Sprint("i-", i), fmt.Sprintf(
			`{"service":"s","address":%q,"zone":"z","capacity":6,"state":"ready"}`, address))
	}
	address, stop := serve("127.0.0.1:0", store)
	t.Cleanup(stop)
	var entries []*platform.Settings
	startEntry := newStarter(t)
	base := freePorts("127.0.0.80") // the same for all entries, as on the platform
	for i := range limitedEntries {
		settings := entrySettingsAt(fmt.Sprintf("127.0.0.%d", 80+i), base, address)
		settings.Seeds = []string{fmt.Sprintf("127.0.0.80:%d", base+7)}
		startEntry(platformdaemon.NewEntryDaemon(settings, nil, discardLog()))
		entries = append(entries, settings)
	}
	for _, entry := range entries {
		Eventually(readyStatus(entry), testTimeout).Should(Equal(http.StatusOK))
	}
	return entries
}

// startCallers starts callers of each entry that pass on the statuses of responses. The returned
// function stops them.
func startCallers(entries []*platform.Settings, each int, onStatus func(status int)) (stop func()) {
	var callers sync.WaitGroup
	var stopped atomic.Bool
	for _, entry := range entries {
		for range each {
			callers.Go(func() {
				for !stopped.Load() {
					onStatus(postStatus(entry, "/a/x", "a1"))
					time.Sleep(callerPause)
				}
			})
		}
	}
	return func() {
		stopped.Store(true)
		callers.Wait()
	}
}

// A limit that a server announces holds for all entries together, and ends when the server no
// longer announces it.
func TestServersLimitHoldsOverHTTP(t *testing.T) {
	RegisterTestingT(t)
	var servers []*limitedServer
	var addresses []string
	for range limitedServers {
		servers = append(servers, &limitedServer{})
		address, stop := serve("127.0.0.1:0", servers[len(servers)-1])
		t.Cleanup(stop)
		addresses = append(addresses, address)
	}
	entries := startEntries(t, addresses, configVersion(1, `"k1"`))
	t.Cleanup(startCallers(entries, callersPerEntry, func(int) {}))
	Eventually(func() int { total, _ := servers[0].countSince(time.Time{}); return total }, testTimeout).Should(BeNumerically(">", 0))
	servers[0].limit.Store(fmt.Sprint(limitRate))
	time.Sleep(limitSettleTime)
	countStart := time.Now()
	time.Sleep(limitCountTime)
	total, maximum := servers[0].countSince(countStart)
	t.Logf("%d requests in %s, at most %d in %s", total, limitCountTime, maximum, limitWindow)
	Expect(total).To(BeNumerically(">=", int(0.8*limitRate*limitCountTime.Seconds())-1), "the limit is used up")
	Expect(maximum).To(BeNumerically("<=", limitRate*6+5), "requests within 4 s at a server with a limit of %d per second", limitRate)

	// Entries see that the limit has ended only in responses to requests that they still send.
	servers[0].limit.Store("")
	removed := time.Now()
	Eventually(func() int { total, _ := servers[0].countSince(removed); return total }, testTimeout).
		Should(BeNumerically(">", 60), "the server gets its share of requests again")
}
