// Package plain is a small stand-in for a plain service whose calls must not be
// repeated, such as slot confirmations or register entries.
package plain

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/crowbridge/crowbridge/standins/engine"
)

// Options are the stand-in's settings.
type Options struct {
	// Name is told in each answer.
	Name string
	// Work is how long a call takes.
	Work time.Duration
	// Recorder counts executions.
	Recorder *engine.Recorder
	// Exit ends the process when a call's body holds EndsOn; nil where none does.
	Exit func()
}

// EndsOn in a call's body ends the server that runs it.
const EndsOn = "ends-its-server"

// Handler returns the service's API: it echoes what it was asked.
func Handler(options Options) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if options.Exit != nil && bytes.Contains(body, []byte(EndsOn)) {
			time.Sleep(options.Work)
			options.Exit()
		}
		options.Recorder.Record(engine.Operation(body))
		time.Sleep(options.Work) // goes on although the caller left, as real services do
		w.Header().Set("Content-Type", "text/plain")
		w.Header().Set("X-Echo", r.Header.Get("X-Echo"))
		_, _ = fmt.Fprintf(w, "%s %s %s %s", options.Name, r.Method, r.URL.RequestURI(), body)
	})
}
