package replica

import (
	"context"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/storelog"
	"github.com/sirupsen/logrus"
)

// viewHold is for how long a view isn't replaced by one that lacks changes which are about
// to be written again.
const viewHold = 5 * time.Second

// RestartRead ends the present read and goes back to the first source: the store can be reached
// again, or has come back from an older copy, where reads may hang.
func (r *Replica) RestartRead() {
	select {
	case r.reread <- struct{}{}:
	default: // it's about to end
	}
}

// carryOver takes the replica into the era in which the log has come back from an older
// copy. What is known goes onto the log as a whole, with what has been added there since, so
// that all go on from it: records that the copy lacks are known to some only, and those that
// it has lie at other positions now. That happens once: under the condition that nothing was
// added meanwhile. It returns false if the log is in the replica's era, or doesn't reach back
// to what the replica knows.
func (r *Replica) carryOver(ctx context.Context, log Log, logger *logrus.Entry) (bool, error) {
	entries, end, err := log.ReadAll(ctx)
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
	if known.Offset() < first.Offset()-1 {
		return false, nil
	}
	if !known.HasRecord() {
		return true, r.enter(first-1, entries)
	}
	same := r.comparedWith(entries, first)
	logger.WithField("lost", known.Offset()-same).Warn("the configuration log has come back from an older copy: the state is carried over")
	return true, r.restore(ctx, log, entries[same+1-first.Offset():], end)
}

// restoredAt returns the index of the first part of a state that was carried over into the
// present era, or -1.
func restoredAt(entries []config.LogEntry) int {
	for i, entry := range entries {
		if entry.StartsRestore() {
			return i
		}
	}
	return -1
}

// comparedWith compares what is known with the records that the log keeps in another era,
// the first of which is at a position. It returns the last offset up to which both are the
// same for certain.
func (r *Replica) comparedWith(entries []config.LogEntry, first storelog.Position) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.state.Position.Offset()
	if at := last - first.Offset(); at < 0 || at < int64(len(entries)) && entries[at].Digest() == r.state.Last {
		return last
	}
	same := first.Offset() - 1
	for i, entry := range r.recent {
		offset := last - int64(len(r.recent)-1-i)
		at := offset - first.Offset()
		if at >= int64(len(entries)) || at >= 0 && entries[at].Digest() != entry.Digest() {
			break
		}
		same = max(same, offset)
	}
	return same
}

// enter goes on in another era, whose records up to a position are known, with those after it.
func (r *Replica) enter(known storelog.Position, entries []config.LogEntry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirm(0)
	r.leaveEra()
	r.state.EnterEra(known)
	err := r.apply(entries)
	r.publish()
	return err
}

// leaveEra notes the changes of the present era, before the replica leaves it. The view keeps
// them for a while, also where the replica can't write them again.
func (r *Replica) leaveEra() {
	r.heldUntil = r.now().Add(viewHold)
	time.AfterFunc(viewHold, r.releaseView)
	r.formerChanges = append(r.formerChanges, r.state.RecentChanges...)
	r.recent = nil
}

// releaseView replaces a view that was held.
func (r *Replica) releaseView() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.formerChanges) > 0 && !r.now().Before(r.heldUntil) {
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
	state.EnterEra(end - storelog.Position(len(added)) - 1)
	for _, entry := range added {
		if err := state.Apply(entry); err != nil {
			return err
		}
	}
	records, err := config.EncodeRestore(state, end.Era(), known)
	if err != nil {
		return err
	}
	_, err = log.AppendAt(ctx, end, records) // the next read shows who has carried the state over
	return err
}

// lost returns the changes of former eras that the state no longer has: another daemon knew
// less when it carried its state over.
func (r *Replica) lost() []config.RecentChange {
	var lost []config.RecentChange
	for _, change := range r.formerChanges {
		if _, has := r.state.Results[change.Command]; !has {
			lost = append(lost, change)
		}
	}
	return lost
}

// reappendLost writes lost changes to the log, if that is the source. Each takes effect once
// however many daemons write it.
func (r *Replica) reappendLost(ctx context.Context, source Source) error {
	s, ok := source.(LogSource)
	if !ok {
		return nil
	}
	r.mu.Lock()
	lost := r.lost()
	r.mu.Unlock()
	for _, change := range lost {
		if _, err := s.Log.Append(ctx, change.Data); err != nil {
			return err
		}
	}
	return nil
}
