// Package scenarios runs failure scenarios against real processes. Each script in testdata is a
// testscript that uses the commands below.
package scenarios

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/standins/faultproxy"
	"github.com/crowbridge/crowbridge/standins/harness"
	"github.com/crowbridge/crowbridge/standins/loadgen"
	"github.com/rogpeppe/go-internal/testscript"
)

// deployment holds the processes, load and saved names of one script.
type deployment struct {
	cluster *harness.Cluster
	loads   chan loadResult
	options loadgen.Options
	saved   map[string]string
}

type loadResult struct {
	report *loadgen.Report
	err    error
}

type deploymentKey struct{}

var buildOnce = sync.OnceValues(func() (string, error) {
	bin, err := os.MkdirTemp("", "crowbridge-bin-")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", bin+"/",
		"github.com/crowbridge/crowbridge/cmd/...", "github.com/crowbridge/crowbridge/standins/cmd/standin").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return bin, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if bin, err := buildOnce(); err == nil {
		_ = os.RemoveAll(bin)
	}
	os.Exit(code)
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Values[deploymentKey{}] = &deployment{saved: map[string]string{}}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"cluster":        cmdCluster,
			"load":           cmdLoad,
			"check":          cmdCheck,
			"crash":          cmdCrash,
			"terminate":      cmdTerminate,
			"start":          cmdStart,
			"pause":          cmdPause,
			"resume":         cmdResume,
			"log":            cmdLog,
			"partition":      cmdPartition,
			"vm":             cmdVM,
			"proxy":          cmdProxy,
			"operator":       cmdOperator,
			"daemon":         cmdDaemon,
			"eventually":     cmdEventually,
			"converge":       cmdConverge,
			"sleep":          cmdSleep,
			"passes":         cmdPasses,
			"request":        cmdRequest,
			"holder":         cmdHolder,
			"engine":         cmdEngine,
			"delay-commands": cmdDelayCommands,
		},
	})
}

// deploymentOf returns the deployment of the script.
func deploymentOf(ts *testscript.TestScript) *deployment {
	r, ok := ts.Value(deploymentKey{}).(*deployment)
	if !ok {
		ts.Fatalf("the script has no deployment")
	}
	return r
}

// parseValues parses name=number arguments.
func parseValues(ts *testscript.TestScript, args []string) map[string]int {
	values := map[string]int{}
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		n, err := strconv.Atoi(value)
		if err != nil {
			ts.Fatalf("argument %q: use name=number", arg)
		}
		values[name] = n
	}
	return values
}

func valueOr(values map[string]int, name string, fallback int) int {
	if v, ok := values[name]; ok {
		return v
	}
	return fallback
}

// splitByPrefix returns the arguments that have the prefix, without it, and the others.
func splitByPrefix(args []string, prefix string) (with, without []string) {
	for _, arg := range args {
		if rest, ok := strings.CutPrefix(arg, prefix); ok {
			with = append(with, rest)
		} else {
			without = append(without, arg)
		}
	}
	return with, without
}

// cmdRequest sends a request and writes the response to $WORK/out. A BODY of @N is N bytes long:
// request ENTRY|ENTRY/metrics METHOD PATH BODY [HEADER:VALUE...]
func cmdRequest(ts *testscript.TestScript, _ bool, args []string) {
	cluster := deploymentOf(ts).cluster
	name, metrics := strings.CutSuffix(args[0], "/metrics")
	address := ""
	for _, e := range cluster.Entries {
		if e.Name == name {
			address = e.CallerAddress
			if metrics {
				address = e.MetricsAddress()
			}
		}
	}
	body := args[3]
	if n, err := strconv.Atoi(strings.TrimPrefix(body, "@")); err == nil && strings.HasPrefix(body, "@") {
		body = strings.Repeat("x", n)
	}
	request, err := http.NewRequest(args[1], "http://"+address+args[2], strings.NewReader(body))
	ts.Check(err)
	request.Header.Set("Authorization", "Bearer "+cluster.Keys[0])
	for _, header := range args[4:] {
		key, value, _ := strings.Cut(header, ":")
		request.Header.Set(key, value)
	}
	response, err := http.DefaultClient.Do(request)
	ts.Check(err)
	var out strings.Builder
	fmt.Fprintf(&out, "status %d\n", response.StatusCode)
	ts.Check(response.Header.Write(&out))
	content, err := io.ReadAll(response.Body)
	ts.Check(err)
	ts.Check(response.Body.Close())
	out.Write(content)
	ts.Logf("%s", out.String())
	ts.Check(os.WriteFile(filepath.Join(ts.Getenv("WORK"), "out"), []byte(out.String()), 0o600))
}

// cmdCluster starts a deployment:
// cluster [entry:--flag=value] [agent:--flag=value] [zones=2] [entries=1] [engines=1] [plain=1] [ranks=0] [ignore-fences=0] [links=0] [proxy=0] [skew=MS] [step=MS] [drain=SECONDS]
func cmdCluster(ts *testscript.TestScript, _ bool, args []string) {
	entryArgs, args := splitByPrefix(args, "entry:")
	agentArgs, args := splitByPrefix(args, "agent:")
	v := parseValues(ts, args)
	bin, err := buildOnce()
	ts.Check(err)
	var zones []string
	for i := range valueOr(v, "zones", 2) {
		zones = append(zones, string(rune('a'+i)))
	}
	dir := ts.Getenv("WORK")
	cluster, err := harness.New(harness.Layout{
		Zones: zones, EntriesPerZone: valueOr(v, "entries", 1), EnginesPerZone: valueOr(v, "engines", 1),
		PlainPerZone: valueOr(v, "plain", 1), RanksPerZone: valueOr(v, "ranks", 0), IgnoreFences: valueOr(v, "ignore-fences", 0) > 0, ZoneLinks: valueOr(v, "links", 0) > 0, Proxy: valueOr(v, "proxy", 0) > 0, EntryArgs: entryArgs, AgentArgs: agentArgs, StepTime: time.Duration(valueOr(v, "step", 6)) * time.Millisecond,
		KeyWindowSeconds: 60, ClockSkewMs: valueOr(v, "skew", 50), DrainTimeout: time.Duration(valueOr(v, "drain", 20)) * time.Second,
	}, bin, dir)
	ts.Check(err)
	deploymentOf(ts).cluster = cluster
	ts.Defer(cluster.KillAll)
	ts.Check(cluster.Start())
}

