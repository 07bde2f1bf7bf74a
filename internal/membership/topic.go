// Package membership keeps a daemon's copy of the operators' configuration and
// of the backend servers' registrations. It follows the platform's store, and
// asks other daemons when the store can't be reached.
package membership

import (
	"maps"

	"github.com/crowbridge/crowbridge/internal/storelog"
)

// Record is the newest record of a key. An empty value says that the key was
// deleted.
type Record struct {
	Key      string
	Value    []byte
	Position storelog.Position
	// Unreadable says why the record can't be read, where it can't: other writers may have
	// left it. It names nothing, not even its key.
	Unreadable string
}

// topic is the newest record of each key of one topic. Invariants: next never falls, a
// key's record never gives way to an older one, and all records are of the era of next.
// Deleted keys stay, so that they can be propagated.
type topic struct {
	next    storelog.Position
	records map[string]Record
	// changed is where each key last changed by more than a heartbeat.
	// Only such changes are propagated to other daemons.
	changed map[string]storelog.Position
	// base is the position up to which only the newest of each key was read: deletions
	// before it aren't among the records.
	snapshotNext storelog.Position
}

func newTopic() *topic {
	return &topic{
		next: storelog.Unknown, records: map[string]Record{}, changed: map[string]storelog.Position{}, snapshotNext: storelog.Unknown,
	}
}

// take takes in records up to the position next. It returns the keys that have a
// newer record; markChanged says which of these are to be propagated.
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

// replace takes in the newest record of every key: keys that are missing were
// deleted before the position next. It's the only way into another era of the store.
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

// markChanged notes that a key's newest record is more than a heartbeat.
func (t *topic) markChanged(key string) { t.changed[key] = t.records[key].Position }

// propagateOnly makes the topic propagate the keys of some records only. What an older copy of
// the store lacks isn't known to have been deleted: each daemon judges that by itself.
func (t *topic) limitPropagation(records []Record) {
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Key] = true
	}
	maps.DeleteFunc(t.changed, func(key string, _ storelog.Position) bool { return !listed[key] })
}

// since returns the newest records of the keys that changed from a position on.
func (t *topic) changedSince(from storelog.Position) []Record {
	var found []Record
	for key, changed := range t.changed {
		if changed >= from {
			found = append(found, t.records[key])
		}
	}
	return found
}
