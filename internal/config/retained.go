package config

import (
	"cmp"
	"maps"
	"slices"

	"github.com/crowbridge/crowbridge/internal/storelog"
)

// RetainedChanges holds the accepted changes of prior eras of the log until a state of the current
// era has them. The zero value holds none.
type RetainedChanges struct {
	changes []retainedChange
}

// retainedChange is an accepted change of a prior era.
type retainedChange struct {
	RecentChange
	// first is the revision that the change gave its objects when it was first accepted.
	first int64
	// prior has the results of the prior era.
	prior map[string]Result
}

// position returns the position at which the change was first accepted.
func (c retainedChange) position() storelog.Position { return storelog.Position(c.first - 1) }

// firstRevision returns the revision that the change gave its objects when it was first accepted, if
// it has been repeated since, and otherwise the given one.
func (c RecentChange) firstRevision(revision int64) int64 {
	if record, err := DecodeRecord(c.Data); err == nil && record.Repeat != nil {
		return record.Repeat.First
	}
	return revision
}

// RepeatedChange is a change of a prior era that is appended to the log of the current one.
type RepeatedChange struct {
	Command string
	// Prior is the position at which the change was first accepted.
	Prior storelog.Position
	// Result is the result of the change directly after the state that it was repeated for.
	Result Result
	// Data is the record to be appended.
	Data []byte
}

// Retain adds the recent changes of a state whose era ends.
func (c *RetainedChanges) Retain(s *State) {
	if len(s.RecentChanges) == 0 {
		return
	}
	prior := maps.Clone(s.Results)
	var changes []retainedChange
	for _, change := range c.changes {
		if !s.hasResult(change.Command) {
			changes = append(changes, change)
		}
	}
	for _, change := range s.RecentChanges {
		first := change.firstRevision(revisionAt(s.Results[change.Command].Offset))
		for _, earlier := range c.changes {
			if result, known := earlier.prior[change.Command]; known {
				first = min(first, revisionAt(result.Offset))
			}
		}
		changes = append(changes, retainedChange{RecentChange: change, first: first, prior: prior})
	}
	slices.SortStableFunc(changes, func(a, b retainedChange) int { return cmp.Compare(a.first, b.first) })
	c.changes = newestChanges(changes, func(change retainedChange) RecentChange { return change.RecentChange })
}

// Missing reports whether there are changes whose results the state doesn't have.
func (c *RetainedChanges) Missing(s *State) bool {
	return slices.ContainsFunc(c.changes, func(change retainedChange) bool { return !s.hasResult(change.Command) })
}

// Settle drops the changes whose results the state has. It returns those that it has as rejected.
func (c *RetainedChanges) Settle(s *State) (rejected []RepeatedChange) {
	var missing []retainedChange
	for _, change := range c.changes {
		result, known := s.Results[change.Command]
		switch {
		case !known:
			missing = append(missing, change)
		case !result.Accepted:
			rejected = append(rejected, RepeatedChange{Command: change.Command, Prior: change.position(), Result: result})
		}
	}
	c.changes = missing
	return rejected
}

// Repeat applies the missing changes to a state, in their order, and returns the records to be
// appended after it. A change isn't accepted if a later one of the same object is in force.
func (c *RetainedChanges) Repeat(s *State) ([]RepeatedChange, error) {
	var repeated []RepeatedChange
	current := indexCommands(s.Results)
	for _, change := range c.changes {
		if s.hasResult(change.Command) {
			continue
		}
		record, err := DecodeRecord(change.Data)
		if err != nil {
			return nil, err
		}
		record.Repeat = &Repeat{Era: s.Position.Era(), First: change.first}
		s.expectEarlier(record.Bundle, change, current)
		data, err := record.Encode()
		if err != nil {
			return nil, err
		}
		if err := s.Apply(LogEntry{Position: s.Position + 1, Data: data}); err != nil {
			return nil, err
		}
		result := s.Results[change.Command]
		current.add(map[string]Result{change.Command: result})
		repeated = append(repeated, RepeatedChange{Command: change.Command, Prior: change.position(), Result: result, Data: data})
	}
	return repeated, nil
}

// expectEarlier makes the changes of a bundle expect the objects as they are in the state, unless a
// later command set them.
func (s *State) expectEarlier(bundle *Bundle, change retainedChange, current commandIndex) {
	for i := range bundle.Changes {
		expects := &bundle.Changes[i].ExpectedRevision
		object := s.Objects[bundle.Changes[i].objectID()]
		if object == nil {
			continue
		}
		if command, ok := current.command(object.Revision); !ok || !s.isLater(command, object.Revision, change) {
			*expects = object.Revision
		} else if *expects == AnyRevision {
			*expects = change.first
		}
	}
}

// isLater reports whether the command that gave a revision was first accepted after a change of a
// prior era. Where the state of that era knew both, its order counts.
func (s *State) isLater(command string, revision int64, change retainedChange) bool {
	for _, recent := range s.RecentChanges {
		if recent.Command != command {
			continue
		}
		if first := recent.firstRevision(0); first > 0 {
			return first > change.first
		}
	}
	result, known := change.prior[command]
	if known && result.Accepted {
		return result.Offset > change.prior[change.Command].Offset
	}
	if known { // rejected there, accepted by another state
		revision = min(revision, revisionAt(result.Offset))
	}
	return revision > change.first
}
