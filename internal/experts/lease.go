package experts

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// LeaseRecord is one line of a group's history of holders. Its offset is the
// lease's fencing number: an append under a condition decides between two that
// claim at once.
type LeaseRecord struct {
	Group  string `json:"group"`
	Holder string `json:"holder"`
}

// StoredRecord is a record with its offset.
type StoredRecord struct {
	Offset int64
	Data   []byte
}

// LeaseStore keeps the history of holders.
type LeaseStore interface {
	// ReadLeases returns the end of the history and its records from an offset on.
	ReadLeases(ctx context.Context, from int64) (int64, []StoredRecord, error)
	// AppendLease adds a record if the history ends at an offset. It tells whether
	// it did; an error leaves that open.
	AppendLease(ctx context.Context, end int64, data []byte) (bool, error)
}

// Claim tries to become the holder of a group. It returns the fencing number, or
// 0 when another claimed first. knownFence is the highest that is known: a newer
// one in the history means that somebody else has just claimed.
func Claim(ctx context.Context, store LeaseStore, group, self string, knownFence int64) (int64, error) {
	end, records, err := store.ReadLeases(ctx, max(knownFence, 0))
	if err != nil {
		return 0, err
	}
	for _, r := range records {
		var lease LeaseRecord
		if err := json.Unmarshal(r.Data, &lease); err != nil {
			return 0, errors.Wrapf(err, "lease at offset %d", r.Offset)
		}
		if lease.Group == group && fenceOf(r.Offset) > knownFence && lease.Holder != self {
			return 0, nil
		}
	}
	data, err := json.Marshal(LeaseRecord{Group: group, Holder: self})
	if err != nil {
		return 0, errors.Wrap(err, "lease")
	}
	claimed, err := store.AppendLease(ctx, end, data)
	if err != nil || !claimed {
		return 0, err
	}
	return fenceOf(end), nil
}

// fenceOf returns the fencing number of an offset: offsets begin at 0, numbers at 1.
func fenceOf(offset int64) int64 { return offset + 1 }

const (
	// silenceBase is how long the agents hear from no holder before one claims the
	// lease, silenceStep how much longer each next rank waits, so that as a rule one claims.
	silenceBase = 900 * time.Millisecond
	silenceStep = 60 * time.Millisecond
)

// Silence is how long the agent of a rank waits for a holder before it claims.
func Silence(rank int) time.Duration { return silenceBase + time.Duration(rank)*silenceStep }
