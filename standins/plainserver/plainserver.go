// Package plain is a small stand-in for a plain service whose calls must not be
// repeated, such as slot confirmations or register entries.
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

// Options are the stand-in's settings.
type Options struct {
	// Name is told in each answer.
	Name string
	// Work is how long a call takes.
	WorkTime time.Duration
	// Recorder counts executions.
	Recorder *engine.Recorder
	// Exit ends the process when a call's body holds EndsOn; nil where none does.
	Exit func()
}

// EndsOn in a call's body ends the server that runs it, RestsOn makes it refuse that call and
// want no other for RestTime, LimitsOn makes it name LimitRate calls a second for LimitTime.
const (
	CrashMarker = "ends-its-server"
	RestMarker  = "makes-its-server-rest"
	RestTime    = time.Second
	LimitMarker = "limits-its-server"
	LimitRate   = 2
	LimitTime   = 2500 * time.Millisecond
)

// AgainstWord begins the names of calls that came while their server rested, or over its limit,
// as Recorder gets them; the server's name and the word's beginning, in milliseconds since 1970,
// follow.
const ViolationPrefix = "against-word"

// onItsWay is for how long calls may come that were sent before a server asked for rest.
const inFlightGrace = 200 * time.Millisecond

// rest is what a server keeps of the rest that it has asked for.
type restState struct {
	mu        sync.Mutex
	startedAt time.Time
}

// begin starts a rest.
func (r *restState) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startedAt = time.Now()
}

// broken returns when the rest began that a call at this moment breaks; zero when none.
func (r *restState) violation() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if since := time.Since(r.startedAt); since <= inFlightGrace || since >= RestTime {
		return time.Time{}
	}
	return r.startedAt
}

// limit is what a server keeps of a limit that it names.
type limitState struct {
	mu        sync.Mutex
	startedAt time.Time
	calls     int
}

// begin starts a limit, unless one is in force.
func (l *limitState) start() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.startedAt) >= LimitTime {
		l.startedAt, l.calls = time.Now(), 0
	}
}

// named tells whether a limit is in force.
func (l *limitState) active() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.startedAt) < LimitTime
}

// broken counts a call and returns when the limit began that it breaks; zero when none.
func (l *limitState) violation() time.Time {
	const tolerance, burst = 1.5, 5 // half as much again, and what was on its way
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

// Handler returns the service's API: it echoes what it was asked.
func Handler(options Options) http.Handler {
	var resting restState
	var limited limitState
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
		time.Sleep(options.WorkTime) // goes on although the caller left, as real services do
		w.Header().Set("Content-Type", "text/plain")
		w.Header().Set("X-Echo", r.Header.Get("X-Echo"))
		_, _ = fmt.Fprintf(w, "%s %s %s %s", options.Name, r.Method, r.URL.RequestURI(), body)
	})
}
