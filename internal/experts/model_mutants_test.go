//go:build !race

package experts

import (
	"math/rand/v2"
	"testing"
)

// mutant breaks the protocol on purpose.
type mutant struct {
	name string
	// after runs after each event of a holder.
	after func(s *MapSwitch)
	// verdict may change what an engine said.
	verdict func(o Command, v Result) Result
	// noEpoch engines take orders of any epoch.
	noEpoch bool
	// deaf holders ignore that they are fenced, and agents don't check.
	deaf bool
}

// counts makes one verdict on one operation count as accepted.
func counts(operation Operation, as Result) func(Command, Result) Result {
	return func(o Command, v Result) Result {
		if o.Operation == operation && v == as {
			return Accepted
		}
		return v
	}
}

// mutants are protocols that must be found to be broken.
var mutants = []mutant{
	{name: "armed without a hold", after: func(s *MapSwitch) {
		if s.stage == StageHold {
			s.enter(StageArm)
		}
	}},
	{name: "released before all have confirmed", after: func(s *MapSwitch) {
		if s.stage == StageArm && s.confirmed[0] {
			s.enter(StageRelease)
		}
	}},
	{name: "held before all have prepared, refused arms given up", after: func(s *MapSwitch) {
		if s.stage == StagePrepare && s.confirmed[0] {
			s.pass = s.newestPass() + passMargin
			s.holdRank, s.holdsLeft = (s.ownRank+1)%s.size, holdTries
			s.enter(StageHold)
		}
	}, verdict: counts(Arm, Refused)},
	{name: "an unanswered arm counts as confirmed", verdict: counts(Arm, NoResponse)},
	{name: "an unanswered hold counts as placed", verdict: counts(Hold, NoResponse)},
	{name: "a pass is given up after an arm", after: func(s *MapSwitch) {
		if s.stage == StageArm && s.confirmed[2] && !s.confirmed[1] && s.holdsLeft == holdTries {
			s.holdsLeft--
			s.pass++
			s.enter(StageHold)
		}
	}},
	{name: "a successor releases a hold without arming", after: func(s *MapSwitch) {
		if s.fence == 2 && s.stage == StageArm && s.lists == nil && s.version != s.lastBegun() {
			s.enter(StageRelease)
		}
	}},
	{name: "the own rank is armed with the others, the successor undoes", after: func(s *MapSwitch) {
		if s.fence == 1 && s.stage == StageArm {
			s.ownRank = modelRanks
		}
	}},
	{name: "a successor undoes without burning the version", after: func(s *MapSwitch) {
		if s.stage == StageBurn {
			s.version = s.reports[1].Map
			s.enter(StageRelease)
		}
	}},
	{name: "engines and orders don't know epochs", noEpoch: true},
	{name: "an old holder goes on beside the new one", deaf: true},
}

// lastBegun is the version of the last switch that this holder began itself.
func (s *MapSwitch) lastBegun() int64 {
	if s.lists == nil {
		return 0
	}
	return s.version
}

// TestMutantsAreFound: the check finds each protocol that is broken on purpose.
func TestMutantsAreFound(t *testing.T) {
	for i := range mutants {
		t.Run(mutants[i].name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(2, 2))
			for range 10 * walks {
				if _, trace := walk(random, walkLength, &mutants[i]); trace != nil {
					return
				}
			}
			t.Fatal("not found")
		})
	}
}
