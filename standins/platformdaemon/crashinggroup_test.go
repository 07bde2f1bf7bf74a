package platformdaemon_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/platformdaemon"
	"github.com/crowbridge/crowbridge/platform"
	"github.com/crowbridge/crowbridge/standins/engine"
	. "github.com/onsi/gomega"
)

const (
	crashingRanks = 4
	// groupStall is how long the other ranks wait for a crashed one before they abort their streams.
	groupStall = 300 * time.Millisecond
	// streamEvents and eventPause make healthy streams long enough to run at several ranks
	// whenever one crashes.
	streamEvents = 30
	eventPause   = 10 * time.Millisecond
)

const groupConfig = `{"version":1,"routes":[
 {"name":"write","host":"h.example","path_prefix":"/write/","type":"streaming","resumable":true,"timeout_ms":5000,"target_latency_ms":500,"itl_target_ms":120,"service":"m","max_attempts":2}],
 "services":[{"name":"m","max_conns":50,"engine":{"capacity":12,"stride":5,"step_ms":5.85,"per_seq_ms":0.355,"sets":1,"experts":8,"placements":4,"spare":2,"expert_share":0.85}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t","api_keys":["k1"]}]}`

// crashingGroup is an engine group of which a request with crashBody crashes one rank.
type crashingGroup struct {
	deployment     *deployment
	group          *engine.Group
	mu             sync.Mutex
	ids, addresses []string
	epoch          int
	starts         atomic.Int64
	// broken is closed when the group breaks and replaced when it forms again.
	broken   chan struct{}
	stopping atomic.Bool
}

// register writes the registrations of all ranks. The caller holds mu.
func (e *crashingGroup) register(state string) {
	for rank, id := range e.ids {
		e.deployment.store.Put("keyed.servers", id, fmt.Sprintf(
			`{"service":"m","address":%q,"zone":"z","capacity":12,"state":"ready","group":{"name":"g","epoch":%d,"rank":%d,"state":%q},"size":%d}`,
			e.addresses[rank], e.epoch, rank, state, crashingRanks))
	}
}

// crash takes a rank down, which breaks the group.
func (e *crashingGroup) crash(rank int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.group.SetDown(rank, true)
	close(e.broken)
	e.deployment.store.Put("keyed.servers", e.ids[rank], "")
	e.ids[rank] = fmt.Sprintf("r%d-%d", rank, e.starts.Add(1))
}

// reform brings a rank back and forms the group in a new epoch.
func (e *crashingGroup) reform(rank int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.group.SetDown(rank, false)
	e.epoch++
	e.broken = make(chan struct{})
	e.register("open")
}

// currentRank returns the channel that is closed when the group breaks, and the rank's current ID.
func (e *crashingGroup) currentRank(rank int) (broken chan struct{}, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.broken, e.ids[rank]
}

// run serves one rank until the test ends and restarts it restartDelay after each crash.
func (e *crashingGroup) run(t *testing.T, rank int, listener net.Listener) {
	address := listener.Addr().String()
	var current atomic.Pointer[http.Server]
	newServer := func() *http.Server {
		server := &http.Server{ReadHeaderTimeout: time.Minute}
		server.Handler = e.group.Handler(rank, e.handler(rank, server))
		current.Store(server)
		return server
	}
	server := newServer()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for !e.stopping.Load() {
			_ = server.Serve(listener)
			if e.stopping.Load() {
				return
			}
			time.Sleep(restartDelay)
			var err error
			for listener, err = net.Listen("tcp", address); err != nil; listener, err = net.Listen("tcp", address) {
				time.Sleep(time.Millisecond)
			}
			server = newServer()
			e.reform(rank)
		}
	}()
	t.Cleanup(func() {
		e.stopping.Store(true)
		_ = current.Load().Close()
		<-done
	})
}

