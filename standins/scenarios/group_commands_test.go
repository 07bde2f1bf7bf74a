package scenarios

import (
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdPasses waits for N more passes and the given number of new maps; no pass may use two maps:
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

// cmdHolder crashes or pauses the lease holder, or resumes or starts the one it did this to last:
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

// cmdDelayCommands runs each N-th engine command MS ms late, without a response; 0 0 ends this:
// delay-commands N MS
func cmdDelayCommands(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(deploymentOf(ts).cluster.InjectGroupFault("late/" + args[0] + "/" + args[1]))
}
