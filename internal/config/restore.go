package config

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/crowbridge/crowbridge/internal/storelog"
	"github.com/pkg/errors"
)

// RestorePart is a part of a state from a prior era of the log. Processes that have applied all
// parts continue from that state, so that all have the same one again.
type RestorePart struct {
	// Era is the era into which the state is carried over.
	Era int64 `json:"era"`
	// Part is the index of this part, Parts the number of parts.
	Part  int `json:"part"`
	Parts int `json:"parts"`
	// Known is the position of the state in the prior era.
	Known storelog.Position `json:"known"`
	// Data is this part of the encoded state.
	Data []byte `json:"data"`
}

// restoreActor is the actor of audit entries for restores.
const restoreActor = "crowbridged"

// maxRestorePartBytes limits a part so that its base64 form fits into a record of 256 KiB.
const maxRestorePartBytes = 180 << 10

// EncodeRestore returns the records that carry a state over into an era.
func EncodeRestore(s *State, era int64, known storelog.Position) ([][]byte, error) {
	snapshot, err := s.EncodeSnapshot()
	if err != nil {
		return nil, err
	}
	parts := (len(snapshot) + maxRestorePartBytes - 1) / maxRestorePartBytes
	records := make([][]byte, 0, parts)
	for part := range parts {
		data := snapshot[part*maxRestorePartBytes : min((part+1)*maxRestorePartBytes, len(snapshot))]
		record, err := (&Record{Format: restoreFormat, Kind: RecordRestore, Restore: &RestorePart{
			Era: era, Part: part, Parts: parts, Known: known, Data: data,
		}}).Encode()
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// StartsRestore reports whether the entry is the first part of a state that is carried over into
// the entry's era.
func (e LogEntry) StartsRestore() bool {
	era := e.restoreEra()
	return era != storelog.NoEra && era == e.Position.Era()
}

// restoreEra returns the era into which the entry starts to carry a state over, or NoEra if it
// doesn't.
func (e LogEntry) restoreEra() int64 {
	record, err := DecodeRecord(e.Data)
	if err != nil || record.Kind != RecordRestore || record.Restore == nil || record.Restore.Part > 0 {
		return storelog.NoEra
	}
	return record.Restore.Era
}

// Digest returns a digest of the record that doesn't depend on its position.
func (e LogEntry) Digest() string {
	digest := xxhash.New()
	_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(e.TimeMs))) // never fails
	_, _ = digest.Write(e.Data)
	return hex.EncodeToString(digest.Sum(nil))
}

// storedOffset returns the position as it is stored in the state.
func (e LogEntry) storedOffset() int64 { return int64(e.Position) }

// RecentChange is the record of a change and the ID of its command.
type RecentChange struct {
	Command string `json:"command"`
	Data    []byte `json:"data"`
}

const (
	// maxRecentChanges and maxRecentChangesBytes limit the retained changes. A copy of the store
	// lacks a few seconds, and at 8,600 changes a day there is one in ten seconds.
	maxRecentChanges      = 256
	maxRecentChangesBytes = 256 << 10
)

func (s *State) appendRecentChange(change RecentChange) {
	s.RecentChanges = newestChanges(append(s.RecentChanges, change), func(c RecentChange) RecentChange { return c })
}

// newestChanges returns the newest changes within the limits.
func newestChanges[T any](changes []T, recent func(T) RecentChange) []T {
	size := 0
	for i := len(changes) - 1; i >= 0; i-- {
		size += len(recent(changes[i]).Data)
		if len(changes)-i > maxRecentChanges || size > maxRecentChangesBytes {
			return slices.Clone(changes[i+1:])
		}
	}
	return changes
}

// EnterEra continues in another era of the log after a known position.
func (s *State) EnterEra(known storelog.Position) { s.Position, s.PartialRestore = known, nil }

// Clone returns a deep copy.
func (s *State) Clone() (*State, error) {
	snapshot, err := s.EncodeSnapshot()
	if err != nil {
		return nil, err
	}
	clone, err := DecodeSnapshot(snapshot)
	return clone, errors.Wrap(err, "clone")
}

// applyRestore collects the parts of a state and replaces the current state after the last one. A
// state that can't be decoded is skipped, and one for an era before that of the last one is ignored:
// the log reached a newer era before it was added.
func (s *State) applyRestore(restore *RestorePart, entry LogEntry) {
	if restore.Era < s.CarriedInto {
		return
	}
	if restore.Part == 0 {
		s.PartialRestore = nil
	}
	s.PartialRestore = append(s.PartialRestore, restore.Data...)
	if restore.Part+1 < restore.Parts {
		return
	}
	restored, err := DecodeSnapshot(s.PartialRestore)
	s.PartialRestore = nil
	if err != nil {
		s.countSkipped(RecordRestore, entry.storedOffset())
		return
	}
	restored.Position, restored.Last, restored.PartialRestore = s.Position, s.Last, nil
	restored.Configured, restored.CarriedInto = entry.storedOffset(), restore.Era
	*s = *restored
	s.appendAudit(AuditEntry{
		Offset: entry.storedOffset(), TimeMs: entry.TimeMs, Actor: restoreActor, Action: AuditRestore, Accepted: true,
		Reason: fmt.Sprintf("the store came back from an older copy: carried over what was known up to %s", restore.Known),
	})
}
