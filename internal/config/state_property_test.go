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

func (w *stateMachine) write(t *rapid.T) {
	replica := rapid.SampledFrom(w.replicas).Draw(t, "writer")
	name := fmt.Sprintf("c%d", rapid.IntRange(0, 2).Draw(t, "object"))
	w.commands++
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
	bundle := &Bundle{CommandID: fmt.Sprintf("cmd%d", w.commands), Actor: "op", Changes: []Change{change}}
	data := mustEncode(t, &Record{Format: FormatVersion, Kind: RecordChange, Bundle: bundle})
	// A writer that gets no response appends again.
	for range rapid.IntRange(1, 3).Draw(t, "appends") {
		w.log.append(data)
	}
}

func (w *stateMachine) writeUnknown(t *rapid.T) {
	w.log.append([]byte(rapid.SampledFrom([]string{"", "{", `{"format":99,"kind":"later"}`, `{"format":1,"kind":"other"}`, `{"format":1,"kind":"change"}`}).Draw(t, "bytes")))
}

// event writes a record that changes only the audit trail.
func (w *stateMachine) event(t *rapid.T) {
	actor := rapid.SampledFrom([]string{"h1", "h2"}).Draw(t, "actor")
	w.log.append(mustEncode(t, &Record{Format: FormatVersion, Kind: RecordEvent, Event: &Event{Actor: actor, Action: AuditMap, Object: "Group/g"}}))
}

func (w *stateMachine) apply(t *rapid.T) {
	replica := rapid.SampledFrom(w.replicas).Draw(t, "replica")
	entries := w.log.read(replica.Position)
	n := rapid.IntRange(0, len(entries)).Draw(t, "records")
	for _, entry := range entries[:n] {
		w.applyOne(t, replica, entry)
	}
	if n > 0 && rapid.Bool().Draw(t, "duplicate") {
		w.applyOne(t, replica, entries[n-1])
	}
}

func (w *stateMachine) applyOne(t *rapid.T, replica *State, entry LogEntry) {
	before := replica.Position
	if err := replica.Apply(entry); err != nil {
		t.Fatalf("apply: %v", err)
	}
	if replica.Position < before {
		t.Fatalf("position decreased from %s to %s", before, replica.Position)
	}
	w.observe(t, replica)
}

// observe checks that replicas at the same position have the same state and that no command is
// accepted by one and rejected by another.
func (w *stateMachine) observe(t *rapid.T, replica *State) {
	hash := replica.Hash()
	if known, ok := w.hashes[replica.Position]; ok && known != hash {
		t.Fatalf("position %s has two states", replica.Position)
	}
	w.hashes[replica.Position] = hash
	for command, result := range replica.Results {
		if known, ok := w.accepted[command]; ok && known != result.Accepted {
			t.Fatalf("%s changed from accepted=%t to accepted=%t", command, known, result.Accepted)
		}
		w.accepted[command] = result.Accepted
	}
}

func (w *stateMachine) saveSnapshot(t *rapid.T) {
	replica := rapid.SampledFrom(w.replicas).Draw(t, "writer")
	data, err := replica.EncodeSnapshot()
	if err != nil {
		t.Fatalf("snapshot: %v", err)
	}
	if replica.Position > w.savedPosition {
		w.savedSnapshot, w.savedPosition = data, replica.Position
	}
}

func (w *stateMachine) truncateLog(t *rapid.T) {
	w.log.first = min(w.log.first+storelog.Position(rapid.IntRange(0, 8).Draw(t, "expired records")), storelog.Position(len(w.log.entries)))
}

// replace restarts a replica on a new VM, from the persisted state if the log continues it,
// otherwise from a peer's state.
func (w *stateMachine) replace(t *rapid.T) {
	i := rapid.IntRange(0, len(w.replicas)-1).Draw(t, "replica")
	var fresh *State
	switch {
	case w.log.first == 0:
		fresh = NewState()
	case w.savedSnapshot != nil && w.savedPosition+1 >= w.log.first:
		var err error
		if fresh, err = DecodeSnapshot(w.savedSnapshot); err != nil {
			t.Fatalf("decode: %v", err)
		}
	default:
		data, err := w.replicas[(i+1)%len(w.replicas)].EncodeSnapshot()
		if err != nil {
			t.Fatalf("encode: %v", err)
		}
		if fresh, err = DecodeSnapshot(data); err != nil {
			t.Fatalf("decode: %v", err)
		}
	}
	w.replicas[i] = fresh
	if fresh.Position != storelog.Unknown {
		w.observe(t, fresh)
	}
}

// installPeerState makes a replica install the newer state of a peer.
func (w *stateMachine) installPeerState(t *rapid.T) {
	i := rapid.IntRange(0, len(w.replicas)-1).Draw(t, "replica")
	peer := w.replicas[rapid.IntRange(0, len(w.replicas)-1).Draw(t, "peer")]
	if peer.Position <= w.replicas[i].Position {
		return
	}
	data, err := peer.EncodeSnapshot()
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	if w.replicas[i], err = DecodeSnapshot(data); err != nil {
		t.Fatalf("decode: %v", err)
	}
}

// TestReplicasAgreeOnStateAtSamePosition checks that replicas have the same state at the same
// position, however they got there, that results don't change, and that each command takes effect
// once.
func TestReplicasAgreeOnStateAtSamePosition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &stateMachine{log: &fakeLog{}, hashes: map[storelog.Position]string{}, accepted: map[string]bool{}, savedPosition: storelog.Unknown}
		for range 4 {
			w.replicas = append(w.replicas, NewState())
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": w.write, "write unknown": w.writeUnknown, "event": w.event, "fetch and apply": w.apply,
			"snapshot": w.saveSnapshot, "gc log": w.truncateLog, "replace": w.replace, "install peer state": w.installPeerState,
		})
		w.checkObjects(t)
	})
}

// checkObjects checks that each current object was set by an accepted change, at the first record
// of its command, and that the audit trail is intact.
func (w *stateMachine) checkObjects(t *rapid.T) {
	reference := NewState()
	for _, entry := range w.log.entries {
		w.applyOne(t, reference, entry)
	}
	for id, object := range reference.Objects {
		data := w.log.entries[object.Revision-1].Data
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
