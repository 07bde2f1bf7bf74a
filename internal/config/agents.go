package config

import (
	"encoding/binary"
	"maps"
)

// AgentEvent is a record by the agent of a backend server: that a run of it
// began, or that it ended in a planned stop, with the keys that it knows.
type AgentEvent struct {
	Server      string `json:"server"`
	Incarnation string `json:"incarnation"`
	// Previous is the offset of the last record of the server's agent that this
	// run saw when it began; NoOffset for none.
	Previous int64 `json:"previous"`
	// Handover is set when the run has ended and will start nothing more.
	Handover *Handover `json:"handover,omitempty"`
}

// Handover is what an agent that ended in a planned stop knew about
// idempotency keys.
type Handover struct {
	// SealedMs is when it ended, CoveredFromMs the time from which on it knew of
	// every key made since; both on its wall clock, in Unix milliseconds.
	SealedMs      int64 `json:"sealedMs"`
	CoveredFromMs int64 `json:"coveredFromMs"`
	// Untimed is set when it also knew of every key without a time that is still
	// in its window.
	Untimed bool `json:"untimed,omitempty"`
	// Seen holds the hashes of the keys that may have run, eight bytes each.
	Seen []byte `json:"seen,omitempty"`
}

const hashSize = 8

// PackHashes returns hashes as Handover.Seen holds them.
func PackHashes(hashes []uint64) []byte {
	packed := make([]byte, 0, hashSize*len(hashes))
	for _, hash := range hashes {
		packed = binary.LittleEndian.AppendUint64(packed, hash)
	}
	return packed
}

// Hashes returns the hashes in Seen.
func (h *Handover) Hashes() []uint64 {
	hashes := make([]uint64, 0, len(h.Seen)/hashSize)
	for rest := h.Seen; len(rest) >= hashSize; rest = rest[hashSize:] {
		hashes = append(hashes, binary.LittleEndian.Uint64(rest))
	}
	return hashes
}

// AgentRun is the last recorded run of a server's agent.
type AgentRun struct {
	Incarnation string `json:"incarnation"`
	// Offset of the run's last record.
	Offset int64 `json:"offset"`
	// Handover is set while the run has ended and no other has begun.
	Handover *Handover `json:"handover,omitempty"`
	// Inherited is what the run before handed over to this one.
	Inherited *Handover `json:"inherited,omitempty"`
}

// foldAgent accepts a beginning that saw the last record of the server's agent,
// so that a handover goes to one run at most, and an end of the run that is on.
func (s *State) applyAgent(event *AgentEvent, entry LogEntry) {
	current, known := s.Agents[event.Server]
	last := NoOffset
	if known {
		last = current.Offset
	}
	next := AgentRun{Incarnation: event.Incarnation, Offset: entry.storedOffset()}
	switch {
	case event.Handover == nil && event.Previous == last:
		next.Inherited = current.Handover
	case event.Handover != nil && known && current.Incarnation == event.Incarnation && current.Handover == nil:
		next.Handover = event.Handover
	default:
		return
	}
	agents := maps.Clone(s.Agents) // views share the old one
	agents[event.Server] = next
	s.Agents = agents
}
