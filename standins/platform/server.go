package platform

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/platform"
)

// Server serves a Store over HTTP. Each availability zone has its own port, which can be
// made unreachable.
type Server struct {
	store *Store

	mu          sync.Mutex
	unreachable map[string]bool
	runs        map[string]int // executions by operation
}

// NewServer returns a server with an empty store.
func NewServer() *Server {
	return &Server{store: NewStore(), unreachable: map[string]bool{}, runs: map[string]int{}}
}

// Serve serves the daemons of one zone on the listener.
func (s *Server) Serve(listener net.Listener, zone string) error {
	server := &http.Server{Handler: s.abortIfUnreachable(zone, s.store), ReadHeaderTimeout: time.Second}
	return server.Serve(listener)
}

// ServeControl serves the test harness on the listener: fault injection and the counts of
// executions.
func (s *Server) ServeControl(listener net.Listener) error {
	mux := http.NewServeMux()
	mux.Handle("/", s.store)
	mux.HandleFunc("PUT /fault/log", s.setFaults)
	mux.HandleFunc("PUT /fault/log/copy", func(http.ResponseWriter, *http.Request) { s.store.TakeBackup() })
	mux.HandleFunc("PUT /fault/log/return", func(http.ResponseWriter, *http.Request) { s.store.RestoreBackup() })
	mux.HandleFunc("PUT /fault/cut/{zone}/{on}", s.setUnreachable)
	mux.HandleFunc("PUT /fault/server/{name}/{state}", s.setServerState)
	mux.HandleFunc("POST /runs/{operation}", s.recordRun)
	mux.HandleFunc("GET /runs", s.getRuns)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	return server.Serve(listener)
}

func (s *Server) abortIfUnreachable(zone string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		unreachable := s.unreachable[zone]
		s.mu.Unlock()
		if unreachable {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// registeredStates maps the states of test scripts to those that servers register.
var registeredStates = map[string]string{"live": "ready", "leaving": "draining"}

func (s *Server) setServerState(w http.ResponseWriter, r *http.Request) {
	value, err := json.Marshal(map[string]string{"state": registeredStates[r.PathValue("state")]})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.store.Put(platform.TopicRegistrations, r.PathValue("name"), string(value))
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.store.SetFaults(faults)
}

func (s *Server) setUnreachable(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable[r.PathValue("zone")] = r.PathValue("on") == "true"
}

func (s *Server) recordRun(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[r.PathValue("operation")]++
}

func (s *Server) getRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.runs)
}
