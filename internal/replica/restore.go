package replica

import (
	"context"
	"strings"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/storelog"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// viewHold is how long a view isn't replaced by one that lacks changes, while these are being
// written to the log again.
const viewHold = 5 * time.Second

// RestartRead ends the current read and continues with the first source. It is called when the
// store becomes reachable or was restored from an older copy, since pending reads may hang then.
func (r *Replica) RestartRead() {
	select {
	case r.restartRead <- struct{}{}:
	default: // already pending
	}
}

// carryOver moves the replica into the new era of a log that was restored from an older copy, and
// all replicas to the same state: the first one appends its whole state with the records added
// since, the others read that. Records that the copy lacks are known to some replicas only, and
// those that it has lie at other positions now. carryOver returns false if the log is in the
// replica's era, or if the replica has no state and the log no longer has its first record.
func (r *Replica) carryOver(ctx context.Context, log Log, logger *logrus.Entry) (bool, error) {
	entries, end, err := log.ReadAll(ctx)
	if err != nil {
		return false, err
	}
	known := r.Position()
	if end.Era() <= known.Era() && known != storelog.Unknown {
		return false, nil
	}
	first := end - storelog.Position(len(entries))
	logger = logger.WithFields(logrus.Fields{"era": end.Era(), "first": first.String(), "end": end.String(), "known": known.String()})
	if i := findRestore(entries); i >= 0 {
		logger.Info("configuration log restored from an older copy: another daemon carried the state over")
		return true, r.enterEra(entries[i].Position-1, entries[i:])
	}
	if !known.HasRecord() {
		if first.Offset() > 0 {
			return false, nil
		}
		if !config.ExpectsPriorEra(entries) {
			return true, r.enterEra(first-1, entries)
		}
		if installed, err := r.installSaved(ctx, log); installed || err != nil {
			return installed, err
		}
	}
	state, err := r.mergeLog(ctx, log, entries, first, logger)
	if state == nil || err != nil {
		return err == nil, err
	}
	return true, writeRestore(ctx, log, state, known, end)
}

// mergeLog returns a copy of the replica's state with the records of a log in a newer era that it
// lacks. If the log no longer has records by which that is known, a newer persisted state is
// installed instead where there is one, and mergeLog returns nil.
func (r *Replica) mergeLog(ctx context.Context, log Log, entries []config.LogEntry, first storelog.Position, logger *logrus.Entry) (*config.State, error) {
	state, merged, err := r.merge(entries, first, false)
	if errors.Is(err, config.ErrNoOverlap) {
		logger.WithField("recognizable", merged.Recognizable).Warn("configuration log restored from an older copy: its oldest records expired, looking for a newer state")
		if installed, err := r.installSaved(ctx, log); installed || err != nil {
			return nil, err
		}
		state, merged, err = r.merge(entries, first, true)
	}
	if err != nil {
		return nil, err
	}
	logger.WithFields(logrus.Fields{
		"recognizable": merged.Recognizable, "contained": merged.Contained, "superseded": merged.Superseded,
		"applied": merged.Applied, "undecided": strings.Join(merged.Undecided, " "),
	}).Warn("configuration log restored from an older copy: carrying the state over")
	return state, nil
}

// installSaved installs the persisted state if it is newer than the replica's.
func (r *Replica) installSaved(ctx context.Context, log Log) (bool, error) {
	snapshot, err := log.LoadSnapshot(ctx)
	if err != nil || snapshot == nil {
		return false, err
	}
	state, err := config.DecodeSnapshot(snapshot)
	if err != nil {
		return false, err
	}
	return r.InstallState(state), nil
}

// findRestore returns the index of the first part of a state that was carried over into the current
// era, or -1.
func findRestore(entries []config.LogEntry) int {
	for i, entry := range entries {
		if entry.StartsRestore() {
			return i
		}
	}
	return -1
}

// merge returns a copy of the replica's state with the records of a log in a newer era.
func (r *Replica) merge(entries []config.LogEntry, first storelog.Position, force bool) (*config.State, config.Merged, error) {
	r.mu.Lock()
	state, err := r.state.Clone()
	r.mu.Unlock()
	if err != nil {
		return nil, config.Merged{}, err
	}
	merged, err := state.Merge(entries, first, force)
	return state, merged, err
}

// enterEra continues in another era with the records after a known position.
func (r *Replica) enterEra(known storelog.Position, entries []config.LogEntry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmEnd(0)
	r.recent = nil
	r.state.EnterEra(known)
	err := r.apply(entries)
	r.publish()
	return err
}

// retainChanges retains the changes of the state before it is replaced. The view keeps them for
// viewHold even if the replica can't write them to the log again.
func (r *Replica) retainChanges() {
	r.viewHeldUntil = r.now().Add(viewHold)
	time.AfterFunc(viewHold, r.releaseView)
	r.retained.Retain(r.state)
}

// releaseView replaces a view that was held.
func (r *Replica) releaseView() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.retained.Missing(r.state) && !r.now().Before(r.viewHeldUntil) {
		r.publish()
	}
}

