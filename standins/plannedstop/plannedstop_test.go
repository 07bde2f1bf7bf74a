package plannedstop

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// By hand: go test ./standins/plannedstop -v -args -first 1 -seeds 50 -callers 128
var (
	first   = flag.Uint64("first", 1, "first seed")
	seeds   = flag.Int("seeds", 1, "number of seeds")
	clients = flag.Int("callers", 64, "callers per process")
	warmup  = flag.Duration("warmup", 3*time.Second, "time of traffic before the stop")
	daemons = flag.String("bin", "", "folder of the daemons, if not built from this tree")
	keep    = flag.String("keep", "", "folder that keeps the logs")
)

// signalsInSeries are signals that follow the first SIGTERM.
var signalsInSeries = Signals{
	{0, syscall.SIGHUP},
	{700 * time.Millisecond, syscall.SIGTERM},
	{1500 * time.Millisecond, syscall.SIGHUP},
	{4 * time.Second, syscall.SIGTERM},
	{5 * time.Second, syscall.SIGHUP},
	{7 * time.Second, syscall.SIGINT},
	{7500 * time.Millisecond, syscall.SIGHUP},
	{7600 * time.Millisecond, syscall.SIGHUP},
	{7700 * time.Millisecond, syscall.SIGHUP},
}

// logFolder returns a folder for the logs of a run.
func logFolder(t *testing.T, name string) string {
	if *keep == "" {
		return t.TempDir()
	}
	dir := filepath.Join(*keep, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	return dir
}

func buildDaemons(t *testing.T) string {
	if *daemons != "" {
		return *daemons
	}
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin+"/", "github.com/crowbridge/crowbridge/cmd/crowbridged").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	return bin
}

// TestRequestsPassedOnDuringStopEndWhole guards against requests that a stopping entry passes on and then cuts.
func TestRequestsPassedOnDuringStopEndWhole(t *testing.T) {
	bin := buildDaemons(t)
	for name, o := range map[string]Options{
		"SIGTERM":                     {},
		"signals in series":           {Signals: signalsInSeries},
		"beside reloads and changes":  {Changes: true},
		"series, reloads and changes": {Signals: signalsInSeries, Changes: true},
		"only reloads and changes":    {NoStop: true, Changes: true},
	} {
		for i := range *seeds {
			seed := *first + uint64(i)
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				o := o
				o.Seed, o.Callers, o.Warmup, o.Bin, o.Dir = seed, *clients, *warmup, bin, logFolder(t, fmt.Sprintf("%s-%d", name, seed))
				result, err := Run(o)
				t.Log(result)
				t.Log(result.Kinds)
				if err != nil {
					t.Error(err)
				}
				check(t, result)
			})
		}
	}
}

// check reports each broken promise.
func check(t *testing.T, r Result) {
	t.Helper()
	for kind, names := range map[string][]string{
		"lost": r.Lost, "passed on during the stop and cut": r.PassedOnAndCut, "refused, but it ran": r.Untrue, "ran more than once": r.Doubled, "refused without Retry-After": r.Hintless,
	} {
		for _, name := range names {
			t.Errorf("%s: %s", kind, name)
		}
	}
	if r.LateRefusals > 0 {
		t.Errorf("%d requests were refused later than %v after their last byte", r.LateRefusals, slack)
	}
	if r.Complete == 0 {
		t.Error("no request was served")
	}
}
