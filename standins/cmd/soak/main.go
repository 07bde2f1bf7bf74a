// Command soak runs seeds of the fault soak and prints the result of each:
// soak [--first N] [--seeds N] [--length D] [--logs DIR] BIN.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/crowbridge/crowbridge/standins/soak"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func main() {
	app := &cli.Command{
		Name: "soak", Usage: "inject faults into real processes and check the guarantees", ArgsUsage: "BIN",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "first", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds"},
			&cli.DurationFlag{Name: "length", Value: 10 * time.Second, Usage: "duration of fault injection per seed"},
			&cli.StringFlag{Name: "logs", Usage: "directory for the logs of failed seeds; a temporary one if empty"},
		},
		Action: runSeeds,
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func runSeeds(_ context.Context, cmd *cli.Command) error {
	logs := cmd.String("logs")
	if logs == "" {
		var err error
		if logs, err = os.MkdirTemp("", "crowbridge-soak-"); err != nil {
			return errors.Wrap(err, "logs")
		}
	}
	failed := 0
	for i := range cmd.Int("seeds") {
		seed := cmd.Uint64("first") + uint64(i)
		dir := filepath.Join(logs, fmt.Sprint("seed-", seed))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return errors.Wrap(err, "logs")
		}
		err := soak.Run(soak.Options{Seed: seed, Length: cmd.Duration("length"), Bin: cmd.Args().First(), Dir: dir, Out: os.Stdout})
		if err != nil {
			failed++
			fmt.Printf("seed %d: FAILED: %v; logs in %s\n", seed, err, dir)
			continue
		}
		fmt.Printf("seed %d: ok\n", seed)
		if err := os.RemoveAll(dir); err != nil {
			return errors.Wrap(err, "logs")
		}
	}
	if failed > 0 {
		return errors.Errorf("%d of %d seeds failed", failed, cmd.Int("seeds"))
	}
	return nil
}
