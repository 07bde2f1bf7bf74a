package crash

import (
	"time"

	"github.com/crowbridge/crowbridge/internal/peerrpc"
	"github.com/crowbridge/crowbridge/internal/quarantine"
)

// peerPosition is the position up to which a peer's table was received.
type peerPosition struct {
	id     uint64
	change int64
}

// Digest returns a summary of the local evidence for a pull from the peer.
func (det *Detector) Digest(peer string) *peerrpc.CrashesKnown {
	det.mu.Lock()
	defer det.mu.Unlock()
	position := det.peers[peer]
	return &peerrpc.CrashesKnown{Table: position.id, Change: position.change, Hash: det.table.Hash()}
}

// Delta returns the evidence that a peer with the given summary lacks.
func (det *Detector) Delta(known *peerrpc.CrashesKnown) *peerrpc.CrashNews {
	from := known.GetChange()
	if known.GetTable() != det.tableID {
		from = 0
	}
	evidence, change := det.table.Since(from)
	if known.GetHash() == det.table.Hash() {
		evidence = nil
	}
	return &peerrpc.CrashNews{Table: det.tableID, Change: change, Evidence: Encode(evidence, det.now())}
}

// ApplyDelta merges a peer's response to a pull.
func (det *Detector) ApplyDelta(peer string, delta *peerrpc.CrashNews) {
	if delta == nil {
		return // the peer keeps no evidence
	}
	det.Receive(Decode(delta.GetEvidence(), det.now()), "peer "+peer)
	det.mu.Lock()
	defer det.mu.Unlock()
	det.peers[peer] = peerPosition{id: delta.GetTable(), change: delta.GetChange()}
}

// RetainPeers drops the positions of all peers but the listed ones.
func (det *Detector) RetainPeers(peers []string) {
	det.mu.Lock()
	defer det.mu.Unlock()
	retained := make(map[string]peerPosition, len(peers))
	for _, peer := range peers {
		if position, ok := det.peers[peer]; ok {
			retained[peer] = position
		}
	}
	det.peers = retained
}

// Encode converts evidence to messages. They carry ages instead of times, because clocks
// differ.
func Encode(evidence []quarantine.Evidence, now time.Time) []*peerrpc.CrashEvidence {
	encoded := make([]*peerrpc.CrashEvidence, 0, len(evidence))
	for _, e := range evidence {
		encoded = append(encoded, &peerrpc.CrashEvidence{
			Digest: e.Digest[:], Customer: e.Info.Customer, Path: e.Info.Path, Server: e.Server, AgeMs: now.Sub(e.ExitedAt).Milliseconds(), Cleared: e.Cleared,
		})
	}
	return encoded
}

// maxAge bounds received ages. Tables drop evidence older than a day.
const maxAge = 48 * time.Hour

// age converts milliseconds to a duration within [0, maxAge], since an overflow would give a
// time in the future.
func age(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxAge.Milliseconds())) * time.Millisecond
}

// Decode converts messages to evidence. It skips messages without a valid digest or server.
func Decode(messages []*peerrpc.CrashEvidence, now time.Time) []quarantine.Evidence {
	evidence := make([]quarantine.Evidence, 0, len(messages))
	for _, m := range messages {
		if len(m.GetDigest()) != len(quarantine.Digest{}) || m.GetServer() == "" {
			continue
		}
		evidence = append(evidence, quarantine.Evidence{
			Digest: quarantine.Digest(m.GetDigest()), Info: quarantine.RequestInfo{Customer: m.GetCustomer(), Path: m.GetPath()}, Server: m.GetServer(), Cleared: m.GetCleared(),
			ExitedAt: now.Add(-age(m.GetAgeMs())),
		})
	}
	return evidence
}
