// Package bench contains benchmarks of crowbridge's algorithms and processes. Each figure is
// a line: area/name value unit baseline ratio. The ratio compares value and baseline, which
// are measured in the same run.
package bench

import (
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/pkg/errors"
)

// Reporter runs benchmarks and prints their figures to Out.
type Reporter struct {
	Out io.Writer
}

// withLogDir runs a benchmark with a temporary directory for the logs of its processes. The
// directory is retained if the benchmark fails.
func withLogDir(area func(dir string) error) error {
	dir, err := os.MkdirTemp("", "crowbridge-bench-")
	if err != nil {
		return errors.Wrap(err, "logs")
	}
	if err := area(dir); err != nil {
		return errors.Wrapf(err, "logs in %s", dir)
	}
	return errors.Wrap(os.RemoveAll(dir), "logs")
}

// Figure prints a value without a baseline.
func (r *Reporter) Figure(name string, value float64, unit string) {
	fmt.Fprintf(r.Out, "%-58s %12.4g %-10s %12s %8s\n", name, value, unit, "-", "-")
}

// Compare prints a value, a baseline and their ratio.
func (r *Reporter) Compare(name string, value float64, unit string, baseline float64) {
	ratio := 0.0
	if baseline != 0 {
		ratio = value / baseline
	}
	fmt.Fprintf(r.Out, "%-58s %12.4g %-10s %12.4g %8.3f\n", name, value, unit, baseline, ratio)
}

// Quantile returns the q-quantile of values, which it sorts.
func Quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
}
