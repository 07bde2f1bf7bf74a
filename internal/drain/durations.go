package drain

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxEnded bounds the ended requests of one kind that are remembered, maxAge the time.
	maxEnded = 128
	maxAge   = 2 * time.Minute
	// usualPercent of the requests of a kind last no longer than Recent.Usual. The others are those that
	// a server in trouble has held up.
	usualPercent = 98
	// typicalPercent of the requests of a kind last no longer than the typical duration.
	typicalPercent = 50
)

// Recent describes the recent requests of one kind.
type Recent struct {
	// Usual is the duration that nearly all requests don't exceed, be it the ended ones or, by their
	// ages, the running ones.
	Usual time.Duration
	// ObservedFor is the time since the first request. Nothing is known of longer durations.
	ObservedFor time.Duration
	// Modeled is how long the request at hand takes by the servers' cost model, or 0 if unknown.
	Modeled time.Duration
}

// Durations records how long requests of each kind last. Safe for concurrent use.
type Durations struct {
	mu    sync.Mutex // leaf lock: guards the fields below
	kinds map[string]*kindDurations
	// prunedAt is when kinds without recent requests were last forgotten.
	prunedAt time.Time
}

type kindDurations struct {
	firstAt time.Time
	running map[*Run]struct{}
	// ended is a ring; next is the position of the oldest one once it is full.
	ended []endedRun
	next  int
}

type endedRun struct {
	at   time.Time
	took time.Duration
}

// Run is a request that is running.
type Run struct {
	kind    *kindDurations
	beganAt time.Time
}

// NewDurations returns an empty record.
func NewDurations() *Durations { return &Durations{kinds: map[string]*kindDurations{}} }

// Begin records the beginning of a request.
func (d *Durations) Begin(kind string, now time.Time) *Run {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.prune(now)
	k := d.kind(kind, now)
	run := &Run{kind: k, beganAt: now}
	k.running[run] = struct{}{}
	return run
}

// kind returns the durations of a kind, creating them if needed. The caller holds d.mu.
func (d *Durations) kind(name string, now time.Time) *kindDurations {
	k := d.kinds[name]
	if k == nil {
		k = &kindDurations{firstAt: now, running: map[*Run]struct{}{}}
		d.kinds[name] = k
	}
	return k
}

// Record records a request that has ended, without its beginning.
func (d *Durations) Record(kind string, now time.Time, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.prune(now)
	d.kind(kind, now).record(endedRun{at: now, took: took})
}

// End records the end of a request. Its duration counts unless it was refused.
func (d *Durations) End(run *Run, now time.Time, counts bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := run.kind
	delete(k.running, run)
	if !counts {
		return
	}
	k.record(endedRun{at: now, took: now.Sub(run.beganAt)})
}

func (k *kindDurations) record(ended endedRun) {
	if len(k.ended) < maxEnded {
		k.ended = append(k.ended, ended)
		return
	}
	k.ended[k.next] = ended
	k.next = (k.next + 1) % maxEnded
}

// Recent describes the recent requests of a kind.
func (d *Durations) Recent(kind string, now time.Time) Recent {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := d.kinds[kind]
	if k == nil {
		return Recent{}
	}
	var running []time.Duration
	for run := range k.running {
		running = append(running, now.Sub(run.beganAt))
	}
	slices.Sort(running)
	return Recent{Usual: max(percentile(k.sorted(now), usualPercent), percentile(running, usualPercent)), ObservedFor: now.Sub(k.firstAt)}
}

// Completed returns the durations that nearly all, and half, of the recent ended requests of a kind don't
// exceed, or 0 if there are none.
func (d *Durations) Completed(kind string, now time.Time) (usual, typical time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := d.kinds[kind]
	if k == nil {
		return 0, 0
	}
	ended := k.sorted(now)
	return percentile(ended, usualPercent), percentile(ended, typicalPercent)
}

// sorted returns the durations of the recent ended requests in ascending order.
func (k *kindDurations) sorted(now time.Time) []time.Duration {
	var ended []time.Duration
	for _, e := range k.ended {
		if now.Sub(e.at) <= maxAge {
			ended = append(ended, e.took)
		}
	}
	slices.Sort(ended)
	return ended
}

// percentile returns the duration that a percentage of the sorted durations don't exceed, or 0 if there
// are none.
func percentile(sorted []time.Duration, percentage int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	const percent = 100
	return sorted[(len(sorted)*percentage+percent-1)/percent-1]
}

// prune forgets the kinds that have had no request for maxAge. The caller holds d.mu.
func (d *Durations) prune(now time.Time) {
	if now.Sub(d.prunedAt) < maxAge {
		return
	}
	d.prunedAt = now
	for name, k := range d.kinds {
		recent := func(e endedRun) bool { return now.Sub(e.at) <= maxAge }
		if len(k.running) == 0 && !slices.ContainsFunc(k.ended, recent) {
			delete(d.kinds, name)
		}
	}
}
