package config

import (
	"flag"
	"fmt"
	"testing"

	"github.com/crowbridge/crowbridge/internal/storelog"
	"pgregory.net/rapid"
)

// The seed is fixed, so that CI gives the same verdict every time; -rapid.seed=0
// draws another one.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// fakeLog is an append-only log that loses answers, doubles records and keeps
// only the newest.
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

// world is the state machine that rapid drives: writers race, folders read in
// pieces, restart from kept states or peers, and the log forgets its past.
type stateMachine struct {
	log      *fakeLog
	replicas []*State
	// hashes is the state's hash at each offset, from whoever folded it first.
	hashes map[storelog.Position]string
	// accepted is the verdict of each command, from whoever folded it first.
	accepted map[string]bool
	commands int
	// kept is the newest state on the store, as of an offset.
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
	folder := rapid.SampledFrom(w.replicas).Draw(t, "writer reads from")
	name := fmt.Sprintf("c%d", rapid.IntRange(0, 2).Draw(t, "object"))
	w.commands++
	change := Change{Kind: KindCustomer, Name: name, ExpectedRevision: AnyRevision}
	if rapid.IntRange(0, 9).Draw(t, "deletes") > 0 {
		change.Object = &Object{Kind: KindCustomer, Name: name, Customer: &Customer{Weight: rapid.IntRange(-1, 5).Draw(t, "weight")}}
	}
	if rapid.Bool().Draw(t, "checks revision") {
		change.ExpectedRevision = 0
		if current := folder.Objects[string(KindCustomer)+"/"+name]; current != nil {
			change.ExpectedRevision = current.Revision
		}
	}
	bundle := &Bundle{CommandID: fmt.Sprintf("cmd%d", w.commands), Actor: "op", Changes: []Change{change}}
	data := mustEncode(t, &Record{Format: FormatVersion, Kind: RecordChange, Bundle: bundle})
	// A writer whose answer is lost appends again.
	for range rapid.IntRange(1, 3).Draw(t, "appends") {
		w.log.append(data)
	}
}

func (w *stateMachine) writeUnknown(t *rapid.T) {
	w.log.append([]byte(rapid.SampledFrom([]string{"", "{", `{"format":99,"kind":"later"}`, `{"format":1,"kind":"other"}`, `{"format":1,"kind":"change"}`}).Draw(t, "bytes")))
}

// event writes what changes nothing but the audit trail.
func (w *stateMachine) event(t *rapid.T) {
	actor := rapid.SampledFrom([]string{"h1", "h2"}).Draw(t, "actor")
	w.log.append(mustEncode(t, &Record{Format: FormatVersion, Kind: RecordEvent, Event: &Event{Actor: actor, Action: AuditMap, Object: "Group/g"}}))
}

func (w *stateMachine) apply(t *rapid.T) {
	folder := rapid.SampledFrom(w.replicas).Draw(t, "folder")
	entries := w.log.read(folder.Position)
	n := rapid.IntRange(0, len(entries)).Draw(t, "records")
	for _, entry := range entries[:n] {
		w.applyOne(t, folder, entry)
	}
	if n > 0 && rapid.Bool().Draw(t, "delivered again") {
		w.applyOne(t, folder, entries[n-1])
	}
}

func (w *stateMachine) applyOne(t *rapid.T, folder *State, entry LogEntry) {
	before := folder.Position
	if err := folder.Apply(entry); err != nil {
		t.Fatalf("fold: %v", err)
	}
	if folder.Position < before {
		t.Fatalf("position fell from %s to %s", before, folder.Position)
	}
	w.observe(t, folder)
}

// observe checks that the same offset means the same state, and that no verdict
// ever changes.
func (w *stateMachine) observe(t *rapid.T, folder *State) {
	hash := folder.Hash()
	if known, ok := w.hashes[folder.Position]; ok && known != hash {
		t.Fatalf("position %s has two states", folder.Position)
	}
	w.hashes[folder.Position] = hash
	for command, result := range folder.Results {
		if known, ok := w.accepted[command]; ok && known != result.Accepted {
			t.Fatalf("%s was accepted=%t and is accepted=%t", command, known, result.Accepted)
		}
		w.accepted[command] = result.Accepted
	}
}

func (w *stateMachine) saveSnapshot(t *rapid.T) {
	folder := rapid.SampledFrom(w.replicas).Draw(t, "writes snapshot")
	data, err := folder.EncodeSnapshot()
	if err != nil {
		t.Fatalf("snapshot: %v", err)
	}
	if folder.Position > w.savedPosition {
		w.savedSnapshot, w.savedPosition = data, folder.Position
	}
}

func (w *stateMachine) truncateLog(t *rapid.T) {
	w.log.first = min(w.log.first+storelog.Position(rapid.IntRange(0, 8).Draw(t, "forgotten")), storelog.Position(len(w.log.entries)))
}

// replace gives a folder's place to a fresh VM, which starts from the kept state
// that the log continues, or else from a peer.
func (w *stateMachine) replace(t *rapid.T) {
	i := rapid.IntRange(0, len(w.replicas)-1).Draw(t, "replaced")
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

// heal lets a folder whose history fell off the log take a peer's state.
func (w *stateMachine) installPeerState(t *rapid.T) {
	i := rapid.IntRange(0, len(w.replicas)-1).Draw(t, "heals")
	peer := w.replicas[rapid.IntRange(0, len(w.replicas)-1).Draw(t, "from")]
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

// TestFoldAgreesEverywhere: the same offset means the same state at every
// process, however it got there; no verdict changes; each command has one effect.
func TestReplicasAgreeOnStateAtSamePosition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &stateMachine{log: &fakeLog{}, hashes: map[storelog.Position]string{}, accepted: map[string]bool{}, savedPosition: storelog.Unknown}
		for range 4 {
			w.replicas = append(w.replicas, NewState())
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": w.write, "write strange": w.writeUnknown, "event": w.event, "fold": w.apply,
			"snapshot": w.saveSnapshot, "forget": w.truncateLog, "replace": w.replace, "heal": w.installPeerState,
		})
		w.converge(t)
	})
}

// converge checks that a change in force is one that was accepted, and took
// effect at its first record only.
func (w *stateMachine) converge(t *rapid.T) {
	reference := NewState()
	for _, entry := range w.log.entries {
		w.applyOne(t, reference, entry)
	}
	for id, object := range reference.Objects {
		data := w.log.entries[object.Revision-1].Data
		record, err := DecodeRecord(data)
		if err != nil || record.Bundle == nil || !reference.Results[record.Bundle.CommandID].Accepted {
			t.Fatalf("%s is in force from a record that was not accepted", id)
		}
		if first := reference.Results[record.Bundle.CommandID].Offset; first != object.Revision-1 {
			t.Fatalf("%s took effect again at offset %d; its command was decided at %d", id, object.Revision-1, first)
		}
	}
	if err := VerifyAudit(reference.Audit); err != nil {
		t.Fatal(err)
	}
}
