// Command bench runs the benchmarks of `make bench` and prints a line per figure: area/name
// value unit baseline ratio.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/crowbridge/crowbridge/standins/bench"
	"github.com/pkg/errors"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) == 0 {
		return errors.New("usage: bench DIRECTORY-OF-BINARIES [AREA...]")
	}
	r := &bench.Reporter{Out: os.Stdout}
	areas := []struct {
		name string
		run  func() error
	}{
		{"routing", func() error { r.Routing(); return nil }},
		{"admission", func() error { r.Admission(); return nil }},
		{"config", r.Config},
		{"path", func() error { return r.Path(args[0]) }},
		{"hosted", r.PlatformEntry},
		{"control", func() error { return r.Control(args[0]) }},
		{"group", func() error { return r.Group(args[0]) }},
		{"quarantine", func() error { r.Quarantine(); return nil }},
		{"limits", func() error { r.Limits(); return nil }},
		{"recovery", r.Recovery},
		{"rebalance", func() error { r.Rebalance(); return nil }},
	}
	failed := 0
	for _, area := range areas {
		if !selected(area.name, args[1:]) {
			continue
		}
		if err := area.run(); err != nil { // continue with the other areas
			failed++
			fmt.Fprintln(os.Stderr, "bench:", errors.Wrap(err, area.name))
		}
	}
	if failed > 0 {
		return errors.Errorf("%d areas failed", failed)
	}
	return nil
}

func selected(name string, areas []string) bool {
	if len(areas) == 0 {
		return true
	}
	for _, area := range areas {
		if strings.EqualFold(area, name) {
			return true
		}
	}
	return false
}
