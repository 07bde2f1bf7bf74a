// Package membership keeps a daemon's copy of the operators' configuration and
// of the backend servers' registrations. It follows the platform's store, and
// asks other daemons when the store can't be reached.
package membership

// Record is the newest record of a key. An empty value says that the key was
// deleted.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
	// Unreadable says why the record can't be read, where it can't: other writers may have
	// left it. It names nothing, not even its key.
	Unreadable string
}

// unknown is the offset of a topic of which nothing is known.
const unknown = -1

// topic is the newest record of each key of one topic. Invariant: next never
// falls, and a key's record never gives way to an older one. Deleted keys stay,
// so that they can be propagated.
type topic struct {
	next    int64
	records map[string]Record
	// changed is the offset at which each key last changed by more than a heartbeat.
	// Only such changes are propagated to other daemons.
	changed map[string]int64
	// base is the offset up to which only the newest of each key was read: deletions
	// before it aren't among the records.
	base int64
}

func newTopic() *topic {
	return &topic{next: unknown, records: map[string]Record{}, changed: map[string]int64{}, base: unknown}
}

// take takes in records up to the offset next. It returns the keys that have a
// newer record; markChanged says which of these are to be propagated.
func (t *topic) take(records []Record, next int64) []string {
	var changed []string
	for _, r := range records {
		if old, known := t.records[r.Key]; known && old.Offset >= r.Offset {
			continue
		}
		t.records[r.Key] = r
		changed = append(changed, r.Key)
	}
	t.next = max(t.next, next)
	return changed
}

// replace takes in the newest record of every key: keys that are missing were
// deleted before the offset next.
func (t *topic) replace(records []Record, next int64) []string {
	present := make(map[string]bool, len(records))
	for _, r := range records {
		present[r.Key] = true
	}
	for key, r := range t.records {
		if !present[key] && len(r.Value) > 0 && r.Offset < next {
			records = append(records, Record{Key: key, Offset: next - 1})
		}
	}
	t.base = max(t.base, next)
	return t.take(records, next)
}

// markChanged notes that a key's newest record is more than a heartbeat.
func (t *topic) markChanged(key string) { t.changed[key] = t.records[key].Offset }

// since returns the newest records of the keys that changed from an offset on.
func (t *topic) since(offset int64) []Record {
	var found []Record
	for key, changed := range t.changed {
		if changed >= offset {
			found = append(found, t.records[key])
		}
	}
	return found
}
