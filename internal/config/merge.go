package config

import (
	"github.com/crowbridge/crowbridge/internal/storelog"
	"github.com/pkg/errors"
)

// ErrNoOverlap is returned by Merge if the log has lost its oldest records and the state recognizes
// none of the others, so that records between the two may be missing.
var ErrNoOverlap = errors.New("the log has no record that the state contains")

// Merged describes how a log was merged into a state.
type Merged struct {
	// Recognizable is the number of records that the state recognizes on a log.
	Recognizable int
	// Contained is the number of records, from the first on, that the state had already or that a
	// state carried over into a later era replaces.
	Contained int
	// Applied is the number of records that were applied to the state.
	Applied int
	// Superseded is the number of records that weren't applied since they carry states over into
	// eras up to that of the state, which contains or replaced them.
	Superseded int
}

// Merge moves the state into a newer era, to the end of its log, by applying the records that the
// state doesn't contain, and only these. The first record is at the position first. If force is set,
// a gap between the state and the log isn't an error.
//
// What the state contains is known from the state itself: not from positions, since offsets are
// reused in another era, nor from the records that a process happens to retain.
func (s *State) Merge(log []LogEntry, first storelog.Position, force bool) (Merged, error) {
	era := s.Position.Era()
	merged := Merged{Recognizable: len(s.Applied) / appliedSize, Contained: s.containedPrefix(log)}
	if merged.Contained == 0 {
		if i := findRestoreAfter(log, era); i >= 0 {
			merged.Contained = i
		} else if first.Offset() > 0 && !force {
			return merged, ErrNoOverlap
		}
	}
	s.EnterEra(first + storelog.Position(merged.Contained) - 1)
	for _, entry := range log[merged.Contained:] {
		s.mergeEntry(entry, era, &merged)
	}
	return merged, nil
}

// mergeEntry merges one record into a state of a prior era.
func (s *State) mergeEntry(entry LogEntry, prior int64, merged *Merged) {
	s.advance(entry)
	defer s.recordApplied(entry)
	record, _ := decodeSupported(entry.Data)
	switch {
	case record == nil:
		s.applyData(entry) // counts it
	case record.Restore != nil && record.Restore.Era <= prior:
		merged.Superseded++
		return
	default:
		s.applyRecord(record, entry)
	}
	merged.Applied++
}

// findRestoreAfter returns the index of the first part of the last state that was carried over into
// an era after the given one, or -1.
func findRestoreAfter(log []LogEntry, era int64) int {
	for i := len(log) - 1; i >= 0; i-- {
		record, err := DecodeRecord(log[i].Data)
		if err == nil && record.Restore != nil && record.Restore.Part == 0 && record.Restore.Era > era {
			return i
		}
	}
	return -1
}
