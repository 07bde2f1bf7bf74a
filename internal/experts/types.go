// Package experts keeps the expert maps of a group in step with demand. All
// ranks of a group run each pass together, and the engines don't compare their
// maps: this package makes sure that no pass begins with two of them.
package experts

// RankReport is the state of one rank's engine, as it tells it.
type RankReport struct {
	Group string
	Epoch int64
	Rank  int
	Size  int
	// Open is false while the group can't run.
	Open bool
	// Pass is the pass begun last. An idle group makes no passes.
	Pass int64
	// Map is the version in use; Prepared the newest whose experts are all copied;
	// Armed the version that a coming pass will switch to, or 0; Held the pass that
	// may not begin yet, or 0.
	Map, Prepared, Armed, Held int64
	// Queued and Running count the rank's requests.
	Queued, Running int
	// Pace over 1 means that the rank is slower than usual.
	Slowdown float64
	// Born tells the engine's starts apart; 0 where it doesn't tell.
	StartID int64
}

// Counts says how often a rank's requests chose each expert.
type Counts struct {
	Pass  int64
	Epoch int64
	// Born tells the engine's starts apart, each of which counts from 0.
	StartID int64
	// Chosen is ordered by set, then by expert, and begins with the place From: since
	// the rank's start as the engine tells it, since the holder's last look as the
	// agent does.
	Chosen []float64
	Offset int
}

// Operation is what an order asks an engine to do.
type Operation int

// The operations.
const (
	// Prepare copies the experts of a new map.
	Prepare Operation = iota
	// Arm makes the rank switch to a prepared map as a pass begins.
	Arm
	// Disarm takes an Arm back.
	Disarm
	// Hold keeps a pass from beginning until a Release.
	Hold
	// Release lets a held pass begin.
	Release
)

// String names the operation for logs.
func (o Operation) String() string {
	return [...]string{"prepare", "arm", "disarm", "hold", "release"}[o]
}

// Order is an order to one rank's engine.
type Command struct {
	Operation Operation
	Epoch     int64
	// Version of the map, for Prepare, Arm and Disarm.
	Version int64
	// Pass is where Arm, Hold and Release apply.
	Pass int64
	// Map lists the experts by set and rank, for Prepare.
	Map [][][]int
	// Fence is the lease's number; engines refuse lower ones than they have seen.
	Fence int64
}

// Verdict is what an engine said to an order.
type Result int

// The verdicts.
const (
	// Unanswered orders may be carried out, now or seconds later.
	NoResponse Result = iota
	// Accepted orders have begun or are done.
	Accepted
	// Refused orders don't fit the engine's state.
	Refused
	// Fenced orders came with an old lease.
	Fenced
)

// String names the verdict for logs.
func (r Result) String() string {
	return [...]string{"unanswered", "accepted", "refused", "fenced"}[r]
}
