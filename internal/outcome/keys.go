package outcome

import (
	"container/list"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Key is a customer's idempotency key. Keys of different customers never match.
type Key struct {
	Customer string
	Value    string
}

// Response is a recorded response, which is replayed for every retry with the key.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Decision is the result of Keys.Begin for a keyed request.
type Decision int

const (
	// DecisionRun permits the start. The caller must end it with Finish, Release or MarkLost.
	DecisionRun Decision = iota
	// DecisionReplay returns the recorded response.
	DecisionReplay
	// DecisionWait means that an earlier request with the key is still running.
	DecisionWait
	// DecisionConflict means that the key was used with another body.
	DecisionConflict
	// DecisionUnresolved means that an earlier start cannot be ruled out.
	DecisionUnresolved
	// DecisionFull means that the table is full. The request did not run.
	DecisionFull
	// DecisionClosed means that the key was never seen and will never run at this agent, so
	// that it may run at the next home.
	DecisionClosed
)

type keyState int

const (
	keyRunning keyState = iota
	keyAnswered
	keyLost // started, response unknown
	keyClosed
)

type keyEntry struct {
	key      Key
	state    keyState
	bodyHash string
	response Response
	ended    time.Time
	done     chan struct{}
}

// KeysOptions configures a Keys table.
type KeysOptions struct {
	// Started is the start of this incarnation by the agent's wall clock. Keys that an earlier
	// incarnation may have seen are not run.
	Started time.Time
	// Window is how long a finished key is kept.
	Window time.Duration
	// Skew bounds the difference between the clocks of any two VMs, and how far a key's
	// timestamp may be ahead of the clock of the entry that accepted it.
	Skew time.Duration
	// MaxKeys and MaxBytes bound the memory.
	MaxKeys  int
	MaxBytes int
}

// Keys is an agent's table of idempotency keys. It decides whether a keyed request may start.
//
// Invariant: after Begin returned DecisionRun for a key, and unless Release was called for it,
// neither this table nor, for timed keys, the table of a later incarnation returns DecisionRun
// for it again. An untimed key is covered while its entry is kept; after a restart it is not
// run until Window has passed.
//
// It is not safe for concurrent use.
type Keys struct {
	options KeysOptions
	entries map[Key]*keyEntry
	ended   *list.List // finished entries, oldest first
	bytes   int

	unresolvedBefore time.Time // keys with an earlier timestamp may have been dropped
	homesChangedAt   time.Time // time of the last change of homes
	recorded         bool
	sealed           bool
	previous         *Handover
}

// Handover is the knowledge of an incarnation that ended in a planned stop. It is valid only
// if no other incarnation ran in between.
type Handover struct {
	// CoveredFrom is the timestamp from which on all keys are known.
	CoveredFrom time.Time
	// SealedAt is when the incarnation ended.
	SealedAt time.Time
	// CoversUntimed is set if all untimed keys are known as well.
	CoversUntimed bool
	// Seen are the hashes of the keys that may have run.
	Seen map[uint64]bool
}

// UnrecordedDelay is how long an incarnation that could not record its start in the log waits
// before it starts keyed requests. A recorded incarnation may therefore rely on a younger
// handover: an unrecorded incarnation in between has started nothing yet.
const UnrecordedDelay = 60 * time.Second

// SetWindow sets the window and the clock skew. Keys dropped under a shorter window remain
// unresolved under a longer one.
func (k *Keys) SetWindow(now time.Time, window, skew time.Duration) {
	k.expire(now)
	if window > k.options.Window {
		k.unresolvedBefore = now.Add(-k.options.Window + skewFactor*max(skew, k.options.Skew))
	}
	k.options.Window, k.options.Skew = window, skew
}

// MarkHomesChanged records the time, by the log's clock, of the last change of the service's
// homes: older keys may have run at another home.
func (k *Keys) MarkHomesChanged(at time.Time) { k.homesChangedAt = at }

// Has reports whether the table has an entry for a key.
func (k *Keys) Has(key Key) bool { return k.entries[key] != nil }

// MarkRecorded records that this incarnation is recorded in the log. previous is the handover of
// the previous one, or nil if that did not end in a planned stop; an old one is ignored.
func (k *Keys) MarkRecorded(previous *Handover) {
	k.recorded = true
	if previous == nil {
		return
	}
	gap := k.options.Started.Sub(previous.SealedAt)
	if gap < UnrecordedDelay-skewFactor*k.options.Skew {
		k.previous = previous
	}
}

// Hash identifies a key in a handover.
func (key Key) Hash() uint64 { return xxhash.Sum64String(key.Customer + "\x00" + key.Value) }

// Seal closes the table: no further requests are started. It returns the handover for the next
// incarnation, or nil if this one is not recorded or has too many keys.
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
	if k.previous != nil {
		handover.CoveredFrom = k.previous.CoveredFrom
		handover.CoversUntimed = handover.CoversUntimed || k.previous.CoversUntimed
		k.mergePreviousKeys(now, handover)
	}
	return handover
}

