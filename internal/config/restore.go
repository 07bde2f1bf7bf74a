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

// Restore is a part of a state that was known in a former era of the log. Whoever folds the
// last part goes on from that state, so that all have the same again.
type RestorePart struct {
	// Era is the one into which the state is carried over.
	Era int64 `json:"era"`
	// Part counts the parts from 0, Parts is how many there are.
	Part  int `json:"part"`
	Parts int `json:"parts"`
	// Known is up to where the state was known in the former era.
	Known storelog.Position `json:"known"`
	// Data is the part's piece of the state, as EncodeSnapshot returns it.
	Data []byte `json:"data"`
}

// restoreActor stands in the audit trail where no operator acted.
const restoreActor = "crowbridged"

// restorePart bounds a part: in base64 it fits into a record of 256 KiB.
const maxRestorePartBytes = 180 << 10

// NewRestore returns the records that carry a state over.
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

// Restores tells whether an entry is the first part of a state that is carried over into its
// own era.
func (e LogEntry) StartsRestore() bool {
	record, err := DecodeRecord(e.Data)
	return err == nil && record.Kind == RecordRestore && record.Restore != nil &&
		record.Restore.Part == 0 && record.Restore.Era == e.Position.Era()
}

// Digest tells records apart, wherever they lie.
func (e LogEntry) Digest() string {
	digest := xxhash.New()
	_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(e.TimeMs))) // it never fails
	_, _ = digest.Write(e.Data)
	return hex.EncodeToString(digest.Sum(nil))
}

// number is the entry's position where the state keeps it.
func (e LogEntry) storedOffset() int64 { return int64(e.Position) }

// RecentChange is a record of a change and the ID of its command.
type RecentChange struct {
	Command string `json:"command"`
	Data    []byte `json:"data"`
}

const (
	// mostRecent and mostRecentBytes bound the changes that are kept as records. A copy of the
	// store is some seconds old; 8,600 changes a day are one in ten seconds.
	maxRecentChanges      = 256
	maxRecentChangesBytes = 256 << 10
)

func (s *State) appendRecentChange(change RecentChange) {
	s.RecentChanges = append(s.RecentChanges, change)
	size := 0
	for i := len(s.RecentChanges) - 1; i >= 0; i-- {
		size += len(s.RecentChanges[i].Data)
		if len(s.RecentChanges)-i > maxRecentChanges || size > maxRecentChangesBytes {
			s.RecentChanges = slices.Clone(s.RecentChanges[i+1:])
			return
		}
	}
}

// Enter goes on in another era of the log, whose records up to a position are known.
func (s *State) EnterEra(known storelog.Position) { s.Position = known }

// Clone returns a copy that shares nothing.
func (s *State) Clone() (*State, error) {
	snapshot, err := s.EncodeSnapshot()
	if err != nil {
		return nil, err
	}
	clone, err := DecodeSnapshot(snapshot)
	return clone, errors.Wrap(err, "clone")
}

// foldRestore goes on from a state of a former era once its last part is there.
func (s *State) applyRestore(restore *RestorePart, entry LogEntry) {
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
	restored.Configured = entry.storedOffset()
	*s = *restored
	s.appendAudit(AuditEntry{
		Offset: entry.storedOffset(), TimeMs: entry.TimeMs, Actor: restoreActor, Action: AuditRestore, Accepted: true,
		Reason: fmt.Sprintf("the store came back from an older copy: carried over what was known up to %s", restore.Known),
	})
}
