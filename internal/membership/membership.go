package membership

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crowbridge/crowbridge/internal/fleet"
	"github.com/crowbridge/crowbridge/internal/storelog"
	"github.com/sirupsen/logrus"
)

// Decoder decodes the platform's records.
type Decoder interface {
	DecodeConfig(data []byte) (*fleet.Config, error)
	DecodeServer(id string, data []byte) (*fleet.Server, error)
	// ConfigKey returns the key of the configuration record in the operators' topic.
	ConfigKey() string
}

// outageGrace is how long a server stays in use whose registration lapsed during an outage of the
// store or is missing after a restore. Running servers register again within 2 s.
const outageGrace = 2300 * time.Millisecond

// Membership is a daemon's copy of the configuration and the registrations. The version of the
// configuration never decreases. It is safe for concurrent use. OnServers callbacks run while its
// lock is held.
type Membership struct {
	decoder Decoder
	now     func() time.Time
	log     *logrus.Entry

	mu        sync.Mutex
	operators *topic
	servers   *topic
	// decoded holds the servers in use by ID.
	decoded map[string]*fleet.Server
	// lapsed maps the servers that are kept for outageGrace, or as long as a peer keeps them, to the
	// time of their removal.
	lapsed map[string]time.Time
	// invalid holds the IDs whose registration can't be used.
	invalid map[string]bool
	// storeUnreachable is set from a failed call to the store until the next read has been merged.
	// peerAhead is set if a peer had newer registrations meanwhile: the outage was then local, and
	// deletions are genuine.
	storeUnreachable, peerAhead bool
	onServers                   []func(*fleet.Servers)
	// currentConfigRecord is the encoded form of the current configuration.
	currentConfigRecord []byte
	// departed holds recently removed servers. suppressed holds the records of those that an older
	// copy of the store lists again.
	departed   map[string]departure
	suppressed map[string]Record
	// onPeerAhead is called with the position up to which a peer knows the operators' topic if that
	// is ahead of this copy.
	onPeerAhead func(next storelog.Position)
	// serversAsOf and operatorsAsOf are the times as of which this copy of the topic is known to be
	// complete.
	serversAsOf   time.Time
	operatorsAsOf time.Time

	config         atomic.Pointer[fleet.Config]
	currentServers atomic.Pointer[fleet.Servers]
}

// New returns an empty Membership.
func New(decoder Decoder, now func() time.Time, log *logrus.Entry) *Membership {
	return &Membership{
		decoder: decoder, now: now, log: log,
		operators: newTopic(), servers: newTopic(),
		onPeerAhead: func(storelog.Position) {},
		departed:    map[string]departure{}, suppressed: map[string]Record{},
		decoded: map[string]*fleet.Server{}, lapsed: map[string]time.Time{}, invalid: map[string]bool{},
	}
}

// Config returns the current configuration, or nil if none is known yet.
func (m *Membership) Config() *fleet.Config { return m.config.Load() }

// Servers returns the registered servers, or nil if they aren't known yet.
func (m *Membership) Servers() *fleet.Servers { return m.currentServers.Load() }

// OnServers registers a callback for changes of the servers. It must be called before the first
// record is merged.
func (m *Membership) OnServers(f func(*fleet.Servers)) { m.onServers = append(m.onServers, f) }

// positions returns the next position of both topics.
func (m *Membership) positions() positions {
	m.mu.Lock()
	defer m.mu.Unlock()
	return positions{m.operators.next, m.servers.next}
}

// version returns the version of the current configuration, or 0.
func (m *Membership) version() int64 {
	if config := m.config.Load(); config != nil {
		return config.Version
	}
	return 0
}

// mergeOperators merges records of the operators' topic. If full is set, records is a snapshot of
// the newest record of every key. A newer configuration is applied whatever its position: versions
// order configurations even after the store was restored from an older copy.
func (m *Membership) mergeOperators(records []Record, next storelog.Position, full bool, source string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	records = m.dropUnreadable(records, source)
	merge := m.operators.merge
	if full {
		merge = m.operators.mergeSnapshot
	}
	for _, r := range records {
		if r.Key == m.decoder.ConfigKey() {
			m.applyConfig(r, source)
		}
	}
	if next.Era() < m.operators.next.Era() {
		return
	}
	for _, key := range merge(records, next) {
		m.operators.markChanged(key)
	}
	m.keepCurrentConfigRecord()
}

