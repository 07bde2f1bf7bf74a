// Package dayreport reads reports of played load and trouble, and says where callers
// lost what they were owed: by cause, and by second.
package runreport

import (
	"encoding/json"
	"os"
	"strconv"

	"github.com/pkg/errors"
)

// Window is what became of the requests that were first sent in some seconds.
type Window struct {
	// From is the first second.
	From float64
	// Owed is how many requests were owed an answer; InTime, Late, Refused and Failed
	// are how these ended.
	Owed, InTime, Late, Refused, Failed float64
	// Credit is the part earned of what was owed, 0 to 1.
	Credit float64
}

// Price is what was taken off for one cause, in worth.
type Price struct {
	Cause string
	Worth float64
}

// Report is one played day.
type Report struct {
	Worth   float64
	Whole   Window
	Windows []Window
	Prices  []Price
}

// countsRecord is a row of counts in a report.
type countsRecord struct {
	Name    string  `json:"name"`
	N       float64 `json:"n"`
	InAim   float64 `json:"in_aim"`
	Late    float64 `json:"late"`
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	NotOwed float64 `json:"not_owed"`
	Worth   float64 `json:"worth"`
}

func (c countsRecord) window() Window {
	return Window{
		Owed: c.N - c.NotOwed, InTime: c.InAim, Late: c.Late, Refused: c.Refused, Failed: c.Failed, Credit: c.Worth,
	}
}

type reportRecord struct {
	Worth   float64             `json:"G"`
	All     countsRecord        `json:"all"`
	Windows []countsRecord      `json:"windows"`
	Prices  [][]json.RawMessage `json:"prices"`
}

// Read reads a report. An error names the file and the field.
func Read(path string) (*Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "report")
	}
	report, err := Decode(data)
	return report, errors.Wrapf(err, "report %s", path)
}

// Decode reads a report's bytes.
func Decode(data []byte) (*Report, error) {
	var record reportRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return nil, errors.WithStack(err)
	}
	report := &Report{Worth: record.Worth, Whole: record.All.window()}
	for _, w := range record.Windows {
		from, err := strconv.ParseFloat(w.Name, 64)
		if err != nil {
			return nil, errors.Wrap(err, "windows: name: use the first second")
		}
		window := w.window()
		window.From = from
		report.Windows = append(report.Windows, window)
	}
	for _, row := range record.Prices {
		price, err := decodePrice(row)
		if err != nil {
			return nil, err
		}
		report.Prices = append(report.Prices, price)
	}
	return report, nil
}

// decodePrice reads a row of a cause, its amount, and its price in worth.
func decodePrice(row []json.RawMessage) (Price, error) {
	const columns = 3
	var price Price
	if len(row) != columns {
		return price, errors.Errorf("prices: a row has %d columns, want %d", len(row), columns)
	}
	if err := json.Unmarshal(row[0], &price.Cause); err != nil {
		return price, errors.Wrap(err, "prices: cause")
	}
	return price, errors.Wrap(json.Unmarshal(row[columns-1], &price.Worth), "prices: worth")
}

// Mean returns the mean of several plays of a day: the same seconds, other seeds.
func Mean(reports []*Report) *Report {
	mean := &Report{}
	if len(reports) == 0 {
		return mean
	}
	part := 1 / float64(len(reports))
	prices := map[string]int{}
	for _, r := range reports {
		mean.Worth += part * r.Worth
		mean.Whole.add(r.Whole, part)
		for i, w := range r.Windows {
			if i == len(mean.Windows) {
				mean.Windows = append(mean.Windows, Window{From: w.From})
			}
			mean.Windows[i].add(w, part)
		}
		for _, price := range r.Prices {
			at, known := prices[price.Cause]
			if !known {
				at = len(mean.Prices)
				prices[price.Cause] = at
				mean.Prices = append(mean.Prices, Price{Cause: price.Cause})
			}
			mean.Prices[at].Worth += part * price.Worth
		}
	}
	return mean
}

func (w *Window) add(other Window, part float64) {
	w.Owed += part * other.Owed
	w.InTime += part * other.InTime
	w.Late += part * other.Late
	w.Refused += part * other.Refused
	w.Failed += part * other.Failed
	w.Credit += part * other.Credit
}
