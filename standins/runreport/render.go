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

// Set is several plays of a day under one name.
type Series struct {
	Name    string
	Reports []*Report
}

// shownPrices is how many of the largest prices a row shows.
const maxPenaltiesShown = 3

// Table writes a row a set: where its callers lost what they were owed.
func WriteTable(w io.Writer, series []Series) error {
	if _, err := fmt.Fprintln(w, "| days | plays | worth | in time, late, refused, failed, % | largest prices |\n| --- | --- | --- | --- | --- |"); err != nil {
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

// The size of a plot, in inches.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 3 * vg.Inch
)

// Plot draws the credit by second of each set into a file, whose ending gives the format.
func WritePlot(path, title string, series []Series) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "first sent at, s", "credit earned of owed"
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
