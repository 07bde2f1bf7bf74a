package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/crowbridge/crowbridge/internal/storelog"
	"github.com/pkg/errors"
)

// Result is the result of a command.
type Result struct {
	Offset   int64  `json:"offset"`
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
}

// maxCommands is the number of command IDs that are remembered to detect duplicates: more than two
// days at 8,600 changes a day.
const maxCommands = 20000

// State is the result of applying the log up to Position, identical in all processes (after a
// restore of the store, once a state was carried over). Its offsets are positions as integers, so
// they never decrease. State isn't safe for concurrent use; View returns an immutable view.
type State struct {
	Position storelog.Position `json:"offset"`
	// Last is the digest of the record at Position, by which the same record is recognized in
	// another era of the log. It is empty in snapshots of releases without eras.
	Last string `json:"last,omitempty"`
	// Applied holds digests of the newest applied records, oldest first, by which a copy of the log
	// is compared with the state. It is empty in snapshots of earlier releases.
	Applied []byte `json:"applied,omitempty"`
	// CarriedInto is the newest era into which the state was carried over, or 0.
	CarriedInto int64 `json:"carriedInto,omitempty"`
	// Configured is the offset of the last accepted change.
	Configured int64 `json:"configured"`

	Objects      map[string]*Object            `json:"objects"`
	Agents       map[string]AgentRun           `json:"agents"`
	Homes        map[string]HomesChange        `json:"homes"` // by service
	Results      map[string]Result             `json:"results"`
	CommandOrder []string                      `json:"order"` // command IDs, oldest first
	Audit        []AuditEntry                  `json:"audit"`
	Chain        string                        `json:"chain"`
	Skipped      map[RecordKind]SkippedRecords `json:"unread,omitempty"`
	// RecentChanges holds the last accepted changes as log records, oldest first, since an older
	// copy of the log may lack them.
	RecentChanges []RecentChange `json:"recent,omitempty"`
	// PartialRestore holds the parts applied so far of a state that is being restored.
	PartialRestore []byte `json:"restoring,omitempty"`

	shared bool // Objects is shared with a View and must be cloned before a change
}

// SkippedRecords counts the records of a kind that were undecodable or unsupported by this release.
// First is the offset of the first one.
type SkippedRecords struct {
	First int64 `json:"first"`
	Count int64 `json:"count"`
}

// NoOffset is the offset before the first record.
const NoOffset int64 = -1

// NewState returns the state before the first record.
func NewState() *State {
	return &State{
		Position:   storelog.Unknown,
		Configured: NoOffset,
		Objects:    map[string]*Object{},
		Agents:     map[string]AgentRun{},
		Homes:      map[string]HomesChange{},
		Results:    map[string]Result{},
	}
}

// ErrGap is returned by Apply if the record doesn't directly follow Position.
var ErrGap = errors.New("gap in the log: the record before this one is missing")

// Apply applies the next record. Duplicates, that is, records at or below Position, are ignored. A
// record after a gap is refused. Records that can't be decoded are skipped, in the same way by
// every process.
func (s *State) Apply(entry LogEntry) error {
	if entry.Position <= s.Position {
		return nil
	}
	if entry.Position != s.Position+1 {
		return errors.Wrapf(ErrGap, "have %s, got %s", s.Position, entry.Position)
	}
	s.advance(entry)
	s.applyData(entry)
	s.recordApplied(entry)
	return nil
}

// advance moves the state to the position of the next record.
func (s *State) advance(entry LogEntry) { s.Position, s.Last = entry.Position, entry.Digest() }

// applyData applies the record of an entry that the state has advanced to.
func (s *State) applyData(entry LogEntry) {
	record, skipped := decodeSupported(entry.Data)
	if record == nil {
		s.countSkipped(skipped, entry.storedOffset())
		return
	}
	if record.Repeat != nil && record.Repeat.Era != entry.Position.Era() {
		return
	}
	s.applyRecord(record, entry)
}