// cmdLoad starts callers in the background:
// load seconds=5 [rate=60] [plain=40] [stream=30] [unkeyed=20] [tokens=10] [deadline=20000] [retries=30]
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	r, v := deploymentOf(ts), parseValues(ts, args)
	r.options = loadgen.Options{
		Entries: r.cluster.CallerAddresses(), Keys: r.cluster.Keys, RunsURL: r.cluster.PlatformURL,
		Rate: valueOr(v, "rate", 60), Duration: time.Duration(valueOr(v, "seconds", 5)) * time.Second,
		Tokens: valueOr(v, "tokens", 10), PlainPercent: valueOr(v, "plain", 40), StreamPercent: valueOr(v, "stream", 30),
		UnkeyedPercent: valueOr(v, "unkeyed", 20), DeadlineMs: valueOr(v, "deadline", 20000), MaxRetries: valueOr(v, "retries", 30),
	}
	r.loads = make(chan loadResult, 1)
	go func(options loadgen.Options, done chan<- loadResult) {
		report, err := loadgen.Run(context.Background(), options)
		done <- loadResult{report, err}
	}(r.options, r.loads)
}

// cmdCheck waits for the load's end. It fails on invalid outcomes, no answers or a count above N:
// check [unknown=N] [not-run=N] [silent=N]
func cmdCheck(ts *testscript.TestScript, _ bool, args []string) {
	r, v := deploymentOf(ts), parseValues(ts, args)
	result := <-r.loads
	ts.Check(result.err)
	report := result.report
	ts.Logf("%s", report)
	for _, note := range report.Notes {
		ts.Logf("  %s", note)
	}
	if !report.OK() {
		ts.Fatalf("checks of the outcomes failed: %s", report)
	}
	if report.Answered == 0 {
		ts.Fatalf("no request was answered: %s", report)
	}
	for name, count := range map[string]int{"unknown": report.Unknown, "not-run": report.NotRun, "silent": report.NoResponse} {
		if limit, ok := v[name]; ok && count > limit {
			ts.Fatalf("%s=%d, want at most %d: %s", name, count, limit, report)
		}
	}
}

// process returns the process named by the only argument.
func process(ts *testscript.TestScript, args []string) *harness.Process {
	if len(args) != 1 {
		ts.Fatalf("give one process name")
	}
	p := deploymentOf(ts).cluster.Processes[args[0]]
	if p == nil {
		ts.Fatalf("process %q does not exist", args[0])
	}
	return p
}

// cmdCrash kills a process:
// crash PROCESS
func cmdCrash(ts *testscript.TestScript, _ bool, args []string) { ts.Check(process(ts, args).Kill()) }

// cmdTerminate stops a process as planned and waits until it has exited:
// terminate PROCESS
func cmdTerminate(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(process(ts, args).Stop())
}

// cmdStart starts a process that has exited:
// start PROCESS
func cmdStart(ts *testscript.TestScript, _ bool, args []string) { ts.Check(process(ts, args).Start()) }

// cmdPause suspends a process:
// pause PROCESS
func cmdPause(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(process(ts, args).Signal(syscall.SIGSTOP))
}

// cmdResume resumes a paused process:
// resume PROCESS
func cmdResume(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(process(ts, args).Signal(syscall.SIGCONT))
}

// cmdLog sets the faults of the store, which holds the log:
// log ok|down|lose-responses|slow|max-records=N
func cmdLog(ts *testscript.TestScript, _ bool, args []string) {
	bodies := map[string]string{
		"ok": `{}`, "down": `{"down":true}`, "lose-responses": `{"loseAnswers":true}`, "slow": `{"delayMs":300}`,
	}
	body, known := bodies[args[0]]
	if n, ok := strings.CutPrefix(args[0], "max-records="); ok {
		body, known = `{"keep":`+n+`}`, true
	}
	if !known {
		ts.Fatalf("log: unknown fault %q", args[0])
	}
	ts.Check(deploymentOf(ts).cluster.InjectFault("/fault/log", body))
}

// cmdPartition partitions a zone from the platform, or ends that:
// partition ZONE on|off
func cmdPartition(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(deploymentOf(ts).cluster.InjectFault("/fault/cut/"+args[0]+"/"+strconv.FormatBool(args[1] == "on"), ""))
}

// cmdProxy sets the mode of the proxy between entries and agents:
// proxy pass|delay|reset|one-way|silent|stale
func cmdProxy(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("give one mode")
	}
	ts.Check(deploymentOf(ts).cluster.SetProxyMode(faultproxy.Mode(args[0])))
}

// cmdVM sets the state of a VM in the platform's VM list:
// vm NAME live|leaving
func cmdVM(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(deploymentOf(ts).cluster.InjectFault("/fault/server/"+args[0]+"/"+args[1], ""))
}

// cmdSleep waits:
// sleep MILLISECONDS
func cmdSleep(ts *testscript.TestScript, _ bool, args []string) {
	ms, err := strconv.Atoi(args[0])
	ts.Check(err)
	time.Sleep(time.Duration(ms) * time.Millisecond)
}

const passesTimeout = 25 * time.Second
