package routing

// affinity remembers which server last took a prompt prefix. It is a hint: the
// engine may have dropped the prefix, and cache events arrive late or not at
// all. A fixed-size table without chains bounds its memory.
type affinity struct {
	slots []affinitySlot
}

type affinitySlot struct {
	prefix uint64
	server string
}

// affinitySlots is the number of prefixes remembered, a power of two.
const affinitySlots = 1 << 14

func newAffinity() *affinity {
	return &affinity{slots: make([]affinitySlot, affinitySlots)}
}

func (a *affinity) server(prefix uint64) string {
	if prefix == 0 {
		return ""
	}
	slot := a.slots[prefix%affinitySlots]
	if slot.prefix != prefix {
		return ""
	}
	return slot.server
}

func (a *affinity) remember(prefix uint64, server string) {
	if prefix == 0 {
		return
	}
	a.slots[prefix%affinitySlots] = affinitySlot{prefix: prefix, server: server}
}
