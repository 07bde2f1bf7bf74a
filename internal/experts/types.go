// Package experts adapts a group's expert map to demand. All ranks of a group
// run each forward pass together, but engines don't compare their maps. The
// protocol in this package guarantees that no pass begins with two maps.
package experts

// RankReport is the state that the engine of one rank reports.
type RankReport struct {
	Group string
	Epoch int64
	Rank  int
	Size  int
	// Open reports whether the group can run.
	Open bool
	// Pass is the last pass that began. An idle group runs no passes.
	Pass int64
	// Map is the version in use, Prepared the newest version whose experts are all
	// copied, Armed the version that a later pass switches to, or 0. Held is the
	// pass that is kept from beginning, or 0.
	Map, Prepared, Armed, Held int64
	// Queued and Running are numbers of requests.
	Queued, Running int
	// Slowdown above 1 means that the rank is slower than usual.
	Slowdown float64
	// StartID differs between starts of the engine; 0 if the engine reports none.
	StartID int64
}

// Counts holds how often the requests of a rank selected each expert.
type Counts struct {
	Pass  int64
	Epoch int64
	// StartID differs between starts of the engine. Each start counts from 0.
	StartID int64
	// Selections is ordered by layer, then by expert, beginning at index Offset. Engines
	// count from their start, agents from the holder's previous query.
	Selections []float64
	Offset     int
}

// Operation is the kind of a Command.
type Operation int

// Operations.
const (
	// Prepare copies the experts of a new map.
	Prepare Operation = iota
	// Arm schedules the switch to a prepared map for the beginning of a pass.
	Arm
	// Disarm cancels an Arm.
	Disarm
	// Hold keeps a pass from beginning until a Release.
	Hold
	// Release lets a held pass begin.
	Release
)

// String returns the name used in logs.
func (o Operation) String() string {
	return [...]string{"prepare", "arm", "disarm", "hold", "release"}[o]
}

// Command is an instruction to the engine of one rank.
type Command struct {
	Operation Operation
	Epoch     int64
	// Version is the version of the map, for Prepare, Arm and Disarm.
	Version int64
	// Pass is the pass that Arm, Hold and Release apply to.
	Pass int64
	// Map lists the experts by layer and rank, for Prepare.
	Map [][][]int
	// Fence is the fencing token of the lease. Agents, and engines that check it,
	// refuse a lower one than the highest that they have seen.
	Fence int64
}

// Result is the outcome of a Command.
type Result int

// Results.
const (
	// NoResponse means that the command may still be executed, even seconds later.
	NoResponse Result = iota
	// Accepted means that the command has been executed or has begun.
	Accepted
	// Refused means that the command doesn't fit the engine's state.
	Refused
	// Fenced means that the command came with the fencing token of an old lease.
	Fenced
)

// String returns the name used in logs.
func (r Result) String() string {
	return [...]string{"unanswered", "accepted", "refused", "fenced"}[r]
}
