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
	"slices"
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
	// ResumePercent is the percentage of streams whose callers request the rest after a break.
	ResumePercent int
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
	// Invalid counts responses that had no outcome, weren't the whole response of a server to their
	// request, or answered a request that no server ran.
	Invalid int
	// Disordered, Gaps, Repeated and FalseEnds count the streams with an event after one with a
	// higher ID, a missing event, a repeated event, and an end before the last event.
	Disordered, Gaps, Repeated, FalseEnds int
	// Resumed counts the requests for the rest of a stream, Joined the streams that they completed.
	Resumed, Joined int
	// NoResponse counts requests without a response.
	NoResponse int
	// Latencies are those of answered requests, retries included.
	Latencies []time.Duration
	// Notes describe the first failed checks and requests that were not answered.
	Notes []string
}

// OK reports whether no check failed and the counts of outcomes add up to Sent.
func (r *Report) OK() bool {
	return r.Duplicated == 0 && r.FalseNotRun == 0 && r.Invalid == 0 &&
		r.Disordered == 0 && r.Gaps == 0 && r.Repeated == 0 && r.FalseEnds == 0 &&
		r.Sent == r.Answered+r.NotRun+r.Unknown+r.NoResponse
}

// String returns the counts as one line.
func (r *Report) String() string {
	return fmt.Sprintf("asked=%d answered=%d not-run=%d unknown=%d silent=%d doubled=%d untrue=%d wrong=%d disordered=%d gaps=%d repeated=%d false-ends=%d resumed=%d joined=%d",
		r.Sent, r.Answered, r.NotRun, r.Unknown, r.NoResponse, r.Duplicated, r.FalseNotRun, r.Invalid,
		r.Disordered, r.Gaps, r.Repeated, r.FalseEnds, r.Resumed, r.Joined)
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
	// resumes is set if the caller requests the rest of a stream that breaks off.
	resumes bool
	// received holds the events that the caller has.
	received string
}

type runner struct {
	options    Options
	client     *http.Client
	mu         sync.Mutex
	report     Report
	operations []*operation
	// violationNotes counts the notes of failed checks, which come first.
	violationNotes int
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
		op.resumes = rand.IntN(100) < r.options.ResumePercent
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
	if op.resumes {
		r.resume(ctx, op)
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

// resume requests the rest of a stream that broke off until it is complete. Otherwise the outcome of
// the first request remains.
func (r *runner) resume(ctx context.Context, op *operation) {
	for range maxResumptions {
		if op.outcome == outcomeAnswered || op.received == "" {
			return
		}
		time.Sleep(resumeDelay)
		outcome := r.send(ctx, op, "")
		r.mu.Lock()
		r.report.Resumed++
		if outcome == outcomeAnswered {
			op.outcome = outcome
			r.report.Joined++
		}
		r.mu.Unlock()
	}
}

const (
	// maxResumptions bounds the requests for the rest of one stream.
	maxResumptions = 8
	resumeDelay    = 50 * time.Millisecond
)

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
		return r.checkStream(op, op.received+string(body), err)
	}
	if err != nil {
		return outcomeNoResponse
	}
	if outcome == outcomeAnswered && op.received != "" && isFailedResumption(response.StatusCode, body) {
		return outcomeUnknown
	}
	if outcome == outcomeAnswered {
		if err := validateBuffered(op, r.options.Tokens, response.StatusCode, body); err != nil {
			r.recordInvalid(op, fmt.Sprintf("%v: status %d %.200s", err, response.StatusCode, body))
		}
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
	if op.received != "" {
		request.Header.Set("Last-Event-ID", lastEventID(op.received))
	}
	request.Header.Set("X-Crowbridge-Idempotent", fmt.Sprint(op.idempotent))
	request.Header.Set("X-Crowbridge-Deadline-Ms", fmt.Sprint(r.options.DeadlineMs))
	return request, nil
}

// checkStream records the violations in a stream, each kind once, and returns the outcome. The body
// is all that the caller has received of the stream.
func (r *runner) checkStream(op *operation, body string, err error) string {
	outcome, findings := validateStream(op.name, r.options.Tokens, body, err != nil)
	if len(findings) == 0 {
		op.received = tokenEvents(body)
		return outcome
	}
	r.mu.Lock()
	counts := map[violation]*int{
		violationInvalid: &r.report.Invalid, violationOrder: &r.report.Disordered, violationGap: &r.report.Gaps,
		violationRepeat: &r.report.Repeated, violationFalseEnd: &r.report.FalseEnds,
	}
	texts := make([]string, len(findings))
	for i, f := range findings {
		if counts[f.violation] != nil {
			*counts[f.violation]++
			delete(counts, f.violation)
		}
		texts[i] = f.text
	}
	r.mu.Unlock()
	r.addViolationNote("invalid stream: " + op.name + ": " + strings.Join(texts, "; "))
	return outcome
}

const maxNotes = 8

func (r *runner) recordInvalid(op *operation, text string) {
	r.mu.Lock()
	r.report.Invalid++
	r.mu.Unlock()
	r.addViolationNote("invalid: " + op.name + ": " + text)
}

// addViolationNote adds the note of a failed check, up to maxNotes besides the others.
func (r *runner) addViolationNote(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.violationNotes < maxNotes {
		r.report.Notes = slices.Insert(r.report.Notes, r.violationNotes, text)
		r.violationNotes++
	}
}

func (r *runner) addNote(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.report.Notes)-r.violationNotes < maxNotes {
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
			r.addViolationNote(fmt.Sprintf("duplicated: %s ran %d times (keyed %t)", op.name, count, op.keyed))
		}
		if op.outcome == outcomeNotRun && count > 0 {
			r.report.FalseNotRun++
			r.addViolationNote(fmt.Sprintf("false not-run: %s ran %d times", op.name, count))
		}
		if op.outcome == outcomeAnswered && count == 0 {
			r.recordInvalid(op, "answered, but not run by any server")
		}
	}
	return nil
}
