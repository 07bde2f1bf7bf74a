package plannedstop

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/platform"
)

// Paths of the routes.
const (
	pathIdempotent = "/idempotent/x"
	pathOnce       = "/once/x"
	pathResumable  = "/resumable/x"
	pathStream     = "/stream/x"
)

var paths = []string{pathIdempotent, pathOnce, pathResumable, pathStream, pathResumable, pathStream}

// record is what a caller saw of one request.
type record struct {
	id, path string
	// late is which part arrived late; kept is set if the connection had served a request before.
	late late
	kept bool
	// sentAt and wholeAt are when its first and its last byte were sent; wholeAt is zero if the
	// connection ended before.
	sentAt, wholeAt, endedAt time.Time
	// status is 0 without a response.
	status     int
	retryAfter string
	complete   bool
	events     int
}

// late describes which part of a request arrives late.
type late int

// String returns the name used in figures.
func (l late) String() string { return [...]string{"whole", "late header", "late body"}[l] }

const (
	lateNothing late = iota
	lateHeader
	lateBody
	lateKinds
)

// request is a request that is sent in two parts.
type request struct {
	id, path      string
	late          late
	events        int
	first, second string
	pause         time.Duration
}

// newRequest draws a request.
func newRequest(random *rand.Rand, id string) request {
	r := request{id: id, path: paths[random.IntN(len(paths))]}
	r.events = 5 + random.IntN(64)
	gap, pause := 40+random.IntN(80), 0
	switch {
	case r.path == pathIdempotent || r.path == pathOnce:
		r.events, gap = 1+random.IntN(10), 100
	case random.IntN(4) == 0:
		pause = 500 + random.IntN(1900)
	}
	body := strings.Repeat("b", 100+random.IntN(4000))
	header := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n%s: %d\r\n%s: %d\r\n%s: %d\r\n\r\n",
		r.path, platform.HeaderRequestID, id, platform.HeaderDeadline, routeTimeout.Milliseconds(), len(body), headerEvents, r.events, headerGapMs, gap, headerPauseMs, pause)
	whole := header + body
	r.first = whole
	r.late = late(random.IntN(int(lateKinds)))
	switch r.late {
	case lateHeader:
		r.first, r.pause = whole[:20], time.Duration(random.IntN(2500))*time.Millisecond
	case lateBody:
		r.first, r.pause = whole[:len(header)+len(body)/2], time.Duration(random.IntN(1500))*time.Millisecond
	default:
	}
	r.second = whole[len(r.first):]
	return r
}

// callers send requests to one address, each on open and on new connections in turn.
type callers struct {
	address string

	mu      sync.Mutex
	records []record
}

// run sends requests until the process is gone, by its exited channel.
func (c *callers) run(random *rand.Rand, name string, exited <-chan struct{}) {
	var conn net.Conn
	reused := false // set if conn has served a request
	for n := 0; ; n++ {
		select {
		case <-exited:
			return
		default:
		}
		time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
		if conn != nil && random.IntN(4) == 0 {
			_ = conn.Close()
			conn = nil
		}
		if conn == nil {
			dialed, err := net.DialTimeout("tcp", c.address, time.Second)
			if err != nil {
				continue
			}
			conn, reused = dialed, false
		}
		r, kept := exchange(conn, newRequest(random, fmt.Sprintf("%s-%d", name, n)))
		r.kept, reused = reused, kept
		c.mu.Lock()
		c.records = append(c.records, r)
		c.mu.Unlock()
		if !kept {
			_ = conn.Close()
			conn = nil
		}
	}
}

// exchange sends a request and reads its response. It reports whether the connection may be kept.
func exchange(conn net.Conn, r request) (rec record, kept bool) {
	rec = record{id: r.id, path: r.path, late: r.late, sentAt: time.Now()}
	defer func() { rec.endedAt = time.Now() }()
	sent := make(chan time.Time, 1)
	go func() {
		defer close(sent)
		if _, err := io.WriteString(conn, r.first); err != nil {
			return
		}
		if r.second != "" {
			time.Sleep(r.pause)
			if _, err := io.WriteString(conn, r.second); err != nil {
				return
			}
		}
		sent <- time.Now()
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		rec.status, rec.retryAfter = response.StatusCode, response.Header.Get("Retry-After")
		rec.complete = readBody(response, &rec, r)
		kept = rec.complete && !response.Close
	} else {
		_ = conn.Close()
	}
	if at, whole := <-sent; whole {
		rec.wholeAt = at
	}
	return rec, kept
}

// readBody reads a response and reports whether it is complete.
func readBody(response *http.Response, rec *record, r request) bool {
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil || response.StatusCode != http.StatusOK {
		rec.events = strings.Count(string(body), "\n\n")
		return err == nil
	}
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return string(body) == r.id+" "+strconv.Itoa(r.events)
	}
	want := &strings.Builder{}
	for event := 1; event <= r.events; event++ {
		fmt.Fprintf(want, "id: %d\ndata: x\n\n", event)
	}
	rec.events = strings.Count(string(body), "\n\n")
	return string(body) == want.String()
}
