package plannedstop

import (
	"context"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/standins/harness"
	"github.com/crowbridge/crowbridge/standins/loadgen"
)

const (
	productDeadline = 3 * time.Second
	productDrain    = 8 * time.Second
	productLoad     = 20 * time.Second
	signalGap       = 50 * time.Millisecond
	// restartGap is the time until the entries know that a restarted agent is back.
	restartGap = 1500 * time.Millisecond
)

// startProduct starts entries and agents with their servers.
func startProduct(t *testing.T) *harness.Cluster {
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin+"/", "github.com/crowbridge/crowbridge/cmd/...",
		"github.com/crowbridge/crowbridge/standins/cmd/standin").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	cluster, err := harness.New(harness.Layout{
		Zones: []string{"a"}, EntriesPerZone: 2, EnginesPerZone: 2, PlainPerZone: 3,
		StepTime: 20 * time.Millisecond, KeyWindowSeconds: 60, ClockSkewMs: 50, DrainTimeout: productDrain,
	}, bin, logFolder(t, "product"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.KillAll)
	if err := cluster.Start(); err != nil {
		t.Fatal(err)
	}
	return cluster
}

// TestSignalsInSeriesStopProductDaemonsWithoutLoss guards against requests that the product's own daemons lose, double or leave without a
// response when they are stopped in turn, with signals in series, while callers go on.
func TestSignalsInSeriesStopProductDaemonsWithoutLoss(t *testing.T) {
	cluster := startProduct(t)
	type result struct {
		report *loadgen.Report
		err    error
	}
	done := make(chan result, 1)
	go func() {
		report, err := loadgen.Run(context.Background(), loadgen.Options{
			Entries: cluster.CallerAddresses(), Keys: cluster.Keys, RunsURL: cluster.PlatformURL, Rate: 40, Duration: productLoad,
			Tokens: 20, PlainPercent: 50, StreamPercent: 30, UnkeyedPercent: 30, DeadlineMs: int(productDeadline / time.Millisecond), MaxRetries: 20,
		})
		done <- result{report, err}
	}()
	var names []string
	for _, e := range cluster.Entries {
		names = append(names, e.Name)
	}
	for _, s := range cluster.Servers {
		names = append(names, "agent-"+s.Name)
	}
	for i := 0; ; i++ {
		select {
		case r := <-done:
			checkProduct(t, r.report, r.err)
			return
		default:
			restart(t, cluster.Processes[names[i%len(names)]])
		}
	}
}

// restart stops a process by signals in series and starts it again.
func restart(t *testing.T, p *harness.Process) {
	if err := p.StopBySignals(); err != nil {
		t.Fatal(err)
	}
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		time.Sleep(signalGap)
		if err := p.SignalIfRunning(s); err != nil {
			t.Error(err)
		}
	}
	if err := p.AwaitExit(); err != nil {
		t.Errorf("planned stop: %v", err)
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(restartGap)
}

func checkProduct(t *testing.T, report *loadgen.Report, err error) {
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report)
	for _, note := range report.Notes {
		t.Log(note)
	}
	if !report.OK() || report.Unknown > 0 || report.NoResponse > 0 || report.Answered == 0 {
		t.Error("requests were lost, doubled or left without a response")
	}
}
