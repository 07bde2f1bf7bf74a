package brokenstream

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/crowbridge/crowbridge/platform"
)

const (
	// maxRequests bounds the requests for one stream.
	maxRequests = 200
	retryPause  = 10 * time.Millisecond
)

// Caller requests streams and checks each response. Safe for concurrent use.
type Caller struct {
	address string
	header  http.Header
	records *Records
	mu      sync.Mutex
	counts  Counts
	// violations maps each kind of violation to its cases.
	violations map[string][]string
}

// Counts are streams and responses by their ends.
type Counts struct {
	// Complete and Unfinished count streams that were complete at last, and those given up.
	Complete, Unfinished int
	// Broken, Failed and Refused count broken responses, and failures of servers and of crowbridge.
	Broken, Failed, Refused int
}

// NewCaller returns a caller of the entry at an address. The header is sent with each request.
func NewCaller(address string, header http.Header, records *Records) *Caller {
	return &Caller{address: address, header: header, records: records, violations: map[string][]string{}}
}

// Counts returns the counts so far.
func (c *Caller) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// Violations returns a line for each kind of violation, with the first case.
func (c *Caller) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var lines []string
	for kind, cases := range c.violations {
		lines = append(lines, fmt.Sprintf("%s: %d cases, the first: %s", kind, len(cases), cases[0]))
	}
	return lines
}

func (c *Caller) count(counter *int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*counter++
}

func (c *Caller) violation(kind, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations[kind] = append(c.violations[kind], fmt.Sprintf(format, args...))
}

// Fetch requests a stream and, after each break or failure, what is missing of it.
func (c *Caller) Fetch(path string) {
	last := 0
	for n := range maxRequests {
		id := fmt.Sprintf("%s-%d", strings.ReplaceAll(path, "/", "-"), n)
		var done bool
		if last, done = c.request(path, id, last); done {
			c.count(&c.counts.Complete)
			return
		}
		time.Sleep(retryPause)
	}
	c.count(&c.counts.Unfinished)
}

// request requests the events after the last one. It returns the last event received, and whether the
// stream is complete.
func (c *Caller) request(path, id string, last int) (int, bool) {
	request, err := http.NewRequest(http.MethodPost, "http://"+c.address+path, http.NoBody)
	if err != nil {
		c.violation("request", "%v", err)
		return last, false
	}
	request.Host = "h.example"
	request.Header = c.header.Clone()
	request.Header.Set(platform.HeaderRequestID, id)
	if last > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(last))
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.count(&c.counts.Broken)
		return last, false
	}
	defer func() { _ = response.Body.Close() }() // read to its end below
	body, err := io.ReadAll(response.Body)
	if got := response.Header.Get(platform.HeaderRequestID); got != id {
		c.violation("other request", "%s: response to %q", id, got)
	}
	if response.StatusCode == http.StatusOK {
		return c.checkEvents(path, id, last, string(body), err)
	}
	c.checkFailure(path, id, response.StatusCode, body, err)
	return last, false
}

// checkEvents checks the events of a response after the last one of earlier responses. A connection
// that was lost, readErr, may have cut off the last event.
func (c *Caller) checkEvents(path, id string, last int, body string, readErr error) (int, bool) {
	events := strings.SplitAfter(body, "\n\n")
	rest := events[len(events)-1]
	for _, event := range events[:len(events)-1] {
		if event == streamEvent(path, last+1) {
			last++
			continue
		}
		c.violation(wrongEvent(path, body, event, last), "%s: %q after event %d", id, event, last)
		return last, false
	}
	if readErr != nil {
		c.count(&c.counts.Broken)
		return last, false
	}
	if rest != "" || last < Events {
		c.violation("false end", "%s: the response is complete after event %d of %d and %q", id, last, Events, rest)
		return last, false
	}
	return last, true
}

// wrongEvent returns the kind of violation of an event that doesn't follow the last one in a body.
func wrongEvent(path, body, event string, last int) string {
	for n := 1; n <= Events; n++ {
		switch {
		case event != streamEvent(path, n):
		case n <= last:
			return "repeated event"
		case strings.Contains(body, streamEvent(path, last+1)):
			return "event out of order"
		default:
			return "gap"
		}
	}
	return "not an event of the stream"
}

// checkFailure checks that a failure is a whole response of a server or of crowbridge.
func (c *Caller) checkFailure(path, id string, status int, body []byte, readErr error) {
	var own struct{ Error, Outcome string }
	switch {
	case readErr != nil:
		c.violation("broken failure", "%s: status %d: %q, %v", id, status, body, readErr)
	case string(body) == failureText(path, status):
		c.count(&c.counts.Failed)
	case json.Unmarshal(body, &own) == nil && own.Error != "" && own.Outcome != "":
		c.count(&c.counts.Refused)
		c.records.mu.Lock()
		runs := c.records.runs[id]
		c.records.mu.Unlock()
		if own.Outcome == "not-run" && runs > 0 {
			c.violation("untrue not-run", "%s: status %d: %s", id, status, body)
		}
	default:
		c.violation("malformed failure", "%s: status %d: %q", id, status, body)
	}
}
