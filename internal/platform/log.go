// Package platform adapts the services that the users' platform provides: the
// append-only log, the list of VMs and the weight store. Each stands behind a
// small interface, so that exchanging one touches no decision.
package platform

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/httpjson"
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
	client *httpjson.Client
}

// NewHTTPLog returns a client for the log at a base URL such as
// http://10.0.0.1:7000.
func NewHTTPLog(base string) *HTTPLog {
	return &HTTPLog{client: httpjson.NewClient("log", base, 0)}
}

// Append implements Log.
func (l *HTTPLog) Append(ctx context.Context, data []byte) (int64, error) {
	var answer AppendAnswer
	err := l.client.Call(ctx, http.MethodPost, "/v1/records", data, &answer)
	return answer.Offset, err
}

// Read implements Log.
func (l *HTTPLog) Read(ctx context.Context, after int64, wait time.Duration) ([]config.LogEntry, error) {
	path := fmt.Sprintf("/v1/records?after=%d&waitMs=%d", after, wait.Milliseconds())
	var answer ReadAnswer
	err := l.client.Call(ctx, http.MethodGet, path, nil, &answer)
	var status *httpjson.StatusError
	if errors.As(err, &status) && status.Status == http.StatusGone {
		return nil, ErrGone
	}
	if err != nil {
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
	err := l.client.Call(ctx, http.MethodGet, "/v1/bounds", nil, &answer)
	return answer.First, err
}
