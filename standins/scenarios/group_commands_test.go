package scenarios

import (
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdPasses waits until the group has made N more passes and used the given number of new maps. It
// checks that all ranks used the same map in each pass:
// passes N [maps=N]
func cmdPasses(ts *testscript.TestScript, _ bool, args []string) {
	cluster := deploymentOf(ts).cluster
	more, err := strconv.ParseInt(args[0], 10, 64)
	ts.Check(err)
	maps := valueOr(parseValues(ts, args[1:]), "maps", 0)
	before, err := cluster.GroupState()
	ts.Check(err)
	deadline := time.Now().Add(passesTimeout)
	for {
		state, err := cluster.GroupState()
		ts.Check(err)
		if state.MixedPasses > 0 {
			ts.Fatalf("a pass used two expert maps: %+v", state)
		}
		if state.Passes >= before.Passes+more && len(state.Maps) >= len(before.Maps)+maps {
			state.PassIntervalsUs = nil
			ts.Logf("group: %+v", state)
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("the group makes too little progress: %+v, before %+v", state, before)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// cmdHolder crashes or pauses the agent that holds the group's lease, or resumes or starts the one
// that it paused or crashed last:
// holder crash|pause|resume|start
func cmdHolder(ts *testscript.TestScript, _ bool, args []string) {
	r := deploymentOf(ts)
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
		ts.Fatalf("holder: unknown action %s", args[0])
	}
}

// cmdEngine takes a rank's engine down or brings it up:
// engine RANK down|up
func cmdEngine(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(deploymentOf(ts).cluster.InjectGroupFault("down/" + args[0] + "/" + strconv.FormatBool(args[1] == "down")))
}

// cmdDelayCommands makes each N-th command to the group's engines get no response and be executed
// MS milliseconds later; 0 0 ends that:
// delay-commands N MS
func cmdDelayCommands(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(deploymentOf(ts).cluster.InjectGroupFault("late/" + args[0] + "/" + args[1]))
}
