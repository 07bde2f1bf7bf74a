// Command demo starts the processes of two availability zones, sends requests while an agent
// is killed and the log is down, and checks the outcome of every request.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/crowbridge/crowbridge/standins/harness"
	"github.com/crowbridge/crowbridge/standins/loadgen"
	"github.com/pkg/errors"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run() error {
	const arguments = 2
	if len(os.Args) != arguments {
		return errors.New("usage: demo DIRECTORY-OF-BINARIES")
	}
	dir, err := os.MkdirTemp("", "crowbridge-demo-")
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	cluster, err := harness.New(harness.Layout{
		Zones: []string{"bp-csepel", "budaors"}, EntriesPerZone: 2, EnginesPerZone: 2, PlainPerZone: 1,
		StepTime: 6 * time.Millisecond, KeyWindowSeconds: 60, ClockSkewMs: 50, DrainTimeout: 20 * time.Second,
	}, os.Args[1], dir)
	if err != nil {
		return err
	}
	defer cluster.KillAll()
	if err := cluster.Start(); err != nil {
		return err
	}
	fmt.Println("started: 2 availability zones, 4 entries, 6 backend servers with agents")
	return runLoad(cluster)
}

type step struct {
	after time.Duration
	text  string
	do    func() error
}

func runLoad(cluster *harness.Cluster) error {
	done := make(chan error, 1)
	go func() { done <- injectFaults(cluster) }()
	report, err := loadgen.Run(context.Background(), loadgen.Options{
		Entries: cluster.CallerAddresses(), Keys: cluster.Keys, Rate: 80, Duration: 14 * time.Second, Tokens: 10,
		PlainPercent: 40, StreamPercent: 30, UnkeyedPercent: 20, RunsURL: cluster.PlatformURL, DeadlineMs: 10000, MaxRetries: 20,
	})
	if err != nil {
		return err
	}
	if err := <-done; err != nil {
		return err
	}
	fmt.Println(report)
	for _, note := range report.Notes {
		fmt.Println("  ", note)
	}
	if err := cluster.StopAll(); err != nil {
		return err
	}
	fmt.Println("stopped: every daemon stopped gracefully")
	if !report.OK() || report.NoResponse > 0 {
		return errors.New("checks of the outcomes failed")
	}
	return nil
}

func injectFaults(cluster *harness.Cluster) error {
	steps := []step{
		{2 * time.Second, "kill the agent of one engine", cluster.Processes["agent-engine-budaors-1"].Kill},
		{time.Second, "take the log down", func() error { return cluster.InjectFault("/fault/log", `{"down":true}`) }},
		{2 * time.Second, "stop the agent of one plain server gracefully", cluster.Processes["agent-plain-bp-csepel-1"].Stop},
		{time.Second, "start both agents while the log is down", func() error {
			if err := cluster.Processes["agent-plain-bp-csepel-1"].Start(); err != nil {
				return err
			}
			return cluster.Processes["agent-engine-budaors-1"].Start()
		}},
		{time.Second, "bring the log back", func() error { return cluster.InjectFault("/fault/log", `{}`) }},
	}
	for _, s := range steps {
		time.Sleep(s.after)
		fmt.Println("fault:", s.text)
		if err := s.do(); err != nil {
			return errors.Wrap(err, s.text)
		}
	}
	return nil
}
