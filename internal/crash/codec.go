package crash

import (
	"time"

	"github.com/crowbridge/crowbridge/internal/peerrpc"
	"github.com/crowbridge/crowbridge/internal/quarantine"
)

// peerTable is up to where another daemon's table is known.
type peerTable struct {
	id     uint64
	change int64
}

// Digest says what this daemon knows, for a question to another at an address.
func (w *Detector) Digest(peer string) *peerrpc.CrashesKnown {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.peers[peer]
	return &peerrpc.CrashesKnown{Table: known.id, Change: known.change, Hash: w.table.Hash()}
}

// Delta answers such a question.
func (w *Detector) Delta(known *peerrpc.CrashesKnown) *peerrpc.CrashNews {
	from := known.GetChange()
	if known.GetTable() != w.tableID {
		from = 0
	}
	evidence, change := w.table.Since(from)
	if known.GetHash() == w.table.Hash() {
		evidence = nil
	}
	return &peerrpc.CrashNews{Table: w.tableID, Change: change, Evidence: Encode(evidence, w.now())}
}

// Merge takes in the answer of a daemon at an address.
func (w *Detector) ApplyDelta(peer string, news *peerrpc.CrashNews) {
	if news == nil {
		return // a daemon that keeps no table
	}
	w.MergeEvidence(Decode(news.GetEvidence(), w.now()), "peer "+peer)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peers[peer] = peerTable{id: news.GetTable(), change: news.GetChange()}
}

// Forget forgets how far other daemons' tables are known, but for those at some addresses.
func (w *Detector) RetainPeers(but []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	kept := make(map[string]peerTable, len(but))
	for _, peer := range but {
		if known, found := w.peers[peer]; found {
			kept[peer] = known
		}
	}
	w.peers = kept
}

// Encode puts evidence into messages, with ages in place of times: clocks differ.
func Encode(evidence []quarantine.Evidence, now time.Time) []*peerrpc.CrashEvidence {
	encoded := make([]*peerrpc.CrashEvidence, 0, len(evidence))
	for _, e := range evidence {
		encoded = append(encoded, &peerrpc.CrashEvidence{
			Digest: e.Digest[:], Customer: e.Info.Customer, Path: e.Info.Path, Server: e.Server, AgeMs: now.Sub(e.ExitedAt).Milliseconds(), Cleared: e.Cleared,
		})
	}
	return encoded
}

// oldest bounds an age that is told: tables forget what is older than a day.
const oldest = 48 * time.Hour

// age reads one in milliseconds, within bounds: too large a number of them would be a time
// to come.
func age(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), oldest.Milliseconds())) * time.Millisecond
}

// Decode reads such messages, and leaves out what has no digest or server.
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
