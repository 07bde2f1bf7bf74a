package experts

// RankCommand is a command to one rank.
type RankCommand struct {
	Rank    int
	Command Command
	// Direct commands bypass the agent of the rank. The rank that holds the pass
	// must not depend on a VM that may stop right after sending the command.
	Direct bool
}

// PendingCommands returns the commands that are not confirmed yet.
func (s *MapSwitch) PendingCommands() []RankCommand {
	if s.fenced {
		return nil
	}
	return append(s.stageCommands(), s.strayReleases()...)
}

func (s *MapSwitch) stageCommands() []RankCommand {
	command := Command{Epoch: s.epoch, Fence: s.fence, Version: s.version, Pass: s.pass}
	switch s.stage {
	case StagePrepare:
		command.Operation, command.Map = Prepare, s.newMap
		return s.toUnconfirmed(command)
	case StageArm:
		command.Operation = Arm
		return s.nextArmBatch(s.toUnconfirmed(command))
	case StageHold:
		command.Operation = Hold
		return []RankCommand{{Rank: s.holdRank, Command: command, Direct: true}}
	case StageRelease:
		command.Operation = Release
		return []RankCommand{{Rank: s.holdRank, Command: command, Direct: true}}
	case StageDisarm:
		return s.disarmCommands(command)
	case StageInvalidate:
		command.Operation, command.Map = Prepare, s.currentMap
		return s.exceptFormerHolder(s.toUnconfirmed(command))
	case StageIdle, StageSettle:
	}
	return nil
}

// nextArmBatch returns the ranks to arm next: first all ranks but the holder's own
// and the one with the hold, then the one with the hold, then the holder's own. If
// the holder's VM stops during the first batch, an unarmed rank shows its successor
// that the holder's own rank isn't armed either.
func (s *MapSwitch) nextArmBatch(commands []RankCommand) []RankCommand {
	var first, second []RankCommand
	for _, c := range commands {
		switch c.Rank {
		case s.ownRank:
		case s.holdRank:
			second = append(second, c)
		default:
			first = append(first, c)
		}
	}
	switch {
	case len(first) > 0:
		return first
	case len(second) > 0:
		return second
	default:
		return commands
	}
}

// exceptFormerHolder drops the commands to the former holder's rank.
func (s *MapSwitch) exceptFormerHolder(commands []RankCommand) []RankCommand {
	var rest []RankCommand
	for _, c := range commands {
		if c.Rank != s.formerRank {
			rest = append(rest, c)
		}
	}
	return rest
}

// disarmCommands returns the commands that cancel what the former holder armed.
func (s *MapSwitch) disarmCommands(command Command) []RankCommand {
	command.Operation = Disarm
	var commands []RankCommand
	for _, c := range s.exceptFormerHolder(s.toUnconfirmed(command)) {
		if c.Command.Version = s.reports[c.Rank].Armed; c.Command.Version == 0 {
			c.Command.Version = s.reports[c.Rank].Prepared
		}
		commands = append(commands, c)
	}
	return commands
}

func (s *MapSwitch) strayReleases() []RankCommand {
	var commands []RankCommand
	for rank, pass := range s.strayHolds {
		if pass != 0 && s.stage != StageIdle {
			commands = append(commands, RankCommand{Rank: rank, Command: Command{
				Operation: Release, Epoch: s.epoch, Fence: s.fence, Pass: pass,
			}, Direct: true})
		}
	}
	return commands
}

func (s *MapSwitch) toUnconfirmed(command Command) []RankCommand {
	var commands []RankCommand
	for rank, confirmed := range s.confirmed {
		if !confirmed {
			commands = append(commands, RankCommand{Rank: rank, Command: command})
		}
	}
	return commands
}
