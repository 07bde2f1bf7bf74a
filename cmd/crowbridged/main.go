// Command crowbridged runs crowbridge's daemons: `entry` serves callers on an entry VM, `agent` is the
// proxy in front of one backend server.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/crowbridge/crowbridge/internal/buildinfo"
	"github.com/urfave/cli/v3"
)

func main() {
	// Without a handler, SIGHUP ends the process. Daemons that reload settings have their own as well.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	app := &cli.Command{
		Name:                  "crowbridged",
		Version:               buildinfo.String(),
		Usage:                 "load balancer daemon for expert-parallel model groups",
		EnableShellCompletion: true,
		Commands:              []*cli.Command{entryCommand(), agentCommand(), platformEntryCommand(), platformAgentCommand()},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "crowbridged:", err)
		stop()
		os.Exit(1)
	}
}
