package dispatch

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logrustest "github.com/sirupsen/logrus/hooks/test"

	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/peerrpc"
	"github.com/crowbridge/crowbridge/internal/ratelimit"
)

// The tests in this file guard against exceeding a server's rate limit with the sum of the
// requests of all entries. See docs/incidents/2026-12-03-limit-kept-by-nobody.md.

const (
	// limitEntries is the number of entries; each receives a request every limitInterval.
	limitEntries  = 8
	limitInterval = 100 * time.Millisecond
	// limitSettleTime is how long a new limit may be exceeded; requests are counted over
	// limitWindow.
	limitSettleTime = 3 * time.Second
	limitWindow     = 4 * time.Second
	// limitDuration is the simulated time after a limit is set.
	limitDuration = 60 * time.Second
	// minLimitUse is the fraction of a limit that must be used under excess load.
	minLimitUse = 0.8
)

// maxInWindow returns the maximum number of requests in a window: 1.5 times the limit, plus 5 in
// flight.
func maxInWindow(limit float64) int { return int(1.5*limit*limitWindow.Seconds()) + 5 }

// limitedServers is a Backend whose servers report limits and record arrivals.
type limitedServers struct {
	now func() time.Time
	// limit returns the limit that a server currently reports.
	limit func(server string) ReportedLimit

	mu       sync.Mutex
	arrivals map[string][]time.Time
	// customers counts requests by customer.
	customers map[string]int
}

// Send implements Backend.
func (s *limitedServers) Send(_ context.Context, r *Request, a Attempt) (*Response, *SendError) {
	if a.SendCheck != nil {
		if err := a.SendCheck(); err != nil {
			return nil, &SendError{Err: err}
		}
	}
	key := a.Server.Key()
	s.mu.Lock()
	s.arrivals[key] = append(s.arrivals[key], s.now())
	s.customers[r.Customer]++
	s.mu.Unlock()
	return &Response{
		Status: http.StatusOK, Header: http.Header{}, Length: -1, Body: io.NopCloser(strings.NewReader("id: 1\ndata: a\n\n")),
		Info: ResponseInfo{RequestID: r.ID, Signed: true, Limit: s.limit(key)},
	}, nil
}

