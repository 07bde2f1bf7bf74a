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

const (
	// Each of restingServers servers asks for restTime at its first request, the last one for
	// lastRestTime.
	restingServers = 3
	restTime       = 1500 * time.Millisecond
	lastRestTime   = 2500 * time.Millisecond
	// requestInterval is the pause between requests, which are sent in sequence: none is in flight
	// when a server asks for rest.
	requestInterval = 20 * time.Millisecond
	// restRequests take longer than all rests.
	restRequests = 200
)

// restingServer asks for rest at its first request, or announces in each response that it leaves.
type restingServer struct {
	rest    time.Duration
	leaving bool

	mu    sync.Mutex
	count int
	until time.Time
	// violations counts requests that arrived during the rest, or after the first announcement.
	violations int
}

// ServeHTTP implements http.Handler.
func (s *restingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	if time.Now().Before(s.until) || (s.leaving && s.count > 1) {
		s.violations++
	}
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	if s.leaving {
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
	fmt.Fprint(w, "response")
}

// counts returns the numbers of requests and of violations.
func (s *restingServer) counts() (count, violations int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count, s.violations
}

// restLeft returns the remaining rest.
func (s *restingServer) restLeft() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Until(s.until)
}

// startEntryWithServers starts an entry that uses the servers; add registers one more.
func startEntryWithServers(t *testing.T, servers ...*restingServer) (entry *platform.Settings, add func(*restingServer)) {
	store, registered := standin.NewStore(), 0
	serveForTest := func(handler http.Handler) string {
		address, stop := serve("127.0.0.1:0", handler)
		t.Cleanup(stop)
		return address
	}
	add = func(server *restingServer) {
		registered++
		store.Put("keyed.servers", fmt.Sprint("i-", registered), fmt.Sprintf(
			`{"service":"s","address":%q,"zone":"z","capacity":6,"state":"ready"}`, serveForTest(server)))
	}
	store.Put(platform.TopicOperators, "config", configVersion(1, `"k1"`))
	for _, server := range servers {
		add(server)
	}
	entry = entrySettings("127.0.0.1", serveForTest(store))
	t.Cleanup(start(platformdaemon.NewEntryDaemon(entry, nil, discardLog())))
	Eventually(readyStatus(entry), testTimeout).Should(Equal(http.StatusOK))
	return entry, add
}

// A server that asks for rest by Retry-After gets no request until its rest is over.
func TestRestingServerGetsNoRequestsOverHTTP(t *testing.T) {
	RegisterTestingT(t)
	var servers []*restingServer
	for i := range restingServers {
		rest := restTime
		if i == restingServers-1 {
			rest = lastRestTime
		}
		servers = append(servers, &restingServer{rest: rest})
	}
	entry, _ := startEntryWithServers(t, servers...)
	for range restRequests {
		// The server whose rest ends first is the first that can take a request.
		shortest := servers[0].restLeft()
		for _, server := range servers {
			shortest = min(shortest, server.restLeft())
		}
		status, retryAfter := getRetryAfter(entry, "/a/x")
		if status == http.StatusServiceUnavailable && shortest > 0 {
			Expect(retryAfter).To(BeNumerically(">=", shortest-requestInterval), "Retry-After is not before the first rest ends")
		}
		time.Sleep(requestInterval)
	}
	for i, server := range servers {
		count, violations := server.counts()
		Expect(violations).To(BeZero(), "requests that reached server %d while it rested", i)
		Expect(count).To(BeNumerically(">", 1), "server %d gets requests once it has rested", i)
	}
}

// A server that announces that it leaves gets no further request, though it stays registered.
func TestLeavingServerGetsNoRequestsOverHTTP(t *testing.T) {
	RegisterTestingT(t)
	leaving, next := &restingServer{leaving: true}, &restingServer{}
	entry, add := startEntryWithServers(t, leaving)
	status, _ := getRetryAfter(entry, "/a/x")
	Expect(status).To(Equal(http.StatusOK), "the response with the announcement is passed on")
	for range 10 {
		status, _ = getRetryAfter(entry, "/a/x")
		Expect(status).To(Equal(http.StatusServiceUnavailable), "no other server is registered")
	}
	add(next)
	Eventually(func() int {
		status, _ := getRetryAfter(entry, "/a/x")
		return status
	}, testTimeout).Should(Equal(http.StatusOK))
	count, violations := leaving.counts()
	Expect(count).To(Equal(1))
	Expect(violations).To(BeZero())
}

// getRetryAfter sends a request and returns the status and the Retry-After time, 0 if absent.
func getRetryAfter(s *platform.Settings, path string) (int, time.Duration) {
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
		return response.StatusCode, 0
	}
	return response.StatusCode, time.Duration(seconds * float64(time.Second))
}