// writeRestore appends a state that was merged with the log, provided that the log still ends at the
// position end. known is the position of the replica in the prior era.
func writeRestore(ctx context.Context, log Log, state *config.State, known, end storelog.Position) error {
	records, err := config.EncodeRestore(state, end.Era(), known)
	if err != nil {
		return err
	}
	_, err = log.AppendAt(ctx, end, records) // the next read returns the state that was carried over
	return err
}

// repeatMissing appends the retained changes that the state lacks, because a daemon without them
// carried its state over. They are appended directly after the state, so that each is based on what
// is in force and has the result that the state predicts. If the log has newer records or can't be
// reached, they are appended after a later read.
func (r *Replica) repeatMissing(ctx context.Context, source Source, logger *logrus.Entry) {
	s, ok := source.(LogSource)
	if !ok {
		return
	}
	repeated, end, err := r.missingChanges()
	if err == nil && len(repeated) == 0 {
		return
	}
	records := make([][]byte, len(repeated))
	for i, change := range repeated {
		records[i] = change.Data
	}
	appended := false
	if err == nil {
		appended, err = s.Log.AppendAt(ctx, end, records)
	}
	if !appended {
		logger.WithFields(logrus.Fields{"changes": len(repeated), "end": end.String(), logrus.ErrorKey: err}).
			Info("changes that the restored log lacks: not appended, will retry after the next read")
		return
	}
	for _, change := range repeated {
		logOutcome(logger, change).Warn("change that the restored log lacks: appended again")
	}
}

// missingChanges returns the retained changes that the state lacks, for the log that ends at the
// position after the state.
func (r *Replica) missingChanges() ([]config.RepeatedChange, storelog.Position, error) {
	r.mu.Lock()
	if !r.retained.Missing(r.state) {
		r.mu.Unlock()
		return nil, 0, nil
	}
	end := r.state.Position + 1
	retained := r.retained
	state, err := r.state.Clone()
	r.mu.Unlock()
	if err != nil {
		return nil, end, err
	}
	repeated, err := retained.Repeat(state)
	return repeated, end, err
}

// logOutcome returns a logger with the outcome of a change of a prior era.
func logOutcome(logger *logrus.Entry, change config.RepeatedChange) *logrus.Entry {
	return logger.WithFields(logrus.Fields{
		"command": change.Command, "prior": change.Prior.String(), "position": storelog.Position(change.Result.Offset).String(),
		"accepted": change.Result.Accepted, "reason": change.Result.Reason,
	})
}

// logRejected logs the changes of prior eras that the state of the current era has as rejected.
func (r *Replica) logRejected(logger *logrus.Entry) {
	r.mu.Lock()
	rejected := r.rejected
	r.rejected = nil
	r.mu.Unlock()
	for _, change := range rejected {
		logOutcome(logger, change).Warn("accepted change of a prior era is rejected in this one")
	}
}
