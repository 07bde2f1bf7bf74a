package replica

import (
	"context"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/storelog"
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
// replica's era or no longer has the records after the replica's position.
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
		logger.Info("configuration log restored from an older copy: another daemon carried the state over")
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
	r.mu.Lock()
	compared := len(r.recent)
	r.mu.Unlock()
	logger.WithFields(logrus.Fields{
		"first": first.String(), "compared_from": (known - storelog.Position(compared) + 1).String(), "compared": compared,
		"common": common, "lost": known.Offset() - common,
	}).Warn("configuration log restored from an older copy: carrying the state over")
	return true, r.writeRestore(ctx, log, entries[common+1-first.Offset():], end)
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

// lastCommonOffset compares the replica's records with those of the log in another era, of which
// the first is at the given position. It returns the last offset up to which both are known to be
// equal.
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

// enterEra continues in another era with the records after a known position.
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

// leaveEra retains the changes of the current era before the replica leaves it. The view keeps them
// for viewHold even if the replica can't write them to the log again.
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

// writeRestore appends the state after newer, the records that the replica lacks, provided that the
// log still ends at the position end.
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
	_, err = log.AppendAt(ctx, end, records) // the next read returns the state that was carried over
	return err
}

// missingChanges returns the changes of prior eras that the state lacks, because a daemon without
// them carried its state over.
func (r *Replica) missingChanges() []config.RecentChange {
	var missing []config.RecentChange
	for _, change := range r.priorEraChanges {
		if _, known := r.state.Results[change.Command]; !known {
			missing = append(missing, change)
		}
	}
	return missing
}

// reappendMissing appends missing changes if the source is the log. Each change takes effect once,
// however many daemons append it.
func (r *Replica) reappendMissing(ctx context.Context, source Source, logger *logrus.Entry) error {
	s, ok := source.(LogSource)
	if !ok {
		return nil
	}
	r.mu.Lock()
	missing := r.missingChanges()
	r.mu.Unlock()
	for _, change := range missing {
		at, err := s.Log.Append(ctx, change.Data)
		if err != nil {
			return err
		}
		r.mu.Lock()
		r.reappended = append(r.reappended, change.Command)
		r.mu.Unlock()
		logger.WithFields(logrus.Fields{"command": change.Command, "position": at.String()}).Warn("change that the restored log lacks: appended again")
	}
	return nil
}

// logReappended logs the results of changes that were appended again and have been read back.
func (r *Replica) logReappended(logger *logrus.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var pending []string
	for _, command := range r.reappended {
		result, known := r.state.Results[command]
		if !known {
			pending = append(pending, command)
			continue
		}
		logger.WithFields(logrus.Fields{
			"command": command, "position": storelog.Position(result.Offset).String(), "accepted": result.Accepted, "reason": result.Reason,
		}).Warn("result of a change that was appended again")
	}
	r.reappended = pending
}
