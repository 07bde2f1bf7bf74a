package platformdaemon_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
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
	// crashAttempts is how often the caller repeats the request, repeatPause the time between repeats.
	crashAttempts = 10
	repeatPause   = 300 * time.Millisecond
	// fewAttempts is enough where the request was quarantined before.
	fewAttempts = 6
	// maxCrashes allows two crashes, which may have another cause, and a third before the evidence
	// of the second has reached all entries.
	maxCrashes = 3
	// serverCount servers restart under a new ID restartDelay after a crash.
	serverCount  = 4
	restartDelay = 400 * time.Millisecond
	// healthyWorkTime makes some healthy requests run at a server that crashes.
	healthyWorkTime = 40 * time.Millisecond
	// crashBody is the body of the request that crashes its server.
	crashBody = "crashes its server"
)

// crashingServers are backend servers that a request with crashBody crashes.
type crashingServers struct {
	store *standin.Store
	// reuseIDs makes servers restart under their previous ID.
	reuseIDs bool
	parts    crashingPart
	starts   atomic.Int64
	crashed  atomic.Int64
	stopping atomic.Bool
	wg       sync.WaitGroup
}

// run serves one server until the test ends and restarts it at the same address after each crash.
func (s *crashingServers) run(t *testing.T, name string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	var current atomic.Pointer[http.Server]
	id := ""
	newServer := func(l net.Listener) *http.Server {
		startID := s.starts.Add(1)
		if id != "" && !s.reuseIDs {
			s.store.Put("keyed.servers", id, "")
		}
		if id == "" || !s.reuseIDs {
			id = fmt.Sprintf("%s-%d", name, startID)
		}
		server := &http.Server{ReadHeaderTimeout: time.Minute}
		server.Handler = s.handler(id, server)
		current.Store(server)
		s.store.Put("keyed.servers", id, fmt.Sprintf(
			`{"service":"s","address":%q,"zone":"z","capacity":6,"state":"ready","born":%d}`, address, startID))
		return server
	}
	first := newServer(listener)
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		server, l := first, listener
		for !s.stopping.Load() {
			_ = server.Serve(l)
			if s.stopping.Load() {
				return
			}
			time.Sleep(restartDelay)
			for l, err = net.Listen("tcp", address); err != nil; l, err = net.Listen("tcp", address) {
				time.Sleep(time.Millisecond) // until the previous listener has closed
			}
			server = newServer(l)
		}
	}()
	t.Cleanup(func() {
		s.stopping.Store(true)
		_ = current.Load().Close()
	})
}

func (s *crashingServers) handler(id string, server *http.Server) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		if r.Header.Get("X-Expect-Instance") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if string(body) == crashBody || s.parts.reached(r.Header) {
			time.Sleep(s.parts.timeToCrash)
			s.recordCrash()
			go server.Close()
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		time.Sleep(healthyWorkTime)
		w.Header().Set("X-Server-Stamp", "s")
		_, _ = w.Write(body)
	})
}

// recordCrash counts a crash.
func (s *crashingServers) recordCrash() {
	s.crashed.Add(1)
	s.parts.recordCrash()
}

// deployment is a store, entries and servers that a request can crash.
type deployment struct {
	store   *standin.Store
	address string // of the store
	servers *crashingServers
	entries []*platform.Settings
	stops   []func()
	ids     atomic.Int64
	// firstPort is the first port of each entry.
	firstPort int
}

const crashConfig = `{"version":1,"routes":[
 {"name":"again","host":"h.example","path_prefix":"/again/","type":"idempotent","timeout_ms":5000,"target_latency_ms":500,"service":"s","max_attempts":2},
 {"name":"once","host":"h.example","path_prefix":"/once/","type":"non_idempotent","timeout_ms":5000,"target_latency_ms":500,"service":"s","max_attempts":2}],
 "services":[{"name":"s","max_conns":50}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t","api_keys":["k1"]}]}`

// newDeployment starts a store, servers and entries that discover each other.
func newDeployment(t *testing.T, entries int, reuseIDs bool) *deployment {
	return newDeploymentOf(t, entries, serverCount, reuseIDs)
}

// newDeploymentOf is newDeployment with a number of servers.
func newDeploymentOf(t *testing.T, entries, servers int, reuseIDs bool) *deployment {
	d := newServerDeployment(t, servers, reuseIDs)
	for i := range entries {
		d.addEntry(i > 0)
	}
	d.awaitReady()
	return d
}

// newServerDeployment starts a store and servers, without entries.
func newServerDeployment(t *testing.T, servers int, reuseIDs bool) *deployment {
	RegisterTestingT(t)
	d := &deployment{store: standin.NewStore()}
	d.servers = &crashingServers{store: d.store, reuseIDs: reuseIDs}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: d.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		d.servers.wg.Wait()
		_ = server.Close()
	})
	d.address = listener.Addr().String()
	d.store.Put(platform.TopicOperators, "config", crashConfig)
	for i := range servers {
		d.servers.run(t, fmt.Sprintf("i%d", i))
	}
	d.firstPort = freePorts("127.0.0.40") // the same for all entries, as on the platform
	t.Cleanup(d.stopEntries)
	return d
}

// addEntry starts an entry whose seed is the first entry, or that has no seed.
func (d *deployment) addEntry(seeded bool) {
	settings := entrySettingsAt(fmt.Sprintf("127.0.0.%d", 40+len(d.entries)), d.firstPort, d.address)
	if seeded {
		settings.Seeds = []string{d.entries[0].Control}
	}
	d.entries = append(d.entries, settings)
	d.stops = append(d.stops, start(platformdaemon.NewEntryDaemon(settings, nil, discardLog())))
}

