package group

// EnginePlan is what the engine was told. It outlives the agent.
type EnginePlan struct {
	// InUse is the switch whose map the engine uses now; Next replaces it from
	// its step on, and is zero when no switch is coming.
	InUse Switch
	Next  Switch
	// Staged is the version whose weights are loaded beside the one in use.
	Staged Version
	// GrantedThrough is the last step that the engine may begin.
	GrantedThrough int64
	// Step is the last step that the engine began.
	Step int64
}

// VersionAt returns the map version that the plan uses in a step.
func (p *EnginePlan) VersionAt(step int64) Version {
	if p.Next != (Switch{}) && step >= p.Next.Step {
		return p.Next.Version
	}
	return p.InUse.Version
}

// committed is the newest switch that the engine was told of.
func (p *EnginePlan) committed() Switch {
	if p.Next != (Switch{}) {
		return p.Next
	}
	return p.InUse
}

// take adds a committed switch.
func (p *EnginePlan) take(s Switch) {
	if !s.Jump {
		p.Next = s
		return
	}
	p.InUse, p.Next = s, Switch{}
	p.Step = s.Step - 1
	p.GrantedThrough = s.Step - 1
}

// Rank is the state machine at the agent of one rank.
//
// Invariant: a step s is granted only while no proposal with a step at or
// before s is pending, and after a restart only once a holder has committed.
// So the version of a granted step is known when it's granted, and a later
// commit can't change it, for a proposal at or before GrantedThrough is refused.
//
// Not safe for concurrent use.
type Rank struct {
	Plan EnginePlan

	incarnation uint64
	fence       int64
	// proposed is the latest promise, made under proposedUnder; it binds while
	// pending is set.
	proposed      Switch
	proposedUnder int64
	pending       bool
	recovering    bool
}

// NewRank returns the state machine of an agent that just started: it knows
// only what its engine was told.
func NewRank(incarnation uint64, plan EnginePlan) *Rank {
	return &Rank{Plan: plan, incarnation: incarnation, recovering: true}
}

// Handle takes one order. Orders may arrive late, twice, or not at all.
func (r *Rank) Handle(order Order) Reply {
	refusal := r.admit(order)
	if refusal == RefusalNone {
		refusal = r.apply(order)
	}
	return r.reply(refusal)
}

// admit checks fencing number and incarnation.
func (r *Rank) admit(order Order) Refusal {
	switch {
	case order.Fence < r.fence:
		return RefusalFence
	case order.Kind == KindRaise:
		return RefusalNone
	case order.Incarnation != r.incarnation:
		return RefusalIncarnation
	case order.Fence > r.fence:
		return RefusalNotRaised
	default:
		return RefusalNone
	}
}

func (r *Rank) apply(order Order) Refusal {
	switch order.Kind {
	case KindRaise:
		r.fence = order.Fence
		return RefusalNone
	case KindStage:
		return r.stage(order.Switch.Version)
	case KindPropose:
		return r.propose(order.Switch)
	case KindCommit:
		return r.commit(order.Switch)
	default:
		return RefusalNotRaised
	}
}

// stage refuses a late copy of an earlier order, which would put older weights
// in the place of those that a promise may already be about.
func (r *Rank) stage(v Version) Refusal {
	if v == r.Plan.committed().Version {
		return RefusalNone // its weights are loaded
	}
	if v < r.Plan.Staged || v < r.Plan.committed().Version {
		return RefusalTooLate
	}
	r.Plan.Staged = v
	return RefusalNone
}

func (r *Rank) propose(s Switch) Refusal {
	if r.proposedUnder == r.fence && s.Step < r.proposed.Step {
		return RefusalTooLate // a late copy of an earlier proposal of this holder
	}
	if s != r.Plan.committed() {
		if refusal := r.checkNew(s); refusal != RefusalNone {
			return refusal
		}
	}
	r.proposed = s
	r.pending = true
	r.proposedUnder = r.fence
	return RefusalNone
}

// checkNew checks a proposal of a switch that isn't committed here yet.
func (r *Rank) checkNew(s Switch) Refusal {
	loaded := s.Version == r.Plan.Staged || (s.Jump && s.Version == r.Plan.committed().Version)
	switch {
	case !loaded:
		return RefusalNotStaged
	case s.Step <= r.Plan.GrantedThrough || s.Step <= r.Plan.committed().Step:
		return RefusalTooLate
	case r.Plan.Next != (Switch{}) && !s.Jump:
		return RefusalBusy
	default:
		return RefusalNone
	}
}

func (r *Rank) commit(s Switch) Refusal {
	if r.pending && s == r.proposed {
		if s != r.Plan.committed() {
			r.Plan.take(s)
		}
		r.pending = false
		r.recovering = false
		return RefusalNone
	}
	if s == r.Plan.committed() && !r.recovering {
		return RefusalNone // a copy of an order that took effect
	}
	return RefusalNotProposed
}

// Grant lets the engine begin steps up to the given one, as far as promises
// allow, and returns the last step granted.
func (r *Rank) Grant(through int64) int64 {
	if r.recovering {
		return r.Plan.GrantedThrough
	}
	if r.pending && r.proposed.Jump && r.proposed != r.Plan.committed() {
		return r.Plan.GrantedThrough
	}
	if r.pending {
		through = min(through, r.proposed.Step-1)
	}
	r.Plan.GrantedThrough = max(r.Plan.GrantedThrough, through)
	return r.Plan.GrantedThrough
}

// Began notes that the engine began a step.
func (r *Rank) Began(step int64) {
	r.Plan.Step = max(r.Plan.Step, step)
	if r.Plan.Next != (Switch{}) && r.Plan.Step >= r.Plan.Next.Step {
		r.Plan.InUse = r.Plan.Next
		r.Plan.Next = Switch{}
	}
}

// Report returns the rank's state as a reply to no order.
func (r *Rank) Report() Reply { return r.reply(RefusalNone) }

func (r *Rank) reply(refusal Refusal) Reply {
	return Reply{
		Refusal: refusal, Fence: r.fence, Incarnation: r.incarnation,
		Committed: r.Plan.committed(), Pending: r.pending, Staged: r.Plan.Staged,
		GrantedThrough: r.Plan.GrantedThrough, Step: r.Plan.Step, Recovering: r.recovering,
	}
}
