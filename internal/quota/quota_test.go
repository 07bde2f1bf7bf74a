package quota

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// The fixed seed makes CI runs reproducible.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// The quotas of all daemons must not exceed the bound, even if each daemon knows only four
// fifths of the others, and must add up to a quarter of it at least if each knows all.
func TestQuotasNeverExceedBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []string
		for i := range rapid.IntRange(1, 410).Draw(t, "daemons") {
			all = append(all, fmt.Sprintf("10.1.%d.%d:8000", i/200, i%200))
		}
		bound := rapid.IntRange(0, 600).Draw(t, "bound")
		missing := rapid.IntRange(0, len(all)/5).Draw(t, "unknown")
		sum := 0
		for i, self := range all {
			var peers []string
			for j, other := range all {
				if other != self && (j-i+len(all))%len(all) > missing {
					peers = append(peers, other)
				}
			}
			sum += NewDaemons(self, peers).Quota(bound, "i-1")
		}
		if sum > bound {
			t.Fatalf("sum of quotas is %d, bound is %d", sum, bound)
		}
		if missing == 0 && bound >= 2 && sum < bound/4 {
			t.Fatalf("sum of quotas is only %d, bound is %d", sum, bound)
		}
	})
}
