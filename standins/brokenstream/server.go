// Package brokenstream is a test double of the platform's servers whose streams break off and fail to
// resume, and of a caller that requests a stream until it is complete and checks each response.
package brokenstream

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"

	"github.com/crowbridge/crowbridge/platform"
)

// Events is the number of events of each stream.
const Events = 8

// Percentages of a server's responses.
const (
	failFirstPercent      = 15
	failResumptionPercent = 50
	breakPercent          = 50
)

// streamEvent returns an event of the stream at a path.
func streamEvent(path string, id int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d\n\n", id, path, id)
}

// failureText returns the body of a server's failure response.
func failureText(path string, status int) string {
	return fmt.Sprintf("{\"failed\":%q,\"status\":%d}\n\n", path, status)
}

// Records counts what all servers did.
type Records struct {
	mu sync.Mutex
	// runs counts the responses by request ID; a second one is a resumption within a response.
	runs map[string]int
	// Continued and Failed count such resumptions that a stream and a failure responded to.
	Continued, Failed int
	// Broken counts streams that broke off, by the way in which they did.
	Broken map[string]int
}

// NewRecords returns empty records.
func NewRecords() *Records { return &Records{runs: map[string]int{}, Broken: map[string]int{}} }

// Server randomly breaks off streams and fails, more often when it should resume one.
type Server struct {
	records *Records
	mu      sync.Mutex
	random  *rand.Rand
	streams int
}

// unframedInterval is the number of streams of a server of which one may be unframed.
const unframedInterval = 3

// NewServer returns a server whose draws the random source determines.
func NewServer(records *Records, random *rand.Rand) *Server {
	return &Server{records: records, random: random}
}

// plan is how a server responds to one request.
type plan struct {
	// status is that of a failure or of a response that isn't a stream, or 0.
	status int
	signed bool
	// lastEvent is the last whole event; breakOff names how the stream then breaks off, or is "".
	lastEvent      int
	breakOff       string
	insideEvent    bool
	declaresLength bool
	// unframed is set if the body ends with the connection alone.
	unframed bool
}

// draw draws the response to a request for the events after one.
func (s *Server) draw(after int, resumes bool) plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	failPercent := failFirstPercent
	if resumes {
		failPercent = failResumptionPercent
	}
	p := plan{lastEvent: Events, declaresLength: s.random.IntN(3) == 0}
	switch {
	case s.random.IntN(100) < failPercent:
		s.drawFailure(&p, resumes)
	case after < Events && s.random.IntN(100) < breakPercent:
		s.drawBreak(&p, after)
	}
	s.streams++
	// A body that is closed in order between events would be complete.
	p.unframed = s.streams%unframedInterval == 0 && !p.declaresLength && (p.breakOff != "close" || p.insideEvent)
	return p
}

// drawFailure draws a failure, or for a resumption also a document of status 200.
func (s *Server) drawFailure(p *plan, resumes bool) {
	statuses := []int{http.StatusInternalServerError, http.StatusGatewayTimeout, http.StatusBadRequest}
	if resumes {
		statuses = append(statuses, http.StatusOK)
	}
	p.status = statuses[s.random.IntN(len(statuses))]
	p.signed = p.status == http.StatusOK || s.random.IntN(2) == 0
}

// drawBreak draws where and how a stream breaks off.
func (s *Server) drawBreak(p *plan, after int) {
	p.lastEvent = after + s.random.IntN(Events-after)
	p.insideEvent = s.random.IntN(2) == 0
	ways := []string{"reset", "close"}
	if p.insideEvent && !p.declaresLength {
		ways = append(ways, "end") // between events, it would be the end of the stream
	}
	p.breakOff = ways[s.random.IntN(len(ways))]
}

// record counts a response.
func (r *Records) record(id string, p plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs[id] > 0 && p.status != 0 {
		r.Failed++
	} else if r.runs[id] > 0 {
		r.Continued++
	}
	r.runs[id]++
	if p.breakOff != "" {
		r.Broken[fmt.Sprintf("%s, inside an event: %t", p.breakOff, p.insideEvent)]++
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		after = 0 // from the start
	}
	id := r.Header.Get(platform.HeaderRequestID)
	p := s.draw(after, err == nil)
	s.records.record(id, p)
	w.Header().Set(platform.HeaderRequestID, id)
	if p.status != 0 {
		if p.signed {
			w.Header().Set(platform.HeaderSignature, "s")
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(p.status)
		fmt.Fprint(w, failureText(r.URL.Path, p.status))
		return
	}
	w.Header().Set(platform.HeaderSignature, "s")
	w.Header().Set("Content-Type", "text/event-stream")
	writeStream(w, r.URL.Path, after, p)
}

// writeStream sends the events after one, and breaks off as planned.
func writeStream(w http.ResponseWriter, path string, after int, p plan) {
	if p.declaresLength {
		length := 0
		for event := after + 1; event <= Events; event++ {
			length += len(streamEvent(path, event))
		}
		w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	if p.unframed {
		w.Header().Set("Transfer-Encoding", "identity") // net/http then closes the connection after the body
	}
	controller := http.NewResponseController(w)
	for event := after + 1; event <= p.lastEvent; event++ {
		fmt.Fprint(w, streamEvent(path, event))
		_ = controller.Flush() // a failure is seen by the entry
	}
	if p.insideEvent {
		next := streamEvent(path, p.lastEvent+1)
		fmt.Fprint(w, next[:len(next)/2])
		_ = controller.Flush()
	}
	switch p.breakOff {
	case "close":
		panic(http.ErrAbortHandler)
	case "reset":
		conn, _, err := controller.Hijack()
		if err != nil {
			panic(http.ErrAbortHandler) // the entry has disconnected
		}
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}
