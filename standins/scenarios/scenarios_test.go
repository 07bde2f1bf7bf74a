// Package scenarios runs scripted failures against real processes. The scripts
// are in testdata; each is a testscript whose commands are below.
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

// running is one script's deployment.
type running struct {
	cluster *harness.Cluster
	loads   chan loadResult
	options loadgen.Options
	saved   map[string]string
}

type loadResult struct {
	report *loadgen.Report
	err    error
}

type runningKey struct{}

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
			env.Values[runningKey{}] = &running{saved: map[string]string{}}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"cluster":  cmdCluster,
			"load":     cmdLoad,
			"check":    cmdCheck,
			"crash":    cmdCrash,
			"retire":   cmdRetire,
			"start":    cmdStart,
			"pause":    cmdPause,
			"resume":   cmdResume,
			"log":      cmdLog,
			"cut":      cmdCut,
			"vm":       cmdVM,
			"proxy":    cmdProxy,
			"operator": cmdOperator,
			"daemon":   cmdDaemon,
			"eventual": cmdEventual,
			"converge": cmdConverge,
			"pass":     cmdPass,
			"steps":    cmdSteps,
			"ask":      cmdAsk,
			"holder":   cmdHolder,
			"engine":   cmdEngine,
			"orders":   cmdOrders,
		},
	})
}

func of(ts *testscript.TestScript) *running {
	r, ok := ts.Value(runningKey{}).(*running)
	if !ok {
		ts.Fatalf("no deployment")
	}
	return r
}

