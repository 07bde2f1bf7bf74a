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

// ErrGone says that the store no longer keeps the records that were asked for.
var ErrGone = errors.New("records no longer kept")

// Topic is one of the two topics that are followed.
type Topic int

// The topics.
const (
	TopicOperators Topic = iota
	TopicServers
)

// topicCount is how many topics there are.
const topicCount = 2

// String names the topic in logs.
func (t Topic) String() string {
	if t == TopicOperators {
		return "operators"
	}
	return "servers"
}

var readsGone = metrics.NewCounter("crowbridge_store_reads_gone_total")

// Store reads the platform's store.
type Store interface {
	// Read returns the records of a topic from a position on and the position after
	// them, waiting for the first. It returns ErrGone when they are no longer kept, or the
	// store's era isn't the position's.
	Read(ctx context.Context, topic Topic, from storelog.Position, wait time.Duration) ([]Record, storelog.Position, error)
	// Newest returns the newest record of each key and the position to read on from.
	Newest(ctx context.Context, topic Topic) ([]Record, storelog.Position, error)
}

// ZoneReader is the one daemon of an availability zone that reads the registrations
// from the store; the others ask it.
type ZoneReader interface {
	// Refresh asks it. It tells whether the registrations are now known as of at most
	// maxAge ago; it's always false at the reader itself.
	Refresh(ctx context.Context, maxAge time.Duration) bool
	// ReadsForZone tells whether this daemon is the reader and has others to read for.
	ReadsForZone() bool
	// ReadsDirectly tells whether this daemon is the reader, or has nobody who reads for it.
	ReadsDirectly() bool
}

const (
	// configWait is how long one read waits for a new configuration. Each read is
	// paid for, so it is long (the store allows 30 s); a broken connection is noticed by
	// keep-alive probes, and what such a read misses is told by the zone's reader.
	maxConfigPollTimeout = 28 * time.Second
	// serversPart is the time between reads of registrations, as a part of the time
	// within which requests must stop going to a leaving server; serversPace replaces
	// it when that isn't set.
	intervalFraction = 0.55
	defaultInterval  = 900 * time.Millisecond
	// readerPart is the time between the zone reader's own reads, as a part of pace, and
	// relayedPart the greatest age, as a part of pace, of registrations that others take
	// from it. What the reader has is always younger than that while it's well; a daemon
	// that got it shortly before the reader's next read asks again right after that.
	readerIntervalFraction = 0.8
	relayedAgeFraction     = 0.9
	// callTimeout bounds one call beyond its wait. The store answers in some
	// milliseconds; its slow spells are some fifty times that.
	callTimeout = 900 * time.Millisecond
	// retryFirst and retryMost bound the pause after a failed call.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
)

// errReread ends a long read that was woken.
var errReadRestarted = errors.New("read anew")

// errBehind says that the store ends before what is known, in the same era: it's asked
// again after a pause.
var errStoreBehind = errors.New("the store ends before what is known, without another era")

// fromStore names the store as a source of records in logs.
const sourceStore = "store"

// Follower keeps a Membership up to date from the store.
type Follower struct {
	members  *Membership
	store    Store
	zone     ZoneReader
	log      *logrus.Entry
	interval time.Duration
	// failures are the reads of registrations that have failed in a row.
	failures int
	// healthy is whether the last call to the store succeeded.
	healthy atomic.Bool
	// refreshes wakes who waits for the next read of the registrations.
	refresh chan struct{}
	// rereads wakes a long read whose connection may be dead.
	restartRead chan struct{}
	// lost gets a value when the store can no longer be reached.
	unreachable chan struct{}
	// onReached is called when the store is reached again.
	onReachable func()
	// silence judges the reads that wait for a configuration, reading is the position that
	// the present one waits for.
	readTrust    longpoll.Trust
	readPosition atomic.Int64
	// gone is the position of each topic that the store didn't have last. Each topic is
	// followed by one goroutine.
	lastGone [topicCount]storelog.Position
}

// NewFollower returns a follower. zone may be nil: then it reads everything itself.
// stopRouting is how soon requests must stop going to a server that is known to
// leave, or 0.
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

// Healthy tells whether the store answered last time.
func (f *Follower) Healthy() bool { return f.healthy.Load() }

// OnReachable makes a call when the store is reached again. Call it before the follower runs.
func (f *Follower) OnReachable(call func()) { f.onReachable = call }

// Unreachable gets a value when the store can no longer be reached.
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

// FollowServers follows the registrations until the context ends. It also finds
// out whether the store can be reached.
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

// RestartReads makes it read everything anew at once: the connection of a long read may have died
// while this VM was suspended.
func (f *Follower) RestartReads() {
	signal(f.refresh)
	signal(f.restartRead)
}

// refreshServers gets the registrations from the zone's reader or from the store. It
// returns how long to wait before the next time: whichever way they came, they are
// refreshed when they are pace old.
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

// noteGone counts reads from a position that the store doesn't have, with a line for the
// first from there.
func (f *Follower) recordGone(topic Topic, from storelog.Position) {
	readsGone.Inc()
	if f.lastGone[topic] != from {
		f.lastGone[topic] = from
		f.log.WithFields(logrus.Fields{"topic": topic.String(), "position": from.String()}).Info("the store doesn't have this position: the newest record of each key is read")
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

// note logs when the store is lost or regained.
func (f *Follower) recordStoreResult(err error) {
	wasHealthy := f.healthy.Swap(err == nil)
	if err == nil {
		f.members.markStoreReachable()
	}
	switch {
	case err != nil:
		f.members.markStoreUnreachable()
		if wasHealthy {
			f.log.WithError(err).Warn("store lost")
			signal(f.unreachable)
		}
	case !wasHealthy:
		f.log.Info("store reached")
		signal(f.restartRead)
		f.onReachable()
	}
}

// wake puts a value into a channel that has room for one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// pause grows with the failures in a row; the random part keeps daemons that
// failed together apart.
func retryDelay(failures int) time.Duration {
	d := min(minRetryDelay<<min(failures-1, 4), maxRetryDelay)
	return d/2 + rand.N(d/2+1)
}
