package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a stand-in of a sound backend server.
type server struct {
	id, address, zone string
	listener          net.Listener
	// events and gap describe the streams that it sends; without events it answers with a body.
	events int
	gap    time.Duration

	mu sync.Mutex
	// began and finished are the times at which requests began to run and were sent in full, by ID.
	began, finished map[string]time.Time
}

func startServer(id, ip, zone string) *server {
	listener := must(net.Listen("tcp", ip+":0"))
	s := &server{id: id, address: listener.Addr().String(), zone: zone, listener: listener, began: map[string]time.Time{}, finished: map[string]time.Time{}}
	go func() { _ = http.Serve(listener, s) }()
	return s
}

// registration returns the server's entry in the store.
func (s *server) registration(service string, sequence int) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":1,"capacity":6,"state":"ready","cold_remaining_ms":0,"sequence":%d}`,
		service, s.address, s.zone, sequence)
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
	s.mark(s.began, id)
	if s.events == 0 {
		time.Sleep(15 * time.Millisecond)
		fmt.Fprint(w, "the answer to "+id)
		s.mark(s.finished, id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	stream := http.NewResponseController(w)
	for n := range s.events {
		fmt.Fprintf(w, "id: %d\ndata: five tokens of text\n\n", n+1)
		if stream.Flush() != nil || r.Context().Err() != nil {
			return // the caller closed the connection
		}
		time.Sleep(s.gap)
	}
	s.mark(s.finished, id)
}

func (s *server) mark(times map[string]time.Time, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	times[id] = time.Now()
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

// ran reports whether the server began a request, and whether it sent the whole answer.
func (s *server) ran(id string) (began, finished bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.began[id].IsZero(), !s.finished[id].IsZero()
}
