package loadgen

import (
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"

	"github.com/crowbridge/crowbridge/standins/engine"
	"github.com/pkg/errors"
)

// violation is a kind of fault in a response.
type violation int

const (
	// violationInvalid is a response or an event that no server sent for the operation.
	violationInvalid violation = iota
	// violationOrder is an event after one with a higher ID.
	violationOrder
	// violationGap is an event that is missing before one with a higher ID.
	violationGap
	// violationRepeat is an event that arrives twice.
	violationRepeat
	// violationFalseEnd is a stream that ends as complete before its last event, or goes on after
	// its end event.
	violationFalseEnd
)

// finding is a violation and its description.
type finding struct {
	violation violation
	text      string
}

// streamValidator collects the findings in one stream.
type streamValidator struct {
	operation string
	tokens    int
	// seen holds the IDs of the events so far, highest is the highest of them.
	seen     map[int]bool
	highest  int
	findings []finding
}

func (v *streamValidator) add(kind violation, format string, args ...any) {
	v.findings = append(v.findings, finding{kind, fmt.Sprintf(format, args...)})
}

// validateStream returns the outcome that a stream's body reports, and what is wrong with the body.
// A broken stream is one whose connection was lost, which may cut off its last event.
func validateStream(operation string, tokens int, body string, broken bool) (string, []finding) {
	v := &streamValidator{operation: operation, tokens: tokens, seen: map[int]bool{}}
	events := strings.SplitAfter(body, "\n\n")
	rest := events[len(events)-1]
	events = events[:len(events)-1]
	if rest != "" && !broken {
		v.add(violationInvalid, "the body ends inside an event: %.200q", rest)
	}
	outcome := ""
	for i, event := range events {
		last := i == len(events)-1 && rest == ""
		switch {
		case event == engine.EndEvent:
			outcome = outcomeAnswered
			v.checkEnd(last)
		case strings.HasPrefix(event, errorEventPrefix):
			outcome = outcomeUnknown
			v.checkError(event, last)
		default:
			v.checkToken(event)
		}
	}
	v.checkGaps()
	if broken {
		return outcomeNoResponse, v.findings
	}
	if outcome == "" {
		v.add(violationFalseEnd, "the body ends after event %d of %d, without an end event or an error event", v.highest, tokens)
		return outcomeUnknown, v.findings
	}
	return outcome, v.findings
}

// errorEventPrefix starts the event that ends a stream that broke off.
const errorEventPrefix = "event: error\ndata: "

func (v *streamValidator) checkEnd(last bool) {
	if !last {
		v.add(violationFalseEnd, "the body goes on after the end event")
	}
	if v.highest < v.tokens {
		v.add(violationFalseEnd, "end event after event %d of %d", v.highest, v.tokens)
	}
}

func (v *streamValidator) checkError(event string, last bool) {
	if !last {
		v.add(violationInvalid, "the body goes on after the error event")
	}
	var body struct {
		Error struct{ Code, Outcome string }
	}
	data := strings.TrimPrefix(event, errorEventPrefix)
	if err := json.Unmarshal([]byte(data), &body); err != nil || body.Error.Code == "" || body.Error.Outcome != outcomeUnknown {
		v.add(violationInvalid, "malformed error event %.200q", event)
	}
}

func (v *streamValidator) checkToken(event string) {
	line, _, _ := strings.Cut(event, "\n")
	id, err := strconv.Atoi(strings.TrimPrefix(line, "id: "))
	if err != nil || id < 1 || id > v.tokens || event != engine.TokenEvent(v.operation, id) {
		v.add(violationInvalid, "event that no server sent for this request: %.200q", event)
		return
	}
	if v.seen[id] {
		v.add(violationRepeat, "event %d is repeated", id)
	} else if id < v.highest {
		v.add(violationOrder, "event %d after event %d", id, v.highest)
	}
	v.seen[id] = true
	v.highest = max(v.highest, id)
}

func (v *streamValidator) checkGaps() {
	for id := 1; id < v.highest; id++ {
		if !v.seen[id] {
			v.add(violationGap, "event %d is missing before event %d", id, v.highest)
		}
	}
}

// tokenEvents returns the part of a stream's body before an error event or an incomplete event.
func tokenEvents(body string) string {
	body, _, _ = strings.Cut(body, errorEventPrefix)
	return body[:strings.LastIndex("\n\n"+body, "\n\n")]
}

// lastEventID returns the ID of the last of a stream's events.
func lastEventID(events string) string {
	afterIDs := strings.Split(events, "id: ")
	id, _, _ := strings.Cut(afterIDs[len(afterIDs)-1], "\n")
	return id
}

// isFailedResumption reports whether the response is the whole failure of an engine to resume a stream.
func isFailedResumption(status int, body []byte) bool {
	return (status == http.StatusInternalServerError || status == http.StatusGatewayTimeout) && string(body) == engine.NotResumed
}

// plainResponse matches the response of a plain server; its group is the operation's name.
var plainResponse = regexp.MustCompile(`^\S+ POST /dispatch/slots operation=(\S+)$`)

// validateBuffered returns an error if a response that isn't a stream isn't the whole response of a
// server to the operation.
func validateBuffered(op *operation, tokens, status int, body []byte) error {
	if op.kind == kindPlain {
		if match := plainResponse.FindSubmatch(body); match == nil || string(match[1]) != op.name {
			return errors.New("not the response of a plain server to this request")
		}
		return nil
	}
	if status != http.StatusOK {
		return errors.Errorf("answered with status %d", status)
	}
	var document struct {
		Object  string
		Choices []struct{ Message struct{ Content string } }
		Usage   struct {
			TotalTokens int `json:"total_tokens"`
		}
	}
	if err := json.Unmarshal(body, &document); err != nil {
		return errors.Wrap(err, "not one JSON document")
	}
	if document.Object != "chat.completion" || len(document.Choices) != 1 || document.Choices[0].Message.Content != op.name || document.Usage.TotalTokens != tokens {
		return errors.New("not the completion of this request")
	}
	return nil
}
