package quota

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// The seed is fixed, so that CI gives the same verdict every time.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// The sum must hold also when each daemon doesn't know up to a fifth of the others.
func TestPartsStayBelowTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []string
		for i := range rapid.IntRange(1, 410).Draw(t, "daemons") {
			all = append(all, fmt.Sprintf("10.1.%d.%d:8000", i/200, i%200))
		}
		bound := rapid.IntRange(0, 600).Draw(t, "bound")
		unknown := rapid.IntRange(0, len(all)/5).Draw(t, "unknown")
		sum := 0
		for i, self := range all {
			var known []string
			for j, other := range all {
				if other != self && (j-i+len(all))%len(all) > unknown {
					known = append(known, other)
				}
			}
			sum += NewDaemons(self, known).Quota(bound, "i-1")
		}
		if sum > bound {
			t.Fatalf("%d of %d", sum, bound)
		}
		if unknown == 0 && bound >= 2 && sum < bound/4 {
			t.Fatalf("%d used of %d", sum, bound)
		}
	})
}
