package outcome

import (
	"container/list"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Key identifies a request across repeats. Two customers' equal keys are
// different Keys, so that neither can read or disturb the other's.
type Key struct {
	Customer string
	Value    string
}

// Answer is a recorded answer, given again to every repeat of its key.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Verdict is what may be done with a keyed request.
type Decision int

// The verdicts of Keys.Begin.
const (
	// VerdictRun permits the start; the caller must end it with Finish, Release or Lose.
	DecisionRun Decision = iota
	// VerdictReplay gives the recorded answer.
	DecisionReplay
	// VerdictWait says that an earlier request with the key is still running.
	DecisionWait
	// VerdictConflict says that the key was used for another body.
	DecisionConflict
	// VerdictUnresolved says that an earlier start can't be ruled out.
	DecisionUnresolved
	// VerdictFull says that no more keys can be kept; the request did not run.
	DecisionFull
	// VerdictClosed says that the key was never seen and will never run here, so
	// that it may run at the next home.
	DecisionClosed
)

type keyState int

const (
	keyRunning keyState = iota
	keyAnswered
	keyLost // started, and its answer is not known
	keyClosed
)

type keyEntry struct {
	key      Key
	state    keyState
	bodyHash string
	answer   Response
	ended    time.Time
	done     chan struct{}
}

// KeysOptions are the limits and times of a Keys table.
type KeysOptions struct {
	// Started is when this agent began, on its wall clock. Keys that may have been
	// seen by an earlier incarnation are not run.
	Started time.Time
	// Window is how long an ended key is kept.
	Window time.Duration
	// Skew bounds how far the clocks of any two VMs differ, and how far a key's
	// own time may be ahead of the entry that accepted it.
	Skew time.Duration
	// MaxKeys and MaxBytes bound memory.
	MaxKeys  int
	MaxBytes int
}

// Keys is the table of idempotency keys at one agent. It decides whether a
// keyed request may start.
//
// Invariant: a key for which Begin returned VerdictRun, and that was not
// released since, never gets VerdictRun again, from this table or, when the key
// carries its time, from the table of a later incarnation. An untimed key is
// covered while its entry is kept, and after a restart not run until Window has
// passed.
//
// Not safe for concurrent use.
type Keys struct {
	options KeysOptions
	entries map[Key]*keyEntry
	ended   *list.List // entries that ended, oldest first
	bytes   int

	floor     time.Time // keys made before may have been forgotten
	homed     time.Time // when the homes of keys changed last
	recorded  bool
	sealed    bool
	inherited *Handover
}

// Inheritance is what the run before this one knew when it ended in a planned
// stop, and that no other run was in between.
type Handover struct {
	// CoveredFrom is the time from which on it knew every key made since.
	CoveredFrom time.Time
	// Sealed is when it ended.
	SealedAt time.Time
	// Untimed is set when it also knew every key without a time.
	CoversUntimed bool
	// Seen are the hashes of the keys that may have run.
	Seen map[uint64]bool
}

// UnrecordedDelay is how long a run that isn't on the log, because that can't be
// reached, waits before it starts keyed requests. A run that is on the log may
// take a handover younger than that for the last word: a run in between that the
// log doesn't know of has started nothing yet.
const UnrecordedDelay = 60 * time.Second

// SetTimes changes the window and the clock skew. A longer window doesn't bring
// back what the shorter one has let go, so keys from before stay unresolved.
func (k *Keys) SetWindow(now time.Time, window, skew time.Duration) {
	k.expire(now)
	if window > k.options.Window {
		k.floor = now.Add(-k.options.Window + skewFactor*max(skew, k.options.Skew))
	}
	k.options.Window, k.options.Skew = window, skew
}

// HomesChanged notes when the homes of the service's keys changed last, by the
// log's clock: keys that are older may have run at another home.
func (k *Keys) MarkHomesChanged(at time.Time) { k.homed = at }

// Knows tells whether the table has an entry for a key.
func (k *Keys) Has(key Key) bool { return k.entries[key] != nil }

// Recorded notes that this run is on the log, and what it inherits; nil when the
// run before it didn't end in a planned stop.
func (k *Keys) MarkRecorded(inherited *Handover) {
	k.recorded = true
	if inherited == nil {
		return
	}
	gap := k.options.Started.Sub(inherited.SealedAt)
	if gap < UnrecordedDelay-skewFactor*k.options.Skew {
		k.inherited = inherited
	}
}

// Hash identifies a key in a handover.
func (key Key) Hash() uint64 { return xxhash.Sum64String(key.Customer + "\x00" + key.Value) }

// Seal ends the table: nothing is started any more. It returns what the next
// run may inherit, or nil when this run isn't on the log or knows too many keys.
func (k *Keys) Seal(now time.Time) *Handover {
	k.expire(now)
	k.sealed = true
	if !k.recorded || len(k.entries) > maxHandoverKeys {
		return nil
	}
	handover := &Handover{
		CoveredFrom:   k.options.Started.Add(skewFactor * k.options.Skew),
		SealedAt:      now,
		CoversUntimed: now.Sub(k.options.Started) >= k.options.Window,
		Seen:          map[uint64]bool{},
	}
	for key := range k.entries {
		handover.Seen[key.Hash()] = true
	}
	if k.inherited != nil {
		handover.CoveredFrom = k.inherited.CoveredFrom
		handover.CoversUntimed = handover.CoversUntimed || k.inherited.CoversUntimed
		k.inheritSeen(now, handover)
	}
	return handover
}

// inheritSeen passes on what this run had inherited, while its window lasts.
func (k *Keys) inheritSeen(now time.Time, handover *Handover) {
	if now.Sub(k.inherited.SealedAt) >= k.options.Window {
		return
	}
	for hash := range k.inherited.Seen {
		handover.Seen[hash] = true
	}
}

// maxHandoverKeys bounds a handover's size on the log.
const maxHandoverKeys = 16384

// NewKeys returns an empty table.
func NewKeys(options KeysOptions) *Keys {
	return &Keys{options: options, entries: map[Key]*keyEntry{}, ended: list.New()}
}

// KeyTime returns the time that a version 7 UUID carries.
func KeyTime(value string) (time.Time, bool) {
	id, err := uuid.Parse(value)
	if err != nil || id.Version() != uuidVersionTimed {
		return time.Time{}, false
	}
	const millisecondBytes = 6
	var ms int64
	for _, b := range id[:millisecondBytes] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

const uuidVersionTimed = 7

// Begin decides about a keyed request at time now. The channel is closed when
// the request that VerdictWait speaks of has ended. With leaving set, a key never
// seen before is closed instead of run.
func (k *Keys) Begin(now time.Time, key Key, bodyHash string, leaving bool) (Decision, Response, <-chan struct{}) {
	k.expire(now)
	if entry := k.entries[key]; entry != nil {
		return k.repeat(entry, bodyHash)
	}
	if k.sealed || k.mayHaveRun(now, key) {
		return DecisionUnresolved, Response{}, nil
	}
	if len(k.entries) >= k.options.MaxKeys || k.bytes >= k.options.MaxBytes {
		return DecisionFull, Response{}, nil
	}
	entry := &keyEntry{key: key, bodyHash: bodyHash, done: make(chan struct{})}
	k.entries[key] = entry
	if leaving {
		k.end(now, entry, keyClosed)
		return DecisionClosed, Response{}, nil
	}
	return DecisionRun, Response{}, nil
}

func (k *Keys) repeat(entry *keyEntry, bodyHash string) (Decision, Response, <-chan struct{}) {
	if entry.bodyHash != bodyHash {
		return DecisionConflict, Response{}, nil
	}
	switch entry.state {
	case keyAnswered:
		return DecisionReplay, entry.answer, nil
	case keyRunning:
		return DecisionWait, Response{}, entry.done
	case keyClosed:
		return DecisionClosed, Response{}, nil
	case keyLost:
		return DecisionUnresolved, Response{}, nil
	default:
		return DecisionUnresolved, Response{}, nil
	}
}

// mayHaveRun tells whether a key without an entry may have started before: at
// an earlier incarnation, or here but long enough ago that its entry is gone.
//
// An earlier incarnation accepted a key at its own time T <= Started (both wall
// clocks, at most Skew apart), and the entry had refused keys more than Skew
// ahead of itself. So every key it can have run carries a time of at most
// Started + 2*Skew, plus one Skew for the clock of the VM that was replaced.
func (k *Keys) mayHaveRun(now time.Time, key Key) bool {
	if !k.recorded && now.Sub(k.options.Started) < UnrecordedDelay {
		return true
	}
	at, timed := KeyTime(key.Value)
	forgotten := now.Add(-k.options.Window + skewFactor*k.options.Skew)
	if timed && (at.Before(forgotten) || at.Before(k.floor)) {
		return true
	}
	if k.mayHaveMoved(at, timed, now) {
		return true
	}
	if k.inherited != nil {
		return k.mayHaveRunBefore(at, timed, now, key)
	}
	if !timed {
		return now.Before(k.options.Started.Add(k.options.Window))
	}
	return !at.After(k.options.Started.Add(skewFactor * k.options.Skew))
}

// mayHaveMoved tells whether a key that was never seen here may have lived at
// another home before the last change.
func (k *Keys) mayHaveMoved(at time.Time, timed bool, now time.Time) bool {
	if k.homed.IsZero() {
		return false
	}
	if !timed {
		return now.Before(k.homed.Add(k.options.Window))
	}
	return !at.After(k.homed.Add(skewFactor * k.options.Skew))
}

// mayHaveRunBefore goes by what the run before handed over.
func (k *Keys) mayHaveRunBefore(at time.Time, timed bool, now time.Time, key Key) bool {
	if k.inherited.Seen[key.Hash()] {
		return true
	}
	if !timed {
		return !k.inherited.CoversUntimed && now.Before(k.options.Started.Add(k.options.Window))
	}
	return at.Before(k.inherited.CoveredFrom)
}

// skewFactor counts the clocks between a key's time and an agent's: the
// caller's against its entry, the entry's against the agent, and an earlier
// incarnation's against the present one.
const skewFactor = 3

// Finish records the answer of a started key.
func (k *Keys) Finish(now time.Time, key Key, answer Response) {
	entry := k.entries[key]
	if entry == nil || entry.state != keyRunning {
		return
	}
	entry.answer = answer
	k.bytes += len(answer.Body)
	k.end(now, entry, keyAnswered)
}

// Lose records that a started key's answer is not known.
func (k *Keys) MarkLost(now time.Time, key Key) {
	entry := k.entries[key]
	if entry == nil || entry.state != keyRunning {
		return
	}
	k.end(now, entry, keyLost)
}

// Release forgets a key whose request provably did not start, so that it may be
// asked again.
func (k *Keys) Release(key Key) {
	entry := k.entries[key]
	if entry == nil || entry.state != keyRunning {
		return
	}
	delete(k.entries, key)
	close(entry.done)
}

func (k *Keys) end(now time.Time, entry *keyEntry, state keyState) {
	entry.state = state
	entry.ended = now
	k.ended.PushBack(entry)
	close(entry.done)
}

func (k *Keys) expire(now time.Time) {
	for front := k.ended.Front(); front != nil; front = k.ended.Front() {
		entry, ok := front.Value.(*keyEntry)
		if !ok || now.Sub(entry.ended) < k.options.Window {
			return
		}
		k.ended.Remove(front)
		delete(k.entries, entry.key)
		k.bytes -= len(entry.answer.Body)
	}
}

// Len returns the number of keys kept.
func (k *Keys) Len() int { return len(k.entries) }
