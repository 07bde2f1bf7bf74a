package replica

import (
	"context"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/storelog"
	"github.com/pkg/errors"
)

// ErrGone is returned for a position whose records the log no longer has.
var ErrGone = errors.New("records are no longer in the log")

// Log is the platform's append-only log of records. It may be restored from an older copy, in a new
// era.
type Log interface {
	// Append adds a record and returns its position. After an error the record may have been added
	// nevertheless.
	Append(ctx context.Context, data []byte) (storelog.Position, error)
	// AppendAt adds all records or none, provided that the log ends at the position end. It reports
	// whether it added them; after an error that is unknown.
	AppendAt(ctx context.Context, end storelog.Position, records [][]byte) (bool, error)
	// Read returns the records after a position. It waits up to wait for the first one. It returns
	// ErrGone if the next record is no longer kept or the log is in another era.
	Read(ctx context.Context, after storelog.Position, wait time.Duration) ([]config.LogEntry, error)
	// ReadAll returns all records that are kept, and the end of the log.
	ReadAll(ctx context.Context) ([]config.LogEntry, storelog.Position, error)
	// SaveSnapshot persists a snapshot of the state at a position, unless a newer one is persisted
	// already. It doesn't truncate the log, which expires records by itself.
	SaveSnapshot(ctx context.Context, at storelog.Position, snapshot []byte) error
	// LoadSnapshot returns the newest persisted snapshot, or nil if there is none.
	LoadSnapshot(ctx context.Context) ([]byte, error)
}
