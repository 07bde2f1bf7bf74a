// Package engine is a test double of a model engine: it batches continuously, streams
// tokens, resumes and cancels streams, and counts every execution. On demand it breaks off
// streams, fails to resume them and leaves the end of a body to its connection. It also simulates
// groups of engines that run in lock-step.
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

// Options configure an Engine.
type Options struct {
	// Name is returned in each response.
	Name string
	// StepTime is the duration of a step at a batch of up to BatchSize requests.
	StepTime time.Duration
	// BatchSize is the number of requests that a step processes without slowing down.
	BatchSize int
	// Recorder counts executions.
	Recorder *Recorder
}

// Engine simulates a model engine.
type Engine struct {
	options   Options
	faults    FaultInjector
	active    atomic.Int64
	cancelled atomic.Int64 // requests whose caller disconnected
}

// New returns an Engine.
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
	mux.Handle("PUT "+FaultsPath, &e.faults)
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
	e.faults.drawFraming(w.Header())
	_, _ = fmt.Fprintf(w, `{"object":"chat.completion","model":%q,"server":%q,"choices":[{"message":{"role":"assistant","content":%q}}],"usage":{"total_tokens":%d}}`,
		request.Model, e.options.Name, operation, request.MaxTokens)
}

// awaitStep waits for one step of the batch. It reports whether the caller is still connected.
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

// EndEvent ends each stream.
const EndEvent = "data: [DONE]\n\n"

// TokenEvent returns a stream's event for a token.
func TokenEvent(operation string, token int) string {
	return fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"%s/%d \"}}]}\n\n", token, operation, token)
}

// serveStream sends one event per token, with the token's number as the event ID, and
// resumes after Last-Event-ID.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, request completionRequest, operation string) {
	after, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	resumes := err == nil
	if !resumes {
		after = 0
	} else if failure := e.faults.drawFailedResumption(); failure != nil {
		failure(w)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	e.faults.drawFraming(w.Header())
	if resumes && e.faults.drawEmptyResumption() {
		return
	}
	controller := http.NewResponseController(w)
	lastToken, breakOff := e.faults.drawBreak(after, request.MaxTokens)
	for token := after + 1; token <= lastToken; token++ {
		if !e.awaitStep(r) {
			return
		}
		_, err := io.WriteString(w, TokenEvent(operation, token))
		if err != nil || controller.Flush() != nil {
			e.cancelled.Add(1)
			return
		}
	}
	if breakOff != nil {
		next := EndEvent
		if lastToken < request.MaxTokens {
			next = TokenEvent(operation, lastToken+1)
		}
		breakOff(w, next)
		return
	}
	_, _ = io.WriteString(w, EndEvent) // fails if the caller disconnected
}

// operationPrefix precedes the operation's name in a body. The load generator puts a unique
// name into each request, to count executions and to match responses.
const operationPrefix = "operation="

// OperationName returns the name of the operation in a body, or "unnamed".
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

// Recorder reports each execution to the platform double before it starts, so that the
// count survives a crash of the server.
type Recorder struct {
	// URL is that of the platform double's control port. If empty, nothing is recorded.
	URL string

	client   http.Client
	mu       sync.Mutex
	failures int
}

// Record records one execution of an operation.
func (r *Recorder) Record(operation string) {
	if r.URL == "" {
		return
	}
	if err := r.post(operation); err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.failures++
	}
}

func (r *Recorder) post(operation string) error {
	response, err := r.client.Post(r.URL+"/runs/"+operation, "text/plain", nil)
	if err != nil {
		return errors.Wrap(err, "record run")
	}
	return errors.Wrap(response.Body.Close(), "record run")
}
