package experts

// RankOrder is an order to one rank.
type RankCommand struct {
	Rank    int
	Command Command
	// Direct orders go from the holder straight to the engine, past its agent: a VM
	// that stops right after it gave the order must not be the engine's own.
	Direct bool
}

// Orders returns the orders that have no confirmation yet.
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
	case StageUndo:
		return s.disarmCommands(command)
	case StageBurn:
		command.Operation, command.Map = Prepare, s.currentMap
		return s.exceptFormerHolder(s.toUnconfirmed(command))
	case StageIdle, StageSettle:
	}
	return nil
}

// ownLast keeps the order in which ranks are armed: first all but the holder's
// own and the one with the hold, then the latter, then the own. A holder whose
// VM stops in the first of the three leaves a rank unarmed, which shows that
// its own isn't armed either.
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

// reachable leaves the former holder's rank out.
func (s *MapSwitch) exceptFormerHolder(commands []RankCommand) []RankCommand {
	var rest []RankCommand
	for _, c := range commands {
		if c.Rank != s.formerRank {
			rest = append(rest, c)
		}
	}
	return rest
}

// disarms takes back what the former holder armed.
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
