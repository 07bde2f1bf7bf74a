package runreport

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Series is a named set of runs that differ only in their seeds.
type Series struct {
	Name    string
	Reports []*Report
}

// maxPenaltiesShown is the number of penalties in a table row.
const maxPenaltiesShown = 3

// WriteTable writes a Markdown table with a row per series: the score, the outcomes in
// percent, and the largest penalties.
func WriteTable(w io.Writer, series []Series) error {
	if _, err := fmt.Fprintln(w, "| series | runs | score | on time, late, refused, failed, % | largest penalties |\n| --- | --- | --- | --- | --- |"); err != nil {
		return errors.Wrap(err, "table")
	}
	for _, s := range series {
		mean := Mean(s.Reports)
		penalties := slices.Clone(mean.Penalties)
		slices.SortStableFunc(penalties, func(a, b Penalty) int { return cmp.Compare(b.Score, a.Score) })
		largest := ""
		for _, penalty := range penalties[:min(maxPenaltiesShown, len(penalties))] {
			largest += fmt.Sprintf("%s %.3f; ", penalty.Cause, penalty.Score)
		}
		total, onePercent := mean.Total, max(mean.Total.Expected, 1)/100
		if _, err := fmt.Fprintf(w, "| %s | %d | %.3f | %.0f, %.0f, %.0f, %.0f | %s|\n", s.Name, len(s.Reports), mean.Score,
			total.OnTime/onePercent, total.Late/onePercent, total.Refused/onePercent, total.Failed/onePercent, largest); err != nil {
			return errors.Wrap(err, "table")
		}
	}
	return nil
}

// The size of a plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 3 * vg.Inch
)

// WritePlot plots the score of each series over time into a file, whose extension determines
// the format.
func WritePlot(path, title string, series []Series) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "time of first sending, s", "score"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = false
	var lines []any
	for _, s := range series {
		points := plotter.XYs{}
		for _, w := range Mean(s.Reports).Windows {
			points = append(points, plotter.XY{X: w.Start, Y: w.Score})
		}
		lines = append(lines, s.Name, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errors.Wrap(err, "plot")
	}
	return errors.Wrapf(p.Save(plotWidth, plotHeight, path), "plot %s", path)
}
