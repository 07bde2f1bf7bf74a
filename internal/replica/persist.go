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
	// keepPace is the time between looks whether the state is to be kept. Each daemon
	// waits up to twice as long at random, so that usually one writes.
	persistInterval = time.Second
	// keepAtLeast is how often the state is kept although only events have come since:
	// well below the time for which the log keeps records, 300 s at the users'.
	maxPersistInterval = 60 * time.Second
	// keepTimeout bounds one try.
	persistTimeout = 3 * time.Second
)

// keeper decides when a replica's state has to be kept.
type snapshotSchedule struct {
	position    storelog.Position
	configured  int64
	persistedAt time.Time
}

// due tells whether a view is to be kept now: soon after a change and in another era of the
// log, whose copy of the kept state is older, and from time to time after other records.
func (k *snapshotSchedule) due(now time.Time, view *config.View) bool {
	if view.Position.Offset() < 0 {
		return false
	}
	if view.Configured > k.configured || view.Position.Era() > k.position.Era() {
		return view.Position > k.position
	}
	return view.Position > k.position && now.Sub(k.persistedAt) >= maxPersistInterval
}

func (k *snapshotSchedule) recordPersisted(now time.Time, view *config.View) {
	k.position, k.configured, k.persistedAt = view.Position, view.Configured, now
}

// PersistSnapshots puts the replica's state where it lasts whenever it has changed, until the
// context ends. Several daemons may do so: an older state never replaces a newer one.
func (r *Replica) PersistSnapshots(ctx context.Context, log Log, logger *logrus.Entry) {
	schedule := snapshotSchedule{position: storelog.Unknown, configured: config.NoOffset, persistedAt: r.now()}
	for wait.For(ctx, persistInterval+rand.N(persistInterval)) {
		view := r.View()
		if !schedule.due(r.now(), view) {
			continue
		}
		if err := r.persistOnce(ctx, log); err != nil {
			logger.WithError(err).WithField("position", view.Position.String()).Warn("state not kept on the store; trying again")
			continue
		}
		schedule.recordPersisted(r.now(), view)
		logger.WithField("position", view.Position.String()).Info("state kept on the store")
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
