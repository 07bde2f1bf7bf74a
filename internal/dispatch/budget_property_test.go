package dispatch

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A fixed seed makes the result reproducible.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// For any number of entries and any load, the entries' retries in any window stay within the
// deployment's budget for the requests of that window and the previous one.
func TestEntriesTogetherKeepRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := make([]retryBudget, rapid.IntRange(1, 40).Draw(t, "entries"))
		for i := range entries {
			entries[i].policy = testPolicy
			entries[i].policy.Entries = len(entries)
		}
		now := time.Unix(5000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause ms")) * time.Millisecond)
			entry := &entries[rapid.IntRange(0, len(entries)-1).Draw(t, "entry")]
			for range rapid.IntRange(0, 3).Draw(t, "requests") {
				entry.recordRequest(now)
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 12).Draw(t, "retries") {
				if entry.acquire(now) {
					retries = append(retries, now)
				}
			}
			used := count(retries, now.Add(-testPolicy.Window), now)
			recent := count(requests, now.Add(-2*testPolicy.Window), now)
			if allowed := testPolicy.Ratio*float64(recent) + testPolicy.Extra; float64(used) > allowed {
				t.Fatalf("%d retries in a window, want at most %.1f", used, allowed)
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
