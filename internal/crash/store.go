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
	// checkInterval is the time between checks for quarantines missing from the configuration.
	checkInterval = 500 * time.Millisecond
	// maxWriteJitter is the longest random delay before a daemon writes a quarantine found by
	// peers; a daemon with own evidence writes at once. Between partitioned daemons the
	// configuration is the only way to share evidence.
	maxWriteJitter = time.Second
	// appendTimeout bounds an append, retryInterval is the pause after a failed one.
	appendTimeout = 2 * time.Second
	retryInterval = 2 * time.Second
	// endTolerance is the tolerated difference between the configured and the computed end of
	// a quarantine, since the daemons' clocks differ, and how long an expired quarantine remains
	// in the configuration.
	endTolerance = time.Minute
)

// Store persists quarantines in the product's configuration, where they survive restarts of
// all daemons and operators can inspect and end them.
type Store struct {
	detector  *Detector
	replica   *replica.Replica
	configLog replica.Log
	daemon    string
	log       *logrus.Entry
	// wallClock returns the time of day. The detector's clock is valid for comparisons only.
	wallClock func() time.Time
	// active are the quarantines in the last applied configuration.
	active map[quarantine.Digest]*config.Quarantine
	// writeAt is when this daemon writes the pending changes; zero if there are none.
	writeAt time.Time
}

// NewStore returns a daemon's store.
func NewStore(det *Detector, rep *replica.Replica, configLog replica.Log, daemon string, wallClock func() time.Time) *Store {
	return &Store{detector: det, replica: rep, configLog: configLog, daemon: daemon, log: det.log, wallClock: wallClock, active: map[quarantine.Digest]*config.Quarantine{}}
}

