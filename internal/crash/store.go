package crash

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/quarantine"
	"github.com/crowbridge/crowbridge/internal/replica"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
)

const (
	// keepPace is the time between looks for quarantines that the configuration lacks.
	keepPace = 500 * time.Millisecond
	// keepSpread is how long a daemon waits at most, at random, before it adds one of
	// which it only heard: the daemon that found it adds it at once. Between daemons that are
	// cut off from each other the store is the only way, and each moment may end a server.
	keepSpread = time.Second
	// keepTimeout bounds an append, keepPause is the pause after one that failed.
	keepTimeout = 2 * time.Second
	keepPause   = 2 * time.Second
	// untilSlack is by how much the configuration's end of a quarantine may fall short of
	// what daemons' clocks make of it, and how long one that is over is left in it.
	untilSlack = time.Minute
)

// Keeper keeps quarantines in the product's configuration, where they outlast all daemons
// and operators see them and end them.
type Store struct {
	watch   *Detector
	replica *replica.Replica
	store   replica.Log
	daemon  string
	log     *logrus.Entry
	// wall is the time of day, which the configuration has: the watch's times are for
	// comparing with each other only.
	wall func() time.Time
	// inForce are the quarantines of the configuration as last seen.
	inForce map[quarantine.Digest]*config.Quarantine
	// dueAt is when this daemon adds what is missing; zero while nothing is.
	dueAt time.Time
}

// NewKeeper returns the keeper of a daemon.
func NewStore(w *Detector, rep *replica.Replica, store replica.Log, daemon string, wall func() time.Time) *Store {
	return &Store{watch: w, replica: rep, store: store, daemon: daemon, log: w.log, wall: wall, inForce: map[quarantine.Digest]*config.Quarantine{}}
}

// Run keeps them until the context ends.
func (k *Store) Run(ctx context.Context) {
	tick := time.NewTicker(keepPace)
	defer tick.Stop()
	for {
		changed := k.replica.Changed()
		k.look(ctx)
		select {
		case <-changed:
		case <-k.watch.changed:
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// look applies what the configuration says, and adds to it what it lacks.
func (k *Store) look(ctx context.Context) {
	view := k.replica.View()
	k.apply(view)
	now := k.watch.now()
	quarantined := k.watch.table.Quarantined(now)
	k.announce(quarantined, now)
	changes, foundHere := k.missing(view, quarantined, now)
	switch {
	case len(changes) == 0:
		k.dueAt = time.Time{}
		return
	case k.dueAt.IsZero() && foundHere:
		k.dueAt = now
	case k.dueAt.IsZero():
		k.dueAt = now.Add(rand.N(keepSpread))
	}
	if !now.Before(k.dueAt) {
		k.dueAt = now.Add(keepPause)
		k.add(ctx, changes)
	}
}

// apply quarantines what the configuration says, and releases what it no longer does: one
// that is gone before its time was taken away by an operator. Daemons end one first.
func (k *Store) apply(view *config.View) {
	listed := map[quarantine.Digest]*config.Quarantine{}
	for _, object := range view.List(config.KindQuarantine) {
		d, err := quarantine.ParseDigest(object.Name)
		if err != nil {
			k.log.WithError(err).Error("quarantine passed over") // the fold validates names, so this is a fault of ours
			continue
		}
		listed[d] = object.Quarantine
		if k.inForce[d] == nil {
			k.log.WithFields(logrus.Fields{"digest": d, "servers": object.Quarantine.Servers, "offset": object.Revision - 1}).
				Info("quarantine in force")
		}
		k.watch.table.QuarantineUntil(d, k.watch.now().Add(object.Quarantine.Until().Sub(k.wall())))
	}
	for d, former := range k.inForce {
		switch {
		case listed[d] != nil:
		case k.wall().Before(former.Until()):
			k.log.WithFields(logrus.Fields{"digest": d, "offset": view.Configured}).Info("request released from quarantine")
			k.watch.release(d)
		default:
			k.watch.table.QuarantineUntil(d, time.Time{})
		}
	}
	k.inForce = listed
}

// announce writes a line for each request that is quarantined now and wasn't.
func (k *Store) announce(quarantined map[quarantine.Digest]quarantine.Decision, now time.Time) {
	for d, v := range quarantined {
		if !k.watch.table.MarkAnnounced(d, v) {
			continue
		}
		metrics.GetOrCreateCounter(`crowbridge_requests_quarantined_total`).Inc()
		k.log.WithFields(logrus.Fields{
			"digest": d, "customer": v.Info.Customer, "path": v.Info.Path, "servers": v.Servers, "found_here": v.LocalExits, "for_s": int(v.Until.Sub(now).Seconds()),
		}).Warn("request quarantined: servers end while they run it")
	}
}

// missing are the changes after which the configuration has the quarantines that it
// should. foundHere tells whether this daemon saw any of the ends that it lacks.
func (k *Store) missing(view *config.View, quarantined map[quarantine.Digest]quarantine.Decision, now time.Time) (changes []config.Change, foundHere bool) {
	for d, v := range quarantined {
		object := view.Get(config.KindQuarantine, d.String())
		until := k.wall().Add(v.Until.Sub(now))
		if object != nil && object.Quarantine.Until().Add(untilSlack).After(until) {
			continue
		}
		change := config.Change{Kind: config.KindQuarantine, Name: d.String(), Object: &config.Object{
			Kind: config.KindQuarantine, Name: d.String(),
			Quarantine: &config.Quarantine{
				Customer: v.Info.Customer, Path: v.Info.Path, Servers: v.Servers,
				SinceMs: k.wall().Add(v.Since.Sub(now)).UnixMilli(), UntilMs: until.UnixMilli(),
			},
		}}
		if object != nil {
			change.ExpectedRevision = object.Revision
		}
		changes = append(changes, change)
		foundHere = foundHere || v.LocalExits > 0
	}
	for d := range k.inForce {
		object := view.Get(config.KindQuarantine, d.String())
		change := config.Change{Kind: config.KindQuarantine, Name: d.String(), ExpectedRevision: object.Revision}
		switch until := object.Quarantine.Until(); {
		case k.wall().After(until.Add(untilSlack)):
		case k.wall().Before(until) && k.watch.table.Cleared(d, object.Quarantine.Servers, now):
			change.Object = ended(object, k.wall())
		default:
			continue
		}
		changes = append(changes, change)
	}
	return changes, foundHere
}

// ended is a quarantine's object once it's over.
func ended(object *config.Object, now time.Time) *config.Object {
	over := *object.Quarantine
	over.UntilMs = now.UnixMilli()
	return &config.Object{Kind: object.Kind, Name: object.Name, Quarantine: &over}
}

// add puts changes onto the log, each by itself: another daemon may have made some of them.
func (k *Store) add(ctx context.Context, changes []config.Change) {
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	for _, change := range changes {
		bundle := &config.Bundle{
			CommandID: uuid.NewString(), Actor: k.daemon, Reason: "servers end while they run this request",
			Changes: []config.Change{change},
		}
		if change.Object == nil || !change.Object.Quarantine.Until().After(k.wall()) {
			bundle.Reason = "the quarantine is over, or later evidence speaks for the request"
		}
		data, err := config.NewChange(bundle).Encode()
		if err == nil {
			_, err = k.store.Append(ctx, data)
		}
		if err != nil {
			k.log.WithError(err).WithField("digest", change.Name).Warn("quarantine not confirmed on the store: trying again")
			return
		}
	}
}
