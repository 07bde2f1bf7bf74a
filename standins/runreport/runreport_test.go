package runreport

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

const report = `{"G":%G%,"all":{"n":100,"in_aim":60,"late":20,"refused":10,"failed":5,"not_owed":5},
 "windows":[{"name":"0","n":50,"in_aim":50,"worth":1.0},{"name":"2","n":50,"in_aim":10,"worth":%C%}],
 "prices":[["machine-seconds",900.0,0.02],["worth refused again",80.0,0.04]]}`

func decode(g *WithT, score, windowScore string) *Report {
	r, err := Decode([]byte(strings.NewReplacer("%G%", score, "%C%", windowScore).Replace(report)))
	g.Expect(err).NotTo(HaveOccurred())
	return r
}

func TestTableAveragesRuns(t *testing.T) {
	g := NewWithT(t)
	series := Series{Name: "loaded", Reports: []*Report{decode(g, "0.4", "0.2"), decode(g, "0.6", "0.4")}}
	g.Expect(Mean(series.Reports).Windows[1].Score).To(BeNumerically("~", 0.3, 1e-9))
	var table strings.Builder
	g.Expect(WriteTable(&table, []Series{series})).To(Succeed())
	g.Expect(table.String()).To(ContainSubstring("| loaded | 2 | 0.500 | 63, 21, 11, 5 | worth refused again 0.040; machine-seconds 0.020; |"))
}

func TestPlotContainsSeriesNames(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "credit.svg")
	g.Expect(WritePlot(path, "loaded", []Series{{Name: "before", Reports: []*Report{decode(g, "0.4", "0.2")}}})).To(Succeed())
	content, err := os.ReadFile(path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(content)).To(ContainSubstring("before"))
}

func TestDecodeErrorNamesField(t *testing.T) {
	g := NewWithT(t)
	_, err := Decode([]byte(`{"prices":[["a"]]}`))
	g.Expect(err).To(MatchError(ContainSubstring("prices: row has 1 columns")))
	_, err = Decode([]byte(`{"windows":[{"name":"first"}]}`))
	g.Expect(err).To(MatchError(ContainSubstring("windows: name")))
}
