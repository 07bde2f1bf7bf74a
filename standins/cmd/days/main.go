// Command days compares reports of simulated runs with load and faults: it prints a table of
// scores, outcomes and penalties, and plots the scores over time.
//
//	days --set before='r/base-*.json' --set after='r/new-*.json' --plot score.svg
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/crowbridge/crowbridge/standins/runreport"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func main() {
	command := &cli.Command{
		Name: "days", Usage: "tabulate and plot reports of simulated runs",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "set", Usage: "NAME=PATTERN: series of reports to average", Required: true},
			&cli.StringFlag{Name: "plot", Usage: "file for a plot of the scores over time: .svg or .png"},
			&cli.StringFlag{Name: "title", Usage: "title of the plot"},
		},
		Action: run,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "days:", err)
		os.Exit(1)
	}
}

func run(_ context.Context, c *cli.Command) error {
	var series []runreport.Series
	for _, flag := range c.StringSlice("set") {
		s, err := readSeries(flag)
		if err != nil {
			return err
		}
		series = append(series, s)
	}
	if err := runreport.WriteTable(os.Stdout, series); err != nil {
		return err
	}
	if path := c.String("plot"); path != "" {
		return runreport.WritePlot(path, c.String("title"), series)
	}
	return nil
}

func readSeries(flag string) (runreport.Series, error) {
	name, pattern, found := strings.Cut(flag, "=")
	if !found {
		return runreport.Series{}, errors.Errorf("--set %s: use NAME=PATTERN", flag)
	}
	paths, err := filepath.Glob(pattern)
	if err != nil || len(paths) == 0 {
		return runreport.Series{}, errors.Errorf("--set %s: no file matches the pattern", flag)
	}
	series := runreport.Series{Name: name}
	for _, path := range paths {
		report, err := runreport.ReadFile(path)
		if err != nil {
			return series, err
		}
		series.Reports = append(series.Reports, report)
	}
	return series, nil
}
