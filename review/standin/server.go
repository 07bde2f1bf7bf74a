package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// workTime is how long a request runs.
const workTime = 15 * time.Millisecond

// server is a stand-in of a sound backend server.
type server struct {
	id, address, zone string
	listener          net.Listener
	mu                sync.Mutex
	// began holds the times at which requests began to run, by ID.
	began map[string]time.Time
}

func startServer(id, ip, zone string) *server {
	listener := must(net.Listen("tcp", ip+":0"))
	s := &server{id: id, address: listener.Addr().String(), zone: zone, listener: listener, began: map[string]time.Time{}}
	go func() { _ = http.Serve(listener, s) }()
	return s
}

// registration returns the server's entry in the store.
func (s *server) registration(sequence int) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":1,"capacity":6,"state":"ready","cold_remaining_ms":0,"sequence":%d}`,
		appService, s.address, s.zone, sequence)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Server-Stamp", "3e1b.07."+s.id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	s.mu.Lock()
	s.began[id] = time.Now()
	s.mu.Unlock()
	time.Sleep(workTime)
	fmt.Fprint(w, "the answer to "+id)
}

// beganAfter returns the IDs of the requests that the server began after a time.
func (s *server) beganAfter(at time.Time) map[string]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := map[string]time.Time{}
	for id, began := range s.began {
		if began.After(at) {
			late[id] = began
		}
	}
	return late
}
