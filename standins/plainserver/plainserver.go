// Package plainserver is a test double of a backend server of protocol "plain", whose calls
// must not be repeated. Markers in a call's body make it crash, rest or announce a limit; on
// demand it fails calls that it has run.
package plainserver

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/standins/engine"
)

// Options configure Handler.
type Options struct {
	// Name is returned in each response.
	Name string
	// WorkTime is the duration of a call.
	WorkTime time.Duration
	// Recorder counts executions.
	Recorder *engine.Recorder
	// Exit exits the process after a call with CrashMarker. If nil, the marker has no effect.
	Exit func()
}

// Markers in a call's body. CrashMarker crashes the server. RestMarker makes it refuse the
// call and ask for no other for RestTime. LimitMarker makes it announce a limit of
// LimitRate calls per second for LimitTime.
const (
	CrashMarker = "ends-its-server"
	RestMarker  = "makes-its-server-rest"
	RestTime    = time.Second
	LimitMarker = "limits-its-server"
	LimitRate   = 2
	LimitTime   = 2500 * time.Millisecond
)

// ViolationPrefix starts the names under which Recorder records calls that arrived while the
// server rested, or above its limit. The server's name and the start of the rest or of the
// limit, in Unix milliseconds, follow.
const ViolationPrefix = "against-word"

// inFlightGrace is the time for which calls may arrive that were sent before the server
// asked for rest or announced a limit.
const inFlightGrace = 200 * time.Millisecond

// restState is the state of a requested rest.
type restState struct {
	mu        sync.Mutex
	startedAt time.Time
}

// start starts a rest.
func (r *restState) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startedAt = time.Now()
}

// violation returns the start of the rest that a call at this moment violates, or the zero
// time.
func (r *restState) violation() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if since := time.Since(r.startedAt); since <= inFlightGrace || since >= RestTime {
		return time.Time{}
	}
	return r.startedAt
}

// limitState is the state of an announced limit.
type limitState struct {
	mu        sync.Mutex
	startedAt time.Time
	calls     int
}

// start starts a limit, unless one is active.
func (l *limitState) start() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.startedAt) >= LimitTime {
		l.startedAt, l.calls = time.Now(), 0
	}
}

// active reports whether a limit is active.
func (l *limitState) active() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.startedAt) < LimitTime
}

// violation counts a call. It returns the start of the limit that the call violates, or the
// zero time.
func (l *limitState) violation() time.Time {
	const tolerance, burst = 1.5, 5 // of the rate, and calls in flight
	l.mu.Lock()
	defer l.mu.Unlock()
	since := time.Since(l.startedAt)
	if since <= inFlightGrace || since >= LimitTime {
		return time.Time{}
	}
	if l.calls++; float64(l.calls) <= tolerance*LimitRate*since.Seconds()+burst {
		return time.Time{}
	}
	return l.startedAt
}

// Handler returns a handler that echoes each call.
func Handler(options Options) http.Handler {
	var resting restState
	var limited limitState
	var faults engine.FaultInjector
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut && r.URL.Path == engine.FaultsPath {
			faults.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		for _, startedAt := range []time.Time{resting.violation(), limited.violation()} {
			if !startedAt.IsZero() {
				options.Recorder.Record(fmt.Sprintf("%s-%s-%d", ViolationPrefix, options.Name, startedAt.UnixMilli()))
			}
		}
		if bytes.Contains(body, []byte(LimitMarker)) {
			limited.start()
		}
		if limited.active() {
			w.Header().Set("X-Engine-Limit", strconv.Itoa(LimitRate))
		}
		if bytes.Contains(body, []byte(RestMarker)) {
			w.Header().Set("Retry-After", strconv.FormatFloat(RestTime.Seconds(), 'f', -1, 64))
			resting.start()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if options.Exit != nil && bytes.Contains(body, []byte(CrashMarker)) {
			time.Sleep(options.WorkTime)
			options.Exit()
		}
		options.Recorder.Record(engine.OperationName(body))
		time.Sleep(options.WorkTime) // continues if the caller disconnects, like real services
		w.Header().Set("Content-Type", "text/plain")
		w.Header().Set("X-Echo", r.Header.Get("X-Echo"))
		if faults.DrawFailure() {
			w.WriteHeader(http.StatusInternalServerError)
		}
		_, _ = fmt.Fprintf(w, "%s %s %s %s", options.Name, r.Method, r.URL.RequestURI(), body)
	})
}
