package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is a request that a server has begun to work on.
type run struct {
	server, id, method, target, path, query, tenant string
	at                                              time.Time
}

// appServer stands in for a server of an application service.
type appServer struct {
	id, service, address string
	work                 time.Duration
	world                *world

	mu   sync.Mutex
	runs []run
}

// startServer starts a server in this process and registers it.
func (w *world) startServer(id, service string, work time.Duration) *appServer {
	s := &appServer{id: id, service: service, work: work, world: w}
	s.address = w.startHandler(id, service, s)
	return s
}

// startHandler starts a server with a handler in this process and registers it. It returns its address.
func (w *world) startHandler(id, service string, handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go func() { _ = http.Serve(listener, handler) }()
	address := listener.Addr().String()
	w.register(id, service, address, "ready", 6, 1, time.Now().UnixMilli())
	return address
}

func (s *appServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" && r.Header.Get("X-Attempt-Id") == "" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	n := run{s.id, id, r.Method, r.RequestURI, r.URL.Path, r.URL.RawQuery, r.Header.Get("X-Tenant"), time.Now()}
	s.mu.Lock()
	s.runs = append(s.runs, n)
	s.mu.Unlock()
	s.world.log("run at %s (service %s): id %s, request target %s, path %q", s.id, s.service, id, n.target, n.path)
	time.Sleep(s.work)
	w.Header().Set("X-Server-Stamp", "3e1b."+s.id+"."+id)
	fmt.Fprintf(w, "answer of %s to %s", s.id, id)
}

// runsOf returns the runs of a request.
func (s *appServer) runsOf(id string) []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []run
	for _, r := range s.runs {
		if r.id == id {
			found = append(found, r)
		}
	}
	return found
}
