package platform

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/platform"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// Server serves the stand-ins over HTTP. Each availability zone has a port of
// its own, which can be cut.
type Server struct {
	log *Log

	mu      sync.Mutex
	cut     map[string]bool
	vms     map[string]string // state by server
	runs    map[string]int    // executions by operation
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
		vms:     map[string]string{},
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
	mux.HandleFunc("PUT /fault/server/{name}/{state}", s.setVM)
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
	mux.HandleFunc("POST "+platform.PathAppend, s.appendRecord)
	mux.HandleFunc("GET "+platform.PathRead, s.readRecords)
	mux.HandleFunc("GET "+platform.PathNewest, s.newest)
	mux.HandleFunc("GET /v1/weights/{bytes}", s.readWeights)
	return mux
}

// registered are the states that servers register, by what scripts call them.
var registered = map[string]string{"live": "ready", "leaving": "draining"}

func (s *Server) setVM(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms[r.PathValue("name")] = registered[r.PathValue("state")]
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
