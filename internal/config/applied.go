package config

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxApplied is the number of records that a state recognizes at least on a log of another era,
	// well above what the log retains.
	maxApplied = 1024
	// appliedSize is the size of a digest in State.Applied, in bytes.
	appliedSize = 8
)

// identity returns a digest that identifies the record on every copy of its log, where it has the
// same offset in all eras. It returns false for a record that can't be told from another one.
func (e LogEntry) identity() (uint64, bool) {
	return identify(e.Position.Offset(), e.Digest()), len(e.Data) > 0
}

func identify(offset int64, digest string) uint64 {
	return xxhash.Sum64(append(binary.BigEndian.AppendUint64(nil, uint64(offset)), digest...))
}

// recordApplied adds the record at the state's position to those that the state contains.
func (s *State) recordApplied(entry LogEntry) {
	if len(entry.Data) == 0 {
		return
	}
	s.Applied = binary.BigEndian.AppendUint64(s.Applied, identify(entry.Position.Offset(), s.Last))
	if len(s.Applied) > 2*maxApplied*appliedSize {
		s.Applied = slices.Clone(s.Applied[len(s.Applied)-maxApplied*appliedSize:])
	}
}

// containedPrefix returns how many of the first records of a log in another era the state contains.
// It is 0 if the state recognizes none of them.
//
// A state that contains a record contains all records before it on the log, since it has applied
// them in order or is based on a state that did. Copies of a log differ only in its end.
func (s *State) containedPrefix(log []LogEntry) int {
	applied := make(map[uint64]bool, len(s.Applied)/appliedSize+1)
	for rest := s.Applied; len(rest) >= appliedSize; rest = rest[appliedSize:] {
		applied[binary.BigEndian.Uint64(rest)] = true
	}
	if s.Last != "" {
		applied[identify(s.Position.Offset(), s.Last)] = true // all that a state of an earlier release has
	}
	for i := len(log) - 1; i >= 0; i-- {
		if id, ok := log[i].identity(); ok && applied[id] {
			return i + 1
		}
	}
	return 0
}
