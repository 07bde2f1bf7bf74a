package replica

import (
	"context"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/pkg/errors"
)

// ErrGone says that the records after the asked offset are no longer kept.
var ErrGone = errors.New("records no longer kept by the log")

// Log is an append-only log of records with offsets, kept by the platform.
type Log interface {
	// Append adds a record and returns its offset. An error doesn't mean that
	// the record was not added: its answer may have been lost.
	Append(ctx context.Context, data []byte) (int64, error)
	// Read returns records after an offset, waiting up to wait for the first. It
	// returns ErrGone when the record after the offset is no longer kept.
	Read(ctx context.Context, after int64, wait time.Duration) ([]config.LogEntry, error)
	// Keep puts a snapshot of the state as of an offset where it lasts, unless a newer
	// one is there. The log itself drops its oldest records.
	Keep(ctx context.Context, offset int64, snapshot []byte) error
	// Kept returns the newest snapshot, or nil when there is none.
	Kept(ctx context.Context) ([]byte, error)
}
