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
	case r.restartRead <- struct{}{}:
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
	if i := findRestore(entries); i >= 0 {
		logger.Info("the configuration log has come back from an older copy: another daemon has carried the state over")
		return true, r.enterEra(entries[i].Position-1, entries[i:])
	}
	first := end - storelog.Position(len(entries))
	if known.Offset() < first.Offset()-1 {
		return false, nil
	}
	if !known.HasRecord() {
		return true, r.enterEra(first-1, entries)
	}
	common := r.lastCommonOffset(entries, first)
	logger.WithField("lost", known.Offset()-common).Warn("the configuration log has come back from an older copy: the state is carried over")
	return true, r.writeRestore(ctx, log, entries[common+1-first.Offset():], end)
}

// restoredAt returns the index of the first part of a state that was carried over into the
// present era, or -1.
func findRestore(entries []config.LogEntry) int {
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
func (r *Replica) lastCommonOffset(entries []config.LogEntry, first storelog.Position) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.state.Position.Offset()
	if at := last - first.Offset(); at < 0 || at < int64(len(entries)) && entries[at].Digest() == r.state.Last {
		return last
	}
	common := first.Offset() - 1
	for i, entry := range r.recent {
		offset := last - int64(len(r.recent)-1-i)
		at := offset - first.Offset()
		if at >= int64(len(entries)) || at >= 0 && entries[at].Digest() != entry.Digest() {
			break
		}
		common = max(common, offset)
	}
	return common
}

// enter goes on in another era, whose records up to a position are known, with those after it.
func (r *Replica) enterEra(known storelog.Position, entries []config.LogEntry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmEnd(0)
	r.leaveEra()
	r.state.EnterEra(known)
	err := r.apply(entries)
	r.publish()
	return err
}

// leaveEra notes the changes of the present era, before the replica leaves it. The view keeps
// them for a while, also where the replica can't write them again.
func (r *Replica) leaveEra() {
	r.viewHeldUntil = r.now().Add(viewHold)
	time.AfterFunc(viewHold, r.releaseView)
	r.priorEraChanges = append(r.priorEraChanges, r.state.RecentChanges...)
	r.recent = nil
}

// releaseView replaces a view that was held.
func (r *Replica) releaseView() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.priorEraChanges) > 0 && !r.now().Before(r.viewHeldUntil) {
		r.publish()
	}
}

// restore puts the state onto the log, with what has been added there since the copy was
// taken, if the log still ends where it did.
func (r *Replica) writeRestore(ctx context.Context, log Log, newer []config.LogEntry, end storelog.Position) error {
	r.mu.Lock()
	known := r.state.Position
	state, err := r.state.Clone()
	r.mu.Unlock()
	if err != nil {
		return err
	}
	state.EnterEra(end - storelog.Position(len(newer)) - 1)
	for _, entry := range newer {
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
func (r *Replica) missing() []config.RecentChange {
	var missing []config.RecentChange
	for _, change := range r.priorEraChanges {
		if _, known := r.state.Results[change.Command]; !known {
			missing = append(missing, change)
		}
	}
	return missing
}

// reappendLost writes lost changes to the log, if that is the source. Each takes effect once
// however many daemons write it.
func (r *Replica) reappendMissing(ctx context.Context, source Source) error {
	s, ok := source.(LogSource)
	if !ok {
		return nil
	}
	r.mu.Lock()
	missing := r.missing()
	r.mu.Unlock()
	for _, change := range missing {
		if _, err := s.Log.Append(ctx, change.Data); err != nil {
			return err
		}
	}
	return nil
}
