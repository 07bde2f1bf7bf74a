// Package runreport reads the reports of simulated runs with load and faults, and shows what
// reduced their scores, by cause and over time.
package runreport

import (
	"encoding/json"
	"os"
	"strconv"

	"github.com/pkg/errors"
)

// Window contains the outcomes of the requests that were first sent in a period.
type Window struct {
	// Start is the start of the period in seconds.
	Start float64
	// Expected is the number of requests that should get a response. OnTime, Late, Refused
	// and Failed count their outcomes.
	Expected, OnTime, Late, Refused, Failed float64
	// Score is between 0 and 1.
	Score float64
}

// Penalty is the reduction of the score by one cause.
type Penalty struct {
	Cause string
	Score float64
}

// Report is the report of one run.
type Report struct {
	Score     float64
	Total     Window
	Windows   []Window
	Penalties []Penalty
}

// countsRecord is the JSON form of a Window.
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

func (c countsRecord) toWindow() Window {
	return Window{
		Expected: c.N - c.NotOwed, OnTime: c.InAim, Late: c.Late, Refused: c.Refused, Failed: c.Failed, Score: c.Worth,
	}
}

type reportRecord struct {
	Worth   float64             `json:"G"`
	All     countsRecord        `json:"all"`
	Windows []countsRecord      `json:"windows"`
	Prices  [][]json.RawMessage `json:"prices"`
}

// ReadFile reads a report from a file.
func ReadFile(path string) (*Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "report")
	}
	report, err := Decode(data)
	return report, errors.Wrapf(err, "report %s", path)
}

// Decode decodes a report from JSON.
func Decode(data []byte) (*Report, error) {
	var record reportRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return nil, errors.WithStack(err)
	}
	report := &Report{Score: record.Worth, Total: record.All.toWindow()}
	for _, w := range record.Windows {
		from, err := strconv.ParseFloat(w.Name, 64)
		if err != nil {
			return nil, errors.Wrap(err, "windows: name: want the start in seconds")
		}
		window := w.toWindow()
		window.Start = from
		report.Windows = append(report.Windows, window)
	}
	for _, row := range record.Prices {
		penalty, err := decodePenalty(row)
		if err != nil {
			return nil, err
		}
		report.Penalties = append(report.Penalties, penalty)
	}
	return report, nil
}

// decodePenalty decodes a row with a cause, its amount and its penalty.
func decodePenalty(row []json.RawMessage) (Penalty, error) {
	const columns = 3
	var penalty Penalty
	if len(row) != columns {
		return penalty, errors.Errorf("prices: row has %d columns, want %d", len(row), columns)
	}
	if err := json.Unmarshal(row[0], &penalty.Cause); err != nil {
		return penalty, errors.Wrap(err, "prices: cause")
	}
	return penalty, errors.Wrap(json.Unmarshal(row[columns-1], &penalty.Score), "prices: worth")
}

// Mean returns the mean of several reports, whose runs differ only in their seeds.
func Mean(reports []*Report) *Report {
	mean := &Report{}
	if len(reports) == 0 {
		return mean
	}
	weight := 1 / float64(len(reports))
	indexByCause := map[string]int{}
	for _, r := range reports {
		mean.Score += weight * r.Score
		mean.Total.addWeighted(r.Total, weight)
		for i, w := range r.Windows {
			if i == len(mean.Windows) {
				mean.Windows = append(mean.Windows, Window{Start: w.Start})
			}
			mean.Windows[i].addWeighted(w, weight)
		}
		for _, penalty := range r.Penalties {
			index, known := indexByCause[penalty.Cause]
			if !known {
				index = len(mean.Penalties)
				indexByCause[penalty.Cause] = index
				mean.Penalties = append(mean.Penalties, Penalty{Cause: penalty.Cause})
			}
			mean.Penalties[index].Score += weight * penalty.Score
		}
	}
	return mean
}

func (w *Window) addWeighted(other Window, weight float64) {
	w.Expected += weight * other.Expected
	w.OnTime += weight * other.OnTime
	w.Late += weight * other.Late
	w.Refused += weight * other.Refused
	w.Failed += weight * other.Failed
	w.Score += weight * other.Score
}
