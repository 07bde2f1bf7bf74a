package eligibility

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// The fixed seed makes CI runs reproducible.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// A server must be excluded exactly while any requested rest lasts, and permanently once it is
// leaving, in any order of reports.
func TestReportedExclusionsHoldUntilTheyExpire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Report
		now := time.Unix(5000, 0)
		var ends []time.Time
		leaving := false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "report") {
			case 0, 1, 2, 3:
				rest := time.Duration(rapid.IntRange(-1000, 9000).Draw(t, "rest ms")) * time.Millisecond
				ends = append(ends, now.Add(rest))
				r.RecordRest(rest, now)
			case 4:
				if changed := r.MarkLeaving(now); changed == leaving {
					t.Fatalf("changed: %v, leaving before: %v", changed, leaving)
				}
				leaving = true
			default: // no report
			}
			var left time.Duration
			for _, end := range ends {
				left = max(left, end.Sub(now))
			}
			exclusion := r.Exclusion(now)
			switch {
			case leaving:
				if exclusion == nil || exclusion.Reason != Leaving || exclusion.Remaining != 0 {
					t.Fatalf("leaving, but the exclusion is %v", exclusion)
				}
			case left > 0:
				if exclusion == nil || exclusion.Reason != Resting || exclusion.Remaining != left {
					t.Fatalf("%v of rest left, but the exclusion is %v", left, exclusion)
				}
			case exclusion != nil:
				t.Fatalf("eligible, but the exclusion is %v", exclusion)
			}
		}
	})
}

func TestRestIsBounded(t *testing.T) {
	RegisterTestingT(t)
	var r Report
	now := time.Unix(5000, 0)
	Expect(r.RecordRest(365*24*time.Hour, now)).To(Equal(MaxRest))
	Expect(r.Exclusion(now.Add(MaxRest - 1))).NotTo(BeNil())
	Expect(r.Exclusion(now.Add(MaxRest))).To(BeNil())
	Expect(r.RecordRest(1<<63-1, now.Add(MaxRest))).To(Equal(MaxRest))
}

func TestEarliestEndIsWhenFirstServerBecomesEligible(t *testing.T) {
	RegisterTestingT(t)
	rest := func(s int) *Exclusion { return &Exclusion{Reason: Resting, Remaining: time.Duration(s) * time.Second} }
	for _, c := range []struct {
		name       string
		exclusions []*Exclusion
		want       time.Duration
	}{
		{name: "none"},
		{"several resting", []*Exclusion{rest(4), rest(2), rest(3)}, 2 * time.Second},
		{"resting and leaving", []*Exclusion{{Reason: Leaving}, rest(3)}, 3 * time.Second},
		{"all leaving", []*Exclusion{{Reason: Leaving}}, 0},
		{"resting and eligible", []*Exclusion{rest(4), nil}, 0},
	} {
		var exclusions Exclusions
		for _, exclusion := range c.exclusions {
			exclusions.Add(exclusion)
		}
		Expect(exclusions.EarliestEnd()).To(Equal(c.want), c.name)
	}
}
