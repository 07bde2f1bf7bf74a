package config

import (
	"encoding/json"

	"github.com/crowbridge/crowbridge/internal/storelog"
	"github.com/pkg/errors"
)

const (
	// FormatVersion is the record format that all releases support.
	FormatVersion = 1
	// quarantineFormat is the format of changes to quarantines. Releases that don't support
	// quarantines must skip such a change rather than reject it, since a rejection would make their
	// state differ.
	quarantineFormat = 2
	// restoreFormat is the format of restored states; releases without eras skip it.
	restoreFormat = 3
	// newestFormat is the newest format that this release supports.
	newestFormat = restoreFormat
)

// NewChange returns the record of a bundle in the oldest format that supports the bundle's kinds.
func NewChange(bundle *Bundle) *Record {
	record := &Record{Format: FormatVersion, Kind: RecordChange, Bundle: bundle}
	for _, change := range bundle.Changes {
		if change.Kind == KindQuarantine {
			record.Format = quarantineFormat
		}
	}
	return record
}

// RecordKind is the type of a log record.
type RecordKind string

// The kinds of log records.
const (
	RecordChange RecordKind = "change"
	RecordAgent  RecordKind = "agent"
	RecordEvent  RecordKind = "event"
	// RecordRestore carries the state over into another era of the log.
	RecordRestore RecordKind = "restore"
)

// Record is a record of the platform's log.
type Record struct {
	Format  int          `json:"format"`
	Kind    RecordKind   `json:"kind"`
	Bundle  *Bundle      `json:"bundle,omitempty"`
	Agent   *AgentEvent  `json:"agent,omitempty"`
	Event   *Event       `json:"event,omitempty"`
	Restore *RestorePart `json:"restore,omitempty"`
	// Repeat is set for a change of a prior era of the log that is repeated.
	Repeat *Repeat `json:"repeat,omitempty"`
}

// Repeat describes a change that is repeated in another era of the log.
type Repeat struct {
	// Era is the era for which the change was written. If the log has reached a newer one when the
	// change is added, the change has no effect, since its condition is that of another state.
	Era int64 `json:"era"`
	// First is the revision that the change gave its objects when it was first accepted. It orders
	// changes of prior eras.
	First int64 `json:"first"`
}

// Event adds an entry about an action of a daemon to the audit trail. It changes nothing else.
type Event struct {
	Actor  string      `json:"actor"`
	Action AuditAction `json:"action"`
	// Object is the object of the action, as Kind/name.
	Object string `json:"object"`
	// Detail is a description for operators.
	Detail string `json:"detail,omitempty"`
}

// Bundle is an atomic set of changes by an operator.
type Bundle struct {
	// CommandID makes the bundle idempotent: it takes effect once, however often it is on the log.
	CommandID string   `json:"commandId"`
	Actor     string   `json:"actor"`
	Reason    string   `json:"reason,omitempty"`
	Changes   []Change `json:"changes"`
}

// AnyRevision as the expected revision of a change matches every revision.
const AnyRevision int64 = -1

// Change sets or deletes an object.
type Change struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Object is the new object; nil deletes it.
	Object *Object `json:"object,omitempty"`
	// ExpectedRevision is the revision on which the change is based: 0 means that the object must
	// not exist, AnyRevision skips the check.
	ExpectedRevision int64 `json:"expectedRevision"`
}

func (c Change) objectID() string { return string(c.Kind) + "/" + c.Name }

// LogEntry is an encoded record with its position and its writer's timestamp.
type LogEntry struct {
	Position storelog.Position
	TimeMs   int64
	Data     []byte
}

// Encode encodes the record for the log.
func (r *Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode record")
}

// DecodeRecord decodes a record.
func DecodeRecord(data []byte) (*Record, error) {
	var record Record
	if err := json.Unmarshal(data, &record); err != nil {
		return nil, errors.Wrap(err, "decode record")
	}
	return &record, nil
}

// decodeSupported decodes a record. It returns nil and the kind to be counted if the record can't be
// decoded or this release doesn't support its format.
func decodeSupported(data []byte) (*Record, RecordKind) {
	record, err := DecodeRecord(data)
	if err != nil || record.Format < 1 {
		return nil, "undecodable"
	}
	if record.Format > newestFormat {
		return nil, record.Kind
	}
	return record, ""
}
