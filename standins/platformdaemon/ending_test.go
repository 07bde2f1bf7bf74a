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

// What users saw: a service went down again and again, each time within moments of its
// recovery, and all callers were refused meanwhile. Order of events: one caller's request
// ended the server that ran it; the caller repeated it, with a new ID, at another entry;
// that one sent it to the next server, and so on: seven servers ended under one request,
// four of the sendings after the third had ended. Cause: what a failed attempt tells of
// the request was forgotten with the attempt, and no entry told another.
//
// Evidence: in the users' record each sending of the request ended its server, once an
// attempt and at a new entry; the servers' ends followed the recoveries by a second, on
// other VMs each time. Here, without any memory of it, each repeat ends a server.

const (
	// repeats is how often the caller tries, repeatPause how long it waits between tries.
	repeats     = 10
	repeatPause = 300 * time.Millisecond
	// fewRepeats are as many as it takes where an earlier spell has shown the request up.
	fewRepeats = 6
	// mostEnded is how many servers may end: the first two can't be told from servers
	// that end for another reason, and a third may get the request before news of the
	// second has gone round.
	mostEnded = 3
	// serverCount servers are back restartDelay after their end, under a new ID.
	serverCount  = 4
	restartDelay = 400 * time.Millisecond
	// soundWork is how long sound requests run, so that some run where a server ends.
	soundWork = 40 * time.Millisecond
	// endingBody is the body of the request that ends its servers.
	endingBody = "ends its server"
)

// endingServers are backend servers that a request with endingBody ends.
type endingServers struct {
	store *standin.Store
	// reuseIDs makes servers start again under the ID that they had.
	reuseIDs bool
	starts   atomic.Int64
	ended    atomic.Int64
	closing  atomic.Bool
	wg       sync.WaitGroup
}

// run keeps one server running until the test ends: whenever it ends, it starts again at
// the same address.
func (e *endingServers) run(t *testing.T, name string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	var current atomic.Pointer[http.Server]
	id := ""
	begin := func(l net.Listener) *http.Server {
		born := e.starts.Add(1)
		if id != "" && !e.reuseIDs {
			e.store.Put("keyed.servers", id, "")
		}
		if id == "" || !e.reuseIDs {
			id = fmt.Sprintf("%s-%d", name, born)
		}
		server := &http.Server{ReadHeaderTimeout: time.Minute}
		server.Handler = e.handler(id, server)
		current.Store(server)
		e.store.Put("keyed.servers", id, fmt.Sprintf(
			`{"service":"s","address":%q,"zone":"z","capacity":6,"state":"ready","born":%d}`, address, born))
		return server
	}
	first := begin(listener)
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		server, l := first, listener
		for !e.closing.Load() {
			_ = server.Serve(l)
			if e.closing.Load() {
				return
			}
			time.Sleep(restartDelay)
			for l, err = net.Listen("tcp", address); err != nil; l, err = net.Listen("tcp", address) {
				time.Sleep(time.Millisecond) // the old one's connections are closing
			}
			server = begin(l)
		}
	}()
	t.Cleanup(func() {
		e.closing.Store(true)
		_ = current.Load().Close()
	})
}

func (e *endingServers) handler(id string, server *http.Server) http.Handler {
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
		if string(body) == endingBody {
			e.ended.Add(1)
			go server.Close()
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		time.Sleep(soundWork)
		w.Header().Set("X-Server-Stamp", "s")
		_, _ = w.Write(body)
	})
}

// fleetOfEntries is a deployment whose servers a request can end.
type fleetOfEntries struct {
	store   *standin.Store
	address string // of the store
	servers *endingServers
	entries []*platform.Settings
	stops   []func()
	ids     atomic.Int64
	// firstPort is the entries'.
	firstPort int
}

const endingConfig = `{"version":1,"routes":[
 {"name":"again","host":"h.example","path_prefix":"/again/","type":"idempotent","timeout_ms":5000,"target_latency_ms":500,"service":"s","max_attempts":2},
 {"name":"once","host":"h.example","path_prefix":"/once/","type":"non_idempotent","timeout_ms":5000,"target_latency_ms":500,"service":"s","max_attempts":2}],
 "services":[{"name":"s","max_conns":50}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t","api_keys":["k1"]}]}`

// newFleet starts entries that know each other, and servers.
func newFleet(t *testing.T, entries int, reuseIDs bool) *fleetOfEntries {
	f := newServers(t, reuseIDs)
	for i := range entries {
		f.addEntry(i > 0)
	}
	f.awaitReady()
	return f
}

// newServers starts a store and servers.
func newServers(t *testing.T, reuseIDs bool) *fleetOfEntries {
	RegisterTestingT(t)
	f := &fleetOfEntries{store: standin.NewStore()}
	f.servers = &endingServers{store: f.store, reuseIDs: reuseIDs}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: f.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		f.servers.wg.Wait()
		_ = server.Close()
	})
	f.address = listener.Addr().String()
	f.store.Put(platform.TopicOperators, "config", endingConfig)
	for i := range serverCount {
		f.servers.run(t, fmt.Sprintf("i%d", i))
	}
	f.firstPort = freePorts("127.0.0.40") // the same at all entries, as on the platform
	t.Cleanup(f.stopEntries)
	return f
}

