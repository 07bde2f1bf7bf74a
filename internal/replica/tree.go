package replica

import "github.com/cespare/xxhash/v2"

const (
	// LogReaders is how many entries of an availability zone read the log
	// themselves; the others read from them, so that the log's load doesn't grow
	// with the fleet.
	LogReaders = 2
	// treeFanout is how many entries read from one, so that no entry's load grows
	// with the fleet either. Agents come on top.
	treeFanout = 4
)

// Parent returns the place of the entry that the entry at a place of its zone's
// list reads from, and false for those that read the log.
func Parent(index int) (int, bool) {
	if index < LogReaders {
		return 0, false
	}
	return (index - LogReaders) / treeFanout, true
}

// RotateByName returns the items beginning at a place that a name's hash chooses, so
// that many daemons with the same list don't all begin with the same one.
func RotateByName[T any](items []T, name string) []T {
	if len(items) == 0 {
		return nil
	}
	start := int(xxhash.Sum64String(name) % uint64(len(items)))
	return append(append([]T(nil), items[start:]...), items[:start]...)
}
