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
	auditQueueSize = 64
	// trailTimeout bounds one append.
	auditTimeout = 2 * time.Second
)

// Trail puts the leases that this daemon claims and the map changes that it
// brings about onto the audit trail. It implements ranks.Trail.
type AuditTrail struct {
	daemon string
	log    replica.Log
	logger *logrus.Entry
	events chan *config.Event
}

// NewTrail returns the trail of a daemon.
func NewAuditTrail(daemon string, log replica.Log, logger *logrus.Entry) *AuditTrail {
	return &AuditTrail{daemon: daemon, log: log, logger: logger, events: make(chan *config.Event, auditQueueSize)}
}

// Claimed implements ranks.Trail.
func (t *AuditTrail) LeaseClaimed(group string, fence int64) {
	t.enqueue(config.AuditLease, group, fmt.Sprintf("fence %d", fence))
}

// Changed implements ranks.Trail.
func (t *AuditTrail) MapChanged(group string, change experts.MapChange) {
	t.enqueue(config.AuditMap, group, fmt.Sprintf("map %d from pass %d of epoch %d, %d experts loaded or dropped, fence %d",
		change.Version, change.Pass, change.Epoch, change.Moves, change.Fence))
}

func (t *AuditTrail) enqueue(action config.AuditAction, group, detail string) {
	event := &config.Event{Actor: t.daemon, Action: action, Object: string(config.KindGroup) + "/" + group, Detail: detail}
	select {
	case t.events <- event:
	default:
		t.logger.WithField("event", detail).Warn("left out of the audit trail: too much is waiting")
	}
}

// Run appends what was noted until the context ends.
func (t *AuditTrail) Run(ctx context.Context) {
	for {
		select {
		case event := <-t.events:
			t.append(ctx, event)
		case <-ctx.Done():
			return
		}
	}
}

func (t *AuditTrail) append(ctx context.Context, event *config.Event) {
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
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
