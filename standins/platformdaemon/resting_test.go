package platformdaemon_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/platformdaemon"
	"github.com/crowbridge/crowbridge/platform"
	standin "github.com/crowbridge/crowbridge/standins/platform"
	. "github.com/onsi/gomega"
)

// The story of servers that ask for rest (internal/dispatch/rest_story_test.go), with an
// entry's own connections and the headers that servers send.

const (
	// wireServers are behind the entry; each asks for wireRest at its first request, the
	// last one for lastRest.
	wireServers = 3
	wireRest    = 1500 * time.Millisecond
	lastRest    = 2500 * time.Millisecond
	// wirePace is the pause between requests, which come one after the other: none is on its
	// way as a server speaks.
	wirePace = 20 * time.Millisecond
	// wireRequests last until all have rested.
	wireRequests = 200
)

// restingServer asks for rest at its first request, or says in all its answers that it
// leaves.
type restingServer struct {
	rest   time.Duration
	leaves bool

	mu    sync.Mutex
	count int
	until time.Time
	// against counts requests that came while it rested, or after it said that it leaves.
	against int
}

// ServeHTTP implements http.Handler.
func (s *restingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	if time.Now().Before(s.until) || (s.leaves && s.count > 1) {
		s.against++
	}
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	if s.leaves {
		w.Header().Set("Server-Leaving", "1")
	}
	if s.count == 1 && s.rest > 0 {
		s.until = time.Now().Add(s.rest)
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("Retry-After", strconv.FormatFloat(s.rest.Seconds(), 'f', -1, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("X-Server-Stamp", "s")
	fmt.Fprint(w, "an answer")
}

// seen returns how many requests came, and how many of them against its word.
func (s *restingServer) seen() (count, against int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count, s.against
}

// restLeft returns how much of its rest is left.
func (s *restingServer) restLeft() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Until(s.until)
}

// entryBefore starts an entry before some servers. add adds one more.
func entryBefore(t *testing.T, servers ...*restingServer) (entry *platform.Settings, add func(*restingServer)) {
	store, registered := standin.NewStore(), 0
	serve := func(handler http.Handler) string {
		address, stop := serveAt("127.0.0.1:0", handler)
		t.Cleanup(stop)
		return address
	}
	add = func(server *restingServer) {
		registered++
		store.Put("keyed.servers", fmt.Sprint("i-", registered), fmt.Sprintf(
			`{"service":"s","address":%q,"zone":"z","capacity":6,"state":"ready"}`, serve(server)))
	}
	store.Put(platform.TopicOperators, "config", configVersion(1, `"k1"`))
	for _, server := range servers {
		add(server)
	}
	entry = entrySettings("127.0.0.1", serve(store))
	t.Cleanup(start(platformdaemon.NewEntryDaemon(entry, nil, quietLog())))
	Eventually(ready(entry), patience).Should(Equal(http.StatusOK))
	return entry, add
}

func TestServersRestOverHTTP(t *testing.T) {
	RegisterTestingT(t)
	var servers []*restingServer
	for i := range wireServers {
		rest := wireRest
		if i == wireServers-1 {
			rest = lastRest
		}
		servers = append(servers, &restingServer{rest: rest})
	}
	entry, _ := entryBefore(t, servers...)
	for range wireRequests {
		// The first to have rested is the first that can take a request.
		soonest := servers[0].restLeft()
		for _, server := range servers {
			soonest = min(soonest, server.restLeft())
		}
		status, hint := askForHint(entry, "/a/x")
		if status == http.StatusServiceUnavailable && soonest > 0 {
			Expect(hint).To(BeNumerically(">=", soonest-wirePace), "the time to come back is true")
		}
		time.Sleep(wirePace)
	}
	for i, server := range servers {
		count, against := server.seen()
		Expect(against).To(BeZero(), "requests that reached server %d while it rested", i)
		Expect(count).To(BeNumerically(">", 1), "server %d gets requests once it has rested", i)
	}
}

func TestServerLeavesOverHTTP(t *testing.T) {
	RegisterTestingT(t)
	leaving, next := &restingServer{leaves: true}, &restingServer{}
	entry, add := entryBefore(t, leaving)
	status, _ := askForHint(entry, "/a/x")
	Expect(status).To(Equal(http.StatusOK), "the answer that says so is the caller's")
	for range 10 {
		status, _ = askForHint(entry, "/a/x")
		Expect(status).To(Equal(http.StatusServiceUnavailable), "there is no other server yet")
	}
	add(next)
	Eventually(func() int {
		status, _ := askForHint(entry, "/a/x")
		return status
	}, patience).Should(Equal(http.StatusOK))
	count, against := leaving.seen()
	Expect(count).To(Equal(1))
	Expect(against).To(BeZero())
}

// askForHint sends a request and returns the status and the hint to come back.
func askForHint(s *platform.Settings, path string) (int, time.Duration) {
	request, err := http.NewRequest(http.MethodGet, "http://"+s.Callers+path, nil)
	Expect(err).NotTo(HaveOccurred())
	request.Host = "h.example"
	request.Header.Set("X-Attempt-Id", "a1")
	request.Header.Set("X-Api-Key", "k1")
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		return response.StatusCode, 0 // none was given
	}
	return response.StatusCode, time.Duration(seconds * float64(time.Second))
}
