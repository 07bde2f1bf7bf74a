package platform

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/internal/platform"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// Server serves the stand-ins over HTTP. Each availability zone has a port of
// its own, which can be cut.
type Server struct {
	log *Log

	mu      sync.Mutex
	cut     map[string]bool
	vms     map[string]platform.VMState
	runs    map[string]int // executions by operation
	weights *rate.Limiter
	groups  map[string]*barrier
}

// weightBytesPerSecond is the weight store's rate.
const weightBytesPerSecond = 64 << 20

// NewServer returns a server with an empty log.
func NewServer(now func() time.Time) *Server {
	return &Server{
		log:     NewLog(now),
		cut:     map[string]bool{},
		vms:     map[string]platform.VMState{},
		runs:    map[string]int{},
		groups:  map[string]*barrier{},
		weights: rate.NewLimiter(weightBytesPerSecond, weightBytesPerSecond),
	}
}

// Serve answers the daemons of one zone on the listener.
func (s *Server) Serve(listener net.Listener, zone string) error {
	server := &http.Server{Handler: s.unlessCut(zone, s.mux()), ReadHeaderTimeout: time.Second}
	return server.Serve(listener)
}

// ServeControl answers the harness: faults, and the count of runs.
func (s *Server) ServeControl(listener net.Listener) error {
	mux := s.mux()
	mux.HandleFunc("PUT /fault/log", s.setFaults)
	mux.HandleFunc("PUT /fault/cut/{zone}/{on}", s.setCut)
	mux.HandleFunc("PUT /v1/vms/{name}/{state}", s.setVM)
	mux.HandleFunc("POST /runs/{operation}", s.addRun)
	mux.HandleFunc("GET /runs", s.getRuns)
	mux.HandleFunc("POST /group/{group}/{ranks}/{step}/{version}", s.arrive)
	mux.HandleFunc("GET /group/{group}", s.groupState)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	return server.Serve(listener)
}

func (s *Server) unlessCut(zone string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		cut := s.cut[zone]
		s.mu.Unlock()
		if cut {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) mux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/records", s.appendRecord)
	mux.HandleFunc("GET /v1/records", s.readRecords)
	mux.HandleFunc("GET /v1/bounds", s.bounds)
	mux.HandleFunc("GET /v1/vms", s.listVMs)
	mux.HandleFunc("GET /v1/weights/{bytes}", s.readWeights)
	return mux
}

func (s *Server) appendRecord(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.log.delay())
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset, err := s.log.Append(r.Context(), data)
	if errors.Is(err, ErrLostAnswer) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, platform.AppendAnswer{Offset: offset})
}

func (s *Server) readRecords(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.log.delay())
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: not a number", http.StatusBadRequest)
		return
	}
	waitMs, err := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	if err != nil {
		http.Error(w, "waitMs: not a number", http.StatusBadRequest)
		return
	}
	entries, err := s.log.Read(r.Context(), after, time.Duration(waitMs)*time.Millisecond)
	if errors.Is(err, platform.ErrGone) {
		http.Error(w, err.Error(), http.StatusGone)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	answer := platform.ReadAnswer{}
	for _, e := range entries {
		answer.Records = append(answer.Records, platform.RecordAnswer{Offset: e.Offset, TimeMs: e.TimeMs, Data: e.Data})
	}
	writeJSON(w, answer)
}

func (s *Server) bounds(w http.ResponseWriter, r *http.Request) {
	first, err := s.log.First(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, platform.ReadAnswer{First: first})
}

func (s *Server) listVMs(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	vms := []platform.VM{}
	for name, state := range s.vms {
		vms = append(vms, platform.VM{Name: name, State: state})
	}
	writeJSON(w, vms)
}

func (s *Server) setVM(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms[r.PathValue("name")] = platform.VMState(r.PathValue("state"))
}

func (s *Server) readWeights(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.Atoi(r.PathValue("bytes"))
	if err != nil || size < 0 {
		http.Error(w, "bytes: not a number", http.StatusBadRequest)
		return
	}
	if err := s.waitForWeights(r.Context(), size); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// waitForWeights takes the time that the store's rate asks for.
func (s *Server) waitForWeights(ctx context.Context, size int) error {
	for size > 0 {
		part := min(size, weightBytesPerSecond)
		if err := s.weights.WaitN(ctx, part); err != nil {
			return errors.Wrap(err, "weight store")
		}
		size -= part
	}
	return nil
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.log.SetFaults(faults)
}

func (s *Server) setCut(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[r.PathValue("zone")] = r.PathValue("on") == "true"
}

func (s *Server) addRun(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[r.PathValue("operation")]++
}

func (s *Server) getRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.runs)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // the reader is gone
}
