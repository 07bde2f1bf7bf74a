package outcome

import (
	"encoding/binary"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"
)

// The seed is fixed, so that CI gives the same verdict every time; -rapid.seed=0
// draws another one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

const (
	testWindow = 100 * time.Second
	testSkew   = 2 * time.Second
)

// keyAt returns a version 7 UUID that carries a time.
func keyAt(at time.Time, n uint64) string {
	var id uuid.UUID
	ms := at.UnixMilli()
	for i := 5; i >= 0; i-- {
		id[i] = byte(ms)
		ms >>= 8
	}
	binary.BigEndian.PutUint64(id[8:], n)
	id[6] = 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}

// home is one agent over its incarnations, with a true time that no process
// knows: each reads a clock that is off by at most half the skew, so that any
// two differ by at most the skew.
type home struct {
	truth   time.Time
	offset  time.Duration // the present agent clock's error
	table   *Keys
	started map[string]int // starts that happened, by key
	running map[string]bool
	keys    []string
	log     agentLog
	run     int
	record  int // the log's last record when this run read it
	known   bool
}

// agentLog is what the log says of the agent's runs: one record each, with the
// handover when the run ended in a planned stop.
type agentLog struct {
	records  int
	run      int
	handover *Handover
}

func (h *home) now() time.Time { return h.truth.Add(h.offset) }

func (h *home) drawOffset(t *rapid.T, label string) time.Duration {
	half := int(testSkew.Milliseconds() / 2)
	return time.Duration(rapid.IntRange(-half, half).Draw(t, label)) * time.Millisecond
}

// restart is a crash, or the end of a planned stop: a new run begins.
func (h *home) restart(t *rapid.T) {
	h.offset = h.drawOffset(t, "clock error")
	h.running = map[string]bool{}
	h.run++
	h.known = false
	h.record = h.log.records
	h.table = NewKeys(KeysOptions{
		Started: h.now(), Window: testWindow, Skew: testSkew, MaxKeys: 1000, MaxBytes: 1 << 20,
	})
}

// reachLog lets a run that isn't on the log record itself, now or much later.
func (h *home) reachLog(*rapid.T) {
	if h.known || h.record != h.log.records {
		return
	}
	h.known = true
	h.log.records++
	h.table.MarkRecorded(h.log.handover)
	h.log.run, h.log.handover = h.run, nil
}

// plannedStop ends the run with a handover, if the log can be reached, and
// begins another.
func (h *home) plannedStop(t *rapid.T) {
	for len(h.running) > 0 {
		h.end(t)
	}
	handover := h.table.Seal(h.now())
	if handover != nil && h.log.run == h.run && rapid.Bool().Draw(t, "log reached") {
		h.log.records++
		h.log.handover = handover
	}
	h.wait(t)
	h.restart(t)
}

func (h *home) wait(t *rapid.T) {
	h.truth = h.truth.Add(time.Duration(rapid.IntRange(0, 30_000).Draw(t, "ms")) * time.Millisecond)
}

// ask sends a new key or repeats an old one.
func (h *home) ask(t *rapid.T) {
	var key string
	if len(h.keys) > 0 && rapid.Bool().Draw(t, "repeat") {
		key = rapid.SampledFrom(h.keys).Draw(t, "key")
	} else {
		key = h.newKey(t)
	}
	id := Key{Customer: "c", Value: key}
	verdict, _, _ := h.table.Begin(h.now(), id, "hash", false)
	if verdict != DecisionRun {
		return
	}
	h.started[key]++
	if h.started[key] > 1 {
		t.Fatalf("key %s started %d times", key, h.started[key])
	}
	h.running[key] = true
}

// newKey makes a key on a caller's clock, which an entry accepted: no more than
// the skew ahead of the entry's own clock.
func (h *home) newKey(t *rapid.T) string {
	entryClock := h.truth.Add(h.drawOffset(t, "entry clock error"))
	caller := entryClock.Add(time.Duration(rapid.IntRange(-200_000, int(testSkew.Milliseconds())).Draw(t, "caller clock")) * time.Millisecond)
	key := keyAt(caller, uint64(len(h.keys)))
	if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
		key = fmt.Sprintf("untimed-%d", len(h.keys))
	}
	h.keys = append(h.keys, key)
	return key
}