// stopEntries stops all entries concurrently.
func (d *deployment) stopEntries() {
	stopAll(d.stops)
	d.stops = nil
}

func (d *deployment) awaitReady() {
	for _, entry := range d.entries {
		Eventually(readyStatus(entry), testTimeout).Should(Equal(http.StatusOK))
	}
}

// post sends one request to an entry and returns the status and body, or 0 and the error.
func (d *deployment) post(entry int, path, body string) (int, string) {
	return d.postPrompt(entry, path, "", body)
}

// postPrompt is post with a prompt prefix.
func (d *deployment) postPrompt(entry int, path, prefix, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.entries[entry].Callers+path, bytes.NewBufferString(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = "h.example"
	request.Header.Set("X-Attempt-Id", fmt.Sprint("a", d.ids.Add(1)))
	request.Header.Set("X-Api-Key", "k1")
	if prefix != "" {
		request.Header.Set("X-Prompt-Prefix", prefix)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(content)
}

// repeat sends the crashing request to the entries in turn. Before each repeat it waits until all
// entries have served a healthy request, since recovery takes longer on a busy machine.
func (d *deployment) repeat(path string, times int) {
	for i := range times {
		d.post(i%len(d.entries), path, crashBody)
		time.Sleep(repeatPause)
		for entry := range d.entries {
			Eventually(func() int {
				status, _ := d.post(entry, "/again/between", fmt.Sprint("repeat ", i, " at ", entry))
				return status
			}, testTimeout).Should(Equal(http.StatusOK))
		}
	}
}

const (
	// healthyCallers send healthy requests, each at most healthyTries times: a server may crash
	// under each try.
	healthyCallers = 6
	healthyTries   = 12
)

// startHealthyCallers starts callers that send healthy requests. stop ends them and returns the
// number of served requests and the last response to each of the others.
func (d *deployment) startHealthyCallers() (stop func() (served int, lost []string)) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	served, lost, done := 0, []string{}, make(chan struct{})
	for c := range healthyCallers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				status, content := d.postHealthy(c, fmt.Sprintf("healthy request %d of caller %d", n, c))
				mu.Lock()
				if status == http.StatusOK {
					served++
				} else {
					lost = append(lost, fmt.Sprint(status, " ", content))
				}
				mu.Unlock()
			}
		}()
	}
	return func() (int, []string) {
		close(done)
		wg.Wait()
		return served, lost
	}
}

// postHealthy sends a healthy request until it is served, at most healthyTries times.
func (d *deployment) postHealthy(caller int, body string) (status int, content string) {
	for try := range healthyTries {
		if status, content = d.post((caller+try)%len(d.entries), "/again/healthy", body); status == http.StatusOK {
			return status, content
		}
		time.Sleep(repeatPause)
	}
	return status, content
}

// A request that crashes each server that runs it must be quarantined at all entries, or a caller
// that repeats it takes down one server after the other.
func TestRequestThatCrashesServersIsQuarantined(t *testing.T) {
	for _, tc := range []struct {
		name, path string
		reuseIDs   bool
	}{
		{"not idempotent, one server per request", "/once/x", false},
		{"idempotent, repeated by entries", "/again/x", false},
		{"servers restart under their previous ID", "/once/x", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := newDeployment(t, 3, tc.reuseIDs)
			stop := d.startHealthyCallers()
			d.repeat(tc.path, crashAttempts)
			served, lost := stop()
			Expect(lost).To(BeEmpty(), "healthy requests that were not served")
			Expect(served).To(BeNumerically(">", 0))
			Expect(d.servers.crashed.Load()).To(BeNumerically("<=", maxCrashes), "servers crashed by one request")
		})
	}
}

// quarantines returns the number of persisted quarantine changes: the only records of the
// configuration in these tests.
func (d *deployment) quarantines() int { return len(d.store.Records("configuration")) }

func TestQuarantineSurvives(t *testing.T) {
	t.Run("a restart of all entries", func(t *testing.T) {
		d := newDeployment(t, 2, false)
		d.repeat("/once/x", fewAttempts)
		Eventually(d.quarantines, testTimeout).Should(BeNumerically(">", 0))
		before := d.servers.crashed.Load()
		d.stopEntries()
		for _, settings := range d.entries {
			d.stops = append(d.stops, start(platformdaemon.NewEntryDaemon(settings, nil, discardLog())))
		}
		d.awaitReady()
		d.repeat("/once/x", fewAttempts)
		Expect(d.servers.crashed.Load()).To(Equal(before))
	})

	t.Run("a store outage, at entries that start during it", func(t *testing.T) {
		d := newDeployment(t, 2, false)
		d.store.SetFaults(standin.Faults{Down: true})
		d.repeat("/once/x", fewAttempts)
		Expect(d.servers.crashed.Load()).To(BeNumerically("<=", maxCrashes))
		before := d.servers.crashed.Load()
		d.addEntry(true)
		d.awaitReady()
		d.repeat("/once/x", fewAttempts)
		Expect(d.servers.crashed.Load()).To(Equal(before))
		d.store.SetFaults(standin.Faults{})
		Eventually(d.quarantines, testTimeout).Should(BeNumerically(">", 0), "quarantines are persisted after the outage")
	})

	t.Run("a partition between entries that reach the store", func(t *testing.T) {
		const entries = 2
		d := newServerDeployment(t, serverCount, false)
		for range entries {
			d.addEntry(false)
		}
		d.awaitReady()
		d.repeat("/once/x", fewAttempts)
		// Each entry sees one crash before one of them sees the second.
		Expect(d.servers.crashed.Load()).To(BeNumerically("<=", entries+1))
	})
}
