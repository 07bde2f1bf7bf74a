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

// The story of a server whose limit nobody kept (internal/dispatch/limit_story_test.go), with
// entries' own connections, the headers that servers send, and what entries tell each other.

const (
	// limitedEntries send to limitedServers, the first of which names a limit of
	// wireLimit requests a second from wireSettles before the count on.
	limitedEntries = 4
	limitedServers = 3
	wireLimit      = 2
	wireSettles    = 3 * time.Second
	wireCounted    = 6 * time.Second
	wireWindow     = 4 * time.Second
	// callersEach entry send one request after the other, callerPause apart.
	callersEach = 3
	callerPause = 20 * time.Millisecond
)

// limitedServer names a limit while it's set, and notes when requests come.
type limitedServer struct {
	limit atomic.Value // a string

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
	fmt.Fprint(w, "an answer")
}

// since counts the requests after a time, and the most of them within one window.
func (s *limitedServer) since(from time.Time) (all, worst int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, end := range s.arrivals {
		if end.Before(from) {
			continue
		}
		all++
		inWindow := 0
		for _, at := range s.arrivals[:i+1] {
			if end.Sub(at) < wireWindow {
				inWindow++
			}
		}
		worst = max(worst, inWindow)
	}
	return all, worst
}

// entriesBefore starts entries that know each other before servers, and callers of each until
// the test ends.
func entriesBefore(t *testing.T, addresses []string, config string) []*platform.Settings {
	store := standin.NewStore()
	store.Put(platform.TopicOperators, "config", config)
	for i, address := range addresses {
		store.Put("keyed.servers", fmt.Sprint("i-", i), fmt.Sprintf(
			`{"service":"s","address":%q,"zone":"z","capacity":6,"state":"ready"}`, address))
	}
	address, stop := serveAt("127.0.0.1:0", store)
	t.Cleanup(stop)
	var entries []*platform.Settings
	startEntry := startTogether(t)
	base := freePorts("127.0.0.80") // the same at all entries, as on the platform
	for i := range limitedEntries {
		settings := entrySettingsAt(fmt.Sprintf("127.0.0.%d", 80+i), base, address)
		settings.Seeds = []string{fmt.Sprintf("127.0.0.80:%d", base+7)}
		startEntry(platformdaemon.NewEntryDaemon(settings, nil, quietLog()))
		entries = append(entries, settings)
	}
	for _, entry := range entries {
		Eventually(ready(entry), patience).Should(Equal(http.StatusOK))
	}
	return entries
}

// callUntilEnd keeps some callers asking each entry, and tells the answers' statuses; the
// function ends them.
func callUntilEnd(entries []*platform.Settings, each int, told func(status int)) (stop func()) {
	var callers sync.WaitGroup
	var over atomic.Bool
	for _, entry := range entries {
		for range each {
			callers.Go(func() {
				for !over.Load() {
					told(askAs(entry, "/a/x", "a1"))
					time.Sleep(callerPause)
				}
			})
		}
	}
	return func() {
		over.Store(true)
		callers.Wait()
	}
}

func TestAServersLimitOverHTTP(t *testing.T) {
	RegisterTestingT(t)
	var servers []*limitedServer
	var addresses []string
	for range limitedServers {
		servers = append(servers, &limitedServer{})
		address, stop := serveAt("127.0.0.1:0", servers[len(servers)-1])
		t.Cleanup(stop)
		addresses = append(addresses, address)
	}
	entries := entriesBefore(t, addresses, configVersion(1, `"k1"`))
	t.Cleanup(callUntilEnd(entries, callersEach, func(int) {}))
	Eventually(func() int { all, _ := servers[0].since(time.Time{}); return all }, patience).Should(BeNumerically(">", 0))
	servers[0].limit.Store(fmt.Sprint(wireLimit))
	time.Sleep(wireSettles)
	counted := time.Now()
	time.Sleep(wireCounted)
	all, worst := servers[0].since(counted)
	t.Logf("%d requests in %s, at most %d in %s", all, wireCounted, worst, wireWindow)
	Expect(all).To(BeNumerically(">=", int(0.8*wireLimit*wireCounted.Seconds())-1), "what may be sent is used")
	Expect(worst).To(BeNumerically("<=", wireLimit*6+5), "requests within 4 s at a server that takes %d a second", wireLimit)

	// It names none any more, which it can only say in answers to requests that it still gets.
	servers[0].limit.Store("")
	ended := time.Now()
	Eventually(func() int { all, _ := servers[0].since(ended); return all }, patience).
		Should(BeNumerically(">", 60), "it gets its share again")
}
