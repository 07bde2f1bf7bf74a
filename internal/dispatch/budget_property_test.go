package dispatch

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The seed is fixed, so that CI gives the same verdict every time.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// TestEntriesTogetherKeepTheRetryBudget: whatever the entries see, and however
// many there are, their repeats in any window stay within the
// deployment's budget for the requests of that window and the one before.
func TestEntriesTogetherKeepTheRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := make([]retryBudget, rapid.IntRange(1, 40).Draw(t, "entries"))
		for i := range entries {
			entries[i].policy = testPolicy
			entries[i].policy.Entries = len(entries)
		}
		now := time.Unix(5000, 0)
		var requests, repeats []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause ms")) * time.Millisecond)
			entry := &entries[rapid.IntRange(0, len(entries)-1).Draw(t, "entry")]
			for range rapid.IntRange(0, 3).Draw(t, "requests") {
				entry.request(now)
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 12).Draw(t, "wanted repeats") {
				if entry.spend(now) {
					repeats = append(repeats, now)
				}
			}
			within := count(repeats, now.Add(-testPolicy.Window), now)
			asked := count(requests, now.Add(-2*testPolicy.Window), now)
			if allowed := testPolicy.Ratio*float64(asked) + testPolicy.Extra; float64(within) > allowed {
				t.Fatalf("%d repeats in a window, %.1f allowed", within, allowed)
			}
		}
	})
}

func count(times []time.Time, after, until time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(after) && !at.After(until) {
			n++
		}
	}
	return n
}
