package group

import (
	"context"
	"fmt"
	"time"

	"github.com/crowbridge/crowbridge/internal/config"
	"github.com/crowbridge/crowbridge/internal/experts"
	"github.com/crowbridge/crowbridge/internal/replica"
	"github.com/sirupsen/logrus"
)

const (
	// trailQueue is how many events may wait for the store; what is over is in the
	// process's own log only.
	trailQueue = 64
	// trailTimeout bounds one append.
	trailTimeout = 2 * time.Second
)

// Trail puts the leases that this daemon claims and the map changes that it
// brings about onto the audit trail. It implements ranks.Trail.
type Trail struct {
	daemon string
	log    replica.Log
	logger *logrus.Entry
	events chan *config.Event
}

// NewTrail returns the trail of a daemon.
func NewTrail(daemon string, log replica.Log, logger *logrus.Entry) *Trail {
	return &Trail{daemon: daemon, log: log, logger: logger, events: make(chan *config.Event, trailQueue)}
}

// Claimed implements ranks.Trail.
func (t *Trail) LeaseClaimed(group string, fence int64) {
	t.note(config.AuditLease, group, fmt.Sprintf("fence %d", fence))
}

// Changed implements ranks.Trail.
func (t *Trail) MapChanged(group string, change experts.MapChange) {
	t.note(config.AuditMap, group, fmt.Sprintf("map %d from pass %d of epoch %d, %d experts loaded or dropped, fence %d",
		change.Version, change.Pass, change.Epoch, change.Moves, change.Fence))
}

func (t *Trail) note(action config.AuditAction, group, detail string) {
	event := &config.Event{Actor: t.daemon, Action: action, Object: string(config.KindGroup) + "/" + group, Detail: detail}
	select {
	case t.events <- event:
	default:
		t.logger.WithField("event", detail).Warn("left out of the audit trail: too much is waiting")
	}
}

// Run appends what was noted until the context ends.
func (t *Trail) Run(ctx context.Context) {
	for {
		select {
		case event := <-t.events:
			t.append(ctx, event)
		case <-ctx.Done():
			return
		}
	}
}

func (t *Trail) append(ctx context.Context, event *config.Event) {
	ctx, cancel := context.WithTimeout(ctx, trailTimeout)
	defer cancel()
	record := &config.Record{Format: config.FormatVersion, Kind: config.RecordEvent, Event: event}
	data, err := record.Encode()
	if err == nil {
		_, err = t.log.Append(ctx, data)
	}
	if err != nil {
		t.logger.WithError(err).WithField("event", event.Detail).Warn("not confirmed on the audit trail")
	}
}