func (s *State) applyRecord(record *Record, entry LogEntry) {
	switch {
	case record.Kind == RecordChange && record.Bundle != nil:
		s.applyBundle(record.Bundle, entry)
	case record.Kind == RecordAgent && record.Agent != nil:
		s.applyAgent(record.Agent, entry)
	case record.Kind == RecordEvent && record.Event != nil:
		s.applyEvent(record.Event, entry)
	case record.Kind == RecordRestore && record.Restore != nil:
		s.applyRestore(record.Restore, entry)
	default:
		s.countSkipped(record.Kind, entry.storedOffset())
	}
}

func (s *State) countSkipped(kind RecordKind, offset int64) {
	if s.Skipped == nil {
		s.Skipped = map[RecordKind]SkippedRecords{}
	}
	mark := s.Skipped[kind]
	if mark.Count == 0 {
		mark.First = offset
	}
	mark.Count++
	s.Skipped[kind] = mark
}

func (s *State) applyBundle(bundle *Bundle, entry LogEntry) {
	if s.hasResult(bundle.CommandID) {
		return
	}
	reason := s.Check(bundle)
	if reason == nil {
		s.recordHomesChanges(bundle, entry)
		s.commit(bundle, entry.storedOffset())
		s.Configured = entry.storedOffset()
		s.appendRecentChange(RecentChange{Command: bundle.CommandID, Data: entry.Data})
	}
	result := Result{Offset: entry.storedOffset(), Accepted: reason == nil}
	if reason != nil {
		result.Reason = reason.Error()
	}
	s.recordResult(bundle.CommandID, result)
	s.appendAudit(AuditEntry{
		Offset: entry.storedOffset(), TimeMs: entry.TimeMs, Actor: bundle.Actor,
		Action: AuditChange, Reason: bundle.Reason, CommandID: bundle.CommandID,
		Objects: bundle.objectIDs(), Accepted: result.Accepted, RejectReason: result.Reason,
	})
}

func (b *Bundle) objectIDs() []string {
	ids := make([]string, 0, len(b.Changes))
	for _, change := range b.Changes {
		ids = append(ids, change.objectID())
	}
	return ids
}

// Check returns the reason why the bundle would be rejected now, or nil. It changes nothing. The
// reason becomes part of the state, so all releases must return the same text.
func (s *State) Check(bundle *Bundle) error {
	if bundle.CommandID == "" {
		return errors.New("commandId: empty: give each command an ID of its own")
	}
	if len(bundle.Changes) == 0 {
		return errors.New("changes: empty: nothing to apply")
	}
	after := newOverlay(s.Objects)
	for _, change := range bundle.Changes {
		if err := s.checkChange(change); err != nil {
			return err
		}
		if !after.set(change) {
			return errors.Errorf("%s/%s: stands twice in one bundle: keep one of the two", change.Kind, change.Name)
		}
	}
	return after.checkReferences()
}

func (s *State) checkChange(change Change) error {
	id := change.objectID()
	current := s.Objects[id]
	if err := checkRevision(id, current, change.ExpectedRevision); err != nil {
		return err
	}
	if change.Object == nil {
		if current == nil {
			return errors.Errorf("%s: can't be deleted: it doesn't exist", id)
		}
		return nil
	}
	if change.Object.Kind != change.Kind || change.Object.Name != change.Name {
		return errors.Errorf("%s: the change carries %s instead", id, change.Object.ID())
	}
	return change.Object.Validate()
}

func checkRevision(id string, current *Object, expected int64) error {
	if expected == AnyRevision {
		return nil
	}
	revision := int64(0)
	if current != nil {
		revision = current.Revision
	}
	if revision != expected {
		return errors.Errorf("%s: changed meanwhile: expected revision %d, is %d: read it again and repeat", id, expected, revision)
	}
	return nil
}

// revisionAt returns the revision of objects that the change at an offset sets. Offsets start at 0,
// and revision 0 means that the object doesn't exist.
func revisionAt(offset int64) int64 { return offset + 1 }

func (s *State) commit(bundle *Bundle, offset int64) {
	if s.shared {
		s.Objects = maps.Clone(s.Objects)
		s.shared = false
	}
	for _, change := range bundle.Changes {
		id := change.objectID()
		if change.Object == nil {
			delete(s.Objects, id)
			continue
		}
		object := *change.Object
		object.Revision = revisionAt(offset)
		s.Objects[id] = &object
	}
}

