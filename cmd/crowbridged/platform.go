package main

import (
	"context"
	"fmt"
	"os"

	"github.com/crowbridge/crowbridge/internal/platformdaemon"
	"github.com/crowbridge/crowbridge/internal/settings"
	"github.com/crowbridge/crowbridge/platform"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
)

// runner is a daemon for the users' platform.
type runner interface {
	Run(ctx context.Context) error
}

// platformCommand returns a command that runs a daemon configured by the platform's settings file.
func platformCommand(name, usage string, build func(*cli.Command, *platform.Settings, *logrus.Entry) (runner, error), flags ...cli.Flag) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: append([]cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "the platform's settings file", Sources: cli.EnvVars(platform.SettingsEnv)},
			&cli.BoolFlag{Name: "check", Usage: "print the settings in force and exit"},
		}, flags...),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s, err := platform.LoadSettings(cmd.String("settings"))
			if err != nil {
				return err
			}
			daemon, err := build(cmd, s, platformdaemon.NewLogger(s.Daemon, s.Zone))
			if err != nil {
				return err
			}
			if cmd.Bool("check") {
				fmt.Fprintf(os.Stdout, "%+v\n", *s)
				return nil
			}
			return daemon.Run(ctx)
		},
	}
}

func platformEntryCommand() *cli.Command {
	return platformCommand("hosted-entry", "serve callers on the users' platform",
		func(cmd *cli.Command, s *platform.Settings, log *logrus.Entry) (runner, error) {
			var c settings.Checker
			checkCallerLimits(cmd, &c)
			operators, err := parseOperators(cmd)
			c.AddError("operator", "(hidden)", err)
			entry := platformdaemon.NewEntryDaemon(s, operators, log)
			entry.SetCallerLimits(callerLimits(cmd))
			return entry, c.Err()
		}, append(callerLimitFlags(), operatorFlag())...)
}

func platformAgentCommand() *cli.Command {
	return platformCommand("hosted-agent", "run the agent of a model engine on the users' platform",
		func(_ *cli.Command, s *platform.Settings, log *logrus.Entry) (runner, error) {
			return platformdaemon.NewAgentDaemon(s, log), nil
		})
}
