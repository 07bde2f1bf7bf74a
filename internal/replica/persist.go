package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/storelog"
	"github.com/crowbridge/crowbridge/internal/wait"
	"github.com/sirupsen/logrus"
)

const (
	// persistInterval is the minimum time between checks whether to persist the state. Each daemon
	// waits up to twice as long at random, so that usually only one writes.
	persistInterval = time.Second
	// maxPersistInterval is how often the state is persisted if records were added but no change was
	// accepted. It must be well below the log's retention of 300 s.
	maxPersistInterval = 60 * time.Second
	// persistTimeout limits one attempt.
	persistTimeout = 3 * time.Second
)

// snapshotSchedule decides when to persist a replica's state.
type snapshotSchedule struct {
	position    storelog.Position
	configured  int64
	persistedAt time.Time
}

// due reports whether to persist a view now: at once after an accepted change or in a new era, and
// otherwise every maxPersistInterval if there were other records. In a new era, the persisted state
// is that of the older copy, too.
func (s *snapshotSchedule) due(now time.Time, view *config.View) bool {
	if view.Position.Offset() < 0 {
		return false
	}
	if view.Configured > s.configured || view.Position.Era() > s.position.Era() {
		return view.Position > s.position
	}
	return view.Position > s.position && now.Sub(s.persistedAt) >= maxPersistInterval
}

func (s *snapshotSchedule) recordPersisted(now time.Time, view *config.View) {
	s.position, s.configured, s.persistedAt = view.Position, view.Configured, now
}

// PersistSnapshots writes the state to the store when it is due, until the context ends. Several
// daemons may do so concurrently: an older state never replaces a newer one.
func (r *Replica) PersistSnapshots(ctx context.Context, log Log, logger *logrus.Entry) {
	schedule := snapshotSchedule{position: storelog.Unknown, configured: config.NoOffset, persistedAt: r.now()}
	for wait.For(ctx, persistInterval+rand.N(persistInterval)) {
		view := r.View()
		if !schedule.due(r.now(), view) {
			continue
		}
		if err := r.persistOnce(ctx, log); err != nil {
			logger.WithError(err).WithField("position", view.Position.String()).Warn("state not persisted, will retry")
			continue
		}
		schedule.recordPersisted(r.now(), view)
		logger.WithField("position", view.Position.String()).Info("state persisted")
	}
}

func (r *Replica) persistOnce(ctx context.Context, log Log) error {
	ctx, cancel := context.WithTimeout(ctx, persistTimeout)
	defer cancel()
	snapshot, at, err := r.Snapshot()
	if err != nil {
		return err
	}
	return log.SaveSnapshot(ctx, at, snapshot)
}
