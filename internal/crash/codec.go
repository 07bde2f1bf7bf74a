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
	return &peerrpc.CrashesKnown{Table: position.id, Change: position.change, Hash: det.table.Hash(), PartsHash: det.table.PartsHash()}
}

// Delta returns the evidence that a peer with the given summary lacks.
func (det *Detector) Delta(known *peerrpc.CrashesKnown) *peerrpc.CrashNews {
	from := known.GetChange()
	if known.GetTable() != det.tableID {
		from = 0
	}
	evidence, change := det.table.Since(from)
	delta := Encode(evidence, det.now())
	delta.Table, delta.Change = det.tableID, change
	if known.GetHash() == det.table.Hash() {
		delta.Evidence = nil
	}
	if known.GetPartsHash() == det.table.PartsHash() {
		delta.Parts = nil
	}
	return delta
}

// ApplyDelta merges a peer's response to a pull.
func (det *Detector) ApplyDelta(peer string, delta *peerrpc.CrashNews) {
	if delta == nil {
		return // the peer keeps no evidence
	}
	det.Receive(Decode(delta, det.now()), "peer "+peer)
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
func Encode(evidence []quarantine.Evidence, now time.Time) *peerrpc.CrashNews {
	encoded := &peerrpc.CrashNews{}
	for _, e := range evidence {
		age := now.Sub(e.ExitedAt).Milliseconds()
		if e.Part != nil {
			encoded.Parts = append(encoded.Parts, encodePart(e, age))
			continue
		}
		encoded.Evidence = append(encoded.Evidence, &peerrpc.CrashEvidence{
			Digest: e.Digest[:], Customer: e.Info.Customer, Path: e.Info.Path, Server: e.Server, AgeMs: age, Cleared: e.Cleared,
		})
	}
	return encoded
}

func encodePart(e quarantine.Evidence, ageMs int64) *peerrpc.PartEvidence {
	c := e.Context()
	encoded := &peerrpc.PartEvidence{
		Digest: e.Digest[:], Part: e.Part.ID, Service: e.Part.Service, Server: e.Server, AgeMs: ageMs, Cleared: e.Cleared, Path: e.Info.Path,
		Vouched: c.Vouched, Contrast: c.Contrast, Customer: c.Customer, SeveralCustomers: c.SeveralCustomers,
	}
	if c.Request != (quarantine.Digest{}) {
		encoded.Request = c.Request[:]
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

// news is a message with evidence.
type news interface {
	GetEvidence() []*peerrpc.CrashEvidence
	GetParts() []*peerrpc.PartEvidence
}

// Decode converts messages to evidence. It skips those without a valid digest, part or server.
func Decode(message news, now time.Time) []quarantine.Evidence {
	evidence := make([]quarantine.Evidence, 0, len(message.GetEvidence())+len(message.GetParts()))
	for _, m := range message.GetEvidence() {
		if len(m.GetDigest()) != len(quarantine.Digest{}) || m.GetServer() == "" {
			continue
		}
		evidence = append(evidence, quarantine.Evidence{
			Digest: quarantine.Digest(m.GetDigest()), Info: quarantine.RequestInfo{Customer: m.GetCustomer(), Path: m.GetPath()}, Server: m.GetServer(), Cleared: m.GetCleared(),
			ExitedAt: now.Add(-age(m.GetAgeMs())),
		})
	}
	for _, m := range message.GetParts() {
		if e, valid := decodePart(m, now); valid {
			evidence = append(evidence, e)
		}
	}
	return evidence
}

func decodePart(m *peerrpc.PartEvidence, now time.Time) (e quarantine.Evidence, valid bool) {
	if len(m.GetDigest()) != len(quarantine.Digest{}) || m.GetServer() == "" || m.GetPart() == "" || len(m.GetPart()) > quarantine.MaxPartIDBytes {
		return e, false
	}
	d := quarantine.Digest(m.GetDigest())
	context := quarantine.PartContext{
		Vouched: m.GetVouched(), Contrast: m.GetContrast(), Customer: m.GetCustomer(), SeveralCustomers: m.GetSeveralCustomers(),
	}
	if len(m.GetRequest()) == len(quarantine.Digest{}) {
		context.Request = quarantine.Digest(m.GetRequest())
	}
	return quarantine.Evidence{
		Digest: d, Info: quarantine.RequestInfo{Customer: m.GetCustomer(), Path: m.GetPath()}, Server: m.GetServer(), Cleared: m.GetCleared(),
		ExitedAt: now.Add(-age(m.GetAgeMs())), Part: &quarantine.Part{Digest: d, Service: m.GetService(), ID: m.GetPart()},
	}.WithContext(context), true
}