func (h *home) end(t *rapid.T) {
	for key := range h.running {
		id := Key{Customer: "c", Value: key}
		switch rapid.IntRange(0, 2).Draw(t, "end") {
		case 0:
			h.table.Finish(h.now(), id, Response{Status: 200, Body: []byte(key)})
		case 1:
			h.table.MarkLost(h.now(), id)
		default:
			h.table.Release(id)
			h.started[key] = 0 // it provably did not start
		}
		delete(h.running, key)
		return
	}
}

// TestKeyStartsAtMostOnce: over restarts that lose the table, wrong clocks,
// repeats and pauses, a timed key starts at most once. An untimed key is
// promised this for the window only, so the model forgets it afterwards.
func TestKeyStartsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &home{truth: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), started: map[string]int{}}
		h.restart(t)
		span := time.Duration(0)
		t.Repeat(map[string]func(*rapid.T){
			"ask": h.ask, "ask again": h.ask, "end": h.end, "restart": h.restart,
			"reach log": h.reachLog, "planned stop": h.plannedStop,
			"wait": func(t *rapid.T) {
				before := h.truth
				h.wait(t)
				span += h.truth.Sub(before)
				if span > testWindow/2 {
					h.forgetUntimed()
					span = 0
				}
			},
		})
	})
}

// forgetUntimed drops untimed keys from the model; the table is asked about
// them no more.
func (h *home) forgetUntimed() {
	var kept []string
	for _, key := range h.keys {
		if _, timed := KeyTime(key); timed {
			kept = append(kept, key)
		}
	}
	h.keys = kept
}

func TestRepeatGetsTheRecordedAnswer(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	k := NewKeys(KeysOptions{Started: now.Add(-time.Hour), Window: testWindow, Skew: testSkew, MaxKeys: 10, MaxBytes: 100})
	k.MarkRecorded(nil)
	mine := Key{Customer: "mine", Value: keyAt(now, 1)}
	other := Key{Customer: "other", Value: mine.Value}
	if v, _, _ := k.Begin(now, mine, "h", false); v != DecisionRun {
		t.Fatalf("first: %v", v)
	}
	if v, _, done := k.Begin(now, mine, "h", false); v != DecisionWait || done == nil {
		t.Fatalf("while running: %v", v)
	}
	if v, _, _ := k.Begin(now, mine, "other body", false); v != DecisionConflict {
		t.Fatalf("other body: %v", v)
	}
	if v, _, _ := k.Begin(now, other, "h", false); v != DecisionRun {
		t.Fatalf("another customer's equal key: %v", v)
	}
	k.Finish(now, mine, Response{Status: 201, Body: []byte("done")})
	if v, a, _ := k.Begin(now.Add(testWindow/2), mine, "h", false); v != DecisionReplay || string(a.Body) != "done" {
		t.Fatalf("repeat: %v %q", v, a.Body)
	}
	if v, _, _ := k.Begin(now.Add(2*testWindow), mine, "h", false); v != DecisionUnresolved {
		t.Fatalf("after the window: %v", v)
	}
}

// TestPlannedStopIsExact: after a planned stop the next run starts keys that the
// one before never saw, also those made just before it began, and no other.
func TestPlannedStopIsExact(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	options := KeysOptions{Started: now, Window: testWindow, Skew: testSkew, MaxKeys: 10, MaxBytes: 100}
	first := NewKeys(options)
	first.MarkRecorded(nil)
	now = now.Add(time.Minute)
	seen := Key{Customer: "c", Value: keyAt(now, 1)}
	if v, _, _ := first.Begin(now, seen, "h", false); v != DecisionRun {
		t.Fatalf("first run: %v", v)
	}
	first.MarkLost(now, seen)
	handover := first.Seal(now)
	between := Key{Customer: "c", Value: keyAt(now.Add(time.Second), 2)}
	if v, _, _ := first.Begin(now, between, "h", false); v != DecisionUnresolved {
		t.Fatalf("a sealed table: %v", v)
	}
	options.Started = now.Add(2 * time.Second)
	for _, test := range []struct {
		name      string
		inherited *Handover
		recorded  bool
		key       Key
		want      Decision
	}{
		{"never seen", handover, true, between, DecisionRun},
		{"seen before", handover, true, seen, DecisionUnresolved},
		{"no handover", nil, true, between, DecisionUnresolved},
		{"not on the log", nil, false, between, DecisionUnresolved},
	} {
		second := NewKeys(options)
		if test.recorded {
			second.MarkRecorded(test.inherited)
		}
		if v, _, _ := second.Begin(options.Started, test.key, "h", false); v != test.want {
			t.Errorf("%s: %v, want %v", test.name, v, test.want)
		}
	}
}

