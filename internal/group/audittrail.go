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
	// auditQueueSize bounds the events that wait for the store. Further events are only
	// logged.
	auditQueueSize = 64
	// auditTimeout bounds one append.
	auditTimeout = 2 * time.Second
)

// AuditTrail records this daemon's leases and map changes on the audit trail. It implements
// ranks.AuditTrail.
type AuditTrail struct {
	daemon string
	log    replica.Log
	logger *logrus.Entry
	events chan *config.Event
}

// NewAuditTrail returns a daemon's audit trail.
func NewAuditTrail(daemon string, log replica.Log, logger *logrus.Entry) *AuditTrail {
	return &AuditTrail{daemon: daemon, log: log, logger: logger, events: make(chan *config.Event, auditQueueSize)}
}

// LeaseClaimed implements ranks.AuditTrail.
func (t *AuditTrail) LeaseClaimed(group string, fence int64) {
	t.enqueue(config.AuditLease, group, fmt.Sprintf("fence %d", fence))
}

// MapChanged implements ranks.AuditTrail.
func (t *AuditTrail) MapChanged(group string, change experts.MapChange) {
	t.enqueue(config.AuditMap, group, fmt.Sprintf("map %d from pass %d of epoch %d, %d experts loaded or dropped, fence %d",
		change.Version, change.Pass, change.Epoch, change.Moves, change.Fence))
}

func (t *AuditTrail) enqueue(action config.AuditAction, group, detail string) {
	event := &config.Event{Actor: t.daemon, Action: action, Object: string(config.KindGroup) + "/" + group, Detail: detail}
	select {
	case t.events <- event:
	default:
		t.logger.WithField("event", detail).Warn("audit queue full, event dropped")
	}
}

// Run appends queued events until ctx ends.
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
		t.logger.WithError(err).WithField("event", event.Detail).Warn("failed to append audit event")
	}
}
