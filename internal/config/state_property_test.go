package config

import (
	"flag"
	"fmt"
	"testing"

	"github.com/crowbridge/crowbridge/internal/storelog"
	"pgregory.net/rapid"
)

// The seed is fixed for reproducible CI runs; -rapid.seed=0 draws a random one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// fakeLog is an append-only log that expires its oldest records.
type fakeLog struct {
	entries []LogEntry
	first   storelog.Position
}

func (l *fakeLog) append(data []byte) {
	at := len(l.entries)
	l.entries = append(l.entries, LogEntry{Position: storelog.Position(at), TimeMs: int64(at), Data: data})
}

func (l *fakeLog) read(after storelog.Position) []LogEntry {
	if after+1 < l.first {
		return nil
	}
	return l.entries[after+1:]
}

// stateMachine is the model that rapid drives: concurrent writers, duplicate records, replicas that
// read in batches or restart from a persisted state or a peer's, and a log that expires records.
type stateMachine struct {
	log      *fakeLog
	replicas []*State
	// hashes maps each position to the hash of the first replica that reached it.
	hashes map[storelog.Position]string
	// accepted maps each command to the result at the first replica that applied it.
	accepted map[string]bool
	commands int
	// savedSnapshot is the newest persisted state, savedPosition its position.
	savedSnapshot []byte
	savedPosition storelog.Position
}

func mustEncode(t *rapid.T, r *Record) []byte {
	data, err := r.Encode()
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	return data
}

func (m *stateMachine) write(t *rapid.T) {
	replica := rapid.SampledFrom(m.replicas).Draw(t, "writer")
	name := fmt.Sprintf("c%d", rapid.IntRange(0, 2).Draw(t, "object"))
	m.commands++
	change := Change{Kind: KindCustomer, Name: name, ExpectedRevision: AnyRevision}
	if rapid.IntRange(0, 9).Draw(t, "deletes") > 0 {
		change.Object = &Object{Kind: KindCustomer, Name: name, Customer: &Customer{Weight: rapid.IntRange(-1, 5).Draw(t, "weight")}}
	}
	if rapid.Bool().Draw(t, "checks revision") {
		change.ExpectedRevision = 0
		if current := replica.Objects[string(KindCustomer)+"/"+name]; current != nil {
			change.ExpectedRevision = current.Revision
		}
	}
	bundle := &Bundle{CommandID: fmt.Sprintf("cmd%d", m.commands), Actor: "op", Changes: []Change{change}}
	data := mustEncode(t, &Record{Format: FormatVersion, Kind: RecordChange, Bundle: bundle})
	// A writer that gets no response appends again.
	for range rapid.IntRange(1, 3).Draw(t, "appends") {
		m.log.append(data)
	}
}

func (m *stateMachine) writeUnknown(t *rapid.T) {
	m.log.append([]byte(rapid.SampledFrom([]string{"", "{", `{"format":99,"kind":"later"}`, `{"format":1,"kind":"other"}`, `{"format":1,"kind":"change"}`}).Draw(t, "bytes")))
}

// event writes a record that changes only the audit trail.
func (m *stateMachine) event(t *rapid.T) {
	actor := rapid.SampledFrom([]string{"h1", "h2"}).Draw(t, "actor")
	m.log.append(mustEncode(t, &Record{Format: FormatVersion, Kind: RecordEvent, Event: &Event{Actor: actor, Action: AuditMap, Object: "Group/g"}}))
}

func (m *stateMachine) apply(t *rapid.T) {
	replica := rapid.SampledFrom(m.replicas).Draw(t, "replica")
	entries := m.log.read(replica.Position)
	n := rapid.IntRange(0, len(entries)).Draw(t, "records")
	for _, entry := range entries[:n] {
		m.applyOne(t, replica, entry)
	}
	if n > 0 && rapid.Bool().Draw(t, "duplicate") {
		m.applyOne(t, replica, entries[n-1])
	}
}

func (m *stateMachine) applyOne(t *rapid.T, replica *State, entry LogEntry) {
	before := replica.Position
	if err := replica.Apply(entry); err != nil {
		t.Fatalf("apply: %v", err)
	}
	if replica.Position < before {
		t.Fatalf("position decreased from %s to %s", before, replica.Position)
	}
	m.observe(t, replica)
}

