// Package platform adapts the services that the users' platform provides: the
// append-only log, the list of VMs and the weight store. Each stands behind a
// small interface, so that exchanging one touches no decision.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/pkg/errors"
)

// ErrGone says that the records after the asked offset are no longer kept.
var ErrGone = errors.New("records no longer kept by the log")

// Log is the platform's append-only log service.
type Log interface {
	// Append adds a record and returns its offset. An error doesn't mean that
	// the record was not added: its answer may have been lost.
	Append(ctx context.Context, data []byte) (int64, error)
	// Read returns records after an offset, waiting up to wait for the first. It
	// returns ErrGone when the record after the offset is no longer kept.
	Read(ctx context.Context, after int64, wait time.Duration) ([]config.LogEntry, error)
	// First returns the offset of the oldest record kept.
	First(ctx context.Context) (int64, error)
}

// AppendAnswer is the log's JSON answer to an append.
type AppendAnswer struct {
	Offset int64 `json:"offset"`
}

// RecordAnswer is one record in the log's JSON answer to a read.
type RecordAnswer struct {
	Offset int64  `json:"offset"`
	TimeMs int64  `json:"timeMs"`
	Data   []byte `json:"data"`
}

// ReadAnswer is the log's JSON answer to a read.
type ReadAnswer struct {
	First   int64          `json:"first"`
	Next    int64          `json:"next"`
	Records []RecordAnswer `json:"records"`
}

// HTTPLog speaks the log service's HTTP protocol.
type HTTPLog struct {
	base   string
	client *http.Client
}

// maxAnswerBytes bounds what is read from the platform in one answer.
const maxAnswerBytes = 64 << 20

// NewHTTPLog returns a client for the log at a base URL such as
// http://10.0.0.1:7000.
func NewHTTPLog(base string) *HTTPLog {
	return &HTTPLog{base: base, client: &http.Client{}}
}

// Append implements Log.
func (l *HTTPLog) Append(ctx context.Context, data []byte) (int64, error) {
	var answer AppendAnswer
	err := l.call(ctx, http.MethodPost, "/v1/records", bytes.NewReader(data), &answer)
	return answer.Offset, err
}

// Read implements Log.
func (l *HTTPLog) Read(ctx context.Context, after int64, wait time.Duration) ([]config.LogEntry, error) {
	path := fmt.Sprintf("/v1/records?after=%d&waitMs=%d", after, wait.Milliseconds())
	var answer ReadAnswer
	if err := l.call(ctx, http.MethodGet, path, nil, &answer); err != nil {
		return nil, err
	}
	entries := make([]config.LogEntry, 0, len(answer.Records))
	for _, r := range answer.Records {
		entries = append(entries, config.LogEntry{Offset: r.Offset, TimeMs: r.TimeMs, Data: r.Data})
	}
	return entries, nil
}

// First implements Log.
func (l *HTTPLog) First(ctx context.Context) (int64, error) {
	var answer ReadAnswer
	err := l.call(ctx, http.MethodGet, "/v1/bounds", nil, &answer)
	return answer.First, err
}

func (l *HTTPLog) call(ctx context.Context, method, path string, body io.Reader, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, l.base+path, body)
	if err != nil {
		return errors.Wrapf(err, "log at %s", l.base)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return errors.Wrapf(err, "log at %s", l.base)
	}
	defer closeBody(response.Body)
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return ErrGone
	default:
		return errors.Errorf("log at %s: status %d", l.base, response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(into)
	return errors.Wrapf(err, "log at %s: answer", l.base)
}

func closeBody(body io.Closer) {
	_ = body.Close() // nothing is left to do about a body that was read
}
