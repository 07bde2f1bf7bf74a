package dispatch

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"

	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
)

// The tests in this file guard against sending requests to servers that have asked for a rest or
// reported that they are leaving.

const (
	// Of restRanks ranks, restRefusing refuse requests from refusingFrom to refusingTo, each time
	// asking for a rest of restDuration. A request arrives every restInterval.
	restRanks    = 16
	restRefusing = 5
	refusingFrom = time.Second
	refusingTo   = 7 * time.Second
	restDuration = 3 * time.Second
	restInterval = 20 * time.Millisecond
)

// restingServers is a Backend whose servers report rests and departures, and which records
// requests that reach them regardless.
type restingServers struct {
	mu  sync.Mutex
	now func() time.Time
	// rest and leave determine what a server currently reports.
	rest  func(server string) time.Duration
	leave func(server string) bool
	// reset determines whether a server resets streams after the first event.
	reset func(server string) bool
	// restUntil and leaving hold what the servers have reported.
	restUntil map[string]time.Time
	leaving   map[string]bool
	// unwanted counts the requests that reached a server despite its report, received all.
	unwanted, received map[string]int
	// hold delays a server's next response body until the channel is closed.
	hold map[string]chan struct{}
}

func newRestingServers(now func() time.Time) *restingServers {
	return &restingServers{
		now: now, rest: func(string) time.Duration { return 0 }, leave: func(string) bool { return false },
		reset:     func(string) bool { return false },
		restUntil: map[string]time.Time{}, leaving: map[string]bool{}, unwanted: map[string]int{}, received: map[string]int{},
		hold: map[string]chan struct{}{},
	}
}

// Send implements Backend.
func (s *restingServers) Send(_ context.Context, r *Request, a Attempt) (*Response, *SendError) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, now := a.Server.Key(), s.now()
	s.received[id]++
	if now.Before(s.restUntil[id]) || s.leaving[id] {
		s.unwanted[id]++
	}
	response := &Response{Status: http.StatusOK, Header: http.Header{}, Length: -1, Info: ResponseInfo{RequestID: r.ID, Signed: true}}
	if s.leave(id) {
		s.leaving[id], response.Info.Leaving = true, true
	}
	if rest := s.rest(id); rest > 0 {
		s.restUntil[id] = now.Add(rest)
		response.Status, response.Info.NotRun, response.Info.RetryAfter = http.StatusServiceUnavailable, true, rest
		response.Body = http.NoBody
		return response, nil
	}
	first, second := "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	switch {
	case a.Resume:
		response.Body = io.NopCloser(strings.NewReader(second))
	case s.reset(id):
		response.Body = io.NopCloser(resettingBody{strings.NewReader(first)})
	default:
		response.Body = io.NopCloser(&delayedBody{Reader: strings.NewReader(first + second), until: s.hold[id]})
		delete(s.hold, id)
	}
	return response, nil
}

// receivedBy returns how many requests have reached a server.
func (s *restingServers) receivedBy(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received[key]
}

// delayedBody blocks reads until its channel, if any, is closed.
type delayedBody struct {
	io.Reader
	until chan struct{}
}

func (b *delayedBody) Read(p []byte) (int, error) {
	if b.until != nil {
		<-b.until
	}
	return b.Reader.Read(p)
}

// restFixture is an entry with resting servers and a fake clock.
type restFixture struct {
	servers  *restingServers
	fleet    *fakeFleet
	pipeline *Pipeline
	balancer *Balancer
	logs     *logrustest.Hook
	clock    fakeClock
	count    int
}

// fakeClock is a clock that advances only on request.
type fakeClock struct{ elapsed atomic.Int64 }

var fakeClockStart = time.Unix(1000, 0)

func (c *fakeClock) now() time.Time          { return fakeClockStart.Add(time.Duration(c.elapsed.Load())) }
func (c *fakeClock) advance(d time.Duration) { c.elapsed.Add(int64(d)) }

func newRestFixture(fleetServers ...*fleet.Server) *restFixture {
	logger, logs := logrustest.NewNullLogger()
	s := &restFixture{fleet: &fakeFleet{config: testConfig()}, logs: logs}
	s.servers = newRestingServers(s.clock.now)
	s.fleet.setServers(fleetServers...)
	s.balancer = NewBalancer(testPolicy, "z0", rand.New(rand.NewPCG(1, 1)).IntN)
	s.pipeline = NewPipeline(s.fleet, s.balancer, s.servers, s.clock.now, logrus.NewEntry(logger))
	return s
}

// ranks returns the members of a group.
func ranks(n int) []*fleet.Server {
	var all []*fleet.Server
	for i := range n {
		all = append(all, &fleet.Server{
			ID: fmt.Sprint("r", i), Service: "model", Capacity: 12, Zone: "z0",
			Rank: &fleet.GroupRank{Group: "g", Epoch: 1, Rank: i, Size: n, Open: true},
		})
	}
	return all
}

// request returns a new request on a route.
func (s *restFixture) request(route string) *Request {
	s.count++
	return &Request{
		ID: fmt.Sprint("id-", s.count), Method: http.MethodPost, Host: "h.example", Path: "/" + route + "/x", URI: "/" + route + "/x",
		Header: http.Header{}, APIKey: "secret", ReceivedAt: s.clock.now(), Timeout: 8 * time.Second, HasDeadline: true, LastEventID: -1,
	}
}

func (s *restFixture) serve(route string) Result {
	return s.pipeline.Serve(context.Background(), s.request(route), &responseRecorder{})
}

// countLogs counts the log entries with a message.
func (s *restFixture) countLogs(message string) int {
	n := 0
	for _, entry := range s.logs.AllEntries() {
		if entry.Message == message {
			n++
		}
	}
	return n
}

