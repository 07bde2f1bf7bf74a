package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/pkg/errors"
)

// AuditAction is the kind of an audit entry.
type AuditAction string

// The audited actions.
const (
	AuditChange AuditAction = "change"
	AuditLease  AuditAction = "lease"
	AuditMap    AuditAction = "map"
	// AuditRestore is the carry-over of the state after the store was restored from an older copy.
	AuditRestore AuditAction = "restore"
)

// AuditEntry records who changed what, when and why, and the result. Hash covers the previous
// entry's hash, so that removed or altered entries are detected.
type AuditEntry struct {
	Offset       int64       `json:"offset"`
	TimeMs       int64       `json:"timeMs"`
	Actor        string      `json:"actor"`
	Action       AuditAction `json:"action"`
	Reason       string      `json:"reason,omitempty"`
	CommandID    string      `json:"commandId,omitempty"`
	Objects      []string    `json:"objects,omitempty"`
	Accepted     bool        `json:"accepted"`
	RejectReason string      `json:"verdict,omitempty"`
	Hash         string      `json:"hash"`
}

func (s *State) appendAudit(entry AuditEntry) {
	entry.Hash = chainHash(s.Chain, entry)
	s.Chain = entry.Hash
	s.Audit = append(s.Audit, entry)
	if keep := s.policy().AuditEntries; len(s.Audit) > keep {
		s.Audit = append([]AuditEntry(nil), s.Audit[len(s.Audit)-keep:]...)
	}
}

func (s *State) applyEvent(event *Event, entry LogEntry) {
	s.appendAudit(AuditEntry{
		Offset: entry.storedOffset(), TimeMs: entry.TimeMs, Actor: event.Actor, Action: event.Action,
		Reason: event.Detail, Objects: []string{event.Object}, Accepted: true,
	})
}

func chainHash(previous string, entry AuditEntry) string {
	entry.Hash = previous
	data, err := json.Marshal(entry)
	if err != nil {
		return "unencodable"
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// VerifyAudit verifies the hash chain of consecutive entries.
func VerifyAudit(entries []AuditEntry) error {
	for i := 1; i < len(entries); i++ {
		if chainHash(entries[i-1].Hash, entries[i]) != entries[i].Hash {
			return errors.Errorf("audit entry at offset %d doesn't follow the one at %d: the audit trail was altered", entries[i].Offset, entries[i-1].Offset)
		}
	}
	return nil
}

func (s *State) policy() Policy {
	object := s.Objects[string(KindPolicy)+"/"+PolicyName]
	if object == nil || object.Policy == nil {
		return Policy{}.WithDefaults()
	}
	return object.Policy.WithDefaults()
}