// countBetween counts the requests that reached a server in [from, to).
func (s *limitedServers) countBetween(server string, from, to time.Time) int {
	n := 0
	for _, at := range s.arrivals[server] {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// busiestWindow returns the highest number of requests in a window that ends after a time.
func (s *limitedServers) busiestWindow(server string, after time.Time) int {
	highest := 0
	for _, at := range s.arrivals[server] {
		if end := at.Add(1); end.After(after) {
			highest = max(highest, s.countBetween(server, end.Add(-limitWindow), end))
		}
	}
	return highest
}

// limitSim simulates entries and servers with rate limits on a fake clock.
type limitSim struct {
	clock   fakeClock
	servers *limitedServers
	entries []*limitEntry
	random  *rand.Rand
	count   int
}

type limitEntry struct {
	fleet    *fakeFleet
	balancer *Balancer
	pipeline *Pipeline
	// refreshedAt is when the entry last sent its full state; updates are in flight.
	refreshedAt time.Time
	updates     []*peerrpc.LimitNews
}

// exchange delivers the updates sent in the previous step and collects new ones.
func (s *limitSim) exchange() {
	now := s.clock.now()
	for i, from := range s.entries {
		for j, to := range s.entries {
			if i == j {
				continue
			}
			for _, update := range from.updates {
				to.balancer.Limits().Receive(fmt.Sprint("entry-", i), update, now)
			}
		}
		from.updates = from.balancer.Limits().Updates(now)
		if now.Sub(from.refreshedAt) >= from.balancer.Limits().RefreshInterval() {
			from.refreshedAt, from.updates = now, from.balancer.Limits().RefreshMessages(now)
		}
	}
}

func newLimitSim(servers ...*fleet.Server) *limitSim {
	s := &limitSim{random: rand.New(rand.NewPCG(1, 2))}
	s.servers = &limitedServers{
		now: s.clock.now, limit: func(string) ReportedLimit { return ReportedLimit{Authoritative: true} },
		arrivals: map[string][]time.Time{}, customers: map[string]int{},
	}
	logger, _ := logrustest.NewNullLogger()
	for range limitEntries {
		f := &fakeFleet{config: testConfig()}
		f.setServers(servers...)
		balancer := NewBalancer(testPolicy, "z0", s.random.IntN)
		s.entries = append(s.entries, &limitEntry{fleet: f, balancer: balancer, pipeline: NewPipeline(f, balancer, s.servers, s.clock.now, logrus.NewEntry(logger))})
	}
	return s
}

// setLimit sets the limit that a server reports from now on.
func (s *limitSim) setLimit(server string, perSecond float64) {
	s.servers.limit = func(key string) ReportedLimit {
		return ReportedLimit{Authoritative: true, Present: key == server, PerSecond: perSecond}
	}
}

// serve processes a request at an entry.
func (s *limitSim) serve(entry int, route string) Result {
	s.count++
	r := &Request{
		ID: fmt.Sprint("id-", s.count), Method: http.MethodPost, Host: "h.example", Path: "/" + route + "/x", URI: "/" + route + "/x",
		Header: http.Header{}, APIKey: "secret", ReceivedAt: s.clock.now(), Timeout: 8 * time.Second, HasDeadline: true, LastEventID: -1,
	}
	return s.entries[entry].pipeline.Serve(context.Background(), r, &responseRecorder{})
}

// run advances the clock while requests arrive at the given entries, and returns the failures.
func (s *limitSim) run(d time.Duration, route string, entries ...int) (failed []*failure.Error) {
	const step = 5 * time.Millisecond
	end := s.clock.now().Add(d)
	nextAt := make([]time.Time, len(entries))
	for i := range nextAt {
		nextAt[i] = s.clock.now().Add(time.Duration(s.random.Int64N(int64(limitInterval))))
	}
	for ; s.clock.now().Before(end); s.clock.advance(step) {
		s.exchange()
		for i, entry := range entries {
			if s.clock.now().Before(nextAt[i]) {
				continue
			}
			nextAt[i] = nextAt[i].Add(limitInterval)
			if f := s.serve(entry, route).Failure; f != nil {
				failed = append(failed, f)
			}
		}
	}
	return failed
}

// allEntries returns the indices of all entries.
func allEntries() []int {
	var all []int
	for i := range limitEntries {
		all = append(all, i)
	}
	return all
}

func TestServerLimitHoldsAcrossEntries(t *testing.T) {
	for _, c := range []struct {
		name    string
		limit   float64
		ranks   int
		entries []int
	}{
		{"1 per second, 8 entries", 1, restRanks, allEntries()},
		{"0.2 per second, 8 entries", 0.2, restRanks, allEntries()},
		{"5 per second, 8 entries", 5, restRanks / 2, allEntries()},
		{"1 per second, one entry gets all requests", 1, restRanks / 4, []int{3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			RegisterTestingT(t)
			s := newLimitSim(ranks(c.ranks)...)
			s.run(2*time.Second, "stream", c.entries...)
			s.setLimit("r0", c.limit)
			setAt := s.clock.now()
			failed := s.run(limitDuration, "stream", c.entries...)
			Expect(failed).To(BeEmpty(), "callers refused although other ranks had free slots")
			Expect(s.servers.busiestWindow("r0", setAt.Add(limitSettleTime))).To(BeNumerically("<=", maxInWindow(c.limit)))
			got := float64(s.servers.countBetween("r0", setAt.Add(limitSettleTime), s.clock.now()))
			allowed := c.limit * (limitDuration - limitSettleTime).Seconds()
			Expect(got).To(BeNumerically(">=", minLimitUse*allowed-1), "the limit is used")
			Expect(got).To(BeNumerically("<=", allowed+1), "the limit isn't exceeded in the long run")
		})
	}
}

func TestRateLimitedCallersGetSpreadRetryDelays(t *testing.T) {
	RegisterTestingT(t)
	s := newLimitSim(&fleet.Server{ID: "a", Service: "plain", Capacity: 6, Zone: "z0"})
	s.setLimit("a", 1)
	s.run(time.Second, "once", allEntries()...)
	failed := s.run(limitDuration, "once", allEntries()...)
	Expect(s.servers.busiestWindow("a", s.clock.now().Add(-limitDuration+limitSettleTime))).To(BeNumerically("<=", maxInWindow(1)))
	Expect(len(failed)).To(BeNumerically(">", 0))
	retryDelays := map[time.Duration]int{}
	for _, f := range failed {
		Expect(f.Outcome).To(Equal(failure.OutcomeNotRun))
		Expect(f.RetryAfter).To(BeNumerically(">", 0))
		retryDelays[f.RetryAfter.Round(100*time.Millisecond)]++
	}
	Expect(len(retryDelays)).To(BeNumerically(">=", 20), "retry delays are spread")
}

// Callers that were told to come back and those that come for the first time have the same claim to a token.
func TestLimitAdmitsAllCallersAlikeWhateverTimeTheyHave(t *testing.T) {
	for _, left := range []time.Duration{8 * time.Second, 5 * time.Second} {
		g := NewWithT(t)
		b := newFixture(respondsSigned(http.StatusOK, "x"), respondsSigned(http.StatusOK, "x"))
		b.fleet.setServers(&fleet.Server{ID: "a", Service: "plain", Capacity: 6, Zone: "z1"})
		g.Expect(b.serve("once").Failure).To(BeNil())
		b.balancer.limits.UpdateLimit("a", ratelimit.Limit{Present: true, PerSecond: 1, RequestedAt: b.now, ReceivedAt: b.now})
		for range 5 {
			g.Expect(b.serve("once").Failure.Code).To(Equal(failure.CodeLimited))
		}
		b.now = b.now.Add(2300 * time.Millisecond) // a token and a little more is there, three callers have yet to return
		g.Expect(b.pipeline.Serve(context.Background(), b.request("once", left), b.recorder).Failure).To(BeNil(), "%v left", left)
	}
}