// keepCurrentConfigRecord replaces an older configuration in the topic by the current one, so that
// peers receive the current one.
func (m *Membership) keepCurrentConfigRecord() {
	key := m.decoder.ConfigKey()
	r, listed := m.operators.records[key]
	if listed && m.currentConfigRecord != nil {
		r.Value = m.currentConfigRecord
		m.operators.records[key] = r
	}
}

// confirmOperators records that the operators' topic is known completely as of the given time.
func (m *Membership) confirmOperators(asOf time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if asOf.After(m.operatorsAsOf) {
		m.operatorsAsOf = asOf
	}
}

// neverConfirmed is the age reported for a configuration that was never confirmed.
const neverConfirmed = 365 * 24 * time.Hour

// ConfigAge returns the time since the configuration was last confirmed to be the newest.
func (m *Membership) ConfigAge() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.operatorsAsOf.IsZero() {
		return neverConfirmed
	}
	return m.now().Sub(m.operatorsAsOf)
}

// configAsOf returns the time as of which the operators' topic is known completely, or the zero
// time.
func (m *Membership) configAsOf() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.operatorsAsOf
}

// dropUnreadable removes the records that can't be decoded and logs each of them: records
// are read once, except for the newest of each key.
func (m *Membership) dropUnreadable(records []Record, source string) []Record {
	return slices.DeleteFunc(records, func(r Record) bool {
		if r.Unreadable == "" {
			return false
		}
		m.log.WithFields(logrus.Fields{"key": r.Key, "position": r.Position.String(), "source": source, "cause": r.Unreadable}).
			Warn("unreadable record skipped")
		return true
	})
}

// applyConfig makes a configuration current if it is valid and newer than the current one.
func (m *Membership) applyConfig(r Record, source string) {
	log := m.log.WithFields(logrus.Fields{"position": r.Position.String(), "source": source})
	if len(r.Value) == 0 {
		log.Warn("configuration record deleted: keeping the current configuration")
		return
	}
	config, err := m.decoder.DecodeConfig(r.Value)
	if err != nil {
		log.WithError(err).Error("invalid configuration refused: keeping the current configuration")
		return
	}
	if old := m.config.Load(); old != nil && old.Version >= config.Version {
		if old.Version > config.Version {
			log.WithFields(logrus.Fields{"version": config.Version, "in_force": old.Version}).Info("older configuration ignored")
		}
		return
	}
	m.config.Store(config)
	m.currentConfigRecord = r.Value
	log.WithField("version", config.Version).Info("configuration in force")
}

// serverUpdate is a set of registration records to merge.
type serverUpdate struct {
	records []Record
	// next is the position after the records. If full is set, they are a snapshot of the newest
	// record of every key.
	next storelog.Position
	full bool
	// asOf is the time as of which the records are complete, or zero if unknown.
	asOf   time.Time
	source string
	// lapses maps deleted registrations that stay in use to the remaining time.
	lapses map[string]time.Duration
}

// mergeServers merges registration records and publishes the servers if they changed.
func (m *Membership) mergeServers(r serverUpdate) {
	m.mu.Lock()
	defer m.mu.Unlock()
	merge := m.servers.merge
	if r.full {
		merge = m.servers.mergeSnapshot
	}
	if r.next >= m.servers.next && r.asOf.After(m.serversAsOf) {
		m.serversAsOf = r.asOf
	}
	first := m.currentServers.Load() == nil
	changed := false
	r.records = m.dropUnreadable(r.records, r.source)
	newEra := r.full && r.next.Era() > m.servers.next.Era()
	if newEra {
		m.reconcileOlderCopy(&r)
	}
	for _, id := range merge(r.records, r.next) {
		changed = m.applyServer(id, r) || changed
	}
	if newEra {
		m.servers.limitPropagation(r.records)
	}
	if changed = m.expireLapsed() || changed; changed || first {
		m.publish()
	}
}

// registrationsAsOf returns the time as of which the registrations are known completely, or the
// zero time.
func (m *Membership) registrationsAsOf() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.serversAsOf
}

