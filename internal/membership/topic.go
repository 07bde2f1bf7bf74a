// Package membership maintains a daemon's copy of the operators' configuration and of the backend
// servers' registrations. It follows the platform's store and pulls from other daemons while the
// store is unreachable.
package membership

import (
	"maps"

	"github.com/crowbridge/crowbridge/internal/storelog"
)

// Record is the newest record of a key. An empty value means that the key was deleted.
type Record struct {
	Key      string
	Value    []byte
	Position storelog.Position
	// Unreadable is the reason why the record can't be decoded. Such a record has no key.
	Unreadable string
}

// topic holds the newest record of each key of a topic. next never decreases, a record is never
// replaced by an older one, and all records belong to the era of next. Deleted keys are kept so
// that deletions propagate.
type topic struct {
	next    storelog.Position
	records map[string]Record
	// changed maps each key to the position of its last change, heartbeats excluded. Only these
	// changes are propagated to peers.
	changed map[string]storelog.Position
	// snapshotNext is the position after the last merged snapshot: deletions before it aren't among
	// the records.
	snapshotNext storelog.Position
}

func newTopic() *topic {
	return &topic{
		next: storelog.Unknown, records: map[string]Record{}, changed: map[string]storelog.Position{}, snapshotNext: storelog.Unknown,
	}
}

// merge adds records up to the position next. It returns the keys with a newer record; the caller
// marks those that must be propagated by markChanged.
func (t *topic) merge(records []Record, next storelog.Position) []string {
	var changed []string
	for _, r := range records {
		if old, known := t.records[r.Key]; known && old.Position >= r.Position {
			continue
		}
		t.records[r.Key] = r
		changed = append(changed, r.Key)
	}
	t.next = max(t.next, next)
	return changed
}

// mergeSnapshot merges the newest record of every key; missing keys were deleted before the
// position next. Only a snapshot can move the topic to another era.
func (t *topic) mergeSnapshot(records []Record, next storelog.Position) []string {
	present := make(map[string]bool, len(records))
	for _, r := range records {
		present[r.Key] = true
	}
	for key, r := range t.records {
		listed := len(r.Value) > 0 || r.Position.Era() < next.Era()
		if !present[key] && listed && r.Position < next {
			records = append(records, Record{Key: key, Position: next - 1})
		}
	}
	t.snapshotNext = max(t.snapshotNext, next)
	return t.merge(records, next)
}

// markChanged marks the newest record of a key for propagation.
func (t *topic) markChanged(key string) { t.changed[key] = t.records[key].Position }

// limitPropagation propagates only the keys of the given records. A key that an older copy of the
// store lacks wasn't necessarily deleted; each daemon decides that on its own.
func (t *topic) limitPropagation(records []Record) {
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Key] = true
	}
	maps.DeleteFunc(t.changed, func(key string, _ storelog.Position) bool { return !listed[key] })
}

// changedSince returns the newest records of the keys that changed from a position on.
func (t *topic) changedSince(from storelog.Position) []Record {
	var found []Record
	for key, changed := range t.changed {
		if changed >= from {
			found = append(found, t.records[key])
		}
	}
	return found
}
