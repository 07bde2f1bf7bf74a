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
	// defaultWait is how long one read waits for new records.
	defaultPollTimeout = time.Second
	// firstWait is used instead until the log has been heard of, so that a fresh VM
	// soon knows whether there is a configuration.
	initialPollTimeout = 50 * time.Millisecond
	// staleMargin is by how much a source's news may be older than a read waits before
	// it is given up for the next.
	staleMargin = 3 * time.Second
	// readTimeout bounds a read beyond its wait; firstTimeout does until the log has
	// been heard of, so that another source is asked soon.
	readTimeout        = 2 * time.Second
	initialReadTimeout = 500 * time.Millisecond
	minBackoff         = 100 * time.Millisecond
	maxBackoff         = 2 * time.Second
)

// rotation chooses the source to read from: the first of the list that answers
// and isn't stale. It comes back to the first one from time to time, so that a
// daemon that had to go elsewhere doesn't stay there for good.
type rotation struct {
	sources    int
	current    int
	failures   int // in a row
	switchedAt time.Time
}

// preferAgain is how long after a move the first source is tried again.
const preferFirstAfter = 30 * time.Second

// good notes that the present source answered and isn't stale.
func (t *rotation) recordSuccess(now time.Time) {
	t.failures = 0
	if t.current != 0 && now.Sub(t.switchedAt) >= preferFirstAfter {
		t.current = 0
	}
}

// bad moves on to the next source, and returns how long to pause before it's
// asked: not at all until all have failed.
func (t *rotation) recordFailure(now time.Time) time.Duration {
	t.current = (t.current + 1) % t.sources
	t.switchedAt = now
	t.failures++
	if t.failures%t.sources != 0 {
		return 0
	}
	return backoff(t.failures / t.sources)
}

// Follow keeps the replica up to date until the context ends. When all sources
// are stale it goes round them, so that whoever hears from the log first is found.
func (r *Replica) Follow(ctx context.Context, sources []Source, log *logrus.Entry) {
	rotation := rotation{sources: len(sources)}
	for ctx.Err() == nil {
		source := sources[rotation.current]
		age, err := r.followOnce(ctx, source, log)
		if errors.Is(err, errReadRestarted) {
			rotation.current = 0
			continue
		}
		if err == nil && age < r.pollTimeout+staleMargin {
			rotation.recordSuccess(r.now())
			continue
		}
		if err != nil && ctx.Err() == nil {
			log.WithError(err).WithField("source", source.Name()).Debug("read failed")
		}
		if pause := rotation.recordFailure(r.now()); pause > 0 {
			wait.For(ctx, jitter(pause))
		}
	}
}

// errReread ends a read whose source is to be the first one again.
var errReadRestarted = errors.New("the first source is read again")

// followOnce reads once from a source. It returns how long ago the log was heard of there.
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
	if err := r.reappendMissing(ctx, source); err != nil {
		return 0, err
	}
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

// heal takes a snapshot from a source that no longer has the records we need, unless that is
// the log and it has come back in another era.
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
		return errors.Errorf("%s offers a state no newer than ours", source.Name())
	}
	return nil
}

func backoff(round int) time.Duration {
	return min(minBackoff<<min(round, 5), maxBackoff)
}

// jitter spreads a delay over half to the whole of it, so that many daemons
// that lost the same source don't return at once.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}

// LogSource reads the platform's log.
type LogSource struct {
	// Log is the platform's log service.
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

// State implements Source: it returns the state that lasts on the store.
func (s LogSource) State(ctx context.Context) (*config.State, error) {
	snapshot, err := s.Log.LoadSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	if snapshot == nil {
		return nil, errors.New("the store keeps no state")
	}
	return config.DecodeSnapshot(snapshot)
}