func (s *State) hasResult(commandID string) bool {
	_, known := s.Results[commandID]
	return known
}

func (s *State) recordResult(commandID string, result Result) {
	s.Results[commandID] = result
	s.CommandOrder = append(s.CommandOrder, commandID)
	if len(s.CommandOrder) > maxCommands {
		delete(s.Results, s.CommandOrder[0])
		s.CommandOrder = slices.Delete(s.CommandOrder, 0, 1)
	}
}

// Hash returns the SHA-256 of the state in hex. It doesn't cover Applied and CarriedInto, which
// earlier releases don't have.
func (s *State) Hash() string {
	hashed := *s
	hashed.Applied, hashed.CarriedInto = nil, 0
	data, err := json.Marshal(&hashed)
	if err != nil {
		return fmt.Sprintf("unencodable: %v", err)
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// overlay is the object table as it would be after a bundle.
type overlay struct {
	base    map[string]*Object
	changed map[string]*Object
}

func newOverlay(base map[string]*Object) *overlay {
	return &overlay{base: base, changed: map[string]*Object{}}
}

func (o *overlay) set(change Change) bool {
	id := change.objectID()
	_, duplicate := o.changed[id]
	o.changed[id] = change.Object
	return !duplicate
}

func (o *overlay) get(kind Kind, name string) *Object {
	return o.object(string(kind) + "/" + name)
}

// checkReferences checks that all objects referenced by changed objects exist, and that no
// remaining object references a deleted one.
func (o *overlay) checkReferences() error {
	for _, id := range slices.Sorted(maps.Keys(o.changed)) {
		object := o.changed[id]
		if object == nil {
			if err := o.checkUnused(id); err != nil {
				return err
			}
			continue
		}
		if err := o.checkObject(object); err != nil {
			return err
		}
	}
	return nil
}

func (o *overlay) checkObject(object *Object) error {
	if err := o.checkPrefix(object); err != nil {
		return err
	}
	for _, ref := range object.references() {
		if o.get(ref.kind, ref.name) == nil {
			return object.fieldError(ref.field, ref.name, fmt.Sprintf("no %s of that name: apply it first or in the same bundle", ref.kind))
		}
	}
	return nil
}

// checkPrefix checks that no two plain services share a path prefix: the service of a call, and so
// the homes of its idempotency key, must not depend on the route.
func (o *overlay) checkPrefix(object *Object) error {
	if object.Service == nil || object.Service.PathPrefix == "" {
		return nil
	}
	for _, id := range o.ids() {
		other := o.object(id)
		if other != nil && other.Service != nil && other.Name != object.Name && other.Service.PathPrefix == object.Service.PathPrefix {
			return object.fieldError("service.pathPrefix", object.Service.PathPrefix, "service "+other.Name+" has it already: use another")
		}
	}
	return nil
}

// ids returns the sorted IDs of the objects before and after the bundle.
func (o *overlay) ids() []string {
	all := maps.Clone(o.base)
	maps.Copy(all, o.changed)
	return slices.Sorted(maps.Keys(all))
}

func (o *overlay) object(id string) *Object {
	if object, ok := o.changed[id]; ok {
		return object
	}
	return o.base[id]
}

func (o *overlay) checkUnused(deleted string) error {
	for _, id := range o.ids() {
		object := o.object(id)
		if object == nil {
			continue
		}
		for _, ref := range object.references() {
			if string(ref.kind)+"/"+ref.name == deleted {
				return errors.Errorf("%s: can't be deleted: %s names it in %s: change that first or in the same bundle", deleted, id, ref.field)
			}
		}
	}
	return nil
}

type reference struct {
	kind  Kind
	name  string
	field string
}

func (o *Object) references() []reference {
	switch {
	case o.BackendServer != nil:
		refs := []reference{{KindService, o.BackendServer.Service, "backendServer.service"}}
		if o.BackendServer.Group != "" {
			refs = append(refs, reference{KindGroup, o.BackendServer.Group, "backendServer.group"})
		}
		return refs
	case o.Group != nil:
		return []reference{{KindService, o.Group.Service, "group.service"}}
	case o.Route != nil:
		return []reference{{KindService, o.Route.Service, "route.service"}}
	default:
		return nil
	}
}
