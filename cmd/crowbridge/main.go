// Command crowbridge is the operators' command line.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/crowbridge/crowbridge/internal/buildinfo"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Exit codes. Scripts may rely on them.
const (
	exitFailed   = 1
	exitRejected = 2
	exitUnknown  = 3
)

// commandError is returned for a command that was rejected or whose result is unknown. It carries the
// exit code.
type commandError struct {
	code int
	text string
}

// Error implements error.
func (e *commandError) Error() string { return e.text }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := newApp().Run(ctx, os.Args)
	stop()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "crowbridge:", err)
	var commandErr *commandError
	if errors.As(err, &commandErr) {
		os.Exit(commandErr.code)
	}
	os.Exit(exitFailed)
}

func newApp() *cli.Command {
	return &cli.Command{
		Name:    "crowbridge",
		Version: buildinfo.String(),
		Usage:   "administer a crowbridge deployment",
		Description: `Exit codes: 0 done, 1 failed, 2 rejected, 3 unknown (retry with the same --command-id).

Examples:
  crowbridge apply -f customers.yaml --reason "new member"
  crowbridge get Customer -o yaml
  crowbridge drain pw-03
  crowbridge explain --customer rozsa --model petal-7b`,
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "IP:port of an entry's control port; repeat for more entries, which are tried in order", Sources: cli.EnvVars("CROWBRIDGE_ENTRY")},
			&cli.StringFlag{Name: "token", Usage: "operator token", Sources: cli.EnvVars("CROWBRIDGE_TOKEN")},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "table", Usage: "output format: table, json or yaml"},
		},
		Commands: []*cli.Command{
			applyCommand(), diffCommand(), getCommand(), deleteCommand(), drainCommand(),
			historyCommand(), auditCommand(), statusCommand(), explainCommand(), keyCommand(),
		},
	}
}
