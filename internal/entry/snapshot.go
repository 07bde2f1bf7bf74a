package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/crowbridge/crowbridge/internal/replica"
)

const (
	// snapshotEvery is the number of records after which a snapshot is due.
	snapshotEvery = 1000
	snapshotCheck = 5 * time.Second
)

// WriteSnapshots puts a snapshot onto the log when the newest one is old. Each
// entry waits a random time first, so that usually one writes; two are harmless.
func (e *Entry) WriteSnapshots(ctx context.Context, log replica.Log) {
	for {
		timer := time.NewTimer(snapshotCheck + rand.N(snapshotCheck))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		if err := e.writeSnapshot(ctx, log); err != nil {
			e.log.WithError(err).Warn("snapshot not written; trying again later")
		}
	}
}

func (e *Entry) writeSnapshot(ctx context.Context, log replica.Log) error {
	records, err := e.replica.SnapshotDue(snapshotEvery)
	if err != nil {
		return err
	}
	for _, record := range records {
		data, err := record.Encode()
		if err != nil {
			return err
		}
		appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err = log.Append(appendCtx, data)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}
