package scenarios

import (
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdSteps waits until the group has made so many more passes and so many more
// maps were used, and checks that all ranks used one map in each:
// steps N [versions=N]
func cmdSteps(ts *testscript.TestScript, _ bool, args []string) {
	cluster := of(ts).cluster
	more, err := strconv.ParseInt(args[0], 10, 64)
	ts.Check(err)
	versions := valueOr(settings(ts, args[1:]), "versions", 0)
	first, err := cluster.GroupState()
	ts.Check(err)
	deadline := time.Now().Add(stepsTimeout)
	for {
		state, err := cluster.GroupState()
		ts.Check(err)
		if state.MixedPasses > 0 {
			ts.Fatalf("a pass began with two maps: %+v", state)
		}
		if state.Passes >= first.Passes+more && len(state.Maps) >= len(first.Maps)+versions {
			state.PassIntervalsUs = nil
			ts.Logf("group: %+v", state)
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("the group doesn't get on: %+v, before %+v", state, first)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// cmdHolder does something to the agent that holds the group's lease:
// holder crash|pause|resume|start. Resume and start name the one that was
// paused or crashed.
func cmdHolder(ts *testscript.TestScript, _ bool, args []string) {
	r := of(ts)
	name := r.saved["holder"]
	if args[0] == "crash" || args[0] == "pause" {
		holder, err := r.cluster.LeaseHolder()
		ts.Check(err)
		name = holder
		r.saved["holder"] = name
	}
	switch args[0] {
	case "crash":
		cmdCrash(ts, false, []string{name})
	case "pause":
		cmdPause(ts, false, []string{name})
	case "resume":
		cmdResume(ts, false, []string{name})
	case "start":
		cmdStart(ts, false, []string{name})
	default:
		ts.Fatalf("holder: unknown %s", args[0])
	}
}

// cmdEngine takes a rank's engine down or starts it again: engine RANK down|up
func cmdEngine(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(of(ts).cluster.InjectGroupFault("down/" + args[0] + "/" + strconv.FormatBool(args[1] == "down")))
}

// cmdOrders makes each N-th order to the group's engines go unanswered and be
// carried out MS milliseconds later; 0 0 ends that: orders N MS
func cmdOrders(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(of(ts).cluster.InjectGroupFault("late/" + args[0] + "/" + args[1]))
}
