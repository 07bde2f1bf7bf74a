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
)

// The story is in docs/incidents/2026-12-03-limit-kept-by-nobody.md.

const (
	// limitEntries send to the servers; each gets a request each limitPace.
	limitEntries = 8
	limitPace    = 100 * time.Millisecond
	// limitSettles is how long a newly named limit may be exceeded, limitWindow what it's counted over.
	limitSettles = 3 * time.Second
	limitWindow  = 4 * time.Second
	// limitTime is how long a story lasts from then on.
	limitTime = 60 * time.Second
	// limitUsed is the part of a limit that is used while more is asked for.
	limitUsed = 0.8
)

// mostInWindow allows half as much again as a limit, and 5 requests that were on their way.
func mostInWindow(limit float64) int { return int(1.5*limit*limitWindow.Seconds()) + 5 }

// limitedServers are backend servers that name limits and note when requests arrive.
type limitedServers struct {
	now func() time.Time
	// limit tells what a server names at a moment.
	limit func(server string) ReportedLimit

	mu       sync.Mutex
	arrivals map[string][]time.Time
	// customers counts them by the customer.
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

// between counts the requests that reached a server from one time until before another.
func (s *limitedServers) between(server string, from, to time.Time) int {
	n := 0
	for _, at := range s.arrivals[server] {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// worst is the most that reached a server in one window that ends after a time.
func (s *limitedServers) worst(server string, after time.Time) int {
	most := 0
	for _, at := range s.arrivals[server] {
		if end := at.Add(1); end.After(after) {
			most = max(most, s.between(server, end.Add(-limitWindow), end))
		}
	}
	return most
}

// limitStory is some entries before servers that name limits, on one clock.
type limitStory struct {
	clock   storyClock
	servers *limitedServers
	entries []*limitEntry
	random  *rand.Rand
	count   int
}

type limitEntry struct {
	world    *world
	board    *Balancer
	pipeline *Pipeline
	// told is when the entry last told the others all that it knows, news what is on its way.
	told time.Time
	news []*peerrpc.LimitNews
}

// exchange delivers what entries told a step ago, and lets them tell what is news.
func (s *limitStory) exchange() {
	now := s.clock.now()
	for i, from := range s.entries {
		for j, to := range s.entries {
			if i == j {
				continue
			}
			for _, news := range from.news {
				to.board.Limits().Receive(fmt.Sprint("entry-", i), news, now)
			}
		}
		from.news = from.board.Limits().Updates(now)
		if now.Sub(from.told) >= from.board.Limits().RefreshInterval() {
			from.told, from.news = now, from.board.Limits().RefreshMessages(now)
		}
	}
}

func newLimitStory(servers ...*fleet.Server) *limitStory {
	s := &limitStory{random: rand.New(rand.NewPCG(1, 2))}
	s.servers = &limitedServers{
		now: s.clock.now, limit: func(string) ReportedLimit { return ReportedLimit{Authoritative: true} },
		arrivals: map[string][]time.Time{}, customers: map[string]int{},
	}
	logger, _ := logrustest.NewNullLogger()
	for range limitEntries {
		w := &world{config: testConfig()}
		w.setServers(servers...)
		board := NewBalancer(testPolicy, "z0", s.random.IntN)
		s.entries = append(s.entries, &limitEntry{world: w, board: board, pipeline: NewPipeline(w, board, s.servers, s.clock.now, logrus.NewEntry(logger))})
	}
	return s
}

// names makes a server name a limit from now on.
func (s *limitStory) names(server string, perSecond float64) {
	s.servers.limit = func(key string) ReportedLimit {
		return ReportedLimit{Authoritative: true, Present: key == server, PerSecond: perSecond}
	}
}

// serve takes a request of a caller at an entry.
func (s *limitStory) serve(entry int, route string) Result {
	s.count++
	r := &Request{
		ID: fmt.Sprint("id-", s.count), Method: http.MethodPost, Host: "h.example", Path: "/" + route + "/x", URI: "/" + route + "/x",
		Header: http.Header{}, APIKey: "secret", ReceivedAt: s.clock.now(), Timeout: 8 * time.Second, HasDeadline: true, LastEventID: -1,
	}
	return s.entries[entry].pipeline.Serve(context.Background(), r, &recorder{})
}

// goOn lets a time pass in which requests come to some entries. It returns those that failed.
func (s *limitStory) goOn(d time.Duration, route string, entries ...int) (failed []*failure.Error) {
	const step = 5 * time.Millisecond
	end := s.clock.now().Add(d)
	due := make([]time.Time, len(entries))
	for i := range due {
		due[i] = s.clock.now().Add(time.Duration(s.random.Int64N(int64(limitPace))))
	}
	for ; s.clock.now().Before(end); s.clock.advance(step) {
		s.exchange()
		for i, entry := range entries {
			if s.clock.now().Before(due[i]) {
				continue
			}
			due[i] = due[i].Add(limitPace)
			if f := s.serve(entry, route).Failure; f != nil {
				failed = append(failed, f)
			}
		}
	}
	return failed
}

// allEntries are the numbers of all.
func allEntries() []int {
	var all []int
	for i := range limitEntries {
		all = append(all, i)
	}
	return all
}

func TestAServersLimitHoldsForAllEntriesTogether(t *testing.T) {
	for _, c := range []struct {
		name    string
		limit   float64
		ranks   int
		entries []int
	}{
		{"1 a second, 8 entries", 1, storyRanks, allEntries()},
		{"0.2 a second, 8 entries", 0.2, storyRanks, allEntries()},
		{"5 a second, 8 entries", 5, storyRanks / 2, allEntries()},
		{"1 a second, one entry gets all requests", 1, storyRanks / 4, []int{3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			RegisterTestingT(t)
			s := newLimitStory(ranks(c.ranks)...)
			s.goOn(2*time.Second, "stream", c.entries...)
			s.names("r0", c.limit)
			named := s.clock.now()
			failed := s.goOn(limitTime, "stream", c.entries...)
			Expect(failed).To(BeEmpty(), "callers that were refused although other ranks had places")
			Expect(s.servers.worst("r0", named.Add(limitSettles))).To(BeNumerically("<=", mostInWindow(c.limit)))
			got := float64(s.servers.between("r0", named.Add(limitSettles), s.clock.now()))
			asked := c.limit * (limitTime - limitSettles).Seconds()
			Expect(got).To(BeNumerically(">=", limitUsed*asked-1), "what may be sent is used")
			Expect(got).To(BeNumerically("<=", asked+1), "it isn't exceeded in the long run")
		})
	}
}

func TestCallersOfLimitedServersAreRefusedAtOnceWithATrueTime(t *testing.T) {
	RegisterTestingT(t)
	s := newLimitStory(&fleet.Server{ID: "a", Service: "plain", Capacity: 6, Zone: "z0"})
	s.names("a", 1)
	s.goOn(time.Second, "once", allEntries()...)
	failed := s.goOn(limitTime, "once", allEntries()...)
	Expect(s.servers.worst("a", s.clock.now().Add(-limitTime+limitSettles))).To(BeNumerically("<=", mostInWindow(1)))
	Expect(len(failed)).To(BeNumerically(">", 0))
	hints := map[time.Duration]int{}
	for _, f := range failed {
		Expect(f.Outcome).To(Equal(failure.OutcomeNotRun))
		Expect(f.RetryAfter).To(BeNumerically(">", 0))
		hints[f.RetryAfter.Round(100*time.Millisecond)]++
	}
	Expect(len(hints)).To(BeNumerically(">=", 20), "they aren't told to come all at once")
}