// applyServer applies the newest record of a server. It reports whether the record changed the set
// of servers, as opposed to a heartbeat.
func (m *Membership) applyServer(id string, from serverUpdate) bool {
	r := m.servers.records[id]
	log := m.log.WithFields(logrus.Fields{"server": id, "position": r.Position.String(), "source": from.source})
	old := m.decoded[id]
	if len(r.Value) == 0 {
		delete(m.invalid, id)
		m.servers.markChanged(id)
		return m.removeServer(id, old, from.lapses[id], log)
	}
	server, err := m.decoder.DecodeServer(id, r.Value)
	if err != nil {
		return m.rejectServer(id, old, err, log)
	}
	delete(m.invalid, id)
	delete(m.suppressed, id)
	_, lapsed := m.lapsed[id]
	delete(m.lapsed, id)
	if same := old != nil && sameRegistration(old, server); same && !lapsed {
		return false
	}
	m.servers.markChanged(id)
	m.decoded[id] = server
	log.WithFields(logrus.Fields{
		"address": server.Address, "start": server.Key(), "leaving": server.Leaving, "rank": rankField(server.Rank),
	}).Info("server registered")
	return true
}

// rejectServer drops a server whose registration can't be used. It reports whether the server was
// in use. Repeated rejections aren't logged.
func (m *Membership) rejectServer(id string, old *fleet.Server, err error, log *logrus.Entry) bool {
	m.servers.markChanged(id)
	if !m.invalid[id] {
		m.invalid[id] = true
		log.WithError(err).Error("invalid registration refused")
	}
	delete(m.decoded, id)
	delete(m.lapsed, id)
	return old != nil
}

func rankField(rank *fleet.GroupRank) any {
	if rank == nil {
		return nil
	}
	return *rank
}

func sameRegistration(a, b *fleet.Server) bool {
	sameRank := (a.Rank == nil) == (b.Rank == nil) && (a.Rank == nil || *a.Rank == *b.Rank)
	x, y := *a, *b
	x.Rank, y.Rank = nil, nil
	return sameRank && x == y
}

// removeServer removes a server whose registration was deleted. If the registration may only have
// lapsed, because grace is set or the store was unreachable, the server stays for a grace period
// unless it is leaving. It reports whether the server was removed.
func (m *Membership) removeServer(id string, old *fleet.Server, grace time.Duration, log *logrus.Entry) bool {
	if old == nil {
		return false
	}
	if grace == 0 && m.storeUnreachable && !m.peerAhead {
		grace = outageGrace
	}
	if old.Leaving {
		grace = 0
	}
	if grace > 0 {
		m.lapsed[id] = m.now().Add(grace)
		log.Info("registration lapsed during a store outage or restore: keeping the server for a grace period")
		return false
	}
	m.markDeparted(id, old)
	log.Info("server removed")
	return true
}

// expireLapsed removes lapsed servers whose grace period is over. It reports whether the set of
// servers changed.
func (m *Membership) expireLapsed() bool {
	changed := false
	for id, until := range m.lapsed {
		if m.now().After(until) {
			delete(m.lapsed, id)
			m.markDeparted(id, m.decoded[id])
			m.log.WithField("server", id).Info("server removed: not registered again within the grace period")
			changed = true
		}
	}
	return m.releaseSuppressed() || changed
}

func (m *Membership) publish() {
	list := make([]*fleet.Server, 0, len(m.decoded))
	for _, server := range m.decoded {
		list = append(list, server)
	}
	servers := fleet.NewServers(list)
	m.currentServers.Store(servers)
	for _, f := range m.onServers {
		f(servers)
	}
}

// markStoreUnreachable records a failed call to the store.
func (m *Membership) markStoreUnreachable() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.storeUnreachable {
		m.storeUnreachable, m.peerAhead = true, false
	}
}

// markStoreReachable records that a read of the store has been merged.
func (m *Membership) markStoreReachable() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.storeUnreachable = false
}

// markPeerAhead records that a peer had newer registrations than this daemon.
func (m *Membership) markPeerAhead() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peerAhead = true
}

// pendingLapses returns the deleted registrations that are still in use and their remaining time.
func (m *Membership) pendingLapses() map[string]time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	pending := make(map[string]time.Duration, len(m.lapsed))
	for id, until := range m.lapsed {
		if remaining := until.Sub(m.now()); remaining > 0 {
			pending[id] = remaining
		}
	}
	return pending
}
