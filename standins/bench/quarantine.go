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
	r.measureTableCost()
	for _, ranks := range []int{16, 256} {
		r.measureCrashes(ranks, 1)
		r.measureCrashes(ranks, 4)
	}
}

// quarantineCost compares a request's dealings with the table while nothing is held of any
// with those while much is.
func (r *Reporter) measureTableCost() {
	for _, size := range []int{4 << 10, 1 << 20} {
		body := make([]byte, size)
		empty, full := quarantine.NewTable(), fullTable()
		r.Compare(fmt.Sprintf("quarantine/request_of_%d_KB_nothing_held", size>>10), nsPerRequest(empty, body), "ns", nsPerRequest(full, body))
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
func nsPerRequest(t *quarantine.Table, body []byte) float64 {
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
	simRepeats        = 20
	simRepeatInterval = 300 * time.Millisecond
	// playedEntries are the entries, playedBeside the sound requests in progress at a rank.
	crashSimEntries = 8
	crashSimHealthy = 12
	// foundAfter is how long finding out takes, toldAfter how long a datagram does, groupAway
	// how long a group is away for one rank's end.
	detectionDelay    = 120 * time.Millisecond
	gossipDelay       = 5 * time.Millisecond
	groupRecoveryTime = 4 * time.Second
)

// playedNews is evidence on its way to the other entries.
type evidenceUpdate struct {
	at       time.Time
	evidence []quarantine.Evidence
}

// endedServers plays some guilty requests whose callers repeat them at random entries, on a
// group of ranks that each of them breaks. The baseline has no quarantine: each repeat that
// meets an open group ends a rank.
func (r *Reporter) measureCrashes(ranks, guilty int) {
	random := rand.New(rand.NewPCG(1, 1))
	tables := make([]*quarantine.Table, crashSimEntries)
	for i := range tables {
		tables[i] = quarantine.NewTable()
	}
	now := time.Unix(0, 0)
	openAt, crashes, baselineCrashes, healthy, quarantined := now, 0, 0, 0, 0
	baselineOpenAt := now // of the baseline's group
	var updates []evidenceUpdate
	for n := range simRepeats * guilty * int(groupRecoveryTime/simRepeatInterval) {
		for _, update := range updates {
			if !now.Before(update.at) {
				for _, table := range tables {
					table.Merge(update.evidence, now)
				}
			}
		}
		table := tables[random.IntN(crashSimEntries)]
		d := quarantine.DigestOf("c", "POST", "h", "/", fmt.Append(nil, n%guilty))
		if !now.Before(baselineOpenAt) {
			baselineCrashes++
			baselineOpenAt = now.Add(groupRecoveryTime)
		}
		if state := table.Admit(d, now).State; !now.Before(openAt) && (state == quarantine.Healthy || state == quarantine.Suspect) {
			crashes++
			openAt = now.Add(groupRecoveryTime)
			updates = append(updates, crashRank(tables, table, d, fmt.Sprint("r", random.IntN(ranks), "-", crashes), crashes, now))
			table.Done(d)
		}
		for i := range crashSimHealthy { // those that ran at the last rank come again
			healthy++
			if table.Decision(healthyDigest(crashes, i), now).State == quarantine.Quarantined {
				quarantined++
			}
		}
		now = now.Add(simRepeatInterval)
	}
	name := fmt.Sprintf("quarantine/%d_ranks_%d_guilty", ranks, guilty)
	r.Compare(name+"_servers_ended", float64(crashes), "servers", float64(baselineCrashes))
	r.Figure(name+"_sound_held_back", float64(quarantined), fmt.Sprintf("of %d", healthy))
}

func healthyDigest(crash, i int) quarantine.Digest {
	return quarantine.DigestOf("c", "POST", "h", "/", fmt.Appendf(nil, "sound %d beside end %d", i, crash))
}

// endRank cuts off what runs at a rank: a guilty request at one entry, sound ones at all.
func crashRank(tables []*quarantine.Table, observer *quarantine.Table, guilty quarantine.Digest, server string, crash int, now time.Time) evidenceUpdate {
	observer.RecordConnectionLoss(guilty, quarantine.RequestInfo{}, server, now)
	for i := range crashSimHealthy {
		tables[i%len(tables)].RecordConnectionLoss(healthyDigest(crash, i), quarantine.RequestInfo{}, server, now)
	}
	update := evidenceUpdate{at: now.Add(detectionDelay + gossipDelay)}
	for _, table := range tables {
		update.evidence = append(update.evidence, table.MarkExited(server, now.Add(detectionDelay))...)
	}
	return update
}