// addEntry starts one more entry, which knows the first one or nobody.
func (f *fleetOfEntries) addEntry(knowsFirst bool) {
	settings := entrySettingsAt(fmt.Sprintf("127.0.0.%d", 40+len(f.entries)), f.firstPort, f.address)
	if knowsFirst {
		settings.Seeds = []string{f.entries[0].Control}
	}
	f.entries = append(f.entries, settings)
	f.stops = append(f.stops, start(platformdaemon.NewEntryDaemon(settings, nil, quietLog())))
}

// stopEntries stops all entries at once.
func (f *fleetOfEntries) stopEntries() {
	stopAll(f.stops)
	f.stops = nil
}

func (f *fleetOfEntries) awaitReady() {
	for _, entry := range f.entries {
		Eventually(ready(entry), patience).Should(Equal(http.StatusOK))
	}
}

// post sends one request to an entry. It returns the status, or 0 without an answer.
func (f *fleetOfEntries) post(entry int, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.entries[entry].Callers+path, bytes.NewBufferString(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = "h.example"
	request.Header.Set("X-Attempt-Id", fmt.Sprint("a", f.ids.Add(1)))
	request.Header.Set("X-Api-Key", "k1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(answer)
}

// repeat sends the request that ends its servers to the entries in turn, each time once
// all entries have served something since the last: on a busy machine, all goes slower.
func (f *fleetOfEntries) repeat(path string, times int) {
	for i := range times {
		f.post(i%len(f.entries), path, endingBody)
		time.Sleep(repeatPause)
		for entry := range f.entries {
			Eventually(func() int {
				status, _ := f.post(entry, "/again/between", fmt.Sprint("repeat ", i, " at ", entry))
				return status
			}, patience).Should(Equal(http.StatusOK))
		}
	}
}

const (
	// soundCallers send sound requests one after the other, each soundTries times at
	// most: as often as a server may be lost under one.
	soundCallers = 6
	soundTries   = 12
)

// callers send sound requests until stopped, each with a body of its own. They report
// how many were served and those that never were, with the last answer.
func (f *fleetOfEntries) callers() (stop func() (served int, lost []string)) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	served, lost, done := 0, []string{}, make(chan struct{})
	for c := range soundCallers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				status, answer := f.sound(c, fmt.Sprintf("sound %d of caller %d", n, c))
				mu.Lock()
				if status == http.StatusOK {
					served++
				} else {
					lost = append(lost, fmt.Sprint(status, " ", answer))
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

// sound sends a sound request until it is served.
func (f *fleetOfEntries) sound(caller int, body string) (status int, answer string) {
	for try := range soundTries {
		if status, answer = f.post((caller+try)%len(f.entries), "/again/sound", body); status == http.StatusOK {
			return status, answer
		}
		time.Sleep(repeatPause)
	}
	return status, answer
}

func TestRequestThatEndsItsServers(t *testing.T) {
	for _, story := range []struct {
		name, path string
		reuseIDs   bool
	}{
		{"that must not be repeated, one server an attempt", "/once/x", false},
		{"that entries may repeat", "/again/x", false},
		{"where servers start again under the ID that they had", "/once/x", true},
	} {
		t.Run(story.name, func(t *testing.T) {
			f := newFleet(t, 3, story.reuseIDs)
			stop := f.callers()
			f.repeat(story.path, repeats)
			served, lost := stop()
			Expect(lost).To(BeEmpty(), "sound requests run beside it and are served")
			Expect(served).To(BeNumerically(">", 0))
			Expect(f.servers.ended.Load()).To(BeNumerically("<=", mostEnded), "servers that one request ended")
		})
	}
}

// quarantines are the changes of the lasting configuration, which has nothing else here.
func (f *fleetOfEntries) quarantines() int { return len(f.store.Records("configuration")) }

func TestQuarantineOutlasts(t *testing.T) {
	t.Run("a restart of all entries", func(t *testing.T) {
		f := newFleet(t, 2, false)
		f.repeat("/once/x", fewRepeats)
		Eventually(f.quarantines, patience).Should(BeNumerically(">", 0))
		before := f.servers.ended.Load()
		f.stopEntries()
		for _, settings := range f.entries {
			f.stops = append(f.stops, start(platformdaemon.NewEntryDaemon(settings, nil, quietLog())))
		}
		f.awaitReady()
		f.repeat("/once/x", fewRepeats)
		Expect(f.servers.ended.Load()).To(Equal(before))
	})

	t.Run("an outage of the store, at entries that start during it", func(t *testing.T) {
		f := newFleet(t, 2, false)
		f.store.SetFaults(standin.Faults{Down: true})
		f.repeat("/once/x", fewRepeats)
		Expect(f.servers.ended.Load()).To(BeNumerically("<=", mostEnded))
		before := f.servers.ended.Load()
		f.addEntry(true)
		f.awaitReady()
		f.repeat("/once/x", fewRepeats)
		Expect(f.servers.ended.Load()).To(Equal(before))
		f.store.SetFaults(standin.Faults{})
		Eventually(f.quarantines, patience).Should(BeNumerically(">", 0), "and lasts once the store is back")
	})

	t.Run("a cut between entries, each of which reaches the store", func(t *testing.T) {
		const entries = 2
		f := newServers(t, false)
		for range entries {
			f.addEntry(false)
		}
		f.awaitReady()
		f.repeat("/once/x", fewRepeats)
		// Each sees an end of its own before one of them sees the second.
		Expect(f.servers.ended.Load()).To(BeNumerically("<=", entries+1))
	})
}
