package config

import (
	"encoding/json"

	"github.com/crowbridge/crowbridge/internal/storelog"
	"github.com/pkg/errors"
)

const (
	// FormatVersion is the format of records that any release folds.
	FormatVersion = 1
	// quarantineFormat is that of changes of quarantines: a release that doesn't know
	// them would reject the change, and its state would differ from the others'; as a newer
	// format, it's skipped there and counted.
	quarantineFormat = 2
	// restoreFormat is that of restored states, which releases without eras skip.
	restoreFormat = 3
	// newestFormat is the newest that this release folds.
	newestFormat = restoreFormat
)

// NewChange returns the record of a bundle, in the oldest format that has its kinds.
func NewChange(bundle *Bundle) *Record {
	record := &Record{Format: FormatVersion, Kind: RecordChange, Bundle: bundle}
	for _, change := range bundle.Changes {
		if change.Kind == KindQuarantine {
			record.Format = quarantineFormat
		}
	}
	return record
}

// RecordKind names what a log record carries.
type RecordKind string

// The kinds of log records.
const (
	RecordChange RecordKind = "change"
	RecordAgent  RecordKind = "agent"
	RecordEvent  RecordKind = "event"
	// RecordRestore carries the state over into another era of the log.
	RecordRestore RecordKind = "restore"
)

// Record is one entry of the platform's log as crowbridge writes it.
type Record struct {
	Format int         `json:"format"`
	Kind   RecordKind  `json:"kind"`
	Bundle *Bundle     `json:"bundle,omitempty"`
	Agent  *AgentEvent `json:"agent,omitempty"`
	Event  *Event      `json:"event,omitempty"`
	// Restore is a part of a whole state.
	Restore *RestorePart `json:"restore,omitempty"`
}

// Event tells the audit trail of something that a daemon did. It changes nothing
// else.
type Event struct {
	Actor  string      `json:"actor"`
	Action AuditAction `json:"action"`
	// Object is what it was done to, as Kind/name.
	Object string `json:"object"`
	// Detail is for people.
	Detail string `json:"detail,omitempty"`
}

// Bundle is an all-or-nothing set of changes by one operator.
type Bundle struct {
	// CommandID makes the bundle idempotent: it takes effect once, however often it's on the log.
	CommandID string   `json:"commandId"`
	Actor     string   `json:"actor"`
	Reason    string   `json:"reason,omitempty"`
	Changes   []Change `json:"changes"`
}

// AnyRevision as a change's expected revision matches every revision.
const AnyRevision int64 = -1

// Change sets or deletes one object.
type Change struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Object is the new object; nil deletes it.
	Object *Object `json:"object,omitempty"`
	// ExpectedRevision is the revision the change was made against: 0 means that
	// the object must not exist, AnyRevision skips the check.
	ExpectedRevision int64 `json:"expectedRevision"`
}

// LogEntry is a record's bytes with its position and the time that its writer gave it.
type LogEntry struct {
	Position storelog.Position
	TimeMs   int64
	Data     []byte
}

// Encode returns the bytes that go onto the log.
func (r *Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode record")
}

// DecodeRecord reads a record's bytes.
func DecodeRecord(data []byte) (*Record, error) {
	var record Record
	if err := json.Unmarshal(data, &record); err != nil {
		return nil, errors.Wrap(err, "decode record")
	}
	return &record, nil
}
