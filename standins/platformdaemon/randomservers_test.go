package platformdaemon_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
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
	randomServers = 5
	randomCallers = 16
	// randomTestTime is how long servers change state, maxChangeInterval the longest time between
	// two changes.
	randomTestTime    = 5 * time.Second
	maxChangeInterval = 250 * time.Millisecond
	// randomWorkTime makes some requests run while a server changes state.
	randomWorkTime  = 15 * time.Millisecond
	eventsPerStream = 5
	// inFlightTime is how long after an announcement requests may arrive that were sent before it;
	// the platform's servers allow the same.
	inFlightTime = 500 * time.Millisecond
)

// randomServer randomly refuses requests and asks for rest, announces a limit, aborts streams, or
// announces that it leaves and then restarts under its ID.
type randomServer struct {
	set     *serverSet
	id      string
	rank    int
	address string

	mu      sync.Mutex
	startID int64
	// abortsStreams aborts streams after their next event, unless it is the last.
	abortsStreams bool
	// The server refuses requests until refuseUntil and asks for rest in each refusal.
	refuseUntil time.Time
	rest        time.Duration
	// restSince, leavingSince and limitSince are the times of the first announcements.
	restSince, restUntil, leavingSince time.Time
	leaving                            bool
	// limit is in requests per second, 0 for no limit; limitCount counts requests under it.
	limit      float64
	limitSince time.Time
	limitCount int
}

// serverSet holds the records of all servers.
type serverSet struct {
	store *standin.Store
	// ranks makes the servers the ranks of one group, which respond with streams.
	ranks bool
	mu    sync.Mutex
	runs  map[string]int
	// violations describe requests that a server's announcement excluded.
	violations []string
	rests      int
	left       int
	limits     int
}

