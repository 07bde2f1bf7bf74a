package config

import "github.com/crowbridge/crowbridge/internal/storelog"

// commandIndex finds the command that gave a revision.
type commandIndex struct {
	at map[storelog.Position]string
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
	command, ok := x.at[storelog.Position(revision-1)]
	return command, ok
}
