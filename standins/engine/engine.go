// Package engine is a small stand-in for a model engine: it batches
// continuously, streams tokens, resumes and cancels streams, caches prefixes,
// and counts every execution.
package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Options are the stand-in's settings.
type Options struct {
	// Name is told in each answer.
	Name string
	// Step is the time of one step with an empty batch.
	StepTime time.Duration
	// Batch is the number of requests that a step carries without slowing down.
	BatchSize int
	// Recorder counts executions.
	Recorder *Recorder
}

// Engine is the stand-in.
type Engine struct {
	options   Options
	active    atomic.Int64
	cancelled atomic.Int64 // streams ended by their reader
}

// New returns an engine.
func New(options Options) *Engine { return &Engine{options: options} }

type completionRequest struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
}

const defaultTokens = 8

// Handler returns the engine's API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, "active %d stopped %d\n", e.active.Load(), e.cancelled.Load())
	})
	return mux
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var request completionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = defaultTokens
	}
	operation := OperationName(body)
	e.options.Recorder.Record(operation)
	e.active.Add(1)
	defer e.active.Add(-1)
	if request.Stream {
		e.serveStream(w, r, request, operation)
		return
	}
	for range request.MaxTokens {
		if !e.awaitStep(r) {
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"object":"chat.completion","model":%q,"server":%q,"choices":[{"message":{"role":"assistant","content":%q}}],"usage":{"total_tokens":%d}}`,
		request.Model, e.options.Name, operation, request.MaxTokens)
}

// step waits for one step of the batch; false means that the reader left.
func (e *Engine) awaitStep(r *http.Request) bool {
	load := max(float64(e.active.Load())/float64(e.options.BatchSize), 1)
	timer := time.NewTimer(time.Duration(float64(e.options.StepTime) * load))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		e.cancelled.Add(1)
		return false
	}
}

// stream sends one event a token, its offset as the event's ID, and resumes
// after Last-Event-ID.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, request completionRequest, operation string) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	after, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if err != nil {
		after = 0
	}
	for token := after + 1; token <= request.MaxTokens; token++ {
		if !e.awaitStep(r) {
			return
		}
		_, err := fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"%s/%d \"}}]}\n\n", token, operation, token)
		if err != nil || controller.Flush() != nil {
			e.cancelled.Add(1)
			return
		}
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// operationMark starts the operation's name in a body; the load tool puts one
// into each request, so that executions can be counted and answers matched.
const operationPrefix = "operation="

// Operation returns the operation named in a body, or "unnamed".
func OperationName(body []byte) string {
	_, rest, found := strings.Cut(string(body), operationPrefix)
	if !found {
		return "unnamed"
	}
	end := strings.IndexFunc(rest, func(r rune) bool {
		return !strings.ContainsRune("abcdefghijklmnopqrstuvwxyz0123456789-", r)
	})
	if end < 0 {
		return rest
	}
	return rest[:end]
}

// Recorder tells the platform stand-in of each execution before it happens, so
// that the count survives the server's death.
type Recorder struct {
	// URL of the platform stand-in's control port; empty counts nothing.
	URL string

	client   http.Client
	mu       sync.Mutex
	failures int
}

// Record counts one execution.
func (c *Recorder) Record(operation string) {
	if c.URL == "" {
		return
	}
	if err := c.post(operation); err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.failures++
	}
}

func (c *Recorder) post(operation string) error {
	response, err := c.client.Post(c.URL+"/runs/"+operation, "text/plain", nil)
	if err != nil {
		return errors.Wrap(err, "record run")
	}
	return errors.Wrap(response.Body.Close(), "record run")
}