// Run reconciles evidence and configuration until ctx ends.
func (s *Store) Run(ctx context.Context) {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		changed := s.replica.Changed()
		s.reconcile(ctx)
		select {
		case <-changed:
		case <-s.detector.changed:
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// reconcile applies the configuration, and writes changes that it lacks.
func (s *Store) reconcile(ctx context.Context) {
	view := s.replica.View()
	s.applyConfig(view)
	now := s.detector.now()
	quarantined := s.detector.table.Quarantined(now)
	s.logNew(quarantined, now)
	changes, local := s.pendingChanges(view, quarantined, now)
	switch {
	case len(changes) == 0:
		s.writeAt = time.Time{}
		return
	case s.writeAt.IsZero() && local:
		s.writeAt = now
	case s.writeAt.IsZero():
		s.writeAt = now.Add(rand.N(maxWriteJitter))
	}
	if !now.Before(s.writeAt) {
		s.writeAt = now.Add(retryInterval)
		s.appendChanges(ctx, changes)
	}
}

// applyConfig applies added and removed quarantines. Daemons expire a quarantine before they
// remove it, so one removed early was released by an operator.
func (s *Store) applyConfig(view *config.View) {
	listed := map[quarantine.Digest]*config.Quarantine{}
	for _, object := range view.List(config.KindQuarantine) {
		d, err := quarantine.ParseDigest(object.Name)
		if err != nil {
			s.log.WithError(err).Error("skipped quarantine with invalid name") // unreachable: names are validated when applied
			continue
		}
		listed[d] = object.Quarantine
		if s.active[d] == nil {
			s.log.WithFields(logrus.Fields{
				"digest": d, "part": object.Quarantine.Part, "servers": object.Quarantine.Servers, "offset": object.Revision - 1,
			}).Info("quarantine active")
		}
		s.detector.table.QuarantineUntil(d, object.Quarantine.Customer, s.detector.now().Add(object.Quarantine.Until().Sub(s.wallClock())))
	}
	for d, former := range s.active {
		switch {
		case listed[d] != nil:
		case s.wallClock().Before(former.Until()):
			s.log.WithFields(logrus.Fields{"digest": d, "offset": view.Configured}).Info("request released from quarantine")
			s.detector.endQuarantine(d)
		default:
			s.detector.table.QuarantineUntil(d, "", time.Time{})
		}
	}
	s.active = listed
}

// logNew logs requests and parts that are newly quarantined.
func (s *Store) logNew(quarantined map[quarantine.Digest]quarantine.Decision, now time.Time) {
	for d, decision := range quarantined {
		if !s.detector.table.MarkAnnounced(d, decision) {
			continue
		}
		fields := logrus.Fields{
			"digest": d, "customer": decision.Info.Customer, "path": decision.Info.Path, "servers": decision.Servers,
			"found_here": decision.LocalExits, "since_ms": now.Sub(decision.Since).Milliseconds(), "for_s": int(decision.Until.Sub(now).Seconds()),
		}
		if decision.Part != nil {
			metrics.GetOrCreateCounter(`crowbridge_prompt_parts_quarantined_total`).Inc()
			fields["part"], fields["service"] = decision.Part.ID, decision.Part.Service
			s.log.WithFields(fields).Warn("prompt part quarantined: servers crash while running requests with it")
			continue
		}
		metrics.GetOrCreateCounter(`crowbridge_requests_quarantined_total`).Inc()
		s.log.WithFields(fields).Warn("request quarantined: servers crash while running it")
	}
}

// pendingChanges returns the changes that bring the configuration in line with the evidence.
// local reports whether this daemon observed any of the exits.
func (s *Store) pendingChanges(view *config.View, quarantined map[quarantine.Digest]quarantine.Decision, now time.Time) (changes []config.Change, local bool) {
	for d, decision := range quarantined {
		object := view.Get(config.KindQuarantine, d.String())
		until := s.wallClock().Add(decision.Until.Sub(now))
		if object != nil && object.Quarantine.Until().Add(endTolerance).After(until) {
			continue
		}
		spec := &config.Quarantine{
			Customer: decision.Info.Customer, Path: decision.Info.Path, Servers: decision.Servers,
			SinceMs: s.wallClock().Add(decision.Since.Sub(now)).UnixMilli(), UntilMs: until.UnixMilli(),
		}
		if decision.Part != nil {
			spec.Part, spec.Service = decision.Part.ID, decision.Part.Service
		}
		change := config.Change{Kind: config.KindQuarantine, Name: d.String(), Object: &config.Object{
			Kind: config.KindQuarantine, Name: d.String(), Quarantine: spec,
		}}
		if object != nil {
			change.ExpectedRevision = object.Revision
		}
		changes = append(changes, change)
		local = local || decision.LocalExits > 0
	}
	for d := range s.active {
		object := view.Get(config.KindQuarantine, d.String())
		change := config.Change{Kind: config.KindQuarantine, Name: d.String(), ExpectedRevision: object.Revision}
		switch until := object.Quarantine.Until(); {
		case s.wallClock().After(until.Add(endTolerance)):
		case s.wallClock().Before(until) && s.detector.table.Cleared(d, object.Quarantine.Servers, now):
			change.Object = endedNow(object, s.wallClock())
		default:
			continue
		}
		changes = append(changes, change)
	}
	return changes, local
}

// endedNow returns a copy of a quarantine's object that ends now.
func endedNow(object *config.Object, now time.Time) *config.Object {
	ended := *object.Quarantine
	ended.UntilMs = now.UnixMilli()
	return &config.Object{Kind: object.Kind, Name: object.Name, Quarantine: &ended}
}

// appendChanges appends each change separately, because another daemon may have made some of
// them.
func (s *Store) appendChanges(ctx context.Context, changes []config.Change) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	for _, change := range changes {
		bundle := &config.Bundle{
			CommandID: uuid.NewString(), Actor: s.daemon, Reason: "servers end while they run this request",
			Changes: []config.Change{change},
		}
		if change.Object == nil || !change.Object.Quarantine.Until().After(s.wallClock()) {
			bundle.Reason = "the quarantine is over, or later evidence speaks for the request"
		}
		data, err := config.NewChange(bundle).Encode()
		if err == nil {
			_, err = s.configLog.Append(ctx, data)
		}
		if err != nil {
			s.log.WithError(err).WithField("digest", change.Name).Warn("failed to append quarantine, retrying")
			return
		}
	}
}