// settings reads name=value arguments.
func settings(ts *testscript.TestScript, args []string) map[string]int {
	values := map[string]int{}
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		n, err := strconv.Atoi(value)
		if err != nil {
			ts.Fatalf("%s: not name=number", arg)
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

// taken splits off the arguments with a prefix, without it.
func taken(args []string, prefix string) (with, without []string) {
	for _, arg := range args {
		if rest, ok := strings.CutPrefix(arg, prefix); ok {
			with = append(with, rest)
		} else {
			without = append(without, arg)
		}
	}
	return with, without
}

// cmdAsk sends one request and keeps status, headers and body in $WORK/out:
// ask ENTRY|ENTRY/metrics METHOD PATH BODY [Header:Value...]. A body of @N is N
// bytes long.
func cmdAsk(ts *testscript.TestScript, _ bool, args []string) {
	cluster := of(ts).cluster
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

// cmdCluster: cluster [entry:--flag=value] [agent:--flag=value] [zones=2] [entries=1] [engines=1] [plain=1] [ranks=0] [unfenced=0] [links=0] [proxy=0] [skew=ms] [step=ms] [drain=s]
func cmdCluster(ts *testscript.TestScript, _ bool, args []string) {
	entryArgs, args := taken(args, "entry:")
	agentArgs, args := taken(args, "agent:")
	v := settings(ts, args)
	bin, err := buildOnce()
	ts.Check(err)
	var zones []string
	for i := range valueOr(v, "zones", 2) {
		zones = append(zones, string(rune('a'+i)))
	}
	dir := ts.Getenv("WORK")
	cluster, err := harness.New(harness.Layout{
		Zones: zones, EntriesPerZone: valueOr(v, "entries", 1), EnginesPerZone: valueOr(v, "engines", 1),
		PlainPerZone: valueOr(v, "plain", 1), RanksPerZone: valueOr(v, "ranks", 0), IgnoreFences: valueOr(v, "unfenced", 0) > 0, ZoneLinks: valueOr(v, "links", 0) > 0, Proxy: valueOr(v, "proxy", 0) > 0, EntryArgs: entryArgs, AgentArgs: agentArgs, StepTime: time.Duration(valueOr(v, "step", 6)) * time.Millisecond,
		KeyWindowSeconds: 60, ClockSkewMs: valueOr(v, "skew", 50), DrainTimeout: time.Duration(valueOr(v, "drain", 20)) * time.Second,
	}, bin, dir)
	ts.Check(err)
	of(ts).cluster = cluster
	ts.Defer(cluster.KillAll)
	ts.Check(cluster.Start())
}

// cmdLoad starts traffic in the background: load seconds=5 [rate=60] [plain=40] [stream=30] [unkeyed=20] [tokens=10] [deadline=20000] [customers=3]
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	r, v := of(ts), settings(ts, args)
	r.options = loadgen.Options{
		Entries: r.cluster.CallerAddresses(), Keys: r.cluster.Keys, RunsURL: r.cluster.PlatformURL,
		Rate: valueOr(v, "rate", 60), Duration: time.Duration(valueOr(v, "seconds", 5)) * time.Second,
		Tokens: valueOr(v, "tokens", 10), PlainPercent: valueOr(v, "plain", 40), StreamPercent: valueOr(v, "stream", 30),
		UnkeyedPercent: valueOr(v, "unkeyed", 20), DeadlineMs: valueOr(v, "deadline", 20000), MaxRetries: valueOr(v, "asks", 30),
	}
	r.loads = make(chan loadResult, 1)
	go func(options loadgen.Options, done chan<- loadResult) {
		report, err := loadgen.Run(context.Background(), options)
		done <- loadResult{report, err}
	}(r.options, r.loads)
}

// cmdCheck waits for the traffic's end: every count adds up; and each named
// count is at most the number given: check [unknown=0] [not-run=0] [silent=0]
func cmdCheck(ts *testscript.TestScript, _ bool, args []string) {
	r, v := of(ts), settings(ts, args)
	result := <-r.loads
	ts.Check(result.err)
	report := result.report
	ts.Logf("%s", report)
	for _, note := range report.Notes {
		ts.Logf("  %s", note)
	}
	if !report.OK() {
		ts.Fatalf("the counts don't add up: %s", report)
	}
	if report.Answered == 0 {
		ts.Fatalf("nothing was answered: %s", report)
	}
	for name, have := range map[string]int{"unknown": report.Unknown, "not-run": report.NotRun, "silent": report.NoResponse} {
		if most, ok := v[name]; ok && have > most {
			ts.Fatalf("%s=%d, want at most %d: %s", name, have, most, report)
		}
	}
}

func process(ts *testscript.TestScript, args []string) *harness.Process {
	if len(args) != 1 {
		ts.Fatalf("name one process")
	}
	p := of(ts).cluster.Processes[args[0]]
	if p == nil {
		ts.Fatalf("no process %s", args[0])
	}
	return p
}

func cmdCrash(ts *testscript.TestScript, _ bool, args []string) { ts.Check(process(ts, args).Kill()) }

func cmdRetire(ts *testscript.TestScript, _ bool, args []string) { ts.Check(process(ts, args).Stop()) }

func cmdStart(ts *testscript.TestScript, _ bool, args []string) { ts.Check(process(ts, args).Start()) }

func cmdPause(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(process(ts, args).Signal(syscall.SIGSTOP))
}

func cmdResume(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(process(ts, args).Signal(syscall.SIGCONT))
}

// cmdLog sets the log's faults: log ok|down|lose-answers|slow|keep=N
func cmdLog(ts *testscript.TestScript, _ bool, args []string) {
	bodies := map[string]string{
		"ok": `{}`, "down": `{"down":true}`, "lose-answers": `{"loseAnswers":true}`, "slow": `{"delayMs":300}`,
	}
	body, known := bodies[args[0]]
	if n, ok := strings.CutPrefix(args[0], "keep="); ok {
		body, known = `{"keep":`+n+`}`, true
	}
	if !known {
		ts.Fatalf("log: unknown fault %s", args[0])
	}
	ts.Check(of(ts).cluster.InjectFault("/fault/log", body))
}

// cmdCut cuts a zone from the platform: cut ZONE on|off
func cmdCut(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(of(ts).cluster.InjectFault("/fault/cut/"+args[0]+"/"+strconv.FormatBool(args[1] == "on"), ""))
}

// cmdProxy sets what the proxy between entries and agents does: proxy pass|stale|...
func cmdProxy(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("name one mode")
	}
	ts.Check(of(ts).cluster.SetProxyMode(faultproxy.Mode(args[0])))
}

// cmdVM sets what the platform's list says: vm NAME live|leaving
func cmdVM(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(of(ts).cluster.InjectFault("/fault/server/"+args[0]+"/"+args[1], ""))
}

// cmdPass lets the traffic go on: pass MILLISECONDS
func cmdPass(ts *testscript.TestScript, _ bool, args []string) {
	ms, err := strconv.Atoi(args[0])
	ts.Check(err)
	time.Sleep(time.Duration(ms) * time.Millisecond)
}

const stepsTimeout = 25 * time.Second
