package config

import "github.com/crowbridge/crowbridge/internal/storelog"

// commandIndex finds the command that gave a revision.
type commandIndex struct {
	at map[storelog.Position]string
	// log is the log of the newest era and first its first position; revisions that aren't in the
	// index are looked up there by their offset, which a record has in all eras, unless they are of
	// an era before since.
	log   []LogEntry
	first storelog.Position
	since int64
}

// indexCommands returns an index of the accepted commands of a state.
func indexCommands(results map[string]Result) commandIndex {
	index := commandIndex{at: make(map[storelog.Position]string, len(results))}
	index.add(results)
	return index
}

func (x commandIndex) add(results map[string]Result) {
	for command, result := range results {
		if result.Accepted {
			x.at[storelog.Position(result.Offset)] = command
		}
	}
}

// command returns the ID of the command that gave a revision.
func (x commandIndex) command(revision int64) (string, bool) {
	at := storelog.Position(revision - 1)
	if command, ok := x.at[at]; ok {
		return command, true
	}
	i := at.Offset() - x.first.Offset()
	if i < 0 || i >= int64(len(x.log)) || at.Era() < x.since {
		return "", false
	}
	record, err := DecodeRecord(x.log[i].Data)
	if err != nil || record.Bundle == nil {
		return "", false
	}
	return record.Bundle.CommandID, true
}

// rebase replaces the revisions that a bundle expects by those that the same commands gave in the
// state, where a change may lie at another position than in the era of the bundle. It reports
// whether it replaced any.
func (s *State) rebase(bundle *Bundle, commands commandIndex) bool {
	rebased := false
	for i := range bundle.Changes {
		change := &bundle.Changes[i]
		if change.ExpectedRevision <= 0 {
			continue
		}
		command, ok := commands.command(change.ExpectedRevision)
		if !ok {
			continue
		}
		result, known := s.Results[command]
		if known && result.Accepted && change.ExpectedRevision != revisionAt(result.Offset) {
			change.ExpectedRevision = revisionAt(result.Offset)
			rebased = true
		}
	}
	return rebased
}
