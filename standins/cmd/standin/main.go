// Command standin runs one of the test doubles of external systems, the fault proxy or the
// load generator as a process.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/crowbridge/crowbridge/standins/engine"
	"github.com/crowbridge/crowbridge/standins/faultproxy"
	"github.com/crowbridge/crowbridge/standins/loadgen"
	"github.com/crowbridge/crowbridge/standins/plainserver"
	"github.com/crowbridge/crowbridge/standins/platform"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"
)

func main() {
	app := &cli.Command{
		Name: "standin", Usage: "test doubles of the systems around crowbridge",
		Commands: []*cli.Command{platformCommand(), engineCommand(), groupCommand(), plainCommand(), loadCommand(), relayCommand()},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name: "platform", Usage: "store of the users' platform",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "zone", Usage: "zone=IP:port"},
			&cli.StringFlag{Name: "listen", Usage: "IP:port of the control port"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			server := platform.NewServer()
			var group errgroup.Group
			for _, value := range cmd.StringSlice("zone") {
				zone, address, _ := strings.Cut(value, "=")
				listener, err := net.Listen("tcp", address)
				if err != nil {
					return errors.Wrap(err, value)
				}
				group.Go(func() error { return server.Serve(listener, zone) })
			}
			listener, err := net.Listen("tcp", cmd.String("listen"))
			if err != nil {
				return errors.Wrap(err, "listen")
			}
			group.Go(func() error { return server.ServeControl(listener) })
			return group.Wait()
		},
	}
}

func serverFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "name"},
		&cli.StringFlag{Name: "listen", Usage: "IP:port"},
		&cli.StringFlag{Name: "recorder", Usage: "URL of the platform double's control port"},
		&cli.DurationFlag{Name: "step", Value: 6 * time.Millisecond, Usage: "duration of a step or of a plain call"},
		&cli.IntFlag{Name: "batch", Value: 8},
	}
}

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Flags: serverFlags(),
		Action: func(_ context.Context, cmd *cli.Command) error {
			e := engine.New(engine.Options{
				Name: cmd.String("name"), StepTime: cmd.Duration("step"), BatchSize: cmd.Int("batch"),
				Recorder: &engine.Recorder{URL: cmd.String("recorder")},
			})
			return serve(cmd, e.Handler())
		},
	}
}

func groupCommand() *cli.Command {
	return &cli.Command{
		Name: "group", Usage: "engines of a group that run in lock-step",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "name"},
			&cli.StringFlag{Name: "listen", Usage: "IP:port of the control port"},
			&cli.StringSliceFlag{Name: "rank", Usage: "IP:port of a rank's engine, in the order of ranks"},
			&cli.StringFlag{Name: "recorder", Usage: "URL of the platform double's control port"},
			&cli.IntFlag{Name: "experts"},
			&cli.IntFlag{Name: "sets"},
			&cli.DurationFlag{Name: "step", Value: 6 * time.Millisecond, Usage: "duration of a pass"},
			&cli.BoolFlag{Name: "ignore-fences"},
		},
		Action: runGroup,
	}
}

func runGroup(ctx context.Context, cmd *cli.Command) error {
	addresses := cmd.StringSlice("rank")
	g := engine.NewGroup(engine.GroupOptions{
		Name: cmd.String("name"), Ranks: len(addresses), Experts: cmd.Int("experts"), Layers: cmd.Int("sets"),
		PassTime: cmd.Duration("step"), IgnoreFences: cmd.Bool("ignore-fences"),
	})
	var tasks errgroup.Group
	for rank, address := range addresses {
		e := engine.New(engine.Options{
			Name: fmt.Sprintf("%s-%d", cmd.String("name"), rank), StepTime: cmd.Duration("step"), BatchSize: 1,
			Recorder: &engine.Recorder{URL: cmd.String("recorder")},
		})
		tasks.Go(func() error { return serveAt(address, g.Handler(rank, e.Handler())) })
	}
	tasks.Go(func() error { return serveAt(cmd.String("listen"), g.ControlHandler()) })
	go g.Run(ctx)
	return tasks.Wait()
}

func plainCommand() *cli.Command {
	return &cli.Command{
		Name: "plain", Flags: serverFlags(),
		Action: func(_ context.Context, cmd *cli.Command) error {
			return serve(cmd, plainserver.Handler(plainserver.Options{
				Name: cmd.String("name"), WorkTime: cmd.Duration("step"),
				Recorder: &engine.Recorder{URL: cmd.String("recorder")},
				Exit: func() {
					fmt.Println(time.Now().UTC().Format(time.RFC3339Nano), "crashes")
					os.Exit(exitCrashed)
				},
			}))
		},
	}
}

// exitCrashed is the exit code after a call with plainserver.CrashMarker.
const exitCrashed = 3

func serve(cmd *cli.Command, handler http.Handler) error {
	return serveAt(cmd.String("listen"), handler)
}

func serveAt(address string, handler http.Handler) error {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: time.Second}
	return server.ListenAndServe()
}

func relayCommand() *cli.Command {
	return &cli.Command{
		Name: "relay", Usage: "TCP proxy that injects network faults",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "pair", Usage: "listen=target"},
			&cli.StringFlag{Name: "listen", Usage: "IP:port of the control port; empty for none"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			r := faultproxy.New()
			var tasks errgroup.Group
			if address := cmd.String("listen"); address != "" {
				tasks.Go(func() error { return serveAt(address, r.ControlHandler()) })
			}
			tasks.Go(func() error { return r.Run(cmd.StringSlice("pair")) })
			return tasks.Wait()
		},
	}
}

func loadCommand() *cli.Command {
	return &cli.Command{
		Name: "load", Usage: "send requests and check every response",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry"},
			&cli.StringSliceFlag{Name: "key"},
			&cli.IntFlag{Name: "rate", Value: 50},
			&cli.DurationFlag{Name: "duration", Value: 5 * time.Second},
			&cli.IntFlag{Name: "tokens", Value: 8},
			&cli.IntFlag{Name: "plain", Value: 40, Usage: "percentage of plain calls"},
			&cli.IntFlag{Name: "stream", Value: 30, Usage: "percentage of streams"},
			&cli.IntFlag{Name: "unkeyed", Value: 20, Usage: "percentage of plain calls without an idempotency key"},
			&cli.IntFlag{Name: "deadline-ms", Value: 10000},
			&cli.IntFlag{Name: "asks", Value: 20},
			&cli.StringFlag{Name: "runs"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			report, err := loadgen.Run(ctx, loadgen.Options{
				Entries: cmd.StringSlice("entry"), Keys: cmd.StringSlice("key"),
				Rate: cmd.Int("rate"), Duration: cmd.Duration("duration"), Tokens: cmd.Int("tokens"),
				PlainPercent: cmd.Int("plain"), StreamPercent: cmd.Int("stream"), UnkeyedPercent: cmd.Int("unkeyed"),
				RunsURL: cmd.String("runs"), DeadlineMs: cmd.Int("deadline-ms"), MaxRetries: cmd.Int("asks"),
			})
			if err != nil {
				return err
			}
			fmt.Println(report)
			for _, note := range report.Notes {
				fmt.Println(" ", note)
			}
			if !report.OK() {
				return errors.New("checks of the outcomes failed")
			}
			return nil
		},
	}
}
