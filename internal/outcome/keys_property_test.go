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

// The fixed seed makes CI runs reproducible; -rapid.seed=0 draws a random one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

const (
	testWindow = 100 * time.Second
	testSkew   = 2 * time.Second
)

// keyAt returns a version 7 UUID with a timestamp.
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

// agentModel is one agent over its incarnations, with the true time. Each process reads a
// clock that is off by at most half the skew, so that any two differ by at most the skew.
type agentModel struct {
	trueTime    time.Time
	offset      time.Duration // the current clock's error
	table       *Keys
	started     map[string]int // starts by key
	running     map[string]bool
	keys        []string
	log         agentLog
	incarnation int
	lastRecord  int // number of log records when this incarnation started
	recorded    bool
}

// agentLog holds the agent's record in the log: the last recorded incarnation, and its
// handover after a planned stop.
type agentLog struct {
	records     int
	incarnation int
	handover    *Handover
}

func (m *agentModel) now() time.Time { return m.trueTime.Add(m.offset) }

func (m *agentModel) drawOffset(t *rapid.T, label string) time.Duration {
	half := int(testSkew.Milliseconds() / 2)
	return time.Duration(rapid.IntRange(-half, half).Draw(t, label)) * time.Millisecond
}

// restart begins a new incarnation, after a crash or a planned stop.
func (m *agentModel) restart(t *rapid.T) {
	m.offset = m.drawOffset(t, "clock error")
	m.running = map[string]bool{}
	m.incarnation++
	m.recorded = false
	m.lastRecord = m.log.records
	m.table = NewKeys(KeysOptions{
		Started: m.now(), Window: testWindow, Skew: testSkew, MaxKeys: 1000, MaxBytes: 1 << 20,
	})
}

// recordIncarnation records this incarnation in the log, at once or later.
func (m *agentModel) recordIncarnation(*rapid.T) {
	if m.recorded || m.lastRecord != m.log.records {
		return
	}
	m.recorded = true
	m.log.records++
	m.table.MarkRecorded(m.log.handover)
	m.log.incarnation, m.log.handover = m.incarnation, nil
}

// plannedStop ends the incarnation with a handover, if the log is reachable, and begins
// another.
func (m *agentModel) plannedStop(t *rapid.T) {
	for len(m.running) > 0 {
		m.endOne(t)
	}
	handover := m.table.Seal(m.now())
	if handover != nil && m.log.incarnation == m.incarnation && rapid.Bool().Draw(t, "log reached") {
		m.log.records++
		m.log.handover = handover
	}
	m.advance(t)
	m.restart(t)
}

func (m *agentModel) advance(t *rapid.T) {
	m.trueTime = m.trueTime.Add(time.Duration(rapid.IntRange(0, 30_000).Draw(t, "ms")) * time.Millisecond)
}

// request sends a new key or retries an old one.
func (m *agentModel) request(t *rapid.T) {
	var key string
	if len(m.keys) > 0 && rapid.Bool().Draw(t, "repeat") {
		key = rapid.SampledFrom(m.keys).Draw(t, "key")
	} else {
		key = m.newKey(t)
	}
	id := Key{Customer: "c", Value: key}
	decision, _, _ := m.table.Begin(m.now(), id, "hash", false)
	if decision != DecisionRun {
		return
	}
	m.started[key]++
	if m.started[key] > 1 {
		t.Fatalf("key %s started %d times", key, m.started[key])
	}
	m.running[key] = true
}

// newKey returns a key by a caller's clock, at most the skew ahead of the entry's clock.
func (m *agentModel) newKey(t *rapid.T) string {
	entryClock := m.trueTime.Add(m.drawOffset(t, "entry clock error"))
	caller := entryClock.Add(time.Duration(rapid.IntRange(-200_000, int(testSkew.Milliseconds())).Draw(t, "caller clock")) * time.Millisecond)
	key := keyAt(caller, uint64(len(m.keys)))
	if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
		key = fmt.Sprintf("untimed-%d", len(m.keys))
	}
	m.keys = append(m.keys, key)
	return key
}

