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

// The same story with a group in lock-step: each end takes all ranks away, so that the
// streams of all of them break off, and a dozen sound ones run where the rank ended.

const (
	endingRanks = 4
	// groupStall is how long the other ranks wait for one that has ended before they cut
	// off what they run.
	groupStall = 300 * time.Millisecond
	// streamEvents and eventPause are of sound streams: long enough to run at several ranks
	// whenever one ends.
	streamEvents = 30
	eventPause   = 10 * time.Millisecond
)

const groupConfig = `{"version":1,"routes":[
 {"name":"write","host":"h.example","path_prefix":"/write/","type":"streaming","resumable":true,"timeout_ms":5000,"target_latency_ms":500,"itl_target_ms":120,"service":"m","max_attempts":2}],
 "services":[{"name":"m","max_conns":50,"engine":{"capacity":12,"stride":5,"step_ms":5.85,"per_seq_ms":0.355,"sets":1,"experts":8,"placements":4,"spare":2,"expert_share":0.85}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t","api_keys":["k1"]}]}`

// endingGroup is a group of engines that a request with endingBody breaks.
type endingGroup struct {
	fleet *fleetOfEntries
	group *engine.Group
	mu    sync.Mutex
	// ids and addresses are the ranks', epoch the group's.
	ids, addresses []string
	epoch          int
	starts         atomic.Int64
	// broken is closed when the group breaks and replaced when it's back.
	broken  chan struct{}
	closing atomic.Bool
}

// register writes all ranks' entries. The lock is held.
func (e *endingGroup) register(state string) {
	for rank, id := range e.ids {
		e.fleet.store.Put("keyed.servers", id, fmt.Sprintf(
			`{"service":"m","address":%q,"zone":"z","capacity":12,"state":"ready","group":{"name":"g","epoch":%d,"rank":%d,"state":%q},"size":%d}`,
			e.addresses[rank], e.epoch, rank, state, endingRanks))
	}
}

// end takes a rank away, and the group with it.
func (e *endingGroup) end(rank int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.group.SetDown(rank, true)
	close(e.broken)
	e.fleet.store.Put("keyed.servers", e.ids[rank], "")
	e.ids[rank] = fmt.Sprintf("r%d-%d", rank, e.starts.Add(1))
}

// back forms the group anew.
func (e *endingGroup) back(rank int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.group.SetDown(rank, false)
	e.epoch++
	e.broken = make(chan struct{})
	e.register("open")
}

// brokenChannel returns what is closed when the group breaks, and the present ID of a rank.
func (e *endingGroup) present(rank int) (broken chan struct{}, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.broken, e.ids[rank]
}

// run keeps one rank's engine running: it listens again restartDelay after its end.
func (e *endingGroup) run(t *testing.T, rank int, listener net.Listener) {
	address := listener.Addr().String()
	var current atomic.Pointer[http.Server]
	begin := func() *http.Server {
		server := &http.Server{ReadHeaderTimeout: time.Minute}
		server.Handler = e.group.Handler(rank, e.handler(rank, server))
		current.Store(server)
		return server
	}
	server := begin()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for !e.closing.Load() {
			_ = server.Serve(listener)
			if e.closing.Load() {
				return
			}
			time.Sleep(restartDelay)
			var err error
			for listener, err = net.Listen("tcp", address); err != nil; listener, err = net.Listen("tcp", address) {
				time.Sleep(time.Millisecond)
			}
			server = begin()
			e.back(rank)
		}
	}()
	t.Cleanup(func() {
		e.closing.Store(true)
		_ = current.Load().Close()
		<-done
	})
}

// handler runs streams at a rank.
func (e *endingGroup) handler(rank int, server *http.Server) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		broken, id := e.present(rank)
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
		if string(body) == endingBody {
			e.fleet.servers.ended.Add(1)
			e.end(rank)
			go server.Close()
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		stream(w, broken)
	})
}

// stream writes events, until the group has been broken for groupStall.
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

func TestRequestThatBreaksItsGroup(t *testing.T) {
	f := newServers(t, false)
	f.store.Put(platform.TopicOperators, "config", groupConfig)
	e := &endingGroup{
		fleet: f, epoch: 1, broken: make(chan struct{}),
		group: engine.NewGroup(engine.GroupOptions{Name: "g", Ranks: endingRanks, Experts: 8, Layers: 1, PassTime: passTime}),
	}
	listeners := make([]net.Listener, endingRanks)
	for rank := range endingRanks {
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
		f.addEntry(len(f.entries) > 0)
	}
	for rank, address := range e.addresses {
		stop := start(platformdaemon.NewAgentDaemon(&platform.Settings{
			Daemon: fmt.Sprint("agent-", rank), IP: fmt.Sprintf("127.0.0.%d", 60+rank), Zone: "z", Store: f.address, Path: "none",
			FirstPort: f.firstPort, Seeds: []string{f.entries[0].Control}, LocalServer: address, EnginesFence: true,
		}, quietLog()))
		t.Cleanup(stop)
	}
	f.awaitReady()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go e.group.Run(ctx)

	var calling sync.WaitGroup
	var served, heldBack atomic.Int64
	done := make(chan struct{})
	for c := range soundCallers {
		calling.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				for try := range soundTries { // the same request again
					status, answer := f.post((c+try)%len(f.entries), "/write/x", fmt.Sprintf("sound %d of caller %d", n, c))
					if status == http.StatusOK {
						served.Add(1)
						break
					}
					if strings.Contains(answer, "quarantined") {
						heldBack.Add(1)
					}
					time.Sleep(repeatPause / 3)
				}
			}
		})
	}
	for i := range repeats {
		f.post(i%len(f.entries), "/write/x", endingBody)
		time.Sleep(2 * repeatPause)
	}
	close(done)
	calling.Wait()
	Expect(served.Load()).To(BeNumerically(">", 0))
	Expect(heldBack.Load()).To(BeZero(), "sound requests taken for the one that ended the ranks")
	Expect(f.servers.ended.Load()).To(BeNumerically("<=", mostEnded), "ranks that one request ended")
	t.Logf("%d ranks ended, %d sound requests served", f.servers.ended.Load(), served.Load())
}
