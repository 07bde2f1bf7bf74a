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

// Servers that rest, leave and start again at random, under callers of an entry, in the
// real time of its connections. The same seed draws the same words at the same times.

const (
	moodyServers = 5
	moodyCallers = 16
	// moodyTime is for how long servers speak, moodyEach the most time between two words.
	moodyTime = 5 * time.Second
	moodyEach = 250 * time.Millisecond
	// moodyWork is how long a request runs, so that some are under way as a server speaks.
	moodyWork = 15 * time.Millisecond
	// moodyEvents are in a stream.
	moodyEvents = 5
	// onItsWay is for how long after a word requests may come that were sent before it:
	// half a second is what servers allow.
	onItsWay = 500 * time.Millisecond
)

// moodyServer refuses in spells and asks for rest each time, or says that it leaves and starts
// again under its ID.
type moodyServer struct {
	fleet   *moodyFleet
	id      string
	rank    int
	address string

	mu   sync.Mutex
	born int64
	// breaksOff ends its streams after their first event.
	breaksOff bool
	// refusesUntil is the end of a spell, rest what it asks for in it.
	refusesUntil time.Time
	rest         time.Duration
	// askedAt and restUntil are of the first word of a rest, leftAt of the word that it leaves.
	askedAt, restUntil, leftAt time.Time
	leaves                     bool
	// limit is how many requests a second it takes, 0 for any number; limitedAt is when it
	// named that first, limitedCount those that came since then.
	limit        float64
	limitedAt    time.Time
	limitedCount int
}

// moodyFleet is what all servers count into.
type moodyFleet struct {
	store *standin.Store
	// ranks makes the servers one group, which write streams.
	ranks bool
	mu    sync.Mutex
	runs  map[string]int
	// against are requests that came against a server's word.
	against []string
	rests   int
	left    int
	limits  int
}

