// Package httpapi parses callers' requests and encodes responses as JSON. Its parsers do no I/O.
package httpapi

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/failure"
	"github.com/crowbridge/crowbridge/internal/headers"
	"github.com/crowbridge/crowbridge/internal/outcome"
	"github.com/pkg/errors"
)

// Completion holds the fields of an OpenAI-style request body that routing uses.
type Completion struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
}

const (
	// bytesPerToken is the estimated size of a prompt token.
	bytesPerToken = 4
	// defaultMaxTokens is assumed for requests without max_tokens.
	defaultMaxTokens = 256
	maxMaxTokens     = 1 << 20
	// prefixBytes is how much of a prompt is hashed to identify its cached prefix.
	prefixBytes = 512
)

// ParseCompletion parses and validates an OpenAI-style request body. Its error names the field and
// the fix.
func ParseCompletion(body []byte) (*Completion, error) {
	var c Completion
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, errors.Wrap(err, "body: use the JSON object of a completion request")
	}
	if c.Model == "" {
		return nil, errors.New("model: empty: use a model from /v1/models")
	}
	if c.MaxTokens < 0 || c.MaxTokens > maxMaxTokens {
		return nil, errors.Errorf("max_tokens: %d: use 1 to %d", c.MaxTokens, maxMaxTokens)
	}
	if len(c.Messages) == 0 && len(c.Prompt) == 0 {
		return nil, errors.New("messages: missing: set messages, or prompt for /v1/completions")
	}
	return &c, nil
}

// Cost returns the estimated number of tokens that the request uses.
func (c *Completion) Cost() float64 {
	output := c.MaxTokens
	if output == 0 {
		output = defaultMaxTokens
	}
	return float64((len(c.Messages)+len(c.Prompt))/bytesPerToken + output)
}

// Prefix returns the hash of the prompt's prefix.
func (c *Completion) Prefix() uint64 {
	prompt := c.Messages
	if len(prompt) == 0 {
		prompt = c.Prompt
	}
	return xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)])
}

// Intent holds the options of a request that its headers may set.
type Intent struct {
	Class      config.Class
	Deadline   time.Duration
	MayWait    bool
	Idempotent bool
	Key        string
}

// HeaderGetter returns the value of a request header, or "" if it is missing.
type HeaderGetter func(name string) string

const (
	// DefaultDeadline applies when neither request, route nor service sets a deadline.
	DefaultDeadline = 30 * time.Second
	maxDeadline     = time.Hour
	maxKeyLength    = 255
	// mayWaitFactor multiplies the default deadline for a request that may wait.
	mayWaitFactor = 4
)

// ParseIntent applies a request's headers to the defaults. now is the entry's wall clock time; skew
// is how far the caller's clock may be ahead of it. The error names the header and the fix.
func ParseIntent(header HeaderGetter, defaults Intent, now time.Time, skew time.Duration) (Intent, error) {
	intent := defaults
	if value := header(headers.Class); value != "" {
		intent.Class = config.Class(value)
	}
	switch intent.Class {
	case config.ClassUrgent, config.ClassNormal, config.ClassPatient:
	default:
		return intent, errors.Errorf("%s: %q: use urgent, normal or patient", headers.Class, intent.Class)
	}
	if err := parseFlag(header, headers.Idempotent, &intent.Idempotent); err != nil {
		return intent, err
	}
	if err := parseFlag(header, headers.MayWait, &intent.MayWait); err != nil {
		return intent, err
	}
	if err := intent.parseDeadline(header); err != nil {
		return intent, err
	}
	return intent, intent.parseKey(header, now, skew)
}

func parseFlag(header HeaderGetter, name string, into *bool) error {
	value := header(name)
	if value == "" {
		return nil
	}
	flag, err := strconv.ParseBool(value)
	if err != nil {
		return errors.Errorf("%s: %q: use true or false", name, value)
	}
	*into = flag
	return nil
}

// ParseDeadline returns the deadline that a request's headers set, if they set a valid one.
func ParseDeadline(header HeaderGetter) (time.Duration, bool) {
	var i Intent
	if err := i.parseDeadline(header); err != nil || i.Deadline <= 0 {
		return 0, false
	}
	return i.Deadline, true
}

func (i *Intent) parseDeadline(header HeaderGetter) error {
	value := header(headers.Deadline)
	if value == "" {
		if i.MayWait {
			i.Deadline *= mayWaitFactor
		}
		return nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 1 || ms > maxDeadline.Milliseconds() {
		return errors.Errorf("%s: %q: use 1 to %d milliseconds", headers.Deadline, value, maxDeadline.Milliseconds())
	}
	i.Deadline = time.Duration(ms) * time.Millisecond
	return nil
}

func (i *Intent) parseKey(header HeaderGetter, now time.Time, skew time.Duration) error {
	i.Key = header(headers.IdempotencyKey)
	if len(i.Key) > maxKeyLength {
		return errors.Errorf("%s: %d bytes: use at most %d", headers.IdempotencyKey, len(i.Key), maxKeyLength)
	}
	at, timed := outcome.KeyTime(i.Key)
	if timed && at.After(now.Add(skew)) {
		return errors.Errorf("%s: timestamp is %s ahead of the entry's clock: check the caller's clock", headers.IdempotencyKey, at.Sub(now).Round(time.Millisecond))
	}
	return nil
}

// FailureBody is the JSON body of a failed request.
type FailureBody struct {
	Error FailureDetail `json:"error"`
}

// FailureDetail describes a failure. Callers may match on its code, step and outcome.
type FailureDetail struct {
	Code      string `json:"code"`
	Message   string `json:"message"`
	Step      string `json:"step"`
	Peer      string `json:"peer,omitempty"`
	Outcome   string `json:"outcome"`
	RequestID string `json:"requestId"`
	// RetryAfterMs is how long the caller should wait before it retries.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}

// EncodeFailure returns the JSON body for a failure.
func EncodeFailure(f *failure.Error, requestID string) []byte {
	body, err := json.Marshal(FailureBody{Error: FailureDetail{
		Code: string(f.Code), Message: f.Detail, Step: string(f.Step), Peer: f.Peer,
		Outcome: string(f.Outcome), RequestID: requestID, RetryAfterMs: f.RetryAfter.Milliseconds(),
	}})
	if err != nil {
		return []byte(`{"error":{"code":"internal"}}`) // unreachable: all fields are strings and numbers
	}
	return body
}

// RetryAfterSeconds returns the value of a Retry-After header, in whole seconds, rounded up.
func RetryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// ModelList is the body of /v1/models.
type ModelList struct {
	Object string      `json:"object"`
	Data   []ModelItem `json:"data"`
}

// ModelItem is one model in a ModelList.
type ModelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// EncodeModels returns the body of /v1/models.
func EncodeModels(names []string) ([]byte, error) {
	list := ModelList{Object: "list", Data: make([]ModelItem, 0, len(names))}
	for _, name := range names {
		list.Data = append(list.Data, ModelItem{ID: name, Object: "model"})
	}
	return json.Marshal(list)
}
