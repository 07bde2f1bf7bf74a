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
	return append(s.stageOrders(), s.strayReleases()...)
}

func (s *MapSwitch) stageOrders() []RankCommand {
	order := Command{Epoch: s.epoch, Fence: s.fence, Version: s.version, Pass: s.pass}
	switch s.stage {
	case StagePrepare:
		order.Operation, order.Map = Prepare, s.lists
		return s.toUnconfirmed(order)
	case StageArm:
		order.Operation = Arm
		return s.ownLast(s.toUnconfirmed(order))
	case StageHold:
		order.Operation = Hold
		return []RankCommand{{Rank: s.holdRank, Command: order, Direct: true}}
	case StageRelease:
		order.Operation = Release
		return []RankCommand{{Rank: s.holdRank, Command: order, Direct: true}}
	case StageUndo:
		return s.disarms(order)
	case StageBurn:
		order.Operation, order.Map = Prepare, s.present
		return s.reachable(s.toUnconfirmed(order))
	case StageIdle, StageSettle:
	}
	return nil
}

// ownLast keeps the order in which ranks are armed: first all but the holder's
// own and the one with the hold, then the latter, then the own. A holder whose
// VM stops in the first of the three leaves a rank unarmed, which shows that
// its own isn't armed either.
func (s *MapSwitch) ownLast(orders []RankCommand) []RankCommand {
	var first, second []RankCommand
	for _, o := range orders {
		switch o.Rank {
		case s.ownRank:
		case s.holdRank:
			second = append(second, o)
		default:
			first = append(first, o)
		}
	}
	switch {
	case len(first) > 0:
		return first
	case len(second) > 0:
		return second
	default:
		return orders
	}
}

// reachable leaves the former holder's rank out.
func (s *MapSwitch) reachable(orders []RankCommand) []RankCommand {
	var others []RankCommand
	for _, o := range orders {
		if o.Rank != s.formerRank {
			others = append(others, o)
		}
	}
	return others
}

// disarms takes back what the former holder armed.
func (s *MapSwitch) disarms(order Command) []RankCommand {
	order.Operation = Disarm
	var orders []RankCommand
	for _, o := range s.reachable(s.toUnconfirmed(order)) {
		if o.Command.Version = s.reports[o.Rank].Armed; o.Command.Version == 0 {
			o.Command.Version = s.reports[o.Rank].Prepared
		}
		orders = append(orders, o)
	}
	return orders
}

func (s *MapSwitch) strayReleases() []RankCommand {
	var orders []RankCommand
	for rank, pass := range s.strays {
		if pass != 0 && s.stage != StageIdle {
			orders = append(orders, RankCommand{Rank: rank, Command: Command{
				Operation: Release, Epoch: s.epoch, Fence: s.fence, Pass: pass,
			}, Direct: true})
		}
	}
	return orders
}

func (s *MapSwitch) toUnconfirmed(order Command) []RankCommand {
	var orders []RankCommand
	for rank, confirmed := range s.confirmed {
		if !confirmed {
			orders = append(orders, RankCommand{Rank: rank, Command: order})
		}
	}
	return orders
}
