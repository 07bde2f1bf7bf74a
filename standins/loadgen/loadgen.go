// Package loadgen sends requests of several customers to entries and validates every
// response: it must be complete and belong to the request. A request that isn't idempotent
// must have run at most once, and no request if its response says "not-run".
package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// Options configure a run.
type Options struct {
	// Entries are the addresses of the entries, as IP:port.
	Entries []string
	// Keys are the customers' API keys.
	Keys []string
	// Rate is the number of requests per second.
	Rate     int
	Duration time.Duration
	// Tokens is the number of tokens per completion.
	Tokens int
	// PlainPercent and StreamPercent are the percentages of plain calls and of streams among
	// all requests; UnkeyedPercent is that of plain calls without an idempotency key.
	PlainPercent, StreamPercent, UnkeyedPercent int
	// RunsURL is the URL of the execution counts. If empty, executions aren't checked.
	RunsURL string
	// DeadlineMs is sent with each request.
	DeadlineMs int
	// MaxRetries is how often a request with an idempotency key is retried until it is
	// answered.
	MaxRetries int
}

// Report counts the outcomes of a run.
type Report struct {
	Sent, Answered, NotRun, Unknown int
	// Duplicated counts non-idempotent operations that ran more than once.
	Duplicated int
	// FalseNotRun counts operations that ran although their last outcome was "not-run".
	FalseNotRun int
	// Invalid counts responses that had no outcome, were truncated, lost or duplicated a token,
	// belonged to another request, or answered a request that no server ran.
	Invalid int
	// NoResponse counts requests without a response.
	NoResponse int
	// Latencies are those of answered requests, retries included.
	Latencies []time.Duration
	// Notes describe the first failed checks and requests that were not answered.
	Notes []string
}

// OK reports whether no check failed and the counts of outcomes add up to Sent.
func (r *Report) OK() bool {
	return r.Duplicated == 0 && r.FalseNotRun == 0 && r.Invalid == 0 && r.Sent == r.Answered+r.NotRun+r.Unknown+r.NoResponse
}

// String returns the counts as one line.
func (r *Report) String() string {
	return fmt.Sprintf("asked=%d answered=%d not-run=%d unknown=%d silent=%d doubled=%d untrue=%d wrong=%d",
		r.Sent, r.Answered, r.NotRun, r.Unknown, r.NoResponse, r.Duplicated, r.FalseNotRun, r.Invalid)
}

type kind int

const (
	kindPlain kind = iota
	kindStream
	kindCompletion
)

type operation struct {
	name       string
	kind       kind
	keyed      bool
	idempotent bool
	outcome    string
}

type runner struct {
	options    Options
	client     *http.Client
	mu         sync.Mutex
	report     Report
	operations []*operation
}

// Run sends requests at a fixed rate and checks the outcomes.
func Run(ctx context.Context, options Options) (*Report, error) {
	r := &runner{options: options, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	var group sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(options.Rate))
	defer ticker.Stop()
	end := time.After(options.Duration)
	for running := true; running; {
		select {
		case <-ticker.C:
			group.Go(func() { r.runOperation(ctx) })
		case <-end:
			running = false
		case <-ctx.Done():
			running = false
		}
	}
	group.Wait()
	return &r.report, r.checkRuns()
}

func (r *runner) newOperation() *operation {
	op := &operation{name: uuid.NewString()}
	switch n := rand.IntN(100); {
	case n < r.options.PlainPercent:
		op.kind = kindPlain
		op.keyed = rand.IntN(100) >= r.options.UnkeyedPercent
	case n < r.options.PlainPercent+r.options.StreamPercent:
		op.kind = kindStream
		op.idempotent = true
	default:
		op.kind = kindCompletion
		op.idempotent = true
	}
	return op
}

func (r *runner) runOperation(ctx context.Context) {
	op := r.newOperation()
	key := ""
	if op.keyed {
		key = uuid.Must(uuid.NewV7()).String()
	}
	start := time.Now()
	for attempt := 0; ; attempt++ {
		op.outcome = r.send(ctx, op, key)
		retry := op.keyed && op.outcome != outcomeAnswered && attempt < r.options.MaxRetries
		if !retry {
			break
		}
		time.Sleep(retryDelay)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, op)
	r.report.Sent++
	switch op.outcome {
	case outcomeAnswered:
		r.report.Answered++
		r.report.Latencies = append(r.report.Latencies, time.Since(start))
	case outcomeNotRun:
		r.report.NotRun++
	case outcomeUnknown:
		r.report.Unknown++
	default:
		r.report.NoResponse++
	}
}

const (
	outcomeAnswered   = "answered"
	outcomeNotRun     = "not-run"
	outcomeUnknown    = "unknown"
	outcomeNoResponse = "silent"
	retryDelay        = 300 * time.Millisecond
)

