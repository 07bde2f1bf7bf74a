package eligibility

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// The seed is fixed, so that CI gives the same verdict every time.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// TestAWordHoldsUntilItsTime: in whatever order a server speaks, it's barred exactly while
// any rest that it asked for lasts, and from its word that it leaves on for good.
func TestAWordHoldsUntilItsTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var n Report
		now := time.Unix(5000, 0)
		var ends []time.Time
		leaving := false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "word") {
			case 0, 1, 2, 3:
				rest := time.Duration(rapid.IntRange(-1000, 9000).Draw(t, "rest ms")) * time.Millisecond
				ends = append(ends, now.Add(rest))
				n.RecordRest(rest, now)
			case 4:
				if news := n.MarkLeaving(now); news == leaving {
					t.Fatalf("news: %v, leaving before: %v", news, leaving)
				}
				leaving = true
			default: // it's only asked
			}
			var left time.Duration
			for _, end := range ends {
				left = max(left, end.Sub(now))
			}
			bar := n.Exclusion(now)
			switch {
			case leaving:
				if bar == nil || bar.Reason != Leaving || bar.Remaining != 0 {
					t.Fatalf("leaving, but %v", bar)
				}
			case left > 0:
				if bar == nil || bar.Reason != Resting || bar.Remaining != left {
					t.Fatalf("%v of rest left, but %v", left, bar)
				}
			case bar != nil:
				t.Fatalf("nothing is in force, but %v", bar)
			}
		}
	})
}

func TestARestIsBounded(t *testing.T) {
	RegisterTestingT(t)
	var n Report
	now := time.Unix(5000, 0)
	Expect(n.RecordRest(365*24*time.Hour, now)).To(Equal(MaxRest))
	Expect(n.Exclusion(now.Add(MaxRest - 1))).NotTo(BeNil())
	Expect(n.Exclusion(now.Add(MaxRest))).To(BeNil())
	Expect(n.RecordRest(1<<63-1, now.Add(MaxRest))).To(Equal(MaxRest))
}

func TestTheFirstRestToEnd(t *testing.T) {
	RegisterTestingT(t)
	rest := func(s int) *Exclusion { return &Exclusion{Reason: Resting, Remaining: time.Duration(s) * time.Second} }
	for _, c := range []struct {
		name  string
		bars  []*Exclusion
		first time.Duration
	}{
		{name: "of none"},
		{"of several", []*Exclusion{rest(4), rest(2), rest(3)}, 2 * time.Second},
		{"beside one that leaves", []*Exclusion{{Reason: Leaving}, rest(3)}, 3 * time.Second},
		{"of servers that all leave", []*Exclusion{{Reason: Leaving}}, 0},
		{"beside a free one", []*Exclusion{rest(4), nil}, 0},
	} {
		var bars Exclusions
		for _, bar := range c.bars {
			bars.Add(bar)
		}
		Expect(bars.EarliestEnd()).To(Equal(c.first), c.name)
	}
}