// register writes the server's registration. The caller holds mu.
func (s *randomServer) register() {
	service, group := "s", ""
	if s.set.ranks {
		service = "m"
		group = fmt.Sprintf(`,"group":{"name":"g","epoch":1,"rank":%d,"state":"open"},"size":%d`, s.rank, randomServers)
	}
	s.set.store.Put("keyed.servers", s.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"z","capacity":12,"state":"ready","born":%d%s}`, service, s.address, s.startID, group))
}

// ServeHTTP implements http.Handler.
func (s *randomServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if s.tryRefuse(w, id) {
		return
	}
	s.set.mu.Lock()
	s.set.runs[id]++
	s.set.mu.Unlock()
	time.Sleep(randomWorkTime)
	w.Header().Set("X-Server-Stamp", "s")
	if s.set.ranks {
		s.writeStream(w, r)
		return
	}
	fmt.Fprint(w, "response")
}

// writeStream sends a stream, from the event that the request asks for.
func (s *randomServer) writeStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		after = 0 // from the start
	}
	for event := after + 1; event <= eventsPerStream; event++ {
		fmt.Fprintf(w, "id: %d\ndata: x\n\n", event)
		_ = http.NewResponseController(w).Flush() // a failure is seen by the entry
		s.mu.Lock()
		abortsStreams := s.abortsStreams
		s.mu.Unlock()
		if abortsStreams && event < eventsPerStream {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(randomWorkTime / eventsPerStream)
	}
}

// tryRefuse records violations, adds the announcements to the response, and refuses the request in
// a refusal period. It reports whether it refused.
func (s *randomServer) tryRefuse(w http.ResponseWriter, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Before(s.restUntil) && now.Sub(s.restSince) > inFlightTime {
		s.set.recordViolation(fmt.Sprintf("%s of %s, %s after the rest began", id, s.id, now.Sub(s.restSince)))
	}
	if !s.leavingSince.IsZero() && now.Sub(s.leavingSince) > inFlightTime {
		s.set.recordViolation(fmt.Sprintf("%s of %s, %s after it announced that it leaves", id, s.id, now.Sub(s.leavingSince)))
	}
	s.applyLimit(w, id, now)
	if s.leaving {
		if s.leavingSince.IsZero() {
			s.leavingSince = now
		}
		w.Header().Set("Server-Leaving", "1")
	}
	if !now.Before(s.refuseUntil) {
		return false
	}
	if !now.Before(s.restUntil) {
		s.restSince = now
	}
	if until := now.Add(s.rest); until.After(s.restUntil) {
		s.restUntil = until
	}
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("Retry-After", strconv.FormatFloat(s.rest.Seconds(), 'f', 3, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// applyLimit announces the limit and records a violation if requests exceed it by more than half and
// a burst of 5 in flight. The caller holds mu.
func (s *randomServer) applyLimit(w http.ResponseWriter, id string, now time.Time) {
	if s.limit == 0 {
		return
	}
	w.Header().Set("Server-Limit", strconv.FormatFloat(s.limit, 'f', -1, 64))
	if s.limitSince.IsZero() {
		s.limitSince = now // the limit is first announced by this response
	}
	since := now.Sub(s.limitSince)
	if since <= inFlightTime {
		return
	}
	const slack, burst = 1.5, 5
	if s.limitCount++; float64(s.limitCount) > slack*s.limit*since.Seconds()+burst {
		s.set.recordViolation(fmt.Sprintf("%s of %s, request %d in %s since it announced a limit of %g per second", id, s.id, s.limitCount, since, s.limit))
	}
}

func (set *serverSet) recordViolation(text string) {
	set.mu.Lock()
	defer set.mu.Unlock()
	set.violations = append(set.violations, text)
}

// change draws the next change of the server's state.
func (s *randomServer) change(random *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch random.IntN(7) {
	case 2: // the limit ends
		s.limit = 0
	case 3:
		s.limit, s.limitSince, s.limitCount = []float64{0.2, 1, 4, 10}[random.IntN(4)], time.Time{}, 0
		s.set.limits++
	case 1: // ranks start or stop aborting streams
		s.abortsStreams = s.set.ranks && !s.abortsStreams
	case 0: // the server leaves, or restarts
		if s.leaving {
			s.leaving, s.leavingSince, s.restUntil, s.limit = false, time.Time{}, time.Time{}, 0
			s.startID++
			s.register()
			return
		}
		s.leaving = true
		s.set.left++
	default:
		s.rest = time.Duration(200+random.IntN(2300)) * time.Millisecond
		s.refuseUntil = now.Add(time.Duration(random.IntN(1500)) * time.Millisecond)
		s.set.rests++
	}
}

// No request may reach a server that excluded it. Except for streams, none may run twice or fail
// after it ran; no stream may end incomplete without an error.
func TestRandomRestsLeavesAndLimitsAreRespected(t *testing.T) {
	for seed, ranks := range []bool{false, false, true, true} {
		t.Run(fmt.Sprintf("seed %d, ranks of a group: %t", seed, ranks), func(t *testing.T) { testRandomServers(t, uint64(seed), ranks) })
	}
}

func testRandomServers(t *testing.T, seed uint64, ranks bool) {
	RegisterTestingT(t)
	random := rand.New(rand.NewPCG(seed, 1))
	set := &serverSet{store: standin.NewStore(), ranks: ranks, runs: map[string]int{}}
	settings, routes, send := crashConfig, []string{"again", "once"}, postStatus
	if ranks {
		settings, routes, send = groupConfig, []string{"write"}, postStream
	}
	set.store.Put(platform.TopicOperators, "config", settings)
	var servers []*randomServer
	for i := range randomServers {
		s := &randomServer{set: set, id: fmt.Sprint("i-", i), rank: i, startID: 1}
		address, stop := serve("127.0.0.1:0", s)
		t.Cleanup(stop)
		s.address = address
		s.register()
		servers = append(servers, s)
	}
	address, stop := serve("127.0.0.1:0", set.store)
	t.Cleanup(stop)
	entry := entrySettings("127.0.0.1", address)
	t.Cleanup(start(platformdaemon.NewEntryDaemon(entry, nil, discardLog())))
	Eventually(readyStatus(entry), testTimeout).Should(Equal(http.StatusOK))

	var callers sync.WaitGroup
	var stopped atomic.Bool
	var served, refused, broken atomic.Int64
	for c := range randomCallers {
		callers.Go(func() {
			for n := 0; !stopped.Load(); n++ {
				id := fmt.Sprintf("r%d-%d", c, n)
				status := send(entry, "/"+routes[n%len(routes)]+"/x", id)
				set.mu.Lock()
				runs := set.runs[id]
				set.mu.Unlock()
				switch {
				case status == http.StatusOK && (runs == 1 || ranks && runs > 0):
					served.Add(1)
				case status == http.StatusServiceUnavailable && runs == 0:
					refused.Add(1)
					time.Sleep(randomWorkTime)
				case ranks && runs > 0 && status != corruptStream:
					broken.Add(1) // no other rank could resume it
				default:
					t.Errorf("request %s: status %d, ran %d times", id, status, runs)
				}
			}
		})
	}
	for started := time.Now(); time.Since(started) < randomTestTime; {
		servers[random.IntN(len(servers))].change(random)
		time.Sleep(time.Duration(random.Int64N(int64(maxChangeInterval))))
	}
	stopped.Store(true)
	callers.Wait()
	t.Logf("%d served, %d refused, %d broken streams, %d rests, %d servers left, %d limits", served.Load(), refused.Load(), broken.Load(), set.rests, set.left, set.limits)
	Expect(set.violations).To(BeEmpty(), "requests that a server's announcement excluded")
	Expect(served.Load()).To(BeNumerically(">", 0))
}

// postStatus sends a request under an ID and returns the status, or 0 without a response.
func postStatus(s *platform.Settings, path, id string) int {
	status, _ := postWithID(s, path, id)
	return status
}

// completeStream is the body of a complete stream.
var completeStream = func() string {
	text := ""
	for event := range eventsPerStream {
		text += fmt.Sprintf("id: %d\ndata: x\n\n", event+1)
	}
	return text
}()

// corruptStream is returned instead of the status of a stream that ended without an error but
// isn't complete.
const corruptStream = -1

// postStream is postStatus for streams: it checks that each event arrives once.
func postStream(s *platform.Settings, path, id string) int {
	status, body := postWithID(s, path, id)
	if status == http.StatusOK && body != completeStream {
		return corruptStream
	}
	return status
}

// postWithID sends a request under an ID and returns the status and body, or 0 without them.
func postWithID(s *platform.Settings, path, id string) (int, string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+s.Callers+path, http.NoBody)
	if err != nil {
		return 0, ""
	}
	request.Host = "h.example"
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Api-Key", "k1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(body)
}
