// Package replica maintains a process's replica of the configuration state. A replica follows the
// log, or peers that do, and serves its records and state to other processes.
package replica

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/longpoll"
	"github.com/crowbridge/crowbridge/internal/storelog"
	"github.com/pkg/errors"
)

// Batch is the result of a read from a Source.
type Batch struct {
	Entries []config.LogEntry
	// Gone is set if the source no longer has the record after the requested position, or is in
	// another era of the log.
	Gone bool
	// LogAge is the time since the end of the log was last read, by the source or the process that
	// it reads from. Ages add up hop by hop, so no clocks are compared.
	LogAge time.Duration
}

// Source provides records and states: the log or a peer.
type Source interface {
	// Name returns the source's name for logs.
	Name() string
	// Records returns the records after a position. It waits for the first one.
	Records(ctx context.Context, after storelog.Position, wait time.Duration) (Batch, error)
	// State returns a snapshot for a replica whose next record is gone.
	State(ctx context.Context) (*config.State, error)
}

// recentRecords is how many records a replica retains for its peers.
const recentRecords = 4096

// Replica is a process's replica of the configuration. Its position never decreases. Its view keeps
// applied changes that a restored log lacks, for up to viewHold if they aren't on the log again by
// then. It is safe for concurrent use; no other lock is acquired while its lock is held.
type Replica struct {
	mu    sync.Mutex
	state *config.State
	// recent holds records of the state's era, up to its position.
	recent []config.LogEntry
	// retained holds changes that were applied in prior eras of the log and that the state lacks.
	retained config.RetainedChanges
	// rejected holds changes of prior eras that the state has as rejected, until they are logged.
	rejected []config.RepeatedChange
	// viewHeldUntil is the time until which the view isn't replaced by one without retained changes.
	viewHeldUntil time.Time
	changed       chan struct{}
	confirmed     time.Time // when the end of the log was last read
	now           func() time.Time
	pollTimeout   time.Duration // per read
	readTrust     longpoll.Trust
	peerAhead     chan struct{} // ends a read that misses what a peer has
	restartRead   chan struct{} // ends the current read and returns to the first source

	view atomic.Pointer[config.View]
}

// New returns a replica before the first record.
func New(now func() time.Time) *Replica {
	r := &Replica{state: config.NewState(), changed: make(chan struct{}), now: now, pollTimeout: defaultPollTimeout, peerAhead: make(chan struct{}, 1), restartRead: make(chan struct{}, 1)}
	r.view.Store(r.state.View())
	return r
}

// SetPollTimeout sets how long one read waits for new records, for logs that charge for each read.
// It must be called before Follow.
func (r *Replica) SetPollTimeout(timeout time.Duration) { r.pollTimeout = timeout }

// View returns the current configuration.
func (r *Replica) View() *config.View { return r.view.Load() }

// Changed returns a channel that is closed on the next change.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Apply applies the records of a batch.
func (r *Replica) Apply(batch Batch) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmEnd(batch.LogAge)
	before := r.state.Position
	defer func() {
		if r.state.Position != before {
			r.publish()
		}
	}()
	return r.apply(batch.Entries)
}

func (r *Replica) apply(entries []config.LogEntry) error {
	for _, entry := range entries {
		if entry.Position <= r.state.Position {
			continue
		}
		if entry.StartsRestore() {
			r.retainChanges() // the state is replaced
		}
		if err := r.state.Apply(entry); err != nil {
			return err
		}
		r.appendRecent(entry)
	}
	return nil
}

// InstallState replaces the state by one at a higher position. It reports whether it did so: others
// are ignored, so that nothing reverts.
func (r *Replica) InstallState(state *config.State) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state.Position <= r.state.Position {
		return false
	}
	r.retainChanges()
	r.recent = nil
	r.state = state
	r.publish()
	return true
}

func (r *Replica) confirmEnd(age time.Duration) {
	confirmed := r.now().Add(-age)
	if confirmed.After(r.confirmed) {
		r.confirmed = confirmed
	}
}

func (r *Replica) publish() {
	r.rejected = append(r.rejected, r.retained.Settle(r.state)...)
	if !r.retained.Missing(r.state) || !r.now().Before(r.viewHeldUntil) {
		r.view.Store(r.state.View())
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Replica) appendRecent(entry config.LogEntry) {
	r.recent = append(r.recent, entry)
	if len(r.recent) > 2*recentRecords {
		r.recent = append([]config.LogEntry(nil), r.recent[len(r.recent)-recentRecords:]...)
	}
}

// Next returns the position after the last applied record.
func (r *Replica) Next() storelog.Position { return r.Position() + 1 }

// ObservePeerPosition is called with the next position of a peer. If this replica hasn't caught up
// after a grace period, its current read is ended, since it may miss records.
func (r *Replica) ObservePeerPosition(next storelog.Position) {
	if next <= r.Next() {
		return
	}
	time.AfterFunc(longpoll.PeerAheadGrace, func() {
		if next <= r.Next() {
			return
		}
		r.readTrust.Revoke(r.now())
		select {
		case r.peerAhead <- struct{}{}:
		default: // already pending
		}
	})
}

// Position returns the position of the last applied record.
func (r *Replica) Position() storelog.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Position
}

// neverConfirmed is the age reported before the end of the log was first read.
const neverConfirmed = 365 * 24 * time.Hour

// LogAge returns the time since the end of the log was last read.
func (r *Replica) LogAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.logAge()
}

func (r *Replica) logAge() time.Duration {
	if r.confirmed.IsZero() {
		return neverConfirmed
	}
	return r.now().Sub(r.confirmed)
}

// HasSynced reports whether the end of the log has been read since the start.
func (r *Replica) HasSynced() bool { return r.LogAge() < neverConfirmed }

// EntriesAfter returns the retained records after a position. Gone is set if the first of them is no
// longer retained.
func (r *Replica) EntriesAfter(known storelog.Position) Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := Batch{LogAge: r.logAge()}
	if known >= r.state.Position {
		return batch
	}
	first := r.state.Position - storelog.Position(len(r.recent)) + 1
	if known+1 < first {
		batch.Gone = true
		return batch
	}
	batch.Entries = append(batch.Entries, r.recent[known+1-first:]...)
	return batch
}

// Result returns the result of a command, and false if it is unknown or no longer remembered.
func (r *Replica) Result(commandID string) (config.Result, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	result, ok := r.state.Results[commandID]
	return result, ok
}

// Agent returns the last recorded run of a server's agent.
func (r *Replica) Agent(server string) (config.AgentRun, bool) { return r.View().Agent(server) }

// Check returns the reason why a bundle would be rejected now, or nil.
func (r *Replica) Check(bundle *config.Bundle) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Check(bundle)
}

// Audit returns the audit entries after an offset.
func (r *Replica) Audit(after int64) []config.AuditEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []config.AuditEntry
	for _, entry := range r.state.Audit {
		if entry.Offset > after {
			found = append(found, entry)
		}
	}
	return found
}

// Hash returns the position and the hash of the state.
func (r *Replica) Hash() (storelog.Position, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Position, r.state.Hash()
}

// Snapshot returns the encoded state and its position.
func (r *Replica) Snapshot() ([]byte, storelog.Position, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	data, err := r.state.EncodeSnapshot()
	return data, r.state.Position, err
}

// Wait blocks until the condition holds or the context ends. The condition is evaluated after each
// change.
func (r *Replica) Wait(ctx context.Context, condition func() bool) error {
	for {
		changed := r.Changed()
		if condition() {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for configuration")
		}
	}
}