// TestOldHandoverIsNotTheLastWord: when the log was away for long, a run that it
// doesn't know of may have started keys since the handover.
func TestOldHandoverIsNotTheLastWord(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	options := KeysOptions{Started: now, Window: 10 * testWindow, Skew: testSkew, MaxKeys: 10, MaxBytes: 100}
	first := NewKeys(options)
	first.MarkRecorded(nil)
	handover := first.Seal(now.Add(time.Minute))
	options.Started = handover.SealedAt.Add(time.Second)
	unknown := NewKeys(options) // never gets onto the log
	now = options.Started.Add(UnrecordedDelay)
	key := Key{Customer: "c", Value: keyAt(now, 1)}
	if v, _, _ := unknown.Begin(now, key, "h", false); v != DecisionRun {
		t.Fatalf("a run that waited long enough: %v", v)
	}
	options.Started = now.Add(time.Second)
	third := NewKeys(options)
	third.MarkRecorded(handover)
	if v, _, _ := third.Begin(options.Started, key, "h", false); v != DecisionUnresolved {
		t.Fatalf("the key ran meanwhile: %v", v)
	}
}

// TestLongerWindowBringsNothingBack: a key that a short window has let go is not
// run again when the window becomes longer.
func TestLongerWindowBringsNothingBack(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	k := NewKeys(KeysOptions{Started: now.Add(-time.Hour), Window: testWindow, Skew: testSkew, MaxKeys: 10, MaxBytes: 100})
	k.MarkRecorded(nil)
	key := Key{Value: keyAt(now, 1)}
	k.Begin(now, key, "h", false)
	k.MarkLost(now, key)
	now = now.Add(2 * testWindow)
	k.SetWindow(now, 10*testWindow, testSkew)
	if v, _, _ := k.Begin(now, key, "h", false); v != DecisionUnresolved {
		t.Fatalf("a key that was let go: %v", v)
	}
	if v, _, _ := k.Begin(now, Key{Value: keyAt(now, 2)}, "h", false); v != DecisionRun {
		t.Fatalf("a new key: %v", v)
	}
}

// TestMovedKeyIsNotRunAtItsNewHome: a key from before the homes changed may have
// run at its old home.
func TestMovedKeyIsNotRunAtItsNewHome(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	k := NewKeys(KeysOptions{Started: now.Add(-time.Hour), Window: testWindow, Skew: testSkew, MaxKeys: 10, MaxBytes: 100})
	k.MarkRecorded(nil)
	seen, moved := Key{Value: keyAt(now, 1)}, Key{Value: keyAt(now, 2)}
	k.Begin(now, seen, "h", false)
	k.Finish(now, seen, Response{Status: 200})
	now = now.Add(time.Second)
	k.MarkHomesChanged(now)
	now = now.Add(skewFactor*testSkew + 2*time.Second)
	young := Key{Value: keyAt(now, 3)}
	for key, want := range map[Key]Decision{seen: DecisionReplay, moved: DecisionUnresolved, young: DecisionRun} {
		if v, _, _ := k.Begin(now, key, "h", false); v != want {
			t.Errorf("%v: %v, want %v", key, v, want)
		}
	}
}

func TestLeavingClosesUnseenKeys(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	k := NewKeys(KeysOptions{Started: now.Add(-time.Hour), Window: testWindow, Skew: testSkew, MaxKeys: 10, MaxBytes: 100})
	k.MarkRecorded(nil)
	key := Key{Value: keyAt(now, 1)}
	if v, _, _ := k.Begin(now, key, "h", true); v != DecisionClosed {
		t.Fatalf("leaving: %v", v)
	}
	if v, _, _ := k.Begin(now, key, "h", false); v != DecisionClosed {
		t.Fatalf("a closed key must not run here: %v", v)
	}
}

func TestFullTableRefusesInsteadOfForgetting(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	k := NewKeys(KeysOptions{Started: now.Add(-time.Hour), Window: testWindow, Skew: testSkew, MaxKeys: 1, MaxBytes: 100})
	k.Begin(now, Key{Value: keyAt(now, 1)}, "h", false)
	if v, _, _ := k.Begin(now, Key{Value: keyAt(now, 2)}, "h", false); v != DecisionFull {
		t.Fatalf("full: %v", v)
	}
}
