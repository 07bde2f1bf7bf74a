package replica

import (
	"context"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/storelog"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// carryHold is for how long a view isn't replaced by one that lacks changes which are about
// to be written again.
const carryHold = 5 * time.Second

// Reread ends the present read and goes back to the first source, since the store has come
// back from an older copy: the read may hang.
func (r *Replica) Reread() {
	select {
	case r.reread <- struct{}{}:
	default: // it's about to end
	}
}

// carryOver takes the replica into the era in which the log has come back from an older
// copy. Where the copy lacks records that are known here, the whole state goes onto the log
// again, so that all go on from it, once: under the condition that nothing was added
// meanwhile. It returns false if the log is in the replica's era, or doesn't reach back to
// what the replica knows.
func (r *Replica) carryOver(ctx context.Context, log Log, logger *logrus.Entry) (bool, error) {
	entries, end, err := log.Whole(ctx)
	if err != nil {
		return false, err
	}
	known := r.Position()
	if end.Era() <= known.Era() && known != storelog.Unknown {
		return false, nil
	}
	logger = logger.WithFields(logrus.Fields{"era": end.Era(), "end": end.String(), "known": known.String()})
	if at := restoredAt(entries); at >= 0 {
		logger.Info("the configuration log has come back from an older copy: another daemon has carried the state over")
		return true, r.enter(entries[at].Position-1, entries[at:])
	}
	first := end - storelog.Position(len(entries))
	same, whole := r.comparedWith(entries, first)
	switch {
	case whole && same >= first.Offset()-1:
		logger.Info("the configuration log has come back with all records that are known here")
		return true, r.enter(storelog.At(end.Era(), same), entries[same+1-first.Offset():])
	case whole:
		return false, nil
	}
	logger.WithField("same", same).Warn("the configuration log has come back without records that are known here: the state is carried over")
	return true, r.restore(ctx, log, entries[max(same+1-first.Offset(), 0):], end)
}

// restoredAt returns the index of the first part of a state that was carried over into the
// present era, or -1.
func restoredAt(entries []config.LogEntry) int {
	for i, entry := range entries {
		if entry.Restores() {
			return i
		}
	}
	return -1
}

// comparedWith compares what is known with the records that the log keeps in another era,
// the first of which is at a position. It returns the last offset up to which both are the
// same for certain, and whether that is all that is known here.
func (r *Replica) comparedWith(entries []config.LogEntry, first storelog.Position) (same int64, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.state.Position.Offset()
	if at := last - first.Offset(); at < 0 || at < int64(len(entries)) && entries[at].Digest() == r.state.Last {
		return last, true
	}
	same = last - int64(len(r.recent))
	for _, entry := range r.recent {
		at := same + 1 - first.Offset()
		if at >= 0 && (at >= int64(len(entries)) || entries[at].Digest() != entry.Digest()) {
			break
		}
		same++
	}
	return same, false
}

// enter goes on in another era, whose records up to a position are known, with those after it.
func (r *Replica) enter(known storelog.Position, entries []config.LogEntry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirm(0)
	r.leave()
	r.state.Enter(known)
	err := r.fold(entries)
	r.publish()
	return err
}

// leave notes the changes of the present era, before the replica leaves it. The view keeps
// them for a while, also where the replica can't write them again.
func (r *Replica) leave() {
	r.heldUntil = r.now().Add(carryHold)
	time.AfterFunc(carryHold, r.letGo)
	for _, entry := range r.recent {
		if entry.Command() != "" {
			r.former = append(r.former, entry)
		}
	}
	r.former = r.former[max(len(r.former)-recentRecords, 0):]
	r.recent = nil
}

// letGo replaces a view that was held.
func (r *Replica) letGo() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.former) > 0 && !r.now().Before(r.heldUntil) {
		r.publish()
	}
}

// restore puts the state onto the log, with what has been added there since the copy was
// taken, if the log still ends where it did.
func (r *Replica) restore(ctx context.Context, log Log, added []config.LogEntry, end storelog.Position) error {
	r.mu.Lock()
	known := r.state.Position
	state, err := r.state.Clone()
	r.mu.Unlock()
	if err != nil {
		return err
	}
	state.Enter(end - storelog.Position(len(added)) - 1)
	for _, entry := range added {
		if err := state.Fold(entry); err != nil {
			return err
		}
	}
	records, err := config.NewRestore(state, end.Era(), known)
	if err != nil {
		return err
	}
	appended, err := log.AppendAt(ctx, end, records)
	if err == nil && !appended {
		return errors.New("the log has grown since it was read: it's looked at again")
	}
	return err
}

// lost returns the changes of former eras that the state no longer has: another daemon knew
// less when it carried its state over.
func (r *Replica) lost() []config.LogEntry {
	var lost []config.LogEntry
	for _, entry := range r.former {
		if _, has := r.state.Results[entry.Command()]; !has {
			lost = append(lost, entry)
		}
	}
	return lost
}

// writeAgain writes lost changes to the log, if that is the source. Each takes effect once
// however many daemons write it.
func (r *Replica) writeAgain(ctx context.Context, source Source) error {
	s, ok := source.(LogSource)
	if !ok {
		return nil
	}
	r.mu.Lock()
	lost := r.lost()
	r.mu.Unlock()
	for _, entry := range lost {
		if _, err := s.Log.Append(ctx, entry.Data); err != nil {
			return err
		}
	}
	return nil
}
