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

// LeaseRecord is an entry of the lease history. Its position determines the
// fencing token: a conditional append decides between concurrent claims.
type LeaseRecord struct {
	Group  string `json:"group"`
	Holder string `json:"holder"`
	// Rank is the rank on the holder's VM.
	Rank int `json:"rank"`
}

// StoredRecord is an encoded record with its position.
type StoredRecord struct {
	Position storelog.Position
	Data     []byte
}

// LeaseStore stores the lease history.
type LeaseStore interface {
	// ReadLeases returns the end of the history and the records from a position on.
	// If the position is of another era, it returns all records that are kept.
	ReadLeases(ctx context.Context, from storelog.Position) (storelog.Position, []StoredRecord, error)
	// AppendLease appends a record if the history ends at end, and reports whether
	// it did. After an error the record may or may not have been appended.
	AppendLease(ctx context.Context, end storelog.Position, data []byte) (bool, error)
}

// LeaseState is the newest lease of a group in the history.
type LeaseState struct {
	LeaseRecord
	Fence int64
	// Unreadable is the number of records that can't be decoded, as other writers
	// may leave them. They are ignored.
	Unreadable int
}

// CurrentLease returns the newest lease of a group. Its fence is 0 if there is none.
func CurrentLease(ctx context.Context, store LeaseStore, group string) (LeaseState, error) {
	_, records, err := store.ReadLeases(ctx, 0)
	if err != nil {
		return LeaseState{}, err
	}
	return newestLease(records, group), nil
}

// CurrentLeases returns the newest lease of each group, sorted by group.
func CurrentLeases(ctx context.Context, store LeaseStore) ([]LeaseState, error) {
	_, records, err := store.ReadLeases(ctx, 0)
	if err != nil {
		return nil, err
	}
	newestByGroup := map[string]LeaseState{}
	for _, r := range records {
		var record LeaseRecord
		if err := json.Unmarshal(r.Data, &record); err != nil {
			continue // ignore records of other writers
		}
		newestByGroup[record.Group] = LeaseState{LeaseRecord: record, Fence: fenceOf(r.Position)}
	}
	leases := slices.Collect(maps.Values(newestByGroup))
	slices.SortFunc(leases, func(a, b LeaseState) int { return strings.Compare(a.Group, b.Group) })
	return leases, nil
}

// newestLease returns the newest lease of a group among records. Without any, its
// fence is 0 and its rank -1.
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

// ClaimResult is the outcome of ClaimLease.
type ClaimResult struct {
	// Fence is the fencing token of the new lease, or 0 if it wasn't granted.
	Fence int64
	// Newest is the highest fencing token in the history.
	Newest int64
	// FormerRank is the rank of the previous holder, or -1 if unknown. It is valid
	// only if the lease was granted.
	FormerRank int
	// Unreadable is the number of records that can't be decoded.
	Unreadable int
}

// ClaimLease tries to claim the lease of a group. knownFence is the highest
// fencing token that the caller has seen. If the history has a newer one, another
// daemon has claimed the lease since, and ClaimLease leaves it to that daemon.
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
		return ClaimResult{}, errors.Wrap(err, "encode lease record")
	}
	claimed, err := store.AppendLease(ctx, end, data)
	if err != nil || !claimed {
		return ClaimResult{Newest: newest.Fence}, err
	}
	return ClaimResult{Fence: fenceOf(end), Newest: fenceOf(end), FormerRank: newest.Rank, Unreadable: newest.Unreadable}, nil
}

// fenceOf returns the fencing token of a position. Positions begin at 0, tokens at 1.
// Positions contain the era, so tokens also increase when the store is restored from
// a backup.
func fenceOf(at storelog.Position) int64 { return int64(at) + 1 }

const (
	// claimDelayBase is how long agents wait for a call of the holder before they
	// claim the lease. claimDelayPerRank staggers the claims of the ranks, so that
	// usually only one claims.
	claimDelayBase    = 500 * time.Millisecond
	claimDelayPerRank = 40 * time.Millisecond
)

// ClaimDelay returns how long the agent of a rank waits for a call of the holder
// before it claims the lease.
func ClaimDelay(rank int) time.Duration {
	return claimDelayBase + time.Duration(rank)*claimDelayPerRank
}
