package bench

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/quarantine"
)

// Quarantine measures what telling requests apart costs, and plays requests that end each
// server that runs them, in virtual time, on the tables of several entries.
func (r *Reporter) Quarantine() {
	r.quarantineCost()
	for _, ranks := range []int{16, 256} {
		r.endedServers(ranks, 1)
		r.endedServers(ranks, 4)
	}
}

// quarantineCost compares a request's dealings with the table while nothing is held of any
// with those while much is.
func (r *Reporter) quarantineCost() {
	for _, size := range []int{4 << 10, 1 << 20} {
		body := make([]byte, size)
		empty, full := quarantine.NewTable(), fullTable()
		r.Compare(fmt.Sprintf("quarantine/request_of_%d_KB_nothing_held", size>>10), perRequest(empty, body), "ns", perRequest(full, body))
	}
}

// fullTable holds as much as a table does at most.
func fullTable() *quarantine.Table {
	t := quarantine.NewTable()
	now := time.Now()
	for i := range 5000 {
		d := quarantine.DigestOf("c", "POST", "h", "/", fmt.Append(nil, i))
		t.RecordConnectionLoss(d, quarantine.RequestInfo{}, "s", now)
		t.MarkExited("s", now)
	}
	return t
}

// perRequest is the time of a request's dealings with a table, as the pipeline has them.
func perRequest(t *quarantine.Table, body []byte) float64 {
	now := time.Now()
	result := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			if t.Empty() {
				continue
			}
			d := quarantine.DigestOf("c", "POST", "h", "/", body)
			t.Admit(d, now)
			t.Done(d)
			t.RecordSuccess(d)
		}
	})
	return float64(result.NsPerOp())
}

const (
	// repeatsPlayed is how often the caller of a guilty request repeats it, repeatEach how
	// long it waits, as callers who come back do.
	repeatsPlayed = 20
	repeatEach    = 300 * time.Millisecond
	// playedEntries are the entries, playedBeside the sound requests in progress at a rank.
	playedEntries = 8
	playedBeside  = 12
	// foundAfter is how long finding out takes, toldAfter how long a datagram does, groupAway
	// how long a group is away for one rank's end.
	foundAfter = 120 * time.Millisecond
	toldAfter  = 5 * time.Millisecond
	groupAway  = 4 * time.Second
)

// playedNews is evidence on its way to the other entries.
type playedNews struct {
	at       time.Time
	evidence []quarantine.Evidence
}

// endedServers plays some guilty requests whose callers repeat them at random entries, on a
// group of ranks that each of them breaks. The baseline has no quarantine: each repeat that
// meets an open group ends a rank.
func (r *Reporter) endedServers(ranks, guilty int) {
	random := rand.New(rand.NewPCG(1, 1))
	tables := make([]*quarantine.Table, playedEntries)
	for i := range tables {
		tables[i] = quarantine.NewTable()
	}
	now := time.Unix(0, 0)
	openAt, ended, without, sound, held := now, 0, 0, 0, 0
	freeAt := now // of the baseline's group
	var news []playedNews
	for n := range repeatsPlayed * guilty * int(groupAway/repeatEach) {
		for _, heard := range news {
			if !now.Before(heard.at) {
				for _, table := range tables {
					table.Merge(heard.evidence, now)
				}
			}
		}
		table := tables[random.IntN(playedEntries)]
		d := quarantine.DigestOf("c", "POST", "h", "/", fmt.Append(nil, n%guilty))
		if !now.Before(freeAt) {
			without++
			freeAt = now.Add(groupAway)
		}
		if state := table.Admit(d, now).State; !now.Before(openAt) && (state == quarantine.Healthy || state == quarantine.Suspect) {
			ended++
			openAt = now.Add(groupAway)
			news = append(news, endRank(tables, table, d, fmt.Sprint("r", random.IntN(ranks), "-", ended), ended, now))
			table.Done(d)
		}
		for beside := range playedBeside { // those that ran at the last rank come again
			sound++
			if table.Decision(soundDigest(ended, beside), now).State == quarantine.Quarantined {
				held++
			}
		}
		now = now.Add(repeatEach)
	}
	name := fmt.Sprintf("quarantine/%d_ranks_%d_guilty", ranks, guilty)
	r.Compare(name+"_servers_ended", float64(ended), "servers", float64(without))
	r.Figure(name+"_sound_held_back", float64(held), fmt.Sprintf("of %d", sound))
}

func soundDigest(end, beside int) quarantine.Digest {
	return quarantine.DigestOf("c", "POST", "h", "/", fmt.Appendf(nil, "sound %d beside end %d", beside, end))
}

// endRank cuts off what runs at a rank: a guilty request at one entry, sound ones at all.
func endRank(tables []*quarantine.Table, at *quarantine.Table, guilty quarantine.Digest, server string, end int, now time.Time) playedNews {
	at.RecordConnectionLoss(guilty, quarantine.RequestInfo{}, server, now)
	for beside := range playedBeside {
		tables[beside%len(tables)].RecordConnectionLoss(soundDigest(end, beside), quarantine.RequestInfo{}, server, now)
	}
	found := playedNews{at: now.Add(foundAfter + toldAfter)}
	for _, table := range tables {
		found.evidence = append(found.evidence, table.MarkExited(server, now.Add(foundAfter))...)
	}
	return found
}
