//go:build !race

package experts

import (
	"math/rand/v2"
	"testing"
)

// mutant is a deliberately broken variant of the protocol.
type mutant struct {
	name string
	// after runs after each event of a holder.
	after func(s *MapSwitch)
	// result may change the result of a command.
	result func(command Command, result Result) Result
	// noEpoch makes engines accept commands of any epoch.
	noEpoch bool
	// ignoresFence makes holders, agents and engines ignore fencing tokens.
	ignoresFence bool
}

// treatAsAccepted replaces one result of an operation by Accepted.
func treatAsAccepted(operation Operation, replaced Result) func(Command, Result) Result {
	return func(command Command, result Result) Result {
		if command.Operation == operation && result == replaced {
			return Accepted
		}
		return result
	}
}

// mutants lists the broken protocols.
var mutants = []mutant{
	{name: "arms without a hold", after: func(s *MapSwitch) {
		if s.stage == StageHold {
			s.enter(StageArm)
		}
	}},
	{name: "releases before all ranks have confirmed", after: func(s *MapSwitch) {
		if s.stage == StageArm && s.confirmed[0] {
			s.enter(StageRelease)
		}
	}},
	{name: "holds before all ranks have prepared and accepts refused Arms", after: func(s *MapSwitch) {
		if s.stage == StagePrepare && s.confirmed[0] {
			s.pass = s.newestPass() + passMargin
			s.holdRank, s.holdAttemptsLeft = (s.ownRank+1)%s.size, maxHoldAttempts
			s.enter(StageHold)
		}
	}, result: treatAsAccepted(Arm, Refused)},
	{name: "treats an Arm without response as confirmed", result: treatAsAccepted(Arm, NoResponse)},
	{name: "treats a Hold without response as placed", result: treatAsAccepted(Hold, NoResponse)},
	{name: "abandons a pass after an Arm", after: func(s *MapSwitch) {
		if s.stage == StageArm && s.confirmed[2] && !s.confirmed[1] && s.holdAttemptsLeft == maxHoldAttempts {
			s.holdAttemptsLeft--
			s.pass++
			s.enter(StageHold)
		}
	}},
	{name: "successor releases a hold without arming", after: func(s *MapSwitch) {
		if s.fence == 2 && s.stage == StageArm && s.newMap == nil && s.version != s.lastStarted() {
			s.enter(StageRelease)
		}
	}},
	{name: "arms the own rank with the others, successor disarms", after: func(s *MapSwitch) {
		if s.fence == 1 && s.stage == StageArm {
			s.ownRank = modelRanks
		}
	}},
	{name: "successor releases without invalidating delayed Arms", after: func(s *MapSwitch) {
		if s.stage == StageInvalidate {
			s.version = s.reports[1].Map
			s.enter(StageRelease)
		}
	}},
	{name: "engines accept commands of any epoch", noEpoch: true},
	{name: "superseded holder goes on", ignoresFence: true},
}

// lastStarted returns the version of the last switch that this holder started itself.
func (s *MapSwitch) lastStarted() int64 {
	if s.newMap == nil {
		return 0
	}
	return s.version
}

// TestMutantsAreDetected checks that random walks detect each broken protocol.
func TestMutantsAreDetected(t *testing.T) {
	for i := range mutants {
		t.Run(mutants[i].name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(2, 2))
			for range 10 * walks {
				if _, trace := walk(random, walkLength, &mutants[i]); trace != nil {
					return
				}
			}
			t.Fatal("not detected")
		})
	}
}
