package hosted

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// storeStandin speaks the published protocol of the platform's store, as far as
// the daemons use it: topics of one partition, conditional appends, reads.
type storeStandin struct {
	mu     sync.Mutex
	topics map[string][][]byte
	grown  chan struct{}
	down   bool
}

func newStoreStandin() *storeStandin {
	return &storeStandin{topics: map[string][][]byte{}, grown: make(chan struct{})}
}

// put writes a record of a keyed topic, as operators and servers do.
func (s *storeStandin) put(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, append([]byte{byte(len(key))}, key+value...))
}

func (s *storeStandin) add(topic string, record []byte) {
	s.topics[topic] = append(s.topics[topic], record)
	close(s.grown)
	s.grown = make(chan struct{})
}

func (s *storeStandin) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *storeStandin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/log-append":
		s.serveAppend(w, r)
	case "/log-read":
		s.serveRead(w, r)
	case "/log-newest":
		s.serveNewest(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *storeStandin) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	topic := r.URL.Query().Get("topic")
	end := len(s.topics[topic])
	if expected := r.URL.Query().Get("expected_end"); expected != "" && expected != strconv.Itoa(end) {
		w.WriteHeader(http.StatusPreconditionFailed)
		fmt.Fprintf(w, `{"end":%d}`, end)
		return
	}
	s.add(topic, body[4:])
	fmt.Fprintf(w, `{"offset":%d,"end":%d}`, end, end+1)
}

func (s *storeStandin) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	waitMs, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		records, grown := s.topics[query.Get("topic")], s.grown
		s.mu.Unlock()
		if from < len(records) || waitMs == 0 {
			_, _ = w.Write(encodeRecords(records, from))
			return
		}
		select {
		case <-grown:
		case <-timeout:
			waitMs = 0
		case <-r.Context().Done():
			return
		}
	}
}

func encodeRecords(records [][]byte, from int) []byte {
	data := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	data = binary.BigEndian.AppendUint64(data, 0)
	for _, record := range records[min(from, len(records)):] {
		data = binary.BigEndian.AppendUint32(data, uint32(len(record)))
		data = append(data, record...)
	}
	return data
}

func (s *storeStandin) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.topics[r.URL.Query().Get("topic")]
	newest := map[string]map[string]any{}
	for offset, record := range records {
		key := string(record[1 : 1+record[0]])
		newest[key] = map[string]any{
			"key": key, "value": base64.StdEncoding.EncodeToString(record[1+record[0]:]), "offset": offset,
		}
	}
	items := []any{}
	for _, item := range newest {
		items = append(items, item)
	}
	Expect(json.NewEncoder(w).Encode(map[string]any{"items": items, "end": len(records)})).To(Succeed())
}

const (
	groupRanks   = 3
	groupExperts = 6
	// choicesAPass is how many choices of experts a rank makes in each pass.
	choicesAPass = 400
)

// groupStandin is a group of engines in lock-step as the platform describes
// them. It doesn't compare maps, but it counts the passes that began with two.
type groupStandin struct {
	mu    sync.Mutex
	pass  int64
	ranks [groupRanks]rankStandin
	// mixed counts passes that began while two ranks had different maps.
	mixed int
	// hot is the expert that most requests choose.
	hot int
}

type rankStandin struct {
	version, prepared, armed, armedPass, held, fence int64
	lists                                            map[int64][][][]int
	counts                                           [groupExperts]int64
	sequence                                         int64
}

func newGroupStandin() *groupStandin {
	g := &groupStandin{}
	initial := [][][]int{make([][]int, groupRanks)}
	for expert := range groupExperts {
		initial[0][expert%groupRanks] = append(initial[0][expert%groupRanks], expert)
	}
	for rank := range g.ranks {
		g.ranks[rank].lists = map[int64][][][]int{0: initial}
	}
	return g
}

// step begins the next pass unless a rank holds it.
func (g *groupStandin) step() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.ranks {
		if r.held == g.pass+1 {
			return
		}
	}
	g.pass++
	for rank := range g.ranks {
		r := &g.ranks[rank]
		if r.armed != 0 && r.armedPass == g.pass {
			r.version, r.armed = r.armed, 0
		}
		r.counts[g.hot] += choicesAPass
		r.counts[rank]++
	}
	for _, r := range g.ranks {
		if r.version != g.ranks[0].version {
			g.mixed++
			return
		}
	}
}

// state returns the version in use and the count of mixed passes.
func (g *groupStandin) state() (version int64, mixed int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ranks[0].version, g.mixed
}

// engine returns the HTTP interface of one rank.
func (g *groupStandin) engine(rank int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		g.mu.Lock()
		defer g.mu.Unlock()
		r := g.ranks[rank]
		var armed any
		if r.armed != 0 {
			armed = map[string]int64{"version": r.armed, "step": r.armedPass}
		}
		_ = json.NewEncoder(w).Encode(map[string]any{
			"sequence": r.sequence, "step": g.pass, "map": r.version, "prepared": r.prepared, "armed": armed, "held": r.held,
			"running": 1, "size": groupRanks, "group": map[string]any{"name": "g", "epoch": 1, "rank": rank, "state": "open"},
		})
	})
	mux.HandleFunc("GET /picked", func(w http.ResponseWriter, r *http.Request) {
		g.mu.Lock()
		defer g.mu.Unlock()
		own := g.ranks[rank]
		if r.URL.Query().Has("lists") {
			_ = json.NewEncoder(w).Encode(map[string]any{"map": map[string]any{
				"version": own.version, "experts": [][]int{own.lists[own.version][0][rank]},
			}})
			return
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"step": g.pass, "epoch": 1, "counts": own.counts})
	})
	mux.HandleFunc("POST /order", func(w http.ResponseWriter, r *http.Request) {
		var order struct {
			Operation string    `json:"operation"`
			Version   int64     `json:"version"`
			Step      int64     `json:"step"`
			Map       [][][]int `json:"map"`
			Fence     int64     `json:"fencing_token"`
		}
		if json.NewDecoder(r.Body).Decode(&order) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		own := &g.ranks[rank]
		if order.Fence < own.fence {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
		own.fence = order.Fence
		w.WriteHeader(g.carryOut(own, order.Operation, order.Version, order.Step, order.Map))
	})
	return mux
}

func (g *groupStandin) carryOut(own *rankStandin, operation string, version, step int64, lists [][][]int) int {
	switch {
	case operation == "prepare" && (version == own.prepared || (version > own.prepared && own.armed == 0)):
		own.prepared, own.lists[version] = version, lists
	case operation == "arm" && version == own.prepared && step > g.pass:
		own.armed, own.armedPass = version, step
	case operation == "hold" && step > g.pass && (own.held == 0 || own.held == step):
		own.held = step
	case operation == "go":
		if own.held == step {
			own.held = 0
		}
	case operation == "disarm" && version != own.version:
		own.armed = 0
	default:
		return http.StatusConflict
	}
	own.sequence++
	return http.StatusAccepted
}

// listen serves a handler at an address until the spec ends.
func listen(address string, handler http.Handler) string {
	listener, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Close)
	return listener.Addr().String()
}
