package experts

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/crowbridge/crowbridge/internal/storelog"
	"github.com/pkg/errors"
)

// LeaseRecord is one line of a group's history of holders. Its position is the
// lease's fencing number: an append under a condition decides between two that
// claim at once.
type LeaseRecord struct {
	Group  string `json:"group"`
	Holder string `json:"holder"`
	// Rank is that of the engine beside the holder.
	Rank int `json:"rank"`
}

// StoredRecord is a record with its position.
type StoredRecord struct {
	Position storelog.Position
	Data     []byte
}

// LeaseStore keeps the history of holders.
type LeaseStore interface {
	// ReadLeases returns the end of the history and its records from a position on, or all
	// that are kept if that is of another era of the store.
	ReadLeases(ctx context.Context, from storelog.Position) (storelog.Position, []StoredRecord, error)
	// AppendLease adds a record if the history ends at a position. It tells whether
	// it did; an error leaves that open.
	AppendLease(ctx context.Context, end storelog.Position, data []byte) (bool, error)
}

// Held is a lease as its newest record tells it.
type LeaseState struct {
	LeaseRecord
	Fence int64
	// Unreadable counts the records of the history that can't be read: other writers may
	// have left them. They are nobody's lease.
	Unreadable int
}

// Newest returns the newest lease in a group's history; its fence is 0 when there is none.
func CurrentLease(ctx context.Context, store LeaseStore, group string) (LeaseState, error) {
	_, records, err := store.ReadLeases(ctx, 0)
	if err != nil {
		return LeaseState{}, err
	}
	return newestLease(records, group), nil
}

// Holders returns the newest lease of each group in the history, by group.
func CurrentLeases(ctx context.Context, store LeaseStore) ([]LeaseState, error) {
	_, records, err := store.ReadLeases(ctx, 0)
	if err != nil {
		return nil, err
	}
	newestByGroup := map[string]LeaseState{}
	for _, r := range records {
		var record LeaseRecord
		if err := json.Unmarshal(r.Data, &record); err != nil {
			continue // nobody's lease
		}
		newestByGroup[record.Group] = LeaseState{LeaseRecord: record, Fence: fenceOf(r.Position)}
	}
	leases := slices.Collect(maps.Values(newestByGroup))
	slices.SortFunc(leases, func(a, b LeaseState) int { return strings.Compare(a.Group, b.Group) })
	return leases, nil
}

// newestOf returns the newest lease of a group among records, or one with fence 0 and
// rank -1.
func newestLease(records []StoredRecord, group string) LeaseState {
	unreadable := 0
	newest := LeaseState{LeaseRecord: LeaseRecord{Group: group, Rank: -1}}
	for _, r := range records {
		var record LeaseRecord
		if err := json.Unmarshal(r.Data, &record); err != nil {
			unreadable++
			continue
		}
		if record.Group == group {
			newest = LeaseState{LeaseRecord: record, Fence: fenceOf(r.Position)}
		}
	}
	newest.Unreadable = unreadable
	return newest
}

// Claimed is what became of a claim.
type ClaimResult struct {
	// Fence is the new lease's fencing number, or 0 when there is none.
	Fence int64
	// Newest is the highest fencing number in the history.
	Newest int64
	// FormerRank is the rank of the holder before, or -1 when that isn't known.
	FormerRank int
	// Unreadable counts the history's records that can't be read.
	Unreadable int
}

// Claim tries to become the holder of a group. knownFence is the highest number
// that is known: a newer one in the history means that somebody else has
// claimed since, and is given the time to call.
func ClaimLease(ctx context.Context, store LeaseStore, record LeaseRecord, knownFence int64) (ClaimResult, error) {
	end, records, err := store.ReadLeases(ctx, storelog.Position(max(knownFence-1, 0)))
	if err != nil {
		return ClaimResult{}, err
	}
	newest := newestLease(records, record.Group)
	if newest.Fence > knownFence {
		return ClaimResult{Newest: newest.Fence, Unreadable: newest.Unreadable}, nil
	}
	data, err := json.Marshal(record)
	if err != nil {
		return ClaimResult{}, errors.Wrap(err, "lease")
	}
	claimed, err := store.AppendLease(ctx, end, data)
	if err != nil || !claimed {
		return ClaimResult{Newest: newest.Fence}, err
	}
	return ClaimResult{Fence: fenceOf(end), Newest: fenceOf(end), FormerRank: newest.Rank, Unreadable: newest.Unreadable}, nil
}

// fenceOf returns the fencing number of a position: positions begin at 0, numbers at 1. With
// the era in it, it rises when the store comes back from an older copy, too.
func fenceOf(at storelog.Position) int64 { return int64(at) + 1 }

const (
	// silenceBase is how long the agents hear from no holder before one claims the
	// lease, silenceStep how much longer each next rank waits, so that as a rule one claims.
	claimDelayBase    = 500 * time.Millisecond
	claimDelayPerRank = 40 * time.Millisecond
)

// Silence is how long the agent of a rank waits for a holder before it claims.
func ClaimDelay(rank int) time.Duration {
	return claimDelayBase + time.Duration(rank)*claimDelayPerRank
}
