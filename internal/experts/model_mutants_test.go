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
	result func(o Command, v Result) Result
	// noEpoch engines take orders of any epoch.
	noEpoch bool
	// deaf holders ignore that they are fenced, and agents don't check.
	ignoresFence bool
}

// counts makes one verdict on one operation count as accepted.
func treatAsAccepted(operation Operation, as Result) func(Command, Result) Result {
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
			s.holdRank, s.holdAttemptsLeft = (s.ownRank+1)%s.size, maxHoldAttempts
			s.enter(StageHold)
		}
	}, result: treatAsAccepted(Arm, Refused)},
	{name: "an unanswered arm counts as confirmed", result: treatAsAccepted(Arm, NoResponse)},
	{name: "an unanswered hold counts as placed", result: treatAsAccepted(Hold, NoResponse)},
	{name: "a pass is given up after an arm", after: func(s *MapSwitch) {
		if s.stage == StageArm && s.confirmed[2] && !s.confirmed[1] && s.holdAttemptsLeft == maxHoldAttempts {
			s.holdAttemptsLeft--
			s.pass++
			s.enter(StageHold)
		}
	}},
	{name: "a successor releases a hold without arming", after: func(s *MapSwitch) {
		if s.fence == 2 && s.stage == StageArm && s.newMap == nil && s.version != s.lastStarted() {
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
	{name: "an old holder goes on beside the new one", ignoresFence: true},
}

// lastBegun is the version of the last switch that this holder began itself.
func (s *MapSwitch) lastStarted() int64 {
	if s.newMap == nil {
		return 0
	}
	return s.version
}

// TestMutantsAreFound: the check finds each protocol that is broken on purpose.
func TestMutantsAreDetected(t *testing.T) {
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