// observe checks that replicas at the same position have the same state and that no command is
// accepted by one and rejected by another.
func (m *stateMachine) observe(t *rapid.T, replica *State) {
	hash := replica.Hash()
	if known, ok := m.hashes[replica.Position]; ok && known != hash {
		t.Fatalf("position %s has two states", replica.Position)
	}
	m.hashes[replica.Position] = hash
	for command, result := range replica.Results {
		if known, ok := m.accepted[command]; ok && known != result.Accepted {
			t.Fatalf("%s changed from accepted=%t to accepted=%t", command, known, result.Accepted)
		}
		m.accepted[command] = result.Accepted
	}
}

func (m *stateMachine) saveSnapshot(t *rapid.T) {
	replica := rapid.SampledFrom(m.replicas).Draw(t, "writer")
	data, err := replica.EncodeSnapshot()
	if err != nil {
		t.Fatalf("snapshot: %v", err)
	}
	if replica.Position > m.savedPosition {
		m.savedSnapshot, m.savedPosition = data, replica.Position
	}
}

func (m *stateMachine) truncateLog(t *rapid.T) {
	m.log.first = min(m.log.first+storelog.Position(rapid.IntRange(0, 8).Draw(t, "expired records")), storelog.Position(len(m.log.entries)))
}

// replace restarts a replica on a new VM, from the persisted state if the log continues it,
// otherwise from a peer's state.
func (m *stateMachine) replace(t *rapid.T) {
	i := rapid.IntRange(0, len(m.replicas)-1).Draw(t, "replica")
	var fresh *State
	switch {
	case m.log.first == 0:
		fresh = NewState()
	case m.savedSnapshot != nil && m.savedPosition+1 >= m.log.first:
		var err error
		if fresh, err = DecodeSnapshot(m.savedSnapshot); err != nil {
			t.Fatalf("decode: %v", err)
		}
	default:
		data, err := m.replicas[(i+1)%len(m.replicas)].EncodeSnapshot()
		if err != nil {
			t.Fatalf("encode: %v", err)
		}
		if fresh, err = DecodeSnapshot(data); err != nil {
			t.Fatalf("decode: %v", err)
		}
	}
	m.replicas[i] = fresh
	if fresh.Position != storelog.Unknown {
		m.observe(t, fresh)
	}
}

// installPeerState makes a replica install the newer state of a peer.
func (m *stateMachine) installPeerState(t *rapid.T) {
	i := rapid.IntRange(0, len(m.replicas)-1).Draw(t, "replica")
	peer := m.replicas[rapid.IntRange(0, len(m.replicas)-1).Draw(t, "peer")]
	if peer.Position <= m.replicas[i].Position {
		return
	}
	data, err := peer.EncodeSnapshot()
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	if m.replicas[i], err = DecodeSnapshot(data); err != nil {
		t.Fatalf("decode: %v", err)
	}
}

// TestReplicasAgreeOnStateAtSamePosition guards against replicas that differ at the same position,
// results that change and commands that take effect twice.
func TestReplicasAgreeOnStateAtSamePosition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &stateMachine{log: &fakeLog{}, hashes: map[storelog.Position]string{}, accepted: map[string]bool{}, savedPosition: storelog.Unknown}
		for range 4 {
			m.replicas = append(m.replicas, NewState())
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": m.write, "write unknown": m.writeUnknown, "event": m.event, "fetch and apply": m.apply,
			"snapshot": m.saveSnapshot, "gc log": m.truncateLog, "replace": m.replace, "install peer state": m.installPeerState,
		})
		m.checkObjects(t)
	})
}

// checkObjects checks that each current object was set by an accepted change, at the first record
// of its command, and that the audit trail is intact.
func (m *stateMachine) checkObjects(t *rapid.T) {
	reference := NewState()
	for _, entry := range m.log.entries {
		m.applyOne(t, reference, entry)
	}
	for id, object := range reference.Objects {
		data := m.log.entries[object.Revision-1].Data
		record, err := DecodeRecord(data)
		if err != nil || record.Bundle == nil || !reference.Results[record.Bundle.CommandID].Accepted {
			t.Fatalf("%s was set by a change that was not accepted", id)
		}
		if first := reference.Results[record.Bundle.CommandID].Offset; first != object.Revision-1 {
			t.Fatalf("%s was set again at offset %d by a command already applied at %d", id, object.Revision-1, first)
		}
	}
	if err := VerifyAudit(reference.Audit); err != nil {
		t.Fatal(err)
	}
}