func (m *agentModel) endOne(t *rapid.T) {
	for key := range m.running {
		id := Key{Customer: "c", Value: key}
		switch rapid.IntRange(0, 2).Draw(t, "end") {
		case 0:
			m.table.Finish(m.now(), id, Response{Status: 200, Body: []byte(key)})
		case 1:
			m.table.MarkLost(m.now(), id)
		default:
			m.table.Release(id)
			m.started[key] = 0 // certainly not started
		}
		delete(m.running, key)
		return
	}
}

// No timed key may start twice, and no untimed key twice within the window, over restarts that lose
// the table, clock errors, retries and pauses.
func TestKeyStartsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &agentModel{trueTime: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), started: map[string]int{}}
		m.restart(t)
		span := time.Duration(0)
		t.Repeat(map[string]func(*rapid.T){
			"ask": m.request, "ask again": m.request, "end": m.endOne, "restart": m.restart,
			"reach log": m.recordIncarnation, "planned stop": m.plannedStop,
			"wait": func(t *rapid.T) {
				before := m.trueTime
				m.advance(t)
				span += m.trueTime.Sub(before)
				if span > testWindow/2 {
					m.forgetUntimed()
					span = 0
				}
			},
		})
	})
}

// forgetUntimed drops untimed keys from the model.
func (m *agentModel) forgetUntimed() {
	var kept []string
	for _, key := range m.keys {
		if _, timed := KeyTime(key); timed {
			kept = append(kept, key)
		}
	}
	m.keys = kept
}

func TestRepeatGetsRecordedResponse(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	k := NewKeys(KeysOptions{Started: now.Add(-time.Hour), Window: testWindow, Skew: testSkew, MaxKeys: 10, MaxBytes: 100})
	k.MarkRecorded(nil)
	key := Key{Customer: "mine", Value: keyAt(now, 1)}
	otherKey := Key{Customer: "other", Value: key.Value}
	if v, _, _ := k.Begin(now, key, "h", false); v != DecisionRun {
		t.Fatalf("first: %v", v)
	}
	if v, _, done := k.Begin(now, key, "h", false); v != DecisionWait || done == nil {
		t.Fatalf("while running: %v", v)
	}
	if v, _, _ := k.Begin(now, key, "other body", false); v != DecisionConflict {
		t.Fatalf("other body: %v", v)
	}
	if v, _, _ := k.Begin(now, otherKey, "h", false); v != DecisionRun {
		t.Fatalf("same key of another customer: %v", v)
	}
	k.Finish(now, key, Response{Status: 201, Body: []byte("done")})
	if v, a, _ := k.Begin(now.Add(testWindow/2), key, "h", false); v != DecisionReplay || string(a.Body) != "done" {
		t.Fatalf("repeat: %v %q", v, a.Body)
	}
	if v, _, _ := k.Begin(now.Add(2*testWindow), key, "h", false); v != DecisionUnresolved {
		t.Fatalf("after the window: %v", v)
	}
}

// After a planned stop, the next incarnation must start keys that the previous one never saw,
// including those from just before its start, and no others.
func TestPlannedStopHandsOverAllKeys(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	options := KeysOptions{Started: now, Window: testWindow, Skew: testSkew, MaxKeys: 10, MaxBytes: 100}
	first := NewKeys(options)
	first.MarkRecorded(nil)
	now = now.Add(time.Minute)
	seen := Key{Customer: "c", Value: keyAt(now, 1)}
	if v, _, _ := first.Begin(now, seen, "h", false); v != DecisionRun {
		t.Fatalf("first incarnation: %v", v)
	}
	first.MarkLost(now, seen)
	handover := first.Seal(now)
	unseen := Key{Customer: "c", Value: keyAt(now.Add(time.Second), 2)}
	if v, _, _ := first.Begin(now, unseen, "h", false); v != DecisionUnresolved {
		t.Fatalf("sealed table: %v", v)
	}
	options.Started = now.Add(2 * time.Second)
	for _, test := range []struct {
		name     string
		handover *Handover
		recorded bool
		key      Key
		want     Decision
	}{
		{"never seen", handover, true, unseen, DecisionRun},
		{"seen before", handover, true, seen, DecisionUnresolved},
		{"no handover", nil, true, unseen, DecisionUnresolved},
		{"not recorded", nil, false, unseen, DecisionUnresolved},
	} {
		second := NewKeys(options)
		if test.recorded {
			second.MarkRecorded(test.handover)
		}
		if v, _, _ := second.Begin(options.Started, test.key, "h", false); v != test.want {
			t.Errorf("%s: %v, want %v", test.name, v, test.want)
		}
	}
}

