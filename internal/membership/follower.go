package membership

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/crowbridge/crowbridge/internal/longpoll"
	"github.com/crowbridge/crowbridge/internal/storelog"
	"github.com/crowbridge/crowbridge/internal/wait"
	"github.com/sirupsen/logrus"
)

// ErrGone is returned for a position whose records the store no longer has.
var ErrGone = errors.New("records are no longer in the store")

// Topic is a topic of the store.
type Topic int

// The topics that are followed: the operators' configuration and the servers' registrations.
const (
	TopicOperators Topic = iota
	TopicServers
)

// topicCount is the number of topics.
const topicCount = 2

// String returns the name of the topic for logs.
func (t Topic) String() string {
	if t == TopicOperators {
		return "operators"
	}
	return "servers"
}

var readsGone = metrics.NewCounter("crowbridge_store_reads_gone_total")

// Store reads the platform's store.
type Store interface {
	// Read returns the records of a topic from a position on, and the position after them. It waits
	// for the first record. It returns ErrGone if the records are no longer kept or the store is in
	// another era than the position.
	Read(ctx context.Context, topic Topic, from storelog.Position, wait time.Duration) ([]Record, storelog.Position, error)
	// Newest returns the newest record of each key and the position from which to continue.
	Newest(ctx context.Context, topic Topic) ([]Record, storelog.Position, error)
}

// ZoneReader is the daemon of an availability zone that reads the registrations from the store on
// behalf of the zone's other daemons.
type ZoneReader interface {
	// Refresh pulls the registrations from the zone's reader. It reports whether they are now at
	// most maxAge old. It always returns false at the reader itself.
	Refresh(ctx context.Context, maxAge time.Duration) bool
	// ReadsForZone reports whether this daemon is the reader and others pull from it.
	ReadsForZone() bool
	// ReadsDirectly reports whether this daemon reads the store itself: it is the reader, or the
	// only daemon of its zone.
	ReadsDirectly() bool
}

const (
	// maxConfigPollTimeout is how long one read waits for a new configuration. Each read is billed,
	// so it is close to the store's limit of 30 s. Keep-alive probes detect a broken connection,
	// and pulls from the zone's reader cover what a read misses.
	maxConfigPollTimeout = 28 * time.Second
	// intervalFraction is the time between reads of registrations as a fraction of the time within
	// which requests must stop going to a leaving server. defaultInterval applies if that time
	// isn't set.
	intervalFraction = 0.55
	defaultInterval  = 900 * time.Millisecond
	// readerIntervalFraction is the interval of the zone's reader, and relayedAgeFraction the
	// maximum age of registrations pulled from it, as fractions of the interval. The reader's
	// registrations are always younger than that while it is healthy.
	readerIntervalFraction = 0.8
	relayedAgeFraction     = 0.9
	// callTimeout limits a call to the store, in addition to the time that it waits for records.
	callTimeout = 900 * time.Millisecond
	// minRetryDelay and maxRetryDelay limit the delay after a failed call.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
)

// errReadRestarted is returned by a long poll that was interrupted to start again.
var errReadRestarted = errors.New("read restarted")

// errStoreBehind is returned if the store ends before the known position in the same era. The read
// is retried after a delay.
var errStoreBehind = errors.New("the store ends before the known position in the same era")

// sourceStore is the name of the store in logs.
const sourceStore = "store"

// Follower keeps a Membership up to date from the store.
type Follower struct {
	members  *Membership
	store    Store
	zone     ZoneReader
	log      *logrus.Entry
	interval time.Duration
	// failures is the number of consecutive failed reads of registrations.
	failures int
	// healthy is set if the last read of registrations from the store succeeded.
	healthy atomic.Bool
	// refresh triggers the next refresh of the registrations.
	refresh chan struct{}
	// restartRead interrupts the long poll for a configuration.
	restartRead chan struct{}
	// unreachable receives a value when the store becomes unreachable.
	unreachable chan struct{}
	// onReachable is called when the store becomes reachable.
	onReachable func()
	// readTrust tracks whether an empty long poll can be trusted. readPosition is the position from
	// which the current one reads.
	readTrust    longpoll.Trust
	readPosition atomic.Int64
	// lastGone is the last position of each topic that the store didn't have. Only the topic's own
	// goroutine accesses it.
	lastGone [topicCount]storelog.Position
}

// NewFollower returns a Follower. If zone is nil, it always reads from the store. stopRouting is
// the time within which requests must stop going to a leaving server, or 0 for the default
// interval.
func NewFollower(members *Membership, store Store, zone ZoneReader, stopRouting time.Duration, log *logrus.Entry) *Follower {
	interval := time.Duration(intervalFraction * float64(stopRouting))
	if interval <= 0 {
		interval = defaultInterval
	}
	f := &Follower{
		members: members, store: store, zone: zone, log: log, interval: interval, onReachable: func() {},
		refresh: make(chan struct{}, 1), restartRead: make(chan struct{}, 1), unreachable: make(chan struct{}, 1),
	}
	members.onPeerAhead = f.handlePeerAhead
	return f
}

// Healthy reports whether the last read of registrations from the store succeeded.
func (f *Follower) Healthy() bool { return f.healthy.Load() }

// OnReachable sets a callback that runs when the store becomes reachable. It must be called before
// the follower runs.
func (f *Follower) OnReachable(callback func()) { f.onReachable = callback }

