package bench

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crowbridge/crowbridge/internal/quarantine"
)

// Quarantine measures the cost of the quarantine table per request, and simulates requests
// that crash each server that runs them, in virtual time, with the tables of several entries.
func (r *Reporter) Quarantine() {
	r.measureTableCost()
	for _, ranks := range []int{16, 256} {
		r.measureCrashes(ranks, 1)
		r.measureCrashes(ranks, 4)
	}
}

// measureTableCost compares the cost per request of an empty table and of a full one.
func (r *Reporter) measureTableCost() {
	for _, size := range []int{4 << 10, 1 << 20} {
		body := make([]byte, size)
		empty, full := quarantine.NewTable(), fullTable()
		r.Compare(fmt.Sprintf("quarantine/request_of_%d_KB_nothing_held", size>>10), nsPerRequest(empty, body), "ns", nsPerRequest(full, body))
	}
}

// fullTable returns a table at its maximum size.
func fullTable() *quarantine.Table {
	t := quarantine.NewTable()
	now := time.Now()
	for i := range 5000 {
		d := quarantine.DigestOf("c", "POST", "h", "/", fmt.Append(nil, i))
		t.RecordConnectionLoss(quarantine.NewFingerprint(d, quarantine.RequestInfo{}, "m", promptParts{fmt.Sprint(i), "shared"}), "s", now)
		t.MarkExited("s", now)
	}
	return t
}

// promptParts are the shared parts of a prompt.
type promptParts []string

func (p promptParts) Shared() []string { return p }

// nsPerRequest returns the duration of the calls to a table that the dispatch pipeline makes
// for each request, in nanoseconds.
func nsPerRequest(t *quarantine.Table, body []byte) float64 {
	now := time.Now()
	parts := promptParts{"system", "document", "shared"}
	result := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			t.RecordServed("m", parts, now)
			if t.Empty() {
				continue
			}
			f := quarantine.NewFingerprint(quarantine.DigestOf("c", "POST", "h", "/", body), quarantine.RequestInfo{}, "m", parts)
			t.Admit(f, now)
			t.Done(f.Digest)
			t.RecordSuccess(f)
		}
	})
	return float64(result.NsPerOp())
}

const (
	// crashSimRecoveries is the duration of a simulation per crashing request, in units of
	// groupRecoveryTime. crashSimInterval is the time between two requests of any caller.
	crashSimRecoveries = 20
	crashSimInterval   = 300 * time.Millisecond
	crashSimEntries    = 8
	// crashSimHealthy is the number of healthy requests in progress at each rank.
	crashSimHealthy = 12
	// detectionDelay is the time until a crash is detected, gossipDelay that until other
	// entries are notified, and groupRecoveryTime that until the group runs again.
	detectionDelay    = 120 * time.Millisecond
	gossipDelay       = 5 * time.Millisecond
	groupRecoveryTime = 4 * time.Second
)

// evidenceUpdate is evidence that reaches all entries at deliverAt.
type evidenceUpdate struct {
	deliverAt time.Time
	evidence  []quarantine.Evidence
}

// measureCrashes simulates callers that repeat their crashing requests at random entries of a
// group of ranks. Each crash of a rank breaks the group. In the baseline without quarantine
// each repeat crashes a rank if the group is open.
func (r *Reporter) measureCrashes(ranks, crashing int) {
	random := rand.New(rand.NewPCG(1, 1))
	tables := make([]*quarantine.Table, crashSimEntries)
	for i := range tables {
		tables[i] = quarantine.NewTable()
	}
	now := time.Unix(0, 0)
	openAt, crashes, baselineCrashes, healthy, quarantined := now, 0, 0, 0, 0
	baselineOpenAt := now
	var updates []evidenceUpdate
	for n := range crashSimRecoveries * crashing * int(groupRecoveryTime/crashSimInterval) {
		for _, update := range updates {
			if !now.Before(update.deliverAt) {
				for _, table := range tables {
					table.Merge(update.evidence, now)
				}
			}
		}
		table := tables[random.IntN(crashSimEntries)]
		d := quarantine.DigestOf("c", "POST", "h", "/", fmt.Append(nil, n%crashing))
		if !now.Before(baselineOpenAt) {
			baselineCrashes++
			baselineOpenAt = now.Add(groupRecoveryTime)
		}
		if state := table.Admit(quarantine.Fingerprint{Digest: d}, now).State; !now.Before(openAt) && (state == quarantine.Healthy || state == quarantine.Suspect) {
			crashes++
			openAt = now.Add(groupRecoveryTime)
			updates = append(updates, crashRank(tables, table, d, fmt.Sprint("r", random.IntN(ranks), "-", crashes), crashes, now))
			table.Done(d)
		}
		for i := range crashSimHealthy { // requests that were in progress at the last crash are retried
			healthy++
			if table.Decision(healthyDigest(crashes, i), now).State == quarantine.Quarantined {
				quarantined++
			}
		}
		now = now.Add(crashSimInterval)
	}
	name := fmt.Sprintf("quarantine/%d_ranks_%d_guilty", ranks, crashing)
	r.Compare(name+"_servers_ended", float64(crashes), "servers", float64(baselineCrashes))
	r.Figure(name+"_sound_held_back", float64(quarantined), fmt.Sprintf("of %d", healthy))
}

func healthyDigest(crash, i int) quarantine.Digest {
	return quarantine.DigestOf("c", "POST", "h", "/", fmt.Appendf(nil, "healthy request %d of crash %d", i, crash))
}

// crashRank records the requests that a crash interrupts, the crashing one at one entry and
// healthy ones at all entries, and returns the resulting evidence.
func crashRank(tables []*quarantine.Table, observer *quarantine.Table, crashing quarantine.Digest, server string, crash int, now time.Time) evidenceUpdate {
	observer.RecordConnectionLoss(quarantine.Fingerprint{Digest: crashing, Info: quarantine.RequestInfo{}}, server, now)
	for i := range crashSimHealthy {
		tables[i%len(tables)].RecordConnectionLoss(quarantine.Fingerprint{Digest: healthyDigest(crash, i), Info: quarantine.RequestInfo{}}, server, now)
	}
	update := evidenceUpdate{deliverAt: now.Add(detectionDelay + gossipDelay)}
	for _, table := range tables {
		update.evidence = append(update.evidence, table.MarkExited(server, now.Add(detectionDelay))...)
	}
	return update
}