func (r *runner) send(ctx context.Context, op *operation, key string) string {
	request, err := r.newRequest(ctx, op, key)
	if err != nil {
		r.recordInvalid(op, err.Error())
		return outcomeNoResponse
	}
	response, err := r.client.Do(request)
	if isDialError(err) {
		// Like the platform's balancer, use another entry.
		time.Sleep(dialRetryDelay)
		return r.send(ctx, op, key)
	}
	if err != nil {
		r.addNote("no response: " + err.Error())
		return outcomeNoResponse
	}
	defer func() { _ = response.Body.Close() }() // read to its end below
	body, err := io.ReadAll(response.Body)
	outcome := response.Header.Get("X-Crowbridge-Outcome")
	if op.kind == kindStream && response.StatusCode == http.StatusOK {
		return r.checkStream(op, string(body), err)
	}
	if err != nil {
		return outcomeNoResponse
	}
	if outcome == outcomeAnswered && !strings.Contains(string(body), op.name) {
		r.recordInvalid(op, fmt.Sprintf("response of another request: status %d %.200s", response.StatusCode, body))
	}
	if outcome == "" {
		r.recordInvalid(op, fmt.Sprintf("no outcome: status %d %.200s", response.StatusCode, body))
		return outcomeUnknown
	}
	if outcome != outcomeAnswered {
		r.addNote(fmt.Sprintf("%s: %.300s", outcome, body))
	}
	return outcome
}

const dialRetryDelay = 20 * time.Millisecond

// isDialError reports whether no connection was established, so that nothing was sent.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

func (r *runner) newRequest(ctx context.Context, op *operation, key string) (*http.Request, error) {
	address := r.options.Entries[rand.IntN(len(r.options.Entries))]
	path, body := "/v1/chat/completions", fmt.Sprintf(
		`{"model":"petal-7b","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"operation=%s"}]}`,
		op.kind == kindStream, r.options.Tokens, op.name)
	if op.kind == kindPlain {
		path, body = "/dispatch/slots", "operation="+op.name
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewBufferString(body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	request.Header.Set("Authorization", "Bearer "+r.options.Keys[rand.IntN(len(r.options.Keys))])
	if op.keyed {
		// An idempotency key belongs to a customer: retries must use the same one.
		request.Header.Set("Authorization", "Bearer "+r.options.Keys[0])
		request.Header.Set("Idempotency-Key", key)
	}
	request.Header.Set("X-Crowbridge-Idempotent", fmt.Sprint(op.idempotent))
	request.Header.Set("X-Crowbridge-Deadline-Ms", fmt.Sprint(r.options.DeadlineMs))
	return request, nil
}

// checkStream checks that a stream has its end marker and each token once.
func (r *runner) checkStream(op *operation, body string, err error) string {
	if err != nil || !strings.HasSuffix(body, "data: [DONE]\n\n") {
		if err != nil {
			return outcomeNoResponse
		}
		if !strings.Contains(body, "event: error") {
			r.recordInvalid(op, "stream truncated without an error event")
		}
		return outcomeUnknown
	}
	for token := 1; token <= r.options.Tokens; token++ {
		if strings.Count(body, fmt.Sprintf("%s/%d ", op.name, token)) != 1 {
			r.recordInvalid(op, fmt.Sprintf("token %d lost or duplicated", token))
			break
		}
	}
	return outcomeAnswered
}

const maxNotes = 8

func (r *runner) recordInvalid(op *operation, text string) {
	r.mu.Lock()
	r.report.Invalid++
	r.mu.Unlock()
	r.addNote("invalid: " + op.name + ": " + text)
}

func (r *runner) addNote(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.report.Notes) < maxNotes {
		r.report.Notes = append(r.report.Notes, text)
	}
}

// checkRuns compares the outcomes with the executions that the servers recorded.
func (r *runner) checkRuns() error {
	if r.options.RunsURL == "" {
		return nil
	}
	response, err := http.Get(r.options.RunsURL + "/runs")
	if err != nil {
		return errors.Wrap(err, "runs")
	}
	defer func() { _ = response.Body.Close() }() // read to its end below
	runs := map[string]int{}
	if err := json.NewDecoder(response.Body).Decode(&runs); err != nil {
		return errors.Wrap(err, "runs")
	}
	for _, op := range r.operations {
		count := runs[op.name]
		if !op.idempotent && count > 1 {
			r.report.Duplicated++
			r.addNote(fmt.Sprintf("duplicated: %s ran %d times (keyed %t)", op.name, count, op.keyed))
		}
		if op.outcome == outcomeNotRun && count > 0 {
			r.report.FalseNotRun++
			r.addNote(fmt.Sprintf("false not-run: %s ran %d times", op.name, count))
		}
		if op.outcome == outcomeAnswered && count == 0 {
			r.recordInvalid(op, "answered, but not run by any server")
		}
	}
	return nil
}