// Unreachable returns a channel that receives a value when the store becomes unreachable.
func (f *Follower) Unreachable() <-chan struct{} { return f.unreachable }

// FollowConfig follows the operators' topic until the context ends.
func (f *Follower) FollowConfig(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		err := f.readConfig(ctx)
		if err == nil {
			failures = 0
			continue
		}
		failures++
		if !errors.Is(err, errReadRestarted) {
			f.revokeReadTrust(err)
		}
		wait.For(ctx, retryDelay(failures))
	}
}

func (f *Follower) readConfig(ctx context.Context) error {
	from := f.members.positions().operators
	if from == storelog.Unknown {
		return f.readNewest(ctx, TopicOperators)
	}
	pollTimeout := f.configPollTimeout()
	f.readPosition.Store(int64(from))
	ctx, cancel := context.WithTimeout(ctx, pollTimeout+callTimeout)
	defer cancel()
	ctx, cancelRead := context.WithCancelCause(ctx)
	defer cancelRead(nil)
	go func() {
		select {
		case <-f.restartRead:
			cancelRead(errReadRestarted)
		case <-ctx.Done():
		}
	}()
	requestedAt := f.members.now()
	records, next, err := f.store.Read(ctx, TopicOperators, from, pollTimeout)
	if err != nil && errors.Is(context.Cause(ctx), errReadRestarted) {
		return errReadRestarted
	}
	if errors.Is(err, ErrGone) {
		f.revokeReadTrust(err)
		f.recordGone(TopicOperators, from)
		err := f.readNewest(ctx, TopicOperators)
		if err == nil && f.members.positions().operators == from {
			err = errStoreBehind
		}
		return err
	}
	if err == nil {
		f.members.mergeOperators(records, next, false, sourceStore)
		f.members.confirmOperators(requestedAt)
	}
	return err
}

// FollowServers follows the registrations until the context ends. It also detects whether the store
// is reachable.
func (f *Follower) FollowServers(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(f.refreshServers(ctx))
		select {
		case <-timer.C:
		case <-f.refresh:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// RestartReads refreshes the registrations and restarts the long poll: its connection may have died
// while this VM was suspended.
func (f *Follower) RestartReads() {
	signal(f.refresh)
	signal(f.restartRead)
}

// refreshServers gets the registrations from the zone's reader or from the store. It returns the
// delay until the next refresh, which is due when the registrations are one interval old.
func (f *Follower) refreshServers(ctx context.Context) time.Duration {
	if f.zone != nil && f.failures == 0 && f.zone.Refresh(ctx, time.Duration(relayedAgeFraction*float64(f.interval))) {
		return f.members.registrationsAsOf().Add(f.interval).Sub(f.members.now())
	}
	err := f.readServers(ctx)
	f.recordStoreResult(err)
	if err != nil {
		f.failures++
		return retryDelay(f.failures)
	}
	f.failures = 0
	if f.zone != nil && f.zone.ReadsForZone() {
		return time.Duration(readerIntervalFraction * float64(f.interval))
	}
	return f.interval
}

func (f *Follower) readServers(ctx context.Context) error {
	from := f.members.positions().servers
	if from == storelog.Unknown {
		return f.readNewest(ctx, TopicServers)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	requestedAt := f.members.now()
	records, next, err := f.store.Read(ctx, TopicServers, from, 0)
	if errors.Is(err, ErrGone) {
		f.recordGone(TopicServers, from)
		return f.readNewest(ctx, TopicServers)
	}
	if err == nil {
		f.members.mergeServers(serverUpdate{records: records, next: next, asOf: requestedAt, source: sourceStore})
	}
	return err
}

// recordGone counts reads from a position that the store doesn't have. Repeated ones aren't logged.
func (f *Follower) recordGone(topic Topic, from storelog.Position) {
	readsGone.Inc()
	if f.lastGone[topic] != from {
		f.lastGone[topic] = from
		f.log.WithFields(logrus.Fields{"topic": topic.String(), "position": from.String()}).Info("position no longer in the store: reading the newest record of each key")
	}
}

func (f *Follower) readNewest(ctx context.Context, topic Topic) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	requestedAt := f.members.now()
	records, next, err := f.store.Newest(ctx, topic)
	if err != nil {
		return err
	}
	switch topic {
	case TopicOperators:
		f.members.mergeOperators(records, next, true, sourceStore)
		f.members.confirmOperators(requestedAt)
	case TopicServers:
		f.members.mergeServers(serverUpdate{records: records, next: next, full: true, asOf: requestedAt, source: sourceStore})
	}
	return nil
}

// recordStoreResult tracks whether the store is reachable and logs each transition.
func (f *Follower) recordStoreResult(err error) {
	wasHealthy := f.healthy.Swap(err == nil)
	if err == nil {
		f.members.markStoreReachable()
	}
	switch {
	case err != nil:
		f.members.markStoreUnreachable()
		if wasHealthy {
			f.log.WithError(err).Warn("store unreachable")
			signal(f.unreachable)
		}
	case !wasHealthy:
		f.log.Info("store reachable")
		signal(f.restartRead)
		f.onReachable()
	}
}

// signal sends without blocking to a channel with a buffer of one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// retryDelay returns a delay that grows with the number of consecutive failures, with jitter so
// that daemons don't retry in step.
func retryDelay(failures int) time.Duration {
	d := min(minRetryDelay<<min(failures-1, 4), maxRetryDelay)
	return d/2 + rand.N(d/2+1)
}
