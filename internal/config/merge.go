package config

import (
	"slices"

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
	// Superseded is the number of records that weren't applied since they carry states over that the
	// state contains or replaced.
	Superseded int
	// Undecided holds the commands of changes that weren't applied since they conflict with the state.
	Undecided []string
}

// Merge moves the state into a newer era, to the end of its log, by applying the records that the
// state doesn't contain, and only these. The first record is at the position first. If force is set,
// a gap between the state and the log isn't an error.
//
// What the state contains is known from the state itself: not from positions, since offsets are
// reused in another era, nor from the records that a process happens to retain.
//
// A change that conflicts with the state gets no result: a process with another state may have
// accepted it, and then repeats it. The same holds for one that the state rejected in an era into
// which no state was carried over yet.
func (s *State) Merge(log []LogEntry, first storelog.Position, force bool) (Merged, error) {
	era := s.Position.Era()
	superseded := s.CarriedInto
	merged := Merged{Recognizable: len(s.Applied) / appliedSize, Contained: s.containedPrefix(log)}
	if merged.Contained == 0 {
		superseded = era // a state of an earlier release may not know CarriedInto
		if i := findRestoreAfter(log, era); i >= 0 {
			merged.Contained = i
		} else if first.Offset() > 0 && !force {
			return merged, ErrNoOverlap
		}
	}
	if s.CarriedInto < era {
		s.forgetRejected(era)
	}
	commands := indexCommands(s.Results)
	commands.log, commands.first = log, first
	if i := findRestoreAfter(log[:merged.Contained], storelog.NoEra); i >= 0 {
		commands.since = log[i].restoreEra()
	}
	s.EnterEra(first + storelog.Position(merged.Contained) - 1)
	for _, entry := range log[merged.Contained:] {
		carriedInto := s.CarriedInto
		if err := s.mergeEntry(entry, superseded, commands, &merged); err != nil {
			return merged, err
		}
		if s.CarriedInto > carriedInto {
			commands.at, commands.since = indexCommands(s.Results).at, s.CarriedInto
		}
	}
	return merged, nil
}

// forgetRejected drops the results of the changes that were rejected in an era.
func (s *State) forgetRejected(era int64) {
	s.CommandOrder = slices.DeleteFunc(slices.Clone(s.CommandOrder), func(command string) bool {
		result := s.Results[command]
		forget := !result.Accepted && storelog.Position(result.Offset).Era() == era
		if forget {
			delete(s.Results, command)
		}
		return forget
	})
}

// mergeEntry merges one record into a state of a prior era, unless it carries a state over into an
// era up to superseded.
func (s *State) mergeEntry(entry LogEntry, superseded int64, commands commandIndex, merged *Merged) error {
	s.advance(entry)
	defer s.recordApplied(entry)
	record, _ := decodeSupported(entry.Data)
	switch {
	case record == nil:
		s.applyData(entry) // counts it
	case record.Restore != nil && record.Restore.Era <= superseded:
		merged.Superseded++
		return nil
	case record.Bundle != nil && !s.hasResult(record.Bundle.CommandID):
		if s.rebase(record.Bundle, commands) {
			var err error
			if entry.Data, err = record.Encode(); err != nil {
				return err
			}
		}
		if s.Check(record.Bundle) != nil {
			merged.Undecided = append(merged.Undecided, record.Bundle.CommandID)
			return nil
		}
		s.applyRecord(record, entry)
	default:
		s.applyRecord(record, entry)
	}
	merged.Applied++
	return nil
}

// ExpectsPriorEra reports whether a log has changes on condition of a revision of a prior era, or
// repeated for one. They would be rejected if the log were applied to an empty state, since a record
// has another position in each era.
func ExpectsPriorEra(log []LogEntry) bool {
	for _, entry := range log {
		record, err := DecodeRecord(entry.Data)
		if err != nil || record.Bundle == nil {
			continue
		}
		if record.Repeat != nil && record.Repeat.Era < entry.Position.Era() {
			return true
		}
		for _, change := range record.Bundle.Changes {
			if change.ExpectedRevision > 0 && storelog.Position(change.ExpectedRevision-1).Era() < entry.Position.Era() {
				return true
			}
		}
	}
	return false
}

// findRestoreAfter returns the index of the first part of the last state that was carried over into
// an era after the given one, or -1.
func findRestoreAfter(log []LogEntry, era int64) int {
	for i := len(log) - 1; i >= 0; i-- {
		if log[i].restoreEra() > era {
			return i
		}
	}
	return -1
}
