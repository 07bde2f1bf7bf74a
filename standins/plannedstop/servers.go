// Package plannedstop stops daemons that run as real processes while callers go on, and checks what
// became of each request.
package plannedstop

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/platform"
)

// Headers by which a caller shapes the response to its request.
const (
	headerEvents  = "X-Test-Events"
	headerGapMs   = "X-Test-Gap-Ms"
	headerPauseMs = "X-Test-Pause-Ms" // a silence in the middle
)

// execution is what the servers did for one request.
type execution struct {
	runs int
	// endedAt is when the last run ended, or zero.
	endedAt time.Time
}

// servers are backend servers that run requests as their callers ask, and record each run.
type servers struct {
	mu         sync.Mutex
	executions map[string]*execution
}

func newServers() *servers { return &servers{executions: map[string]*execution{}} }

func (s *servers) begin(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.executions[id]
	if e == nil {
		e = &execution{}
		s.executions[id] = e
	}
	e.runs++
	e.endedAt = time.Time{}
}

func (s *servers) end(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[id].endedAt = time.Now()
}

// of returns what the servers did for a request.
func (s *servers) of(id string) execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.executions[id]; e != nil {
		return *e
	}
	return execution{}
}

// ServeHTTP implements http.Handler. A response has as many events or, if it isn't a stream, takes as
// many gaps as its caller asks for. Its run goes on when the caller has left.
func (s *servers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platform.HeaderRequestID)
	s.begin(id)
	defer s.end(id)
	w.Header().Set(platform.HeaderRequestID, id)
	w.Header().Set(platform.HeaderSignature, "s")
	number := func(name string) int {
		n, _ := strconv.Atoi(r.Header.Get(name)) // 0 if absent
		return n
	}
	events, gap := number(headerEvents), time.Duration(number(headerGapMs))*time.Millisecond
	if r.URL.Path == pathIdempotent || r.URL.Path == pathOnce {
		time.Sleep(time.Duration(events) * gap)
		fmt.Fprintf(w, "%s %d", id, events)
		return
	}
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	stream := http.NewResponseController(w)
	for event := first; event <= events; event++ {
		time.Sleep(gap)
		if event == events/2 {
			time.Sleep(time.Duration(number(headerPauseMs)) * time.Millisecond)
		}
		fmt.Fprintf(w, "id: %d\ndata: x\n\n", event)
		_ = stream.Flush() // fails if the caller has left
	}
}