// handler serves streams of a rank, or crashes it.
func (e *crashingGroup) handler(rank int, server *http.Server) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		broken, id := e.currentRank(rank)
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		if r.Header.Get("X-Expect-Instance") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		select {
		case <-broken:
			w.Header().Set("X-Not-Executed", "1")
			w.Header().Set("At-Server", id)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		default:
		}
		if string(body) == crashBody || e.deployment.servers.parts.reached(r.Header) {
			e.deployment.servers.recordCrash()
			e.crash(rank)
			go server.Close()
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		stream(w, broken)
	})
}

// stream writes events, and aborts groupStall after the group breaks.
func stream(w http.ResponseWriter, broken chan struct{}) {
	w.Header().Set("X-Server-Stamp", "s")
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for id := range streamEvents {
		select {
		case <-broken:
			time.Sleep(groupStall)
			panic(http.ErrAbortHandler)
		case <-time.After(eventPause):
		}
		fmt.Fprintf(w, "id: %d\ndata: x\n\n", id+1)
		if flusher.Flush() != nil {
			return
		}
	}
}

// newGroupDeployment starts a store, two entries and a group with its agents.
func newGroupDeployment(t *testing.T) *deployment {
	d := newServerDeployment(t, 0, false)
	d.store.Put(platform.TopicOperators, "config", groupConfig)
	e := &crashingGroup{
		deployment: d, epoch: 1, broken: make(chan struct{}),
		group: engine.NewGroup(engine.GroupOptions{Name: "g", Ranks: crashingRanks, Experts: 8, Layers: 1, PassTime: passTime}),
	}
	listeners := make([]net.Listener, crashingRanks)
	for rank := range crashingRanks {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:0", 60+rank))
		Expect(err).NotTo(HaveOccurred())
		listeners[rank] = listener
		e.ids = append(e.ids, fmt.Sprintf("r%d-0", rank))
		e.addresses = append(e.addresses, listener.Addr().String())
	}
	e.register("open")
	for rank, listener := range listeners {
		e.run(t, rank, listener)
	}
	for range 2 {
		d.addEntry(len(d.entries) > 0)
	}
	for rank, address := range e.addresses {
		stop := start(platformdaemon.NewAgentDaemon(&platform.Settings{
			Daemon: fmt.Sprint("agent-", rank), IP: fmt.Sprintf("127.0.0.%d", 60+rank), Zone: "z", Store: d.address, Path: "none",
			FirstPort: d.firstPort, Seeds: []string{d.entries[0].Control}, LocalServer: address, EnginesFence: true,
		}, discardLog()))
		t.Cleanup(stop)
	}
	d.awaitReady()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go e.group.Run(ctx)
	return d
}

// When a rank crashes, streams of all ranks of its group break off. Only the request that crashed
// it may be quarantined, not the healthy ones.
func TestOnlyRequestThatCrashesRanksIsQuarantined(t *testing.T) {
	d := newGroupDeployment(t)
	var callers sync.WaitGroup
	var served, quarantined atomic.Int64
	done := make(chan struct{})
	for c := range healthyCallers {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				for try := range healthyTries { // repeats the same request
					status, content := d.post((c+try)%len(d.entries), "/write/x", fmt.Sprintf("healthy request %d of caller %d", n, c))
					if status == http.StatusOK {
						served.Add(1)
						break
					}
					if strings.Contains(content, "quarantined") {
						quarantined.Add(1)
					}
					time.Sleep(repeatPause / 3)
				}
			}
		})
	}
	for i := range crashAttempts {
		d.post(i%len(d.entries), "/write/x", crashBody)
		time.Sleep(2 * repeatPause)
	}
	close(done)
	callers.Wait()
	Expect(served.Load()).To(BeNumerically(">", 0))
	Expect(quarantined.Load()).To(BeZero(), "healthy requests that were quarantined")
	Expect(d.servers.crashed.Load()).To(BeNumerically("<=", maxCrashes), "ranks crashed by one request")
	t.Logf("%d ranks crashed, %d healthy requests served", d.servers.crashed.Load(), served.Load())
}
