package scenarios

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdOperator runs the operators' command line and writes its output to $WORK/out:
// operator [as-reader|@ENTRY] ARGS...
func cmdOperator(ts *testscript.TestScript, neg bool, args []string) {
	out, err := runOperator(ts, args)
	ts.Logf("%s", out)
	ts.Check(os.WriteFile(filepath.Join(ts.Getenv("WORK"), "out"), []byte(out), 0o600))
	if (err != nil) != neg {
		ts.Fatalf("operator %v: error %v", args, err)
	}
}

// cmdDaemon runs crowbridged and writes its output to $WORK/out:
// daemon ARGS...
func cmdDaemon(ts *testscript.TestScript, neg bool, args []string) {
	bin, err := buildOnce()
	ts.Check(err)
	cmd := exec.Command(filepath.Join(bin, "crowbridged"), args...)
	for _, name := range []string{"CROWBRIDGE_ZONE", "CROWBRIDGE_DAEMON_KEY"} {
		cmd.Env = append(cmd.Env, name+"="+ts.Getenv(name))
	}
	out, err := cmd.CombinedOutput()
	ts.Check(os.WriteFile(filepath.Join(ts.Getenv("WORK"), "out"), out, 0o600))
	if (err != nil) != neg {
		ts.Fatalf("crowbridged %v: error %v: %s", args, err, out)
	}
}

func runOperator(ts *testscript.TestScript, args []string) (string, error) {
	cluster := deploymentOf(ts).cluster
	for i, arg := range args {
		if strings.HasSuffix(arg, ".yaml") {
			args[i] = ts.MkAbs(arg)
		}
	}
	if args[0] == "as-reader" {
		return cluster.RunReadOnlyCLI(args[1:]...)
	}
	name, addressed := strings.CutPrefix(args[0], "@")
	if !addressed {
		return cluster.RunCLI(args...)
	}
	for _, e := range cluster.Entries {
		if e.Name == name {
			return cluster.RunCLIAt(e.ControlAddress, args[1:]...)
		}
	}
	return "", fmt.Errorf("entry %q does not exist", name)
}

const eventuallyTimeout = 15 * time.Second

// cmdEventually repeats an operator's command until its output contains TEXT or, with !, doesn't:
// [!] eventually TEXT [@ENTRY] ARGS...
func cmdEventually(ts *testscript.TestScript, neg bool, args []string) {
	deadline := time.Now().Add(eventuallyTimeout)
	for {
		out, _ := runOperator(ts, args[1:])
		if strings.Contains(out, args[0]) != neg {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%q found: %t, in:\n%s", args[0], neg, out)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// cmdConverge waits until all running entries report the same offset and state hash.
func cmdConverge(ts *testscript.TestScript, _ bool, _ []string) {
	cluster := deploymentOf(ts).cluster
	deadline := time.Now().Add(eventuallyTimeout)
	for {
		states := map[string]bool{}
		for _, e := range cluster.Entries {
			if !cluster.Processes[e.Name].Running() {
				continue
			}
			out, err := cluster.RunCLIAt(e.ControlAddress, "status")
			if err != nil {
				states[err.Error()] = true
				continue
			}
			fields := strings.Fields(strings.SplitN(out, "\n", 2)[0])
			states[fmt.Sprint(fields[5], fields[len(fields)-1])] = true
		}
		if len(states) == 1 {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("entries differ: %v", states)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