// register writes the server's entry. The lock is held.
func (s *moodyServer) register() {
	service, group := "s", ""
	if s.fleet.ranks {
		service = "m"
		group = fmt.Sprintf(`,"group":{"name":"g","epoch":1,"rank":%d,"state":"open"},"size":%d`, s.rank, moodyServers)
	}
	s.fleet.store.Put("keyed.servers", s.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":"z","capacity":12,"state":"ready","born":%d%s}`, service, s.address, s.born, group))
}

// ServeHTTP implements http.Handler.
func (s *moodyServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if s.turnsAway(w, id) {
		return
	}
	s.fleet.mu.Lock()
	s.fleet.runs[id]++
	s.fleet.mu.Unlock()
	time.Sleep(moodyWork)
	w.Header().Set("X-Server-Stamp", "s")
	if s.fleet.ranks {
		s.write(w, r)
		return
	}
	fmt.Fprint(w, "an answer")
}

// write sends a stream, from where the request asks for it.
func (s *moodyServer) write(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		after = 0 // from the start
	}
	for event := after + 1; event <= moodyEvents; event++ {
		fmt.Fprintf(w, "id: %d\ndata: x\n\n", event)
		_ = http.NewResponseController(w).Flush() // the caller is told by the entry
		s.mu.Lock()
		breaksOff := s.breaksOff
		s.mu.Unlock()
		if breaksOff && event < moodyEvents {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(moodyWork / moodyEvents)
	}
}

// turnsAway notes a request against the server's word, speaks, and refuses if it's to.
func (s *moodyServer) turnsAway(w http.ResponseWriter, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Before(s.restUntil) && now.Sub(s.askedAt) > onItsWay {
		s.fleet.note(fmt.Sprintf("%s of %s, %s into a rest", id, s.id, now.Sub(s.askedAt)))
	}
	if !s.leftAt.IsZero() && now.Sub(s.leftAt) > onItsWay {
		s.fleet.note(fmt.Sprintf("%s of %s, %s after it said that it leaves", id, s.id, now.Sub(s.leftAt)))
	}
	s.countLimited(w, id, now)
	if s.leaves {
		if s.leftAt.IsZero() {
			s.leftAt = now
		}
		w.Header().Set("Server-Leaving", "1")
	}
	if !now.Before(s.refusesUntil) {
		return false
	}
	if !now.Before(s.restUntil) {
		s.askedAt = now
	}
	if until := now.Add(s.rest); until.After(s.restUntil) {
		s.restUntil = until
	}
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("Retry-After", strconv.FormatFloat(s.rest.Seconds(), 'f', 3, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// countLimited names the server's limit, and notes a request beyond it: half as much again may
// come, and 5 that were on their way. The lock is held.
func (s *moodyServer) countLimited(w http.ResponseWriter, id string, now time.Time) {
	if s.limit == 0 {
		return
	}
	w.Header().Set("Server-Limit", strconv.FormatFloat(s.limit, 'f', -1, 64))
	if s.limitedAt.IsZero() {
		s.limitedAt = now // nobody could know before
	}
	since := now.Sub(s.limitedAt)
	if since <= onItsWay {
		return
	}
	const slack, atOnce = 1.5, 5
	if s.limitedCount++; float64(s.limitedCount) > slack*s.limit*since.Seconds()+atOnce {
		s.fleet.note(fmt.Sprintf("%s of %s, the %dth in %s since it named %g a second", id, s.id, s.limitedCount, since, s.limit))
	}
}

func (f *moodyFleet) note(against string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.against = append(f.against, against)
}

// speak draws what a server says next.
func (s *moodyServer) speak(random *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch random.IntN(7) {
	case 2: // it has room again
		s.limit = 0
	case 3:
		s.limit, s.limitedAt, s.limitedCount = []float64{0.2, 1, 4, 10}[random.IntN(4)], time.Time{}, 0
		s.fleet.limits++
	case 1: // ranks break off for a while
		s.breaksOff = s.fleet.ranks && !s.breaksOff
	case 0: // it's to be replaced, or has been and starts again
		if s.leaves {
			s.leaves, s.leftAt, s.restUntil, s.limit = false, time.Time{}, time.Time{}, 0
			s.born++
			s.register()
			return
		}
		s.leaves = true
		s.fleet.left++
	default:
		s.rest = time.Duration(200+random.IntN(2300)) * time.Millisecond
		s.refusesUntil = now.Add(time.Duration(random.IntN(1500)) * time.Millisecond)
		s.fleet.rests++
	}
}

func TestServersRestAndLeaveAtRandom(t *testing.T) {
	for seed, ranks := range []bool{false, false, true, true} {
		t.Run(fmt.Sprintf("seed %d, ranks of a group: %t", seed, ranks), func(t *testing.T) { soakMoodyServers(t, uint64(seed), ranks) })
	}
}

func soakMoodyServers(t *testing.T, seed uint64, ranks bool) {
	RegisterTestingT(t)
	random := rand.New(rand.NewPCG(seed, 1))
	f := &moodyFleet{store: standin.NewStore(), ranks: ranks, runs: map[string]int{}}
	settings, routes, ask := endingConfig, []string{"again", "once"}, askAs
	if ranks {
		settings, routes, ask = groupConfig, []string{"write"}, streamAs
	}
	f.store.Put(platform.TopicOperators, "config", settings)
	var servers []*moodyServer
	for i := range moodyServers {
		s := &moodyServer{fleet: f, id: fmt.Sprint("i-", i), rank: i, born: 1}
		address, stop := serveAt("127.0.0.1:0", s)
		t.Cleanup(stop)
		s.address = address
		s.register()
		servers = append(servers, s)
	}
	address, stop := serveAt("127.0.0.1:0", f.store)
	t.Cleanup(stop)
	entry := entrySettings("127.0.0.1", address)
	t.Cleanup(start(platformdaemon.NewEntryDaemon(entry, nil, quietLog())))
	Eventually(ready(entry), patience).Should(Equal(http.StatusOK))

	var callers sync.WaitGroup
	var over atomic.Bool
	var served, refused, broken atomic.Int64
	for c := range moodyCallers {
		callers.Go(func() {
			for n := 0; !over.Load(); n++ {
				id := fmt.Sprintf("r%d-%d", c, n)
				status := ask(entry, "/"+routes[n%len(routes)]+"/x", id)
				f.mu.Lock()
				runs := f.runs[id]
				f.mu.Unlock()
				switch {
				case status == http.StatusOK && (runs == 1 || ranks && runs > 0):
					served.Add(1)
				case status == http.StatusServiceUnavailable && runs == 0:
					refused.Add(1)
					time.Sleep(moodyWork)
				case ranks && runs > 0 && status != wrongStream:
					broken.Add(1) // no other rank could go on
				default:
					t.Errorf("request %s: status %d, ran %d times", id, status, runs)
				}
			}
		})
	}
	for began := time.Now(); time.Since(began) < moodyTime; {
		servers[random.IntN(len(servers))].speak(random)
		time.Sleep(time.Duration(random.Int64N(int64(moodyEach))))
	}
	over.Store(true)
	callers.Wait()
	t.Logf("%d served, %d refused, %d broken off, %d spells, %d servers left, %d limits", served.Load(), refused.Load(), broken.Load(), f.rests, f.left, f.limits)
	Expect(f.against).To(BeEmpty(), "requests that came against a server's word")
	Expect(served.Load()).To(BeNumerically(">", 0))
}

// askAs sends a request under an ID and returns the status, or 0 without an answer.
func askAs(s *platform.Settings, path, id string) int {
	status, _ := postAs(s, path, id)
	return status
}

// wholeStream is what a stream's caller gets.
var wholeStream = func() string {
	text := ""
	for event := range moodyEvents {
		text += fmt.Sprintf("id: %d\ndata: x\n\n", event+1)
	}
	return text
}()

// wrongStream stands for the status of a stream that ended as if it were whole and isn't.
const wrongStream = -1

// streamAs is askAs for a stream, each event of which has to come once.
func streamAs(s *platform.Settings, path, id string) int {
	status, body := postAs(s, path, id)
	if status == http.StatusOK && body != wholeStream {
		return wrongStream
	}
	return status
}

// postAs sends a request under an ID and returns the status and body, or 0 without them.
func postAs(s *platform.Settings, path, id string) (int, string) {
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