// If the log was unreachable for long, an unrecorded incarnation may have started keys since
// the handover.
func TestOldHandoverIsIgnored(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	options := KeysOptions{Started: now, Window: 10 * testWindow, Skew: testSkew, MaxKeys: 10, MaxBytes: 100}
	first := NewKeys(options)
	first.MarkRecorded(nil)
	handover := first.Seal(now.Add(time.Minute))
	options.Started = handover.SealedAt.Add(time.Second)
	unknown := NewKeys(options) // never recorded
	now = options.Started.Add(UnrecordedDelay)
	key := Key{Customer: "c", Value: keyAt(now, 1)}
	if v, _, _ := unknown.Begin(now, key, "h", false); v != DecisionRun {
		t.Fatalf("after UnrecordedDelay: %v", v)
	}
	options.Started = now.Add(time.Second)
	third := NewKeys(options)
	third.MarkRecorded(handover)
	if v, _, _ := third.Begin(options.Started, key, "h", false); v != DecisionUnresolved {
		t.Fatalf("key already run by an unrecorded incarnation: %v", v)
	}
}

// A key dropped under a short window must not run again when the window becomes longer.
func TestLongerWindowDoesNotRevivePrunedKeys(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	k := NewKeys(KeysOptions{Started: now.Add(-time.Hour), Window: testWindow, Skew: testSkew, MaxKeys: 10, MaxBytes: 100})
	k.MarkRecorded(nil)
	key := Key{Value: keyAt(now, 1)}
	k.Begin(now, key, "h", false)
	k.MarkLost(now, key)
	now = now.Add(2 * testWindow)
	k.SetWindow(now, 10*testWindow, testSkew)
	if v, _, _ := k.Begin(now, key, "h", false); v != DecisionUnresolved {
		t.Fatalf("dropped key: %v", v)
	}
	if v, _, _ := k.Begin(now, Key{Value: keyAt(now, 2)}, "h", false); v != DecisionRun {
		t.Fatalf("new key: %v", v)
	}
}

// A key older than the last change of homes may have run at its old home.
func TestMovedKeyIsNotRunAtNewHome(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	k := NewKeys(KeysOptions{Started: now.Add(-time.Hour), Window: testWindow, Skew: testSkew, MaxKeys: 10, MaxBytes: 100})
	k.MarkRecorded(nil)
	seen, moved := Key{Value: keyAt(now, 1)}, Key{Value: keyAt(now, 2)}
	k.Begin(now, seen, "h", false)
	k.Finish(now, seen, Response{Status: 200})
	now = now.Add(time.Second)
	k.MarkHomesChanged(now)
	now = now.Add(skewFactor*testSkew + 2*time.Second)
	recent := Key{Value: keyAt(now, 3)}
	for key, want := range map[Key]Decision{seen: DecisionReplay, moved: DecisionUnresolved, recent: DecisionRun} {
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
		t.Fatalf("closed key: %v", v)
	}
}

func TestFullTableRejectsNewKeys(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	k := NewKeys(KeysOptions{Started: now.Add(-time.Hour), Window: testWindow, Skew: testSkew, MaxKeys: 1, MaxBytes: 100})
	k.Begin(now, Key{Value: keyAt(now, 1)}, "h", false)
	if v, _, _ := k.Begin(now, Key{Value: keyAt(now, 2)}, "h", false); v != DecisionFull {
		t.Fatalf("full: %v", v)
	}
}
