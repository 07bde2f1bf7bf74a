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
	keepPace = time.Second
	// keepAtLeast is how often the state is kept although only events have come since:
	// well below the time for which the log keeps records, 300 s at the users'.
	keepAtLeast = 60 * time.Second
	// keepTimeout bounds one try.
	keepTimeout = 3 * time.Second
)

// keeper decides when a replica's state has to be kept.
type keeper struct {
	position   storelog.Position
	configured int64
	at         time.Time
}

// due tells whether a view is to be kept now: soon after a change and in another era of the
// log, whose copy of the kept state is older, and from time to time after other records.
func (k *keeper) due(now time.Time, view *config.View) bool {
	if view.Position.Offset() < 0 {
		return false
	}
	if view.Configured > k.configured || view.Position.Era() > k.position.Era() {
		return view.Position > k.position
	}
	return view.Position > k.position && now.Sub(k.at) >= keepAtLeast
}

func (k *keeper) done(now time.Time, view *config.View) {
	k.position, k.configured, k.at = view.Position, view.Configured, now
}

// PersistSnapshots puts the replica's state where it lasts whenever it has changed, until the
// context ends. Several daemons may do so: an older state never replaces a newer one.
func (r *Replica) PersistSnapshots(ctx context.Context, log Log, logger *logrus.Entry) {
	k := keeper{position: storelog.Unknown, configured: config.NoOffset, at: r.now()}
	for wait.For(ctx, keepPace+rand.N(keepPace)) {
		view := r.View()
		if !k.due(r.now(), view) {
			continue
		}
		if err := r.keepOnce(ctx, log); err != nil {
			logger.WithError(err).WithField("position", view.Position.String()).Warn("state not kept on the store; trying again")
			continue
		}
		k.done(r.now(), view)
		logger.WithField("position", view.Position.String()).Info("state kept on the store")
	}
}

func (r *Replica) keepOnce(ctx context.Context, log Log) error {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	snapshot, at, err := r.Snapshot()
	if err != nil {
		return err
	}
	return log.SaveSnapshot(ctx, at, snapshot)
}
