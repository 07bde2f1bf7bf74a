package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/crowbridge/crowbridge/internal/settings"
	"github.com/urfave/cli/v3"
)

func stringFlag(name, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: cli.EnvVars(settings.EnvName(name))}
}

func listFlag(name, usage string) cli.Flag {
	return &cli.StringSliceFlag{Name: name, Usage: usage, Sources: cli.EnvVars(settings.EnvName(name))}
}

func intFlag(name string, value int, usage string) cli.Flag {
	return &cli.IntFlag{Name: name, Value: value, Usage: usage, Sources: cli.EnvVars(settings.EnvName(name))}
}

func durationFlag(name string, value time.Duration, usage string) cli.Flag {
	return &cli.DurationFlag{Name: name, Value: value, Usage: usage, Sources: cli.EnvVars(settings.EnvName(name))}
}

// secretFlags are flags whose values printSettings hides.
var secretFlags = map[string]bool{"daemon-key": true, "operator": true}

// printSettings prints the settings in force without secrets.
func printSettings(w io.Writer, cmd *cli.Command) {
	for _, flag := range cmd.Flags {
		name := flag.Names()[0]
		if name == "help" || name == "check" {
			continue
		}
		value := fmt.Sprint(cmd.Value(name))
		if secretFlags[name] && strings.Trim(value, "[]") != "" {
			value = "(hidden)"
		}
		_, _ = fmt.Fprintf(w, "%s=%s\n", name, value)
	}
}

func commonFlags() []cli.Flag {
	return []cli.Flag{
		stringFlag("zone", "", "availability zone of this VM"),
		stringFlag("listen", "", "IP:port for requests"),
		stringFlag("control", "", "IP:port for calls from other daemons and operators"),
		stringFlag("metrics", "", "IP:port for /metrics, /healthz, /readyz and /loglevel"),
		stringFlag("daemon-key", "", "secret shared by the daemons"),
		listFlag("entry-peer", "zone=IP:port of an entry's control port; repeat for each entry"),
		stringFlag("log-level", "info", "error, warn, info or debug"),
		durationFlag("drain-timeout", 2*time.Minute, "maximum time that a planned stop waits for requests in flight"),
		&cli.BoolFlag{Name: "check", Usage: "print the settings in force and exit"},
	}
}
