package ratelimit

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

// A word never gives way to one that allows more and may be older.
func TestLaterWordsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type said struct {
			spoke time.Time
			word  Limit
		}
		start := time.Unix(7000, 0)
		var all []said
		for range rapid.IntRange(1, 12).Draw(t, "answers") {
			asked := start.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "asked")) * time.Millisecond)
			spoke := asked.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "way there")) * time.Millisecond)
			heard := spoke.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "way back")) * time.Millisecond)
			all = append(all, said{spoke: spoke, word: Limit{RequestedAt: asked, ReceivedAt: heard}})
		}
		// The server names its limit at one time, and ends it at another.
		named, ended := rapid.IntRange(0, 1100).Draw(t, "named"), rapid.IntRange(0, 1100).Draw(t, "ended")
		for i := range all {
			at := int(all[i].spoke.Sub(start).Milliseconds())
			all[i].word.Present = at >= named && at < ended
		}
		var holds Limit
		last := all[0]
		for _, s := range all {
			holds = s.word.after(holds)
			if s.spoke.After(last.spoke) {
				last = s
			}
		}
		newest := true // nothing else overlaps what was said last
		for _, s := range all {
			newest = newest && (s == last || s.word.ReceivedAt.Before(last.word.RequestedAt))
		}
		if newest && holds.Present != last.word.Present {
			t.Fatalf("said last: %+v, holds: %+v", last.word, holds)
		}
		if last.word.Present && !holds.Present {
			t.Fatalf("named last, by %+v, and held for ended: %+v", last.word, holds)
		}
	})
}
