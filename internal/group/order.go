// Package group keeps all ranks of a group on one expert map in every step. It
// holds two state machines without I/O: Rank, at the agent of each rank, and
// Holder, at whoever holds the group's lease.
//
// # Protocol
//
// A switch to map version v takes three rounds, each acknowledged by ALL ranks,
// which costs no availability, since a group in lock-step can't step without all
// its ranks anyway:
//
//	Stage(v)       load v's weights beside the map in use
//	Propose(v, S)  promise not to begin step S before the decision is known
//	Commit(v, S)   from step S on use v
//
// A rank's engine begins a step only when it was granted, and a rank that has
// accepted a proposal grants no step from S on. So a rank that can't know the
// decision waits, and with it the group.
//
// Orders carry the fencing number of the holder's lease and the incarnation of
// the agent they are meant for. A new holder first raises the number at ALL
// ranks and collects what each has promised or committed: after that no older
// order takes effect anywhere. The newest switch that any rank has committed is
// then proposed and committed again at ALL ranks. That finishes a switch that
// was committed at some, and does away with a proposal that was committed at
// none and that nobody can commit any more.
//
// An agent that restarted has lost its fencing number and promises. It knows
// what its engine was told, grants nothing, and waits for a holder. Its new
// incarnation makes every order to the old one void, at the holder too: a holder
// that meets a new incarnation starts again from raising.
//
// An engine that restarted has lost its maps and its place. The group then forms
// anew: a switch that jumps, staged, proposed and committed like any other, to a
// step that nobody can have begun. A rank that has promised a jump grants
// nothing at all until it's decided.
package group

// Version identifies an expert map. It is made of the fencing number of the
// holder that made the map and a count, so no two holders make the same one.
type Version int64

// versionsPerFence is how many maps one holder can make.
const versionsPerFence = 1 << 20

// NewVersion returns the n-th version made under a fencing number.
func NewVersion(fence, n int64) Version { return Version(fence*versionsPerFence + n) }

// Kind names an order.
type Kind int

// The kinds of orders.
const (
	KindRaise Kind = iota + 1
	KindStage
	KindPropose
	KindCommit
)

// String names the kind in logs.
func (k Kind) String() string {
	switch k {
	case KindRaise:
		return "raise"
	case KindStage:
		return "stage"
	case KindPropose:
		return "propose"
	case KindCommit:
		return "commit"
	default:
		return "invalid"
	}
}

// Switch says that from a step on a map version is used.
type Switch struct {
	Version Version
	Step    int64
	// Jump is set when the group forms anew at Step, because an engine has lost its
	// state: all ranks leave out the steps before that they have not begun.
	Jump bool
}

// Order is one fenced order from a holder to a rank's agent.
type Order struct {
	Fence int64
	// Incarnation of the agent that the order is meant for; a raise has none.
	Incarnation uint64
	Kind        Kind
	Switch      Switch
	// Round counts the holder's phases. Ranks ignore it; it lets the holder tell a
	// late reply to an earlier phase's order from one to the order that is due.
	Round int64
}

// Refusal says why an order took no effect.
type Refusal int

// The refusals.
const (
	RefusalNone Refusal = iota
	// RefusalFence means that a holder with a higher fencing number exists.
	RefusalFence
	// RefusalIncarnation means that the agent restarted since.
	RefusalIncarnation
	// RefusalNotRaised means that the holder hasn't raised this agent's number.
	RefusalNotRaised
	// RefusalNotStaged means that the version's weights aren't loaded.
	RefusalNotStaged
	// RefusalTooLate means that the step was already granted on the map in use.
	RefusalTooLate
	// RefusalBusy means that the switch committed last hasn't been reached yet.
	RefusalBusy
	// RefusalNotProposed means that the committed switch is not the promised one.
	RefusalNotProposed
)

// String names the refusal in logs.
func (r Refusal) String() string {
	names := [...]string{"none", "fence", "incarnation", "not raised", "not staged", "too late", "busy", "not proposed"}
	if int(r) < len(names) {
		return names[r]
	}
	return "invalid"
}

// Reply is a rank's answer to an order, with all that a holder needs to know.
type Reply struct {
	Refusal Refusal
	// Fence is the highest number the agent has seen.
	Fence       int64
	Incarnation uint64
	// Committed is the newest switch committed at this rank.
	Committed Switch
	// Pending is set while a promise waits for its decision.
	Pending bool
	// Staged is the version loaded beside the one in use.
	Staged Version
	// GrantedThrough is the last step that the engine may begin.
	GrantedThrough int64
	// Step is the last step that the engine began.
	Step int64
	// Recovering is set until a holder has committed something here since the
	// agent's start.
	Recovering bool
}
