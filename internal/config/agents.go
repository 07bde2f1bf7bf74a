package config

import (
	"encoding/binary"
	"maps"
)

// AgentEvent is a record of the agent of a backend server: the start of a run, or its end by a
// planned stop, with the idempotency keys that the agent knew.
type AgentEvent struct {
	Server      string `json:"server"`
	Incarnation string `json:"incarnation"`
	// Previous is the offset of the last record of the server's agent that this run had seen at its
	// start, or NoOffset.
	Previous int64 `json:"previous"`
	// Handover is set if the run has ended and will execute no more requests.
	Handover *Handover `json:"handover,omitempty"`
}

// Handover holds what an agent knew about idempotency keys at a planned stop.
type Handover struct {
	// SealedMs is the time of the stop, and CoveredFromMs the time since which the agent knew all
	// new keys. Both are in Unix milliseconds by the agent's clock.
	SealedMs      int64 `json:"sealedMs"`
	CoveredFromMs int64 `json:"coveredFromMs"`
	// Untimed is set if the agent also knew all keys without a timestamp that are still in their
	// window.
	Untimed bool `json:"untimed,omitempty"`
	// Seen holds the hashes of the keys whose requests may have been executed, eight bytes each.
	Seen []byte `json:"seen,omitempty"`
}

const hashSize = 8

// PackHashes encodes hashes for Handover.Seen.
func PackHashes(hashes []uint64) []byte {
	packed := make([]byte, 0, hashSize*len(hashes))
	for _, hash := range hashes {
		packed = binary.LittleEndian.AppendUint64(packed, hash)
	}
	return packed
}

// Hashes decodes Seen.
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
	// Offset is the offset of the run's last record.
	Offset int64 `json:"offset"`
	// Handover is set from the end of the run until the next one starts.
	Handover *Handover `json:"handover,omitempty"`
	// Inherited is the handover of the previous run to this one.
	Inherited *Handover `json:"inherited,omitempty"`
}

// applyAgent accepts the start of a run if it has seen the last record of the server's agent, so
// that at most one run gets a handover, and the end of the current run. It ignores other records.
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
	agents := maps.Clone(s.Agents) // views share the previous map
	agents[event.Server] = next
	s.Agents = agents
}
