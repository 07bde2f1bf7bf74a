package routing

// affinity records which server was last picked for a prompt prefix. It is a hint: the
// engine may have evicted the prefix. A fixed-size table, in which collisions overwrite,
// bounds its memory.
type affinity struct {
	entries []affinityEntry
}

type affinityEntry struct {
	prefix uint64
	server string
}

// affinityEntries is the size of the table.
const affinityEntries = 1 << 14

func newAffinity() *affinity {
	return &affinity{entries: make([]affinityEntry, affinityEntries)}
}

func (a *affinity) server(prefix uint64) string {
	if prefix == 0 {
		return ""
	}
	entry := a.entries[prefix%affinityEntries]
	if entry.prefix != prefix {
		return ""
	}
	return entry.server
}

func (a *affinity) remember(prefix uint64, server string) {
	if prefix == 0 {
		return
	}
	a.entries[prefix%affinityEntries] = affinityEntry{prefix: prefix, server: server}
}
