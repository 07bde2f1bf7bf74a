package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/storelog"
	"github.com/crowbridge/crowbridge/internal/wait"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

const (
	// defaultPollTimeout is how long one read waits for new records.
	defaultPollTimeout = time.Second
	// initialPollTimeout applies until the log has been read, so that a new VM quickly finds out
	// whether a configuration exists.
	initialPollTimeout = 50 * time.Millisecond
	// staleMargin is the LogAge beyond the poll timeout at which a source is abandoned for the next
	// one.
	staleMargin = 3 * time.Second
	// readTimeout limits a read beyond its wait; initialReadTimeout is the total limit until the
	// log has been read, so that the next source is tried soon.
	readTimeout        = 2 * time.Second
	initialReadTimeout = 500 * time.Millisecond
	minBackoff         = 100 * time.Millisecond
	maxBackoff         = 2 * time.Second
)

// rotation selects the source to read from: the first one that responds and isn't stale. It
// periodically returns to the first source.
type rotation struct {
	sources    int
	current    int
	failures   int // consecutive
	switchedAt time.Time
}

// preferFirstAfter is the time after a switch at which the first source is tried again,
// so that a daemon doesn't stay with another one for good.
const preferFirstAfter = 30 * time.Second

// recordSuccess records that the current source responded and isn't stale.
func (t *rotation) recordSuccess(now time.Time) {
	t.failures = 0
	if t.current != 0 && now.Sub(t.switchedAt) >= preferFirstAfter {
		t.current = 0
	}
}

// recordFailure moves on to the next source. It returns the delay before the next read, which is
// zero until all sources have failed.
func (t *rotation) recordFailure(now time.Time) time.Duration {
	t.current = (t.current + 1) % t.sources
	t.switchedAt = now
	t.failures++
	if t.failures%t.sources != 0 {
		return 0
	}
	return backoff(t.failures / t.sources)
}

// Follow keeps the replica up to date until the context ends. If all sources are stale, it rotates
// through them, so that the first one to reach the log again is found.
func (r *Replica) Follow(ctx context.Context, sources []Source, log *logrus.Entry) {
	rot := rotation{sources: len(sources)}
	for ctx.Err() == nil {
		source := sources[rot.current]
		age, err := r.followOnce(ctx, source, log)
		if errors.Is(err, errReadRestarted) {
			rot.current = 0
			continue
		}
		if err == nil && age < r.pollTimeout+staleMargin {
			rot.recordSuccess(r.now())
			continue
		}
		if err != nil && ctx.Err() == nil {
			log.WithError(err).WithField("source", source.Name()).Debug("read failed")
		}
		if pause := rot.recordFailure(r.now()); pause > 0 {
			wait.For(ctx, jitter(pause))
		}
	}
}

// errReadRestarted is returned by a read that was interrupted to start again with the first source.
var errReadRestarted = errors.New("read restarted with the first source")

// followOnce reads once from a source. It returns the source's LogAge.
func (r *Replica) followOnce(ctx context.Context, source Source, log *logrus.Entry) (time.Duration, error) {
	wait := r.readTrust.MaxWait(r.pollTimeout, r.now())
	timeout := wait + readTimeout
	if !r.HasSynced() {
		wait, timeout = initialPollTimeout, initialReadTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ctx, cancelRead := context.WithCancelCause(ctx)
	defer cancelRead(nil)
	go func() {
		select {
		case <-r.peerAhead:
			cancelRead(nil)
		case <-r.restartRead:
			cancelRead(errReadRestarted)
		case <-ctx.Done():
		}
	}()
	age, err := r.readOnce(ctx, source, wait, log)
	if err != nil && errors.Is(context.Cause(ctx), errReadRestarted) {
		return 0, errReadRestarted
	}
	return age, err
}

func (r *Replica) readOnce(ctx context.Context, source Source, wait time.Duration, log *logrus.Entry) (time.Duration, error) {
	defer r.logRejected(log)
	r.repeatMissing(ctx, source, log)
	batch, err := source.Records(ctx, r.Position(), wait)
	if err != nil {
		r.readTrust.Revoke(r.now())
		return 0, err
	}
	if batch.Gone {
		r.readTrust.Revoke(r.now())
		return batch.LogAge, r.catchUp(ctx, source, log)
	}
	return batch.LogAge, r.Apply(batch)
}

// catchUp installs a snapshot from a source that no longer has the next record. If the source is
// the log and is in a newer era, it carries the state over instead.
func (r *Replica) catchUp(ctx context.Context, source Source, log *logrus.Entry) error {
	if s, ok := source.(LogSource); ok {
		entered, err := r.carryOver(ctx, s.Log, log)
		if entered || err != nil {
			return err
		}
	}
	state, err := source.State(ctx)
	if err != nil {
		return err
	}
	if !r.InstallState(state) {
		return errors.Errorf("%s: state at %s isn't newer than this replica's at %s", source.Name(), state.Position, r.Position())
	}
	return nil
}

func backoff(round int) time.Duration {
	return min(minBackoff<<min(round, 5), maxBackoff)
}

// jitter returns between half and all of a delay, so that daemons that lost the same source don't
// return in step.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

// LogSource reads from the platform's log.
type LogSource struct {
	Log Log
}

// Name implements Source.
func (LogSource) Name() string { return "log" }

// Records implements Source.
func (s LogSource) Records(ctx context.Context, after storelog.Position, wait time.Duration) (Batch, error) {
	entries, err := s.Log.Read(ctx, after, wait)
	if errors.Is(err, ErrGone) {
		return Batch{Gone: true}, nil
	}
	return Batch{Entries: entries}, err
}

// State implements Source. It returns the state that is persisted in the store.
func (s LogSource) State(ctx context.Context) (*config.State, error) {
	snapshot, err := s.Log.LoadSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	if snapshot == nil {
		return nil, errors.New("the store has no snapshot")
	}
	return config.DecodeSnapshot(snapshot)
}
