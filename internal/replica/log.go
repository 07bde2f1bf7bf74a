package replica

import (
	"context"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/storelog"
	"github.com/pkg/errors"
)

// ErrGone says that the records after the asked offset are no longer kept.
var ErrGone = errors.New("records no longer kept by the log")

// Log is an append-only log of records, kept by the platform. It may come back from an older
// copy, in another era.
type Log interface {
	// Append adds a record and returns its position. An error doesn't mean that
	// the record was not added: its answer may have been lost.
	Append(ctx context.Context, data []byte) (storelog.Position, error)
	// AppendAt adds records, all or none, if the log ends at a position. It tells whether it
	// did; an error leaves that open.
	AppendAt(ctx context.Context, end storelog.Position, records [][]byte) (bool, error)
	// Read returns records after a position, waiting up to wait for the first. It returns
	// ErrGone when the record after the position is no longer kept, or the log is in another era.
	Read(ctx context.Context, after storelog.Position, wait time.Duration) ([]config.LogEntry, error)
	// ReadAll returns all records that are kept, and the log's end.
	ReadAll(ctx context.Context) ([]config.LogEntry, storelog.Position, error)
	// SaveSnapshot puts a snapshot of the state as of a position where it lasts, unless a newer
	// one is there. The log itself drops its oldest records.
	SaveSnapshot(ctx context.Context, at storelog.Position, snapshot []byte) error
	// LoadSnapshot returns the newest snapshot, or nil when there is none.
	LoadSnapshot(ctx context.Context) ([]byte, error)
}
