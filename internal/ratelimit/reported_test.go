package ratelimit

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The fixed seed makes CI runs reproducible.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// A limit must never be removed by a response that may be older, and must be replaced by one that
// is certainly newer.
func TestLimitIsNotRemovedByOlderResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type response struct {
			reported time.Time
			limit    Limit
		}
		start := time.Unix(7000, 0)
		var responses []response
		for range rapid.IntRange(1, 12).Draw(t, "responses") {
			requested := start.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "requested")) * time.Millisecond)
			reported := requested.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "request delay")) * time.Millisecond)
			received := reported.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "response delay")) * time.Millisecond)
			responses = append(responses, response{reported: reported, limit: Limit{RequestedAt: requested, ReceivedAt: received}})
		}
		// The server sets its limit at one time and removes it at another.
		set, removed := rapid.IntRange(0, 1100).Draw(t, "set"), rapid.IntRange(0, 1100).Draw(t, "removed")
		for i := range responses {
			at := int(responses[i].reported.Sub(start).Milliseconds())
			responses[i].limit.Present = at >= set && at < removed
		}
		var current Limit
		last := responses[0]
		for _, s := range responses {
			current = s.limit.supersede(current)
			if s.reported.After(last.reported) {
				last = s
			}
		}
		newest := true // no other response overlaps the last one
		for _, s := range responses {
			newest = newest && (s == last || s.limit.ReceivedAt.Before(last.limit.RequestedAt))
		}
		if newest && current.Present != last.limit.Present {
			t.Fatalf("last reported: %+v, current: %+v", last.limit, current)
		}
		if last.limit.Present && !current.Present {
			t.Fatalf("last reported present by %+v, current is absent: %+v", last.limit, current)
		}
	})
}