// allow sets which servers the operators allow; nil allows all.
func (s *restFixture) allow(f func(service, customer string) ([]*fleet.Server, string)) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.fleet.allowed = f
}

// holdStreams starts a stream at each server; release ends them.
func (s *restFixture) holdStreams(servers []*fleet.Server) (release func()) {
	held := make(chan struct{})
	var streams sync.WaitGroup
	for _, server := range servers {
		s.servers.hold[server.Key()] = held
	}
	for _, server := range servers {
		only := []*fleet.Server{server}
		s.allow(func(string, string) ([]*fleet.Server, string) { return only, "" })
		request := s.request("stream")
		streams.Go(func() { s.pipeline.Serve(context.Background(), request, &responseRecorder{}) })
		Eventually(func() int { return s.servers.receivedBy(server.Key()) }).Should(Equal(1))
	}
	s.allow(nil)
	return func() {
		close(held)
		streams.Wait()
	}
}

func TestRestingServersGetNoRequests(t *testing.T) {
	RegisterTestingT(t)
	group := ranks(restRanks)
	s := newRestFixture(group...)
	start := s.clock.now()
	s.servers.rest = func(id string) time.Duration {
		at := s.clock.now().Sub(start)
		if at < refusingFrom || at >= refusingTo || !slices.ContainsFunc(group[:restRefusing], func(r *fleet.Server) bool { return r.ID == id }) {
			return 0
		}
		return restDuration
	}
	s.servers.reset = func(id string) bool { return id == "r7" } // its streams resume elsewhere
	release := s.holdStreams(group)
	resting := func() int { return len(s.servers.restUntil) }
	refused := 0
	for released := false; s.clock.now().Sub(start) < refusingTo; s.clock.advance(restInterval) {
		if s.serve("stream").Failure != nil {
			refused++
		}
		if !released && resting() == restRefusing {
			released = true
			release() // resting servers complete the streams that they had started
		}
	}
	Expect(resting()).To(Equal(restRefusing))
	Expect(s.countLogs("server is resting")).To(BeNumerically(">=", restRefusing))
	Expect(s.servers.unwanted).To(BeEmpty(), "requests that reached a resting rank")
	// Each rank refuses its first request and the first one after its rest; a request fails after
	// two refusals.
	Expect(refused).To(BeNumerically("<=", 2*restRefusing/2), "callers refused although eleven ranks had free slots")

	s.clock.advance(restDuration)
	before := s.servers.receivedBy("r0")
	for range 5 * restRanks {
		s.serve("stream")
	}
	Expect(s.servers.receivedBy("r0")).To(BeNumerically(">", before), "a rank gets requests again after its rest")
}

func TestLeavingServersGetNoRequests(t *testing.T) {
	RegisterTestingT(t)
	s := newRestFixture(
		&fleet.Server{ID: "a", Incarnation: "a-1", Service: "plain", Capacity: 6, Zone: "z0"},
		&fleet.Server{ID: "b", Incarnation: "b-1", Service: "plain", Capacity: 6, Zone: "z0"},
	)
	s.servers.leave = func(key string) bool { return key == "a-1" }
	for range 50 {
		Expect(s.serve("again").Failure).To(BeNil())
		Expect(s.serve("once").Failure).To(BeNil())
		s.clock.advance(100 * time.Millisecond)
	}
	Expect(s.servers.received["a-1"]).To(Equal(1), "only the request whose response carried the report")
	Expect(s.servers.unwanted).To(BeEmpty())

	// The report survives a temporary loss of the registration.
	registered := s.fleet.Servers()
	s.fleet.setServers(registered.ByID("b"))
	s.balancer.Prune(s.fleet.Servers(), s.clock.now())
	s.fleet.setServers(registered.ByID("a"), registered.ByID("b"))
	s.balancer.Prune(s.fleet.Servers(), s.clock.now())
	for range 20 {
		s.serve("again")
	}
	Expect(s.servers.unwanted).To(BeEmpty())

	// The report doesn't apply to the next incarnation.
	next := *registered.ByID("a")
	next.Incarnation = "a-2"
	s.fleet.setServers(&next, registered.ByID("b"))
	s.balancer.Prune(s.fleet.Servers(), s.clock.now())
	for range 20 {
		s.serve("again")
	}
	Expect(s.servers.received["a-2"]).To(BeNumerically(">", 0))
}

func TestCallersRetryAfterServersHaveRested(t *testing.T) {
	RegisterTestingT(t)
	s := newRestFixture(
		&fleet.Server{ID: "a", Service: "plain", Capacity: 6, Zone: "z0"},
		&fleet.Server{ID: "b", Service: "plain", Capacity: 6, Zone: "z0"},
	)
	rests := map[string]time.Duration{"a": 1500 * time.Millisecond, "b": 4 * time.Second}
	s.servers.rest = func(id string) time.Duration { return rests[id] }
	Expect(s.serve("again").Failure).NotTo(BeNil()) // tries both
	start, retryTimes := s.clock.now(), map[time.Duration]bool{}
	for range 40 {
		f := s.serve("once").Failure
		Expect(f).NotTo(BeNil())
		Expect(f.Outcome).To(Equal(failure.OutcomeNotRun))
		retryAt := s.clock.now().Add(f.RetryAfter).Sub(start)
		Expect(retryAt).To(BeNumerically(">=", rests["a"]), "no retry while all servers rest")
		retryTimes[retryAt.Round(50*time.Millisecond)] = true
		s.clock.advance(25 * time.Millisecond)
	}
	Expect(len(retryTimes)).To(BeNumerically(">=", 5), "retry delays are spread")
	Expect(s.servers.unwanted).To(BeEmpty())
}
