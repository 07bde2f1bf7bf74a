package replica

import "github.com/cespare/xxhash/v2"

const (
	// LogReaders is the number of entries per availability zone that read the log directly. The
	// others read from these, so that the load of the log doesn't grow with the fleet.
	LogReaders = 2
	// treeFanout is the maximum number of entries that read from one entry, so that no entry's
	// load grows with the fleet either. Agents come in addition.
	treeFanout = 4
)

// Parent returns the index of the entry that the entry at an index of its zone's list reads from,
// and false for entries that read the log.
func Parent(index int) (int, bool) {
	if index < LogReaders {
		return 0, false
	}
	return (index - LogReaders) / treeFanout, true
}

// RotateByName returns the items rotated by a hash of the name, so that daemons with the same list
// start with different items.
func RotateByName[T any](items []T, name string) []T {
	if len(items) == 0 {
		return nil
	}
	start := int(xxhash.Sum64String(name) % uint64(len(items)))
	return append(append([]T(nil), items[start:]...), items[:start]...)
}
