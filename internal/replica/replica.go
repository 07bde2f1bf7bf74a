// Package replica keeps one process's copy of the folded configuration: it
// follows the log, or peers that do, and serves what it has to others.
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

// Batch is what a Source returned.
type Batch struct {
	Entries []config.LogEntry
	// Gone is set when the source no longer has the record after the asked position, or is in
	// another era of the log.
	Gone bool
	// LogAge is how long ago the source, or whoever it reads from, last heard
	// from the log itself. Ages add up along the way; no clocks are compared.
	LogAge time.Duration
}

// Source is where records come from: the log, or a peer.
type Source interface {
	// Name identifies the source in logs.
	Name() string
	// Records returns the records after a position, waiting for the first.
	Records(ctx context.Context, after storelog.Position, wait time.Duration) (Batch, error)
	// State returns a snapshot, for a process whose history fell off the log.
	State(ctx context.Context) (*config.State, error)
}

// recentRecords is how many records a replica keeps for its peers.
const recentRecords = 4096

// Replica is the process's copy. Invariants: its position never falls, and its view loses
// no change that was in it. It is safe for concurrent use; its lock is a leaf: no other lock
// is taken under it.
type Replica struct {
	mu    sync.Mutex
	state *config.State
	// recent are records of the state's era, up to its position.
	recent []config.LogEntry
	// formerChanges are changes that were known in former eras of the log.
	priorEraChanges []config.RecentChange
	// heldUntil is until when the view isn't replaced by one that lacks them.
	viewHeldUntil time.Time
	changed       chan struct{}
	confirmed     time.Time // when the end of the log was last heard of
	now           func() time.Time
	pollTimeout   time.Duration // of one read for new records
	readTrust     longpoll.Trust
	peerAhead     chan struct{} // ends a read that is silent about what a peer knows
	restartRead   chan struct{} // ends a read that may hang, and goes back to the first source

	view atomic.Pointer[config.View]
}

// New returns a replica that has folded nothing.
func New(now func() time.Time) *Replica {
	r := &Replica{state: config.NewState(), changed: make(chan struct{}), now: now, pollTimeout: defaultPollTimeout, peerAhead: make(chan struct{}, 1), restartRead: make(chan struct{}, 1)}
	r.view.Store(r.state.View())
	return r
}

// SetPollTimeout changes how long one read waits for new records, where each read is paid
// for. It is called before Follow.
func (r *Replica) SetPollTimeout(timeout time.Duration) { r.pollTimeout = timeout }

// View returns the configuration in force here.
func (r *Replica) View() *config.View { return r.view.Load() }

// Changed returns a channel that is closed at the next change.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Apply takes in a batch.
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
		if err := r.state.Apply(entry); err != nil {
			return err
		}
		r.appendRecent(entry)
	}
	return nil
}

// InstallState replaces the state by a snapshot when that is ahead; an older one is
// refused, so nothing reverts.
func (r *Replica) InstallState(state *config.State) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state.Position <= r.state.Position {
		return false
	}
	r.leaveEra()
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
	if len(r.missing()) == 0 || !r.now().Before(r.viewHeldUntil) {
		r.priorEraChanges = nil
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

// Next is the position after the last record that is folded.
func (r *Replica) Next() storelog.Position { return r.Position() + 1 }

// ObservePeerPosition takes in the position up to which a peer knows the log. A read that is still
// silent about it after a while is ended: the log may have left it deaf.
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
		default: // it's about to end
		}
	})
}

// Position is up to where the log has been folded.
func (r *Replica) Position() storelog.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Position
}

// neverConfirmed is the age reported before the log was first heard of.
const neverConfirmed = 365 * 24 * time.Hour

// LogAge is how long ago the end of the log was last heard of.
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

// HasSynced tells whether the log has been heard of since the start.
func (r *Replica) HasSynced() bool { return r.LogAge() < neverConfirmed }

// EntriesAfter returns the records kept after a position, for a peer.
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

// Result returns what became of a command.
func (r *Replica) Result(commandID string) (config.Result, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	result, ok := r.state.Results[commandID]
	return result, ok
}

// Agent returns the last recorded run of a server's agent.
func (r *Replica) Agent(server string) (config.AgentRun, bool) { return r.View().Agent(server) }

// Check tells whether a bundle would be accepted now.
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

// Hash returns the hash of the folded state.
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

// Wait blocks until the condition holds or the context ends. The condition is
// looked at after each change.
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