// mergePreviousKeys adds the keys of the previous handover while its window lasts.
func (k *Keys) mergePreviousKeys(now time.Time, handover *Handover) {
	if now.Sub(k.previous.SealedAt) >= k.options.Window {
		return
	}
	for hash := range k.previous.Seen {
		handover.Seen[hash] = true
	}
}

// maxHandoverKeys bounds the size of a handover in the log.
const maxHandoverKeys = 16384

// NewKeys returns an empty table.
func NewKeys(options KeysOptions) *Keys {
	return &Keys{options: options, entries: map[Key]*keyEntry{}, ended: list.New()}
}

// KeyTime returns the timestamp of a version 7 UUID.
func KeyTime(value string) (time.Time, bool) {
	id, err := uuid.Parse(value)
	if err != nil || id.Version() != timedUUIDVersion {
		return time.Time{}, false
	}
	const millisecondBytes = 6
	var ms int64
	for _, b := range id[:millisecondBytes] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), true
}

const timedUUIDVersion = 7

// Begin decides about a keyed request. The channel, returned with DecisionWait, is closed when
// the running request has ended. If leaving is set, an unseen key is closed instead of run.
func (k *Keys) Begin(now time.Time, key Key, bodyHash string, leaving bool) (Decision, Response, <-chan struct{}) {
	k.expire(now)
	if entry := k.entries[key]; entry != nil {
		return k.decideRepeat(entry, bodyHash)
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
		k.finish(now, entry, keyClosed)
		return DecisionClosed, Response{}, nil
	}
	return DecisionRun, Response{}, nil
}

func (k *Keys) decideRepeat(entry *keyEntry, bodyHash string) (Decision, Response, <-chan struct{}) {
	if entry.bodyHash != bodyHash {
		return DecisionConflict, Response{}, nil
	}
	switch entry.state {
	case keyAnswered:
		return DecisionReplay, entry.response, nil
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

// mayHaveRun reports whether a key without an entry may have started before: in an earlier
// incarnation, or in this one with its entry expired.
//
// The timestamp of a key that an earlier incarnation ran is at most skewFactor*Skew after
// Started: entries refuse keys more than Skew ahead of their clock, and the clocks of the entry
// and of the earlier and the current incarnation differ by at most Skew each.
func (k *Keys) mayHaveRun(now time.Time, key Key) bool {
	if !k.recorded && now.Sub(k.options.Started) < UnrecordedDelay {
		return true
	}
	at, timed := KeyTime(key.Value)
	forgotten := now.Add(-k.options.Window + skewFactor*k.options.Skew)
	if timed && (at.Before(forgotten) || at.Before(k.unresolvedBefore)) {
		return true
	}
	if k.mayHaveMoved(at, timed, now) {
		return true
	}
	if k.previous != nil {
		return k.mayHaveRunInPrevious(at, timed, now, key)
	}
	if !timed {
		return now.Before(k.options.Started.Add(k.options.Window))
	}
	return !at.After(k.options.Started.Add(skewFactor * k.options.Skew))
}

// mayHaveMoved reports whether an unseen key may have belonged to another home before the last
// change.
func (k *Keys) mayHaveMoved(at time.Time, timed bool, now time.Time) bool {
	if k.homesChangedAt.IsZero() {
		return false
	}
	if !timed {
		return now.Before(k.homesChangedAt.Add(k.options.Window))
	}
	return !at.After(k.homesChangedAt.Add(skewFactor * k.options.Skew))
}

// mayHaveRunInPrevious reports whether, according to the previous handover, a key may have run.
func (k *Keys) mayHaveRunInPrevious(at time.Time, timed bool, now time.Time, key Key) bool {
	if k.previous.Seen[key.Hash()] {
		return true
	}
	if !timed {
		return !k.previous.CoversUntimed && now.Before(k.options.Started.Add(k.options.Window))
	}
	return at.Before(k.previous.CoveredFrom)
}

// skewFactor is the number of clock differences between a key's timestamp and the agent's
// clock: caller to entry, entry to agent, and earlier to current incarnation.
const skewFactor = 3

// Finish records the response of a started key.
func (k *Keys) Finish(now time.Time, key Key, response Response) {
	entry := k.entries[key]
	if entry == nil || entry.state != keyRunning {
		return
	}
	entry.response = response
	k.bytes += len(response.Body)
	k.finish(now, entry, keyAnswered)
}

// MarkLost records that the response of a started key is unknown.
func (k *Keys) MarkLost(now time.Time, key Key) {
	entry := k.entries[key]
	if entry == nil || entry.state != keyRunning {
		return
	}
	k.finish(now, entry, keyLost)
}

// Release removes a key whose request certainly did not start, so that it may be retried.
func (k *Keys) Release(key Key) {
	entry := k.entries[key]
	if entry == nil || entry.state != keyRunning {
		return
	}
	delete(k.entries, key)
	close(entry.done)
}

func (k *Keys) finish(now time.Time, entry *keyEntry, state keyState) {
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
		k.bytes -= len(entry.response.Body)
	}
}

// Len returns the number of keys.
func (k *Keys) Len() int { return len(k.entries) }
